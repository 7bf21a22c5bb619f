#include "src/daemon/job_api.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <utility>

#include "src/daemon/wall_time.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

constexpr std::size_t kJobIdLength = 16;

// A job or refusal that another daemon stores in between fails an attempt.
constexpr int kCancelAttempts = 3;

// Wait after which a job that the owner cannot hold is submitted again: jobs
// take some seconds.
constexpr double kBacklogWaitSeconds = 5;

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

}  // namespace

JobApi::JobApi(EventLoop* loop,
               const FleetPorts* ports,
               const OperatorView* view,
               OwnerTask* owner,
               Metrics* metrics,
               const StoreLimits& limits,
               const BacklogLimits& backlog_limits,
               const JobAdmissionConfig& admission_config,
               QueryOwner query_owner,
               FetchReport fetch_load,
               FetchReport fetch_backlog)
    : loop(loop),
      ports(ports),
      view(view),
      owner(owner),
      metrics(metrics),
      admission_control(admission_config),
      admission_config(admission_config),
      query_owner(std::move(query_owner)),
      load(
          loop,
          metrics,
          LoadFollowerConfig{.max_report_age = admission_config.max_report_age},
          [owner, fetch_load = std::move(fetch_load)](
              std::function<void(std::optional<std::string>)> done) {
            fetch_load(owner->OwnerAddress(), std::move(done));
          }),
      backlog(loop,
              owner,
              backlog_limits,
              [owner, fetch_backlog = std::move(fetch_backlog)](
                  std::function<void(std::optional<std::string>)> done) {
                fetch_backlog(owner->OwnerAddress(), std::move(done));
              }),
      writer(loop, ports, JobWriterConfig{.store = limits}) {}

void JobApi::Answer(const Call& call,
                    int status,
                    const char* reason,
                    std::string body,
                    int retry_after) const {
  HttpServerResponse answer;
  answer.status = status;
  if (!body.empty()) {
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = std::move(body);
  }
  if (status == 503 || status == 429) {
    answer.headers.push_back({"Retry-After", std::to_string(retry_after)});
  }
  const Duration took = this->loop->Now() - call.arrived;
  // Every request is refused while the store is unavailable, so refusals count
  // against the rate limit of the log as well.
  LogRateLimited(
      LogLevel::kInfo, "call",
      {{"verb", call.verb},
       {"job", call.name},
       {"status", std::to_string(status)},
       {"reason", reason},
       {"config", std::to_string(this->view->Config().version.value)},
       {"took_us",
        std::to_string(
            std::chrono::duration_cast<std::chrono::microseconds>(took)
                .count())}});
  this->metrics->ObserveLatency(call.verb, took);
  if (status >= 400) {
    this->metrics->CountRefusal(reason);
  }
  call.responder.Send(answer);
}

void JobApi::Handle(const HttpServerRequest& request,
                    const HttpResponder& responder) {
  Call call{responder, this->loop->Now(), {}, "show"};
  const std::string_view host =
      FindHeader(request.headers, "Host").value_or("");
  const std::string_view key =
      FindHeader(request.headers, this->ports->key_header).value_or("");
  const CallAdmission admission =
      Admit(this->view->Config(), host, request.path, key);
  switch (admission.result) {
    case AdmissionResult::kNoConfig:
      this->Answer(call, 503, "no_config");
      return;
    case AdmissionResult::kNoQueue:
      this->Answer(call, 404, "no_queue");
      return;
    case AdmissionResult::kBadKey:
      this->Answer(call, 401, "bad_key");
      return;
    case AdmissionResult::kAdmitted:
      break;
  }
  if (admission.rest.empty() && request.method == HttpMethod::kGet) {
    call.verb = "count";
    call.name = admission.route->queue;
    this->ShowWaiting(call, admission.route->queue);
    return;
  }
  if (!IsJobId(admission.rest)) {
    this->Answer(call, 404, "no_job_id");
    return;
  }
  const JobId id{std::string(admission.rest)};
  call.name = id.value;
  switch (request.method) {
    case HttpMethod::kPost:
      call.verb = "submit";
      this->Submit(call, admission, request);
      return;
    case HttpMethod::kDelete:
      call.verb = "cancel";
      this->Cancel(call, id, kCancelAttempts);
      return;
    case HttpMethod::kGet:
      this->ShowState(call, id);
      return;
    default:
      this->Answer(call, 405, "method");
  }
}

void JobApi::Submit(const Call& call,
                    const CallAdmission& admission,
                    const HttpServerRequest& request) {
  Result<JobSpec> spec = this->ports->decode_job(request.body);
  if (!spec) {
    this->Answer(call, 400, "bad_job", "{\"error\":\"the job is not valid\"}");
    LogError(LogLevel::kWarning, "job_rejected", spec.error());
    return;
  }
  AcceptedJob job;
  job.id = JobId(call.name);
  job.queue = admission.route->queue;
  const auto queue =
      this->view->Config().fleet.queues.find(admission.route->queue);
  job.service = queue->second.service;
  job.max_attempts = queue->second.max_attempts;
  job.team = admission.team;
  job.accepted_ms = UnixMs();
  job.spec = std::move(spec.value());
  call.responder.Charge(WaitingJobBytes(job));
  this->writer.OnStoreVersion(this->owner->NewestVersion());
  const RowVersion known = this->writer.NewestVersion();
  const JobAdmission decision = this->Decide(job, queue->second);
  this->metrics->CountAdmission(JobAdmissionReasonName(decision.reason));
  if (decision.accepted) {
    this->Accept(call, job, known);
  } else {
    this->Refuse(call, job, known, decision);
  }
}

JobAdmission JobApi::Decide(const AcceptedJob& job, const QueueConfig& queue) {
  const Instant now = this->loop->Now();
  if (this->owner->Owns()) {
    Instant produced{};
    // No report is needed for a queue without an objective.
    const LoadReport* const report =
        queue.objective.count() > 0 ? this->owner->Load(&produced) : nullptr;
    return this->admission_control.OnJob(report, now - produced, job, queue,
                                         now);
  }
  if (queue.objective.count() > 0) {
    this->load.OnSubmission();
  }
  return this->admission_control.OnJob(this->load.Report(), this->load.Age(),
                                       job, queue, now);
}

void JobApi::Refuse(const Call& call,
                    const AcceptedJob& job,
                    RowVersion known,
                    const JobAdmission& decision) {
  const bool owns = this->owner->Owns();
  LogRateLimited(
      LogLevel::kInfo, "job_refusal",
      {{"job", job.id.value},
       {"queue", job.queue},
       {"service", job.service.value},
       {"team", job.team.value},
       {"reason", JobAdmissionReasonName(decision.reason)},
       {"ahead_core_s", std::to_string(decision.ahead_core_seconds)},
       {"own_ahead_core_s", std::to_string(decision.own_ahead_core_seconds)},
       {"cores", std::to_string(decision.cores)},
       {"possible_cores", std::to_string(decision.possible_cores)},
       {"rate", std::to_string(decision.rate)},
       {"earliest_start_ms", std::to_string(decision.earliest_start.count())},
       {"path_ms", std::to_string(decision.path.count())},
       {"predicted_ms", std::to_string(decision.predicted.count())},
       {"last_useful_ms", std::to_string(decision.last_useful.count())},
       {"retry_after_s", std::to_string(decision.retry_after)},
       {"report", owns ? "own" : "owner"},
       {"report_age_ms", std::to_string(decision.report_age.count())}});
  this->StoreRefusal(
      job.id, [this, call, job, known, decision](AcceptResult result) {
        switch (result) {
          case AcceptResult::kAccepted:
            // The job was stored by an earlier submission.
            this->Answer(call, 200, "stored");
            return;
          case AcceptResult::kRefused:
            this->Answer(call, 429, JobAdmissionReasonName(decision.reason),
                         R"({"error":"the job could not complete in time"})",
                         decision.retry_after);
            return;
          case AcceptResult::kCancelled:
            this->AnswerCancelled(call);
            return;
          case AcceptResult::kNotRun:
          case AcceptResult::kUnknown:
          case AcceptResult::kTooLarge:
            // Without a stored refusal, an earlier submission could still run.
            this->metrics->CountAdmission("refusal_not_stored");
            this->Accept(call, job, known);
            return;
        }
      });
}

void JobApi::StoreRefusal(const JobId& id, JobWriter::Callback done) {
  this->backlog.ReserveRefusal(
      [this, id, done = std::move(done)](
          const std::optional<BacklogGuard::Reservation>& reservation) {
        if (!reservation) {
          done(AcceptResult::kNotRun);
          return;
        }
        this->writer.Refuse(
            id, [this, done, held = *reservation](AcceptResult result) {
              this->EndReservation(&this->backlog.Refusals(), held,
                                   result == AcceptResult::kRefused ||
                                       result == AcceptResult::kUnknown);
              done(result);
            });
      });
}

void JobApi::EndReservation(BacklogShare* share,
                            BacklogGuard::Reservation reservation,
                            bool stored) {
  if (stored) {
    share->OnStored(reservation, this->writer.NewestVersion());
  } else {
    share->Release(reservation);
  }
}

void JobApi::Accept(const Call& call,
                    const AcceptedJob& job,
                    RowVersion known) {
  const std::size_t bytes = WaitingJobBytes(job);
  this->backlog.ReserveJob(
      bytes, [this, call, job, known,
              bytes](const std::optional<BacklogGuard::Reservation>& held) {
        if (held) {
          this->Store(call, job, known, *held);
        } else {
          this->RefuseForBacklog(call, job.id, bytes);
        }
      });
}

void JobApi::RefuseForBacklog(const Call& call,
                              const JobId& id,
                              std::size_t bytes) {
  this->metrics->CountAdmission("backlog_full");
  const bool never_fits = this->backlog.Jobs().NeverFits(bytes);
  const int retry_after =
      never_fits
          ? this->admission_config.max_retry_after
          : RetryAfterSeconds(kBacklogWaitSeconds, id, this->admission_config);
  LogRateLimited(LogLevel::kInfo, "job_refusal",
                 {{"job", id.value},
                  {"reason", never_fits ? "job_too_large" : "backlog_full"},
                  {"bytes", std::to_string(bytes)},
                  {"share", std::to_string(this->backlog.Jobs().Share())},
                  {"used", std::to_string(this->backlog.Jobs().Used())},
                  {"retry_after_s", std::to_string(retry_after)}});
  this->StoreRefusal(id, [this, call, retry_after](AcceptResult result) {
    switch (result) {
      case AcceptResult::kAccepted:
        // The job was stored by an earlier submission.
        this->Answer(call, 200, "stored");
        return;
      case AcceptResult::kRefused:
        this->Answer(call, 503, "backlog_full",
                     R"({"error":"the owner cannot hold more jobs now"})",
                     retry_after);
        return;
      case AcceptResult::kCancelled:
        this->AnswerCancelled(call);
        return;
      case AcceptResult::kNotRun:
      case AcceptResult::kUnknown:
      case AcceptResult::kTooLarge:
        // Without a stored refusal, an earlier submission could still run.
        this->Answer(call, 504, "refusal_not_stored");
        return;
    }
  });
}

void JobApi::Store(const Call& call,
                   const AcceptedJob& job,
                   RowVersion known,
                   BacklogGuard::Reservation reservation) {
  this->writer.Accept(
      job, known, [this, call, reservation](AcceptResult result) {
        this->EndReservation(&this->backlog.Jobs(), reservation,
                             result == AcceptResult::kAccepted ||
                                 result == AcceptResult::kUnknown);
        switch (result) {
          case AcceptResult::kAccepted:
            this->Answer(call, 200, "stored");
            return;
          case AcceptResult::kTooLarge:
            this->Answer(call, 400, "job_too_large",
                         "{\"error\":\"the job is too large to be stored\"}");
            return;
          case AcceptResult::kNotRun:
            this->Answer(call, 503, "store_unavailable");
            return;
          case AcceptResult::kUnknown:
            this->Answer(call, 504, "store_silent");
            return;
          case AcceptResult::kRefused:
            this->Answer(call, 429, "refused_meanwhile");
            return;
          case AcceptResult::kCancelled:
            this->AnswerCancelled(call);
            return;
        }
      });
}

void JobApi::ShowState(const Call& call, const JobId& id) {
  if (this->owner->Owns()) {
    const std::optional<JobState> state = this->owner->StateOf(id);
    if (state) {
      this->Answer(call, 200, "owner", this->ports->encode_state(*state));
      return;
    }
    this->ShowStored(call, id);
    return;
  }
  this->query_owner(this->owner->OwnerAddress(), id, "",
                    [this, call, id](const OwnerReply& reply) {
                      if (reply.state) {
                        this->Answer(call, 200, "asked_owner",
                                     this->ports->encode_state(*reply.state));
                      } else {
                        this->ShowStored(call, id);
                      }
                    });
}

void JobApi::AnswerFromStore(const Call& call,
                             LookUpResult result,
                             std::string body) const {
  switch (result) {
    case LookUpResult::kFound:
      this->Answer(call, 200, "stored", std::move(body));
      return;
    case LookUpResult::kUnknownJob:
      this->Answer(call, 410, "unknown_job");
      return;
    case LookUpResult::kUnavailable:
      this->Answer(call, 503, "store_unavailable");
      return;
  }
}

void JobApi::ShowStored(const Call& call, const JobId& id) {
  LookUpState(
      *this->ports, id, [this, call](LookUpResult result, JobState state) {
        this->AnswerFromStore(call, result, this->ports->encode_state(state));
      });
}

void JobApi::ShowWaiting(const Call& call, const std::string& queue) {
  if (this->owner->Owns()) {
    const std::optional<int> waiting = this->owner->WaitingIn(queue);
    if (waiting) {
      this->Answer(call, 200, "owner", this->ports->encode_waiting(*waiting));
    } else {
      this->Answer(call, 503, "owner_behind");
    }
    return;
  }
  this->query_owner(this->owner->OwnerAddress(), JobId{}, queue,
                    [this, call](const OwnerReply& reply) {
                      if (reply.waiting) {
                        this->Answer(
                            call, 200, "asked_owner",
                            this->ports->encode_waiting(*reply.waiting));
                      } else {
                        this->Answer(call, 503, "no_owner");
                      }
                    });
}

void JobApi::AnswerCancelled(const Call& call) const {
  this->Answer(call, 410, "cancelled",
               R"({"error":"the job was cancelled before it was stored"})");
}

void JobApi::Cancel(const Call& call, const JobId& id, int attempts) {
  StoreCancel(
      *this->ports, id, [this, call, id, attempts](LookUpResult result) {
        if (result != LookUpResult::kUnknownJob) {
          this->AnswerFromStore(call, result, {});
          return;
        }
        this->backlog.ReserveRefusal(
            [this, call, id,
             attempts](const std::optional<BacklogGuard::Reservation>& held) {
              if (held) {
                this->CancelUnstored(call, id, attempts, *held);
              } else {
                this->Answer(call, 503, "backlog_full");
              }
            });
      });
}

void JobApi::CancelUnstored(const Call& call,
                            const JobId& id,
                            int attempts,
                            BacklogGuard::Reservation reservation) {
  this->writer.CancelUnstored(
      id, [this, call, id, attempts, reservation](AcceptResult stored) {
        this->EndReservation(&this->backlog.Refusals(), reservation,
                             stored == AcceptResult::kCancelled ||
                                 stored == AcceptResult::kUnknown);
        if (stored == AcceptResult::kCancelled) {
          this->AnswerFromStore(call, LookUpResult::kUnknownJob, {});
        } else if (attempts > 1) {
          // A submission or refusal of the id was written meanwhile.
          this->Cancel(call, id, attempts - 1);
        } else {
          this->AnswerFromStore(call, LookUpResult::kUnavailable, {});
        }
      });
}

}  // namespace peridot
