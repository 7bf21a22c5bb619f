#include "stand_ins/advice_model.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace peridot {

namespace {

TaskName StepOf(TaskName task) {
  task.index = 0;
  return task;
}

std::size_t PolicyHash(const TaskName& step, const EndpointId& worker) {
  return std::hash<std::string>{}(
      step.job.value + "." + std::to_string(step.occurrence) + "." +
      std::to_string(step.step) + "/" + worker.value);
}

}  // namespace

AdviceModel::AdviceModel(AdviceModelSettings settings,
                         std::vector<EndpointId> workers)
    : settings(settings), workers(std::move(workers)) {}

std::optional<Instant> AdviceModel::Accept(const AdviceRequest& call,
                                           Instant now) {
  this->answers.erase(this->answers.begin(), this->answers.upper_bound(now));
  if (call.endpoints.size() > this->settings.max_endpoints ||
      this->answers.size() >= this->settings.max_waiting) {
    return std::nullopt;
  }
  const AdviceSettings& advice = this->settings.advice;
  this->free_at =
      std::max(this->free_at, now) + advice.call_latency +
      advice.latency_per_endpoint * static_cast<int>(call.endpoints.size());
  this->answers.insert(this->free_at);
  return this->free_at;
}

std::vector<AdviceTicket> AdviceModel::Answer(
    const AdviceRequest& call,
    const std::map<EndpointId, std::int64_t>& start_times,
    Instant now) {
  std::vector<AdviceTicket> issued;
  for (const EndpointId& worker : call.endpoints) {
    const auto start = start_times.find(worker);
    if (start == start_times.end() || !this->Allows(call.step, worker)) {
      continue;
    }
    const std::string ticket = "t" + std::to_string(this->tickets.size());
    const Milliseconds valid = this->settings.advice.valid;
    this->tickets[ticket] =
        Issued{call.step, worker, start->second,
               valid.count() == 0 ? std::nullopt
                                  : std::optional<Instant>(now + valid)};
    issued.push_back(AdviceTicket{worker, ticket});
  }
  return issued;
}

bool AdviceModel::IsValid(const StartRun& order,
                          const EndpointRow& row,
                          Instant now) const {
  const auto found = this->tickets.find(order.ticket);
  if (found == this->tickets.end()) {
    return false;
  }
  const Issued& ticket = found->second;
  return ticket.step == StepOf(order.task) && ticket.worker == row.id &&
         ticket.start_time_ms == row.start_time_ms &&
         (!ticket.expires || now < *ticket.expires);
}

bool AdviceModel::Allows(const TaskName& step, const EndpointId& worker) const {
  const std::size_t hash = PolicyHash(step, worker);
  return std::count_if(this->workers.begin(), this->workers.end(),
                       [&](const EndpointId& other) {
                         return PolicyHash(step, other) < hash;
                       }) < this->settings.allowed;
}

}  // namespace peridot
