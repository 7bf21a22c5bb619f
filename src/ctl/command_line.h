// The command line of peridotctl.
//
// Index:
//   [SECTION] Commands
//   [SECTION] Options
//   [SECTION] Parsing
//   [SECTION] Help and completion
//
// Parsing, the usage text and shell completion use the same table of commands.

#ifndef SRC_CTL_COMMAND_LINE_H_
#define SRC_CTL_COMMAND_LINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <vector>

#include "src/ctl/exit_code.h"
#include "src/protocol/socket_address.h"
#include "src/state/clock.h"
#include "src/state/error.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Commands
//-----------------------------------------------------------------------------

enum class CommandId {
  kApply,
  kGet,
  kDiff,
  kExplain,
  kSettingsCheck,
  kKeyGrant,
  kKeyWithdraw,
  kKeyList,
  kZoneOut,
  kZoneIn,
  kPoolList,
  kHostList,
  kHostMove,
  kHostDrain,
  kStatus,
  kSubmit,
  kTaskGet,
  kTaskCancel,
  kCompletionBash,
};

struct CommandSpec {
  CommandId id;
  const char* words;      // one or two words, as in "key grant"
  const char* arguments;  // for the usage text, as in "HOST POOL"
  std::size_t min_arguments;
  std::size_t max_arguments;
  const char* options;  // long names besides the common ones, by spaces
  const char* summary;  // one line
};

std::span<const CommandSpec> Commands();

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

// Options of `submit`.
struct SubmitOptions {
  std::optional<std::string> data;  // body of the task
  std::int64_t count = 1;           // number of tasks
  std::int64_t concurrency = 1;     // concurrent requests
  bool async = false;
  bool idempotent = false;
  std::optional<std::int64_t> deadline_ms;  // none: the queue's deadline
  std::optional<std::string> idempotency_key;
};

struct CommandLine {
  CommandId command = CommandId::kStatus;
  std::vector<std::string> arguments;
  std::vector<SocketAddress> servers;   // `settings check`: at most one
  bool json = false;                    // false: print a table
  std::optional<std::string> key_file;  // none: use PERIDOT_KEY
  Duration timeout{};                   // see kDefaultTimeout
  std::optional<std::string> file;      // of `settings check` too
  std::optional<std::uint64_t> revision;
  SubmitOptions submit;
};

// A daemon may respond to a change only once it is in force, which takes little
// more than the setting `settings_lease_ms`, at most 5 s. Three times that
// allows for delays.
inline constexpr Duration kDefaultTimeout = std::chrono::seconds(15);

// A synchronous submission waits for the task: by default until its deadline,
// or the default deadline of a queue if it states none, plus this margin.
inline constexpr Duration kSubmitTimeoutMargin = std::chrono::seconds(5);

inline constexpr std::int64_t kMaxSubmitCount = 1'000'000;
// Each concurrent request uses a thread and a connection of its own.
inline constexpr std::int64_t kMaxSubmitConcurrency = 128;

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

// Parses the arguments, without the program's name. Sends nothing. Fails with
// kInvalidArgument and a message for the operator.
Result<CommandLine> ParseCommandLine(const std::vector<std::string>& arguments);

// Returns the exit code for arguments that ParseCommandLine() rejects. For
// `settings check` it is kNotChecked, because 1 means findings there.
ExitCode ExitCodeOfUsage(const std::vector<std::string>& arguments);

//-----------------------------------------------------------------------------
// [SECTION] Help and completion
//-----------------------------------------------------------------------------

void PrintUsage(std::ostream& out);

// Prints a script that completes commands and options in bash.
void PrintBashCompletion(std::ostream& out);

}  // namespace peridot::ctl

#endif  // SRC_CTL_COMMAND_LINE_H_
