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
  SessionId session;    // default: none
  PermitCount granted;  // default: 0; total of this epoch, never falls
};

struct PermitRow {
  RowVersion version;                 // default: 0; the row does not exist
  PermitEpoch epoch;                  // default: 0
  bool open = false;                  // default: false; false while counting
  bool shed = false;                  // default: false; free permits return
  PermitCount limit;                  // default: 0
  Revision revision;                  // default: 0; that set the limit
  std::vector<PermitMember> members;  // default: none; by session

  const PermitMember* Find(const SessionId& session) const;
  PermitMember* Find(const SessionId& session);
  // Adds a member without permits unless it is one.
  void Add(const SessionId& session);
};

std::string PermitRowKey(const TeamId& team);
std::string SessionRowKey(const DaemonId& daemon);
std::string SerializePermitRow(const PermitRow& row);

// Errors: kMalformed.
Result<PermitRow> ParsePermitRow(const TableRow& row);

// Max-min fair division of the limit among demands: nobody gets more than it
// wants, and what one does not want goes to the others. Units that do not
// divide go to the first in order.
std::vector<PermitCount> DivideMaxMin(PermitCount limit,
                                      const std::vector<PermitCount>& wanted);

}  // namespace peridot

#endif  // SRC_COORDINATION_PERMIT_LEDGER_INTERNAL_H_
