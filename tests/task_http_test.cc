// Tests error responses, task submissions and task ids.

#include <catch2/catch.hpp>
#include <set>
#include <string>

#include "src/protocol/problem.h"
#include "src/protocol/task_http.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

const char kPath[] = "/v1/queues/web.hourly/tasks";

// Returns the refusal's code, or "accepted".
std::string Outcome(const std::string& path,
                    const HttpHeaders& headers,
                    const std::string& body = "") {
  const auto result = ParseTaskSubmission(path, headers, body);
  if (result) {
    return "accepted";
  }
  REQUIRE(result.error().ran == Ran::kNo);
  return RefusalCodeName(result.error().code);
}

//-----------------------------------------------------------------------------
// [SECTION] Problems
//-----------------------------------------------------------------------------

TEST_CASE("every refusal code is unchanged by a JSON round trip", "[problem]") {
  std::set<std::string> names;
  for (const RefusalCode code : AllRefusalCodes()) {
    names.insert(RefusalCodeName(code));
    const HttpResponse answer = FormatProblem(MakeProblem(code, "why"));
    REQUIRE(answer.status == RefusalStatus(code));
    REQUIRE(answer.status >= 400);
    const Problem parsed = ParseProblem(answer.body).value();
    REQUIRE(parsed.code == code);
    REQUIRE(parsed.detail == "why");
    REQUIRE(IsRanAllowed(code, parsed.ran));
  }
  REQUIRE(names.size() == 19);
}

TEST_CASE("a refusal cannot report an outcome that its code excludes",
          "[problem]") {
  // Guards against reporting a failed task as "not run", after which it would
  // be run again.
  const HttpResponse failed =
      FormatProblem({.code = RefusalCode::kTaskFailed, .ran = Ran::kNo});
  REQUIRE(ParseProblem(failed.body).value().ran == Ran::kUnknown);
  REQUIRE(IsRanAllowed(RefusalCode::kDeadline, Ran::kYes));
  REQUIRE_FALSE(IsRanAllowed(RefusalCode::kOutcomeUnknown, Ran::kNo));
}

TEST_CASE("the retry time is sent in seconds and milliseconds", "[problem]") {
  Problem problem = MakeProblem(RefusalCode::kTeamLimit, "");
  problem.retry_after = milliseconds(1200);
  const HttpResponse answer = FormatProblem(problem);
  REQUIRE(FindHeader(answer.headers, "Retry-After") == "2");
  REQUIRE(ParseProblem(answer.body).value().retry_after == milliseconds(1200));
}

TEST_CASE("a detail that is not UTF-8 still gives a valid response",
          "[problem]") {
  const HttpResponse answer =
      FormatProblem(MakeProblem(RefusalCode::kBadRequest, "\xff\xfe"));
  REQUIRE(ParseProblem(answer.body).has_value());
}

TEST_CASE("bodies that are not problem objects are refused", "[problem]") {
  for (const char* body :
       {"", "null", "[]", "{", "{}", R"({"code":"team_limit"})",
        R"({"code":"team_limit","ran":"maybe"})", R"({"code":1,"ran":"no"})",
        R"({"code":"new_code","ran":"no"})",
        R"({"code":"deadline","ran":"no","retry_after_ms":-1})"}) {
    CAPTURE(body);
    REQUIRE(ParseProblem(body).has_error());
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Submissions
//-----------------------------------------------------------------------------

TEST_CASE("a submission is read from path, headers and body", "[task_http]") {
  const auto parsed =
      ParseTaskSubmission(kPath,
                          {{"authorization", "Bearer k-1"},
                           {"Idempotency-Key", "a/b"},
                           {"Peridot-Deadline-Ms", "1500"},
                           {"Peridot-Idempotent", "true"},
                           {"Prefer", "wait=3, Respond-Async; x=1"}},
                          "payload");
  const TaskSubmission& submission = parsed.value();
  REQUIRE(submission.queue == QueueId("web.hourly"));
  REQUIRE(submission.pool == PoolId("web"));
  REQUIRE(submission.key == "k-1");
  REQUIRE(submission.idempotency_key == "a/b");
  REQUIRE(submission.time_to_deadline == milliseconds(1500));
  REQUIRE(submission.idempotent);
  REQUIRE(submission.respond_async);
  REQUIRE(submission.body == "payload");
}

TEST_CASE("a submission without headers has the safe defaults", "[task_http]") {
  const auto parsed = ParseTaskSubmission(kPath, {{"Prefer", "wait=3"}}, "");
  REQUIRE_FALSE(parsed.value().idempotent);
  REQUIRE_FALSE(parsed.value().respond_async);
  REQUIRE_FALSE(parsed.value().key);
  REQUIRE_FALSE(parsed.value().time_to_deadline);
}

TEST_CASE("paths without a valid queue name are refused", "[task_http]") {
  for (const char* path :
       {"/v1/queues/web/tasks", "/v1/queues/web.a.b/tasks",
        "/v1/queues/.a/tasks", "/v1/queues/web./tasks",
        "/v1/queues/w%20b.a/tasks", "/v1/queues/../a.b/tasks"}) {
    CAPTURE(path);
    REQUIRE(Outcome(path, {}) == "unknown_queue");
  }
  for (const char* path : {"", "/", "/v1/queues/tasks", "/v1/queues//tasks",
                           "/v1/queues/web.a", "/v2/queues/web.a/tasks"}) {
    CAPTURE(path);
    REQUIRE(Outcome(path, {}) == "bad_request");
  }
  const std::string longest(kMaxNameLength, 'a');
  REQUIRE(Outcome("/v1/queues/" + longest + "." + longest + "/tasks", {}) ==
          "accepted");
  REQUIRE(Outcome("/v1/queues/" + longest + "a.b/tasks", {}) ==
          "unknown_queue");
}

TEST_CASE("headers with values out of range are refused", "[task_http]") {
  // Guards against replacing an invalid value with a default.
  const HttpHeaders bad = {
      {"Authorization", "Basic abc"},
      {"Authorization", "Bearer "},
      {"Authorization", "Bearer a b"},
      {"Authorization", "Bearer " + std::string(kMaxBearerKeyLength + 1, 'k')},
      {"Idempotency-Key", ""},
      {"Idempotency-Key", std::string(kMaxTaskIdempotencyKeyLength + 1, 'k')},
      {"Idempotency-Key", "caf\xc3\xa9"},
      {"Peridot-Deadline-Ms", ""},
      {"Peridot-Deadline-Ms", "0"},
      {"Peridot-Deadline-Ms", "-5"},
      {"Peridot-Deadline-Ms", "1.5"},
      {"Peridot-Deadline-Ms", "10 "},
      {"Peridot-Deadline-Ms", "86400001"},
      {"Peridot-Deadline-Ms", "99999999999999999999"},
      {"Peridot-Idempotent", "True"},
      {"Peridot-Idempotent", "1"},
      {"Peridot-Idempotent", ""}};
  for (const HttpHeader& header : bad) {
    CAPTURE(header.name, header.value);
    REQUIRE(Outcome(kPath, {header}) == "bad_request");
  }
  for (const char* name : {"Authorization", "Idempotency-Key",
                           "Peridot-Deadline-Ms", "Peridot-Idempotent"}) {
    CAPTURE(name);
    REQUIRE(Outcome(kPath, {{name, "x"}, {name, "x"}}) == "bad_request");
  }
}

TEST_CASE("the size limit of the body is exact", "[task_http]") {
  REQUIRE(Outcome(kPath, {}, std::string(kMaxTaskBodyBytes, 'x')) ==
          "accepted");
  REQUIRE(Outcome(kPath, {}, std::string(kMaxTaskBodyBytes + 1, 'x')) ==
          "too_large");
}

//-----------------------------------------------------------------------------
// [SECTION] Task ids and responses
//-----------------------------------------------------------------------------

TEST_CASE("a task id contains its session and number", "[task_http]") {
  const TaskIdParts parts{{DaemonId("entry-3"), Incarnation(12)}, 45};
  const TaskId id = FormatTaskId(parts);
  REQUIRE(id == TaskId("entry-3.12.45"));
  REQUIRE(ParseTaskId(id.value).value() == parts);
  REQUIRE(ParseTaskPath("/v1/tasks/entry-3.12.45").value() == id);
}

TEST_CASE("malformed task ids are unknown tasks", "[task_http]") {
  // Guards against accepting two spellings of the same id.
  for (const char* text :
       {"", "x", "d.1", "d.0.1", "d.1.", ".1.1", "d.01.1", "d.1.01", "d.1.-1",
        "d.1.1.1", "d.1.99999999999999999999", "d e.1.1"}) {
    CAPTURE(text);
    REQUIRE(ParseTaskId(text).has_error());
    const auto path = ParseTaskPath(std::string("/v1/tasks/") + text);
    REQUIRE(path.error().code == RefusalCode::kUnknownTask);
    REQUIRE(path.error().ran == Ran::kUnknown);
  }
}

TEST_CASE("responses contain the task id and whether the task ran",
          "[task_http]") {
  const TaskId id("d.1.2");
  const HttpResponse answer = FormatTaskResponse(id, "result");
  REQUIRE(answer.status == 200);
  REQUIRE(answer.body == "result");
  REQUIRE(FindHeader(answer.headers, "Peridot-Task") == "d.1.2");
  REQUIRE(FindHeader(answer.headers, "Peridot-Ran") == "yes");
  REQUIRE(FormatTaskAccepted(id).status == 202);
  REQUIRE(FormatTaskAccepted(id).body == R"({"id":"d.1.2"})");
  REQUIRE(FormatTaskStatus(id, TaskState::kQueued, Ran::kNo).body ==
          R"({"id":"d.1.2","ran":"no","state":"queued"})");
}

}  // namespace
}  // namespace peridot
