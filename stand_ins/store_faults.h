// Faults that the table and the object store have in common.
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

// The rates default to the platform's (docs/design.md, 14.3).
struct StoreFaults {
  bool down = false;                // default: false; refuse everything
  Duration latency{};               // default: 0; the driver delays answers
  std::int64_t lose_answers = 0;    // default: 0; next answers to writes
  std::int64_t writes_per_s = 300;  // default: 300 writes/s
  std::int64_t reads_per_s = 2000;  // default: 2,000 reads/s
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_STORE_FAULTS_H_
