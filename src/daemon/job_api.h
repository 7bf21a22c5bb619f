// HTTP interface for callers: submits, shows and cancels jobs.
//
// Index:
//   [SECTION] OwnerReply
//   [SECTION] JobApi
//
// Accepts a job once it is stored. A refusal means that the job has not run
// and never will; if that is not certain, the answer is 504. A job that could
// not complete while it is of use is refused with 429 once its refusal is
// stored (docs/design/admission.md), and likewise one that the owner cannot
// hold with 503 (docs/operations/limits.md). Not thread-safe: use it on the
// event loop's thread only.

#ifndef SRC_DAEMON_JOB_API_H_
#define SRC_DAEMON_JOB_API_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/coordination/job_admission.h"
#include "src/daemon/backlog_guard.h"
#include "src/daemon/fleet_ports.h"
#include "src/daemon/job_store.h"
#include "src/daemon/load_follower.h"
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
  // Requests a report of the owner at an address; none: no answer, or that
  // daemon has no report.
  using FetchReport =
      std::function<void(const std::string& address,
                         std::function<void(std::optional<std::string>)>)>;

  // The pointees must outlive the task.
  JobApi(EventLoop* loop,
         const FleetPorts* ports,
         const OperatorView* view,
         OwnerTask* owner,
         Metrics* metrics,
         const StoreLimits& limits,
         const BacklogLimits& backlog_limits,
         const JobAdmissionConfig& admission_config,
         QueryOwner query_owner,
         FetchReport fetch_load,
         FetchReport fetch_backlog);

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
  JobAdmission Decide(const AcceptedJob& job, const QueueConfig& queue);
  // `known` is the newest version of the store when the call arrived.
  void Accept(const Call& call, const AcceptedJob& job, RowVersion known);
  void Store(const Call& call,
             const AcceptedJob& job,
             RowVersion known,
             BacklogGuard::Reservation reservation);
  // The owner cannot hold a job of this size now.
  void RefuseForBacklog(const Call& call, const JobId& id, std::size_t bytes);
  // Stores the refusal of an id under a reservation; none: the result is
  // kNotRun.
  void StoreRefusal(const JobId& id, JobWriter::Callback done);
  void EndReservation(BacklogShare* share,
                      BacklogGuard::Reservation reservation,
                      bool stored);
  void Refuse(const Call& call,
              const AcceptedJob& job,
              RowVersion known,
              const JobAdmission& decision);
  void ShowState(const Call& call, const JobId& id);
  void ShowStored(const Call& call, const JobId& id);
  void AnswerFromStore(const Call& call,
                       LookUpResult result,
                       std::string body) const;
  void ShowWaiting(const Call& call, const std::string& queue);
  // The id was cancelled before the submission could be stored.
  void AnswerCancelled(const Call& call) const;
  void Cancel(const Call& call, const JobId& id, int attempts);
  // There is no job under the id, so that its cancellation is stored.
  void CancelUnstored(const Call& call,
                      const JobId& id,
                      int attempts,
                      BacklogGuard::Reservation reservation);
  void Answer(const Call& call,
              int status,
              const char* reason,
              std::string body = {},
              int retry_after = kShortRetryAfter) const;

  // Value of Retry-After in seconds: an unavailable store or owner has usually
  // recovered after this time.
  static constexpr int kShortRetryAfter = 1;

  EventLoop* loop;
  const FleetPorts* ports;
  const OperatorView* view;
  OwnerTask* owner;
  Metrics* metrics;
  JobAdmissionControl admission_control;
  JobAdmissionConfig admission_config;
  QueryOwner query_owner;
  LoadFollower load;
  BacklogGuard backlog;
  JobWriter writer;
};

}  // namespace peridot

#endif  // SRC_DAEMON_JOB_API_H_
