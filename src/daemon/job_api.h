// HTTP interface for callers: submits, shows and cancels jobs.
//
// Index:
//   [SECTION] OwnerReply
//   [SECTION] JobApi
//
// Accepts a job once it is stored. A refusal means that the job has not run
// and never will; if that is not certain, the answer is 504. Not thread-safe:
// use it on the event loop's thread only.

#ifndef SRC_DAEMON_JOB_API_H_
#define SRC_DAEMON_JOB_API_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/daemon/fleet_ports.h"
#include "src/daemon/job_store.h"
#include "src/daemon/operator_view.h"
#include "src/daemon/owner_task.h"
#include "src/transport/http_server.h"
#include "src/transport/metrics.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] OwnerReply
//-----------------------------------------------------------------------------

// The owner's reply to a request for a job or a queue.
struct OwnerReply {
  bool answered = false;          // false: no owner replied
  std::optional<JobState> state;  // of a job; none: unknown to the owner
  std::optional<int> waiting;     // of a queue
};

//-----------------------------------------------------------------------------
// [SECTION] JobApi
//-----------------------------------------------------------------------------

class JobApi {
 public:
  // Sends a request to the owner at an address; exactly one of job and queue is
  // not empty.
  using QueryOwner = std::function<void(const std::string& address,
                                        const JobId& job,
                                        const std::string& queue,
                                        std::function<void(OwnerReply)>)>;

  // The pointees must outlive the task.
  JobApi(EventLoop* loop,
         const FleetPorts* ports,
         const OperatorView* view,
         const OwnerTask* owner,
         Metrics* metrics,
         const StoreLimits& limits,
         QueryOwner query_owner);

  // Answers one request, before or after the call returns.
  void Handle(const HttpServerRequest& request, const HttpResponder& responder);

 private:
  struct Call {
    HttpResponder responder;
    Instant arrived{};
    std::string name;  // of the job or the queue, for the log
    const char* verb = "";
  };

  void Submit(const Call& call,
              const CallAdmission& admission,
              const HttpServerRequest& request);
  void ShowState(const Call& call, const JobId& id);
  void ShowStored(const Call& call, const JobId& id);
  void AnswerFromStore(const Call& call,
                       LookUpResult result,
                       std::string body) const;
  void ShowWaiting(const Call& call, const std::string& queue);
  void Cancel(const Call& call, const JobId& id);
  void Answer(const Call& call,
              int status,
              const char* reason,
              std::string body = {}) const;

  EventLoop* loop;
  const FleetPorts* ports;
  const OperatorView* view;
  const OwnerTask* owner;
  Metrics* metrics;
  QueryOwner query_owner;
  JobWriter writer;
};

}  // namespace peridot

#endif  // SRC_DAEMON_JOB_API_H_
