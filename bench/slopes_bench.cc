// Cost per unit of each part of a daemon at three sizes, for capacity planning.
//
// bench_slopes [--seed N]
//
// Times are printed in nanoseconds and as a ratio to the time of SHA-256 of 1
// KiB in the same run, so that runs on different machines can be compared.
// Memory is the growth of the heap. The lines have neither a naive version nor
// a target and print naive=0 and target=0.

#include <malloc.h>

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "src/coordination/dispatcher.h"
#include "src/coordination/endpoint_lease.h"
#include "src/coordination/permit_ledger.h"
#include "src/coordination/registry.h"
#include "src/coordination/slot_allocator.h"
#include "src/coordination/slot_ledger.h"
#include "src/protocol/digest.h"
#include "src/protocol/endpoint_http.h"
#include "src/protocol/settings_yaml.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Better;
using testing::PrintResult;

const Instant kStart = Instant{} + seconds(100);

double HeapBytes() {
  return static_cast<double>(mallinfo2().uordblks);
}

double MeasureNanoseconds(const std::function<void()>& work) {
  const auto start = std::chrono::steady_clock::now();
  work();
  return static_cast<double>(
      (std::chrono::steady_clock::now() - start).count());
}

// Time of SHA-256 of 1 KiB, the unit of the ratios.
double ReferenceNs() {
  const std::string kilobyte(1024, 'x');
  constexpr int kRounds = 20'000;
  std::size_t total = 0;
  const double ns = MeasureNanoseconds([&] {
    for (int i = 0; i < kRounds; ++i) {
      total += Sha256Hex(kilobyte).size();
    }
  });
  return total == 0 ? 0 : ns / kRounds;
}

class Printer {
 public:
  explicit Printer(double reference) : reference(reference) {}

  void Time(const std::string& metric, int size, double ns) const {
    this->Line(metric + "_ns_" + std::to_string(size), "ns", ns);
    this->Line(metric + "_ratio_" + std::to_string(size), "sha256_1k",
               ns / this->reference);
  }
  void Bytes(const std::string& metric, int size, double bytes) const {
    this->Line(metric + "_bytes_" + std::to_string(size), "B", bytes);
  }

 private:
  static void Line(const std::string& metric,
                   const std::string& unit,
                   double value) {
    PrintResult({"slopes", metric, unit, value, 0, 0, Better::kHigher});
  }

  double reference;
};

EndpointReport ReportOf(int i) {
  return {.lease = LeaseId("b1-lease" + std::to_string(i)),
          .boot = BootId("b1"),
          .clock_us = 1,
          .slots = SlotCount(8)};
}

// Cost of the leases on N endpoints for one heartbeat period.
void MeasureEndpoints(const Printer& print, int size) {
  const double before = HeapBytes();
  std::map<EndpointId, EndpointLease> leases;
  SlotLedger slots;
  for (int i = 0; i < size; ++i) {
    const EndpointId id("10.0.0.1:" + std::to_string(10'000 + i));
    leases[id].OnReport(ReportOf(i), kStart, kStart);
    slots.OnEndpoint(id, PoolId("p"), ZoneId("z"), SlotCount(8));
    slots.SetUsable(id, true);
  }
  print.Bytes("endpoint_state", size, (HeapBytes() - before) / size);
  constexpr int kTicks = 10;  // of 50 ms, in one heartbeat period
  const double ns = MeasureNanoseconds([&] {
    Instant now = kStart;
    for (int tick = 0; tick < kTicks; ++tick) {
      now += milliseconds(50);
      for (auto& [id, lease] : leases) {
        if (lease.OnTick(now).request != LeaseStep::kNone) {
          lease.OnReport(*lease.Report(), now, now);
          slots.OnUsage(id, SlotCount(0), now);
        }
        slots.SetUsable(id,
                        lease.CheckStart(now, false) == LeaseRefusal::kNone);
      }
    }
  });
  print.Time("endpoint_period", size, ns / size);
}

struct FixedSettings {
  QueueSettings queue{.id = QueueId("p.q"),
                      .pool = PoolId("p"),
                      .team = TeamId("t"),
                      .open = true,
                      .deadline = seconds(60),
                      .max_attempts = 3,
                      .run_time = milliseconds(10),
                      .slots_per_task = SlotCount(1)};

  const QueueSettings* FindQueue(std::string_view) const {
    return &this->queue;
  }
  bool IsZoneIn(std::string_view) const { return true; }
  const TeamId* TeamOfKey(const KeyId&) const { return nullptr; }
  Instant ProofExpiry() const { return Instant::max(); }
};

struct UnlimitedPermits {
  bool TryAcquire(const TeamId&) { return true; }
  void Release(const TeamId&) {}
};

// Cost to submit, start and end a task while N tasks wait.
void MeasureTasks(const Printer& print, int size) {
  FixedSettings settings;
  UnlimitedPermits permits;
  const double before = HeapBytes();
  Dispatcher<FixedSettings, UnlimitedPermits> dispatcher(
      &settings, &permits, "d1.1",
      {.max_waiting = static_cast<std::size_t>(size) + 10});
  const EndpointId endpoint("e1");
  dispatcher.LeaseOf(endpoint).OnReport(ReportOf(1), kStart, kStart);
  int submitted = 0;
  const auto submit = [&] {
    dispatcher.OnSubmit({.id = TaskId("d1.1." + std::to_string(submitted++)),
                         .queue = QueueId("p.q"),
                         .deadline = kStart + seconds(60)},
                        kStart);
  };
  for (int i = 0; i < size; ++i) {
    submit();
  }
  print.Bytes("waiting_task", size, (HeapBytes() - before) / size);
  constexpr int kRounds = 20'000;
  const double ns = MeasureNanoseconds([&] {
    for (int i = 0; i < kRounds; ++i) {
      submit();
      dispatcher.OnGrant({.owner = {DaemonId("d1"), Incarnation(1)},
                          .token = 1,
                          .endpoint = endpoint,
                          .zone = ZoneId("z"),
                          .queue = QueueId("p.q"),
                          .team = TeamId("t"),
                          .expires = kStart + seconds(1)},
                         kStart);
      for (const DispatchAction& action : dispatcher.TakeActions()) {
        if (const auto* start = std::get_if<StartAttempt>(&action)) {
          dispatcher.OnReply(start->task, start->attempt, AttemptReply::kDone,
                             kStart);
        }
      }
      dispatcher.TakeActions();
    }
  });
  print.Time("task", size, ns / kRounds);
}

// Cost of one credit tick for N teams with demand.
void MeasureAllocator(const Printer& print, int size) {
  SlotAllocator allocator;
  for (int i = 0; i < size; ++i) {
    allocator.OnDemand({.daemon = {DaemonId("d1"), Incarnation(1)},
                        .queue = QueueId("q" + std::to_string(i)),
                        .team = TeamId("t" + std::to_string(i)),
                        .share = Share(1 + i % 5),
                        .waiting = 1 + i % 50},
                       kStart);
  }
  constexpr int kRounds = 200;
  const double ns = MeasureNanoseconds([&] {
    for (int i = 0; i < kRounds; ++i) {
      allocator.OnTick(1'000, kStart + milliseconds(i));
    }
  });
  print.Time("allocator_tick_team", size, ns / kRounds / size);
}

// Cost of one second of idle ticks for the permit ledgers of N teams.
void MeasurePermits(const Printer& print, int size) {
  const double before = HeapBytes();
  std::vector<PermitLedger> ledgers;
  for (int i = 0; i < size; ++i) {
    ledgers.emplace_back(
        PermitLedgerConfig{.team = TeamId("t" + std::to_string(i)),
                           .self = {DaemonId("d1"), Incarnation(1)}});
    ledgers.back().OnLimit(PermitCount(100), Revision(1), kStart);
  }
  print.Bytes("permit_ledger", size, (HeapBytes() - before) / size);
  const int ticks = static_cast<int>(seconds(1) / kPermitTick);
  const double ns = MeasureNanoseconds([&] {
    for (int tick = 1; tick <= ticks; ++tick) {
      for (PermitLedger& ledger : ledgers) {
        ledger.OnTick(kStart + tick * kPermitTick);
      }
    }
  });
  print.Time("permit_second_team", size, ns / size);
}

// Size of a settings document with N queues and the time to parse it.
void MeasureSettings(const Printer& print, int size) {
  SettingsDocument document;
  for (int i = 0; i < size; ++i) {
    const TeamId team("team-" + std::to_string(i % 97));
    document.teams[team].settings[Setting::kLimit] = 100 + i;
    document.pools[PoolId("pool-" + std::to_string(i % 55))]
        .teams[team]
        .queues["queue-" + std::to_string(i)]
        .settings[Setting::kPriority] = i % 3;
  }
  const std::string text = FormatSettings(document);
  print.Bytes("settings_queue", size, static_cast<double>(text.size()) / size);
  const double ns = MeasureNanoseconds([&] {
    const auto tree = ParseSettings(text, "settings", Revision(1));
    if (!tree) {
      std::printf("cannot parse the generated settings document: %s\n",
                  tree.error().message.c_str());
    }
  });
  print.Time("settings_parse_queue", size, ns / size);
}

// Size of the bodies of periodic messages. HTTP headers add about 200 bytes to
// each request and 150 to each response.
void MeasureMessages(const Printer& print) {
  HeartbeatResponse answer;
  answer.boot = BootId("b1");
  answer.clock_us = 1'000'000'000'000;
  answer.slots = SlotCount(8);
  answer.used = SlotCount(8);
  for (int i = 0; i < 8; ++i) {
    answer.running.emplace_back("d1.12." + std::to_string(100'000 + i));
  }
  const double request = static_cast<double>(
      EncodeHeartbeat({LeaseId("b1-lease12"), 1'000'000'000'000}).body.size());
  print.Bytes("heartbeat_request", 1, request);
  print.Bytes("heartbeat_answer", 1,
              static_cast<double>(FormatHeartbeatResponse(answer).body.size()));
  for (const int daemons : {9, 33, 100}) {
    Registry registry;
    for (int i = 0; i < daemons; ++i) {
      registry.daemons.push_back(
          {{DaemonId("entry-" + std::to_string(i)), Incarnation(123)},
           "10.12.13.14:7001",
           "10.12.13.14:7000",
           ZoneId("zone-1")});
    }
    print.Bytes(
        "registry_daemon", daemons,
        static_cast<double>(SerializeRegistry(registry).size()) / daemons);
  }
}

void Run(std::uint64_t seed) {
  const double reference = ReferenceNs();
  std::printf("bench slopes seed=%llu reference_sha256_1k_ns=%.1f\n",
              static_cast<unsigned long long>(seed), reference);
  const Printer print(reference);
  for (const int size : {100, 1'000, 10'000}) {
    MeasureEndpoints(print, size);
    MeasureTasks(print, size);
  }
  for (const int size : {10, 97, 970}) {
    MeasureAllocator(print, size);
    MeasurePermits(print, size);
  }
  for (const int size : {100, 500, 2'000}) {
    MeasureSettings(print, size);
  }
  MeasureMessages(print);
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("bench_slopes");
  options.add_options()("seed", po::value<std::uint64_t>()->default_value(1));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  peridot::Run(values["seed"].as<std::uint64_t>());
  return 0;
}
