// Tests of peridotctl's commands against a fake server.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "src/ctl/commands.h"

namespace peridot::ctl {
namespace {

const std::string kKey = "pk_" + std::string(64, '1');
const std::string kSettings =
    "deadline_ms: 5000\n"
    "zones: {z1: in}\n"
    "keys: [{id: k1, team: counts, digest: " +
    std::string(64, 'a') +
    "}]\n"
    "teams: {counts: {limit: 5}}\n"
    "pools: {web: {teams: {counts: {queues: {hourly: {}}}}}}\n";

// Records each request and returns the result of a function as its response.
struct FakeServer {
  std::function<Result<HttpReply>(const HttpRequest&)> answer;
  mutable std::mutex mutex;  // guards `requests`
  mutable std::vector<HttpRequest> requests;

  Result<HttpReply> Send(const SocketAddress& /*address*/,
                         const HttpRequest& request) const {
    const std::scoped_lock lock(this->mutex);
    this->requests.push_back(request);
    return this->answer(request);
  }
};

HttpReply SettingsReply(std::uint64_t revision) {
  return {200, {{"peridot-revision", std::to_string(revision)}}, kSettings};
}

// The exit code, output and requests of one run.
struct Outcome {
  ExitCode exit;
  std::string out;
  std::string err;
  std::vector<HttpRequest> requests;
};

// Runs a command. Reads of the settings return kSettings at revision 6, unless
// `answer` is an error; every other request returns `answer`.
Outcome Run(std::vector<std::string> arguments,
            const Result<HttpReply>& answer = HttpReply{200, {}, "{}"},
            const char* variable = kKey.c_str()) {
  if (arguments.empty() || arguments[0] != "settings") {
    arguments.insert(arguments.begin(), {"--server", "127.0.0.1:7000"});
  }
  const Result<CommandLine> line = ParseCommandLine(arguments);
  if (line.has_error()) {
    return {ExitCodeOfUsage(arguments), "", line.error().message, {}};
  }
  FakeServer server;
  server.answer = [&](const HttpRequest& request) -> Result<HttpReply> {
    const bool reads_settings =
        request.IsRead() && request.path == "/v1/admin/settings";
    if (reads_settings && answer.has_value()) {
      return SettingsReply(6);
    }
    return answer;
  };
  std::ostringstream out;
  std::ostringstream err;
  const ExitCode exit = RunCommand(line.value(), variable, server, out, err);
  return {exit, out.str(), err.str(), server.requests};
}

HttpReply Refusal(int status, const std::string& members) {
  return {status, {}, "{" + members + "}"};
}

Error LostResponseError() {
  return MakeError(ErrorCode::kUnknownOutcome, "read", "s", "no answer");
}

// A file in the working directory that is removed at the end of the test.
class TemporaryFile {
 public:
  TemporaryFile(std::string name, const std::string& text)
      : path(std::move(name)) {
    std::ofstream(this->path) << text;
  }
  ~TemporaryFile() { std::remove(this->path.c_str()); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

 private:
  std::string path;
};

std::string HeaderOf(const HttpRequest& request, const std::string& name) {
  for (const auto& [key, value] : request.headers) {
    if (key == name) {
      return value;
    }
  }
  return "";
}

//-----------------------------------------------------------------------------
// [SECTION] Exit codes
//-----------------------------------------------------------------------------

TEST_CASE("each response to a change has its exit code", "[ctl]") {
  struct Case {
    Result<HttpReply> answer;
    ExitCode exit;
  };
  const auto unavailable =
      MakeError(ErrorCode::kUnavailable, "connect", "s", "cannot connect");
  const std::vector<Case> cases = {
      {HttpReply{200, {}, R"({"revision":7,"in_force":true})"},
       ExitCode::kDone},
      {HttpReply{200, {}, R"({"revision":7,"in_force":false})"},
       ExitCode::kNotInForce},
      {HttpReply{200, {}, "{}"}, ExitCode::kUnknown},
      {HttpReply{200, {}, "no JSON"}, ExitCode::kUnknown},
      {Refusal(409, R"("code":"revision_conflict","expected":4,"actual":6)"),
       ExitCode::kConflict},
      {Refusal(503, R"("code":"store_unavailable","ran":"no")"),
       ExitCode::kRefused},
      {Refusal(503, R"("code":"store_unavailable","ran":"unknown")"),
       ExitCode::kUnknown},
      {Refusal(503, R"("code":"store_unavailable")"), ExitCode::kUnknown},
      {Refusal(403, R"("code":"key_unknown")"), ExitCode::kRefused},
      {Refusal(408, ""), ExitCode::kUnknown},
      {Refusal(500, R"("ran":7)"), ExitCode::kUnknown},
      {unavailable, ExitCode::kUnreachable},
      {LostResponseError(), ExitCode::kUnknown},
  };
  for (const Case& c : cases) {
    CAPTURE(c.answer.has_value() ? c.answer.value().body : "error");
    CHECK(Run({"zone", "out", "z1"}, c.answer).exit == c.exit);
  }
}

TEST_CASE("a lost response to a read is reported as no change", "[ctl]") {
  for (const auto& words : std::vector<std::vector<std::string>>{
           {"status"}, {"get"}, {"key", "list"}, {"task", "get", "t1"}}) {
    const Outcome outcome = Run(words, LostResponseError());
    REQUIRE(outcome.exit == ExitCode::kUnreachable);
    REQUIRE(outcome.err.ends_with("Nothing was changed.\n"));
  }
  REQUIRE(Run({"task", "cancel", "t1"}, LostResponseError()).exit ==
          ExitCode::kUnknown);
}

TEST_CASE("invalid arguments send no request", "[ctl]") {
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"fly"},
      {"zone", "z1"},
      {"zone", "out"},
      {"key", "withdraw", "a/b"},
      {"key", "withdraw", ".."},
      {"apply"},
      {"apply", "-f", "no_such_file"},
      {"status", "--count", "2"},
      {"status", "--output", "xml"},
      {"status", "--server", "localhost:7000"},
      {"status", "--timeout", "5"},
      {"status", "--timeout-ms", "0"},
      {"submit", "web.hourly", "--count", "0"},
      {"submit", "web.hourly", "--deadline-ms", "9"},
      {"submit", "web.hourly", "--data", "a", "-f", "b"},
      {"submit", "web.hourly", "--idempotency-key", "a b"},
      {"status", "--key-file", "no_such_file"}};
  for (const auto& words : cases) {
    const Outcome outcome = Run(words);
    CAPTURE(words, outcome.err);
    CHECK(outcome.exit == ExitCode::kUsage);
    CHECK_FALSE(outcome.err.empty());
    CHECK(outcome.requests.empty());
  }
  REQUIRE(ParseCommandLine({"status"}).has_error());
}

TEST_CASE("a key is read from a file or a variable, not an argument", "[ctl]") {
  REQUIRE(Run({"status", "--key", kKey}).exit == ExitCode::kUsage);
  REQUIRE(Run({"status"}, HttpReply{200, {}, "{}"}, nullptr).exit ==
          ExitCode::kUsage);
  const Outcome wrong = Run({"status"}, HttpReply{200, {}, "{}"}, "pk_secret");
  REQUIRE(wrong.exit == ExitCode::kUsage);
  REQUIRE(wrong.err.find("secret") == std::string::npos);
  const TemporaryFile file("ctl_test_key", kKey + "\n");
  const Outcome outcome = Run({"status", "--key-file", "ctl_test_key"},
                              HttpReply{200, {}, "{}"}, nullptr);
  REQUIRE(outcome.exit == ExitCode::kDone);
  REQUIRE(HeaderOf(outcome.requests[0], "Authorization") == "Bearer " + kKey);
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

const HttpReply kInForce = {200, {}, R"({"revision":7,"in_force":true})"};

TEST_CASE("apply takes its revision from option, file or server", "[ctl]") {
  // Guards against a change that overwrites the change of another operator: the
  // revision must be the one that the file was made against.
  const TemporaryFile plain("ctl_test_plain.yaml", kSettings);
  const TemporaryFile marked("ctl_test_marked.yaml",
                             "# revision: 4\n" + kSettings);
  const Outcome given =
      Run({"apply", "-f", "ctl_test_marked.yaml", "--revision", "3"}, kInForce);
  REQUIRE(given.exit == ExitCode::kDone);
  REQUIRE(given.out == "revision 7 is in force\n");
  REQUIRE(HeaderOf(given.requests[0], "If-Match") == "3");
  const Outcome read = Run({"apply", "-f", "ctl_test_marked.yaml"}, kInForce);
  REQUIRE(HeaderOf(read.requests[0], "If-Match") == "4");
  REQUIRE(read.requests[0].body == "# revision: 4\n" + kSettings);
  const Outcome asked = Run({"apply", "-f", "ctl_test_plain.yaml"}, kInForce);
  REQUIRE(asked.requests.size() == 2);
  REQUIRE(HeaderOf(asked.requests[1], "If-Match") == "6");
}

TEST_CASE("a conflict shows both revisions", "[ctl]") {
  const TemporaryFile file("ctl_test_conflict.yaml",
                           "# revision: 4\n" + kSettings);
  const HttpReply conflict = Refusal(
      409, R"("code":"revision_conflict","ran":"no","expected":4,"actual":6)");
  const Outcome table =
      Run({"apply", "-f", "ctl_test_conflict.yaml"}, conflict);
  REQUIRE(table.exit == ExitCode::kConflict);
  REQUIRE(table.err ==
          "refused: status=409 code=revision_conflict ran=no\n"
          "The change was made against revision 4, but the settings are at "
          "revision 6. Nothing was changed.\n"
          "Compare with the current settings: peridotctl diff -f "
          "ctl_test_conflict.yaml\n");
  const Outcome json = Run(
      {"apply", "-f", "ctl_test_conflict.yaml", "--output", "json"}, conflict);
  REQUIRE(json.out ==
          "{\"status\":409,\"code\":\"revision_conflict\",\"ran\":\"no\","
          "\"expected\":4,\"actual\":6}\n");
}

TEST_CASE("an invalid settings file is not sent", "[ctl]") {
  const TemporaryFile file("ctl_test_wrong.yaml", "run_ms: 0\nzone: {}\n");
  for (const char* command : {"apply", "diff"}) {
    const Outcome outcome = Run({command, "-f", "ctl_test_wrong.yaml"});
    REQUIRE(outcome.exit == ExitCode::kUsage);
    REQUIRE(outcome.err.starts_with(
        "ctl_test_wrong.yaml:1: /: run_ms: expected a number from 1"));
    REQUIRE(outcome.err.find("ctl_test_wrong.yaml:2: /: zone: expected") !=
            std::string::npos);
    REQUIRE(outcome.requests.empty());
  }
}

TEST_CASE("get, diff, explain and key list show the settings", "[ctl]") {
  const Outcome all = Run({"get"});
  REQUIRE(all.out.starts_with("# revision: 6\ndeadline_ms: 5000\n"));
  REQUIRE(RevisionComment(all.out) == 6);
  REQUIRE(ParseSettings(all.out, "get", Revision(6)).has_value());
  REQUIRE(Run({"get", "/teams/counts"}).out ==
          "path           setting  value\n"
          "/teams/counts  limit    5\n"
          "/teams/counts  node     present\n");
  REQUIRE(Run({"get", "/teams/count"}).exit == ExitCode::kUsage);
  const TemporaryFile file("ctl_test_diff.yaml", "run_ms: 5\n" + kSettings);
  REQUIRE(Run({"diff", "-f", "ctl_test_diff.yaml"}).out ==
          "path  setting  old  new\n"
          "/     run_ms   -    5\n");
  REQUIRE(
      Run({"explain", "/pools/web/teams/counts/queues/hourly", "deadline_ms"})
          .out ==
      "setting      value  unit  from\n"
      "deadline_ms  5000   ms    /\n");
  REQUIRE(Run({"explain", "/teams/counts", "--output", "json"}).out ==
          "[{\"setting\":\"share\",\"value\":\"1\",\"unit\":\"\",\"from\":"
          "\"default\"},{\"setting\":\"limit\",\"value\":\"5\",\"unit\":"
          "\"running tasks\",\"from\":\"/teams/counts\"}]\n");
  REQUIRE(Run({"explain", "/teams/counts", "speed"}).exit == ExitCode::kUsage);
  REQUIRE(Run({"explain", "/nowhere"}).exit == ExitCode::kUsage);
  REQUIRE(Run({"key", "list"}).out == "id  team\nk1  counts\n");
}

//-----------------------------------------------------------------------------
// [SECTION] Settings check
//-----------------------------------------------------------------------------

// Two test cases write this file, and ctest runs them at the same time.
std::string CheckFile() {
  return "ctl_test_check_" + std::to_string(getpid()) + ".yaml";
}

Outcome Check(const std::string& text,
              std::vector<std::string> options = {},
              const Result<HttpReply>& hosts = HttpReply{200, {}, "[]"},
              const char* variable = kKey.c_str()) {
  const TemporaryFile file(CheckFile(), text);
  options.insert(options.begin(), {"settings", "check", CheckFile()});
  return Run(options, hosts, variable);
}

TEST_CASE("settings check has its own exit codes", "[ctl][settings_check]") {
  // Guards against a script that applies a file because it was not checked.
  const std::vector<std::string> against = {"--against", "127.0.0.1:7000"};
  const Outcome good = Check(kSettings, {}, HttpReply{}, nullptr);
  REQUIRE(good.exit == ExitCode::kDone);
  REQUIRE(good.out == "no findings\n");
  REQUIRE(good.requests.empty());
  REQUIRE(Check(kSettings, against).exit == ExitCode::kDone);

  REQUIRE(Check("run_ms: 1000\n" + kSettings).exit == ExitCode::kFindings);
  const Outcome invalid = Check("run_ms: 0\n" + kSettings, against);
  REQUIRE(invalid.exit == ExitCode::kFindings);
  REQUIRE(invalid.requests.empty());

  REQUIRE(Check("[").exit == ExitCode::kNotChecked);
  REQUIRE(Check("").exit == ExitCode::kNotChecked);
  REQUIRE(Check(std::string(kMaxSettingsBytes + 1, '#')).exit ==
          ExitCode::kNotChecked);
  REQUIRE(Run({"settings", "check", "no_such_file"}).exit ==
          ExitCode::kNotChecked);
  for (const Result<HttpReply>& answer : std::vector<Result<HttpReply>>{
           LostResponseError(), HttpReply{200, {}, "no JSON"},
           HttpReply{200, {}, "[7]"}, HttpReply{200, {}, R"([{"pool":"p"}])"},
           Refusal(403, R"("ran":"no")")}) {
    const Outcome outcome = Check(kSettings, against, answer);
    CHECK(outcome.exit == ExitCode::kNotChecked);
    CHECK_FALSE(outcome.err.empty());
  }
  REQUIRE(Check(kSettings, against, HttpReply{}, nullptr).exit ==
          ExitCode::kNotChecked);
  for (const auto& options : std::vector<std::vector<std::string>>{
           {"more"},
           {"--against", "localhost"},
           {"--server", "127.0.0.1:7000"},
           {"-f", "b"},
           {"--format", "xml"},
           {"--format", "json", "--output", "table"}}) {
    const Outcome outcome = Check(kSettings, options);
    CAPTURE(options, outcome.err);
    CHECK(outcome.exit == ExitCode::kNotChecked);
    CHECK_FALSE(outcome.err.empty());
  }
}

TEST_CASE("settings check prints findings and changes by effect",
          "[ctl][settings_check]") {
  const std::vector<std::string> against = {"--against", "127.0.0.1:7000"};
  // Slots of the wrong type are treated as not known.
  const HttpReply hosts = {
      200,
      {},
      R"([{"pool":"web","zone":"z1","rack":"r1","slots":-1},{"pool":"web","zone":"z2"}])"};
  std::string text = "run_ms: 1000\n" + kSettings;
  text.replace(text.find("z1: in"), 6, "z1: out");
  const Outcome table = Check(text, against, hosts);
  CAPTURE(table.out);
  REQUIRE(table.exit == ExitCode::kFindings);
  REQUIRE(table.out.starts_with(
      "severity  line  path        setting  kind                message\n"
      "warning   -     /zones/z2   -        zone_not_listed     "));
  REQUIRE(
      table.out.ends_with("effect     path       setting  old  new\n"
                          "admission  /zones/z1  state    in   out\n"
                          "timing     /          run_ms   -    1000\n"));
  std::vector<std::string> options = against;
  options.insert(options.end(), {"--format", "json"});
  const auto json = nlohmann::json::parse(Check(text, options, hosts).out);
  REQUIRE(json["findings"].size() == 4);
  REQUIRE(json["findings"][3]["kind"] == "redundant_value");
  REQUIRE(json["findings"][3]["line"] == "1");
  REQUIRE(json["changes"].size() == 2);
  REQUIRE(Check("x\x80: \x01", {"--format", "json"}).exit != ExitCode::kDone);
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

TEST_CASE("each command sends its request", "[ctl]") {
  struct Case {
    std::vector<std::string> words;
    HttpMethod method;
    const char* path;
    const char* body;
  };
  const std::vector<Case> cases = {
      {{"key", "grant", "counts"},
       HttpMethod::kPost,
       "/v1/admin/keys",
       R"({"team":"counts"})"},
      {{"key", "withdraw", "k1"}, HttpMethod::kDelete, "/v1/admin/keys/k1", ""},
      {{"zone", "out", "z1"}, HttpMethod::kPut, "/v1/admin/zones/z1", "out"},
      {{"zone", "in", "z1"}, HttpMethod::kPut, "/v1/admin/zones/z1", "in"},
      {{"pool", "list"}, HttpMethod::kGet, "/v1/admin/pools", ""},
      {{"host", "list"}, HttpMethod::kGet, "/v1/admin/hosts", ""},
      {{"host", "move", "h1", "web"},
       HttpMethod::kPost,
       "/v1/admin/hosts/h1/move",
       R"({"pool":"web"})"},
      {{"host", "drain", "h1"},
       HttpMethod::kPost,
       "/v1/admin/hosts/h1/drain",
       ""},
      {{"status"}, HttpMethod::kGet, "/v1/admin/status", ""},
      {{"task", "get", "t1"}, HttpMethod::kGet, "/v1/tasks/t1", ""},
      {{"task", "cancel", "t1"}, HttpMethod::kDelete, "/v1/tasks/t1", ""}};
  for (const Case& c : cases) {
    const Outcome outcome = Run(c.words, kInForce);
    CHECK(outcome.exit == ExitCode::kDone);
    REQUIRE(outcome.requests.size() == 1);
    CHECK(outcome.requests[0].method == c.method);
    CHECK(outcome.requests[0].path == c.path);
    CHECK(outcome.requests[0].body == c.body);
  }
}

TEST_CASE("a granted key is printed once, with its revision", "[ctl]") {
  const HttpReply granted = {
      200, {}, R"({"id":"k9","key":"pk_x","revision":8,"in_force":false})"};
  const Outcome outcome = Run({"key", "grant", "counts"}, granted);
  REQUIRE(outcome.exit == ExitCode::kNotInForce);
  REQUIRE(outcome.out ==
          "id   k9\nkey  pk_x\n"
          "revision 8 is accepted, but not yet in force\n");
}

TEST_CASE("lists in a response are printed as tables", "[ctl]") {
  const HttpReply hosts = {
      200,
      {},
      R"({"hosts":[{"host":"h1","pool":"web"},{"host":"h2","slots":8}]})"};
  REQUIRE(Run({"host", "list"}, hosts).out ==
          "host  pool  slots\n"
          "h1    web   -\n"
          "h2    -     8\n");
  REQUIRE(Run({"host", "list", "--output", "json"}, hosts).out ==
          hosts.body + "\n");
  REQUIRE(Run({"status"}, HttpReply{200, {}, R"({"a":"x\u001b[1m","b":[1]})"})
              .out ==
          "name  value\n"
          "a     x?[1m\n"
          "b     [1]\n");
}

TEST_CASE("completion needs neither server nor key", "[ctl]") {
  const CommandLine line = ParseCommandLine({"completion", "bash"}).value();
  std::ostringstream out;
  REQUIRE(RunCommand(line, nullptr, FakeServer{}, out, out) == ExitCode::kDone);
  REQUIRE(out.str().find("*\" zone \"*) choices=\"out in \"") !=
          std::string::npos);
  // Guards against completing "task get" as "get".
  REQUIRE(out.str().find("*\" task \"*)") < out.str().find("*\" get \"*)"));
}

//-----------------------------------------------------------------------------
// [SECTION] Submission
//-----------------------------------------------------------------------------

TEST_CASE("a single task prints one line", "[ctl]") {
  const HttpReply answer = {200, {{"peridot-task", "t1"}}, "42"};
  const Outcome outcome =
      Run({"submit", "web.hourly", "--data", "in", "--idempotent",
           "--deadline-ms", "900", "--idempotency-key", "day-1"},
          answer);
  REQUIRE(outcome.exit == ExitCode::kDone);
  REQUIRE(outcome.out ==
          "task  code      ran  answer\n"
          "t1    answered  yes  42\n");
  const HttpRequest& request = outcome.requests[0];
  REQUIRE(request.path == "/v1/queues/web.hourly/tasks");
  REQUIRE(request.body == "in");
  REQUIRE(HeaderOf(request, "Peridot-Idempotent") == "true");
  REQUIRE(HeaderOf(request, "Peridot-Deadline-Ms") == "900");
  REQUIRE(HeaderOf(request, "Idempotency-Key") == "day-1");
  REQUIRE(HeaderOf(request, "Prefer").empty());
}

TEST_CASE("each outcome of a task has its exit code", "[ctl]") {
  struct Case {
    Result<HttpReply> answer;
    ExitCode exit;
    const char* text;
  };
  const std::vector<Case> cases = {
      {HttpReply{202, {}, R"({"id":"t2"})"}, ExitCode::kDone,
       "t2    accepted  later  \n"},
      {HttpReply{202, {}, "{}"}, ExitCode::kUnknown, "accepted  later"},
      {Refusal(429, R"("code":"team_limit","ran":"no")"), ExitCode::kRefused,
       "team_limit  no"},
      {Refusal(500, R"("code":"task_failed","ran":"yes")"), ExitCode::kFailed,
       "task_failed  yes"},
      {Refusal(504, R"("code":"outcome_unknown","ran":"unknown")"),
       ExitCode::kUnknown, "outcome_unknown  unknown"},
      {Refusal(502, ""), ExitCode::kUnknown, "status_502  unknown"},
      {LostResponseError(), ExitCode::kUnknown, "no_answer  unknown"}};
  for (const Case& c : cases) {
    const Outcome outcome = Run({"submit", "web.hourly", "--async"}, c.answer);
    CHECK(outcome.exit == c.exit);
    CHECK(outcome.out.find(c.text) != std::string::npos);
    CHECK(outcome.requests.size() == 1);
  }
}

TEST_CASE("several tasks are sent once each and counted by code", "[ctl]") {
  // Guards against a task that is sent twice, and against a summary that hides
  // an unknown outcome.
  const std::vector<std::string> words = {
      "--server", "127.0.0.1:7000", "submit", "web.hourly",        "--count",
      "100",      "--concurrency",  "8",      "--idempotency-key", "k"};
  FakeServer server;
  server.answer = [](const HttpRequest& request) -> Result<HttpReply> {
    const std::string key = HeaderOf(request, "Idempotency-Key");
    if (key == "k-50") {
      return LostResponseError();
    }
    if (key.ends_with("0")) {
      return Refusal(429, R"("code":"team_limit","ran":"no")");
    }
    return HttpReply{200, {}, "ok"};
  };
  std::ostringstream out;
  const CommandLine line = ParseCommandLine(words).value();
  REQUIRE(RunCommand(line, kKey.c_str(), server, out, out) ==
          ExitCode::kUnknown);
  REQUIRE(out.str() ==
          "code        ran      count\n"
          "answered    yes      90\n"
          "no_answer   unknown  1\n"
          "team_limit  no       9\n");
  std::set<std::string> keys;
  for (const HttpRequest& request : server.requests) {
    keys.insert(HeaderOf(request, "Idempotency-Key"));
  }
  REQUIRE(keys.size() == 100);
  REQUIRE(server.requests.size() == 100);
}

}  // namespace
}  // namespace peridot::ctl
