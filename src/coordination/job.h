// Jobs, fleet configuration and endpoint reports: the types that the job
// scheduler and its callers exchange.
//
// Index:
//   [SECTION] Resources
//   [SECTION] Jobs
//   [SECTION] Fleet configuration
//   [SECTION] Endpoints
//   [SECTION] Progress of a job
//
// A job is a set of steps; a step is a set of equal tasks. A task that is
// submitted through the task interface is a job with one step of one task. All
// types are plain values: const access from several threads is safe.

#ifndef SRC_COORDINATION_JOB_H_
#define SRC_COORDINATION_JOB_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"

namespace peridot {

using JobId = StrongId<struct JobTag, std::string>;
using ServiceId = StrongId<struct ServiceTag, std::string>;
using OwnerEpoch = StrongId<struct OwnerEpochTag, std::uint64_t>;
// Sent with each order to an endpoint, which executes none with a lower token
// than the highest that it has received.
using FencingToken = StrongId<struct FencingTokenTag, std::uint64_t>;
using RunNumber = std::uint64_t;  // counts the starts of one task, from 1
using EndNumber = std::uint64_t;  // counts an endpoint's ended runs, from 1
// Number of a connection to an endpoint. A connection reaches one process of
// the endpoint only, since it does not outlive it. 0: unknown.
using EndpointSession = std::uint64_t;
using Milliseconds = std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [SECTION] Resources
//-----------------------------------------------------------------------------

struct Resources {
  std::int64_t milli_cores = 0;  // 1/1000 of a core
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;  // devices

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool FitsIn(const Resources& room) const;

  friend bool operator==(const Resources&, const Resources&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

struct StepSpec {
  int task_count = 1;
  Resources per_task;
  Milliseconds estimate{0};     // declared duration of a task
  std::vector<int> after;       // indexes of steps that must be done first
  bool checkpointing = false;   // a restarted task may resume
  bool gang = false;            // tasks only make progress together
  bool same_rack = false;       // tasks run slower across racks
  bool speculative = false;     // copies of a task may run in parallel
  bool long_running = false;    // runs until cancelled
  bool best_effort = false;     // uses idle processor time only
  std::string required_label;   // empty: any endpoint
  std::string data_rack;        // rack that holds the input data
  int max_per_endpoint = 0;     // 0: no limit
  std::string image;            // tasks of the same image are alike
  Milliseconds target_tail{0};  // tail latency to stay below; 0: no target
  int max_unavailable = -1;     // tasks that may be down at once; -1: unset
};

struct JobSpec {
  std::string payload;  // passed to every task
  std::vector<StepSpec> steps;
  int occurrences = 0;            // 0: runs once, as soon as possible
  std::int64_t first_due_ms = 0;  // Unix time of occurrence 0
  std::int64_t interval_ms = 0;   // between occurrences
};

enum class JobState { kPending, kRunning, kCompleted, kFailed, kCancelled };

// Returns whether the state is terminal: no task of the job starts any more.
bool IsFinal(JobState state);

struct AcceptedJob {
  JobId id;
  std::string queue;             // name of the queue
  ServiceId service;             // service of the queue at acceptance
  TeamId team;                   // empty: open queue called without a key
  std::int64_t accepted_ms = 0;  // Unix time
  // QueueConfig::max_attempts at acceptance; it applies if the queue is
  // removed. 0: not stored, as in rows of earlier versions.
  int max_attempts = 0;
  JobSpec spec;
  // Final state of a job whose row has been compacted to that state; none while
  // the row still holds the whole job.
  std::optional<JobState> closed_as;
  // The row holds no job but the refusal of its id: it keeps submissions that
  // arrived before the refusal from being stored. Such a row is also closed.
  bool refused = false;
  // The refusal of an id that was cancelled before a job was stored under it:
  // it keeps all later submissions from being stored.
  bool cancelled = false;
};

struct TaskName {
  JobId job;
  int occurrence = 0;
  int step = 0;
  int index = 0;

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
  friend bool operator==(const TaskName&, const TaskName&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet configuration
//-----------------------------------------------------------------------------

// Latency and ticket validity of the service that decides which endpoints may
// run a step.
struct AdviceSettings {
  Milliseconds call_latency{0};  // fixed latency of a call
  Milliseconds latency_per_endpoint{
      0};                 // additional latency per endpoint in the call
  Milliseconds valid{0};  // validity of a ticket; 0: while its endpoint lives
};

struct QueueConfig {
  std::string name;
  ServiceId service;
  int priority = 0;      // 0 is the highest; larger values go later
  int max_attempts = 1;  // failed runs of a task that fail its job
  double critical_path_factor =
      1.0;                    // factor of the critical path in the objective
  Milliseconds objective{0};  // constant part of the objective
  bool needs_advice = false;  // endpoints need a ticket of the advice service
  AdviceSettings advice;
};

struct TeamConfig {
  double weight = 1.0;  // relative share when demand exceeds capacity
  Resources limit;      // of tasks that run at the same time; 0: no limit
};

struct ServiceConfig {
  bool guards_capacity = true;  // endpoints refuse tasks that do not fit
  bool spare = false;           // hosts in it are powered off and cost nothing
};

struct FleetConfig {
  std::map<std::string, QueueConfig> queues;  // by name
  std::map<TeamId, TeamConfig> teams;
  std::map<ServiceId, ServiceConfig> services;
};

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

// One entry of the platform's list of endpoints.
struct EndpointRow {
  EndpointId id;
  std::int64_t start_time_ms = 0;  // start of the endpoint process; 0: unknown
  ServiceId service;
  ZoneId zone;
  std::string address;  // "ip:port"
  bool ready = false;   // false: draining
  Resources capacity;
  std::vector<std::string> labels;  // kind first, rack last

  friend bool operator==(const EndpointRow&, const EndpointRow&) = default;
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

// Returns a stable lower-case name, such as "done".
const char* EndKindName(EndKind kind);

struct RunEnd {
  EndNumber number = 0;  // 0 is never assigned
  TaskName task;
  RunNumber run = 0;
  EndKind kind = EndKind::kFailed;
  std::string checkpoint;  // empty: none
};

struct RunningTask {
  TaskName task;
  RunNumber run = 0;
  std::string checkpoint;  // empty: none
  int percent = 0;         // progress; share in service if long-running
  // Over the last half second: tail latency in ms of a task with a latency
  // target, milli-cores in use for any other task.
  std::int64_t recent = 0;
};

// Runs in progress and finished runs that an endpoint reports.
struct EndpointReportRows {
  std::int64_t clock_ms = 0;       // reading of the endpoint's clock
  std::int64_t start_time_ms = 0;  // start of the endpoint process; 0: unknown
  EndpointSession session = 0;     // on which the report was received
  std::vector<RunningTask> running;
  std::vector<RunEnd> ended;  // in order of number
  // False if the endpoint may have more ends than it listed. A run in neither
  // list may then have ended.
  bool all_ends_listed = true;
};

//-----------------------------------------------------------------------------
// [SECTION] Progress of a job
//-----------------------------------------------------------------------------

// Row of the store that holds the progress of a task. A job with few tasks has
// its main row only. A job with many has a row for each block of consecutive
// tasks as well, because a single row would outgrow the store's limit and each
// end of a run would write the progress of all tasks again.
struct ProgressBlock {
  bool main = true;  // the other fields are 0
  int occurrence = 0;
  int step = 0;
  int number = 0;  // of the block within the step

  friend auto operator<=>(const ProgressBlock&, const ProgressBlock&) = default;
};

struct ProgressLayout {
  // Number of tasks up to which a job has its main row only.
  int max_tasks_in_main_row = 256;
  // Tasks in a block. A task takes about 50 bytes and 8 for each failed run.
  int tasks_per_block = 64;
};

// Returns the row of a task of this job.
ProgressBlock BlockOf(const JobSpec& spec,
                      const TaskName& task,
                      const ProgressLayout& layout);

// Progress that the next owner needs: it is stored before the end of a run is
// acknowledged to the endpoint. Holds one row of a job.
struct JobProgress {
  JobId id;
  ProgressBlock block;
  JobState state = JobState::kPending;  // of the job; set in its main row
  // All tasks of the occurrences below this one are done and are listed in no
  // row any more. Set in the main row of a job that has other rows.
  int completed_occurrences = 0;
  std::set<TaskName> done;  // tasks that completed
  // Runs that ended "failed". An endpoint lists an end until it is
  // acknowledged, so the next owner may receive it again; each run counts once.
  std::map<TaskName, std::set<RunNumber>> failures;
  std::map<TaskName, std::string> checkpoints;  // of incomplete tasks
};

// Returns an estimate of the row's size in bytes.
std::size_t EstimateBytes(const JobProgress& progress);

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_H_
