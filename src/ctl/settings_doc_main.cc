// Generates docs/operations/settings.md from the settings schema.

#include <iostream>
#include <string>

#include "src/state/settings_schema.h"

namespace peridot {
namespace {

constexpr const char* kHeader = R"(# Settings

This page is generated from `src/state/settings_schema.h` by `scripts/generate`. Do not edit it.

Settings form a tree. A node inherits each value that it does not set from its parent; a value that no node sets has its
default. `peridotctl explain PATH` shows each value with the path of the node that sets it.

| node | path | inherits from |
|---|---|---|
| root | `/` | the default |
| team | `/teams/T` | root |
| pool | `/pools/P` | root |
| pool team | `/pools/P/teams/T` | pool |
| queue | `/pools/P/teams/T/queues/Q` | pool team |

| name | may be set at | unit | values | default | description |
|---|---|---|---|---|---|
)";

std::string LevelNames(const SettingSpec& spec) {
  std::string names;
  for (const SettingsLevel level :
       {SettingsLevel::kRoot, SettingsLevel::kTeam, SettingsLevel::kPool,
        SettingsLevel::kPoolTeam, SettingsLevel::kQueue}) {
    if (spec.AppliesTo(level)) {
      names.append(names.empty() ? "" : ", ").append(LevelName(level));
    }
  }
  return names;
}

std::string Values(const SettingSpec& spec) {
  if (spec.type == SettingType::kInteger) {
    return std::to_string(spec.min) + " to " + std::to_string(spec.max);
  }
  std::string values;
  for (std::int64_t value = spec.min; value <= spec.max; ++value) {
    values.append(values.empty() ? "`" : ", `")
        .append(FormatSettingValue(spec, value))
        .append("`");
  }
  return values;
}

void PrintPage(std::ostream& out) {
  out << kHeader;
  for (const SettingSpec& spec : kSettingsSchema) {
    out << "| `" << spec.name << "` | " << LevelNames(spec) << " | "
        << spec.unit << " | " << Values(spec) << " | `"
        << FormatSettingValue(spec, spec.default_value) << "` | "
        << spec.description << " |\n";
  }
}

}  // namespace
}  // namespace peridot

int main() {
  peridot::PrintPage(std::cout);
  return std::cout.good() ? 0 : 1;
}
