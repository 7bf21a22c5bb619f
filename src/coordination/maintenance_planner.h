// Rolling of one maintenance wave (reboot, upgrade) through all hosts.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Rows
//   [SECTION] Input
//   [SECTION] Plan
//   [SECTION] MaintenancePlanner
//
// The wave's only state is one value per host, stored in the host's row. A plan
// is a function of the rows and of what is observed now, so a planner that
// restarts at any step, also between two writes of one plan, goes on from the
// rows.
//
// A drain is started only while the pool's budget (design, section 12) holds
// with it: planned + unplanned absence + headroom <= max_unavailable + hosts
// lent to the pool. Headroom is the pool's largest failure domain of the class
// that it is set to survive. Each pool is rolled zone by zone and rack by rack,
// so that a faulty upgrade is confined to few domains.
//
// A pool whose budget never admits a drain borrows from the spare pool. It gets
// the fewest hosts with which it takes no longer than the slowest of the pools
// that need no loan, and returns them when its hosts are done.
//
// Thread-safe: the planner has no state that changes.
//
// Known shortcoming: pools do not wait for each other at the end of a zone, so
// two pools can be in different zones.

#ifndef SRC_COORDINATION_MAINTENANCE_PLANNER_H_
#define SRC_COORDINATION_MAINTENANCE_PLANNER_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/settings_schema.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct MaintenanceConfig {
  // The pool that lends hosts.
  PoolId spare = PoolId("spare");  // default: "spare"
  // Hosts that the spare pool keeps, as the shared part of the buffer's plan.
  HostCount spare_keep;  // default: 0 hosts
  // A failed guest is replaced after this time. Most failures are repaired in
  // hours, and a replacement costs two more moves.
  Duration guest_replace_after = std::chrono::hours(4);  // default: 4 h
  // Failures this recent count as one storm. Longer than a rack needs to show
  // all of its hosts as failed.
  Duration storm_window = std::chrono::minutes(10);  // default: 10 min
  // Fewer failures than a rack of four hosts are no storm.
  HostCount storm_hosts = HostCount(4);  // default: 4 hosts
  // In a large fleet more failures coincide by chance: at 10,000 hosts and 190
  // failures a day, 1.3 fall into the window on average, and 10 make a storm.
  int storm_part = 1'000;  // default: one host in 1,000
  // For the estimated end only.
  Duration expected_drain = std::chrono::minutes(20);  // default: 20 min
  Duration expected_down = std::chrono::minutes(10);   // default: 10 min
  // Length of the list of hosts that come next.
  std::size_t next_hosts = 10;  // default: 10 hosts
};

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

enum class MaintenanceState : std::uint8_t {
  kPending,
  kDraining,
  kDown,
  kDone
};

// The word stored in the row: "pending", "draining", "down" or "done".
const char* MaintenanceStateName(MaintenanceState state);

// Reads a stored word. Errors: kMalformed.
Result<MaintenanceState> ParseMaintenanceState(std::string_view word);

//-----------------------------------------------------------------------------
// [SECTION] Input
//-----------------------------------------------------------------------------

// One host's row and what is observed of it.
struct MaintenanceHost {
  HostId id;                                            // default: empty
  ZoneId zone;                                          // default: empty
  RackId rack;                                          // default: empty
  PoolId pool;                                          // default: empty; now
  PoolId home;                                          // default: empty; pool,
                                                        // unless the host is
                                                        // lent
  MaintenanceState state = MaintenanceState::kPending;  // default: kPending
  bool drained = false;                // default: false; draining, no work left
  bool back = false;                   // default: false; down, and up again
  std::optional<Duration> failed_for;  // default: none; does not serve
};

struct MaintenancePool {
  PoolId id;                                         // default: empty
  HostCount max_unavailable = HostCount(1);          // default: 1
  SurvivedFailure survive = SurvivedFailure::kNone;  // default: kNone
};

enum class WavePriority : std::uint8_t {
  kNormal,  // starts nothing during a storm
  kUrgent,  // goes on during a storm, under the same budgets
};

struct MaintenanceInput {
  std::vector<MaintenanceHost> hosts;  // default: none
  std::vector<MaintenancePool> pools;  // default: none; unique ids
  std::set<ZoneId> zones_out;          // default: none
  bool paused = false;                 // default: false; by operators
  WavePriority priority = WavePriority::kNormal;  // default: kNormal
};

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

// A write of the host's row, by compare-and-set against `from`.
struct MaintenanceStep {
  HostId host;                                         // default: empty
  MaintenanceState from = MaintenanceState::kPending;  // default: kPending
  MaintenanceState to = MaintenanceState::kPending;    // default: kPending
};

// A loan to a pool or its return. The host's home stays the same.
struct MaintenanceMove {
  HostId host;  // default: empty
  PoolId from;  // default: empty
  PoolId to;    // default: empty
};

enum class WaitReason : std::uint8_t {
  kPaused,   // operators paused the wave
  kStorm,    // hosts that failed within the storm window
  kBudget,   // pending hosts for which the budget has no room now
  kLoan,     // hosts being lent; 0 if too few can be lent for a start
  kFailed,   // pending hosts that do not serve; they wait for their repair
  kDrain,    // hosts that drain
  kRestart,  // hosts that are down
};

// Returns a stable lower-case name, as in "storm".
const char* WaitReasonName(WaitReason reason);

struct WaitLine {
  WaitReason reason = WaitReason::kPaused;  // default: kPaused
  PoolId pool;                              // default: empty: whole fleet
  HostCount hosts;                          // default: 0
};

struct MaintenancePlan {
  std::vector<MaintenanceStep> steps;     // default: none; in this order
  std::vector<MaintenanceMove> moves;     // default: none
  std::vector<HostId> next;               // default: none; next to be drained
  std::vector<WaitLine> waits;            // default: none
  std::optional<Duration> estimated_end;  // default: none: not known; from now
  bool storm = false;                     // default: false
  bool done = false;                      // default: false; nothing is left
};

//-----------------------------------------------------------------------------
// [SECTION] MaintenancePlanner
//-----------------------------------------------------------------------------

class MaintenancePlanner {
 public:
  explicit MaintenancePlanner(MaintenanceConfig config = {});

  // Plans the next steps. Steps that free a host come before those that start
  // one, so a prefix of the steps breaks no budget that the whole plan keeps.
  // Cost: n log n in the number of hosts.
  MaintenancePlan OnState(const MaintenanceInput& input) const;

 private:
  MaintenanceConfig config;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_MAINTENANCE_PLANNER_H_
