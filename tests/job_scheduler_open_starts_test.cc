// Tests of JobScheduler with start orders that get no answer and may be
// executed seconds later, also by the next process of their endpoint.

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "tests/support/scheduler_fixture.h"

namespace peridot {
namespace {

constexpr std::int64_t kSecondStartMs = 9;  // Endpoint() started at 7
// The start order is too old after 12 s and the margin for late timers.
constexpr Milliseconds kOrderLife{12300};

RunningTask Running(const StartRun& start) {
  RunningTask running;
  running.task = start.task;
  running.run = start.run;
  return running;
}

// A start order has got no answer, and the next report does not list its run.
struct UnansweredFixture : SchedulerFixture {
  explicit UnansweredFixture(
      const AcceptedJob& job,
      std::vector<EndpointRow> endpoints = {Endpoint("e1"), Endpoint("e2")})
      : SchedulerFixture(std::move(endpoints)) {
    this->scheduler.OnJob(job, RowVersion(0), false, Milliseconds(0),
                          this->now);
    this->order = this->Starts().at(0);
    this->at = this->order.target.endpoint;
    this->LoseAnswer();
    this->AnswerPoll(this->at, {});
  }

  void LoseAnswer() {
    this->lost = this->now;
    this->scheduler.OnStartReply(this->order, OrderAnswer{}, this->now);
  }

  // Confirms each stop that is sent; a report follows that lists no run.
  void ConfirmStops(std::int64_t start_time_ms = 7) {
    for (const StopRun& stop : this->Stops()) {
      this->scheduler.OnStopReply(stop, OrderReply::kDone, this->now);
      this->AnswerPoll(stop.target.endpoint, {.start_time_ms = start_time_ms});
    }
  }

  EndpointId Other() const {
    return EndpointId(this->at == EndpointId("e1") ? "e2" : "e1");
  }

  StartRun order;
  EndpointId at;
  Instant lost{};
};

AcceptedJob LongRunningJob() {
  AcceptedJob job = Job("j", 1);
  job.spec.steps[0].long_running = true;
  return job;
}

TEST_CASE("a task waits until a start without an answer is too old",
          "[job_scheduler]") {
  // Guards against two runs: an endpoint that has lost power executes the late
  // order in its next process, which knows of no stop (review/12).
  UnansweredFixture fixture(Job("j", 1));
  fixture.ConfirmStops();
  CHECK(fixture.Starts().empty());
  const int restarts = GENERATE(0, 1, 2);
  for (int i = 0; i < restarts; ++i) {
    const std::int64_t start_time_ms = kSecondStartMs + i;
    fixture.now += Milliseconds(2000);
    fixture.AnswerPoll(fixture.at, {.start_time_ms = start_time_ms});
    fixture.StoreUsedEndpoints();
    fixture.ConfirmStops(start_time_ms);
    CHECK(fixture.Starts().empty());
  }
  const std::int64_t start_time_ms =
      restarts == 0 ? 7 : kSecondStartMs + restarts - 1;
  fixture.now = fixture.lost + kOrderLife - Milliseconds(1);
  CHECK(fixture.Starts().empty());
  fixture.now += Milliseconds(1);
  fixture.Starts();
  fixture.AnswerPoll(fixture.at, {.start_time_ms = start_time_ms});
  fixture.ConfirmStops(start_time_ms);
  const std::vector<StartRun> again = fixture.Starts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].run > fixture.order.run);
}

TEST_CASE("a start that is executed late is the run of its task",
          "[job_scheduler]") {
  // Guards against a wait that goes on, and a stop of the run, when the order
  // has taken effect after all.
  UnansweredFixture fixture(Job("j", 1));
  fixture.now += Milliseconds(6000);
  const bool restarted = GENERATE(false, true);
  const std::int64_t start_time_ms = restarted ? kSecondStartMs : 7;
  fixture.AnswerPoll(fixture.at, {.start_time_ms = start_time_ms,
                                  .running = {Running(fixture.order)}});
  CHECK(fixture.Stops().empty());
  fixture.AnswerPoll(fixture.at,
                     {.start_time_ms = start_time_ms,
                      .ended = {End(1, fixture.order, EndKind::kFailed)}});
  fixture.StoreUsedEndpoints();
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("an endpoint that falls silent keeps a start without an answer",
          "[job_scheduler]") {
  // Guards against a second run elsewhere while the order may still be executed
  // by an endpoint that comes back: its lease lapses, its host is not listed or
  // both, before the order is too old.
  UnansweredFixture fixture(Job("j", 1));
  fixture.FailPoll(fixture.at);
  fixture.FailPoll(fixture.at);
  const bool listed = GENERATE(false, true);
  if (!listed) {
    fixture.scheduler.OnEndpointUnlisted(fixture.at, fixture.now);
  }
  const bool host_ended = GENERATE(false, true);
  if (host_ended) {
    fixture.now += Milliseconds(5000);
    fixture.scheduler.OnHostEndpoints({fixture.Other()}, fixture.now,
                                      fixture.now);
  }
  fixture.now = fixture.lost + kOrderLife - Milliseconds(1);
  CHECK(fixture.Starts().empty());
  fixture.now += Milliseconds(1);
  // An order that was executed at the last moment holds the longest lease,
  // unless no host runs the endpoint any more.
  CHECK(fixture.Starts().size() == (host_ended ? 1 : 0));
  SECTION("for the longest lease") {
    const JobSchedulerConfig config;
    fixture.now += config.endpoint_lease_max - Milliseconds(1);
    CHECK(fixture.Starts().empty());
    fixture.now += Milliseconds(501);
    CHECK(fixture.Starts().size() == (host_ended ? 0 : 1));
  }
  SECTION("until it answers") {
    fixture.scheduler.OnEndpoints(fixture.rows, fixture.now);
    fixture.AnswerPoll(fixture.at, {.start_time_ms = kSecondStartMs});
    fixture.StoreUsedEndpoints();
    fixture.ConfirmStops(kSecondStartMs);
    CHECK(fixture.Starts().size() == (host_ended ? 0 : 1));
  }
}

TEST_CASE("an endpoint whose address is reused has taken its orders with it",
          "[job_scheduler]") {
  // Guards against a wait for an order that can no longer arrive.
  UnansweredFixture fixture(Job("j", 1));
  fixture.scheduler.OnEndpointUnlisted(fixture.at, fixture.now);
  EndpointRow row = Endpoint("e3");
  row.address = fixture.order.target.address;
  fixture.scheduler.OnEndpointListed(row, fixture.now);
  const std::vector<StartRun> again = fixture.Starts();
  REQUIRE(again.size() == 1);
  CHECK(again[0].target.endpoint == fixture.Other());
}

TEST_CASE("a late answer to a start tells that it is over", "[job_scheduler]") {
  // Guards against a wait for an order that its endpoint has refused.
  UnansweredFixture fixture(Job("j", 1));
  fixture.scheduler.OnStartReply(
      fixture.order, OrderAnswer{.reply = OrderReply::kNoRoom}, fixture.now);
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("a long-running task starts again beside a start without an answer",
          "[job_scheduler]") {
  // Guards against two runs on two endpoints, and against long-running work
  // that waits until the order is too old.
  UnansweredFixture fixture(LongRunningJob());
  fixture.ConfirmStops();
  SECTION("on the same endpoint") {
    const std::vector<StartRun> again = fixture.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.endpoint == fixture.at);
  }
  SECTION("before others take its room there") {
    AcceptedJob filler = Job("a", 8);
    filler.spec.steps[0].per_task = Resources{4000, 100, 0};
    fixture.scheduler.OnJob(filler, RowVersion(0), false, Milliseconds(0),
                            fixture.now);
    const std::vector<StartRun> starts = fixture.Starts();
    REQUIRE(starts.size() == 2);
    CHECK(starts[0].task == fixture.order.task);
    CHECK(starts[0].target.endpoint == fixture.at);
    CHECK(starts[1].target.endpoint == fixture.Other());
  }
  SECTION("also after that has restarted") {
    fixture.AnswerPoll(fixture.at, {.start_time_ms = kSecondStartMs});
    fixture.StoreUsedEndpoints();
    const std::vector<StartRun> again = fixture.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.endpoint == fixture.at);
  }
  SECTION("elsewhere once that gets no new work") {
    fixture.scheduler.OnCordoned({fixture.at});
    const std::vector<StartRun> again = fixture.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.endpoint == fixture.Other());
  }
  SECTION("elsewhere once the lease of that has lapsed") {
    fixture.FailPoll(fixture.at);
    fixture.FailPoll(fixture.at);
    CHECK(fixture.Starts().empty());
    fixture.now += Milliseconds(6000);
    const std::vector<StartRun> again = fixture.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.endpoint == fixture.Other());
  }
}

TEST_CASE("a long-running task with a start without an answer is not evicted",
          "[job_scheduler]") {
  // Guards against a task that must wait, or run twice, because its host leaves
  // while an earlier start of it may still arrive there.
  AcceptedJob job = LongRunningJob();
  job.spec.steps[0].max_unavailable = 1;
  UnansweredFixture fixture(job);
  fixture.ConfirmStops();
  const StartRun again = fixture.Starts().at(0);
  fixture.Confirm(again);
  RunningTask running = Running(again);
  running.percent = 100;
  fixture.AnswerPoll(fixture.at, {.running = {running}});
  fixture.scheduler.Evict(fixture.at, fixture.now);
  CHECK(fixture.Stops().empty());
  fixture.now = fixture.lost + kOrderLife;
  fixture.Starts();
  fixture.AnswerPoll(fixture.at, {.running = {running}});
  fixture.scheduler.Evict(fixture.at, fixture.now);
  CHECK(fixture.Stops().size() == 1);
}

TEST_CASE("a gang waits until a start of a member is too old",
          "[job_scheduler]") {
  // Guards against a member that runs twice: all members of a run share its
  // number, and the late one belongs to the previous run.
  AcceptedJob job = Job("j", 2);
  job.spec.steps[0].gang = true;
  SchedulerFixture fixture({Endpoint("e1"), Endpoint("e2")});
  fixture.scheduler.OnJob(job, RowVersion(0), false, Milliseconds(0),
                          fixture.now);
  const std::vector<StartRun> starts = fixture.Starts();
  REQUIRE(starts.size() == 2);
  const EndpointId at = starts[0].target.endpoint;
  REQUIRE(starts[1].target.endpoint == at);
  fixture.Confirm(starts[0]);
  fixture.scheduler.OnStartReply(starts[1], OrderAnswer{}, fixture.now);
  const Instant lost = fixture.now;
  fixture.AnswerPoll(at, {.ended = {End(1, starts[0], EndKind::kAlone)}});
  fixture.now = lost + kOrderLife - Milliseconds(1);
  CHECK(fixture.Starts().empty());
  fixture.now += Milliseconds(1);
  fixture.Starts();
  fixture.AnswerPoll(at, {});
  for (const StopRun& stop : fixture.Stops()) {
    fixture.scheduler.OnStopReply(stop, OrderReply::kDone, fixture.now);
  }
  fixture.AnswerPoll(at, {});
  CHECK(fixture.Starts().size() == 2);
}

TEST_CASE("a speculative task waits for no earlier start", "[job_scheduler]") {
  // Guards against a wait where copies may run in parallel.
  AcceptedJob job = Job("j", 1);
  job.spec.steps[0].speculative = true;
  UnansweredFixture fixture(job);
  fixture.ConfirmStops();
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("an endpoint with an overdue start is polled without haste",
          "[job_scheduler]") {
  // Guards against polls in rapid succession while the order is late.
  UnansweredFixture fixture(Job("j", 1));
  const SchedulerActions actions = fixture.scheduler.Advance(true, fixture.now);
  REQUIRE(actions.polls.size() == 1);
  CHECK(actions.polls[0].target.endpoint == fixture.at);
  CHECK(actions.polls[0].wait.count() > 0);
}

TEST_CASE("a start that is answered late is stored before the call returns",
          "[job_scheduler]") {
  // Guards against an owner that ends before it knows that there is no answer.
  SchedulerFixture fixture({Endpoint("e1")});
  const StartRun start = fixture.StartJob("j");
  CHECK_FALSE(fixture.scheduler.HasUnstoredStarts(fixture.now));
  CHECK(fixture.StoreUsedEndpoints().at(0).unanswered_starts.empty());
  fixture.now += Milliseconds(100);
  CHECK(fixture.scheduler.HasUnstoredStarts(fixture.now));
  const std::vector<UnansweredStart> stored =
      fixture.StoreUsedEndpoints().at(0).unanswered_starts;
  REQUIRE(stored.size() == 1);
  CHECK(stored[0].task == start.task);
  CHECK(stored[0].remaining_ms >= 12300);
  CHECK_FALSE(fixture.scheduler.HasUnstoredStarts(fixture.now));
  fixture.Confirm(start);
  CHECK(fixture.StoreUsedEndpoints().at(0).unanswered_starts.empty());
}

TEST_CASE("the next owner waits for recorded starts without an answer",
          "[job_scheduler]") {
  // Guards against a second run by an owner that has not sent the late order
  // itself.
  UnansweredFixture fixture(Job("j", 1));
  CHECK(fixture.scheduler.HasUnstoredStarts(fixture.now));
  const std::vector<UsedEndpoint> used = fixture.StoreUsedEndpoints();
  CHECK_FALSE(fixture.scheduler.HasUnstoredStarts(fixture.now));
  SchedulerFixture next({Endpoint("e1"), Endpoint("e2")}, OwnerEpoch(2));
  next.scheduler.OnPreviousOwnerEndpoints(used, next.now);
  const Instant loaded = next.now;
  next.scheduler.OnJob(Job("j", 1), RowVersion(0), /*before_takeover=*/true,
                       Milliseconds(0), next.now);
  CHECK(next.Starts().empty());
  CHECK(next.StoreUsedEndpoints() != std::vector<UsedEndpoint>{});
  SECTION("until they are too old") {
    next.now = loaded + Milliseconds(12000);
    CHECK(next.Starts().empty());
    next.now += Milliseconds(300);
    // Executed at the last moment, it would be listed by the next report only.
    CHECK(next.Starts().empty());
    next.AnswerPoll(fixture.at, {});
    CHECK(next.Starts().size() == 1);
  }
  SECTION("or executed") {
    next.AnswerPoll(fixture.at, {.running = {Running(fixture.order)}});
    next.AnswerPoll(fixture.at,
                    {.ended = {End(1, fixture.order, EndKind::kFailed)}});
    CHECK(next.Starts().size() == 1);
  }
  SECTION("and so does the owner after it") {
    SchedulerFixture third({Endpoint("e1"), Endpoint("e2")}, OwnerEpoch(3));
    third.scheduler.OnPreviousOwnerEndpoints(next.StoreUsedEndpoints(),
                                             third.now);
    third.scheduler.OnJob(Job("j", 1), RowVersion(0), /*before_takeover=*/true,
                          Milliseconds(0), third.now);
    CHECK(third.Starts().empty());
  }
}

TEST_CASE("owners that follow one another add the longest lease once",
          "[job_scheduler]") {
  // Guards against a task that waits for the longest lease again after each
  // takeover, while its endpoint does not answer (platform_soak seed 9123).
  const JobSchedulerConfig config;
  UnansweredFixture fixture(Job("j", 1));
  fixture.FailPoll(fixture.at);
  fixture.now = fixture.lost + kOrderLife;
  CHECK(fixture.Starts().empty());  // the longest lease begins
  std::vector<UsedEndpoint> used = fixture.StoreUsedEndpoints();
  std::erase_if(used,
                [&](const auto& entry) { return entry.id != fixture.at; });
  REQUIRE(used.size() == 1);
  REQUIRE(used[0].unanswered_starts.size() == 1);
  const Milliseconds left(used[0].unanswered_starts[0].remaining_ms);
  CHECK(left > config.endpoint_lease_max);

  SchedulerFixture next({Endpoint("e9")}, OwnerEpoch(2));
  next.scheduler.OnPreviousOwnerEndpoints(used, next.now);
  const Instant loaded = next.now;
  next.scheduler.OnJob(Job("j", 1), RowVersion(0), /*before_takeover=*/true,
                       Milliseconds(0), next.now);
  next.now = loaded + left - Milliseconds(1);
  CHECK(next.Starts().empty());
  next.now += Milliseconds(1);
  CHECK(next.Starts().size() == 1);
}

}  // namespace
}  // namespace peridot
