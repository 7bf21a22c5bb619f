// The settings tree: the values that operators configured, and the values that
// each node inherits.
//
// Index:
//   [SECTION] Document
//   [SECTION] Faults
//   [SECTION] Views for the daemon
//   [SECTION] Tree
//
// A SettingsDocument is the plain content, which callers may edit. A
// SettingsTree is a completely validated document with its revision and lookup
// tables. To change settings, copy Document(), edit the copy and create a new
// tree.
//
// Paths: "/", "/teams/T", "/pools/P", "/pools/P/teams/T",
// "/pools/P/teams/T/queues/Q"; in faults also "/zones/Z" and "/keys/ID".
// Names consist of lower-case letters, digits, '-' and '_', start with a letter
// or a digit and have at most 63 characters.

#ifndef SRC_STATE_SETTINGS_TREE_H_
#define SRC_STATE_SETTINGS_TREE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/settings_schema.h"
#include "src/state/team_keys.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Document
//-----------------------------------------------------------------------------

// The values that a node sets itself.
using SettingValues = std::map<Setting, std::int64_t>;

enum class ZoneState : std::uint8_t { kIn, kOut };

struct QueueNode {
  SettingValues settings;

  friend bool operator==(const QueueNode&, const QueueNode&) = default;
};

// The settings that a team overrides in one pool, and its queues there.
struct PoolTeamNode {
  SettingValues settings;
  std::map<std::string, QueueNode> queues;  // by name

  friend bool operator==(const PoolTeamNode&, const PoolTeamNode&) = default;
};

struct PoolNode {
  SettingValues settings;
  std::map<TeamId, PoolTeamNode> teams;

  friend bool operator==(const PoolNode&, const PoolNode&) = default;
};

// The fleet-wide settings of a team.
struct TeamNode {
  SettingValues settings;

  friend bool operator==(const TeamNode&, const TeamNode&) = default;
};

struct SettingsDocument {
  SettingValues settings;  // of the root
  std::map<ZoneId, ZoneState> zones;
  std::vector<TeamKey> keys;
  std::map<TeamId, TeamNode> teams;
  std::map<PoolId, PoolNode> pools;

  friend bool operator==(const SettingsDocument&,
                         const SettingsDocument&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// One validation error of a document.
struct SettingsFault {
  std::string path;      // node, as in "/pools/web"
  std::string key;       // setting or field; empty: the node itself
  std::string expected;  // as in "a number from 1 to 9"
  std::optional<std::size_t> key_index;  // faults of a key: its index in `keys`
};

// Returns every fault of the document, in document order.
std::vector<SettingsFault> ValidateSettings(const SettingsDocument& document);

// Returns "PATH: KEY: expected EXPECTED".
std::string FormatFault(const SettingsFault& fault);

// Whether a zone, key, team, pool or queue may have this name.
bool IsValidName(std::string_view name);

//-----------------------------------------------------------------------------
// [SECTION] Views for the daemon
//-----------------------------------------------------------------------------

// A queue with all values, own and inherited.
struct QueueSettings {
  QueueId id;   // "pool.queue"
  PoolId pool;  // pool that runs its tasks
  TeamId team;  // team that owns the queue
  bool open = false;
  Priority priority = Priority::kDaily;
  Duration deadline{};            // of a task whose caller gives none
  std::int64_t max_attempts = 0;  // attempts per idempotent task
  Duration run_time{};            // expected run time of a task
  SlotCount slots_per_task;       // slots on the endpoint

  friend bool operator==(const QueueSettings&, const QueueSettings&) = default;
};

struct TeamSettings {
  TeamId id;
  Share share;        // weight
  PermitCount limit;  // maximum of running tasks

  friend bool operator==(const TeamSettings&, const TeamSettings&) = default;
};

struct PoolSettings {
  PoolId id;
  HostCount max_unavailable;  // maximum of absent hosts
  SurvivedFailure survive = SurvivedFailure::kNone;

  friend bool operator==(const PoolSettings&, const PoolSettings&) = default;
};

struct FleetSettings {
  Duration settings_lease{};  // validity of a freshness proof
  Duration owner_lease{};     // validity of an endpoint's owner lease
  Duration urgent_start{};    // time within which urgent work starts

  friend bool operator==(const FleetSettings&, const FleetSettings&) = default;
};

// A value and its origin.
struct EffectiveValue {
  std::int64_t value = 0;  // encoded as in settings_schema.h
  std::string origin;      // path of the node that sets it, or "default"
};

//-----------------------------------------------------------------------------
// [SECTION] Tree
//-----------------------------------------------------------------------------

// A validated document with its revision. A value type; const access from
// several threads is safe. Pointers and spans are valid until the tree is
// destroyed, moved from or assigned to.
class SettingsTree {
 public:
  // Validates the document completely and sorts its keys by id. Fails with
  // kInvalidArgument; the message lists every fault.
  static Result<SettingsTree> Create(SettingsDocument document,
                                     Revision revision);

  Revision CurrentRevision() const { return this->revision; }
  const SettingsDocument& Document() const { return this->content; }

  // Lookups for the hot path. They do not allocate and return null or false for
  // a name that does not exist.
  const QueueSettings* FindQueue(
      std::string_view address) const;  // "pool.queue"
  const TeamSettings* FindTeam(std::string_view team) const;
  const PoolSettings* FindPool(std::string_view pool) const;
  const TeamKey* FindKey(const KeyDigest& digest) const;
  bool IsZoneIn(std::string_view zone) const;  // unknown zones are out

  const FleetSettings& Fleet() const { return this->fleet; }
  std::span<const QueueSettings> Queues() const { return this->queues; }
  std::span<const TeamSettings> Teams() const { return this->teams; }
  std::span<const PoolSettings> Pools() const { return this->pools; }

  // Returns the value of a setting at a node. Fails with kNotFound for a node
  // that does not exist and with kInvalidArgument for a malformed path or a
  // setting that does not apply to the level of the node.
  Result<EffectiveValue> Effective(std::string_view path,
                                   Setting setting) const;

  // Returns the paths of all nodes, a parent before its children.
  std::vector<std::string> NodePaths() const;

 private:
  SettingsTree() = default;

  SettingsDocument content;           // validated, keys sorted by id
  Revision revision;                  // of the whole document
  FleetSettings fleet;                // settings of the root
  std::vector<QueueSettings> queues;  // sorted by id
  std::vector<TeamSettings> teams;    // sorted by id
  std::vector<PoolSettings> pools;    // sorted by id
};

// Returns the level of a path, or nothing if the path is malformed.
std::optional<SettingsLevel> LevelOfPath(std::string_view path);

}  // namespace peridot

#endif  // SRC_STATE_SETTINGS_TREE_H_
