// Model of the platform's object store.
//
// Index:
//   [SECTION] Outcomes
//   [SECTION] ObjectStore
//
// A state machine without I/O or clock: each call gets the current instant, so
// the same model runs behind the stand-in's HTTP server and as a fake in unit
// tests.

#ifndef STAND_INS_OBJECT_STORE_H_
#define STAND_INS_OBJECT_STORE_H_

#include <map>
#include <string>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"
#include "stand_ins/store_faults.h"
#include "stand_ins/token_bucket.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

enum class ObjectWriteOutcome {
  kDone,     // took effect
  kExists,   // create_only was set and the object exists; no effect
  kAbsent,   // there was no such object to delete; no effect
  kUnknown,  // the response is lost by fault; the operation was executed
};

//-----------------------------------------------------------------------------
// [SECTION] ObjectStore
//-----------------------------------------------------------------------------

// Not thread-safe. Each operation fails with kUnavailable if the store is down
// or over its rate limit, and then has no effect.
class ObjectStore {
 public:
  // Stores the bytes. With `create_only` an existing object is left unchanged.
  // Errors: kUnavailable, kInvalidArgument (empty name).
  Result<ObjectWriteOutcome> Put(const std::string& name,
                                 std::string bytes,
                                 bool create_only,
                                 Instant now);

  // Errors: kUnavailable.
  Result<ObjectWriteOutcome> Delete(const std::string& name, Instant now);

  // Returns the bytes. Errors: kUnavailable, kNotFound.
  Result<std::string> Get(const std::string& name, Instant now);

  // Returns the names with the prefix, sorted. Errors: kUnavailable.
  Result<std::vector<std::string>> List(const std::string& prefix, Instant now);

  // Replaces the faults. Changing a rate refills its token bucket.
  void SetFaults(const StoreFaults& new_faults);
  const StoreFaults& Faults() const { return this->faults; }

 private:
  Result<void> CheckAvailability(const char* step,
                                 TokenBucket& bucket,
                                 Instant now) const;
  ObjectWriteOutcome DropResponseIfFaulty(ObjectWriteOutcome outcome);

  std::map<std::string, std::string> objects;
  StoreFaults faults;
  TokenBucket writes{StoreFaults{}.writes_per_s};
  TokenBucket reads{StoreFaults{}.reads_per_s};
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_OBJECT_STORE_H_
