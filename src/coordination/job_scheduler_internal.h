// The state behind JobScheduler and the helpers that its files share.
//
// Index:
//   [SECTION] Tasks, steps and jobs
//   [SECTION] Endpoints
//   [SECTION] State

#ifndef SRC_COORDINATION_JOB_SCHEDULER_INTERNAL_H_
#define SRC_COORDINATION_JOB_SCHEDULER_INTERNAL_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/coordination/duration_model.h"
#include "src/coordination/job_scheduler.h"

namespace peridot {

inline constexpr Instant kNever = Instant::max();

//-----------------------------------------------------------------------------
// [SECTION] Tasks, steps and jobs
//-----------------------------------------------------------------------------

struct ScheduledJob;
struct ScheduledStep;
struct EndpointState;

enum class TaskPhase {
  kWaiting,   // may start once its step is ready
  kStarting,  // a start was sent and is not confirmed
  kRunning,   // the endpoint has confirmed or lists the run
  kStopping,  // a stop was sent; the run may still be there
  kDone,      // ended done
};

struct ScheduledTask {
  ScheduledStep* step = nullptr;  // owner; never null once built
  int index = 0;
  TaskPhase phase = TaskPhase::kWaiting;
  EndpointState* endpoint = nullptr;  // null unless a run may exist
  RunNumber run = 0;                  // number of the last start; 0: none
  bool unanswered = false;            // the start got no answer
  Instant since{};                    // start of the phase
  Instant answered{};                 // when the start was confirmed
  Instant stop_sent{};                // last stop order
  bool stop_confirmed = false;        // the endpoint answered the stop
  Instant stop_answered{};
  std::string checkpoint;  // newest that is known
  EndpointId avoid;        // where it failed last
  int percent = -1;        // as last listed
  Instant percent_changed{};
  std::int64_t recent = 0;  // as last listed
  int pace = 100;           // percent, as last ordered
  Instant paced{};
};

struct StepTicket {
  std::string ticket;
  Instant expires{};
};

struct ScheduledStep {
  ScheduledJob* job = nullptr;
  int occurrence = 0;
  int number = 0;
  const StepSpec* spec = nullptr;
  std::vector<ScheduledTask> tasks;
  int done = 0;
  Instant ready_since = kNever;  // kNever: earlier steps are not done
  std::map<EndpointId, StepTicket> tickets;
  bool advice_open = false;  // a call for advice is under way
  Instant advice_after{};    // no call before this instant
  RunNumber gang_run = 0;    // run number shared by the gang
};

// How far a waiting job is from its objective; lower values go first.
enum class Urgency { kLasting, kInTime, kLate, kHopeless };

struct ScheduledOccurrence {
  int number = 0;
  std::vector<ScheduledStep> steps;
};

struct ScheduledJob {
  AcceptedJob accepted;
  RowVersion version;  // of its row
  Instant arrived{};
  bool before_takeover = false;
  bool cancelled = false;
  bool begun = false;   // an endpoint has confirmed or listed a run
  bool active = true;   // in State::active
  bool closed = false;  // its row holds nothing but the final state
  bool dirty = false;   // progress not recorded yet; in State::dirty
  JobState decided = JobState::kPending;        // what the owner knows
  JobState recorded = JobState::kPending;       // what the store holds
  Instant recorded_at{};                        // of a final state
  std::deque<ScheduledOccurrence> occurrences;  // stable addresses
  int next_occurrence = 0;  // first that has not been created
  int open_tasks = 0;       // tasks that are not done
  std::map<TaskName, std::set<RunNumber>> failures;  // runs that failed
  std::set<TaskName> done;
  std::map<TaskName, std::string> checkpoints;
};

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

struct EndpointState {
  EndpointRow row;
  bool listed = false;  // in the newest list
  bool fenced = false;  // has answered a look of this epoch
  bool has_clock = false;
  std::int64_t clock_ms = 0;  // the endpoint's clock at clock_read
  Instant clock_read{};
  Instant lapse_at{};  // by then no run of an earlier order is left
  Resources used;
  std::set<ScheduledTask*> tasks;  // runs that may exist
  EndNumber processed = 0;         // ends up to here are in memory
  EndNumber in_batch = 0;  // ends up to here are covered by the open batch
  EndNumber recorded = 0;  // ends up to here may be acknowledged
  bool look_open = false;
  Instant next_look{};
  int failed_looks = 0;
  Instant unhealthy_until{};
  Instant full_until{};
  Instant quarantine_until{};
  int failures_in_row = 0;
  JobId last_failed_job;
};

//-----------------------------------------------------------------------------
// [SECTION] State
//-----------------------------------------------------------------------------

struct JobScheduler::State {
  JobSchedulerConfig config;
  Instant started{};
  FleetConfig fleet;
  std::unordered_map<JobId, std::unique_ptr<ScheduledJob>> jobs;
  // Jobs that are not final or still have runs. A round looks at these only:
  // the jobs of an hour that are over are many times as many.
  std::vector<ScheduledJob*> active;
  std::vector<ScheduledJob*> dirty;     // progress not recorded yet
  std::vector<ScheduledJob*> closable;  // recorded as final, row not closed
  std::map<EndpointId, std::unique_ptr<EndpointState>> endpoints;
  std::map<JobId, JobProgress> earlier;  // progress of jobs not seen yet
  std::set<JobId> cancelled_early;       // cancelled before the job was seen
  std::set<ZoneId> zones_out;
  std::set<EndpointId> cordoned;
  std::map<TeamId, Resources> team_use;
  std::map<std::string, DurationModel> durations;  // by queue
  std::map<ServiceId, double> arrived_core_seconds;
  std::map<ServiceId, int> arrived_jobs;
  std::set<ServiceId> unrecovered;  // services with unseen endpoints
  Resources unseen;                 // capacity of these endpoints
  Instant recovery_ends{};          // earlier owners' work has lapsed by then
  std::int64_t wall_offset_ms = 0;  // Unix time less the steady clock
  RowVersion newest_job;            // version of a job's row
  RowVersion startable;             // jobs up to this version may start
  bool fenced = false;
  std::size_t advice_open = 0;
  std::uint64_t batch = 0;  // number of the open batch; 0: none
  std::uint64_t last_batch = 0;
  std::vector<std::pair<JobId, JobState>> batch_jobs;
  Counters counters;
  std::vector<std::string> decisions;
  std::vector<Resources> too_large;  // in this round, for one service
  std::string started_text;          // for LogStarts()
  std::string ended_text;            // of the look under way
  SchedulerActions actions;

  // Jobs (job_scheduler.cc) -------------------------------------------------
  ScheduledJob* FindJob(const JobId& id);
  ScheduledTask* FindTask(const TaskName& name);
  const QueueConfig* QueueOf(const ScheduledJob& job) const;
  ServiceId ServiceOf(const ScheduledJob& job) const;
  void AddOccurrence(ScheduledJob* job, Instant now);
  void AddDueOccurrences(ScheduledJob* job, Instant now);
  Instant DueAt(const ScheduledJob& job, int occurrence) const;
  void UpdateReadySteps(ScheduledJob* job, Instant now);
  void FinishIfDone(ScheduledJob* job);
  void StopAll(ScheduledJob* job, const char* reason, Instant now);
  void MarkDirty(ScheduledJob* job);
  // Drops the jobs that need no more decisions from the active ones.
  void RetireJobs();
  JobProgress ProgressOf(const ScheduledJob& job) const;
  void Decide(std::string text);

  // Runs (job_scheduler_runs.cc) --------------------------------------------
  void Attach(ScheduledTask* task, EndpointState* endpoint, RunNumber run);
  void Detach(ScheduledTask* task);
  void ReturnToWaiting(ScheduledTask* task, const char* reason, Instant now);
  void RequestStop(ScheduledTask* task, const char* reason, Instant now);
  void SendStop(ScheduledTask* task, Instant now);
  void OnRunEnd(EndpointState* endpoint, const RunEnd& end, Instant now);
  void CountFailure(ScheduledTask* task,
                    RunNumber run,
                    EndpointState* endpoint,
                    Instant now);
  void OnListed(EndpointState* endpoint, const RunningTask& row, Instant now);
  void ResolveMissing(EndpointState* endpoint,
                      const EndpointReportRows& report,
                      Instant sent,
                      Instant now);
  void StartNewLife(EndpointState* endpoint, Instant now);
  void ReleaseLapsed(EndpointState* endpoint, const char* reason, Instant now);
  void RemoveStalled(EndpointState* endpoint, Instant now);
  Milliseconds ExpectedDuration(const ScheduledStep& step) const;
  // Time from acceptance within which the job is in time.
  Milliseconds Objective(const ScheduledJob& job) const;
  Urgency UrgencyOf(const ScheduledJob& job, Instant now) const;
  // Longest chain of work: all of it, and what is left.
  Milliseconds Chain(const ScheduledJob& job, bool left) const;
  // Work of a job that does not last, in core-seconds.
  double CoreSeconds(const ScheduledJob& job, bool left) const;
  OrderTarget TargetOf(const EndpointState& endpoint) const;
  std::int64_t LeaseUntil(EndpointState* endpoint, Instant now);

  // Placement and looks (job_scheduler_place.cc, job_scheduler_looks.cc) -----
  bool Usable(const EndpointState& endpoint, Instant now) const;
  void Place(Instant now);
  void PlaceService(const ServiceId& service,
                    std::vector<ScheduledJob*>* waiting,
                    Instant now);
  bool PlaceStep(ScheduledStep* step,
                 const QueueConfig* queue,
                 const std::vector<EndpointState*>& usable,
                 Instant now);
  void PlaceGang(ScheduledStep* step,
                 const QueueConfig* queue,
                 const std::vector<EndpointState*>& usable,
                 Instant now);
  EndpointState* Choose(const ScheduledStep& step,
                        const ScheduledTask& task,
                        const QueueConfig* queue,
                        const std::vector<EndpointState*>& usable,
                        Instant now) const;
  // True if a task that needs no more found no room in this round.
  bool IsKnownNotToFit(const StepSpec& spec) const;
  bool Accepts(const EndpointState& endpoint,
               const ScheduledStep& step,
               const QueueConfig* queue,
               Instant now) const;
  bool WithinTeamLimit(const TeamId& team, const Resources& more) const;
  void Start(ScheduledTask* task, EndpointState* endpoint, Instant now);
  // One line for all starts of a step in this round; each is
  // index:run:endpoint:room_milli_cores:age_ms of what is known of it.
  void LogStarts(const ScheduledStep& step);
  void AskForAdvice(ScheduledStep* step,
                    const QueueConfig& queue,
                    const std::vector<EndpointState*>& usable,
                    Instant now);
  void AdjustPace(Instant now);
  void SendLooks(bool renew, Instant now);
  int OthersOnEndpoint(const ScheduledStep& step,
                       const EndpointState& endpoint) const;
  int UnavailableTasks(const ScheduledStep& step, Instant now) const;
  bool IsStarved(const ScheduledStep& step, Instant now) const;
};

// Run numbers of different epochs do not meet: an owner cannot know how often
// an earlier one has started a task.
inline RunNumber FirstRun(OwnerEpoch epoch) {
  constexpr RunNumber kRunsPerEpoch = 1024;
  return (epoch.value - 1) * kRunsPerEpoch;
}

// The name of a task, as orders carry it.
TaskName NameOf(const ScheduledTask& task);

// Returns what the endpoint has to reserve for a task of the step.
Resources Reserved(const StepSpec& spec);

// Returns whether a run of the task may exist.
inline bool MayRun(const ScheduledTask& task) {
  return task.endpoint != nullptr;
}

// The first task of the job that waits for a place and may start; null if none.
const ScheduledTask* FirstReadyTask(const ScheduledJob& job);

// What is left of the endpoint's capacity.
Resources Room(const EndpointState& endpoint);

bool HasLabel(const EndpointState& endpoint, const std::string& label);

// Returns "ID.OCCURRENCE.STEP.INDEX", for logs.
std::string TaskText(const TaskName& name);

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_SCHEDULER_INTERNAL_H_
