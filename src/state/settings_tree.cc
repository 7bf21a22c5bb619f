#include "src/state/settings_tree.h"

#include <algorithm>
#include <set>
#include <utility>

namespace peridot {
namespace {

constexpr std::size_t kMaxNameLength = 63;
constexpr std::string_view kNameForm =
    "a name of lower-case letters, digits, '-' and '_'";

//-----------------------------------------------------------------------------
// [SECTION] Paths
//-----------------------------------------------------------------------------

std::string TeamPath(const TeamId& team) {
  return std::string("/teams/") + team.value;
}

std::string PoolPath(const PoolId& pool) {
  return std::string("/pools/") + pool.value;
}

std::string PoolTeamPath(const PoolId& pool, const TeamId& team) {
  return PoolPath(pool) + TeamPath(team);
}

std::string QueuePath(const PoolId& pool,
                      const TeamId& team,
                      const std::string& queue) {
  return PoolTeamPath(pool, team) + "/queues/" + queue;
}

// Splits "/a/b" into "a", "b". Returns nothing if a part is empty or the path
// does not start with '/'.
std::optional<std::vector<std::string_view>> SplitPath(std::string_view path) {
  std::vector<std::string_view> parts;
  if (path == "/") {
    return parts;
  }
  while (!path.empty()) {
    if (path.front() != '/') {
      return std::nullopt;
    }
    path.remove_prefix(1);
    const std::string_view part = path.substr(0, path.find('/'));
    if (part.empty()) {
      return std::nullopt;
    }
    parts.push_back(part);
    path.remove_prefix(part.size());
  }
  if (parts.empty()) {
    return std::nullopt;
  }
  return parts;
}

// A path and the settings of its node; null if the node does not exist.
struct Node {
  std::string path;
  const SettingValues* settings = nullptr;
};

// Returns the node of the path and its ancestors, the node first. The settings
// of a node that does not exist are null.
std::vector<Node> NodeAndAncestors(const SettingsDocument& document,
                                   const std::vector<std::string_view>& parts,
                                   SettingsLevel level) {
  std::vector<Node> chain = {{"/", &document.settings}};
  if (level == SettingsLevel::kTeam) {
    const TeamId id{std::string(parts[1])};
    const auto team = document.teams.find(id);
    chain.push_back({TeamPath(id), team == document.teams.end()
                                       ? nullptr
                                       : &team->second.settings});
  }
  if (level >= SettingsLevel::kPool) {
    const PoolId id{std::string(parts[1])};
    const auto pool = document.pools.find(id);
    const PoolNode* pool_node =
        pool == document.pools.end() ? nullptr : &pool->second;
    chain.push_back(
        {PoolPath(id), pool_node == nullptr ? nullptr : &pool_node->settings});
    const PoolTeamNode* team_node = nullptr;
    if (level >= SettingsLevel::kPoolTeam) {
      const TeamId team_id{std::string(parts[3])};
      if (pool_node != nullptr) {
        const auto team = pool_node->teams.find(team_id);
        team_node = team == pool_node->teams.end() ? nullptr : &team->second;
      }
      chain.push_back({PoolTeamPath(id, team_id),
                       team_node == nullptr ? nullptr : &team_node->settings});
      if (level == SettingsLevel::kQueue) {
        const std::string queue_name(parts[5]);
        const SettingValues* settings = nullptr;
        if (team_node != nullptr) {
          const auto queue = team_node->queues.find(queue_name);
          settings = queue == team_node->queues.end() ? nullptr
                                                      : &queue->second.settings;
        }
        chain.push_back({QueuePath(id, team_id, queue_name), settings});
      }
    }
  }
  std::reverse(chain.begin(), chain.end());
  return chain;
}

//-----------------------------------------------------------------------------
// [SECTION] Validation
//-----------------------------------------------------------------------------

class Validator {
 public:
  explicit Validator(const SettingsDocument& d) : document(d) {}

  std::vector<SettingsFault> Run() {
    this->CheckSettings("/", SettingsLevel::kRoot, this->document.settings);
    for (const auto& [zone, state] : this->document.zones) {
      this->CheckName(std::string("/zones/") + zone.value, zone.value);
    }
    this->CheckKeys();
    for (const auto& [team, node] : this->document.teams) {
      this->CheckName(TeamPath(team), team.value);
      this->CheckSettings(TeamPath(team), SettingsLevel::kTeam, node.settings);
    }
    for (const auto& [pool, node] : this->document.pools) {
      this->CheckPool(pool, node);
    }
    return std::move(this->faults);
  }

 private:
  void Add(std::string path, std::string key, std::string expected) {
    this->faults.push_back(
        {std::move(path), std::move(key), std::move(expected), std::nullopt});
  }

  void CheckName(const std::string& path, const std::string& name) {
    if (!IsValidName(name)) {
      this->Add(path, "", std::string(kNameForm));
    }
  }

  void CheckTeamExists(const std::string& path,
                       const std::string& key,
                       const TeamId& team) {
    if (!this->document.teams.contains(team)) {
      this->Add(path, key, "a team that is listed under /teams");
    }
  }

  void CheckSettings(const std::string& path,
                     SettingsLevel level,
                     const SettingValues& settings) {
    for (const auto& [setting, value] : settings) {
      const SettingSpec& spec = SpecOf(setting);
      if (!spec.AppliesTo(level)) {
        this->Add(path, spec.name,
                  std::string("a setting of level ") + LevelName(level));
      } else if (value < spec.min || value > spec.max) {
        this->Add(path, spec.name, ExpectedValue(spec));
      }
    }
  }

  void CheckKeys() {
    std::set<KeyId> ids;
    std::set<std::string> digests;
    for (std::size_t i = 0; i < this->document.keys.size(); ++i) {
      const TeamKey& key = this->document.keys[i];
      const std::size_t first_fault = this->faults.size();
      const std::string path = std::string("/keys/") + key.id.value;
      this->CheckName(path, key.id.value);
      if (!ids.insert(key.id).second) {
        this->Add(path, "id", "an id that no other key has");
      }
      if (!key.IsAdmin()) {
        this->CheckTeamExists(path, "team", key.team);
      }
      if (!digests.insert(key.digest.Hex()).second) {
        this->Add(path, "digest", "a digest that no other key has");
      }
      for (std::size_t f = first_fault; f < this->faults.size(); ++f) {
        this->faults[f].key_index = i;
      }
    }
  }

  void CheckPool(const PoolId& pool, const PoolNode& node) {
    this->CheckName(PoolPath(pool), pool.value);
    this->CheckSettings(PoolPath(pool), SettingsLevel::kPool, node.settings);
    std::set<std::string> queues;
    for (const auto& [team, team_node] : node.teams) {
      const std::string path = PoolTeamPath(pool, team);
      this->CheckTeamExists(path, "", team);
      this->CheckSettings(path, SettingsLevel::kPoolTeam, team_node.settings);
      for (const auto& [queue, queue_node] : team_node.queues) {
        const std::string queue_path = QueuePath(pool, team, queue);
        this->CheckName(queue_path, queue);
        if (!queues.insert(queue).second) {
          this->Add(queue_path, "", "a queue name that is unique in its pool");
        }
        this->CheckSettings(queue_path, SettingsLevel::kQueue,
                            queue_node.settings);
      }
    }
  }

  const SettingsDocument& document;
  std::vector<SettingsFault> faults;
};

//-----------------------------------------------------------------------------
// [SECTION] Views
//-----------------------------------------------------------------------------

// Returns the first value in a list of nodes from the node to the root, or the
// default.
std::int64_t Inherited(std::initializer_list<const SettingValues*> chain,
                       Setting setting) {
  for (const SettingValues* settings : chain) {
    const auto found = settings->find(setting);
    if (found != settings->end()) {
      return found->second;
    }
  }
  return SpecOf(setting).default_value;
}

Duration Milliseconds(std::int64_t value) {
  return std::chrono::milliseconds(value);
}

TeamSettings MakeTeam(const SettingsDocument& document,
                      const TeamId& id,
                      const TeamNode& node) {
  const auto chain = {&node.settings, &document.settings};
  return {.id = id,
          .share = Share(Inherited(chain, Setting::kShare)),
          .limit = PermitCount(Inherited(chain, Setting::kLimit))};
}

PoolSettings MakePool(const SettingsDocument& document,
                      const PoolId& id,
                      const PoolNode& node) {
  const auto chain = {&node.settings, &document.settings};
  return {
      .id = id,
      .max_unavailable = HostCount(Inherited(chain, Setting::kMaxUnavailable)),
      .survive =
          static_cast<SurvivedFailure>(Inherited(chain, Setting::kSurvive))};
}

FleetSettings MakeFleet(const SettingsDocument& document) {
  const auto chain = {&document.settings};
  return {
      .settings_lease =
          Milliseconds(Inherited(chain, Setting::kSettingsLeaseMs)),
      .owner_lease = Milliseconds(Inherited(chain, Setting::kOwnerLeaseMs)),
      .urgent_start = Milliseconds(Inherited(chain, Setting::kUrgentStartMs))};
}

void AppendQueues(const SettingsDocument& document,
                  const PoolId& pool,
                  const PoolNode& pool_node,
                  std::vector<QueueSettings>& queues) {
  for (const auto& [team, team_node] : pool_node.teams) {
    for (const auto& [name, queue] : team_node.queues) {
      const auto chain = {&queue.settings, &team_node.settings,
                          &pool_node.settings, &document.settings};
      queues.push_back(
          {.id = QueueId(pool.value + "." + name),
           .pool = pool,
           .team = team,
           .open = Inherited(chain, Setting::kOpen) != 0,
           .priority =
               static_cast<Priority>(Inherited(chain, Setting::kPriority)),
           .deadline = Milliseconds(Inherited(chain, Setting::kDeadlineMs)),
           .max_attempts = Inherited(chain, Setting::kMaxAttempts),
           .run_time = Milliseconds(Inherited(chain, Setting::kRunMs)),
           .slots_per_task =
               SlotCount(Inherited(chain, Setting::kSlotsPerTask))});
    }
  }
}

// Finds an entry of a vector that is sorted by id.
template <typename T>
const T* FindSorted(const std::vector<T>& entries, std::string_view id) {
  const auto found = std::lower_bound(entries.begin(), entries.end(), id,
                                      [](const T& entry, std::string_view key) {
                                        return entry.id.value < key;
                                      });
  return found != entries.end() && found->id.value == id ? &*found : nullptr;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Public functions
//-----------------------------------------------------------------------------

bool IsValidName(std::string_view name) {
  const auto is_plain = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         is_plain(name.front()) && std::ranges::all_of(name, [&](char c) {
           return is_plain(c) || c == '-' || c == '_';
         });
}

std::vector<SettingsFault> ValidateSettings(const SettingsDocument& document) {
  return Validator(document).Run();
}

std::string FormatFault(const SettingsFault& fault) {
  std::string text = fault.path;
  if (!fault.key.empty()) {
    text.append(": ").append(fault.key);
  }
  return text.append(": expected ").append(fault.expected);
}

std::optional<SettingsLevel> LevelOfPath(std::string_view path) {
  const auto parts = SplitPath(path);
  if (!parts) {
    return std::nullopt;
  }
  const std::vector<std::string_view>& p = *parts;
  if (p.empty()) {
    return SettingsLevel::kRoot;
  }
  if (p.size() == 2 && p[0] == "teams") {
    return SettingsLevel::kTeam;
  }
  if (p[0] != "pools") {
    return std::nullopt;
  }
  if (p.size() == 2) {
    return SettingsLevel::kPool;
  }
  if (p.size() == 4 && p[2] == "teams") {
    return SettingsLevel::kPoolTeam;
  }
  if (p.size() == 6 && p[2] == "teams" && p[4] == "queues") {
    return SettingsLevel::kQueue;
  }
  return std::nullopt;
}

Result<SettingsTree> SettingsTree::Create(SettingsDocument document,
                                          Revision revision) {
  const std::vector<SettingsFault> faults = ValidateSettings(document);
  if (!faults.empty()) {
    std::string message;
    for (const SettingsFault& fault : faults) {
      message.append(message.empty() ? "" : "; ").append(FormatFault(fault));
    }
    return MakeError(ErrorCode::kInvalidArgument, "check", "settings",
                     std::move(message));
  }
  SettingsTree tree;
  tree.content = std::move(document);
  std::ranges::sort(tree.content.keys, {}, &TeamKey::id);
  tree.revision = revision;
  tree.fleet = MakeFleet(tree.content);
  for (const auto& [id, node] : tree.content.teams) {
    tree.teams.push_back(MakeTeam(tree.content, id, node));
  }
  for (const auto& [id, node] : tree.content.pools) {
    tree.pools.push_back(MakePool(tree.content, id, node));
    AppendQueues(tree.content, id, node, tree.queues);
  }
  std::ranges::sort(tree.queues, {}, &QueueSettings::id);
  return tree;
}

const QueueSettings* SettingsTree::FindQueue(std::string_view address) const {
  return FindSorted(this->queues, address);
}

const TeamSettings* SettingsTree::FindTeam(std::string_view team) const {
  return FindSorted(this->teams, team);
}

const PoolSettings* SettingsTree::FindPool(std::string_view pool) const {
  return FindSorted(this->pools, pool);
}

const TeamKey* SettingsTree::FindKey(const KeyDigest& digest) const {
  return FindKeyByDigest(this->content.keys, digest);
}

bool SettingsTree::IsZoneIn(std::string_view zone) const {
  // There are at most a few dozen zones, and a lookup by ZoneId would allocate.
  return std::ranges::any_of(this->content.zones, [&](const auto& entry) {
    return entry.first.value == zone && entry.second == ZoneState::kIn;
  });
}

Result<EffectiveValue> SettingsTree::Effective(std::string_view path,
                                               Setting setting) const {
  const SettingSpec& spec = SpecOf(setting);
  const std::optional<SettingsLevel> level = LevelOfPath(path);
  if (!level) {
    return MakeError(ErrorCode::kInvalidArgument, "explain", "settings",
                     "expected a path as in /pools/P/teams/T/queues/Q, found " +
                         std::string(path));
  }
  const std::vector<Node> chain =
      NodeAndAncestors(this->content, *SplitPath(path), *level);
  if (chain.front().settings == nullptr) {
    return MakeError(ErrorCode::kNotFound, "explain", "settings",
                     "no node " + std::string(path));
  }
  if (!spec.AppliesTo(*level)) {
    return MakeError(ErrorCode::kInvalidArgument, "explain", "settings",
                     std::string(spec.name) + " does not apply to level " +
                         LevelName(*level));
  }
  for (const Node& node : chain) {
    const auto found = node.settings->find(setting);
    if (found != node.settings->end()) {
      return EffectiveValue{found->second, node.path};
    }
  }
  return EffectiveValue{spec.default_value, "default"};
}

std::vector<std::string> SettingsTree::NodePaths() const {
  std::vector<std::string> paths = {"/"};
  for (const auto& [team, node] : this->content.teams) {
    paths.push_back(TeamPath(team));
  }
  for (const auto& [pool, pool_node] : this->content.pools) {
    paths.push_back(PoolPath(pool));
    for (const auto& [team, team_node] : pool_node.teams) {
      paths.push_back(PoolTeamPath(pool, team));
      for (const auto& [queue, queue_node] : team_node.queues) {
        paths.push_back(QueuePath(pool, team, queue));
      }
    }
  }
  return paths;
}

}  // namespace peridot
