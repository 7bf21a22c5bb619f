// Tests of the endpoint lease and its clock mapping.

#include "src/coordination/endpoint_lease.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <random>

namespace peridot {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);

EndpointReport Report(std::int64_t clock_us) {
  return {.lease = LeaseId("l1"),
          .boot = BootId("b1"),
          .clock_us = clock_us,
          .slots = SlotCount(8)};
}

TEST_CASE("no start outlives its proof within the clock drift bound",
          "[endpoint_lease]") {
  // Guards the conversion of the proof's expiry to the endpoint's clock: for
  // any clock rate within 1% and any time of the clock reading between send and
  // receipt, the endpoint passes not_after before this daemon passes the
  // expiry.
  std::mt19937_64 random(11);
  std::uniform_int_distribution<std::int64_t> rate_ppm(-10'000, 10'000);
  std::uniform_int_distribution<std::int64_t> flight_us(0, 400'000);
  std::uniform_int_distribution<std::int64_t> left_us(0, 5'000'000);
  for (int i = 0; i < 2'000; ++i) {
    const Instant sent = kStart;
    const Instant read = sent + microseconds(flight_us(random));
    const Instant received = read + microseconds(flight_us(random));
    const Instant expiry = received + microseconds(left_us(random));
    const double rate = 1.0 + static_cast<double>(rate_ppm(random)) / 1e6;
    EndpointLease lease;
    lease.OnReport(Report(7'000'000), sent, received);
    const double passed_us =
        static_cast<double>(lease.NotAfterUs(expiry) - 7'000'000) / rate;
    const double allowed_us =
        static_cast<double>((expiry - read).count()) / 1'000.0;
    REQUIRE(passed_us <= allowed_us);
  }
}

TEST_CASE("a lease that was not renewed permits no start", "[endpoint_lease]") {
  EndpointLease lease;
  REQUIRE(lease.CheckStart(kStart, true) == LeaseRefusal::kNoLease);
  lease.OnReport(Report(0), kStart, kStart + milliseconds(1));
  REQUIRE(lease.CheckStart(kStart + milliseconds(2), true) ==
          LeaseRefusal::kNone);
  REQUIRE(lease.CheckStart(kStart + seconds(2), true) ==
          LeaseRefusal::kNoLease);
}

TEST_CASE("a non-idempotent start needs a recent answer", "[endpoint_lease]") {
  EndpointLease lease;
  lease.OnReport(Report(0), kStart, kStart);
  const Instant later = kStart + milliseconds(1'500);
  REQUIRE(lease.CheckStart(later, true) == LeaseRefusal::kNone);
  REQUIRE(lease.CheckStart(later, false) == LeaseRefusal::kNoRecentAnswer);
}

TEST_CASE("a reported leaving state stays until the endpoint restarts",
          "[endpoint_lease]") {
  // Guards against a delayed answer that was written before the host began to
  // leave.
  EndpointLease lease;
  EndpointReport leaving = Report(0);
  leaving.leaving = true;
  lease.OnReport(leaving, kStart, kStart);
  lease.OnReport(Report(1'000), kStart, kStart);
  REQUIRE(lease.CheckStart(kStart, true) == LeaseRefusal::kLeaving);
  EndpointReport restarted = Report(0);
  restarted.boot = BootId("b2");
  lease.OnReport(restarted, kStart, kStart);
  REQUIRE(lease.CheckStart(kStart, true) == LeaseRefusal::kNone);
  lease.SetListedLeaving(true);
  REQUIRE(lease.CheckStart(kStart, true) == LeaseRefusal::kLeaving);
}

TEST_CASE("a connection without an answer is replaced after the timeout",
          "[endpoint_lease]") {
  EndpointLease lease;
  REQUIRE(lease.OnTick(kStart).request == LeaseStep::kAcquire);
  REQUIRE(lease.OnTick(kStart + milliseconds(900)).request == LeaseStep::kNone);
  const LeaseTick tick = lease.OnTick(kStart + seconds(1));
  REQUIRE(tick.replace_connection);
  REQUIRE(tick.request == LeaseStep::kAcquire);
}

TEST_CASE("a renewal never extends the lease past what the holder assumes",
          "[endpoint_lease]") {
  // Guards against a heartbeat that is delivered long after it was sent.
  EndpointLease lease;
  lease.OnReport(Report(1'000'000), kStart, kStart);
  const Instant renewal = kStart + seconds(1);
  REQUIRE(lease.OnTick(renewal).request == LeaseStep::kHeartbeat);
  const double until_us =
      static_cast<double>(lease.RenewUntilUs(renewal, renewal) - 1'000'000);
  const double slowest_clock = until_us / 0.99;
  Instant stopped = renewal;
  while (!lease.IsProvenStopped(LeaseId("l1"), stopped)) {
    stopped += milliseconds(1);
  }
  REQUIRE(static_cast<double>((stopped - kStart).count()) / 1'000.0 >=
          slowest_clock - 1'000);
}

TEST_CASE("a renewal extends nothing past the daemon's authority",
          "[endpoint_lease]") {
  // Guards against a fenced daemon that still reaches its endpoints: its tasks
  // would keep running while other daemons use its permits.
  EndpointLease lease;
  lease.OnReport(Report(1'000'000), kStart, kStart);
  const Instant end = kStart + milliseconds(500);
  const std::int64_t last = lease.RenewUntilUs(end, end);
  REQUIRE(lease.RenewUntilUs(end + seconds(5), end) == last);
  REQUIRE(last <= 1'000'000 + 2'500'000);
  EndpointLease fresh;
  fresh.OnReport(Report(0), kStart, kStart);
  REQUIRE(fresh.RenewUntilUs(kStart, Instant{}) == 0);
}

}  // namespace
}  // namespace peridot
