// JobScheduler: explanations of waiting jobs, pace control of best-effort work,
// and polls of endpoints.

#include <algorithm>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

Resources FreeResources(const EndpointState& endpoint) {
  Resources room = endpoint.row.capacity;
  room -= endpoint.used;
  return room;
}

bool HasLabel(const EndpointState& endpoint, const std::string& label) {
  return std::find(endpoint.row.labels.begin(), endpoint.row.labels.end(),
                   label) != endpoint.row.labels.end();
}

//-----------------------------------------------------------------------------
// [SECTION] Why a job waits
//-----------------------------------------------------------------------------

const ScheduledStep* FirstReadyStep(const ScheduledJob& job) {
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const ScheduledStep& step : occurrence.steps) {
      if (step.ready_since != kNever && step.waiting > 0) {
        return &step;
      }
    }
  }
  return nullptr;
}

std::optional<WaitingTask> FirstWaitingTask(const ScheduledStep& step) {
  if (step.waiting == 0) {
    return std::nullopt;
  }
  const auto named = [&step](int index) {
    return TaskName{step.job->accepted.id, step.occurrence, step.number, index};
  };
  for (int index = step.first_open; index < step.spec->task_count; ++index) {
    const auto tracked = step.tracked.find(index);
    if (tracked != step.tracked.end()) {
      const ScheduledTask& task = tracked->second;
      if (task.phase == TaskPhase::kWaiting) {
        return WaitingTask{named(index), task.since, task.waits_for_place};
      }
    } else if (!step.job->done.Contains(step.occurrence, step.number, index)) {
      return WaitingTask{named(index), Instant{}, step.place_waits > 0};
    }
  }
  return std::nullopt;
}

std::string JobScheduler::ExplainWait(const JobId& id, Instant now) const {
  const State& state = *this->state;
  const ScheduledJob* job = this->state->FindJob(id);
  const ScheduledStep* ready = job == nullptr ? nullptr : FirstReadyStep(*job);
  if (ready == nullptr || IsFinal(job->decided)) {
    return {};
  }
  const ScheduledStep& step = *ready;
  const std::optional<WaitingTask> task = FirstWaitingTask(step);
  if (!task) {
    return {};
  }
  const QueueConfig* queue = state.QueueOf(*job);
  const ServiceId service = state.ServiceOf(*job);
  int listed = 0;
  int usable = 0;
  int with_room = 0;
  int accepting = 0;
  int refused = 0;
  for (const auto& [name, endpoint] : state.endpoints) {
    if (endpoint->row.service != service) {
      continue;
    }
    ++listed;
    if (!state.Usable(*endpoint, now)) {
      continue;
    }
    ++usable;
    with_room += Reserved(*step.spec).FitsIn(FreeResources(*endpoint)) ? 1 : 0;
    accepting += state.Accepts(*endpoint, step, queue, now) ? 1 : 0;
    refused += IsRefused(step, *endpoint) ? 1 : 0;
  }
  const bool within_limit =
      state.WithinTeamLimit(job->accepted.team, step.spec->per_task);
  const char* constraint = "order";
  if (!state.may_start) {
    constraint = "no_lease";
  } else if (job->version > state.startable) {
    constraint = "not_recorded";
  } else if (!state.IsMoveStored(*job)) {
    constraint = "move_not_recorded";
  } else if (state.MayRunUnseen(*job)) {
    constraint = "takeover";
  } else if (!within_limit) {
    constraint = "team_limit";
  } else if (usable == 0) {
    constraint = "no_usable_endpoint";
  } else if (with_room == 0) {
    constraint = "room";
  } else if (accepting == 0 && queue != nullptr && queue->needs_advice) {
    constraint = "advice";
  } else if (accepting == 0) {
    constraint = "placement";
  } else if (state.HasOpenStart(task->name)) {
    constraint = "open_start";
  } else if (task->waits_for_place) {
    constraint = "preferred_place";
  }
  const auto used = state.team_use.find(job->accepted.team);
  const auto failed = job->failures.find(task->name);
  return "job=" + id.value + " task=" + TaskText(task->name) +
         " constraint=" + constraint + " queue=" + job->accepted.queue +
         " service=" + service.value + " endpoints=" + std::to_string(listed) +
         " usable=" + std::to_string(usable) +
         " with_room=" + std::to_string(with_room) +
         " accepting=" + std::to_string(accepting) +
         " advice_refused=" + std::to_string(refused) +
         " team=" + job->accepted.team.value + " team_milli_cores=" +
         std::to_string(
             used == state.team_use.end() ? 0 : used->second.milli_cores) +
         " failures=" +
         std::to_string(failed == job->failures.end() ? 0
                                                      : failed->second.size()) +
         state.ExplainPlaceWait(step, now);
}

std::vector<JobId> JobScheduler::WaitingSince(Instant instant) const {
  std::vector<JobId> waiting;
  for (const ScheduledJob* job : this->state->active) {
    if (IsFinal(job->decided)) {
      continue;
    }
    const ScheduledStep* step = FirstReadyStep(*job);
    if (step == nullptr || step->ready_since >= instant) {
      continue;
    }
    const std::optional<WaitingTask> task = FirstWaitingTask(*step);
    if (task && task->since < instant) {
      waiting.push_back(job->accepted.id);
    }
  }
  return waiting;
}

//-----------------------------------------------------------------------------
// [SECTION] Pace and polls
//-----------------------------------------------------------------------------

void JobScheduler::State::AdjustPace(Instant now) {
  for (auto& [id, endpoint] : this->endpoints) {
    if (endpoint->best_effort == 0) {
      continue;
    }
    bool over_target = false;
    bool well_below_target = true;
    for (const ScheduledTask* task : endpoint->tasks) {
      const Milliseconds target = task->step->spec->target_tail;
      if (target.count() == 0 || task->percent < 0 ||
          task->step->spec->best_effort) {
        continue;
      }
      const auto tail = static_cast<double>(task->recent);
      const auto goal = static_cast<double>(target.count());
      over_target = over_target || tail > this->config.pace_down_at * goal;
      well_below_target =
          well_below_target && tail < this->config.pace_up_at * goal;
    }
    for (ScheduledTask* task : endpoint->tasks) {
      if (!task->step->spec->best_effort ||
          task->phase != TaskPhase::kRunning ||
          now - task->pace_changed_at < this->config.pace_interval) {
        continue;
      }
      int pace = task->pace;
      if (over_target) {
        pace = pace > 25 ? pace / 2 : 0;
      } else if (well_below_target) {
        pace = std::min(100, pace + 20);
      }
      if (pace == task->pace) {
        continue;
      }
      task->pace = pace;
      task->pace_changed_at = now;
      this->LogDecision("decision=pace task=" + TaskText(NameOf(*task)) +
                        " endpoint=" + id.value +
                        " percent=" + std::to_string(pace));
      this->actions.paces.push_back(
          PaceRun{this->TargetOf(*endpoint), NameOf(*task), task->run, pace});
    }
  }
}

void JobScheduler::State::SendPolls(bool renew, Instant now) {
  for (auto& [id, endpoint] : this->endpoints) {
    const bool needed = endpoint->listed || !endpoint->tasks.empty();
    if (endpoint->poll_in_flight || !needed || endpoint->next_poll > now) {
      continue;
    }
    const bool best_effort = endpoint->best_effort > 0;
    bool latency_critical = false;
    bool needs_answer = false;
    for (const ScheduledTask* task : endpoint->tasks) {
      latency_critical =
          latency_critical || task->step->spec->target_tail.count() > 0;
      needs_answer = needs_answer || (task->unanswered && !task->overdue) ||
                     task->stop_confirmed;
    }
    PollEndpoint poll;
    poll.target = this->TargetOf(*endpoint);
    // Sent until a poll with it was answered only: a call without an answer may
    // reach the endpoint's next process, in which the number means other ends.
    poll.acknowledged =
        endpoint->recorded > endpoint->acknowledged ? endpoint->recorded : 0;
    poll.session = endpoint->session;
    // An endpoint that left the list or does not answer gets no renewal, so
    // that its work lapses and can restart elsewhere.
    poll.lease_until_ms = renew && endpoint->listed &&
                                  endpoint->failed_polls == 0 &&
                                  !endpoint->lapse_stored
                              ? this->LeaseUntil(endpoint.get(), now)
                              : 0;
    if (endpoint->fenced && !needs_answer) {
      poll.wait = best_effort && latency_critical ? this->config.paced_poll_wait
                                                  : this->config.poll_wait;
    }
    endpoint->poll_in_flight = true;
    this->actions.polls.push_back(poll);
  }
}

int JobScheduler::State::UnavailableTasks(const ScheduledStep& step,
                                          Instant now) const {
  int away = step.spec->task_count;
  for (const auto& [index, task] : step.tracked) {
    // An endpoint without a recent report may have lost its work.
    const bool at_work =
        task.phase == TaskPhase::kRunning && task.percent >= 100 &&
        task.endpoint->failed_polls == 0 && task.endpoint->listed &&
        now - task.endpoint->clock_read < this->config.max_report_age;
    away -= at_work ? 1 : 0;
  }
  return away;
}

bool JobScheduler::State::IsStarved(const ScheduledStep& step,
                                    Instant now) const {
  if (step.ready_since == kNever ||
      now - step.ready_since < this->config.starved_after) {
    return false;
  }
  const std::optional<WaitingTask> waiting = FirstWaitingTask(step);
  if (!waiting ||
      now - std::max(step.ready_since, waiting->since) <
          this->config.starved_after ||
      !this->WithinTeamLimit(step.job->accepted.team, step.spec->per_task)) {
    return false;
  }
  const auto service = this->services.find(this->ServiceOf(*step.job));
  if (service == this->services.end()) {
    return true;
  }
  // An endpoint whose ticket is still to be requested may accept the step.
  return std::none_of(
      service->second.endpoints.begin(), service->second.endpoints.end(),
      [&](const EndpointState* endpoint) {
        return this->Usable(*endpoint, now) &&
               this->HasRoomFor(*endpoint, step) && !IsRefused(step, *endpoint);
      });
}

}  // namespace peridot
