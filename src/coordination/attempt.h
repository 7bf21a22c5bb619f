// State machine of one task: attempts, fences, retries and the outcome.
//
// Index:
//   [SECTION] Inputs
//   [SECTION] Steps
//   [SECTION] TaskExecution
//
// An attempt whose reply was lost is fenced at its endpoint. A non-idempotent
// task is attempted again, or refused as "not run", only after the endpoint
// confirms that it never started the attempt and never will.
//
// Not thread-safe: one event loop owns each value.

#ifndef SRC_COORDINATION_ATTEMPT_H_
#define SRC_COORDINATION_ATTEMPT_H_

#include <string>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

// How the request that carried an attempt ended.
enum class AttemptReply {
  kDone,          // complete answer of this attempt
  kFailed,        // the task ran and failed
  kStopped,       // the task ran and was stopped
  kNeverStarted,  // the endpoint refused it and will never start it
  kNotSent,       // no byte reached the endpoint
  kNoAnswer,      // connection lost, timeout, or a reply that does not match
};

// Reply of the endpoint to the fence of an attempt.
enum class FenceReply {
  kNeverStarted,
  kRunning,
  kDone,  // the reply carries the result
  kFailed,
  kStopped,
  kUnknown,   // the endpoint restarted after the attempt was sent
  kNoAnswer,  // the fence request got no reply
};

//-----------------------------------------------------------------------------
// [SECTION] Steps
//-----------------------------------------------------------------------------

enum class TaskStep {
  kWait,    // nothing to do until the next input
  kFence,   // fence the current attempt over a new connection
  kRetry,   // queue the task again; no attempt of it can run
  kFinish,  // the task has ended; see Outcome()
};

enum class TaskOutcome {
  kNone,       // not ended
  kDone,       // complete answer delivered
  kFailed,     // ran and failed, final
  kNotRun,     // no attempt ran
  kUnknown,    // an attempt may have run
  kCancelled,  // stopped on request; WhetherRan() returns whether it ran
};

enum class Ran { kNo, kYes, kUnknown };

//-----------------------------------------------------------------------------
// [SECTION] TaskExecution
//-----------------------------------------------------------------------------

class TaskExecution {
 public:
  // Precondition: max_attempts >= 1.
  TaskExecution(bool idempotent, int max_attempts, Instant deadline);

  // An attempt is about to be sent. Precondition: none is outstanding.
  void OnStart(AttemptId attempt, EndpointId endpoint);

  // The request of an attempt ended. Replies of an earlier attempt are ignored.
  TaskStep OnReply(const AttemptId& attempt, AttemptReply reply, Instant now);

  // The fence of an attempt was answered. kNoAnswer requires another
  // fence until the deadline; the caller waits between fences.
  TaskStep OnFence(const AttemptId& attempt, FenceReply reply, Instant now);

  // The deadline has passed. The outcome is kNotRun only if no attempt of the
  // task can be running.
  TaskStep OnDeadline();

  // The caller cancelled the task. If HasAttempt(), the dispatcher must stop
  // the current attempt.
  TaskStep OnCancel();

  bool IsCancelled() const { return this->cancelled; }
  bool HasAttempt() const { return !this->attempt.value.empty(); }
  bool IsIdempotent() const { return this->idempotent; }
  const AttemptId& CurrentAttempt() const { return this->attempt; }
  const EndpointId& CurrentEndpoint() const { return this->endpoint; }
  Instant Deadline() const { return this->deadline; }
  TaskOutcome Outcome() const { return this->outcome; }

  // Whether any attempt has run, as far as is known.
  Ran WhetherRan() const { return this->ran; }

  // Endpoints on which the task ran and failed; the next attempt avoids them.
  const std::vector<EndpointId>& FailedEndpoints() const {
    return this->failed_endpoints;
  }

 private:
  TaskStep Finish(TaskOutcome result);
  TaskOutcome OutcomeWithoutAttempt() const;
  TaskStep AfterFailure(Instant now);
  TaskStep AfterUnknown(Instant now);
  TaskStep AfterNeverStarted(Instant now);

  bool idempotent;
  int max_attempts;
  Instant deadline;
  AttemptId attempt;  // empty: none outstanding
  EndpointId endpoint;
  int runs = 0;  // attempts that ran
  bool cancelled = false;
  Ran ran = Ran::kNo;
  TaskOutcome outcome = TaskOutcome::kNone;
  std::vector<EndpointId> failed_endpoints;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_ATTEMPT_H_
