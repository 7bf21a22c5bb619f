// Cost of settings at the fleet size expected in two years: 55 pools, 97 teams,
// 1,100 queues, 291 keys, 11 zones.
//
// bench_settings_lookup [--seed N]
//
// Targets: the control traffic of a daemon may use 1.7% of a core and 2 KB/s.
// At 5,600 changes per day this is 262 ms and 30,857 bytes per change. Lookups
// may use the same part of a core at 3,636 starts per second, that is 4,675 ns
// per lookup. This is the rate of one of 22 daemons (two per zone) when 10,000
// workers with 8 slots run tasks of 1 s.

#include <yaml-cpp/yaml.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "src/protocol/settings_yaml.h"
#include "src/state/settings_tree.h"
#include "tests/support/allocation_counter.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using testing::Better;
using testing::PrintResult;

constexpr int kPools = 55;
constexpr int kTeams = 97;
constexpr int kTeamsPerPool = 10;
constexpr int kQueuesPerTeam = 2;
constexpr int kKeysPerTeam = 3;
constexpr int kZones = 11;
constexpr int kLookups = 200'000;
constexpr int kParses = 20;

constexpr double kCpuBudgetCores = 0.017;
constexpr double kSecondsPerChange = 86'400.0 / 5'600;
constexpr double kParseTargetMs = kCpuBudgetCores * kSecondsPerChange * 1e3;
constexpr double kRowTargetBytes = 2'000 * kSecondsPerChange;
constexpr double kStartsPerDaemon = 10'000.0 * 8 / 22;
constexpr double kLookupTargetNs = kCpuBudgetCores / kStartsPerDaemon * 1e9;

struct Sample {
  double nanoseconds = 0;
  double allocations = 0;
};

template <typename F>
Sample Measure(int rounds, const F& step) {
  const std::int64_t allocations = testing::allocation_count;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < rounds; ++i) {
    step();
  }
  const auto took = std::chrono::steady_clock::now() - start;
  return {
      static_cast<double>(took.count()) / rounds,
      static_cast<double>(testing::allocation_count - allocations) / rounds};
}

std::string Name(const char* prefix, int number) {
  return std::string(prefix) + std::to_string(number);
}

SettingsDocument MakeDocument(std::mt19937_64& random) {
  SettingsDocument document;
  document.settings = {{Setting::kDeadlineMs, 30'000}};
  for (int i = 0; i < kZones; ++i) {
    document.zones[ZoneId(Name("zone-", i))] = ZoneState::kIn;
  }
  for (int i = 0; i < kTeams; ++i) {
    const TeamId team(Name("team-", i));
    document.teams[team].settings = {{Setting::kShare, 1 + i % 5},
                                     {Setting::kLimit, 1'000}};
    for (int k = 0; k < kKeysPerTeam; ++k) {
      const KeyDigest digest = DigestKeyText(std::to_string(random()));
      document.keys.push_back({MakeKeyId(digest), team, digest});
    }
  }
  for (int i = 0; i < kPools; ++i) {
    PoolNode& pool = document.pools[PoolId(Name("pool-", i))];
    pool.settings = {{Setting::kMaxUnavailable, 4}, {Setting::kSurvive, 2}};
    for (int t = 0; t < kTeamsPerPool; ++t) {
      const int number = (i * kTeamsPerPool + t) % kTeams;
      PoolTeamNode& team = pool.teams[TeamId(Name("team-", number))];
      for (int q = 0; q < kQueuesPerTeam; ++q) {
        team.queues[Name("queue-", t * kQueuesPerTeam + q)].settings = {
            {Setting::kPriority, q}, {Setting::kRunMs, 400}};
      }
    }
  }
  return document;
}

// The naive version: looks up each setting of a queue in the tree.
std::int64_t NaiveQueueLookup(const SettingsTree& tree,
                              const std::string& path) {
  std::int64_t sum = 0;
  for (const Setting setting :
       {Setting::kOpen, Setting::kPriority, Setting::kDeadlineMs,
        Setting::kMaxAttempts, Setting::kRunMs, Setting::kSlotsPerTask}) {
    sum += tree.Effective(path, setting).value().value;
  }
  return sum;
}

void MeasureLookups(const SettingsTree& tree, std::mt19937_64& random) {
  std::int64_t sum = 0;  // keeps the compiler from removing the lookups
  const auto queues = tree.Queues();
  const Sample queue = Measure(kLookups, [&] {
    const QueueId& id = queues[random() % queues.size()].id;
    sum += tree.FindQueue(id.value)->max_attempts;
  });
  const std::vector<std::string> paths = tree.NodePaths();
  std::vector<std::string> queue_paths;
  for (const std::string& path : paths) {
    if (LevelOfPath(path) == SettingsLevel::kQueue) {
      queue_paths.push_back(path);
    }
  }
  const Sample naive_queue = Measure(kLookups / 10, [&] {
    sum += NaiveQueueLookup(tree, queue_paths[random() % queue_paths.size()]);
  });
  const std::vector<TeamKey>& keys = tree.Document().keys;
  const Sample key = Measure(kLookups / 10, [&] {
    const KeyDigest& digest = keys[random() % keys.size()].digest;
    sum += static_cast<std::int64_t>(tree.FindKey(digest)->id.value.size());
  });
  std::map<std::string, const TeamKey*> by_digest;
  for (const TeamKey& entry : keys) {
    by_digest[entry.digest.Hex()] = &entry;
  }
  const Sample naive_key = Measure(kLookups / 10, [&] {
    const KeyDigest& digest = keys[random() % keys.size()].digest;
    sum +=
        static_cast<std::int64_t>(by_digest.at(digest.Hex())->id.value.size());
  });
  PrintResult({"settings_lookup", "queue_lookup", "ns", queue.nanoseconds,
               naive_queue.nanoseconds, kLookupTargetNs, Better::kLower});
  PrintResult({"settings_lookup", "queue_lookup_allocations", "count",
               queue.allocations, naive_queue.allocations, 0, Better::kLower});
  PrintResult({"settings_lookup", "key_lookup", "ns", key.nanoseconds,
               naive_key.nanoseconds, kLookupTargetNs, Better::kLower});
  PrintResult({"settings_lookup", "key_lookup_allocations", "count",
               key.allocations, naive_key.allocations, 0, Better::kLower});
  std::printf("checksum=%lld\n", static_cast<long long>(sum));
}

void Run(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  const SettingsTree tree =
      SettingsTree::Create(MakeDocument(random), Revision(1)).value();
  std::printf("bench settings_lookup seed=%llu queues=%zu keys=%zu\n",
              static_cast<unsigned long long>(seed), tree.Queues().size(),
              tree.Document().keys.size());
  MeasureLookups(tree, random);
  const std::string row = FormatSettingsRow({tree, "operation"}).value();
  const Sample parse =
      Measure(kParses, [&] { (void)ParseSettingsRow(row).value(); });
  // The naive version loads the YAML nodes without checking the content.
  const Sample naive = Measure(kParses, [&] { (void)YAML::Load(row); });
  PrintResult({"settings_lookup", "parse_row", "ms", parse.nanoseconds / 1e6,
               naive.nanoseconds / 1e6, kParseTargetMs, Better::kLower});
  // The row size has no naive version, so naive is 0.
  PrintResult({"settings_lookup", "row_size", "bytes",
               static_cast<double>(row.size()), 0, kRowTargetBytes,
               Better::kLower});
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("bench_settings_lookup");
  options.add_options()("seed", po::value<std::uint64_t>()->default_value(1));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  peridot::Run(values["seed"].as<std::uint64_t>());
  return 0;
}
