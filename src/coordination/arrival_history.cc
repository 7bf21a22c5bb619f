#include "src/coordination/arrival_history.h"

#include <algorithm>
#include <chrono>

namespace peridot {

namespace {

double Seconds(Milliseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void ArrivalHistory::OnArrival(Instant arrived, double core_seconds) {
  this->arrivals.emplace(arrived, core_seconds);
}

double ArrivalHistory::Rate(Instant now) {
  const Instant oldest = now - this->config.window;
  this->arrivals.erase(this->arrivals.begin(),
                       this->arrivals.lower_bound({oldest, 0}));
  const Instant burst_start = now - this->config.burst_window;
  double total = 0;
  double burst = 0;
  std::size_t burst_jobs = 0;
  for (const auto& [arrived, core_seconds] : this->arrivals) {
    total += core_seconds;
    if (arrived >= burst_start) {
      burst += core_seconds;
      ++burst_jobs;
    }
  }
  const double rate = total / Seconds(this->config.window);
  return burst_jobs >= this->config.burst_min_jobs
             ? std::max(rate, burst / Seconds(this->config.burst_window))
             : rate;
}

}  // namespace peridot
