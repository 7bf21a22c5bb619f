#include "src/daemon/successor.h"

#include <string>
#include <vector>

#include "src/coordination/endpoint_owner.h"

namespace peridot {

const RegisteredDaemon* FindSuccessor(const SessionId& session,
                                      const Registry& registry) {
  if (const RegisteredDaemon* same = registry.Find(session.daemon)) {
    return same;
  }
  std::vector<DaemonId> daemons;
  for (const RegisteredDaemon& entry : registry.daemons) {
    daemons.push_back(entry.session.daemon);
  }
  const DaemonId* successor =
      EndpointOwner(EndpointId(session.daemon.value + "." +
                               std::to_string(session.incarnation.value)),
                    daemons);
  return successor == nullptr ? nullptr : registry.Find(*successor);
}

}  // namespace peridot
