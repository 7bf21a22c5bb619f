// Tests of JobScheduler after a takeover: which work may still run unseen.

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/support/job_simulation.h"
#include "tests/support/scheduler_fixture.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr unsigned kMoveSeeds = 20;
#else
constexpr unsigned kMoveSeeds = 100;
#endif

// A new owner with one endpoint that answers and one that does not, and a job
// that the previous owner may have started on either.
struct TakeoverFixture : SchedulerFixture {
  TakeoverFixture()
      : SchedulerFixture({Endpoint("e1"), Endpoint("e2")},
                         OwnerEpoch(2),
                         /*answer_polls=*/false) {
    this->AnswerPoll(EndpointId("e1"), {});
    this->scheduler.OnWallClock(1'000'000, this->now);
    this->scheduler.OnJob(Job("old", 1), RowVersion(0), true, milliseconds(0),
                          this->now);
  }

  void ListHosts(const std::set<EndpointId>& current) {
    this->scheduler.OnHostEndpoints(current, this->now, this->now);
  }
};

TEST_CASE("a job of a previous owner starts once the other endpoint has ended",
          "[job_scheduler]") {
  // Guards against a service that stands still for the length of a lease after
  // a takeover: the previous owner moved hosts whose endpoints are still
  // listed.
  TakeoverFixture fixture;
  REQUIRE(fixture.Starts().empty());
  SECTION("its host runs another endpoint") {
    fixture.ListHosts({EndpointId("e1"), EndpointId("e3")});
    CHECK(fixture.Starts().size() == 1);
  }
  SECTION("its host still runs it") {
    fixture.ListHosts({EndpointId("e1"), EndpointId("e2")});
    CHECK(fixture.Starts().empty());
  }
  SECTION("it has left the list of endpoints as well") {
    fixture.scheduler.OnEndpointUnlisted(EndpointId("e2"), fixture.now);
    fixture.ListHosts({EndpointId("e1")});
    CHECK(fixture.Starts().size() == 1);
  }
}

TEST_CASE("an incomplete list of hosts ends no endpoint", "[job_scheduler]") {
  // Guards against a second run of a task: a platform without hosts, or one
  // whose list omits some of them, says nothing about endpoints.
  TakeoverFixture fixture;
  SECTION("it is empty") {
    fixture.ListHosts({});
  }
  SECTION("it omits an endpoint that has answered since") {
    const Instant sent = fixture.now;
    fixture.AnswerPoll(EndpointId("e1"), {});
    fixture.scheduler.OnHostEndpoints({EndpointId("e3")}, sent, fixture.now);
  }
  CHECK(fixture.Starts().empty());
}

TEST_CASE("a young endpoint does not count as ended", "[job_scheduler]") {
  // Guards against a second run of a task: the list of hosts may not show an
  // endpoint yet that has just joined and on which a previous owner started it.
  TakeoverFixture fixture;
  fixture.rows[1].start_time_ms = 999'000;  // one second ago
  fixture.scheduler.OnEndpoints(fixture.rows, fixture.now);
  fixture.ListHosts({EndpointId("e1")});
  CHECK(fixture.Starts().empty());
}

TEST_CASE("an endpoint that answers again has not ended", "[job_scheduler]") {
  // Guards against a list of hosts that is wrong about an endpoint: its report
  // decides, and the run that it lists is adopted.
  TakeoverFixture fixture;
  fixture.ListHosts({EndpointId("e1")});
  RunningTask running;
  running.task = TaskName{JobId("old"), 0, 0, 0};
  running.run = 1;
  fixture.AnswerPoll(EndpointId("e2"), {.running = {running}});
  CHECK(fixture.Starts().empty());
}

TEST_CASE("the capacity of an ended endpoint counts towards no limit",
          "[job_scheduler]") {
  // Guards against teams that reach their limit after a takeover because of
  // endpoints on which nothing can run any more.
  TakeoverFixture fixture;
  FleetConfig fleet = Fleet();
  fleet.teams[TeamId("t")] = TeamConfig{.limit = Resources{3000, 0, 0}};
  fixture.scheduler.OnFleetConfig(fleet);
  AcceptedJob job = Job("new", 1);
  job.team = TeamId("t");
  fixture.scheduler.OnJob(job, RowVersion(0), false, milliseconds(0),
                          fixture.now);
  REQUIRE(fixture.Starts().empty());
  fixture.ListHosts({EndpointId("e1")});
  CHECK(fixture.Starts().size() == 2);
}

TEST_CASE("work on an endpoint that has ended restarts before its lease lapses",
          "[job_scheduler]") {
  // Guards against work that waits for the lease of an endpoint whose host has
  // been taken away.
  SchedulerFixture fixture({Endpoint("e1"), Endpoint("e2")});
  fixture.scheduler.OnWallClock(1'000'000, fixture.now);
  const StartRun start = fixture.StartJob("j");
  fixture.Confirm(start);
  const EndpointId lost = start.target.endpoint;
  const EndpointId other(lost.value == "e1" ? "e2" : "e1");
  PollEndpoint poll;
  poll.target = start.target;
  SECTION("it answers") {
    fixture.scheduler.OnHostEndpoints({other}, fixture.now, fixture.now);
    CHECK(fixture.Starts().empty());
  }
  SECTION("it does not answer") {
    fixture.scheduler.OnPollResult(poll, std::nullopt, fixture.now,
                                   fixture.now);
    REQUIRE(fixture.Starts().empty());
    fixture.scheduler.OnHostEndpoints({other}, fixture.now, fixture.now);
    const std::vector<StartRun> again = fixture.Starts();
    REQUIRE(again.size() == 1);
    CHECK(again[0].target.endpoint == other);
  }
}

TEST_CASE("seeded simulations with moved hosts break no invariant",
          "[job_scheduler]") {
  // Guards against two runs of a task, and tasks that start again after they
  // were done, when the list of hosts ends the wait for an endpoint.
  for (unsigned seed = 1; seed <= kMoveSeeds; ++seed) {
    JobSimulation simulation(
        JobSimulationOptions{.seed = seed, .move_hosts = true});
    simulation.RunFor(milliseconds(60000));
    CAPTURE(seed, simulation.Violations());
    CHECK(simulation.Violations().empty());
    CHECK(simulation.FinalJobs() == simulation.Jobs());
  }
}

// A queue of the previous owner that went from service "s" to "s2" and back,
// with a job that may run on e2 of "s2", which does not answer.
struct MovedQueueFixture {
  explicit MovedQueueFixture(const QueueMoves& recorded) {
    std::vector<EndpointRow> rows{Endpoint("e1"), Endpoint("e2")};
    rows[1].service = ServiceId("s2");
    this->fixture.emplace(rows, OwnerEpoch(2), /*answer_polls=*/false);
    this->SendQueueTo("s");
    this->fixture->scheduler.OnEndpoints(rows, this->fixture->now);
    this->fixture->scheduler.OnPreviousQueueMoves(recorded);
    this->fixture->AnswerPoll(EndpointId("e1"), {});
    this->fixture->scheduler.OnJob(Job("old", 1), RowVersion(0), true,
                                   milliseconds(0), this->fixture->now);
  }

  void SendQueueTo(const std::string& service) {
    FleetConfig fleet = Fleet();
    fleet.services[ServiceId("s2")] = ServiceConfig{};
    fleet.queues["q"].service = ServiceId(service);
    this->fixture->scheduler.OnFleetConfig(fleet);
  }

  std::optional<SchedulerFixture> fixture;
};

QueueMoves MovedTo(const std::string& service) {
  return QueueMoves{.services = {{"q", {ServiceId(service)}}}};
}

TEST_CASE("a new owner waits for the services that a queue went to before",
          "[job_scheduler]") {
  // Guards against a second run of a task whose queue moved to another service
  // and came back: only the record tells that it may run there (review/10).
  SECTION("it moved") {
    MovedQueueFixture moved(MovedTo("s2"));
    CHECK(moved.fixture->Starts().empty());
    moved.fixture->AnswerPoll(EndpointId("e2"), {});
    CHECK(moved.fixture->Starts().size() == 1);
  }
  SECTION("the previous owner left no record") {
    MovedQueueFixture moved(QueueMoves{.unknown = true});
    CHECK(moved.fixture->Starts().empty());
  }
  SECTION("it did not move") {
    MovedQueueFixture moved(QueueMoves{});
    CHECK(moved.fixture->Starts().size() == 1);
  }
  SECTION("the record is kept until the service has answered") {
    MovedQueueFixture moved(MovedTo("s2"));
    JobScheduler& scheduler = moved.fixture->scheduler;
    CHECK(scheduler.TakeQueueMoves(moved.fixture->now) == MovedTo("s2"));
    moved.fixture->AnswerPoll(EndpointId("e2"), {});
    moved.fixture->now += milliseconds(1500);
    CHECK(scheduler.TakeQueueMoves(moved.fixture->now) == QueueMoves{});
  }
}

TEST_CASE("a job starts in another service once its move is stored",
          "[job_scheduler]") {
  // Guards against a next owner that does not know where a task may run.
  SchedulerFixture fixture({Endpoint("e1")});
  fixture.store_moves = false;
  AcceptedJob job = Job("j", 1);
  job.service = ServiceId("s0");  // its queue goes to "s" now
  fixture.scheduler.OnJob(job, RowVersion(0), false, milliseconds(0),
                          fixture.now);
  REQUIRE(fixture.Starts().empty());
  REQUIRE(fixture.scheduler.HasUnstoredQueueMoves());
  CHECK(fixture.scheduler.TakeQueueMoves(fixture.now) == MovedTo("s"));
  CHECK(fixture.Starts().empty());
  fixture.scheduler.OnQueueMovesStored();
  CHECK_FALSE(fixture.scheduler.HasUnstoredQueueMoves());
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("seeded simulations with moved queues break no invariant",
          "[job_scheduler]") {
  // Guards against two runs of a task after takeovers while the configuration
  // sends its queue from one service to another and back.
  for (unsigned seed = 1; seed <= kMoveSeeds; ++seed) {
    JobSimulation simulation(
        JobSimulationOptions{.seed = seed, .move_queue = true});
    simulation.RunFor(milliseconds(60000));
    CAPTURE(seed, simulation.Violations());
    CHECK(simulation.Violations().empty());
    CHECK(simulation.FinalJobs() == simulation.Jobs());
  }
}

}  // namespace
}  // namespace peridot
