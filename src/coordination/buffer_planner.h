// Size of the shared buffer and the loans of hosts between pools.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Input
//   [SECTION] Plan
//   [SECTION] BufferPlanner
//
// A pool's budget holds while it serves at least `demand - max_unavailable`
// hosts. Its target is the least number of hosts that serves its demand and
// keeps the budget, without any move, when the largest failure that the pool
// is set to survive occurs. Peaks of pools do not coincide, so the fleet holds
// enough for the costliest single peak, not for all of them: what pools do not
// need now is the shared buffer, wherever those hosts are.
//
// Lent hosts stay with a pool after its peak until another pool needs them or
// the pool has been above its target for `return_after`, so that demand that
// turns every few seconds causes few moves.
//
// Not thread-safe: one owner holds each value. The memory is only the time
// since which a pool is above its target; losing it delays a return.
//
// Known shortcoming: hosts are alike; sizes and accelerators are not weighed.

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
  PoolId spare = PoolId("spare");  // default: "spare"
  // Longer than a full turn of the peaks of a few pools, which last seconds.
  Duration return_after = std::chrono::minutes(5);  // default: 5 min
  // A pool that is above its target by no more than this returns nothing.
  HostCount return_band = HostCount(2);  // default: 2 hosts
};

//-----------------------------------------------------------------------------
// [SECTION] Input
//-----------------------------------------------------------------------------

enum class HostCondition { kServing, kMaintenance, kFailed };

struct BufferHost {
  HostId id;                                          // default: empty
  ZoneId zone;                                        // default: empty
  RackId rack;                                        // default: empty
  PoolId pool;                                        // default: empty
  HostCondition condition = HostCondition::kServing;  // default: kServing
};

// Demand and settings of one pool; the spare pool is not listed.
struct BufferPool {
  PoolId id;                                 // default: empty
  HostCount demand;                          // default: 0; now
  HostCount peak;                            // default: 0; at its own peak
  HostCount trough;                          // default: 0; between peaks
  HostCount max_unavailable = HostCount(1);  // default: 1
  SurvivedFailure survive = SurvivedFailure::kNone;  // default: kNone
};

struct BufferInput {
  std::vector<BufferHost> hosts;  // default: none
  std::vector<BufferPool> pools;  // default: none; unique ids
  std::set<ZoneId> zones_out;     // default: none
};

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

enum class BufferReason {
  kDemand,       // hosts that the pool asks for now
  kHeadroom,     // hosts lost in the largest failure to survive
  kTolerated,    // negative: absence that max_unavailable allows
  kMaintenance,  // absent for maintenance; replaced, not part of the target
  kFailed,       // failed; replaced, not part of the target
  kZoneOut,      // in zones that are out; replaced, not part of the target
  kShared,       // hosts of the shared buffer that the pool's peak would take
  kMissing,      // hosts short of the target, after the moves
};

// Returns a stable lower-case name, as in "zone_out".
const char* BufferReasonName(BufferReason reason);

struct BufferLine {
  BufferReason reason = BufferReason::kDemand;  // default: kDemand
  HostCount hosts;                              // default: 0
};

// The lines kDemand, kHeadroom and kTolerated add up to target.
struct PoolBuffer {
  PoolId pool;                    // default: empty
  HostCount target;               // default: 0; least serving hosts
  HostCount buffer;               // default: 0; target - demand
  std::vector<BufferLine> lines;  // default: none; reasons with hosts != 0
};

struct BufferMove {
  HostId host;  // default: empty
  PoolId from;  // default: empty
  PoolId to;    // default: empty

  friend bool operator==(const BufferMove&, const BufferMove&) = default;
};

struct BufferPlan {
  std::vector<PoolBuffer> pools;  // default: none; in the order of the input
  HostCount held;                 // default: 0; least hosts for every peak
  HostCount shared;               // default: 0; held beyond all targets now
  HostCount missing;              // default: 0; held - serving hosts, if any
  std::vector<HostId> surplus;    // default: none; serving, not needed to hold
  std::vector<BufferMove> moves;  // default: none
};

//-----------------------------------------------------------------------------
// [SECTION] BufferPlanner
//-----------------------------------------------------------------------------

// Returns the least number of hosts that serve `demand` and leave
// `demand - max_unavailable` when the fullest domain fails, for domains of the
// given sizes. If the domains are too small, the number is what one more domain
// of one host each would complete: larger than their sum.
HostCount LeastTarget(HostCount demand,
                      HostCount max_unavailable,
                      const std::vector<int>& domain_sizes);

class BufferPlanner {
 public:
  explicit BufferPlanner(BufferConfig config = {});

  // Plans for the given state. Hosts of pools that are not listed are left
  // alone. A plan applied in full and planned again has no further moves until
  // the input changes or a return is due. Cost: hosts times moves.
  BufferPlan OnState(const BufferInput& input, Instant now);

 private:
  BufferConfig config;
  std::map<PoolId, Instant> above_since;  // default: none; by pool
};

}  // namespace peridot

#endif  // SRC_COORDINATION_BUFFER_PLANNER_H_
