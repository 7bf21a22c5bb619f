// Private state of JobScheduler and helpers that its source files share.
//
// Index:
//   [SECTION] Tasks, steps and jobs
//   [SECTION] Endpoints
//   [SECTION] State

#ifndef SRC_COORDINATION_JOB_SCHEDULER_INTERNAL_H_
#define SRC_COORDINATION_JOB_SCHEDULER_INTERNAL_H_

#include <boost/container/flat_map.hpp>
#include <boost/container/flat_set.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/coordination/arrival_history.h"
#include "src/coordination/duration_model.h"
#include "src/coordination/job_scheduler.h"
#include "src/coordination/placement_wait.h"
#include "src/coordination/task_set.h"
#include "src/coordination/waiting_jobs.h"

namespace peridot {

inline constexpr Instant kNever = Instant::max();

// Time after which no order for a process of a forgotten endpoint matters any
// more: orders are carried out seconds late at most, and the lease lapses.
inline constexpr Milliseconds kForgottenTime{60000};

// Fencing tokens of an owner. They stay exact as doubles, as which some JSON
// libraries read numbers, up to epoch 2^29.
inline constexpr std::uint64_t kFencesPerEpoch = 1ULL << 24;

//-----------------------------------------------------------------------------
// [SECTION] Tasks, steps and jobs
//-----------------------------------------------------------------------------

struct ScheduledJob;
struct ScheduledStep;
struct EndpointState;
struct ServiceState;

enum class TaskPhase {
  kWaiting,   // may start once its step is ready
  kStarting,  // a start was sent and is not confirmed yet
  kRunning,   // the endpoint has confirmed or lists the run
  kStopping,  // a stop was sent; the run may still exist
  kDone,      // completed
};

struct ScheduledTask {
  ScheduledStep* step = nullptr;  // step of the task; never null once built
  int index = 0;
  TaskPhase phase = TaskPhase::kWaiting;
  EndpointState* endpoint = nullptr;  // null unless a run may exist
  ServiceState* service = nullptr;    // whose team_milli_cores count the run
  RunNumber run = 0;                  // number of the last start; 0: none
  bool unanswered = false;            // the start order got no answer
  bool overdue = false;          // and a later report does not list the run
  Instant since{};               // start of the current phase
  Instant answered{};            // when the start was confirmed
  bool maybe_elsewhere = false;  // the start may have reached a new process
  Instant stop_sent{};           // when the last stop order was sent
  bool stop_confirmed = false;   // the endpoint answered the stop order
  bool waits_for_place = false;  // see StepPlaceWait
  Instant stop_answered{};
  std::string checkpoint;       // newest one reported
  EndpointId avoided_endpoint;  // endpoint of the last failure or refusal
  int percent = -1;             // as last listed; -1: not listed yet
  Instant percent_changed{};
  std::int64_t recent = 0;  // as last listed
  int pace = 100;           // percent of full speed, as last ordered
  Instant pace_changed_at{};
};

// A start order that an endpoint may still execute, in any of its processes.
// The task must not start elsewhere meanwhile.
struct OpenStart {
  EndpointId endpoint;
  Instant sent{};
  // Too old to be executed from then on; with `may_run`, any run of it has
  // lapsed by then. kNever: the call has not returned yet.
  Instant until = kNever;
  bool may_run = false;  // too old, but no report since shows its outcome
  bool stored = false;   // the store holds it for the next owner
  bool taken = false;    // as of the last TakeUsedEndpoints()
};

// Ticket of the advice service for the tasks of a step on one endpoint process.
struct StepTicket {
  std::string ticket;
  Instant expires{};      // usable before this instant
  Instant renew_after{};  // no new one is requested before this instant
};

// What is known about the endpoint processes that may run a step. The policy
// never changes, so each process is asked about once; only its ticket expires.
struct StepAdvice {
  std::map<Incarnation, StepTicket> allowed;
  boost::container::flat_set<Incarnation> refused;
  // Failed calls that named a process. Calls name the processes with the fewest
  // first, and fewer of them the more have failed, in case the service fails
  // because of one of them or of their number.
  boost::container::flat_map<Incarnation, int> failed_calls;
  Instant next_call{};  // no further call before this instant
  // Since when the step waits for the reserved call; kNever: it does not. Its
  // turn lasts until each process was asked about.
  Instant waits_since = kNever;
};

// Wait of a step for room at the place where its tasks run fastest, although
// there is room elsewhere.
struct StepPlaceWait {
  std::string place;  // rack
  Instant since{};    // begin of the first wait
  Instant until{};    // latest end, by the last decision
  PlaceWaitReason reason = PlaceWaitReason::kCostsMore;
  bool spread = false;  // a gang for which no single rack had room in time
};

struct ScheduledStep {
  ScheduledJob* job = nullptr;
  int occurrence = 0;
  int number = 0;
  const StepSpec* spec = nullptr;
  // Tasks that have begun and are not done, by index. The others have no state
  // of their own: a task that waits for its first start costs no memory.
  std::map<int, ScheduledTask> tracked;
  int first_open = 0;   // all tasks below are done
  int place_waits = 0;  // untracked tasks that wait for their place
  int done = 0;
  int waiting = 0;               // tasks in phase kWaiting, tracked or not
  int placed = 0;                // tasks of which a run may exist
  Milliseconds expected{0};      // duration of a task, as of the last ranking
  Instant ready_since = kNever;  // kNever: earlier steps are not done
  StepAdvice advice;
  RunNumber gang_run = 0;  // last run number used for the whole gang
  std::unique_ptr<StepPlaceWait> place_wait;  // null: has not waited
  bool demand_counted = false;                // in RackOutlook::demand
};

enum class PlaceResult {
  kPlaced,     // all tasks are placed or wait for a placement constraint
  kTeamLimit,  // a task would exceed the limit of its team
  kNoRoom,     // a task did not fit into the free capacity
};

struct ScheduledOccurrence {
  std::vector<ScheduledStep> steps;
  int open_tasks = 0;  // tasks that are not completed
};

// Rows of progress of one job that may be in the store. A job with many tasks
// has one for each 64 of them.
struct StoredRows {
  bool main = false;
  TaskSet blocks;  // by number of the block

  void Insert(const ProgressBlock& row) {
    if (row.main) {
      this->main = true;
    } else {
      this->blocks.Insert(row.occurrence, row.step, row.number);
    }
  }
  bool Contains(const ProgressBlock& row) const {
    return row.main
               ? this->main
               : this->blocks.Contains(row.occurrence, row.step, row.number);
  }
  void Erase(const ProgressBlock& row) {
    if (row.main) {
      this->main = false;
    } else {
      this->blocks.Erase(row.occurrence, row.step, row.number);
    }
  }
};

struct ScheduledJob {
  AcceptedJob accepted;
  RowVersion version;  // of the job's row
  Instant arrived{};
  bool before_takeover = false;
  bool cancelled = false;
  bool begun = false;  // an endpoint has confirmed, listed or ended a run
  bool active = true;  // in State::active
  std::size_t active_index = 0;  // position there
  bool closed = false;           // the row holds only the final state
  bool finishing = false;        // final; in State::finishing
  bool rank_due = false;         // in State::rank_due
  JobRank rank;                  // as of the last ranking
  Instant rank_timer{};  // when the rank is due anew; in State::rank_timers
  ServiceState* queued_in = nullptr;  // waits there; null: no task waits
  bool moved = false;  // its queue goes to another service than at acceptance
  bool unfit = false;  // in ServiceState::unfit of queued_in
  JobState decided = JobState::kPending;   // state in memory
  JobState recorded = JobState::kPending;  // state in the store
  Instant recorded_at{};                   // when a final state was recorded
  // By number; a map, so that addresses stay valid. Only the oldest ones that
  // are due and not completed, see JobSchedulerConfig::max_open_occurrences.
  std::map<int, ScheduledOccurrence> occurrences;
  int next_occurrence = 0;        // the first one not created yet
  int recorded_occurrences = 0;   // JobProgress::completed_occurrences, stored
  bool occurrence_ended = false;  // one has completed and is to be removed
  int open_tasks = 0;          // tasks of `occurrences` that are not completed
  int placed = 0;              // tasks of which a run may exist
  std::size_t held_bytes = 0;  // part of State::held_bytes
  std::set<ProgressBlock> dirty;  // rows to record; in State::dirty
  StoredRows stored;              // rows that may be in the store
  // Runs that failed, of tasks that are not done.
  std::map<TaskName, std::set<RunNumber>> failures;
  TaskSet done;
  std::map<TaskName, std::string> checkpoints;
};

// A job that is final and whose row holds nothing else.
struct FinalJob {
  JobState state = JobState::kPending;
  Instant recorded_at{};
};

// A task of a step that waits.
struct WaitingTask {
  TaskName name;
  Instant since{};  // begin of the wait; zero: since its step is ready
  bool waits_for_place = false;
};

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

// Endpoints, waiting jobs and running work of one service.
struct ServiceState {
  std::vector<EndpointState*> endpoints;
  std::vector<EndpointState*> usable;  // of these, in the current round
  WaitingJobs<ScheduledJob> waiting;
  // Jobs of which no ready task fits on any endpoint, even an idle one. They
  // wait for another endpoint, or a change of the configuration.
  std::map<JobId, ScheduledJob*> unfit;
  WaitingJobs<ScheduledJob>::Position turn;  // last job visited in turn
  // When rounds began to leave jobs out; kNever: the last one did not.
  Instant left_out_since = kNever;
  std::map<TeamId, std::int64_t> team_milli_cores;  // reserved by runs
};

struct EndpointState {
  EndpointRow row;
  // Number of the endpoint's process, unique in this scheduler; changes with a
  // restart.
  Incarnation incarnation;
  ServiceState* service = nullptr;  // of row.service; set by SetRow()
  bool excluded = false;  // in an evacuated zone, or its host is about to leave
  bool listed = false;    // present in the newest list of endpoints
  // The process has answered a poll whose token was raised after it became
  // known, so that it executes no order for an earlier process.
  bool fenced = false;
  // Another process had the id before, and the current one is not fenced yet.
  bool replaced = false;
  std::int64_t previous_start_ms = 0;  // as the previous owner knew it
  std::uint64_t fence = 0;  // State::last_fence when the token was last raised
  // Has listed all of its ends in a report of this epoch. Before that, a task
  // of a previous owner may have completed here.
  bool recovered = false;
  // The list of hosts shows that no host runs this process any more, so that
  // none of its runs is left. Cleared when it answers or starts again.
  bool process_ended = false;
  bool has_clock = false;
  bool lapse_stored = false;       // the store may hold a record that it lapses
  bool lapse_taken = false;        // as of the last TakeUsedEndpoints()
  bool long_lease_stored = false;  // the store holds long_lease_until
  bool long_lease_taken = false;   // as of the last TakeUsedEndpoints()
  Instant known_since{};           // when this owner learned of the endpoint
  // Start of the process that has sent the last report; 0: no report yet.
  std::int64_t reported_start_ms = 0;
  Instant start_known_since{};  // when row.start_time_ms became known
  std::int64_t clock_ms = 0;    // the endpoint's clock, read at clock_read
  Instant clock_read{};
  // When the last order with a lease was sent, and its deadline on the clock
  // of the process that was known then.
  Instant lease_sent{};
  std::int64_t lease_until_ms = 0;
  Instant lapse_at{};  // by then no run of an earlier order is left
  // By then a lease has lapsed that an order for an earlier process may have
  // set in the current one.
  Instant long_lease_until{};
  // By then no run of a previous owner is left.
  Instant recovery_ends{};
  Resources used;
  std::set<ScheduledTask*> tasks;  // runs that may exist
  int long_running = 0;            // of these, by kind of step and phase
  int best_effort = 0;
  int stopping = 0;
  EndNumber processed = 0;      // ends up to here are processed in memory
  EndNumber in_pass = 0;        // ends up to here are covered by the open pass
  EndNumber recorded = 0;       // ends up to here may be acknowledged
  EndNumber acknowledged = 0;   // ends up to here were, by an answered poll
  EndpointSession session = 0;  // of the last report
  bool poll_in_flight = false;
  Instant next_poll{};
  int failed_polls = 0;
  Instant unhealthy_until{};
  Instant full_until{};
  Instant quarantine_until{};
  int failures_in_row = 0;
  JobId last_failed_job;
};

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

// A row of progress that waits to be recorded.
struct DirtyRow {
  JobId job;
  ProgressBlock block;
};

// Progress that previous owners recorded of a job that is not added yet.
struct EarlierProgress {
  JobState state = JobState::kPending;
  int completed_occurrences = 0;
  TaskSet done;
  std::map<TaskName, std::set<RunNumber>> failures;
  std::map<TaskName, std::string> checkpoints;
  StoredRows stored;
};

// A step that lacks a ticket in the current round.
struct AdviceCandidate {
  ScheduledStep* step = nullptr;
  const QueueConfig* queue = nullptr;
  const std::vector<EndpointState*>* usable = nullptr;  // of its service
  std::size_t position = 0;  // among the candidates of its service
};

// Purpose of a call to the advice service.
enum class AdvicePurpose {
  kStart,    // names endpoints on which a task of the step could start now
  kPrepare,  // names endpoints that are full, or for a step that is not ready
};

// A call to the advice service that is in flight.
struct OpenAdviceCall {
  std::map<EndpointId, Incarnation> named;
  Milliseconds duration{0};  // expected, without the calls before it
  int failed_calls = 0;      // StepAdvice::failed_calls of those named
  bool in_turn = false;      // uses the reserved call
};

// Forecasts of the room in one rack, for the tasks of one service. The claims
// are those of steps that wait for the rack in the current round.
struct RackOutlook {
  // Tasks of equal needs share a forecast.
  struct Need {
    int milli_cores = 0;  // number of the interval that holds the value
    int memory_mb = 0;    // as above
    std::int64_t accelerators = 0;
    int max_per_endpoint = 0;
    std::string label;
    Milliseconds delay{0};  // before a start, for a ticket

    friend auto operator<=>(const Need&, const Need&) = default;
  };
  struct Entry {
    Instant built{};
    Instant round{};
    PlaceForecast base;     // without claims
    PlaceForecast claimed;  // with the first `applied` claims of the round
    std::size_t applied = 0;
  };
  struct Claim {
    std::size_t tasks = 0;
    std::int64_t milli_cores = 0;  // of a task
    Duration duration{0};
  };
  Instant round{};
  std::vector<Claim> claims;
  std::size_t waiting = 0;  // sum of the tasks of these claims
  PlaceDemand demand;
  std::map<Need, Entry> entries;
};

struct JobScheduler::State {
  JobSchedulerConfig config;
  Instant started{};
  FleetConfig fleet;
  // Queues of active jobs that `fleet` does not hold any more.
  std::map<std::string, QueueConfig> removed_queues;
  std::unordered_map<JobId, std::unique_ptr<ScheduledJob>> jobs;
  // Jobs without further rows. A job is either here or in `jobs`.
  std::unordered_map<JobId, FinalJob> final_jobs;
  std::size_t held_bytes = 0;       // see JobScheduler::HeldBytes()
  std::vector<TaskName> completed;  // tracked tasks that became done
  std::size_t tracked_tasks = 0;
  std::size_t order_bytes = 0;  // of starts and stops without an answer
  // Jobs that are not final or still have runs.
  std::vector<ScheduledJob*> active;
  std::vector<ScheduledJob*> recurring;  // active, with occurrences to come
  std::vector<ScheduledJob*> finishing;  // active and final
  // Jobs whose rank must be determined anew, now or at an instant.
  std::vector<ScheduledJob*> rank_due;
  std::set<std::pair<Instant, JobId>> rank_timers;
  // Rows to record. One that ScheduledJob::dirty does not list any more is out
  // of date. The first `pass_rows` belong to the open pass: when all of them
  // are stored, the ends up to EndpointState::in_pass may be acknowledged.
  std::deque<DirtyRow> dirty;
  std::size_t pass_rows = 0;
  std::vector<ScheduledJob*> closable;  // final, row not compacted yet
  std::map<EndpointId, std::unique_ptr<EndpointState>> endpoints;
  std::map<ServiceId, ServiceState> services;
  std::map<std::string, EndpointId> addresses;  // of listed endpoints
  // Endpoints that were removed from `endpoints`, and when. One that is listed
  // again may have restarted meanwhile.
  std::map<EndpointId, Instant> forgotten;
  // Listed entries that are not used: no configuration names their service.
  std::map<EndpointId, EndpointRow> unnamed;
  std::map<JobId, EarlierProgress> earlier;
  std::set<JobId> cancelled_early;  // cancelled before they were added
  std::set<ZoneId> zones_out;
  std::set<EndpointId> cordoned;
  std::map<TeamId, Resources> team_use;
  // By task and run. Removed once the run is known to have been executed or
  // refused, or when the order is too old.
  std::map<std::pair<TaskName, RunNumber>, OpenStart> open_starts;
  Instant open_starts_check = kNever;              // earliest OpenStart::until
  std::map<std::string, DurationModel> durations;  // by queue
  std::map<ServiceId, ArrivalHistory> arrivals;
  std::map<ServiceId, double> completed_core_seconds;  // as predicted
  std::set<ServiceId> unrecovered;  // services with endpoints not recovered yet
  Resources unpolled_capacity;      // total capacity of these endpoints
  QueueMoves moves;                 // of previous owners and of this one
  QueueMoves taken_moves;           // as of the last TakeQueueMoves()
  QueueMoves stored_moves;          // of these, the ones that are stored
  Instant next_moves_check{};       // when moves without effect are removed
  Instant recovery_ends{};  // by then the work of previous owners has lapsed
  std::int64_t wall_offset_ms = 0;  // Unix time minus steady clock
  RowVersion newest_job;            // newest version of a job's row received
  RowVersion startable;             // jobs up to this version may start
  bool fenced = false;
  std::uint64_t last_fence = 0;  // trailing part of the newest fencing token
  bool may_start = false;        // as of the last Advance()
  Incarnation last_incarnation;  // of an endpoint
  std::vector<AdviceCandidate> advice_candidates;  // in the current round
  std::size_t advice_position = 0;  // candidates of the current service
  std::map<TaskName, OpenAdviceCall> open_advice;  // by step
  std::uint64_t batch = 0;  // number of the open batch; 0: none
  std::uint64_t last_batch = 0;
  std::vector<DirtyRow> batch_rows;
  std::map<JobId, JobState> batch_states;  // of the main rows in the batch
  std::map<JobId, int> batch_occurrences;  // completed ones in these rows
  Counters counters;
  std::vector<std::string> decisions;
  std::vector<Resources>
      unplaceable;  // needs that did not fit in this round of a service
  std::map<std::pair<ServiceId, std::string>, RackOutlook> racks;
  PlaceForecast own_forecast;               // not shared; of ForecastOf()
  std::vector<EndpointState*> gang_places;  // result of ChooseGangRack()
  std::string started_text;                 // input of LogStarts()
  std::string ended_text;  // ends of the report being processed
  SchedulerActions actions;

  // Takeovers (job_scheduler_takeover.cc) -----------------------------------
  // Determines the services of which previous owners may run work unseen.
  void FindUnrecovered(Instant now);
  // Returns whether a previous owner may have started a run of the job on an
  // endpoint that was not polled yet.
  bool MayRunUnseen(const ScheduledJob& job) const;
  // Notes the service to which the queue of a waiting job goes now.
  void UpdateMoved(ScheduledJob* job);
  // Returns whether the next owner would know that the job may have run in the
  // service to which its queue goes now.
  bool IsMoveStored(const ScheduledJob& job) const;
  // Removes the moves that no longer matter to any job.
  void RemoveSettledMoves(Instant now);
  // Returns whether the list of hosts seems to be complete. It is not if it
  // omits an endpoint that has answered since it was requested, or most of
  // those that are listed.
  bool IsPlausibleHostList(const std::set<EndpointId>& current,
                           Instant sent) const;
  // Time since the endpoint's process started, or since it became known.
  Duration AgeOf(const EndpointState& endpoint, Instant at) const;

  // Jobs (job_scheduler.cc) -------------------------------------------------
  ScheduledJob* FindJob(const JobId& id);
  // Null if the occurrence is not open.
  ScheduledStep* FindStep(const JobId& job, int occurrence, int step);
  // Null if the task is not tracked.
  ScheduledTask* FindTask(const TaskName& name);
  static ScheduledTask* FindTracked(ScheduledStep* step, int index);
  // Returns the state of a task that has not begun.
  ScheduledTask NewTask(ScheduledStep* step, int index) const;
  // Tracks the task from now on. Precondition: its index is not tracked.
  ScheduledTask* Track(ScheduledTask task);
  void Untrack(ScheduledStep* step, int index);
  // Removes the occurrence's tasks from the count of tracked ones.
  void OnRemoved(const ScheduledOccurrence& occurrence);
  // Returns whether the memory of orders and tasks permits another start.
  bool MaySendStart(std::size_t untracked) const;
  // As FindTask() for a task that an endpoint reports: tracks it unless it is
  // done, and creates its occurrence, which a previous owner may have started
  // before this one has opened it.
  ScheduledTask* FindReportedTask(const TaskName& name, Instant now);
  // Drops the tasks that are done and of which no run is left.
  void UntrackCompleted();
  static bool IsDone(const ScheduledStep& step, int index);
  // Notes the completion of a task of the step.
  void Complete(ScheduledStep* step, int index, const ScheduledTask* ended);
  const QueueConfig* QueueOf(const ScheduledJob& job) const;
  ServiceId ServiceOf(const ScheduledJob& job) const;
  // Creates the occurrence, unless it exists or all of its tasks are done.
  void AddOccurrence(ScheduledJob* job, int number, Instant now);
  // Creates the occurrences that are due, as far as the limit of open ones
  // permits, and removes those that have completed.
  void AddDueOccurrences(ScheduledJob* job, Instant now);
  void RemoveCompletedOccurrences(ScheduledJob* job);
  // Number of occurrences of the job that may be open at the same time.
  std::size_t OpenOccurrenceLimit(const ScheduledJob& job) const;
  // All occurrences below this one have completed.
  static int CompletedOccurrences(const ScheduledJob& job);
  // Forgets the tasks of occurrences below ScheduledJob::recorded_occurrences.
  static void ForgetRecordedOccurrences(ScheduledJob* job);
  // Returns whether the progress of all tasks is in the job's main row.
  bool HasMainRowOnly(const ScheduledJob& job) const;
  // kNever if the occurrence is due after the range of the clock.
  Instant DueAt(const ScheduledJob& job, int occurrence) const;
  // Steps of an occurrence may have become ready.
  void UpdateReadySteps(ScheduledJob* job,
                        ScheduledOccurrence* occurrence,
                        Instant now);
  void FinishIfDone(ScheduledJob* job);
  // The job has reached a final state in memory.
  void Decide(ScheduledJob* job, JobState decided);
  void StopAll(ScheduledJob* job, const char* reason, Instant now);
  void MarkDirty(ScheduledJob* job, const ProgressBlock& block);
  // As above for the row of a task.
  void MarkTaskDirty(ScheduledJob* job, const TaskName& task);
  // Marks the rows of tasks that were read from another row, such as one that a
  // previous version wrote.
  void MoveToOwnRows(ScheduledJob* job);
  // Opens a pass over all rows to record, if none is open.
  void OpenPass();
  // All rows of the open pass are stored.
  void ClosePass(Instant now);
  // Counts the memory of the job as it is now.
  void UpdateHeldBytes(ScheduledJob* job);
  void AddFinalJob(const JobId& id, JobState state, Instant recorded_at);
  // Removes final jobs that need no more decisions from the active ones and
  // releases most of their memory.
  void RemoveInactiveJobs();
  // Ranks the job anew before the next placement.
  void MarkForRanking(ScheduledJob* job);
  void RankDueJobs(Instant now);
  void RankJob(ScheduledJob* job, Instant now);
  void RemoveFromQueue(ScheduledJob* job);
  JobProgress ProgressOf(const ScheduledJob& job,
                         const ProgressBlock& block) const;
  void LogDecision(std::string text);

  // Runs (job_scheduler_runs.cc) --------------------------------------------
  void SetPhase(ScheduledTask* task, TaskPhase phase);
  void Attach(ScheduledTask* task, EndpointState* endpoint, RunNumber run);
  void Detach(ScheduledTask* task);
  void ReturnToWaiting(ScheduledTask* task, const char* reason, Instant now);
  void RequestStop(ScheduledTask* task, const char* reason, Instant now);
  void SendStop(ScheduledTask* task, Instant now);
  // Returns false if too many orders wait for an answer; nothing is sent then.
  bool AddStop(StopRun order);
  // An order of this size has got an answer, or will get none.
  void OnOrderAnswered(std::size_t bytes);
  void OnRunEnd(EndpointState* endpoint, const RunEnd& end, Instant now);
  void CountFailure(ScheduledTask* task,
                    RunNumber run,
                    EndpointState* endpoint,
                    Instant now);
  void OnListed(EndpointState* endpoint, const RunningTask& row, Instant now);
  void ResolveUnlistedRuns(EndpointState* endpoint,
                           const EndpointReportRows& report,
                           Instant sent,
                           Instant now);
  // The endpoint has started again under its id at this Unix time.
  void OnEndpointRestarted(EndpointState* endpoint,
                           std::int64_t start_time_ms,
                           Instant now);
  // Fences the orders that were sent to the endpoint so far.
  void RaiseFence(EndpointState* endpoint);
  FencingToken TokenOf(const EndpointState& endpoint) const;
  // Returns whether no order with a higher token was sent to this endpoint.
  bool HasCurrentToken(const OrderTarget& target) const;
  // An answer shows that another process has taken an order.
  void OnOtherProcess(EndpointState* endpoint,
                      std::int64_t clock_ms,
                      Instant now);
  // Checks whether the process that answered a start order is the known one.
  // Returns false if it is not, or may not be.
  bool IsAnswerOfKnownProcess(const StartRun& order,
                              const OrderAnswer& answer,
                              Instant now);
  // The previous owner knew another process: its orders may have set the
  // longest lease in the current one.
  void CheckPreviousProcess(EndpointState* endpoint, Instant now);
  // Precondition: the endpoint is not known.
  EndpointState* AddEndpoint(const EndpointRow& row, Instant now);
  // Until now an order may have set the longest lease: its deadline was on the
  // clock of an earlier process, so that the current one only shortened it to
  // its maximum.
  void AssumeLongestLease(EndpointState* endpoint, Instant now);
  // Time after which a lease of this length has certainly lapsed.
  Duration LapseBound(Milliseconds lease) const;
  Milliseconds OrdinaryLease() const;
  // Returns whether the lease may last longer than one that is renewed now.
  bool HasLongLease(const EndpointState& endpoint, Instant now) const;
  void SetRow(EndpointState* endpoint, const EndpointRow& row);
  // An address belongs to one endpoint at a time: an unlisted endpoint whose
  // address another one uses has exited.
  void ReleaseIfAddressReused(EndpointState* endpoint, Instant now);
  void UpdateExcluded(EndpointState* endpoint) const;
  // What the owner knows of the endpoint's process and its lease, as key=value
  // text for the log.
  std::string DescribeLease(const EndpointState& endpoint, Instant now) const;
  // Gives up the runs of an endpoint on which nothing can be running any more.
  // Short tasks are kept if it may still know how they ended.
  void ReleaseLapsed(EndpointState* endpoint,
                     const char* reason,
                     bool may_know_ends,
                     Instant now);
  void StopStalledTasks(EndpointState* endpoint, Instant now);
  Milliseconds ExpectedDuration(const ScheduledStep& step) const;
  // Time from acceptance within which the job should complete.
  Milliseconds CompletionObjective(const ScheduledJob& job) const;
  // `objective` is the job's CompletionObjective(), `path_left` the critical
  // path of what is not completed.
  Urgency UrgencyOf(const ScheduledJob& job,
                    Milliseconds objective,
                    Milliseconds path_left,
                    Instant now) const;
  // Duration of the critical path through the steps; with `left`, only through
  // the steps that are not completed.
  Milliseconds CriticalPath(const ScheduledJob& job, bool left) const;
  // Work of the steps that are not long-running, in core-seconds; with `left`,
  // only of the tasks that are not completed.
  double CoreSeconds(const ScheduledJob& job, bool left) const;
  OrderTarget TargetOf(const EndpointState& endpoint) const;
  std::int64_t LeaseUntil(EndpointState* endpoint, Instant now);

  // Start orders without an answer (job_scheduler_open_starts.cc) ------------
  // The call of the order has returned without an answer.
  void OnStartUnanswered(const StartRun& order, Instant now);
  // The run has been executed, or never will be.
  void CloseStart(const TaskName& task, RunNumber run);
  // No process of the endpoint can follow any more.
  void CloseStartsOn(const EndpointId& endpoint);
  void RemoveExpiredStarts(Instant now);
  // True if no host runs the endpoint of the start any more.
  bool HasEnded(const OpenStart& start) const;
  // A report that was requested at `sent` shows what has become of the starts
  // that were too old by then.
  void CloseOldStartsOn(const EndpointId& endpoint, Instant sent);
  // Returns whether the next owner needs to know of the start.
  bool IsToRecord(const OpenStart& start, Instant now) const;
  // Returns the starts to record, by endpoint.
  std::map<EndpointId, std::vector<UnansweredStart>> TakeUnansweredStarts(
      Instant now);
  bool HasOpenStart(const TaskName& task) const;
  bool HasOpenStartOn(const EndpointId& endpoint) const;
  // True if a task of the step has an open start.
  bool HasOpenStart(const ScheduledStep& step) const;
  // Returns whether the task keeps its place until its open start is executed
  // or too old.
  bool WaitsForOpenStart(const ScheduledTask& task) const;
  // Returns the jobs that wait in the service for the start of a long-running
  // task which has an open start.
  std::vector<ScheduledJob*> LongRunningWithOpenStarts(
      const ServiceState& service) const;
  // Returns the endpoints of `usable` on which the task may start beside its
  // open starts.
  std::vector<EndpointState*> PlacesBesideOpenStarts(
      const TaskName& task,
      const StepSpec& spec,
      const std::vector<EndpointState*>& usable,
      Instant now) const;

  // Advice (job_scheduler_advice.cc) ----------------------------------------
  // Notes that the step lacks a ticket, unless a call could not help it now.
  void AddAdviceCandidate(ScheduledStep* step,
                          const QueueConfig& queue,
                          const std::vector<EndpointState*>& usable,
                          Instant now);
  // Sends the calls of the current round.
  void RequestAdvice(Instant now);
  // Sends a call for the step, if it needs one for this purpose and the limit
  // of open calls permits it.
  bool SendAdviceCall(const AdviceCandidate& candidate,
                      AdvicePurpose purpose,
                      bool in_turn,
                      Instant now);
  // Returns the endpoints that a call for the step should name.
  std::vector<const EndpointState*> EndpointsToAsk(
      const AdviceCandidate& candidate,
      AdvicePurpose purpose,
      Instant now) const;
  // Returns the usable ticket of the endpoint; null if none.
  const StepTicket* TicketOf(const ScheduledStep& step,
                             const EndpointState& endpoint,
                             Instant now) const;

  // Placement and polls (job_scheduler_place.cc, job_scheduler_polls.cc) -----
  bool Usable(const EndpointState& endpoint, Instant now) const;
  void Place(Instant now);
  void PlaceService(ServiceState* service, Instant now);
  // Returns whether a ready task of the job would fit on a listed one of these
  // endpoints if it were idle, and into its team's limit.
  bool FitsWhenIdle(const ScheduledJob& job,
                    const std::vector<EndpointState*>& endpoints) const;
  // Places the ready tasks of a job.
  PlaceResult PlaceJob(ScheduledJob* job,
                       const std::vector<EndpointState*>& usable,
                       Instant now);
  PlaceResult PlaceStep(ScheduledStep* step,
                        const QueueConfig* queue,
                        const std::vector<EndpointState*>& usable,
                        Instant now);
  // No endpoint takes a task of the step in this round.
  PlaceResult OnNoEndpoint(const ScheduledStep& step, const QueueConfig* queue);
  void PlaceGang(ScheduledStep* step,
                 const QueueConfig* queue,
                 const std::vector<EndpointState*>& usable,
                 Instant now);
  EndpointState* ChooseEndpoint(const ScheduledStep& step,
                                const ScheduledTask& task,
                                const QueueConfig* queue,
                                const std::vector<EndpointState*>& usable,
                                Instant now) const;
  // Waits for preferred places (job_scheduler_wait.cc) -----------------------
  // Returns the rack that the step waits for, if any: that of its data, or the
  // one in which its group runs. Empty: none.
  std::string PreferredRack(const ScheduledStep& step) const;
  // Returns whether the task runs in the rack that its step prefers.
  bool RunsAtPlace(const ScheduledTask& task,
                   const EndpointState& endpoint) const;
  // Returns `found`, another endpoint at the place, or null if the task waits
  // for its place. Its step has a preference.
  EndpointState* PreferPlace(ScheduledTask* task,
                             EndpointState* found,
                             const QueueConfig* queue,
                             const std::vector<EndpointState*>& usable,
                             Instant now);
  // Returns whether the task waits for its place too, after an earlier task of
  // its step does; if so, no endpoint need be looked at.
  bool WaitsAsWell(ScheduledTask* task, const QueueConfig* queue, Instant now);
  // Decides whether `tasks` tasks, of which this one is the first, wait for
  // room in the rack, and claims this room if so.
  bool WaitsForRack(ScheduledTask* task,
                    std::size_t tasks,
                    const std::string& rack,
                    const QueueConfig* queue,
                    Instant now);
  // Returns the endpoints among which a gang with a preference is placed, until
  // the next call; null if it waits.
  const std::vector<EndpointState*>* ChooseGangRack(
      ScheduledStep* step,
      const QueueConfig* queue,
      const std::vector<EndpointState*>& usable,
      Instant now);
  // Adds a step that has a preference and is ready to the demand for its rack.
  void CountPlaceDemand(ScheduledStep* step, Instant now);
  // Removes the claims of earlier rounds and returns the outlook of the rack.
  RackOutlook& OutlookOf(const ScheduledStep& step,
                         const std::string& rack,
                         Instant now);
  // Returns the forecast behind the claims of this round, until the next call.
  const PlaceForecast& ForecastOf(const ScheduledStep& step,
                                  const std::string& rack,
                                  const QueueConfig* queue,
                                  Instant now);
  PlaceForecast BuildForecast(const ScheduledStep& step,
                              const std::string& rack,
                              Milliseconds delay,
                              Instant now) const;
  // Returns the instant from which on the wait of the step began: after a
  // takeover, the earliest instant at which it may have been ready.
  Instant PlaceWaitSince(const ScheduledStep& step, Instant now) const;
  // Records that a task that waited for its place starts on the endpoint.
  void EndPlaceWait(ScheduledTask* task, const EndpointState& endpoint);
  std::string ExplainPlaceWait(const ScheduledStep& step, Instant now) const;
  // A task has completed: adapts the predictions.
  void LearnDuration(const ScheduledTask& task, Instant now);

  // True if a task that needs at most as much did not fit in this round.
  bool IsKnownNotToFit(const StepSpec& spec) const;
  // Returns whether a task of the step fits on the endpoint, apart from advice.
  bool HasRoomFor(const EndpointState& endpoint,
                  const ScheduledStep& step) const;
  bool Accepts(const EndpointState& endpoint,
               const ScheduledStep& step,
               const QueueConfig* queue,
               Instant now) const;
  bool WithinTeamLimit(const TeamId& team, const Resources& more) const;
  void Start(ScheduledTask* task, EndpointState* endpoint, Instant now);
  // Logs one line for all starts of a step in this round. Each start is
  // index:run:endpoint:room_milli_cores:age_ms, where the age is that of the
  // endpoint's last report.
  void LogStarts(const ScheduledStep& step);
  void AdjustPace(Instant now);
  void SendPolls(bool renew, Instant now);
  int OthersOnEndpoint(const ScheduledStep& step,
                       const EndpointState& endpoint) const;
  int UnavailableTasks(const ScheduledStep& step, Instant now) const;
  bool IsStarved(const ScheduledStep& step, Instant now) const;
};

// Memory of an order until it is answered, without its texts: the request, its
// connection's buffers and the copy of the order for its answer.
inline constexpr std::size_t kOrderBytes = 3 << 10;

// As above with the texts. They are held by the order, its copy, the request
// and the connection's buffer.
inline std::size_t OrderBytes(const StartRun& order) {
  constexpr std::size_t kCopies = 4;
  return kOrderBytes +
         kCopies * (order.payload.size() + order.checkpoint.size() +
                    order.ticket.size());
}

// Returns the run number below the first one of the epoch. The ranges of
// different epochs are disjoint, because an owner cannot tell how often a
// previous owner has started a task.
inline RunNumber FirstRun(OwnerEpoch epoch) {
  constexpr RunNumber kRunsPerEpoch = 1024;
  return (epoch.value - 1) * kRunsPerEpoch;
}

// Returns the name of a task as used in orders.
TaskName NameOf(const ScheduledTask& task);

// Returns the name of the first task of the step, by which calls of the advice
// service name the step.
TaskName FirstTaskOf(const ScheduledStep& step);

// Returns the resources that an endpoint reserves for a task of the step.
Resources Reserved(const StepSpec& spec);

// Returns whether a run of the task may exist.
inline bool MayBeRunning(const ScheduledTask& task) {
  return task.endpoint != nullptr;
}

// Returns the first step with a task that is ready and not placed; null if
// none.
const ScheduledStep* FirstReadyStep(const ScheduledJob& job);
// Returns the waiting task of the step with the lowest index; none if no task
// waits.
std::optional<WaitingTask> FirstWaitingTask(const ScheduledStep& step);

// Returns the unreserved capacity of the endpoint.
Resources FreeResources(const EndpointState& endpoint);

bool HasLabel(const EndpointState& endpoint, const std::string& label);

// Returns whether the advice service does not let the endpoint run the step.
inline bool IsRefused(const ScheduledStep& step,
                      const EndpointState& endpoint) {
  return step.advice.refused.contains(endpoint.incarnation);
}

// Returns whether the tasks run faster in one rack than in others.
inline bool PrefersPlace(const StepSpec& spec) {
  return spec.same_rack || !spec.data_rack.empty();
}

// Labels of an endpoint: the first is its kind, the last is its rack.
inline std::string RackOf(const EndpointState& endpoint) {
  return endpoint.row.labels.empty() ? std::string()
                                     : endpoint.row.labels.back();
}

// Returns "ID.OCCURRENCE.STEP.INDEX", for logs.
std::string TaskText(const TaskName& name);

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_SCHEDULER_INTERNAL_H_
