// A bounded buffer between the log and a descriptor that may be slow.
//
// Index:
//   [SECTION] LogBuffer

#ifndef SRC_TRANSPORT_LOG_BUFFER_H_
#define SRC_TRANSPORT_LOG_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] LogBuffer
//-----------------------------------------------------------------------------

// Holds whole lines until the descriptor accepts them. A line that does not fit
// is dropped and counted. Not thread-safe.
class LogBuffer {
 public:
  // Writing many lines at once saves system calls. A larger value would delay
  // lines for little gain.
  static constexpr std::size_t kFlushBytes = 8 << 10;
  // Large enough that no line is lost if the reader pauses for a second at the
  // highest rate.
  static constexpr std::size_t kMaxBytes = 256 << 10;

  // Requires an open descriptor, which must outlive the buffer.
  explicit LogBuffer(int descriptor) : descriptor(descriptor) {}

  // Returns false if the line was dropped. The line must end with a line break.
  bool Append(std::string_view line);

  // Writes as much as the descriptor accepts without blocking.
  void Flush();

  bool ShouldFlush() const { return this->waiting.size() >= kFlushBytes; }
  bool Empty() const { return this->waiting.empty(); }
  std::size_t Dropped() const { return this->dropped; }

 private:
  int descriptor;
  std::string waiting;
  std::size_t dropped = 0;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_LOG_BUFFER_H_
