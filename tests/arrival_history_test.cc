// Tests of ArrivalHistory.

#include "src/coordination/arrival_history.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace peridot {
namespace {

using std::chrono::milliseconds;

const Instant kNow = Instant{} + std::chrono::seconds(100);

TEST_CASE("the arrival rate is the work of the last window",
          "[arrival_history]") {
  ArrivalHistory history;
  history.OnArrival(kNow - milliseconds(1000), 30);
  history.OnArrival(kNow - milliseconds(1400), 15);
  CHECK(history.Rate(kNow) == Approx(30));
  CHECK(history.Rate(kNow + milliseconds(400)) == Approx(20));
  CHECK(history.Rate(kNow + milliseconds(2000)) == 0);
}

TEST_CASE("many jobs within the short window raise the rate at once",
          "[arrival_history]") {
  // Guards against capacity that follows the start of a peak late.
  ArrivalHistory history;
  for (int i = 0; i < 8; ++i) {
    history.OnArrival(kNow - milliseconds(50 * i), 10);
  }
  CHECK(history.Rate(kNow) == Approx(160));
}

TEST_CASE("jobs that are learned of late count when they arrived",
          "[arrival_history]") {
  // Guards against a takeover, or a job feed that stood still, that reports the
  // jobs of many seconds as a peak of the present moment.
  ArrivalHistory history;
  for (int i = 0; i < 100; ++i) {
    history.OnArrival(kNow - milliseconds(100 * i), 10);
  }
  CHECK(history.Rate(kNow) < 120);
}

}  // namespace
}  // namespace peridot
