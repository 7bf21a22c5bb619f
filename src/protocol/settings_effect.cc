#include "src/protocol/settings_effect.h"

#include <algorithm>
#include <utility>

#include "src/state/settings_schema.h"
#include "src/state/settings_tree.h"

namespace peridot {
namespace {

//-----------------------------------------------------------------------------
// [SECTION] Ranks of changes
//-----------------------------------------------------------------------------

// Position of a change in the order of effects, and its effect.
struct Rank {
  int position = 0;
  ChangeEffect effect = ChangeEffect::kAdmission;
};

Rank RankOfSetting(Setting setting) {
  switch (setting) {
    case Setting::kLimit:
      return {2, ChangeEffect::kAdmission};
    case Setting::kOpen:
      return {3, ChangeEffect::kAdmission};
    case Setting::kShare:
      return {5, ChangeEffect::kCapacity};
    case Setting::kMaxUnavailable:
    case Setting::kSurvive:
      return {6, ChangeEffect::kCapacity};
    case Setting::kSlotsPerTask:
    case Setting::kPriority:
      return {7, ChangeEffect::kCapacity};
    case Setting::kDeadlineMs:
    case Setting::kMaxAttempts:
    case Setting::kSettingsLeaseMs:
    case Setting::kRunMs:
    case Setting::kOwnerLeaseMs:
    case Setting::kUrgentStartMs:
      break;
  }
  return {8, ChangeEffect::kTiming};
}

Rank RankOf(const SettingsChange& change) {
  if (change.path.starts_with("/keys/")) {
    return {0, ChangeEffect::kAdmission};
  }
  if (change.path.starts_with("/zones/")) {
    return {1, ChangeEffect::kAdmission};
  }
  if (const SettingSpec* spec = FindSetting(change.setting)) {
    return RankOfSetting(spec->setting);
  }
  // The remaining changes add or remove a node.
  return LevelOfPath(change.path) == SettingsLevel::kPool
             ? Rank{4, ChangeEffect::kCapacity}
             : Rank{3, ChangeEffect::kAdmission};
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Public functions
//-----------------------------------------------------------------------------

const char* EffectName(ChangeEffect effect) {
  switch (effect) {
    case ChangeEffect::kAdmission:
      return "admission";
    case ChangeEffect::kCapacity:
      return "capacity";
    case ChangeEffect::kTiming:
      break;
  }
  return "timing";
}

std::vector<RankedChange> RankChanges(std::vector<SettingsChange> changes) {
  std::ranges::stable_sort(changes, {}, [](const SettingsChange& change) {
    return RankOf(change).position;
  });
  std::vector<RankedChange> ranked;
  ranked.reserve(changes.size());
  for (SettingsChange& change : changes) {
    const ChangeEffect effect = RankOf(change).effect;
    ranked.push_back({effect, std::move(change)});
  }
  return ranked;
}

}  // namespace peridot
