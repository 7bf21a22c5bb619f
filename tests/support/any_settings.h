// Generators of valid settings documents for property tests.
//
// Index:
//   [SECTION] Generators

#ifndef TESTS_SUPPORT_ANY_SETTINGS_H_
#define TESTS_SUPPORT_ANY_SETTINGS_H_

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

#include "src/state/settings_tree.h"
#include "src/state/team_keys.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Generators
//-----------------------------------------------------------------------------

// Often generates names that YAML could read as another type.
inline rc::Gen<std::string> AnyName() {
  return rc::gen::weightedOneOf<std::string>(
      {{1, rc::gen::elementOf(std::vector<std::string>{
               "null", "true", "no", "1", "0x1", "1e3", "y", "007", "in"})},
       {3, rc::gen::suchThat(
               rc::gen::container<std::string>(
                   rc::gen::elementOf(std::string("abz019-_"))),
               [](const std::string& name) { return IsValidName(name); })}});
}

inline SettingValues AnyValues(SettingsLevel level) {
  SettingValues values;
  for (const SettingSpec& spec : kSettingsSchema) {
    if (spec.AppliesTo(level) && *rc::gen::arbitrary<bool>()) {
      values[spec.setting] =
          *rc::gen::inRange<std::int64_t>(spec.min, spec.max + 1);
    }
  }
  return values;
}

inline SettingsDocument AnyDocument() {
  SettingsDocument document;
  document.settings = AnyValues(SettingsLevel::kRoot);
  const auto names =
      *rc::gen::resize(5, rc::gen::unique<std::vector<std::string>>(AnyName()));
  for (const std::string& name : names) {
    document.zones[ZoneId(name)] =
        *rc::gen::elementOf(std::vector{ZoneState::kIn, ZoneState::kOut});
    document.teams[TeamId(name)].settings = AnyValues(SettingsLevel::kTeam);
    document.keys.push_back({KeyId(name), TeamId(name), DigestKeyText(name)});
    PoolNode& pool = document.pools[PoolId(name)];
    pool.settings = AnyValues(SettingsLevel::kPool);
    PoolTeamNode& team = pool.teams[TeamId(name)];
    team.settings = AnyValues(SettingsLevel::kPoolTeam);
    for (const std::string& queue : names) {
      team.queues[queue].settings = AnyValues(SettingsLevel::kQueue);
    }
  }
  return document;
}

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_ANY_SETTINGS_H_
