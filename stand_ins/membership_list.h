// Model of the platform's lagging membership list (docs/design.md, 14.5).
//
// Index:
//   [SECTION] Hosts and faults
//   [SECTION] MembershipList
//
// A value without I/O: the instant is an argument, so the same model runs
// behind the stand-in's HTTP server and as a fake in unit tests.

#ifndef STAND_INS_MEMBERSHIP_LIST_H_
#define STAND_INS_MEMBERSHIP_LIST_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/ids.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Hosts and faults
//-----------------------------------------------------------------------------

struct ListedHost {
  HostId host{};           // default: empty
  std::string endpoint{};  // default: empty; address, as in "127.0.0.1:9000"
  ZoneId zone{};           // default: empty
  RackId rack{};           // default: empty
  PoolId pool{};           // default: empty
  bool leaving = false;    // default: false, which is state "live"

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

struct MembershipFaults {
  bool down = false;  // default: false; refuse to list
  // The list is never up to date; 1 s shows a reader that relies on it alone.
  Duration lag = std::chrono::seconds(1);  // default: 1 s
};

//-----------------------------------------------------------------------------
// [SECTION] MembershipList
//-----------------------------------------------------------------------------

// Not thread-safe. Changes are made in order of their instants.
class MembershipList {
 public:
  // Adds or replaces the host.
  void Put(ListedHost host, Instant now);
  // Removes the host, if it is there.
  void Remove(const HostId& host, Instant now);

  // Returns the hosts as they were `lag` ago, in order of their names. A list
  // never shows an older state than an earlier one, even if the lag grows.
  // Errors: kUnavailable (down).
  Result<std::vector<ListedHost>> List(Instant now);

  void SetFaults(const MembershipFaults& new_faults) {
    this->faults = new_faults;
  }
  const MembershipFaults& Faults() const { return this->faults; }

 private:
  struct Change {
    Instant at{};                    // default: epoch
    HostId host;                     // default: empty
    std::optional<ListedHost> next;  // default: none, which removes the host
  };

  std::map<HostId, ListedHost> shown;
  std::deque<Change> pending;  // in order of `at`
  MembershipFaults faults;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_MEMBERSHIP_LIST_H_
