// A bounded buffer between log lines and a descriptor that may not keep up.
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

// Whole lines wait here until the descriptor takes them; a line that does not
// fit is dropped and counted. Not thread-safe.
class LogBuffer {
 public:
  // Many lines a write save system calls; more would delay them for little.
  static constexpr std::size_t kFlushBytes = 8 << 10;
  // A reader that is paused for a second at the highest rate loses nothing.
  static constexpr std::size_t kMostBytes = 256 << 10;

  // Requires an open descriptor, which must outlive the buffer.
  explicit LogBuffer(int descriptor) : descriptor(descriptor) {}

  // Returns false if the line was dropped. The line ends with a line break.
  bool Append(std::string_view line);

  // Writes what the descriptor takes without blocking.
  void Flush();

  bool Full() const { return this->waiting.size() >= kFlushBytes; }
  bool Empty() const { return this->waiting.empty(); }
  std::size_t Dropped() const { return this->dropped; }

 private:
  int descriptor;
  std::string waiting;
  std::size_t dropped = 0;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_LOG_BUFFER_H_
