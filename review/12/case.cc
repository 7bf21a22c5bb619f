// An executor leaves a start order unanswered and carries it out seconds later.
// Meanwhile it has lost power and started again under its id.

#include <iostream>

#include "review/kit-3/fleet.h"

namespace review {
namespace {

constexpr int kRounds = 3;
constexpr double kTaskMs = 12000;
constexpr double kLateMs = 6000;  // from the order to its execution
constexpr double kDarkMs = 5300;  // from the order to the loss of power
constexpr double kBackMs = 600;   // from the loss of power to the restart

int Main(const std::string& program,
         const std::string& folder,
         const std::string& record,
         bool trouble) {
  PlatformOptions options;
  Fleet fleet(program, folder, record, options);
  Platform& platform = fleet.platform;
  fleet.Configure({{.name = "qa", .service = "s1"}}, {"s1"});
  for (int i = 0; i < 6; ++i) {
    platform.Add("s1", i % 2 == 0 ? "z1" : "z2", i < 3 ? "r1" : "r2", 8000,
                 32000);
  }
  std::string held;  // the submission whose first start is held up
  platform.delay_start = [&](Executor* executor,
                             const Json& order) -> std::optional<double> {
    const std::string task = order.at("Task");
    if (held.empty() || TaskName::Of(task).job != held) {
      return std::nullopt;
    }
    held.clear();
    platform.After(kDarkMs, [&platform, executor] {
      if (executor->up && executor->running.empty()) {
        platform.Crash(executor, true);
        platform.After(kBackMs,
                       [&platform, executor] { platform.Restart(executor); });
        platform.After(kBackMs + 1000,
                       [&platform, executor] { platform.Write(executor); });
      }
    });
    return kLateMs;
  };
  platform.Start();
  for (int i = 0; i < 3; ++i) {
    fleet.AddDaemon("d" + std::to_string(i), i % 2 == 0 ? "z1" : "z2")->Start();
  }
  if (!fleet.WaitReady(10000)) {
    return 2;
  }
  SleepMs(1500);

  int completed = 0;
  for (int round = 0; round < kRounds; ++round) {
    Submission submission;
    submission.id = Fleet::NextId();
    submission.queue = "qa";
    submission.steps = Json::array({Json{
        {"Count", 1}, {"Cpu", 1000}, {"MemMb", 256}, {"EstimateMs", kTaskMs}}});
    submission.ms = {kTaskMs};
    if (trouble) {
      const std::lock_guard<std::mutex> lock(platform.mutex);
      held = submission.id;
    }
    if (fleet.Submit(submission) != 200) {
      return 2;
    }
    // A second submission makes an executor of the other rack the fuller one,
    // where the task goes when it starts again.
    SleepMs(200);
    Submission beside;
    beside.id = Fleet::NextId();
    beside.queue = "qa";
    beside.steps = Json::array({Json{{"Count", 1},
                                     {"Cpu", 1000},
                                     {"MemMb", 256},
                                     {"EstimateMs", 9000},
                                     {"Requires", "r2"}}});
    beside.ms = {9000};
    if (fleet.Submit(beside) != 200) {
      return 2;
    }
    completed += fleet.WaitFinal("qa", submission.id, 30000) == "completed";
  }

  const std::lock_guard<std::mutex> lock(platform.mutex);
  int twice = 0;
  for (const std::string& broken : platform.broken) {
    twice += broken.starts_with("TWICE") ? 1 : 0;
  }
  fleet.record.Line("result: TWICE " + std::to_string(twice) + " in " +
                    std::to_string(kRounds) + " rounds; " +
                    std::to_string(completed) + " submissions completed");
  std::cout << (twice > 0 ? "broken: TWICE " + std::to_string(twice) : "held")
            << std::endl;
  return twice > 0 ? 1 : 0;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  if (argc < 5) {
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  return review::Main(argv[1], argv[2], argv[3], std::string(argv[4]) != "0");
}
