// A pool of 62 executors and a queue with `Advice` whose policy allows a few of
// them for each step. See claim.txt.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "review/kit/deployment.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kExecutors = 62;
constexpr int kExecutorsWithoutTrouble = 30;
constexpr int kAllowed = 3;  // for each step
constexpr int kSubmissions = 60;
constexpr std::int64_t kFinishMs = 14000;  // finish_s
constexpr std::int64_t kIdleMs = 3000;     // of the rule LOST

std::string IdOf(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "5c0e7a25%08x", number);
  return id;
}

std::string ExecutorOf(int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "i-%02d", number);
  return id;
}

int RunCase(const CaseArguments& arguments, Deployment& fleet) {
  const int count = arguments.trouble ? kExecutors : kExecutorsWithoutTrouble;
  for (int i = 0; i < count; ++i) {
    fleet.executors.Add({.id = ExecutorOf(i),
                         .machine = "m-" + std::to_string(i),
                         .service = "comptage",
                         .zone = "zone-" + std::to_string(i % 3 + 1),
                         .rack = "r1-" + std::to_string(i / 8)});
  }
  // The policy allows the kAllowed executors with the lowest hash for the step.
  const auto score = [](const std::string& step, const std::string& executor) {
    return std::hash<std::string>{}(step + "/" + executor);
  };
  fleet.policy = [&](const std::string& step, const std::string& executor) {
    int lower = 0;
    for (int i = 0; i < count; ++i) {
      lower += score(step, ExecutorOf(i)) < score(step, executor) ? 1 : 0;
    }
    return lower < kAllowed;
  };
  fleet.PutConfig(1, {{"day", "comptage", 3, true}});
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  const Json body{{"Spec", R"([{"ms":300,"ticket":true}])"},
                  {"Steps", Json::array({{{"Count", 1},
                                          {"Cpu", 1000},
                                          {"MemMb", 100},
                                          {"EstimateMs", 300}}})}};
  std::vector<std::string> accepted;
  for (int i = 0; i < kSubmissions; ++i) {
    if (fleet.SubmitUntilAccepted("day", IdOf(i), body, 5)) {
      accepted.push_back(IdOf(i));
    }
    SleepMs(500);
  }
  fleet.record.Write("traffic ends");
  SleepMs(kFinishMs);
  std::map<std::string, std::string> states;
  for (const std::string& id : accepted) {
    states[id] = fleet.StateOf("day", id);
  }
  SleepMs(kIdleMs);
  const std::vector<Run> runs = fleet.executors.Runs();
  int lost = 0;
  for (const std::string& id : accepted) {
    const bool ran = std::any_of(runs.begin(), runs.end(), [&](const Run& run) {
      return run.task.starts_with(id) &&
             (run.how == "done" || run.end < 0 || run.end > NowMs() - kIdleMs);
    });
    if (ran || states[id] == "completed") {
      continue;
    }
    ++lost;
    std::string line = "LOST " + id + " state '" + states[id] +
                       "', never ran; the policy allows it on";
    for (int i = 0; i < count; ++i) {
      if (fleet.policy(id + ".0.0", ExecutorOf(i))) {
        line += " " + ExecutorOf(i);
      }
    }
    fleet.record.Write(line);
    std::cout << line << "\n";
  }
  std::cout << "LOST: " << lost << " of " << accepted.size()
            << " accepted submissions\n";
  return lost > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseArguments arguments = review::ReadArguments(argc, argv);
  auto* fleet = new review::Deployment(arguments, review::kMachines);
  fleet->Exit(review::RunCase(arguments, *fleet));
}
