// The journal: tasks accepted per second under the store's cap on writes, and
// the tasks that are lost or run twice under random schedules of faults.
//
//   bench_journal [--seed N] [--schedules N]
//
// The naive version writes the table once per task and takes over journals
// without fencing their owners. It runs the same load and the same schedules.

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "src/coordination/journal.h"
#include "tests/support/event_schedule.h"
#include "tests/support/journal_simulation.h"
#include "tests/support/result_line.h"
#include "tests/support/virtual_table.h"

namespace peridot::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kDaemons = 8;
constexpr int kWritesPerSecond = 300;  // the store's cap
// 5 services in 4 zones with 10 executors of 8 slots, one task per second and
// slot.
constexpr double kTargetTasksPerSecond = 1600;
// Per daemon and tick of 5 ms: 16,000 tasks per second in total.
constexpr int kOfferedTasksPerTick = 10;
constexpr int kLoadSeconds = 5;

// A fleet of daemons that accept, run and answer tasks as fast as the store
// allows. The store's cap on writes is the only fault.
template <typename Log>
class LoadSimulation {
 public:
  explicit LoadSimulation(std::uint64_t seed) : schedule(seed) {
    this->schedule.RunUntil(Instant{} + seconds(1));
    for (int d = 0; d < kDaemons; ++d) {
      JournalConfig config;
      config.self = {DaemonId(std::to_string(d)), Incarnation(1)};
      this->logs.push_back(std::make_unique<Log>(config));
      this->Tick(d);
    }
  }

  // Returns the tasks accepted per second.
  double Run() {
    this->schedule.RunUntil(this->schedule.Now() + seconds(kLoadSeconds));
    return static_cast<double>(this->accepted) / kLoadSeconds;
  }

 private:
  Log& LogOf(int d) { return *this->logs[static_cast<std::size_t>(d)]; }
  Instant Now() const { return this->schedule.Now(); }

  void Tick(int d) {
    for (int i = 0; i < kOfferedTasksPerTick; ++i) {
      AcceptedTask task;
      task.task = TaskId(std::to_string(this->next_task++));
      task.team = TeamId("counts");
      task.queue = QueueId("web.hourly");
      task.body.assign(200, 'x');
      if (this->LogOf(d).Admit({false, false}, this->Now()) ==
          Admission::kJournaled) {
        this->ExecuteAll(d, this->LogOf(d).Accept(task, this->Now()));
      }
    }
    this->ExecuteAll(d, this->LogOf(d).OnTick(this->Now()));
    this->schedule.After(kJournalTick, d, [this, d] { this->Tick(d); });
  }

  void ExecuteAll(int d, const JournalActions& actions) {
    for (const JournalAction& action : actions) {
      std::visit([&](const auto& item) { this->Execute(d, item); }, action);
    }
  }

  // Issues a token every 1/300 s, with bursts of up to 100 ms of tokens. Writes
  // without a token fail, as the stand-in refuses those above its cap with 503.
  bool TakeToken() {
    const Duration gap = Duration(seconds(1)) / kWritesPerSecond;
    const Instant oldest = this->Now() - milliseconds(100);
    const Instant next = std::max(this->last_token_at, oldest) + gap;
    if (next > this->Now()) {
      return false;
    }
    this->last_token_at = next;
    return true;
  }

  void Execute(int d, const TransactJournal& write) {
    const Duration delay = milliseconds(this->schedule.Random(1, 3));
    this->schedule.After(delay, EventSchedule::kNoNode, [=, this] {
      const CommitAnswer answer = this->TakeToken()
                                      ? this->table.Transact(write.transaction)
                                      : CommitAnswer{};
      this->schedule.After(delay, d, [=, this] {
        this->ExecuteAll(
            d, this->LogOf(d).OnTransactAnswer(write.transaction.operation_id,
                                               answer, this->Now()));
      });
    });
  }
  void Execute(int d, const ReadJournalRows& read) {
    this->schedule.After(milliseconds(3), d, [=, this] {
      std::vector<TableRow> rows;
      for (const std::string& key : read.keys) {
        rows.push_back(this->table.Read(key));
      }
      this->ExecuteAll(d,
                       this->LogOf(d).OnRead(read.request, rows, this->Now()));
    });
  }
  void Execute(int d, const TaskAccepted& event) {
    ++this->accepted;
    const AttemptId attempt(event.task.value + "a");
    this->ExecuteAll(d,
                     this->LogOf(d).RecordIntent(
                         {event.task, attempt, EndpointId("e1"), BootId("b1")},
                         this->Now()));
  }
  void Execute(int d, const IntentRecorded& event) {
    TaskAnswer answer;
    answer.task = event.intent.task;
    answer.outcome = JournalOutcome::kAnswered;
    answer.body.assign(100, 'y');
    this->schedule.After(milliseconds(50), d, [=, this] {
      this->ExecuteAll(d, this->LogOf(d).RecordAnswer(answer, this->Now()));
    });
  }
  template <typename Other>
  void Execute(int, const Other&) {}

  EventSchedule schedule;
  VirtualTable table;
  std::vector<std::unique_ptr<Log>> logs;
  Instant last_token_at{};
  std::int64_t next_task = 0;
  std::int64_t accepted = 0;
};

struct Totals {
  std::int64_t accepted = 0;
  std::int64_t takeovers = 0;
  std::int64_t unknown = 0;
  std::int64_t lost = 0;
  std::int64_t run_twice = 0;
  std::int64_t false_not_run = 0;
  std::int64_t max_rows_left = 0;
};

template <typename Log>
Totals RunSchedules(std::uint64_t seed, std::int64_t schedules) {
  Totals totals;
  bool reported = false;
  for (std::int64_t i = 0; i < schedules; ++i) {
    JournalSimulationOptions options;
    options.seed = seed + static_cast<std::uint64_t>(i);
    JournalSimulation<Log> simulation(options);
    const JournalSimulationResult result = simulation.Run();
    if (!result.first_failure.empty() && !reported) {
      reported = true;
      std::printf("first failure: seed=%llu %s\n",
                  static_cast<unsigned long long>(options.seed),
                  result.first_failure.c_str());
    }
    totals.accepted += result.accepted;
    totals.takeovers += result.takeovers;
    totals.unknown += result.unknown;
    totals.lost += result.lost;
    totals.run_twice += result.run_twice;
    totals.false_not_run += result.false_not_run + result.false_answer;
    totals.max_rows_left = std::max(totals.max_rows_left, result.rows_left);
  }
  return totals;
}

int Main(std::uint64_t seed, std::int64_t schedules) {
  std::printf("bench=journal seed=%llu schedules=%lld\n",
              static_cast<unsigned long long>(seed),
              static_cast<long long>(schedules));
  const Totals own = RunSchedules<Journal>(seed, schedules);
  const Totals naive = RunSchedules<NaiveJournal>(seed, schedules);
  std::printf("accepted=%lld takeovers=%lld unknown=%lld\n",
              static_cast<long long>(own.accepted),
              static_cast<long long>(own.takeovers),
              static_cast<long long>(own.unknown));
  const auto count = [](std::int64_t n) { return static_cast<double>(n); };
  bool ok = PrintResult({"journal", "accepted_per_s", "tasks/s",
                         LoadSimulation<Journal>(seed).Run(),
                         LoadSimulation<NaiveJournal>(seed).Run(),
                         kTargetTasksPerSecond, Better::kHigher});
  ok &= PrintResult(
      {"journal", "lost", "tasks", count(own.lost), count(naive.lost), 0});
  ok &= PrintResult({"journal", "run_twice", "tasks", count(own.run_twice),
                     count(naive.run_twice), 0});
  ok &= PrintResult({"journal", "false_not_run", "tasks",
                     count(own.false_not_run), count(naive.false_not_run), 0});
  // Target: the head and the last batch of each of the three daemons.
  ok &= PrintResult({"journal", "rows_left", "rows", count(own.max_rows_left),
                     count(naive.max_rows_left), 6});
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace peridot::testing

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  std::uint64_t seed = 1;
  std::int64_t schedules = 2'000;
  po::options_description options("bench_journal");
  options.add_options()("seed", po::value(&seed), "first seed")(
      "schedules", po::value(&schedules), "number of schedules");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << error.what() << '\n' << options;
    return 2;
  }
  return peridot::testing::Main(seed, schedules);
}
