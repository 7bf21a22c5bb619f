// A rate cap.
//
// Index:
//   [SECTION] TokenBucket

#ifndef STAND_INS_TOKEN_BUCKET_H_
#define STAND_INS_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "src/state/clock.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] TokenBucket
//-----------------------------------------------------------------------------

// Lets `rate` operations per second pass, after a burst of at most one
// second's allowance. Integer arithmetic: equal calls give equal verdicts.
// A value; not thread-safe.
class TokenBucket {
 public:
  // Starts full. A rate of 0 or less lets nothing pass.
  explicit TokenBucket(std::int64_t rate_per_s)
      : rate(std::clamp<std::int64_t>(rate_per_s, 0, kMaxRate)),
        fill(this->rate * kUnitsPerToken) {}

  // Takes one token if there is one. An instant before the last one adds none.
  bool Take(Instant now) {
    this->Refill(now);
    if (this->fill < kUnitsPerToken)
      return false;
    this->fill -= kUnitsPerToken;
    return true;
  }

 private:
  // A rate of r tokens per second adds r units per nanosecond.
  static constexpr std::int64_t kUnitsPerToken = 1'000'000'000;
  // Keeps fill plus one second's refill within 64 bits.
  static constexpr std::int64_t kMaxRate = 1'000'000'000;

  void Refill(Instant now) {
    if (now <= this->last)
      return;
    const Duration elapsed =
        std::min<Duration>(now - this->last, std::chrono::seconds(1));
    this->fill = std::min(this->fill + elapsed.count() * this->rate,
                          this->rate * kUnitsPerToken);
    this->last = now;
  }

  std::int64_t rate;  // tokens per second
  std::int64_t fill;  // units
  Instant last{};     // default: epoch
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_TOKEN_BUCKET_H_
