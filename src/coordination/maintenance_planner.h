// Rolls one maintenance wave (reboot, upgrade) through all hosts.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Rows
//   [SECTION] Input
//   [SECTION] Plan
//   [SECTION] MaintenancePlanner
//
// The wave's only state is one value per host, stored in the host's row. A plan
// is a function of the rows and of the current observations, so a planner that
// restarts at any step, even between two writes of one plan, continues from the
// rows.
//
// A drain is started only if the pool's availability budget is kept with it:
// planned + unplanned absence + headroom <= max_unavailable + hosts lent to the
// pool. Headroom is the size of the pool's largest failure domain of the class
// that it is configured to survive. Each pool is rolled zone by zone and rack
// by rack, so that a faulty upgrade is confined to few domains.
//
// A pool whose budget never admits a drain borrows from the spare pool. It gets
// the fewest hosts with which it takes no longer than the slowest of the pools
// that need no loan, and returns them when its own hosts are done.
//
// Thread-safe: the planner has no mutable state.
//
// Known limitation: pools do not wait for each other at the end of a zone, so
// two pools can be in different zones at the same time.

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
  PoolId spare = PoolId("spare");
  // Hosts that the spare pool must keep: the shared part of the buffer plan.
  HostCount spare_min_hosts;
  // A borrowed host that failed is replaced after this time. Most failures are
  // repaired within hours, and a replacement costs two more moves.
  Duration borrowed_host_replace_after = std::chrono::hours(4);
  // Failures within this time count as one storm. Longer than it takes until
  // all hosts of a failed rack are reported as failed.
  Duration storm_window = std::chrono::minutes(10);
  // Minimum number of failures in a storm: a rack of four hosts.
  HostCount storm_min_hosts = HostCount(4);
  // In a large fleet a storm needs one failed host in this many, because more
  // failures coincide by chance: at 10,000 hosts and 190 failures a day, 1.3
  // fall into the window on average, and 10 make a storm.
  int storm_fleet_divisor = 1'000;
  // For the estimated end only.
  Duration expected_drain = std::chrono::minutes(20);
  Duration expected_down = std::chrono::minutes(10);
  // Maximum length of MaintenancePlan::next.
  std::size_t next_hosts = 10;
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

// Returns the name stored in the row: "pending", "draining", "down" or "done".
const char* MaintenanceStateName(MaintenanceState state);

// Parses a stored name. Errors: kMalformed.
Result<MaintenanceState> ParseMaintenanceState(std::string_view word);

//-----------------------------------------------------------------------------
// [SECTION] Input
//-----------------------------------------------------------------------------

// One host's row and its observed state.
struct MaintenanceHost {
  HostId id;
  ZoneId zone;
  RackId rack;
  PoolId pool;  // current pool
  PoolId home;  // equals pool unless lent
  MaintenanceState state = MaintenanceState::kPending;
  bool drained = false;                // draining, with no work left
  bool back = false;                   // down, and up again
  std::optional<Duration> failed_for;  // set while the host has failed
};

struct MaintenancePool {
  PoolId id;
  HostCount max_unavailable = HostCount(1);
  SurvivedFailure survive = SurvivedFailure::kNone;
};

enum class WavePriority : std::uint8_t {
  kNormal,  // starts nothing during a storm
  kUrgent,  // continues during a storm, under the same budgets
};

struct MaintenanceInput {
  std::vector<MaintenanceHost> hosts;
  std::vector<MaintenancePool> pools;  // unique ids
  std::set<ZoneId> zones_out;
  bool paused = false;  // by operators
  WavePriority priority = WavePriority::kNormal;
};

//-----------------------------------------------------------------------------
// [SECTION] Plan
//-----------------------------------------------------------------------------

// A write of the host's row, by compare-and-set against `from`.
struct MaintenanceStep {
  HostId host;
  MaintenanceState from = MaintenanceState::kPending;
  MaintenanceState to = MaintenanceState::kPending;
};

// A loan to a pool or its return. The host's home stays the same.
struct MaintenanceMove {
  HostId host;
  PoolId from;
  PoolId to;
};

enum class WaitReason : std::uint8_t {
  kPaused,   // operators paused the wave
  kStorm,    // hosts that failed within the storm window
  kBudget,   // pending hosts that the budget does not admit now
  kLoan,     // hosts being lent; 0 if too few can be lent to start a drain
  kFailed,   // pending hosts that have failed and wait for repair
  kDrain,    // hosts that are draining
  kRestart,  // hosts that are down
};

// Returns a stable lower-case name, as in "storm".
const char* WaitReasonName(WaitReason reason);

struct WaitLine {
  WaitReason reason = WaitReason::kPaused;
  PoolId pool;  // empty: whole fleet
  HostCount hosts;
};

struct MaintenancePlan {
  std::vector<MaintenanceStep> steps;  // to be executed in this order
  std::vector<MaintenanceMove> moves;
  std::vector<HostId> next;  // next hosts to be drained
  std::vector<WaitLine> waits;
  std::optional<Duration> estimated_end;  // from now; none: not known
  bool storm = false;
  bool done = false;  // no host is left to maintain
};

//-----------------------------------------------------------------------------
// [SECTION] MaintenancePlanner
//-----------------------------------------------------------------------------

class MaintenancePlanner {
 public:
  explicit MaintenancePlanner(MaintenanceConfig config = {});

  // Plans the next steps. Steps that return a host to service come before those
  // that start a drain, so a prefix of the steps violates no budget that the
  // whole plan keeps. Cost: n log n in the number of hosts.
  MaintenancePlan OnState(const MaintenanceInput& input) const;

 private:
  MaintenanceConfig config;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_MAINTENANCE_PLANNER_H_
