// Size of the shared buffer of hosts and the availability budgets that it keeps
// under correlated failures.
//
// The fleet is reduced to the hosts that the plan needs. In each simulated turn
// a random pool has its peak demand, the plan is applied, and one host, rack or
// zone fails. Every budget that covers such a failure is checked three times:
// right after the failure without any move, after the next plan, and after the
// peak has moved to another pool during the failure. A second run uses the full
// fleet, with hosts in maintenance and one zone out of service in every fifth
// turn. Two more runs on the full fleet count the moves with and without
// hysteresis.
//
// In the naive version each pool has hosts for its peak and a fifth more, and
// pools share nothing.
//
// bench_buffer [--seed N]

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/buffer_planner.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using testing::PrintResult;

constexpr double kBufferRatioTarget = 1.10;
constexpr int kRackSize = 4;
constexpr int kPeakFactor = 5;      // peak demand / mean demand
constexpr int kTroughDivisor = 20;  // trough = mean demand / divisor
constexpr double kNaiveReserveFraction =
    0.2;  // spare hosts / peak, of each pool
constexpr double kPeakToHeldRatio =
    1.1;                         // a peak exceeds the hosts of the pool
constexpr int kStepSeconds = 5;  // between two plans
constexpr int kMaintenanceDivisor =
    50;                                 // one host in so many is in maintenance
constexpr int kTurnsPerZoneOutage = 5;  // turns

struct Size {
  std::string name;  // such as "4_zones"
  int zones = 0;
  int pools = 0;  // including the spare pool
  int hosts = 0;
  int turns = 0;  // peaks to simulate
};

BufferInput MakeFleet(const Size& size) {
  BufferInput input;
  std::map<std::pair<int, int>, int> placed;  // hosts by (zone, pool)
  for (int i = 0; i < size.hosts; ++i) {
    const int zone = i % size.zones;
    const int pool = i / size.zones % size.pools;
    const int rack = placed[{zone, pool}]++ / kRackSize;
    const std::string name =
        pool == 0 ? "spare" : "pool" + std::to_string(pool);
    input.hosts.push_back({.id = HostId("h" + std::to_string(i)),
                           .zone = ZoneId("z" + std::to_string(zone)),
                           .rack = RackId(name + "-" + std::to_string(rack)),
                           .pool = PoolId(name)});
  }
  const double held = static_cast<double>(size.hosts) / size.pools;
  const auto peak = static_cast<std::int64_t>(held * kPeakToHeldRatio);
  const std::int64_t mean = peak / kPeakFactor;
  // Half of the pools are set to survive the failure of a zone, the others that
  // of a rack or a host.
  const SurvivedFailure survive[] = {
      SurvivedFailure::kZone, SurvivedFailure::kRack, SurvivedFailure::kZone,
      SurvivedFailure::kHost};
  for (int p = 1; p < size.pools; ++p) {
    input.pools.push_back(
        {.id = PoolId("pool" + std::to_string(p)),
         .demand = HostCount(std::max<std::int64_t>(1, mean / kTroughDivisor)),
         .peak = HostCount(peak),
         .trough = HostCount(std::max<std::int64_t>(1, mean / kTroughDivisor)),
         .max_unavailable = HostCount(1 + p % 2),
         .survive = survive[p % 4]});
  }
  return input;
}

// Returns the smallest number of hosts with which a pool keeps its budget after
// the failure of any one domain, independently of the planner. `sizes` holds
// the number of hosts of each failure domain. A size is sufficient if the hosts
// fit into the domains with at most as many in each as the pool can lose.
std::int64_t MinHosts(std::int64_t demand,
                      const BufferPool& pool,
                      const std::vector<int>& sizes) {
  const std::int64_t floor =
      std::max<std::int64_t>(0, demand - pool.max_unavailable.value);
  if (floor == 0 || sizes.empty()) {
    return demand;
  }
  for (std::int64_t hosts = std::max(demand, floor + 1);; ++hosts) {
    std::int64_t placeable_hosts = 0;
    for (const int size : sizes) {
      placeable_hosts += std::min<std::int64_t>(size, hosts - floor);
    }
    if (placeable_hosts >= hosts) {
      return hosts;
    }
  }
}

struct Domains {
  std::vector<int> zones;
  std::vector<int> racks;
  std::vector<int> hosts;

  const std::vector<int>& SizesOf(SurvivedFailure failure) const {
    static const std::vector<int> none;
    switch (failure) {
      case SurvivedFailure::kZone:
        return this->zones;
      case SurvivedFailure::kRack:
        return this->racks;
      case SurvivedFailure::kHost:
        return this->hosts;
      case SurvivedFailure::kNone:
        break;
    }
    return none;
  }
};

Domains DomainsOf(const BufferInput& input) {
  std::map<ZoneId, int> zones;
  std::map<std::pair<ZoneId, RackId>, int> racks;
  for (const BufferHost& host : input.hosts) {
    ++zones[host.zone];
    ++racks[{host.zone, host.rack}];
  }
  Domains domains;
  for (const auto& [zone, hosts] : zones) {
    domains.zones.push_back(hosts);
  }
  for (const auto& [rack, hosts] : racks) {
    domains.racks.push_back(hosts);
  }
  domains.hosts.assign(input.hosts.size(), 1);
  return domains;
}

struct Bound {
  std::int64_t hosts = 0;   // enough for the peak of any one pool
  std::int64_t demand = 0;  // highest total demand of the fleet
};

Bound LowerBound(const BufferInput& input) {
  const Domains domains = DomainsOf(input);
  Bound bound;
  for (const BufferPool& peaking : input.pools) {
    std::int64_t hosts = 0;
    std::int64_t demand = 0;
    for (const BufferPool& pool : input.pools) {
      const HostCount pool_demand = &pool == &peaking ? pool.peak : pool.trough;
      hosts += MinHosts(pool_demand.value, pool, domains.SizesOf(pool.survive));
      demand += pool_demand.value;
    }
    bound.hosts = std::max(bound.hosts, hosts);
    bound.demand = std::max(bound.demand, demand);
  }
  return bound;
}

void Apply(const BufferPlan& plan, BufferInput* input) {
  std::map<HostId, PoolId> to;
  for (const BufferMove& move : plan.moves) {
    to[move.host] = move.to;
  }
  for (BufferHost& host : input->hosts) {
    if (const auto found = to.find(host.id); found != to.end()) {
      host.pool = found->second;
    }
  }
}

// Counts the pools that are set to survive this class of failure but have fewer
// hosts in service than their budget allows.
int CountViolatedBudgets(const BufferInput& input, SurvivedFailure failure) {
  std::map<PoolId, std::int64_t> serving;
  for (const BufferHost& host : input.hosts) {
    serving[host.pool] += host.condition == HostCondition::kServing &&
                                  !input.zones_out.contains(host.zone)
                              ? 1
                              : 0;
  }
  int violated = 0;
  for (const BufferPool& pool : input.pools) {
    const bool covered = pool.survive >= failure;
    const std::int64_t floor = pool.demand.value - pool.max_unavailable.value;
    violated += covered && serving[pool.id] < floor ? 1 : 0;
  }
  return violated;
}

void FailDomain(SurvivedFailure failure,
                const BufferHost& at,
                BufferInput* input) {
  for (BufferHost& host : input->hosts) {
    const bool same_zone = host.zone == at.zone;
    const bool hit = failure == SurvivedFailure::kZone ? same_zone
                     : failure == SurvivedFailure::kRack
                         ? same_zone && host.rack == at.rack
                         : host.id == at.id;
    if (hit) {
      host.condition = HostCondition::kFailed;
    }
  }
}

void SetPeak(std::size_t peaking, BufferInput* input) {
  for (std::size_t p = 0; p < input->pools.size(); ++p) {
    BufferPool& pool = input->pools[p];
    pool.demand = p == peaking ? pool.peak : pool.trough;
  }
}

struct Sample {
  int violations = 0;  // with the shared buffer
  int naive = 0;       // without it
  std::int64_t moves = 0;
  std::int64_t turns = 0;
  double plan_ms = 0;  // longest time to compute a plan
};

// Counts the violated budgets of the naive version, in which each pool has
// hosts for its peak and a fixed part more, spread evenly over the zones.
int CountNaiveViolatedBudgets(const Size& size,
                              const BufferInput& input,
                              SurvivedFailure failure) {
  int violated = 0;
  for (const BufferPool& pool : input.pools) {
    const auto hosts = static_cast<std::int64_t>(
        static_cast<double>(pool.peak.value) * (1 + kNaiveReserveFraction));
    const std::int64_t in_zone = (hosts + size.zones - 1) / size.zones;
    const std::int64_t lost = failure == SurvivedFailure::kZone   ? in_zone
                              : failure == SurvivedFailure::kRack ? kRackSize
                                                                  : 1;
    const std::int64_t floor = pool.demand.value - pool.max_unavailable.value;
    violated += pool.survive >= failure && hosts - lost < floor ? 1 : 0;
  }
  return violated;
}

struct Scenario {
  bool with_disruptions = false;  // hosts in maintenance and zone outages
  BufferConfig config;
};

// Puts random hosts into maintenance and takes one zone out of service every
// kTurnsPerZoneOutage turns.
void ApplyDisruptions(int turn, std::mt19937_64* random, BufferInput* input) {
  for (BufferHost& host : input->hosts) {
    host.condition = (*random)() % kMaintenanceDivisor == 0
                         ? HostCondition::kMaintenance
                         : HostCondition::kServing;
  }
  input->zones_out.clear();
  if (turn % kTurnsPerZoneOutage == 0) {
    input->zones_out.insert(
        input->hosts[(*random)() % input->hosts.size()].zone);
  }
}

Sample Simulate(const Size& size,
                const Scenario& scenario,
                BufferInput input,
                std::mt19937_64* random) {
  Sample sample;
  BufferPlanner planner(scenario.config);
  Instant now = Instant{} + std::chrono::seconds(1);
  const auto plan = [&](BufferInput* state) {
    const auto start = std::chrono::steady_clock::now();
    const BufferPlan made = planner.OnState(*state, now);
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - start;
    sample.plan_ms = std::max(sample.plan_ms, took.count());
    Apply(made, state);
    now += std::chrono::seconds(kStepSeconds);
    return static_cast<std::int64_t>(made.moves.size());
  };
  const SurvivedFailure kinds[] = {
      SurvivedFailure::kHost, SurvivedFailure::kRack, SurvivedFailure::kZone};
  for (int turn = 0; turn < size.turns; ++turn) {
    SetPeak((*random)() % input.pools.size(), &input);
    if (scenario.with_disruptions) {
      ApplyDisruptions(turn, random, &input);
    }
    sample.moves += plan(&input);
    ++sample.turns;
    const SurvivedFailure failure = kinds[(*random)() % 3];
    BufferInput failed = input;
    // Only hosts in a zone that is in service fail.
    BufferHost at;
    do {
      at = input.hosts[(*random)() % input.hosts.size()];
    } while (input.zones_out.contains(at.zone));
    FailDomain(failure, at, &failed);
    sample.violations += CountViolatedBudgets(failed, failure);
    sample.naive += CountNaiveViolatedBudgets(size, failed, failure);
    plan(&failed);
    sample.violations += CountViolatedBudgets(failed, failure);
    SetPeak((*random)() % input.pools.size(), &failed);
    plan(&failed);
    sample.violations += CountViolatedBudgets(failed, failure);
    // Failed hosts recover in the pool to which the plan has moved them.
    input.hosts = failed.hosts;
    for (BufferHost& host : input.hosts) {
      host.condition = HostCondition::kServing;
    }
  }
  return sample;
}

void Run(const Size& size, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const BufferInput full_fleet = MakeFleet(size);
  BufferInput input = full_fleet;
  const Bound bound = LowerBound(input);
  BufferPlanner planner;
  const BufferPlan plan = planner.OnState(input, Instant{});
  const std::set<HostId> surplus(plan.surplus.begin(), plan.surplus.end());
  std::erase_if(input.hosts, [&](const BufferHost& host) {
    return surplus.contains(host.id);
  });
  const Sample sample = Simulate(size, {}, input, &random);
  const Sample with_disruptions = Simulate(
      size, {.with_disruptions = true, .config = {}}, full_fleet, &random);
  std::mt19937_64 reseeded_random(seed);
  const Sample with_hysteresis =
      Simulate(size, {}, full_fleet, &reseeded_random);
  reseeded_random.seed(seed);
  const Sample without_hysteresis =
      Simulate(size,
               {.config = {.return_after = Duration(0),
                           .return_threshold = HostCount(0)}},
               full_fleet, &reseeded_random);

  const auto held = static_cast<double>(input.hosts.size());
  const auto demand = static_cast<double>(bound.demand);
  const double min_buffer = static_cast<double>(bound.hosts) - demand;
  double naive = -demand;
  for (const BufferPool& pool : input.pools) {
    naive += static_cast<double>(pool.peak.value) * (1 + kNaiveReserveFraction);
  }
  std::printf(
      "info bench=buffer size=%s seed=%llu hosts=%d demand=%.0f "
      "held=%.0f bound=%.0f missing=%lld cut_fleet_moves_per_turn=%.1f "
      "plan_ms_max=%.1f\n",
      size.name.c_str(), static_cast<unsigned long long>(seed), size.hosts,
      demand, held, min_buffer, static_cast<long long>(plan.missing.value),
      static_cast<double>(sample.moves) / static_cast<double>(sample.turns),
      std::max(
          {sample.plan_ms, with_disruptions.plan_ms, with_hysteresis.plan_ms}));
  const std::string suffix = "_" + size.name;
  PrintResult({.bench = "buffer",
               .metric = "buffer_ratio" + suffix,
               .unit = "ratio",
               .value = (held - demand) / min_buffer,
               .naive = naive / min_buffer,
               .target = kBufferRatioTarget});
  PrintResult({.bench = "buffer",
               .metric = "buffer_hosts" + suffix,
               .unit = "hosts",
               .value = held - demand,
               .naive = naive,
               .target = min_buffer * kBufferRatioTarget});
  PrintResult({.bench = "buffer",
               .metric = "violations" + suffix,
               .unit = "count",
               .value = static_cast<double>(sample.violations),
               .naive = static_cast<double>(sample.naive),
               .target = 0});
  PrintResult({.bench = "buffer",
               .metric = "violations_disturbed" + suffix,
               .unit = "count",
               .value = static_cast<double>(with_disruptions.violations),
               .naive = static_cast<double>(with_disruptions.naive),
               .target = 0});
  // Hysteresis has to save moves, so the target is the count without it.
  const auto per_turn = [](const Sample& each) {
    return static_cast<double>(each.moves) / static_cast<double>(each.turns);
  };
  PrintResult({.bench = "buffer",
               .metric = "moves_per_turn" + suffix,
               .unit = "moves",
               .value = per_turn(with_hysteresis),
               .naive = per_turn(without_hysteresis),
               .target = per_turn(without_hysteresis)});
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  std::uint64_t seed = 1;
  options::options_description description("bench_buffer");
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
  const Size sizes[] = {
      {.name = "4_zones", .zones = 4, .pools = 5, .hosts = 200, .turns = 400},
      {.name = "3_zones", .zones = 3, .pools = 5, .hosts = 150, .turns = 400},
      {.name = "10000_hosts",
       .zones = 11,
       .pools = 55,
       .hosts = 10'000,
       .turns = 60}};
  std::printf("seed=%llu\n", static_cast<unsigned long long>(seed));
  for (const Size& size : sizes) {
    peridot::Run(size, seed);
  }
  return 0;
}
