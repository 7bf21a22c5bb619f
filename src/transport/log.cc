#include "src/transport/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace peridot {
namespace {

constexpr char kHexDigits[] = "0123456789abcdef";

std::atomic<bool> log_started = false;

bool IsPlain(char c) {
  return c > 0x20 && c < 0x7f && c != '"' && c != '=' && c != '\\';
}

void AppendEscaped(std::string* line, char c) {
  switch (c) {
    case '"':
    case '\\':
      *line += '\\';
      *line += c;
      return;
    case '\n':
      *line += "\\n";
      return;
    case '\r':
      *line += "\\r";
      return;
    case '\t':
      *line += "\\t";
      return;
    default:
      break;
  }
  const auto byte = static_cast<unsigned char>(c);
  // Bytes above 0x7f are kept: they belong to UTF-8 text.
  if (byte >= 0x20 && byte != 0x7f) {
    *line += c;
    return;
  }
  *line += "\\x";
  *line += kHexDigits[byte >> 4];
  *line += kHexDigits[byte & 0xf];
}

void AppendValue(std::string* line, const std::string& value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    *line += value;
    return;
  }
  *line += '"';
  for (const char c : value) {
    AppendEscaped(line, c);
  }
  *line += '"';
}

log4cplus::LogLevel ToLibrary(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarning:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::Logger& EventLogger() {
  static log4cplus::Logger logger = log4cplus::Logger::getInstance("peridot");
  return logger;
}

// Counts the lines of the current second.
struct LogLimiter {
  std::mutex mutex;
  std::size_t per_second = 0;  // guarded by mutex; 0: no limit
  std::size_t written = 0;     // guarded by mutex
  std::size_t dropped = 0;     // guarded by mutex
  std::chrono::steady_clock::time_point second{};  // guarded by mutex
};

LogLimiter& Limiter() {
  static LogLimiter limiter;
  return limiter;
}

// Returns whether the line may be written; reports what was dropped before.
bool TakeLine(LogLevel level) {
  if (level != LogLevel::kDebug && level != LogLevel::kInfo) {
    return true;
  }
  LogLimiter& limiter = Limiter();
  std::size_t dropped = 0;
  bool allowed = true;
  {
    const std::lock_guard<std::mutex> lock(limiter.mutex);
    if (limiter.per_second == 0) {
      return true;
    }
    const auto now = std::chrono::steady_clock::now();
    if (now - limiter.second >= std::chrono::seconds(1)) {
      limiter.second = now;
      limiter.written = 0;
      dropped = std::exchange(limiter.dropped, 0);
    }
    allowed = limiter.written < limiter.per_second;
    ++(allowed ? limiter.written : limiter.dropped);
  }
  if (dropped > 0) {
    EventLogger().log(log4cplus::WARN_LOG_LEVEL,
                      "event=log_dropped lines=" + std::to_string(dropped));
  }
  return allowed;
}

}  // namespace

void LimitLog(std::size_t lines_per_second) {
  LogLimiter& limiter = Limiter();
  const std::lock_guard<std::mutex> lock(limiter.mutex);
  limiter.per_second = lines_per_second;
}

void StartLog(LogLevel lowest, LogTarget target) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(target == LogTarget::kStandardError,
                                     /*immediateFlush=*/true));
  appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
      "time=%d{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n"));
  log4cplus::Logger& logger = EventLogger();
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  logger.addAppender(appender);
  logger.setLogLevel(ToLibrary(lowest));
  log_started = true;
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!log_started || !EventLogger().isEnabledFor(ToLibrary(level)) ||
      !TakeLine(level)) {
    return;
  }
  EventLogger().log(ToLibrary(level), FormatEvent(event, fields));
}

void LogLine(LogLevel level, std::string_view event, std::string_view fields) {
  if (!log_started || !EventLogger().isEnabledFor(ToLibrary(level)) ||
      !TakeLine(level)) {
    return;
  }
  std::string line = "event=";
  line += event;
  line += ' ';
  line += fields;
  EventLogger().log(ToLibrary(level), line);
}

void LogError(LogLevel level, std::string_view event, const Error& error) {
  LogEvent(level, event,
           {{"step", error.step},
            {"peer", error.peer},
            {"code", ErrorCodeName(error.code)},
            {"message", error.message}});
}

std::string FormatEvent(std::string_view event,
                        std::initializer_list<LogField> fields) {
  std::string line = "event=";
  line += event;
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(&line, field.value);
  }
  return line;
}

}  // namespace peridot
