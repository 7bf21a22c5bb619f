// JobScheduler: start orders that an endpoint may still execute.
//
// An order without an answer may be executed seconds later, also by a process
// of the endpoint that has started since and knows neither fencing tokens nor
// stops. Until the order is too old, a task that must run once starts nowhere
// else.

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

void JobScheduler::State::OnStartUnanswered(const StartRun& order,
                                            Instant now) {
  const auto found = this->open_starts.find({order.task, order.run});
  if (found == this->open_starts.end()) {
    return;  // the run has been listed meanwhile
  }
  found->second.until =
      now + this->config.late_order_limit + this->config.lapse_margin;
  this->open_starts_check =
      std::min(this->open_starts_check, found->second.until);
}

void JobScheduler::State::CloseStart(const TaskName& task, RunNumber run) {
  this->open_starts.erase({task, run});
}

void JobScheduler::State::CloseStartsOn(const EndpointId& endpoint) {
  std::erase_if(this->open_starts, [&endpoint](const auto& entry) {
    return entry.second.endpoint == endpoint;
  });
}

void JobScheduler::State::RemoveExpiredStarts(Instant now) {
  if (now < this->open_starts_check) {
    return;
  }
  this->open_starts_check = kNever;
  for (auto entry = this->open_starts.begin();
       entry != this->open_starts.end();) {
    OpenStart& start = entry->second;
    if (start.until <= now && !start.may_run && !this->HasEnded(start)) {
      // It may have been executed at the last moment, for the longest lease.
      // The next report shows that.
      start.may_run = true;
      start.until += this->LapseBound(this->config.endpoint_lease_max);
    }
    if (start.until <= now) {
      entry = this->open_starts.erase(entry);
      continue;
    }
    this->open_starts_check = std::min(this->open_starts_check, start.until);
    ++entry;
  }
}

bool JobScheduler::State::HasEnded(const OpenStart& start) const {
  const auto found = this->endpoints.find(start.endpoint);
  return found == this->endpoints.end() || found->second->process_ended;
}

void JobScheduler::State::CloseOldStartsOn(const EndpointId& endpoint,
                                           Instant sent) {
  const Duration lapse = this->LapseBound(this->config.endpoint_lease_max);
  std::erase_if(this->open_starts, [&](const auto& entry) {
    const OpenStart& start = entry.second;
    return start.may_run && start.endpoint == endpoint &&
           sent >= start.until - lapse;
  });
}

bool JobScheduler::State::HasOpenStart(const TaskName& task) const {
  const auto found = this->open_starts.lower_bound({task, RunNumber{0}});
  return found != this->open_starts.end() && found->first.first == task;
}

bool JobScheduler::State::HasOpenStart(const ScheduledStep& step) const {
  const TaskName first = FirstTaskOf(step);
  const auto found = this->open_starts.lower_bound({first, RunNumber{0}});
  if (found == this->open_starts.end()) {
    return false;
  }
  const TaskName& task = found->first.first;
  return task.job == first.job && task.occurrence == first.occurrence &&
         task.step == first.step;
}

bool JobScheduler::State::HasOpenStartOn(const EndpointId& endpoint) const {
  return std::any_of(this->open_starts.begin(), this->open_starts.end(),
                     [&endpoint](const auto& entry) {
                       return entry.second.endpoint == endpoint;
                     });
}

bool JobScheduler::State::WaitsForOpenStart(const ScheduledTask& task) const {
  // A long-running task never completes, so that it may start again at once on
  // the same endpoint: the restart that lets the order through ends that run.
  return !task.step->spec->long_running && !IsFinal(task.step->job->decided) &&
         this->HasOpenStart(NameOf(task));
}

std::vector<ScheduledJob*> JobScheduler::State::LongRunningWithOpenStarts(
    const ServiceState& service) const {
  std::vector<ScheduledJob*> waiting;
  if (this->open_starts_check == kNever) {
    return waiting;  // no order is without an answer
  }
  for (const auto& [run, start] : this->open_starts) {
    if (start.until == kNever) {
      continue;
    }
    const auto found = this->jobs.find(run.first.job);
    if (found == this->jobs.end() ||
        (!waiting.empty() && waiting.back() == found->second.get())) {
      continue;
    }
    ScheduledJob* const job = found->second.get();
    const std::vector<StepSpec>& steps = job->accepted.spec.steps;
    const auto step = static_cast<std::size_t>(run.first.step);
    if (job->queued_in == &service && step < steps.size() &&
        steps[step].long_running) {
      waiting.push_back(job);
    }
  }
  return waiting;
}

std::vector<EndpointState*> JobScheduler::State::PlacesBesideOpenStarts(
    const TaskName& task,
    const StepSpec& spec,
    const std::vector<EndpointState*>& usable,
    Instant now) const {
  std::vector<EndpointState*> places;
  if (!spec.long_running) {
    return places;
  }
  places = usable;
  for (auto entry = this->open_starts.lower_bound({task, RunNumber{0}});
       entry != this->open_starts.end() && entry->first.first == task;
       ++entry) {
    const EndpointId& holder = entry->second.endpoint;
    const auto found = this->endpoints.find(holder);
    if (found == this->endpoints.end()) {
      continue;
    }
    const EndpointState& endpoint = *found->second;
    // Long-running work must not wait for longer than the lease of an endpoint
    // that does not answer, nor for one that gets no new work.
    const bool lapsed = (!endpoint.listed || endpoint.failed_polls > 0) &&
                        endpoint.lapse_at <= now;
    if (lapsed || endpoint.process_ended || endpoint.excluded ||
        !endpoint.row.ready || endpoint.quarantine_until > now) {
      continue;
    }
    std::erase_if(places, [&holder](const EndpointState* place) {
      return place->row.id != holder;
    });
  }
  return places;
}

std::map<EndpointId, std::vector<UnansweredStart>>
JobScheduler::State::TakeUnansweredStarts(Instant now) {
  std::map<EndpointId, std::vector<UnansweredStart>> unanswered;
  for (auto& [run, start] : this->open_starts) {
    start.taken = this->IsToRecord(start, now);
    if (start.taken) {
      const Instant until = start.until != kNever
                                ? start.until
                                : start.sent + this->config.order_call_limit +
                                      this->config.late_order_limit +
                                      this->config.lapse_margin;
      unanswered[start.endpoint].push_back(UnansweredStart{
          run.first, run.second,
          std::chrono::duration_cast<Milliseconds>(until - now).count(),
          start.may_run});
    }
  }
  return unanswered;
}

bool JobScheduler::State::IsToRecord(const OpenStart& start,
                                     Instant now) const {
  return start.until != kNever || now - start.sent >= this->config.slow_answer;
}

bool JobScheduler::HasUnstoredStarts(Instant now) const {
  return std::any_of(this->state->open_starts.begin(),
                     this->state->open_starts.end(), [&](const auto& entry) {
                       return !entry.second.stored &&
                              this->state->IsToRecord(entry.second, now);
                     });
}

}  // namespace peridot
