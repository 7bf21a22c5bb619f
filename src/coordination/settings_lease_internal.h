// Parts of SettingsLease that no caller uses directly.
//
// Index:
//   [SECTION] Proofs and statements
//   [SECTION] Writes
//   [SECTION] Restrictions

#ifndef SRC_COORDINATION_SETTINGS_LEASE_INTERNAL_H_
#define SRC_COORDINATION_SETTINGS_LEASE_INTERNAL_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"

namespace peridot::settings_lease_internal {

//-----------------------------------------------------------------------------
// [SECTION] Proofs and statements
//-----------------------------------------------------------------------------

// No revision later than this one had been accepted at instant `at`.
struct Proof {
  Revision revision;
  Instant at;
};

struct Probe {
  SessionId peer;
  Instant sent;
};

// The peer stated under this registry version, after `sent`, that it has no
// write outstanding. Later replies do not revoke the statement.
struct Statement {
  RegistryVersion version;
  Instant sent;
};

//-----------------------------------------------------------------------------
// [SECTION] Writes
//-----------------------------------------------------------------------------

struct Write {
  std::string operation_id;
  TableTransaction transaction;
  bool changes_settings = true;
  Duration lease{};  // of the revision adopted when the write was sent
  Revision base;     // highest known when the write was started
  Instant older_proofs_expire_at{};  // of the revisions before the base
  std::string text;  // moved into the transaction when it is sent
  Instant started_at{};
  int send_count = 0;  // 0: waiting for the answer to a read
  Instant last_sent{};
  bool resolved = false;
  bool committed = false;
  bool not_sent = false;
  bool reported_in_force = false;
  Revision revision;  // written by it; 0 unless committed
  Instant in_force_at{};
};

//-----------------------------------------------------------------------------
// [SECTION] Restrictions
//-----------------------------------------------------------------------------

struct Restriction {
  int kind = 0;
  std::string subject;
  std::uint64_t value = 0;
  Instant until{};
  bool adopted = false;
};

using RestrictionId = std::pair<SessionId, std::uint64_t>;
// Ended entries stay for another restriction timeout, so that a repeated
// message does not start them again.
using RestrictionTable = std::map<RestrictionId, Restriction>;

}  // namespace peridot::settings_lease_internal

#endif  // SRC_COORDINATION_SETTINGS_LEASE_INTERNAL_H_
