// Settings in force: time until a change is in force, starts that violate the
// settings in force, and the work still served during outages of the store or
// of the network of a zone.
//
// Options: --seed N (default 1), --schedules N (default 10000).

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/support/result_line.h"
#include "tests/support/settings_fleet.h"

namespace peridot::testing {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

double Milliseconds(Duration d) {
  return std::chrono::duration<double, std::milli>(d).count();
}

FleetCounts RunSchedules(std::uint64_t seed, int schedules, bool naive) {
  FleetCounts total;
  for (int i = 0; i < schedules; ++i) {
    const std::uint64_t schedule_seed = seed + static_cast<std::uint64_t>(i);
    const FleetCounts counts = RunSettingsSchedule(schedule_seed, naive);
    if (!naive && counts.Violations() > 0) {
      std::printf("violation: seed=%llu\n",
                  static_cast<unsigned long long>(schedule_seed));
    }
    total.Add(counts);
  }
  return total;
}

// Runs nine daemons. Operators in the other zones change the settings while one
// zone is disconnected from the store and from the other zones. The settings
// lease remains 1.5 s.
FleetCounts RunSettingsChanges(std::uint64_t seed, bool naive) {
  FleetOptions options;
  options.daemons = 9;
  options.naive = naive;
  options.change_lease = false;
  SettingsFleet fleet(seed, options);
  fleet.RunFor(seconds(10));
  fleet.CutZone(0, true, true);
  for (int i = 0; i < 100; ++i) {
    fleet.Change(1 + (i % 2));  // zones 1 and 2
    fleet.RunFor(seconds(4));
  }
  return fleet.Counts();
}

enum class Outage {
  kZoneCutOffFromStore,
  kZoneIsolated,
  kStoreDown,
  kStoreDownDuringWrite,
};

// Returns the fraction of the affected daemons' work that is served during an
// outage of 10 minutes. While the store is up, operators change the settings
// every 15 s. `proof_sources` 1: only its own reads of the store prove that
// settings are current; 2: also proofs of peers; 3: also statements of all
// registered daemons that they have seen no later write.
double ServedFraction(std::uint64_t seed,
                      Outage outage,
                      int proof_sources,
                      bool naive) {
  FleetOptions options;
  options.daemons = 9;
  options.naive = naive;
  options.change_lease = false;
  options.lease.use_peer_proofs = proof_sources >= 2;
  options.lease.use_statements = proof_sources >= 3;
  const bool store_down =
      outage == Outage::kStoreDown || outage == Outage::kStoreDownDuringWrite;
  options.count_zone = store_down ? -1 : 0;
  SettingsFleet fleet(seed, options);
  fleet.RunFor(seconds(10));
  const FleetCounts before = fleet.Counts();
  if (outage == Outage::kStoreDownDuringWrite) {
    fleet.store_loses_writes = true;
    fleet.KeepZoneIn(1);
    fleet.RunFor(std::chrono::milliseconds(100));
  }
  if (store_down) {
    fleet.store_down = true;
  } else {
    fleet.CutZone(0, true, outage == Outage::kZoneIsolated);
  }
  for (Duration run{}; run < minutes(10); run += seconds(15)) {
    fleet.KeepZoneIn(1);
    fleet.RunFor(seconds(15));
  }
  const FleetCounts after = fleet.Counts();
  return static_cast<double>(after.served - before.served) /
         static_cast<double>(after.attempts - before.attempts);
}

bool PrintServedFractions(std::uint64_t seed) {
  struct OutageCase {
    const char* metric;
    Outage outage;
    int proof_sources;
    double target;
  };
  // Target: the required fraction; 0: no requirement for this outage.
  const OutageCase outage_cases[] = {
      {"served_cut_off_own_reads", Outage::kZoneCutOffFromStore, 1, 0},
      {"served_cut_off_rules_1_2", Outage::kZoneCutOffFromStore, 2, 0.99},
      {"served_cut_off_rules_1_2_3", Outage::kZoneCutOffFromStore, 3, 0.99},
      {"served_isolated_rules_1_2_3", Outage::kZoneIsolated, 3, 0},
      {"served_store_down_own_reads", Outage::kStoreDown, 1, 0},
      {"served_store_down_rules_1_2", Outage::kStoreDown, 2, 0},
      {"served_store_down_rules_1_2_3", Outage::kStoreDown, 3, 0.99},
      // The store goes down between the read before a write and the write.
      {"served_store_down_during_write", Outage::kStoreDownDuringWrite, 3, 0},
  };
  bool ok = true;
  for (const OutageCase& outage_case : outage_cases) {
    ok &= PrintResult({"settings", outage_case.metric, "fraction",
                       ServedFraction(seed, outage_case.outage,
                                      outage_case.proof_sources, false),
                       ServedFraction(seed, outage_case.outage,
                                      outage_case.proof_sources, true),
                       outage_case.target, Better::kHigher});
  }
  return ok;
}

int Main(std::uint64_t seed, int schedules) {
  std::printf("seed=%llu schedules=%d\n", static_cast<unsigned long long>(seed),
              schedules);
  const FleetCounts lease = RunSettingsChanges(seed, false);
  const FleetCounts poll = RunSettingsChanges(seed, true);
  bool ok = PrintResult(
      {"settings", "in_force_ms", "ms", Milliseconds(lease.in_force_max),
       Milliseconds(poll.in_force_max), 3000, Better::kLower});
  std::printf("in_force: changes=%lld forbidden_starts=%lld naive=%lld\n",
              static_cast<long long>(lease.in_force),
              static_cast<long long>(lease.forbidden_starts),
              static_cast<long long>(poll.forbidden_starts));
  const FleetCounts total = RunSchedules(seed, schedules, false);
  const FleetCounts naive = RunSchedules(seed, schedules, true);
  const auto print = [&](const char* metric, std::int64_t value,
                         std::int64_t naive_value) {
    ok &= PrintResult({"settings", metric, "count", static_cast<double>(value),
                       static_cast<double>(naive_value), 0, Better::kLower});
  };
  print("forbidden_starts", total.forbidden_starts, naive.forbidden_starts);
  print("stale_starts", total.stale_starts, naive.stale_starts);
  print("late_starts", total.late_starts, naive.late_starts);
  print("fenced_starts", total.fenced_starts, naive.fenced_starts);
  print("reverts", total.rollbacks, naive.rollbacks);
  print("false_outcomes", total.false_outcomes, naive.false_outcomes);
  std::printf("schedules: starts=%lld committed=%lld in_force=%lld\n",
              static_cast<long long>(total.starts),
              static_cast<long long>(total.committed),
              static_cast<long long>(total.in_force));
  ok &= PrintServedFractions(seed);
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace peridot::testing

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  int schedules = 10000;
  for (int i = 1; i + 1 < argc; i += 2) {
    const std::string name = argv[i];
    if (name == "--seed") {
      seed = std::strtoull(argv[i + 1], nullptr, 10);
    } else if (name == "--schedules") {
      schedules = std::atoi(argv[i + 1]);
    }
  }
  return peridot::testing::Main(seed, schedules);
}
