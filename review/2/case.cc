// A submission of many small tasks is at work when the platform's store goes
// down for some seconds. See claim.txt.

#include <iostream>
#include <string>
#include <vector>

#include "review/kit/deployment.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kExecutors = 9;
constexpr int kTasks = 1280;
constexpr std::int64_t kTaskCpu = 100;  // a tenth of a core
constexpr std::int64_t kTaskMemory = 50;
constexpr std::int64_t kWorkMs = 4000;
constexpr std::int64_t kSpreadMs = 3000;
constexpr std::int64_t kDownAfterMs = 3800;
constexpr std::int64_t kDownMs = 4500;  // platform_down: for_s
constexpr std::int64_t kSettleMs = 20000;
constexpr char kId[] = "5c0e7a2200000000";

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
  const Json spec = Json::array({{{"ms", kWorkMs},
                                  {"spread_ms", kSpreadMs},
                                  {"cpu", kTaskCpu},
                                  {"memory", kTaskMemory}}});
  const Json body{{"Spec", spec.dump()},
                  {"Steps", Json::array({{{"Count", kTasks},
                                          {"Cpu", kTaskCpu},
                                          {"MemMb", kTaskMemory},
                                          {"EstimateMs", kWorkMs}}})}};
  if (!fleet.SubmitUntilAccepted("day", kId, body, 5)) {
    return kCouldNotRun;
  }
  SleepMs(kDownAfterMs);
  if (arguments.trouble) {
    fleet.record.Write("store: down, answers 503");
    fleet.store.BusyUntil(NowMs() + kDownMs);
  }
  SleepMs(kSettleMs);
  const std::string state = fleet.StateOf("day", kId);
  const std::vector<Run> runs = fleet.executors.Runs();
  const std::vector<std::string> twice = BrokenTwice(runs, false);
  for (const std::string& line : twice) {
    fleet.record.Write(line);
  }
  if (!twice.empty()) {
    std::cout << twice.front() << "\n";
  }
  std::cout << "TWICE: " << twice.size() << " starts; " << runs.size()
            << " runs of " << kTasks << " tasks; state shown: " << state
            << "\n";
  return twice.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseArguments arguments = review::ReadArguments(argc, argv);
  auto* fleet = new review::Deployment(arguments, review::kMachines);
  fleet->Exit(review::RunCase(arguments, *fleet));
}
