// Decides how long a step waits for capacity at the place where it runs
// fastest, such as the rack of its data or of its group.
//
// Index:
//   [SECTION] Durations
//   [SECTION] Forecast of a place
//   [SECTION] Demand for a place
//   [SECTION] Decision
//
// Load it answers: more steps prefer a rack than it has room for, durations
// are uncertain, and room elsewhere is available at once but slower. Steps
// claim the openings of a place in the order of their ranks, so that a step
// that goes elsewhere does so at once and not after a wait that was in vain.
//
// Pure: no I/O and no clock. Not thread-safe.

#ifndef SRC_COORDINATION_PLACEMENT_WAIT_H_
#define SRC_COORDINATION_PLACEMENT_WAIT_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "src/state/clock.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Durations
//-----------------------------------------------------------------------------

// Remaining duration of a run: log-logistic, because its tail lets the
// remaining time grow for a run that has outlived its prediction, and its
// conditional quantiles have a closed form.
struct RunOutlook {
  Duration expected{0};  // mean of the whole duration; not negative
  double spread = 0;     // standard deviation of its logarithm
  Duration age{0};       // since the start

  // Returns the quantile of the remaining time, given that the run has lasted
  // for `age`. `probability` is within (0, 1).
  Duration RemainingQuantile(double probability) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Forecast of a place
//-----------------------------------------------------------------------------

// Capacity of one endpoint of a place. Amounts are in units of the capacity
// that one waiting task needs.
struct EndpointOutlook {
  struct Run {
    RunOutlook outlook;
    double units = 0;  // that its end frees
  };
  double free = 0;        // units available at `available`
  double most = 0;        // units of the idle endpoint
  Duration available{0};  // time until it accepts work
  std::vector<Run> runs;  // that end; others are not part of `most`
};

// Instants at which room for one task opens at a place, in several scenarios.
class PlaceForecast {
 public:
  // Eight scenarios resolve the cost of a wait to about a tenth; the work of a
  // forecast is proportional to their number.
  static constexpr std::size_t kScenarios = 8;
  using Waits = std::array<Duration, kScenarios>;
  // Wait in a scenario in which no room opens.
  static constexpr Duration kNoRoom = Duration::max();

  PlaceForecast() = default;
  PlaceForecast(const std::vector<EndpointOutlook>& endpoints, Instant now);

  // Returns whether room opens at all.
  bool HasCapacity() const { return !this->openings[0].empty(); }
  // Returns how many tasks the place can run at once.
  std::size_t Capacity() const { return this->openings[0].size(); }
  // Returns the time until there is room for `tasks` tasks at once, behind all
  // claims. `tasks` is at least 1.
  Waits WaitsFor(std::size_t tasks, Instant now) const;
  // Assigns the next openings to tasks that each run for `duration`.
  void Claim(std::size_t tasks, Duration duration, Instant now);

 private:
  // By scenario: a min-heap of the instants.
  std::array<std::vector<Instant>, kScenarios> openings;
};

//-----------------------------------------------------------------------------
// [SECTION] Demand for a place
//-----------------------------------------------------------------------------

// Recent demand of tasks that prefer one place.
class PlaceDemand {
 public:
  // Tasks that would run for `work` in total at the place became ready.
  void OnReady(Duration work, Instant now);
  // Returns the average number of slots that this demand occupies.
  double BusySlots(Instant now) const;

 private:
  Instant first = Instant::max();
  Instant last{};
  double work_s = 0;  // decayed sum
};

// Returns how many tasks may wait for a place with `slots` slots so that the
// costs of all tasks together are lowest: the waits, and the additional run
// time of those that go elsewhere, which is `saving` durations each. A task
// that waits takes its slot from a task that becomes ready later; under high
// demand a queue therefore delays all tasks and saves nothing. Assumes Poisson
// arrivals and exponential durations (M/M/c/K).
std::size_t BestQueueLength(std::size_t slots,
                            double busy_slots,
                            double saving);

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

enum class PlaceWaitReason {
  kSavesTime,   // the wait is expected to be shorter than what it saves
  kCostsMore,   // the wait is expected to cost more than it saves
  kDemand,      // later tasks will need the room; see BestQueueLength()
  kNoCapacity,  // no endpoint of the place can be used
  kTooLong,     // has waited for as long as the place would save
  kObjective,   // the job would miss its objective elsewhere after this instant
};

// Returns a stable lower-case name, such as "saves_time".
const char* PlaceWaitReasonName(PlaceWaitReason reason);

struct PlaceWaitInput {
  Duration saving{0};     // additional run time elsewhere
  Instant since{};        // when the wait began; not after `now`
  Instant last_useful{};  // no wait from this instant on
  PlaceForecast::Waits waits{};
  bool within_queue = true;  // see BestQueueLength()
};

struct PlaceWaitDecision {
  bool wait = false;
  Instant until{};  // latest end of the wait, by what is known now
  PlaceWaitReason reason = PlaceWaitReason::kCostsMore;
};

// Chooses the end of the wait with the lowest expected completion time. The
// wait is at most `saving` in total: if all predictions are wrong, a task then
// completes after at most twice the time that it would have taken elsewhere.
PlaceWaitDecision DecidePlaceWait(const PlaceWaitInput& input, Instant now);

// Instants of a job that bound a wait.
struct PlaceWaitBounds {
  bool has_objective = false;
  Instant objective{};    // instant by which the job should complete
  Duration path_left{0};  // critical path of what is not completed
  Duration saving{0};     // additional run time elsewhere
};

// Returns the last instant at which the job still completes in time elsewhere.
// A job that could not do so elsewhere when its wait began at `since` may wait
// until it no longer can at its place either.
Instant LastUsefulInstant(const PlaceWaitBounds& bounds, Instant since);

}  // namespace peridot

#endif  // SRC_COORDINATION_PLACEMENT_WAIT_H_
