// Stand-in of the users' platform as PROTOCOL.md describes it: the store, the
// executors with their list, and the list of machines. It notes what happens on
// its sockets, so that a case can be judged from that alone.
//
// Index:
//   [SECTION] Record
//   [SECTION] Store
//   [SECTION] Executors
//   [SECTION] Rules

#ifndef REVIEW_KIT_PLATFORM_H_
#define REVIEW_KIT_PLATFORM_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "review/kit/http.h"

namespace review {

using Json = nlohmann::json;

//-----------------------------------------------------------------------------
// [SECTION] Record
//-----------------------------------------------------------------------------

// Milliseconds since the start of this process.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

// The file record.txt: one line for each thing that was sent, answered or run.
class Record {
 public:
  explicit Record(const std::string& path) : file(path) {}
  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

// What happens to one writing call: executed at once and answered; or not
// answered, and executed `late_ms` later if its condition still holds then.
struct WriteFate {
  bool lost = false;
  std::int64_t late_ms = 0;
};

// A write that replaces a row under the condition of its version.
bool IsChange(const Json& call);

class Store {
 public:
  explicit Store(Record* record) : record(record) {}

  // Handles a call of the machine with this number.
  std::optional<Response> Handle(int machine, const Request& request);
  // Writes a row as the operator or an executor does.
  void Put(const std::string& table, const std::string& key, const Json& value);
  void Remove(const std::string& table, const std::string& key);

  // Decides the fate of writing calls; none: all are answered.
  std::function<WriteFate(int machine, const Json& call)> fate;
  // The store is down until then: it answers each call with 503.
  void BusyUntil(std::int64_t until_ms) { this->busy_until = until_ms; }
  // Number of the machine that last changed a row under the condition of its
  // version; -1: none.
  int LastWriter();
  // Number of writing calls refused because a row exceeded RowBytes.
  int TooLarge();

 private:
  struct Row {
    std::string value;  // base64
    std::uint64_t version = 0;
  };
  using Key = std::pair<std::string, std::string>;  // table, part

  Response Transact(int machine, const Json& call);
  Response Get(const Request& request);
  Response Feed(const Request& request);
  Json Stamp() const;
  void Apply(const std::string& table,
             const std::string& part,
             const std::string& key,
             const std::optional<std::string>& value);

  Record* record;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<Key, std::map<std::string, Row>> rows;
  // By table: version and key of each change, in order.
  std::map<std::string,
           std::vector<std::tuple<std::uint64_t, std::string, std::string>>>
      changes;
  std::uint64_t version = 0;
  std::atomic<std::int64_t> busy_until{0};
  int last_writer = -1;
  int too_large = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Executors
//-----------------------------------------------------------------------------

// One run of a task, as its executor saw it. Times in ms, -1: not yet.
struct Run {
  std::string task;
  std::uint64_t run = 0;
  std::string executor;
  std::int64_t start = -1;
  std::int64_t end = -1;
  std::string how;
  std::uint64_t number = 0;  // of the end
  std::int64_t listed = -1;  // first answer that lists the end
  std::int64_t noted = -1;   // AckCursor has reached the end
  std::int64_t lapsed = -1;  // the lease lapsed after the end, before that
};

// What the tasks of a step do, taken from the submission's Spec: a list with
// one object for each step, {"ms": work, "spread_ms": at most so much more, by
// the task's index, "ends": "done" or "failed", "lasts": true, "ticket": true}.
// A step with "ticket" is of a queue with `Advice`: a start needs the ticket of
// the step for the executor.
struct Work {
  std::int64_t ms = 300;
  std::string ends = "done";
  bool lasts = false;
  bool ticket = false;
  std::int64_t cpu = 1000;
  std::int64_t memory = 100;
};

// The ticket that lets an executor run a step (ID.K.STEP).
std::string TicketFor(const std::string& step, const std::string& executor);

struct ExecutorSettings {
  std::string id;
  std::string machine;
  std::string service;
  std::string zone;
  std::string rack;
  std::int64_t cpu = 64000;
  std::int64_t memory = 256000;
  std::int64_t hold_max_ms = 10000;
  std::int64_t stop_ms = 300;
};

class Executors {
 public:
  Executors(Store* store, Record* record);

  void Add(ExecutorSettings settings);
  // The executor is cut off from all machines of the system until then: it
  // neither receives nor answers, and works on.
  void CutOff(const std::string& id, std::int64_t until_ms);
  std::vector<Run> Runs();
  std::optional<Response> Machines(const Request& request);

 private:
  struct Active {
    std::size_t index = 0;  // in runs
    std::uint64_t run = 0;
    Work work;
    std::int64_t ends_at = 0;
    std::int64_t stops_at = -1;
  };
  struct Executor {
    ExecutorSettings settings;
    std::unique_ptr<Server> server;
    std::int64_t born = 0;
    std::int64_t started = 0;
    std::uint64_t fence = 0;
    std::int64_t lease_until = 0;  // on this executor's clock
    bool leased = false;
    std::map<std::string, Active> running;
    std::map<std::string, std::uint64_t> over;  // highest run ended or stopped
    std::deque<std::size_t> ended;              // in runs; not acknowledged
    std::uint64_t last_end = 0;
    std::int64_t cut_until = 0;
  };

  std::optional<Response> Handle(Executor* executor, const Request& request);
  Response Start(Executor* executor, const Json& call);
  Response Stop(Executor* executor, const Json& call);
  Response Hold(Executor* executor,
                const Json& call,
                std::unique_lock<std::mutex>* lock);
  void Extend(Executor* executor, const Json& call);
  void End(Executor* executor, const std::string& task, const char* how);
  void Tick();
  std::int64_t ClockMs(const Executor& executor) const;
  Response Reply(const Executor& executor,
                 int status,
                 const char* reason) const;

  Store* store;
  Record* record;
  std::mutex mutex;
  std::condition_variable ends;
  std::vector<std::unique_ptr<Executor>> executors;
  std::vector<Run> runs;
};

//-----------------------------------------------------------------------------
// [SECTION] Rules
//-----------------------------------------------------------------------------

// TWICE: two runs of a task at the same time, or a start after a run has ended
// `done` if that end was taken note of then or later, unless the lease lapsed
// between the two. Returns a line for each start. On a day without any
// disturbance
// (`calm`) an end also counts as taken note of 100 ms after it was listed.
std::vector<std::string> BrokenTwice(const std::vector<Run>& runs, bool calm);

// BUDGET: starts after `attempts` runs of the task have ended `failed` that
// were taken note of, with the same words.
std::vector<std::string> BrokenBudget(const std::vector<Run>& runs,
                                      int attempts);

}  // namespace review

#endif  // REVIEW_KIT_PLATFORM_H_
