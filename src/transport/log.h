// Log lines: one event a line, as key=value pairs, through log4cplus.
//
// Writing never blocks: a line that the target does not take waits in a bounded
// buffer, and beyond that it is dropped and counted.
//
// Index:
//   [SECTION] Types
//   [SECTION] Output
//   [SECTION] Events
//
// A line reads "time=... level=... event=NAME KEY=VALUE ...". Keys and events
// are lower_snake_case. Keys of teams and their bearer tokens are never logged.

#ifndef SRC_TRANSPORT_LOG_H_
#define SRC_TRANSPORT_LOG_H_

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Types
//-----------------------------------------------------------------------------

enum class LogLevel { kDebug, kInfo, kWarning, kError };

struct LogField {
  std::string_view key;  // default: empty
  std::string value;     // default: empty; quoted when needed
};

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

enum class LogTarget { kStandardError, kStandardOutput };

// Sends the lines of this level and above to the target. Call it once, before
// the first event and before other threads start.
void StartLog(LogLevel lowest, LogTarget target = LogTarget::kStandardError);

// Lines of LogLimited() and LogLine() that are written in a second; the rest
// is dropped and counted in an event "log_dropped". 0: no limit. Default: 0.
// With a limit, these lines also wait for each other, up to 8 KB or until the
// next FlushLog(); all other lines are written at once.
void LimitLog(std::size_t lines_per_second);

// Writes the lines that wait, as far as that does not block. Thread-safe.
void FlushLog();

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

// Writes one event. Thread-safe. Does nothing before StartLog().
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

// As above, for events that come with every request: within the limit.
void LogLimited(LogLevel level,
                std::string_view event,
                std::initializer_list<LogField> fields);

// Writes one event whose fields are already in the form of FormatEvent().
// Thread-safe. Within the limit.
void LogLine(LogLevel level, std::string_view event, std::string_view fields);

// Writes one event with the error's step, peer, code and message.
void LogError(LogLevel level, std::string_view event, const Error& error);

// Returns "event=NAME KEY=VALUE ...". A value that is empty or holds a space,
// a quote, an equals sign, a backslash or a control character is quoted, with
// \" \\ \n \r \t and \xNN as escapes.
std::string FormatEvent(std::string_view event,
                        std::initializer_list<LogField> fields);

}  // namespace peridot

#endif  // SRC_TRANSPORT_LOG_H_
