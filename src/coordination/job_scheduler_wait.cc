// JobScheduler: waits of steps for room at their preferred places.

#include <algorithm>
#include <cmath>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

namespace {

// Maximum age of a forecast. It is far below the durations of tasks; room that
// opens earlier than forecast is used at once.
constexpr Milliseconds kForecastInterval{25};

// Forecasts of needs that no step has had for this long are removed.
constexpr std::chrono::seconds kForecastUnused{5};

// Time until a new endpoint has answered its first poll.
constexpr Milliseconds kFirstPoll{100};

// Time until an endpoint has confirmed a stop and reported it.
constexpr Milliseconds kStopTime{100};

double Ratio(std::int64_t amount, std::int64_t need) {
  return static_cast<double>(amount) / static_cast<double>(need);
}

// Returns how many tasks with this need fit into the room.
double Units(const Resources& room, const Resources& need) {
  double units = 1e6;
  const auto limit = [&](std::int64_t amount, std::int64_t needed) {
    if (needed > 0) {
      units = std::min(units, std::max(0.0, Ratio(amount, needed)));
    }
  };
  limit(room.milli_cores, need.milli_cores);
  limit(room.memory_mb, need.memory_mb);
  limit(room.accelerators, need.accelerators);
  return units;
}

// Returns how many tasks with this need the end of a run makes room for, by the
// resource that the endpoint has least of.
double FreedUnits(const Resources& freed,
                  const Resources& need,
                  const Resources& capacity) {
  double scarcest = 0;
  double units = 0;
  const auto consider = [&](std::int64_t amount, std::int64_t needed,
                            std::int64_t most) {
    const double share = needed > 0 && most > 0 ? Ratio(needed, most) : 0;
    if (share > scarcest) {
      scarcest = share;
      units = Ratio(amount, needed);
    }
  };
  consider(freed.milli_cores, need.milli_cores, capacity.milli_cores);
  consider(freed.memory_mb, need.memory_mb, capacity.memory_mb);
  consider(freed.accelerators, need.accelerators, capacity.accelerators);
  return units;
}

// Returns the number of the interval that holds the amount, with `per_octave`
// intervals between an amount and its double.
int Interval(std::int64_t amount, int per_octave) {
  return amount <= 0
             ? -1
             : static_cast<int>(std::floor(
                   per_octave * std::log2(static_cast<double>(amount))));
}

std::int64_t ToMilliseconds(Duration duration) {
  return std::chrono::duration_cast<Milliseconds>(duration).count();
}

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(duration) * factor);
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Places
//-----------------------------------------------------------------------------

std::string JobScheduler::State::PreferredRack(
    const ScheduledStep& step) const {
  if (!step.spec->data_rack.empty() || !step.spec->same_rack) {
    return step.spec->data_rack;
  }
  const auto placed = std::find_if(
      step.tracked.begin(), step.tracked.end(),
      [](const auto& entry) { return MayBeRunning(entry.second); });
  return placed == step.tracked.end() ? std::string()
                                      : RackOf(*placed->second.endpoint);
}

bool JobScheduler::State::RunsAtPlace(const ScheduledTask& task,
                                      const EndpointState& endpoint) const {
  const StepSpec& spec = *task.step->spec;
  if (!spec.data_rack.empty()) {
    return HasLabel(endpoint, spec.data_rack);
  }
  return !spec.same_rack ||
         std::none_of(task.step->tracked.begin(), task.step->tracked.end(),
                      [&](const auto& entry) {
                        const ScheduledTask& other = entry.second;
                        return MayBeRunning(other) &&
                               RackOf(*other.endpoint) != RackOf(endpoint);
                      });
}

//-----------------------------------------------------------------------------
// [SECTION] Forecasts
//-----------------------------------------------------------------------------

PlaceForecast JobScheduler::State::BuildForecast(const ScheduledStep& step,
                                                 const std::string& rack,
                                                 Milliseconds delay,
                                                 Instant now) const {
  const Resources need = Reserved(*step.spec);
  const auto service = this->services.find(this->ServiceOf(*step.job));
  std::vector<EndpointOutlook> outlooks;
  if (service == this->services.end()) {
    return {};
  }
  for (const EndpointState* endpoint : service->second.endpoints) {
    const bool may_run =
        HasLabel(*endpoint, rack) && endpoint->listed && endpoint->row.ready &&
        !endpoint->excluded && !endpoint->lapse_stored &&
        !endpoint->process_ended &&
        endpoint->failed_polls < this->config.failed_polls_to_unreachable &&
        (step.spec->required_label.empty() ||
         HasLabel(*endpoint, step.spec->required_label)) &&
        !IsRefused(step, *endpoint);
    if (!may_run) {
      continue;
    }
    EndpointOutlook& outlook = outlooks.emplace_back();
    const Instant accepts = std::max(
        {now, endpoint->unhealthy_until, endpoint->full_until,
         endpoint->quarantine_until,
         endpoint->fenced && endpoint->has_clock ? now : now + kFirstPoll});
    outlook.available = accepts - now + delay;
    outlook.free = Units(FreeResources(*endpoint), need);
    Resources most = endpoint->row.capacity;
    for (const ScheduledTask* task : endpoint->tasks) {
      const ScheduledStep& other = *task->step;
      const Resources freed = Reserved(*other.spec);
      if (other.spec->long_running && task->phase != TaskPhase::kStopping) {
        most -= freed;
        continue;
      }
      EndpointOutlook::Run& run = outlook.runs.emplace_back();
      run.units = FreedUnits(freed, need, endpoint->row.capacity);
      if (task->phase == TaskPhase::kStopping) {
        run.outlook.expected = kStopTime;
        continue;
      }
      const auto model = this->durations.find(other.job->accepted.queue);
      run.outlook.expected = other.expected;
      run.outlook.spread = model == this->durations.end()
                               ? DurationModel().Spread()
                               : model->second.Spread();
      run.outlook.age = now - task->since;
      if (PrefersPlace(*other.spec) && !this->RunsAtPlace(*task, *endpoint)) {
        run.outlook.expected =
            Scale(run.outlook.expected, this->config.remote_factor);
      }
    }
    outlook.most = Units(most, need);
    if (step.spec->max_per_endpoint > 0) {
      outlook.most = std::min(outlook.most,
                              static_cast<double>(step.spec->max_per_endpoint));
    }
  }
  return PlaceForecast(outlooks, now);
}

RackOutlook& JobScheduler::State::OutlookOf(const ScheduledStep& step,
                                            const std::string& rack,
                                            Instant now) {
  RackOutlook& outlook = this->racks[{this->ServiceOf(*step.job), rack}];
  if (outlook.round != now) {
    outlook.round = now;
    outlook.claims.clear();
    outlook.waiting = 0;
    std::erase_if(outlook.entries, [now](const auto& entry) {
      return entry.second.round + kForecastUnused <= now;
    });
  }
  return outlook;
}

void JobScheduler::State::CountPlaceDemand(ScheduledStep* step, Instant now) {
  const std::string rack = this->PreferredRack(*step);
  if (step->demand_counted || rack.empty() || step->spec->long_running) {
    return;
  }
  step->demand_counted = true;
  this->OutlookOf(*step, rack, now)
      .demand.OnReady(step->expected * step->waiting, now);
}

const PlaceForecast& JobScheduler::State::ForecastOf(const ScheduledStep& step,
                                                     const std::string& rack,
                                                     const QueueConfig* queue,
                                                     Instant now) {
  const StepSpec& spec = *step.spec;
  const Resources reserved = Reserved(spec);
  RackOutlook& outlook = this->OutlookOf(step, rack, now);
  const Milliseconds delay =
      queue != nullptr && queue->needs_advice
          ? queue->advice.call_latency + queue->advice.latency_per_endpoint
          : Milliseconds{0};
  const auto apply = [&](PlaceForecast* forecast, std::size_t from) {
    for (std::size_t i = from; i < outlook.claims.size(); ++i) {
      const RackOutlook::Claim& claim = outlook.claims[i];
      const double per_task =
          reserved.milli_cores > 0
              ? std::max(1.0, Ratio(claim.milli_cores, reserved.milli_cores))
              : 1.0;
      forecast->Claim(static_cast<std::size_t>(std::ceil(
                          per_task * static_cast<double>(claim.tasks))),
                      claim.duration, now);
    }
  };
  if (!step.advice.refused.empty()) {
    // Not shared with steps that the advice service treats differently.
    this->own_forecast = this->BuildForecast(step, rack, delay, now);
    apply(&this->own_forecast, 0);
    return this->own_forecast;
  }
  // Four intervals an octave: the forecast of a need is off by 19% at most.
  const RackOutlook::Need need{Interval(reserved.milli_cores, 4),
                               Interval(reserved.memory_mb, 1),
                               reserved.accelerators,
                               spec.max_per_endpoint,
                               spec.required_label,
                               delay};
  RackOutlook::Entry& entry = outlook.entries[need];
  if (entry.built == Instant{} || entry.built + kForecastInterval <= now) {
    entry.base = this->BuildForecast(step, rack, delay, now);
    entry.built = now;
    entry.round = Instant{};
  }
  if (entry.round != now) {
    entry.claimed = entry.base;
    entry.round = now;
    entry.applied = 0;
  }
  apply(&entry.claimed, entry.applied);
  entry.applied = outlook.claims.size();
  return entry.claimed;
}

//-----------------------------------------------------------------------------
// [SECTION] Decisions
//-----------------------------------------------------------------------------

Instant JobScheduler::State::PlaceWaitSince(const ScheduledStep& step,
                                            Instant now) const {
  if (!step.job->before_takeover) {
    return now;
  }
  // When earlier steps ended is not stored; they are taken to have run for
  // their expected durations without waiting for endpoints.
  const ScheduledOccurrence* const occurrence =
      &step.job->occurrences.at(step.occurrence);
  std::vector<Duration> ready(occurrence->steps.size());
  for (int i = 0; i <= step.number; ++i) {
    for (const int earlier : occurrence->steps[i].spec->after) {
      ready[i] = std::max<Duration>(
          ready[i], ready[earlier] + occurrence->steps[earlier].expected);
    }
  }
  const Instant due =
      std::max(step.job->arrived, this->DueAt(*step.job, step.occurrence));
  return std::min(now, due + ready[step.number]);
}

bool JobScheduler::State::WaitsForRack(ScheduledTask* task,
                                       std::size_t tasks,
                                       const std::string& rack,
                                       const QueueConfig* queue,
                                       Instant now) {
  ScheduledStep* const step = task->step;
  const ScheduledJob& job = *step->job;
  const Duration saving =
      Scale(step->expected, std::max(0.0, this->config.remote_factor - 1));
  const std::unique_ptr<StepPlaceWait>& known = step->place_wait;
  const Instant begun =
      known == nullptr ? this->PlaceWaitSince(*step, now) : known->since;
  PlaceWaitInput input;
  input.saving = saving;
  // A task that returned to waiting has a wait of its own.
  input.since = std::max(begun, task->since);
  PlaceWaitBounds bounds;
  bounds.has_objective =
      queue != nullptr && !step->spec->long_running &&
      (queue->objective.count() > 0 || queue->critical_path_factor > 1);
  if (bounds.has_objective) {
    bounds.objective = job.arrived + this->CompletionObjective(job);
    bounds.path_left = this->CriticalPath(job, true);
  }
  bounds.saving = saving;
  input.last_useful = LastUsefulInstant(bounds, input.since);
  const PlaceForecast& forecast = this->ForecastOf(*step, rack, queue, now);
  input.waits = forecast.WaitsFor(tasks, now);
  RackOutlook& outlook = this->OutlookOf(*step, rack, now);
  input.within_queue =
      outlook.waiting + tasks <=
      std::max(tasks, BestQueueLength(forecast.Capacity(),
                                      outlook.demand.BusySlots(now),
                                      this->config.remote_factor - 1));
  const PlaceWaitDecision decision = DecidePlaceWait(input, now);
  if (known != nullptr) {
    known->until = decision.until;
    known->reason = decision.reason;
  }
  if (!decision.wait) {
    return false;
  }
  outlook.waiting += tasks;
  outlook.claims.push_back(RackOutlook::Claim{
      tasks, Reserved(*step->spec).milli_cores, step->expected});
  if (known == nullptr) {
    step->place_wait = std::make_unique<StepPlaceWait>();
    step->place_wait->since = begun;
    step->place_wait->until = decision.until;
    step->place_wait->reason = decision.reason;
    this->LogDecision("decision=place_wait task=" + TaskText(NameOf(*task)) +
                      " place=" + rack + " until_ms=" +
                      std::to_string(ToMilliseconds(decision.until - now)) +
                      " saving_ms=" + std::to_string(ToMilliseconds(saving)));
  }
  step->place_wait->place = rack;
  return true;
}

bool JobScheduler::State::WaitsAsWell(ScheduledTask* task,
                                      const QueueConfig* queue,
                                      Instant now) {
  const std::string rack = this->PreferredRack(*task->step);
  if (rack.empty() || !task->avoided_endpoint.value.empty() ||
      !this->WaitsForRack(task, 1, rack, queue, now)) {
    return false;
  }
  this->counters.place_waits += task->waits_for_place ? 0 : 1;
  task->waits_for_place = true;
  return true;
}

EndpointState* JobScheduler::State::PreferPlace(
    ScheduledTask* task,
    EndpointState* found,
    const QueueConfig* queue,
    const std::vector<EndpointState*>& usable,
    Instant now) {
  const ScheduledStep& step = *task->step;
  const std::string rack = this->PreferredRack(step);
  if (rack.empty() || HasLabel(*found, rack) ||
      !this->WaitsForRack(task, 1, rack, queue, now)) {
    return found;
  }
  if (!task->avoided_endpoint.value.empty()) {
    // Room at the place on an endpoint that the task avoids beats a wait.
    std::vector<EndpointState*> near;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(near),
                 [&](const EndpointState* endpoint) {
                   return HasLabel(*endpoint, rack);
                 });
    if (EndpointState* const endpoint =
            this->ChooseEndpoint(step, *task, queue, near, now)) {
      return endpoint;
    }
  }
  this->counters.place_waits += task->waits_for_place ? 0 : 1;
  task->waits_for_place = true;
  return nullptr;
}

const std::vector<EndpointState*>* JobScheduler::State::ChooseGangRack(
    ScheduledStep* step,
    const QueueConfig* queue,
    const std::vector<EndpointState*>& usable,
    Instant now) {
  this->CountPlaceDemand(step, now);
  const StepSpec& spec = *step->spec;
  const auto tasks = static_cast<std::size_t>(spec.task_count);
  std::map<std::string, std::size_t> room_by_rack;  // for members
  std::size_t total = 0;
  for (const EndpointState* endpoint : usable) {
    std::size_t& room = room_by_rack[RackOf(*endpoint)];
    if (!this->Accepts(*endpoint, *step, queue, now)) {
      continue;
    }
    auto members = static_cast<std::size_t>(
        Units(FreeResources(*endpoint), Reserved(spec)));
    if (spec.max_per_endpoint > 0) {
      members = std::min(
          members,
          static_cast<std::size_t>(spec.max_per_endpoint -
                                   this->OthersOnEndpoint(*step, *endpoint)));
    }
    room += members;
    total += members;
  }
  if (!spec.data_rack.empty()) {
    std::erase_if(room_by_rack, [&](const auto& entry) {
      return entry.first != spec.data_rack;
    });
  }
  // The rack with the least room that suffices leaves the others to larger
  // gangs.
  const std::string* best = nullptr;
  for (const auto& [rack, room] : room_by_rack) {
    if (room >= tasks && (best == nullptr || room < room_by_rack[*best])) {
      best = &rack;
    }
  }
  if (best != nullptr) {
    if (step->place_wait != nullptr) {
      step->place_wait->place = *best;
    }
    this->gang_places.clear();
    std::copy_if(usable.begin(), usable.end(),
                 std::back_inserter(this->gang_places),
                 [&](const EndpointState* endpoint) {
                   return RackOf(*endpoint) == *best;
                 });
    return &this->gang_places;
  }
  if (total < tasks) {
    return &usable;  // there is no room elsewhere either
  }
  Duration shortest = PlaceForecast::kNoRoom;
  for (const auto& [rack, room] : room_by_rack) {
    PlaceForecast::Waits waits =
        this->ForecastOf(*step, rack, queue, now).WaitsFor(tasks, now);
    std::sort(waits.begin(), waits.end());
    const Duration median = waits[waits.size() / 2];
    if (median < shortest) {
      shortest = median;
      best = &rack;
    }
  }
  ScheduledTask* const tracked = FindTracked(step, 0);
  ScheduledTask untracked = this->NewTask(step, 0);
  ScheduledTask* const first = tracked != nullptr ? tracked : &untracked;
  untracked.waits_for_place = step->place_waits > 0;
  if (best != nullptr && this->WaitsForRack(first, tasks, *best, queue, now)) {
    this->counters.place_waits += first->waits_for_place ? 0 : 1;
    first->waits_for_place = true;
    step->place_waits = tracked == nullptr ? 1 : step->place_waits;
    return nullptr;
  }
  if (step->place_wait != nullptr) {
    step->place_wait->spread = true;
  }
  return &usable;
}

void JobScheduler::State::EndPlaceWait(ScheduledTask* task,
                                       const EndpointState& endpoint) {
  task->waits_for_place = false;
  const StepPlaceWait& wait = *task->step->place_wait;
  const bool at_place = !wait.spread && HasLabel(endpoint, wait.place);
  ++(at_place ? this->counters.place_waits_at_place
              : this->counters.place_waits_elsewhere);
  this->LogDecision("decision=place_wait_over task=" + TaskText(NameOf(*task)) +
                    " place=" + wait.place +
                    " endpoint=" + endpoint.row.id.value +
                    " at_place=" + (at_place ? "yes" : "no") +
                    " reason=" + PlaceWaitReasonName(wait.reason));
}

std::string JobScheduler::State::ExplainPlaceWait(const ScheduledStep& step,
                                                  Instant now) const {
  if (step.place_wait == nullptr ||
      (step.place_waits == 0 &&
       std::none_of(
           step.tracked.begin(), step.tracked.end(),
           [](const auto& entry) { return entry.second.waits_for_place; }))) {
    return {};
  }
  const StepPlaceWait& wait = *step.place_wait;
  return " place=" + wait.place +
         " since_ms=" + std::to_string(ToMilliseconds(now - wait.since)) +
         " until_ms=" + std::to_string(ToMilliseconds(wait.until - now)) +
         " reason=" + PlaceWaitReasonName(wait.reason);
}

void JobScheduler::State::LearnDuration(const ScheduledTask& task,
                                        Instant now) {
  const StepSpec& spec = *task.step->spec;
  if (spec.long_running || task.answered == Instant{} ||
      spec.estimate.count() <= 0) {
    return;
  }
  Duration actual = now - task.since;
  if (PrefersPlace(spec) && !this->RunsAtPlace(task, *task.endpoint)) {
    actual = Scale(actual, 1 / std::max(1.0, this->config.remote_factor));
  }
  this->durations[task.step->job->accepted.queue].OnDone(
      spec.estimate, std::chrono::duration_cast<Milliseconds>(actual));
}

}  // namespace peridot
