// Cost of membership per daemon and the time until a change is detected.
//
// Options: --seed N (default 1).

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "tests/support/membership_fleet.h"
#include "tests/support/result_line.h"

namespace peridot::testing {
namespace {

using std::chrono::seconds;

struct Cost {
  double bytes_per_s = 0;
  double cpu_fraction = 0;
};

// Returns the bytes sent and received and the CPU use per daemon while one
// daemon restarts every 10 s.
Cost MeasureCost(std::uint64_t seed,
                 int daemons,
                 MembershipOptions options,
                 Duration length) {
  MembershipFleet fleet(seed, daemons, options);
  for (Duration run{}; run < length; run += seconds(10)) {
    fleet.RestartRandomDaemon();
    fleet.RunFor(std::min<Duration>(seconds(10), length));
  }
  const double total = daemons * std::chrono::duration<double>(length).count();
  return {static_cast<double>(fleet.Bytes()) / total,
          std::chrono::duration<double>(fleet.Cpu()).count() / total};
}

bool PrintCost(std::uint64_t seed, int daemons) {
  const Cost cost = MeasureCost(seed, daemons, {}, seconds(30));
  // In the naive version every daemon probes every other one in each period. It
  // is not run with 1,000 daemons, where it needs 2 million probes per second.
  MembershipOptions all;
  all.probe_fanout = daemons - 1;
  Cost naive{std::nan(""), std::nan("")};
  if (daemons <= 100) {
    naive = MeasureCost(seed, daemons, all, seconds(10));
  }
  const std::string n = std::to_string(daemons);
  const bool bytes_ok =
      PrintResult({"membership", "bytes_per_s_" + n, "B/s", cost.bytes_per_s,
                   naive.bytes_per_s, 2048, Better::kLower});
  const bool cpu_ok = PrintResult({"membership", "cpu_fraction_" + n, "cores",
                                   cost.cpu_fraction, naive.cpu_fraction, 0.017,
                                   Better::kLower});
  return bytes_ok && cpu_ok;
}

// Prints the longest detection times of 20 runs. In the naive version a peer
// that missed a probe is probed again only in its next round-robin turn.
bool PrintDetectionTimes(std::uint64_t seed, int daemons) {
  Duration worst[2][3] = {};
  for (int version = 0; version < 2; ++version) {
    MembershipOptions options;
    if (version == 1) {
      options.min_round_robin_probes = options.probe_fanout;
    }
    for (std::uint64_t run = 0; run < 20; ++run) {
      MembershipFleet fleet(seed + run, daemons, options);
      Duration* w = worst[version];
      w[0] = std::max(w[0], fleet.TimeToDetectLeaving());
      w[1] = std::max(w[1], fleet.TimeToDetectCrash());
      w[2] = std::max(w[2], fleet.TimeToDetectReturn());
    }
  }
  const char* names[] = {"leaving", "death", "return"};
  bool ok = true;
  for (int i = 0; i < 3; ++i) {
    // Changes have to be detected within a few seconds.
    ok &= PrintResult(
        {"membership",
         std::string("notice_ms_") + names[i] + "_" + std::to_string(daemons),
         "ms", std::chrono::duration<double, std::milli>(worst[0][i]).count(),
         std::chrono::duration<double, std::milli>(worst[1][i]).count(), 3000,
         Better::kLower});
  }
  return ok;
}

int Main(std::uint64_t seed) {
  std::printf("seed=%llu\n", static_cast<unsigned long long>(seed));
  bool ok = true;
  for (const int daemons : {9, 100, 1000}) {
    ok &= PrintCost(seed, daemons);
  }
  for (const int daemons : {9, 100}) {
    ok &= PrintDetectionTimes(seed, daemons);
  }
  return ok ? 0 : 1;
}

}  // namespace
}  // namespace peridot::testing

int main(int argc, char** argv) {
  std::uint64_t seed = 1;
  for (int i = 1; i + 1 < argc; i += 2) {
    if (std::string(argv[i]) == "--seed") {
      seed = std::strtoull(argv[i + 1], nullptr, 10);
    }
  }
  return peridot::testing::Main(seed);
}
