// Leader election and scheduling: a daemon as owner of the fleet or as a
// candidate.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] OwnerTask
//
// Every daemon runs one OwnerTask. The holder of the owner lease in the store
// loads and follows all jobs and executes the decisions of the scheduler and
// the host planner. The other daemons poll the lease. Not thread-safe: use it
// on the event loop's thread only.

#ifndef SRC_DAEMON_OWNER_TASK_H_
#define SRC_DAEMON_OWNER_TASK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "src/coordination/job_admission.h"
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
  // Interval at which a candidate reads the lease, without jitter.
  Milliseconds watch_interval{500};
  // Upper bound of the random jitter added to that interval, so that candidates
  // do not claim at the same moment.
  Milliseconds watch_jitter{150};
  // A candidate whose reads of the lease failed leaves an expired lease to its
  // holder for this long after the store has returned: the holder, which could
  // not renew it either, repeats its write within write_retry, and a takeover
  // would interrupt scheduling.
  Milliseconds holder_return_grace{400};
  // Minimum delay before a round of decisions; inputs that arrive within it
  // share the round.
  Milliseconds round_delay{2};
  // Upper bound of that delay, which grows with the duration of the rounds. A
  // task may wait this long for its placement.
  Milliseconds max_round_delay{40};
  // Minimum time between two host plans. A plan scans the whole fleet, and
  // moving a host takes hundreds of times longer than this.
  Milliseconds min_plan_interval{40};
  // Minimum time between two writes of progress; tasks that end in between
  // share a write.
  Milliseconds min_write_interval{20};
  Milliseconds write_retry{60};  // after the store refused a call
  // A slow store answers within 350 ms. After this timeout the answer counts as
  // lost and the row is read back; this happens before the lease or yield_after
  // has expired.
  Milliseconds write_timeout{600};
  // An owner whose last write was answered this long ago yields to a candidate
  // that can reach the store. A store that is slow for all daemons still
  // answers in less time.
  Milliseconds yield_after{1100};
  // Age of the last successful answer of the job feed up to which the count of
  // waiting jobs is reported: the feed's wait of 1.2 s plus the transfer time.
  Milliseconds max_jobs_feed_age{1600};
  // Rows of progress in one write. A call of the store takes 100 rows; the
  // others hold the lease, the used endpoints and the waves.
  std::size_t max_batch = 70;
  // Time for which a job with a final state stays readable: the longest time
  // guaranteed to callers.
  Milliseconds final_job_retention{150000};
  // The log states the reason for waiting of jobs that wait longer than this.
  Milliseconds explain_after{2000};
  std::size_t max_explained_jobs = 5;  // jobs per second
  // Time for which the refusal of an id stays in the store: the longest
  // Retry-After, and ten times as long as a daemon repeats an earlier write.
  Milliseconds refusal_retention{30000};
  // Period over which the probes of candidates are counted, to estimate the
  // number of daemons.
  Milliseconds probe_window{1300};
  // Minimum time between two load reports; a report visits all waiting jobs.
  Milliseconds min_report_interval{250};
  // Age up to which the list of hosts is used for a report.
  Milliseconds max_host_list_age{10000};
  // Earliest arrival of a host that is not in the service yet. A move takes
  // 1.5 s; it may have been ordered before the list of hosts was read.
  Milliseconds earliest_host_arrival{500};
  // Number of jobs whose completion is compared with the prediction at a time.
  std::size_t max_predicted_jobs = 500;
  JobAdmissionConfig admission;
};

//-----------------------------------------------------------------------------
// [SECTION] OwnerTask
//-----------------------------------------------------------------------------

class OwnerTask {
 public:
  // Reply of the daemon at an address to a probe.
  struct PeerAnswer {
    bool refused = false;  // the connection was refused
    std::string instance;  // of the process; empty if refused
    bool yields = false;   // it is not the owner, even if the lease names it
  };
  // Probes the daemon at the address; none: no answer. A strength above 0
  // requests that the owner hands over to a host of that strength.
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

  // Starts polling the lease.
  void Start();
  // Call after each change of the operator's view.
  void OnViewChanged();
  // Releases the lease permanently, then calls done.
  void Release(std::function<void()> done);

  // True if this daemon owns the fleet and has loaded all jobs.
  bool Owns() const;
  // Address of the owner as last read; empty if there is none.
  const std::string& OwnerAddress() const;
  std::optional<JobState> StateOf(const JobId& id) const;
  // None unless this daemon owns the fleet and its job feed is up to date: a
  // count without the newest jobs would be wrong.
  std::optional<int> WaitingIn(const std::string& queue) const;
  // The load of the services, at most min_report_interval old; null unless this
  // daemon owns the fleet and knows its hosts. The pointer is valid until the
  // event loop continues.
  const LoadReport* Load(Instant* produced);
  // What the owner holds now; none unless this daemon owns the fleet.
  std::optional<BacklogReport> Backlog() const;
  // The newest version that a reply of the store named.
  RowVersion NewestVersion() const;
  bool StoreReachable(Instant now) const;
  // Answers a candidate that has just read the lease from the store. An owner
  // that could not write in the meantime ends its ownership. An owner on a much
  // weaker host hands over if the candidate requests it with its strength; 0:
  // no request.
  PeerAnswer AnswerCandidate(int strength);

 private:
  struct Ownership;  // owner_task.cc

  void Watch();
  void ReadLease();
  void OnLeaseRow(const StoreReply& reply);
  // Returns whether an expired lease is left to its holder.
  bool AwaitsHolder() const;
  void ProbeHolder();
  void Claim();
  void OnClaimed(const StoreReply& reply, const OwnerRow& row, Instant sent);
  void BeginOwnership();
  void EndOwnership(const char* reason);

  void LoadProgress(const std::string& from);
  void LoadWaves();
  void LoadHostOrders();
  void LoadUsedEndpoints();
  void LoadQueueMoves();
  // Called after each of the reads that must precede the processing of jobs.
  void OnLoaded();
  // Estimates the number of daemons from the probes of the candidates.
  void CountProbe();
  void AddJob(AcceptedJob job, RowVersion version);
  void CheckLoaded();
  void FollowTables();
  void OnJobRow(const StoreRow& row);
  void OnEndpointRow(const StoreRow& row);
  void ApplyView();

  void ScheduleRound();
  void RunRound();
  void SetTimer();
  void ExecuteActions(const SchedulerActions& actions);
  void PlanHosts();
  // Adds the record of the host orders that wait for it to the transaction.
  void RecordHostOrders(const OwnerRow& row, StoreTransaction* transaction);
  // The write of the record failed.
  void RecordHostOrdersAgain();
  void SendHostOrders();
  void Write();
  // Adds the record of used endpoints to the transaction, as far as it changes.
  void AddUsedEndpoints(StoreTransaction* transaction);
  // Converts the remaining time of a lease to the instant that is stored, on
  // the store's clock, and back. 0: there is none.
  std::int64_t StoredLapse(std::int64_t remaining_ms) const;
  std::int64_t RemainingLapse(std::int64_t stored_ms) const;
  // Returns the row's value, without checkpoints if it would be too large.
  std::string EncodeProgressRow(const JobProgress& progress) const;
  void OnWritten(const StoreReply& reply,
                 const OwnerRow& row,
                 Instant sent,
                 std::uint64_t batch);
  // Reads back whether a write that was not answered took effect.
  void ResolveWrite(const OwnerRow& written, Instant sent, std::uint64_t batch);
  void ReportWave(const WaveProgress& progress);
  void CloseJobs();
  void RemoveOldJobs();
  void RemoveOldRefusals();
  // Removes rows of completed occurrences of jobs in progress.
  void RemoveSettledProgress();
  // Predicts when the job completes, for the comparison when it has.
  void PredictCompletion(const AcceptedJob& job, Milliseconds age);
  void ComparePredictions();
  void ExplainWaiting();
  void PublishCounts();
  void WriteRelease();
  void LogDecisions();

  // Wraps an action so that it runs only during the current ownership.
  template <typename Action>
  auto IfOwner(Action action);

  StoreKey LeaseKey() const;
  std::int64_t StoreMs() const;
  void RecordStoreReply(const StoreReply& reply);

  EventLoop* loop;
  const FleetPorts* ports;
  const OperatorView* view;
  Metrics* metrics;
  FleetNodeSettings settings;
  OwnerTaskConfig config;
  ProbePeer probe;
  OwnerLease lease;
  std::shared_ptr<bool> alive;
  std::shared_ptr<Ownership> owned;  // null while this daemon is not the owner
  std::mt19937 random;
  bool releasing = false;        // this process is shutting down
  bool release_pending = false;  // the next round releases the lease
  bool claiming = false;
  bool lease_read_failed = false;    // the last read of the lease
  Instant store_returned{};          // first successful read after failed ones
  Instant previous_holder_until{};   // end of the lease that preceded the claim
  RowVersion previous_jobs_version;  // newest job that an earlier owner may
                                     // have started
  std::function<void()> on_released;
  RowVersion newest_version;  // that a reply of the store named
  std::int64_t store_ms = 0;  // the store's clock at store_read
  Instant store_read{};
  Instant store_answered{};
  Instant write_answered{};      // last write of this ownership that succeeded
  std::string refused_instance;  // instance that refused the last probe
};

}  // namespace peridot

#endif  // SRC_DAEMON_OWNER_TASK_H_
