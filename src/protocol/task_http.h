// HTTP messages between callers and daemons: submission of tasks, responses and
// task ids.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Submissions
//   [SECTION] Task ids
//   [SECTION] Responses

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

inline constexpr std::size_t kMaxTaskBodyBytes = 1 << 20;         // 1 MiB
inline constexpr std::size_t kMaxTaskIdempotencyKeyLength = 128;  // characters
inline constexpr std::size_t kMaxBearerKeyLength = 256;           // characters
inline constexpr std::size_t kMaxNameLength = 64;  // of a pool, queue or daemon
inline constexpr std::int64_t kMaxDeadlineMs = 86'400'000;  // one day

//-----------------------------------------------------------------------------
// [SECTION] Submissions
//-----------------------------------------------------------------------------

// A value, or the refusal to send to the caller. A task refused in this layer
// has not run.
template <typename T>
using HttpParseResult = boost::outcome_v2::
    basic_result<T, Problem, boost::outcome_v2::policy::terminate>;

struct TaskSubmission {
  QueueId queue;                   // "pool.queue"
  PoolId pool;                     // the part before the dot
  std::optional<std::string> key;  // secret, must not be logged
  std::optional<std::string> idempotency_key;
  std::optional<Duration> time_to_deadline;  // since arrival
  bool idempotent = false;
  bool respond_async = false;
  std::string body;
};

// Parses `POST /v1/queues/{pool}.{queue}/tasks`. Does not check whether the
// queue exists, is open or requires the key. Repeating a header that may occur
// only once is a bad request.
HttpParseResult<TaskSubmission> ParseTaskSubmission(std::string_view path,
                                                    const HttpHeaders& headers,
                                                    std::string body);

// Returns whether the text is a name: 1 to 64 characters of a-z, A-Z, 0-9, "_"
// and "-".
bool IsResourceName(std::string_view text);

// Parses the key of `Authorization: Bearer KEY`. Returns none if there is no
// such header; a header of another form is a bad request.
HttpParseResult<std::optional<std::string>> ParseBearerKey(
    const HttpHeaders& headers);

//-----------------------------------------------------------------------------
// [SECTION] Task ids
//-----------------------------------------------------------------------------

// A task id is "DAEMON.INCARNATION.NUMBER", so that every daemon can derive the
// session that accepted the task.
struct TaskIdParts {
  SessionId session;
  std::uint64_t number = 0;  // counts up from 1 in a session

  friend bool operator==(const TaskIdParts&, const TaskIdParts&) = default;
};

TaskId FormatTaskId(const TaskIdParts& parts);
Result<TaskIdParts> ParseTaskId(std::string_view text);

// Parses the path `/v1/tasks/{id}`. A malformed id is an unknown task.
HttpParseResult<TaskId> ParseTaskPath(std::string_view path);

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

// Task states as reported by GET /v1/tasks/{id}.
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

// 200 with the endpoint's response. Only for a task that has completed.
HttpResponse FormatTaskResponse(const TaskId& task, std::string body);

// 202 with {"id": ...}. Only after the record of the task has been committed.
HttpResponse FormatTaskAccepted(const TaskId& task);

// 200 with {"id", "state", "ran"}, for a task without an available result.
HttpResponse FormatTaskStatus(const TaskId& task, TaskState state, Ran ran);

// Like FormatProblem(), with the task's id in the header `Peridot-Task`.
HttpResponse FormatTaskProblem(const TaskId& task, const Problem& problem);

}  // namespace peridot

#endif  // SRC_PROTOCOL_TASK_HTTP_H_
