// JobScheduler: order of jobs and placement of tasks on endpoints.

#include <algorithm>
#include <tuple>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

namespace {

// Longest time after which the rank of a job follows changed predictions.
constexpr Milliseconds kRankInterval{2000};

bool IsLongRunning(const ScheduledJob& job) {
  const std::vector<StepSpec>& steps = job.accepted.spec.steps;
  return std::any_of(steps.begin(), steps.end(),
                     [](const StepSpec& step) { return step.long_running; });
}

// A limit of 0 is none.
bool IsWithinLimit(const Resources& use, const Resources& limit) {
  return (limit.milli_cores == 0 || use.milli_cores <= limit.milli_cores) &&
         (limit.memory_mb == 0 || use.memory_mb <= limit.memory_mb) &&
         (limit.accelerators == 0 || use.accelerators <= limit.accelerators);
}

// Bound on the error of clock readings, which are whole milliseconds.
constexpr Milliseconds kClockTolerance{5};

Milliseconds Scale(Milliseconds time, double factor) {
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(time.count()) * factor));
}

// Returns the highest checkpoint of the step's tasks; empty if there is none.
std::string LatestCheckpoint(const ScheduledStep& step) {
  const std::map<TaskName, std::string>& all = step.job->checkpoints;
  TaskName end = FirstTaskOf(step);
  ++end.step;
  std::string latest;
  for (auto entry = all.lower_bound(FirstTaskOf(step));
       entry != all.end() && entry->first < end; ++entry) {
    latest = std::max(latest, entry->second);
  }
  return latest;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Order of work
//-----------------------------------------------------------------------------

bool JobScheduler::State::Usable(const EndpointState& endpoint,
                                 Instant now) const {
  return endpoint.listed && endpoint.row.ready && endpoint.fenced &&
         endpoint.has_clock && !endpoint.lapse_stored &&
         (endpoint.long_lease_stored || !this->HasLongLease(endpoint, now)) &&
         !endpoint.process_ended &&
         endpoint.failed_polls < this->config.failed_polls_to_unreachable &&
         endpoint.unhealthy_until <= now && endpoint.full_until <= now &&
         endpoint.quarantine_until <= now && !endpoint.excluded;
}

Milliseconds JobScheduler::State::CompletionObjective(
    const ScheduledJob& job) const {
  const QueueConfig* queue = this->QueueOf(job);
  const Milliseconds critical_path = this->CriticalPath(job, false);
  return queue == nullptr ? critical_path
                          : Scale(critical_path, queue->critical_path_factor) +
                                queue->objective;
}

Urgency JobScheduler::State::UrgencyOf(const ScheduledJob& job,
                                       Milliseconds objective,
                                       Milliseconds path_left,
                                       Instant now) const {
  if (IsLongRunning(job)) {
    return Urgency::kLongRunning;
  }
  const Instant finish = now + path_left;
  if (finish <= job.arrived + objective) {
    return Urgency::kInTime;
  }
  return finish <= job.arrived + Scale(objective, this->config.late_factor)
             ? Urgency::kLate
             : Urgency::kExpired;
}

void JobScheduler::State::Place(Instant now) {
  this->FindUnrecovered(now);
  for (auto& [id, service] : this->services) {
    if (!service.waiting.Empty()) {
      this->PlaceService(&service, now);
    }
  }
  this->RequestAdvice(now);
}

void JobScheduler::State::RemoveFromQueue(ScheduledJob* job) {
  if (job->queued_in != nullptr) {
    if (job->unfit) {
      job->queued_in->unfit.erase(job->accepted.id);
    } else {
      job->queued_in->waiting.Erase(job->accepted.team, job->rank,
                                    job->accepted.id, job);
    }
    job->unfit = false;
    job->queued_in = nullptr;
    this->rank_timers.erase({job->rank_timer, job->accepted.id});
  }
}

void JobScheduler::State::RankJob(ScheduledJob* job, Instant now) {
  this->RemoveFromQueue(job);
  if (IsFinal(job->decided) || FirstReadyStep(*job) == nullptr) {
    return;
  }
  for (auto& [number, occurrence] : job->occurrences) {
    for (ScheduledStep& step : occurrence.steps) {
      step.expected = this->ExpectedDuration(step);
    }
  }
  const QueueConfig* queue = this->QueueOf(*job);
  const Milliseconds objective = this->CompletionObjective(*job);
  const Milliseconds path_left = this->CriticalPath(*job, true);
  JobRank rank;
  rank.priority = queue == nullptr ? 0 : queue->priority;
  rank.urgency = this->UrgencyOf(*job, objective, path_left, now);
  rank.key = job->arrived;
  Instant timer = now + kRankInterval;
  if (rank.urgency == Urgency::kInTime) {
    // Least remaining work first: under overload this order completes the
    // most jobs, and nearly the most work, in time.
    rank.key =
        Instant{} +
        std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(this->CoreSeconds(*job, true)));
    timer = std::min<Instant>(
        timer, job->arrived + objective - path_left + Milliseconds(1));
  } else if (rank.urgency == Urgency::kLate) {
    rank.key =
        job->arrived + Scale(objective, this->config.late_objective_weight);
    timer = std::min<Instant>(
        timer, job->arrived + Scale(objective, this->config.late_factor) -
                   path_left + Milliseconds(1));
  }
  job->rank = rank;
  this->UpdateMoved(job);
  job->queued_in = &this->services[this->ServiceOf(*job)];
  job->unfit = !this->FitsWhenIdle(*job, job->queued_in->endpoints);
  if (job->unfit) {
    job->queued_in->unfit.emplace(job->accepted.id, job);
  } else {
    job->queued_in->waiting.Insert(job->accepted.team, rank, job->accepted.id,
                                   job);
  }
  if (rank.urgency == Urgency::kInTime || rank.urgency == Urgency::kLate) {
    job->rank_timer = timer;
    this->rank_timers.emplace(timer, job->accepted.id);
  }
}

bool JobScheduler::State::FitsWhenIdle(
    const ScheduledJob& job,
    const std::vector<EndpointState*>& endpoints) const {
  const auto team = this->fleet.teams.find(job.accepted.team);
  for (const auto& [number, occurrence] : job.occurrences) {
    for (const ScheduledStep& step : occurrence.steps) {
      if (step.ready_since == kNever || step.waiting == 0) {
        continue;
      }
      const StepSpec& spec = *step.spec;
      if (team != this->fleet.teams.end() &&
          !IsWithinLimit(spec.per_task, team->second.limit)) {
        continue;
      }
      const Resources reserved = Reserved(spec);
      const auto fits = [&](const EndpointState* endpoint) {
        return endpoint->listed && reserved.FitsIn(endpoint->row.capacity) &&
               (spec.required_label.empty() ||
                HasLabel(*endpoint, spec.required_label));
      };
      if (std::any_of(endpoints.begin(), endpoints.end(), fits)) {
        return true;
      }
    }
  }
  return false;
}

void JobScheduler::State::PlaceService(ServiceState* service, Instant now) {
  std::vector<EndpointState*>& usable = service->usable;
  usable.clear();
  this->advice_position = 0;
  double capacity = 0;
  for (EndpointState* endpoint : service->endpoints) {
    if (this->Usable(*endpoint, now)) {
      usable.push_back(endpoint);
      capacity += static_cast<double>(endpoint->row.capacity.milli_cores);
    }
  }
  if (usable.empty()) {
    return;
  }
  this->unplaceable.clear();
  const auto weight_of = [&](const TeamId& team) {
    const auto found = this->fleet.teams.find(team);
    return found == this->fleet.teams.end() ? 1.0 : found->second.weight;
  };
  double weights = 0;
  service->waiting.ForEachTeam(
      [&](const TeamId& team) { weights += weight_of(team); });
  // Runs, as milli-cores, that fill the share of each waiting team.
  std::map<TeamId, double> shares;
  service->waiting.ForEachTeam([&](const TeamId& team) {
    shares[team] =
        weights > 0 ? weight_of(team) / weights * capacity : capacity;
  });
  const auto over_share = [&](const TeamId& team) {
    const auto used = service->team_milli_cores.find(team);
    return used != service->team_milli_cores.end() &&
           static_cast<double>(used->second) > shares[team];
  };
  const auto held_back = [&](const ScheduledJob& job) {
    return job.version > this->startable || !this->IsMoveStored(job) ||
           this->MayRunUnseen(job);
  };
  // Before others take the room that a stopped run has left: these tasks may
  // start nowhere else.
  for (ScheduledJob* job : this->LongRunningWithOpenStarts(*service)) {
    if (!held_back(*job)) {
      this->PlaceJob(job, usable, now);
    }
  }
  std::map<TeamId, int> failed;  // jobs that did not fit
  int without_room = 0;
  bool all_visited = true;
  service->waiting.Walk(over_share, [&](ScheduledJob* job) {
    if (held_back(*job)) {
      return WalkStep::kNextJob;
    }
    const PlaceResult result = this->PlaceJob(job, usable, now);
    if (result == PlaceResult::kPlaced) {
      return WalkStep::kNextJob;
    }
    if (!this->FitsWhenIdle(*job, service->endpoints)) {
      this->MarkForRanking(job);  // the endpoint that it fitted on has left
      return WalkStep::kNextJob;
    }
    if (result == PlaceResult::kNoRoom &&
        ++without_room >= this->config.backfill_depth) {
      all_visited = false;
      return WalkStep::kStop;
    }
    if (++failed[job->accepted.team] < this->config.team_backfill_depth) {
      return WalkStep::kNextJob;
    }
    all_visited = false;
    return WalkStep::kSkipTeam;
  });
  double used = 0;
  for (const auto& [team, milli_cores] : service->team_milli_cores) {
    used += static_cast<double>(milli_cores);
  }
  if (all_visited) {
    service->left_out_since = kNever;
    return;
  }
  service->left_out_since = std::min(service->left_out_since, now);
  if (now - service->left_out_since >= this->config.turn_after &&
      used <= this->config.turn_max_use * capacity) {
    service->waiting.VisitInTurn(&service->turn, this->config.turn_depth,
                                 [&](ScheduledJob* job) {
                                   if (!held_back(*job)) {
                                     this->PlaceJob(job, usable, now);
                                   }
                                 });
  }
}

PlaceResult JobScheduler::State::PlaceJob(
    ScheduledJob* job,
    const std::vector<EndpointState*>& usable,
    Instant now) {
  const QueueConfig* queue = this->QueueOf(*job);
  PlaceResult worst = PlaceResult::kPlaced;
  for (auto& [number, occurrence] : job->occurrences) {
    for (ScheduledStep& step : occurrence.steps) {
      if (step.waiting == 0) {
        continue;
      }
      if (step.ready_since != kNever && step.spec->gang) {
        this->PlaceGang(&step, queue, usable, now);
      } else if (step.ready_since != kNever) {
        worst = std::max(worst, this->PlaceStep(&step, queue, usable, now));
      }
      if (queue != nullptr && queue->needs_advice) {
        this->AddAdviceCandidate(&step, *queue, usable, now);
      }
      this->LogStarts(step);
    }
  }
  return worst;
}

//-----------------------------------------------------------------------------
// [SECTION] Choice of an endpoint
//-----------------------------------------------------------------------------

bool JobScheduler::State::WithinTeamLimit(const TeamId& team,
                                          const Resources& more) const {
  const auto config = this->fleet.teams.find(team);
  if (config == this->fleet.teams.end()) {
    return true;
  }
  Resources use = more;
  if (const auto found = this->team_use.find(team);
      found != this->team_use.end()) {
    use += found->second;
  }
  // A previous owner may have started tasks of any team on endpoints not polled
  // yet, so their whole capacity counts towards this team's limit.
  use += this->unpolled_capacity;
  return IsWithinLimit(use, config->second.limit);
}

int JobScheduler::State::OthersOnEndpoint(const ScheduledStep& step,
                                          const EndpointState& endpoint) const {
  int others = 0;
  for (const ScheduledTask* task : endpoint.tasks) {
    others += task->step == &step ? 1 : 0;
  }
  return others;
}

bool JobScheduler::State::HasRoomFor(const EndpointState& endpoint,
                                     const ScheduledStep& step) const {
  const StepSpec& spec = *step.spec;
  return Reserved(spec).FitsIn(FreeResources(endpoint)) &&
         (spec.required_label.empty() ||
          HasLabel(endpoint, spec.required_label)) &&
         (spec.max_per_endpoint == 0 ||
          this->OthersOnEndpoint(step, endpoint) < spec.max_per_endpoint);
}

bool JobScheduler::State::Accepts(const EndpointState& endpoint,
                                  const ScheduledStep& step,
                                  const QueueConfig* queue,
                                  Instant now) const {
  if (!this->HasRoomFor(endpoint, step)) {
    return false;
  }
  return queue == nullptr || !queue->needs_advice ||
         this->TicketOf(step, endpoint, now) != nullptr;
}

EndpointState* JobScheduler::State::ChooseEndpoint(
    const ScheduledStep& step,
    const ScheduledTask& task,
    const QueueConfig* queue,
    const std::vector<EndpointState*>& usable,
    Instant now) const {
  std::string rack;
  if (step.spec->same_rack) {
    for (const auto& [index, other] : step.tracked) {
      if (MayBeRunning(other)) {
        rack = RackOf(*other.endpoint);
        break;
      }
    }
  }
  const bool long_running = step.spec->long_running;
  EndpointState* best = nullptr;
  std::tuple<int, int, int, bool, std::int64_t> best_score;
  for (EndpointState* endpoint : usable) {
    const bool near = step.spec->data_rack.empty() ||
                      HasLabel(*endpoint, step.spec->data_rack);
    if (!this->Accepts(*endpoint, step, queue, now)) {
      continue;
    }
    const bool other_rack = !rack.empty() && RackOf(*endpoint) != rack;
    const int far = (near ? 0 : 1) + (other_rack ? 1 : 0);
    const int avoided = endpoint->row.id == task.avoided_endpoint ? 1 : 0;
    // Best fit: the fullest endpoint with enough capacity leaves the others
    // free for large tasks and for removal from the pool. Best-effort work goes
    // to the endpoint with the most unreserved cores.
    const std::int64_t left = FreeResources(*endpoint).milli_cores;
    // Long-running tasks of a step are spread, so that the loss of an endpoint
    // stops few of them; endpoints that already run long-running work are
    // preferred.
    const std::tuple<int, int, int, bool, std::int64_t> score{
        avoided, far,
        long_running ? this->OthersOnEndpoint(step, *endpoint) : 0,
        long_running && endpoint->long_running == 0,
        step.spec->best_effort ? -left : left};
    if (best == nullptr || score < best_score) {
      best = endpoint;
      best_score = score;
    }
  }
  return best;
}

bool JobScheduler::State::IsKnownNotToFit(const StepSpec& spec) const {
  const Resources needed = Reserved(spec);
  return std::any_of(
      this->unplaceable.begin(), this->unplaceable.end(),
      [&](const Resources& failed) { return failed.FitsIn(needed); });
}

PlaceResult JobScheduler::State::PlaceStep(
    ScheduledStep* step,
    const QueueConfig* queue,
    const std::vector<EndpointState*>& usable,
    Instant now) {
  if (this->IsKnownNotToFit(*step->spec)) {
    return PlaceResult::kNoRoom;
  }
  const TeamId& team = step->job->accepted.team;
  const bool prefers_place = PrefersPlace(*step->spec);
  bool waits = false;  // for its place
  if (prefers_place) {
    this->CountPlaceDemand(step, now);
  }
  while (step->first_open < step->spec->task_count &&
         IsDone(*step, step->first_open)) {
    ++step->first_open;
  }
  const bool has_open_start = this->HasOpenStart(*step);
  int untracked_waits = 0;  // for their place, among the tasks visited
  for (int index = step->first_open; index < step->spec->task_count; ++index) {
    ScheduledTask* task = FindTracked(step, index);
    if (task != nullptr ? task->phase != TaskPhase::kWaiting
                        : IsDone(*step, index)) {
      continue;
    }
    const TaskName name{step->job->accepted.id, step->occurrence, step->number,
                        index};
    const bool restricted = has_open_start && this->HasOpenStart(name);
    std::vector<EndpointState*> allowed;
    if (restricted) {
      allowed = this->PlacesBesideOpenStarts(name, *step->spec, usable, now);
      if (allowed.empty()) {
        continue;
      }
    }
    const std::vector<EndpointState*>& places = restricted ? allowed : usable;
    if (!this->WithinTeamLimit(team, step->spec->per_task)) {
      return PlaceResult::kTeamLimit;
    }
    const bool tracked = task != nullptr;
    if (!this->MaySendStart(tracked ? 0 : 1)) {
      return PlaceResult::kNoRoom;
    }
    ScheduledTask untracked;
    if (!tracked) {
      untracked = this->NewTask(step, index);
      untracked.waits_for_place = untracked_waits < step->place_waits;
      task = &untracked;
    }
    EndpointState* endpoint = nullptr;
    if (!waits || !this->WaitsAsWell(task, queue, now)) {
      endpoint = this->ChooseEndpoint(*step, *task, queue, places, now);
      if (endpoint == nullptr && restricted) {
        continue;
      }
      if (endpoint == nullptr) {
        return this->OnNoEndpoint(*step, queue);
      }
      if (prefers_place && !restricted) {
        endpoint = this->PreferPlace(task, endpoint, queue, usable, now);
      }
    }
    if (endpoint == nullptr) {
      waits = true;
      untracked_waits += tracked ? 0 : 1;
      step->place_waits = std::max(step->place_waits, untracked_waits);
      continue;  // later tasks would wait longer and may start elsewhere
    }
    if (!tracked) {
      step->place_waits -= untracked.waits_for_place ? 1 : 0;
      task = Track(std::move(untracked));
    }
    this->Start(task, endpoint, now);
  }
  return PlaceResult::kPlaced;
}

PlaceResult JobScheduler::State::OnNoEndpoint(const ScheduledStep& step,
                                              const QueueConfig* queue) {
  // Free capacity only shrinks within a round, so a task that needs at least as
  // much can be skipped. A failure that may be due to a placement constraint
  // does not show a lack of capacity.
  const StepSpec& spec = *step.spec;
  if (spec.required_label.empty() && spec.max_per_endpoint == 0 &&
      (queue == nullptr || !queue->needs_advice)) {
    this->unplaceable.push_back(Reserved(spec));
    return PlaceResult::kNoRoom;
  }
  return PlaceResult::kPlaced;  // all tasks of a step need the same
}

void JobScheduler::State::PlaceGang(ScheduledStep* step,
                                    const QueueConfig* queue,
                                    const std::vector<EndpointState*>& usable,
                                    Instant now) {
  // A gang restarts as a whole, once no run of the previous attempt is left.
  const int members = step->spec->task_count;
  if (step->waiting < members || this->HasOpenStart(*step)) {
    return;
  }
  RunNumber run = step->gang_run;
  std::string checkpoint = LatestCheckpoint(*step);
  for (const auto& [index, task] : step->tracked) {
    run = std::max(run, task.run);
    checkpoint = std::max(checkpoint, task.checkpoint);
  }
  Resources total;
  for (int index = 0; index < members; ++index) {
    total += step->spec->per_task;
  }
  if (!this->WithinTeamLimit(step->job->accepted.team, total) ||
      !this->MaySendStart(static_cast<std::size_t>(members) -
                          step->tracked.size())) {
    return;
  }
  const std::vector<EndpointState*>* places = &usable;
  if (PrefersPlace(*step->spec)) {
    places = this->ChooseGangRack(step, queue, usable, now);
    if (places == nullptr) {
      return;
    }
  }
  // Reserves capacity for all members before the first one starts.
  std::vector<std::pair<ScheduledTask*, EndpointState*>> chosen;
  std::vector<int> added;  // indexes that were not tracked before
  for (int index = 0; index < members; ++index) {
    ScheduledTask* task = FindTracked(step, index);
    if (task == nullptr) {
      task = Track(this->NewTask(step, index));
      task->waits_for_place = index == 0 && step->place_waits > 0;
      added.push_back(index);
    }
    EndpointState* endpoint =
        this->ChooseEndpoint(*step, *task, queue, *places, now);
    if (endpoint == nullptr) {
      break;
    }
    chosen.emplace_back(task, endpoint);
    endpoint->used += Reserved(*step->spec);
    endpoint->tasks.insert(task);
    task->endpoint = endpoint;
  }
  for (const auto& [task, endpoint] : chosen) {
    endpoint->used -= Reserved(*step->spec);
    endpoint->tasks.erase(task);
    task->endpoint = nullptr;
  }
  if (static_cast<int>(chosen.size()) < members) {
    for (const int index : added) {
      this->Untrack(step, index);
    }
    return;
  }
  step->place_waits = 0;
  step->gang_run = run + 1;
  for (const auto& [task, endpoint] : chosen) {
    task->run = run;
    task->checkpoint = checkpoint;
    this->Start(task, endpoint, now);
  }
}

void JobScheduler::State::LogStarts(const ScheduledStep& step) {
  if (this->started_text.empty()) {
    return;
  }
  this->LogDecision("decision=start job=" + step.job->accepted.id.value +
                    " occurrence=" + std::to_string(step.occurrence) +
                    " step=" + std::to_string(step.number) +
                    " starts=" + std::exchange(this->started_text, {}));
}

void JobScheduler::State::Start(ScheduledTask* task,
                                EndpointState* endpoint,
                                Instant now) {
  if (task->waits_for_place) {
    this->EndPlaceWait(task, *endpoint);
  }
  this->Attach(task, endpoint,
               std::max(task->run, FirstRun(this->config.epoch)) + 1);
  this->SetPhase(task, TaskPhase::kStarting);
  task->since = now;
  task->answered = Instant{};
  task->percent = -1;
  task->percent_changed = now;
  StartRun order;
  order.target = this->TargetOf(*endpoint);
  order.task = NameOf(*task);
  order.run = task->run;
  order.payload = task->step->job->accepted.spec.payload;
  order.checkpoint = task->checkpoint;
  order.lease_until_ms = this->LeaseUntil(endpoint, now);
  order.incarnation = endpoint->incarnation;
  const auto since_read =
      std::chrono::duration_cast<Milliseconds>(now - endpoint->clock_read);
  order.min_clock_ms =
      endpoint->clock_ms +
      since_read.count() * (100 - this->config.clock_drift_percent) / 100 -
      kClockTolerance.count();
  if (const StepTicket* ticket = this->TicketOf(*task->step, *endpoint, now)) {
    order.ticket = ticket->ticket;
  }
  this->started_text +=
      (this->started_text.empty() ? "" : ",") + std::to_string(task->index) +
      ":" + std::to_string(order.run) + ":" + endpoint->row.id.value + ":" +
      std::to_string(FreeResources(*endpoint).milli_cores) + ":" +
      std::to_string(since_read.count());
  this->order_bytes += OrderBytes(order);
  // Copies of a speculative task may run in parallel.
  if (!task->step->spec->speculative) {
    this->open_starts.emplace(
        std::pair(order.task, order.run),
        OpenStart{.endpoint = endpoint->row.id, .sent = now});
  }
  this->actions.starts.push_back(std::move(order));
}

bool JobScheduler::State::MaySendStart(std::size_t untracked) const {
  return this->order_bytes < this->config.max_order_bytes &&
         this->tracked_tasks + untracked <= this->config.max_tracked_tasks;
}

}  // namespace peridot
