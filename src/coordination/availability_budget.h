// Which planned disruptions a pool permits. docs/design.md, section 12;
// docs/decisions/0005.
//
// Index:
//   [SECTION] Rows
//   [SECTION] Budget
//   [SECTION] Transactions
//
// Row "pool/<id>" holds the pool's hosts and which of them are absent. Every
// change of a host's state is one transaction over the host's row and the rows
// of the pools concerned, each checked by version: two daemons cannot grant
// the same headroom. Without the store there is no transaction and therefore
// no planned disruption (I1).
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
  kDraining,  // its absence counts; running work ends
  kReleased,  // drained
  kClaimed,   // belongs to the target pool, not in service there yet
  kDown,      // failed
};

// Row "host/<id>". `pool` is the one pool that the host belongs to (I2).
struct HostRow {
  HostId host;                              // default: empty
  RowVersion version;                       // default: 0, no row
  PoolId pool;                              // default: empty
  HostState state = HostState::kInService;  // default: kInService
  ZoneId zone;                              // default: empty
  RackId rack;                              // default: empty
  std::string move_id;                      // default: empty; move under way
  PoolId target;                            // default: empty; of that move
  std::string requested_by;                 // default: empty; operator
  std::string last_move;                    // default: empty; last one finished
};

struct FailureDomain {
  ZoneId zone;  // default: empty
  RackId rack;  // default: empty
};

// Row "pool/<id>". Absences are sets, so that a repeat changes nothing.
struct PoolRow {
  PoolId pool;                              // default: empty
  RowVersion version;                       // default: 0, no row
  std::map<HostId, FailureDomain> members;  // default: none
  std::set<HostId> granted;    // default: none; planned, not yet begun
  std::set<HostId> planned;    // default: none; begun
  std::set<HostId> unplanned;  // default: none; failed
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

// The failure that a pool's headroom covers, setting `survive`.
enum class Survive { kNone, kHost, kRack, kZone };

struct BudgetSettings {
  HostCount max_unavailable{1};      // default: 1 host
  Survive survive = Survive::kNone;  // default: kNone
};

// Hosts in service of the largest domain that can fail at once, without
// `leaving`, which is about to be absent.
HostCount Headroom(const PoolRow& pool, Survive survive, const HostId& leaving);
// Whether one more host may be absent: planned + unplanned absence + 1 +
// headroom <= max_unavailable. A grant counts as planned.
bool PermitsGrant(const PoolRow& pool,
                  const BudgetSettings& budget,
                  const HostId& host);
// Whether what is absent, granted and reserved still fits.
bool FitsBudget(const PoolRow& pool, const BudgetSettings& budget);

//-----------------------------------------------------------------------------
// [SECTION] Transactions
//-----------------------------------------------------------------------------

// Records a failed host and revokes the grants not begun that no longer fit.
// A move of the host ends. kNotFound when the host is not in service.
Result<TableTransaction> PlanHostDown(std::string operation_id,
                                      HostRow host,
                                      PoolRow pool,
                                      const BudgetSettings& budget);
// Records that a failed host is back.
Result<TableTransaction> PlanHostReturn(std::string operation_id,
                                        HostRow host,
                                        PoolRow pool);

}  // namespace peridot

#endif  // SRC_COORDINATION_AVAILABILITY_BUDGET_H_
