// Two writes of the owner in a row get no answer and are performed late; some
// seconds later the same machine is stopped with SIGTERM. See claim.txt.

#include <atomic>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "review/kit/deployment.h"

namespace review {
namespace {

constexpr int kMachines = 3;
constexpr int kExecutors = 4;
constexpr int kRounds = 8;
constexpr int kSubmissions = 3;  // in each round
constexpr std::int64_t kFirstStepMs = 1000;
constexpr std::int64_t kSecondStepMs = 25000;
// The answers are lost from the first change after this time on.
constexpr std::int64_t kArmedAfterMs = 650;
// A write without an answer is performed 1 to 6 s later.
constexpr std::int64_t kLateMs[] = {1080, 2000};
constexpr std::int64_t kCalmMs = 4000;
constexpr std::int64_t kSmallEachMs = 30;

std::string IdOf(const char* prefix, int number) {
  char id[17];
  std::snprintf(id, sizeof(id), "%s%08x", prefix, number);
  return id;
}

Json Body(const std::vector<std::int64_t>& work) {
  Json spec = Json::array();
  Json steps = Json::array();
  for (std::size_t i = 0; i < work.size(); ++i) {
    spec.push_back({{"ms", work[i]}});
    steps.push_back(
        {{"Count", 1}, {"Cpu", 1000}, {"MemMb", 100}, {"EstimateMs", work[i]}});
    if (i > 0) {
      steps.back()["After"] = Json::array({i - 1});
    }
  }
  return Json{{"Spec", spec.dump()}, {"Steps", steps}};
}

int RunCase(const CaseArguments& arguments, Deployment& fleet) {
  for (int i = 0; i < kExecutors; ++i) {
    fleet.executors.Add({.id = "i-" + std::to_string(i),
                         .machine = "m-" + std::to_string(i),
                         .service = "comptage",
                         .zone = "zone-" + std::to_string(i % 3 + 1),
                         .rack = "r1-0"});
  }
  std::atomic<bool> armed{false};
  std::atomic<int> lost{0};
  std::atomic<int> owner{-1};
  fleet.store.fate = [&](int machine, const Json& call) {
    if (!armed || machine != owner || lost == 2 || !IsChange(call)) {
      return WriteFate{};
    }
    const int number = lost++;
    fleet.record.Write("store: loses the answer to a write of machine " +
                       std::to_string(machine));
    return WriteFate{true, kLateMs[number]};
  };
  fleet.PutConfig(1, {{"day", "comptage"}});
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::thread([&fleet] {
    for (int number = 0;; ++number) {
      fleet.Submit("day", IdOf("5c0e7a20", number), Body({100}));
      SleepMs(kSmallEachMs);
    }
  }).detach();
  std::vector<std::string> twice;
  int round = 0;
  while (round < kRounds && twice.empty()) {
    for (int i = 0; i < kSubmissions; ++i) {
      if (!fleet.SubmitUntilAccepted("day",
                                     IdOf("5c0e7a23", round * kSubmissions + i),
                                     Body({kFirstStepMs, kSecondStepMs}), 5)) {
        return kCouldNotRun;
      }
    }
    SleepMs(kArmedAfterMs);
    owner = fleet.store.LastWriter();
    lost = 0;
    armed = arguments.trouble;
    SleepMs(kCalmMs);
    armed = false;
    Machine* stopped =
        fleet.machines[static_cast<std::size_t>(fleet.store.LastWriter())]
            .get();
    fleet.Terminate(stopped);
    fleet.StartMachine(stopped);
    SleepMs(kCalmMs);
    twice = BrokenTwice(fleet.executors.Runs(), false);
    ++round;
  }
  for (const std::string& line : twice) {
    fleet.record.Write(line);
    std::cout << line << "\n";
  }
  std::cout << "TWICE: " << twice.size() << " starts, in round " << round
            << " of at most " << kRounds << "\n";
  return twice.empty() ? kHeld : kBroken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  const review::CaseArguments arguments = review::ReadArguments(argc, argv);
  auto* fleet = new review::Deployment(arguments, review::kMachines);
  fleet->Exit(review::RunCase(arguments, *fleet));
}
