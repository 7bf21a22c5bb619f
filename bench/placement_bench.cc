// Cost of one placement decision: select the team that gets a slot, take the
// slot from the least used endpoint, and return it. The naive version scans
// every endpoint for the least used one.
//
// bench_placement [--seed N]

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "src/coordination/slot_allocator.h"
#include "src/coordination/slot_ledger.h"
#include "tests/support/allocation_counter.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using testing::Better;
using testing::PrintResult;

constexpr int kSlotsPerWorker = 8;
constexpr int kTeams = 97;
constexpr int kDecisions = 200'000;
constexpr int kNaiveDecisions = 2'000;
const PoolId kPool("pool");

struct Sample {
  double nanoseconds = 0;
  double allocations = 0;
};

struct Owner {
  SlotLedger ledger;
  SlotAllocator allocator;
  std::vector<SlotDemand> demands;
  std::vector<std::pair<SlotToken, TeamId>> running;
};

Owner MakeOwner(int workers, Instant now) {
  Owner owner;
  for (int i = 0; i < workers; ++i) {
    const EndpointId id("worker-" + std::to_string(i));
    owner.ledger.OnEndpoint(id, kPool, ZoneId("z1"),
                            SlotCount(kSlotsPerWorker));
    owner.ledger.SetUsable(id, true);
  }
  for (int i = 0; i < kTeams; ++i) {
    owner.demands.push_back({.daemon = {DaemonId("d1"), Incarnation(1)},
                             .queue = QueueId("q" + std::to_string(i)),
                             .team = TeamId("t" + std::to_string(i)),
                             .share = Share(1 + i % 5),
                             .waiting = 1'000'000'000});
    owner.allocator.OnDemand(owner.demands.back(), now);
  }
  return owner;
}

void PlaceTask(Owner* owner, Instant now) {
  const auto pick = owner->allocator.Pick(now);
  const auto slot = owner->ledger.Take(kPool, pick->team, now);
  owner->running.emplace_back(slot->token, pick->team);
}

// Keeps about nine tenths of the slots in use and ends a random task before
// each decision.
Sample Measure(int workers, std::uint64_t seed) {
  const Instant now = Instant{} + std::chrono::seconds(1);
  std::mt19937_64 random(seed);
  Owner owner = MakeOwner(workers, now);
  const int target_tasks = workers * kSlotsPerWorker * 9 / 10;
  for (int i = 0; i < target_tasks; ++i) {
    PlaceTask(&owner, now);
  }
  const auto step = [&] {
    auto& chosen = owner.running[random() % owner.running.size()];
    std::swap(chosen, owner.running.back());
    owner.ledger.Return(owner.running.back().first, false, now);
    owner.allocator.OnReleased(owner.running.back().second);
    owner.running.pop_back();
    PlaceTask(&owner, now);
  };
  for (int i = 0; i < kDecisions; ++i) {
    step();
  }
  const std::int64_t allocations = testing::allocation_count;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    step();
  }
  const auto took = std::chrono::steady_clock::now() - start;
  return {static_cast<double>(took.count()) / kDecisions,
          static_cast<double>(testing::allocation_count - allocations) /
              kDecisions};
}

Sample MeasureNaive(int workers, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::vector<int> used(static_cast<std::size_t>(workers), 7);
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kNaiveDecisions; ++i) {
    std::size_t best = 0;
    for (std::size_t j = 1; j < used.size(); ++j) {
      if (used[j] < used[best]) {
        best = j;
      }
    }
    ++used[best];
    --used[random() % used.size()];
  }
  const auto took = std::chrono::steady_clock::now() - start;
  return {static_cast<double>(took.count()) / kNaiveDecisions, 0};
}

void Run(std::uint64_t seed) {
  std::printf(
      "bench placement seed=%llu teams=%d slots_per_worker=%d "
      "decisions=%d\n",
      static_cast<unsigned long long>(seed), kTeams, kSlotsPerWorker,
      kDecisions);
  double smallest = 0;
  for (const int workers : {100, 1'000, 10'000}) {
    const Sample ours = Measure(workers, seed);
    const Sample naive = MeasureNaive(workers, seed);
    smallest = workers == 100 ? ours.nanoseconds : smallest;
    const std::string size = std::to_string(workers);
    PrintResult({"placement", "decision_ns_" + size, "ns", ours.nanoseconds,
                 naive.nanoseconds, 2'000, Better::kLower});
    PrintResult({"placement", "allocations_" + size, "count", ours.allocations,
                 naive.allocations, 0, Better::kLower});
    PrintResult({"placement", "growth_" + size, "ratio",
                 ours.nanoseconds / smallest, 0, 2, Better::kLower});
  }
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("bench_placement");
  options.add_options()("seed", po::value<std::uint64_t>()->default_value(1));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  peridot::Run(values["seed"].as<std::uint64_t>());
  return 0;
}
