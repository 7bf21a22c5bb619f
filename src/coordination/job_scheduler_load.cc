// JobScheduler: report of the load, for the admission of jobs.

#include <algorithm>
#include <chrono>
#include <cmath>
#include <tuple>
#include <utility>

#include "src/coordination/job_admission.h"
#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

namespace {

// Rows of a service, about 100 bytes each. The largest ones are kept: a report
// that is too small leads to acceptance.
constexpr std::size_t kMaxRows = 1000;

// Resolution of BacklogRow::late_key.
constexpr std::int64_t kLateKeyUnitMs = 100;

double Cores(const Resources& resources) {
  return static_cast<double>(resources.milli_cores) / 1000;
}

// Tasks that are bound to some of the endpoints may wait while others are free,
// so they do not hold up the work behind them.
bool HoldsUpOthers(const StepSpec& spec) {
  return !spec.long_running && !spec.best_effort && !spec.gang &&
         spec.required_label.empty() && spec.per_task.accelerators == 0;
}

using RowKey = std::
    tuple<TeamId, int, bool, int, std::int64_t, std::int64_t, std::int64_t>;

std::vector<BacklogRow> LargestRows(
    const std::map<RowKey, double>& core_seconds) {
  std::vector<BacklogRow> rows;
  rows.reserve(core_seconds.size());
  for (const auto& [key, sum] : core_seconds) {
    const auto& [team, priority, in_time, size_class, milli_cores, memory_mb,
                 late_key] = key;
    rows.push_back(BacklogRow{
        .team = team,
        .priority = priority,
        .in_time = in_time,
        .size_class = size_class,
        .per_task = {.milli_cores = milli_cores, .memory_mb = memory_mb},
        .late_key = Milliseconds(late_key * kLateKeyUnitMs),
        .core_seconds = sum});
  }
  if (rows.size() > kMaxRows) {
    std::nth_element(rows.begin(), rows.begin() + kMaxRows, rows.end(),
                     [](const BacklogRow& a, const BacklogRow& b) {
                       return a.core_seconds > b.core_seconds;
                     });
    rows.resize(kMaxRows);
  }
  return rows;
}

}  // namespace

LoadReport JobScheduler::Load(Instant now) const {
  const State& state = *this->state;
  LoadReport report;
  for (const auto& [id, config] : state.fleet.services) {
    if (!config.spare && !state.unrecovered.contains(id)) {
      report.services[id];
    }
  }
  for (const auto& [name, queue] : state.fleet.queues) {
    const auto found = state.durations.find(name);
    if (found == state.durations.end() || !found->second.Learned()) {
      continue;
    }
    // Predict() is proportional to the square root of the estimate.
    constexpr Milliseconds kEstimate{1'000'000};
    const double predicted =
        static_cast<double>(found->second.Predict(kEstimate).count());
    if (predicted > 0) {
      report.queues[name].ms_per_root_ms =
          predicted / std::sqrt(static_cast<double>(kEstimate.count()));
    }
  }

  std::map<ServiceId, std::map<RowKey, double>> core_seconds;
  for (const ScheduledJob* job : state.active) {
    const bool in_time = job->rank.urgency == Urgency::kInTime;
    if (IsFinal(job->decided) || job->queued_in == nullptr || job->unfit ||
        (!in_time && job->rank.urgency != Urgency::kLate) ||
        !report.queues.contains(job->accepted.queue)) {
      continue;
    }
    const QueueConfig* const queue = state.QueueOf(*job);
    const Instant late_at =
        in_time ? job->arrived + std::chrono::duration_cast<Duration>(
                                     state.config.late_objective_weight *
                                     std::chrono::duration<double>(
                                         state.CompletionObjective(*job)))
                : job->rank.key;
    // Rounded up, so that no work counts before a job that it comes after.
    const double late_units = std::ceil(
        std::chrono::duration<double, std::milli>(late_at - now).count() /
        static_cast<double>(kLateKeyUnitMs));
    const int size_class =
        in_time ? SizeClass(state.CoreSeconds(*job, true)) : 0;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const ScheduledStep& step : occurrence.steps) {
        if (step.waiting == 0 || step.ready_since == kNever ||
            !HoldsUpOthers(*step.spec)) {
          continue;
        }
        const RowKey key{job->accepted.team,
                         queue == nullptr ? 0 : queue->priority,
                         in_time,
                         size_class,
                         step.spec->per_task.milli_cores,
                         step.spec->per_task.memory_mb,
                         static_cast<std::int64_t>(late_units)};
        core_seconds[state.ServiceOf(*job)][key] +=
            step.waiting * Cores(step.spec->per_task) *
            std::chrono::duration<double>(step.expected).count();
      }
    }
  }

  for (const auto& [id, endpoint] : state.endpoints) {
    const auto found = report.services.find(endpoint->row.service);
    if (found == report.services.end() || !endpoint->listed) {
      continue;
    }
    const double cores = Cores(endpoint->row.capacity);
    if (state.Usable(*endpoint, now)) {
      found->second.usable_cores += cores;
      found->second.reserved_cores += Cores(endpoint->used);
    } else {
      found->second.arriving.push_back(ArrivingCores{cores, Milliseconds(0)});
    }
  }
  for (auto& [id, load] : report.services) {
    load.backlog = LargestRows(core_seconds[id]);
    std::set<TeamId> teams;
    for (const BacklogRow& row : load.backlog) {
      teams.insert(row.team);
    }
    const auto service = state.services.find(id);
    if (service != state.services.end()) {
      for (const auto& [team, milli_cores] : service->second.team_milli_cores) {
        if (milli_cores > 0) {
          load.teams[team].running_cores =
              static_cast<double>(milli_cores) / 1000;
        }
      }
    }
    for (const TeamId& team : teams) {
      load.teams[team];
    }
    for (auto& [team, team_load] : load.teams) {
      const auto config = state.fleet.teams.find(team);
      if (config != state.fleet.teams.end()) {
        // A share of 0 would divide by zero.
        team_load.weight = std::max(config->second.weight, 1e-3);
        team_load.limit_cores = Cores(config->second.limit);
      }
    }
  }
  return report;
}

const std::map<ServiceId, double>& JobScheduler::CompletedCoreSeconds() const {
  return this->state->completed_core_seconds;
}

}  // namespace peridot
