// Tests of the settings tree: inheritance, validation and lookups.

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "src/state/settings_tree.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

SettingsDocument Example() {
  SettingsDocument document;
  document.settings = {{Setting::kDeadlineMs, 5000}, {Setting::kLimit, 7}};
  document.zones = {{ZoneId("z1"), ZoneState::kIn},
                    {ZoneId("z2"), ZoneState::kOut}};
  document.teams[TeamId("counts")].settings = {{Setting::kShare, 3}};
  document.teams[TeamId("rebuilds")].settings = {{Setting::kLimit, 9}};
  document.keys = {{KeyId("k1"), TeamId("counts"), DigestKeyText("1")},
                   {KeyId("k2"), TeamId("_admin"), DigestKeyText("2")}};
  PoolNode& pool = document.pools[PoolId("web")];
  pool.settings = {{Setting::kRunMs, 20}, {Setting::kMaxUnavailable, 4}};
  PoolTeamNode& team = pool.teams[TeamId("counts")];
  team.settings = {{Setting::kRunMs, 30}};
  team.queues["hourly"].settings = {
      {Setting::kOpen, 1},
      {Setting::kPriority, static_cast<std::int64_t>(Priority::kUrgent)}};
  return document;
}

SettingsTree Tree(const SettingsDocument& document) {
  return SettingsTree::Create(document, Revision(4)).value();
}

// Faults of a document as text, one per line.
std::string Faults(const SettingsDocument& document) {
  std::string text;
  for (const SettingsFault& fault : ValidateSettings(document)) {
    text += FormatFault(fault) + "\n";
  }
  return text;
}

//-----------------------------------------------------------------------------
// [SECTION] Simple implementation of inheritance
//-----------------------------------------------------------------------------

// The values of every node by path, as a plain map.
using FlatTree = std::map<std::string, SettingValues>;

FlatTree Flatten(const SettingsDocument& document) {
  FlatTree flat = {{"/", document.settings}};
  for (const auto& [team, node] : document.teams) {
    flat[std::string("/teams/") + team.value] = node.settings;
  }
  for (const auto& [pool, pool_node] : document.pools) {
    const std::string pool_path = std::string("/pools/") + pool.value;
    flat[pool_path] = pool_node.settings;
    for (const auto& [team, team_node] : pool_node.teams) {
      const std::string team_path = pool_path + "/teams/" + team.value;
      flat[team_path] = team_node.settings;
      for (const auto& [queue, queue_node] : team_node.queues) {
        flat[team_path + "/queues/" + queue] = queue_node.settings;
      }
    }
  }
  return flat;
}

// Looks up the node, then its parent, whose path is two parts shorter.
EffectiveValue NaiveEffective(const FlatTree& flat,
                              const std::string& path,
                              Setting setting) {
  const SettingValues& own = flat.at(path);
  if (own.contains(setting)) {
    return {own.at(setting), path};
  }
  if (path == "/") {
    return {SpecOf(setting).default_value, "default"};
  }
  const std::string parent =
      path.substr(0, path.rfind('/', path.rfind('/') - 1));
  return NaiveEffective(flat, parent.empty() ? "/" : parent, setting);
}

SettingValues RandomValues(std::mt19937_64& random, SettingsLevel level) {
  SettingValues values;
  for (const SettingSpec& spec : kSettingsSchema) {
    if (spec.AppliesTo(level) && random() % 3 == 0) {
      const auto range = static_cast<std::uint64_t>(spec.max - spec.min + 1);
      values[spec.setting] =
          spec.min + static_cast<std::int64_t>(random() % range);
    }
  }
  return values;
}

SettingsDocument RandomDocument(std::mt19937_64& random) {
  SettingsDocument document;
  document.settings = RandomValues(random, SettingsLevel::kRoot);
  for (std::uint64_t t = random() % 4; t > 0; --t) {
    document.teams[TeamId(std::string("t") + std::to_string(t))].settings =
        RandomValues(random, SettingsLevel::kTeam);
  }
  for (std::uint64_t p = random() % 4; p > 0; --p) {
    PoolNode& pool =
        document.pools[PoolId(std::string("p") + std::to_string(p))];
    pool.settings = RandomValues(random, SettingsLevel::kPool);
    for (const auto& [team, node] : document.teams) {
      if (random() % 2 == 0) {
        PoolTeamNode& pool_team = pool.teams[team];
        pool_team.settings = RandomValues(random, SettingsLevel::kPoolTeam);
        for (std::uint64_t q = random() % 3; q > 0; --q) {
          pool_team.queues[team.value + "q" + std::to_string(q)].settings =
              RandomValues(random, SettingsLevel::kQueue);
        }
      }
    }
  }
  return document;
}

TEST_CASE("inheritance equals a simple recursive implementation",
          "[settings]") {
  // Guards against a skipped level and against a wrong origin.
  std::mt19937_64 random(20261204);
  std::size_t compared = 0;
  for (int round = 0; round < 1000; ++round) {
    const SettingsDocument document = RandomDocument(random);
    const SettingsTree tree = Tree(document);
    const FlatTree flat = Flatten(document);
    REQUIRE(tree.NodePaths().size() == flat.size());
    for (const std::string& path : tree.NodePaths()) {
      for (const SettingSpec& spec : kSettingsSchema) {
        const auto value = tree.Effective(path, spec.setting);
        REQUIRE(value.has_value() == spec.AppliesTo(*LevelOfPath(path)));
        if (value.has_value()) {
          const auto naive = NaiveEffective(flat, path, spec.setting);
          REQUIRE(value.value().value == naive.value);
          REQUIRE(value.value().origin == naive.origin);
          ++compared;
        }
      }
    }
    for (const QueueSettings& queue : tree.Queues()) {
      const std::string path =
          std::string("/pools/") + queue.pool.value + "/teams/" +
          queue.team.value + "/queues/" +
          queue.id.value.substr(queue.pool.value.size() + 1);
      const auto naive = [&](Setting setting) {
        return NaiveEffective(flat, path, setting).value;
      };
      REQUIRE(queue.open == (naive(Setting::kOpen) != 0));
      REQUIRE(static_cast<std::int64_t>(queue.priority) ==
              naive(Setting::kPriority));
      REQUIRE(queue.deadline == milliseconds(naive(Setting::kDeadlineMs)));
      REQUIRE(queue.max_attempts == naive(Setting::kMaxAttempts));
      REQUIRE(queue.run_time == milliseconds(naive(Setting::kRunMs)));
      REQUIRE(queue.slots_per_task.value == naive(Setting::kSlotsPerTask));
      REQUIRE(tree.FindQueue(queue.id.value) == &queue);
    }
  }
  REQUIRE(compared > 10'000);
}

//-----------------------------------------------------------------------------
// [SECTION] Lookups
//-----------------------------------------------------------------------------

TEST_CASE("the daemon's lookups return inherited values", "[settings]") {
  const SettingsTree tree = Tree(Example());
  REQUIRE(tree.CurrentRevision() == Revision(4));
  const QueueSettings* queue = tree.FindQueue("web.hourly");
  REQUIRE(queue != nullptr);
  REQUIRE(queue->team == TeamId("counts"));
  REQUIRE(queue->open);
  REQUIRE(queue->priority == Priority::kUrgent);
  REQUIRE(queue->deadline == milliseconds(5000));
  REQUIRE(queue->run_time == milliseconds(30));
  REQUIRE(tree.FindQueue("web.hourl") == nullptr);
  REQUIRE(tree.FindTeam("counts")->limit == PermitCount(7));
  REQUIRE(tree.FindTeam("counts")->share == Share(3));
  REQUIRE(tree.FindTeam("rebuilds")->limit == PermitCount(9));
  REQUIRE(tree.FindTeam("_admin") == nullptr);
  REQUIRE(tree.FindPool("web")->max_unavailable == HostCount(4));
  REQUIRE(tree.FindKey(DigestKeyText("1"))->team == TeamId("counts"));
  REQUIRE(tree.FindKey(DigestKeyText("3")) == nullptr);
  REQUIRE(tree.Fleet().settings_lease == milliseconds(1500));
}

TEST_CASE("a zone is in only if it is listed as in", "[settings]") {
  // A zone that operators forgot to list must not start tasks.
  const SettingsTree tree = Tree(Example());
  REQUIRE(tree.IsZoneIn("z1"));
  REQUIRE_FALSE(tree.IsZoneIn("z2"));
  REQUIRE_FALSE(tree.IsZoneIn("z3"));
}

TEST_CASE("a copy of a tree keeps its lookups", "[settings]") {
  auto original = std::make_unique<SettingsTree>(Tree(Example()));
  const SettingsTree copy = *original;
  original.reset();
  REQUIRE(copy.FindQueue("web.hourly")->pool == PoolId("web"));
  REQUIRE(copy.FindKey(DigestKeyText("2"))->IsAdmin());
}

TEST_CASE("explain rejects malformed paths and settings of another level",
          "[settings]") {
  const SettingsTree tree = Tree(Example());
  for (const char* path :
       {"", "pools", "/pools", "//", "/pools/", "/pools/web/", "/zones/z1",
        "/pools/web/teams", "/teams/counts/queues/hourly"}) {
    REQUIRE(tree.Effective(path, Setting::kRunMs).error().code ==
            ErrorCode::kInvalidArgument);
  }
  REQUIRE(tree.Effective("/pools/none/teams/a/queues/b", Setting::kRunMs)
              .error()
              .code == ErrorCode::kNotFound);
  REQUIRE(tree.Effective("/pools/web", Setting::kLimit).error().code ==
          ErrorCode::kInvalidArgument);
}

//-----------------------------------------------------------------------------
// [SECTION] Validation
//-----------------------------------------------------------------------------

TEST_CASE("names are restricted", "[settings]") {
  REQUIRE(IsValidName("z1-a_b"));
  REQUIRE(IsValidName(std::string(63, 'a')));
  for (const std::string& name :
       {std::string(), std::string("_admin"), std::string("A"),
        std::string("a.b"), std::string("a/b"), std::string(64, 'a')}) {
    REQUIRE_FALSE(IsValidName(name));
  }
}

TEST_CASE("the error of a rejected document lists every fault", "[settings]") {
  SettingsDocument document = Example();
  document.settings[Setting::kSettingsLeaseMs] = 5001;
  document.teams[TeamId("_admin")];
  document.teams[TeamId("counts")].settings[Setting::kRunMs] = 1;
  document.keys.push_back(
      {KeyId("k1"), TeamId("none"), document.keys[0].digest});
  PoolNode& pool = document.pools[PoolId("web")];
  pool.teams[TeamId("other")].settings[Setting::kLimit] = 3;
  pool.teams[TeamId("rebuilds")].queues["hourly"];
  REQUIRE(
      Faults(document) ==
      "/: settings_lease_ms: expected a number from 500 to 5000 (ms)\n"
      "/keys/k1: id: expected an id that no other key has\n"
      "/keys/k1: team: expected a team that is listed under /teams\n"
      "/keys/k1: digest: expected a digest that no other key has\n"
      "/teams/_admin: expected a name of lower-case letters, digits, '-' and "
      "'_'\n"
      "/teams/counts: run_ms: expected a setting of level team\n"
      "/pools/web/teams/other: expected a team that is listed under /teams\n"
      "/pools/web/teams/other: limit: expected a setting of level pool team\n"
      "/pools/web/teams/rebuilds/queues/hourly: expected a queue name that is "
      "unique in its pool\n");
  REQUIRE(SettingsTree::Create(document, Revision(1)).error().code ==
          ErrorCode::kInvalidArgument);
}

TEST_CASE("every setting is checked against its bounds", "[settings]") {
  for (const SettingSpec& spec : kSettingsSchema) {
    for (const std::int64_t value :
         {spec.min - 1, spec.min, spec.max, spec.max + 1}) {
      SettingsDocument document = Example();
      PoolNode& pool = document.pools[PoolId("web")];
      PoolTeamNode& team = pool.teams[TeamId("counts")];
      SettingValues& settings =
          spec.AppliesTo(SettingsLevel::kRoot)   ? document.settings
          : spec.AppliesTo(SettingsLevel::kPool) ? pool.settings
                                                 : team.queues["q"].settings;
      settings[spec.setting] = value;
      const bool inside = value >= spec.min && value <= spec.max;
      REQUIRE(ValidateSettings(document).empty() == inside);
    }
    REQUIRE(spec.default_value >= spec.min);
    REQUIRE(spec.default_value <= spec.max);
  }
}

}  // namespace
}  // namespace peridot
