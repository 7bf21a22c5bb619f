// State of an ownership and helpers that the source files of OwnerTask share.
//
// Index:
//   [SECTION] Ownership
//   [SECTION] Helpers

#ifndef SRC_DAEMON_OWNER_TASK_INTERNAL_H_
#define SRC_DAEMON_OWNER_TASK_INTERNAL_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/daemon/owner_task.h"
#include "src/daemon/used_endpoint_rows.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Ownership
//-----------------------------------------------------------------------------

// State that exists only while this daemon owns the fleet.
struct OwnerTask::Ownership {
  JobScheduler scheduler;
  HostPlanner planner;
  std::unique_ptr<TableFollower> jobs;
  std::unique_ptr<TableFollower> cancels;
  std::unique_ptr<TableFollower> endpoints;
  // Changes since the last round; none: the endpoint is no longer listed.
  std::map<EndpointId, std::optional<EndpointRow>> endpoint_changes;
  // Jobs read before pending_loads is 0, decoded: the rows would take as much
  // memory again.
  std::vector<std::pair<AcceptedJob, RowVersion>> deferred_jobs;
  UsedEndpointRows used_rows;
  // As stored; none: unknown. Unknown as well while a write of it is open.
  std::optional<QueueMoves> stored_moves;
  QueueMoves moves_in_write;
  std::map<std::string, WaveProgress> waves_to_write;
  // A host order is sent only after its record has been stored, so that the
  // next owner knows which hosts it must not order at once.
  std::vector<HostOrder> orders_to_record;
  std::vector<HostOrder> orders_in_write;
  std::map<HostId, std::int64_t> recorded_orders;  // latest time, store's clock
  struct Refusal {
    RowVersion version;  // of its row
    Instant remove_at{};
  };
  std::map<JobId, Refusal> refusals;
  std::map<ServiceId, double> host_cores;  // of all hosts that are not down
  double all_host_cores = 0;               // sum of host_cores
  Instant hosts_read{};                    // zero: not read yet
  CompletionRates rates;
  LoadReport load;
  Instant load_produced{};  // zero: no report yet
  struct Predicted {
    Instant arrived{};
    Milliseconds after{0};
  };
  std::map<JobId, Predicted> predicted;
  Instant next_comparison{};
  WatchId timer = kNoWatch;
  Instant began_at{};
  Instant next_plan{};
  Instant next_write{};
  Instant next_closing{};
  Instant next_sweep{};
  Instant next_progress_sweep{};
  Instant next_explanation{};
  Duration round_duration{};  // processing time of the last round
  // Unanswered reads: progress, waves, host orders, used endpoints, moved
  // queues.
  int pending_loads = 5;
  bool loaded = false;  // all jobs and endpoints have been read
  bool round_due = false;
  bool writing = false;
  std::size_t max_rows = 0;  // of progress in the next write
  std::size_t rows_in_write = 0;
  bool skip_progress = false;  // the next write only renews the lease
  bool used_in_write = false;  // the write includes the used endpoints
  bool closing = false;        // a write that closes jobs is under way
  bool removing_progress = false;
  bool reading_hosts = false;
  Instant probes_since{};  // begin of the period in which `probes` arrived
  int probes = 0;
  int daemons = 0;  // of the fleet, estimated; 0: unknown
};

//-----------------------------------------------------------------------------
// [SECTION] Helpers
//-----------------------------------------------------------------------------

template <typename Action>
auto OwnerTask::IfOwner(Action action) {
  return
      [this, action = std::move(action), alive = this->alive,
       weak = std::weak_ptr<Ownership>(this->owned)](auto&&... args) mutable {
        if (*alive && !weak.expired() && weak.lock() == this->owned) {
          action(std::forward<decltype(args)>(args)...);
        }
      };
}

}  // namespace peridot

#endif  // SRC_DAEMON_OWNER_TASK_INTERNAL_H_
