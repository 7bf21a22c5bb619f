// Row permits/<team> and the division of a limit. Internal to permit_ledger.h.

#ifndef SRC_COORDINATION_PERMIT_LEDGER_INTERNAL_H_
#define SRC_COORDINATION_PERMIT_LEDGER_INTERNAL_H_

#include <string>
#include <vector>

#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"
#include "src/state/units.h"

namespace peridot {

struct PermitMember {
  SessionId session;
  PermitCount granted;  // total of this epoch, never falls
};

struct PermitRow {
  RowVersion version;  // 0: the row does not exist
  PermitEpoch epoch;
  bool open = false;  // false while counting
  bool shed = false;  // members return free permits
  PermitCount limit;
  Revision revision;                  // revision that set the limit
  std::vector<PermitMember> members;  // ordered by session

  const PermitMember* Find(const SessionId& session) const;
  PermitMember* Find(const SessionId& session);
  // Adds a member without permits unless the session is already a member.
  void Add(const SessionId& session);
};

std::string PermitRowKey(const TeamId& team);
std::string SessionRowKey(const DaemonId& daemon);
std::string SerializePermitRow(const PermitRow& row);

// Errors: kMalformed.
Result<PermitRow> ParsePermitRow(const TableRow& row);

// Max-min fair division of the limit among demands: no demand is exceeded, and
// what one does not use is divided among the others. Units left by the division
// go to the first in order.
std::vector<PermitCount> DivideMaxMin(PermitCount limit,
                                      const std::vector<PermitCount>& wanted);

}  // namespace peridot

#endif  // SRC_COORDINATION_PERMIT_LEDGER_INTERNAL_H_
