// Decides which task of which job runs on which endpoint, as the one owner of
// the fleet.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Actions
//   [SECTION] Answers
//   [SECTION] JobScheduler
//
// A pure state machine: it does no I/O and reads no clock. Inputs are OnXxx()
// calls; Advance() returns what to do next. One owner acts at a time. It holds
// an epoch that is higher than that of every owner before it, which each
// endpoint learns with the first look. What an earlier owner started is found
// in the endpoints' own lists; an endpoint that does not answer counts as
// running until the lease of its work has lapsed.
//
// Not thread-safe.

#ifndef SRC_COORDINATION_JOB_SCHEDULER_H_
#define SRC_COORDINATION_JOB_SCHEDULER_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/coordination/job.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct JobSchedulerConfig {
  OwnerEpoch epoch;  // default: 0; fencing token of every order

  // Lease of the work on an endpoint, renewed with each look. Long enough to
  // bridge an outage of the store together with the owner's lease, short
  // enough that work of a lost endpoint restarts soon.
  Milliseconds endpoint_lease{5000};  // default: 5000 ms
  // Largest lease that endpoints grant; longer ones are shortened to it.
  Milliseconds endpoint_lease_max{10000};  // default: 10000 ms
  // An endpoint's clock may be this much slow.
  int clock_drift_percent = 2;  // default: 2 %
  // Added to the instant at which a lease has lapsed; covers timer lateness.
  Milliseconds lapse_margin{300};  // default: 300 ms

  // Time that a look waits for an end. Bounds the age of what is known about
  // an endpoint on which nothing ends.
  Milliseconds look_wait{1000};  // default: 1000 ms
  // As above on an endpoint where filling work runs beside serving work.
  Milliseconds paced_look_wait{400};  // default: 400 ms
  // Pause after a look that failed, so that a dead endpoint costs few looks.
  Milliseconds look_retry{400};  // default: 400 ms
  // Looks in a row without an answer before no more work is sent.
  int looks_to_unreachable = 2;  // default: 2
  // Pause before an endpoint with ends that are not recorded yet is read again:
  // it may list them at once, and a slow store must not hide further ends.
  Milliseconds unrecorded_look{80};  // default: 80 ms

  // An order without an answer for this long counts as lost; endpoints answer
  // within a few milliseconds.
  Milliseconds stop_retry{700};  // default: 700 ms
  // Pause of an endpoint that refused work as unhealthy.
  Milliseconds unhealthy_pause{1000};  // default: 1000 ms
  // Pause of an endpoint that refused a task for want of room.
  Milliseconds full_pause{200};  // default: 200 ms

  // Failed runs in a row, of distinct jobs, that take an endpoint out.
  int failures_to_quarantine = 3;  // default: 3
  // Length of that; one more failure afterwards renews it.
  Milliseconds quarantine{4000};  // default: 4000 ms
  // A ready task that no endpoint accepts for this long asks for a host.
  Milliseconds starved_after{700};  // default: 700 ms
  // Age up to which a report counts for allowances of unavailable tasks.
  Milliseconds fresh_report{1600};  // default: 1600 ms

  // A task whose progress does not change for this long, and for at least
  // stall_factor of its expected duration, is moved to another endpoint.
  Milliseconds stall{2200};   // default: 2200 ms
  double stall_factor = 2.5;  // default: 2.5

  // Waiting time for a place in the rack that holds the data, as a share of
  // the task's duration; beyond it a slower place is better than none.
  double data_rack_patience = 1.0;  // default: 1.0
  // Factor by which work is slower away from its data or across racks.
  double remote_factor = 3.0;  // default: 3

  // Late work is worth something up to this multiple of the objective.
  double late_factor = 3.0;  // default: 3
  // Work that is late already goes by age plus this share of its objective:
  // 0 is first come first served, higher values prefer short jobs.
  double late_objective_weight = 1.0;  // default: 1.0

  // Endpoints named in one call for advice.
  std::size_t advice_endpoints = 30;  // default: 30
  // Calls for advice at the same time; the service handles one after another.
  std::size_t advice_calls = 4;  // default: 4

  // Tail latency of serving work, as a share of its target, above which the
  // filling work beside it is slowed, and below which it is let go again.
  double pace_down_at = 0.85;  // default: 0.85
  double pace_up_at = 0.5;     // default: 0.5
  // Time between two changes of one task's pace; the tail reacts within it.
  Milliseconds pace_interval{700};  // default: 700 ms
};

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// The address that an order goes to, and the life that it is meant for.
struct OrderTarget {
  EndpointId endpoint;  // default: empty
  std::string address;  // default: empty; "ip:port"
};

struct StartRun {
  OrderTarget target;
  TaskName task;
  RunNumber run = 0;                // default: 0
  std::string payload;              // default: empty
  std::string checkpoint;           // default: empty; start from the beginning
  std::string ticket;               // default: empty; no advice needed
  std::int64_t lease_until_ms = 0;  // default: 0; on the endpoint's clock
};

struct StopRun {
  OrderTarget target;
  TaskName task;
  RunNumber run = 0;  // default: 0
};

struct PaceRun {
  OrderTarget target;
  TaskName task;
  RunNumber run = 0;  // default: 0
  int percent = 100;  // default: 100
};

// Reads the lists of an endpoint, renews its lease and acknowledges ends.
struct LookAt {
  OrderTarget target;
  EndNumber acknowledged = 0;       // default: 0; none
  std::int64_t lease_until_ms = 0;  // default: 0; no lease
  Milliseconds wait{0};             // default: 0; answer at once
};

struct AskAdvice {
  TaskName step;                      // index is 0
  std::vector<EndpointId> endpoints;  // default: none
};

struct SchedulerActions {
  std::vector<StartRun> starts;
  std::vector<StopRun> stops;
  std::vector<PaceRun> paces;
  std::vector<LookAt> looks;
  std::vector<AskAdvice> advice;
};

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

enum class OrderReply {
  kDone,        // carried out, or already there
  kFenced,      // a higher epoch has been seen
  kOldRun,      // the run number is not above an earlier one
  kLate,        // the lease offered has already passed
  kNoRoom,      // not enough room
  kNoTicket,    // the ticket is missing or has expired
  kUnhealthy,   // nothing was done
  kOtherLife,   // another endpoint answers at this address
  kNotSent,     // no byte reached the endpoint
  kBadRequest,  // the endpoint rejects the order itself
  kUnknown,     // no answer: the order may be carried out, even later
};

// Returns a stable lower-case name, as in "no_room".
const char* OrderReplyName(OrderReply reply);

struct AdviceTicket {
  EndpointId endpoint;  // default: empty
  std::string ticket;   // default: empty
};

// A batch of facts to write before ends are acknowledged.
struct RecordBatch {
  std::uint64_t number = 0;           // default: 0, no batch
  std::vector<JobProgress> progress;  // default: none
};

// A job that is recorded as final; its row may shrink to that state.
struct ClosableJob {
  JobId id;                             // default: empty
  RowVersion version;                   // default: 0; of its row
  JobState state = JobState::kPending;  // default: kPending
};

struct EndpointSummary {
  EndpointId id;
  ServiceId service;
  ZoneId zone;
  bool usable = false;    // takes new work
  bool idle = false;      // nothing runs and nothing may start there
  int long_running = 0;   // tasks of steps that last
  int short_running = 0;  // all others
  Resources used;
  Resources capacity;
};

// An endpoint that may hold work, for the next owner.
struct UsedEndpoint {
  EndpointId id;       // default: empty
  ServiceId service;   // default: empty
  Resources capacity;  // default: none
  // Time until its work has lapsed, for one that does not answer and whose
  // lease is not renewed any more; 0: its lease may be renewed.
  std::int64_t lapse_ms = 0;  // default: 0

  friend bool operator==(const UsedEndpoint&, const UsedEndpoint&) = default;
};

// Work of one service, for the planner of hosts.
struct ServiceDemand {
  double waiting_core_seconds = 0;  // default: 0; ready and not started
  // As above, of jobs that are too late to be worth anything to their callers.
  double hopeless_core_seconds = 0;  // default: 0
  double used_cores = 0;             // default: 0; running now
  double lasting_cores = 0;          // default: 0; of these, work that lasts
  int starved_jobs = 0;  // ready for long, and no endpoint would accept them
  double arrived_core_seconds = 0;  // default: 0; since the takeover
  int arrived_jobs = 0;             // default: 0; likewise
};

//-----------------------------------------------------------------------------
// [SECTION] JobScheduler
//-----------------------------------------------------------------------------

class JobScheduler {
 public:
  JobScheduler(JobSchedulerConfig config, Instant now);
  ~JobScheduler();
  JobScheduler(JobScheduler&&) noexcept;
  JobScheduler& operator=(JobScheduler&&) noexcept;

  // Inputs from the store. --------------------------------------------------

  void OnFleetConfig(FleetConfig config);

  // A job that was stored `age` ago in a row of this version.
  // `before_takeover` is true if an earlier owner may have started tasks of
  // it. Does nothing if the job is known.
  void OnJob(AcceptedJob job,
             RowVersion version,
             bool before_takeover,
             Milliseconds age,
             Instant now);

  // The owner's row in the store says that jobs up to this version may have
  // been started. Later ones wait for it, so that the next owner knows which
  // jobs have surely not begun.
  void OnStartable(RowVersion up_to);

  // What an earlier owner recorded of a job. Requires that OnJob() follows.
  void OnProgress(JobProgress progress);

  // Unix time, for occurrences that are due at a time of day.
  void OnWallClock(std::int64_t unix_ms, Instant now);

  // A cancellation that was stored. May come before the job.
  void OnCancel(const JobId& id, Instant now);

  // The current rows of all endpoints. One that is missing is gone, but its
  // work may go on until its lease has lapsed.
  void OnEndpoints(const std::vector<EndpointRow>& rows, Instant now);

  // Endpoints that an earlier owner used. One that is not listed any more
  // counts as running until its lease has lapsed.
  void OnEarlierEndpoints(const std::vector<UsedEndpoint>& endpoints,
                          Instant now);

  // No task starts in these zones.
  void OnZonesOut(std::set<ZoneId> zones);

  // No task starts on these endpoints: their hosts are about to leave.
  void OnCordoned(std::set<EndpointId> endpoints);

  // Stops work that lasts on an endpoint whose host is about to leave, as far
  // as the allowances of the steps permit now; it restarts elsewhere. Call it
  // again until the endpoint is idle.
  void Evict(const EndpointId& endpoint, Instant now);

  // Inputs from endpoints. --------------------------------------------------

  void OnStartReply(const StartRun& order, OrderReply reply, Instant now);
  void OnStopReply(const StopRun& order, OrderReply reply, Instant now);
  // `sent` is the instant at which the look was sent.
  void OnLook(const LookAt& look,
              const std::optional<EndpointReportRows>& report,
              Instant sent,
              Instant now);
  void OnAdvice(const AskAdvice& call,
                const std::optional<std::vector<AdviceTicket>>& tickets,
                Milliseconds valid,
                Instant now);

  // Decisions. --------------------------------------------------------------

  // Returns all orders that are due. `may_start` is false while the owner
  // cannot prove that its lease is valid; nothing starts then and no lease of
  // an endpoint is renewed.
  SchedulerActions Advance(bool may_start, Instant now);

  // Returns facts to record, or a batch with number 0 if there are none. At
  // most `limit` jobs a batch; one batch is open at a time.
  RecordBatch TakeBatch(std::size_t limit);
  // The open batch has been stored, or has failed and is taken again later.
  void OnRecorded(std::uint64_t number, bool stored, Instant now);

  // Queries. ----------------------------------------------------------------

  // The state to show; none if the job is unknown.
  std::optional<JobState> StateOf(const JobId& id) const;
  // Why a job waits: the constraint that binds its first task that could
  // start, with the figures that decide, as key=value text. Empty if no task
  // of it waits for a place.
  std::string WhyWaiting(const JobId& id, Instant now) const;
  // Jobs with a task that has been ready for longer than this.
  std::vector<JobId> WaitingSince(Instant instant) const;
  // Accepted jobs of a queue of which no task has started.
  int WaitingIn(const std::string& queue) const;
  // Newest version of a job's row that has been seen.
  RowVersion NewestJob() const;
  // True if a job waits for OnStartable().
  bool HoldsJobs() const;
  // True once an endpoint has reported a higher epoch than this owner's.
  bool Fenced() const;
  // Instant by which a decision is due again without any input.
  Instant NextWake(Instant now) const;
  std::vector<EndpointSummary> Endpoints(Instant now) const;
  // All endpoints that may hold work, by id.
  std::vector<UsedEndpoint> UsedEndpoints(Instant now) const;
  std::map<ServiceId, ServiceDemand> Demand(Instant now) const;
  // Final jobs that were recorded before the instant, to be forgotten.
  std::vector<JobId> FinalBefore(Instant instant) const;
  void Forget(const JobId& id);
  // Jobs that are recorded as final and whose rows still hold all of them.
  std::vector<ClosableJob> JobsToClose(std::size_t limit) const;
  // The rows of these jobs have been replaced by their final states.
  void OnClosed(const std::vector<ClosableJob>& jobs);

  struct Counters {
    std::map<std::string, std::uint64_t> starts_by_reply;
    std::map<std::string, std::uint64_t> ends_by_kind;
    std::map<std::string, std::uint64_t> stops_by_reason;
    std::uint64_t looks = 0;
    std::uint64_t looks_failed = 0;
  };
  const Counters& Counts() const;

  // Decisions since the last call, one key=value text each, for the log.
  std::vector<std::string> TakeDecisions();

  struct State;  // job_scheduler_internal.h

 private:
  std::unique_ptr<State> state;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_SCHEDULER_H_
