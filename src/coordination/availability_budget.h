// Which planned disruptions the availability budget of a pool permits.
//
// Index:
//   [SECTION] Rows
//   [SECTION] Budget
//   [SECTION] Transactions
//
// Row "pool/<id>" holds the pool's hosts and which of them are absent. Every
// change of a host's state is one transaction over the host's row and the rows
// of the pools concerned, each checked by version: two daemons cannot both
// use the same headroom. Without the store there is no transaction and
// therefore no planned disruption.
//
// The functions are pure and thread-safe.

#ifndef SRC_COORDINATION_AVAILABILITY_BUDGET_H_
#define SRC_COORDINATION_AVAILABILITY_BUDGET_H_

#include <map>
#include <set>
#include <string>

#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

enum class HostState {
  kInService,
  kDraining,  // counted as absent; running work ends
  kReleased,  // drained
  kClaimed,   // member of the target pool, not in service there yet
  kDown,      // failed
};

// Row "host/<id>". A host belongs to exactly one pool, named in `pool`.
struct HostRow {
  HostId host;
  RowVersion version;  // 0: no row
  PoolId pool;
  HostState state = HostState::kInService;
  ZoneId zone;
  RackId rack;
  std::string move_id;       // id of the move in progress, or empty
  PoolId target;             // of that move
  std::string requested_by;  // operator who requested that move
  std::string last_move;     // id of the last finished move
};

struct FailureDomain {
  ZoneId zone;
  RackId rack;
};

// Row "pool/<id>". Absences are sets, so that a repeated change has no effect.
struct PoolRow {
  PoolId pool;
  RowVersion version;  // 0: no row
  std::map<HostId, FailureDomain> members;
  std::set<HostId> granted;    // planned absence, not started yet
  std::set<HostId> planned;    // planned absence, started
  std::set<HostId> unplanned;  // failed
};

std::string HostKey(const HostId& host);
std::string PoolKey(const PoolId& pool);
TablePut EncodeHost(const HostRow& row);
TablePut EncodePool(const PoolRow& row);
// kMalformed when the row was not written by EncodeHost() or EncodePool().
Result<HostRow> DecodeHost(const TableRow& row);
Result<PoolRow> DecodePool(const TableRow& row);

//-----------------------------------------------------------------------------
// [SECTION] Budget
//-----------------------------------------------------------------------------

// The failure that a pool's headroom covers; setting `survive`.
enum class Survive { kNone, kHost, kRack, kZone };

struct BudgetSettings {
  HostCount max_unavailable{1};
  Survive survive = Survive::kNone;
};

// In-service hosts of the largest failure domain, without host `leaving`, which
// is about to be absent.
HostCount Headroom(const PoolRow& pool, Survive survive, const HostId& leaving);
// Whether one more host may be absent: planned + unplanned absence + 1 +
// headroom <= max_unavailable. A grant counts as planned.
bool PermitsGrant(const PoolRow& pool,
                  const BudgetSettings& budget,
                  const HostId& host);
// Whether the absent and granted hosts and the headroom fit max_unavailable.
bool FitsBudget(const PoolRow& pool, const BudgetSettings& budget);

//-----------------------------------------------------------------------------
// [SECTION] Transactions
//-----------------------------------------------------------------------------

// Records a failed host, ends its move, and revokes the grants that have not
// started and no longer fit the budget. kNotFound when the host is no member of
// the pool or is already recorded as failed.
Result<TableTransaction> PlanHostDown(std::string operation_id,
                                      HostRow host,
                                      PoolRow pool,
                                      const BudgetSettings& budget);
// Records that a failed host serves again. kNotFound when the host is not
// recorded as failed.
Result<TableTransaction> PlanHostReturn(std::string operation_id,
                                        HostRow host,
                                        PoolRow pool);

}  // namespace peridot

#endif  // SRC_COORDINATION_AVAILABILITY_BUDGET_H_
