// The daemon as owner of the fleet, or as a candidate for it.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] OwnerTask
//
// Every daemon runs one. The holder of the lease in the store loads all jobs
// and follows them, and carries out what the scheduler and the host planner
// decide. The others watch the lease. Not thread-safe: lives on the loop's
// thread.

#ifndef SRC_DAEMON_OWNER_TASK_H_
#define SRC_DAEMON_OWNER_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "src/daemon/fleet_ports.h"
#include "src/daemon/operator_view.h"
#include "src/daemon/table_follower.h"
#include "src/transport/event_loop.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct OwnerTaskConfig {
  // Time between two reads of the lease by a candidate.
  Milliseconds watch{500};  // default: 500 ms
  // Spread of that time, so that candidates do not claim at the same moment.
  Milliseconds watch_spread{150};  // default: 150 ms
  // Inputs that come within this time share one round of decisions.
  Milliseconds gather{2};  // default: 2 ms
  // The most of it on a busy host: a task waits this long for its place.
  Milliseconds gather_most{40};  // default: 40 ms
  // Least time between two plans of hosts, which take hundreds of times longer
  // to move; a plan looks at the whole fleet.
  Milliseconds plan_spacing{40};  // default: 40 ms
  // Least time between two writes of progress; ends in between share a write.
  Milliseconds write_spacing{20};  // default: 20 ms
  Milliseconds write_retry{60};    // default: 60 ms, after a refusal
  // A slow store answers within 350 ms. After this time the answer counts as
  // lost and the row is read back, before the lease and yield_after have
  // passed.
  Milliseconds write_timeout{600};  // default: 600 ms
  // An owner whose last write was answered this long ago yields to a candidate
  // that reaches the store. A store that is slow for all answers sooner.
  Milliseconds yield_after{1100};  // default: 1100 ms
  // Age of the last good answer about new jobs up to which the count of waiting
  // jobs is given: the feed's wait of 1.2 s and its way.
  Milliseconds jobs_fresh{1600};  // default: 1600 ms
  std::size_t max_batch = 80;     // default: 80 jobs; a call takes 100 rows
  // Time a final job stays readable: the longest promise to callers.
  Milliseconds keep_final{150000};  // default: 150 s
  // A job that waits longer than this is explained in the log.
  Milliseconds explain_after{2000};  // default: 2000 ms
  std::size_t explain_most = 5;      // default: 5 jobs a second
};

//-----------------------------------------------------------------------------
// [SECTION] OwnerTask
//-----------------------------------------------------------------------------

class OwnerTask {
 public:
  // What the daemon at an address says about itself.
  struct PeerAnswer {
    bool refused = false;  // no process accepts connections there
    std::string instance;  // of the process; empty if refused
    bool yields = false;   // it owns nothing, whatever the lease says
  };
  // Asks it; none: no answer. A strength above 0 asks the owner to hand over
  // to a host of that strength.
  using ProbePeer =
      std::function<void(const std::string& address,
                         int strength,
                         std::function<void(std::optional<PeerAnswer>)>)>;

  // The loop, the ports, the view and the metrics must outlive the task.
  OwnerTask(EventLoop* loop,
            const FleetPorts* ports,
            const OperatorView* view,
            Metrics* metrics,
            const FleetNodeSettings& settings,
            OwnerTaskConfig config,
            ProbePeer probe);
  ~OwnerTask();
  OwnerTask(const OwnerTask&) = delete;
  OwnerTask& operator=(const OwnerTask&) = delete;

  // Begins to watch the lease.
  void Start();
  // The operator's view has changed.
  void OnViewChanged();
  // Gives the lease back and takes it no more; then calls done.
  void Release(std::function<void()> done);

  // True if this daemon owns the fleet and has loaded all jobs.
  bool Owns() const;
  // Address of the owner as last read; empty if there is none.
  const std::string& OwnerAddress() const;
  std::optional<JobState> StateOf(const JobId& id) const;
  // None unless this daemon owns the fleet and has followed the jobs lately: a
  // count that misses the newest jobs would be false.
  std::optional<int> WaitingIn(const std::string& queue) const;
  bool StoreReachable(Instant now) const;
  // Answers a candidate that has just read the lease from the store. An owner
  // that cannot write meanwhile gives up its ownership to it, and so does one
  // on a much weaker host. strength: 0 unless the candidate asks for that.
  PeerAnswer AnswerCandidate(int strength);

 private:
  struct Ownership;  // owner_task.cc

  void Watch();
  void OnLeaseRow(const StoreReply& reply);
  void ProbeHolder();
  void Claim();
  void OnClaimed(const StoreReply& reply, const OwnerRow& row, Instant sent);
  void BeginOwnership();
  void EndOwnership(const char* reason);

  void LoadProgress(const std::string& from);
  void LoadWaves();
  void LoadUsedEndpoints();
  // One of the reads that jobs have to wait for has ended.
  void OnLoaded();
  void TakeJob(const StoreRow& row);
  void CheckLoaded();
  void FollowTables();
  void OnJobRow(const StoreRow& row);
  void OnEndpointRow(const StoreRow& row);
  void ApplyView();

  void Wake();
  void Round();
  void SetTimer();
  void Carry(const SchedulerActions& actions);
  void PlanHosts();
  void Write();
  void OnWritten(const StoreReply& reply,
                 const OwnerRow& row,
                 Instant sent,
                 std::uint64_t batch);
  // Reads back whether a write without an answer took effect.
  void ResolveWrite(const OwnerRow& written, Instant sent, std::uint64_t batch);
  void ReportWave(const WaveProgress& progress);
  void CloseJobs();
  void RemoveOldJobs();
  void ExplainWaiting();
  void PublishCounts();
  void WriteRelease();
  void LogDecisions();

  // Wraps an action so that it runs only while this ownership lasts.
  template <typename Action>
  auto IfOwner(Action action);

  StoreKey LeaseKey() const;
  std::int64_t StoreMs() const;
  void NoteStore(const StoreReply& reply);

  EventLoop* loop;
  const FleetPorts* ports;
  const OperatorView* view;
  Metrics* metrics;
  FleetNodeSettings settings;
  OwnerTaskConfig config;
  ProbePeer probe;
  OwnerLease lease;
  std::shared_ptr<bool> alive;
  std::shared_ptr<Ownership> owned;  // null while another daemon owns
  std::mt19937 random;
  bool releasing = false;  // this process ends
  bool giving_up = false;  // the next round gives the lease back
  bool claiming = false;
  Instant earlier_until{};  // the holder before the claim may act until then
  RowVersion
      earlier_jobs;  // newest job that an earlier holder may have started
  std::function<void()> on_released;
  std::int64_t store_ms = 0;  // store's clock at store_read
  Instant store_read{};
  Instant store_answered{};
  Instant write_answered{};  // last write of this ownership that succeeded
  std::string refused_by;    // instance that refused the last probe
};

}  // namespace peridot

#endif  // SRC_DAEMON_OWNER_TASK_H_
