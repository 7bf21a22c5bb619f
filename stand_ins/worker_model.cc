#include "stand_ins/worker_model.h"

#include <algorithm>
#include <utility>

namespace peridot {

WorkerModel::WorkerModel(WorkerSettings settings, Instant now)
    : settings(std::move(settings)), started_at(now) {}

std::int64_t WorkerModel::ClockMs(Instant now) const {
  return this->clock_at_start.count() +
         static_cast<std::int64_t>(
             std::chrono::duration<double, std::milli>(now - this->started_at)
                 .count() *
             this->settings.clock_rate);
}

void WorkerModel::Extend(std::int64_t lease_until_ms, Instant now) {
  const std::int64_t max_lease_until_ms =
      this->ClockMs(now) + this->settings.max_lease.count();
  this->lease_until =
      std::max(this->lease_until, std::min(lease_until_ms, max_lease_until_ms));
}

OrderReply WorkerModel::Start(const StartRun& order,
                              const WorkerTask& task,
                              Instant now) {
  this->Advance(now);
  if (order.target.fence < this->fence) {
    return OrderReply::kFenced;
  }
  this->fence = order.target.fence;
  if (order.lease_until_ms <= this->ClockMs(now)) {
    return OrderReply::kLate;
  }
  this->Extend(order.lease_until_ms, now);
  const auto present = this->running.find(order.task);
  if (present != this->running.end() && present->second.number == order.run) {
    return OrderReply::kDone;
  }
  const auto highest_run = this->highest_ended.find(order.task);
  if (present != this->running.end() ||
      (highest_run != this->highest_ended.end() &&
       order.run <= highest_run->second)) {
    return OrderReply::kOldRun;
  }
  Resources free_capacity = this->settings.row.capacity;
  free_capacity -= this->Used();
  if (!task.needs.FitsIn(free_capacity)) {
    return OrderReply::kNoRoom;
  }
  this->running[order.task] =
      Run{order.run, task, now,
          task.long_running ? Instant::max() : now + task.duration, false};
  return OrderReply::kDone;
}

OrderReply WorkerModel::Stop(const StopRun& order, Instant now) {
  this->Advance(now);
  if (order.target.fence < this->fence) {
    return OrderReply::kFenced;
  }
  this->fence = order.target.fence;
  const auto found = this->running.find(order.task);
  if (found == this->running.end()) {
    // The start order has not arrived yet: it will be refused.
    RunNumber& highest_refused = this->highest_ended[order.task];
    highest_refused = std::max(highest_refused, order.run);
  } else if (found->second.number <= order.run && !found->second.stopping) {
    found->second.stopping = true;
    found->second.ends_at =
        std::min(found->second.ends_at, now + this->settings.stop_duration);
  }
  return OrderReply::kDone;
}

std::optional<EndpointReportRows> WorkerModel::Poll(const PollEndpoint& poll,
                                                    Instant now) {
  this->Advance(now);
  if (poll.target.fence < this->fence) {
    return std::nullopt;
  }
  this->fence = poll.target.fence;
  if (poll.lease_until_ms > 0) {
    this->Extend(poll.lease_until_ms, now);
  }
  this->acknowledged_up_to =
      std::max(this->acknowledged_up_to, poll.acknowledged);
  this->ForgetAcknowledged();
  EndpointReportRows report;
  report.clock_ms = this->ClockMs(now);
  report.start_time_ms = this->settings.row.start_time_ms;
  for (const auto& [name, run] : this->running) {
    const int percent =
        run.task.long_running || run.task.duration.count() == 0
            ? 100
            : static_cast<int>(
                  std::min<Duration>(now - run.started_at, run.task.duration) *
                  100 / run.task.duration);
    report.running.push_back(RunningTask{name, run.number, "", percent, 0});
  }
  const std::size_t listed =
      std::min(this->ended.size(), this->settings.max_ends_listed);
  report.ended.assign(
      this->ended.begin(),
      this->ended.begin() + static_cast<std::ptrdiff_t>(listed));
  report.all_ends_listed = listed == this->ended.size();
  return report;
}

void WorkerModel::End(const TaskName& task, EndKind kind, Instant now) {
  const auto found = this->running.find(task);
  RunNumber& ended_run = this->highest_ended[task];
  ended_run = std::max(ended_run, found->second.number);
  this->ended.push_back(
      RunEnd{++this->last_end, task, found->second.number, kind, ""});
  this->all_ends.push_back(this->ended.back());
  this->end_times[{task, found->second.number}] = now;
  this->running.erase(found);
}

void WorkerModel::ForgetAcknowledged() {
  while (!this->ended.empty() &&
         this->ended.front().number <= this->acknowledged_up_to) {
    const RunEnd& end = this->ended.front();
    if (end.number > this->lapsed_up_to) {
      this->acknowledged.push_back(end);
    }
    if (end.number > this->listed_up_to) {
      this->acknowledged_unlisted.push_back(end);
    }
    this->ended.pop_front();
  }
}

void WorkerModel::OnListed(const EndpointReportRows& report) {
  if (!report.ended.empty()) {
    this->listed_up_to =
        std::max(this->listed_up_to, report.ended.back().number);
  }
}

void WorkerModel::Advance(Instant now) {
  std::vector<TaskName> due;
  const bool lapsed = this->ClockMs(now) >= this->lease_until;
  for (const auto& [name, run] : this->running) {
    if (run.ends_at <= now || lapsed) {
      due.push_back(name);
    }
  }
  for (const TaskName& name : due) {
    const Run& run = this->running.at(name);
    const bool in_time = run.ends_at <= now;
    this->End(name,
              !in_time       ? EndKind::kLapsed
              : run.stopping ? EndKind::kStopped
                             : run.task.ends,
              now);
  }
  if (lapsed && (this->settings.idle_lease_lapses || !due.empty())) {
    this->lapsed_up_to = this->last_end;
  }
  this->ForgetAcknowledged();
}

void WorkerModel::Restart(Instant now, Milliseconds clock) {
  this->running.clear();
  this->highest_ended.clear();
  this->ended.clear();
  this->last_end = 0;
  this->fence = FencingToken{};
  this->lease_until = 0;
  this->lapsed_up_to = 0;
  this->acknowledged_up_to = 0;
  this->listed_up_to = 0;
  this->started_at = now;
  this->clock_at_start = clock;
  ++this->settings.row.start_time_ms;
}

std::optional<Instant> WorkerModel::EndTime(const TaskName& task,
                                            RunNumber run) const {
  const auto found = this->end_times.find({task, run});
  return found == this->end_times.end() ? std::nullopt
                                        : std::optional(found->second);
}

bool WorkerModel::Runs(const TaskName& task) const {
  return this->running.contains(task);
}

std::vector<TaskName> WorkerModel::Running() const {
  std::vector<TaskName> names;
  for (const auto& [name, run] : this->running) {
    names.push_back(name);
  }
  return names;
}

Resources WorkerModel::Used() const {
  Resources used;
  for (const auto& [name, run] : this->running) {
    used += run.task.needs;
  }
  return used;
}

}  // namespace peridot
