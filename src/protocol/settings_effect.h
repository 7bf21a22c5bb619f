// Orders the changes between two settings documents by their effect.
//
// Index:
//   [SECTION] Changes by effect
//
// All functions are pure and thread-safe.

#ifndef SRC_PROTOCOL_SETTINGS_EFFECT_H_
#define SRC_PROTOCOL_SETTINGS_EFFECT_H_

#include <cstdint>
#include <vector>

#include "src/protocol/settings_yaml.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Changes by effect
//-----------------------------------------------------------------------------

// Effects of a change, the most immediate first.
enum class ChangeEffect : std::uint8_t {
  kAdmission,  // stops or admits work
  kCapacity,   // changes how much work runs at once
  kTiming,     // changes when work starts or ends
};

// Returns "admission", "capacity" or "timing".
const char* EffectName(ChangeEffect effect);

struct RankedChange {
  ChangeEffect effect = ChangeEffect::kAdmission;
  SettingsChange change;
};

// Orders changes by effect: keys, zones, limits and the existence of teams and
// queues; then pools, shares, budgets, slots and priorities; then times and
// attempts. Changes of one kind keep their order.
std::vector<RankedChange> RankChanges(std::vector<SettingsChange> changes);

}  // namespace peridot

#endif  // SRC_PROTOCOL_SETTINGS_EFFECT_H_
