// Tests of MaintenancePlanner.

#include "src/coordination/maintenance_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace peridot {
namespace {

using std::chrono::minutes;
using State = MaintenanceState;

MaintenanceHost MakeHost(const std::string& id,
                         const std::string& zone,
                         const std::string& rack,
                         const std::string& pool) {
  return {.id = HostId(id),
          .zone = ZoneId(zone),
          .rack = RackId(rack),
          .pool = PoolId(pool),
          .home = PoolId(pool),
          .failed_for = std::nullopt};
}

// One pool "web" of `per_zone` hosts in each zone, two in each rack.
MaintenanceInput MakeFleet(int zones,
                           int per_zone,
                           int max_unavailable,
                           SurvivedFailure survive) {
  MaintenanceInput input;
  for (int z = 0; z < zones; ++z) {
    for (int i = 0; i < per_zone; ++i) {
      const std::string name = std::to_string(z) + std::to_string(i);
      input.hosts.push_back(MakeHost("h" + name, "z" + std::to_string(z),
                                     "r" + std::to_string(i / 2), "web"));
    }
  }
  input.pools = {{.id = PoolId("web"),
                  .max_unavailable = HostCount(max_unavailable),
                  .survive = survive}};
  return input;
}

void AddSpares(int zones, int per_zone, MaintenanceInput* input) {
  for (int i = 0; i < zones * per_zone; ++i) {
    input->hosts.push_back(MakeHost("s" + std::to_string(i),
                                    "z" + std::to_string(i % zones), "spare",
                                    "spare"));
  }
  input->pools.push_back(
      {.id = PoolId("spare"), .max_unavailable = HostCount(2)});
}

MaintenanceHost& HostOf(MaintenanceInput* input, const HostId& id) {
  return *std::find_if(input->hosts.begin(), input->hosts.end(),
                       [&](const auto& host) { return host.id == id; });
}

// Writes the first `count` steps to the rows, each by compare-and-set.
void ApplySteps(const MaintenancePlan& plan,
                std::size_t count,
                MaintenanceInput* input) {
  for (std::size_t i = 0; i < std::min(count, plan.steps.size()); ++i) {
    MaintenanceHost& host = HostOf(input, plan.steps[i].host);
    REQUIRE(host.state == plan.steps[i].from);
    host.state = plan.steps[i].to;
    host.drained = false;
    host.back = false;
  }
}

void ApplyMoves(const MaintenancePlan& plan, MaintenanceInput* input) {
  for (const MaintenanceMove& move : plan.moves) {
    MaintenanceHost& host = HostOf(input, move.host);
    REQUIRE(host.pool == move.from);
    host.pool = move.to;
  }
}

void Apply(const MaintenancePlan& plan, MaintenanceInput* input) {
  ApplySteps(plan, plan.steps.size(), input);
  ApplyMoves(plan, input);
}

// Completes the drain or restart of every host.
void Complete(MaintenanceInput* input) {
  for (MaintenanceHost& host : input->hosts) {
    host.drained = host.state == State::kDraining;
    host.back = host.state == State::kDown;
  }
}

int CountState(const MaintenanceInput& input, State state) {
  return static_cast<int>(
      std::count_if(input.hosts.begin(), input.hosts.end(),
                    [&](const auto& host) { return host.state == state; }));
}

// max_unavailable and loans less absence and headroom; negative if the budget
// is violated.
int FreeDrainCapacity(const MaintenanceInput& input,
                      const MaintenancePool& pool) {
  int absent = 0;
  int lent = 0;
  std::map<std::string, int> domains;
  for (const MaintenanceHost& host : input.hosts) {
    if (host.pool != pool.id) {
      continue;
    }
    const bool serves = host.state != State::kDraining &&
                        host.state != State::kDown && !host.failed_for &&
                        !input.zones_out.contains(host.zone);
    const bool at_home = host.home == host.pool;
    absent += at_home && !serves ? 1 : 0;
    lent += !at_home && serves ? 1 : 0;
    if (at_home || serves) {
      const bool by_zone = pool.survive == SurvivedFailure::kZone;
      const bool by_rack = pool.survive == SurvivedFailure::kRack;
      ++domains[by_zone   ? host.zone.value
                : by_rack ? host.zone.value + host.rack.value
                          : host.id.value];
    }
  }
  int headroom = 0;
  for (const auto& [domain, hosts] : domains) {
    headroom = std::max(headroom, hosts);
  }
  headroom = pool.survive == SurvivedFailure::kNone ? 0 : headroom;
  return static_cast<int>(pool.max_unavailable.value) + lent - absent -
         headroom;
}

bool HasWait(const MaintenancePlan& plan, WaitReason reason) {
  return std::any_of(plan.waits.begin(), plan.waits.end(),
                     [&](const auto& wait) { return wait.reason == reason; });
}

// Rolls the wave to its end, with one round for each drain and restart. Returns
// the number of rounds, or -1 if the wave does not end.
int Roll(const MaintenancePlanner& planner, MaintenanceInput* input) {
  for (int round = 0; round < 200; ++round) {
    MaintenancePlan plan = planner.OnState(*input);
    if (plan.done) {
      return round;
    }
    Apply(plan, input);
    // Drains complete within the round, so that a round is one restart.
    for (MaintenanceHost& host : input->hosts) {
      host.drained = host.state == State::kDraining;
    }
    ApplySteps(planner.OnState(*input), 1'000, input);
    for (MaintenanceHost& host : input->hosts) {
      host.back = host.state == State::kDown;
    }
  }
  return -1;
}

TEST_CASE("state names are parsed back and others are rejected",
          "[maintenance]") {
  for (const State state :
       {State::kPending, State::kDraining, State::kDown, State::kDone}) {
    REQUIRE(ParseMaintenanceState(MaintenanceStateName(state)).value() ==
            state);
  }
  REQUIRE(ParseMaintenanceState("Down").error().code == ErrorCode::kMalformed);
}

TEST_CASE("a drain starts only within the budget with headroom",
          "[maintenance]") {
  MaintenanceInput input = MakeFleet(3, 4, 6, SurvivedFailure::kZone);
  const MaintenancePlan plan = MaintenancePlanner().OnState(input);
  // 6 less the headroom of a zone of 4 leaves 2 drains; both are in the first
  // rack of the first zone.
  REQUIRE(plan.steps.size() == 2);
  REQUIRE(plan.steps[0].host == HostId("h00"));
  REQUIRE(plan.steps[1].host == HostId("h01"));
  REQUIRE(plan.next.at(0) == HostId("h02"));
  REQUIRE(HasWait(plan, WaitReason::kBudget));
  REQUIRE(plan.estimated_end == Duration(minutes(30)) * 12 / 2);
}

TEST_CASE("a host goes down when drained and is done when it serves again",
          "[maintenance]") {
  MaintenanceInput input = MakeFleet(1, 1, 1, SurvivedFailure::kNone);
  const MaintenancePlanner planner;
  const auto next = [&] {
    const MaintenancePlan plan = planner.OnState(input);
    Apply(plan, &input);
    REQUIRE(plan.done ==
            (plan.steps.empty() && input.hosts[0].state == State::kDone));
    return input.hosts[0].state;
  };
  REQUIRE(next() == State::kDraining);
  REQUIRE(next() == State::kDraining);
  input.hosts[0].drained = true;
  REQUIRE(next() == State::kDown);
  REQUIRE(next() == State::kDown);
  input.hosts[0].back = true;
  REQUIRE(next() == State::kDone);
  REQUIRE(next() == State::kDone);
}

TEST_CASE("failures after a grant revoke drains", "[maintenance]") {
  MaintenanceInput input = MakeFleet(3, 4, 6, SurvivedFailure::kZone);
  const MaintenancePlanner planner;
  Apply(planner.OnState(input), &input);
  HostOf(&input, HostId("h20")).failed_for = minutes(1);
  Apply(planner.OnState(input), &input);
  // The latest grant is revoked.
  REQUIRE(HostOf(&input, HostId("h00")).state == State::kDraining);
  REQUIRE(HostOf(&input, HostId("h01")).state == State::kPending);
  REQUIRE(FreeDrainCapacity(input, input.pools[0]) == 0);
}

TEST_CASE(
    "no drain starts during a storm or a pause, and the wave resumes after it",
    "[maintenance]") {
  MaintenanceInput input = MakeFleet(4, 8, 20, SurvivedFailure::kNone);
  for (const char* id : {"h30", "h31", "h32", "h33"}) {
    HostOf(&input, HostId(id)).failed_for = minutes(1);
  }
  const MaintenancePlanner planner;
  MaintenancePlan plan = planner.OnState(input);
  REQUIRE(plan.storm);
  REQUIRE(plan.steps.empty());
  REQUIRE(HasWait(plan, WaitReason::kStorm));
  // An urgent wave continues under the same budget.
  input.priority = WavePriority::kUrgent;
  REQUIRE(planner.OnState(input).steps.size() == 16);
  input.priority = WavePriority::kNormal;
  for (MaintenanceHost& host : input.hosts) {
    host.failed_for =
        host.failed_for ? std::optional<Duration>(minutes(11)) : std::nullopt;
  }
  REQUIRE(planner.OnState(input).steps.size() == 16);
  input.paused = true;
  plan = planner.OnState(input);
  REQUIRE(plan.steps.empty());
  REQUIRE(HasWait(plan, WaitReason::kPaused));
  REQUIRE(HasWait(plan, WaitReason::kFailed));
}

TEST_CASE("a zone that is out leaves no drain capacity in other zones",
          "[maintenance]") {
  MaintenanceInput input = MakeFleet(3, 4, 6, SurvivedFailure::kZone);
  const MaintenancePlanner planner;
  Apply(planner.OnState(input), &input);
  input.zones_out = {ZoneId("z1")};
  Apply(planner.OnState(input), &input);
  // Only hosts of the zone that is out are drained, as many as the budget
  // admits when the zone returns without them.
  for (const MaintenanceHost& host : input.hosts) {
    REQUIRE((host.state == State::kDraining) ==
            (host.id == HostId("h10") || host.id == HostId("h11")));
  }
  input.zones_out.clear();
  REQUIRE(FreeDrainCapacity(input, input.pools[0]) == 0);
}

TEST_CASE(
    "a pool without drain capacity borrows the fewest hosts and returns them",
    "[maintenance]") {
  MaintenanceInput input = MakeFleet(3, 3, 3, SurvivedFailure::kZone);
  AddSpares(3, 2, &input);
  const MaintenancePlanner planner;
  const MaintenancePlan plan = planner.OnState(input);
  // The first loan also enlarges the largest zone by one, so it adds no drain
  // capacity; the second, in another zone, does.
  REQUIRE(plan.moves.size() == 2);
  for (const MaintenanceStep& step : plan.steps) {
    REQUIRE(step.host != plan.moves[0].host);
    REQUIRE(step.host != plan.moves[1].host);
  }
  REQUIRE(Roll(planner, &input) > 0);
  for (const MaintenanceHost& host : input.hosts) {
    REQUIRE(host.pool == host.home);
    REQUIRE(host.state == State::kDone);
  }
  // Hosts that the spare pool must keep are not lent.
  MaintenanceInput kept = MakeFleet(3, 3, 3, SurvivedFailure::kZone);
  AddSpares(3, 2, &kept);
  MaintenanceConfig config;
  config.spare_min_hosts = HostCount(5);
  const MaintenancePlan refused = MaintenancePlanner(config).OnState(kept);
  REQUIRE(refused.moves.empty());
  REQUIRE(HasWait(refused, WaitReason::kLoan));
  REQUIRE_FALSE(refused.estimated_end);
}

TEST_CASE("a borrowed host that failed is replaced and returned",
          "[maintenance]") {
  MaintenanceInput input = MakeFleet(3, 3, 3, SurvivedFailure::kZone);
  AddSpares(3, 2, &input);
  const MaintenancePlanner planner;
  const MaintenancePlan lent = planner.OnState(input);
  Apply(lent, &input);
  Apply(planner.OnState(input), &input);
  REQUIRE(HostOf(&input, HostId("h00")).state == State::kDraining);
  HostOf(&input, lent.moves[0].host).failed_for = minutes(1);
  Apply(planner.OnState(input), &input);
  // A borrowed host that failed adds no drain capacity, so the drain is
  // revoked. The host is likely to be repaired soon, so it is not replaced yet.
  REQUIRE(HostOf(&input, HostId("h00")).state == State::kPending);
  REQUIRE(planner.OnState(input).moves.empty());
  HostOf(&input, lent.moves[0].host).failed_for = std::chrono::hours(5);
  Apply(planner.OnState(input), &input);
  REQUIRE(HostOf(&input, lent.moves[0].host).pool == PoolId("spare"));
  REQUIRE(FreeDrainCapacity(input, input.pools[0]) >= 0);
}

TEST_CASE("loans keep a pool from being the slowest", "[maintenance]") {
  MaintenanceInput input = MakeFleet(3, 3, 3, SurvivedFailure::kZone);
  AddSpares(3, 3, &input);
  for (int i = 0; i < 9; ++i) {
    input.hosts.push_back(
        MakeHost("o" + std::to_string(i), "z0", "other", "other"));
  }
  // The other pool takes 9 / 2 rounds, so "web" needs two concurrent drains.
  input.pools.push_back(
      {.id = PoolId("other"), .max_unavailable = HostCount(2)});
  const MaintenancePlanner planner;
  Apply(planner.OnState(input), &input);
  REQUIRE(FreeDrainCapacity(input, input.pools[0]) == 2);
  REQUIRE(planner.OnState(input).moves.empty());
}

// The fewest spare hosts with which the first pool can have `wanted` concurrent
// drains.
int LeastLoans(const MaintenanceInput& input, int wanted) {
  int least = -1;
  std::vector<std::size_t> spares;
  for (std::size_t i = 0; i < input.hosts.size(); ++i) {
    if (input.hosts[i].pool == PoolId("spare")) {
      spares.push_back(i);
    }
  }
  for (std::size_t set = 0; set < std::size_t{1} << spares.size(); ++set) {
    MaintenanceInput trial = input;
    int loans = 0;
    for (std::size_t i = 0; i < spares.size(); ++i) {
      if ((set >> i & 1) != 0) {
        trial.hosts[spares[i]].pool = trial.pools[0].id;
        ++loans;
      }
    }
    if (FreeDrainCapacity(trial, trial.pools[0]) >= wanted &&
        (least < 0 || loans < least)) {
      least = loans;
    }
  }
  return least;
}

TEST_CASE("the number of loans matches an exhaustive search", "[maintenance]") {
  std::mt19937_64 random(5);
  int borrowed = 0;
  for (int trial = 0; trial < 100; ++trial) {
    MaintenanceInput input =
        MakeFleet(1 + static_cast<int>(random() % 3), 3,
                  1 + static_cast<int>(random() % 4),
                  static_cast<SurvivedFailure>(random() % 4));
    input.hosts.erase(input.hosts.begin() +
                      static_cast<std::ptrdiff_t>(random() % 3));
    AddSpares(1 + static_cast<int>(random() % 3), 2, &input);
    INFO("trial " << trial);
    const int least = LeastLoans(input, 1);
    const auto moves =
        static_cast<int>(MaintenancePlanner().OnState(input).moves.size());
    // If no set of loans suffices, no host is moved.
    REQUIRE(moves == std::max(0, least));
    borrowed += moves > 0 ? 1 : 0;
  }
  REQUIRE(borrowed >= 20);
}

// The fewest rounds in which every serving host is down once, found by trying
// every set of hosts in every round. Failed hosts stay absent.
int LeastRounds(const MaintenanceInput& input) {
  const std::size_t count = input.hosts.size();
  std::vector<int> rounds(std::size_t{1} << count, -1);
  std::size_t all = 0;
  for (std::size_t i = 0; i < count; ++i) {
    all |= input.hosts[i].failed_for ? 0 : std::size_t{1} << i;
  }
  std::vector<std::size_t> allowed;
  for (std::size_t set = 1; set <= all; ++set) {
    MaintenanceInput trial = input;
    for (std::size_t i = 0; i < count; ++i) {
      trial.hosts[i].state =
          (set >> i & 1) != 0 ? State::kDown : State::kPending;
    }
    const bool holds = std::all_of(
        trial.pools.begin(), trial.pools.end(), [&](const auto& pool) {
          const bool used = std::any_of(
              trial.hosts.begin(), trial.hosts.end(), [&](const auto& host) {
                return host.pool == pool.id && host.state == State::kDown;
              });
          return !used || FreeDrainCapacity(trial, pool) >= 0;
        });
    if ((set & ~all) == 0 && holds) {
      allowed.push_back(set);
    }
  }
  rounds[0] = 0;
  for (std::size_t done = 0; done <= all; ++done) {
    for (const std::size_t set : allowed) {
      int& next = rounds[done | set];
      if (rounds[done] >= 0 && (next < 0 || next > rounds[done] + 1)) {
        next = rounds[done] + 1;
      }
    }
  }
  return rounds[all];
}

MaintenanceInput RandomFleet(std::mt19937_64* random) {
  const auto draw = [&](int most) {
    return static_cast<int>((*random)() % static_cast<unsigned>(most));
  };
  MaintenanceInput input = MakeFleet(2, 1 + draw(3), 1 + draw(5),
                                     static_cast<SurvivedFailure>(draw(4)));
  input.pools.push_back({.id = PoolId("other"),
                         .max_unavailable = HostCount(1 + draw(3)),
                         .survive = static_cast<SurvivedFailure>(draw(4))});
  for (MaintenanceHost& host : input.hosts) {
    host.pool = host.home = PoolId(draw(2) == 0 ? "web" : "other");
    if (draw(8) == 0) {
      host.failed_for = minutes(60);
    }
  }
  return input;
}

TEST_CASE("the wave takes the fewest rounds on small fleets", "[maintenance]") {
  std::mt19937_64 random(11);
  int feasible = 0;
  for (int trial = 0; trial < 150; ++trial) {
    MaintenanceInput input = RandomFleet(&random);
    INFO("trial " << trial);
    const int least = LeastRounds(input);
    const MaintenancePlanner planner;
    int rounds = 0;
    while (rounds < 20) {
      Apply(planner.OnState(input), &input);
      Complete(&input);
      ApplySteps(planner.OnState(input), 100, &input);
      if (CountState(input, State::kDown) == 0) {
        break;
      }
      ++rounds;
      Complete(&input);
    }
    if (least >= 0) {
      ++feasible;
      REQUIRE(rounds == least);
    }
  }
  REQUIRE(feasible >= 75);
}

TEST_CASE("a planner that restarts at any step continues from the rows",
          "[maintenance]") {
  // The planner crashes at every step of the wave, after it has written any
  // prefix of the plan.
  const MaintenanceInput first = MakeFleet(3, 2, 5, SurvivedFailure::kZone);
  for (int crash = 0; crash < 12; ++crash) {
    for (std::size_t prefix = 0; prefix < 6; ++prefix) {
      MaintenanceInput input = first;
      bool ended = false;
      for (int step = 0; step < 60 && !ended; ++step) {
        const MaintenancePlan plan = MaintenancePlanner().OnState(input);
        ended = plan.done;
        ApplySteps(plan, step == crash ? prefix : 1'000, &input);
        REQUIRE(FreeDrainCapacity(input, input.pools[0]) >= 0);
        // The rows are parsed from their stored names.
        for (MaintenanceHost& host : input.hosts) {
          host.state =
              ParseMaintenanceState(MaintenanceStateName(host.state)).value();
        }
        Complete(&input);
      }
      REQUIRE(ended);
      REQUIRE(CountState(input, State::kDone) == 6);
    }
  }
}

TEST_CASE("budgets are kept while hosts, racks and zones fail",
          "[maintenance]") {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    std::mt19937_64 random(seed);
    MaintenanceInput input = MakeFleet(4, 8, 11, SurvivedFailure::kZone);
    AddSpares(4, 2, &input);
    const MaintenancePlanner planner;
    bool ended = false;
    for (int step = 0; step < 2'000 && !ended; ++step) {
      for (MaintenanceHost& host : input.hosts) {
        if (host.failed_for && *host.failed_for > minutes(60)) {
          host.failed_for.reset();
        } else if (host.failed_for) {
          *host.failed_for += minutes(5);
        }
      }
      // A host fails, in some steps with its rack or its zone.
      if (random() % 10 == 0) {
        const MaintenanceHost at = input.hosts[random() % input.hosts.size()];
        const std::uint64_t kind = random() % 8;
        for (MaintenanceHost& host : input.hosts) {
          const bool same_zone = host.zone == at.zone;
          if (host.id == at.id ||
              (kind < 3 && same_zone && (kind == 0 || host.rack == at.rack))) {
            host.failed_for = Duration(0);
          }
        }
      }
      const std::vector<MaintenanceHost> before = input.hosts;
      const MaintenancePlan plan = planner.OnState(input);
      INFO("seed " << seed << " step " << step);
      for (const MaintenanceStep& each : plan.steps) {
        REQUIRE((!plan.storm || each.to != State::kDraining));
      }
      Apply(plan, &input);
      for (const MaintenancePool& pool : input.pools) {
        if (FreeDrainCapacity(input, pool) >= 0) {
          continue;
        }
        // While the budget is violated, no host that the planner could return
        // to service may stay draining, and no drain may start.
        for (std::size_t i = 0; i < before.size(); ++i) {
          const MaintenanceHost& host = input.hosts[i];
          if (host.pool == pool.id && host.state == State::kDraining) {
            REQUIRE(host.failed_for);
            REQUIRE(before[i].state == State::kDraining);
          }
        }
      }
      // Drains take several steps, so that failures occur during drains.
      for (MaintenanceHost& host : input.hosts) {
        const bool completes = random() % 4 == 0;
        host.drained = host.state == State::kDraining && completes;
        host.back = host.state == State::kDown && completes;
      }
      ended = plan.done;
    }
    REQUIRE(ended);
  }
}

}  // namespace
}  // namespace peridot
