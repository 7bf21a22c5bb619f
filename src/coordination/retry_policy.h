// Budget and delay of retries.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] RetryPolicy
//
// Every first attempt of a team adds a fraction of a retry to its budget, so
// that retries add at most that fraction to the load when everything fails. The
// delay before a retry is drawn from [0, base_delay * 2^n] (full jitter), so
// that tasks that failed together are not retried at the same time.
//
// Not thread-safe: one event loop owns each value.

#ifndef SRC_COORDINATION_RETRY_POLICY_H_
#define SRC_COORDINATION_RETRY_POLICY_H_

#include <cstdint>
#include <random>
#include <unordered_map>

#include "src/state/clock.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct RetryConfig {
  double budget_per_attempt = 0.1;  // retries per first attempt
  double max_budget = 20;           // retries
  Duration base_delay = std::chrono::milliseconds(10);
  Duration max_delay = std::chrono::milliseconds(1000);
};

//-----------------------------------------------------------------------------
// [SECTION] RetryPolicy
//-----------------------------------------------------------------------------

class RetryPolicy {
 public:
  // The seed determines the delays.
  explicit RetryPolicy(std::uint64_t seed, RetryConfig config = {});

  // A task of the team makes its first attempt.
  void OnFirstAttempt(const TeamId& team);

  // Takes a retry from the team's budget. Returns false if it is used up.
  bool TryRetry(const TeamId& team);

  // Returns the delay before the retry with this number, counted from 0.
  Duration Delay(int retry);

 private:
  double& BudgetOf(const TeamId& team);

  RetryConfig config;
  std::mt19937_64 random;
  std::unordered_map<TeamId, double> budgets;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_RETRY_POLICY_H_
