// Random fault schedules for the settings lease. Checks at the endpoint: no
// start after a change that forbids it is in force, none later than the bound
// after the commit of that change, no return to an earlier revision, and no
// wrong outcome of a change.

#include <catch2/catch.hpp>

#include "tests/support/settings_fleet.h"

namespace peridot::testing {
namespace {

void CheckSchedules(std::uint64_t first, std::uint64_t last) {
  FleetCounts total;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const FleetCounts counts = RunSettingsSchedule(seed, false);
    INFO("seed " << seed << ": forbidden " << counts.forbidden_starts
                 << ", stale " << counts.stale_starts << ", late "
                 << counts.late_starts << ", fenced " << counts.fenced_starts
                 << ", reverts " << counts.rollbacks << ", false outcomes "
                 << counts.false_outcomes);
    REQUIRE(counts.Violations() == 0);
    total.Add(counts);
  }
  // Guards against schedules in which no work starts or no change takes effect.
  CAPTURE(total.starts, total.attempts, total.committed, total.in_force);
  REQUIRE(total.starts * 4 > total.attempts);
  REQUIRE(total.in_force > static_cast<std::int64_t>(last - first + 1));
}

// Four cases, so that ctest runs them in parallel.
TEST_CASE("no start violates a change that is in force, seeds 1 to 30",
          "[settings_schedule]") {
  CheckSchedules(1, 30);
}
TEST_CASE("no start violates a change that is in force, seeds 31 to 60",
          "[settings_schedule]") {
  CheckSchedules(31, 60);
}
TEST_CASE("no start violates a change that is in force, seeds 61 to 90",
          "[settings_schedule]") {
  CheckSchedules(61, 90);
}
TEST_CASE("no start violates a change that is in force, seeds 91 to 120",
          "[settings_schedule]") {
  CheckSchedules(91, 120);
}

TEST_CASE("a fenced session gets no proof from a peer with an old registry",
          "[settings_schedule]") {
  // In these two of 10,000 schedules, a session started work after its fence
  // was in force.
  REQUIRE(RunSettingsSchedule(4765, false).Violations() == 0);
  REQUIRE(RunSettingsSchedule(8867, false).Violations() == 0);
}

TEST_CASE("polling without a lease fails on the same schedules",
          "[settings_schedule]") {
  FleetCounts total;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    total.Add(RunSettingsSchedule(seed, true));
  }
  REQUIRE(total.forbidden_starts > 0);
  REQUIRE(total.late_starts > 0);
}

}  // namespace
}  // namespace peridot::testing
