// Stand-in of the users' platform over HTTP, for tests with real daemons: the
// store, workers and an empty list of hosts.
//
// Index:
//   [SECTION] Settings
//   [SECTION] PlatformShell
//
// It implements the platform's documented protocol. It also checks invariants
// of the daemons, such as at most one run of a task at a time, and prints each
// violation as one line "violation=...".

#ifndef STAND_INS_PLATFORM_SHELL_H_
#define STAND_INS_PLATFORM_SHELL_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins/advice_model.h"
#include "stand_ins/http_shell.h"
#include "stand_ins/row_store.h"
#include "stand_ins/worker_model.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct PlatformShellSettings {
  int workers = 6;                // spread over two availability zones
  std::int64_t cores = 8;         // per worker
  double lost_order_share = 0;    // share executed without a response, 0..1
  double lost_write_share = 0;    // share executed without a response, 0..1
  bool idle_lease_lapses = true;  // see WorkerSettings
  // Tasks need a ticket of the advice service; none: they do not.
  std::optional<AdviceModelSettings> advice;
  unsigned seed = 1;
};

//-----------------------------------------------------------------------------
// [SECTION] PlatformShell
//-----------------------------------------------------------------------------

// Serves the advice service at the address of the store.
// Not thread-safe. The loop must outlive it.
class PlatformShell {
 public:
  PlatformShell(ShellLoop& loop, PlatformShellSettings settings);

  // Listens for the store and each worker, writes a row for each worker and the
  // initial configuration. Errors: kUnavailable.
  Result<void> Listen();

  std::uint16_t StorePort() const { return this->store->Port(); }

 private:
  struct Worker {
    EndpointId id;
    std::unique_ptr<WorkerModel> model;
    std::unique_ptr<HttpServer> server;  // null: down
    std::uint16_t port = 0;              // 0: not listening yet
    std::uint16_t listed_port = 0;       // in its entry; 0: `port`
    Instant unlisted_until{};            // has no entry before
    Instant silent_until{};              // sends no responses before
    bool executes_orders = false;        // but executes orders
    std::size_t checked_ends = 0;        // acknowledged ends that were checked
    std::size_t checked_unlisted = 0;    // of AcknowledgedUnlisted()
  };
  struct PendingFeed {
    RequestNumber request = 0;
    std::string table;
    RowVersion after;
    Instant until{};
  };
  struct PendingPoll {
    RequestNumber request = 0;
    std::size_t worker = 0;
    PollEndpoint poll;
    Instant until{};
  };

  void HandleStore(HttpServer& server, const HttpRequest& request);
  void HandleWorker(std::size_t index,
                    HttpServer& server,
                    const HttpRequest& request);
  void Transact(HttpServer& server, const HttpRequest& request);
  void Read(HttpServer& server, const HttpRequest& request);
  void Feed(HttpServer& server, const HttpRequest& request);
  void Advise(HttpServer& server, const HttpRequest& request);
  OrderReply Start(std::size_t index,
                   const StartRun& order,
                   const std::string& payload);
  // Request of a test: isolates a worker, or loses only its responses.
  void Silence(const HttpRequest& request);
  // Request of a test: a worker crashes and starts again under its id after
  // `ms`. Its entry shows this `entry_ms` later. With `silent` its old
  // connections stay open without an answer, as after a loss of power.
  void Restart(const HttpRequest& request);
  // Request of a test: a worker's entry names `port`, that of a proxy. Answers
  // with the worker's own Port.
  HttpReply ListPort(const HttpRequest& request);
  // Request of a test: a worker has no entry for `ms`.
  void Unlist(const HttpRequest& request);
  // Writes the entry of a worker, unless it is unlisted.
  void WriteEntry(std::size_t index);
  std::size_t WorkerOf(const HttpRequest& request) const;
  void ListenAgain(std::size_t index, Milliseconds entry_delay);
  Result<void> ListenWorker(std::size_t index);
  // Returns the row of the worker in the list of endpoints.
  std::pair<StoreKey, std::string> EntryOf(std::size_t index) const;
  void AnswerPolls();
  void AnswerFeeds();
  void AdvanceWorkers();
  // Prints a violation if the task already runs elsewhere or has already ended
  // as done.
  void ReportViolations(const TaskName& task, std::size_t index) const;
  // Prints a violation if a run of a task started after the end of another one
  // that is acknowledged only now.
  void CheckAcknowledgedEnds(Worker* worker) const;
  // Prints a violation for each end that was acknowledged before a report
  // listed it: the daemon cannot know it.
  void CheckUnlistedEnds(Worker* worker) const;
  bool RandomEvent(double share);
  void Register();

  ShellLoop& loop;
  PlatformShellSettings settings;
  RowStore rows;
  std::unique_ptr<HttpServer> store;
  std::vector<Worker> workers;
  // Of workers that have lost power, with open connections.
  std::vector<std::unique_ptr<HttpServer>> silent_servers;
  std::vector<PendingFeed> feeds;
  std::vector<PendingPoll> polls;
  std::unique_ptr<AdviceModel> advice;  // null: tasks need no ticket
  std::map<TaskName, Instant> last_starts;
  std::mt19937 random;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_PLATFORM_SHELL_H_
