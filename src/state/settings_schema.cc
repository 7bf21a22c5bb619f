#include "src/state/settings_schema.h"

#include <charconv>

namespace peridot {

const SettingSpec* FindSetting(std::string_view name) {
  for (const SettingSpec& spec : kSettingsSchema) {
    if (spec.name == name) {
      return &spec;
    }
  }
  return nullptr;
}

const char* LevelName(SettingsLevel level) {
  switch (level) {
    case SettingsLevel::kRoot:
      return "root";
    case SettingsLevel::kTeam:
      return "team";
    case SettingsLevel::kPool:
      return "pool";
    case SettingsLevel::kPoolTeam:
      return "pool team";
    case SettingsLevel::kQueue:
      return "queue";
  }
  return "";
}

std::string ExpectedValue(const SettingSpec& spec) {
  switch (spec.type) {
    case SettingType::kBoolean:
      return "true or false";
    case SettingType::kChoice: {
      std::string text = "one of";
      const char* separator = " ";
      for (const char* word : spec.choices) {
        text.append(separator).append(word);
        separator = ", ";
      }
      return text;
    }
    case SettingType::kInteger:
      break;
  }
  std::string text = "a number from " + std::to_string(spec.min) + " to " +
                     std::to_string(spec.max);
  if (*spec.unit != '\0') {
    text.append(" (").append(spec.unit).append(")");
  }
  return text;
}

std::optional<std::int64_t> ParseSettingValue(const SettingSpec& spec,
                                              std::string_view text) {
  if (spec.type == SettingType::kBoolean) {
    if (text != "true" && text != "false") {
      return std::nullopt;
    }
    return text == "true" ? 1 : 0;
  }
  if (spec.type == SettingType::kChoice) {
    for (std::size_t i = 0; i < spec.choices.size(); ++i) {
      if (spec.choices[i] == text) {
        return static_cast<std::int64_t>(i);
      }
    }
    return std::nullopt;
  }
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, value);
  if (error != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

std::string FormatSettingValue(const SettingSpec& spec, std::int64_t value) {
  if (spec.type == SettingType::kBoolean) {
    return value != 0 ? "true" : "false";
  }
  if (spec.type == SettingType::kChoice && value >= 0 &&
      value < static_cast<std::int64_t>(spec.choices.size())) {
    return spec.choices[static_cast<std::size_t>(value)];
  }
  return std::to_string(value);
}

}  // namespace peridot
