// Stand-ins for the platform and the executors, and the daemons of a small
// deployment as processes.
//
// Index:
//   [SECTION] Record
//   [SECTION] Store
//   [SECTION] Executor
//   [SECTION] Daemon
//   [SECTION] World

#ifndef REVIEW_KIT_2_WORLD_H_
#define REVIEW_KIT_2_WORLD_H_

#include <sys/types.h>

#include <cstdint>
#include <deque>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "review/kit-2/net.h"

namespace review {

using Json = nlohmann::json;

// Milliseconds of the steady clock since the program has started.
std::int64_t NowMs();
void Sleep(std::int64_t ms);
// Waits until the condition holds; false: it did not within the time.
template <typename Condition>
bool WaitFor(Condition condition, std::int64_t timeout_ms) {
  const std::int64_t end = NowMs() + timeout_ms;
  while (!condition()) {
    if (NowMs() >= end) {
      return false;
    }
    Sleep(5);
  }
  return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Record
//-----------------------------------------------------------------------------

// Writes what was sent, answered and run, a line each. Thread-safe.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Line(const std::string& text);

 private:
  std::mutex mutex;
  std::ofstream file;
};

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

// The platform's metadata store, without limits of rate. Thread-safe.
class Store {
 public:
  std::optional<Reply> Handle(const Request& request);
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Remove(const std::string& table, const std::string& key);
  bool Has(const std::string& table, const std::string& key);
  // Discards the history: feeds that resume from an older version get 410.
  void DropHistory();
  // Number of feeds that were answered with 410.
  int LostFeeds();

 private:
  struct Row {
    std::string value;  // base64
    std::uint64_t version = 0;
    bool removed = false;
  };
  using Key = std::pair<std::string, std::string>;  // part and key

  Reply Transact(const Json& body);
  Reply Read(const Request& request);
  Reply Feed(const Request& request);
  Json RowJson(const std::string& table, const Key& key, const Row& row) const;

  std::mutex mutex;
  std::map<std::string, std::map<Key, Row>> tables;  // guarded by mutex
  std::uint64_t version = 0;                         // guarded by mutex
  std::uint64_t history_from = 0;                    // guarded by mutex
  int lost_feeds = 0;                                // guarded by mutex
};

//-----------------------------------------------------------------------------
// [SECTION] Executor
//-----------------------------------------------------------------------------

// What a submission says of its tasks, for the executors.
struct TaskNeeds {
  int cpu = 0;               // thousandths of a core
  std::int64_t work_ms = 0;  // 0: lasts until it is stopped
};

class World;

// One executor, behind a link that can be cut and that can delay an order.
// Thread-safe.
class Executor {
 public:
  Executor(World* world,
           std::string id,
           std::string service,
           int cpu,
           std::string kind);

  // Begins a life: listens, and registers after the delay.
  void Start(std::int64_t register_after_ms);
  // Ends the life, with all that runs: the connections are reset, or go silent
  // without an end if the machine has lost power.
  void Crash(bool power);
  // The link loses everything in both directions from now on, also to the
  // store.
  void Cut();
  // As above, but only between the executor and the store.
  void CutFromStore();
  // The links work again.
  void Heal();
  // The next start order is not answered and reaches the executor only after
  // this time.
  void DelayNextStart(std::int64_t ms);
  // True once an order is being delayed; false again once it was delivered.
  bool DelaysStart();
  // Number of the order's task that was delayed; empty: none.
  std::string DelayedTask();

  bool Runs(const std::string& task);
  bool RunsAnything();
  std::int64_t LeaseLeftMs();
  const std::string& Id() const { return this->id; }
  Json MachineRow() const;
  // Registers or expires in the store, ends due runs. Called periodically.
  void Tick();

 private:
  struct Run {
    std::int64_t number = 0;
    TaskNeeds needs;
    std::int64_t started_at = 0;
    std::int64_t ends_at = 0;  // 0: not known
    bool stopping = false;
  };
  struct End {
    std::int64_t number = 0;
    std::string task;
    std::int64_t run = 0;
    std::string how;
    bool lapsed = false;  // the lease has lapsed since
  };

  std::optional<Reply> Receive(const Request& request);
  std::optional<Reply> Order(const Request& request);
  Reply StartRun(const Json& body);
  Reply StopRun(const Json& body);
  Reply Report() const;
  Reply Refuse(const char* reason) const;
  Json EntryJson() const;
  std::int64_t ClockMs() const;
  void Extend(std::int64_t deadline_ms);
  void EndRun(const std::string& task, const std::string& how);
  void EndDueRuns();

  World* world;
  const std::string id;
  const std::string service;
  const int cpu;
  const std::string kind;  // label
  Server server;
  std::mutex mutex;  // guards all below
  bool up = false;
  bool cut = false;
  bool store_cut = false;
  std::int64_t store_cut_since = 0;
  std::int64_t register_at = 0;  // 0: done
  std::int64_t life = 0;
  std::int64_t born_unix_ms = 0;
  std::int64_t clock_zero = 0;
  std::int64_t fence = 0;
  std::int64_t lease_until = 0;
  std::map<std::string, Run> runs;
  std::map<std::string, std::int64_t> highest;  // run stopped or ended, by task
  std::deque<End> ends;
  std::int64_t last_end = 0;
  std::int64_t delay_ms = 0;
  bool delaying = false;
  std::string delayed_task;
};

//-----------------------------------------------------------------------------
// [SECTION] Daemon
//-----------------------------------------------------------------------------

struct Daemon {
  std::string name;
  std::string settings;  // path of its file
  std::string log;       // path
  int frontend = 0;      // port
  pid_t process = 0;     // 0: not running
};

//-----------------------------------------------------------------------------
// [SECTION] World
//-----------------------------------------------------------------------------

struct WorldSettings {
  std::string folder;  // temporary, for settings and logs
  std::string record;  // path
};

class World {
 public:
  explicit World(WorldSettings settings);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  Executor* AddExecutor(const std::string& id,
                        const std::string& service,
                        int cpu,
                        const std::string& kind);
  // Writes a config with two queues of two tenants: "q" goes to the service,
  // "h" to horaire.
  void WriteConfig(int version, const std::string& service);
  // Starts the daemons and waits until one owns the decisions and all answer
  // callers. Exits with 2 if that takes too long.
  void StartDaemons(int count);
  void StartDaemon(Daemon* daemon);
  void KillDaemon(Daemon* daemon);
  void Freeze(Daemon* daemon);
  void Thaw(Daemon* daemon);
  std::vector<Daemon>& Daemons() { return this->daemons; }
  // The daemon that holds the owner's lease.
  Daemon* Owner();

  // Hands a submission in at the daemon; repeated at others without an answer.
  // Returns whether it was accepted.
  bool Submit(const std::string& id,
              const Json& body,
              TaskNeeds needs,
              const std::string& queue = "q");
  // Hands it in once, at this daemon.
  bool SubmitOnce(const Daemon& daemon,
                  const std::string& id,
                  const Json& body,
                  TaskNeeds needs,
                  const std::string& queue = "q");
  std::optional<Reply> Ask(const Daemon& daemon,
                           const std::string& method,
                           const std::string& id,
                           int timeout_ms,
                           const std::string& queue = "q");
  std::string StateOf(const std::string& id, const std::string& queue = "q");
  bool HasStarted(const std::string& task);

  // Calls of the executors.
  TaskNeeds NeedsOf(const std::string& task);
  void OnStart(const std::string& task,
               std::int64_t run,
               const std::string& executor);
  void OnEnd(const std::string& task,
             std::int64_t run,
             const std::string& executor,
             const std::string& how);
  void OnNoted(const std::string& task, const std::string& how);

  // Broken rules, a line each.
  std::vector<std::string> Broken();
  void Break(const std::string& text);

  Store store;
  Record record;

 private:
  std::optional<Reply> HandlePlatform(const Request& request);
  void Ticks();

  WorldSettings settings;
  Server platform;
  std::vector<Daemon> daemons;
  std::mutex mutex;  // guards all below
  std::vector<std::unique_ptr<Executor>> executors;
  std::map<std::string, TaskNeeds> needs;  // by id of the submission
  struct Running {
    std::string executor;
    std::int64_t run = 0;
  };
  std::map<std::string, std::vector<Running>> running;  // by task
  std::map<std::string, std::int64_t> done_at;          // by task
  std::map<std::string, std::int64_t> last_start;       // by task
  std::set<std::string> noted;  // tasks whose done end was taken note of
  std::vector<std::string> broken;
};

}  // namespace review

#endif  // REVIEW_KIT_2_WORLD_H_
