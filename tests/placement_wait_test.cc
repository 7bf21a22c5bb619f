// Tests of the waits for preferred places: the decision alone, a model of racks
// that compares it with alternatives on the same seeds, and the scheduler.

#include "src/coordination/placement_wait.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/duration_model.h"
#include "tests/support/scheduler_fixture.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

//-----------------------------------------------------------------------------
// [SECTION] Model
//-----------------------------------------------------------------------------

enum class Policy { kNoWait, kFixedWait, kDeclaredWait, kOptimalStop, kModule };

struct ModelCase {
  const char* name;
  double arrivals_per_s = 20;  // of tasks that prefer rack 0
  double others_per_s = 0;     // of tasks that prefer one of the others
  double remote_factor = 3;
  double estimate_error = 1;  // declared durations are off by up to this
  double estimate_bias = 1;   // and by this
  milliseconds busy{0};       // rack 0 is full at first, for about this time
  milliseconds unreachable_at{0};  // rack 0; 0: never
  milliseconds takeover_at{0};     // 0: never
  bool refused = false;            // rack 0, by the advice service
};

struct ModelResult {
  double completion_s = 0;  // sum
  int in_time = 0;
  int waits_past_objective = 0;
};

struct ModelTask {
  Instant arrived{};
  std::size_t rack = 0;
  Duration duration{0};
  milliseconds declared{0};
  Instant waits_since = Instant::max();
};

struct ModelRun {
  Instant started{};
  Instant ends{};
  Duration expected{0};
  Duration duration{0};  // at the place
  milliseconds declared{0};
};

// Plays tasks of 0.4 s on average on four racks of eight slots, in the order of
// their arrival, in rounds of 10 ms.
class RackModel {
 public:
  RackModel(const ModelCase& setup, Policy policy, unsigned seed)
      : setup(setup), policy(policy), random(seed) {
    for (int i = 0; i < 40; ++i) {  // observed before the start
      this->model.OnDone(milliseconds(400), this->Draw());
    }
    for (std::size_t i = 0; this->setup.busy.count() > 0 && i < kSlots; ++i) {
      this->running[0].push_back(
          ModelRun{kStart, kStart + this->setup.busy * (8 + i) / 12,
                   milliseconds(400), milliseconds(400), milliseconds(0)});
    }
    double hot = 0;
    double other = 0;
    for (int ms = 0; ms < 4000; ms += 10) {
      hot += setup.arrivals_per_s / 100;
      other += setup.others_per_s / 100;
      for (; hot >= 1; --hot) {
        this->Add(ms, 0);
      }
      for (; other >= 1; --other) {
        this->Add(ms, 1 + this->random() % (kRacks - 1));
      }
    }
  }

  ModelResult Play() {
    this->now = kStart;
    for (std::size_t next = 0;
         next < this->tasks.size() || !this->waiting.empty();
         this->now += milliseconds(10)) {
      this->EndRuns();
      while (next < this->tasks.size() &&
             this->tasks[next].arrived <= this->now) {
        const ModelTask& task = this->tasks[next++];
        this->demand[task.rack].OnReady(this->Expected(task), this->now);
        this->waiting.push_back(task);
      }
      if (this->setup.takeover_at.count() > 0 &&
          this->now == kStart + this->setup.takeover_at) {
        this->TakeOver();
      }
      this->Place();
    }
    return this->result;
  }

 private:
  static constexpr std::size_t kRacks = 4;
  static constexpr std::size_t kSlots = 8;

  milliseconds Draw() {
    std::lognormal_distribution<double> around(std::log(370.0), 0.4);
    return milliseconds(1 + static_cast<int>(around(this->random)));
  }

  void Add(int ms, std::size_t rack) {
    const milliseconds duration = this->Draw();
    std::uniform_real_distribution<double> exponent(-1, 1);
    const double error =
        this->setup.estimate_bias *
        std::pow(this->setup.estimate_error, exponent(this->random));
    this->tasks.push_back(
        ModelTask{kStart + milliseconds(ms), rack, duration,
                  milliseconds(1 + static_cast<int>(400 * error))});
  }

  bool Reachable(std::size_t rack) const {
    return rack != 0 || this->setup.unreachable_at.count() == 0 ||
           this->now < kStart + this->setup.unreachable_at;
  }

  bool HasRoom(std::size_t rack) const {
    return this->Reachable(rack) && !(rack == 0 && this->setup.refused) &&
           this->running[rack].size() < kSlots;
  }

  void EndRuns() {
    for (std::vector<ModelRun>& rack : this->running) {
      std::erase_if(rack, [&](const ModelRun& run) {
        if (run.ends <= this->now && run.declared.count() > 0) {
          this->model.OnDone(
              run.declared,
              std::chrono::duration_cast<milliseconds>(run.duration));
        }
        return run.ends <= this->now;
      });
    }
  }

  // The new owner knows neither the ages of runs nor the begins of waits.
  void TakeOver() {
    for (std::vector<ModelRun>& rack : this->running) {
      for (ModelRun& run : rack) {
        run.started = this->now;
      }
    }
    for (ModelTask& task : this->waiting) {
      task.waits_since =
          this->policy == Policy::kModule ? task.arrived : Instant::max();
    }
  }

  Duration Expected(const ModelTask& task) const {
    return this->model.Predict(task.declared);
  }

  Instant Objective(const ModelTask& task) const {
    return task.arrived + 4 * this->Expected(task);
  }

  PlaceForecast Forecast(std::size_t rack) const {
    if (!this->Reachable(rack) || (rack == 0 && this->setup.refused)) {
      return {};
    }
    EndpointOutlook outlook;
    outlook.most = kSlots;
    outlook.free = static_cast<double>(kSlots - this->running[rack].size());
    for (const ModelRun& run : this->running[rack]) {
      outlook.runs.push_back(
          {{run.expected, this->model.Spread(), this->now - run.started}, 1});
    }
    return PlaceForecast({outlook}, this->now);
  }

  bool Waits(ModelTask* task, std::vector<PlaceForecast>* forecasts) {
    const Instant since = std::min(task->waits_since, this->now);
    const Duration saving = std::chrono::duration_cast<Duration>(
        (this->setup.remote_factor - 1) *
        std::chrono::duration<double>(this->Expected(*task)));
    PlaceForecast& forecast = (*forecasts)[task->rack];
    const bool usable = forecast.HasCapacity();
    if (this->policy == Policy::kNoWait) {
      return false;
    }
    if (this->policy == Policy::kFixedWait) {
      return usable && this->now - task->arrived < milliseconds(400);
    }
    if (this->policy == Policy::kDeclaredWait) {
      return usable && this->now - task->arrived <
                           this->setup.remote_factor *
                               std::chrono::duration<double>(task->declared);
    }
    PlaceWaitInput input{saving, since, Instant::max(),
                         forecast.WaitsFor(1, this->now)};
    if (this->policy == Policy::kOptimalStop) {
      input.since = this->now;  // decides anew in each round
      return DecidePlaceWait(input, this->now).wait;
    }
    input.last_useful = LastUsefulInstant(
        {true, this->Objective(*task), this->Expected(*task), saving}, since);
    input.within_queue =
        this->queued[task->rack] <
        BestQueueLength(forecast.Capacity(),
                        this->demand[task->rack].BusySlots(this->now),
                        this->setup.remote_factor - 1);
    const bool waits = DecidePlaceWait(input, this->now).wait;
    if (waits) {
      forecast.Claim(1, this->Expected(*task), this->now);
      ++this->queued[task->rack];
      this->result.waits_past_objective +=
          this->now >= this->Objective(*task) ? 1 : 0;
    }
    return waits;
  }

  void Start(const ModelTask& task, std::size_t rack) {
    const double factor = rack == task.rack ? 1 : this->setup.remote_factor;
    const auto scaled = [factor](Duration time) {
      return std::chrono::duration_cast<Duration>(
          factor * std::chrono::duration<double>(time));
    };
    const Instant ends = this->now + scaled(task.duration);
    this->running[rack].push_back(ModelRun{this->now, ends,
                                           scaled(this->Expected(task)),
                                           task.duration, task.declared});
    this->result.completion_s +=
        std::chrono::duration<double>(ends - task.arrived).count();
    this->result.in_time += ends <= task.arrived + milliseconds(1600) ? 1 : 0;
  }

  void Place() {
    this->queued.fill(0);
    std::vector<PlaceForecast> forecasts;
    for (std::size_t rack = 0; rack < kRacks; ++rack) {
      forecasts.push_back(this->Forecast(rack));
    }
    std::erase_if(this->waiting, [&](ModelTask& task) {
      std::size_t rack = task.rack;
      if (!this->HasRoom(rack)) {
        rack = 0;
        for (std::size_t other = 0; other < kRacks; ++other) {
          if (this->HasRoom(other) &&
              (!this->HasRoom(rack) ||
               this->running[other].size() < this->running[rack].size())) {
            rack = other;
          }
        }
        if (!this->HasRoom(rack)) {
          return false;
        }
        if (this->Waits(&task, &forecasts)) {
          task.waits_since = std::min(task.waits_since, this->now);
          return false;
        }
      }
      this->Start(task, rack);
      return true;
    });
  }

  ModelCase setup;
  Policy policy;
  std::mt19937 random;
  DurationModel model;
  Instant now = kStart;
  std::vector<ModelTask> tasks;
  std::vector<ModelTask> waiting;
  std::array<std::vector<ModelRun>, kRacks> running;
  std::array<PlaceDemand, kRacks> demand;
  std::array<std::size_t, kRacks> queued{};  // claims in the current round
  ModelResult result;
};

TEST_CASE("waits for a place are as good as the best alternative",
          "[placement_wait]") {
  // Guards against waits that make callers wait longer than an alternative
  // does, in cases in which different alternatives are best. The bounds are
  // stated targets: at most 5% worse in any case, and better in total.
  const std::vector<ModelCase> cases = {
      {.name = "idle rack", .arrivals_per_s = 8},
      {.name = "rack frees up soon", .busy = milliseconds(300)},
      {.name = "rack never frees up", .busy = seconds(3600)},
      {.name = "hot rack, ten times the demand", .arrivals_per_s = 200},
      {.name = "hot rack, twice the demand", .arrivals_per_s = 40},
      {.name = "all racks busy", .arrivals_per_s = 24, .others_per_s = 42},
      {.name = "factor of two",
       .arrivals_per_s = 30,
       .others_per_s = 20,
       .remote_factor = 2},
      {.name = "estimates a tenth", .arrivals_per_s = 26, .estimate_bias = 0.1},
      {.name = "estimates ten times",
       .arrivals_per_s = 26,
       .estimate_bias = 10},
      {.name = "estimates 0.1 to 10",
       .arrivals_per_s = 26,
       .estimate_error = 10},
      {.name = "unreachable",
       .arrivals_per_s = 26,
       .unreachable_at = milliseconds(1500)},
      {.name = "takeover", .arrivals_per_s = 26, .takeover_at = seconds(2)},
      {.name = "advice refuses the rack", .refused = true},
  };
// The instrumented builds play fewer seeds: ten take 265 s there.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
  constexpr unsigned kSeeds = 2;
#else
  constexpr unsigned kSeeds = 10;
#endif
  const std::vector<Policy> alternatives = {Policy::kNoWait, Policy::kFixedWait,
                                            Policy::kDeclaredWait,
                                            Policy::kOptimalStop};
  std::map<Policy, double> total;
  for (const ModelCase& setup : cases) {
    std::map<Policy, ModelResult> sums;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      for (const Policy policy :
           {Policy::kNoWait, Policy::kFixedWait, Policy::kDeclaredWait,
            Policy::kOptimalStop, Policy::kModule}) {
        const ModelResult result = RackModel(setup, policy, seed).Play();
        sums[policy].completion_s += result.completion_s;
        sums[policy].in_time += result.in_time;
        sums[policy].waits_past_objective += result.waits_past_objective;
      }
    }
    const ModelResult& module = sums[Policy::kModule];
    std::string figures = setup.name;
    for (const auto& [policy, result] : sums) {
      figures += " " + std::to_string(result.completion_s) + "/" +
                 std::to_string(result.in_time);
      total[policy] += result.completion_s / module.completion_s;
    }
    INFO(figures);
    for (const Policy policy : alternatives) {
      CHECK(module.completion_s <= 1.05 * sums[policy].completion_s);
      CHECK(module.in_time >= 0.95 * sums[policy].in_time);
    }
    CHECK(module.waits_past_objective == 0);
  }
  for (const Policy policy : alternatives) {
    CHECK(total[policy] > total[Policy::kModule]);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Scheduler
//-----------------------------------------------------------------------------

EndpointRow InRack(const std::string& id, const std::string& rack) {
  EndpointRow row = Endpoint(id);
  row.labels = {"a", rack};
  return row;
}

// Rack r1 with runs that have just started, and rack r2 with room.
struct RackFixture : SchedulerFixture {
  explicit RackFixture(std::vector<EndpointRow> endpoints = {InRack("e1", "r1"),
                                                             InRack("e2",
                                                                    "r2")},
                       int busy = 4,
                       OwnerEpoch epoch = OwnerEpoch(1))
      : SchedulerFixture(std::move(endpoints), epoch) {
    AcceptedJob job = Job("busy", busy);
    job.spec.steps[0].required_label = "r1";
    this->Add(job);
    this->fill = this->Starts();
    REQUIRE(this->fill.size() == static_cast<std::size_t>(busy));
    for (const StartRun& start : this->fill) {
      this->Confirm(start);
    }
  }

  void Add(const AcceptedJob& job,
           bool before_takeover = false,
           milliseconds age = milliseconds(0)) {
    this->scheduler.OnJob(job, RowVersion(0), before_takeover, age, this->now);
  }

  AcceptedJob NearJob() {
    AcceptedJob job = Job("j", 1);
    job.spec.steps[0].data_rack = "r1";
    return job;
  }

  // Advances in steps of 10 ms until a task starts, for at most 5 s; returns
  // the time that this took.
  milliseconds TimeToStart(std::vector<StartRun>* started) {
    const Instant begin = this->now;
    while (this->now < begin + seconds(5)) {
      *started = this->Starts();
      if (!started->empty()) {
        break;
      }
      this->now += milliseconds(10);
    }
    return std::chrono::duration_cast<milliseconds>(this->now - begin);
  }

  // The last `count` of the first runs complete.
  void EndFill(int count) {
    std::map<EndpointId, EndpointReportRows> reports;
    for (int i = 0; i < count; ++i) {
      const StartRun& start = this->fill.back();
      EndpointReportRows& report = reports[start.target.endpoint];
      report.ended.push_back(
          End(report.ended.size() + 1, start, EndKind::kDone));
      this->fill.pop_back();
    }
    for (auto& [endpoint, report] : reports) {
      report.all_ends_listed = false;
      this->AnswerPoll(endpoint, report);
    }
  }

  const JobScheduler::Counters& Counts() { return this->scheduler.Counts(); }
  std::string Explain() {
    return this->scheduler.ExplainWait(JobId("j"), this->now);
  }

  std::vector<StartRun> fill;
};

TEST_CASE("a task waits for the rack of its data if that frees up soon",
          "[placement_wait][job_scheduler]") {
  // Guards against a slow start elsewhere shortly before room opens, and
  // against a wait that operators cannot see.
  RackFixture fixture;
  fixture.now += milliseconds(300);
  fixture.Add(fixture.NearJob());
  CHECK(fixture.Starts().empty());
  for (const char* part : {"constraint=preferred_place", " place=r1",
                           " since_ms=0", " until_ms=", "reason=saves_time"}) {
    CHECK_THAT(fixture.Explain(), Catch::Contains(part));
  }
  fixture.now += milliseconds(60);
  fixture.EndFill(1);
  const std::vector<StartRun> starts = fixture.Starts();
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.endpoint == EndpointId("e1"));
  CHECK(fixture.Counts().place_waits == 1);
  CHECK(fixture.Counts().place_waits_at_place == 1);
}

TEST_CASE("a task leaves a rack that does not free up",
          "[placement_wait][job_scheduler]") {
  // Guards against a wait beyond what the place saves: 2 * 500 ms.
  RackFixture fixture;
  fixture.Add(fixture.NearJob());
  std::vector<StartRun> starts;
  const milliseconds time = fixture.TimeToStart(&starts);
  CHECK(time > milliseconds(0));
  CHECK(time <= milliseconds(1000));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.endpoint == EndpointId("e2"));
  CHECK(fixture.Counts().place_waits_elsewhere == 1);
}

TEST_CASE("a task does not wait past its objective",
          "[placement_wait][job_scheduler]") {
  // Guards against a wait that makes the job late: elsewhere it takes 1,500 ms
  // of its 1,700 ms.
  RackFixture fixture;
  FleetConfig fleet = Fleet();
  fleet.queues["q"].objective = milliseconds(1200);
  fixture.scheduler.OnFleetConfig(fleet);
  fixture.Add(fixture.NearJob());
  std::vector<StartRun> starts;
  CHECK(fixture.TimeToStart(&starts) <= milliseconds(200));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.endpoint == EndpointId("e2"));
}

TEST_CASE("a rack that becomes unreachable ends the wait",
          "[placement_wait][job_scheduler]") {
  // Guards against a wait for runs of endpoints that do not answer.
  RackFixture fixture;
  fixture.Add(fixture.NearJob());
  CHECK(fixture.Starts().empty());
  PollEndpoint poll;
  poll.target.endpoint = EndpointId("e1");
  for (int i = 0; i < 2; ++i) {
    fixture.scheduler.OnPollResult(poll, std::nullopt, fixture.now,
                                   fixture.now);
  }
  std::vector<StartRun> starts;
  CHECK(fixture.TimeToStart(&starts) <= milliseconds(30));
  REQUIRE(starts.size() == 1);
  CHECK(starts[0].target.endpoint == EndpointId("e2"));
}

TEST_CASE("a new owner grants no new wait", "[placement_wait][job_scheduler]") {
  // Guards against a full wait after each takeover: the job has been ready for
  // longer than its place saves, and a younger one for a part of that.
  for (const int age_ms : {3000, 800}) {
    RackFixture fixture({InRack("e1", "r1"), InRack("e2", "r2")}, 4,
                        OwnerEpoch(2));
    fixture.Add(fixture.NearJob(), true, milliseconds(age_ms));
    std::vector<StartRun> starts;
    CHECK(fixture.TimeToStart(&starts) <=
          milliseconds(std::max(0, 1000 - age_ms)));
    CHECK(starts.size() == 1);
  }
}

TEST_CASE("advice that refuses the rack during a wait ends it",
          "[placement_wait][job_scheduler]") {
  // Guards against a wait for a rack that may not run the step.
  RackFixture fixture;
  FleetConfig fleet = Fleet();
  fleet.queues["q"].needs_advice = true;
  fixture.scheduler.OnFleetConfig(fleet);
  fixture.Add(fixture.NearJob());
  for (int i = 0; i < 5 && fixture.starts.empty(); ++i) {
    SchedulerActions actions = fixture.scheduler.Advance(true, fixture.now);
    fixture.CollectActions(&actions);
    for (const AdviceRequest& call : std::exchange(fixture.advice, {})) {
      std::vector<AdviceTicket> tickets;
      for (const EndpointId& endpoint : call.endpoints) {
        if (endpoint == EndpointId("e2")) {
          tickets.push_back(AdviceTicket{endpoint, "t"});
        }
      }
      fixture.scheduler.OnAdvice(call, tickets, milliseconds(0), fixture.now);
    }
    fixture.now += milliseconds(1);
  }
  REQUIRE(fixture.starts.size() == 1);
  CHECK(fixture.starts[0].target.endpoint == EndpointId("e2"));
}

TEST_CASE("a member of a group waits for the rack of the group",
          "[placement_wait][job_scheduler]") {
  // Guards against a group that is spread over racks although its rack frees up
  // soon.
  RackFixture fixture({InRack("e1", "r1"), InRack("e2", "r2")}, 2);
  AcceptedJob job = Job("j", 3);
  job.spec.steps[0].same_rack = true;
  fixture.now += milliseconds(300);
  fixture.Add(job);
  const std::vector<StartRun> first = fixture.Starts();
  REQUIRE(first.size() == 2);
  CHECK(first[0].target.endpoint == EndpointId("e1"));
  fixture.now += milliseconds(60);
  fixture.EndFill(1);
  const std::vector<StartRun> next = fixture.Starts();
  REQUIRE(next.size() == 1);
  CHECK(next[0].target.endpoint == EndpointId("e1"));
}

TEST_CASE("a gang waits for one rack", "[placement_wait][job_scheduler]") {
  // Guards against a gang that is spread over racks although one of them frees
  // up soon, and against one that waits for ever.
  for (const bool ends : {true, false}) {
    RackFixture fixture(
        {InRack("e1", "r1"), InRack("e2", "r1"), InRack("e3", "r2")}, 4);
    AcceptedJob job = Job("j", 6);
    job.spec.steps[0].same_rack = true;
    job.spec.steps[0].gang = true;
    fixture.now += milliseconds(300);
    fixture.Add(job);
    CHECK(fixture.Starts().empty());
    fixture.now += milliseconds(60);
    if (ends) {
      fixture.EndFill(2);
    }
    std::vector<StartRun> starts;
    CHECK(fixture.TimeToStart(&starts) <= milliseconds(ends ? 0 : 1000));
    REQUIRE(starts.size() == 6);
    const auto in_r2 =
        std::count_if(starts.begin(), starts.end(), [](const StartRun& start) {
          return start.target.endpoint == EndpointId("e3");
        });
    CHECK((in_r2 > 0) == !ends);
    CHECK(fixture.Counts().place_waits == 1);
    CHECK(fixture.Counts().place_waits_at_place == (ends ? 1 : 0));
  }
}

TEST_CASE("a rack with many waiting steps spills over evenly",
          "[placement_wait][job_scheduler]") {
  // Guards against steps that all wait for the same room and then start
  // elsewhere at the same instant.
  std::vector<EndpointRow> rows = {InRack("e1", "r1")};
  for (int i = 2; i < 12; ++i) {
    rows.push_back(InRack("e" + std::to_string(i), "r2"));
  }
  RackFixture fixture(rows);
  AcceptedJob job = Job("j", 30);
  job.spec.steps[0].data_rack = "r1";
  fixture.Add(job);
  CHECK(fixture.Starts().size() >= 22);  // 8 can have their turn in 1,000 ms
}

TEST_CASE("a step without a preference starts at once",
          "[placement_wait][job_scheduler]") {
  // Guards against waits and records of steps that have no preference.
  RackFixture fixture;
  fixture.Add(Job("j", 2));
  CHECK(fixture.Starts().size() == 2);
  CHECK(fixture.Counts().place_waits == 0);
}

}  // namespace
}  // namespace peridot
