// The registry of daemons in the platform's table.
//
// Index:
//   [SECTION] Rows
//   [SECTION] Codec
//   [SECTION] Transactions
//
// Row "registry" lists the sessions that may act. Row "session/<daemon>" holds
// the daemon's incarnation and whether it was fenced. Registration, fence and
// leave are each one transaction over both rows, so that a read of the
// registry shows every session that may act, and a write that checks the
// version of a session row fails once the session was fenced or superseded.

#ifndef SRC_COORDINATION_REGISTRY_H_
#define SRC_COORDINATION_REGISTRY_H_

#include <string>
#include <vector>

#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

struct RegisteredDaemon {
  SessionId session;
  std::string peer_address;  // "IP:port" of the peer socket
  std::string http_address;  // "IP:port" of the HTTP interface
  ZoneId zone;

  friend bool operator==(const RegisteredDaemon&,
                         const RegisteredDaemon&) = default;
};

struct Registry {
  RegistryVersion version;                // 0: the row does not exist
  std::vector<RegisteredDaemon> daemons;  // ordered by daemon

  const RegisteredDaemon* Find(const DaemonId& daemon) const;
};

struct SessionRow {
  RowVersion version;       // 0: the row does not exist
  Incarnation incarnation;  // of the latest session
  bool fenced = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Codec
//-----------------------------------------------------------------------------

// Version 0 yields an empty row. Errors: kMalformed.
Result<Registry> ParseRegistry(const TableRow& row);
Result<SessionRow> ParseSession(const TableRow& row);
std::string SerializeRegistry(const Registry& registry);
std::string SerializeSession(const SessionRow& session);

//-----------------------------------------------------------------------------
// [SECTION] Transactions
//-----------------------------------------------------------------------------

// Registers the daemon under the next incarnation, which replaces the earlier
// one in the registry.
struct RegistrationPlan {
  SessionId session;  // the new session
  TableTransaction transaction;
};
RegistrationPlan PlanRegistration(const Registry& registry,
                                  const SessionRow& row,
                                  const RegisteredDaemon& self,
                                  const std::string& operation_id);

// Removes the session from the registry. If fenced is true, the session can
// never commit again; otherwise it leaves voluntarily. The transaction's checks
// fail if the session was superseded in the meantime. Precondition: the rows
// are those of the session's daemon.
TableTransaction PlanRemoval(const Registry& registry,
                             const SessionRow& row,
                             const SessionId& session,
                             bool fenced,
                             const std::string& operation_id);

}  // namespace peridot

#endif  // SRC_COORDINATION_REGISTRY_H_
