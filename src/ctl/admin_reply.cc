#include "src/ctl/admin_reply.h"

#include <nlohmann/json.hpp>

namespace peridot::ctl {
namespace {

using Json = nlohmann::json;

constexpr int kRequestTimeout = 408;

std::string TextMember(const Json& json, const char* name) {
  const auto member = json.find(name);
  return member != json.end() && member->is_string()
             ? member->get<std::string>()
             : std::string();
}

std::optional<std::uint64_t> NumberMember(const Json& json, const char* name) {
  const auto member = json.find(name);
  if (member == json.end() || !member->is_number_unsigned()) {
    return std::nullopt;
  }
  return member->get<std::uint64_t>();
}

}  // namespace

Result<ChangeResponse> ParseChangeResponse(const HttpReply& reply) {
  const Json json = Json::parse(reply.body, nullptr, false);
  const Error error =
      MakeError(ErrorCode::kMalformed, "parse", "server",
                "expected a JSON object with revision and in_force");
  if (!json.is_object()) {
    return error;
  }
  const auto in_force = json.find("in_force");
  const auto revision = NumberMember(json, "revision");
  if (!revision || in_force == json.end() || !in_force->is_boolean()) {
    return error;
  }
  return ChangeResponse{*revision, in_force->get<bool>(),
                        TextMember(json, "id"), TextMember(json, "key")};
}

Problem ParseProblem(const HttpReply& reply) {
  const Json json = Json::parse(reply.body, nullptr, false);
  if (!json.is_object()) {
    return {};
  }
  return {TextMember(json, "title"),    TextMember(json, "code"),
          TextMember(json, "ran"),      NumberMember(json, "expected"),
          NumberMember(json, "actual"), NumberMember(json, "retry_after_ms")};
}

ExitCode ExitCodeOf(const HttpRequest& request, const HttpReply& reply) {
  if (reply.IsSuccess()) {
    return ExitCode::kDone;
  }
  const Problem problem = ParseProblem(reply);
  if (problem.code == "revision_conflict") {
    return ExitCode::kConflict;
  }
  if (problem.ran == "no") {
    return ExitCode::kRefused;
  }
  if (problem.ran == "yes") {
    return ExitCode::kFailed;
  }
  if (problem.ran == "unknown") {
    return ExitCode::kUnknown;
  }
  if (reply.status / 100 == 4 && reply.status != kRequestTimeout) {
    return ExitCode::kRefused;
  }
  return request.IsRead() ? ExitCode::kUnreachable : ExitCode::kUnknown;
}

ExitCode ExitCodeOf(const HttpRequest& request, const Error& error) {
  if (error.code == ErrorCode::kUnavailable || request.IsRead()) {
    return ExitCode::kUnreachable;
  }
  return ExitCode::kUnknown;
}

}  // namespace peridot::ctl
