#include "src/coordination/attempt.h"

#include <utility>

namespace peridot {

TaskExecution::TaskExecution(bool idempotent,
                             int max_attempts,
                             Instant deadline)
    : idempotent(idempotent), max_attempts(max_attempts), deadline(deadline) {}

void TaskExecution::OnStart(AttemptId attempt, EndpointId endpoint) {
  this->attempt = std::move(attempt);
  this->endpoint = std::move(endpoint);
}

TaskStep TaskExecution::OnReply(const AttemptId& attempt,
                                AttemptReply reply,
                                Instant now) {
  if (this->outcome != TaskOutcome::kNone || attempt != this->attempt) {
    return TaskStep::kWait;
  }
  switch (reply) {
    case AttemptReply::kDone:
      this->ran = Ran::kYes;
      return this->Finish(TaskOutcome::kDone);
    case AttemptReply::kFailed:
    case AttemptReply::kStopped:
      return this->AfterFailure(now);
    case AttemptReply::kNeverStarted:
    case AttemptReply::kNotSent:
      return this->AfterNeverStarted(now);
    case AttemptReply::kNoAnswer:
      return TaskStep::kFence;
  }
  return TaskStep::kWait;
}

TaskStep TaskExecution::OnFence(const AttemptId& attempt,
                                FenceReply reply,
                                Instant now) {
  if (this->outcome != TaskOutcome::kNone || attempt != this->attempt) {
    return TaskStep::kWait;
  }
  switch (reply) {
    case FenceReply::kNeverStarted:
      return this->AfterNeverStarted(now);
    case FenceReply::kRunning:
      this->ran = Ran::kYes;
      return TaskStep::kFence;
    case FenceReply::kDone:
      this->ran = Ran::kYes;
      return this->Finish(TaskOutcome::kDone);
    case FenceReply::kFailed:
    case FenceReply::kStopped:
      return this->AfterFailure(now);
    case FenceReply::kUnknown:
      return this->AfterUnknown(now);
    case FenceReply::kNoAnswer:
      return TaskStep::kFence;
  }
  return TaskStep::kWait;
}

TaskStep TaskExecution::OnDeadline() {
  if (this->outcome != TaskOutcome::kNone) {
    return TaskStep::kWait;
  }
  if (!this->HasAttempt()) {
    return this->Finish(this->OutcomeWithoutAttempt());
  }
  if (this->ran == Ran::kNo) {
    this->ran = Ran::kUnknown;
  }
  return this->Finish(TaskOutcome::kUnknown);
}

TaskStep TaskExecution::OnCancel() {
  if (this->outcome != TaskOutcome::kNone) {
    return TaskStep::kWait;
  }
  this->cancelled = true;
  if (!this->HasAttempt()) {
    return this->Finish(TaskOutcome::kCancelled);
  }
  return TaskStep::kWait;
}

TaskStep TaskExecution::Finish(TaskOutcome result) {
  this->outcome = result;
  return TaskStep::kFinish;
}

TaskStep TaskExecution::AfterFailure(Instant now) {
  this->ran = Ran::kYes;
  ++this->runs;
  this->failed_endpoints.push_back(this->endpoint);
  this->attempt = AttemptId();
  if (this->cancelled) {
    return this->Finish(TaskOutcome::kCancelled);
  }
  const bool again = this->idempotent && this->runs < this->max_attempts &&
                     now < this->deadline;
  return again ? TaskStep::kRetry : this->Finish(TaskOutcome::kFailed);
}

TaskStep TaskExecution::AfterUnknown(Instant now) {
  if (this->ran == Ran::kNo) {
    this->ran = Ran::kUnknown;
  }
  ++this->runs;
  this->attempt = AttemptId();
  const bool again = this->idempotent && this->runs < this->max_attempts &&
                     now < this->deadline && !this->cancelled;
  return again ? TaskStep::kRetry : this->Finish(TaskOutcome::kUnknown);
}

TaskStep TaskExecution::AfterNeverStarted(Instant now) {
  this->attempt = AttemptId();
  if (this->cancelled) {
    return this->Finish(TaskOutcome::kCancelled);
  }
  if (now < this->deadline) {
    return TaskStep::kRetry;
  }
  return this->Finish(this->OutcomeWithoutAttempt());
}

TaskOutcome TaskExecution::OutcomeWithoutAttempt() const {
  switch (this->ran) {
    case Ran::kNo:
      return TaskOutcome::kNotRun;
    case Ran::kYes:
      return TaskOutcome::kFailed;
    case Ran::kUnknown:
      return TaskOutcome::kUnknown;
  }
  return TaskOutcome::kUnknown;
}

}  // namespace peridot
