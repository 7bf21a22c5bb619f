// Types for time, and bounds for clock drift.
//
// Index:
//   [SECTION] Types
//   [SECTION] Clocks
//   [SECTION] Drift
//
// Decision modules take the current instant as an argument. Only programs and
// tests have a clock.

#ifndef SRC_STATE_CLOCK_H_
#define SRC_STATE_CLOCK_H_

#include <chrono>
#include <concepts>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Types
//-----------------------------------------------------------------------------

using Duration = std::chrono::nanoseconds;
using Instant = std::chrono::time_point<std::chrono::steady_clock,
                                        std::chrono::nanoseconds>;

//-----------------------------------------------------------------------------
// [SECTION] Clocks
//-----------------------------------------------------------------------------

// A monotonic clock. Now() never decreases.
template <typename C>
concept Clock = requires(const C& clock) {
  { clock.Now() } -> std::same_as<Instant>;
};

// The clock of the operating system. Thread-safe.
struct SystemClock {
  Instant Now() const { return std::chrono::steady_clock::now(); }
};

// A clock that a test advances. Not thread-safe.
struct ManualClock {
  Instant now{};

  Instant Now() const { return this->now; }
  void Advance(Duration by) { this->now += by; }
};

//-----------------------------------------------------------------------------
// [SECTION] Drift
//-----------------------------------------------------------------------------

// Upper bound of the difference in rate between two clocks of the system, in
// percent. It is the only timing assumption of the safety properties.
inline constexpr int kMaxClockDriftPercent = 1;

// The time after which a peer's timer of length d has certainly expired.
constexpr Duration LengthenForDrift(Duration d) {
  return d + d * kMaxClockDriftPercent / 100;
}

// The time before which a peer's timer of length d has certainly not expired.
constexpr Duration ShortenForDrift(Duration d) {
  return d - d * kMaxClockDriftPercent / 100;
}

}  // namespace peridot

#endif  // SRC_STATE_CLOCK_H_
