#include "src/ctl/commands.h"

#include <openssl/crypto.h>

#include <charconv>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string_view>

namespace peridot::ctl {
namespace {

constexpr std::uint64_t kMaxEndpointSlots = 1'000'000;
constexpr std::string_view kRevisionComment = "# revision: ";

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::string TrimEnd(std::string text) {
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  return text;
}

std::string JsonBody(const char* name, const std::string& value) {
  return nlohmann::json({{name, value}}).dump();
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  // Reads one byte more than allowed to detect a file that is too large.
  std::string text(kMaxSettingsBytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!input.is_open() || input.bad()) {
    return MakeError(ErrorCode::kNotFound, "read", path, "cannot read " + path);
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  if (text.size() > kMaxSettingsBytes) {
    return MakeError(ErrorCode::kTooLarge, "read", path,
                     path + ": expected at most " +
                         std::to_string(kMaxSettingsBytes) + " bytes");
  }
  return text;
}

Result<KeySecret> ReadKey(const CommandLine& line, const char* variable) {
  std::string text;
  std::string source = "PERIDOT_KEY";
  if (line.key_file) {
    source = *line.key_file;
    BOOST_OUTCOME_TRY(content, ReadFile(source));
    text = TrimEnd(std::move(content));
  } else if (variable != nullptr) {
    text = variable;
  } else {
    return MakeError(ErrorCode::kInvalidArgument, "read", "key",
                     "expected a key from --key-file or PERIDOT_KEY");
  }
  Result<KeySecret> key = KeySecret::Parse(text);
  OPENSSL_cleanse(text.data(), text.size());
  if (key.has_error()) {
    return MakeError(ErrorCode::kInvalidArgument, "read", "key",
                     source + ": " + key.error().message);
  }
  return key;
}

std::optional<std::uint64_t> RevisionComment(const std::string& text) {
  if (!text.starts_with(kRevisionComment)) {
    return std::nullopt;
  }
  const std::string first_line = TrimEnd(text.substr(0, text.find('\n')));
  return ParseNumber(
      std::string_view(first_line).substr(kRevisionComment.size()));
}

std::string FormatWithRevision(const SettingsTree& tree) {
  return std::string(kRevisionComment) +
         std::to_string(tree.CurrentRevision().value) + "\n" +
         FormatSettings(tree.Document());
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

HttpRequest MakeRequest(const CommandLine& line) {
  const std::string admin = "/v1/admin/";
  const std::string first =
      line.arguments.empty() ? std::string() : line.arguments[0];
  switch (line.command) {
    case CommandId::kKeyGrant:
      return {HttpMethod::kPost,
              admin + "keys",
              {{"Content-Type", "application/json"}},
              JsonBody("team", first)};
    case CommandId::kKeyWithdraw:
      return {HttpMethod::kDelete, admin + "keys/" + first, {}, ""};
    case CommandId::kZoneOut:
      return {HttpMethod::kPut, admin + "zones/" + first, {}, "out"};
    case CommandId::kZoneIn:
      return {HttpMethod::kPut, admin + "zones/" + first, {}, "in"};
    case CommandId::kPoolList:
      return {HttpMethod::kGet, admin + "pools", {}, ""};
    case CommandId::kHostList:
      return {HttpMethod::kGet, admin + "hosts", {}, ""};
    case CommandId::kHostMove:
      return {HttpMethod::kPost,
              admin + "hosts/" + first + "/move",
              {{"Content-Type", "application/json"}},
              JsonBody("pool", line.arguments[1])};
    case CommandId::kHostDrain:
      return {HttpMethod::kPost, admin + "hosts/" + first + "/drain", {}, ""};
    case CommandId::kTaskGet:
      return {HttpMethod::kGet, "/v1/tasks/" + first, {}, ""};
    case CommandId::kTaskCancel:
      return {HttpMethod::kDelete, "/v1/tasks/" + first, {}, ""};
    default:
      return {HttpMethod::kGet, admin + "status", {}, ""};
  }
}

Result<SettingsTree> ParseSettingsReply(const HttpReply& reply) {
  const auto revision = ParseNumber(reply.Header("peridot-revision"));
  if (!revision) {
    return MakeError(ErrorCode::kMalformed, "parse", "server",
                     "expected a response with a number in the header "
                     "Peridot-Revision");
  }
  return ParseSettings(reply.body, "settings", Revision(*revision));
}

Result<KnownHosts> ParseHostsReply(const HttpReply& reply) {
  const auto json = nlohmann::json::parse(reply.body, nullptr, false);
  const Error error =
      MakeError(ErrorCode::kMalformed, "parse", "server",
                "expected a JSON list of hosts with pool and zone");
  if (!json.is_array()) {
    return error;
  }
  KnownHosts hosts;
  for (const auto& item : json) {
    if (!item.is_object()) {
      return error;
    }
    const auto text = [&item](const char* name) {
      const auto member = item.find(name);
      return member != item.end() && member->is_string()
                 ? member->get<std::string>()
                 : std::string();
    };
    KnownHost host = {.pool = PoolId(text("pool")),
                      .zone = ZoneId(text("zone")),
                      .rack = RackId(text("rack")),
                      .slots = std::nullopt};
    if (host.pool.value.empty() || host.zone.value.empty()) {
      return error;
    }
    const auto slots = item.find("slots");
    // A larger number is no plausible size and could overflow a sum.
    if (slots != item.end() && slots->is_number_unsigned() &&
        slots->get<std::uint64_t>() <= kMaxEndpointSlots) {
      host.slots = SlotCount(slots->get<std::int64_t>());
    }
    hosts.push_back(std::move(host));
  }
  return hosts;
}

//-----------------------------------------------------------------------------
// [SECTION] Settings check
//-----------------------------------------------------------------------------

std::optional<SettingsText> ReadFileToCheck(const CommandLine& line,
                                            ExitCode& exit,
                                            std::ostream& out,
                                            std::ostream& err) {
  const Result<std::string> content = ReadFile(*line.file);
  if (content.has_error()) {
    err << content.error().message << "\n";
    exit = ExitCode::kNotChecked;
    return std::nullopt;
  }
  SettingsText text = ReadSettingsText(content.value(), Revision());
  if (!text.tree) {
    PrintCheck(FindingsOfFaults(text), std::nullopt, out, line.json);
    if (text.faults.size() > kMaxReportedFaults) {
      err << *line.file << ": and " << text.faults.size() - kMaxReportedFaults
          << " more\n";
    }
    exit = text.is_readable ? ExitCode::kFindings : ExitCode::kNotChecked;
    return std::nullopt;
  }
  return text;
}

ExitCode CheckFile(const SettingsText& text,
                   const SettingsTree* in_force,
                   const KnownHosts& hosts,
                   std::ostream& out,
                   bool json) {
  const auto findings = CheckSettings(*text.tree, text.lines, hosts);
  std::optional<std::vector<RankedChange>> changes;
  if (in_force != nullptr) {
    changes =
        RankChanges(DiffSettings(in_force->Document(), text.tree->Document()));
  }
  PrintCheck(findings, changes, out, json);
  return findings.empty() ? ExitCode::kDone : ExitCode::kFindings;
}

}  // namespace peridot::ctl
