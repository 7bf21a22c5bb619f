// JobScheduler: what previous owners may have left running, and which endpoints
// have ended.

#include <algorithm>
#include <chrono>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Endpoints of previous owners
//-----------------------------------------------------------------------------

void JobScheduler::OnPreviousOwnerEndpoints(
    const std::vector<UsedEndpoint>& endpoints,
    Instant now) {
  for (const UsedEndpoint& used : endpoints) {
    const auto known = this->state->endpoints.find(used.id);
    EndpointState* endpoint = nullptr;
    if (known != this->state->endpoints.end()) {
      endpoint = known->second.get();
    } else {
      EndpointRow row;
      row.id = used.id;
      row.service = used.service;
      row.capacity = used.capacity;
      endpoint = this->state->AddEndpoint(row, now);
      if (used.lapse_ms > 0) {
        endpoint->lapse_at =
            std::min(endpoint->lapse_at, now + Milliseconds(used.lapse_ms));
      }
    }
    if (used.lapse_ms > 0) {
      endpoint->lapse_stored = endpoint->lapse_taken = true;
    }
    if (used.long_lease_ms > 0) {
      const Instant lapse = now + Milliseconds(used.long_lease_ms);
      if (lapse > endpoint->long_lease_until) {
        endpoint->long_lease_until = lapse;
        endpoint->long_lease_stored = endpoint->long_lease_taken = true;
      }
      endpoint->lapse_at = std::max(endpoint->lapse_at, lapse);
      endpoint->recovery_ends = std::max(endpoint->recovery_ends, lapse);
    }
    for (const UnansweredStart& start : used.unanswered_starts) {
      const Instant until = now + Milliseconds(start.remaining_ms);
      this->state->open_starts[{start.task, start.run}] =
          OpenStart{.endpoint = used.id,
                    .sent = now,
                    .until = until,
                    .may_run = start.may_run,
                    .stored = true,
                    .taken = true};
      this->state->open_starts_check =
          std::min(this->state->open_starts_check, until);
    }
    endpoint->previous_start_ms = used.start_time_ms;
    this->state->CheckPreviousProcess(endpoint, now);
  }
}

std::vector<UsedEndpoint> JobScheduler::TakeUsedEndpoints(Instant now) {
  std::map<EndpointId, std::vector<UnansweredStart>> unanswered =
      this->state->TakeUnansweredStarts(now);
  std::vector<UsedEndpoint> used;
  for (const auto& [id, endpoint] : this->state->endpoints) {
    UsedEndpoint& entry = used.emplace_back(
        UsedEndpoint{id, endpoint->row.service, endpoint->row.capacity});
    const bool lapsing = !endpoint->listed || endpoint->failed_polls > 0;
    if (lapsing && endpoint->lapse_at > now) {
      entry.lapse_ms =
          std::chrono::duration_cast<Milliseconds>(endpoint->lapse_at - now)
              .count();
    }
    endpoint->lapse_taken = entry.lapse_ms > 0;
    endpoint->lapse_stored = endpoint->lapse_stored || endpoint->lapse_taken;
    if (this->state->HasLongLease(*endpoint, now)) {
      entry.long_lease_ms = std::chrono::duration_cast<Milliseconds>(
                                endpoint->long_lease_until - now)
                                .count();
    }
    endpoint->long_lease_taken = entry.long_lease_ms > 0;
    entry.start_time_ms = endpoint->row.start_time_ms;
    if (const auto found = unanswered.find(id); found != unanswered.end()) {
      entry.unanswered_starts = std::move(found->second);
    }
  }
  return used;
}

void JobScheduler::OnUsedEndpointsStored() {
  for (const auto& [id, endpoint] : this->state->endpoints) {
    endpoint->lapse_stored = endpoint->lapse_taken;
    endpoint->long_lease_stored = endpoint->long_lease_taken;
  }
  for (auto& [run, start] : this->state->open_starts) {
    start.stored = start.taken;
  }
}

bool JobScheduler::HasUnstoredLeases(Instant now) const {
  return std::any_of(
      this->state->endpoints.begin(), this->state->endpoints.end(),
      [this, now](const auto& entry) {
        const EndpointState& endpoint = *entry.second;
        const bool returned = endpoint.lapse_stored && endpoint.listed &&
                              endpoint.fenced && endpoint.failed_polls == 0;
        return returned || (!endpoint.long_lease_stored &&
                            this->state->HasLongLease(endpoint, now));
      });
}

//-----------------------------------------------------------------------------
// [SECTION] Ended endpoints
//-----------------------------------------------------------------------------

void JobScheduler::OnHostEndpoints(const std::set<EndpointId>& current,
                                   Instant sent,
                                   Instant now) {
  State& state = *this->state;
  if (!state.IsPlausibleHostList(current, sent)) {
    state.LogDecision("decision=host_list_ignored endpoints=" +
                      std::to_string(current.size()));
    return;
  }
  int ended = 0;
  for (const auto& [id, endpoint] : state.endpoints) {
    const bool answers =
        endpoint->fenced && endpoint->listed && endpoint->failed_polls == 0;
    if (answers || endpoint->process_ended || endpoint->replaced ||
        current.contains(id) ||
        state.AgeOf(*endpoint, sent) < state.config.host_list_delay) {
      continue;
    }
    endpoint->process_ended = true;
    ++ended;
  }
  if (ended > 0) {
    state.LogDecision(
        "decision=endpoints_ended count=" + std::to_string(ended) +
        " list_age_ms=" +
        std::to_string(
            std::chrono::duration_cast<Milliseconds>(now - sent).count()));
  }
}

bool JobScheduler::State::IsPlausibleHostList(
    const std::set<EndpointId>& current,
    Instant sent) const {
  std::size_t expected = 0;
  std::size_t present = 0;
  for (const auto& [id, endpoint] : this->endpoints) {
    if (!endpoint->listed || endpoint->excluded ||
        this->AgeOf(*endpoint, sent) < this->config.host_list_delay) {
      continue;
    }
    ++expected;
    if (current.contains(id)) {
      ++present;
    } else if (endpoint->fenced && endpoint->failed_polls == 0 &&
               endpoint->clock_read > sent) {
      return false;
    }
  }
  return static_cast<double>(present) >=
         this->config.min_host_list_share * static_cast<double>(expected);
}

Duration JobScheduler::State::AgeOf(const EndpointState& endpoint,
                                    Instant at) const {
  if (endpoint.row.start_time_ms == 0) {
    return at - endpoint.known_since;
  }
  const std::int64_t unix_ms =
      std::chrono::duration_cast<Milliseconds>(at.time_since_epoch()).count() +
      this->wall_offset_ms;
  return Milliseconds(unix_ms - endpoint.row.start_time_ms);
}

//-----------------------------------------------------------------------------
// [SECTION] Work that may run unseen
//-----------------------------------------------------------------------------

void JobScheduler::State::FindUnrecovered(Instant now) {
  this->unrecovered.clear();
  this->unpolled_capacity = Resources{};
  for (const auto& [id, endpoint] : this->endpoints) {
    const Milliseconds grace =
        endpoint->listed ? this->config.listed_recovery_grace : Milliseconds{0};
    if (endpoint->recovered || endpoint->process_ended ||
        endpoint->lapse_at + grace <= now) {
      continue;
    }
    // The lease of an endpoint that answers is renewed, so that recovery can
    // last longer than the leases of previous owners.
    if (endpoint->fenced) {
      this->unrecovered.insert(endpoint->row.service);
    } else if (now < endpoint->recovery_ends + grace) {
      this->unrecovered.insert(endpoint->row.service);
      if (endpoint->lapse_at > now) {
        this->unpolled_capacity += endpoint->row.capacity;
      }
    }
  }
}

bool JobScheduler::State::MayRunUnseen(const ScheduledJob& job) const {
  if (!job.before_takeover || this->unrecovered.empty()) {
    return false;
  }
  if (this->moves.unknown || this->unrecovered.contains(job.accepted.service)) {
    return true;
  }
  const auto found = this->moves.services.find(job.accepted.queue);
  return found != this->moves.services.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [this](const ServiceId& service) {
                       return this->unrecovered.contains(service);
                     });
}

//-----------------------------------------------------------------------------
// [SECTION] Queues that moved to another service
//-----------------------------------------------------------------------------

namespace {

// Time between two removals of moves that no longer matter.
constexpr Milliseconds kMovesCheckInterval{1000};

bool Contains(const QueueMoves& moves,
              const std::string& queue,
              const ServiceId& service) {
  const auto found = moves.services.find(queue);
  return found != moves.services.end() && found->second.contains(service);
}

// Returns the moves that both records list.
QueueMoves Common(const QueueMoves& one, const QueueMoves& other) {
  QueueMoves common;
  for (const auto& [queue, services] : one.services) {
    for (const ServiceId& service : services) {
      if (Contains(other, queue, service)) {
        common.services[queue].insert(service);
      }
    }
  }
  return common;
}

}  // namespace

void JobScheduler::OnPreviousQueueMoves(const QueueMoves& moves) {
  this->state->moves = this->state->stored_moves = moves;
}

QueueMoves JobScheduler::TakeQueueMoves(Instant now) {
  State& state = *this->state;
  if (now >= state.next_moves_check) {
    state.next_moves_check = now + kMovesCheckInterval;
    state.RemoveSettledMoves(now);
  }
  state.taken_moves = state.moves;
  // The write may take effect without an answer, so that the store holds
  // either record from now on.
  state.stored_moves = Common(state.stored_moves, state.taken_moves);
  return state.taken_moves;
}

void JobScheduler::OnQueueMovesStored() {
  this->state->stored_moves = this->state->taken_moves;
}

bool JobScheduler::HasUnstoredQueueMoves() const {
  const State& state = *this->state;
  return Common(state.moves, state.stored_moves).services !=
         state.moves.services;
}

void JobScheduler::State::UpdateMoved(ScheduledJob* job) {
  const ServiceId service = this->ServiceOf(*job);
  job->moved = service != job->accepted.service;
  if (job->moved &&
      this->moves.services[job->accepted.queue].insert(service).second) {
    this->LogDecision("decision=queue_moved queue=" + job->accepted.queue +
                      " from=" + job->accepted.service.value +
                      " to=" + service.value);
  }
}

bool JobScheduler::State::IsMoveStored(const ScheduledJob& job) const {
  return !job.moved ||
         Contains(this->stored_moves, job.accepted.queue, this->ServiceOf(job));
}

void JobScheduler::State::RemoveSettledMoves(Instant now) {
  this->FindUnrecovered(now);
  this->moves.unknown = this->moves.unknown && !this->unrecovered.empty();
  if (this->moves.services.empty()) {
    return;
  }
  std::map<std::string, std::set<ServiceId>> needed;
  for (const ScheduledJob* job : this->active) {
    const auto found = this->moves.services.find(job->accepted.queue);
    if (found == this->moves.services.end()) {
      continue;
    }
    for (const ServiceId& service : found->second) {
      const bool may_run_there =
          job->placed > 0 ||
          (job->before_takeover && this->unrecovered.contains(service)) ||
          service == this->ServiceOf(*job);
      if (service != job->accepted.service && may_run_there) {
        needed[job->accepted.queue].insert(service);
      }
    }
  }
  this->moves.services = std::move(needed);
}

}  // namespace peridot
