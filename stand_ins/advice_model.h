// Model of the service that decides which workers may run a step: handles one
// call after another and issues tickets of limited validity.
//
// A pure state machine without I/O. Not thread-safe.

#ifndef STAND_INS_ADVICE_MODEL_H_
#define STAND_INS_ADVICE_MODEL_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/job_scheduler.h"

namespace peridot {

struct AdviceModelSettings {
  AdviceSettings advice;            // latency and validity
  int allowed = 3;                  // number of workers that may run a step
  std::size_t max_endpoints = 100;  // in a call
  std::size_t max_waiting = 32;     // calls
};

class AdviceModel {
 public:
  // The policy selects `allowed` of these workers for each step.
  AdviceModel(AdviceModelSettings settings, std::vector<EndpointId> workers);

  // Queues a call. Returns the instant of its answer; none if the call is
  // refused, because it names too many workers or too many calls wait.
  std::optional<Instant> Accept(const AdviceRequest& call, Instant now);

  // Answers a call with tickets of the workers that may run the step.
  // `start_times` are those of the current worker processes. Call it at the
  // instant that Accept() returned.
  std::vector<AdviceTicket> Answer(
      const AdviceRequest& call,
      const std::map<EndpointId, std::int64_t>& start_times,
      Instant now);

  // Returns whether a worker process accepts the ticket of an order.
  bool IsValid(const StartRun& order,
               const EndpointRow& row,
               Instant now) const;

  // Returns whether the policy allows the worker to run the step.
  bool Allows(const TaskName& step, const EndpointId& worker) const;

 private:
  struct Issued {
    TaskName step;
    EndpointId worker;
    std::int64_t start_time_ms = 0;  // of the worker process
    std::optional<Instant> expires;
  };

  AdviceModelSettings settings;
  std::vector<EndpointId> workers;
  std::multiset<Instant> answers;  // of calls that are not answered yet
  Instant free_at{};
  std::map<std::string, Issued> tickets;
};

}  // namespace peridot

#endif  // STAND_INS_ADVICE_MODEL_H_
