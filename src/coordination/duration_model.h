// Learns how long the tasks of a queue run, from declared estimates that may
// be far off.
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

// Averages of actual and of declared durations. An estimate moves the
// prediction away from the queue's mean by its square root only: noise in the
// estimates would otherwise count in full. Not thread-safe.
class DurationModel {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // A run has ended done. Both must be positive.
  void OnDone(Milliseconds declared, Milliseconds actual);

  // Returns the declared duration until enough runs have been seen.
  Milliseconds Expect(Milliseconds declared) const;

 private:
  int seen = 0;
  double declared_ms = 0;  // average
  double actual_ms = 0;    // average
};

}  // namespace peridot

#endif  // SRC_COORDINATION_DURATION_MODEL_H_
