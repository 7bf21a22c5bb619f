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

// Value of Retry-After in seconds: an unavailable store or owner has usually
// recovered after this time.
constexpr char kRetryAfterSeconds[] = "1";

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdLength &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

}  // namespace

JobApi::JobApi(EventLoop* loop,
               const FleetPorts* ports,
               const OperatorView* view,
               const OwnerTask* owner,
               Metrics* metrics,
               const StoreLimits& limits,
               QueryOwner query_owner)
    : loop(loop),
      ports(ports),
      view(view),
      owner(owner),
      metrics(metrics),
      query_owner(std::move(query_owner)),
      writer(loop, ports, JobWriterConfig{.store = limits}) {}

void JobApi::Answer(const Call& call,
                    int status,
                    const char* reason,
                    std::string body) const {
  HttpServerResponse answer;
  answer.status = status;
  if (!body.empty()) {
    answer.headers.push_back({"Content-Type", "application/json"});
    answer.body = std::move(body);
  }
  if (status == 503 || status == 429) {
    answer.headers.push_back({"Retry-After", kRetryAfterSeconds});
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
      this->Cancel(call, id);
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
  this->writer.Accept(job, [this, call](AcceptResult result) {
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

void JobApi::Cancel(const Call& call, const JobId& id) {
  StoreCancel(*this->ports, id, [this, call](LookUpResult result) {
    this->AnswerFromStore(call, result, {});
  });
}

}  // namespace peridot
