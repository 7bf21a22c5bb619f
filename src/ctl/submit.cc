#include "src/ctl/submit.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/ctl/admin_reply.h"
#include "src/ctl/render.h"

namespace peridot::ctl {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kAccepted = 202;

std::string TaskIdOf(const HttpReply& reply) {
  const Json json = Json::parse(reply.body, nullptr, false);
  if (!json.is_object() || !json.contains("id") || !json["id"].is_string()) {
    return {};
  }
  return json["id"].get<std::string>();
}

// Orders the exit codes by how much they leave the operator to resolve, the
// least first.
int Severity(ExitCode exit) {
  switch (exit) {
    case ExitCode::kDone:
      return 0;
    case ExitCode::kNotInForce:
      return 1;
    case ExitCode::kConflict:
      return 2;
    case ExitCode::kRefused:
      return 3;
    case ExitCode::kUnreachable:
      return 4;
    case ExitCode::kFailed:
      return 5;
    case ExitCode::kUsage:
      return 6;
    case ExitCode::kUnknown:
      return 7;
  }
  return 7;
}

}  // namespace

SubmitResult ResultOfReply(const HttpRequest& request, const HttpReply& reply) {
  SubmitResult result;
  result.exit = ExitCodeOf(request, reply);
  result.task = reply.Header("peridot-task");
  if (reply.status == kAccepted) {
    result.code = "accepted";
    result.ran = "later";
    result.task = TaskIdOf(reply);
    // Without its id the task cannot be queried.
    if (result.task.empty()) {
      result.exit = ExitCode::kUnknown;
    }
    return result;
  }
  if (reply.IsSuccess()) {
    result.code = "answered";
    result.ran = "yes";
    result.body = reply.body;
    return result;
  }
  const Problem problem = ParseProblem(reply);
  result.code = problem.code.empty() ? "status_" + std::to_string(reply.status)
                                     : problem.code;
  result.ran = problem.ran;
  if (result.ran.empty()) {
    result.ran = result.exit == ExitCode::kRefused ? "no" : "unknown";
  }
  return result;
}

SubmitResult ResultOfError(const HttpRequest& request, const Error& error) {
  const ExitCode exit = ExitCodeOf(request, error);
  const bool is_unknown = exit == ExitCode::kUnknown;
  return {exit, is_unknown ? "no_answer" : "unreachable",
          is_unknown ? "unknown" : "no", "", ""};
}

ExitCode MostSevereExit(const std::vector<SubmitResult>& results) {
  ExitCode worst = ExitCode::kDone;
  for (const SubmitResult& result : results) {
    if (Severity(result.exit) > Severity(worst)) {
      worst = result.exit;
    }
  }
  return worst;
}

void PrintSubmitResults(const std::vector<SubmitResult>& results,
                        std::ostream& out,
                        bool json) {
  if (results.size() == 1) {
    const SubmitResult& result = results.front();
    Table table{{"task", "code", "ran", "answer"},
                {{result.task, result.code, result.ran, result.body}}};
    table.Print(out, json);
    return;
  }
  std::map<std::pair<std::string, std::string>, std::size_t> counts;
  for (const SubmitResult& result : results) {
    ++counts[{result.code, result.ran}];
  }
  Table table{{"code", "ran", "count"}, {}};
  for (const auto& [key, count] : counts) {
    table.rows.push_back({key.first, key.second, std::to_string(count)});
  }
  table.Print(out, json);
}

HttpRequest MakeSubmitRequest(const SubmitTemplate& submit_template,
                              std::int64_t index) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/v1/queues/" + submit_template.queue + "/tasks";
  request.headers = submit_template.headers;
  request.body = submit_template.body;
  const SubmitOptions& options = submit_template.options;
  request.headers.emplace_back("Peridot-Idempotent",
                               options.idempotent ? "true" : "false");
  if (options.async) {
    request.headers.emplace_back("Prefer", "respond-async");
  }
  if (options.deadline_ms) {
    request.headers.emplace_back("Peridot-Deadline-Ms",
                                 std::to_string(*options.deadline_ms));
  }
  if (options.idempotency_key) {
    std::string key = *options.idempotency_key;
    if (options.count > 1) {
      key.append("-").append(std::to_string(index + 1));
    }
    request.headers.emplace_back("Idempotency-Key", std::move(key));
  }
  return request;
}

}  // namespace peridot::ctl
