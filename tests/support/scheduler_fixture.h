// A job scheduler with endpoints whose answers a test gives one by one.
// Not thread-safe.

#ifndef TESTS_SUPPORT_SCHEDULER_FIXTURE_H_
#define TESTS_SUPPORT_SCHEDULER_FIXTURE_H_

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/job_scheduler.h"

namespace peridot {

inline const Instant kStart = Instant{} + std::chrono::seconds(100);

inline EndpointRow Endpoint(const std::string& id) {
  return EndpointRow{.id = EndpointId(id),
                     .start_time_ms = 7,
                     .service = ServiceId("s"),
                     .zone = ZoneId("z1"),
                     .address = "10.0.0.1:" + id.substr(1),
                     .ready = true,
                     .capacity = Resources{4000, 8000, 0},
                     .labels = {"a", "r1"}};
}

inline AcceptedJob Job(const std::string& id, int tasks) {
  AcceptedJob job;
  job.id = JobId(id);
  job.queue = "q";
  job.service = ServiceId("s");
  job.spec.steps = {StepSpec{.task_count = tasks,
                             .per_task = Resources{1000, 100, 0},
                             .estimate = Milliseconds(500)}};
  return job;
}

inline FleetConfig Fleet() {
  FleetConfig fleet;
  fleet.queues["q"] =
      QueueConfig{.name = "q", .service = ServiceId("s"), .max_attempts = 2};
  fleet.services[ServiceId("s")] = ServiceConfig{};
  return fleet;
}

// A scheduler with endpoints that have answered their first poll, unless
// `answer_polls` is false.
struct SchedulerFixture {
  explicit SchedulerFixture(std::vector<EndpointRow> endpoints,
                            OwnerEpoch epoch = OwnerEpoch(1),
                            bool answer_polls = true)
      : rows(std::move(endpoints)),
        scheduler(JobSchedulerConfig{.epoch = epoch}, kStart) {
    this->scheduler.OnFleetConfig(Fleet());
    this->scheduler.OnEndpoints(this->rows, this->now);
    if (answer_polls) {
      for (const EndpointRow& row : this->rows) {
        this->AnswerPoll(row.id, {});
      }
    }
  }

  // Delivers the answer of an endpoint to a poll that was sent just now. A
  // report without a start time is of the process that Endpoint() lists.
  void AnswerPoll(const EndpointId& id, EndpointReportRows report) {
    report.clock_ms = 1000;
    if (report.start_time_ms == 0) {
      report.start_time_ms = 7;
    }
    // The answer of a new process is followed by a poll with a higher token.
    PollEndpoint poll;
    do {
      poll.target = this->scheduler.TargetOf(id);
      this->now += Milliseconds(1);
      this->scheduler.OnPollResult(poll, report, this->now, this->now);
    } while (poll.target.fence != this->scheduler.TargetOf(id).fence);
  }

  std::vector<UsedEndpoint> StoreUsedEndpoints() {
    const std::vector<UsedEndpoint> used =
        this->scheduler.TakeUsedEndpoints(this->now);
    this->scheduler.OnUsedEndpointsStored();
    return used;
  }

  // Reports that a poll of the endpoint got no answer.
  void FailPoll(const EndpointId& id) {
    PollEndpoint poll;
    poll.target = this->scheduler.TargetOf(id);
    this->scheduler.OnPollResult(poll, std::nullopt, this->now, this->now);
  }

  std::vector<StartRun> Starts() {
    SchedulerActions actions = this->scheduler.Advance(true, this->now);
    this->CollectActions(&actions);
    if (this->store_moves && this->scheduler.HasUnstoredQueueMoves()) {
      this->scheduler.TakeQueueMoves(this->now);
      this->scheduler.OnQueueMovesStored();
      actions = this->scheduler.Advance(true, this->now);
      this->CollectActions(&actions);
    }
    return std::exchange(this->starts, {});
  }

  // Adds a job with one task and returns the start of that task.
  StartRun StartJob(const std::string& id) {
    this->scheduler.OnJob(Job(id, 1), RowVersion(0), false, Milliseconds(0),
                          this->now);
    std::vector<StartRun> starts = this->Starts();
    REQUIRE(starts.size() == 1);
    return std::move(starts[0]);
  }

  std::vector<StopRun> Stops() {
    SchedulerActions actions = this->scheduler.Advance(true, this->now);
    this->CollectActions(&actions);
    return std::exchange(this->stops, {});
  }

  void CollectActions(SchedulerActions* actions) {
    this->starts.insert(this->starts.end(), actions->starts.begin(),
                        actions->starts.end());
    this->stops.insert(this->stops.end(), actions->stops.begin(),
                       actions->stops.end());
    this->advice.insert(this->advice.end(), actions->advice.begin(),
                        actions->advice.end());
  }

  void Confirm(const StartRun& start) {
    this->scheduler.OnStartReply(start, {OrderReply::kDone}, this->now);
  }

  Instant now = kStart;
  std::vector<EndpointRow> rows;
  JobScheduler scheduler;
  std::vector<StartRun> starts;
  std::vector<StopRun> stops;
  std::vector<AdviceRequest> advice;
  bool store_moves = true;  // moves of queues are stored at once
};

inline RunEnd End(EndNumber number, const StartRun& start, EndKind kind) {
  return RunEnd{number, start.task, start.run, kind, ""};
}

}  // namespace peridot

#endif  // TESTS_SUPPORT_SCHEDULER_FIXTURE_H_
