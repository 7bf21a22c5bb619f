// The schema of the settings: a table with the name, levels, type, bounds and
// default of each setting.
//
// Index:
//   [SECTION] Names
//   [SECTION] Schema
//   [SECTION] Table
//   [SECTION] Lookup and text
//
// The YAML reader and writer, the inheritance and the generated settings
// reference for operators use this table. A new setting is one entry in Setting
// and one row here.
//
// A value of any type is held as a 64-bit number: an integer as itself, a
// boolean as 0 or 1, a choice as the index of its name.

#ifndef SRC_STATE_SETTINGS_SCHEMA_H_
#define SRC_STATE_SETTINGS_SCHEMA_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Names
//-----------------------------------------------------------------------------

enum class Setting : std::uint8_t {
  kShare,
  kLimit,
  kOpen,
  kDeadlineMs,
  kMaxAttempts,
  kPriority,
  kMaxUnavailable,
  kSurvive,
  kSettingsLeaseMs,
  kRunMs,
  kSlotsPerTask,
  kOwnerLeaseMs,
  kUrgentStartMs,
};

// Kinds of node in the tree. The path of a node determines its level.
enum class SettingsLevel : std::uint8_t {
  kRoot,      // "/"
  kTeam,      // "/teams/T"
  kPool,      // "/pools/P"
  kPoolTeam,  // "/pools/P/teams/T"
  kQueue,     // "/pools/P/teams/T/queues/Q"
};

enum class Priority : std::uint8_t { kUrgent, kDaily, kRebuild };

// The failure for which a pool keeps headroom.
enum class SurvivedFailure : std::uint8_t { kNone, kHost, kRack, kZone };

//-----------------------------------------------------------------------------
// [SECTION] Schema
//-----------------------------------------------------------------------------

enum class SettingType : std::uint8_t { kInteger, kBoolean, kChoice };

// A set of levels, as bits.
using LevelSet = std::uint8_t;

constexpr LevelSet Levels(std::initializer_list<SettingsLevel> levels) {
  LevelSet set = 0;
  for (const SettingsLevel level : levels) {
    set = static_cast<LevelSet>(set | (1U << static_cast<unsigned>(level)));
  }
  return set;
}

// One row of the schema.
struct SettingSpec {
  Setting setting;                       // equals the row's index
  const char* name;                      // as in the YAML document
  LevelSet levels;                       // where it may be set
  SettingType type;                      // how its text is parsed
  const char* unit;                      // empty: a plain number or a choice
  std::int64_t min;                      // lowest value allowed
  std::int64_t max;                      // highest value allowed
  std::int64_t default_value;            // value if no node sets it
  std::span<const char* const> choices;  // names by index; empty unless kChoice
  const char* description;               // one sentence for the reference

  constexpr bool AppliesTo(SettingsLevel level) const {
    return (this->levels & Levels({level})) != 0;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

inline constexpr std::array<const char*, 3> kPriorityNames = {"urgent", "daily",
                                                              "rebuild"};
inline constexpr std::array<const char*, 4> kSurviveNames = {"none", "host",
                                                             "rack", "zone"};

// Share and limit apply fleet-wide; the root may set them for every team.
inline constexpr LevelSet kTeamLevels =
    Levels({SettingsLevel::kRoot, SettingsLevel::kTeam});

// The nodes that a queue inherits from. "/teams/T" is not one of them.
inline constexpr LevelSet kWorkLevels =
    Levels({SettingsLevel::kRoot, SettingsLevel::kPool,
            SettingsLevel::kPoolTeam, SettingsLevel::kQueue});

inline constexpr LevelSet kRootLevel = Levels({SettingsLevel::kRoot});
inline constexpr LevelSet kPoolLevel = Levels({SettingsLevel::kPool});
inline constexpr LevelSet kQueueLevel = Levels({SettingsLevel::kQueue});

inline constexpr std::int64_t kDayMs = 86'400'000;

// clang-format off
inline constexpr std::array<SettingSpec, 13> kSettingsSchema = {{
    {Setting::kShare, "share", kTeamLevels, SettingType::kInteger, "",
     1, 1'000'000, 1, {},
     "Weight of the team in the division of capacity under full load."},
    {Setting::kLimit, "limit", kTeamLevels, SettingType::kInteger,
     "running tasks", 0, 1'000'000, 0, {},
     "Fleet-wide maximum of running tasks of the team; at 0 nothing starts."},
    {Setting::kOpen, "open", kQueueLevel, SettingType::kBoolean, "",
     0, 1, 0, {},
     "Whether the queue accepts the key of any team instead of its own only."},
    {Setting::kDeadlineMs, "deadline_ms", kWorkLevels, SettingType::kInteger,
     "ms", 10, kDayMs, 60'000, {},
     "Deadline of a task whose caller gives none."},
    {Setting::kMaxAttempts, "max_attempts", kWorkLevels, SettingType::kInteger,
     "attempts", 1, 10, 3, {},
     "Maximum of attempts per idempotent task, each on a different worker."},
    {Setting::kPriority, "priority", kQueueLevel, SettingType::kChoice, "",
     0, 2, static_cast<std::int64_t>(Priority::kDaily), kPriorityNames,
     "Order in which queues are served; rebuilds wait but finish."},
    {Setting::kMaxUnavailable, "max_unavailable", kPoolLevel,
     SettingType::kInteger, "hosts", 0, 10'000, 1, {},
     "Availability budget: maximum of absent hosts of the pool."},
    {Setting::kSurvive, "survive", kPoolLevel, SettingType::kChoice, "",
     0, 3, static_cast<std::int64_t>(SurvivedFailure::kNone), kSurviveNames,
     "The failure for which the pool keeps headroom."},
    {Setting::kSettingsLeaseMs, "settings_lease_ms", kRootLevel,
     SettingType::kInteger, "ms", 500, 5'000, 1'500, {},
     "Time for which a daemon may act on settings after proving them current."},
    {Setting::kRunMs, "run_ms", kWorkLevels, SettingType::kInteger, "ms",
     1, kDayMs, 1'000, {},
     "Expected run time of a task."},
    {Setting::kSlotsPerTask, "slots_per_task", kQueueLevel,
     SettingType::kInteger, "slots", 1, 64, 1, {},
     "Slots that one task occupies on its endpoint."},
    {Setting::kOwnerLeaseMs, "owner_lease_ms", kRootLevel,
     SettingType::kInteger, "ms", 500, 30'000, 2'000, {},
     "Duration of a daemon's exclusive right to use an endpoint."},
    {Setting::kUrgentStartMs, "urgent_start_ms", kRootLevel,
     SettingType::kInteger, "ms", 100, 10'000, 1'100, {},
     "Time within which urgent work is to start."},
}};
// clang-format on

inline constexpr std::size_t kSettingCount = kSettingsSchema.size();

constexpr bool IsSchemaInOrder() {
  for (std::size_t i = 0; i < kSettingCount; ++i) {
    if (static_cast<std::size_t>(kSettingsSchema[i].setting) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsSchemaInOrder(), "a row's index is its Setting");

//-----------------------------------------------------------------------------
// [SECTION] Lookup and text
//-----------------------------------------------------------------------------

constexpr const SettingSpec& SpecOf(Setting setting) {
  return kSettingsSchema[static_cast<std::size_t>(setting)];
}

// Returns null for a name that is not in the schema.
const SettingSpec* FindSetting(std::string_view name);

// Returns "root", "team", "pool", "pool team" or "queue".
const char* LevelName(SettingsLevel level);

// Returns what a value must be, as in "a number from 1 to 10".
std::string ExpectedValue(const SettingSpec& spec);

// Parses a value. Returns nothing if the text has another type. A number is
// returned even if it is outside its bounds.
std::optional<std::int64_t> ParseSettingValue(const SettingSpec& spec,
                                              std::string_view text);

// Formats a value so that ParseSettingValue() reads it back. Precondition: the
// value is within its bounds.
std::string FormatSettingValue(const SettingSpec& spec, std::int64_t value);

}  // namespace peridot

#endif  // SRC_STATE_SETTINGS_SCHEMA_H_
