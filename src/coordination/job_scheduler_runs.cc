// JobScheduler: state of runs, including unanswered orders, ends of runs and
// lost endpoints.

#include <algorithm>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

namespace {

// Returns the phase of a task that has no run. An earlier run may have
// completed the task while a later one was being stopped.
TaskPhase PhaseWithoutRun(const ScheduledTask& task) {
  return task.step->job->done.Contains(task.step->occurrence, task.step->number,
                                       task.index)
             ? TaskPhase::kDone
             : TaskPhase::kWaiting;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

void JobScheduler::OnEndpoints(const std::vector<EndpointRow>& rows,
                               Instant now) {
  this->state->unnamed.clear();
  std::set<EndpointId> listed;
  for (const EndpointRow& row : rows) {
    listed.insert(row.id);
    this->OnEndpointListed(row, now);
  }
  for (const auto& [id, endpoint] : this->state->endpoints) {
    if (!listed.contains(id)) {
      this->OnEndpointUnlisted(id, now);
    }
  }
}

void JobScheduler::OnEndpointListed(const EndpointRow& row, Instant now) {
  State& state = *this->state;
  // Another writer's entry may name any service, and the address of an endpoint
  // of ours. An endpoint that is known keeps its work if its service is
  // removed.
  if (!state.fleet.services.contains(row.service) &&
      !state.endpoints.contains(row.id)) {
    state.unnamed[row.id] = row;
    return;
  }
  state.unnamed.erase(row.id);
  const auto known = state.endpoints.find(row.id);
  EndpointState* const endpoint = known == state.endpoints.end()
                                      ? state.AddEndpoint(row, now)
                                      : known->second.get();
  const bool was_listed = std::exchange(endpoint->listed, true);
  if (!was_listed) {
    endpoint->next_poll = now;
    endpoint->failed_polls = 0;
  }
  // A process writes its entry some time after its start, and the list may be
  // read anew meanwhile: the entry is that of a previous process.
  if (row.start_time_ms != 0 &&
      row.start_time_ms < endpoint->reported_start_ms) {
    return;
  }
  const bool restarted = endpoint->row.start_time_ms != 0 &&
                         row.start_time_ms != 0 &&
                         endpoint->row.start_time_ms != row.start_time_ms;
  const bool changed = !was_listed || endpoint->row != row;
  if (endpoint->row.ready && !row.ready) {
    state.LogDecision("decision=endpoint_draining endpoint=" + row.id.value);
  }
  if (endpoint->row != row) {
    state.SetRow(endpoint, row);
  }
  if (restarted) {
    state.OnEndpointRestarted(endpoint, row.start_time_ms, now);
  }
  state.CheckPreviousProcess(endpoint, now);
  if (changed) {
    for (const auto& [id, job] : endpoint->service->unfit) {
      if (!job->rank_due && state.FitsWhenIdle(*job, {endpoint})) {
        state.MarkForRanking(job);
      }
    }
  }
  EndpointId& holder = state.addresses[row.address];
  if (holder != row.id) {
    holder = row.id;
    for (const auto& [id, other] : state.endpoints) {
      if (!other->listed) {
        state.ReleaseIfAddressReused(other.get(), now);
      }
    }
  }
}

EndpointState* JobScheduler::State::AddEndpoint(const EndpointRow& row,
                                                Instant now) {
  std::unique_ptr<EndpointState>& endpoint = this->endpoints[row.id];
  endpoint = std::make_unique<EndpointState>();
  endpoint->incarnation = Incarnation(++this->last_incarnation.value);
  this->SetRow(endpoint.get(), row);
  endpoint->lapse_at = endpoint->recovery_ends = this->recovery_ends;
  endpoint->known_since = endpoint->start_known_since = now;
  this->RaiseFence(endpoint.get());
  endpoint->replaced = this->forgotten.erase(row.id) > 0;
  return endpoint.get();
}

void JobScheduler::State::CheckPreviousProcess(EndpointState* endpoint,
                                               Instant now) {
  const std::int64_t previous = endpoint->previous_start_ms;
  if (previous == 0 || endpoint->row.start_time_ms == 0) {
    return;
  }
  endpoint->previous_start_ms = 0;
  if (previous != endpoint->row.start_time_ms) {
    endpoint->replaced = true;
    this->AssumeLongestLease(endpoint, now);
  }
}

void JobScheduler::OnEndpointUnlisted(const EndpointId& id, Instant now) {
  State& state = *this->state;
  state.unnamed.erase(id);
  const auto found = state.endpoints.find(id);
  if (found == state.endpoints.end() || !found->second->listed) {
    return;
  }
  EndpointState* const endpoint = found->second.get();
  endpoint->listed = false;
  state.LogDecision("decision=endpoint_gone endpoint=" + id.value +
                    " runs=" + std::to_string(endpoint->tasks.size()));
  const auto holder = state.addresses.find(endpoint->row.address);
  if (holder != state.addresses.end() && holder->second == id) {
    state.addresses.erase(holder);
  }
  state.ReleaseIfAddressReused(endpoint, now);
}

void JobScheduler::State::ReleaseIfAddressReused(EndpointState* endpoint,
                                                 Instant now) {
  const auto holder = this->addresses.find(endpoint->row.address);
  if (holder != this->addresses.end() && holder->second != endpoint->row.id) {
    this->CloseStartsOn(endpoint->row.id);
    this->ReleaseLapsed(endpoint, "address_reused", false, now);
  }
}

void JobScheduler::State::SetRow(EndpointState* endpoint,
                                 const EndpointRow& row) {
  ServiceState* const service = &this->services[row.service];
  if (endpoint->service != service) {
    if (endpoint->service != nullptr) {
      std::erase(endpoint->service->endpoints, endpoint);
    }
    service->endpoints.push_back(endpoint);
    endpoint->service = service;
  }
  endpoint->row = row;
  this->UpdateExcluded(endpoint);
}

void JobScheduler::State::UpdateExcluded(EndpointState* endpoint) const {
  endpoint->excluded = this->zones_out.contains(endpoint->row.zone) ||
                       this->cordoned.contains(endpoint->row.id);
}

void JobScheduler::State::OnEndpointRestarted(EndpointState* endpoint,
                                              std::int64_t start_time_ms,
                                              Instant now) {
  this->LogDecision(
      "decision=endpoint_restarted endpoint=" + endpoint->row.id.value +
      " runs=" + std::to_string(endpoint->tasks.size()) +
      " next_start_time_ms=" + std::to_string(start_time_ms) + " " +
      this->DescribeLease(*endpoint, now));
  endpoint->row.start_time_ms = start_time_ms;
  endpoint->start_known_since = now;
  endpoint->reported_start_ms = 0;
  ++this->counters.endpoint_restarts;
  endpoint->incarnation = Incarnation(++this->last_incarnation.value);
  this->RaiseFence(endpoint);
  this->AssumeLongestLease(endpoint, now);
  endpoint->fenced = false;
  endpoint->replaced = true;
  endpoint->recovered = false;
  endpoint->process_ended = false;
  endpoint->has_clock = false;
  endpoint->processed = endpoint->in_pass = endpoint->recorded = 0;
  endpoint->acknowledged = 0;
  endpoint->next_poll = now;
  const std::set<ScheduledTask*> tasks = endpoint->tasks;
  for (ScheduledTask* task : tasks) {
    if (task->phase == TaskPhase::kStarting && this->WaitsForOpenStart(*task)) {
      task->overdue = false;
      continue;
    }
    // The restarted endpoint may still execute a start that got no answer; a
    // stop that arrives first prevents this. A start that was answered after
    // the last report may have been executed before or after the restart.
    const bool may_start_late = task->unanswered ||
                                task->phase == TaskPhase::kStarting ||
                                task->answered > endpoint->clock_read;
    if (may_start_late) {
      this->SetPhase(task, TaskPhase::kRunning);
      this->RequestStop(task, "endpoint_restarted", now);
    } else {
      this->ReturnToWaiting(task, "endpoint_restarted", now);
    }
  }
}

void JobScheduler::State::ReleaseLapsed(EndpointState* endpoint,
                                        const char* reason,
                                        bool may_know_ends,
                                        Instant now) {
  const std::set<ScheduledTask*> tasks = endpoint->tasks;
  std::uint64_t given_up = 0;
  for (ScheduledTask* task : tasks) {
    if (this->WaitsForOpenStart(*task)) {
      continue;
    }
    // Long-running work starts again however its run has ended.
    if (task->step->spec->long_running || !may_know_ends) {
      this->ReturnToWaiting(task, reason, now);
      ++given_up;
    }
  }
  if (given_up > 0) {
    this->counters.given_up_by_reason[reason] += given_up;
    this->LogDecision(
        "decision=runs_given_up endpoint=" + endpoint->row.id.value +
        " reason=" + reason + " runs=" + std::to_string(given_up) + " " +
        this->DescribeLease(*endpoint, now));
  }
}

std::string JobScheduler::State::DescribeLease(const EndpointState& endpoint,
                                               Instant now) const {
  const auto ms_ago = [now](Instant instant) {
    return instant == Instant{}
               ? std::string("never")
               : std::to_string(
                     std::chrono::duration_cast<Milliseconds>(now - instant)
                         .count());
  };
  return "start_time_ms=" + std::to_string(endpoint.row.start_time_ms) +
         " start_known_ms_ago=" + ms_ago(endpoint.start_known_since) +
         " report_ms_ago=" + ms_ago(endpoint.clock_read) +
         " clock_ms=" + std::to_string(endpoint.clock_ms) +
         " lease_sent_ms_ago=" + ms_ago(endpoint.lease_sent) +
         " lease_until_ms=" + std::to_string(endpoint.lease_until_ms) +
         " lapsed_ms_ago=" + ms_ago(endpoint.lapse_at) +
         " failed_polls=" + std::to_string(endpoint.failed_polls) +
         " listed=" + (endpoint.listed ? "yes" : "no");
}

OrderTarget JobScheduler::TargetOf(const EndpointId& endpoint) const {
  const auto found = this->state->endpoints.find(endpoint);
  return found == this->state->endpoints.end()
             ? OrderTarget{.endpoint = endpoint}
             : this->state->TargetOf(*found->second);
}

OrderTarget JobScheduler::State::TargetOf(const EndpointState& endpoint) const {
  return OrderTarget{endpoint.row.id, endpoint.row.address,
                     this->TokenOf(endpoint)};
}

void JobScheduler::State::RaiseFence(EndpointState* endpoint) {
  // One sequence for all endpoints: the token of an endpoint that was forgotten
  // and is listed anew is higher than those before.
  this->last_fence = std::min(this->last_fence + 1, kFencesPerEpoch - 1);
  endpoint->fence = this->last_fence;
}

FencingToken JobScheduler::State::TokenOf(const EndpointState& endpoint) const {
  return FencingToken(this->config.epoch.value * kFencesPerEpoch +
                      endpoint.fence);
}

bool JobScheduler::State::HasCurrentToken(const OrderTarget& target) const {
  const auto found = this->endpoints.find(target.endpoint);
  return found != this->endpoints.end() &&
         target.fence == this->TokenOf(*found->second);
}

bool JobScheduler::State::IsAnswerOfKnownProcess(const StartRun& order,
                                                 const OrderAnswer& answer,
                                                 Instant now) {
  const auto found = this->endpoints.find(order.target.endpoint);
  if (found == this->endpoints.end()) {
    return true;
  }
  EndpointState* const endpoint = found->second.get();
  if (order.incarnation != endpoint->incarnation) {
    // The restart became known meanwhile. The new process may have executed the
    // order as long as it is not fenced.
    if (endpoint->replaced) {
      this->AssumeLongestLease(endpoint, now);
    }
    return true;
  }
  if (answer.clock_ms && *answer.clock_ms < order.min_clock_ms) {
    this->OnOtherProcess(endpoint, *answer.clock_ms, now);
    return false;
  }
  return true;
}

void JobScheduler::State::OnOtherProcess(EndpointState* endpoint,
                                         std::int64_t clock_ms,
                                         Instant now) {
  this->LogDecision(
      "decision=clock_went_back endpoint=" + endpoint->row.id.value +
      " answered_clock_ms=" + std::to_string(clock_ms) + " " +
      this->DescribeLease(*endpoint, now));
  this->RaiseFence(endpoint);
  this->AssumeLongestLease(endpoint, now);
  endpoint->fenced = false;
  endpoint->replaced = true;
  endpoint->has_clock = false;
  endpoint->next_poll = now;
}

Milliseconds JobScheduler::State::OrdinaryLease() const {
  return std::min(this->config.endpoint_lease, this->config.endpoint_lease_max);
}

Duration JobScheduler::State::LapseBound(Milliseconds lease) const {
  // A slow clock reaches the deadline at the latest after this longer time.
  return lease + lease * this->config.clock_drift_percent / 100 +
         this->config.lapse_margin;
}

bool JobScheduler::State::HasLongLease(const EndpointState& endpoint,
                                       Instant now) const {
  return endpoint.long_lease_until >
         now + this->LapseBound(this->OrdinaryLease());
}

void JobScheduler::State::AssumeLongestLease(EndpointState* endpoint,
                                             Instant now) {
  const Instant lapse = now + this->LapseBound(this->config.endpoint_lease_max);
  endpoint->lapse_at = std::max(endpoint->lapse_at, lapse);
  if (!endpoint->recovered && now < endpoint->recovery_ends) {
    endpoint->recovery_ends = std::max(endpoint->recovery_ends, lapse);
  }
  if (this->config.endpoint_lease_max > this->OrdinaryLease()) {
    endpoint->long_lease_until = std::max(endpoint->long_lease_until, lapse);
    // A write that is under way stores an earlier instant.
    endpoint->long_lease_stored = endpoint->long_lease_taken = false;
  }
}

std::int64_t JobScheduler::State::LeaseUntil(EndpointState* endpoint,
                                             Instant now) {
  if (!endpoint->has_clock) {
    return 0;
  }
  const auto since_read =
      std::chrono::duration_cast<Milliseconds>(now - endpoint->clock_read);
  const Milliseconds offered = since_read + this->OrdinaryLease();
  endpoint->lapse_at = std::max(
      endpoint->lapse_at, endpoint->clock_read + this->LapseBound(offered));
  endpoint->lease_sent = now;
  endpoint->lease_until_ms = endpoint->clock_ms + offered.count();
  return endpoint->lease_until_ms;
}

//-----------------------------------------------------------------------------
// [SECTION] Tasks
//-----------------------------------------------------------------------------

void JobScheduler::State::SetPhase(ScheduledTask* task, TaskPhase phase) {
  if (task->phase == phase) {
    return;
  }
  const auto count = [task](TaskPhase of, int change) {
    if (of == TaskPhase::kWaiting) {
      task->step->waiting += change;
    } else if (of == TaskPhase::kStopping && task->endpoint != nullptr) {
      task->endpoint->stopping += change;
    }
  };
  count(task->phase, -1);
  count(phase, 1);
  if (task->phase == TaskPhase::kWaiting || phase == TaskPhase::kWaiting) {
    this->MarkForRanking(task->step->job);
  }
  task->phase = phase;
  if (phase == TaskPhase::kDone) {
    this->completed.push_back(NameOf(*task));
  }
}

void JobScheduler::State::Attach(ScheduledTask* task,
                                 EndpointState* endpoint,
                                 RunNumber run) {
  const StepSpec& spec = *task->step->spec;
  const TeamId& team = task->step->job->accepted.team;
  task->endpoint = endpoint;
  task->service = endpoint->service;
  task->run = run;
  endpoint->tasks.insert(task);
  endpoint->used += Reserved(spec);
  endpoint->long_running += spec.long_running ? 1 : 0;
  endpoint->best_effort += spec.best_effort ? 1 : 0;
  ++task->step->placed;
  ++task->step->job->placed;
  task->service->team_milli_cores[team] += Reserved(spec).milli_cores;
  this->team_use[team] += spec.per_task;
}

void JobScheduler::State::Detach(ScheduledTask* task) {
  if (task->endpoint == nullptr) {
    return;
  }
  const StepSpec& spec = *task->step->spec;
  const TeamId& team = task->step->job->accepted.team;
  EndpointState* const endpoint = task->endpoint;
  endpoint->tasks.erase(task);
  endpoint->used -= Reserved(spec);
  endpoint->long_running -= spec.long_running ? 1 : 0;
  endpoint->best_effort -= spec.best_effort ? 1 : 0;
  endpoint->stopping -= task->phase == TaskPhase::kStopping ? 1 : 0;
  --task->step->placed;
  --task->step->job->placed;
  task->service->team_milli_cores[team] -= Reserved(spec).milli_cores;
  this->team_use[team] -= spec.per_task;
  task->endpoint = nullptr;
  task->service = nullptr;
  task->unanswered = task->overdue = task->maybe_elsewhere = false;
  task->stop_confirmed = false;
  task->percent = -1;
  task->pace = 100;
}

void JobScheduler::State::ReturnToWaiting(ScheduledTask* task,
                                          const char* reason,
                                          Instant now) {
  this->LogDecision("decision=run_over task=" + TaskText(NameOf(*task)) +
                    " run=" + std::to_string(task->run) + " endpoint=" +
                    (task->endpoint == nullptr ? std::string("none")
                                               : task->endpoint->row.id.value) +
                    " reason=" + reason);
  this->Detach(task);
  this->SetPhase(task, PhaseWithoutRun(*task));
  task->since = now;
}

void JobScheduler::State::RequestStop(ScheduledTask* task,
                                      const char* reason,
                                      Instant now) {
  if (!MayBeRunning(*task) || task->phase == TaskPhase::kStopping) {
    return;
  }
  ++this->counters.stops_by_reason[reason];
  this->LogDecision("decision=stop task=" + TaskText(NameOf(*task)) +
                    " run=" + std::to_string(task->run) + " endpoint=" +
                    task->endpoint->row.id.value + " reason=" + reason);
  this->SetPhase(task, TaskPhase::kStopping);
  task->since = now;
  task->stop_confirmed = false;
  this->SendStop(task, now);
}

void JobScheduler::State::SendStop(ScheduledTask* task, Instant now) {
  // A stop that is not sent now is repeated like one without an answer.
  task->stop_sent = this->AddStop(StopRun{this->TargetOf(*task->endpoint),
                                          NameOf(*task), task->run})
                        ? now
                        : Instant{};
}

bool JobScheduler::State::AddStop(StopRun order) {
  // Starts take half of the limit at most, so that they do not hold up stops.
  if (this->order_bytes >= 2 * this->config.max_order_bytes) {
    return false;
  }
  this->order_bytes += kOrderBytes;
  this->actions.stops.push_back(std::move(order));
  return true;
}

void JobScheduler::State::OnOrderAnswered(std::size_t bytes) {
  this->order_bytes -= std::min(this->order_bytes, bytes);
}

Milliseconds JobScheduler::State::ExpectedDuration(
    const ScheduledStep& step) const {
  const auto found = this->durations.find(step.job->accepted.queue);
  return found == this->durations.end()
             ? step.spec->estimate
             : found->second.Predict(step.spec->estimate);
}

Milliseconds JobScheduler::State::CriticalPath(const ScheduledJob& job,
                                               bool left) const {
  Milliseconds longest{0};
  for (const auto& [number, occurrence] : job.occurrences) {
    std::vector<Milliseconds> finish(occurrence.steps.size());
    for (std::size_t i = 0; i < occurrence.steps.size(); ++i) {
      const ScheduledStep& step = occurrence.steps[i];
      Milliseconds begin{0};
      for (const int earlier : step.spec->after) {
        begin = std::max(begin, finish[earlier]);
      }
      const bool done = step.done == step.spec->task_count;
      finish[i] = begin + (left && done ? Milliseconds{0}
                                        : this->ExpectedDuration(step));
      longest = std::max(longest, finish[i]);
    }
  }
  return longest;
}

double JobScheduler::State::CoreSeconds(const ScheduledJob& job,
                                        bool left) const {
  double sum = 0;
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const ScheduledStep& step : occurrence.steps) {
      if (step.spec->long_running) {
        continue;
      }
      const auto tasks =
          static_cast<double>(step.spec->task_count - (left ? step.done : 0));
      sum +=
          tasks * static_cast<double>(step.spec->per_task.milli_cores) / 1000 *
          std::chrono::duration<double>(this->ExpectedDuration(step)).count();
    }
  }
  return sum;
}

//-----------------------------------------------------------------------------
// [SECTION] Replies
//-----------------------------------------------------------------------------

void JobScheduler::OnStartReply(const StartRun& order,
                                const OrderAnswer& answer,
                                Instant now) {
  State& state = *this->state;
  state.OnOrderAnswered(OrderBytes(order));
  OrderReply reply = answer.reply;
  ++state.counters.starts_by_reply[OrderReplyName(reply)];
  if (reply == OrderReply::kUnknown) {
    state.OnStartUnanswered(order, now);
  } else {
    state.CloseStart(order.task, order.run);
  }
  state.fenced = state.fenced || (reply == OrderReply::kFenced &&
                                  state.HasCurrentToken(order.target));
  if (!state.IsAnswerOfKnownProcess(order, answer, now) &&
      reply == OrderReply::kDone) {
    // Whether the run exists is up to the report of the new process.
    reply = OrderReply::kUnknown;
  }
  ScheduledTask* task = state.FindTask(order.task);
  if (task == nullptr || !MayBeRunning(*task) || task->run != order.run ||
      task->endpoint->row.id != order.target.endpoint) {
    return;  // the run has ended or was abandoned meanwhile
  }
  EndpointState* endpoint = task->endpoint;
  if (reply == OrderReply::kDone) {
    task->step->job->begun = true;
    task->unanswered = false;
    task->answered = now;
    if (task->phase == TaskPhase::kStarting) {
      state.SetPhase(task, TaskPhase::kRunning);
      task->since = now;
    }
    return;
  }
  if (reply == OrderReply::kUnknown) {
    task->unanswered = true;
    task->maybe_elsewhere = answer.new_connection;
    if (answer.new_connection && endpoint->failed_polls > 0) {
      state.AssumeLongestLease(endpoint, now);
    }
    endpoint->next_poll = now;
    state.LogDecision("decision=start_unanswered task=" + TaskText(order.task) +
                      " run=" + std::to_string(order.run) +
                      " endpoint=" + order.target.endpoint.value);
    return;
  }
  if (reply == OrderReply::kUnhealthy || reply == OrderReply::kNotSent ||
      reply == OrderReply::kOtherIncarnation ||
      reply == OrderReply::kBadRequest) {
    endpoint->unhealthy_until = now + state.config.unhealthy_backoff;
  }
  if (reply == OrderReply::kNoRoom) {
    endpoint->full_until = now + state.config.full_backoff;
  }
  if (reply == OrderReply::kNoTicket) {
    auto& allowed = task->step->advice.allowed;
    if (const auto ticket = allowed.find(endpoint->incarnation);
        ticket != allowed.end()) {
      ticket->second.expires = now;
      ticket->second.renew_after = now + state.config.rejected_ticket_backoff;
    }
  }
  task->avoided_endpoint = order.target.endpoint;
  state.ReturnToWaiting(task, OrderReplyName(reply), now);
}

void JobScheduler::OnStopReply(const StopRun& order,
                               OrderReply reply,
                               Instant now) {
  State& state = *this->state;
  state.OnOrderAnswered(kOrderBytes);
  state.fenced = state.fenced || (reply == OrderReply::kFenced &&
                                  state.HasCurrentToken(order.target));
  ScheduledTask* task = state.FindTask(order.task);
  if (task == nullptr || !MayBeRunning(*task) || task->run != order.run ||
      task->endpoint->row.id != order.target.endpoint) {
    return;
  }
  if (reply == OrderReply::kDone) {
    task->stop_confirmed = true;
    task->stop_answered = now;
    task->endpoint->next_poll = now;
  } else if (reply == OrderReply::kOtherIncarnation) {
    // The endpoint process that may have executed the run has exited.
    state.CloseStartsOn(order.target.endpoint);
    state.ReturnToWaiting(task, "other_life", now);
  }
}

void JobScheduler::OnPollResult(const PollEndpoint& poll,
                                const std::optional<EndpointReportRows>& report,
                                Instant sent,
                                Instant now) {
  State& state = *this->state;
  ++state.counters.polls;
  const auto found = state.endpoints.find(poll.target.endpoint);
  if (found == state.endpoints.end()) {
    return;
  }
  EndpointState* endpoint = found->second.get();
  endpoint->poll_in_flight = false;
  if (!report) {
    ++state.counters.polls_failed;
    if (++endpoint->failed_polls == 1) {
      // The next answer may be that of a new process, and a start without an
      // answer may have reached it.
      state.RaiseFence(endpoint);
      if (std::any_of(endpoint->tasks.begin(), endpoint->tasks.end(),
                      [](const ScheduledTask* task) {
                        return task->unanswered && task->maybe_elsewhere;
                      })) {
        state.AssumeLongestLease(endpoint, now);
      }
    }
    endpoint->next_poll = now + state.config.poll_retry;
    if (endpoint->failed_polls == state.config.failed_polls_to_unreachable) {
      state.LogDecision("decision=endpoint_unreachable endpoint=" +
                        endpoint->row.id.value);
    }
    return;
  }
  const std::int64_t known_start_ms = endpoint->row.start_time_ms;
  if (report->start_time_ms != 0 && report->start_time_ms < known_start_ms &&
      sent < endpoint->start_known_since) {
    // The previous process answered before it ended; the answer came late.
    endpoint->next_poll = now;
    return;
  }
  if (report->start_time_ms != 0 && known_start_ms != 0 &&
      report->start_time_ms != known_start_ms) {
    state.OnEndpointRestarted(endpoint, report->start_time_ms, now);
  } else if (known_start_ms == 0) {
    endpoint->row.start_time_ms = report->start_time_ms;
    endpoint->start_known_since = now;
  }
  endpoint->reported_start_ms = endpoint->row.start_time_ms;
  state.CheckPreviousProcess(endpoint, now);
  const bool current = state.HasCurrentToken(poll.target);
  if (report->session == poll.session) {
    endpoint->acknowledged =
        std::max(endpoint->acknowledged, poll.acknowledged);
  } else if (poll.session != 0) {
    // The connection is gone, perhaps with the process.
    state.RaiseFence(endpoint);
  }
  endpoint->session = report->session;
  endpoint->failed_polls = 0;
  if (current) {
    endpoint->fenced = true;
    if (std::exchange(endpoint->replaced, false)) {
      state.AssumeLongestLease(endpoint, now);
    }
  }
  endpoint->process_ended = false;
  endpoint->has_clock = true;
  endpoint->clock_ms = report->clock_ms;
  endpoint->clock_read = now;
  for (const RunEnd& end : report->ended) {
    if (end.number > endpoint->processed) {
      state.OnRunEnd(endpoint, end, now);
      endpoint->processed = end.number;
    }
  }
  if (!state.ended_text.empty()) {
    state.LogDecision("decision=end endpoint=" + endpoint->row.id.value +
                      " ends=" + std::exchange(state.ended_text, {}));
  }
  for (const RunningTask& row : report->running) {
    state.OnListed(endpoint, row, now);
  }
  if (report->all_ends_listed) {
    state.CloseOldStartsOn(endpoint->row.id, sent);
  }
  state.ResolveUnlistedRuns(endpoint, *report, sent, now);
  if (report->all_ends_listed) {
    endpoint->recovered = true;
    state.StopStalledTasks(endpoint, now);
  }
  // The endpoint would answer at once with the same unrecorded ends.
  endpoint->next_poll = endpoint->processed > endpoint->recorded
                            ? now + state.config.unrecorded_poll_delay
                            : now;
}

void JobScheduler::OnPollFenced(const PollEndpoint& poll, Instant now) {
  State& state = *this->state;
  state.fenced = state.fenced || state.HasCurrentToken(poll.target);
  if (const auto found = state.endpoints.find(poll.target.endpoint);
      found != state.endpoints.end()) {
    found->second->poll_in_flight = false;
    found->second->next_poll = now;
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Endpoint reports
//-----------------------------------------------------------------------------

void JobScheduler::State::OnListed(EndpointState* endpoint,
                                   const RunningTask& row,
                                   Instant now) {
  this->CloseStart(row.task, row.run);
  ScheduledTask* task = this->FindReportedTask(row.task, now);
  if (task == nullptr || task->phase == TaskPhase::kDone ||
      (MayBeRunning(*task) &&
       (task->endpoint != endpoint || task->run != row.run))) {
    // The run is not needed: its job is final, or another run is the current
    // one. The next report lists it again.
    this->AddStop(StopRun{this->TargetOf(*endpoint), row.task, row.run});
    return;
  }
  task->step->job->begun = true;
  if (!MayBeRunning(*task)) {
    // Started by a previous owner, or by a start order that took effect late.
    this->LogDecision("decision=adopt task=" + TaskText(row.task) +
                      " run=" + std::to_string(row.run) +
                      " endpoint=" + endpoint->row.id.value);
    this->Attach(task, endpoint, row.run);
    this->SetPhase(task, TaskPhase::kRunning);
    task->since = now;
    if (task->step->job->cancelled || IsFinal(task->step->job->decided)) {
      this->RequestStop(task, "job_final", now);
    }
  }
  if (task->phase == TaskPhase::kStarting) {
    this->SetPhase(task, TaskPhase::kRunning);
    task->since = now;
  }
  if (task->unanswered) {
    task->unanswered = task->overdue = false;
    task->answered = now;
  }
  if (!row.checkpoint.empty()) {
    task->checkpoint = row.checkpoint;
  }
  if (row.percent != task->percent) {
    task->percent = row.percent;
    task->percent_changed = now;
  }
  task->recent = row.recent;
}

void JobScheduler::State::ResolveUnlistedRuns(EndpointState* endpoint,
                                              const EndpointReportRows& report,
                                              Instant sent,
                                              Instant now) {
  std::set<std::pair<TaskName, RunNumber>> listed;
  for (const RunningTask& row : report.running) {
    listed.emplace(row.task, row.run);
  }
  const std::set<ScheduledTask*> tasks = endpoint->tasks;
  for (ScheduledTask* task : tasks) {
    if (listed.contains({NameOf(*task), task->run})) {
      continue;
    }
    if (!report.all_ends_listed) {
      continue;  // its end may be among those that the report does not list
    }
    if (task->phase == TaskPhase::kStopping) {
      // After a confirmed stop the endpoint refuses a run that had not started.
      if (task->stop_confirmed && task->stop_answered <= sent) {
        this->ReturnToWaiting(task, "stopped", now);
      }
    } else if (task->unanswered && this->WaitsForOpenStart(*task)) {
      if (!std::exchange(task->overdue, true)) {
        this->LogDecision(
            "decision=start_overdue task=" + TaskText(NameOf(*task)) + " run=" +
            std::to_string(task->run) + " endpoint=" + endpoint->row.id.value);
      }
    } else if (task->unanswered) {
      this->RequestStop(task, "start_unanswered", now);
    } else if (task->phase == TaskPhase::kRunning && task->answered <= sent &&
               task->since <= sent) {
      // Confirmed before the poll and in neither list: the endpoint has lost
      // the record of its end.
      this->ReturnToWaiting(task, "not_listed", now);
    }
  }
}

void JobScheduler::State::OnRunEnd(EndpointState* endpoint,
                                   const RunEnd& end,
                                   Instant now) {
  ++this->counters.ends_by_kind[EndKindName(end.kind)];
  this->CloseStart(end.task, end.run);
  ScheduledTask* task = this->FindReportedTask(end.task, now);
  this->ended_text += (this->ended_text.empty() ? "" : ",") +
                      std::to_string(end.number) + ":" + TaskText(end.task) +
                      ":" + std::to_string(end.run) + ":" +
                      EndKindName(end.kind);
  if (task == nullptr || task->phase == TaskPhase::kDone) {
    return;
  }
  ScheduledJob* job = task->step->job;
  job->begun = true;
  const bool current = task->endpoint == endpoint && task->run == end.run;
  if (MayBeRunning(*task) && !current) {
    if (end.kind == EndKind::kFailed && !task->step->spec->long_running) {
      this->CountFailure(task, end.run, endpoint, now);
    }
    if (end.kind != EndKind::kDone) {
      return;
    }
    // An earlier run has completed the task: the later one is not needed.
    this->RequestStop(task, "done_elsewhere", now);
  }
  if (!end.checkpoint.empty()) {
    task->checkpoint = end.checkpoint;
    job->checkpoints[end.task] = end.checkpoint;
    this->MarkTaskDirty(job, end.task);
  }
  if (current) {
    if (end.kind == EndKind::kDone) {
      this->LearnDuration(*task, now);
    }
    this->Detach(task);
    this->SetPhase(task, PhaseWithoutRun(*task));
    task->since = now;
  }
  if (task->phase == TaskPhase::kDone) {
    return;  // was being stopped: an earlier run had completed the task
  }
  if (task->step->spec->long_running) {
    return;  // restarted regardless of how the run ended
  }
  if (end.kind == EndKind::kDone) {
    endpoint->failures_in_row = 0;
    ScheduledStep* step = task->step;
    ScheduledOccurrence& occurrence = job->occurrences.at(step->occurrence);
    if (step->spec->gang) {
      // The completion of one member completes the whole gang.
      for (int index = 0; index < step->spec->task_count; ++index) {
        this->Complete(step, index, task);
      }
    } else {
      this->Complete(step, task->index, task);
    }
    job->occurrence_ended = job->occurrence_ended || occurrence.open_tasks == 0;
    this->UpdateReadySteps(job, &occurrence, now);
    this->FinishIfDone(job);
    return;
  }
  if (end.kind == EndKind::kFailed) {
    this->CountFailure(task, end.run, endpoint, now);
  }
}

void JobScheduler::State::Complete(ScheduledStep* step,
                                   int index,
                                   const ScheduledTask* ended) {
  ScheduledJob* const job = step->job;
  if (!job->done.Insert(step->occurrence, step->number, index)) {
    return;
  }
  ++step->done;
  --job->open_tasks;
  --job->occurrences.at(step->occurrence).open_tasks;
  if (!step->spec->long_running) {
    this->completed_core_seconds[this->ServiceOf(*job)] +=
        static_cast<double>(Reserved(*step->spec).milli_cores) / 1000 *
        std::chrono::duration<double>(step->expected).count();
  }
  const TaskName name{job->accepted.id, step->occurrence, step->number, index};
  job->checkpoints.erase(name);
  job->failures.erase(name);
  this->MarkTaskDirty(job, name);
  ScheduledTask* const task = FindTracked(step, index);
  if (task == nullptr) {
    --step->waiting;
    this->MarkForRanking(job);
    return;
  }
  if (task != ended && MayBeRunning(*task)) {
    this->Detach(task);
  }
  // A later run that is being stopped holds its reservation until it ends.
  if (!MayBeRunning(*task)) {
    this->SetPhase(task, TaskPhase::kDone);
  }
}

void JobScheduler::State::CountFailure(ScheduledTask* task,
                                       RunNumber run,
                                       EndpointState* endpoint,
                                       Instant now) {
  ScheduledJob* job = task->step->job;
  std::set<RunNumber>& failed = job->failures[NameOf(*task)];
  if (!failed.insert(run).second) {
    return;  // already counted: the end was listed again
  }
  task->avoided_endpoint = endpoint->row.id;
  if (endpoint->last_failed_job != job->accepted.id) {
    endpoint->last_failed_job = job->accepted.id;
    ++endpoint->failures_in_row;
  }
  if (endpoint->failures_in_row >= this->config.failures_to_quarantine) {
    endpoint->quarantine_until = now + this->config.quarantine;
    endpoint->failures_in_row = this->config.failures_to_quarantine - 1;
    this->LogDecision("decision=quarantine endpoint=" + endpoint->row.id.value);
  }
  this->MarkTaskDirty(job, NameOf(*task));
  const QueueConfig* queue = this->QueueOf(*job);
  if (IsFinal(job->decided) || queue == nullptr ||
      static_cast<int>(failed.size()) < queue->max_attempts) {
    return;
  }
  this->Decide(job, JobState::kFailed);
  this->LogDecision("decision=fail job=" + job->accepted.id.value +
                    " task=" + TaskText(NameOf(*task)) +
                    " attempts=" + std::to_string(failed.size()));
  this->StopAll(job, "job_failed", now);
}

void JobScheduler::State::StopStalledTasks(EndpointState* endpoint,
                                           Instant now) {
  const std::set<ScheduledTask*> tasks = endpoint->tasks;
  for (ScheduledTask* task : tasks) {
    if (task->phase != TaskPhase::kRunning || task->percent < 0 ||
        task->step->spec->long_running || task->step->spec->best_effort) {
      continue;
    }
    const auto limit = std::max<Duration>(
        this->config.stall_timeout,
        Milliseconds(static_cast<std::int64_t>(
            this->config.stall_factor *
            static_cast<double>(this->ExpectedDuration(*task->step).count()))));
    if (now - task->percent_changed > this->config.stall_timeout &&
        now - task->since > limit) {
      task->avoided_endpoint = endpoint->row.id;
      endpoint->unhealthy_until = now + this->config.quarantine;
      this->RequestStop(task, "stalled", now);
    }
  }
}

}  // namespace peridot
