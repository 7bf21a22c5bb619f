#include "src/coordination/job.h"

#include <algorithm>

namespace peridot {

Resources& Resources::operator+=(const Resources& other) {
  this->milli_cores += other.milli_cores;
  this->memory_mb += other.memory_mb;
  this->accelerators += other.accelerators;
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->milli_cores -= other.milli_cores;
  this->memory_mb -= other.memory_mb;
  this->accelerators -= other.accelerators;
  return *this;
}

bool Resources::FitsIn(const Resources& room) const {
  return this->milli_cores <= room.milli_cores &&
         this->memory_mb <= room.memory_mb &&
         this->accelerators <= room.accelerators;
}

const char* EndKindName(EndKind kind) {
  switch (kind) {
    case EndKind::kDone:
      return "done";
    case EndKind::kFailed:
      return "failed";
    case EndKind::kStopped:
      return "stopped";
    case EndKind::kLapsed:
      return "lapsed";
    case EndKind::kBroken:
      return "broken";
    case EndKind::kAlone:
      return "alone";
  }
  return "failed";
}

bool IsFinal(JobState state) {
  return state == JobState::kCompleted || state == JobState::kFailed ||
         state == JobState::kCancelled;
}

ProgressBlock BlockOf(const JobSpec& spec,
                      const TaskName& task,
                      const ProgressLayout& layout) {
  std::int64_t tasks = 0;
  for (const StepSpec& step : spec.steps) {
    tasks += step.task_count;
  }
  tasks *= std::max(1, spec.occurrences);
  if (tasks <= layout.max_tasks_in_main_row) {
    return ProgressBlock{};
  }
  return ProgressBlock{false, task.occurrence, task.step,
                       task.index / layout.tasks_per_block};
}

std::size_t EstimateBytes(const JobProgress& progress) {
  constexpr std::size_t kBytesPerRow = 100;
  constexpr std::size_t kBytesPerTask = 24;
  constexpr std::size_t kBytesPerRun = 12;
  std::size_t bytes = kBytesPerRow + kBytesPerTask * progress.done.size();
  for (const auto& [task, runs] : progress.failures) {
    bytes += kBytesPerTask + kBytesPerRun * runs.size();
  }
  for (const auto& [task, checkpoint] : progress.checkpoints) {
    bytes += kBytesPerTask + checkpoint.size();
  }
  return bytes;
}

}  // namespace peridot
