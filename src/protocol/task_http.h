// Tasks of callers: submission, answers and task ids. Section 14.1 of
// docs/design.md.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Submissions
//   [SECTION] Task ids
//   [SECTION] Answers

#ifndef SRC_PROTOCOL_TASK_HTTP_H_
#define SRC_PROTOCOL_TASK_HTTP_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/protocol/http_headers.h"
#include "src/protocol/problem.h"
#include "src/state/clock.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

inline constexpr std::size_t kMaxTaskBody = 1 << 20;    // 1 MiB
inline constexpr std::size_t kMaxIdempotencyKey = 128;  // characters
inline constexpr std::size_t kMaxBearerKey = 256;       // characters
inline constexpr std::size_t kMaxNameLength = 64;       // pool, queue, daemon
inline constexpr std::int64_t kMaxDeadlineMs = 86'400'000;  // one day

//-----------------------------------------------------------------------------
// [SECTION] Submissions
//-----------------------------------------------------------------------------

// A value or the refusal to answer with. A refusal of this layer never ran.
template <typename T>
using HttpParseResult = boost::outcome_v2::
    basic_result<T, Problem, boost::outcome_v2::policy::terminate>;

struct TaskSubmission {
  QueueId queue;                   // default: empty; "pool.queue"
  PoolId pool;                     // default: empty; the part before the dot
  std::optional<std::string> key;  // default: none; secret, never logged
  std::optional<std::string> idempotency_key;  // default: none
  std::optional<Duration> time_to_deadline;    // default: none; from arrival
  bool idempotent = false;                     // default: false
  bool respond_async = false;                  // default: false
  std::string body;                            // default: empty
};

// Reads `POST /v1/queues/{pool}.{queue}/tasks`. Whether the queue exists, is
// open or needs the key is decided later. A header that must occur once and
// occurs twice is a bad request.
HttpParseResult<TaskSubmission> ParseTaskSubmission(std::string_view path,
                                                    const HttpHeaders& headers,
                                                    std::string body);

// Returns whether the text is a name: 1 to 64 characters of a-z, A-Z, 0-9, "_"
// and "-".
bool IsResourceName(std::string_view text);

// Reads the key of `Authorization: Bearer KEY`. None if there is no such
// header; a header of another form is a bad request.
HttpParseResult<std::optional<std::string>> ParseBearerKey(
    const HttpHeaders& headers);

//-----------------------------------------------------------------------------
// [SECTION] Task ids
//-----------------------------------------------------------------------------

// A task id is "DAEMON.INCARNATION.NUMBER", so that every daemon can tell which
// session accepted the task.
struct TaskIdParts {
  SessionId session;         // default: empty
  std::uint64_t number = 0;  // default: 0; counts up from 1 in a session

  friend bool operator==(const TaskIdParts&, const TaskIdParts&) = default;
};

TaskId FormatTaskId(const TaskIdParts& parts);
Result<TaskIdParts> ParseTaskId(std::string_view text);

// Reads the path `/v1/tasks/{id}`. A malformed id is an unknown task.
HttpParseResult<TaskId> ParseTaskPath(std::string_view path);

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

// States as GET /v1/tasks/{id} names them. Section 9 of the design page.
enum class TaskState {
  kReceived,
  kAdmitted,
  kQueued,
  kPermitted,
  kStarting,
  kRunning,
  kAnswered,
  kRefused,
  kFailed,
  kCancelled,
  kUnknown,
};

const char* TaskStateName(TaskState state);

// 200 with the endpoint's answer. Only for a task that ran to its end.
HttpAnswer FormatTaskAnswer(const TaskId& task, std::string body);

// 202 with {"id": ...}. Only after the record has been committed.
HttpAnswer FormatTaskAccepted(const TaskId& task);

// 200 with {"id", "state", "ran"}, for a task without a result to give.
HttpAnswer FormatTaskStatus(const TaskId& task, TaskState state, Ran ran);

// As FormatProblem(), with the task's id in `Peridot-Task`.
HttpAnswer FormatTaskProblem(const TaskId& task, const Problem& problem);

}  // namespace peridot

#endif  // SRC_PROTOCOL_TASK_HTTP_H_
