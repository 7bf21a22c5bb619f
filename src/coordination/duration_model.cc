#include "src/coordination/duration_model.h"

#include <algorithm>
#include <cmath>

namespace peridot {

namespace {

// Number of completed runs before the averages replace the estimates.
constexpr int kMinRuns = 10;

// Minimum weight of the newest run in the averages; until it is reached, all
// runs have the same weight.
constexpr double kNewestWeight = 0.03;

// Spread of declared estimates, which are wrong by a factor of up to ten.
constexpr double kDeclaredSpread = 0.9;

}  // namespace

void DurationModel::OnDone(Milliseconds declared, Milliseconds actual) {
  const Milliseconds predicted = this->Predict(declared);
  if (this->run_count >= kMinRuns && predicted.count() > 0 &&
      actual.count() > 0) {
    const double deviation = std::log(static_cast<double>(actual.count()) /
                                      static_cast<double>(predicted.count()));
    ++this->deviation_count;
    this->log_variance += (deviation * deviation - this->log_variance) *
                          std::max(kNewestWeight, 1.0 / this->deviation_count);
  }
  ++this->run_count;
  const double weight = std::max(kNewestWeight, 1.0 / this->run_count);
  this->declared_ms +=
      (static_cast<double>(declared.count()) - this->declared_ms) * weight;
  this->actual_ms +=
      (static_cast<double>(actual.count()) - this->actual_ms) * weight;
}

bool DurationModel::Learned() const {
  return this->run_count >= kMinRuns;
}

DurationModel::Milliseconds DurationModel::Predict(
    Milliseconds declared) const {
  if (!this->Learned() || declared.count() <= 0) {
    return declared;
  }
  const double relative =
      static_cast<double>(declared.count()) / this->declared_ms;
  return Milliseconds(
      static_cast<std::int64_t>(this->actual_ms * std::sqrt(relative)));
}

double DurationModel::Spread() const {
  return this->deviation_count < kMinRuns ? kDeclaredSpread
                                          : std::sqrt(this->log_variance);
}

}  // namespace peridot
