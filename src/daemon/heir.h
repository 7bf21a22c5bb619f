// The daemon that answers for the tasks of a session that is gone.
//
// Index:
//   [SECTION] HeirOf

#ifndef SRC_DAEMON_HEIR_H_
#define SRC_DAEMON_HEIR_H_

#include "src/coordination/registry.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] HeirOf
//-----------------------------------------------------------------------------

// Returns the registered daemon of the same name, else the one that rendezvous
// hashing chooses, or null if none is registered. Thread-safe.
const RegisteredDaemon* HeirOf(const SessionId& session,
                               const Registry& registry);

}  // namespace peridot

#endif  // SRC_DAEMON_HEIR_H_
