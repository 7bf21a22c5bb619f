// Model of a worker of the platform: runs tasks under a lease, lists running
// and ended runs, and rejects orders with an outdated fencing token.
//
// Index:
//   [SECTION] Settings
//   [SECTION] WorkerModel
//
// A pure state machine without I/O, driven by its calls and by Advance(). Not
// thread-safe.

#ifndef STAND_INS_WORKER_MODEL_H_
#define STAND_INS_WORKER_MODEL_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/coordination/job_scheduler.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct WorkerSettings {
  EndpointRow row;                  // includes capacity and labels
  Milliseconds max_lease{10000};    // limit; a longer lease is shortened to it
  Milliseconds stop_duration{300};  // from a stop order to the end of the run
  std::size_t max_ends_listed = 500;  // in one report
  // Whether the expiry of a lease counts as a lapse if nothing is running. If
  // not, ends from before it remain valid.
  bool idle_lease_lapses = true;
  double clock_rate = 1.0;  // relative to the caller's clock, 0.98 to 1
};

// Resource needs of a task and how its runs end.
struct WorkerTask {
  Resources needs;
  Milliseconds duration{500};
  EndKind ends = EndKind::kDone;
  bool long_running = false;  // runs until it is stopped
};

//-----------------------------------------------------------------------------
// [SECTION] WorkerModel
//-----------------------------------------------------------------------------

class WorkerModel {
 public:
  WorkerModel(WorkerSettings settings, Instant now);

  // Orders. -----------------------------------------------------------------
  OrderReply Start(const StartRun& order, const WorkerTask& task, Instant now);
  OrderReply Stop(const StopRun& order, Instant now);
  // Responds to a poll at once: renews the lease, drops the acknowledged ends
  // and returns what runs and what has ended. Returns nothing if the token is
  // fenced.
  std::optional<EndpointReportRows> Poll(const PollEndpoint& poll, Instant now);

  // The caller has sent this report of Poll().
  void OnListed(const EndpointReportRows& report);

  // Ends the runs that are due by their duration or a stop order, and all runs
  // if the lease has expired.
  void Advance(Instant now);
  // Loses all state and starts again with the same id and this clock reading.
  void Restart(Instant now, Milliseconds clock = Milliseconds{0});

  // Reading of this worker's clock; it starts anew with each restart.
  std::int64_t ClockMs(Instant now) const;
  bool Runs(const TaskName& task) const;
  std::vector<TaskName> Running() const;
  Resources Used() const;
  const EndpointRow& Row() const { return this->settings.row; }
  // Acknowledged ends, except those whose lease had expired between the end and
  // the acknowledgement.
  const std::vector<RunEnd>& Acknowledged() const { return this->acknowledged; }
  // Acknowledged ends that no report had listed.
  const std::vector<RunEnd>& AcknowledgedUnlisted() const {
    return this->acknowledged_unlisted;
  }
  // When a run ended, over all restarts; none if it has not.
  std::optional<Instant> EndTime(const TaskName& task, RunNumber run) const;
  // All ends, including those before restarts.
  const std::vector<RunEnd>& AllEnds() const { return this->all_ends; }

 private:
  struct Run {
    RunNumber number = 0;
    WorkerTask task;
    Instant started_at{};
    Instant ends_at{};
    bool stopping = false;
  };

  void Extend(std::int64_t lease_until_ms, Instant now);
  void End(const TaskName& task, EndKind kind, Instant now);
  void ForgetAcknowledged();

  WorkerSettings settings;
  Instant started_at{};
  Milliseconds clock_at_start{0};
  FencingToken fence;
  std::map<TaskName, Run> running;
  std::map<TaskName, RunNumber> highest_ended;  // highest run stopped or ended
  std::deque<RunEnd> ended;    // ends without an acknowledgement
  EndNumber lapsed_up_to = 0;  // ends before the latest lease expiry
  EndNumber last_end = 0;
  // Ends up to here are forgotten, also those that come after the poll.
  EndNumber acknowledged_up_to = 0;
  std::int64_t lease_until = 0;  // ms on this worker's clock
  EndNumber listed_up_to = 0;
  std::vector<RunEnd> acknowledged;
  std::vector<RunEnd> acknowledged_unlisted;
  std::vector<RunEnd> all_ends;
  std::map<std::pair<TaskName, RunNumber>, Instant> end_times;
};

}  // namespace peridot

#endif  // STAND_INS_WORKER_MODEL_H_
