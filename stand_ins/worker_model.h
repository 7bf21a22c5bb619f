// Model of a worker of the platform: runs tasks under a lease, lists what runs
// and what has ended, and obeys fencing tokens.
//
// Index:
//   [SECTION] Settings
//   [SECTION] WorkerModel
//
// A pure state machine without I/O, driven by its calls and by Advance(). Not
// thread-safe.

#ifndef STAND_INS_WORKER_MODEL_H_
#define STAND_INS_WORKER_MODEL_H_

#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "src/coordination/job_scheduler.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

struct WorkerSettings {
  EndpointRow row;  // default: empty; capacity and labels included
  Milliseconds lease_max{10000};  // default: 10000 ms
  Milliseconds stop_time{300};    // default: 300 ms from a stop to its end
  double clock_rate = 1.0;        // default: 1; down to 0.98
};

// What a task needs and how its runs end.
struct WorkerTask {
  Resources needs;                // default: none
  Milliseconds duration{500};     // default: 500 ms
  EndKind ends = EndKind::kDone;  // default: kDone
  bool long_running = false;      // default: false; never ends by itself
};

//-----------------------------------------------------------------------------
// [SECTION] WorkerModel
//-----------------------------------------------------------------------------

class WorkerModel {
 public:
  WorkerModel(WorkerSettings settings, Instant now);

  // Orders. -----------------------------------------------------------------
  OrderReply Start(const StartRun& order,
                   OwnerEpoch epoch,
                   const WorkerTask& task,
                   Instant now);
  OrderReply Stop(const StopRun& order, OwnerEpoch epoch, Instant now);
  // None if the epoch is fenced.
  std::optional<EndpointReportRows> Look(const LookAt& look,
                                         OwnerEpoch epoch,
                                         Instant now);

  // Ends what is due: runs, stops and the lease.
  void Advance(Instant now);
  // Loses everything and starts again with the same id.
  void Restart(Instant now);

  bool Runs(const TaskName& task) const;
  std::vector<TaskName> Running() const;
  Resources Used() const;
  const EndpointRow& Row() const { return this->settings.row; }
  // Ends that were acknowledged while the lease had not lapsed since.
  const std::vector<RunEnd>& Acknowledged() const { return this->acknowledged; }
  // All ends of all lives.
  const std::vector<RunEnd>& AllEnds() const { return this->all_ends; }

 private:
  struct Run {
    RunNumber number = 0;
    WorkerTask task;
    Instant ends_at{};
    bool stopping = false;
  };

  std::int64_t Clock(Instant now) const;
  void Extend(std::int64_t lease_until_ms, Instant now);
  void End(const TaskName& task, EndKind kind);

  WorkerSettings settings;
  Instant born{};
  OwnerEpoch fence;
  std::map<TaskName, Run> running;
  std::map<TaskName, RunNumber> highest;  // stopped or ended here
  std::deque<RunEnd> ended;               // not acknowledged
  EndNumber lapsed_up_to = 0;  // the lease has lapsed after these ends
  EndNumber last_end = 0;
  std::int64_t lease_until = 0;  // on this worker's clock
  std::vector<RunEnd> acknowledged;
  std::vector<RunEnd> all_ends;
};

}  // namespace peridot

#endif  // STAND_INS_WORKER_MODEL_H_
