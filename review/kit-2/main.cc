// Runs a case of the review: case_2 NAME FOLDER RECORD. Run it in the
// repository's root. With TROUBLE=0 in the environment the disruption is left
// out.
//
// Exit code: 1 if a rule was broken, 0 if not, 2 if the case could not run.

#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "review/kit-2/world.h"

namespace review {
namespace {

constexpr char kService[] = "comptage";

bool Trouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// A submission of one task.
Json OneTask(int cpu, std::int64_t estimate_ms, const std::string& kind) {
  Json step{
      {"Count", 1}, {"Cpu", cpu}, {"MemMb", 64}, {"EstimateMs", estimate_ms}};
  if (!kind.empty()) {
    step["Requires"] = kind;
  }
  return Json{{"Spec", "report"}, {"Steps", Json::array({step})}};
}

std::string TaskOf(const std::string& id) {
  return id + ".0.0.0";
}

// Ids of submissions: 16 hexadecimal digits.
std::string NextId() {
  static int next = 1000;
  return "5c0e7a21d94b" + std::to_string(next++);
}

// Executors beside the one that is disturbed, so that its share stays within
// the pages' limit.
void AddOthers(World* world, int count, int cpu) {
  for (int i = 1; i <= count; ++i) {
    world->AddExecutor("i-other-" + std::to_string(i), kService, cpu, "a");
  }
}

bool Fail(World* world, const std::string& why) {
  world->record.Line("the case could not run: " + why);
  std::cerr << why << std::endl;
  return false;
}

//-----------------------------------------------------------------------------
// [SECTION] Cases
//-----------------------------------------------------------------------------

// Each returns false if it could not run.

// An executor that is cut off the store loses power and starts again under its
// id. The daemons reach it, and its ends are numbered anew.
bool ForgottenEnds(World* world) {
  constexpr int kCpu = 500;
  constexpr std::int64_t kWorkMs = 150;
  Executor* const small = world->AddExecutor("i-small", kService, 8000, "b");
  AddOthers(world, 4, 64000);
  world->WriteConfig(1, kService);
  world->StartDaemons(3);
  Sleep(1000);
  const auto submit_for = [&](std::int64_t ms) {
    const std::int64_t end = NowMs() + ms;
    while (NowMs() < end) {
      world->Submit(NextId(), OneTask(kCpu, kWorkMs, ""), {kCpu, kWorkMs});
      Sleep(60);
    }
  };
  submit_for(3000);
  if (Trouble()) {
    small->CutFromStore();
    small->Crash(true);
    Sleep(300);
    small->Start(0);
  }
  submit_for(4000);
  if (Trouble()) {
    small->Heal();
  }
  Sleep(3000);
  return true;
}

bool StaleEntry(World* world) {
  Executor* const small = world->AddExecutor("i-small", kService, 4000, "b");
  AddOthers(world, 4, 64000);
  world->WriteConfig(1, kService);
  world->StartDaemons(3);
  Sleep(2000);
  if (Trouble()) {
    small->CutFromStore();
    small->Crash(false);
    Sleep(300);
    small->Start(0);
  }
  // The daemons reach the executor's new life.
  std::string job;
  if (!WaitFor(
          [&] {
            job = NextId();
            world->Submit(job, OneTask(500, 6000, ""), {500, 6000});
            return WaitFor([&] { return small->Runs(TaskOf(job)); }, 200);
          },
          2500)) {
    return Fail(world, "no task starts at the executor that has restarted");
  }
  // At least one report of the executor shows the task.
  Sleep(1900);
  if (Trouble()) {
    world->record.Line("the store discards its history");
    const int lost = world->store.LostFeeds();
    if (!WaitFor(
            [&] {
              world->store.DropHistory();
              return world->store.LostFeeds() > lost + 2;
            },
            1500)) {
      return Fail(world, "nobody asks for the discarded history");
    }
  }
  Sleep(900);
  if (Trouble()) {
    small->Heal();
  }
  Sleep(3000);
  return true;
}

bool CancelledLate(World* world) {
  Executor* const executor = world->AddExecutor("i-a1", kService, 64000, "a");
  world->WriteConfig(1, kService);
  world->StartDaemons(9);
  Sleep(2000);
  Daemon* const owner = world->Owner();
  Daemon* entry = nullptr;
  Daemon* other = nullptr;
  for (Daemon& daemon : world->Daemons()) {
    if (&daemon != owner) {
      (entry == nullptr ? entry : other) = &daemon;
    }
  }
  const std::string job = NextId();
  if (Trouble()) {
    world->Freeze(entry);
  }
  const bool accepted =
      world->SubmitOnce(*entry, job, OneTask(1000, 12000, ""), {1000, 12000});
  const std::optional<Reply> cancelled =
      world->Ask(*other, "DELETE", job, 3000);
  const std::int64_t cancelled_at = NowMs();
  world->record.Line(
      "DELETE " + job + " at " + other->name + " -> " +
      (cancelled ? std::to_string(cancelled->status) : "no answer"));
  if (!cancelled || (cancelled->status != 200 && cancelled->status != 410)) {
    return Fail(world, "the cancel is not acknowledged");
  }
  Sleep(300);
  if (Trouble()) {
    world->Thaw(entry);
  }
  world->record.Line(accepted ? "the submission was accepted"
                              : "the client gives the submission up");
  Sleep(7500);
  const std::string state = world->StateOf(job);
  world->record.Line("GET " + job + " -> " + state);
  // 3000 ms: cancel_ms; 900 ms: StopMs; 3000 ms: ContactMs after the freeze.
  if (executor->Runs(TaskOf(job)) && NowMs() - cancelled_at > 6900) {
    world->Break("UNASKED: " + TaskOf(job) + " runs " +
                 std::to_string(NowMs() - cancelled_at) +
                 " ms after its submission's cancelling was acknowledged");
  }
  return true;
}

bool MovedQueue(World* world) {
  Executor* const here = world->AddExecutor("i-a1", kService, 8000, "a");
  Executor* const elsewhere = world->AddExecutor("i-b1", "horaire", 8000, "a");
  // Too small for the tasks of this case.
  AddOthers(world, 4, 4000);
  world->WriteConfig(1, kService);
  world->StartDaemons(3);
  Sleep(2000);
  world->Submit(NextId(), OneTask(8000, 5000, ""), {8000, 5000});
  if (!WaitFor([&] { return here->RunsAnything(); }, 2000)) {
    return Fail(world, "nothing starts");
  }
  const std::string job = NextId();
  world->Submit(job, OneTask(8000, 20000, ""), {8000, 20000});
  world->WriteConfig(4, "horaire");
  if (!WaitFor([&] { return elsewhere->Runs(TaskOf(job)); }, 3000)) {
    return Fail(world, "the submission does not follow its queue");
  }
  Sleep(2000);
  world->WriteConfig(7, kService);
  Sleep(3000);
  if (Trouble()) {
    elsewhere->Cut();
    Daemon* const owner = world->Owner();
    world->KillDaemon(owner);
    Sleep(300);
    world->StartDaemon(owner);
  }
  Sleep(4000);
  return true;
}

bool ManyTimes(World* world) {
  constexpr std::int64_t kFinishMs = 14000;  // finish_s
  constexpr std::int64_t kIdleMs = 3000;     // of the rule
  for (const char* name : {"1", "2"}) {
    world->AddExecutor("i-a" + std::string(name), kService, 64000, "a");
    world->AddExecutor("i-b" + std::string(name), "horaire", 64000, "a");
  }
  world->WriteConfig(1, kService);
  world->StartDaemons(3);
  Sleep(2000);
  const Daemon* const owner = world->Owner();
  const char* const times = std::getenv("TIMES");
  if (Trouble()) {
    // One run for each half hour since the beginning of 2015.
    Json body = OneTask(1000, 500, "");
    body["Times"] = times == nullptr ? 200000 : std::stoi(times);
    body["StartAtMs"] = 1420070400000;
    body["IntervalMs"] = 1800000;
    if (!world->Submit(NextId(), body, {1000, 500})) {
      return Fail(world, "the submission with many times was not accepted");
    }
  }
  // Another tenant's queue, whose service is idle, at the machines that do not
  // decide.
  std::vector<std::string> probes;
  for (const Daemon& daemon : world->Daemons()) {
    Sleep(300);
    const std::string job = NextId();
    if (&daemon != owner &&
        world->SubmitOnce(daemon, job, OneTask(1000, 500, ""), {1000, 500},
                          "h")) {
      probes.push_back(job);
    }
  }
  if (probes.empty()) {
    return Fail(world, "no submission of the other tenant was accepted");
  }
  Sleep(kFinishMs);
  std::vector<std::string> idle;
  for (const std::string& job : probes) {
    if (!world->HasStarted(TaskOf(job))) {
      idle.push_back(job);
    }
  }
  Sleep(kIdleMs);
  for (const std::string& job : idle) {
    if (!world->HasStarted(TaskOf(job))) {
      world->Break("LOST: " + job +
                   " was accepted, its service is idle, and nothing of it has "
                   "run 17 s after the end of the traffic; its state: " +
                   world->StateOf(job, "h"));
    }
  }
  return true;
}

int Main(int argc, char** argv) {
  const std::map<std::string, std::function<bool(World*)>> cases = {
      {"forgotten-ends", ForgottenEnds}, {"stale-entry", StaleEntry},
      {"cancelled-late", CancelledLate}, {"moved-queue", MovedQueue},
      {"many-times", ManyTimes},
  };
  const auto found = cases.find(argc == 4 ? argv[1] : "");
  if (found == cases.end()) {
    std::cerr << "case_2 NAME FOLDER RECORD" << std::endl;
    return 2;
  }
  NowMs();
  // Never destroyed, because its threads run until the program ends.
  static World world(WorldSettings{argv[2], argv[3]});
  const bool ran = found->second(&world);
  for (Daemon& daemon : world.Daemons()) {
    world.KillDaemon(&daemon);
  }
  const std::vector<std::string> broken = world.Broken();
  for (const std::string& text : broken) {
    world.record.Line("BROKEN " + text);
    std::cout << text << std::endl;
  }
  if (!ran) {
    return 2;
  }
  world.record.Line(broken.empty() ? "no rule was broken" : "broken");
  return broken.empty() ? 0 : 1;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  // Ends without destructors: threads of connections still run.
  std::_Exit(review::Main(argc, argv));
}
