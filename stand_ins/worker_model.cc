#include "stand_ins/worker_model.h"

#include <algorithm>
#include <utility>

namespace peridot {

WorkerModel::WorkerModel(WorkerSettings settings, Instant now)
    : settings(std::move(settings)), born(now) {}

std::int64_t WorkerModel::Clock(Instant now) const {
  return static_cast<std::int64_t>(
      std::chrono::duration<double, std::milli>(now - this->born).count() *
      this->settings.clock_rate);
}

void WorkerModel::Extend(std::int64_t lease_until_ms, Instant now) {
  const std::int64_t most = this->Clock(now) + this->settings.lease_max.count();
  this->lease_until =
      std::max(this->lease_until, std::min(lease_until_ms, most));
}

OrderReply WorkerModel::Start(const StartRun& order,
                              OwnerEpoch epoch,
                              const WorkerTask& task,
                              Instant now) {
  this->Advance(now);
  if (epoch < this->fence) {
    return OrderReply::kFenced;
  }
  this->fence = epoch;
  if (order.lease_until_ms <= this->Clock(now)) {
    return OrderReply::kLate;
  }
  this->Extend(order.lease_until_ms, now);
  const auto present = this->running.find(order.task);
  if (present != this->running.end() && present->second.number == order.run) {
    return OrderReply::kDone;
  }
  const auto highest_run = this->highest.find(order.task);
  if (present != this->running.end() || (highest_run != this->highest.end() &&
                                         order.run <= highest_run->second)) {
    return OrderReply::kOldRun;
  }
  Resources room = this->settings.row.capacity;
  room -= this->Used();
  if (!task.needs.FitsIn(room)) {
    return OrderReply::kNoRoom;
  }
  this->running[order.task] =
      Run{order.run, task,
          task.long_running ? Instant::max() : now + task.duration, false};
  return OrderReply::kDone;
}

OrderReply WorkerModel::Stop(const StopRun& order,
                             OwnerEpoch epoch,
                             Instant now) {
  this->Advance(now);
  if (epoch < this->fence) {
    return OrderReply::kFenced;
  }
  this->fence = epoch;
  const auto found = this->running.find(order.task);
  if (found == this->running.end()) {
    // The start order has not arrived yet: it will be refused.
    RunNumber& barred = this->highest[order.task];
    barred = std::max(barred, order.run);
  } else if (found->second.number <= order.run && !found->second.stopping) {
    found->second.stopping = true;
    found->second.ends_at =
        std::min(found->second.ends_at, now + this->settings.stop_time);
  }
  return OrderReply::kDone;
}

std::optional<EndpointReportRows> WorkerModel::Look(const LookAt& look,
                                                    OwnerEpoch epoch,
                                                    Instant now) {
  this->Advance(now);
  if (epoch < this->fence) {
    return std::nullopt;
  }
  this->fence = epoch;
  if (look.lease_until_ms > 0) {
    this->Extend(look.lease_until_ms, now);
  }
  while (!this->ended.empty() &&
         this->ended.front().number <= look.acknowledged) {
    if (this->ended.front().number > this->lapsed_up_to) {
      this->acknowledged.push_back(this->ended.front());
    }
    this->ended.pop_front();
  }
  EndpointReportRows report;
  report.clock_ms = this->Clock(now);
  report.born_ms = this->settings.row.born_ms;
  for (const auto& [name, run] : this->running) {
    report.running.push_back(RunningTask{name, run.number, "", 100, 0});
  }
  report.ended.assign(this->ended.begin(), this->ended.end());
  return report;
}

void WorkerModel::End(const TaskName& task, EndKind kind) {
  const auto found = this->running.find(task);
  RunNumber& ended_run = this->highest[task];
  ended_run = std::max(ended_run, found->second.number);
  this->ended.push_back(
      RunEnd{++this->last_end, task, found->second.number, kind, ""});
  this->all_ends.push_back(this->ended.back());
  this->running.erase(found);
}

void WorkerModel::Advance(Instant now) {
  std::vector<TaskName> due;
  const bool lapsed = this->Clock(now) >= this->lease_until;
  for (const auto& [name, run] : this->running) {
    if (run.ends_at <= now || lapsed) {
      due.push_back(name);
    }
  }
  for (const TaskName& name : due) {
    const Run& run = this->running.at(name);
    const bool in_time = run.ends_at <= now;
    this->End(name, !in_time       ? EndKind::kLapsed
                    : run.stopping ? EndKind::kStopped
                                   : run.task.ends);
  }
  if (lapsed) {
    this->lapsed_up_to = this->last_end;
  }
}

void WorkerModel::Restart(Instant now) {
  this->running.clear();
  this->highest.clear();
  this->ended.clear();
  this->last_end = 0;
  this->fence = OwnerEpoch{};
  this->lease_until = 0;
  this->lapsed_up_to = 0;
  this->born = now;
  ++this->settings.row.born_ms;
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
