// Token bucket rate limiter.
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

// Allows `rate` operations per second and bursts of up to one second's worth of
// tokens. Uses integer arithmetic, so equal calls give equal results. A value;
// not thread-safe.
class TokenBucket {
 public:
  // Starts full. A rate of 0 or less refuses every operation.
  explicit TokenBucket(std::int64_t rate_per_s)
      : rate(std::clamp<std::int64_t>(rate_per_s, 0, kMaxRate)),
        fill_units(this->rate * kUnitsPerToken) {}

  // Takes one token and returns true, or returns false if there is none. Time
  // that goes backwards adds no tokens.
  bool Take(Instant now) {
    this->Refill(now);
    if (this->fill_units < kUnitsPerToken)
      return false;
    this->fill_units -= kUnitsPerToken;
    return true;
  }

 private:
  // A rate of r tokens per second adds r units per nanosecond.
  static constexpr std::int64_t kUnitsPerToken = 1'000'000'000;
  // Keeps `fill_units` plus one second's refill within 64 bits.
  static constexpr std::int64_t kMaxRate = 1'000'000'000;

  void Refill(Instant now) {
    if (now <= this->last)
      return;
    const Duration elapsed =
        std::min<Duration>(now - this->last, std::chrono::seconds(1));
    this->fill_units = std::min(this->fill_units + elapsed.count() * this->rate,
                                this->rate * kUnitsPerToken);
    this->last = now;
  }

  std::int64_t rate;        // tokens per second
  std::int64_t fill_units;  // in units
  Instant last{};
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_TOKEN_BUCKET_H_
