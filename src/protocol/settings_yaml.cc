#include "src/protocol/settings_yaml.h"

#include <yaml-cpp/emitter.h>
#include <yaml-cpp/emittermanip.h>

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

#include "src/protocol/yaml_node.h"

namespace peridot {
namespace {

// Space for the two keys that a row has in addition to the document.
constexpr std::size_t kMaxRowHeaderBytes = 1024;
constexpr std::size_t kMaxOperationIdLength = 128;

const char* ZoneStateName(ZoneState state) {
  return state == ZoneState::kIn ? "in" : "out";
}

//-----------------------------------------------------------------------------
// [SECTION] Reader
//-----------------------------------------------------------------------------

// The keys that a row has in addition to the document.
struct RowHeader {
  std::optional<std::uint64_t> revision;
  std::optional<std::string> operation_id;
};

// Converts nodes to a document and records the line of each path and key.
class SettingsReader {
 public:
  explicit SettingsReader(bool is_row) : expects_row(is_row) {}

  SettingsText Read(std::string_view text, Revision revision) {
    SettingsText result;
    YamlDocument yaml = ReadYaml(text);
    this->faults = std::move(yaml.faults);
    const bool is_mapping = yaml.root.kind == YamlKind::kMapping;
    result.is_readable = is_mapping && this->faults.empty();
    if (is_mapping) {
      this->ReadRoot(yaml.root);
      this->AddContentFaults();
    } else if (this->faults.empty()) {
      this->Fault(1, "", "a mapping of settings");
    }
    if (this->faults.empty()) {
      if (this->expects_row) {
        revision = Revision(*this->header.revision);
      }
      auto tree = SettingsTree::Create(std::move(this->document), revision);
      if (tree.has_value()) {
        result.tree = std::move(tree).value();
      } else {
        this->Fault(1, "", tree.error().message);
      }
    }
    result.faults = std::move(this->faults);
    result.lines = std::move(this->lines);
    return result;
  }

  const RowHeader& Header() const { return this->header; }

 private:
  void Fault(int line, std::string key, std::string expected) {
    this->faults.push_back({line, std::move(key), std::move(expected)});
  }

  // Adds the lines to the faults that the state layer reports by path and key.
  void AddContentFaults() {
    for (const SettingsFault& fault : ValidateSettings(this->document)) {
      const std::string path =
          fault.key_index ? KeyPosition(*fault.key_index) : fault.path;
      this->Fault(
          std::max(1, this->lines.Find(path, fault.key)),
          fault.key.empty() ? fault.path : fault.path + ": " + fault.key,
          fault.expected);
    }
  }

  // Returns whether the node has entries to read. A node without content, such
  // as "counts:", is an empty mapping.
  bool ExpectMapping(const YamlNode& node, const std::string& path) {
    if (node.kind != YamlKind::kMapping && node.kind != YamlKind::kNull) {
      this->Fault(node.line, path, "a mapping");
    }
    return node.kind == YamlKind::kMapping;
  }

  void ReadRoot(const YamlNode& root) {
    for (const YamlNode& entry : root.children) {
      if (entry.key == "zones") {
        this->ReadZones(entry);
      } else if (entry.key == "keys") {
        this->ReadKeys(entry);
      } else if (entry.key == "teams") {
        this->ReadTeams(entry);
      } else if (entry.key == "pools") {
        this->ReadPools(entry);
      } else if (this->expects_row && entry.key == "revision") {
        this->ReadRevision(entry);
      } else if (this->expects_row && entry.key == "operation_id") {
        this->ReadOperationId(entry);
      } else {
        this->ReadSetting("/", SettingsLevel::kRoot, entry,
                          "zones, keys, teams, pools", this->document.settings);
      }
    }
    if (this->expects_row && !this->header.revision) {
      this->Fault(1, "revision", "a revision number");
    }
    if (this->expects_row && !this->header.operation_id) {
      this->Fault(1, "operation_id", "an operation id");
    }
  }

  void ReadRevision(const YamlNode& entry) {
    std::uint64_t value = 0;
    const char* end = entry.text.data() + entry.text.size();
    const auto [stop, error] = std::from_chars(entry.text.data(), end, value);
    if (entry.IsPlain() && error == std::errc() && stop == end) {
      this->header.revision = value;
    }
  }

  void ReadOperationId(const YamlNode& entry) {
    if (entry.kind == YamlKind::kScalar &&
        entry.text.size() <= kMaxOperationIdLength) {
      this->header.operation_id = entry.text;
    }
  }

  // Reads a setting, or reports a key that is neither a setting of the schema
  // nor one of the node's other keys.
  void ReadSetting(const std::string& path,
                   SettingsLevel level,
                   const YamlNode& entry,
                   std::string_view other_keys,
                   SettingValues& settings) {
    const SettingSpec* spec = FindSetting(entry.key);
    const std::string where = path + ": " + entry.key;
    if (spec == nullptr) {
      this->Fault(entry.key_line, where, KnownKeys(level, other_keys));
      return;
    }
    this->lines.Set(path, entry.key, entry.key_line);
    const auto value =
        entry.IsPlain() ? ParseSettingValue(*spec, entry.text) : std::nullopt;
    if (!value) {
      this->Fault(entry.line, where, ExpectedValue(*spec));
      return;
    }
    settings[spec->setting] = *value;
  }

  static std::string KnownKeys(SettingsLevel level,
                               std::string_view other_keys) {
    std::string text = "one of ";
    for (const SettingSpec& spec : kSettingsSchema) {
      if (spec.AppliesTo(level)) {
        text.append(spec.name).append(", ");
      }
    }
    text.append(other_keys);
    if (other_keys.empty()) {
      text.resize(text.size() - 2);
    }
    return text;
  }

  void ReadZones(const YamlNode& zones) {
    this->lines.Set("/zones", "", zones.key_line);
    if (!this->ExpectMapping(zones, "/zones")) {
      return;
    }
    for (const YamlNode& entry : zones.children) {
      const std::string path = "/zones/" + entry.key;
      this->lines.Set(path, "", entry.key_line);
      if (!entry.IsPlain() || (entry.text != "in" && entry.text != "out")) {
        this->Fault(entry.line, path, "in or out");
        continue;
      }
      this->document.zones[ZoneId(entry.key)] =
          entry.text == "in" ? ZoneState::kIn : ZoneState::kOut;
    }
  }

  void ReadKeys(const YamlNode& keys) {
    if (keys.kind == YamlKind::kNull) {
      return;
    }
    if (keys.kind != YamlKind::kSequence) {
      this->Fault(keys.line, "/keys", "a list of keys");
      return;
    }
    for (const YamlNode& entry : keys.children) {
      this->ReadKey(entry);
    }
  }

  void ReadKey(const YamlNode& node) {
    if (node.kind != YamlKind::kMapping) {
      this->Fault(node.line, "/keys", "a mapping of id, team and digest");
      return;
    }
    std::map<std::string, const YamlNode*> fields = {
        {"id", nullptr}, {"team", nullptr}, {"digest", nullptr}};
    bool is_complete = true;
    for (const YamlNode& field : node.children) {
      const auto known = fields.find(field.key);
      if (known == fields.end()) {
        this->Fault(field.key_line, "/keys: " + field.key,
                    "one of id, team, digest");
      } else if (field.kind != YamlKind::kScalar) {
        this->Fault(field.line, "/keys: " + field.key, "a text");
        is_complete = false;
      } else {
        known->second = &field;
      }
    }
    for (const auto& [name, field] : fields) {
      if (field == nullptr && is_complete) {
        this->Fault(node.line, "/keys", "a key with " + name);
        is_complete = false;
      }
    }
    if (is_complete) {
      this->AddKey(*fields["id"], *fields["team"], *fields["digest"]);
    }
  }

  // Two keys with the same id have the same path, so the lines of keys are
  // recorded by position.
  static std::string KeyPosition(std::size_t index) {
    return std::string("/keys/#") + std::to_string(index);
  }

  void AddKey(const YamlNode& id,
              const YamlNode& team,
              const YamlNode& digest_node) {
    const std::string path = "/keys/" + id.text;
    const Result<KeyDigest> digest = KeyDigest::ParseHex(digest_node.text);
    if (digest.has_error()) {
      this->Fault(digest_node.line, path + ": digest", "64 hexadecimal digits");
      return;
    }
    const std::string position = KeyPosition(this->document.keys.size());
    this->lines.Set(position, "", id.key_line);
    this->lines.Set(position, "team", team.key_line);
    this->lines.Set(position, "digest", digest_node.key_line);
    this->document.keys.push_back(
        {KeyId(id.text), TeamId(team.text), digest.value()});
  }

  void ReadTeams(const YamlNode& teams) {
    if (!this->ExpectMapping(teams, "/teams")) {
      return;
    }
    for (const YamlNode& team : teams.children) {
      const std::string path = "/teams/" + team.key;
      this->lines.Set(path, "", team.key_line);
      TeamNode& node = this->document.teams[TeamId(team.key)];
      if (!this->ExpectMapping(team, path)) {
        continue;
      }
      for (const YamlNode& entry : team.children) {
        this->ReadSetting(path, SettingsLevel::kTeam, entry, "", node.settings);
      }
    }
  }

  void ReadPools(const YamlNode& pools) {
    if (!this->ExpectMapping(pools, "/pools")) {
      return;
    }
    for (const YamlNode& pool : pools.children) {
      const std::string path = "/pools/" + pool.key;
      this->lines.Set(path, "", pool.key_line);
      PoolNode& node = this->document.pools[PoolId(pool.key)];
      if (!this->ExpectMapping(pool, path)) {
        continue;
      }
      for (const YamlNode& entry : pool.children) {
        if (entry.key == "teams") {
          this->ReadPoolTeams(path, entry, node);
        } else {
          this->ReadSetting(path, SettingsLevel::kPool, entry, "teams",
                            node.settings);
        }
      }
    }
  }

  void ReadPoolTeams(const std::string& pool_path,
                     const YamlNode& teams,
                     PoolNode& pool) {
    if (!this->ExpectMapping(teams, pool_path + "/teams")) {
      return;
    }
    for (const YamlNode& team : teams.children) {
      const std::string path = pool_path + "/teams/" + team.key;
      this->lines.Set(path, "", team.key_line);
      PoolTeamNode& node = pool.teams[TeamId(team.key)];
      if (!this->ExpectMapping(team, path)) {
        continue;
      }
      for (const YamlNode& entry : team.children) {
        if (entry.key == "queues") {
          this->ReadQueues(path, entry, node);
        } else {
          this->ReadSetting(path, SettingsLevel::kPoolTeam, entry, "queues",
                            node.settings);
        }
      }
    }
  }

  void ReadQueues(const std::string& team_path,
                  const YamlNode& queues,
                  PoolTeamNode& team) {
    if (!this->ExpectMapping(queues, team_path + "/queues")) {
      return;
    }
    for (const YamlNode& queue : queues.children) {
      const std::string path = team_path + "/queues/" + queue.key;
      this->lines.Set(path, "", queue.key_line);
      QueueNode& node = team.queues[queue.key];
      if (!this->ExpectMapping(queue, path)) {
        continue;
      }
      for (const YamlNode& entry : queue.children) {
        this->ReadSetting(path, SettingsLevel::kQueue, entry, "",
                          node.settings);
      }
    }
  }

  bool expects_row;  // whether the row's keys are required
  RowHeader header;
  SettingsDocument document;
  std::vector<YamlFault> faults;
  SettingsLines lines;
};

//-----------------------------------------------------------------------------
// [SECTION] Writer
//-----------------------------------------------------------------------------

class SettingsWriter {
 public:
  void Begin() { this->out << YAML::BeginMap; }

  std::string End() {
    this->out << YAML::EndMap;
    return std::string(this->out.c_str()) + "\n";
  }

  template <typename T>
  void Pair(const char* key, const T& value) {
    this->out << YAML::Key << key << YAML::Value << value;
  }

  void WriteContent(const SettingsDocument& document) {
    this->WriteSettings(document.settings);
    if (!document.zones.empty()) {
      this->out << YAML::Key << "zones" << YAML::Value << YAML::BeginMap;
      for (const auto& [zone, state] : document.zones) {
        this->Pair(zone.value.c_str(), ZoneStateName(state));
      }
      this->out << YAML::EndMap;
    }
    this->WriteKeys(document.keys);
    if (!document.teams.empty()) {
      this->out << YAML::Key << "teams" << YAML::Value << YAML::BeginMap;
      for (const auto& [team, node] : document.teams) {
        this->OpenNode(team.value);
        this->WriteSettings(node.settings);
        this->out << YAML::EndMap;
      }
      this->out << YAML::EndMap;
    }
    if (!document.pools.empty()) {
      this->out << YAML::Key << "pools" << YAML::Value << YAML::BeginMap;
      for (const auto& [pool, node] : document.pools) {
        this->WritePool(pool, node);
      }
      this->out << YAML::EndMap;
    }
  }

 private:
  void OpenNode(const std::string& name) {
    this->out << YAML::Key << name << YAML::Value << YAML::BeginMap;
  }

  void WriteSettings(const SettingValues& settings) {
    for (const auto& [setting, value] : settings) {
      const SettingSpec& spec = SpecOf(setting);
      this->out << YAML::Key << spec.name << YAML::Value;
      if (spec.type == SettingType::kInteger) {
        this->out << value;
      } else if (spec.type == SettingType::kBoolean) {
        this->out << (value != 0);
      } else {
        this->out << FormatSettingValue(spec, value);
      }
    }
  }

  void WriteKeys(std::vector<TeamKey> keys) {
    if (keys.empty()) {
      return;
    }
    std::ranges::sort(keys, {}, &TeamKey::id);
    this->out << YAML::Key << "keys" << YAML::Value << YAML::BeginSeq;
    for (const TeamKey& key : keys) {
      this->out << YAML::BeginMap;
      this->Pair("id", key.id.value);
      this->Pair("team", key.team.value);
      this->Pair("digest", key.digest.Hex());
      this->out << YAML::EndMap;
    }
    this->out << YAML::EndSeq;
  }

  void WritePool(const PoolId& pool, const PoolNode& node) {
    this->OpenNode(pool.value);
    this->WriteSettings(node.settings);
    if (!node.teams.empty()) {
      this->out << YAML::Key << "teams" << YAML::Value << YAML::BeginMap;
      for (const auto& [team, team_node] : node.teams) {
        this->WritePoolTeam(team, team_node);
      }
      this->out << YAML::EndMap;
    }
    this->out << YAML::EndMap;
  }

  void WritePoolTeam(const TeamId& team, const PoolTeamNode& node) {
    this->OpenNode(team.value);
    this->WriteSettings(node.settings);
    if (!node.queues.empty()) {
      this->out << YAML::Key << "queues" << YAML::Value << YAML::BeginMap;
      for (const auto& [queue, queue_node] : node.queues) {
        this->OpenNode(queue);
        this->WriteSettings(queue_node.settings);
        this->out << YAML::EndMap;
      }
      this->out << YAML::EndMap;
    }
    this->out << YAML::EndMap;
  }

  YAML::Emitter out;
};

//-----------------------------------------------------------------------------
// [SECTION] Flattened form
//-----------------------------------------------------------------------------

// Text of each value by path and setting.
using FlatSettings = std::map<std::pair<std::string, std::string>, std::string>;

void FlattenNode(const std::string& path,
                 const SettingValues& settings,
                 FlatSettings& flat) {
  flat[{path, "node"}] = "present";
  for (const auto& [setting, value] : settings) {
    const SettingSpec& spec = SpecOf(setting);
    flat[{path, spec.name}] = FormatSettingValue(spec, value);
  }
}

FlatSettings Flatten(const SettingsDocument& document) {
  FlatSettings flat;
  FlattenNode("/", document.settings, flat);
  for (const auto& [zone, state] : document.zones) {
    flat[{"/zones/" + zone.value, "state"}] = ZoneStateName(state);
  }
  for (const TeamKey& key : document.keys) {
    flat[{"/keys/" + key.id.value, "team"}] = key.team.value;
    flat[{"/keys/" + key.id.value, "digest"}] = key.digest.Hex();
  }
  for (const auto& [team, node] : document.teams) {
    FlattenNode("/teams/" + team.value, node.settings, flat);
  }
  for (const auto& [pool, pool_node] : document.pools) {
    const std::string pool_path = "/pools/" + pool.value;
    FlattenNode(pool_path, pool_node.settings, flat);
    for (const auto& [team, team_node] : pool_node.teams) {
      const std::string team_path = pool_path + "/teams/" + team.value;
      FlattenNode(team_path, team_node.settings, flat);
      for (const auto& [queue, queue_node] : team_node.queues) {
        std::string path = team_path;
        path.append("/queues/").append(queue);
        FlattenNode(path, queue_node.settings, flat);
      }
    }
  }
  return flat;
}

Error TooLarge(std::string_view file) {
  return MakeError(ErrorCode::kTooLarge, "parse", std::string(file),
                   std::string(file) + ": expected at most " +
                       std::to_string(kMaxSettingsBytes) + " bytes");
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Public functions
//-----------------------------------------------------------------------------

int SettingsLines::Find(const std::string& path, const std::string& key) const {
  auto line = this->lines.find({path, key});
  if (line == this->lines.end()) {
    line = this->lines.find({path, ""});
  }
  return line == this->lines.end() ? 0 : line->second;
}

SettingsText ReadSettingsText(std::string_view text, Revision revision) {
  if (text.size() > kMaxSettingsBytes) {
    SettingsText result;
    result.faults.push_back(
        {1, "", "at most " + std::to_string(kMaxSettingsBytes) + " bytes"});
    return result;
  }
  return SettingsReader(false).Read(text, revision);
}

Result<SettingsTree> ParseSettings(std::string_view text,
                                   std::string_view file,
                                   Revision revision) {
  if (text.size() > kMaxSettingsBytes) {
    return TooLarge(file);
  }
  SettingsText read = SettingsReader(false).Read(text, revision);
  if (!read.tree) {
    return MakeYamlError(file, std::move(read.faults));
  }
  return *std::move(read.tree);
}

std::string FormatSettings(const SettingsDocument& document) {
  SettingsWriter writer;
  writer.Begin();
  writer.WriteContent(document);
  return writer.End();
}

Result<SettingsRow> ParseSettingsRow(std::string_view value) {
  constexpr std::string_view kRowName = "settings row";
  if (value.size() > kMaxSettingsBytes + kMaxRowHeaderBytes) {
    return TooLarge(kRowName);
  }
  SettingsReader reader(true);
  SettingsText read = reader.Read(value, Revision());
  if (!read.tree) {
    return MakeYamlError(kRowName, std::move(read.faults));
  }
  return SettingsRow{*std::move(read.tree), *reader.Header().operation_id};
}

Result<std::string> FormatSettingsRow(const SettingsRow& row) {
  if (row.operation_id.size() > kMaxOperationIdLength) {
    return MakeError(ErrorCode::kInvalidArgument, "format", "settings row",
                     "operation id is too long");
  }
  if (FormatSettings(row.tree.Document()).size() > kMaxSettingsBytes) {
    return TooLarge("settings row");
  }
  SettingsWriter writer;
  writer.Begin();
  writer.Pair("revision", row.tree.CurrentRevision().value);
  writer.Pair("operation_id", row.operation_id);
  writer.WriteContent(row.tree.Document());
  return writer.End();
}

std::vector<SettingsChange> DiffSettings(const SettingsDocument& from,
                                         const SettingsDocument& to) {
  const FlatSettings old = Flatten(from);
  const FlatSettings fresh = Flatten(to);
  std::vector<SettingsChange> changes;
  for (const auto& [where, text] : old) {
    const auto now = fresh.find(where);
    if (now == fresh.end()) {
      changes.push_back({where.first, where.second, text, std::nullopt});
    } else if (now->second != text) {
      changes.push_back({where.first, where.second, text, now->second});
    }
  }
  for (const auto& [where, text] : fresh) {
    if (!old.contains(where)) {
      changes.push_back({where.first, where.second, std::nullopt, text});
    }
  }
  std::ranges::sort(changes, {}, [](const SettingsChange& change) {
    return std::pair(change.path, change.setting);
  });
  return changes;
}

}  // namespace peridot
