// Wall-clock time, for times that callers state as Unix time.
//
// Index:
//   [SECTION] UnixMs
//
// The wall clock may jump, so no safety property may depend on it.

#ifndef SRC_DAEMON_WALL_TIME_H_
#define SRC_DAEMON_WALL_TIME_H_

#include <chrono>
#include <cstdint>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] UnixMs
//-----------------------------------------------------------------------------

// Milliseconds since 1970. Thread-safe.
inline std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace peridot

#endif  // SRC_DAEMON_WALL_TIME_H_
