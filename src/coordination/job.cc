#include "src/coordination/job.h"

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

}  // namespace peridot
