// Tests of JobScheduler with recurring jobs.

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "tests/support/job_simulation.h"
#include "tests/support/scheduler_fixture.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

constexpr std::int64_t kUnixMs = 1'700'000'000'000;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr unsigned kSeeds = 10;
#else
constexpr unsigned kSeeds = 60;
#endif

// A job of one task a time, all of which are due already.
AcceptedJob OverdueJob(const std::string& id, int occurrences) {
  AcceptedJob job = Job(id, 1);
  job.spec.occurrences = occurrences;
  job.spec.first_due_ms = 1'400'000'000'000;
  job.spec.interval_ms = 1;
  return job;
}

struct OccurrenceFixture : SchedulerFixture {
  explicit OccurrenceFixture(OwnerEpoch epoch = OwnerEpoch(1))
      : SchedulerFixture({Endpoint("e1"), Endpoint("e2")}, epoch) {
    this->scheduler.OnWallClock(kUnixMs, this->now);
  }

  void Add(const AcceptedJob& job) {
    this->scheduler.OnJob(job, RowVersion(0), false, milliseconds(0),
                          this->now);
  }

  // Starts what fits and ends it as done, until `ends` runs have ended.
  void RunTasks(int ends) {
    while (ends > 0) {
      const std::vector<StartRun> batch = this->Starts();
      REQUIRE_FALSE(batch.empty());
      std::map<EndpointId, EndpointReportRows> reports;
      for (const StartRun& start : batch) {
        this->Confirm(start);
        this->started.push_back(start.task);
        reports[start.target.endpoint].ended.push_back(End(
            ++this->last_end[start.target.endpoint], start, EndKind::kDone));
        --ends;
      }
      for (const auto& [id, report] : reports) {
        this->AnswerPoll(id, report);
      }
    }
  }

  // Stores all progress, as rows by block.
  void Store() {
    for (RecordBatch batch = this->scheduler.TakeBatch({.rows = 100});
         batch.number != 0; batch = this->scheduler.TakeBatch({.rows = 100})) {
      for (const JobProgress& progress : batch.progress) {
        this->stored[progress.block] = progress;
      }
      this->scheduler.OnRecorded(batch.number, RecordResult::kStored,
                                 this->now);
    }
  }

  std::vector<TaskName> started;
  std::map<EndpointId, EndNumber> last_end;
  std::map<ProgressBlock, JobProgress> stored;
};

TEST_CASE("a job with many overdue occurrences opens few at a time",
          "[job_scheduler]") {
  // Guards against one submission that stops the fleet: each decision took time
  // in proportion to all occurrences that were due, and the owner lost its
  // lease meanwhile (review/7).
  OccurrenceFixture fixture;
  fixture.Add(OverdueJob("many", 20'000));
  fixture.Add(Job("other", 1));
  const std::vector<StartRun> starts = fixture.Starts();
  CHECK(std::any_of(starts.begin(), starts.end(), [](const StartRun& start) {
    return start.task.job == JobId("other");
  }));
  const JobSchedulerConfig defaults;
  const double open_core_seconds =
      0.5 * static_cast<double>(defaults.max_open_occurrences);
  CHECK(fixture.scheduler.Demand(fixture.now)[ServiceId("s")]
            .waiting_core_seconds <= open_core_seconds);
}

TEST_CASE("each occurrence of a job with many runs once", "[job_scheduler]") {
  // Guards against occurrences that are left out, or run again, when completed
  // ones are forgotten.
  constexpr int kOccurrences = 1000;
  OccurrenceFixture fixture;
  fixture.Add(OverdueJob("j", kOccurrences));
  fixture.RunTasks(kOccurrences);
  std::sort(fixture.started.begin(), fixture.started.end());
  REQUIRE(fixture.started.size() == kOccurrences);
  for (int i = 0; i < kOccurrences; ++i) {
    CHECK(fixture.started[i].occurrence == i);
  }
  fixture.Starts();
  fixture.Store();
  CHECK(fixture.scheduler.StateOf(JobId("j")) == JobState::kCompleted);
}

TEST_CASE("progress of completed occurrences shrinks to their number",
          "[job_scheduler]") {
  // Guards against rows that add up until a takeover takes longer than the
  // work.
  OccurrenceFixture fixture;
  fixture.Add(OverdueJob("j", 20'000));
  for (int i = 0; i < 20; ++i) {
    fixture.RunTasks(40);
    fixture.Store();
    for (const SettledBlocks& settled : fixture.scheduler.BlocksToRemove(90)) {
      for (const ProgressBlock& block : settled.blocks) {
        fixture.stored.erase(block);
      }
      fixture.scheduler.OnBlocksRemoved(settled.id, settled.blocks);
    }
  }
  CHECK(fixture.stored.size() < 200);
  CHECK(fixture.stored[ProgressBlock{}].completed_occurrences >= 700);

  // A new owner goes on where this one stopped. Runs of this one are over.
  OccurrenceFixture next(OwnerEpoch(2));
  for (const auto& [block, progress] : fixture.stored) {
    next.scheduler.OnProgress(progress);
  }
  next.Add(OverdueJob("j", 20'000));
  next.RunTasks(100);
  for (const TaskName& task : next.started) {
    CHECK(std::count(fixture.started.begin(), fixture.started.end(), task) ==
          0);
  }
}

TEST_CASE("an occurrence that is due after the range of the clock waits",
          "[job_scheduler]") {
  // Guards against a time that overflows and counts as past.
  OccurrenceFixture fixture;
  AcceptedJob job = OverdueJob("j", 2'000'000'000);
  job.spec.interval_ms = 10'000'000'000;
  job.spec.first_due_ms = kUnixMs - 1;
  fixture.Add(job);
  CHECK(fixture.Starts().size() == 1);
  fixture.Add([] {
    AcceptedJob late = OverdueJob("late", 1);
    late.spec.first_due_ms = 9'223'372'036'854'775'807;
    return late;
  }());
  CHECK(fixture.Starts().empty());
}

TEST_CASE("seeded simulations with recurring jobs break no invariant",
          "[job_scheduler]") {
  // Guards against occurrences that run twice or are lost when owners change
  // while completed ones are recorded by their number and rows are removed.
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    JobSimulation simulation(
        JobSimulationOptions{.seed = seed,
                             .jobs = 6,
                             .occurrences = 12,
                             .open_occurrences = 4,
                             .occurrences_per_record = 2,
                             .layout = ProgressLayout{2, 1}});
    simulation.RunFor(milliseconds(120'000));
    CAPTURE(seed, simulation.Violations());
    CHECK(simulation.Violations().empty());
    CHECK(simulation.FinalJobs() == simulation.Jobs());
  }
}

}  // namespace
}  // namespace peridot
