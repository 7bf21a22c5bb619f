// Choice of the daemon that allocates an endpoint's slots.
//
// Index:
//   [SECTION] EndpointOwner
//
// Rendezvous hashing: each endpoint belongs to the live daemon of its zone with
// the highest hash of (endpoint, daemon). When a daemon leaves, only its own
// endpoints move. Two daemons with different views may both own an endpoint for
// a while; the endpoint then refuses attempts beyond its slots.

#ifndef SRC_COORDINATION_ENDPOINT_OWNER_H_
#define SRC_COORDINATION_ENDPOINT_OWNER_H_

#include <span>

#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] EndpointOwner
//-----------------------------------------------------------------------------

// Returns the owner among the daemons, or null if there is none. The result
// does not depend on their order. Does not allocate.
const DaemonId* EndpointOwner(const EndpointId& endpoint,
                              std::span<const DaemonId> daemons);

}  // namespace peridot

#endif  // SRC_COORDINATION_ENDPOINT_OWNER_H_
