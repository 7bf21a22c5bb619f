// Member definitions of Dispatcher. Include dispatcher.h instead.

#ifndef SRC_COORDINATION_DISPATCHER_INTERNAL_H_
#define SRC_COORDINATION_DISPATCHER_INTERNAL_H_

#include <algorithm>
#include <functional>
#include <limits>
#include <string>
#include <utility>

#include "src/coordination/dispatcher.h"

namespace peridot {

// Whether the block is a property of the task, not of the endpoint or of the
// present moment.
inline bool IsTaskBlock(StartBlock block) {
  return block == StartBlock::kKeyUnknown || block == StartBlock::kKeyMissing ||
         block == StartBlock::kKeyWrongTeam ||
         block == StartBlock::kUnknownQueue || block == StartBlock::kDeadline;
}

inline SlotUse SlotUseOf(AttemptReply reply) {
  switch (reply) {
    case AttemptReply::kDone:
      return SlotUse::kSucceeded;
    case AttemptReply::kFailed:
      return SlotUse::kFailed;
    case AttemptReply::kNeverStarted:
    case AttemptReply::kNotSent:
      return SlotUse::kRefused;
    case AttemptReply::kStopped:
    case AttemptReply::kNoAnswer:
      return SlotUse::kUnused;
  }
  return SlotUse::kUnused;
}

inline SlotUse SlotUseOf(FenceReply reply) {
  switch (reply) {
    case FenceReply::kDone:
      return SlotUse::kSucceeded;
    case FenceReply::kFailed:
      return SlotUse::kFailed;
    case FenceReply::kNeverStarted:
      return SlotUse::kRefused;
    case FenceReply::kRunning:
    case FenceReply::kStopped:
    case FenceReply::kUnknown:
    case FenceReply::kNoAnswer:
      return SlotUse::kUnused;
  }
  return SlotUse::kUnused;
}

template <SettingsView Settings, PermitPool Permits>
Dispatcher<Settings, Permits>::Dispatcher(const Settings* settings,
                                          Permits* permits,
                                          std::string name,
                                          DispatcherConfig config)
    : settings(settings),
      permits(permits),
      name(std::move(name)),
      config(config),
      retries(std::hash<std::string>{}(this->name)) {}

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

template <SettingsView Settings, PermitPool Permits>
StartBlock Dispatcher<Settings, Permits>::OnSubmit(const TaskSpec& spec,
                                                   Instant now) {
  const StartBlock block = this->CheckAdmission(spec, now);
  if (block != StartBlock::kNone) {
    return block;
  }
  const QueueSettings& queue = *this->settings->FindQueue(spec.queue.value);
  Task task{spec,
            TaskExecution(spec.idempotent, static_cast<int>(queue.max_attempts),
                          spec.deadline),
            now};
  const auto [found, added] = this->tasks.try_emplace(spec.id, std::move(task));
  if (added) {
    this->deadlines.emplace(spec.deadline, spec.id);
    this->Enqueue(&found->second);
  }
  return StartBlock::kNone;
}

template <SettingsView Settings, PermitPool Permits>
StartBlock Dispatcher<Settings, Permits>::CheckAdmission(const TaskSpec& spec,
                                                         Instant now) const {
  if (this->shutting_down) {
    return StartBlock::kShuttingDown;
  }
  const QueueSettings* queue = this->settings->FindQueue(spec.queue.value);
  if (queue == nullptr) {
    return StartBlock::kUnknownQueue;
  }
  const StartBlock caller = this->CheckCaller(spec, *queue);
  if (caller != StartBlock::kNone) {
    return caller;
  }
  if (now >= spec.deadline) {
    return StartBlock::kDeadline;
  }
  const auto found = this->waiting.find(spec.queue);
  const bool full = found != this->waiting.end() &&
                    found->second.size() >= this->config.max_waiting;
  return full ? StartBlock::kQueueFull : StartBlock::kNone;
}

template <SettingsView Settings, PermitPool Permits>
StartBlock Dispatcher<Settings, Permits>::CheckCaller(
    const TaskSpec& spec,
    const QueueSettings& queue) const {
  if (queue.open) {
    return StartBlock::kNone;
  }
  if (spec.key.value.empty()) {
    return StartBlock::kKeyMissing;
  }
  const TeamId* team = this->settings->TeamOfKey(spec.key);
  if (team == nullptr) {
    return StartBlock::kKeyUnknown;
  }
  return *team == queue.team ? StartBlock::kNone : StartBlock::kKeyWrongTeam;
}

//-----------------------------------------------------------------------------
// [SECTION] Starting
//-----------------------------------------------------------------------------

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnGrant(const SlotGrant& grant,
                                            Instant now) {
  if (!this->UseGrant(grant, now)) {
    this->waiting_grants.push_back(grant);
  }
}

// Returns false if the grant has to wait for a lease on its endpoint.
template <SettingsView Settings, PermitPool Permits>
bool Dispatcher<Settings, Permits>::UseGrant(const SlotGrant& grant,
                                             Instant now) {
  // A task whose intent is being committed is not in the waiting list, so each
  // task is offered at most one slot at a time.
  if (!this->waiting.contains(grant.queue)) {
    this->ReturnGrant(grant, SlotUse::kUnused);
    return true;
  }
  constexpr int kMaxCandidates = 16;
  std::int64_t position = std::numeric_limits<std::int64_t>::min();
  for (int offered = 0; offered < kMaxCandidates; ++offered) {
    Task* task = this->NextWaiting(grant.queue, &position);
    if (task == nullptr) {
      break;
    }
    if (this->TryStart(task, grant, now)) {
      return true;
    }
    const StartBlock block = task->last_block;
    const bool wait = block == StartBlock::kEndpointLease ||
                      block == StartBlock::kEndpointNotProven;
    if (wait && now < grant.expires) {
      return false;
    }
    const bool of_task = IsTaskBlock(block);
    if (of_task && task->execution.WhetherRan() == Ran::kNo) {
      this->Finish(task, block);
    }
    if (!of_task && block != StartBlock::kNoSlot) {
      break;
    }
  }
  this->ReturnGrant(grant, SlotUse::kRefused);
  return true;
}

// Returns the first task of the queue at or after *position and advances
// *position past it. Tasks that have ended are no longer in the list.
template <SettingsView Settings, PermitPool Permits>
typename Dispatcher<Settings, Permits>::Task*
Dispatcher<Settings, Permits>::NextWaiting(const QueueId& queue,
                                           std::int64_t* position) {
  const auto list = this->waiting.find(queue);
  if (list == this->waiting.end()) {
    return nullptr;
  }
  const auto next = list->second.lower_bound(*position);
  if (next == list->second.end()) {
    return nullptr;
  }
  *position = next->first + 1;
  return &this->tasks.at(next->second);
}

template <SettingsView Settings, PermitPool Permits>
bool Dispatcher<Settings, Permits>::TryStart(Task* task,
                                             const SlotGrant& grant,
                                             Instant now) {
  const auto& failed_endpoints = task->execution.FailedEndpoints();
  if (std::find(failed_endpoints.begin(), failed_endpoints.end(),
                grant.endpoint) != failed_endpoints.end()) {
    task->last_block = StartBlock::kNoSlot;
    return false;
  }
  task->last_block = this->CheckStart(task->spec, grant, now);
  if (task->last_block != StartBlock::kNone) {
    return false;
  }
  const TeamId team = this->settings->FindQueue(grant.queue.value)->team;
  if (!this->permits->TryAcquire(team)) {
    task->last_block = StartBlock::kTeamLimit;
    return false;
  }
  this->Dequeue(task);
  const AttemptId attempt = this->NextAttemptId();
  const EndpointLease& lease = this->leases.at(grant.endpoint);
  this->in_flight.emplace(
      attempt,
      InFlight{task->spec.id, grant.endpoint, team, lease.Report()->lease,
               lease.Report()->boot, grant, false, this->next_attempt});
  ++this->attempts_by_endpoint[grant.endpoint];
  if (task->attempts++ == 0) {
    this->retries.OnFirstAttempt(team);
  }
  task->execution.OnStart(attempt, grant.endpoint);
  if (task->spec.journaled && !task->spec.idempotent) {
    task->intent_pending = true;
    this->actions.push_back(RecordIntent{task->spec.id, attempt, grant.endpoint,
                                         lease.Report()->boot});
    return true;
  }
  this->SendAttempt(task, attempt, now);
  return true;
}

// Runs the checks that every start must pass. Returns the reason of the first
// check that fails, or kNone.
template <SettingsView Settings, PermitPool Permits>
StartBlock Dispatcher<Settings, Permits>::CheckStart(const TaskSpec& spec,
                                                     const SlotGrant& grant,
                                                     Instant now) const {
  if (now >= spec.deadline) {
    return StartBlock::kDeadline;
  }
  if (now >= this->settings->ProofExpiry()) {
    return StartBlock::kSettingsStale;
  }
  const QueueSettings* queue = this->settings->FindQueue(spec.queue.value);
  if (queue == nullptr) {
    return StartBlock::kUnknownQueue;
  }
  const StartBlock caller = this->CheckCaller(spec, *queue);
  if (caller != StartBlock::kNone) {
    return caller;
  }
  if (!this->settings->IsZoneIn(grant.zone.value)) {
    return StartBlock::kZoneOut;
  }
  const auto lease = this->leases.find(grant.endpoint);
  if (lease == this->leases.end()) {
    return StartBlock::kEndpointLease;
  }
  switch (lease->second.CheckStart(now, spec.idempotent)) {
    case LeaseRefusal::kNone:
      return StartBlock::kNone;
    case LeaseRefusal::kNoLease:
      return StartBlock::kEndpointLease;
    case LeaseRefusal::kLeaving:
      return StartBlock::kEndpointLeaving;
    case LeaseRefusal::kNoRecentAnswer:
      return StartBlock::kEndpointNotProven;
  }
  return StartBlock::kEndpointLease;
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnIntentRecorded(const TaskId& id,
                                                     bool committed,
                                                     Instant now) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end() || !found->second.intent_pending) {
    return;
  }
  Task& task = found->second;
  task.intent_pending = false;
  const AttemptId attempt = task.execution.CurrentAttempt();
  const InFlight& flight = this->in_flight.at(attempt);
  // Time has passed since the first check, so every check runs again.
  task.last_block = committed ? this->CheckStart(task.spec, flight.grant, now)
                              : StartBlock::kSettingsStale;
  // Another daemon may have fenced the attempt under the recorded boot. The
  // endpoint loses its fences when it restarts, so the attempt must not be sent
  // to a later boot.
  const auto lease = this->leases.find(flight.endpoint);
  if (task.last_block == StartBlock::kNone &&
      lease->second.Report()->boot != flight.boot) {
    task.last_block = StartBlock::kEndpointLease;
  }
  if (task.last_block == StartBlock::kNone && !task.execution.IsCancelled()) {
    this->SendAttempt(&task, attempt, now);
    return;
  }
  this->EndAttempt(attempt, SlotUse::kRefused);
  this->Apply(&task, attempt,
              task.execution.OnReply(attempt, AttemptReply::kNotSent, now),
              now);
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::SendAttempt(Task* task,
                                                const AttemptId& attempt,
                                                Instant /*now*/) {
  InFlight& flight = this->in_flight.at(attempt);
  const EndpointLease& lease = this->leases.at(flight.endpoint);
  const QueueSettings* queue =
      this->settings->FindQueue(task->spec.queue.value);
  flight.sent = true;
  flight.lease = lease.Report()->lease;
  flight.boot = lease.Report()->boot;
  this->actions.push_back(
      StartAttempt{task->spec.id, attempt, flight.endpoint,
                   lease.Report()->lease, flight.boot, flight.permit_team,
                   lease.NotAfterUs(std::min(this->settings->ProofExpiry(),
                                             task->spec.deadline)),
                   queue->run_time, task->spec.idempotent});
}

//-----------------------------------------------------------------------------
// [SECTION] Outcomes
//-----------------------------------------------------------------------------

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnReply(const TaskId& id,
                                            const AttemptId& attempt,
                                            AttemptReply reply,
                                            Instant now) {
  const bool ended = reply != AttemptReply::kNoAnswer;
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    this->OnOrphanReply(attempt, ended);
    return;
  }
  if (!this->in_flight.contains(attempt)) {
    return;
  }
  Task& task = found->second;
  const TaskStep step = task.execution.OnReply(attempt, reply, now);
  if (step == TaskStep::kFence) {
    this->FenceLater(&task, attempt, Duration::zero());
    return;
  }
  if (ended) {
    this->EndAttempt(attempt, SlotUseOf(reply));
  }
  this->Apply(&task, attempt, step, now);
}

// An unreachable endpoint has stopped the attempt once its lease has certainly
// lapsed. Whether the attempt ran before that is unknown.
template <SettingsView Settings, PermitPool Permits>
FenceReply Dispatcher<Settings, Permits>::EffectiveFenceReply(
    const AttemptId& attempt,
    FenceReply reply,
    Instant now) const {
  const auto found = this->in_flight.find(attempt);
  if (reply != FenceReply::kNoAnswer || found == this->in_flight.end()) {
    return reply;
  }
  const auto lease = this->leases.find(found->second.endpoint);
  const bool stopped = lease != this->leases.end() &&
                       lease->second.IsProvenStopped(found->second.lease, now);
  return stopped ? FenceReply::kUnknown : reply;
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnFence(const TaskId& id,
                                            const AttemptId& attempt,
                                            FenceReply answer,
                                            Instant now) {
  const FenceReply reply = this->EffectiveFenceReply(attempt, answer, now);
  const bool ended =
      reply != FenceReply::kRunning && reply != FenceReply::kNoAnswer;
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    this->OnOrphanReply(attempt, ended);
    return;
  }
  if (!this->in_flight.contains(attempt)) {
    return;
  }
  Task& task = found->second;
  const TaskStep step = task.execution.OnFence(attempt, reply, now);
  if (step == TaskStep::kFence) {
    this->FenceLater(&task, attempt, this->config.fence_interval);
    return;
  }
  if (ended) {
    this->EndAttempt(attempt, SlotUseOf(reply));
  }
  this->Apply(&task, attempt, step, now);
}

template <SettingsView Settings, PermitPool Permits>
bool Dispatcher<Settings, Permits>::OnCancel(const TaskId& id, Instant now) {
  const auto found = this->tasks.find(id);
  if (found == this->tasks.end()) {
    return false;
  }
  Task& task = found->second;
  const TaskStep step = task.execution.OnCancel();
  if (task.execution.HasAttempt() && !task.intent_pending) {
    this->actions.push_back(StopAttempt{task.execution.CurrentAttempt(),
                                        task.execution.CurrentEndpoint()});
  }
  this->Apply(&task, AttemptId(), step, now);
  return true;
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::Apply(Task* task,
                                          const AttemptId& attempt,
                                          TaskStep step,
                                          Instant now) {
  switch (step) {
    case TaskStep::kWait:
      return;
    case TaskStep::kFence:
      this->FenceLater(task, attempt, this->config.fence_interval);
      return;
    case TaskStep::kRetry:
      this->Retry(task, attempt, now);
      return;
    case TaskStep::kFinish:
      this->Finish(task, task->last_block);
      return;
  }
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::FenceLater(Task* task,
                                               const AttemptId& attempt,
                                               Duration delay) {
  const InFlight& flight = this->in_flight.at(attempt);
  this->actions.push_back(FenceAttempt{task->spec.id, attempt, flight.endpoint,
                                       flight.boot, delay});
}

// The task has ended for its caller while its attempt may still be running. The
// attempt keeps its permit and its slot until its end is confirmed.
template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnOrphanReply(const AttemptId& attempt,
                                                  bool ended) {
  const auto found = this->in_flight.find(attempt);
  if (found == this->in_flight.end()) {
    return;
  }
  if (ended) {
    this->EndAttempt(attempt, SlotUse::kUnused);
    return;
  }
  const InFlight& flight = found->second;
  this->actions.push_back(FenceAttempt{flight.task, attempt, flight.endpoint,
                                       flight.boot,
                                       this->config.fence_interval});
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::EndAttempt(const AttemptId& attempt,
                                               SlotUse use) {
  const auto found = this->in_flight.find(attempt);
  if (found == this->in_flight.end()) {
    return;
  }
  this->permits->Release(found->second.permit_team);
  this->ReturnGrant(found->second.grant, use);
  const auto count = this->attempts_by_endpoint.find(found->second.endpoint);
  if (--count->second == 0) {
    this->attempts_by_endpoint.erase(count);
  }
  this->in_flight.erase(found);
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnQueueBlocked(const QueueId& queue,
                                                   StartBlock block) {
  if (block == StartBlock::kNone) {
    this->blocked_queues.erase(queue);
    return;
  }
  this->blocked_queues[queue] = block;
}

template <SettingsView Settings, PermitPool Permits>
StartBlock Dispatcher<Settings, Permits>::BlockOf(const Task& task) const {
  const auto found = this->blocked_queues.find(task.spec.queue);
  return task.last_block == StartBlock::kNoSlot &&
                 found != this->blocked_queues.end()
             ? found->second
             : task.last_block;
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnStopExcess(const TeamId& team,
                                                 std::int64_t count) {
  std::vector<std::pair<std::uint64_t, AttemptId>> running;
  for (const auto& [attempt, flight] : this->in_flight) {
    if (flight.permit_team == team && flight.sent) {
      running.emplace_back(flight.number, attempt);
    }
  }
  std::sort(running.rbegin(), running.rend());
  for (const auto& [number, attempt] : running) {
    if (count-- <= 0) {
      return;
    }
    this->actions.push_back(
        StopAttempt{attempt, this->in_flight.at(attempt).endpoint});
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Time
//-----------------------------------------------------------------------------

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnTick(Instant now) {
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const TaskId id = this->deadlines.begin()->second;
    this->deadlines.erase(this->deadlines.begin());
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end()) {
      continue;
    }
    Task& task = found->second;
    if (task.intent_pending) {
      // The attempt was not sent and never will be.
      task.intent_pending = false;
      const AttemptId attempt = task.execution.CurrentAttempt();
      this->EndAttempt(attempt, SlotUse::kUnused);
      task.execution.OnReply(attempt, AttemptReply::kNotSent, now);
    }
    if (task.execution.HasAttempt()) {
      this->actions.push_back(StopAttempt{task.execution.CurrentAttempt(),
                                          task.execution.CurrentEndpoint()});
    }
    task.execution.OnDeadline();
    this->Finish(&task, this->BlockOf(task));
  }
  while (!this->delayed.empty() && this->delayed.begin()->first <= now) {
    const TaskId id = this->delayed.begin()->second;
    this->delayed.erase(this->delayed.begin());
    const auto found = this->tasks.find(id);
    if (found != this->tasks.end() && found->second.delayed) {
      found->second.delayed = false;
      this->Enqueue(&found->second);
    }
  }
  const std::vector<SlotGrant> pending =
      std::exchange(this->waiting_grants, {});
  for (const SlotGrant& grant : pending) {
    this->OnGrant(grant, now);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Queues
//-----------------------------------------------------------------------------

// A task that ran and failed takes a retry from the budget of its team. A task
// that never started only waits for the delay, since it used no time of an
// endpoint.
template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::Retry(Task* task,
                                          const AttemptId& ended,
                                          Instant now) {
  const QueueSettings* queue =
      this->settings->FindQueue(task->spec.queue.value);
  const bool ran = task->execution.WhetherRan() != Ran::kNo;
  if (ran && (queue == nullptr || !this->retries.TryRetry(queue->team))) {
    task->execution.OnDeadline();
    this->Finish(task, StartBlock::kRetryBudget);
    return;
  }
  task->delayed = true;
  if (task->spec.journaled && !task->spec.idempotent) {
    this->actions.push_back(RecordAttemptEnd{task->spec.id, ended, !ran});
  }
  this->delayed.emplace(now + this->retries.Delay(task->attempts - 1),
                        task->spec.id);
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::Enqueue(Task* task) {
  // A retried task is queued before the tasks that were submitted after it.
  const bool again = task->execution.WhetherRan() != Ran::kNo ||
                     !task->execution.FailedEndpoints().empty();
  WaitingList& list = this->waiting[task->spec.queue];
  std::int64_t key = this->next_queue_position++;
  if (again && !list.empty()) {
    key = list.begin()->first - 1;
  }
  while (list.contains(key)) {
    --key;
  }
  list.emplace(key, task->spec.id);
  task->queue_position = key;
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::Dequeue(Task* task) {
  if (!task->queue_position) {
    return;
  }
  const auto list = this->waiting.find(task->spec.queue);
  list->second.erase(*task->queue_position);
  if (list->second.empty()) {
    this->waiting.erase(list);
  }
  task->queue_position.reset();
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::Finish(Task* task, StartBlock block) {
  this->Dequeue(task);
  TaskOutcome outcome = task->execution.Outcome();
  if (outcome == TaskOutcome::kNone) {
    outcome = TaskOutcome::kNotRun;
  }
  this->actions.push_back(
      FinishTask{task->spec.id, outcome, task->execution.WhetherRan(), block});
  this->tasks.erase(task->spec.id);
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::ReturnGrant(const SlotGrant& grant,
                                                SlotUse use) {
  this->actions.push_back(
      ReturnSlot{grant.owner, grant.token, grant.team, use});
}

template <SettingsView Settings, PermitPool Permits>
AttemptId Dispatcher<Settings, Permits>::NextAttemptId() {
  return AttemptId(this->name + "." + std::to_string(this->next_attempt++));
}

//-----------------------------------------------------------------------------
// [SECTION] Lookups
//-----------------------------------------------------------------------------

template <SettingsView Settings, PermitPool Permits>
EndpointLease& Dispatcher<Settings, Permits>::LeaseOf(
    const EndpointId& endpoint) {
  return this->leases[endpoint];
}

template <SettingsView Settings, PermitPool Permits>
void Dispatcher<Settings, Permits>::OnEndpointGone(const EndpointId& endpoint) {
  if (!this->UsesEndpoint(endpoint)) {
    this->leases.erase(endpoint);
  }
}

template <SettingsView Settings, PermitPool Permits>
std::int64_t Dispatcher<Settings, Permits>::Waiting(
    const QueueId& queue) const {
  const auto found = this->waiting.find(queue);
  return found == this->waiting.end()
             ? 0
             : static_cast<std::int64_t>(found->second.size());
}

template <SettingsView Settings, PermitPool Permits>
Duration Dispatcher<Settings, Permits>::LongestWait(const QueueId& queue,
                                                    Instant now) const {
  const auto found = this->waiting.find(queue);
  if (found == this->waiting.end() || found->second.empty()) {
    return Duration::zero();
  }
  return now - this->tasks.at(found->second.begin()->second).submitted;
}

template <SettingsView Settings, PermitPool Permits>
std::vector<QueueId> Dispatcher<Settings, Permits>::QueuesWithDemand() const {
  std::vector<QueueId> queues;
  queues.reserve(this->waiting.size());
  for (const auto& [queue, list] : this->waiting) {
    queues.push_back(queue);
  }
  return queues;
}

template <SettingsView Settings, PermitPool Permits>
bool Dispatcher<Settings, Permits>::UsesEndpoint(
    const EndpointId& endpoint) const {
  const auto for_endpoint = [&](const SlotGrant& grant) {
    return grant.endpoint == endpoint;
  };
  return this->attempts_by_endpoint.contains(endpoint) ||
         std::any_of(this->waiting_grants.begin(), this->waiting_grants.end(),
                     for_endpoint);
}

template <SettingsView Settings, PermitPool Permits>
StartBlock Dispatcher<Settings, Permits>::LastBlock(const TaskId& id) const {
  const auto found = this->tasks.find(id);
  return found == this->tasks.end() ? StartBlock::kNone
                                    : found->second.last_block;
}

}  // namespace peridot

#endif  // SRC_COORDINATION_DISPATCHER_INTERNAL_H_
