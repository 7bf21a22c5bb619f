// Duration and moves of one maintenance wave while hosts, racks and zones fail.
//
// Each host takes a random time to drain and to restart. The lower bounds are
// computed from these times and the failures, independently of the planner. The
// naive version drains one host at a time per pool, whatever fails.
//
// bench_rollout [--seed N]

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/maintenance_planner.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using std::chrono::duration_cast;
using std::chrono::minutes;
using std::chrono::seconds;
using testing::PrintResult;
using State = MaintenanceState;

constexpr double kTimeRatioTarget = 1.15;
constexpr double kMovesRatioTarget = 1.10;
constexpr double kPlannerMsTarget = 1'000;
constexpr double kDaysTarget = 21;
constexpr int kRackSize = 4;
constexpr int kMinPercent = 80;  // drain and restart take 80% to 120% of the
constexpr int kPercentChoices = 41;  // mean, in steps of 1%

struct Size {
  std::string name;  // such as "4_zones"
  int zones = 0;
  int pools = 0;  // including the spare pool
  int hosts = 0;
  minutes drain{0};  // mean
  minutes down{0};   // mean
  seconds tick{0};   // between two plans
  int min_drain_capacity =
      1;  // hosts that a pool may drain besides its headroom
  double host_failures_day = 0;
  double rack_failures_day = 0;
  double zone_failures_day = 0;
  minutes repair{0};
};

struct Failure {
  Duration at{};
  std::vector<std::size_t> hosts;
};

// A simulated fleet. The planner receives `input` only, neither the times of
// each host nor future failures.
struct World {
  MaintenanceInput input;
  std::vector<Duration> drain;
  std::vector<Duration> down;
  std::vector<Failure> failures;  // by time
};

PoolId PoolName(int pool) {
  return PoolId(pool == 0 ? "spare" : "pool" + std::to_string(pool));
}

using HostsByRack = std::map<std::pair<ZoneId, RackId>, int>;

// Returns the number of hosts in the largest domain of the pool whose failure
// it is set to survive.
int HeadroomOf(SurvivedFailure survive, const HostsByRack& racks) {
  std::map<ZoneId, int> zones;
  int rack = 0;
  int zone = 0;
  for (const auto& [place, hosts] : racks) {
    rack = std::max(rack, hosts);
    zone = std::max(zone, zones[place.first] += hosts);
  }
  switch (survive) {
    case SurvivedFailure::kNone:
      return 0;
    case SurvivedFailure::kHost:
      return 1;
    case SurvivedFailure::kRack:
      return rack;
    case SurvivedFailure::kZone:
      return zone;
  }
  return 0;
}

std::map<PoolId, HostsByRack> RacksByPool(const MaintenanceInput& input) {
  std::map<PoolId, HostsByRack> racks;
  for (const MaintenanceHost& host : input.hosts) {
    ++racks[host.home][{host.zone, host.rack}];
  }
  return racks;
}

// Sets max_unavailable of each pool to its headroom and its drain capacity: 4
// hosts for the spare pool, 0 for pool 1, which has to borrow hosts, and
// min_drain_capacity to min_drain_capacity + 2 hosts for the other pools.
void AddPools(const Size& size, World* simulation) {
  const auto racks = RacksByPool(simulation->input);
  const SurvivedFailure survive[] = {
      SurvivedFailure::kNone, SurvivedFailure::kZone, SurvivedFailure::kRack,
      SurvivedFailure::kHost, SurvivedFailure::kZone};
  for (int p = 0; p < size.pools; ++p) {
    const SurvivedFailure kind = survive[p == 0 ? 0 : 1 + (p - 1) % 4];
    const int drain_capacity = p == 0   ? 4
                               : p == 1 ? 0
                                        : size.min_drain_capacity + p % 3;
    simulation->input.pools.push_back(
        {.id = PoolName(p),
         .max_unavailable = HostCount(HeadroomOf(kind, racks.at(PoolName(p))) +
                                      drain_capacity),
         .survive = kind});
  }
}

// Returns a random time in whole ticks, since one plan is made per tick.
Duration DrawDuration(minutes mean, seconds tick, std::mt19937_64* random) {
  const auto percent =
      kMinPercent + static_cast<std::int64_t>((*random)() % kPercentChoices);
  const Duration exact = duration_cast<Duration>(mean) / 100 * percent;
  return (exact + tick / 2) / tick * duration_cast<Duration>(tick);
}

// Adds failures of one kind at random times until `end`.
void AddFailures(double per_day,
                 SurvivedFailure kind,
                 Duration end,
                 std::mt19937_64* random,
                 World* simulation) {
  if (per_day <= 0) {
    return;
  }
  std::exponential_distribution<double> gap(per_day);  // days
  const auto day = std::chrono::duration<double, std::ratio<86'400>>(1);
  const std::vector<MaintenanceHost>& hosts = simulation->input.hosts;
  Duration at{};
  while ((at += duration_cast<Duration>(day * gap(*random))) < end) {
    const MaintenanceHost& center = hosts[(*random)() % hosts.size()];
    Failure failure{.at = at, .hosts = {}};
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      const bool same_zone = hosts[i].zone == center.zone;
      const bool hit = kind == SurvivedFailure::kZone ? same_zone
                       : kind == SurvivedFailure::kRack
                           ? same_zone && hosts[i].rack == center.rack
                           : hosts[i].id == center.id;
      if (hit) {
        failure.hosts.push_back(i);
      }
    }
    simulation->failures.push_back(std::move(failure));
  }
}

World MakeWorld(const Size& size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  World simulation;
  std::map<std::pair<int, int>, int> placed;  // hosts by (zone, pool)
  for (int i = 0; i < size.hosts; ++i) {
    const int zone = i % size.zones;
    const int pool = i / size.zones % size.pools;
    const int rack = placed[{zone, pool}]++ / kRackSize;
    simulation.input.hosts.push_back(
        {.id = HostId("h" + std::to_string(i)),
         .zone = ZoneId("z" + std::to_string(zone)),
         .rack = RackId(PoolName(pool).value + "-" + std::to_string(rack)),
         .pool = PoolName(pool),
         .home = PoolName(pool),
         .failed_for = std::nullopt});
    simulation.drain.push_back(DrawDuration(size.drain, size.tick, &random));
    simulation.down.push_back(DrawDuration(size.down, size.tick, &random));
  }
  AddPools(size, &simulation);
  const Duration end = std::chrono::hours(24 * 60);
  AddFailures(size.host_failures_day, SurvivedFailure::kHost, end, &random,
              &simulation);
  AddFailures(size.rack_failures_day, SurvivedFailure::kRack, end, &random,
              &simulation);
  AddFailures(size.zone_failures_day, SurvivedFailure::kZone, end, &random,
              &simulation);
  std::sort(simulation.failures.begin(), simulation.failures.end(),
            [](const Failure& a, const Failure& b) { return a.at < b.at; });
  return simulation;
}

// Drain capacity of a pool: max_unavailable plus borrowed hosts, less absent
// hosts and headroom.
struct DrainCapacity {
  int absent = 0;
  int limit = 0;  // max_unavailable plus borrowed hosts in service
  int limit_less_headroom = 0;
};

std::map<PoolId, DrainCapacity> DrainCapacitiesOf(
    const MaintenanceInput& input) {
  std::map<PoolId, HostsByRack> racks;
  std::map<PoolId, DrainCapacity> drain_capacities;
  for (const MaintenanceHost& host : input.hosts) {
    const bool serves = host.state != State::kDraining &&
                        host.state != State::kDown && !host.failed_for;
    DrainCapacity& drain_capacity = drain_capacities[host.pool];
    if (host.home == host.pool) {
      drain_capacity.absent += serves ? 0 : 1;
    } else {
      drain_capacity.limit += serves ? 1 : 0;
    }
    if (serves || host.home == host.pool) {
      ++racks[host.pool][{host.zone, host.rack}];
    }
  }
  for (const MaintenancePool& pool : input.pools) {
    DrainCapacity& drain_capacity = drain_capacities[pool.id];
    drain_capacity.limit += static_cast<int>(pool.max_unavailable.value);
    drain_capacity.limit_less_headroom =
        drain_capacity.limit - HeadroomOf(pool.survive, racks[pool.id]);
  }
  return drain_capacities;
}

// Returns for each pool whether all its failed hosts are in one domain whose
// failure it is set to survive.
std::map<PoolId, bool> CoveredFailures(const MaintenanceInput& input) {
  std::map<PoolId, SurvivedFailure> survive;
  for (const MaintenancePool& pool : input.pools) {
    survive[pool.id] = pool.survive;
  }
  std::map<PoolId, std::set<std::string>> domains;
  for (const MaintenanceHost& host : input.hosts) {
    if (!host.failed_for) {
      continue;
    }
    const SurvivedFailure kind = survive[host.pool];
    domains[host.pool].insert(kind == SurvivedFailure::kZone ? host.zone.value
                              : kind == SurvivedFailure::kRack
                                  ? host.zone.value + "/" + host.rack.value
                                  : host.id.value);
  }
  std::map<PoolId, bool> covered;
  for (const MaintenancePool& pool : input.pools) {
    covered[pool.id] =
        domains[pool.id].empty() || (domains[pool.id].size() == 1 &&
                                     pool.survive != SurvivedFailure::kNone);
  }
  return covered;
}

struct Outcome {
  double hours = 0;  // until all hosts are done
  std::int64_t moves = 0;
  int violations = 0;
  double planner_ms = 0;  // longest time to compute a plan
  bool ended = false;
  // Failed hosts that are not in maintenance, one count per tick.
  std::map<PoolId, std::vector<int>> unplanned;
};

// A budget is violated if a drain starts without drain capacity, or if the
// budget is exceeded while all failed hosts are in one domain whose failure the
// pool is set to survive.
int CountViolations(const MaintenancePlan& plan,
                    const MaintenanceInput& before,
                    const MaintenanceInput& after) {
  const auto covered = CoveredFailures(before);
  const auto drain_capacities_before = DrainCapacitiesOf(before);
  const auto drain_capacities = DrainCapacitiesOf(after);
  int violations = 0;
  for (const MaintenancePool& pool : before.pools) {
    const DrainCapacity& drain_capacity = drain_capacities_before.at(pool.id);
    violations +=
        covered.at(pool.id) && drain_capacity.absent > drain_capacity.limit ? 1
                                                                            : 0;
  }
  std::map<HostId, PoolId> pools;
  for (const MaintenanceHost& host : after.hosts) {
    pools[host.id] = host.pool;
  }
  for (const MaintenanceStep& step : plan.steps) {
    if (step.to == State::kDraining) {
      const DrainCapacity& drain_capacity =
          drain_capacities.at(pools.at(step.host));
      violations +=
          drain_capacity.absent > drain_capacity.limit_less_headroom ? 1 : 0;
    }
  }
  return violations;
}

// One host at a time per pool, in the order of the input.
MaintenancePlan NaivePlan(const MaintenanceInput& input) {
  MaintenancePlan plan;
  plan.done = true;
  std::set<PoolId> busy;
  const auto step = [&](const MaintenanceHost& host, State to) {
    plan.steps.push_back({host.id, host.state, to});
  };
  for (const MaintenanceHost& host : input.hosts) {
    plan.done = plan.done && host.state == State::kDone;
    if (host.state == State::kDown && host.back) {
      step(host, State::kDone);
    } else if (host.state == State::kDraining || host.state == State::kDown) {
      busy.insert(host.pool);
      if (host.drained) {
        step(host, State::kDown);
      }
    }
  }
  for (const MaintenanceHost& host : input.hosts) {
    if (host.state == State::kPending && !host.failed_for &&
        busy.insert(host.pool).second) {
      step(host, State::kDraining);
    }
  }
  return plan;
}

class Simulation {
 public:
  Simulation(const Size& size, const World& simulation)
      : size(size),
        simulation(simulation),
        input(simulation.input),
        state_since(simulation.input.hosts.size()),
        repaired(simulation.input.hosts.size()) {
    for (std::size_t i = 0; i < this->input.hosts.size(); ++i) {
      this->index[this->input.hosts[i].id] = i;
    }
  }

  template <typename Planner>
  Outcome Run(const Planner& planner) {
    Outcome outcome;
    const Duration limit = std::chrono::hours(24 * 60);
    for (; this->now < limit && !outcome.ended; this->now += this->size.tick) {
      const bool any_failed = this->ApplyEvents();
      this->RecordFailedHosts(&outcome);
      const auto start = std::chrono::steady_clock::now();
      const MaintenancePlan plan = planner(this->input);
      const std::chrono::duration<double, std::milli> took =
          std::chrono::steady_clock::now() - start;
      outcome.planner_ms = std::max(outcome.planner_ms, took.count());
      const MaintenanceInput before = this->input;
      this->Apply(plan);
      // Absence grows by a step or by a failure only.
      if (any_failed || !plan.steps.empty()) {
        outcome.violations += CountViolations(plan, before, this->input);
      }
      outcome.moves += static_cast<std::int64_t>(plan.moves.size());
      outcome.ended = plan.done;
    }
    outcome.hours =
        std::chrono::duration<double, std::ratio<3'600>>(this->now).count();
    return outcome;
  }

 private:
  // Applies the failures, repairs and completed drains and restarts up to now.
  // Returns whether any host failed.
  bool ApplyEvents() {
    const std::size_t first = this->next_failure;
    for (; this->next_failure < this->simulation.failures.size() &&
           this->simulation.failures[this->next_failure].at <= this->now;
         ++this->next_failure) {
      for (const std::size_t i :
           this->simulation.failures[this->next_failure].hosts) {
        this->input.hosts[i].failed_for = Duration(0);
        this->repaired[i] = this->now + this->size.repair;
      }
    }
    for (std::size_t i = 0; i < this->input.hosts.size(); ++i) {
      MaintenanceHost& host = this->input.hosts[i];
      if (host.failed_for) {
        const Duration age =
            this->now - (this->repaired[i] - this->size.repair);
        host.failed_for =
            age < this->size.repair ? std::optional(age) : std::nullopt;
      }
      const Duration elapsed = this->now - this->state_since[i];
      host.drained = host.state == State::kDraining &&
                     elapsed >= this->simulation.drain[i];
      // A failed host comes back only after its repair.
      host.back = host.state == State::kDown && !host.failed_for &&
                  elapsed >= this->simulation.down[i];
    }
    return this->next_failure > first;
  }

  void RecordFailedHosts(Outcome* outcome) const {
    std::map<PoolId, int> failed;
    for (const MaintenanceHost& host : this->input.hosts) {
      const bool planned =
          host.state == State::kDraining || host.state == State::kDown;
      failed[host.home] += host.failed_for && !planned ? 1 : 0;
    }
    for (const auto& [pool, hosts] : failed) {
      outcome->unplanned[pool].push_back(hosts);
    }
  }

  void Apply(const MaintenancePlan& plan) {
    for (const MaintenanceStep& step : plan.steps) {
      const std::size_t i = this->index.at(step.host);
      this->input.hosts[i].state = step.to;
      this->state_since[i] = this->now;
    }
    for (const MaintenanceMove& move : plan.moves) {
      this->input.hosts[this->index.at(move.host)].pool = move.to;
    }
  }

  const Size& size;
  const World& simulation;
  MaintenanceInput input;
  std::map<HostId, std::size_t> index;
  std::vector<Duration> state_since;  // of the current state
  std::vector<Duration> repaired;     // instant of the repair
  std::size_t next_failure = 0;
  Duration now{};
};

// Returns the fewest borrowed hosts with which the pool reaches the target
// drain capacity, found by trying counts. Borrowed hosts are spread as evenly
// as possible over the zones: the largest zone of the pool, and with it the
// headroom, grows only when all zones have reached its size.
int MinLoans(const MaintenancePool& pool,
             const HostsByRack& racks,
             int zones,
             int target_capacity) {
  const auto allowed = static_cast<int>(pool.max_unavailable.value);
  const int headroom = HeadroomOf(pool.survive, racks);
  if (allowed - headroom >= target_capacity) {
    return 0;
  }
  // Borrowed hosts come from other racks, so they enlarge zones only.
  if (pool.survive != SurvivedFailure::kZone) {
    return target_capacity - (allowed - headroom);
  }
  std::map<ZoneId, int> by_zone;
  for (const auto& [place, hosts] : racks) {
    by_zone[place.first] += hosts;
  }
  int free_places =
      headroom * zones;  // hosts to add until all zones are as large
  for (const auto& [zone, hosts] : by_zone) {
    free_places -= hosts;
  }
  int loans = 1;
  while (allowed + loans - headroom -
             std::max(0, (loans - free_places + zones - 1) / zones) <
         target_capacity) {
    ++loans;
  }
  return loans;
}

struct Bound {
  double hours = 0;
  std::int64_t moves = 0;
};

int OwnDrainCapacity(const MaintenancePool& pool, const HostsByRack& racks) {
  return static_cast<int>(pool.max_unavailable.value) -
         HeadroomOf(pool.survive, racks);
}

int CountHosts(const HostsByRack& racks) {
  int count = 0;
  for (const auto& [place, hosts] : racks) {
    count += hosts;
  }
  return count;
}

// Returns the lower bounds of the duration and the moves. A pool needs at least
// the time in which its drain capacity less its failed hosts, summed over the
// ticks, equals the drain and restart times of all its hosts. A pool without
// drain capacity of its own is given as much as it needs to finish in no more
// rounds than the slowest of the other pools.
Bound LowerBound(const Size& size,
                 const World& simulation,
                 const Outcome& outcome) {
  const auto racks = RacksByPool(simulation.input);
  std::map<PoolId, Duration> work;
  for (std::size_t i = 0; i < simulation.input.hosts.size(); ++i) {
    work[simulation.input.hosts[i].home] +=
        simulation.drain[i] + simulation.down[i];
  }
  double rounds = 0;
  for (const MaintenancePool& pool : simulation.input.pools) {
    const HostsByRack& pool_racks = racks.at(pool.id);
    const int drain_capacity = OwnDrainCapacity(pool, pool_racks);
    if (drain_capacity >= 1 && pool.id != PoolId("spare")) {
      rounds = std::max(rounds,
                        std::ceil(static_cast<double>(CountHosts(pool_racks)) /
                                  drain_capacity));
    }
  }
  Bound bound;
  for (const MaintenancePool& pool : simulation.input.pools) {
    const HostsByRack& pool_racks = racks.at(pool.id);
    int drain_capacity = OwnDrainCapacity(pool, pool_racks);
    if (drain_capacity < 1) {
      drain_capacity = std::max(
          1, static_cast<int>(std::ceil(CountHosts(pool_racks) / rounds)));
      bound.moves += std::int64_t{2} *
                     MinLoans(pool, pool_racks, size.zones, drain_capacity);
    }
    Duration left = work[pool.id];
    Duration time{};
    for (const int failed : outcome.unplanned.at(pool.id)) {
      if (left <= Duration(0)) {
        break;
      }
      left -= std::max(0, drain_capacity - failed) *
              duration_cast<Duration>(size.tick);
      time += size.tick;
    }
    bound.hours = std::max(
        bound.hours,
        std::chrono::duration<double, std::ratio<3'600>>(time).count());
  }
  return bound;
}

void Run(const Size& size, std::uint64_t seed) {
  const World simulation = MakeWorld(size, seed);
  MaintenanceConfig config;
  config.expected_drain = size.drain;
  config.expected_down = size.down;
  const MaintenancePlanner planner(config);
  const Outcome outcome =
      Simulation(size, simulation).Run([&](const MaintenanceInput& input) {
        return planner.OnState(input);
      });
  const Outcome naive = Simulation(size, simulation).Run(NaivePlan);
  const Bound bound = LowerBound(size, simulation, outcome);
  const auto moves =
      static_cast<double>(std::max<std::int64_t>(1, bound.moves));
  std::printf(
      "info bench=rollout size=%s seed=%llu hosts=%d hours=%.1f bound=%.1f "
      "naive_hours=%.1f moves=%lld least_moves=%lld ended=%s\n",
      size.name.c_str(), static_cast<unsigned long long>(seed), size.hosts,
      outcome.hours, bound.hours, naive.hours,
      static_cast<long long>(outcome.moves),
      static_cast<long long>(bound.moves), outcome.ended ? "yes" : "no");
  const std::string suffix = "_" + size.name;
  PrintResult({.bench = "rollout",
               .metric = "time_ratio" + suffix,
               .unit = "ratio",
               .value = outcome.ended ? outcome.hours / bound.hours : INFINITY,
               .naive = naive.hours / bound.hours,
               .target = kTimeRatioTarget});
  PrintResult({.bench = "rollout",
               .metric = "moves_ratio" + suffix,
               .unit = "ratio",
               .value = static_cast<double>(outcome.moves) / moves,
               .naive = static_cast<double>(naive.moves) / moves,
               .target = kMovesRatioTarget});
  PrintResult({.bench = "rollout",
               .metric = "violations" + suffix,
               .unit = "count",
               .value = static_cast<double>(outcome.violations),
               .naive = static_cast<double>(naive.violations),
               .target = 0});
  if (size.hosts >= 10'000) {
    PrintResult({.bench = "rollout",
                 .metric = "planner_ms" + suffix,
                 .unit = "ms",
                 .value = outcome.planner_ms,
                 .naive = naive.planner_ms,
                 .target = kPlannerMsTarget});
    PrintResult({.bench = "rollout",
                 .metric = "wave_days" + suffix,
                 .unit = "days",
                 .value = outcome.hours / 24,
                 .naive = naive.hours / 24,
                 .target = kDaysTarget});
  }
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  options::options_description description("bench_rollout");
  description.add_options()("seed", options::value(&seed), "random seed");
  options::variables_map values;
  try {
    options::store(options::parse_command_line(argc, argv, description),
                   values);
    options::notify(values);
  } catch (const options::error& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
  using peridot::Size;
  using std::chrono::minutes;
  using std::chrono::seconds;
  // The small fleets have failures far more often than expected in production,
  // so that several happen during each wave. The large fleets have the expected
  // rates.
  const Size small{.name = "4_zones",
                   .zones = 4,
                   .pools = 5,
                   .hosts = 200,
                   .drain = minutes(20),
                   .down = minutes(10),
                   .tick = seconds(30),
                   .min_drain_capacity = 2,
                   .host_failures_day = 12,
                   .rack_failures_day = 2,
                   .zone_failures_day = 0.5,
                   .repair = minutes(60)};
  Size three = small;
  three.name = "3_zones";
  three.zones = 3;
  three.hosts = 150;
  const Size large{.name = "10000_hosts",
                   .zones = 11,
                   .pools = 55,
                   .hosts = 10'000,
                   .drain = minutes(90),
                   .down = minutes(20),
                   .tick = minutes(5),
                   .min_drain_capacity = 2,
                   .host_failures_day = 190,
                   .rack_failures_day = 1.0 / 7,
                   .zone_failures_day = 1.0 / 60,
                   .repair = minutes(120)};
  // With drain capacity for one host only, every failure in a pool stops the
  // wave in this pool.
  Size tight_capacity = large;
  tight_capacity.name = "10000_hosts_room_1";
  tight_capacity.min_drain_capacity = 1;
  std::printf("seed=%llu\n", static_cast<unsigned long long>(seed));
  for (const Size& size : {small, three, large, tight_capacity}) {
    peridot::Run(size, seed);
  }
  return 0;
}
