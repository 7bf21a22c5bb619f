#include "src/transport/log.h"

#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <ctime>
#include <mutex>
#include <string>
#include <utility>

#include "src/transport/log_buffer.h"

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

// Formats lines into the buffer. log4cplus calls append() under the lock of the
// appender, which also protects the members of this class.
class BufferedAppender : public log4cplus::Appender {
 public:
  explicit BufferedAppender(int descriptor) : buffer(descriptor) {}
  ~BufferedAppender() override { this->destructorImpl(); }

  void close() override {
    this->buffer.Flush();
    this->closed = true;
  }

  void Flush() {
    const log4cplus::thread::MutexGuard lock(this->access_mutex);
    this->buffer.Flush();
  }

  // True while the current line may be buffered without a flush.
  static thread_local bool may_wait;

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    this->line = "time=";
    this->AppendTime(event.getTimestamp());
    this->line += " level=";
    this->line += log4cplus::getLogLevelManager().toString(event.getLogLevel());
    this->line += ' ';
    this->line += event.getMessage();
    this->line += '\n';
    this->buffer.Append(this->line);
    if (!may_wait || this->buffer.ShouldFlush()) {
      this->buffer.Flush();
    }
    if (this->buffer.Empty() && this->buffer.Dropped() > this->reported) {
      const std::size_t lost = this->buffer.Dropped() - this->reported;
      this->reported = this->buffer.Dropped();
      this->buffer.Append(
          "level=WARN event=log_blocked lines=" + std::to_string(lost) + "\n");
    }
  }

 private:
  // The date is formatted only once per second, because formatting it is most
  // of the cost of a line.
  void AppendTime(const log4cplus::helpers::Time& time) {
    const auto us = std::chrono::duration_cast<std::chrono::microseconds>(
                        time.time_since_epoch())
                        .count();
    constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;
    if (us / kMicrosecondsPerSecond != this->second) {
      this->second = us / kMicrosecondsPerSecond;
      const auto unix_time = static_cast<std::time_t>(this->second);
      std::tm parts{};
      gmtime_r(&unix_time, &parts);
      std::array<char, 32> text{};
      std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
      this->date = text.data();
    }
    const std::string ms = std::to_string(us % kMicrosecondsPerSecond / 1000);
    this->line += this->date;
    this->line.append(3 - ms.size(), '0');
    this->line += ms;
    this->line += 'Z';
  }

  LogBuffer buffer;
  std::string line;
  std::string date;
  std::int64_t second = -1;
  std::size_t reported = 0;
};

thread_local bool BufferedAppender::may_wait = false;

log4cplus::helpers::SharedObjectPtr<BufferedAppender>& GlobalAppender() {
  static log4cplus::helpers::SharedObjectPtr<BufferedAppender> appender;
  return appender;
}

// Counts the rate-limited lines of the current second.
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

enum class LineDecision { kWriteNow, kMayWait, kDrop };

// Decides whether a rate-limited line is written. At the start of a new second,
// logs the number of lines dropped before. Warnings and errors are not limited.
LineDecision DecideLine(LogLevel level) {
  if (level != LogLevel::kDebug && level != LogLevel::kInfo) {
    return LineDecision::kWriteNow;
  }
  LogLimiter& limiter = Limiter();
  std::size_t dropped = 0;
  bool allowed = true;
  {
    const std::lock_guard<std::mutex> lock(limiter.mutex);
    if (limiter.per_second == 0) {
      return LineDecision::kWriteNow;
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
  return allowed ? LineDecision::kMayWait : LineDecision::kDrop;
}

bool IsWritten(LogLevel level) {
  return log_started && EventLogger().isEnabledFor(ToLibrary(level));
}

void WriteRateLimited(LogLevel level,
                      LineDecision take,
                      const std::string& line) {
  BufferedAppender::may_wait = take == LineDecision::kMayWait;
  EventLogger().log(ToLibrary(level), line);
  BufferedAppender::may_wait = false;
}

}  // namespace

void SetLogRateLimit(std::size_t lines_per_second) {
  LogLimiter& limiter = Limiter();
  const std::lock_guard<std::mutex> lock(limiter.mutex);
  limiter.per_second = lines_per_second;
}

void FlushLog() {
  if (log_started) {
    GlobalAppender()->Flush();
  }
}

void StartLog(LogLevel lowest, LogTarget target) {
  static const log4cplus::Initializer initializer;
  GlobalAppender() = log4cplus::helpers::SharedObjectPtr<BufferedAppender>(
      new BufferedAppender(
          target == LogTarget::kStandardError ? STDERR_FILENO : STDOUT_FILENO));
  log4cplus::Logger& logger = EventLogger();
  logger.removeAllAppenders();
  logger.setAdditivity(false);
  logger.addAppender(log4cplus::SharedAppenderPtr(GlobalAppender().get()));
  logger.setLogLevel(ToLibrary(lowest));
  log_started = true;
}

void LogEvent(LogLevel level,
              std::string_view event,
              std::initializer_list<LogField> fields) {
  if (IsWritten(level)) {
    EventLogger().log(ToLibrary(level), FormatEvent(event, fields));
  }
}

void LogRateLimited(LogLevel level,
                    std::string_view event,
                    std::initializer_list<LogField> fields) {
  if (!IsWritten(level)) {
    return;
  }
  const LineDecision take = DecideLine(level);
  if (take != LineDecision::kDrop) {
    WriteRateLimited(level, take, FormatEvent(event, fields));
  }
}

void LogPreformatted(LogLevel level,
                     std::string_view event,
                     std::string_view fields) {
  if (!IsWritten(level)) {
    return;
  }
  const LineDecision take = DecideLine(level);
  if (take == LineDecision::kDrop) {
    return;
  }
  std::string line = "event=";
  line += event;
  line += ' ';
  line += fields;
  WriteRateLimited(level, take, line);
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
