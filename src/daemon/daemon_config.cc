#include "src/daemon/daemon_config.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <system_error>
#include <utility>
#include <vector>

#include "src/protocol/yaml_node.h"
#include "src/state/settings_tree.h"

namespace peridot {
namespace {

constexpr std::array<const char*, 4> kLogLevelNames = {"debug", "info", "warn",
                                                       "error"};

// Each function sets a field from its text and returns false if the text is not
// valid.
bool ReadName(const std::string& text, std::string& name) {
  name = text;
  return IsValidName(text);
}

bool ReadAddress(const std::string& text, SocketAddress& address) {
  Result<SocketAddress> parsed = SocketAddress::Parse(text);
  if (parsed.has_error()) {
    return false;
  }
  address = std::move(parsed).value();
  return true;
}

bool ReadDigest(const std::string& text, KeyDigest& digest) {
  const Result<KeyDigest> parsed = KeyDigest::ParseHex(text);
  if (parsed.has_error()) {
    return false;
  }
  digest = parsed.value();
  return true;
}

bool ReadLogLevel(const std::string& text, LogLevel& level) {
  for (std::size_t i = 0; i < kLogLevelNames.size(); ++i) {
    if (text == kLogLevelNames[i]) {
      level = static_cast<LogLevel>(i);
      return true;
    }
  }
  return false;
}

// Reads a number from 1 to 1,000,000.
template <std::size_t DaemonConfig::*kField>
bool ReadCount(const std::string& text, DaemonConfig& config) {
  std::size_t count = 0;
  const char* const end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, count);
  config.*kField = count;
  return error == std::errc() && rest == end && count >= 1 &&
         count <= 1'000'000;
}

// One key of the file, how it is parsed and the expected value for errors.
struct FieldSpec {
  const char* name;
  const char* expected;
  bool required;
  bool (*read)(const std::string& text, DaemonConfig& config);
};

constexpr const char* kExpectedName = "a name of lower-case letters and digits";

constexpr const char* kExpectedCount = "a number from 1 to 1000000";

template <SocketAddress DaemonConfig::*kField>
bool ReadAddressField(const std::string& text, DaemonConfig& config) {
  return ReadAddress(text, config.*kField);
}

constexpr std::array<FieldSpec, 11> kFields = {{
    {"daemon", kExpectedName, true,
     [](const std::string& text, DaemonConfig& config) {
       return ReadName(text, config.daemon.value);
     }},
    {"zone", kExpectedName, true,
     [](const std::string& text, DaemonConfig& config) {
       return ReadName(text, config.zone.value);
     }},
    {"listen", kExpectedSocketAddress, true,
     ReadAddressField<&DaemonConfig::listen>},
    {"peer_listen", kExpectedSocketAddress, true,
     ReadAddressField<&DaemonConfig::peer_listen>},
    {"table", kExpectedSocketAddress, true,
     ReadAddressField<&DaemonConfig::table>},
    {"objects", kExpectedSocketAddress, true,
     ReadAddressField<&DaemonConfig::objects>},
    {"membership", kExpectedSocketAddress, true,
     ReadAddressField<&DaemonConfig::membership>},
    {"admin_key_digest", "64 hexadecimal digits", true,
     [](const std::string& text, DaemonConfig& config) {
       return ReadDigest(text, config.admin_key_digest);
     }},
    {"log_level", "one of debug, info, warn, error", false,
     [](const std::string& text, DaemonConfig& config) {
       return ReadLogLevel(text, config.log_level);
     }},
    {"memory_mb", kExpectedCount, false, ReadCount<&DaemonConfig::memory_mb>},
    {"max_descriptors", kExpectedCount, false,
     ReadCount<&DaemonConfig::max_descriptors>},
}};

const FieldSpec* FindField(std::string_view name) {
  for (const FieldSpec& field : kFields) {
    if (field.name == name) {
      return &field;
    }
  }
  return nullptr;
}

std::string AllFieldNames() {
  std::string text = "one of";
  const char* separator = " ";
  for (const FieldSpec& field : kFields) {
    text.append(separator).append(field.name);
    separator = ", ";
  }
  return text;
}

}  // namespace

Result<DaemonConfig> DaemonConfig::Parse(std::string_view text,
                                         std::string_view file) {
  if (text.size() > kMaxDaemonConfigBytes) {
    return MakeError(ErrorCode::kTooLarge, "parse", std::string(file),
                     std::string(file) + ": expected at most " +
                         std::to_string(kMaxDaemonConfigBytes) + " bytes");
  }
  YamlDocument yaml = ReadYaml(text);
  std::vector<YamlFault>& faults = yaml.faults;
  if (yaml.root.kind != YamlKind::kMapping) {
    if (faults.empty()) {
      faults.push_back({1, "", "a mapping"});
    }
    return MakeYamlError(file, std::move(faults));
  }
  DaemonConfig config;
  std::set<std::string_view> seen;
  for (const YamlNode& entry : yaml.root.children) {
    const FieldSpec* field = FindField(entry.key);
    if (field == nullptr) {
      faults.push_back({entry.key_line, entry.key, AllFieldNames()});
      continue;
    }
    seen.insert(field->name);
    if (entry.kind != YamlKind::kScalar || !field->read(entry.text, config)) {
      faults.push_back({entry.line, entry.key, field->expected});
    }
  }
  for (const FieldSpec& field : kFields) {
    if (field.required && !seen.contains(field.name)) {
      faults.push_back({1, field.name, field.expected});
    }
  }
  if (!faults.empty()) {
    return MakeYamlError(file, std::move(faults));
  }
  return config;
}

Result<DaemonConfig> DaemonConfig::Load(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  // Reads one byte more than allowed, so that Parse() detects a file that is
  // too large.
  std::string text(kMaxDaemonConfigBytes + 1, '\0');
  input.read(text.data(), static_cast<std::streamsize>(text.size()));
  if (!input.is_open() || input.bad()) {
    return MakeError(ErrorCode::kNotFound, "read", path, "cannot read " + path);
  }
  text.resize(static_cast<std::size_t>(input.gcount()));
  return Parse(text, path);
}

}  // namespace peridot
