// Every fault at every step of a task, and pairs of faults. Guards against: a
// non-idempotent task that runs twice, a task reported as not run that ran, an
// answer of another task, a start after a key withdrawal or the removal of a
// zone is in force, more running tasks than the limit, and a task that never
// ends.

#include <catch2/catch.hpp>
#include <string>

#include "tests/support/task_simulation.h"

namespace peridot::testing {
namespace {

constexpr int kStages = static_cast<int>(TaskStage::kCount);
constexpr int kFaults = static_cast<int>(TaskFault::kCount);

struct Tally {
  int injected = 0;
  int violations = 0;
  std::string first;
};

void RunCell(TaskSimulationOptions options, Tally* tally) {
  TaskSimulation simulation(options);
  const TaskSimulationResult result = simulation.Run();
  tally->injected += result.injected;
  if (!result.violation.empty()) {
    ++tally->violations;
    if (tally->first.empty()) {
      tally->first =
          result.violation + ", stage " +
          std::to_string(static_cast<int>(options.stage)) + ", fault " +
          std::to_string(static_cast<int>(options.fault)) + ", second " +
          std::to_string(static_cast<int>(options.second)) + ", seed " +
          std::to_string(options.seed) +
          (options.idempotent ? ", idempotent" : "");
    }
  }
}

// The fencing step is reached only after a missing answer, so its cases begin
// with a lost answer.
bool IsReachable(TaskStage stage) {
  return stage != TaskStage::kFencing;
}

Tally RunMatrix(TaskSimulationOptions base, int seeds, bool pairs) {
  Tally tally;
  for (int stage = 0; stage < kStages; ++stage) {
    for (int fault = 0; fault < kFaults; ++fault) {
      for (int second = 0; second < (pairs ? kFaults : 1); ++second) {
        for (int seed = 1; seed <= seeds; ++seed) {
          TaskSimulationOptions options = base;
          options.stage = static_cast<TaskStage>(stage);
          options.fault = static_cast<TaskFault>(fault);
          options.second = static_cast<TaskFault>(second);
          options.seed = static_cast<std::uint64_t>(seed);
          RunCell(options, &tally);
        }
      }
    }
  }
  return tally;
}

TEST_CASE("every fault at every step of a non-idempotent task",
          "[matrix][retries]") {
  const Tally tally = RunMatrix({}, 3, false);
  INFO(tally.first);
  REQUIRE(tally.violations == 0);
}

TEST_CASE("every fault at every step of an idempotent task",
          "[matrix][retries]") {
  const Tally tally = RunMatrix({.idempotent = true}, 3, false);
  INFO(tally.first);
  REQUIRE(tally.violations == 0);
}

TEST_CASE("every pair of faults at every step", "[matrix][retries]") {
  const Tally tally = RunMatrix({}, 1, true);
  INFO(tally.first);
  REQUIRE(tally.violations == 0);
}

TEST_CASE("every reachable case injects its fault", "[matrix]") {
  // Guards against a matrix that passes because no fault was injected.
  for (int stage = 0; stage < kStages; ++stage) {
    if (!IsReachable(static_cast<TaskStage>(stage))) {
      continue;
    }
    for (int fault = 0; fault < kFaults; ++fault) {
      TaskSimulation simulation({.stage = static_cast<TaskStage>(stage),
                                 .fault = static_cast<TaskFault>(fault)});
      REQUIRE(simulation.Run().injected == 1);
    }
  }
}

TEST_CASE("without the endpoint's start deadline the matrix finds a late start",
          "[matrix]") {
  // Shows that the check can fail: the endpoint does not check the start
  // deadline.
  const Tally tally = RunMatrix({.endpoint_checks_not_after = false}, 1, true);
  REQUIRE(tally.violations > 0);
}

TEST_CASE("with a retry after an unknown outcome the matrix finds two runs",
          "[matrix]") {
  const Tally tally = RunMatrix({.retry_unknown = true}, 1, true);
  REQUIRE(tally.violations > 0);
}

}  // namespace
}  // namespace peridot::testing
