// Tests of the calls to the advice service and of the use of its tickets:
// single cases, and seeded simulations with faults.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/job_scheduler.h"
#include "tests/support/job_simulation.h"
#include "tests/support/scheduler_fixture.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

std::vector<EndpointRow> Pool(int size, const std::string& service = "s") {
  std::vector<EndpointRow> rows;
  for (int i = 0; i < size; ++i) {
    rows.push_back(Endpoint(service + std::to_string(1000 + i)));
    rows.back().service = ServiceId(service);
    rows.back().address = service + ":" + std::to_string(i);
  }
  return rows;
}

FleetConfig AdvisedFleet(milliseconds valid) {
  FleetConfig fleet = Fleet();
  QueueConfig& queue = fleet.queues["q"];
  queue.needs_advice = true;
  queue.advice = AdviceSettings{milliseconds(20), milliseconds(1), valid};
  queue.objective = std::chrono::seconds(2);
  QueueConfig& other = fleet.queues["other"] = queue;
  other.name = "other";
  other.service = ServiceId("t");
  fleet.services[ServiceId("t")] = ServiceConfig{};
  return fleet;
}

// A scheduler whose queues need advice, with idle endpoints.
struct AdvisedFixture : SchedulerFixture {
  explicit AdvisedFixture(std::vector<EndpointRow> endpoints,
                          milliseconds valid = milliseconds(3000))
      : SchedulerFixture(std::move(endpoints)), valid(valid) {
    this->scheduler.OnFleetConfig(AdvisedFleet(valid));
    this->scheduler.OnEndpoints(this->rows, this->now);
    for (const EndpointRow& row : this->rows) {
      this->AnswerPoll(row.id, {});
    }
  }

  void AddJob(const std::string& id, int tasks = 1) {
    this->Add(Job(id, tasks));
  }
  void Add(const AcceptedJob& job) {
    this->scheduler.OnJob(job, RowVersion(0), false, milliseconds(0),
                          this->now);
  }

  // Returns the new calls, after another round, and keeps the starts.
  std::vector<AdviceRequest> Calls() {
    SchedulerActions actions = this->scheduler.Advance(true, this->now);
    this->CollectActions(&actions);
    return std::exchange(this->advice, {});
  }

  void Answer(const AdviceRequest& call, const std::set<std::string>& allowed) {
    std::vector<AdviceTicket> tickets;
    for (const EndpointId& endpoint : call.endpoints) {
      if (allowed.contains(endpoint.value)) {
        tickets.push_back(
            AdviceTicket{endpoint, call.step.job.value + "@" + endpoint.value});
      }
    }
    this->now += milliseconds(20);
    this->scheduler.OnAdvice(call, tickets, this->valid, this->now);
  }

  // Answers calls, the oldest first, until none is left or a task starts.
  // Returns the number of calls.
  int AnswerUntilStart(const std::set<std::string>& allowed) {
    int count = 0;
    for (std::vector<AdviceRequest> calls = this->Calls();
         !calls.empty() && this->starts.empty(); calls = this->Calls()) {
      REQUIRE(++count < 100);
      this->Answer(calls.front(), allowed);
    }
    return count;
  }

  milliseconds valid;
};

// Plays a simulation to its end, with tickets of the given validity.
void CheckAdvised(JobSimulationOptions options) {
  JobSimulation simulation(options);
  simulation.RunFor(milliseconds(60000));
  CAPTURE(options.seed, options.workers, options.advice->advice.valid.count(),
          simulation.Violations());
  CHECK(simulation.Violations().empty());
  CHECK(simulation.FinalJobs() == simulation.Jobs());
}

TEST_CASE("a step starts on the only allowed endpoint of any pool",
          "[job_scheduler][advice]") {
  // Guards against calls that name the same endpoints again, so that a step
  // whose allowed endpoints are others never starts. The time is bounded by the
  // calls that name each endpoint once.
  const int size = GENERATE(1, 29, 30, 31, 62, 300);
  const auto valid = milliseconds(GENERATE(0, 100, 3000, 600000));
  AdvisedFixture fixture(Pool(size), valid);
  fixture.AddJob("j");
  const std::string last = "s" + std::to_string(1000 + size - 1);
  const int calls = fixture.AnswerUntilStart({last});
  CHECK(calls == (size + 29) / 30);
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].target.endpoint.value == last);
  CHECK(fixture.starts[0].ticket == "j@" + last);
}

TEST_CASE("a refused endpoint is not asked about again",
          "[job_scheduler][advice]") {
  // Guards against calls that can bring no ticket and delay those of others.
  AdvisedFixture fixture(Pool(40));
  fixture.AddJob("j");
  CHECK(fixture.AnswerUntilStart({}) == 2);
  fixture.now += std::chrono::seconds(10);
  CHECK(fixture.Calls().empty());
}

TEST_CASE("an endpoint that joins later is asked about at once",
          "[job_scheduler][advice]") {
  // Guards against a step that waits for the tickets of an earlier answer to
  // expire before it asks about new endpoints.
  AdvisedFixture fixture(Pool(3), std::chrono::hours(1));
  fixture.AddJob("j");
  fixture.AnswerUntilStart({});
  fixture.rows.push_back(Endpoint("s2000"));
  fixture.scheduler.OnEndpoints(fixture.rows, fixture.now);
  fixture.AnswerPoll(EndpointId("s2000"), {});
  fixture.AnswerUntilStart({"s2000"});
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("a restarted endpoint gets a new ticket", "[job_scheduler][advice]") {
  // Guards against starts with the ticket of an earlier process, which the
  // endpoint rejects, and against waiting until that ticket expires.
  AdvisedFixture fixture(Pool(1), std::chrono::hours(1));
  fixture.AddJob("j");
  fixture.AnswerUntilStart({"s1000"});
  REQUIRE(fixture.starts.size() == 1);
  fixture.Confirm(fixture.starts[0]);
  fixture.starts.clear();
  fixture.rows[0].start_time_ms = 8;
  fixture.scheduler.OnEndpoints(fixture.rows, fixture.now);
  PollEndpoint poll;
  const EndpointReportRows report{.clock_ms = 1, .start_time_ms = 8};
  for (int i = 0; i < 3; ++i) {
    // The run of the earlier process is stopped first.
    for (const StopRun& stop : fixture.Stops()) {
      fixture.scheduler.OnStopReply(stop, OrderReply::kDone, fixture.now);
    }
    fixture.now += milliseconds(1);
    poll.target = fixture.scheduler.TargetOf(EndpointId("s1000"));
    fixture.scheduler.OnPollResult(poll, report, fixture.now, fixture.now);
    fixture.StoreUsedEndpoints();
  }
  CHECK(fixture.starts.empty());
  const std::vector<AdviceRequest> calls = fixture.Calls();
  CHECK(fixture.starts.empty());
  REQUIRE(calls.size() == 1);
  fixture.Answer(calls[0], {"s1000"});
  CHECK(fixture.Starts().size() == 1);
}

TEST_CASE("a rejected ticket is replaced before it would expire",
          "[job_scheduler][advice]") {
  // Guards against a step that cannot start while a ticket of long validity,
  // which its endpoint has rejected, is still considered valid.
  AdvisedFixture fixture(Pool(1), std::chrono::hours(1));
  fixture.AddJob("j");
  fixture.AnswerUntilStart({"s1000"});
  REQUIRE(fixture.starts.size() == 1);
  fixture.scheduler.OnStartReply(fixture.starts[0], {OrderReply::kNoTicket},
                                 fixture.now);
  fixture.starts.clear();
  fixture.now += std::chrono::seconds(2);
  fixture.AnswerUntilStart({"s1000"});
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("expired tickets are renewed only for allowed endpoints",
          "[job_scheduler][advice]") {
  // Guards against asking about the whole pool again whenever tickets expire.
  AdvisedFixture fixture(Pool(100), milliseconds(400));
  for (const EndpointRow& row : fixture.rows) {
    REQUIRE(row.capacity.milli_cores == 4000);
  }
  // Two tasks of a gang that fits on no single endpoint: it starts only with
  // two tickets at the same time, though they come from different calls.
  AcceptedJob job = Job("j", 2);
  job.spec.steps[0].per_task.milli_cores = 3000;
  job.spec.steps[0].gang = true;
  fixture.Add(job);
  fixture.AnswerUntilStart({"s1001", "s1099"});
  CHECK(fixture.starts.size() == 2);
  fixture.scheduler.OnCancel(JobId("j"), fixture.now);
  AcceptedJob wide = Job("wide", 1);
  wide.spec.steps[0].per_task.milli_cores = 3000;
  AdvisedFixture other(Pool(100), milliseconds(400));
  other.Add(wide);
  std::vector<AdviceRequest> calls = other.Calls();
  for (; !calls.empty(); calls = other.Calls()) {
    // The tickets have expired when the next round begins.
    other.Answer(calls[0], {"s1001"});
    other.now += milliseconds(500);
    if (other.now - kStart > std::chrono::seconds(3)) {
      break;
    }
  }
  REQUIRE(calls.size() == 1);
  CHECK(calls[0].endpoints == std::vector<EndpointId>{EndpointId("s1001")});
}

TEST_CASE("a failed call is followed by one about other endpoints",
          "[job_scheduler][advice]") {
  // Guards against a step that never starts because the service fails on one of
  // the endpoints that each call names.
  AdvisedFixture fixture(Pool(62));
  fixture.AddJob("j");
  int calls = 0;
  for (int round = 0; round < 100 && fixture.starts.empty(); ++round) {
    for (const AdviceRequest& call : fixture.Calls()) {
      ++calls;
      const bool fails = std::count(call.endpoints.begin(),
                                    call.endpoints.end(), EndpointId("s1000"));
      if (fails) {
        fixture.scheduler.OnAdvice(call, std::nullopt, milliseconds(0),
                                   fixture.now);
      } else {
        fixture.Answer(call, {"s1061"});
      }
    }
    fixture.now += milliseconds(50);
  }
  CHECK(fixture.starts.size() == 1);
  // The first 30 fail, the next 30 are refused, and the last two remain.
  CHECK(calls == 3);
}

TEST_CASE("calls that fail name fewer endpoints", "[job_scheduler][advice]") {
  // Guards against a step that never starts because the allowed endpoint shares
  // each call with one on which the service fails, or because the service
  // cannot answer calls of this size in time.
  const std::string bad = GENERATE("s1000", "s1011", "s1028");
  AdvisedFixture fixture(Pool(29));
  fixture.AddJob("j");
  for (int round = 0; round < 60 && fixture.starts.empty(); ++round) {
    for (const AdviceRequest& call : fixture.Calls()) {
      if (std::count(call.endpoints.begin(), call.endpoints.end(),
                     EndpointId(bad)) > 0) {
        fixture.scheduler.OnAdvice(call, std::nullopt, milliseconds(0),
                                   fixture.now);
      } else {
        fixture.Answer(call, {"s1012"});
      }
    }
    fixture.now += milliseconds(50);
  }
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("tickets without a validity limit do not expire",
          "[job_scheduler][advice]") {
  // Guards against a limit of 0 that is taken for tickets that have expired.
  AdvisedFixture fixture(Pool(1), milliseconds(0));
  fixture.AddJob("j");
  fixture.AnswerUntilStart({"s1000"});
  CHECK(fixture.starts.size() == 1);
}

TEST_CASE("every step gets its calls behind any number of others",
          "[job_scheduler][advice]") {
  // Guards against calls that always go to the first steps of the order, or of
  // the first service: each of these needs a call after each answer.
  const std::string queue = GENERATE("q", "other");
  std::vector<EndpointRow> rows = Pool(35);
  const std::vector<EndpointRow> others = Pool(35, "t");
  rows.insert(rows.end(), others.begin(), others.end());
  AdvisedFixture fixture(rows, milliseconds(20));
  const std::string last = queue == "q" ? "s1034" : "t1034";
  AcceptedJob late = Job("zz", 1);
  late.queue = queue;
  late.service = ServiceId(queue == "q" ? "s" : "t");
  late.spec.steps[0].estimate = milliseconds(1900);
  std::vector<AdviceRequest> open;
  int added = 0;
  bool started = false;
  for (int calls = 0; calls < 300 && !started; ++calls) {
    if (calls == 10) {
      fixture.Add(late);
    }
    // Each short job takes two calls: four times what the service can answer.
    for (int i = 0; i < 2; ++i) {
      fixture.AddJob("j" + std::to_string(1000 + added++));
    }
    for (AdviceRequest& call : fixture.Calls()) {
      open.push_back(std::move(call));
    }
    for (const StartRun& start : std::exchange(fixture.starts, {})) {
      started = started || start.task.job == JobId("zz");
    }
    if (!open.empty()) {
      const AdviceRequest call = open.front();
      open.erase(open.begin());
      fixture.Answer(call, call.step.job == JobId("zz")
                               ? std::set<std::string>{last}
                               : std::set<std::string>{});
    }
  }
  CHECK(started);
}

TEST_CASE("the longest wait for a call is bounded by its turn",
          "[job_scheduler][advice]") {
  // As above with the limits at their smallest: one call at a time, about one
  // endpoint.
  JobSchedulerConfig config;
  config.epoch = OwnerEpoch(1);
  config.advice_calls = 1;
  config.advice_endpoints = 1;
  AdvisedFixture fixture(Pool(3));
  fixture.scheduler = JobScheduler(config, kStart);
  fixture.scheduler.OnFleetConfig(AdvisedFleet(milliseconds(3000)));
  fixture.scheduler.OnEndpoints(fixture.rows, fixture.now);
  for (const EndpointRow& row : fixture.rows) {
    fixture.AnswerPoll(row.id, {});
  }
  constexpr int kJobs = 10;
  for (int i = 0; i < kJobs; ++i) {
    fixture.AddJob("j" + std::to_string(i));
  }
  std::map<JobId, std::set<EndpointId>> asked;
  for (int i = 0; i < kJobs * 3; ++i) {
    const std::vector<AdviceRequest> calls = fixture.Calls();
    REQUIRE(calls.size() == 1);
    CHECK(calls[0].endpoints.size() == 1);
    asked[calls[0].step.job].insert(calls[0].endpoints[0]);
    fixture.Answer(calls[0], {});
  }
  CHECK(asked.size() == kJobs);
  for (const auto& [id, endpoints] : asked) {
    CHECK(endpoints.size() == 3);
  }
}

TEST_CASE("a call allows for the calls before it", "[job_scheduler][advice]") {
  // Guards against calls that time out while they wait for those before them.
  AdvisedFixture fixture(Pool(30));
  for (int i = 0; i < 4; ++i) {
    fixture.AddJob("j" + std::to_string(i));
  }
  const std::vector<AdviceRequest> calls = fixture.Calls();
  REQUIRE(calls.size() == 4);
  for (std::size_t i = 0; i < calls.size(); ++i) {
    CHECK(calls[i].expected == milliseconds(50) * (i + 1));
  }
}

TEST_CASE("a job that was cancelled during a call frees it",
          "[job_scheduler][advice]") {
  // Guards against calls that stay counted when their job has gone.
  AdvisedFixture fixture(Pool(1));
  for (int i = 0; i < 20; ++i) {
    const std::string id = "j" + std::to_string(i);
    fixture.AddJob(id);
    const std::vector<AdviceRequest> calls = fixture.Calls();
    REQUIRE(calls.size() == 1);
    fixture.scheduler.OnCancel(JobId(id), fixture.now);
    const RecordBatch batch = fixture.scheduler.TakeBatch({.rows = 10});
    fixture.scheduler.OnRecorded(batch.number, RecordResult::kStored,
                                 fixture.now);
    fixture.Calls();
    fixture.Answer(calls[0], {"s1000"});
  }
  CHECK(fixture.starts.empty());
}

TEST_CASE("a task does not wait for a rack that may not run it",
          "[job_scheduler][advice]") {
  // Guards against waiting for capacity in the rack of the data although the
  // service has refused each endpoint there.
  std::vector<EndpointRow> rows = Pool(2);
  rows[0].labels = {"a", "r2"};
  AdvisedFixture fixture(rows);
  AcceptedJob job = Job("j", 1);
  job.spec.steps[0].data_rack = "r2";
  fixture.Add(job);
  fixture.AnswerUntilStart({"s1001"});
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].target.endpoint == EndpointId("s1001"));
}

TEST_CASE("a pool grows only if no endpoint with room may be allowed",
          "[job_scheduler][advice]") {
  // Guards against a host for each step whose call has not been answered yet,
  // and against a pool in which no endpoint may run a step.
  AdvisedFixture fixture(Pool(1));
  fixture.AddJob("j");
  const std::vector<AdviceRequest> calls = fixture.Calls();
  REQUIRE(calls.size() == 1);
  fixture.now += std::chrono::seconds(1);
  CHECK(fixture.scheduler.Demand(fixture.now)[ServiceId("s")].starved_jobs ==
        0);
  fixture.Answer(calls[0], {});
  CHECK(fixture.scheduler.Demand(fixture.now)[ServiceId("s")].starved_jobs ==
        1);
}

TEST_CASE("seeded simulations with advice finish every job",
          "[job_scheduler][advice]") {
  // Guards against jobs that never start, and against the invariants of the
  // scheduler, with tickets of any validity and lost calls, restarts of workers
  // and takeovers, and with calls that name few endpoints.
#if defined(__SANITIZE_THREAD__) || defined(__SANITIZE_ADDRESS__)
  constexpr unsigned kSeeds = 4;
#else
  constexpr unsigned kSeeds = 60;
#endif
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    constexpr std::array<int, 4> kValidMs = {0, 200, 3000, 600000};
    AdviceModelSettings advice;
    advice.advice = AdviceSettings{milliseconds(20), milliseconds(1),
                                   milliseconds(kValidMs[seed % 4])};
    CheckAdvised({.seed = seed,
                  .workers = 12,
                  .advice = advice,
                  .advice_endpoints = 1 + seed % 5,
                  .advice_calls = 1 + seed % 3});
  }
}

}  // namespace
}  // namespace peridot
