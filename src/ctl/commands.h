// The commands of peridotctl.
//
// Index:
//   [SECTION] Inputs
//   [SECTION] Requests
//   [SECTION] Settings check
//   [SECTION] Command runner
//   [SECTION] Entry point
//
// A command reads files, sends requests to a server and prints the result. The
// server is a concept, so that tests can run every command against a fake.

#ifndef SRC_CTL_COMMANDS_H_
#define SRC_CTL_COMMANDS_H_

#include <cstdint>
#include <optional>
#include <ostream>
#include <string>
#include <utility>
#include <vector>

#include "src/ctl/admin_client.h"
#include "src/ctl/admin_reply.h"
#include "src/ctl/command_line.h"
#include "src/ctl/exit_code.h"
#include "src/ctl/render.h"
#include "src/ctl/submit.h"
#include "src/protocol/settings_check.h"
#include "src/protocol/settings_yaml.h"
#include "src/state/error.h"
#include "src/state/settings_tree.h"
#include "src/state/team_keys.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

// Reads a whole file of at most kMaxSettingsBytes, which also bounds the body
// of a task. Fails with kNotFound or kTooLarge.
Result<std::string> ReadFile(const std::string& path);

// Reads the key from the file that the command line names, else from
// `variable`, the value of PERIDOT_KEY (null: not set). Fails with
// kInvalidArgument; the message does not contain the key. An unreadable file
// fails as ReadFile() does.
Result<KeySecret> ReadKey(const CommandLine& line, const char* variable);

// Returns the revision of a first line "# revision: N", as `get` prints it.
std::optional<std::uint64_t> RevisionComment(const std::string& text);

// Returns the settings as `get` prints them, with the revision comment.
std::string FormatWithRevision(const SettingsTree& tree);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

// Returns the request of a command that sends exactly one request, without the
// key.
HttpRequest MakeRequest(const CommandLine& line);

// Parses the response to GET /v1/admin/settings. Fails with kMalformed if the
// revision header is missing, else as ParseSettings() does.
Result<SettingsTree> ParseSettingsReply(const HttpReply& reply);

// Parses the response to GET /v1/admin/hosts. Other members of the wrong type
// are treated as absent. Fails with kMalformed unless it is a list of objects
// with `pool` and `zone`.
Result<KnownHosts> ParseHostsReply(const HttpReply& reply);

//-----------------------------------------------------------------------------
// [SECTION] Settings check
//-----------------------------------------------------------------------------

// Reads and parses the file of `settings check`. If it cannot be checked,
// prints the reason or the faults, sets `exit` and returns nothing.
std::optional<SettingsText> ReadFileToCheck(const CommandLine& line,
                                            ExitCode& exit,
                                            std::ostream& out,
                                            std::ostream& err);

// Checks the settings of a file, which must be valid, and prints the findings.
// `in_force` is null without a server; otherwise prints the changes too.
// Returns kDone or kFindings; changes are not findings.
ExitCode CheckFile(const SettingsText& text,
                   const SettingsTree* in_force,
                   const KnownHosts& hosts,
                   std::ostream& out,
                   bool json);

//-----------------------------------------------------------------------------
// [SECTION] Command runner
//-----------------------------------------------------------------------------

// Runs one command. Results go to `out`, errors and hints to `err`; with JSON
// output, error responses go to `out` too.
template <AdminServer S>
class CommandRunner {
 public:
  CommandRunner(const CommandLine& l,
                const KeySecret& k,
                const S& s,
                std::ostream& o,
                std::ostream& e)
      : line(l), key(k), server(s), out(o), err(e) {}

  ExitCode Run() {
    switch (this->line.command) {
      case CommandId::kApply:
        return this->Apply();
      case CommandId::kGet:
      case CommandId::kDiff:
      case CommandId::kExplain:
      case CommandId::kKeyList:
        return this->ShowSettings();
      case CommandId::kSettingsCheck:
        return this->CheckAgainst();
      case CommandId::kKeyGrant:
      case CommandId::kKeyWithdraw:
      case CommandId::kZoneOut:
      case CommandId::kZoneIn:
        return this->Change(MakeRequest(this->line));
      case CommandId::kPoolList:
      case CommandId::kHostList:
      case CommandId::kHostMove:
      case CommandId::kHostDrain:
      case CommandId::kStatus:
      case CommandId::kTaskGet:
      case CommandId::kTaskCancel:
        return this->Show(MakeRequest(this->line));
      case CommandId::kSubmit:
        return this->Submit();
      case CommandId::kCompletionBash:
        break;
    }
    PrintBashCompletion(this->out);
    return ExitCode::kDone;
  }

 private:
  HttpHeaders KeyHeaders() const {
    return {{"Authorization", "Bearer " + this->key.RevealText()}};
  }

  ExitCode PrintUsageError(const Error& error) {
    this->err << error.message << "\n";
    return ExitCode::kUsage;
  }

  // Sends a request and sets `exit`. Prints an error response or the lack of a
  // response, and then returns nothing.
  std::optional<HttpReply> Send(HttpRequest request, ExitCode& exit) {
    const HttpHeaders headers = this->KeyHeaders();
    request.headers.insert(request.headers.end(), headers.begin(),
                           headers.end());
    Result<HttpReply> reply =
        SendToFirst(this->server, this->line.servers, request);
    std::ostream& where = this->line.json ? this->out : this->err;
    if (reply.has_error()) {
      exit = ExitCodeOf(request, reply.error());
      PrintMissingResponse(reply.error(), exit, where, this->line.json);
      return std::nullopt;
    }
    exit = ExitCodeOf(request, reply.value());
    if (exit != ExitCode::kDone) {
      PrintProblem(reply.value(), where, this->line.json);
      return std::nullopt;
    }
    return std::move(reply).value();
  }

  ExitCode Show(const HttpRequest& request) {
    ExitCode exit = ExitCode::kDone;
    const std::optional<HttpReply> reply = this->Send(request, exit);
    if (reply) {
      PrintJsonReply(reply->body, this->out, this->line.json);
    }
    return exit;
  }

  ExitCode Change(const HttpRequest& request) {
    ExitCode exit = ExitCode::kDone;
    const std::optional<HttpReply> reply = this->Send(request, exit);
    if (!reply) {
      return exit;
    }
    const Result<ChangeResponse> answer = ParseChangeResponse(*reply);
    if (answer.has_error()) {
      this->err << "The server accepted the change, but its response cannot "
                   "be parsed: "
                << answer.error().message << "\n";
      return ExitCode::kUnknown;
    }
    PrintChange(answer.value(), this->out, this->line.json);
    return answer.value().in_force ? ExitCode::kDone : ExitCode::kNotInForce;
  }

  // Reads the current settings. On failure prints the reason, sets `exit` and
  // returns nothing.
  std::optional<SettingsTree> Settings(ExitCode& exit) {
    HttpRequest request;
    request.path = "/v1/admin/settings";
    const std::optional<HttpReply> reply = this->Send(std::move(request), exit);
    if (!reply) {
      return std::nullopt;
    }
    Result<SettingsTree> tree = ParseSettingsReply(*reply);
    if (tree.has_error()) {
      this->err << "The server's settings cannot be parsed: "
                << tree.error().message << "\n";
      exit = ExitCode::kUnreachable;
      return std::nullopt;
    }
    return std::move(tree).value();
  }

  // Reads and validates the settings file. Sends nothing.
  Result<std::pair<std::string, SettingsTree>> FileSettings() {
    BOOST_OUTCOME_TRY(text, ReadFile(*this->line.file));
    BOOST_OUTCOME_TRY(tree, ParseSettings(text, *this->line.file, Revision()));
    return std::pair(std::move(text), std::move(tree));
  }

  ExitCode Apply() {
    Result<std::pair<std::string, SettingsTree>> file = this->FileSettings();
    if (file.has_error()) {
      return this->PrintUsageError(file.error());
    }
    const std::string& text = file.value().first;
    std::optional<std::uint64_t> revision = this->line.revision;
    if (!revision) {
      revision = RevisionComment(text);
    }
    if (!revision) {
      ExitCode exit = ExitCode::kDone;
      const std::optional<SettingsTree> current = this->Settings(exit);
      if (!current) {
        return exit;
      }
      revision = current->CurrentRevision().value;
    }
    HttpRequest request;
    request.method = HttpMethod::kPut;
    request.path = "/v1/admin/settings";
    request.headers = {{"If-Match", std::to_string(*revision)},
                       {"Content-Type", "application/yaml"}};
    request.body = text;
    const ExitCode exit = this->Change(request);
    if (exit == ExitCode::kConflict || exit == ExitCode::kUnknown) {
      this->err << "Compare with the current settings: peridotctl diff -f "
                << *this->line.file << "\n";
    }
    return exit;
  }

  ExitCode ShowSettings() {
    std::optional<SettingsTree> wanted;
    if (this->line.command == CommandId::kDiff) {
      Result<std::pair<std::string, SettingsTree>> file = this->FileSettings();
      if (file.has_error()) {
        return this->PrintUsageError(file.error());
      }
      wanted = std::move(file).value().second;
    }
    ExitCode exit = ExitCode::kDone;
    const std::optional<SettingsTree> tree = this->Settings(exit);
    if (!tree) {
      return exit;
    }
    if (this->line.command == CommandId::kDiff) {
      TableOfChanges(DiffSettings(tree->Document(), wanted->Document()))
          .Print(this->out, this->line.json);
    } else if (this->line.command == CommandId::kKeyList) {
      TableOfKeys(tree->Document()).Print(this->out, this->line.json);
    } else if (this->line.command == CommandId::kGet) {
      return this->Get(*tree);
    } else {
      return this->Explain(*tree);
    }
    return ExitCode::kDone;
  }

  // Checks a file against the settings and hosts that the server returns.
  ExitCode CheckAgainst() {
    ExitCode exit = ExitCode::kDone;
    const std::optional<SettingsText> text =
        ReadFileToCheck(this->line, exit, this->out, this->err);
    if (!text) {
      return exit;
    }
    const std::optional<SettingsTree> in_force = this->Settings(exit);
    if (!in_force) {
      return ExitCode::kNotChecked;
    }
    HttpRequest request;
    request.path = "/v1/admin/hosts";
    const std::optional<HttpReply> reply = this->Send(std::move(request), exit);
    if (!reply) {
      return ExitCode::kNotChecked;
    }
    const Result<KnownHosts> hosts = ParseHostsReply(*reply);
    if (hosts.has_error()) {
      this->err << "The server's hosts cannot be parsed: "
                << hosts.error().message << "\n";
      return ExitCode::kNotChecked;
    }
    return CheckFile(*text, &*in_force, hosts.value(), this->out,
                     this->line.json);
  }

  ExitCode Get(const SettingsTree& tree) {
    if (this->line.arguments.empty() && !this->line.json) {
      this->out << FormatWithRevision(tree);
      return ExitCode::kDone;
    }
    const std::string path =
        this->line.arguments.empty() ? "/" : this->line.arguments[0];
    const Table table = TableOfNode(tree.Document(), path);
    if (table.rows.empty()) {
      return this->PrintUsageError(MakeError(ErrorCode::kNotFound, "get",
                                             "settings", "no node " + path));
    }
    table.Print(this->out, this->line.json);
    return ExitCode::kDone;
  }

  ExitCode Explain(const SettingsTree& tree) {
    const std::vector<std::string>& arguments = this->line.arguments;
    const Result<Table> table = TableOfEffective(
        tree, arguments[0], arguments.size() > 1 ? arguments[1] : "");
    if (table.has_error()) {
      return this->PrintUsageError(table.error());
    }
    table.value().Print(this->out, this->line.json);
    return ExitCode::kDone;
  }

  ExitCode Submit() {
    SubmitTemplate submit_template;
    submit_template.queue = this->line.arguments[0];
    submit_template.headers = this->KeyHeaders();
    submit_template.options = this->line.submit;
    submit_template.body = this->line.submit.data.value_or("");
    if (this->line.file) {
      Result<std::string> body = ReadFile(*this->line.file);
      if (body.has_error()) {
        return this->PrintUsageError(body.error());
      }
      submit_template.body = std::move(body).value();
    }
    const std::vector<SubmitResult> results =
        SubmitAll(this->server, this->line.servers, submit_template);
    PrintSubmitResults(results, this->out, this->line.json);
    return MostSevereExit(results);
  }

  const CommandLine& line;
  const KeySecret& key;
  const S& server;
  std::ostream& out;
  std::ostream& err;
};

//-----------------------------------------------------------------------------
// [SECTION] Entry point
//-----------------------------------------------------------------------------

// Runs a parsed command line. `variable` is the value of PERIDOT_KEY, or null
// if it is not set.
template <AdminServer S>
ExitCode RunCommand(const CommandLine& line,
                    const char* variable,
                    const S& server,
                    std::ostream& out,
                    std::ostream& err) {
  if (line.command == CommandId::kCompletionBash) {
    PrintBashCompletion(out);
    return ExitCode::kDone;
  }
  const bool is_check = line.command == CommandId::kSettingsCheck;
  if (is_check && line.servers.empty()) {
    ExitCode exit = ExitCode::kDone;
    const auto text = ReadFileToCheck(line, exit, out, err);
    return text ? CheckFile(*text, nullptr, {}, out, line.json) : exit;
  }
  const Result<KeySecret> key = ReadKey(line, variable);
  if (key.has_error()) {
    err << key.error().message << "\n";
    return is_check ? ExitCode::kNotChecked : ExitCode::kUsage;
  }
  return CommandRunner<S>(line, key.value(), server, out, err).Run();
}

}  // namespace peridot::ctl

#endif  // SRC_CTL_COMMANDS_H_
