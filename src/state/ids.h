// Strong types for identifiers.
//
// Index:
//   [SECTION] StrongId
//   [SECTION] Names given by operators and by the platform
//   [SECTION] Numbers that order events
//
// Every type is a value. Const access from several threads is safe.

#ifndef SRC_STATE_IDS_H_
#define SRC_STATE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] StrongId
//-----------------------------------------------------------------------------

// A value of type T that converts neither to T nor to an id with another tag.
template <typename Tag, typename T>
struct StrongId {
  T value{};

  StrongId() = default;
  explicit StrongId(T v) : value(std::move(v)) {}

  friend auto operator<=>(const StrongId&, const StrongId&) = default;
  friend bool operator==(const StrongId&, const StrongId&) = default;
  friend std::ostream& operator<<(std::ostream& out, const StrongId& id) {
    return out << id.value;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] Names given by operators and by the platform
//-----------------------------------------------------------------------------

using TeamId = StrongId<struct TeamTag, std::string>;
using QueueId = StrongId<struct QueueTag, std::string>;  // "pool.queue"
using PoolId = StrongId<struct PoolTag, std::string>;
using HostId = StrongId<struct HostTag, std::string>;
using RackId = StrongId<struct RackTag, std::string>;
using ZoneId = StrongId<struct ZoneTag, std::string>;
using EndpointId = StrongId<struct EndpointTag, std::string>;
using DaemonId = StrongId<struct DaemonTag, std::string>;
using KeyId = StrongId<struct KeyTag, std::string>;
using TaskId = StrongId<struct TaskTag, std::string>;
using AttemptId = StrongId<struct AttemptTag, std::string>;
using LeaseId = StrongId<struct LeaseTag, std::string>;
using BootId = StrongId<struct BootTag, std::string>;

//-----------------------------------------------------------------------------
// [SECTION] Numbers that order events
//-----------------------------------------------------------------------------

using Revision = StrongId<struct RevisionTag, std::uint64_t>;  // of settings
using RegistryVersion = StrongId<struct RegistryTag, std::uint64_t>;
using RowVersion = StrongId<struct RowVersionTag, std::uint64_t>;
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;
using PermitEpoch = StrongId<struct PermitEpochTag, std::uint64_t>;

// One run of a daemon. A higher incarnation fences the lower ones.
struct SessionId {
  DaemonId daemon;
  Incarnation incarnation;  // 0: no session

  friend auto operator<=>(const SessionId&, const SessionId&) = default;
  friend bool operator==(const SessionId&, const SessionId&) = default;
};

}  // namespace peridot

template <typename Tag, typename T>
struct std::hash<peridot::StrongId<Tag, T>> {
  std::size_t operator()(const peridot::StrongId<Tag, T>& id) const noexcept {
    return std::hash<T>{}(id.value);
  }
};

#endif  // SRC_STATE_IDS_H_
