#include "src/coordination/job_admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

using Seconds = std::chrono::duration<double>;

// Bounds of the figures of a report, far above those of the largest fleets.
constexpr double kMaxFigure = 1e9;
constexpr Milliseconds kMaxDelay{3'600'000};

// Rounds after which the time with the limits of other accounts is exact to a
// small fraction of the margin.
constexpr int kLimitRounds = 12;

bool InRange(double figure) {
  return std::isfinite(figure) && figure >= 0 && figure <= kMaxFigure;
}

bool InRange(Milliseconds time) {
  return time >= -kMaxDelay && time <= kMaxDelay;
}

double ToSeconds(Milliseconds time) {
  return Seconds(time).count();
}

Milliseconds ToMilliseconds(double seconds) {
  return std::chrono::duration_cast<Milliseconds>(
      Seconds(std::clamp(seconds, 0.0, ToSeconds(kMaxDelay))));
}

// Durations and work of a job by the learned durations of its queue.
struct Prediction {
  Milliseconds path{0};  // critical path
  double core_seconds = 0;
  Resources smallest_need;  // of the tasks that are ready at once
};

Prediction Predict(const JobSpec& spec, const QueueDurations& durations) {
  Prediction prediction;
  std::vector<double> finish_ms(spec.steps.size());
  bool first_root = true;
  for (std::size_t i = 0; i < spec.steps.size(); ++i) {
    const StepSpec& step = spec.steps[i];
    const double duration_ms =
        durations.ms_per_root_ms *
        std::sqrt(static_cast<double>(step.estimate.count()));
    double begin_ms = 0;
    for (const int earlier : step.after) {
      begin_ms = std::max(begin_ms, finish_ms[earlier]);
    }
    finish_ms[i] = begin_ms + duration_ms;
    prediction.path =
        std::max(prediction.path, ToMilliseconds(finish_ms[i] / 1000));
    prediction.core_seconds += step.task_count *
                               static_cast<double>(step.per_task.milli_cores) /
                               1000 * duration_ms / 1000;
    if (!step.after.empty()) {
      continue;
    }
    Resources& smallest = prediction.smallest_need;
    if (std::exchange(first_root, false)) {
      smallest = step.per_task;
    }
    smallest.milli_cores =
        std::min(smallest.milli_cores, step.per_task.milli_cores);
    smallest.memory_mb = std::min(smallest.memory_mb, step.per_task.memory_mb);
  }
  return prediction;
}

// Returns whether the calculation does not cover the job: it is timed, runs
// until cancelled, or is bound to some of the endpoints.
bool IsExempt(const JobSpec& spec) {
  return spec.steps.empty() || spec.occurrences > 0 ||
         std::any_of(spec.steps.begin(), spec.steps.end(),
                     [](const StepSpec& step) {
                       return step.long_running || step.best_effort ||
                              step.gang || !step.required_label.empty() ||
                              step.per_task.accelerators > 0 ||
                              step.per_task.milli_cores <= 0 ||
                              step.estimate.count() <= 0;
                     });
}

// Work in core-seconds, by account.
using WorkByTeam = std::map<TeamId, double>;

double Sum(const WorkByTeam& work) {
  double sum = 0;
  for (const auto& [team, core_seconds] : work) {
    sum += core_seconds;
  }
  return sum;
}

double WorkOf(const WorkByTeam& work, const TeamId& team) {
  const auto found = work.find(team);
  return found == work.end() ? 0 : found->second;
}

TeamLoad LoadOf(const ServiceLoad& service, const TeamId& team) {
  const auto found = service.teams.find(team);
  return found == service.teams.end() ? TeamLoad{} : found->second;
}

// Time in which a service completes the work with all possible cores.
double TimeForWork(const ServiceLoad& service, double work, double speed) {
  std::vector<ArrivingCores> arriving = service.arriving;
  std::sort(arriving.begin(), arriving.end(),
            [](const ArrivingCores& a, const ArrivingCores& b) {
              return a.after < b.after;
            });
  double cores = service.usable_cores;
  double time = 0;
  for (const ArrivingCores& added : arriving) {
    const double until = std::max(time, ToSeconds(added.after));
    const double done = (until - time) * cores * speed;
    if (done >= work) {
      break;
    }
    work -= done;
    time = until;
    cores += added.cores;
  }
  return cores > 0 ? time + work / (cores * speed) : ToSeconds(kMaxDelay);
}

// Earliest time at which all work ahead of a job of the account is served. The
// scheduler serves the accounts by their shares: while the account's own work
// is served, another one gets at most its own work ahead, its share or its
// upper limit.
double TimeByShares(const ServiceLoad& service,
                    const WorkByTeam& ahead,
                    const TeamId& team,
                    double speed) {
  const double own = WorkOf(ahead, team);
  if (own <= 0) {
    return 0;
  }
  const double per_weight = own / std::max(LoadOf(service, team).weight, 1e-6);
  double time = ToSeconds(kMaxDelay);
  for (int round = 0; round < kLimitRounds; ++round) {
    double work = own;
    for (const auto& [other, core_seconds] : ahead) {
      if (other == team) {
        continue;
      }
      const TeamLoad load = LoadOf(service, other);
      double served = std::min(core_seconds, per_weight * load.weight);
      if (load.limit_cores > 0) {
        served = std::min(served, load.limit_cores * speed * time);
      }
      work += served;
    }
    const double next = TimeForWork(service, work, speed);
    if (next >= time) {
      break;
    }
    time = next;
  }
  return time;
}

}  // namespace

const char* JobAdmissionReasonName(JobAdmissionReason reason) {
  constexpr std::array<const char*, 9> kNames = {
      "in_time",       "no_report", "not_reported",
      "no_objective",  "exempt",    "unknown_duration",
      "not_saturated", "backlog",   "team_limit"};
  return kNames[static_cast<std::size_t>(reason)];
}

int SizeClass(double core_seconds) {
  return core_seconds <= 1e-6
             ? -40
             : static_cast<int>(std::floor(2 * std::log2(core_seconds)));
}

void CompletionRates::OnTotals(const std::map<ServiceId, double>& totals,
                               Instant now) {
  if (!this->samples.empty() && now - this->samples.back().first < kInterval) {
    return;
  }
  this->samples.emplace_back(now, totals);
  while (now - this->samples.front().first > kWindow) {
    this->samples.pop_front();
  }
}

double CompletionRates::Rate(const ServiceId& service) const {
  if (this->samples.size() < 2) {
    return 0;
  }
  const auto total = [&](const auto& sample) {
    const auto found = sample.second.find(service);
    return found == sample.second.end() ? 0.0 : found->second;
  };
  const auto& first = this->samples.front();
  const auto& last = this->samples.back();
  return (total(last) - total(first)) /
         Seconds(last.first - first.first).count();
}

Result<void> CheckLoadReport(const LoadReport& report) {
  const auto bad = [](const std::string& what) {
    return MakeError(ErrorCode::kOutOfRange, "check", "load report",
                     "a figure of " + what + " is out of range");
  };
  for (const auto& [id, service] : report.services) {
    if (!InRange(service.usable_cores) || !InRange(service.reserved_cores) ||
        !InRange(service.completion_rate)) {
      return bad("service " + id.value);
    }
    for (const ArrivingCores& added : service.arriving) {
      if (!InRange(added.cores) || !InRange(added.after) ||
          added.after.count() < 0) {
        return bad("arriving cores of service " + id.value);
      }
    }
    for (const BacklogRow& row : service.backlog) {
      if (!InRange(row.core_seconds) || !InRange(row.late_key) ||
          row.per_task.milli_cores < 0 || row.per_task.memory_mb < 0) {
        return bad("the backlog of service " + id.value);
      }
    }
    for (const auto& [team, load] : service.teams) {
      if (!InRange(load.weight) || load.weight <= 0 ||
          !InRange(load.limit_cores) || !InRange(load.running_cores)) {
        return bad("team " + team.value);
      }
    }
  }
  for (const auto& [name, queue] : report.queues) {
    if (!InRange(queue.ms_per_root_ms) || queue.ms_per_root_ms <= 0) {
      return bad("queue " + name);
    }
  }
  return boost::outcome_v2::success();
}

int RetryAfterSeconds(double wait_seconds,
                      const JobId& id,
                      const JobAdmissionConfig& config) {
  // FNV-1a: the same on every daemon, unlike std::hash.
  std::uint32_t hash = 2166136261U;
  for (const char c : id.value) {
    hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
  }
  // Callers return over half of the wait again, because all of those that are
  // refused together get about the same wait.
  const int longest = std::max(1, config.max_retry_after * 2 / 3);
  const int base = static_cast<int>(
      std::ceil(std::clamp(wait_seconds, 1.0, static_cast<double>(longest))));
  const int spread = std::max(2, base / 2 + 1);
  return std::clamp(
      base + static_cast<int>(hash % static_cast<unsigned>(spread)),
      config.min_retry_after, config.max_retry_after);
}

JobAdmission DecideJobAdmission(const LoadReport* report,
                                Duration age,
                                const AcceptedJob& job,
                                const QueueConfig& queue,
                                const JobAdmissionConfig& config) {
  JobAdmission result;
  const auto accept = [&](JobAdmissionReason reason) {
    result.reason = reason;
    return result;
  };
  if (queue.objective.count() <= 0) {
    return accept(JobAdmissionReason::kNoObjective);
  }
  if (IsExempt(job.spec)) {
    return accept(JobAdmissionReason::kExempt);
  }
  if (report == nullptr || age < Duration::zero() ||
      age > config.max_report_age) {
    return accept(JobAdmissionReason::kNoReport);
  }
  const auto found = report->services.find(queue.service);
  if (found == report->services.end()) {
    return accept(JobAdmissionReason::kNotReported);
  }
  const auto durations = report->queues.find(queue.name);
  if (durations == report->queues.end()) {
    return accept(JobAdmissionReason::kUnknownDuration);
  }
  const ServiceLoad& service = found->second;
  const Prediction prediction = Predict(job.spec, durations->second);
  const double path = ToSeconds(prediction.path);
  const double objective =
      path * queue.critical_path_factor + ToSeconds(queue.objective);
  const double last_useful = objective * config.late_factor;
  const double age_seconds = Seconds(age).count();

  // Work before the job while it is in time, and once it is late.
  WorkByTeam ahead_in_time;
  WorkByTeam ahead_late;
  const int size_class = SizeClass(prediction.core_seconds);
  const double late_key =
      age_seconds + objective * config.late_objective_weight;
  for (const BacklogRow& row : service.backlog) {
    // Tasks that need more than this one leave gaps that it fits into.
    if (row.priority > queue.priority ||
        row.per_task.milli_cores > prediction.smallest_need.milli_cores ||
        row.per_task.memory_mb > prediction.smallest_need.memory_mb) {
      continue;
    }
    if (row.in_time &&
        (row.priority < queue.priority || row.size_class <= size_class)) {
      ahead_in_time[row.team] += row.core_seconds;
    }
    if (row.priority < queue.priority || ToSeconds(row.late_key) <= late_key) {
      ahead_late[row.team] += row.core_seconds;
    }
  }

  // Predictions that are too high show as a rate above the number of cores.
  const double speed = std::max(
      1.0, service.completion_rate / std::max(service.usable_cores, 1.0));
  const TeamLoad own = LoadOf(service, job.team);
  const auto earliest_start = [&](const WorkByTeam& ahead) {
    double time = TimeByShares(service, ahead, job.team, speed);
    if (own.limit_cores > 0) {
      time =
          std::max(time, WorkOf(ahead, job.team) / (own.limit_cores * speed));
    }
    return std::max(0.0, time - age_seconds);
  };
  const double start_in_time = earliest_start(ahead_in_time);
  const double start_late = earliest_start(ahead_late);
  const double slack_in_time = std::max(0.0, objective - path);
  const double slack_late = last_useful - path;

  result.ahead_core_seconds = Sum(ahead_late);
  result.own_ahead_core_seconds = WorkOf(ahead_late, job.team);
  result.cores = service.usable_cores;
  result.possible_cores = service.usable_cores;
  for (const ArrivingCores& added : service.arriving) {
    result.possible_cores += added.cores;
  }
  result.report_age = std::chrono::duration_cast<Milliseconds>(age);
  result.core_seconds = prediction.core_seconds;
  result.path = prediction.path;
  result.last_useful = ToMilliseconds(last_useful);
  result.earliest_start = ToMilliseconds(std::min(start_in_time, start_late));
  // The rate that callers see: what ended recently, or the usable cores while
  // too little has ended to tell.
  result.rate = std::clamp(service.completion_rate,
                           0.25 * std::max(service.usable_cores, 1.0),
                           std::max(result.possible_cores, 1.0) * speed);
  const double slowdown =
      std::max(1.0, result.possible_cores * speed / result.rate);
  result.predicted =
      ToMilliseconds(std::min(start_in_time, start_late) * slowdown + path);

  const bool may_start_in_time = start_in_time <= slack_in_time * config.margin;
  const bool may_start_late = start_late <= slack_late * config.margin;
  if (slack_late <= 0 || may_start_in_time || may_start_late) {
    return accept(JobAdmissionReason::kInTime);
  }
  const double by_limit =
      own.limit_cores > 0
          ? result.own_ahead_core_seconds / (own.limit_cores * speed) -
                age_seconds
          : 0;
  const bool limited = by_limit > slack_late * config.margin;
  if (!limited &&
      service.reserved_cores < config.saturated_share * service.usable_cores) {
    return accept(JobAdmissionReason::kNotSaturated);
  }
  result.accepted = false;
  result.reason =
      limited ? JobAdmissionReason::kTeamLimit : JobAdmissionReason::kBacklog;
  // The backlog beyond what fits before the last useful instant, at the rate at
  // which it shrinks: a caller that returns then finds it short enough. At its
  // own limit, an account's backlog shrinks at that limit.
  result.wait = (start_late - slack_late) * (limited ? 1.0 : slowdown);
  if (limited) {
    result.rate = own.limit_cores * speed;
  }
  return result;
}

JobAdmission JobAdmissionControl::OnJob(const LoadReport* report,
                                        Duration age,
                                        const AcceptedJob& job,
                                        const QueueConfig& queue,
                                        Instant now) {
  while (!this->by_return.empty() && this->by_return.begin()->first <= now) {
    this->Remove(JobId(this->by_return.begin()->second));
  }
  JobAdmission result =
      DecideJobAdmission(report, age, job, queue, this->config);
  if (result.accepted) {
    this->Remove(job.id);
    return result;
  }
  if (const auto known = this->refused.find(job.id);
      known != this->refused.end()) {
    result.retry_after =
        std::clamp(static_cast<int>(
                       std::ceil(Seconds(known->second.returns - now).count())),
                   this->config.min_retry_after, this->config.max_retry_after);
    return result;
  }
  const Account account{queue.service, job.team};
  const double before = result.reason == JobAdmissionReason::kTeamLimit
                            ? this->of_account[account]
                            : this->of_service[queue.service];
  result.wait += before / std::max(result.rate, 1e-3);
  result.retry_after = RetryAfterSeconds(result.wait, job.id, this->config);
  if (this->refused.size() < kMaxRefused) {
    const Instant returns = now + std::chrono::seconds(result.retry_after);
    this->refused[job.id] =
        Refused{returns, queue.service, job.team, result.core_seconds};
    this->by_return.emplace(returns, job.id);
    this->of_service[queue.service] += result.core_seconds;
    this->of_account[account] += result.core_seconds;
  }
  return result;
}

void JobAdmissionControl::Remove(const JobId& id) {
  const auto found = this->refused.find(id);
  if (found == this->refused.end()) {
    return;
  }
  const Refused& job = found->second;
  // The sums start again at 0 when the last job leaves, so that rounding errors
  // do not add up.
  double& service = this->of_service[job.service];
  double& account = this->of_account[Account{job.service, job.team}];
  service = std::max(0.0, service - job.core_seconds);
  account = std::max(0.0, account - job.core_seconds);
  this->by_return.erase({job.returns, id});
  this->refused.erase(found);
  if (this->refused.empty()) {
    this->of_service.clear();
    this->of_account.clear();
  }
}

}  // namespace peridot
