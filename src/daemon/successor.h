// Selects the daemon that takes over the tasks of an ended session.
//
// Index:
//   [SECTION] FindSuccessor

#ifndef SRC_DAEMON_SUCCESSOR_H_
#define SRC_DAEMON_SUCCESSOR_H_

#include "src/coordination/registry.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] FindSuccessor
//-----------------------------------------------------------------------------

// Returns the registered daemon with the session's daemon id, else the one that
// rendezvous hashing selects, or null if none is registered. Thread-safe.
const RegisteredDaemon* FindSuccessor(const SessionId& session,
                                      const Registry& registry);

}  // namespace peridot

#endif  // SRC_DAEMON_SUCCESSOR_H_
