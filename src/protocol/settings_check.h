// Analysis of settings before they are applied.
//
// Index:
//   [SECTION] Findings
//   [SECTION] Fleet
//   [SECTION] Check
//
// Settings can be valid and still have no effect or contradict each other. The
// kinds of findings are documented for operators in
// docs/operations/peridotctl.md.
//
// All functions are pure and thread-safe.

#ifndef SRC_PROTOCOL_SETTINGS_CHECK_H_
#define SRC_PROTOCOL_SETTINGS_CHECK_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/protocol/settings_yaml.h"
#include "src/protocol/yaml_node.h"
#include "src/state/ids.h"
#include "src/state/settings_tree.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Findings
//-----------------------------------------------------------------------------

enum class FindingSeverity : std::uint8_t {
  kError,    // the daemon rejects the document
  kWarning,  // work does not run, or limits contradict each other
  kNotice,   // an entry has no effect
};

enum class FindingKind : std::uint8_t {
  kSyntax,          // not YAML, or no mapping of settings
  kInvalid,         // rejected by the schema or by the validation
  kLimitBelowTask,  // the limit of a team with queues is 0
  kTeamWithoutQueues,
  kTeamWithoutKeys,
  kPoolWithoutQueues,
  kPoolTeamWithoutQueues,
  kNoZoneIn,
  kZoneWithoutHosts,
  kZoneNotListed,  // hosts in a zone that the document does not list
  kPoolWithoutHosts,
  kRedundantValue,        // equals the inherited value
  kUnusedValue,           // no node below inherits it
  kSlotsExceedCapacity,   // a task needs more slots than any endpoint has
  kSharesExceedCapacity,  // a pool cannot run one task of each of its teams
  kBudgetBelowHeadroom,   // no host may leave for maintenance
  kBudgetCoversPool,      // all hosts may be absent at once
  kDeadlineBelowRunTime,
};

inline constexpr std::size_t kFindingKindCount =
    static_cast<std::size_t>(FindingKind::kDeadlineBelowRunTime) + 1;

struct SettingsFinding {
  FindingSeverity severity = FindingSeverity::kError;
  FindingKind kind = FindingKind::kInvalid;
  int line = 0;         // first line is 1; 0: not in the text
  std::string path;     // node, as in "/pools/web"
  std::string setting;  // setting or field; empty: the node itself
  std::string message;  // for the operator

  friend bool operator==(const SettingsFinding&,
                         const SettingsFinding&) = default;
};

// Returns "error", "warning" or "notice".
const char* SeverityName(FindingSeverity severity);

// Returns a stable lower-case name, as in "limit_below_task".
const char* FindingKindName(FindingKind kind);

//-----------------------------------------------------------------------------
// [SECTION] Fleet
//-----------------------------------------------------------------------------

struct KnownHost {
  PoolId pool;
  ZoneId zone;
  RackId rack;
  std::optional<SlotCount> slots;  // none: not known
};

// The hosts of the fleet, or none if they are not known.
using KnownHosts = std::vector<KnownHost>;

//-----------------------------------------------------------------------------
// [SECTION] Check
//-----------------------------------------------------------------------------

// Returns the faults of a rejected text as errors, ordered by line, or nothing
// if the text has no faults. There are at most kMaxReportedFaults.
std::vector<SettingsFinding> FindingsOfFaults(const SettingsText& text);

// Returns the findings of valid settings, ordered by severity, line, path,
// setting and kind. Findings about hosts need a non-empty list of hosts; those
// about slots need the slots of every usable host of the pool.
std::vector<SettingsFinding> CheckSettings(const SettingsTree& tree,
                                           const SettingsLines& lines,
                                           const KnownHosts& hosts);

}  // namespace peridot

#endif  // SRC_PROTOCOL_SETTINGS_CHECK_H_
