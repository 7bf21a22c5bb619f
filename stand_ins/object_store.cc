#include "stand_ins/object_store.h"

#include <utility>

namespace peridot::stand_ins {
namespace {

constexpr char kPeer[] = "object_store";

}  // namespace

Result<void> ObjectStore::CheckAvailability(const char* step,
                                            TokenBucket& bucket,
                                            Instant now) const {
  if (this->faults.down) {
    return MakeError(ErrorCode::kUnavailable, step, kPeer,
                     "the object store is down");
  }
  if (!bucket.Take(now)) {
    return MakeError(ErrorCode::kUnavailable, step, kPeer,
                     "over the rate cap of the object store");
  }
  return boost::outcome_v2::success();
}

ObjectWriteOutcome ObjectStore::DropResponseIfFaulty(
    ObjectWriteOutcome outcome) {
  if (this->faults.lose_answers <= 0)
    return outcome;
  --this->faults.lose_answers;
  return ObjectWriteOutcome::kUnknown;
}

Result<ObjectWriteOutcome> ObjectStore::Put(const std::string& name,
                                            std::string bytes,
                                            bool create_only,
                                            Instant now) {
  if (name.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, "put", kPeer,
                     "the name is empty");
  }
  BOOST_OUTCOME_TRY(this->CheckAvailability("put", this->writes, now));
  if (create_only && this->objects.contains(name))
    return this->DropResponseIfFaulty(ObjectWriteOutcome::kExists);
  this->objects[name] = std::move(bytes);
  return this->DropResponseIfFaulty(ObjectWriteOutcome::kDone);
}

Result<ObjectWriteOutcome> ObjectStore::Delete(const std::string& name,
                                               Instant now) {
  BOOST_OUTCOME_TRY(this->CheckAvailability("delete", this->writes, now));
  const bool erased = this->objects.erase(name) > 0;
  return this->DropResponseIfFaulty(erased ? ObjectWriteOutcome::kDone
                                           : ObjectWriteOutcome::kAbsent);
}

Result<std::string> ObjectStore::Get(const std::string& name, Instant now) {
  BOOST_OUTCOME_TRY(this->CheckAvailability("get", this->reads, now));
  const auto object = this->objects.find(name);
  if (object == this->objects.end()) {
    return MakeError(ErrorCode::kNotFound, "get", kPeer,
                     "there is no such object");
  }
  return object->second;
}

Result<std::vector<std::string>> ObjectStore::List(const std::string& prefix,
                                                   Instant now) {
  BOOST_OUTCOME_TRY(this->CheckAvailability("list", this->reads, now));
  std::vector<std::string> names;
  for (auto object = this->objects.lower_bound(prefix);
       object != this->objects.end() && object->first.starts_with(prefix);
       ++object) {
    names.push_back(object->first);
  }
  return names;
}

void ObjectStore::SetFaults(const StoreFaults& new_faults) {
  if (new_faults.writes_per_s != this->faults.writes_per_s)
    this->writes = TokenBucket(new_faults.writes_per_s);
  if (new_faults.reads_per_s != this->faults.reads_per_s)
    this->reads = TokenBucket(new_faults.reads_per_s);
  this->faults = new_faults;
}

}  // namespace peridot::stand_ins
