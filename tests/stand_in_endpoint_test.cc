// Tests of the endpoint's model. If the model violated a rule of endpoints, the
// tests of the daemon would pass without checking anything.

#include <catch2/catch.hpp>
#include <chrono>
#include <variant>

#include "stand_ins/endpoint_model.h"

namespace peridot::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant{} + seconds(100);
constexpr Duration kLease = seconds(2);

// An endpoint on which daemon d1 has a lease.
struct LeasedEndpoint {
  EndpointModel endpoint;
  LeaseGrant grant;

  explicit LeasedEndpoint(EndpointOptions options = {.id = EndpointId("e1")})
      : endpoint(std::move(options)),
        grant(std::get<LeaseGrant>(RequestLease("d1", 1, kStart))) {}

  LeaseResponse RequestLease(const char* holder,
                             std::uint64_t incarnation,
                             Instant now) {
    return this->endpoint.Lease(
        {DaemonId(holder), Incarnation(incarnation), kLease}, now);
  }

  AttemptRequest Request(const char* id, Duration run) const {
    return {.attempt = AttemptId(id),
            .task = TaskId("t"),
            .team = TeamId("counts"),
            .lease = this->grant.lease,
            .boot = this->grant.boot,
            .not_after_us = this->grant.clock_us + 60'000'000,
            .run = run,
            .payload = id};
  }

  AttemptResponse Start(const char* id, Duration run, Instant now = kStart) {
    return this->endpoint.Start(this->Request(id, run), now);
  }

  AttemptState Fence(const char* id, Instant now = kStart) {
    return this->endpoint.Fence(AttemptId(id), this->grant.boot, now).state;
  }
};

// Guards against a lease expiry that stops the tasks of another daemon: each
// daemon that starts attempts has its own lease.
TEST_CASE("a lease expiry stops only the tasks of its holder", "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(60));
  const auto other =
      std::get<LeaseGrant>(leased.RequestLease("d2", 1, kStart + seconds(1)));
  AttemptRequest request = leased.Request("b", seconds(60));
  request.lease = other.lease;
  leased.endpoint.Start(request, kStart + seconds(1));
  leased.endpoint.Advance(kStart + milliseconds(2'500));
  REQUIRE(leased.Fence("a", kStart + milliseconds(2'500)) ==
          AttemptState::kStopped);
  REQUIRE(leased.Fence("b", kStart + milliseconds(2'500)) ==
          AttemptState::kRunning);
  REQUIRE(
      leased.Start("late", seconds(1), kStart + milliseconds(2'500)).reason ==
      StartRefusal::kLease);
}

// Guards against a late heartbeat that renews an expired lease: the holder
// assumes that its attempts have stopped once the lease that it last renewed
// has expired.
TEST_CASE("a heartbeat does not renew an expired lease", "[endpoint]") {
  LeasedEndpoint leased;
  const auto again = std::get<LeaseGrant>(leased.RequestLease("d1", 1, kStart));
  REQUIRE(again.lease != leased.grant.lease);
  const std::int64_t until_us = leased.grant.clock_us + 2'500'000;
  REQUIRE(leased.endpoint.Heartbeat(leased.grant.lease, until_us,
                                    kStart + milliseconds(1'900)));
  REQUIRE(leased.endpoint.Heartbeat(leased.grant.lease, until_us,
                                    kStart + milliseconds(2'499)));
  REQUIRE_FALSE(leased.endpoint.Heartbeat(
      leased.grant.lease, until_us + 9'000'000, kStart + milliseconds(2'501)));
}

// Guards against a restarted daemon that has to wait for the lease of its
// earlier incarnation, and against an earlier incarnation that gets a lease
// again.
TEST_CASE("a later incarnation replaces the earlier one", "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  const auto second =
      std::get<LeaseGrant>(leased.RequestLease("d1", 2, kStart));
  REQUIRE(second.lease != leased.grant.lease);
  REQUIRE(leased.Fence("a") == AttemptState::kStopped);
  REQUIRE(std::holds_alternative<LeaseRefusal>(
      leased.RequestLease("d1", 1, kStart)));
}

TEST_CASE("heartbeats renew the lease, its expiry stops its tasks",
          "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("short", milliseconds(1'500));
  leased.Start("long", seconds(60));
  const auto heartbeat = leased.endpoint.Heartbeat(
      leased.grant.lease, leased.grant.clock_us + 3'000'000,
      kStart + seconds(1));
  REQUIRE(heartbeat->running ==
          std::vector{AttemptId("long"), AttemptId("short")});
  REQUIRE(heartbeat->clock_us == leased.grant.clock_us + 1'000'000);

  const auto answers = leased.endpoint.Advance(kStart + seconds(70));
  REQUIRE(answers.size() == 2);
  REQUIRE(answers[0].state == AttemptState::kDone);
  REQUIRE(answers[0].body == "ok short");
  REQUIRE(answers[0].digest == Sha256Hex("ok short"));
  REQUIRE(answers[1].state == AttemptState::kStopped);
  const RunRecord& record = leased.endpoint.Runs().at(1);
  REQUIRE(record.attempt == AttemptId("long"));
  REQUIRE(record.started == kStart);
  REQUIRE(record.ended == kStart + seconds(3));
  REQUIRE(record.outcome == AttemptState::kStopped);
}

TEST_CASE("a release ends the lease and its tasks", "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  REQUIRE_FALSE(leased.endpoint.Release(LeaseId("other"), kStart));
  REQUIRE(leased.endpoint.Release(leased.grant.lease, kStart));
  REQUIRE(leased.Fence("a") == AttemptState::kStopped);
  REQUIRE(leased.Start("b", seconds(1)).reason == StartRefusal::kLease);
}

// Guards against a daemon that is paused and starts an attempt when it resumes,
// after its right to do so has expired.
TEST_CASE("a start after not_after is refused", "[endpoint]") {
  LeasedEndpoint leased;
  AttemptRequest request = leased.Request("a", seconds(1));
  request.not_after_us = leased.grant.clock_us + 1'000;
  const Instant last = kStart + milliseconds(1);
  const auto late =
      leased.endpoint.Start(request, last + std::chrono::microseconds(1));
  REQUIRE(late.state == AttemptState::kNeverStarted);
  REQUIRE(late.reason == StartRefusal::kNotAfter);

  LeasedEndpoint in_time;
  REQUIRE(in_time.endpoint.Start(request, last).state ==
          AttemptState::kRunning);
}

// Guards against limits that are compared with another clock than the
// endpoint's, which may be fast or slow.
TEST_CASE("lease and not_after follow the endpoint's clock", "[endpoint]") {
  LeasedEndpoint fast({.drift_percent = 1});
  REQUIRE(fast.endpoint.ClockMicros(kStart + seconds(100)) -
              fast.endpoint.ClockMicros(kStart) ==
          101'000'000);
  const std::int64_t past = fast.grant.clock_us;
  REQUIRE_FALSE(fast.endpoint.Heartbeat(fast.grant.lease, past,
                                        kStart + milliseconds(1'981)));
  LeasedEndpoint slow({.drift_percent = -1});
  REQUIRE(slow.endpoint.Heartbeat(slow.grant.lease, past,
                                  kStart + milliseconds(2'019)));
}

TEST_CASE("the slots limit the running tasks", "[endpoint]") {
  LeasedEndpoint leased({.slots = SlotCount(2)});
  leased.Start("a", seconds(1));
  leased.Start("b", seconds(1));
  REQUIRE(leased.Start("c", seconds(1)).reason == StartRefusal::kSlots);
  leased.endpoint.Advance(kStart + seconds(1));
  REQUIRE(leased.Start("d", seconds(1), kStart + seconds(1)).state ==
          AttemptState::kRunning);
  AttemptRequest wide = leased.Request("wide", seconds(1));
  wide.slots = SlotCount(2);
  REQUIRE(leased.endpoint.Start(wide, kStart + seconds(1)).reason ==
          StartRefusal::kSlots);
}

// Guards against an attempt that starts after "never_started" was reported.
TEST_CASE("an attempt that is fenced before its start is refused",
          "[endpoint]") {
  LeasedEndpoint leased;
  REQUIRE(leased.Fence("a") == AttemptState::kNeverStarted);
  const auto late = leased.Start("a", seconds(1));
  REQUIRE(late.state == AttemptState::kNeverStarted);
  REQUIRE(late.reason == StartRefusal::kFenced);
  REQUIRE(leased.endpoint.Runs().empty());
}

TEST_CASE("a fence after the start reports the attempt as running",
          "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  REQUIRE(leased.Fence("a") == AttemptState::kRunning);
  REQUIRE(leased.endpoint.Advance(kStart + seconds(1)).size() == 1);
  const auto done = leased.endpoint.Fence(AttemptId("a"), leased.grant.boot,
                                          kStart + seconds(1));
  REQUIRE(done.state == AttemptState::kDone);
  REQUIRE(done.body == "ok a");
}

// Guards against an attempt that runs twice: a refused attempt may be retried
// on another endpoint, so it must never start on this one.
TEST_CASE("a refused attempt does not start when it is repeated",
          "[endpoint]") {
  LeasedEndpoint leased;
  leased.endpoint.SetFaults({.leaving = true});
  REQUIRE(leased.Start("a", seconds(1)).reason == StartRefusal::kLeaving);
  leased.endpoint.SetFaults({});
  REQUIRE(leased.Start("a", seconds(1)).state == AttemptState::kNeverStarted);
  REQUIRE(leased.endpoint.Runs().empty());
}

TEST_CASE("a repeated attempt runs once", "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  REQUIRE(leased.Start("a", seconds(1)).state == AttemptState::kRunning);
  leased.endpoint.Advance(kStart + seconds(1));
  REQUIRE(leased.Start("a", seconds(1), kStart + seconds(1)).body == "ok a");
  REQUIRE(leased.endpoint.Runs().size() == 1);
}

TEST_CASE("a cancel stops a running task and prevents a later start",
          "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  REQUIRE(leased.endpoint.Cancel(AttemptId("a"), {}, kStart).state ==
          AttemptState::kStopped);
  REQUIRE(leased.endpoint.Cancel(AttemptId("b"), {}, kStart).state ==
          AttemptState::kNeverStarted);
  REQUIRE(leased.Start("b", seconds(1)).reason == StartRefusal::kFenced);
  REQUIRE(leased.endpoint.Heartbeat(leased.grant.lease, 0, kStart)->used ==
          SlotCount(0));
}

// Guards against a non-idempotent task that runs twice: an endpoint has no
// record of its attempts after a restart and must not report "never_started".
TEST_CASE("attempts of an earlier boot are unknown", "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  leased.endpoint.Restart(kStart);
  REQUIRE(leased.endpoint.Boot() != leased.grant.boot);
  REQUIRE(leased.Fence("a") == AttemptState::kUnknown);
  REQUIRE_FALSE(leased.endpoint.FindAttempt(AttemptId("a"), kStart));
  REQUIRE(leased.Start("b", seconds(1)).reason == StartRefusal::kBoot);
  REQUIRE(leased.endpoint.Runs().at(0).outcome == AttemptState::kStopped);
  REQUIRE(leased.endpoint.Advance(kStart + seconds(5)).empty());
}

// Guards against a holder that receives the attempts of another holder and
// counts them as its own.
TEST_CASE("leases of different holders are independent", "[endpoint]") {
  LeasedEndpoint leased;
  const auto other = std::get<LeaseGrant>(leased.RequestLease("d2", 1, kStart));
  leased.Start("a", seconds(1));
  AttemptRequest request = leased.Request("b", seconds(1));
  request.lease = other.lease;
  leased.endpoint.Start(request, kStart);
  leased.RequestLease("d1", 2, kStart);
  REQUIRE(leased.Fence("a") == AttemptState::kStopped);
  const auto heartbeat = leased.endpoint.Heartbeat(other.lease, 0, kStart);
  REQUIRE(heartbeat->running == std::vector{AttemptId("b")});
  const auto later = std::get<LeaseGrant>(leased.RequestLease("d2", 1, kStart));
  REQUIRE(leased.endpoint.Heartbeat(later.lease, 0, kStart)->running.empty());
}

// Guards against a model that keeps state which a real endpoint loses in a
// restart: the tests of the daemons would rely on it.
TEST_CASE("a restart discards leases and incarnations", "[endpoint]") {
  LeasedEndpoint leased;
  leased.RequestLease("d1", 2, kStart);
  REQUIRE(std::holds_alternative<LeaseRefusal>(
      leased.RequestLease("d1", 1, kStart)));
  leased.endpoint.Restart(kStart);
  REQUIRE_FALSE(leased.endpoint.Heartbeat(leased.grant.lease, 0, kStart));
  REQUIRE(
      std::holds_alternative<LeaseGrant>(leased.RequestLease("d1", 1, kStart)));
}

TEST_CASE("the fault fail_all ends every task with a failure", "[endpoint]") {
  LeasedEndpoint leased;
  leased.endpoint.SetFaults({.fail_all = true});
  leased.Start("a", seconds(1));
  const auto answers = leased.endpoint.Advance(kStart);
  REQUIRE(answers.at(0).state == AttemptState::kFailed);
  REQUIRE(answers.at(0).body.empty());
}

TEST_CASE("responses are lost, wrong or truncated by fault", "[endpoint]") {
  LeasedEndpoint leased;
  leased.endpoint.SetFaults(
      {.lose_answers = 1, .wrong_answers = 1, .truncate = 1});
  leased.Start("a", milliseconds(1));
  leased.Start("b", milliseconds(2));
  leased.Start("c", milliseconds(3));
  const auto answers = leased.endpoint.Advance(kStart + milliseconds(3));
  REQUIRE(answers.at(0).lost);
  REQUIRE(answers.at(1).in_reply_to == AttemptId("b"));
  REQUIRE(answers.at(1).attempt == AttemptId("a"));
  REQUIRE(answers.at(1).body == "ok a");
  REQUIRE(answers.at(2).body == "ok");
  REQUIRE(answers.at(2).length == 4);
  REQUIRE(answers.at(2).digest == Sha256Hex("ok c"));
  // A wrong response never matches the request, even if no other attempt ended.
  leased.endpoint.SetFaults({.wrong_answers = 1});
  REQUIRE(leased.Start("c", seconds(1), kStart + milliseconds(3)).attempt !=
          AttemptId("c"));
  // The endpoint's own state is not affected by the faults.
  REQUIRE(leased.Fence("a", kStart + milliseconds(3)) == AttemptState::kDone);
}

TEST_CASE("open connections stop responding, new ones work", "[endpoint]") {
  LeasedEndpoint leased({.connections = 2});
  const auto old = leased.endpoint.Connect();
  leased.endpoint.SilenceOpenConnections();
  const auto fresh = leased.endpoint.Connect();
  REQUIRE(leased.endpoint.IsSilent(*old));
  REQUIRE_FALSE(leased.endpoint.IsSilent(*fresh));
  REQUIRE_FALSE(leased.endpoint.Connect());
  leased.endpoint.Disconnect(*old);
  REQUIRE(leased.endpoint.Connect());
}

// Guards against an endpoint that resumes after a pause and continues the tasks
// of a lease that has expired meanwhile.
TEST_CASE("a pause delays tasks but not the expiry of the lease",
          "[endpoint]") {
  LeasedEndpoint leased;
  leased.Start("a", seconds(1));
  leased.endpoint.Pause(seconds(3), kStart);
  REQUIRE(leased.endpoint.PausedUntil() == kStart + seconds(3));
  REQUIRE(leased.endpoint.Advance(kStart + seconds(2)).empty());
  REQUIRE(leased.endpoint.NextEvent() == kStart + seconds(3));
  const auto answers = leased.endpoint.Advance(kStart + seconds(3));
  REQUIRE(answers.at(0).state == AttemptState::kStopped);
  REQUIRE(leased.endpoint.Runs().at(0).ended == kStart + seconds(3));
}

}  // namespace
}  // namespace peridot::stand_ins
