// Tests of the event schedule that other tests use: if it did not inject a
// fault, their checks would pass without testing anything.

#include "tests/support/event_schedule.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <vector>

namespace peridot::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::vector<std::int64_t> DeliveryTimes(std::uint64_t seed,
                                        NetworkOptions options) {
  EventSchedule schedule(seed, options);
  std::vector<std::int64_t> times;
  for (int i = 0; i < 200; ++i) {
    schedule.Send(0, 1, [&] {
      times.push_back(schedule.Now().time_since_epoch().count());
    });
  }
  schedule.RunUntil(Instant{} + seconds(1));
  return times;
}

TEST_CASE("equal seeds give equal schedules", "[schedule]") {
  const NetworkOptions options{.loss_percent = 10, .duplicate_percent = 10};
  REQUIRE(DeliveryTimes(7, options) == DeliveryTimes(7, options));
  REQUIRE(DeliveryTimes(7, options) != DeliveryTimes(8, options));
}

TEST_CASE("messages are lost and duplicated", "[schedule]") {
  REQUIRE(DeliveryTimes(1, {.loss_percent = 100}).empty());
  REQUIRE(DeliveryTimes(1, {.duplicate_percent = 100}).size() == 400);
}

TEST_CASE("a paused node runs its events after the pause, a crashed one never",
          "[schedule]") {
  EventSchedule schedule(1);
  Instant paused_ran{};
  bool crashed_ran = false;
  schedule.After(milliseconds(1), 0, [&] { paused_ran = schedule.Now(); });
  schedule.After(milliseconds(1), 1, [&] { crashed_ran = true; });
  schedule.Pause(0, seconds(2));
  schedule.Crash(1);
  schedule.RunUntil(Instant{} + seconds(3));
  REQUIRE(paused_ran == Instant{} + seconds(2));
  REQUIRE_FALSE(crashed_ran);
}

TEST_CASE("a cut link delivers nothing in either direction", "[schedule]") {
  EventSchedule schedule(1);
  int delivered = 0;
  schedule.CutLink(0, 1);
  schedule.Send(0, 1, [&] { ++delivered; });
  schedule.Send(1, 0, [&] { ++delivered; });
  schedule.RunUntil(Instant{} + seconds(1));
  REQUIRE(delivered == 0);
}

}  // namespace
}  // namespace peridot::testing
