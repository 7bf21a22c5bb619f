// Tests of the buffer size and of the loans between pools.

#include "src/coordination/buffer_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridot {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);

// Hosts assigned to zones in turn, with `per_rack` hosts in each rack.
BufferInput MakeFleet(int zones, int hosts, int per_rack) {
  BufferInput input;
  for (int i = 0; i < hosts; ++i) {
    input.hosts.push_back(
        {.id = HostId("h" + std::to_string(i)),
         .zone = ZoneId("z" + std::to_string(i % zones)),
         .rack = RackId("r" + std::to_string(i / zones / per_rack)),
         .pool = PoolId("spare")});
  }
  return input;
}

BufferPool MakePool(const std::string& name,
                    int demand,
                    SurvivedFailure survive,
                    int max_unavailable = 1) {
  return {.id = PoolId(name),
          .demand = HostCount(demand),
          .peak = HostCount(demand),
          .trough = HostCount(demand),
          .max_unavailable = HostCount(max_unavailable),
          .survive = survive};
}

void Apply(const BufferPlan& plan, BufferInput* input) {
  for (const BufferMove& move : plan.moves) {
    const auto host =
        std::find_if(input->hosts.begin(), input->hosts.end(),
                     [&](const auto& each) { return each.id == move.host; });
    REQUIRE(host->pool == move.from);
    host->pool = move.to;
  }
}

bool Serves(const BufferInput& input, const BufferHost& host) {
  return host.condition == HostCondition::kServing &&
         !input.zones_out.contains(host.zone);
}

int CountServing(const BufferInput& input, const PoolId& pool) {
  return static_cast<int>(std::count_if(
      input.hosts.begin(), input.hosts.end(), [&](const BufferHost& host) {
        return host.pool == pool && Serves(input, host);
      }));
}

// Whether the pool serves its demand, and its floor after any one failure.
bool IsCovered(const BufferInput& input, const BufferPool& pool) {
  std::map<std::string, int> domains;
  for (const BufferHost& host : input.hosts) {
    if (host.pool == pool.id && Serves(input, host)) {
      const bool by_zone = pool.survive == SurvivedFailure::kZone;
      const bool by_rack = pool.survive == SurvivedFailure::kRack;
      ++domains[by_zone   ? host.zone.value
                : by_rack ? host.zone.value + host.rack.value
                          : host.id.value];
    }
  }
  int worst = 0;
  for (const auto& [domain, hosts] : domains) {
    worst = std::max(worst, hosts);
  }
  const int lost = pool.survive == SurvivedFailure::kNone ? 0 : worst;
  const int serving = CountServing(input, pool.id);
  return serving >= pool.demand.value &&
         serving - lost >= pool.demand.value - pool.max_unavailable.value;
}

bool AllCovered(const BufferInput& input) {
  return std::all_of(
      input.pools.begin(), input.pools.end(),
      [&](const BufferPool& pool) { return IsCovered(input, pool); });
}

std::int64_t LineOf(const PoolBuffer& pool, BufferReason reason) {
  for (const BufferLine& line : pool.lines) {
    if (line.reason == reason) {
      return line.hosts.value;
    }
  }
  return 0;
}

TEST_CASE("a target leaves the floor when the domain with most hosts fails",
          "[buffer]") {
  // 59 hosts in four zones lose at most 15, which leaves 44 = 45 - 1.
  REQUIRE(MinTarget(HostCount(45), HostCount(1), {50, 50, 50, 50}) ==
          HostCount(59));
  REQUIRE(MinTarget(HostCount(8), HostCount(2), {4, 4, 4, 4}) == HostCount(8));
  REQUIRE(MinTarget(HostCount(1), HostCount(1), {4, 4}) == HostCount(1));
  REQUIRE(MinTarget(HostCount(3), HostCount(0), {1, 1, 1, 1}) == HostCount(4));
}

TEST_CASE("the lines of a target add up and list the absent hosts by reason",
          "[buffer]") {
  BufferInput input = MakeFleet(4, 40, 4);
  input.pools = {MakePool("web", 6, SurvivedFailure::kZone)};
  BufferPlanner planner;
  Apply(planner.OnState(input, kStart), &input);
  input.zones_out = {ZoneId("z0")};
  auto held = input.hosts.begin();
  for (const auto condition :
       {HostCondition::kFailed, HostCondition::kMaintenance}) {
    held = std::find_if(held, input.hosts.end(), [&](const BufferHost& host) {
      return host.pool == PoolId("web") && Serves(input, host);
    });
    held->condition = condition;
  }
  const BufferPlan plan = planner.OnState(input, kStart);
  const PoolBuffer& web = plan.pools.at(0);
  // Three zones are left: 8 hosts lose 3, which leaves 5.
  REQUIRE(web.target == HostCount(8));
  REQUIRE(web.buffer == HostCount(2));
  REQUIRE(LineOf(web, BufferReason::kDemand) +
              LineOf(web, BufferReason::kHeadroom) +
              LineOf(web, BufferReason::kTolerated) ==
          8);
  REQUIRE(LineOf(web, BufferReason::kFailed) == 1);
  REQUIRE(LineOf(web, BufferReason::kMaintenance) == 1);
  REQUIRE(LineOf(web, BufferReason::kZoneOut) == 2);
  REQUIRE(LineOf(web, BufferReason::kMissing) == 0);
  REQUIRE(std::string(BufferReasonName(BufferReason::kZoneOut)) == "zone_out");
  // Hosts in a zone that is out must not count as serving.
  Apply(plan, &input);
  REQUIRE(AllCovered(input));
}

TEST_CASE("peaks that do not coincide share one buffer", "[buffer]") {
  BufferInput input = MakeFleet(4, 80, 4);
  for (const char* name : {"a", "b", "c"}) {
    BufferPool pool = MakePool(name, 1, SurvivedFailure::kZone);
    pool.peak = HostCount(16);
    input.pools.push_back(pool);
  }
  BufferPlanner planner;
  const BufferPlan plan = planner.OnState(input, kStart);
  // 16 - 1 + 5 hosts for one peak and 1 for each of the two other pools.
  REQUIRE(plan.held == HostCount(22));
  REQUIRE(plan.shared == HostCount(19));
  REQUIRE(plan.surplus.size() == 58);
  REQUIRE(LineOf(plan.pools[0], BufferReason::kShared) == 19);
}

TEST_CASE("lent hosts are returned when needed elsewhere or unused for long",
          "[buffer]") {
  BufferInput input = MakeFleet(3, 30, 4);
  input.pools = {MakePool("a", 1, SurvivedFailure::kNone),
                 MakePool("b", 1, SurvivedFailure::kNone)};
  input.pools[0].peak = input.pools[1].peak = HostCount(10);
  BufferPlanner planner;
  Instant now = kStart;
  const auto turn = [&](int a, int b) {
    input.pools[0].demand = HostCount(a);
    input.pools[1].demand = HostCount(b);
    const BufferPlan plan = planner.OnState(input, now);
    Apply(plan, &input);
    now += seconds(5);
    return plan.moves.size();
  };
  REQUIRE(turn(10, 1) == 11);
  // Demand that alternates between pools must not move hosts back and forth.
  REQUIRE(turn(1, 10) == 9);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(turn(10, 1) == 0);
    REQUIRE(turn(1, 10) == 0);
  }
  REQUIRE(turn(1, 1) == 0);
  now += minutes(6);
  // Hosts that no pool has needed for long must return to the spare pool.
  REQUIRE(turn(1, 1) == 18);
  REQUIRE(turn(1, 1) == 0);
}

TEST_CASE("with too few hosts every floor comes before any headroom",
          "[buffer]") {
  BufferInput input = MakeFleet(2, 8, 2);
  // Targets of 6 and 4 exceed 8 hosts; floors of 3 and 4 do not.
  input.pools = {MakePool("a", 4, SurvivedFailure::kZone),
                 MakePool("b", 4, SurvivedFailure::kNone, 0)};
  const BufferPlan plan = BufferPlanner().OnState(input, kStart);
  Apply(plan, &input);
  REQUIRE(plan.missing == HostCount(2));
  REQUIRE(CountServing(input, PoolId("a")) >= 3);
  REQUIRE(CountServing(input, PoolId("b")) == 4);
}

TEST_CASE("a pool that survives a failure takes hosts from one that does not",
          "[buffer]") {
  BufferInput input = MakeFleet(2, 6, 1);
  input.pools = {MakePool("a", 4, SurvivedFailure::kNone, 0),
                 MakePool("b", 2, SurvivedFailure::kZone, 0)};
  for (std::size_t i = 0; i < 6; ++i) {
    input.hosts[i].pool = PoolId("a");
    input.hosts[i].condition =
        i % 2 == 0 ? HostCondition::kServing : HostCondition::kFailed;
  }
  Apply(BufferPlanner().OnState(input, kStart), &input);
  REQUIRE(CountServing(input, PoolId("b")) == 2);
  REQUIRE(CountServing(input, PoolId("a")) == 1);
}

TEST_CASE("a pool exchanges a host in a full domain for one that it needs",
          "[buffer]") {
  BufferInput input = MakeFleet(3, 7, 1);
  input.pools = {MakePool("a", 3, SurvivedFailure::kHost),
                 MakePool("b", 3, SurvivedFailure::kZone)};
  // Pool b has all hosts of z0 and needs one of each zone; a has all of z2.
  const char* pools[] = {"b", "a", "a", "b", "spare", "a", "b"};
  for (std::size_t i = 0; i < 7; ++i) {
    input.hosts[i].pool = PoolId(pools[i]);
  }
  Apply(BufferPlanner().OnState(input, kStart), &input);
  REQUIRE(AllCovered(input));
}

// The lowest number of hosts outside the spare pool over all assignments that
// cover every pool; nothing if there is no such assignment.
std::optional<int> MinHostsByTrial(BufferInput input, std::size_t host = 0) {
  if (host == input.hosts.size()) {
    if (!AllCovered(input)) {
      return std::nullopt;
    }
    int held = 0;
    for (const BufferPool& pool : input.pools) {
      held += CountServing(input, pool.id);
    }
    return held;
  }
  std::optional<int> least;
  for (std::size_t p = 0; p <= input.pools.size(); ++p) {
    input.hosts[host].pool =
        p < input.pools.size() ? input.pools[p].id : PoolId("spare");
    const auto held = MinHostsByTrial(input, host + 1);
    if (held && (!least || *held < *least)) {
      least = held;
    }
  }
  return least;
}

BufferInput RandomFleet(std::mt19937_64* random) {
  const auto draw = [&](int most) {
    return static_cast<int>((*random)() % static_cast<unsigned>(most));
  };
  BufferInput input = MakeFleet(2 + draw(2), 5 + draw(3), 1 + draw(2));
  for (int p = 0; p < 2; ++p) {
    input.pools.push_back(MakePool("p" + std::to_string(p), draw(4),
                                   static_cast<SurvivedFailure>(draw(4)),
                                   draw(3)));
  }
  for (BufferHost& host : input.hosts) {
    const int pool = draw(3);
    host.pool = PoolId(pool == 2 ? "spare" : "p" + std::to_string(pool));
    host.condition =
        draw(8) == 0 ? HostCondition::kFailed : HostCondition::kServing;
  }
  if (draw(8) == 0) {
    input.zones_out.insert(input.hosts[0].zone);
  }
  return input;
}

TEST_CASE("plans match an exhaustive search on small fleets", "[buffer]") {
  std::mt19937_64 random(9);
  int feasible = 0;
  for (int round = 0; round < 400; ++round) {
    BufferInput input = RandomFleet(&random);
    INFO("round " << round);
    const std::optional<int> least = MinHostsByTrial(input);
    const BufferPlan plan = BufferPlanner().OnState(input, kStart);
    Apply(plan, &input);
    if (!least) {
      continue;
    }
    ++feasible;
    // If an assignment covers every pool, the plan must do so, and `held` must
    // be the minimum.
    REQUIRE(AllCovered(input));
    REQUIRE(plan.held == HostCount(*least));
    // After a plan is applied, the next plan must have no moves.
    REQUIRE(BufferPlanner().OnState(input, kStart).moves.empty());
  }
  REQUIRE(feasible >= 150);
}

TEST_CASE("the required hosts cover every peak and every failure", "[buffer]") {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
    std::mt19937_64 random(seed);
    BufferInput input = MakeFleet(3 + static_cast<int>(seed % 2), 120, 4);
    // Sorted by zone, so that the first hosts are all of one zone.
    std::stable_sort(
        input.hosts.begin(), input.hosts.end(),
        [](const auto& a, const auto& b) { return a.zone < b.zone; });
    for (int p = 0; p < 4; ++p) {
      input.pools.push_back(MakePool("p" + std::to_string(p), 1,
                                     static_cast<SurvivedFailure>(p),
                                     static_cast<int>(random() % 3)));
      input.pools.back().peak = HostCount(10 + random() % 15);
    }
    BufferPlanner planner;
    const BufferPlan sized = planner.OnState(input, kStart);
    std::erase_if(input.hosts, [&](const BufferHost& host) {
      return std::find(sized.surplus.begin(), sized.surplus.end(), host.id) !=
             sized.surplus.end();
    });
    REQUIRE(HostCount(static_cast<std::int64_t>(input.hosts.size())) ==
            sized.held);
    for (int turn = 0; turn < 30; ++turn) {
      const std::size_t peaking = random() % 4;
      for (std::size_t p = 0; p < 4; ++p) {
        BufferPool& pool = input.pools[p];
        pool.demand = p == peaking ? pool.peak : pool.trough;
      }
      INFO("seed " << seed << " turn " << turn);
      Apply(planner.OnState(input, kStart + seconds(turn)), &input);
      REQUIRE(AllCovered(input));
    }
  }
}

}  // namespace
}  // namespace peridot
