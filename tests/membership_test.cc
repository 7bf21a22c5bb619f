// Tests of Membership and EndpointMembership. Comments name the failure that a
// test guards against.

#include "src/coordination/membership.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>

#include "tests/support/membership_fleet.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MembershipFleet;

SessionId Session(int n, std::uint64_t incarnation = 1) {
  return {DaemonId(std::string("d").append(std::to_string(n))),
          Incarnation(incarnation)};
}
RegistryView Registry(std::uint64_t version, int daemons) {
  RegistryView view{RegistryVersion(version), {}};
  for (int n = 0; n < daemons; ++n) {
    view.active.push_back(Session(n));
  }
  return view;
}
Instant At(Duration since_start) {
  return Instant{} + std::chrono::hours(1) + since_start;
}
template <typename A>
int Count(const MembershipActions& actions) {
  return static_cast<int>(std::count_if(
      actions.begin(), actions.end(),
      [](const auto& action) { return std::holds_alternative<A>(action); }));
}

TEST_CASE("a round probes every peer once before any twice", "[membership]") {
  // Failure: with random selection a failed peer may not be probed for long.
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 10));
  std::multiset<DaemonId> probed;
  for (int period = 0; period < 3; ++period) {
    for (const MembershipAction& action :
         self.OnTick(At(milliseconds(500) * period))) {
      if (const auto* probe = std::get_if<ProbeMember>(&action)) {
        probed.insert(probe->peer.daemon);
        self.OnMessage(probe->peer, {});
      }
    }
  }
  REQUIRE(probed.size() == 9);
  REQUIRE(std::set<DaemonId>(probed.begin(), probed.end()).size() == 9);
}

TEST_CASE("three misses suspect a peer, two do not, an answer clears it",
          "[membership]") {
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 2));
  MembershipActions last;
  for (int period = 0; period <= 3; ++period) {
    REQUIRE(Count<MemberSuspected>(last) == 0);
    last = self.OnTick(At(milliseconds(500) * period));
  }
  REQUIRE(Count<MemberSuspected>(last) == 1);
  REQUIRE(self.Usable().empty());
  REQUIRE(Count<MemberRecovered>(self.OnMessage(Session(1), {})) == 1);
  REQUIRE(self.Usable().size() == 1);
}

TEST_CASE("a missed peer is probed again in the next period", "[membership]") {
  // Failure: in a large fleet three misses take three rounds, which is 50 s for
  // 100 daemons.
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 100));
  const MembershipActions first = self.OnTick(At({}));
  const SessionId silent = std::get<ProbeMember>(first.front()).peer;
  bool suspected = false;
  for (int period = 1; period <= 3; ++period) {
    const MembershipActions actions =
        self.OnTick(At(milliseconds(500) * period));
    for (const MembershipAction& action : actions) {
      const auto* suspicion = std::get_if<MemberSuspected>(&action);
      suspected |= suspicion != nullptr && suspicion->session == silent;
    }
  }
  REQUIRE(suspected);
}

TEST_CASE("many unresponsive peers leave a probe for the others",
          "[membership]") {
  // Failure: an unreachable zone uses every probe, and the failure of a daemon
  // elsewhere is not detected.
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 50));
  self.OnTick(At({}));
  const MembershipActions second = self.OnTick(At(milliseconds(500)));
  REQUIRE(Count<ProbeMember>(second) == 3);
  std::set<DaemonId> again;
  for (const MembershipAction& action : second) {
    const auto* probe = std::get_if<ProbeMember>(&action);
    if (probe != nullptr && self.Members().at(probe->peer.daemon).misses > 0) {
      again.insert(probe->peer.daemon);
    }
  }
  REQUIRE(again.size() == 2);
}

TEST_CASE("the later incarnation takes precedence, then the higher phase",
          "[membership]") {
  // Failure: a late update restores a session that has ended.
  std::vector<MemberUpdate> updates = {{Session(1, 1), MemberPhase::kLive},
                                       {Session(1, 1), MemberPhase::kGone},
                                       {Session(1, 2), MemberPhase::kLive},
                                       {Session(1, 2), MemberPhase::kLeaving}};
  std::sort(updates.begin(), updates.end(), [](const auto& a, const auto& b) {
    return std::pair(a.session, a.phase) < std::pair(b.session, b.phase);
  });
  do {
    Membership self(Session(0), 7);
    self.OnMessage(Session(2), updates);
    REQUIRE(self.Members().at(DaemonId("d1")).incarnation == Incarnation(2));
    REQUIRE(self.Members().at(DaemonId("d1")).phase == MemberPhase::kLeaving);
  } while (std::next_permutation(
      updates.begin(), updates.end(), [](const auto& a, const auto& b) {
        return std::pair(a.session, a.phase) < std::pair(b.session, b.phase);
      }));
}

TEST_CASE("a message of an earlier incarnation clears no suspicion",
          "[membership]") {
  Membership self(Session(0), 7);
  self.OnMessage(Session(1, 2), {});
  for (int period = 0; period <= 3; ++period) {
    self.OnTick(At(milliseconds(500) * period));
  }
  REQUIRE(self.Usable().empty());
  self.OnMessage(Session(1, 1), {});
  REQUIRE(self.Usable().empty());
}

TEST_CASE("the registry ends sessions that it no longer lists",
          "[membership]") {
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 3));
  self.OnRegistry(Registry(2, 2));
  REQUIRE(self.Usable().size() == 1);
  // An older read that arrives late does not restore the session.
  self.OnRegistry(Registry(1, 3));
  REQUIRE(self.Usable().size() == 1);
  // A peer's report that this session has ended only triggers a read of the
  // session row.
  const MembershipActions actions =
      self.OnMessage(Session(1), {{Session(0, 2), MemberPhase::kLive}});
  REQUIRE(Count<OwnSessionReportedGone>(actions) == 1);
}

TEST_CASE("updates are bounded in a message and each is sent often enough",
          "[membership]") {
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 1));
  self.OnRegistry(Registry(2, 20));
  std::map<DaemonId, int> sent;
  for (std::vector<MemberUpdate> updates = self.TakeUpdates(); !updates.empty();
       updates = self.TakeUpdates()) {
    REQUIRE(updates.size() <= 4);
    for (const MemberUpdate& update : updates) {
      ++sent[update.session.daemon];
    }
  }
  REQUIRE(sent.size() == 20);
  REQUIRE(std::all_of(sent.begin(), sent.end(),
                      [](const auto& entry) { return entry.second >= 3; }));
}

TEST_CASE("a new session does not resend the registry's sessions to its peers",
          "[membership]") {
  // Failure: 100 sessions that the peers already have delay one change by 17 s.
  Membership self(Session(0), 7);
  self.OnRegistry(Registry(1, 100));
  REQUIRE(self.TakeUpdates().size() == 1);
}

TEST_CASE("a fleet detects a failed, a leaving and a returning daemon",
          "[membership]") {
  // Bound: three misses of 500 ms, one period until the first probe and one of
  // margin are 2.5 s. Changes must be detected within a few seconds, here 3 s.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    MembershipFleet fleet(seed, 9, {});
    REQUIRE(fleet.TimeToDetectLeaving() <= seconds(3));
    REQUIRE(fleet.TimeToDetectCrash() <= seconds(3));
    REQUIRE(fleet.TimeToDetectReturn() <= seconds(3));
  }
}

//-----------------------------------------------------------------------------
// Endpoints
//-----------------------------------------------------------------------------

const EndpointId kEndpoint("e1");

std::vector<ListedEndpoint> Listed(bool leaving) {
  ListedEndpoint entry;
  entry.endpoint = kEndpoint;
  entry.leaving = leaving;
  return {entry};
}

TEST_CASE("leaving applies at the first report of either source",
          "[membership]") {
  EndpointMembership endpoints;
  endpoints.OnList(Listed(false));
  endpoints.OnHeartbeat(kEndpoint, BootId("b1"), false, At({}));
  REQUIRE(endpoints.IsUsable(kEndpoint, seconds(1), At({})));
  SECTION("heartbeat first") {
    endpoints.OnHeartbeat(kEndpoint, BootId("b1"), true, At({}));
  }
  SECTION("list first") {
    endpoints.OnList(Listed(true));
  }
  REQUIRE(endpoints.IsLeaving(kEndpoint));
  // Failure: the other source, which is out of date, revokes the report.
  endpoints.OnList(Listed(false));
  endpoints.OnHeartbeat(kEndpoint, BootId("b1"), false, At({}));
  REQUIRE_FALSE(endpoints.IsUsable(kEndpoint, seconds(1), At({})));
  endpoints.OnHeartbeat(kEndpoint, BootId("b2"), false, At({}));
  REQUIRE(endpoints.IsUsable(kEndpoint, seconds(1), At({})));
}

TEST_CASE("an outdated list does not mark the next boot as leaving permanently",
          "[membership]") {
  EndpointMembership endpoints;
  endpoints.OnList(Listed(false));
  endpoints.OnHeartbeat(kEndpoint, BootId("b1"), false, At({}));
  endpoints.OnList(Listed(true));
  endpoints.OnHeartbeat(kEndpoint, BootId("b2"), false, At({}));
  endpoints.OnList(Listed(true));  // describes boot b1
  REQUIRE(endpoints.IsLeaving(kEndpoint));
  endpoints.OnList(Listed(false));
  REQUIRE(endpoints.IsUsable(kEndpoint, seconds(1), At({})));
}

TEST_CASE("an endpoint that does not respond or is not listed is not used",
          "[membership]") {
  EndpointMembership endpoints;
  endpoints.OnHeartbeat(kEndpoint, BootId("b1"), false, At({}));
  REQUIRE_FALSE(endpoints.IsUsable(kEndpoint, seconds(1), At({})));
  endpoints.OnList(Listed(false));
  REQUIRE(endpoints.IsUsable(kEndpoint, seconds(1), At(seconds(1))));
  REQUIRE_FALSE(endpoints.IsUsable(kEndpoint, seconds(1), At(seconds(2))));
  endpoints.OnList({});
  REQUIRE_FALSE(endpoints.IsUsable(kEndpoint, seconds(1), At({})));
}

}  // namespace
}  // namespace peridot
