// JobScheduler: calls to the advice service, which decides which endpoints may
// run a step.

#include <algorithm>
#include <numeric>
#include <tuple>
#include <utility>

#include "src/coordination/job_scheduler.h"
#include "src/coordination/job_scheduler_internal.h"

namespace peridot {

namespace {

// Endpoint that a call may name; the ones to name first compare lower.
struct EndpointToAsk {
  int failed_calls = 0;
  bool unknown = false;   // was not asked about; otherwise its ticket expired
  bool far = false;       // not in the rack of the data
  Instant renew_after{};  // of the expired ticket
  const EndpointState* endpoint = nullptr;

  friend bool operator<(const EndpointToAsk& a, const EndpointToAsk& b) {
    return std::tie(a.failed_calls, a.unknown, a.far, a.renew_after,
                    a.endpoint->incarnation) <
           std::tie(b.failed_calls, b.unknown, b.far, b.renew_after,
                    b.endpoint->incarnation);
  }
};

int FailedCalls(const StepAdvice& advice, const EndpointState& endpoint) {
  const auto found = advice.failed_calls.find(endpoint.incarnation);
  return found == advice.failed_calls.end() ? 0 : found->second;
}

// Chooses the endpoints of one call; there is at least one candidate. Those
// with different numbers of failed calls are not mixed, and each failed call
// halves the limits of the next one.
std::vector<const EndpointState*> ChooseForCall(
    std::vector<EndpointToAsk> candidates,
    const JobSchedulerConfig& config) {
  std::sort(candidates.begin(), candidates.end());
  const int failed_calls = candidates.front().failed_calls;
  const auto limit = [failed_calls](std::size_t most) {
    constexpr int kMaxHalvings = 16;
    return std::max<std::size_t>(1,
                                 most >> std::min(failed_calls, kMaxHalvings));
  };
  const std::size_t max_total = limit(config.max_advice_endpoints);
  const std::size_t max_unknown = limit(config.advice_endpoints);
  // Renewals come first and leave room for the endpoints that are not known.
  const std::size_t max_renewals =
      std::max(max_total, max_unknown + 1) - max_unknown;
  std::size_t unknown = 0;
  std::vector<const EndpointState*> chosen;
  for (const EndpointToAsk& ask : candidates) {
    const bool fits =
        ask.unknown ? unknown < max_unknown : chosen.size() < max_renewals;
    if (ask.failed_calls == failed_calls && fits && chosen.size() < max_total) {
      chosen.push_back(ask.endpoint);
      unknown += ask.unknown ? 1 : 0;
    }
  }
  return chosen;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Steps that lack tickets
//-----------------------------------------------------------------------------

const StepTicket* JobScheduler::State::TicketOf(const ScheduledStep& step,
                                                const EndpointState& endpoint,
                                                Instant now) const {
  const auto found = step.advice.allowed.find(endpoint.incarnation);
  return found == step.advice.allowed.end() || found->second.expires <= now
             ? nullptr
             : &found->second;
}

void JobScheduler::State::AddAdviceCandidate(
    ScheduledStep* step,
    const QueueConfig& queue,
    const std::vector<EndpointState*>& usable,
    Instant now) {
  StepAdvice& advice = step->advice;
  if (step->waiting == 0) {
    advice.waits_since = kNever;
    return;
  }
  // Tickets for a step that is not ready yet could expire before it is; they
  // are requested early only if tickets have no validity limit.
  const bool ready = step->ready_since != kNever;
  if ((!ready && queue.advice.valid.count() > 0) || advice.next_call > now ||
      !this->WithinTeamLimit(step->job->accepted.team, step->spec->per_task) ||
      this->open_advice.contains(FirstTaskOf(*step))) {
    return;
  }
  if (advice.waits_since == kNever) {
    advice.waits_since = now;
  }
  this->advice_candidates.push_back(
      AdviceCandidate{step, &queue, &usable, this->advice_position++});
}

//-----------------------------------------------------------------------------
// [SECTION] Calls
//-----------------------------------------------------------------------------

void JobScheduler::State::RequestAdvice(Instant now) {
  // The services take turns; within each, its order of jobs decides.
  std::vector<AdviceCandidate> in_order =
      std::exchange(this->advice_candidates, {});
  if (in_order.empty() ||
      this->open_advice.size() >= this->config.advice_calls) {
    return;
  }
  std::stable_sort(in_order.begin(), in_order.end(),
                   [](const AdviceCandidate& a, const AdviceCandidate& b) {
                     return a.position < b.position;
                   });
  // Steps at the head of the order may need calls again and again; one call is
  // reserved so that every other step gets its turn.
  std::vector<AdviceCandidate> by_wait = in_order;
  std::stable_sort(by_wait.begin(), by_wait.end(),
                   [](const AdviceCandidate& a, const AdviceCandidate& b) {
                     return a.step->advice.waits_since <
                            b.step->advice.waits_since;
                   });
  for (const AdvicePurpose purpose :
       {AdvicePurpose::kStart, AdvicePurpose::kPrepare}) {
    const bool turn_open =
        std::any_of(this->open_advice.begin(), this->open_advice.end(),
                    [](const auto& entry) { return entry.second.in_turn; });
    for (const AdviceCandidate& candidate : by_wait) {
      if (turn_open || this->SendAdviceCall(candidate, purpose, true, now)) {
        break;
      }
    }
    for (const AdviceCandidate& candidate : in_order) {
      if (this->open_advice.size() >= this->config.advice_calls) {
        return;
      }
      this->SendAdviceCall(candidate, purpose, false, now);
    }
  }
  // A free call is left, so that no step waits for one.
  for (const AdviceCandidate& candidate : in_order) {
    candidate.step->advice.waits_since = kNever;
  }
}

std::vector<const EndpointState*> JobScheduler::State::EndpointsToAsk(
    const AdviceCandidate& candidate,
    AdvicePurpose purpose,
    Instant now) const {
  const ScheduledStep& step = *candidate.step;
  const StepAdvice& advice = step.advice;
  const bool ready = step.ready_since != kNever;
  if (!ready && purpose == AdvicePurpose::kStart) {
    return {};
  }
  std::vector<EndpointToAsk> candidates;
  int allowed = 0;
  for (const EndpointState* endpoint : *candidate.usable) {
    const bool suitable = step.spec->required_label.empty() ||
                          HasLabel(*endpoint, step.spec->required_label);
    if (!suitable || IsRefused(step, *endpoint)) {
      continue;
    }
    const bool can_start = ready && this->HasRoomFor(*endpoint, step);
    EndpointToAsk ask;
    ask.endpoint = endpoint;
    ask.far = !step.spec->data_rack.empty() &&
              !HasLabel(*endpoint, step.spec->data_rack);
    const auto known = advice.allowed.find(endpoint->incarnation);
    if (known != advice.allowed.end()) {
      // A step that waits for its rack must learn whether it may run there.
      allowed += ask.far && step.place_wait != nullptr ? 0 : 1;
      ask.renew_after = known->second.renew_after;
      if (!can_start || known->second.expires > now || ask.renew_after > now) {
        continue;
      }
    } else if (can_start != (purpose == AdvicePurpose::kStart)) {
      continue;
    }
    ask.unknown = known == advice.allowed.end();
    ask.failed_calls = FailedCalls(advice, *endpoint);
    candidates.push_back(ask);
  }
  if (candidates.empty() ||
      (purpose == AdvicePurpose::kPrepare && allowed >= step.waiting)) {
    return {};
  }
  return ChooseForCall(std::move(candidates), this->config);
}

bool JobScheduler::State::SendAdviceCall(const AdviceCandidate& candidate,
                                         AdvicePurpose purpose,
                                         bool in_turn,
                                         Instant now) {
  AdviceRequest call;
  call.step = FirstTaskOf(*candidate.step);
  if (this->open_advice.size() >= this->config.advice_calls ||
      this->open_advice.contains(call.step)) {
    return false;
  }
  const std::vector<const EndpointState*> endpoints =
      this->EndpointsToAsk(candidate, purpose, now);
  if (endpoints.empty()) {
    return false;
  }
  const AdviceSettings& advice = candidate.queue->advice;
  OpenAdviceCall open;
  open.duration = advice.call_latency + advice.latency_per_endpoint *
                                            static_cast<int>(endpoints.size());
  open.in_turn = in_turn;
  open.failed_calls = FailedCalls(candidate.step->advice, *endpoints.front());
  for (const EndpointState* endpoint : endpoints) {
    call.endpoints.push_back(endpoint->row.id);
    open.named.emplace(endpoint->row.id, endpoint->incarnation);
  }
  call.expected =
      std::accumulate(this->open_advice.begin(), this->open_advice.end(),
                      open.duration, [](Milliseconds sum, const auto& entry) {
                        return sum + entry.second.duration;
                      });
  this->open_advice.emplace(call.step, std::move(open));
  this->actions.advice.push_back(std::move(call));
  return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

void JobScheduler::OnAdvice(
    const AdviceRequest& call,
    const std::optional<std::vector<AdviceTicket>>& tickets,
    Milliseconds valid,
    Instant now) {
  State& state = *this->state;
  const auto found = state.open_advice.find(call.step);
  if (found == state.open_advice.end()) {
    return;
  }
  const OpenAdviceCall open = std::move(found->second);
  state.open_advice.erase(found);
  std::map<EndpointId, Incarnation> named = open.named;
  const std::size_t asked = named.size();
  auto& counts = state.counters.advice_by_answer;
  const auto log = [&](std::size_t allowed, std::size_t refused,
                       const char* outcome) {
    state.LogDecision("decision=advice step=" + TaskText(call.step) +
                      " outcome=" + outcome +
                      " named=" + std::to_string(asked) +
                      " first=" + call.endpoints.front().value +
                      " allowed=" + std::to_string(allowed) +
                      " refused=" + std::to_string(refused) +
                      " valid_ms=" + std::to_string(valid.count()));
  };
  ScheduledStep* const step =
      state.FindStep(call.step.job, call.step.occurrence, call.step.step);
  if (step == nullptr) {
    log(0, 0, "job_gone");
    return;
  }
  StepAdvice& advice = step->advice;
  if (!tickets) {
    advice.next_call = now + state.config.advice_retry;
    advice.waits_since = kNever;
    for (const auto& [id, incarnation] : named) {
      ++advice.failed_calls[incarnation];
      if (const auto known = advice.allowed.find(incarnation);
          known != advice.allowed.end()) {
        known->second.renew_after = advice.next_call;
      }
    }
    counts["unanswered"] += asked;
    log(0, 0, "failed");
    return;
  }
  const bool only_renewals = std::all_of(
      named.begin(), named.end(),
      [&](const auto& entry) { return advice.allowed.contains(entry.second); });
  if (only_renewals) {
    advice.waits_since = kNever;
  }
  for (const auto& [id, incarnation] : named) {
    advice.failed_calls.erase(incarnation);
  }
  // The service has recovered, or its fault lies in other processes.
  if (open.failed_calls > 0) {
    for (auto& [incarnation, failed] : advice.failed_calls) {
      failed = std::max(1, failed - 1);
    }
  }
  const QueueConfig* const queue = state.QueueOf(*step->job);
  if (valid.count() == 0 && queue != nullptr) {
    valid = queue->advice.valid;
  }
  const Instant expires =
      valid.count() == 0
          ? kNever
          : now + valid - std::min(state.config.ticket_margin, valid / 4);
  std::size_t allowed = 0;
  for (const AdviceTicket& ticket : *tickets) {
    const auto endpoint = named.find(ticket.endpoint);
    if (endpoint == named.end()) {
      continue;  // was not asked about; the line below shows the difference
    }
    advice.allowed[endpoint->second] =
        StepTicket{ticket.ticket, expires, now + state.config.advice_retry};
    named.erase(endpoint);
    ++allowed;
  }
  for (const auto& [id, incarnation] : named) {
    // No new ticket contradicts the earlier answer, so it is requested again.
    if (const auto known = advice.allowed.find(incarnation);
        known != advice.allowed.end()) {
      known->second.renew_after = now + state.config.rejected_ticket_backoff;
    } else {
      advice.refused.insert(incarnation);
    }
  }
  counts["allowed"] += allowed;
  counts["refused"] += named.size();
  log(allowed, named.size(),
      allowed == tickets->size() ? "answered" : "others_answered");
}

}  // namespace peridot
