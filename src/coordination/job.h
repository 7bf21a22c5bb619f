// Jobs, endpoints and teams as the job scheduler sees them.
//
// Index:
//   [SECTION] Resources
//   [SECTION] Jobs
//   [SECTION] Fleet configuration
//   [SECTION] Endpoints
//   [SECTION] Progress of a job
//
// A job is a set of steps; a step is a set of equal tasks. A task of the
// product's own interface is a job with one step of one task. All types are
// plain values: const access from several threads is safe.

#ifndef SRC_COORDINATION_JOB_H_
#define SRC_COORDINATION_JOB_H_

#include <chrono>
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
using RunNumber = std::uint64_t;  // starts of one task, from 1
using EndNumber = std::uint64_t;  // ends of one endpoint, from 1
using Milliseconds = std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [SECTION] Resources
//-----------------------------------------------------------------------------

struct Resources {
  std::int64_t milli_cores = 0;   // default: 0; 1/1000 of a core
  std::int64_t memory_mb = 0;     // default: 0; MB
  std::int64_t accelerators = 0;  // default: 0; devices

  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  bool FitsIn(const Resources& room) const;

  friend bool operator==(const Resources&, const Resources&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

struct StepSpec {
  int task_count = 1;           // default: 1
  Resources per_task;           // default: none
  Milliseconds estimate{0};     // default: 0; rough duration of a task
  std::vector<int> after;       // default: none; steps that must be done first
  bool checkpointing = false;   // default: false; a restart may resume
  bool gang = false;            // default: false; tasks only work together
  bool same_rack = false;       // default: false; slower across racks
  bool speculative = false;     // default: false; copies may run in parallel
  bool long_running = false;    // default: false; runs until cancelled
  bool fills = false;           // default: false; uses processors left unused
  std::string required_label;   // default: empty; any endpoint
  std::string data_rack;        // default: empty; rack that holds the data
  int max_per_endpoint = 0;     // default: 0, no limit
  std::string image;            // default: empty; tasks of one image are alike
  Milliseconds target_tail{0};  // default: 0; none. Tail latency to stay under
  int max_unavailable = -1;     // default: -1; no allowance is given
};

struct JobSpec {
  std::string payload;            // default: empty; handed to every task
  std::vector<StepSpec> steps;    // default: none
  int occurrences = 0;            // default: 0; runs once, at once
  std::int64_t first_due_ms = 0;  // default: 0; Unix time of occurrence 0
  std::int64_t interval_ms = 0;   // default: 0; between occurrences
};

enum class JobState { kPending, kRunning, kCompleted, kFailed, kCancelled };

// Returns whether no task of the job starts any more.
bool IsFinal(JobState state);

struct AcceptedJob {
  JobId id;                      // default: empty
  std::string queue;             // default: empty; name of the queue
  ServiceId service;             // default: empty; at acceptance
  TeamId team;                   // default: empty; none for open queues
  std::int64_t accepted_ms = 0;  // default: 0; Unix time
  JobSpec spec;                  // default: none
  // Final state of a job whose row holds nothing else any more; none while
  // the row holds the whole job.
  std::optional<JobState> closed_as;  // default: none
};

struct TaskName {
  JobId job;           // default: empty
  int occurrence = 0;  // default: 0
  int step = 0;        // default: 0
  int index = 0;       // default: 0

  friend auto operator<=>(const TaskName&, const TaskName&) = default;
  friend bool operator==(const TaskName&, const TaskName&) = default;
};

//-----------------------------------------------------------------------------
// [SECTION] Fleet configuration
//-----------------------------------------------------------------------------

// Delays of the service that decides which endpoints may run a step.
struct AdviceSettings {
  Milliseconds decide{0};  // default: 0; per call
  Milliseconds each{0};    // default: 0; per endpoint named
  Milliseconds valid{0};   // default: 0; validity of a ticket
};

struct QueueConfig {
  std::string name;           // default: empty
  ServiceId service;          // default: empty
  int priority = 0;           // default: 0, which comes first
  int max_attempts = 1;       // default: 1; failed runs of a task
  double stretch = 1.0;       // default: 1; objective in chains of work
  Milliseconds objective{0};  // default: 0; added to the stretched chain
  bool needs_advice = false;  // default: false
  AdviceSettings advice;      // default: none
};

struct TeamConfig {
  double weight = 1.0;  // default: 1; share when all is full
  Resources limit;      // default: 0, no limit; running at the same time
};

struct ServiceConfig {
  bool guards_capacity = true;  // default: true; endpoints refuse overload
  bool spare = false;           // default: false; hosts are off and free
};

struct FleetConfig {
  std::map<std::string, QueueConfig> queues;  // by name
  std::map<TeamId, TeamConfig> teams;
  std::map<ServiceId, ServiceConfig> services;
};

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

// One row of the list of endpoints.
struct EndpointRow {
  EndpointId id;                    // default: empty
  std::int64_t born_ms = 0;         // default: 0; start of this life
  ServiceId service;                // default: empty
  ZoneId zone;                      // default: empty
  std::string address;              // default: empty; "ip:port"
  bool ready = false;               // default: false; draining otherwise
  Resources capacity;               // default: none
  std::vector<std::string> labels;  // default: none; kind and rack

  friend bool operator==(const EndpointRow&, const EndpointRow&) = default;
};

enum class EndKind { kDone, kFailed, kStopped, kLapsed, kBroken, kAlone };

// Returns a stable lower-case name, as in "done".
const char* EndKindName(EndKind kind);

struct RunEnd {
  EndNumber number = 0;             // default: 0, which no end has
  TaskName task;                    // default: empty
  RunNumber run = 0;                // default: 0
  EndKind kind = EndKind::kFailed;  // default: kFailed
  std::string checkpoint;           // default: empty; none
};

struct RunningTask {
  TaskName task;           // default: empty
  RunNumber run = 0;       // default: 0
  std::string checkpoint;  // default: empty; none
  int percent = 0;         // default: 0; progress, or share at work
  // Of the last half second: tail latency in ms of a serving task, milli-cores
  // in use of any other.
  std::int64_t recent = 0;  // default: 0
};

// What an endpoint says it runs and has ended.
struct EndpointReportRows {
  std::int64_t clock_ms = 0;         // default: 0; the endpoint's clock
  std::int64_t born_ms = 0;          // default: 0; not said
  std::vector<RunningTask> running;  // default: none
  std::vector<RunEnd> ended;         // default: none; by number
};

//-----------------------------------------------------------------------------
// [SECTION] Progress of a job
//-----------------------------------------------------------------------------

// What must outlive the owner: written before an end is acknowledged.
struct JobProgress {
  JobId id;                             // default: empty
  JobState state = JobState::kPending;  // default: kPending
  std::set<TaskName> done;              // tasks that ended done
  // Runs that ended "failed". An end is listed until it is acknowledged, so
  // that it is seen again by the next owner; a run counts once.
  std::map<TaskName, std::set<RunNumber>> failures;
  std::map<TaskName, std::string> checkpoints;  // of tasks that are not done
};

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_H_
