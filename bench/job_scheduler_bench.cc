// CPU time of the owner's scheduling decisions per task. The demand moves from
// queue to queue and exceeds the capacity of the pool in each peak. The slope
// of the result over the fleet size is the input of capacity planning.
//
// A second series keeps a backlog of constant length while hosts are full and
// measures the CPU time of a start: it must not grow with the backlog.
//
// bench_job_scheduler [--seed N] [--endpoints N] [--load X] [--near PERCENT]

#include <boost/program_options.hpp>
#include <chrono>
#include <ctime>
#include <iostream>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/job_scheduler.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using testing::PrintResult;

// 900 starts per second in half of the 0.12 cores that the daemon may use on
// the smallest host that accepts jobs.
constexpr double kTargetCpuPerTaskUs = 67;
// 3,000 starts per second in half a core.
constexpr double kTargetCpuPerStartUs = 167;
// Largest factor by which the cost of a start may grow with ten times as many
// waiting jobs.
constexpr double kTargetBacklogSlope = 1.1;
constexpr int kBacklogRounds = 2000;
constexpr int kServices = 4;
constexpr int kDemandCycleMs =
    5000;  // in which the peak visits all queues once
constexpr int kSimulatedMs = 20'000;  // simulated time of a run
constexpr int kRoundIntervalMs = 4;   // between two rounds of the scheduler

struct ScheduledEnd {
  Instant at{};
  EndpointId endpoint;
  TaskName task;
  RunNumber run = 0;

  friend bool operator>(const ScheduledEnd& a, const ScheduledEnd& b) {
    return a.at > b.at;
  }
};

// A fleet whose endpoints execute and acknowledge every order at once.
class Fleet {
 public:
  Fleet(int endpoints, double load, unsigned seed, int near_percent)
      : near_percent(near_percent),
        racks(std::max(1, endpoints / 8)),
        random(seed),
        scheduler(JobSchedulerConfig{.epoch = OwnerEpoch(1)}, this->now) {
    FleetConfig config;
    for (int i = 0; i < kServices; ++i) {
      const ServiceId service("s" + std::to_string(i));
      const std::string queue = "q" + std::to_string(i);
      config.queues[queue] = QueueConfig{
          .name = queue, .service = service, .critical_path_factor = 1.6};
      config.services[service] = ServiceConfig{};
    }
    this->scheduler.OnFleetConfig(config);
    std::vector<EndpointRow> rows;
    rows.reserve(static_cast<std::size_t>(endpoints));
    for (int i = 0; i < endpoints; ++i) {
      rows.push_back(
          EndpointRow{.id = EndpointId("e" + std::to_string(i)),
                      .start_time_ms = 1,
                      .service = ServiceId("s" + std::to_string(i % kServices)),
                      .zone = ZoneId("z" + std::to_string(i % 3)),
                      .address = "10.0.0.1:" + std::to_string(1000 + i),
                      .ready = true,
                      .capacity = Resources{64000, 262144, 0},
                      .labels = {"a", "r" + std::to_string(i / 8)}});
    }
    this->scheduler.OnEndpoints(rows, this->now);
    this->jobs_per_second = load * endpoints / 4.0;
  }

  // Runs the simulation; returns the CPU seconds spent in the scheduler.
  double Simulate() {
    for (int ms = 0; ms < kSimulatedMs; ms += kRoundIntervalMs) {
      this->now += milliseconds(kRoundIntervalMs);
      this->Submit(ms);
      const std::clock_t begin = std::clock();
      this->EndTasks();
      this->RunRound();
      this->cpu_time += std::clock() - begin;
    }
    return static_cast<double>(this->cpu_time) / CLOCKS_PER_SEC;
  }

  // Keeps `waiting` jobs waiting while the hosts are full; returns the CPU time
  // of a start in microseconds.
  double SimulateBacklog(std::size_t waiting) {
    constexpr int kWarmupRounds = 400;
    int starts_before = 0;
    std::clock_t cpu_before = 0;
    for (int round = 0; round < kWarmupRounds + kBacklogRounds; ++round) {
      this->now += milliseconds(kRoundIntervalMs);
      while (this->unstarted.size() < waiting) {
        this->SubmitTo(this->last_job % kServices, 1);
      }
      const std::clock_t begin = std::clock();
      this->EndTasks();
      this->RunRound();
      this->cpu_time += std::clock() - begin;
      if (round + 1 == kWarmupRounds) {
        starts_before = this->tasks_started;
        cpu_before = this->cpu_time;
      }
    }
    const int starts = this->tasks_started - starts_before;
    return static_cast<double>(this->cpu_time - cpu_before) * 1e6 /
           CLOCKS_PER_SEC / std::max(1, starts);
  }

  int tasks_ended = 0;

 private:
  std::int64_t Between(std::int64_t from, std::int64_t to) {
    return std::uniform_int_distribution<std::int64_t>(from, to)(this->random);
  }

  void Submit(int ms) {
    const int busy_service = ms * kServices / kDemandCycleMs % kServices;
    std::poisson_distribution<int> arrivals(this->jobs_per_second *
                                            kRoundIntervalMs / 1000);
    for (int i = arrivals(this->random); i > 0; --i) {
      this->SubmitTo(busy_service, 1 + static_cast<int>(this->random() % 2));
    }
  }

  void SubmitTo(int service, int steps) {
    AcceptedJob job;
    job.id = JobId("j" + std::to_string(++this->last_job));
    job.queue = "q" + std::to_string(service);
    job.service = ServiceId("s" + std::to_string(service));
    job.team = TeamId("t" + std::to_string(this->last_job % 20));
    for (int step = 0; step < steps; ++step) {
      StepSpec& spec = job.spec.steps.emplace_back();
      spec.task_count = 1 + static_cast<int>(this->random() % 15);
      spec.per_task.milli_cores = this->Between(2000, 9999);
      spec.per_task.memory_mb = this->Between(5000, 34999);
      spec.estimate = milliseconds(400 + this->random() % 1200);
      if (step > 0) {
        spec.after = {step - 1};
      }
      if (this->near_percent > 0 &&
          this->Between(1, 100) <= this->near_percent) {
        spec.data_rack =
            "r" + std::to_string(this->Between(0, this->racks - 1));
      }
    }
    this->unstarted.insert(job.id);
    this->scheduler.OnJob(std::move(job), RowVersion(0), false, milliseconds(0),
                          this->now);
  }

  void EndTasks() {
    std::map<EndpointId, EndpointReportRows> reports;
    while (!this->scheduled_ends.empty() &&
           this->scheduled_ends.top().at <= this->now) {
      const ScheduledEnd& ending = this->scheduled_ends.top();
      reports[ending.endpoint].ended.push_back(RunEnd{
          ++this->last_end, ending.task, ending.run, EndKind::kDone, ""});
      this->scheduled_ends.pop();
      ++this->tasks_ended;
    }
    for (auto& [endpoint, report] : reports) {
      PollEndpoint poll;
      poll.target.endpoint = endpoint;
      report.clock_ms = 1;
      report.start_time_ms = 1;
      this->scheduler.OnPollResult(poll, report, Instant{}, this->now);
    }
  }

  void RunRound() {
    const SchedulerActions actions = this->scheduler.Advance(true, this->now);
    for (const PollEndpoint& poll : actions.polls) {
      if (poll.wait.count() == 0) {
        this->scheduler.OnPollResult(poll, EndpointReportRows{1, 1, {}, {}},
                                     Instant{}, this->now);
      }
    }
    this->tasks_started += static_cast<int>(actions.starts.size());
    for (const StartRun& start : actions.starts) {
      this->unstarted.erase(start.task.job);
      this->scheduler.OnStartReply(start, {OrderReply::kDone}, this->now);
      this->scheduled_ends.push(
          ScheduledEnd{this->now + milliseconds(300 + this->random() % 1200),
                       start.target.endpoint, start.task, start.run});
    }
    const RecordBatch batch = this->scheduler.TakeBatch({.rows = 80});
    this->scheduler.OnRecorded(batch.number, RecordResult::kStored, this->now);
    this->scheduler.TakeDecisions();
  }

  int near_percent;  // share of steps that prefer a rack
  int racks;
  std::mt19937 random;
  Instant now = Instant{} + std::chrono::seconds(100);
  JobScheduler scheduler;
  double jobs_per_second = 0;
  int last_job = 0;
  int tasks_started = 0;
  std::set<JobId> unstarted;  // jobs of which no task was started
  EndNumber last_end = 0;
  std::priority_queue<ScheduledEnd, std::vector<ScheduledEnd>, std::greater<>>
      scheduled_ends;
  std::clock_t cpu_time = 0;
};

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("bench_job_scheduler");
  options.add_options()("seed", po::value<unsigned>()->default_value(1))(
      "endpoints", po::value<int>()->default_value(0),
      "number of endpoints; 0: runs with 50, 100, 300 and 540")(
      "load", po::value<double>()->default_value(1),
      "work that arrives in a peak, as a multiple of its pool's capacity")(
      "near", po::value<int>()->default_value(0),
      "percentage of the steps that prefer a rack");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  bool ok = true;
  std::vector<int> sizes = {50, 100, 300, 540};
  if (values["endpoints"].as<int>() > 0) {
    sizes = {values["endpoints"].as<int>()};
  }
  for (const int size : sizes) {
    Fleet fleet(size, values["load"].as<double>(),
                values["seed"].as<unsigned>(), values["near"].as<int>());
    const double cpu_time = fleet.Simulate();
    ok &= PrintResult({.bench = "job_scheduler",
                       .metric = "us_a_task_" + std::to_string(size),
                       .unit = "us",
                       .value = cpu_time * 1e6 / std::max(1, fleet.tasks_ended),
                       .target = kTargetCpuPerTaskUs});
    std::cout << "# endpoints=" << size << " tasks=" << fleet.tasks_ended
              << " processor_s=" << cpu_time << '\n';
  }
  for (const int size : sizes) {
    std::map<std::size_t, double> cost;
    for (const std::size_t waiting : {100, 500, 1000, 5000}) {
      Fleet fleet(size, 0, values["seed"].as<unsigned>(),
                  values["near"].as<int>());
      cost[waiting] = fleet.SimulateBacklog(waiting);
      ok &= PrintResult({.bench = "job_scheduler",
                         .metric = "us_a_start_" + std::to_string(size) + "_" +
                                   std::to_string(waiting) + "_waiting",
                         .unit = "us",
                         .value = cost[waiting],
                         .target = kTargetCpuPerStartUs});
    }
    ok &= PrintResult({.bench = "job_scheduler",
                       .metric = "backlog_slope_" + std::to_string(size),
                       .unit = "ratio",
                       .value = cost[5000] / cost[500],
                       .target = kTargetBacklogSlope});
  }
  return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  return peridot::Main(argc, argv);
}
