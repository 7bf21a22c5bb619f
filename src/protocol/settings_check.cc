#include "src/protocol/settings_check.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

#include "src/state/settings_schema.h"

namespace peridot {
namespace {

constexpr std::array<const char*, kFindingKindCount> kKindNames = {
    "syntax",
    "invalid",
    "limit_below_task",
    "team_without_queues",
    "team_without_keys",
    "pool_without_queues",
    "pool_team_without_queues",
    "no_zone_in",
    "zone_without_hosts",
    "zone_not_listed",
    "pool_without_hosts",
    "redundant_value",
    "unused_value",
    "slots_exceed_capacity",
    "shares_exceed_capacity",
    "budget_below_headroom",
    "budget_covers_pool",
    "deadline_below_run_time"};

std::string Count(std::int64_t count, const char* unit) {
  return std::to_string(count) + " " + unit + (count == 1 ? "" : "s");
}

std::string OriginText(const std::string& origin) {
  return origin == "default" ? "the default" : "set at " + origin;
}

std::string TeamPath(const TeamId& team) {
  return "/teams/" + team.value;
}

std::string PoolPath(const PoolId& pool) {
  return "/pools/" + pool.value;
}

std::string QueuePath(const QueueSettings& queue) {
  return PoolPath(queue.pool) + TeamPath(queue.team) + "/queues/" +
         queue.id.value.substr(queue.pool.value.size() + 1);
}

//-----------------------------------------------------------------------------
// [SECTION] Headroom
//-----------------------------------------------------------------------------

// The failure domain of a host.
std::string DomainOf(const KnownHost& host,
                     SurvivedFailure failure,
                     std::size_t index) {
  switch (failure) {
    case SurvivedFailure::kZone:
      return host.zone.value;
    case SurvivedFailure::kRack:
      return host.zone.value + "/" + host.rack.value;
    default:
      return std::to_string(index);
  }
}

// Returns the least headroom that remains while one host is absent: the size of
// the largest domain without that host. Without known hosts a pool is assumed
// to have one host in each of two domains.
std::int64_t LeastHeadroom(const std::vector<const KnownHost*>& hosts,
                           SurvivedFailure failure) {
  if (failure == SurvivedFailure::kNone) {
    return 0;
  }
  if (hosts.empty()) {
    return 1;
  }
  std::map<std::string, std::int64_t> sizes;
  for (std::size_t i = 0; i < hosts.size(); ++i) {
    ++sizes[DomainOf(*hosts[i], failure, i)];
  }
  std::int64_t largest = 0;
  std::int64_t second = 0;
  for (const auto& [domain, size] : sizes) {
    second = std::max(second, std::min(largest, size));
    largest = std::max(largest, size);
  }
  return std::max(largest - 1, second);
}

//-----------------------------------------------------------------------------
// [SECTION] Checker
//-----------------------------------------------------------------------------

class Checker {
 public:
  Checker(const SettingsTree& t, const SettingsLines& l, const KnownHosts& h)
      : tree(t), document(t.Document()), lines(l), hosts(h) {
    for (const KnownHost& host : h) {
      this->members[host.pool].push_back(&host);
    }
    for (const QueueSettings& queue : t.Queues()) {
      this->queues_of_team[queue.team].push_back(&queue);
      this->queues_of_pool[queue.pool].push_back(&queue);
    }
  }

  std::vector<SettingsFinding> Run() {
    this->CheckTeams();
    this->CheckZones();
    this->CheckPools();
    for (const QueueSettings& queue : this->tree.Queues()) {
      this->CheckDeadline(queue);
    }
    this->CollectOrigins();
    this->CheckValues();
    std::ranges::stable_sort(
        this->findings, {}, [](const SettingsFinding& finding) {
          return std::tuple(finding.severity, finding.line, finding.path,
                            finding.setting, finding.kind);
        });
    return std::move(this->findings);
  }

 private:
  void Add(FindingSeverity severity,
           FindingKind kind,
           const std::string& path,
           const std::string& setting,
           std::string message) {
    this->findings.push_back({.severity = severity,
                              .kind = kind,
                              .line = this->lines.Find(path, setting),
                              .path = path,
                              .setting = setting,
                              .message = std::move(message)});
  }

  void Warn(FindingKind kind,
            const std::string& path,
            const char* setting,
            std::string message) {
    this->Add(FindingSeverity::kWarning, kind, path, setting,
              std::move(message));
  }

  // Settings of pools and teams without queues may be prepared for later work,
  // so they are notices.
  void Note(FindingKind kind,
            const std::string& path,
            const char* setting,
            std::string message) {
    this->Add(FindingSeverity::kNotice, kind, path, setting,
              std::move(message));
  }

  //---------------------------------------------------------------------------
  // [SECTION] Teams
  //---------------------------------------------------------------------------

  void CheckTeams() {
    std::set<TeamId> teams_with_keys;
    for (const TeamKey& key : this->document.keys) {
      teams_with_keys.insert(key.team);
    }
    const bool has_open_queue = std::ranges::any_of(
        this->tree.Queues(), [](const auto& queue) { return queue.open; });
    for (const TeamSettings& team : this->tree.Teams()) {
      const bool has_key = teams_with_keys.contains(team.id);
      const auto owned = this->queues_of_team.find(team.id);
      if (owned != this->queues_of_team.end()) {
        this->CheckTeamWithQueues(team, owned->second, has_key);
      } else if (!has_key || !has_open_queue) {
        this->Note(FindingKind::kTeamWithoutQueues, TeamPath(team.id), "",
                   has_key
                       ? "the team has no queue, and no other queue is open "
                         "to its keys"
                       : "the team has neither a queue nor a key");
      }
    }
  }

  void CheckTeamWithQueues(const TeamSettings& team,
                           const std::vector<const QueueSettings*>& queues,
                           bool has_key) {
    const std::string path = TeamPath(team.id);
    const auto count = static_cast<std::int64_t>(queues.size());
    if (team.limit < PermitCount(1)) {
      this->Warn(FindingKind::kLimitBelowTask, path, "limit",
                 "the limit is 0 (" +
                     OriginText(this->OriginOf(path, Setting::kLimit)) +
                     "), so no task of the team's " + Count(count, "queue") +
                     " starts");
    }
    const auto closed = std::ranges::count_if(
        queues, [](const auto* queue) { return !queue->open; });
    if (!has_key && closed > 0) {
      this->Warn(FindingKind::kTeamWithoutKeys, path, "",
                 "the team has no key, so nobody can submit to its " +
                     Count(closed, "closed queue"));
    }
  }

  //---------------------------------------------------------------------------
  // [SECTION] Zones
  //---------------------------------------------------------------------------

  void CheckZones() {
    const auto& zones = this->document.zones;
    const bool has_zone_in = std::ranges::any_of(zones, [](const auto& entry) {
      return entry.second == ZoneState::kIn;
    });
    if (!has_zone_in && !this->tree.Queues().empty()) {
      this->Warn(FindingKind::kNoZoneIn, "/zones", "",
                 "no zone is in, so no task starts anywhere");
    }
    if (this->hosts.empty()) {
      return;
    }
    std::map<ZoneId, std::int64_t> sizes;
    for (const KnownHost& host : this->hosts) {
      ++sizes[host.zone];
    }
    for (const auto& [zone, state] : zones) {
      if (!sizes.contains(zone)) {
        this->Note(FindingKind::kZoneWithoutHosts, "/zones/" + zone.value, "",
                   "the zone has no hosts");
      }
    }
    for (const auto& [zone, size] : sizes) {
      if (!zones.contains(zone)) {
        this->Warn(FindingKind::kZoneNotListed, "/zones/" + zone.value, "",
                   "the zone is not listed and therefore out, but has " +
                       Count(size, "host"));
      }
    }
  }

  //---------------------------------------------------------------------------
  // [SECTION] Pools
  //---------------------------------------------------------------------------

  void CheckPools() {
    for (const PoolSettings& pool : this->tree.Pools()) {
      const std::string path = PoolPath(pool.id);
      const PoolNode& node = this->document.pools.at(pool.id);
      for (const auto& [team, team_node] : node.teams) {
        if (team_node.queues.empty()) {
          this->Note(FindingKind::kPoolTeamWithoutQueues, path + TeamPath(team),
                     "", "the team has no queue in this pool");
        }
      }
      if (!this->queues_of_pool.contains(pool.id)) {
        this->Note(FindingKind::kPoolWithoutQueues, path, "",
                   "the pool has no queue");
      } else if (!this->hosts.empty()) {
        this->CheckCapacity(pool.id, path);
      }
      this->CheckBudget(pool, path);
    }
  }

  void CheckCapacity(const PoolId& pool, const std::string& path) {
    std::int64_t total = 0;
    std::int64_t largest = 0;
    bool has_host = false;
    bool knows_slots = true;
    for (const KnownHost* host : this->members[pool]) {
      if (this->tree.IsZoneIn(host->zone.value)) {
        has_host = true;
        knows_slots = knows_slots && host->slots.has_value();
        const std::int64_t slots = host->slots.value_or(SlotCount()).value;
        total += slots;
        largest = std::max(largest, slots);
      }
    }
    if (!has_host) {
      this->Warn(FindingKind::kPoolWithoutHosts, path, "",
                 "the pool has no host in a zone that is in");
      return;
    }
    if (!knows_slots) {
      return;
    }
    std::map<TeamId, std::int64_t> least_slots;  // of one task of each team
    for (const QueueSettings* queue : this->queues_of_pool[pool]) {
      const std::int64_t slots = queue->slots_per_task.value;
      if (slots > largest) {
        this->Warn(FindingKind::kSlotsExceedCapacity, QueuePath(*queue),
                   "slots_per_task",
                   "a task needs " + Count(slots, "slot") +
                       ", but the largest endpoint of the pool has " +
                       Count(largest, "slot"));
      }
      const auto [entry, is_new] = least_slots.emplace(queue->team, slots);
      entry->second = std::min(entry->second, slots);
    }
    std::int64_t needed = 0;
    for (const auto& [team, slots] : least_slots) {
      needed += slots;
    }
    // A single team that does not fit is reported for each of its queues.
    if (needed > total && least_slots.size() > 1) {
      this->Warn(FindingKind::kSharesExceedCapacity, path, "",
                 "one task of each team needs " + Count(needed, "slot") +
                     ", but the pool has " + Count(total, "slot"));
    }
  }

  // The rule is that of PermitsGrant() in availability_budget.h.
  void CheckBudget(const PoolSettings& pool, const std::string& path) {
    const std::vector<const KnownHost*>& own = this->members[pool.id];
    const auto size = static_cast<std::int64_t>(own.size());
    if (!this->hosts.empty() && size == 0) {
      return;
    }
    const std::int64_t budget = pool.max_unavailable.value;
    const std::int64_t headroom = LeastHeadroom(own, pool.survive);
    if (budget < headroom + 1) {
      this->Warn(
          FindingKind::kBudgetBelowHeadroom, path, "max_unavailable",
          "no host may leave for maintenance: 1 host and a headroom of " +
              Count(headroom, "host") + " exceed the budget of " +
              Count(budget, "host"));
    }
    if (size > 0 && budget >= size) {
      this->Warn(FindingKind::kBudgetCoversPool, path, "max_unavailable",
                 "the budget of " + Count(budget, "host") +
                     " allows all of the pool's " + Count(size, "host") +
                     " to be absent at once");
    }
  }

  //---------------------------------------------------------------------------
  // [SECTION] Values
  //---------------------------------------------------------------------------

  void CheckDeadline(const QueueSettings& queue) {
    if (queue.deadline < queue.run_time) {
      const auto ms = [](Duration duration) {
        return std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(duration)
                .count());
      };
      this->Warn(FindingKind::kDeadlineBelowRunTime, QueuePath(queue),
                 "deadline_ms",
                 "the deadline of " + ms(queue.deadline) +
                     " ms is shorter than the run time of " +
                     ms(queue.run_time) + " ms");
    }
  }

  std::string OriginOf(const std::string& path, Setting setting) const {
    return this->tree.Effective(path, setting).value().origin;
  }

  // Collects the nodes whose values are in effect at some queue or team.
  void CollectOrigins() {
    const auto collect = [this](const std::string& path, SettingsLevel level) {
      for (const SettingSpec& spec : kSettingsSchema) {
        // A setting of a single level is not inherited.
        if (spec.AppliesTo(level) && spec.levels != Levels({level})) {
          this->origins.emplace(this->OriginOf(path, spec.setting),
                                spec.setting);
        }
      }
    };
    for (const QueueSettings& queue : this->tree.Queues()) {
      collect(QueuePath(queue), SettingsLevel::kQueue);
    }
    for (const TeamSettings& team : this->tree.Teams()) {
      collect(TeamPath(team.id), SettingsLevel::kTeam);
    }
  }

  void CheckValues() {
    const std::string root = "/";
    this->CheckNode(root, "", SettingsLevel::kRoot, this->document.settings);
    for (const auto& [team, node] : this->document.teams) {
      this->CheckNode(TeamPath(team), root, SettingsLevel::kTeam,
                      node.settings);
    }
    for (const auto& [pool, pool_node] : this->document.pools) {
      const std::string pool_path = PoolPath(pool);
      this->CheckNode(pool_path, root, SettingsLevel::kPool,
                      pool_node.settings);
      for (const auto& [team, team_node] : pool_node.teams) {
        const std::string team_path = pool_path + TeamPath(team);
        this->CheckNode(team_path, pool_path, SettingsLevel::kPoolTeam,
                        team_node.settings);
        for (const auto& [queue, queue_node] : team_node.queues) {
          std::string path = team_path;
          path.append("/queues/").append(queue);
          this->CheckNode(path, team_path, SettingsLevel::kQueue,
                          queue_node.settings);
        }
      }
    }
  }

  // `parent` is empty for the root.
  void CheckNode(const std::string& path,
                 const std::string& parent,
                 SettingsLevel level,
                 const SettingValues& settings) {
    for (const auto& [setting, value] : settings) {
      const SettingSpec& spec = SpecOf(setting);
      EffectiveValue inherited = {.value = spec.default_value,
                                  .origin = "default"};
      const auto parent_level = LevelOfPath(parent);
      if (parent_level && spec.AppliesTo(*parent_level)) {
        inherited = this->tree.Effective(parent, setting).value();
      }
      if (value == inherited.value) {
        this->Note(FindingKind::kRedundantValue, path, spec.name,
                   "the value equals the inherited value " +
                       FormatSettingValue(spec, value) + " (" +
                       OriginText(inherited.origin) + ")");
      } else if (this->IsInheritable(spec, level) &&
                 !this->origins.contains({path, setting})) {
        this->Note(FindingKind::kUnusedValue, path, spec.name,
                   "no node below inherits the value");
      }
    }
  }

  // Whether a value at this level takes effect only at the nodes below it.
  static bool IsInheritable(const SettingSpec& spec, SettingsLevel level) {
    return level != SettingsLevel::kQueue && level != SettingsLevel::kTeam &&
           spec.levels != Levels({level});
  }

  const SettingsTree& tree;
  const SettingsDocument& document;
  const SettingsLines& lines;
  const KnownHosts& hosts;
  std::map<PoolId, std::vector<const KnownHost*>> members;
  std::map<TeamId, std::vector<const QueueSettings*>> queues_of_team;
  std::map<PoolId, std::vector<const QueueSettings*>> queues_of_pool;
  // Paths of the nodes that set values in effect, with the setting.
  std::set<std::pair<std::string, Setting>> origins;
  std::vector<SettingsFinding> findings;
};

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Public functions
//-----------------------------------------------------------------------------

const char* SeverityName(FindingSeverity severity) {
  switch (severity) {
    case FindingSeverity::kError:
      return "error";
    case FindingSeverity::kWarning:
      return "warning";
    case FindingSeverity::kNotice:
      break;
  }
  return "notice";
}

const char* FindingKindName(FindingKind kind) {
  return kKindNames.at(static_cast<std::size_t>(kind));
}

std::vector<SettingsFinding> FindingsOfFaults(const SettingsText& text) {
  std::vector<SettingsFinding> findings;
  for (const YamlFault& fault : ReportedFaults(text.faults)) {
    SettingsFinding finding;
    finding.kind =
        text.is_readable ? FindingKind::kInvalid : FindingKind::kSyntax;
    finding.line = fault.line;
    // The reader joins the path and the key of a fault with ": ".
    const std::size_t colon = fault.key.find(": ");
    finding.path = fault.key.substr(0, colon);
    if (colon != std::string::npos) {
      finding.setting = fault.key.substr(colon + 2);
    }
    finding.message = "expected " + fault.expected;
    findings.push_back(std::move(finding));
  }
  return findings;
}

std::vector<SettingsFinding> CheckSettings(const SettingsTree& tree,
                                           const SettingsLines& lines,
                                           const KnownHosts& hosts) {
  return Checker(tree, lines, hosts).Run();
}

}  // namespace peridot
