#include "src/ctl/command_line.h"

#include <algorithm>
#include <array>
#include <boost/program_options.hpp>
#include <charconv>
#include <chrono>
#include <iomanip>
#include <limits>
#include <sstream>

#include "src/state/settings_schema.h"

namespace peridot::ctl {
namespace {

namespace po = boost::program_options;

constexpr std::array<CommandSpec, 19> kCommands = {{
    {CommandId::kApply, "apply", "-f FILE [--revision N]", 0, 0,
     "file revision", "replace the settings with a file"},
    {CommandId::kGet, "get", "[PATH]", 0, 1, "",
     "print the settings, or what a node and its children set"},
    {CommandId::kDiff, "diff", "-f FILE", 0, 0, "file",
     "show what applying a file would change"},
    {CommandId::kExplain, "explain", "PATH [SETTING]", 1, 2, "",
     "show the values at a node and where they come from"},
    {CommandId::kSettingsCheck, "settings check", "FILE [--against SERVER]", 1,
     1, "against", "report errors and ineffective entries of a file"},
    {CommandId::kKeyGrant, "key grant", "TEAM", 1, 1, "",
     "create a key of a team and print it once"},
    {CommandId::kKeyWithdraw, "key withdraw", "ID", 1, 1, "",
     "make a key invalid"},
    {CommandId::kKeyList, "key list", "", 0, 0, "",
     "list the ids and teams of the keys"},
    {CommandId::kZoneOut, "zone out", "ZONE", 1, 1, "",
     "start no more tasks in a zone"},
    {CommandId::kZoneIn, "zone in", "ZONE", 1, 1, "",
     "return a zone to service"},
    {CommandId::kPoolList, "pool list", "", 0, 0, "", "list the pools"},
    {CommandId::kHostList, "host list", "", 0, 0, "", "list the hosts"},
    {CommandId::kHostMove, "host move", "HOST POOL", 2, 2, "",
     "move a host to another pool"},
    {CommandId::kHostDrain, "host drain", "HOST", 1, 1, "",
     "take a host out of service without aborting a request"},
    {CommandId::kStatus, "status", "", 0, 0, "",
     "show the state of the daemon that answers"},
    {CommandId::kSubmit, "submit", "QUEUE", 1, 1,
     "data file count concurrency async idempotent deadline-ms "
     "idempotency-key",
     "submit tasks to a queue, named POOL.QUEUE"},
    {CommandId::kTaskGet, "task get", "ID", 1, 1, "", "show a task"},
    {CommandId::kTaskCancel, "task cancel", "ID", 1, 1, "", "cancel a task"},
    {CommandId::kCompletionBash, "completion bash", "", 0, 0, "",
     "print a completion script for bash"},
}};

constexpr std::array<const char*, 5> kCommonOptions = {
    "server", "output", "format", "key-file", "timeout-ms"};

constexpr std::size_t kMaxIdempotencyKeyLength = 128;

Error UsageError(std::string message) {
  return MakeError(ErrorCode::kInvalidArgument, "parse", "command line",
                   std::move(message));
}

po::options_description CommonOptions() {
  po::options_description options("Options");
  options.add_options()(
      "server", po::value<std::vector<std::string>>(),
      "IP:PORT of a daemon; may be repeated: the next address "
      "is tried only if no connection was established")(
      "output", po::value<std::string>(), "table (default) or json")(
      "format", po::value<std::string>(), "another name of --output")(
      "key-file", po::value<std::string>(),
      "file with the key; default: the variable PERIDOT_KEY")(
      "timeout-ms", po::value<std::string>(), "timeout of one request");
  return options;
}

po::options_description CommandOptions() {
  po::options_description options("Options of single commands");
  options.add_options()("file,f", po::value<std::string>(),
                        "settings (apply, diff) or body (submit)")(
      "against", po::value<std::string>(),
      "settings check: IP:PORT of a daemon to compare with")(
      "revision", po::value<std::string>(),
      "apply: revision that the file was made against")(
      "data", po::value<std::string>(), "submit: body")(
      "count", po::value<std::string>(), "submit: number of tasks")(
      "concurrency", po::value<std::string>(),
      "submit: number of concurrent requests")(
      "async", "submit: do not wait for the response")(
      "idempotent", "submit: the task may run more than once")(
      "deadline-ms", po::value<std::string>(), "submit: deadline of the task")(
      "idempotency-key", po::value<std::string>(),
      "submit: key by which a repeated submission is recognized");
  return options;
}

std::vector<std::string> SplitWords(const char* text) {
  std::istringstream input(text);
  std::vector<std::string> words;
  for (std::string word; input >> word;) {
    words.push_back(word);
  }
  return words;
}

// Returns the command that the words start with, or null, and removes its words
// from the list.
const CommandSpec* ConsumeCommand(std::vector<std::string>& words) {
  for (const CommandSpec& command : kCommands) {
    const std::vector<std::string> command_words = SplitWords(command.words);
    if (words.size() >= command_words.size() &&
        std::equal(command_words.begin(), command_words.end(), words.begin())) {
      words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(
                                                     command_words.size()));
      return &command;
    }
  }
  return nullptr;
}

// An argument becomes part of a URL path, so only characters that need no
// escaping there are allowed. The paths of `get`, `explain` and `settings
// check` are not sent.
bool IsUrlSafe(const std::string& text) {
  return !text.empty() && text != "." && text != ".." &&
         std::ranges::all_of(text, [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
         });
}

bool IsPrintable(const std::string& text) {
  return std::ranges::all_of(text, [](char c) { return c > ' ' && c < 0x7F; });
}

// Reads the options of one parsed command line and keeps the first error.
class OptionReader {
 public:
  explicit OptionReader(const po::variables_map& v) : values(v) {}

  std::optional<std::string> Text(const char* name) const {
    if (this->values.count(name) == 0) {
      return std::nullopt;
    }
    return this->values[name].as<std::string>();
  }

  bool Has(const char* name) const { return this->values.count(name) != 0; }

  std::optional<std::int64_t> Number(const char* name,
                                     std::int64_t min,
                                     std::int64_t max) {
    const std::optional<std::string> text = this->Text(name);
    if (!text) {
      return std::nullopt;
    }
    std::int64_t value = 0;
    const char* end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, value);
    if (error != std::errc() || stop != end || value < min || value > max) {
      this->SetError(std::string("--") + name + ": expected a number from " +
                     std::to_string(min) + " to " + std::to_string(max));
      return std::nullopt;
    }
    return value;
  }

  void SetError(const std::string& message) {
    if (this->first_error.empty()) {
      this->first_error = message;
    }
  }

  const std::string& FirstError() const { return this->first_error; }

 private:
  const po::variables_map& values;
  std::string first_error;  // empty: no error so far
};

void ReadServers(const po::variables_map& values,
                 OptionReader& reader,
                 CommandLine& line) {
  if (line.command == CommandId::kSettingsCheck) {
    if (reader.Has("server")) {
      reader.SetError(
          "--server is not an option of settings check; "
          "use --against");
    }
    if (const auto text = reader.Text("against")) {
      Result<SocketAddress> address = SocketAddress::Parse(*text);
      if (address.has_error()) {
        reader.SetError("--against: " + address.error().message);
      } else {
        line.servers.push_back(std::move(address).value());
      }
    }
    return;
  }
  if (values.count("server") == 0) {
    if (line.command != CommandId::kCompletionBash) {
      reader.SetError("--server: expected the address of a daemon");
    }
    return;
  }
  for (const auto& text : values["server"].as<std::vector<std::string>>()) {
    Result<SocketAddress> address = SocketAddress::Parse(text);
    if (address.has_error()) {
      reader.SetError("--server: " + address.error().message);
      return;
    }
    line.servers.push_back(std::move(address).value());
  }
}

void ReadSubmit(OptionReader& reader, SubmitOptions& submit) {
  submit.data = reader.Text("data");
  submit.count = reader.Number("count", 1, kMaxSubmitCount).value_or(1);
  submit.concurrency =
      reader.Number("concurrency", 1, kMaxSubmitConcurrency).value_or(1);
  submit.async = reader.Has("async");
  submit.idempotent = reader.Has("idempotent");
  const SettingSpec& spec = SpecOf(Setting::kDeadlineMs);
  submit.deadline_ms = reader.Number("deadline-ms", spec.min, spec.max);
  submit.idempotency_key = reader.Text("idempotency-key");
  if (submit.idempotency_key &&
      (submit.idempotency_key->empty() ||
       submit.idempotency_key->size() > kMaxIdempotencyKeyLength ||
       !IsPrintable(*submit.idempotency_key))) {
    reader.SetError(
        "--idempotency-key: expected 1 to 128 printable characters");
  }
  if (submit.data && reader.Has("file")) {
    reader.SetError("expected --data or --file, not both");
  }
}

Duration TimeoutOf(OptionReader& reader, const CommandLine& line) {
  const auto given =
      reader.Number("timeout-ms", 1, SpecOf(Setting::kDeadlineMs).max);
  if (given) {
    return std::chrono::milliseconds(*given);
  }
  if (line.command == CommandId::kSubmit && !line.submit.async) {
    return std::chrono::milliseconds(line.submit.deadline_ms.value_or(
               SpecOf(Setting::kDeadlineMs).default_value)) +
           kSubmitTimeoutMargin;
  }
  return kDefaultTimeout;
}

// Reports options that the command does not support.
void CheckOptionsOf(const CommandSpec& command,
                    const po::variables_map& values,
                    OptionReader& reader) {
  std::vector<std::string> allowed = SplitWords(command.options);
  allowed.insert(allowed.end(), kCommonOptions.begin(), kCommonOptions.end());
  for (const auto& [name, value] : values) {
    if (name != "words" && std::ranges::find(allowed, name) == allowed.end()) {
      reader.SetError(std::string("--") + name + " is not an option of " +
                      command.words);
    }
  }
}

void CheckArguments(const CommandSpec& command,
                    const CommandLine& line,
                    OptionReader& reader) {
  if (line.arguments.size() < command.min_arguments ||
      line.arguments.size() > command.max_arguments) {
    reader.SetError(std::string("expected: ") + command.words + " " +
                    command.arguments);
  }
  const bool is_path = line.command == CommandId::kGet ||
                       line.command == CommandId::kExplain ||
                       line.command == CommandId::kSettingsCheck;
  if (!is_path && !std::ranges::all_of(line.arguments, IsUrlSafe)) {
    reader.SetError("expected arguments of letters, digits, '-', '_' and '.'");
  }
  const bool needs_file =
      line.command == CommandId::kApply || line.command == CommandId::kDiff;
  if (needs_file && !line.file) {
    reader.SetError(std::string("expected: ") + command.words + " -f FILE");
  }
}

Result<CommandLine> Interpret(const po::variables_map& values) {
  std::vector<std::string> words;
  if (values.count("words") != 0) {
    words = values["words"].as<std::vector<std::string>>();
  }
  const CommandSpec* command = ConsumeCommand(words);
  if (command == nullptr) {
    return UsageError(words.empty() ? "expected a command"
                                    : "unknown command " + words.front());
  }
  CommandLine line;
  line.command = command->id;
  line.arguments = words;
  OptionReader reader(values);
  line.file = reader.Text("file");
  if (line.command == CommandId::kSettingsCheck && !words.empty()) {
    line.file = words.front();
  }
  line.key_file = reader.Text("key-file");
  CheckOptionsOf(*command, values, reader);
  CheckArguments(*command, line, reader);
  ReadServers(values, reader, line);
  ReadSubmit(reader, line.submit);
  const auto revision =
      reader.Number("revision", 0, std::numeric_limits<std::int64_t>::max());
  if (revision) {
    line.revision = static_cast<std::uint64_t>(*revision);
  }
  line.timeout = TimeoutOf(reader, line);
  const auto format = reader.Text("format");
  const std::string output =
      reader.Text("output").value_or(format.value_or("table"));
  if (format && *format != output) {
    reader.SetError("expected --output or --format, not both");
  }
  if (output != "table" && output != "json") {
    reader.SetError("--output: expected table or json");
  }
  line.json = output == "json";
  if (!reader.FirstError().empty()) {
    return UsageError(reader.FirstError());
  }
  return line;
}

}  // namespace

std::span<const CommandSpec> Commands() {
  return kCommands;
}

Result<CommandLine> ParseCommandLine(
    const std::vector<std::string>& arguments) {
  po::options_description all;
  all.add(CommonOptions()).add(CommandOptions());
  all.add_options()("words", po::value<std::vector<std::string>>());
  po::positional_options_description positional;
  positional.add("words", -1);
  po::variables_map values;
  try {
    // An abbreviated option could become ambiguous in a later version.
    const int style = po::command_line_style::unix_style &
                      ~po::command_line_style::allow_guessing;
    po::store(po::command_line_parser(arguments)
                  .options(all)
                  .positional(positional)
                  .style(style)
                  .run(),
              values);
  } catch (const po::error& error) {
    return UsageError(error.what());
  }
  return Interpret(values);
}

ExitCode ExitCodeOfUsage(const std::vector<std::string>& arguments) {
  const std::vector<std::string> words = {"settings", "check"};
  const bool is_check =
      std::search(arguments.begin(), arguments.end(), words.begin(),
                  words.end()) != arguments.end();
  return is_check ? ExitCode::kNotChecked : ExitCode::kUsage;
}

void PrintUsage(std::ostream& out) {
  constexpr int kCommandWidth = 28;
  out << "usage: peridotctl [OPTIONS] COMMAND\n\nCommands:\n";
  for (const CommandSpec& command : kCommands) {
    const std::string text =
        std::string(command.words) + " " + command.arguments;
    out << "  " << std::left << std::setw(kCommandWidth) << text << " "
        << command.summary << "\n";
  }
  out << "\n" << CommonOptions() << "\n" << CommandOptions();
}

void PrintBashCompletion(std::ostream& out) {
  out << "# Completion of peridotctl for bash; source this file.\n"
         "_peridotctl() {\n"
         "  local word=${COMP_WORDS[COMP_CWORD]}\n"
         "  local line=\" ${COMP_WORDS[*]:1:COMP_CWORD-1} \"\n"
         "  local choices=\"";
  // Commands of two words come first, so that "task get" is not completed as
  // "get".
  std::vector<std::string> firsts;
  for (const std::size_t word_count : {2, 1}) {
    for (const CommandSpec& command : kCommands) {
      const std::vector<std::string> words = SplitWords(command.words);
      if (words.size() == word_count &&
          std::ranges::find(firsts, words.front()) == firsts.end()) {
        firsts.push_back(words.front());
        out << words.front() << " ";
      }
    }
  }
  for (const char* option : kCommonOptions) {
    out << "--" << option << " ";
  }
  out << "\"\n  case \"${line}\" in\n";
  for (const std::string& first : firsts) {
    std::string choices;
    for (const CommandSpec& command : kCommands) {
      const std::vector<std::string> words = SplitWords(command.words);
      if (words.front() != first) {
        continue;
      }
      if (words.size() > 1) {
        choices.append(words[1]).append(" ");
      }
      for (const std::string& option : SplitWords(command.options)) {
        choices.append("--").append(option).append(" ");
      }
    }
    out << "    *\" " << first << " \"*) choices=\"" << choices << "\" ;;\n";
  }
  out << "  esac\n"
         "  mapfile -t COMPREPLY < <(compgen -W \"${choices}\" -- "
         "\"${word}\")\n"
         "}\n"
         "complete -o default -F _peridotctl peridotctl\n";
}

}  // namespace peridot::ctl
