// Structured logging: one event per line, as key=value pairs, through
// log4cplus.
//
// Writing never blocks: lines that the target does not accept yet wait in a
// bounded buffer; lines that do not fit are dropped and counted.
//
// Index:
//   [SECTION] Types
//   [SECTION] Output
//   [SECTION] Events
//
// A line reads "time=... level=... event=NAME KEY=VALUE ...". Keys and events
// are lower_snake_case. Team keys and bearer tokens must never be logged.

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
  std::string_view key;
  std::string value;  // quoted when needed
};

//-----------------------------------------------------------------------------
// [SECTION] Output
//-----------------------------------------------------------------------------

enum class LogTarget { kStandardError, kStandardOutput };

// Writes events of this level and above to the target. Must be called once,
// before the first event and before other threads start.
void StartLog(LogLevel lowest, LogTarget target = LogTarget::kStandardError);

// Sets the maximum number of lines per second of LogRateLimited() and
// LogPreformatted(); the rest is dropped and counted in an event "log_dropped".
// 0: no limit, which is the initial state. With a limit, these lines are also
// buffered up to 8 KiB or until the next FlushLog(); all other lines are
// written immediately.
void SetLogRateLimit(std::size_t lines_per_second);

// Writes the buffered lines as far as possible without blocking. Thread-safe.
void FlushLog();

//-----------------------------------------------------------------------------
// [SECTION] Events
//-----------------------------------------------------------------------------

// Writes one event. Thread-safe. Does nothing before StartLog().
void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields);

// Like LogEvent(), for events that occur with every request. Subject to the
// rate limit.
void LogRateLimited(LogLevel level,
                    std::string_view event,
                    std::initializer_list<LogField> fields);

// Writes one event whose fields are already formatted as by FormatEvent().
// Thread-safe. Subject to the rate limit.
void LogPreformatted(LogLevel level,
                     std::string_view event,
                     std::string_view fields);

// Writes one event with the step, peer, code and message of the error.
void LogError(LogLevel level, std::string_view event, const Error& error);

// Returns "event=NAME KEY=VALUE ...". A value that is empty or holds a space,
// a quote, an equals sign, a backslash or a control character is quoted, with
// \" \\ \n \r \t and \xNN as escapes.
std::string FormatEvent(std::string_view event,
                        std::initializer_list<LogField> fields);

}  // namespace peridot

#endif  // SRC_TRANSPORT_LOG_H_
