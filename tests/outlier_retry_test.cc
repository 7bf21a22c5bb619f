// Tests of outlier ejection and of the retry budget.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "src/coordination/outlier_detector.h"
#include "src/coordination/retry_policy.h"

namespace peridot {
namespace {

using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);
const PoolId kPool("web");

EndpointId Id(int number) {
  return EndpointId("e" + std::to_string(number));
}

OutlierDetector DetectorOf(int endpoints) {
  OutlierDetector detector;
  for (int i = 0; i < endpoints; ++i) {
    detector.OnEndpoint(Id(i), kPool);
  }
  return detector;
}

void Fail(OutlierDetector* detector, int endpoint, int times, Instant now) {
  for (int i = 0; i < times; ++i) {
    detector->OnOutcome(Id(endpoint), false, now);
  }
}

TEST_CASE("an endpoint that fails every task is ejected and probed later",
          "[routing]") {
  OutlierDetector detector = DetectorOf(10);
  Fail(&detector, 0, 2, kStart);
  REQUIRE(detector.Health(Id(0)) == EndpointHealth::kHealthy);
  Fail(&detector, 0, 1, kStart);
  REQUIRE(detector.Health(Id(0)) == EndpointHealth::kEjected);
  REQUIRE(detector.OnTick(kStart + seconds(9)).empty());
  REQUIRE(detector.OnTick(kStart + seconds(10)).size() == 1);
  REQUIRE(detector.Health(Id(0)) == EndpointHealth::kProbing);
  SECTION("a success restores it") {
    detector.OnOutcome(Id(0), true, kStart + seconds(11));
    REQUIRE(detector.Health(Id(0)) == EndpointHealth::kHealthy);
  }
  SECTION("a failure ejects it for twice as long") {
    detector.OnOutcome(Id(0), false, kStart + seconds(11));
    REQUIRE(detector.OnTick(kStart + seconds(30)).empty());
    REQUIRE(detector.OnTick(kStart + seconds(31)).size() == 1);
  }
}

TEST_CASE("a task that always fails ejects no endpoint", "[routing]") {
  // The task fails once on each of several endpoints, among successes of other
  // tasks.
  OutlierDetector detector = DetectorOf(10);
  for (int round = 0; round < 50; ++round) {
    for (int endpoint = 0; endpoint < 10; ++endpoint) {
      detector.OnOutcome(Id(endpoint), true, kStart);
      detector.OnOutcome(Id(endpoint), false, kStart);
    }
  }
  for (int endpoint = 0; endpoint < 10; ++endpoint) {
    REQUIRE(detector.Health(Id(endpoint)) == EndpointHealth::kHealthy);
  }
}

TEST_CASE("no endpoint is ejected when every endpoint fails", "[routing]") {
  OutlierDetector detector = DetectorOf(10);
  for (int round = 0; round < 60; ++round) {
    detector.OnOutcome(Id(round % 10), false, kStart);
    detector.OnOutcome(Id(round % 10), false, kStart);
    detector.OnOutcome(Id(round % 10), true, kStart);
    detector.OnOutcome(Id(round % 10), false, kStart);
    detector.OnOutcome(Id(round % 10), false, kStart);
  }
  Fail(&detector, 3, 5, kStart);
  REQUIRE(detector.Health(Id(3)) == EndpointHealth::kHealthy);
}

TEST_CASE("no more than a fixed part of a pool is ejected", "[routing]") {
  // Guards against a pool that loses all its capacity in a short burst of
  // failures.
  OutlierDetector detector = DetectorOf(10);
  int ejected = 0;
  for (int endpoint = 0; endpoint < 10; ++endpoint) {
    Fail(&detector, endpoint, 3, kStart);
    ejected += detector.Health(Id(endpoint)) == EndpointHealth::kEjected;
  }
  REQUIRE(ejected == 3);
}

TEST_CASE("retries add at most a fixed fraction to the load", "[retries]") {
  // Guards against a retry storm: every attempt fails and requests a retry.
  RetryPolicy policy(1);
  const TeamId team("a");
  int retries = 0;
  for (int task = 0; task < 10'000; ++task) {
    policy.OnFirstAttempt(team);
    retries += policy.TryRetry(team) ? 1 : 0;
    retries += policy.TryRetry(team) ? 1 : 0;
  }
  REQUIRE(retries <= 1'000 + 20);
  REQUIRE(retries >= 990);
}

TEST_CASE("the retries of one team do not use the budget of another",
          "[retries]") {
  RetryPolicy policy(1);
  while (policy.TryRetry(TeamId("a"))) {
  }
  REQUIRE(policy.TryRetry(TeamId("b")));
}

TEST_CASE("the delay grows to its bound and is random", "[retries]") {
  RetryPolicy policy(1);
  Duration longest{};
  Duration shortest = seconds(10);
  for (int i = 0; i < 1'000; ++i) {
    const Duration delay = policy.Delay(30);
    longest = std::max(longest, delay);
    shortest = std::min(shortest, delay);
    REQUIRE(policy.Delay(0) <= std::chrono::milliseconds(10));
  }
  REQUIRE(longest <= seconds(1));
  REQUIRE(longest > std::chrono::milliseconds(900));
  REQUIRE(shortest < std::chrono::milliseconds(100));
}

}  // namespace
}  // namespace peridot
