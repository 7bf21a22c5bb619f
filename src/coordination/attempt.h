// The outcome of one task: attempts, fences and retries.
//
// Index:
//   [SECTION] Inputs
//   [SECTION] Steps
//   [SECTION] TaskExecution
//
// An attempt whose answer did not arrive is fenced at its endpoint. Only the
// endpoint's word that it never started the attempt, and never will, permits
// another attempt of a non-idempotent task or a refusal that says "not run".
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
  kDone,          // whole answer of this attempt
  kFailed,        // the task ran and failed
  kStopped,       // the task ran and was stopped
  kNeverStarted,  // the endpoint refused it and will never start it
  kNotSent,       // no byte reached the endpoint
  kNoAnswer,      // connection lost, silent, or an answer that does not match
};

// What the endpoint says of an attempt that was fenced.
enum class FenceReply {
  kNeverStarted,
  kRunning,
  kDone,  // the result came with the reply
  kFailed,
  kStopped,
  kUnknown,   // the endpoint has started again since the attempt was sent
  kNoAnswer,  // the fence itself got no answer
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
  kDone,       // whole answer delivered
  kFailed,     // ran and failed, final
  kNotRun,     // no attempt ran
  kUnknown,    // an attempt may have run
  kCancelled,  // stopped on request; WhetherRan() says if it had started
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

  // The fence of an attempt was answered. kNoAnswer asks for another fence
  // until the deadline; the caller waits between fences.
  TaskStep OnFence(const AttemptId& attempt, FenceReply reply, Instant now);

  // The deadline has passed. The outcome is not run only if nothing of the
  // task can be running.
  TaskStep OnDeadline();

  // The caller cancelled. Stop the current attempt if HasAttempt().
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
  const std::vector<EndpointId>& FailedOn() const { return this->failed_on; }

 private:
  TaskStep Finish(TaskOutcome result);
  TaskOutcome OutcomeWithoutAttempt() const;
  TaskStep AfterFailure(Instant now);
  TaskStep AfterUnknown(Instant now);
  TaskStep AfterNeverStarted(Instant now);

  bool idempotent;
  int max_attempts;
  Instant deadline;
  AttemptId attempt;                         // default: empty, none outstanding
  EndpointId endpoint;                       // default: empty
  int runs = 0;                              // default: 0; attempts that ran
  bool cancelled = false;                    // default: false
  Ran ran = Ran::kNo;                        // default: kNo
  TaskOutcome outcome = TaskOutcome::kNone;  // default: kNone
  std::vector<EndpointId> failed_on;         // default: none
};

}  // namespace peridot

#endif  // SRC_COORDINATION_ATTEMPT_H_
