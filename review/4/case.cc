// Now and then, for 3 s, one in twenty submissions of a tenant can never be
// done. See claim.txt.

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <vector>

#include "review/kit/deployment.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kExecutors = 9;
constexpr std::int64_t kEachMs = 50;  // 20 submissions a second
constexpr int kWindows = 10;
constexpr std::int64_t kWindowMs = 3000;  // poison for_s
constexpr std::int64_t kPauseMs = 3000;
constexpr int kOneIn = 20;                 // poison share 0.05
constexpr std::int64_t kFinishMs = 14000;  // finish_s
constexpr std::int64_t kIdleMs = 3000;     // of the rule LOST

std::string IdOf(const char* prefix, int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%s%08x", prefix, number);
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
  fleet.PutConfig(1, {{"day", "comptage"}});
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  const Json sound{{"Spec", R"([{"ms":200}])"},
                   {"Steps", Json::array({{{"Count", 1},
                                           {"Cpu", 1000},
                                           {"MemMb", 100},
                                           {"EstimateMs", 200}}})}};
  // A lasting task that asks for more cores than any executor has.
  const Json hopeless{{"Spec", R"([{"lasts":true,"cpu":96000}])"},
                      {"Steps", Json::array({{{"Count", 1},
                                              {"Cpu", 96000},
                                              {"MemMb", 100},
                                              {"EstimateMs", 500},
                                              {"LongRunning", true}}})}};
  std::vector<std::string> accepted;
  int hopeless_accepted = 0;
  const std::int64_t begin = NowMs();
  const std::int64_t end = begin + kWindows * (kWindowMs + kPauseMs);
  for (int number = 0; NowMs() < end; ++number) {
    const bool window = (NowMs() - begin) % (kWindowMs + kPauseMs) < kWindowMs;
    if (arguments.trouble && window && number % kOneIn == 0) {
      hopeless_accepted += fleet.SubmitUntilAccepted(
          "day", IdOf("5c0e7aff", number), hopeless, 5);
    } else if (fleet.SubmitUntilAccepted("day", IdOf("5c0e7a24", number), sound,
                                         5)) {
      accepted.push_back(IdOf("5c0e7a24", number));
    }
    SleepMs(kEachMs);
  }
  fleet.record.Write("traffic ends");
  SleepMs(kFinishMs);
  const std::vector<Run> before = fleet.executors.Runs();
  SleepMs(kIdleMs);
  const std::vector<Run> runs = fleet.executors.Runs();
  int lost = 0;
  for (const std::string& id : accepted) {
    const bool ran = std::any_of(runs.begin(), runs.end(), [&](const Run& run) {
      return run.task.starts_with(id);
    });
    if (!ran) {
      ++lost;
      fleet.record.Write("LOST " + id + " state '" + fleet.StateOf("day", id) +
                         "', never ran");
    }
  }
  const auto at_work = std::count_if(
      runs.begin(), runs.end(), [](const Run& run) { return run.end < 0; });
  std::cout << "LOST: " << lost << " of " << accepted.size()
            << " accepted sound submissions; " << hopeless_accepted
            << " hopeless ones were accepted; tasks at work at the end: "
            << at_work << ", starts in the last " << kIdleMs
            << " ms: " << runs.size() - before.size() << "\n";
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseArguments arguments = review::ReadArguments(argc, argv);
  auto* fleet = new review::Deployment(arguments, review::kMachines);
  fleet->Exit(review::RunCase(arguments, *fleet));
}
