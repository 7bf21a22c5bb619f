// Decides whether a submitted job can still complete while that is of use to
// its caller, and otherwise when the caller should submit it again.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Load report
//   [SECTION] Decision
//
// Load it answers: demand above the capacity of a service. A job is refused
// only if the work that the scheduler serves before it takes longer than the
// time until the job's last useful instant, even with all cores that the
// service may still get. Whatever is missing, old or out of range leads to
// acceptance. Plain values and pure functions: const access from several
// threads is safe.

#ifndef SRC_COORDINATION_JOB_ADMISSION_H_
#define SRC_COORDINATION_JOB_ADMISSION_H_

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/job.h"
#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct JobAdmissionConfig {
  // Age up to which a report is used: two fetches may fail before it ends.
  Milliseconds max_report_age{1500};
  // The time that the work ahead takes must exceed the time left by this
  // factor. Learned durations are averages; single jobs deviate from them.
  double margin = 1.25;
  // A queue holds up work only if at least this share of the cores is reserved;
  // up to 15% of them are lost when tasks are packed on hosts.
  double saturated_share = 0.8;
  // As in JobSchedulerConfig.
  double late_factor = 3.0;
  double late_objective_weight = 1.0;
  // Bounds of Retry-After, in seconds.
  int min_retry_after = 1;
  int max_retry_after = 30;
};

//-----------------------------------------------------------------------------
// [SECTION] Load report
//-----------------------------------------------------------------------------

// Cores that a service gets after a time.
struct ArrivingCores {
  double cores = 0;
  Milliseconds after{0};

  friend bool operator==(const ArrivingCores&, const ArrivingCores&) = default;
};

// Ready tasks that wait and are alike, of jobs that can still be of use.
struct BacklogRow {
  TeamId team;
  int priority = 0;         // of the queue; 0 is the highest
  bool in_time = false;     // the jobs can still meet their objectives
  int size_class = 0;       // SizeClass() of the remaining work of the jobs
  Resources per_task;       // a task with fewer needs may overtake these
  Milliseconds late_key{};  // position among late jobs, from the report on
  double core_seconds = 0;

  friend bool operator==(const BacklogRow&, const BacklogRow&) = default;
};

// Client account within a service.
struct TeamLoad {
  double weight = 1;         // relative share
  double limit_cores = 0;    // upper limit; 0: none
  double running_cores = 0;  // reserved by its tasks

  friend bool operator==(const TeamLoad&, const TeamLoad&) = default;
};

struct ServiceLoad {
  double usable_cores = 0;    // of endpoints that accept work
  double reserved_cores = 0;  // of these, reserved by tasks
  // Cores of the service's other endpoints, of hosts on their way, and of all
  // hosts that may still be moved to it.
  std::vector<ArrivingCores> arriving;
  // Work completed recently, in predicted core-seconds per second. Above the
  // number of cores while predictions are too high.
  double completion_rate = 0;
  std::vector<BacklogRow> backlog;
  std::map<TeamId, TeamLoad> teams;

  friend bool operator==(const ServiceLoad&, const ServiceLoad&) = default;
};

// Learned durations of a queue: the prediction for an estimate is this times
// the square root of the estimate, both in ms.
struct QueueDurations {
  double ms_per_root_ms = 0;

  friend bool operator==(const QueueDurations&,
                         const QueueDurations&) = default;
};

struct LoadReport {
  std::map<ServiceId, ServiceLoad> services;
  std::map<std::string, QueueDurations> queues;  // those that have learned

  friend bool operator==(const LoadReport&, const LoadReport&) = default;
};

// Rate at which the work of each service ended recently, from running totals.
// Not thread-safe.
class CompletionRates {
 public:
  // Totals since any fixed start; they must not decrease.
  void OnTotals(const std::map<ServiceId, double>& totals, Instant now);

  // Per second over the last kWindow, or less while less is known; 0 if
  // unknown.
  double Rate(const ServiceId& service) const;

 private:
  // Long enough to average over several tasks of a second each.
  static constexpr Milliseconds kWindow{3000};
  static constexpr Milliseconds kInterval{250};

  std::deque<std::pair<Instant, std::map<ServiceId, double>>> samples;
};

// Returns an error if a figure is not finite, negative or otherwise out of
// range.
Result<void> CheckLoadReport(const LoadReport& report);

// Returns the class of a job's work; a class spans a factor of 1.4. Jobs of one
// class count as equal, because the scheduler's order within it is decided by
// the noise of predictions.
int SizeClass(double core_seconds);

//-----------------------------------------------------------------------------
// [SECTION] Decision
//-----------------------------------------------------------------------------

enum class JobAdmissionReason {
  // Accepted.
  kInTime,           // the job may complete in time to be of use
  kNoReport,         // none, or too old
  kNotReported,      // no figures of the service
  kNoObjective,      // the queue has no last useful instant
  kExempt,           // long-running, timed, or needs more than cores and memory
  kUnknownDuration,  // durations of the queue are not learned
  kNotSaturated,     // cores are free, so the backlog waits for something else
  // Refused.
  kBacklog,    // of all client accounts
  kTeamLimit,  // the account's own backlog at its upper limit
};

// Returns a stable lower-case name, as in "team_limit".
const char* JobAdmissionReasonName(JobAdmissionReason reason);

struct JobAdmission {
  bool accepted = true;
  JobAdmissionReason reason = JobAdmissionReason::kInTime;
  int retry_after = 0;  // in seconds; 0 if accepted
  double wait = 0;      // in seconds, until the backlog is short enough
  // Inputs and predictions, for the log; 0 if they were not needed.
  double ahead_core_seconds = 0;      // work of all accounts before the job
  double own_ahead_core_seconds = 0;  // of these, of its own account
  double cores = 0;                   // usable now
  double possible_cores = 0;          // with all that may be added
  double rate = 0;                    // at which the backlog shrinks
  double core_seconds = 0;            // predicted work of the job
  Milliseconds path{0};               // predicted duration of the job
  Milliseconds earliest_start{0};     // with all possible cores
  Milliseconds predicted{0};          // time to completion at `rate`
  Milliseconds last_useful{0};        // after arrival
  Milliseconds report_age{0};
};

// Decides on a job that has just arrived, by its queue. `report` is null if
// there is none; `age` is the time since its figures were read. `retry_after`
// is not set.
JobAdmission DecideJobAdmission(const LoadReport* report,
                                Duration age,
                                const AcceptedJob& job,
                                const QueueConfig& queue,
                                const JobAdmissionConfig& config);

// Spreads callers that are refused together over the time from `wait` on, by
// the id of their job. Returns whole seconds within the bounds.
int RetryAfterSeconds(double wait_seconds,
                      const JobId& id,
                      const JobAdmissionConfig& config);

// Decides on jobs and tells refused callers when to return, one after the
// other: the work of those refused before counts as backlog until they return.
// A caller that returns early keeps its time. Not thread-safe.
class JobAdmissionControl {
 public:
  explicit JobAdmissionControl(JobAdmissionConfig config) : config(config) {}

  JobAdmission OnJob(const LoadReport* report,
                     Duration age,
                     const AcceptedJob& job,
                     const QueueConfig& queue,
                     Instant now);

 private:
  // A refused job whose caller has not returned yet.
  struct Refused {
    Instant returns{};
    ServiceId service;
    TeamId team;
    double core_seconds = 0;
  };
  using Account = std::pair<ServiceId, TeamId>;

  void Remove(const JobId& id);

  // About 200 bytes each. The work of further ones does not count.
  static constexpr std::size_t kMaxRefused = 20000;

  JobAdmissionConfig config;
  std::map<JobId, Refused> refused;
  std::set<std::pair<Instant, JobId>> by_return;
  // Sums of `refused`.
  std::map<ServiceId, double> of_service;
  std::map<Account, double> of_account;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_JOB_ADMISSION_H_
