// Tests settings as YAML: round trip, faults with line numbers, differences.

#include <rapidcheck.h>
#include <catch2/catch.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "src/protocol/settings_yaml.h"
#include "src/protocol/yaml_node.h"
#include "tests/support/any_settings.h"

namespace peridot {
namespace {

using testing::AnyDocument;

const std::string kDigest(64, 'a');
const std::string kExample =
    "deadline_ms: 5000\n"
    "zones:\n"
    "  z1: in\n"
    "  z2: out\n"
    "keys:\n"
    "  - id: k1\n"
    "    team: counts\n"
    "    digest: " +
    kDigest +
    "\n"
    "teams:\n"
    "  counts:\n"
    "    share: 3\n"
    "    limit: 200\n"
    "pools:\n"
    "  web:\n"
    "    max_unavailable: 2\n"
    "    survive: rack\n"
    "    teams:\n"
    "      counts:\n"
    "        run_ms: 400\n"
    "        queues:\n"
    "          hourly:\n"
    "            open: true\n"
    "            priority: urgent\n";

SettingsTree Parse(const std::string& text) {
  return ParseSettings(text, "s.yaml", Revision(3)).value();
}

std::string FaultsOf(const std::string& text) {
  const auto tree = ParseSettings(text, "s.yaml", Revision(3));
  return tree.has_error() ? tree.error().message : "";
}

//-----------------------------------------------------------------------------
// [SECTION] Round trip
//-----------------------------------------------------------------------------

TEST_CASE("formatting canonical text does not change it", "[yaml]") {
  const SettingsTree tree = Parse(kExample);
  REQUIRE(tree.CurrentRevision() == Revision(3));
  REQUIRE(FormatSettings(tree.Document()) == kExample);
  REQUIRE(tree.FindQueue("web.hourly")->open);
  REQUIRE(FormatSettings(Parse("{}").Document()) == "{}\n");
  REQUIRE(Parse("teams: {counts: }\nzones:\n").FindTeam("counts") != nullptr);
}

TEST_CASE("every document is unchanged by a round trip as text and as row",
          "[yaml]") {
  // Guards against writing a settings row that cannot be read again, which
  // would prevent every daemon from starting.
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = 200;
  const auto property = [] {
    const SettingsDocument drawn = AnyDocument();
    const SettingsTree tree = SettingsTree::Create(drawn, Revision(9)).value();
    const std::string text = FormatSettings(tree.Document());
    RC_ASSERT(Parse(text).Document() == tree.Document());
    const std::string row = FormatSettingsRow({tree, "d1-4: #7"}).value();
    const SettingsRow back = ParseSettingsRow(row).value();
    RC_ASSERT(back.tree.Document() == tree.Document());
    RC_ASSERT(back.tree.CurrentRevision() == Revision(9));
    RC_ASSERT(back.operation_id == "d1-4: #7");
    RC_ASSERT(DiffSettings(drawn, back.tree.Document()).empty());
  };
  const auto result =
      rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  INFO(message.str());
  REQUIRE(result.is<rc::detail::SuccessResult>());
}

TEST_CASE("a row without its keys is refused", "[yaml]") {
  REQUIRE(ParseSettingsRow("{}").error().message ==
          "settings row:1: revision: expected a revision number\n"
          "settings row:1: operation_id: expected an operation id");
  REQUIRE(ParseSettingsRow("revision: -1\noperation_id: a\n").has_error());
  REQUIRE(ParseSettingsRow("[").has_error());
}

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

TEST_CASE("each kind of fault reports line, key and expected value", "[yaml]") {
  struct Case {
    const char* text;
    const char* fault;
  };
  const std::vector<Case> cases = {
      // Unknown keys.
      {"\ndeadlin_ms: 5\n",
       "s.yaml:2: /: deadlin_ms: expected one of share, limit, deadline_ms, "
       "max_attempts, settings_lease_ms, run_ms, owner_lease_ms, "
       "urgent_start_ms, zones, keys, teams, pools"},
      {"revision: 4\n",
       "s.yaml:1: /: revision: expected one of share, limit, deadline_ms, "
       "max_attempts, settings_lease_ms, run_ms, owner_lease_ms, "
       "urgent_start_ms, zones, keys, teams, pools"},
      {"teams:\n  a:\n    weight: 1\n",
       "s.yaml:3: /teams/a: weight: expected one of share, limit"},
      {"teams: {a: {limit: 1}}\npools:\n  p:\n    teams:\n      a:\n        "
       "limit: 2\n",
       "s.yaml:6: /pools/p/teams/a: limit: expected a setting of level pool "
       "team"},
      // Values of the wrong type.
      {"run_ms: fast\n",
       "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)"},
      {"run_ms: '5'\n",
       "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)"},
      {"run_ms: 5.0\n",
       "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)"},
      {"run_ms:\n",
       "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)"},
      {"run_ms: {a: 1}\n",
       "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)"},
      {"teams: {a: }\npools: {p: {teams: {a: {queues: {q: {\n  open: "
       "yes}}}}}}\n",
       "s.yaml:3: /pools/p/teams/a/queues/q: open: expected true or false"},
      {"pools:\n  p:\n    survive: switch\n",
       "s.yaml:3: /pools/p: survive: expected one of none, host, rack, zone"},
      {"zones:\n  z1: up\n", "s.yaml:2: /zones/z1: expected in or out"},
      {"zones: [z1]\n", "s.yaml:1: /zones: expected a mapping"},
      {"teams: 5\n", "s.yaml:1: /teams: expected a mapping"},
      {"pools:\n  web: 5\n", "s.yaml:2: /pools/web: expected a mapping"},
      {"keys: {a: b}\n", "s.yaml:1: /keys: expected a list of keys"},
      {"keys:\n  - 5\n",
       "s.yaml:2: /keys: expected a mapping of id, team and digest"},
      {"- a\n", "s.yaml:1: expected a mapping of settings"},
      {"", "s.yaml:1: expected a mapping of settings"},
      // Keys of teams.
      {"keys:\n  - {id: k, team: _admin}\n",
       "s.yaml:2: /keys: expected a key with digest"},
      {"keys:\n  - {id: k, team: _admin,\n     digest: 12}\n",
       "s.yaml:3: /keys/k: digest: expected 64 hexadecimal digits"},
      {"keys:\n  - {id: [k], team: _admin, digest: 12}\n",
       "s.yaml:2: /keys: id: expected a text"},
      // Values out of range.
      {"\n\nsettings_lease_ms: 499\n",
       "s.yaml:3: /: settings_lease_ms: expected a number from 500 to 5000 "
       "(ms)"},
      {"run_ms: 99999999999999999999\n",
       "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)"},
      // Repeated keys and ids, names.
      {"run_ms: 5\nzones: {}\nrun_ms: 6\n",
       "s.yaml:3: run_ms: expected a key once; it is also on line 1"},
      {"teams:\n  a: {}\n  b: {}\n  a: {}\n",
       "s.yaml:4: a: expected a key once; it is also on line 2"},
      {"teams: {a: , b: }\npools:\n  p:\n    teams:\n      a: {queues: {q: }}\n"
       "      b: {queues: {q: }}\n",
       "s.yaml:6: /pools/p/teams/b/queues/q: expected a queue name that is "
       "unique in its pool"},
      {"zones:\n  Z1: in\n",
       "s.yaml:2: /zones/Z1: expected a name of lower-case letters, digits, "
       "'-' and '_'"},
      {"pools:\n  p:\n    teams:\n      a: {}\n",
       "s.yaml:4: /pools/p/teams/a: expected a team that is listed under "
       "/teams"},
      // YAML features that settings do not support.
      {"run_ms: &a 5\n", "s.yaml:1: &: expected a value without an anchor"},
      {"zones: &a {}\nteams: *a\n",
       "s.yaml:1: &: expected a value without an anchor\n"
       "s.yaml:2: *: expected a value instead of an alias"},
      {"run_ms: !!int 5\n",
       "s.yaml:1: tag:yaml.org,2002:int: expected a value without a tag"},
      {"? [a]\n: 5\n", "s.yaml:1: expected a key that is a plain word"},
      {"{}\n---\n{}\n", "s.yaml:2: expected one YAML document"},
      {"run_ms: 5\n  zones: }\n",
       "s.yaml:2: expected valid YAML; illegal map value"},
  };
  for (const Case& c : cases) {
    CAPTURE(c.text);
    CHECK(FaultsOf(c.text) == c.fault);
  }
}

TEST_CASE("all faults of a text are reported at once", "[yaml]") {
  REQUIRE(FaultsOf("run_ms: 0\n"
                   "keys:\n"
                   "  - {id: k, team: x, digest: " +
                   kDigest +
                   "}\n"
                   "  - {id: k, team: _admin, digest: " +
                   kDigest +
                   "}\n"
                   "zones: {z1: off}\n") ==
          "s.yaml:1: /: run_ms: expected a number from 1 to 86400000 (ms)\n"
          "s.yaml:3: /keys/k: team: expected a team that is listed under "
          "/teams\n"
          "s.yaml:4: /keys/k: id: expected an id that no other key has\n"
          "s.yaml:4: /keys/k: digest: expected a digest that no other key has\n"
          "s.yaml:5: /zones/z1: expected in or out");
  std::string many;
  for (int i = 0; i < 150; ++i) {
    many.append("x").append(std::to_string(i)).append(": 1\n");
  }
  REQUIRE(FaultsOf(many).ends_with("s.yaml: and 50 more"));
}

TEST_CASE("texts with too deep nesting or too many bytes are refused",
          "[yaml]") {
  // Guards against a text that exhausts the stack or memory.
  REQUIRE(FaultsOf("run_ms: 0\nzones: {a: {b: {c: {d: {e: {f: {g: {}}}}}}}}\n")
              .starts_with("s.yaml:1: /: run_ms"));
  REQUIRE(FaultsOf("\nzones: {a: {b: {c: {d: {e: {f: {g: {}}}}}}}}\n")
              .starts_with("s.yaml:2: expected at most 8 nested levels"));
  REQUIRE(FaultsOf(std::string(100'000, '[')) != "");
  REQUIRE(FaultsOf(std::string(100'000, '{')) != "");
  const std::string large(kMaxSettingsBytes + 1, '#');
  REQUIRE(ParseSettings(large, "s.yaml", Revision(1)).error().code ==
          ErrorCode::kTooLarge);
  REQUIRE(FaultsOf(large.substr(1)) ==
          "s.yaml:1: expected a mapping of settings");
}

TEST_CASE("control characters are replaced in messages", "[yaml]") {
  REQUIRE(FaultsOf("\"a\\nb\\x1b\": 1\n").starts_with("s.yaml:1: /: a?b?: "));
}

//-----------------------------------------------------------------------------
// [SECTION] Difference
//-----------------------------------------------------------------------------

TEST_CASE("the difference lists the old and new text of each value", "[yaml]") {
  const SettingsDocument from = Parse(kExample).Document();
  SettingsDocument to = from;
  to.settings.clear();
  to.zones[ZoneId("z1")] = ZoneState::kOut;
  to.keys.clear();
  to.teams[TeamId("rebuilds")];
  to.pools[PoolId("web")].settings[Setting::kSurvive] = 3;
  const std::vector<SettingsChange> expected = {
      {"/", "deadline_ms", "5000", std::nullopt},
      {"/keys/k1", "digest", kDigest, std::nullopt},
      {"/keys/k1", "team", "counts", std::nullopt},
      {"/pools/web", "survive", "rack", "zone"},
      {"/teams/rebuilds", "node", std::nullopt, "present"},
      {"/zones/z1", "state", "in", "out"}};
  REQUIRE(DiffSettings(from, to) == expected);
  REQUIRE(DiffSettings(from, from).empty());
}

}  // namespace
}  // namespace peridot
