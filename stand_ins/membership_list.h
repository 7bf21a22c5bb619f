// Model of the platform's membership list, which lags behind the real state.
//
// Index:
//   [SECTION] Hosts and faults
//   [SECTION] MembershipList
//
// A state machine without I/O or clock: each call gets the current instant, so
// the same model runs behind the stand-in's HTTP server and as a fake in unit
// tests.

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
  HostId host{};
  std::string endpoint{};  // address, as in "127.0.0.1:9000"
  ZoneId zone{};
  RackId rack{};
  PoolId pool{};
  bool leaving = false;  // state "leaving"; false: "live"

  friend bool operator==(const ListedHost&, const ListedHost&) = default;
};

struct MembershipFaults {
  bool down = false;  // every read fails
  // Age of the list. The real list is never up to date; with 1 s a reader that
  // relies on it alone fails visibly.
  Duration lag = std::chrono::seconds(1);
};

//-----------------------------------------------------------------------------
// [SECTION] MembershipList
//-----------------------------------------------------------------------------

// Not thread-safe. The instants of changes must not decrease.
class MembershipList {
 public:
  // Adds or replaces the host.
  void Put(ListedHost host, Instant now);
  // Removes the host; no effect if it is not listed.
  void Remove(const HostId& host, Instant now);

  // Returns the hosts as they were `lag` ago, ordered by name. The state never
  // goes backwards between calls, even if the lag grows.
  // Errors: kUnavailable (down).
  Result<std::vector<ListedHost>> List(Instant now);

  void SetFaults(const MembershipFaults& new_faults) {
    this->faults = new_faults;
  }
  const MembershipFaults& Faults() const { return this->faults; }

 private:
  struct Change {
    Instant at{};
    HostId host;
    std::optional<ListedHost> next;  // none: the host is removed
  };

  std::map<HostId, ListedHost> visible_hosts;
  std::deque<Change> pending;  // in order of `at`
  MembershipFaults faults;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_MEMBERSHIP_LIST_H_
