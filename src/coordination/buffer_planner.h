// Size of the shared host buffer, and loans of hosts between pools.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Input
//   [SECTION] Plan
//   [SECTION] BufferPlanner
//
// A pool's budget is kept while at least `demand - max_unavailable` of its
// hosts serve. Its target is the lowest number of hosts that serves its demand
// and keeps the budget, without any move, when the largest failure that the
// pool is configured to survive occurs. The planner assumes that pools do not
// peak at the same time, so the fleet is sized for the costliest single peak,
// not for all of them. Hosts beyond the current targets are the shared buffer,
// whichever pool they are in.
//
// Lent hosts stay in a pool after its peak until another pool needs them or the
// pool has been above its target for `return_after`, so that demand that moves
// between pools every few seconds causes few moves.
//
// Not thread-safe. The only state is the instant since which each pool is above
// its target; losing it delays a return.
//
// Known limitation: all hosts count the same; their sizes and accelerators are
// ignored.

#ifndef SRC_COORDINATION_BUFFER_PLANNER_H_
#define SRC_COORDINATION_BUFFER_PLANNER_H_

#include <map>
#include <set>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/settings_schema.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct BufferConfig {
  // The pool that holds the hosts that no other pool needs.
  PoolId spare = PoolId("spare");
  // Longer than one cycle of the peaks of a few pools, each of which lasts
  // seconds.
  Duration return_after = std::chrono::minutes(5);
  // A pool that exceeds its target by no more than this returns no hosts.
  HostCount return_threshold = HostCount(2);
};

//-----------------------------------------------------------------------------
// [SECTION] Input
//-----------------------------------------------------------------------------

enum class HostCondition { kServing, kMaintenance, kFailed };

struct BufferHost {
  HostId id;
  ZoneId zone;
  RackId rack;
  PoolId pool;
  HostCondition condition = HostCondition::kServing;
};

// Demand and settings of one pool; the spare pool is not listed.
struct BufferPool {
  PoolId id;
  HostCount demand;  // current
  HostCount peak;    // at the peak of this pool
  HostCount trough;  // between peaks
  HostCount max_unavailable = HostCount(1);
  SurvivedFailure survive = SurvivedFailure::kNone;
};

struct BufferInput {
  std::vector<BufferHost> hosts;
  std::vector<BufferPool> pools;  // unique ids
  std::set<ZoneId> zones_out;
};

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

enum class BufferReason {
  kDemand,       // current demand of the pool
  kHeadroom,     // hosts lost in the largest failure to survive
  kTolerated,    // negative: absent hosts that max_unavailable allows
  kMaintenance,  // absent for maintenance; replaced, not part of the target
  kFailed,       // failed; replaced, not part of the target
  kZoneOut,      // in zones that are out; replaced, not part of the target
  kShared,       // hosts of the shared buffer that the pool needs at its peak
  kMissing,      // shortfall from the target, after the moves
};

// Returns a stable lower-case name, as in "zone_out".
const char* BufferReasonName(BufferReason reason);

struct BufferLine {
  BufferReason reason = BufferReason::kDemand;
  HostCount hosts;
};

// The lines kDemand, kHeadroom and kTolerated add up to target.
struct PoolBuffer {
  PoolId pool;
  HostCount target;               // minimum of serving hosts
  HostCount buffer;               // target - demand
  std::vector<BufferLine> lines;  // only reasons with hosts != 0
};

struct BufferMove {
  HostId host;
  PoolId from;
  PoolId to;

  friend bool operator==(const BufferMove&, const BufferMove&) = default;
};

struct BufferPlan {
  std::vector<PoolBuffer> pools;  // in the order of the input
  HostCount held;                 // minimum of hosts for every peak
  HostCount shared;               // held - sum of the current targets
  HostCount missing;              // held - serving hosts, at least 0
  std::vector<HostId> surplus;    // serving hosts beyond held
  std::vector<BufferMove> moves;
};

//-----------------------------------------------------------------------------
// [SECTION] BufferPlanner
//-----------------------------------------------------------------------------

// Returns the lowest number of hosts that serves `demand` and leaves
// `demand - max_unavailable` hosts when the domain with most of them fails, for
// domains of the given sizes. If the domains are too small, the result is
// larger than their sum: as if there were further domains of one host each.
HostCount MinTarget(HostCount demand,
                    HostCount max_unavailable,
                    const std::vector<int>& domain_sizes);

class BufferPlanner {
 public:
  explicit BufferPlanner(BufferConfig config = {});

  // Plans for the given state. Hosts of pools that are not listed are ignored.
  // Once a plan is applied in full, the next plan has no moves until the input
  // changes or a return is due. Cost: hosts times moves.
  BufferPlan OnState(const BufferInput& input, Instant now);

 private:
  BufferConfig config;
  std::map<PoolId, Instant> above_since;  // pools above their target
};

}  // namespace peridot

#endif  // SRC_COORDINATION_BUFFER_PLANNER_H_
