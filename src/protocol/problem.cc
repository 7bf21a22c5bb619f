#include "src/protocol/problem.h"

#include <algorithm>
#include <array>
#include <utility>

#include "src/protocol/json_internal.h"

namespace peridot {
namespace {

using json_internal::Json;

constexpr char kTypePrefix[] = "urn:peridotworks:problem:";

// The values of `ran` that a code allows.
enum class RanRule { kNo, kYes, kUnknown, kAny };

struct CodeEntry {
  RefusalCode code;
  const char* name;
  int status;
  RanRule ran;
  const char* title;
};

// One row per code, in the order of the enum.
constexpr CodeEntry kCodes[] = {
    {RefusalCode::kUnknownQueue, "unknown_queue", 404, RanRule::kNo,
     "The queue does not exist."},
    {RefusalCode::kKeyMissing, "key_missing", 401, RanRule::kNo,
     "The queue requires a key and none came with the request."},
    {RefusalCode::kKeyUnknown, "key_unknown", 401, RanRule::kNo,
     "The key is not known or was withdrawn."},
    {RefusalCode::kKeyWrongTeam, "key_wrong_team", 403, RanRule::kNo,
     "The key belongs to a team that may not use the queue."},
    {RefusalCode::kTeamLimit, "team_limit", 429, RanRule::kNo,
     "The team has reached its upper limit."},
    {RefusalCode::kZoneOut, "zone_out", 503, RanRule::kNo,
     "The availability zone is out of service."},
    {RefusalCode::kSettingsStale, "settings_stale", 503, RanRule::kNo,
     "The daemon cannot prove that its settings are in force."},
    {RefusalCode::kNoEndpoint, "no_endpoint", 503, RanRule::kNo,
     "No endpoint can take the task."},
    {RefusalCode::kDeadline, "deadline", 504, RanRule::kAny,
     "The deadline has passed."},
    {RefusalCode::kQueueFull, "queue_full", 503, RanRule::kNo,
     "The queue holds as many tasks as it may."},
    {RefusalCode::kStoreUnavailable, "store_unavailable", 503, RanRule::kNo,
     "The store does not answer."},
    {RefusalCode::kShuttingDown, "shutting_down", 503, RanRule::kNo,
     "The daemon is shutting down."},
    {RefusalCode::kBadRequest, "bad_request", 400, RanRule::kNo,
     "The request is not valid."},
    {RefusalCode::kTooLarge, "too_large", 413, RanRule::kNo,
     "The request is too large."},
    // RanRule::kUnknown because the record may have been removed after the task
    // ran.
    {RefusalCode::kUnknownTask, "unknown_task", 404, RanRule::kUnknown,
     "The task is not known."},
    {RefusalCode::kOutcomeUnknown, "outcome_unknown", 504, RanRule::kUnknown,
     "It cannot be known whether the task ran."},
    {RefusalCode::kTaskFailed, "task_failed", 502, RanRule::kYes,
     "The task ran and failed."},
    {RefusalCode::kCancelled, "cancelled", 409, RanRule::kAny,
     "The task was cancelled."},
    {RefusalCode::kRevisionConflict, "revision_conflict", 409, RanRule::kNo,
     "The settings have changed since the given revision."},
};

constexpr std::size_t kCodeCount = std::size(kCodes);

const CodeEntry& Entry(RefusalCode code) {
  return kCodes[static_cast<std::size_t>(code)];
}

}  // namespace

std::span<const RefusalCode> AllRefusalCodes() {
  static const std::array<RefusalCode, kCodeCount> codes = [] {
    std::array<RefusalCode, kCodeCount> all{};
    std::transform(std::begin(kCodes), std::end(kCodes), all.begin(),
                   [](const CodeEntry& entry) { return entry.code; });
    return all;
  }();
  return codes;
}

const char* RefusalCodeName(RefusalCode code) {
  return Entry(code).name;
}

std::optional<RefusalCode> RefusalCodeFromName(std::string_view name) {
  const auto* found = std::find_if(
      std::begin(kCodes), std::end(kCodes),
      [name](const CodeEntry& entry) { return entry.name == name; });
  if (found == std::end(kCodes)) {
    return std::nullopt;
  }
  return found->code;
}

int RefusalStatus(RefusalCode code) {
  return Entry(code).status;
}

const char* RefusalTitle(RefusalCode code) {
  return Entry(code).title;
}

const char* RanName(Ran ran) {
  switch (ran) {
    case Ran::kNo:
      return "no";
    case Ran::kYes:
      return "yes";
    case Ran::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::optional<Ran> RanFromName(std::string_view name) {
  for (const Ran ran : {Ran::kNo, Ran::kYes, Ran::kUnknown}) {
    if (RanName(ran) == name) {
      return ran;
    }
  }
  return std::nullopt;
}

bool IsRanAllowed(RefusalCode code, Ran ran) {
  switch (Entry(code).ran) {
    case RanRule::kNo:
      return ran == Ran::kNo;
    case RanRule::kYes:
      return ran == Ran::kYes;
    case RanRule::kUnknown:
      return ran == Ran::kUnknown;
    case RanRule::kAny:
      return true;
  }
  return false;
}

Problem MakeProblem(RefusalCode code, std::string detail) {
  Problem problem{.code = code, .detail = std::move(detail)};
  if (Entry(code).ran == RanRule::kNo) {
    problem.ran = Ran::kNo;
  } else if (Entry(code).ran == RanRule::kYes) {
    problem.ran = Ran::kYes;
  }
  return problem;
}

HttpResponse FormatProblem(const Problem& problem) {
  const CodeEntry& entry = Entry(problem.code);
  const Ran ran =
      IsRanAllowed(problem.code, problem.ran) ? problem.ran : Ran::kUnknown;
  Json body = {{"type", std::string(kTypePrefix) + entry.name},
               {"title", entry.title},
               {"status", entry.status},
               {"code", entry.name},
               {"ran", RanName(ran)}};
  if (!problem.detail.empty()) {
    body["detail"] = problem.detail;
  }
  HttpResponse answer{.status = entry.status};
  answer.headers.push_back({"Content-Type", "application/problem+json"});
  if (problem.retry_after) {
    using std::chrono::ceil;
    const Duration wait = std::max(*problem.retry_after, Duration::zero());
    body["retry_after_ms"] = ceil<std::chrono::milliseconds>(wait).count();
    answer.headers.push_back(
        {"Retry-After",
         std::to_string(ceil<std::chrono::seconds>(wait).count())});
  }
  // Details may quote input, so bytes that are not UTF-8 are replaced.
  answer.body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
  return answer;
}

Result<Problem> ParseProblem(std::string_view body) {
  const Json object = json_internal::Parse(body);
  json_internal::Reader reader(object, "parse_problem");
  const auto code = RefusalCodeFromName(reader.String("code"));
  const auto ran = RanFromName(reader.String("ran"));
  if (!code || !ran) {
    reader.Fail(code ? "ran" : "code", "a known value");
    return reader.MakeFault();
  }
  Problem problem{.code = *code, .ran = *ran};
  if (reader.Has("detail")) {
    problem.detail = reader.String("detail");
  }
  if (reader.Has("retry_after_ms")) {
    const std::uint64_t ms = reader.Number("retry_after_ms");
    constexpr std::uint64_t kMaxMs = 24ULL * 3600 * 1000;
    problem.retry_after = std::chrono::milliseconds(std::min(ms, kMaxMs));
  }
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return problem;
}

}  // namespace peridot
