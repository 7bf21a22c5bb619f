// The command line of peridotctl.
//
// Index:
//   [SECTION] Commands
//   [SECTION] Options
//   [SECTION] Parsing
//   [SECTION] Texts
//
// One table of commands serves parsing, the usage text and shell completion.

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
  const char* options;  // long names, separated by spaces, beside the common
  const char* summary;  // one line
};

std::span<const CommandSpec> Commands();

//-----------------------------------------------------------------------------
// [SECTION] Options
//-----------------------------------------------------------------------------

// Options of `submit`.
struct SubmitOptions {
  std::optional<std::string> data;             // default: none; the body
  std::int64_t count = 1;                      // default: 1; tasks
  std::int64_t concurrency = 1;                // default: 1; requests at once
  bool async = false;                          // default: false
  bool idempotent = false;                     // default: false
  std::optional<std::int64_t> deadline_ms;     // default: none; of the queue
  std::optional<std::string> idempotency_key;  // default: none
};

struct CommandLine {
  CommandId command = CommandId::kStatus;  // default: kStatus
  std::vector<std::string> arguments;      // default: none
  std::vector<SocketAddress> servers;      // default: none
  bool json = false;                       // default: false, a table
  std::optional<std::string> key_file;     // default: none; PERIDOT_KEY
  Duration timeout{};                      // see kDefaultTimeout
  std::optional<std::string> file;         // default: none
  std::optional<std::uint64_t> revision;   // default: none
  SubmitOptions submit;                    // default: one task
};

// A daemon may answer a change only once it is in force, which takes little
// more than `settings_lease_ms`, at most 5 s. Three times that leaves room.
inline constexpr Duration kDefaultTimeout = std::chrono::seconds(15);

// A synchronous submission waits for the task: by default for its deadline, or
// for the default deadline of a queue, and this much longer.
inline constexpr Duration kSubmitTimeoutMargin = std::chrono::seconds(5);

inline constexpr std::int64_t kMaxSubmitCount = 1'000'000;
// Each request at once has its thread and its connection.
inline constexpr std::int64_t kMaxSubmitConcurrency = 128;

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

// Parses the arguments without the program's name. Fails with kInvalidArgument
// and a message for the operator. Nothing was sent by then.
Result<CommandLine> ParseCommandLine(const std::vector<std::string>& arguments);

//-----------------------------------------------------------------------------
// [SECTION] Texts
//-----------------------------------------------------------------------------

void PrintUsage(std::ostream& out);

// Prints a script that completes commands and options in bash.
void PrintBashCompletion(std::ostream& out);

}  // namespace peridot::ctl

#endif  // SRC_CTL_COMMAND_LINE_H_
