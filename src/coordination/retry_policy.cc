#include "src/coordination/retry_policy.h"

#include <algorithm>

namespace peridot {

RetryPolicy::RetryPolicy(std::uint64_t seed, RetryConfig config)
    : config(config), random(seed) {}

void RetryPolicy::OnFirstAttempt(const TeamId& team) {
  double& budget = this->BudgetOf(team);
  budget = std::min(budget + this->config.budget_per_attempt,
                    this->config.max_budget);
}

bool RetryPolicy::TryRetry(const TeamId& team) {
  double& budget = this->BudgetOf(team);
  if (budget < 1) {
    return false;
  }
  budget -= 1;
  return true;
}

Duration RetryPolicy::Delay(int retry) {
  constexpr int kMaxDoublings = 20;
  const Duration ceiling = std::min(
      this->config.base_delay * (1 << std::clamp(retry, 0, kMaxDoublings)),
      this->config.max_delay);
  return Duration(std::uniform_int_distribution<std::int64_t>(
      0, ceiling.count())(this->random));
}

double& RetryPolicy::BudgetOf(const TeamId& team) {
  return this->budgets.try_emplace(team, this->config.max_budget).first->second;
}

}  // namespace peridot
