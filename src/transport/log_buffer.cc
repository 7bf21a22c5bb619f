#include "src/transport/log_buffer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace peridot {

bool LogBuffer::Append(std::string_view line) {
  if (this->waiting.size() + line.size() > kMaxBytes) {
    ++this->dropped;
    return false;
  }
  this->waiting += line;
  return true;
}

void LogBuffer::Flush() {
  std::size_t written = 0;
  while (written < this->waiting.size()) {
    pollfd state{this->descriptor, POLLOUT, 0};
    if (poll(&state, 1, 0) <= 0 || (state.revents & POLLOUT) == 0) {
      break;
    }
    // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
    const std::size_t size =
        std::min<std::size_t>(this->waiting.size() - written, PIPE_BUF);
    const ssize_t taken =
        write(this->descriptor, this->waiting.data() + written, size);
    if (taken <= 0) {
      if (taken < 0 && errno == EINTR) {
        continue;
      }
      break;
    }
    written += static_cast<std::size_t>(taken);
  }
  this->waiting.erase(0, written);
}

}  // namespace peridot
