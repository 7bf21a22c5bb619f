// The users' platform over HTTP, for runs of real daemons: the store, workers
// and an empty list of hosts.
//
// Index:
//   [SECTION] Settings
//   [SECTION] PlatformShell
//
// It speaks the platform's protocol as its pages describe it. It also watches
// what must hold: a violation is printed as one line "violation=...".

#ifndef STAND_INS_PLATFORM_SHELL_H_
#define STAND_INS_PLATFORM_SHELL_H_

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "stand_ins/http_shell.h"
#include "stand_ins/row_store.h"
#include "stand_ins/worker_model.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct PlatformShellSettings {
  int workers = 6;         // default: 6, over two zones
  std::int64_t cores = 8;  // default: 8, of each worker
  double lost_orders = 0;  // default: 0; share carried out unanswered
  double lost_writes = 0;  // default: 0; share done unanswered
  unsigned seed = 1;       // default: 1
};

//-----------------------------------------------------------------------------
// [SECTION] PlatformShell
//-----------------------------------------------------------------------------

// Not thread-safe; the loop outlives it.
class PlatformShell {
 public:
  PlatformShell(ShellLoop& loop, PlatformShellSettings settings);

  // Listens for the store and each worker, registers the workers, and writes
  // the first configuration. Errors: kUnavailable.
  Result<void> Listen();

  std::uint16_t StorePort() const { return this->store->Port(); }

 private:
  struct Worker {
    EndpointId id;
    std::unique_ptr<WorkerModel> model;
    std::unique_ptr<HttpServer> server;
    Instant silent_until{};       // answers nothing before
    bool obeys_silently = false;  // carries orders out meanwhile
  };
  struct Waiting {
    RequestNumber request = 0;
    std::string table;  // default: empty
    RowVersion after;
    Instant until{};
  };
  struct WaitingLook {
    RequestNumber request = 0;
    std::size_t worker = 0;
    LookAt look;
    OwnerEpoch epoch;
    Instant until{};
  };

  void HandleStore(HttpServer& server, const HttpRequest& request);
  void HandleWorker(std::size_t index,
                    HttpServer& server,
                    const HttpRequest& request);
  void Transact(HttpServer& server, const HttpRequest& request);
  void Read(HttpServer& server, const HttpRequest& request);
  void Feed(HttpServer& server, const HttpRequest& request);
  OrderReply Start(std::size_t index,
                   const StartRun& order,
                   OwnerEpoch epoch,
                   const std::string& payload);
  // Control call of a test: a worker is cut off, or only its answers are lost.
  void Silence(const HttpRequest& request);
  void AnswerLooks();
  void AnswerFeeds();
  void Tick();
  // Prints a violation if a start of the task breaks a promise.
  void CheckStart(const TaskName& task, std::size_t index) const;
  bool Chance(double share);
  void Register();

  ShellLoop& loop;
  PlatformShellSettings settings;
  RowStore rows;
  std::unique_ptr<HttpServer> store;
  std::vector<Worker> workers;
  std::vector<Waiting> feeds;
  std::vector<WaitingLook> looks;
  std::mt19937 random;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_PLATFORM_SHELL_H_
