// A scheduled submission runs its step again and again, and small submissions
// come beside it. See claim.txt.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "review/kit/deployment.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kExecutors = 9;
constexpr int kTasksEachTime = 150;
constexpr int kIntervalMs = 1000;
constexpr int kTimes = 66;
constexpr int kTimesWithoutTrouble = 15;
constexpr std::int64_t kTrafficMs = 64000;
constexpr std::int64_t kFinishMs = 14000;  // finish_s
constexpr std::int64_t kAckMs = 4000;      // AckMs
constexpr std::int64_t kSettleMs = 10000;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string IdOf(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "5c0e7a21%08x", number);
  return id;
}

int RunCase(const CaseArguments& arguments, Deployment& fleet) {
  for (int i = 0; i < kExecutors; ++i) {
    fleet.executors.Add({.id = "i-" + std::to_string(i),
                         .machine = "m-" + std::to_string(i),
                         .service = "comptage",
                         .zone = "zone-" + std::to_string(i % 3 + 1),
                         .rack = "r1-" + std::to_string(i / 4)});
  }
  fleet.PutConfig(1, {{"sched", "comptage"}, {"day", "comptage"}});
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  const Json scheduled{
      {"Spec", R"([{"ms":200}])"},
      {"Steps", Json::array({{{"Count", kTasksEachTime},
                              {"Cpu", 1000},
                              {"MemMb", 100},
                              {"EstimateMs", 200}}})},
      {"Times", arguments.trouble ? kTimes : kTimesWithoutTrouble},
      {"StartAtMs", UnixMs() + 1000},
      {"IntervalMs", kIntervalMs}};
  if (!fleet.SubmitUntilAccepted("sched", IdOf(0), scheduled, 5)) {
    return kCouldNotRun;
  }
  const Json small{{"Spec", R"([{"ms":300}])"},
                   {"Steps", Json::array({{{"Count", 1},
                                           {"Cpu", 1000},
                                           {"MemMb", 100},
                                           {"EstimateMs", 300}}})}};
  const std::int64_t end = NowMs() + kTrafficMs;
  std::map<std::string, std::string> accepted;  // with the state shown last
  for (int number = 1; NowMs() < end; ++number) {
    if (fleet.SubmitUntilAccepted("day", IdOf(number), small, 5)) {
      accepted[IdOf(number)] = "";
    }
    SleepMs(500);
  }
  fleet.record.Write("traffic ends");
  SleepMs(kFinishMs);
  int open = 0;
  for (auto& [id, state] : accepted) {
    state = fleet.StateOf("day", id);
    open += state == "completed" ? 0 : 1;
  }
  std::size_t ends = 0;
  std::size_t open_ends = 0;
  for (const Run& run : fleet.executors.Runs()) {
    if (run.listed >= 0 && NowMs() - run.listed > kAckMs) {
      ++ends;
      open_ends += run.noted < 0 ? 1 : 0;
    }
  }
  // The client gives the scheduled submission up.
  for (int i = 0; i < 5; ++i) {
    if (fleet.Cancel("sched", IdOf(0)).status == 200) {
      break;
    }
    SleepMs(500);
  }
  SleepMs(kSettleMs);
  const std::vector<Run> runs = fleet.executors.Runs();
  std::map<std::string, int> starts;
  for (const Run& run : runs) {
    ++starts[run.task];
  }
  int most = 0;
  for (const auto& [task, count] : starts) {
    most = std::max(most, count);
  }
  const std::vector<std::string> twice = BrokenTwice(runs, true);
  for (const std::string& line : twice) {
    fleet.record.Write(line);
  }
  std::cout << "TWICE: " << twice.size() << " starts; one task was "
            << "started " << most << " times\n"
            << "Acks, before the cancel: " << open_ends << " of " << ends
            << " ends listed over AckMs ago are not taken note of\n"
            << "small submissions: " << accepted.size() << " accepted, " << open
            << " not shown as completed " << kFinishMs
            << " ms after the end of the traffic\n"
            << "writes refused for a row above RowBytes: "
            << fleet.store.TooLarge() << "\n";
  return twice.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseArguments arguments = review::ReadArguments(argc, argv);
  auto* fleet = new review::Deployment(arguments, review::kMachines);
  fleet->Exit(review::RunCase(arguments, *fleet));
}
