// Predicts how long the tasks of a queue run, from observed durations and from
// declared estimates that may be inaccurate.
//
// Index:
//   [SECTION] DurationModel

#ifndef SRC_COORDINATION_DURATION_MODEL_H_
#define SRC_COORDINATION_DURATION_MODEL_H_

#include <chrono>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] DurationModel
//-----------------------------------------------------------------------------

// Keeps moving averages of actual and declared durations. The prediction is the
// average actual duration, scaled by the square root of the estimate relative
// to the average estimate; a linear scale would pass on all noise of the
// estimates. Not thread-safe.
class DurationModel {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // A run has completed. Both durations must be positive.
  void OnDone(Milliseconds declared, Milliseconds actual);

  // Returns the predicted duration: the declared one until enough runs have
  // completed.
  Milliseconds Predict(Milliseconds declared) const;

  // Returns the standard deviation of the logarithm of actual to predicted
  // durations; that of unreliable estimates until enough runs have completed.
  double Spread() const;

  // Returns whether enough runs have completed for Predict() to use them.
  bool Learned() const;

 private:
  int run_count = 0;
  double declared_ms = 0;  // average
  double actual_ms = 0;    // average
  int deviation_count = 0;
  double log_variance = 0;  // average square of log(actual / predicted)
};

}  // namespace peridot

#endif  // SRC_COORDINATION_DURATION_MODEL_H_
