// Tests of the settings check: each kind of finding with a valid counterpart,
// random documents and texts, and the order of changes.

#include "src/protocol/settings_check.h"

#include <rapidcheck.h>
#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "src/protocol/settings_effect.h"
#include "tests/support/any_settings.h"

namespace peridot {
namespace {

std::string Key(const std::string& team) {
  return "{id: k-" + team + ", team: " + team +
         ", digest: " + DigestKeyText(team).Hex() + "}";
}

// A document that has no findings, line by line.
struct Parts {
  std::string root;                                            // line 1
  std::string zones = "{z1: in}";                              // line 2
  std::string keys = "[" + Key("a") + "]";                     // line 3
  std::string teams = "{a: {limit: 5}}";                       // line 4
  std::string pools = "{p: {teams: {a: {queues: {q: {}}}}}}";  // line 5
  KnownHosts hosts;

  std::string Text() const {
    return this->root + "\nzones: " + this->zones + "\nkeys: " + this->keys +
           "\nteams: " + this->teams + "\npools: " + this->pools + "\n";
  }
};

KnownHost Host(const char* pool,
               const char* zone,
               const char* rack,
               std::optional<SlotCount> slots = SlotCount(8)) {
  return {PoolId(pool), ZoneId(zone), RackId(rack), slots};
}

std::vector<SettingsFinding> FindingsOf(const Parts& parts) {
  const SettingsText text = ReadSettingsText(parts.Text(), Revision(1));
  return text.tree ? CheckSettings(*text.tree, text.lines, parts.hosts)
                   : FindingsOfFaults(text);
}

//-----------------------------------------------------------------------------
// [SECTION] Kinds of findings
//-----------------------------------------------------------------------------

// A document with exactly one finding, and a similar one without findings.
struct Case {
  FindingKind kind;
  FindingSeverity severity;
  int line;
  const char* path;
  const char* setting;
  Parts wrong;
  Parts valid;
};

const std::string kTwoTeams = "{a: {limit: 5}, b: {limit: 5}}";
const std::string kTwoKeys = "[" + Key("a") + ", " + Key("b") + "]";

std::string Queue(const std::string& settings, const std::string& pool = "") {
  return "{p: {" + pool + "teams: {a: {queues: {q: {" + settings + "}}}}}}";
}

std::string TwoQueues(const std::string& settings) {
  return "{p: {teams: {a: {queues: {q: {" + settings +
         "}}}, b: {queues: {r: {" + settings + "}}}}}}";
}

const KnownHost kHost = Host("p", "z1", "r1");

std::vector<Case> Cases() {
  using enum FindingKind;
  using enum FindingSeverity;
  const char* queue = "/pools/p/teams/a/queues/q";
  const Parts valid;
  const std::string other = "{p: {teams: {a: {queues: {q: {}}}}}, r: ";
  const KnownHosts racks = {kHost, kHost, Host("p", "z1", "r2"),
                            Host("p", "z1", "r2")};
  std::vector<Case> cases;
  const auto add = [&](FindingKind kind, FindingSeverity severity, int line,
                       const char* path, const char* setting,
                       const Parts& wrong, const Parts& correct) {
    cases.push_back({kind, severity, line, path, setting, wrong, correct});
  };
  add(kInvalid, kError, 1, "/", "run_ms", {.root = "run_ms: 0"},
      {.root = "run_ms: 1"});
  add(kInvalid, kError, 1, "/", "foo", {.root = "foo: 1"}, valid);
  // A key of an unknown team.
  add(kInvalid, kError, 3, "/keys/k-b", "team", {.keys = kTwoKeys},
      {.keys = kTwoKeys, .teams = kTwoTeams, .pools = TwoQueues("")});
  add(kSyntax, kError, 1, "", "", {.root = "]"}, valid);
  add(kLimitBelowTask, kWarning, 4, "/teams/a", "limit", {.teams = "{a: }"},
      {.teams = "{a: {limit: 1}}"});
  add(kTeamWithoutQueues, kNotice, 4, "/teams/b", "", {.teams = kTwoTeams},
      {.keys = kTwoKeys, .teams = kTwoTeams, .pools = TwoQueues("")});
  add(kTeamWithoutQueues, kNotice, 4, "/teams/b", "",
      {.keys = kTwoKeys, .teams = kTwoTeams},
      {.keys = kTwoKeys, .teams = kTwoTeams, .pools = Queue("open: true")});
  add(kTeamWithoutKeys, kWarning, 4, "/teams/a", "", {.keys = "[]"},
      {.keys = "[]", .pools = Queue("open: true")});
  add(kPoolWithoutQueues, kNotice, 5, "/pools/r", "", {.pools = other + "}"},
      {.pools = other + "{teams: {a: {queues: {q: }}}}}"});
  add(kPoolTeamWithoutQueues, kNotice, 5, "/pools/r/teams/a", "",
      {.keys = kTwoKeys,
       .teams = kTwoTeams,
       .pools = other + "{teams: {a: , b: {queues: {q: }}}}}"},
      {.keys = kTwoKeys,
       .teams = kTwoTeams,
       .pools = other + "{teams: {a: {queues: {s: }}, b: {queues: {q: }}}}}"});
  add(kNoZoneIn, kWarning, 2, "/zones", "", {.zones = "{z1: out}"},
      {.zones = "{z1: out, z2: in}"});
  add(kZoneWithoutHosts, kNotice, 2, "/zones/z2", "",
      {.zones = "{z1: in, z2: in}", .hosts = {kHost, kHost}},
      {.zones = "{z1: in, z2: in}", .hosts = {kHost, Host("p", "z2", "r1")}});
  add(kZoneNotListed, kWarning, 0, "/zones/z2", "",
      {.hosts = {kHost, Host("p", "z2", "r1")}},
      {.hosts = {kHost, Host("p", "z1", "r1")}});
  add(kPoolWithoutHosts, kWarning, 5, "/pools/p", "",
      {.hosts = {Host("r", "z1", "r1")}}, {.hosts = {kHost, kHost}});
  add(kPoolWithoutHosts, kWarning, 5, "/pools/p", "",
      {.zones = "{z1: out, z2: in}",
       .hosts = {kHost, kHost, Host("r", "z2", "r1")}},
      {.zones = "{z1: out, z2: in}",
       .hosts = {kHost, kHost, Host("p", "z2", "r1")}});
  add(kRedundantValue, kNotice, 1, "/", "run_ms", {.root = "run_ms: 1000"},
      {.root = "run_ms: 999"});
  add(kRedundantValue, kNotice, 5, queue, "run_ms",
      {.pools = Queue("run_ms: 7}, r: {", "run_ms: 7, ")},
      {.pools = Queue("run_ms: 8}, r: {", "run_ms: 7, ")});
  add(kUnusedValue, kNotice, 5, "/pools/p", "run_ms",
      {.pools = Queue("run_ms: 8", "run_ms: 7, ")},
      {.pools = Queue("run_ms: 8}, r: {", "run_ms: 7, ")});
  add(kUnusedValue, kNotice, 1, "/", "share",
      {.root = "share: 2", .teams = "{a: {limit: 5, share: 3}}"},
      {.root = "share: 2"});
  add(kSlotsExceedCapacity, kWarning, 5, queue, "slots_per_task",
      {.pools = Queue("slots_per_task: 9"), .hosts = {kHost, kHost}},
      {.pools = Queue("slots_per_task: 8"), .hosts = {kHost, kHost}});
  // The endpoint whose slots are not known may be large enough.
  add(kSlotsExceedCapacity, kWarning, 5, queue, "slots_per_task",
      {.pools = Queue("slots_per_task: 9"), .hosts = {kHost, kHost}},
      {.pools = Queue("slots_per_task: 9"),
       .hosts = {kHost, Host("p", "z1", "r1", std::nullopt)}});
  add(kSharesExceedCapacity, kWarning, 5, "/pools/p", "",
      {.keys = kTwoKeys,
       .teams = kTwoTeams,
       .pools = TwoQueues("slots_per_task: 8"),
       .hosts = {kHost, Host("p", "z1", "r1", SlotCount(7))}},
      {.keys = kTwoKeys,
       .teams = kTwoTeams,
       .pools = TwoQueues("slots_per_task: 8"),
       .hosts = {kHost, kHost}});
  add(kBudgetBelowHeadroom, kWarning, 5, "/pools/p", "max_unavailable",
      {.pools = Queue("", "max_unavailable: 0, ")}, valid);
  add(kBudgetBelowHeadroom, kWarning, 5, "/pools/p", "max_unavailable",
      {.pools = Queue("", "survive: zone, ")},
      {.pools = Queue("", "survive: zone, max_unavailable: 2, ")});
  add(kBudgetBelowHeadroom, kWarning, 5, "/pools/p", "max_unavailable",
      {.pools = Queue("", "survive: rack, max_unavailable: 2, "),
       .hosts = racks},
      {.pools = Queue("", "survive: rack, max_unavailable: 3, "),
       .hosts = racks});
  add(kBudgetBelowHeadroom, kWarning, 5, "/pools/p", "max_unavailable",
      {.pools = Queue("", "survive: zone, max_unavailable: 3, "),
       .hosts = racks},
      {.pools = Queue("", "survive: host, max_unavailable: 3, "),
       .hosts = racks});
  add(kBudgetCoversPool, kWarning, 5, "/pools/p", "max_unavailable",
      {.pools = Queue("", "max_unavailable: 2, "), .hosts = {kHost, kHost}},
      {.pools = Queue("", "max_unavailable: 2, "),
       .hosts = {kHost, kHost, kHost}});
  add(kDeadlineBelowRunTime, kWarning, 5, queue, "deadline_ms",
      {.pools = Queue("deadline_ms: 999")},
      {.root = "run_ms: 999", .pools = Queue("deadline_ms: 999")});
  return cases;
}

TEST_CASE("each kind of finding is reported, its valid counterpart is not",
          "[settings_check]") {
  // Guards against a missed finding and against false findings, which would
  // make operators ignore the check.
  std::set<FindingKind> tested;
  for (const Case& c : Cases()) {
    tested.insert(c.kind);
    CAPTURE(FindingKindName(c.kind), c.wrong.Text(), c.valid.Text());
    const auto found = FindingsOf(c.wrong);
    REQUIRE(found.size() == 1);
    CHECK(found[0].kind == c.kind);
    CHECK(found[0].severity == c.severity);
    CHECK(found[0].line == c.line);
    CHECK(found[0].path == c.path);
    CHECK(found[0].setting == c.setting);
    CHECK_FALSE(found[0].message.empty());
    const auto none = FindingsOf(c.valid);
    CAPTURE(none.empty() ? "" : none[0].message);
    CHECK(none.empty());
  }
  REQUIRE(tested.size() == kFindingKindCount);
}

TEST_CASE("findings are ordered by severity, then by line",
          "[settings_check]") {
  // Guards against a warning that is overlooked below a list of notices.
  const auto found =
      FindingsOf({.root = "run_ms: 1000", .zones = "{z1: out}", .keys = "[]"});
  REQUIRE(found.size() == 3);
  REQUIRE(found[0].kind == FindingKind::kNoZoneIn);
  REQUIRE(found[1].kind == FindingKind::kTeamWithoutKeys);
  REQUIRE(found[2].kind == FindingKind::kRedundantValue);
}

//-----------------------------------------------------------------------------
// [SECTION] Random documents
//-----------------------------------------------------------------------------

void RequireProperty(const std::function<void()>& property) {
  rc::detail::TestParams params;
  params.seed = 20261206;
  params.maxSuccess = 200;
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO(message.str());
  REQUIRE(result.is<rc::detail::SuccessResult>());
}

std::vector<std::pair<std::string, SettingValues*>> Nodes(
    SettingsDocument& document) {
  std::vector<std::pair<std::string, SettingValues*>> nodes = {
      {"/", &document.settings}};
  for (auto& [team, node] : document.teams) {
    nodes.emplace_back("/teams/" + team.value, &node.settings);
  }
  for (auto& [pool, pool_node] : document.pools) {
    const std::string pool_path = "/pools/" + pool.value;
    nodes.emplace_back(pool_path, &pool_node.settings);
    for (auto& [team, team_node] : pool_node.teams) {
      const std::string path = pool_path + "/teams/" + team.value;
      nodes.emplace_back(path, &team_node.settings);
      for (auto& [queue, node] : team_node.queues) {
        nodes.emplace_back(path + "/queues/" + queue, &node.settings);
      }
    }
  }
  return nodes;
}

// Most random values are distinct, so half of them are replaced by the default.
SettingsDocument AnyDocumentWithDefaults() {
  SettingsDocument document = testing::AnyDocument();
  for (auto& [path, values] : Nodes(document)) {
    for (auto& [setting, value] : *values) {
      if (*rc::gen::arbitrary<bool>()) {
        value = SpecOf(setting).default_value;
      }
    }
  }
  return document;
}

bool HaveSameEffect(const SettingsTree& a, const SettingsTree& b) {
  return std::ranges::equal(a.Queues(), b.Queues()) &&
         std::ranges::equal(a.Teams(), b.Teams()) &&
         std::ranges::equal(a.Pools(), b.Pools()) && a.Fleet() == b.Fleet();
}

TEST_CASE("a value without effect can be removed without effect, others not",
          "[settings_check]") {
  RequireProperty([] {
    SettingsDocument document = AnyDocumentWithDefaults();
    const SettingsTree tree =
        SettingsTree::Create(document, Revision(1)).value();
    std::set<std::pair<std::string, std::string>> without_effect;
    for (const auto& finding : CheckSettings(tree, SettingsLines(), {})) {
      if (finding.kind == FindingKind::kRedundantValue ||
          finding.kind == FindingKind::kUnusedValue) {
        without_effect.emplace(finding.path, finding.setting);
      }
    }
    for (auto& [path, values] : Nodes(document)) {
      const SettingValues before = *values;
      for (const auto& [setting, value] : before) {
        values->erase(setting);
        const bool has_effect = !HaveSameEffect(
            tree, SettingsTree::Create(document, Revision(1)).value());
        RC_ASSERT(has_effect !=
                  without_effect.contains({path, SpecOf(setting).name}));
        *values = before;
      }
    }
  });
}

TEST_CASE("every text has settings or faults with a line", "[settings_check]") {
  // Guards against a crash on a damaged file and against a file that is
  // neither accepted nor explained.
  RequireProperty([] {
    std::string text = FormatSettings(testing::AnyDocument());
    const int edits = *rc::gen::inRange(0, 4);
    for (int i = 0; i < edits; ++i) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
      const auto length = *rc::gen::inRange<std::size_t>(0, 20);
      text.replace(at, length, *rc::gen::arbitrary<std::string>());
    }
    const SettingsText read = ReadSettingsText(text, Revision(1));
    const auto faults = FindingsOfFaults(read);
    RC_ASSERT(read.tree.has_value() == faults.empty());
    RC_ASSERT(ParseSettings(text, "f", Revision(1)).has_value() ==
              read.tree.has_value());
    RC_ASSERT(std::ranges::all_of(
        faults, [](const auto& fault) { return fault.line > 0; }));
    if (read.tree) {
      // A finding about an entry of the text names its line.
      for (const auto& finding : CheckSettings(*read.tree, read.lines, {})) {
        RC_ASSERT(finding.line > 0 || finding.path == "/zones");
      }
    }
  });
}

//-----------------------------------------------------------------------------
// [SECTION] Changes by effect
//-----------------------------------------------------------------------------

TEST_CASE("changes are ordered by effect", "[settings_check]") {
  // Guards against a withdrawn key or a zone that goes out below a list of
  // changed times.
  const std::vector<std::pair<SettingsChange, std::string>> expected = {
      {{"/keys/k1", "digest", "d", {}}, "admission"},
      {{"/zones/z1", "state", "in", "out"}, "admission"},
      {{"/teams/a", "limit", "5", "0"}, "admission"},
      {{"/pools/p/teams/a/queues/q", "node", "present", {}}, "admission"},
      {{"/pools/p/teams/a/queues/r", "open", {}, "true"}, "admission"},
      {{"/pools/p", "node", {}, "present"}, "capacity"},
      {{"/", "share", {}, "2"}, "capacity"},
      {{"/pools/p", "max_unavailable", "1", "2"}, "capacity"},
      {{"/pools/p/teams/a/queues/r", "priority", {}, "daily"}, "capacity"},
      {{"/", "deadline_ms", {}, "5"}, "timing"},
      {{"/", "settings_lease_ms", {}, "500"}, "timing"}};
  std::vector<SettingsChange> changes;
  for (const auto& [change, effect] : expected) {
    changes.push_back(change);
  }
  std::ranges::sort(changes, {}, [](const SettingsChange& change) {
    return std::pair(change.path, change.setting);
  });
  const auto ranked = RankChanges(changes);
  REQUIRE(ranked.size() == expected.size());
  for (std::size_t i = 0; i < ranked.size(); ++i) {
    CAPTURE(i);
    CHECK(ranked[i].change == expected[i].first);
    CHECK(EffectName(ranked[i].effect) == expected[i].second);
  }
}

}  // namespace
}  // namespace peridot
