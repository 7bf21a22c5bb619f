// Random schedules of faults against the settings lease. The check is made at
// the endpoint: no start after a change that forbids it is in force, none
// later than the bound after its commit, no revert, no false outcome.

#include <catch2/catch.hpp>

#include "tests/support/settings_fleet.h"

namespace peridot::testing {
namespace {

void CheckSchedules(std::uint64_t first, std::uint64_t last) {
  FleetVerdict total;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    const FleetVerdict verdict = RunSettingsSchedule(seed, false);
    INFO("seed " << seed << ": forbidden " << verdict.forbidden_starts
                 << ", stale " << verdict.stale_starts << ", late "
                 << verdict.late_starts << ", fenced " << verdict.fenced_starts
                 << ", reverts " << verdict.reverts << ", false outcomes "
                 << verdict.false_outcomes);
    REQUIRE(verdict.Violations() == 0);
    total.Add(verdict);
  }
  // The schedules do work, and changes do come into force.
  CAPTURE(total.starts, total.attempts, total.committed, total.in_force);
  REQUIRE(total.starts * 4 > total.attempts);
  REQUIRE(total.in_force > static_cast<std::int64_t>(last - first + 1));
}

// Four cases, so that ctest runs them at the same time.
TEST_CASE("no schedule lets a start pass a change in force, seeds 1 to 30",
          "[settings_schedule]") {
  CheckSchedules(1, 30);
}
TEST_CASE("no schedule lets a start pass a change in force, seeds 31 to 60",
          "[settings_schedule]") {
  CheckSchedules(31, 60);
}
TEST_CASE("no schedule lets a start pass a change in force, seeds 61 to 90",
          "[settings_schedule]") {
  CheckSchedules(61, 90);
}
TEST_CASE("no schedule lets a start pass a change in force, seeds 91 to 120",
          "[settings_schedule]") {
  CheckSchedules(91, 120);
}

TEST_CASE("a fenced session gets no proof through a peer that lags",
          "[settings_schedule]") {
  // Two of 10,000 schedules found starts of a session whose fence was in force.
  REQUIRE(RunSettingsSchedule(4765, false).Violations() == 0);
  REQUIRE(RunSettingsSchedule(8867, false).Violations() == 0);
}

TEST_CASE("the same schedules break a poll without a lease",
          "[settings_schedule]") {
  FleetVerdict total;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    total.Add(RunSettingsSchedule(seed, true));
  }
  REQUIRE(total.forbidden_starts > 0);
  REQUIRE(total.late_starts > 0);
}

}  // namespace
}  // namespace peridot::testing
