#include "src/protocol/task_http.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/protocol/json_internal.h"

namespace peridot {
namespace {

using json_internal::Json;

constexpr std::string_view kQueuesPrefix = "/v1/queues/";
constexpr std::string_view kTasksSuffix = "/tasks";
constexpr std::string_view kTasksPrefix = "/v1/tasks/";

Problem BadRequest(const char* detail) {
  return MakeProblem(RefusalCode::kBadRequest, detail);
}

bool IsNameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '_' || c == '-';
}

bool IsVisible(char c) {
  return c > 0x20 && c < 0x7f;
}

bool IsVisibleText(std::string_view text, std::size_t max_size) {
  return !text.empty() && text.size() <= max_size &&
         std::all_of(text.begin(), text.end(), IsVisible);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, fault] = std::from_chars(text.data(), end, value);
  const bool canonical = text.size() == 1 || !text.starts_with('0');
  if (text.empty() || fault != std::errc() || rest != end || !canonical) {
    return std::nullopt;
  }
  return value;
}

std::string_view Trim(std::string_view text) {
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return "";
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

// Reads a header that may occur at most once. The outer optional is empty if
// the header is repeated, the inner one if it is absent.
std::optional<std::optional<std::string_view>> SingleHeader(
    const HttpHeaders& headers,
    std::string_view name) {
  if (CountHeaders(headers, name) > 1) {
    return std::nullopt;
  }
  return FindHeader(headers, name);
}

// Returns whether a `Prefer` header lists the preference. RFC 7240 allows
// several headers, several preferences in each and parameters after each
// preference.
bool Prefers(const HttpHeaders& headers, std::string_view preference) {
  for (const HttpHeader& header : headers) {
    if (!EqualHeaderNames(header.name, "Prefer")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::string_view item = rest.substr(0, rest.find(','));
      if (EqualHeaderNames(Trim(item.substr(0, item.find(';'))), preference)) {
        return true;
      }
      rest.remove_prefix(std::min(rest.size(), item.size() + 1));
    }
  }
  return false;
}

std::optional<Problem> ReadQueue(std::string_view path,
                                 TaskSubmission* submission) {
  const bool framed = path.starts_with(kQueuesPrefix) &&
                      path.ends_with(kTasksSuffix) &&
                      path.size() > kQueuesPrefix.size() + kTasksSuffix.size();
  if (!framed) {
    return BadRequest("the path is not /v1/queues/{pool}.{queue}/tasks");
  }
  path.remove_prefix(kQueuesPrefix.size());
  path.remove_suffix(kTasksSuffix.size());
  const auto dot = path.find('.');
  if (dot == std::string_view::npos || !IsResourceName(path.substr(0, dot)) ||
      !IsResourceName(path.substr(dot + 1))) {
    return MakeProblem(RefusalCode::kUnknownQueue,
                       "the queue is not of the form POOL.QUEUE");
  }
  submission->queue = QueueId(std::string(path));
  submission->pool = PoolId(std::string(path.substr(0, dot)));
  return std::nullopt;
}

std::optional<Problem> ReadIdempotencyKey(const HttpHeaders& headers,
                                          TaskSubmission* submission) {
  const auto header = SingleHeader(headers, "Idempotency-Key");
  if (!header) {
    return BadRequest("Idempotency-Key occurs more than once");
  }
  if (!*header) {
    return std::nullopt;
  }
  if (!IsVisibleText(**header, kMaxTaskIdempotencyKeyLength)) {
    return BadRequest("Idempotency-Key is not 1 to 128 printable characters");
  }
  submission->idempotency_key = std::string(**header);
  return std::nullopt;
}

std::optional<Problem> ReadDeadline(const HttpHeaders& headers,
                                    TaskSubmission* submission) {
  const auto header = SingleHeader(headers, "Peridot-Deadline-Ms");
  if (!header) {
    return BadRequest("Peridot-Deadline-Ms occurs more than once");
  }
  if (!*header) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> ms = ParseNumber(**header);
  if (!ms || *ms < 1 || *ms > kMaxDeadlineMs) {
    return BadRequest("Peridot-Deadline-Ms is not a number of 1 to 86400000");
  }
  submission->time_to_deadline = std::chrono::milliseconds(*ms);
  return std::nullopt;
}

std::optional<Problem> ReadIdempotent(const HttpHeaders& headers,
                                      TaskSubmission* submission) {
  const auto header = SingleHeader(headers, "Peridot-Idempotent");
  if (!header) {
    return BadRequest("Peridot-Idempotent occurs more than once");
  }
  // An invalid value is rejected, so that it cannot mark a task as repeatable.
  if (*header && **header != "true" && **header != "false") {
    return BadRequest("Peridot-Idempotent is neither true nor false");
  }
  submission->idempotent = *header && **header == "true";
  return std::nullopt;
}

}  // namespace

bool IsResourceName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxNameLength &&
         std::all_of(text.begin(), text.end(), IsNameChar);
}

HttpParseResult<std::optional<std::string>> ParseBearerKey(
    const HttpHeaders& headers) {
  static constexpr std::string_view kScheme = "Bearer ";
  const auto header = SingleHeader(headers, "Authorization");
  if (!header) {
    return BadRequest("Authorization occurs more than once");
  }
  if (!*header) {
    return std::optional<std::string>();
  }
  std::string_view value = **header;
  if (value.size() <= kScheme.size() ||
      !EqualHeaderNames(value.substr(0, kScheme.size()), kScheme)) {
    return BadRequest("Authorization is not of the form Bearer KEY");
  }
  value = Trim(value.substr(kScheme.size()));
  if (!IsVisibleText(value, kMaxBearerKeyLength)) {
    return BadRequest("the bearer key is not 1 to 256 printable characters");
  }
  return std::optional<std::string>(std::string(value));
}

HttpParseResult<TaskSubmission> ParseTaskSubmission(std::string_view path,
                                                    const HttpHeaders& headers,
                                                    std::string body) {
  TaskSubmission submission;
  if (auto problem = ReadQueue(path, &submission)) {
    return *std::move(problem);
  }
  if (body.size() > kMaxTaskBodyBytes) {
    return MakeProblem(RefusalCode::kTooLarge, "the body exceeds 1 MiB");
  }
  auto key = ParseBearerKey(headers);
  if (!key) {
    return key.error();
  }
  submission.key = std::move(key).value();
  if (auto problem = ReadIdempotencyKey(headers, &submission)) {
    return *std::move(problem);
  }
  if (auto problem = ReadDeadline(headers, &submission)) {
    return *std::move(problem);
  }
  if (auto problem = ReadIdempotent(headers, &submission)) {
    return *std::move(problem);
  }
  submission.respond_async = Prefers(headers, "respond-async");
  submission.body = std::move(body);
  return submission;
}

TaskId FormatTaskId(const TaskIdParts& parts) {
  return TaskId(parts.session.daemon.value + "." +
                std::to_string(parts.session.incarnation.value) + "." +
                std::to_string(parts.number));
}

Result<TaskIdParts> ParseTaskId(std::string_view text) {
  const auto first = text.find('.');
  const auto last = text.rfind('.');
  if (first != std::string_view::npos && first != last) {
    const std::string_view daemon = text.substr(0, first);
    const auto incarnation =
        ParseNumber(text.substr(first + 1, last - first - 1));
    const auto number = ParseNumber(text.substr(last + 1));
    if (IsResourceName(daemon) && incarnation && *incarnation > 0 && number) {
      return TaskIdParts{
          {DaemonId(std::string(daemon)), Incarnation(*incarnation)}, *number};
    }
  }
  return MakeError(ErrorCode::kMalformed, "parse_task_id", "",
                   "expected DAEMON.INCARNATION.NUMBER");
}

HttpParseResult<TaskId> ParseTaskPath(std::string_view path) {
  if (!path.starts_with(kTasksPrefix)) {
    return BadRequest("the path is not /v1/tasks/{id}");
  }
  path.remove_prefix(kTasksPrefix.size());
  if (!ParseTaskId(path)) {
    return MakeProblem(RefusalCode::kUnknownTask, "the id is not a task id");
  }
  return TaskId(std::string(path));
}

const char* TaskStateName(TaskState state) {
  switch (state) {
    case TaskState::kReceived:
      return "received";
    case TaskState::kAdmitted:
      return "admitted";
    case TaskState::kQueued:
      return "queued";
    case TaskState::kPermitted:
      return "permitted";
    case TaskState::kStarting:
      return "starting";
    case TaskState::kRunning:
      return "running";
    case TaskState::kAnswered:
      return "answered";
    case TaskState::kRefused:
      return "refused";
    case TaskState::kFailed:
      return "failed";
    case TaskState::kCancelled:
      return "cancelled";
    case TaskState::kUnknown:
      return "unknown";
  }
  return "unknown";
}

HttpResponse FormatTaskResponse(const TaskId& task, std::string body) {
  return {.status = 200,
          .headers = {{"Content-Type", "application/octet-stream"},
                      {"Peridot-Task", task.value},
                      {"Peridot-Ran", RanName(Ran::kYes)}},
          .body = std::move(body)};
}

HttpResponse FormatTaskAccepted(const TaskId& task) {
  return {.status = 202,
          .headers = {{"Content-Type", "application/json"},
                      {"Location", std::string(kTasksPrefix) + task.value},
                      {"Peridot-Task", task.value}},
          .body = Json({{"id", task.value}}).dump()};
}

HttpResponse FormatTaskStatus(const TaskId& task, TaskState state, Ran ran) {
  const Json body = {{"id", task.value},
                     {"state", TaskStateName(state)},
                     {"ran", RanName(ran)}};
  return {.status = 200,
          .headers = {{"Content-Type", "application/json"},
                      {"Peridot-Task", task.value}},
          .body = body.dump()};
}

HttpResponse FormatTaskProblem(const TaskId& task, const Problem& problem) {
  HttpResponse answer = FormatProblem(problem);
  answer.headers.push_back({"Peridot-Task", task.value});
  return answer;
}

}  // namespace peridot
