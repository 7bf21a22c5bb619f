#include "src/coordination/job_scheduler.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

namespace {

// Bound on the decisions buffered between two TakeDecisions() calls; later ones
// are dropped.
constexpr std::size_t kMaxDecisions = 2000;

// Maximum time between two Advance() calls without input, so that timeouts
// expire.
constexpr Milliseconds kTick{100};

}  // namespace

const char* OrderReplyName(OrderReply reply) {
  switch (reply) {
    case OrderReply::kDone:
      return "done";
    case OrderReply::kFenced:
      return "fenced";
    case OrderReply::kOldRun:
      return "old_run";
    case OrderReply::kLate:
      return "late";
    case OrderReply::kNoRoom:
      return "no_room";
    case OrderReply::kNoTicket:
      return "no_ticket";
    case OrderReply::kUnhealthy:
      return "unhealthy";
    case OrderReply::kOtherIncarnation:
      return "other_life";
    case OrderReply::kNotSent:
      return "not_sent";
    case OrderReply::kBadRequest:
      return "bad_request";
    case OrderReply::kUnknown:
      return "unknown";
  }
  return "unknown";
}

TaskName NameOf(const ScheduledTask& task) {
  return TaskName{task.step->job->accepted.id, task.step->occurrence,
                  task.step->number, task.index};
}

TaskName FirstTaskOf(const ScheduledStep& step) {
  return TaskName{step.job->accepted.id, step.occurrence, step.number, 0};
}

std::string TaskText(const TaskName& name) {
  return name.job.value + "." + std::to_string(name.occurrence) + "." +
         std::to_string(name.step) + "." + std::to_string(name.index);
}

Resources Reserved(const StepSpec& spec) {
  Resources reserved = spec.per_task;
  if (spec.best_effort) {
    reserved.milli_cores = 0;
  }
  return reserved;
}

//-----------------------------------------------------------------------------
// [SECTION] Construction
//-----------------------------------------------------------------------------

JobScheduler::JobScheduler(JobSchedulerConfig config, Instant now)
    : state(std::make_unique<State>()) {
  this->state->config = config;
  this->state->started = now;
  this->state->recovery_ends =
      now + this->state->LapseBound(this->state->OrdinaryLease());
}

JobScheduler::~JobScheduler() = default;
JobScheduler::JobScheduler(JobScheduler&&) noexcept = default;
JobScheduler& JobScheduler::operator=(JobScheduler&&) noexcept = default;

//-----------------------------------------------------------------------------
// [SECTION] Inputs from the store
//-----------------------------------------------------------------------------

void JobScheduler::OnFleetConfig(FleetConfig config) {
  State& state = *this->state;
  // Jobs of a removed queue run on under its last configuration.
  std::map<std::string, QueueConfig> removed;
  for (const ScheduledJob* job : state.active) {
    const QueueConfig* const queue = state.QueueOf(*job);
    if (queue != nullptr && !config.queues.contains(job->accepted.queue)) {
      removed.emplace(job->accepted.queue, *queue);
    }
  }
  state.removed_queues = std::move(removed);
  state.fleet = std::move(config);
  // Queues may have moved to other services or changed their priorities.
  for (ScheduledJob* job : state.active) {
    state.MarkForRanking(job);
  }
}

void JobScheduler::OnJob(AcceptedJob job,
                         RowVersion version,
                         bool before_takeover,
                         Milliseconds age,
                         Instant now) {
  State& state = *this->state;
  if (!job.closed_as) {
    state.newest_job = std::max(state.newest_job, version);
  }
  if (state.FindJob(job.id) != nullptr || state.final_jobs.contains(job.id)) {
    return;
  }
  const JobId id = job.id;
  if (job.closed_as) {
    const auto progress = state.earlier.find(id);
    if (progress == state.earlier.end() ||
        progress->second.stored.blocks.Empty()) {
      state.earlier.erase(id);
      state.AddFinalJob(id, *job.closed_as, now);
      return;
    }
  }
  auto owned = std::make_unique<ScheduledJob>();
  ScheduledJob* added = owned.get();
  added->accepted = std::move(job);
  added->version = version;
  added->arrived = now - age;
  added->before_takeover = before_takeover;
  state.jobs.emplace(id, std::move(owned));
  const auto earlier = state.earlier.find(id);
  if (earlier != state.earlier.end()) {
    EarlierProgress& progress = earlier->second;
    added->decided = added->recorded = progress.state;
    added->stored = std::move(progress.stored);
    added->next_occurrence = progress.completed_occurrences;
    added->recorded_occurrences = progress.completed_occurrences;
    added->done = std::move(progress.done);
    added->failures = std::move(progress.failures);
    added->checkpoints = std::move(progress.checkpoints);
    state.earlier.erase(earlier);
    State::ForgetRecordedOccurrences(added);
  }
  if (added->accepted.closed_as) {
    added->decided = added->recorded = *added->accepted.closed_as;
    added->closed = true;
  }
  if (IsFinal(added->decided)) {
    added->active = false;
    added->recorded_at = now;
    added->accepted.spec = JobSpec{};
    state.UpdateHeldBytes(added);
    if (!added->closed) {
      state.closable.push_back(added);
    }
    return;
  }
  if (state.QueueOf(*added) == nullptr && added->accepted.max_attempts > 0) {
    const AcceptedJob& accepted = added->accepted;
    state.removed_queues[accepted.queue] =
        QueueConfig{.name = accepted.queue,
                    .service = accepted.service,
                    .max_attempts = accepted.max_attempts};
  }
  added->begun = !added->done.Empty() || !added->failures.empty() ||
                 added->recorded_occurrences > 0;
  state.MoveToOwnRows(added);
  added->active_index = state.active.size();
  state.active.push_back(added);
  if (added->accepted.spec.occurrences > 0) {
    state.recurring.push_back(added);
  }
  state.UpdateHeldBytes(added);
  state.AddDueOccurrences(added, now);
  state.arrivals[state.ServiceOf(*added)].OnArrival(
      added->arrived, state.CoreSeconds(*added, false));
  if (state.cancelled_early.erase(id) > 0) {
    this->OnCancel(id, now);
  }
  state.FinishIfDone(added);
}

void JobScheduler::OnStartable(RowVersion up_to) {
  this->state->startable = std::max(this->state->startable, up_to);
}

RowVersion JobScheduler::NewestJob() const {
  return this->state->newest_job;
}

bool JobScheduler::HasHeldJobs() const {
  return this->state->newest_job > this->state->startable;
}

void JobScheduler::OnProgress(const JobProgress& progress) {
  EarlierProgress& earlier = this->state->earlier[progress.id];
  earlier.stored.Insert(progress.block);
  if (progress.block.main) {
    earlier.state = progress.state;
    earlier.completed_occurrences = progress.completed_occurrences;
  }
  for (const TaskName& task : progress.done) {
    earlier.done.Insert(task.occurrence, task.step, task.index);
  }
  for (const auto& [task, runs] : progress.failures) {
    earlier.failures[task].insert(runs.begin(), runs.end());
  }
  for (const auto& [task, checkpoint] : progress.checkpoints) {
    // The main row of a job with many tasks is older than the others, if a
    // previous version has written tasks there.
    std::string& known = earlier.checkpoints[task];
    if (known.empty() || !progress.block.main) {
      known = checkpoint;
    }
  }
}

void JobScheduler::OnCancel(const JobId& id, Instant now) {
  State& state = *this->state;
  ScheduledJob* job = state.FindJob(id);
  if (job == nullptr) {
    if (!state.final_jobs.contains(id)) {
      state.cancelled_early.insert(id);
    }
    return;
  }
  if (job->cancelled || IsFinal(job->decided)) {
    return;
  }
  job->cancelled = true;
  state.Decide(job, JobState::kCancelled);
  state.LogDecision("decision=cancel job=" + id.value);
  state.StopAll(job, "cancelled", now);
}

void JobScheduler::OnWallClock(std::int64_t unix_ms, Instant now) {
  const auto steady =
      std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
  this->state->wall_offset_ms = unix_ms - steady;
}

void JobScheduler::OnZonesOut(std::set<ZoneId> zones) {
  this->state->zones_out = std::move(zones);
  for (const auto& [id, endpoint] : this->state->endpoints) {
    this->state->UpdateExcluded(endpoint.get());
  }
}

void JobScheduler::OnCordoned(std::set<EndpointId> endpoints) {
  if (endpoints == this->state->cordoned) {
    return;
  }
  this->state->cordoned = std::move(endpoints);
  for (const auto& [id, endpoint] : this->state->endpoints) {
    this->state->UpdateExcluded(endpoint.get());
  }
}

void JobScheduler::Evict(const EndpointId& endpoint, Instant now) {
  State& state = *this->state;
  const auto found = state.endpoints.find(endpoint);
  if (found == state.endpoints.end()) {
    return;
  }
  const std::set<ScheduledTask*> tasks = found->second->tasks;
  for (ScheduledTask* task : tasks) {
    const StepSpec& spec = *task->step->spec;
    // A task with an open start may not start elsewhere yet.
    if (!spec.long_running || task->phase == TaskPhase::kStopping ||
        state.HasOpenStart(NameOf(*task))) {
      continue;
    }
    // Without a stated limit, one task may be unavailable at a time.
    const int allowed = spec.max_unavailable >= 0 ? spec.max_unavailable : 1;
    const int away = state.UnavailableTasks(*task->step, now);
    const bool at_work =
        task->phase == TaskPhase::kRunning && task->percent >= 100;
    if (away + (at_work ? 1 : 0) <= allowed) {
      state.RequestStop(task, "host_leaves", now);
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Jobs
//-----------------------------------------------------------------------------

ScheduledJob* JobScheduler::State::FindJob(const JobId& id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

ScheduledStep* JobScheduler::State::FindStep(const JobId& job_id,
                                             int occurrence,
                                             int step) {
  ScheduledJob* job = this->FindJob(job_id);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->occurrences.find(occurrence);
  if (found == job->occurrences.end()) {
    return nullptr;
  }
  std::vector<ScheduledStep>& steps = found->second.steps;
  return step >= 0 && step < static_cast<int>(steps.size()) ? &steps[step]
                                                            : nullptr;
}

ScheduledTask* JobScheduler::State::FindTask(const TaskName& name) {
  ScheduledStep* step = this->FindStep(name.job, name.occurrence, name.step);
  return step == nullptr ? nullptr : FindTracked(step, name.index);
}

ScheduledTask* JobScheduler::State::FindTracked(ScheduledStep* step,
                                                int index) {
  const auto found = step->tracked.find(index);
  return found == step->tracked.end() ? nullptr : &found->second;
}

ScheduledTask JobScheduler::State::NewTask(ScheduledStep* step,
                                           int index) const {
  ScheduledTask task;
  task.step = step;
  task.index = index;
  task.run = FirstRun(this->config.epoch);
  const std::map<TaskName, std::string>& checkpoints = step->job->checkpoints;
  if (!checkpoints.empty()) {
    if (const auto found = checkpoints.find(NameOf(task));
        found != checkpoints.end()) {
      task.checkpoint = found->second;
    }
  }
  return task;
}

ScheduledTask* JobScheduler::State::Track(ScheduledTask task) {
  ScheduledStep* const step = task.step;
  const int index = task.index;
  ++this->tracked_tasks;
  return &step->tracked.emplace(index, std::move(task)).first->second;
}

void JobScheduler::State::Untrack(ScheduledStep* step, int index) {
  this->tracked_tasks -= step->tracked.erase(index);
}

void JobScheduler::State::OnRemoved(const ScheduledOccurrence& occurrence) {
  for (const ScheduledStep& step : occurrence.steps) {
    this->tracked_tasks -= step.tracked.size();
  }
}

void JobScheduler::State::UntrackCompleted() {
  for (const TaskName& name : std::exchange(this->completed, {})) {
    const ScheduledTask* task = this->FindTask(name);
    if (task != nullptr && task->phase == TaskPhase::kDone &&
        !MayBeRunning(*task)) {
      this->Untrack(task->step, name.index);
    }
  }
}

bool JobScheduler::State::IsDone(const ScheduledStep& step, int index) {
  return step.job->done.Contains(step.occurrence, step.number, index);
}

ScheduledTask* JobScheduler::State::FindReportedTask(const TaskName& name,
                                                     Instant now) {
  ScheduledJob* job = this->FindJob(name.job);
  if (job != nullptr && job->active && !IsFinal(job->decided) &&
      name.occurrence >= job->next_occurrence &&
      name.occurrence < std::max(1, job->accepted.spec.occurrences) &&
      name.occurrence - CompletedOccurrences(*job) <
          this->config.max_occurrence_span) {
    this->AddOccurrence(job, name.occurrence, now);
  }
  ScheduledStep* step = this->FindStep(name.job, name.occurrence, name.step);
  if (step == nullptr || name.index < 0 ||
      name.index >= step->spec->task_count) {
    return nullptr;
  }
  if (ScheduledTask* task = FindTracked(step, name.index)) {
    return task;
  }
  return IsDone(*step, name.index) ? nullptr
                                   : Track(this->NewTask(step, name.index));
}

const QueueConfig* JobScheduler::State::QueueOf(const ScheduledJob& job) const {
  const std::string& name = job.accepted.queue;
  if (const auto found = this->fleet.queues.find(name);
      found != this->fleet.queues.end()) {
    return &found->second;
  }
  const auto removed = this->removed_queues.find(name);
  return removed == this->removed_queues.end() ? nullptr : &removed->second;
}

ServiceId JobScheduler::State::ServiceOf(const ScheduledJob& job) const {
  const QueueConfig* queue = this->QueueOf(job);
  return queue == nullptr ? job.accepted.service : queue->service;
}

Instant JobScheduler::State::DueAt(const ScheduledJob& job,
                                   int occurrence) const {
  const JobSpec& spec = job.accepted.spec;
  if (spec.occurrences == 0) {
    return job.arrived;
  }
  // Later times exceed the range of Instant, which counts nanoseconds.
  constexpr std::int64_t kMaxUnixMs = 9'000'000'000'000;
  const std::int64_t first = std::max<std::int64_t>(spec.first_due_ms, 0);
  if (first > kMaxUnixMs ||
      (occurrence > 0 &&
       spec.interval_ms > (kMaxUnixMs - first) / occurrence)) {
    return kNever;
  }
  return Instant(Milliseconds(first + occurrence * spec.interval_ms -
                              this->wall_offset_ms));
}

std::size_t JobScheduler::State::OpenOccurrenceLimit(
    const ScheduledJob& job) const {
  const std::vector<StepSpec>& steps = job.accepted.spec.steps;
  const auto tasks =
      std::accumulate(steps.begin(), steps.end(), std::size_t{0},
                      [](std::size_t sum, const StepSpec& step) {
                        return sum + static_cast<std::size_t>(step.task_count);
                      });
  return std::clamp<std::size_t>(
      this->config.max_open_tasks / std::max<std::size_t>(1, tasks), 1,
      this->config.max_open_occurrences);
}

int JobScheduler::State::CompletedOccurrences(const ScheduledJob& job) {
  return job.occurrences.empty()
             ? job.next_occurrence
             : std::min(job.next_occurrence, job.occurrences.begin()->first);
}

bool JobScheduler::State::HasMainRowOnly(const ScheduledJob& job) const {
  const TaskName any_task{job.accepted.id};
  return BlockOf(job.accepted.spec, any_task, this->config.progress_layout)
      .main;
}

void JobScheduler::State::AddDueOccurrences(ScheduledJob* job, Instant now) {
  this->RemoveCompletedOccurrences(job);
  const int count = std::max(1, job->accepted.spec.occurrences);
  const std::size_t limit = this->held_bytes < this->config.max_job_bytes
                                ? this->OpenOccurrenceLimit(*job)
                                : 1;
  while (job->next_occurrence < count && job->occurrences.size() < limit &&
         job->next_occurrence - CompletedOccurrences(*job) <
             this->config.max_occurrence_span &&
         this->DueAt(*job, job->next_occurrence) <= now) {
    this->AddOccurrence(job, job->next_occurrence++, now);
  }
}

void JobScheduler::State::RemoveCompletedOccurrences(ScheduledJob* job) {
  if (job->accepted.spec.occurrences == 0 ||
      !std::exchange(job->occurrence_ended, false)) {
    return;
  }
  std::erase_if(job->occurrences, [this, job](const auto& entry) {
    const ScheduledOccurrence& occurrence = entry.second;
    if (occurrence.open_tasks > 0) {
      return false;
    }
    // A later run of a completed task may still be stopping.
    const bool placed =
        std::any_of(occurrence.steps.begin(), occurrence.steps.end(),
                    [](const ScheduledStep& step) { return step.placed > 0; });
    job->occurrence_ended = job->occurrence_ended || placed;
    if (!placed) {
      this->OnRemoved(occurrence);
    }
    return !placed;
  });
  this->UpdateHeldBytes(job);
  if (CompletedOccurrences(*job) - job->recorded_occurrences >=
          this->config.occurrences_per_record &&
      !this->HasMainRowOnly(*job)) {
    this->MarkDirty(job, ProgressBlock{});
  }
}

void JobScheduler::State::ForgetRecordedOccurrences(ScheduledJob* job) {
  const TaskName end{job->accepted.id, job->recorded_occurrences, 0, 0};
  job->done.EraseBefore(job->recorded_occurrences);
  job->failures.erase(job->failures.begin(), job->failures.lower_bound(end));
  job->checkpoints.erase(job->checkpoints.begin(),
                         job->checkpoints.lower_bound(end));
  std::erase_if(job->dirty, [job](const ProgressBlock& block) {
    return !block.main && block.occurrence < job->recorded_occurrences;
  });
}

void JobScheduler::State::AddOccurrence(ScheduledJob* job,
                                        int number,
                                        Instant now) {
  const auto [added, is_new] = job->occurrences.try_emplace(number);
  if (!is_new) {
    return;
  }
  const RunNumber base = FirstRun(this->config.epoch);
  ScheduledOccurrence& occurrence = added->second;
  const std::vector<StepSpec>& specs = job->accepted.spec.steps;
  occurrence.steps.resize(specs.size());
  for (std::size_t i = 0; i < specs.size(); ++i) {
    ScheduledStep& step = occurrence.steps[i];
    step.job = job;
    step.occurrence = number;
    step.number = static_cast<int>(i);
    step.spec = &specs[i];
    step.gang_run = base;
    step.done = static_cast<int>(job->done.CountIn(number, step.number));
    step.waiting = specs[i].task_count - step.done;
    occurrence.open_tasks += step.waiting;
  }
  if (occurrence.open_tasks == 0 && job->accepted.spec.occurrences > 0) {
    job->occurrences.erase(number);
    return;
  }
  job->open_tasks += occurrence.open_tasks;
  this->UpdateHeldBytes(job);
  this->UpdateReadySteps(job, &occurrence, now);
}

void JobScheduler::State::UpdateReadySteps(ScheduledJob* job,
                                           ScheduledOccurrence* occurrence,
                                           Instant now) {
  for (ScheduledStep& step : occurrence->steps) {
    if (step.ready_since != kNever) {
      continue;
    }
    const bool ready = std::all_of(
        step.spec->after.begin(), step.spec->after.end(), [&](int earlier) {
          const ScheduledStep& before = occurrence->steps[earlier];
          return before.done == before.spec->task_count;
        });
    if (ready) {
      step.ready_since = now;
      this->MarkForRanking(job);
    }
  }
}

void JobScheduler::State::FinishIfDone(ScheduledJob* job) {
  const int count = std::max(1, job->accepted.spec.occurrences);
  if (IsFinal(job->decided) || job->open_tasks > 0 ||
      job->next_occurrence < count) {
    return;
  }
  this->Decide(job, JobState::kCompleted);
  this->LogDecision("decision=complete job=" + job->accepted.id.value);
}

void JobScheduler::State::Decide(ScheduledJob* job, JobState decided) {
  job->decided = decided;
  this->MarkDirty(job, ProgressBlock{});
  this->MarkForRanking(job);
  if (!job->finishing) {
    job->finishing = true;
    this->finishing.push_back(job);
  }
}

void JobScheduler::State::StopAll(ScheduledJob* job,
                                  const char* reason,
                                  Instant now) {
  for (auto& [number, occurrence] : job->occurrences) {
    for (ScheduledStep& step : occurrence.steps) {
      for (auto& [index, task] : step.tracked) {
        if (MayBeRunning(task)) {
          this->RequestStop(&task, reason, now);
        }
      }
    }
  }
}

void JobScheduler::State::MarkDirty(ScheduledJob* job,
                                    const ProgressBlock& block) {
  if (job->dirty.insert(block).second) {
    this->dirty.push_back(DirtyRow{job->accepted.id, block});
  }
}

void JobScheduler::State::MarkTaskDirty(ScheduledJob* job,
                                        const TaskName& task) {
  if (IsFinal(job->decided)) {
    return;  // its main row needs no tasks
  }
  this->MarkDirty(
      job, BlockOf(job->accepted.spec, task, this->config.progress_layout));
  // Other daemons read from the main row that the job has begun.
  if (!job->stored.main) {
    this->MarkDirty(job, ProgressBlock{});
  }
}

void JobScheduler::State::MoveToOwnRows(ScheduledJob* job) {
  const auto move = [&](const TaskName& task) {
    const ProgressBlock block =
        BlockOf(job->accepted.spec, task, this->config.progress_layout);
    if (!job->stored.Contains(block)) {
      this->MarkDirty(job, block);
    }
  };
  job->done.ForEach([&](int occurrence, int step, int index) {
    move(TaskName{job->accepted.id, occurrence, step, index});
    return true;
  });
  for (const auto& [task, runs] : job->failures) {
    move(task);
  }
  for (const auto& [task, checkpoint] : job->checkpoints) {
    move(task);
  }
}

void JobScheduler::State::RemoveInactiveJobs() {
  std::erase_if(this->finishing, [&](ScheduledJob* job) {
    if (!IsFinal(job->recorded) || !job->dirty.empty() || job->placed > 0) {
      return false;
    }
    job->active = false;
    this->active.back()->active_index = job->active_index;
    std::swap(this->active[job->active_index], this->active.back());
    this->active.pop_back();
    std::erase(this->recurring, job);
    for (const auto& [number, occurrence] : job->occurrences) {
      this->OnRemoved(occurrence);
    }
    job->occurrences.clear();
    job->accepted.spec = JobSpec{};
    job->done.Clear();
    job->failures.clear();
    job->checkpoints.clear();
    this->UpdateHeldBytes(job);
    this->closable.push_back(job);
    return true;
  });
}

void JobScheduler::State::MarkForRanking(ScheduledJob* job) {
  if (job->active && !job->rank_due) {
    job->rank_due = true;
    this->rank_due.push_back(job);
  }
}

void JobScheduler::State::RankDueJobs(Instant now) {
  while (!this->rank_timers.empty() &&
         this->rank_timers.begin()->first <= now) {
    if (ScheduledJob* job = this->FindJob(this->rank_timers.begin()->second)) {
      this->MarkForRanking(job);
    }
    this->rank_timers.erase(this->rank_timers.begin());
  }
  for (ScheduledJob* job : std::exchange(this->rank_due, {})) {
    job->rank_due = false;
    this->RankJob(job, now);
  }
}

JobProgress JobScheduler::State::ProgressOf(const ScheduledJob& job,
                                            const ProgressBlock& block) const {
  JobProgress progress;
  progress.id = job.accepted.id;
  progress.block = block;
  progress.state = job.decided;
  // The other rows keep their tasks until the final state is stored.
  if (block.main && IsFinal(job.decided)) {
    return progress;
  }
  progress.state = JobState::kRunning;
  if (block.main) {
    // A job has either all of its tasks in the main row or none.
    if (!this->HasMainRowOnly(job)) {
      progress.completed_occurrences = CompletedOccurrences(job);
    } else {
      job.done.ForEach([&](int occurrence, int step, int index) {
        progress.done.insert(
            TaskName{job.accepted.id, occurrence, step, index});
        return true;
      });
      progress.failures = job.failures;
      progress.checkpoints = job.checkpoints;
    }
    return progress;
  }
  const int tasks = this->config.progress_layout.tasks_per_block;
  const TaskName first{job.accepted.id, block.occurrence, block.step,
                       block.number * tasks};
  const TaskName end{job.accepted.id, block.occurrence, block.step,
                     (block.number + 1) * tasks};
  job.done.ForEachIn(
      block.occurrence, block.step, first.index, end.index, [&](int index) {
        progress.done.insert(
            TaskName{job.accepted.id, block.occurrence, block.step, index});
      });
  progress.failures.insert(job.failures.lower_bound(first),
                           job.failures.lower_bound(end));
  progress.checkpoints.insert(job.checkpoints.lower_bound(first),
                              job.checkpoints.lower_bound(end));
  return progress;
}

void JobScheduler::State::LogDecision(std::string text) {
  if (this->decisions.size() < kMaxDecisions) {
    this->decisions.push_back(std::move(text));
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

SchedulerActions JobScheduler::Advance(bool may_start, Instant now) {
  State& state = *this->state;
  const std::map<EndpointId, EndpointRow> unnamed =
      std::exchange(state.unnamed, {});
  for (const auto& [id, row] : unnamed) {
    this->OnEndpointListed(row, now);  // its service may be named by now
  }
  state.UntrackCompleted();
  state.RemoveInactiveJobs();
  for (ScheduledJob* job : state.recurring) {
    if (!IsFinal(job->decided)) {
      state.AddDueOccurrences(job, now);
      state.FinishIfDone(job);
    }
  }
  state.RemoveExpiredStarts(now);
  std::vector<EndpointId> gone;
  for (auto& [id, endpoint] : state.endpoints) {
    // The lease is no longer renewed once a poll fails, listed or not.
    if ((!endpoint->listed || endpoint->failed_polls > 0) &&
        (endpoint->lapse_at <= now || endpoint->process_ended)) {
      const bool may_know_ends =
          endpoint->listed && !endpoint->process_ended &&
          now < endpoint->lapse_at + state.config.listed_grace;
      state.ReleaseLapsed(endpoint.get(),
                          endpoint->process_ended ? "ended" : "lapsed",
                          may_know_ends, now);
    }
    // An endpoint that has not listed all ends may still run work of a previous
    // owner, or know that it is done. One that is recorded as lapsing may come
    // back before that record is replaced.
    if (!endpoint->listed && endpoint->tasks.empty() &&
        !endpoint->poll_in_flight && !endpoint->lapse_stored &&
        (endpoint->recovered || endpoint->process_ended ||
         endpoint->lapse_at <= now) &&
        !state.HasOpenStartOn(id)) {
      gone.push_back(id);
    }
    if (endpoint->stopping == 0) {
      continue;
    }
    for (ScheduledTask* task : endpoint->tasks) {
      if (task->phase == TaskPhase::kStopping && !task->stop_confirmed &&
          now - task->stop_sent >= state.config.stop_retry) {
        state.SendStop(task, now);
      }
    }
  }
  for (const EndpointId& id : gone) {
    const auto found = state.endpoints.find(id);
    std::erase(found->second->service->endpoints, found->second.get());
    state.endpoints.erase(found);
    state.forgotten[id] = now;
  }
  std::erase_if(state.forgotten, [&](const auto& entry) {
    return now - entry.second > kForgottenTime;
  });
  state.RankDueJobs(now);
  state.may_start = may_start;
  if (may_start && !state.fenced) {
    state.Place(now);
    state.AdjustPace(now);
  }
  state.SendPolls(may_start && !state.fenced, now);
  return std::exchange(state.actions, SchedulerActions{});
}

void JobScheduler::State::OpenPass() {
  if (this->pass_rows > 0) {
    return;
  }
  this->pass_rows = this->dirty.size();
  for (const auto& [id, endpoint] : this->endpoints) {
    endpoint->in_pass = endpoint->processed;
  }
}

void JobScheduler::State::ClosePass(Instant now) {
  for (const auto& [id, endpoint] : this->endpoints) {
    if (endpoint->in_pass > endpoint->recorded) {
      endpoint->recorded = endpoint->in_pass;
      endpoint->next_poll = now;
    }
  }
}

RecordBatch JobScheduler::TakeBatch(const BatchLimits& limits) {
  State& state = *this->state;
  RecordBatch batch;
  if (state.batch != 0) {
    return batch;
  }
  state.batch_rows.clear();
  state.batch_states.clear();
  state.batch_occurrences.clear();
  state.OpenPass();
  std::size_t bytes = 0;
  while (state.pass_rows > 0 && batch.progress.size() < limits.rows) {
    const DirtyRow row = state.dirty.front();
    ScheduledJob* job = state.FindJob(row.job);
    if (job != nullptr && IsFinal(job->recorded)) {
      job->dirty.clear();  // the main row is stored and needs no other rows
    }
    if (job != nullptr && job->dirty.contains(row.block)) {
      JobProgress progress = state.ProgressOf(*job, row.block);
      bytes += EstimateBytes(progress);
      if (bytes > limits.bytes && !batch.progress.empty()) {
        break;
      }
      batch.progress.push_back(std::move(progress));
      state.batch_rows.push_back(row);
      if (row.block.main) {
        state.batch_states[row.job] = job->decided;
        state.batch_occurrences[row.job] =
            batch.progress.back().completed_occurrences;
      }
      job->dirty.erase(row.block);
      job->stored.Insert(row.block);
    }
    state.dirty.pop_front();
    --state.pass_rows;
  }
  if (batch.progress.empty()) {
    if (state.pass_rows == 0) {
      // Ends that change no stored progress need no write.
      state.ClosePass(Instant{});
    }
    return batch;
  }
  batch.number = state.batch = ++state.last_batch;
  return batch;
}

void JobScheduler::OnRecorded(std::uint64_t number,
                              RecordResult result,
                              Instant now) {
  State& state = *this->state;
  if (number == 0 || number != state.batch) {
    return;
  }
  state.batch = 0;
  if (result != RecordResult::kStored) {
    if (result == RecordResult::kRejected) {
      state.pass_rows = state.dirty.size();
    }
    for (auto row = state.batch_rows.rbegin(); row != state.batch_rows.rend();
         ++row) {
      ScheduledJob* job = state.FindJob(row->job);
      if (job == nullptr || IsFinal(job->recorded)) {
        continue;  // the main row is stored and needs no other rows
      }
      // The row stays in the pass. If it changed meanwhile, its later entry in
      // the queue is out of date once this one is taken.
      job->dirty.insert(row->block);
      if (result == RecordResult::kRejected) {
        state.dirty.push_back(*row);
      } else {
        state.dirty.push_front(*row);
      }
      ++state.pass_rows;
    }
    state.batch_rows.clear();
    return;
  }
  for (const auto& [id, decided] : state.batch_states) {
    ScheduledJob* job = state.FindJob(id);
    if (job == nullptr) {
      continue;
    }
    job->recorded = decided;
    if (IsFinal(decided)) {
      job->recorded_at = now;
    }
  }
  for (const auto& [id, completed] : state.batch_occurrences) {
    ScheduledJob* job = state.FindJob(id);
    if (job != nullptr && completed > job->recorded_occurrences) {
      job->recorded_occurrences = completed;
      State::ForgetRecordedOccurrences(job);
    }
  }
  state.batch_rows.clear();
  if (state.pass_rows == 0) {
    state.ClosePass(now);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Memory
//-----------------------------------------------------------------------------

namespace {

// Overhead of the heap and its headers, in addition to the size of the objects.
constexpr std::size_t AddHeapOverhead(std::size_t bytes) {
  return bytes + bytes / 4;
}

// Entry of a final job, its id and its row of progress: measured at 180 bytes.
constexpr std::size_t kFinalJobBytes = 256;

// Entries of a job in the order of waiting jobs, the timers and the lists of
// rows to record.
constexpr std::size_t kJobIndexBytes = 512;

std::size_t TextBytes(const JobSpec& spec) {
  std::size_t bytes = spec.payload.size();
  for (const StepSpec& step : spec.steps) {
    bytes += step.required_label.size() + step.data_rack.size() +
             step.image.size() + step.after.size() * sizeof(int);
  }
  return bytes;
}

// Steps of one occurrence, with the sets of completed tasks and stored rows.
std::size_t OccurrenceBytes(const JobSpec& spec) {
  constexpr std::size_t kMapEntry = 64;
  constexpr std::size_t kSetEntry = 128;
  std::size_t bytes = kMapEntry + sizeof(ScheduledOccurrence);
  for (const StepSpec& step : spec.steps) {
    bytes += sizeof(ScheduledStep) + 2 * kSetEntry +
             static_cast<std::size_t>(step.task_count) / 8;
  }
  return bytes;
}

}  // namespace

std::size_t WaitingJobBytes(const AcceptedJob& job) {
  const JobSpec& spec = job.spec;
  return AddHeapOverhead(
      sizeof(ScheduledJob) + kJobIndexBytes + job.queue.size() +
      job.service.value.size() + job.team.value.size() + TextBytes(spec) +
      spec.steps.size() * sizeof(StepSpec) + OccurrenceBytes(spec));
}

void JobScheduler::State::UpdateHeldBytes(ScheduledJob* job) {
  std::size_t bytes = AddHeapOverhead(sizeof(ScheduledJob) + kJobIndexBytes);
  if (!job->accepted.spec.steps.empty()) {
    const std::size_t open = std::max<std::size_t>(1, job->occurrences.size());
    bytes = WaitingJobBytes(job->accepted) +
            (open - 1) * AddHeapOverhead(OccurrenceBytes(job->accepted.spec));
  }
  this->held_bytes += bytes - job->held_bytes;
  job->held_bytes = bytes;
}

void JobScheduler::State::AddFinalJob(const JobId& id,
                                      JobState state,
                                      Instant recorded_at) {
  if (this->final_jobs.emplace(id, FinalJob{state, recorded_at}).second) {
    this->held_bytes += kFinalJobBytes;
  }
}

std::size_t JobScheduler::HeldBytes() const {
  return this->state->held_bytes;
}

std::size_t JobScheduler::TrackedTasks() const {
  return this->state->tracked_tasks;
}

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

std::optional<JobState> JobScheduler::StateOf(const JobId& id) const {
  if (const auto found = this->state->final_jobs.find(id);
      found != this->state->final_jobs.end()) {
    return found->second.state;
  }
  const ScheduledJob* job = this->state->FindJob(id);
  if (job == nullptr) {
    return std::nullopt;
  }
  if (job->cancelled || IsFinal(job->recorded)) {
    return job->cancelled ? JobState::kCancelled : job->recorded;
  }
  // Callers see a final state only after it has been recorded, so that no later
  // owner can revert it.
  return job->begun ? JobState::kRunning : JobState::kPending;
}

int JobScheduler::WaitingIn(const std::string& queue) const {
  int waiting = 0;
  for (const ScheduledJob* job : this->state->active) {
    const bool waits = !job->begun && !IsFinal(job->decided);
    waiting += waits && job->accepted.queue == queue ? 1 : 0;
  }
  return waiting;
}

bool JobScheduler::Fenced() const {
  return this->state->fenced;
}

Instant JobScheduler::NextWake(Instant now) const {
  Instant wake = now + kTick;
  for (const auto& [id, endpoint] : this->state->endpoints) {
    if (endpoint->listed && !endpoint->poll_in_flight) {
      wake = std::min(wake, std::max(now, endpoint->next_poll));
    }
  }
  return wake;
}

std::vector<EndpointSummary> JobScheduler::Endpoints(Instant now) const {
  std::vector<EndpointSummary> all;
  for (const auto& [id, endpoint] : this->state->endpoints) {
    EndpointSummary& summary = all.emplace_back();
    summary.id = id;
    summary.service = endpoint->row.service;
    summary.zone = endpoint->row.zone;
    summary.usable = this->state->Usable(*endpoint, now);
    // An endpoint that was not polled yet may run work of a previous owner, and
    // one that has not listed all ends may know that a task is done.
    summary.idle = endpoint->tasks.empty() &&
                   (endpoint->recovered || endpoint->process_ended ||
                    endpoint->lapse_at <= now);
    summary.used = endpoint->used;
    summary.capacity = endpoint->row.capacity;
    summary.long_running = endpoint->long_running;
    summary.short_running =
        static_cast<int>(endpoint->tasks.size()) - endpoint->long_running;
  }
  return all;
}

std::map<ServiceId, ServiceDemand> JobScheduler::Demand(Instant now) {
  std::map<ServiceId, ServiceDemand> demand;
  for (const auto& [service, config] : this->state->fleet.services) {
    demand[service];
  }
  for (const ScheduledJob* job : this->state->active) {
    if (IsFinal(job->decided)) {
      continue;
    }
    ServiceDemand& service = demand[this->state->ServiceOf(*job)];
    double& waiting = job->rank.urgency == Urgency::kExpired
                          ? service.expired_core_seconds
                          : service.waiting_core_seconds;
    for (const auto& [number, occurrence] : job->occurrences) {
      for (const ScheduledStep& step : occurrence.steps) {
        const double cores =
            static_cast<double>(Reserved(*step.spec).milli_cores) / 1000;
        if (step.spec->long_running) {
          const auto tasks = static_cast<double>(step.spec->task_count);
          service.used_cores += tasks * cores;
          service.long_running_cores += tasks * cores;
        } else {
          service.used_cores += step.placed * cores;
          if (step.ready_since != kNever) {
            waiting += step.waiting * cores *
                       std::chrono::duration<double>(step.expected).count();
          }
        }
        // One starved step is enough to request a host.
        if (service.starved_jobs == 0 && step.waiting > 0 &&
            this->state->IsStarved(step, now)) {
          service.starved_jobs = 1;
        }
      }
    }
  }
  for (auto& [service, arrivals] : this->state->arrivals) {
    demand[service].arrival_rate = arrivals.Rate(now);
  }
  return demand;
}

std::vector<JobId> JobScheduler::FinalBefore(Instant instant) const {
  std::vector<JobId> final_jobs;
  for (const auto& [id, job] : this->state->jobs) {
    if (!job->active && job->recorded_at < instant) {
      final_jobs.push_back(id);
    }
  }
  for (const auto& [id, job] : this->state->final_jobs) {
    if (job.recorded_at < instant) {
      final_jobs.push_back(id);
    }
  }
  return final_jobs;
}

void JobScheduler::Forget(const JobId& id) {
  State& state = *this->state;
  state.held_bytes -= state.final_jobs.erase(id) * kFinalJobBytes;
  ScheduledJob* job = state.FindJob(id);
  if (job == nullptr || job->active) {
    return;
  }
  std::erase(state.closable, job);
  state.held_bytes -= job->held_bytes;
  state.jobs.erase(id);
}

std::vector<ProgressBlock> JobScheduler::BlocksOf(const JobId& id) const {
  std::vector<ProgressBlock> blocks;
  if (const ScheduledJob* job = this->state->FindJob(id)) {
    job->stored.blocks.ForEach([&](int occurrence, int step, int number) {
      blocks.push_back(ProgressBlock{false, occurrence, step, number});
      return true;
    });
  }
  return blocks;
}

std::vector<SettledBlocks> JobScheduler::BlocksToRemove(
    std::size_t limit) const {
  const State& state = *this->state;
  // A write that is under way may store a row after it was removed.
  std::set<JobId> writing;
  for (const DirtyRow& row : state.batch_rows) {
    writing.insert(row.job);
  }
  std::vector<SettledBlocks> settled;
  for (const ScheduledJob* job : state.recurring) {
    if (job->recorded_occurrences == 0 ||
        (state.batch != 0 && writing.contains(job->accepted.id))) {
      continue;
    }
    SettledBlocks entry{job->accepted.id, {}};
    job->stored.blocks.ForEach([&](int occurrence, int step, int number) {
      if (limit == 0 || occurrence >= job->recorded_occurrences) {
        return false;
      }
      entry.blocks.push_back(ProgressBlock{false, occurrence, step, number});
      --limit;
      return true;
    });
    if (!entry.blocks.empty()) {
      settled.push_back(std::move(entry));
    }
  }
  return settled;
}

void JobScheduler::OnBlocksRemoved(const JobId& id,
                                   const std::vector<ProgressBlock>& blocks) {
  if (ScheduledJob* job = this->state->FindJob(id)) {
    for (const ProgressBlock& block : blocks) {
      job->stored.Erase(block);
    }
  }
}

std::vector<ClosableJob> JobScheduler::JobsToClose(std::size_t limit) const {
  std::vector<ClosableJob> jobs;
  for (const ScheduledJob* job : this->state->closable) {
    if (jobs.size() == limit) {
      break;
    }
    jobs.push_back(ClosableJob{job->accepted.id, job->version, job->recorded});
  }
  return jobs;
}

void JobScheduler::OnClosed(const std::vector<ClosableJob>& jobs) {
  for (const ClosableJob& closed : jobs) {
    ScheduledJob* job = this->state->FindJob(closed.id);
    if (job != nullptr && !job->closed) {
      job->closed = true;
      std::erase(this->state->closable, job);
      if (job->stored.blocks.Empty()) {
        this->state->AddFinalJob(closed.id, job->recorded, job->recorded_at);
        this->state->held_bytes -= job->held_bytes;
        this->state->jobs.erase(closed.id);
      }
    }
  }
}

const JobScheduler::Counters& JobScheduler::Counts() const {
  return this->state->counters;
}

std::vector<std::string> JobScheduler::TakeDecisions() {
  return std::exchange(this->state->decisions, {});
}

}  // namespace peridot
