// Keeps a daemon that accepts submissions within its share of what the owner
// can hold.
//
// Index:
//   [SECTION] BacklogGuard
//
// Not thread-safe: use it on the event loop's thread only.

#ifndef SRC_DAEMON_BACKLOG_GUARD_H_
#define SRC_DAEMON_BACKLOG_GUARD_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/coordination/backlog_share.h"
#include "src/daemon/owner_task.h"
#include "src/state/clock.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] BacklogGuard
//-----------------------------------------------------------------------------

class BacklogGuard {
 public:
  using Reservation = BacklogShare::Reservation;
  // Requests the backlog report of the owner; none: no answer.
  using Fetch =
      std::function<void(std::function<void(std::optional<std::string>)>)>;
  // None: the owner cannot hold it.
  using Callback = std::function<void(std::optional<Reservation>)>;

  // The loop and the owner must outlive the guard.
  BacklogGuard(EventLoop* loop,
               const OwnerTask* owner,
               const BacklogLimits& limits,
               Fetch fetch);
  ~BacklogGuard();
  BacklogGuard(const BacklogGuard&) = delete;
  BacklogGuard& operator=(const BacklogGuard&) = delete;

  // Reserves room for a job of this size, or for the refusal of one id. Calls
  // back once, from within the call or after a newer report has arrived.
  void ReserveJob(std::size_t bytes, Callback done);
  void ReserveRefusal(Callback done);

  // The ends of reservations, see BacklogShare.
  BacklogShare& Jobs() { return this->jobs; }
  BacklogShare& Refusals() { return this->refusals; }

 private:
  struct Waiting {
    BacklogShare* share;
    std::size_t amount;
    Callback done;
  };

  void Reserve(BacklogShare* share, std::size_t amount, Callback done);
  void OnReport(const BacklogReport& report);
  void RequestReport();
  void OnAnswer(const std::optional<std::string>& body);

  EventLoop* loop;
  const OwnerTask* owner;
  Fetch fetch;
  BacklogShare jobs;
  BacklogShare refusals;
  std::shared_ptr<bool> alive;
  bool fetching = false;
  std::optional<Instant> last_fetch;
  std::vector<Waiting> waiting;  // for the report that was requested
};

}  // namespace peridot

#endif  // SRC_DAEMON_BACKLOG_GUARD_H_
