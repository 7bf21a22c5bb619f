// Rate at which work of one service arrives, from the arrival times of its
// jobs.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] ArrivalHistory
//
// Load it answers: a peak that begins within a second, and a new owner that
// learns of many earlier jobs at once. Only arrival times count, so that a
// takeover or a delayed job feed neither hides a peak nor looks like one.
//
// Not thread-safe.

#ifndef SRC_COORDINATION_ARRIVAL_HISTORY_H_
#define SRC_COORDINATION_ARRIVAL_HISTORY_H_

#include <cstddef>
#include <set>
#include <utility>

#include "src/coordination/job.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct ArrivalHistoryConfig {
  // Averaging window of the rate.
  Milliseconds window{1500};
  // Shorter window that detects the start of a peak. It counts only if at least
  // burst_min_jobs arrived within it; fewer jobs may be random variation.
  Milliseconds burst_window{500};
  std::size_t burst_min_jobs = 8;
};

//-----------------------------------------------------------------------------
// [SECTION] ArrivalHistory
//-----------------------------------------------------------------------------

class ArrivalHistory {
 public:
  explicit ArrivalHistory(ArrivalHistoryConfig config = {}) : config(config) {}

  // A job of this much work arrived at this instant, now or earlier. Jobs may
  // be reported in any order.
  void OnArrival(Instant arrived, double core_seconds);

  // Returns the arrival rate in core-seconds per second and drops arrivals that
  // are too old to count. `now` must not decrease from call to call.
  double Rate(Instant now);

 private:
  ArrivalHistoryConfig config;
  std::multiset<std::pair<Instant, double>> arrivals;  // time, core-seconds
};

}  // namespace peridot

#endif  // SRC_COORDINATION_ARRIVAL_HISTORY_H_
