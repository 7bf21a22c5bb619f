// Injected faults of the table and the object store.
//
// Index:
//   [SECTION] StoreFaults

#ifndef STAND_INS_STORE_FAULTS_H_
#define STAND_INS_STORE_FAULTS_H_

#include <cstdint>

#include "src/state/clock.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] StoreFaults
//-----------------------------------------------------------------------------

// The default rates are those of the platform.
struct StoreFaults {
  bool down = false;              // refuse all operations
  Duration latency{};             // applied by the caller, not by the model
  std::int64_t lose_answers = 0;  // number of next write responses to lose
  std::int64_t writes_per_s = 300;
  std::int64_t reads_per_s = 2000;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_STORE_FAULTS_H_
