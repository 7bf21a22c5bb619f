// Places the tasks of jobs on endpoints, as the single scheduling owner of the
// fleet.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Actions
//   [SECTION] Answers
//   [SECTION] JobScheduler
//
// A pure state machine: it does no I/O and reads no clock. Inputs are OnXxx()
// calls; Advance() returns the orders to send next. One owner acts at a time.
// Its epoch is higher than that of every previous owner and reaches each
// endpoint with the first poll. Runs that a previous owner started are read
// from the endpoints' own lists; the runs of an endpoint that does not answer
// count as running until their lease has lapsed.
//
// Not thread-safe.

#ifndef SRC_COORDINATION_JOB_SCHEDULER_H_
#define SRC_COORDINATION_JOB_SCHEDULER_H_

#include <cstddef>
#include <limits>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/job.h"

namespace peridot {

struct LoadReport;  // job_admission.h

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct JobSchedulerConfig {
  OwnerEpoch epoch;  // leading part of the fencing token in every order

  // Lease of the work on an endpoint, renewed by each poll. Long enough to
  // bridge an outage of the store together with the owner's lease, short
  // enough that the work of a lost endpoint restarts soon.
  Milliseconds endpoint_lease{5000};
  // Longest lease that endpoints grant; they shorten longer requests to it.
  Milliseconds endpoint_lease_max{10000};
  // Bound on how much slower an endpoint's clock may run.
  int clock_drift_percent = 2;
  // Added to the instant at which a lease lapses; covers late timers.
  Milliseconds lapse_margin{300};
  // Longest time after which an endpoint executes an order that gets no answer.
  // The order may outlast the process that it was sent to.
  Milliseconds late_order_limit{12000};
  // Time after which the call of an order has returned, answered or not.
  Milliseconds order_call_limit{1000};
  // A start order that is not answered within this time is stored for the next
  // owner: endpoints answer within a few milliseconds.
  Milliseconds slow_answer{100};

  // An endpoint that is listed is up and keeps the ends of its runs, even if it
  // answers no poll and its lease has expired. Its short tasks are given up
  // only this long after the lease, because one that had completed would then
  // run twice.
  Milliseconds listed_grace{10000};
  // As above for a new owner, which does not know what runs on an endpoint that
  // it has not reached yet, and holds back all earlier jobs of the service.
  Milliseconds listed_recovery_grace{3000};

  // The list of hosts may not show an endpoint yet that is younger than this.
  Milliseconds host_list_delay{3000};
  // A list of hosts that names a smaller share of the listed endpoints is
  // ignored as incomplete. Moves of the emptiest pools end about two thirds.
  double min_host_list_share = 0.25;

  // Long-poll time: how long a poll waits for a run to end. Bounds the age of
  // the last report of an endpoint on which no run ends.
  Milliseconds poll_wait{1000};
  // As above on an endpoint that runs best-effort work beside tasks with a
  // latency target.
  Milliseconds paced_poll_wait{400};
  // Pause after a failed poll, so that an unreachable endpoint costs few polls.
  Milliseconds poll_retry{400};
  // Consecutive failed polls after which an endpoint gets no new work.
  int failed_polls_to_unreachable = 2;
  // Pause before the next poll of an endpoint whose ends are not recorded yet.
  // Such a poll returns at once because the endpoint still lists these ends,
  // but waiting for a slow store would delay further ends.
  Milliseconds unrecorded_poll_delay{80};

  // A stop order that is not answered within this time counts as lost and is
  // sent again; endpoints answer within a few milliseconds.
  Milliseconds stop_retry{700};
  // No new work for this long after an endpoint refused a task as unhealthy.
  Milliseconds unhealthy_backoff{1000};
  // No new work for this long after an endpoint refused a task for lack of
  // capacity.
  Milliseconds full_backoff{200};

  // Consecutive failed runs, of distinct jobs, that quarantine an endpoint.
  int failures_to_quarantine = 3;
  // Duration of the quarantine; one more failure afterwards renews it.
  Milliseconds quarantine{4000};
  // A ready task that no endpoint accepts for this long counts as starved;
  // the host planner then adds a host to the pool.
  Milliseconds starved_after{700};
  // Age up to which a report proves that a task is available, for the limit of
  // unavailable tasks of its step.
  Milliseconds max_report_age{1600};

  // A task whose progress does not change for this long, and that runs for at
  // least stall_factor times its expected duration, is moved to another
  // endpoint.
  Milliseconds stall_timeout{2200};
  double stall_factor = 2.5;

  // Factor by which a task is slower away from its data or across racks.
  double remote_factor = 3.0;

  // Number of jobs of a service that may fail to fit before a round ends: the
  // bound on a round's work while there is a long backlog and no room.
  int backfill_depth = 60;
  // Number of jobs of one team that may fail to fit, or exceed its limit,
  // before a round skips the team's other jobs.
  int team_backfill_depth = 25;
  // A round that left jobs out for these bounds also visits this many jobs in
  // turn, so that each has its turn although those before it do not fit.
  std::size_t turn_depth = 20;
  // It does so once rounds of the service have left jobs out for this long, and
  // while at most this share of the capacity is in use. Otherwise the order
  // decides who gets the room that ends of runs leave.
  Milliseconds turn_after{1000};
  double turn_max_use = 0.5;

  // A late job still has value to its caller up to this multiple of its
  // objective.
  double late_factor = 3.0;
  // Late jobs are ordered by arrival time plus this multiple of their
  // objective: 0 is first come first served, higher values prefer short jobs.
  double late_objective_weight = 1.0;

  // Number of endpoints that a call to the advice service names without knowing
  // whether they are allowed; the service takes time for each of them.
  std::size_t advice_endpoints = 30;
  // Maximum number of endpoints in a call, which the service sets. The rest of
  // a call renews tickets of endpoints that are known to be allowed.
  std::size_t max_advice_endpoints = 100;
  // Maximum number of concurrent calls; the service handles them one by one.
  // One of them is reserved for the step that has waited longest for a call.
  std::size_t advice_calls = 4;
  // Pause before a step repeats a failed call, and between two requests for a
  // ticket of the same endpoint.
  Milliseconds advice_retry{200};
  // Pause before a new ticket is requested for an endpoint that rejected one,
  // since it may reject the next one as well.
  Milliseconds rejected_ticket_backoff{1000};
  // A ticket is used until this long before it expires, so that the start order
  // arrives in time; a ticket of short validity loses a quarter at most.
  Milliseconds ticket_margin{50};

  // Rows in which the progress of a job is recorded.
  ProgressLayout progress_layout;

  // Occurrences of a recurring job that are due and not completed, beyond which
  // later ones wait. Each decision and each end of a run takes time in
  // proportion to their number, and a job may have millions that are due.
  std::size_t max_open_occurrences = 256;
  // Their tasks; one occurrence is always open.
  std::size_t max_open_tasks = 16384;
  // Occurrences from the oldest open one to the newest. The tasks of all of
  // them are listed until the oldest one completes.
  int max_occurrence_span = 4096;
  // Occurrences that complete before their number is recorded and their rows
  // are removed.
  int occurrences_per_record = 64;

  // Limits on memory. No task begins beyond them.
  // Tasks that have begun and are not done. Each takes kTrackedTaskBytes.
  std::size_t max_tracked_tasks = 65536;
  // Start orders without an answer, with all copies of their texts. The one
  // that exceeds the limit is still sent, and so is a whole gang. Stop orders
  // have as much again.
  std::size_t max_order_bytes = std::size_t{16} << 20;
  // Jobs; see JobScheduler::HeldBytes(). Beyond it, recurring jobs have one
  // open occurrence at a time.
  std::size_t max_job_bytes = std::size_t{32} << 20;

  // Tail latency of a task as a fraction of its target. Best-effort work beside
  // it is throttled above pace_down_at and sped up again below pace_up_at.
  double pace_down_at = 0.85;
  double pace_up_at = 0.5;
  // Minimum time between two pace changes of one task; the tail latency reacts
  // within it.
  Milliseconds pace_interval{700};
};

// Memory of a task that has begun: its state, its entries in the sets of its
// step and its endpoint, and its failed runs.
inline constexpr std::size_t kTrackedTaskBytes = 512;

// Returns the memory that the owner needs for a job which waits, in bytes: it
// depends on the steps and the texts, and on the number of tasks by one bit
// each. Thread-safe.
std::size_t WaitingJobBytes(const AcceptedJob& job);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Destination of an order: the address, and the endpoint that must answer
// there.
struct OrderTarget {
  EndpointId endpoint;
  std::string address;  // "ip:port"
  FencingToken fence;
};

struct StartRun {
  OrderTarget target;
  TaskName task;
  RunNumber run = 0;
  std::string payload;
  std::string checkpoint;           // empty: start from the beginning
  std::string ticket;               // empty: no advice needed
  std::int64_t lease_until_ms = 0;  // on the endpoint's clock
  // A lower reading of the clock is that of another process.
  std::int64_t min_clock_ms = 0;
  Incarnation incarnation;  // of the process that the owner knows
};

struct StopRun {
  OrderTarget target;
  TaskName task;
  RunNumber run = 0;
};

struct PaceRun {
  OrderTarget target;
  TaskName task;
  RunNumber run = 0;
  int percent = 100;  // of full speed
};

// Reads the running and ended runs of an endpoint, renews its lease and
// acknowledges ends.
struct PollEndpoint {
  OrderTarget target;
  EndNumber acknowledged = 0;  // ends up to this number; 0: none
  // Session on which these ends were listed and the clock was read. Numbers and
  // clock start anew with each process, so that a poll over any other session
  // neither acknowledges ends nor renews the lease.
  EndpointSession session = 0;
  std::int64_t lease_until_ms = 0;  // on the endpoint's clock; 0: no renewal
  Milliseconds wait{0};             // 0: answer at once
};

struct AdviceRequest {
  TaskName step;  // the task index is 0
  std::vector<EndpointId> endpoints;
  // Time that the service takes for this call and the calls before it.
  Milliseconds expected{0};
};

struct SchedulerActions {
  std::vector<StartRun> starts;
  std::vector<StopRun> stops;
  std::vector<PaceRun> paces;
  std::vector<PollEndpoint> polls;
  std::vector<AdviceRequest> advice;
};

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

enum class OrderReply {
  kDone,              // executed, or in effect already
  kFenced,            // the endpoint has received a higher epoch
  kOldRun,            // the run number is not above that of an earlier start
  kLate,              // the lease in the order has already expired
  kNoRoom,            // not enough free capacity
  kNoTicket,          // the ticket is missing or has expired
  kUnhealthy,         // the endpoint is unhealthy; nothing was started
  kOtherIncarnation,  // another endpoint answers at this address
  kNotSent,           // no byte reached the endpoint
  kBadRequest,        // the endpoint rejected the order as invalid
  kUnknown,           // no answer: the order may take effect, now or later
};

struct OrderAnswer {
  OrderReply reply = OrderReply::kUnknown;
  // The order was the first request on its connection, which may reach another
  // process than those before it.
  bool new_connection = false;
  // The endpoint's clock; none: unknown.
  std::optional<std::int64_t> clock_ms{};
};

// Returns a stable lower-case name, such as "no_room".
const char* OrderReplyName(OrderReply reply);

struct AdviceTicket {
  EndpointId endpoint;
  std::string ticket;
};

// Largest batch that TakeBatch() returns.
struct BatchLimits {
  std::size_t rows = 0;
  // By EstimateBytes(); a single row may exceed it. Default: no limit.
  std::size_t bytes = std::numeric_limits<std::size_t>::max();
};

enum class RecordResult {
  kStored,
  kNotStored,  // failed: the rows are part of the next batch
  kRejected,   // the store refuses a row: they are taken after all others
};

// Job progress to store before the ends of runs are acknowledged.
struct RecordBatch {
  std::uint64_t number = 0;  // 0: no batch
  std::vector<JobProgress> progress;
};

// A job that is recorded as final; its row may be compacted to that state.
struct ClosableJob {
  JobId id;
  RowVersion version;  // of the job's row
  JobState state = JobState::kPending;
};

// Rows of progress that list only tasks of completed occurrences.
struct SettledBlocks {
  JobId id;
  std::vector<ProgressBlock> blocks;
};

struct EndpointSummary {
  EndpointId id;
  ServiceId service;
  ZoneId zone;
  bool usable = false;    // accepts new work
  bool idle = false;      // no run exists or may still start
  int long_running = 0;   // tasks of long-running steps
  int short_running = 0;  // all other tasks
  Resources used;
  Resources capacity;
};

// A start order that has no answer, or none yet, and that its endpoint may
// still execute.
struct UnansweredStart {
  TaskName task;
  RunNumber run = 0;
  // Until it is too old to be executed; with `may_run`, until any run of it has
  // lapsed.
  std::int64_t remaining_ms = 0;
  bool may_run = false;  // too old, but no report since shows its outcome

  friend bool operator==(const UnansweredStart&,
                         const UnansweredStart&) = default;
};

// An endpoint that may hold work; stored for the next owner.
struct UsedEndpoint {
  EndpointId id;
  ServiceId service;
  Resources capacity;
  // Time until the lease of its work has lapsed, for an endpoint that does not
  // answer and whose lease is no longer renewed; 0: the lease may be renewed.
  std::int64_t lapse_ms = 0;
  // Time until a lease has lapsed that may last longer than that of a renewal;
  // 0: there is none.
  std::int64_t long_lease_ms = 0;
  std::int64_t start_time_ms = 0;  // of the process; 0: unknown
  std::vector<UnansweredStart> unanswered_starts;

  friend bool operator==(const UsedEndpoint&, const UsedEndpoint&) = default;
};

// Services other than that of a job's acceptance in which previous owners may
// have started tasks, by queue; stored for the next owner. A queue is listed
// only if the configuration has sent it to another service.
struct QueueMoves {
  // The previous owner left no record: any queue may have run in any service.
  bool unknown = false;
  std::map<std::string, std::set<ServiceId>> services;

  friend bool operator==(const QueueMoves&, const QueueMoves&) = default;
};

// Demand of one service, for the host planner.
struct ServiceDemand {
  double waiting_core_seconds = 0;  // ready and not started
  // As above, for jobs so late that they have no value to their callers.
  double expired_core_seconds = 0;
  double used_cores = 0;          // running now, or long-running
  double long_running_cores = 0;  // of these, long-running work
  int starved_jobs = 0;     // above 0: a job is ready for starved_after and no
                            // endpoint accepts it
  double arrival_rate = 0;  // core-seconds per second, see ArrivalHistory
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

  // Adds a job that was stored `age` ago in a row of this version.
  // `before_takeover` is true if a previous owner may have started tasks of it.
  // Does nothing if the job was added before.
  void OnJob(AcceptedJob job,
             RowVersion version,
             bool before_takeover,
             Milliseconds age,
             Instant now);

  // The owner's row in the store now states that jobs up to this version may
  // have been started. Jobs of later versions wait for this, so that the next
  // owner can tell which jobs have certainly not started.
  void OnStartable(RowVersion up_to);

  // One row of the progress of a job that a previous owner recorded. Must be
  // followed by OnJob().
  void OnProgress(const JobProgress& progress);

  // Current Unix time; recurring jobs are due at Unix times.
  void OnWallClock(std::int64_t unix_ms, Instant now);

  // A cancellation has been stored. May arrive before the job.
  void OnCancel(const JobId& id, Instant now);

  // The current list of all endpoints. An endpoint that is missing has left,
  // but its work may continue until its lease has lapsed.
  void OnEndpoints(const std::vector<EndpointRow>& rows, Instant now);
  // One entry of that list has changed or is new.
  void OnEndpointListed(const EndpointRow& row, Instant now);
  // One entry of that list has been removed.
  void OnEndpointUnlisted(const EndpointId& id, Instant now);

  // Endpoints that a previous owner used. One that is no longer listed counts
  // as running work until its lease has lapsed.
  void OnPreviousOwnerEndpoints(const std::vector<UsedEndpoint>& endpoints,
                                Instant now);

  // The moves of queues that previous owners recorded.
  void OnPreviousQueueMoves(const QueueMoves& moves);

  // The endpoints that run on the fleet's hosts, from a complete list of hosts
  // that was requested at `sent`. A move or maintenance ends the endpoint of
  // its host at once, while the list of endpoints shows it for some seconds and
  // its lease runs on. An endpoint that does not answer and that no host runs
  // has ended: its work can restart, and its host counts as left.
  void OnHostEndpoints(const std::set<EndpointId>& current,
                       Instant sent,
                       Instant now);

  // Sets the evacuated zones; no task starts there.
  void OnZonesOut(std::set<ZoneId> zones);

  // Sets the endpoints whose hosts are about to leave; no task starts there.
  void OnCordoned(std::set<EndpointId> endpoints);

  // Stops long-running tasks on an endpoint whose host is about to leave, as
  // far as the unavailability limits of their steps permit now; they restart
  // elsewhere. Call it again until the endpoint is idle.
  void Evict(const EndpointId& endpoint, Instant now);

  // Inputs from endpoints. --------------------------------------------------

  void OnStartReply(const StartRun& order,
                    const OrderAnswer& answer,
                    Instant now);
  void OnStopReply(const StopRun& order, OrderReply reply, Instant now);
  // `sent` is the instant at which the poll was sent. No report: the poll
  // failed.
  void OnPollResult(const PollEndpoint& poll,
                    const std::optional<EndpointReportRows>& report,
                    Instant sent,
                    Instant now);
  // The endpoint has received a higher fencing token than that of the poll: a
  // later one of this owner, or that of a newer owner, see Fenced().
  void OnPollFenced(const PollEndpoint& poll, Instant now);
  // The answer to a call of SchedulerActions::advice; no tickets: it failed. An
  // endpoint of the call without a ticket may not run the step. `valid` is the
  // validity of the tickets; 0: as configured for the queue.
  void OnAdvice(const AdviceRequest& call,
                const std::optional<std::vector<AdviceTicket>>& tickets,
                Milliseconds valid,
                Instant now);

  // Decisions. --------------------------------------------------------------

  // Returns all orders that are due. `may_start` is false while the owner
  // cannot prove that its own lease is valid; then no task starts and no lease
  // of an endpoint is renewed.
  SchedulerActions Advance(bool may_start, Instant now);

  // Returns rows of progress to store, or a batch with number 0 if there is
  // none or the previous batch is still open. Ends of runs are acknowledged
  // once all rows that changed before them are stored, in one or more batches.
  RecordBatch TakeBatch(const BatchLimits& limits);
  // The store has answered the write of the open batch.
  void OnRecorded(std::uint64_t number, RecordResult result, Instant now);

  // Returns all endpoints that may hold work, by id, to be stored for the next
  // owner. The lease of an endpoint is not renewed while the stored record may
  // say that it lapses, because the next owner relies on that. For the same
  // reason an endpoint with a longer lease than that of a renewal gets no work
  // before the record says so.
  std::vector<UsedEndpoint> TakeUsedEndpoints(Instant now);
  // The endpoints of the last TakeUsedEndpoints() have been stored.
  void OnUsedEndpointsStored();

  // Returns the moves of queues to store for the next owner. A job starts in
  // another service than that of its acceptance only once the move is stored.
  QueueMoves TakeQueueMoves(Instant now);
  // The moves of the last TakeQueueMoves() have been stored.
  void OnQueueMovesStored();
  // True if jobs wait for OnQueueMovesStored().
  bool HasUnstoredQueueMoves() const;

  // Queries. ----------------------------------------------------------------

  // The state to report to callers; none if the job is unknown.
  std::optional<JobState> StateOf(const JobId& id) const;
  // Explains why a job waits: the constraint that holds back its first ready
  // task and the figures behind it, as key=value text. Empty if no task of the
  // job waits for an endpoint.
  std::string ExplainWait(const JobId& id, Instant now) const;
  // Jobs with a task that has been ready since before the instant.
  std::vector<JobId> WaitingSince(Instant instant) const;
  // Memory of all jobs in bytes, without the tasks that have begun.
  std::size_t HeldBytes() const;
  // Tasks that have begun and are not done.
  std::size_t TrackedTasks() const;
  // Number of accepted jobs of a queue of which no task has started.
  int WaitingIn(const std::string& queue) const;
  // Newest version of a job's row that OnJob() received.
  RowVersion NewestJob() const;
  // True if a job waits for OnStartable().
  bool HasHeldJobs() const;
  // True once an endpoint has received the fencing token of a newer owner.
  bool Fenced() const;
  // Destination of the next order to the endpoint; only its id if it is not
  // known.
  OrderTarget TargetOf(const EndpointId& endpoint) const;
  // Instant by which Advance() must be called even without any input.
  Instant NextWake(Instant now) const;
  std::vector<EndpointSummary> Endpoints(Instant now) const;
  // True if the next owner would assume a wrong lease before
  // OnUsedEndpointsStored(): an endpoint answers again whose lease lapses by
  // the stored record, or a lease may last longer than that of a renewal.
  bool HasUnstoredLeases(Instant now) const;
  // True if the next owner would not learn of an unanswered start before
  // OnUsedEndpointsStored().
  bool HasUnstoredStarts(Instant now) const;
  std::map<ServiceId, ServiceDemand> Demand(Instant now);
  // The backlog of each service by client account and order of service, for the
  // admission of jobs. Services that may still run work of a previous owner
  // unseen are omitted, since their backlog may be held back for it. Hosts that
  // may join a service are not known here.
  LoadReport Load(Instant now) const;
  // Predicted core-seconds of the tasks that have completed, by service.
  const std::map<ServiceId, double>& CompletedCoreSeconds() const;
  // Final jobs that were recorded before the instant and may be passed to
  // Forget().
  std::vector<JobId> FinalBefore(Instant instant) const;
  void Forget(const JobId& id);
  // Rows of jobs in progress that no owner needs any more, at most `limit`.
  std::vector<SettledBlocks> BlocksToRemove(std::size_t limit) const;
  // Rows of the job's progress that may be stored, the main row excepted.
  std::vector<ProgressBlock> BlocksOf(const JobId& id) const;
  // These rows have been removed from the store.
  void OnBlocksRemoved(const JobId& id,
                       const std::vector<ProgressBlock>& blocks);
  // Jobs that are recorded as final and whose rows still hold the whole job.
  std::vector<ClosableJob> JobsToClose(std::size_t limit) const;
  // The rows of these jobs have been compacted to their final states.
  void OnClosed(const std::vector<ClosableJob>& jobs);

  struct Counters {
    std::map<std::string, std::uint64_t> starts_by_reply;
    std::map<std::string, std::uint64_t> ends_by_kind;
    std::map<std::string, std::uint64_t> stops_by_reason;
    std::map<std::string, std::uint64_t> advice_by_answer;  // of endpoints
    // Runs that were given up without an end or a stop, by reason.
    std::map<std::string, std::uint64_t> given_up_by_reason;
    std::uint64_t endpoint_restarts = 0;
    std::uint64_t polls = 0;
    std::uint64_t polls_failed = 0;
    // Tasks that waited for room at their preferred place while there was room
    // elsewhere.
    std::uint64_t place_waits = 0;
    std::uint64_t place_waits_at_place = 0;   // of these, started there
    std::uint64_t place_waits_elsewhere = 0;  // of these, started elsewhere
  };
  const Counters& Counts() const;

  // Returns the decisions since the last call, one key=value text each, for the
  // log.
  std::vector<std::string> TakeDecisions();

  struct State;  // job_scheduler_internal.h

 private:
  std::unique_ptr<State> state;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_SCHEDULER_H_
