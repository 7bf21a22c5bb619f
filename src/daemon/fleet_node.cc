#include "src/daemon/fleet_node.h"

#include <charconv>
#include <chrono>
#include <csignal>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/protocol/job_json.h"
#include "src/protocol/load_json.h"
#include "src/protocol/socket_address.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Paths of the internal calls between daemons.
constexpr char kInstancePath[] = "/internal/v1/instance";
constexpr char kJobPath[] = "/internal/v1/jobs/";
constexpr char kQueuePath[] = "/internal/v1/queues/";
constexpr char kLoadPath[] = "/internal/v1/load";
constexpr char kBacklogPath[] = "/internal/v1/backlog";
// Strength of a candidate that requests a handover from a weaker owner.
constexpr char kStrengthHeader[] = "Candidate-Strength";

// A response from another zone takes a few milliseconds. After this timeout the
// store is read instead.
constexpr Milliseconds kPeerTimeout{400};

// Longest time that a line stays in the log's buffer.
constexpr Milliseconds kLogFlushInterval{500};

// The load balancer stops sending new connections after two failed checks, one
// second apart. The node accepts connections for this time after it has become
// unready.
constexpr Milliseconds kBalancerRemovalDelay{2300};

HttpServerResponse JsonAnswer(int status, const nlohmann::json& body) {
  HttpServerResponse answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = body.dump();
  return answer;
}

// Limits of a body. The largest job takes less than 160 KiB: its row in the
// store has at most 48 KiB, and a payload of 4,000 bytes takes up to 24,000
// with escape sequences. Calls between daemons have no body.
constexpr std::size_t kMaxJobBody = 256 << 10;
constexpr std::size_t kMaxOtherBody = 16 << 10;

Result<std::unique_ptr<HttpServer>> ListenOn(EventLoop* loop,
                                             const std::string& address,
                                             const ReceiveLimits& limits,
                                             std::size_t max_body_bytes,
                                             const char* listener,
                                             Metrics* metrics) {
  BOOST_OUTCOME_TRY(parsed, SocketAddress::Parse(address));
  HttpServerOptions options;
  options.address = parsed.ip;
  options.port = parsed.port;
  options.receive = limits;
  options.max_body_bytes = max_body_bytes;
  options.listener = listener;
  options.metrics = metrics;
  return HttpServer::Create(loop, options);
}

// Returns 0 if the header is missing or not a number.
int StrengthIn(const HttpHeaders& headers) {
  const std::string_view text =
      FindHeader(headers, kStrengthHeader).value_or("");
  int strength = 0;
  std::from_chars(text.data(), text.data() + text.size(), strength);
  return strength;
}

std::optional<JobState> StateByName(const std::string& name) {
  for (const JobState state :
       {JobState::kPending, JobState::kRunning, JobState::kCompleted,
        JobState::kFailed, JobState::kCancelled}) {
    if (name == JobStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

JobAdmissionConfig AdmissionConfig(const JobSchedulerConfig& scheduler) {
  return JobAdmissionConfig{
      .late_factor = scheduler.late_factor,
      .late_objective_weight = scheduler.late_objective_weight};
}

}  // namespace

FleetNode::FleetNode(EventLoop* loop,
                     FleetPorts ports,
                     FleetNodeSettings settings)
    : loop(loop),
      ports(std::move(ports)),
      settings(std::move(settings)),
      peers(loop, HttpClientOptions{}),
      view(loop, &this->ports),
      owner(
          loop,
          &this->ports,
          &this->view,
          &this->metrics,
          this->settings,
          OwnerTaskConfig{.admission =
                              AdmissionConfig(this->settings.scheduler)},
          [this](
              const std::string& address,
              int strength,
              std::function<void(std::optional<OwnerTask::PeerAnswer>)> done) {
            this->Probe(address, strength, std::move(done));
          }),
      job_api(
          loop,
          &this->ports,
          &this->view,
          &this->owner,
          &this->metrics,
          this->settings.store,
          this->settings.backlog,
          AdmissionConfig(this->settings.scheduler),
          [this](const std::string& address,
                 const JobId& job,
                 const std::string& queue,
                 std::function<void(OwnerReply)> done) {
            this->QueryOwner(address, job, queue, std::move(done));
          },
          [this](const std::string& address,
                 std::function<void(std::optional<std::string>)> done) {
            this->FetchReport(kLoadPath, address, std::move(done));
          },
          [this](const std::string& address,
                 std::function<void(std::optional<std::string>)> done) {
            this->FetchReport(kBacklogPath, address, std::move(done));
          }) {}

Result<std::unique_ptr<FleetNode>> FleetNode::Create(
    EventLoop* loop,
    FleetPorts ports,
    FleetNodeSettings settings,
    std::function<void()> on_reload) {
  std::unique_ptr<FleetNode> node(
      new FleetNode(loop, std::move(ports), std::move(settings)));
  BOOST_OUTCOME_TRY(node->Listen());
  BOOST_OUTCOME_TRY(node->WatchSignals(std::move(on_reload)));
  return node;
}

Result<void> FleetNode::Listen() {
  BOOST_OUTCOME_TRY(callers_server,
                    ListenOn(this->loop, this->settings.caller_address,
                             this->settings.listeners.callers, kMaxJobBody,
                             "callers", &this->metrics));
  this->callers = std::move(callers_server);
  BOOST_OUTCOME_TRY(readiness_server,
                    ListenOn(this->loop, this->settings.readiness_address,
                             this->settings.listeners.readiness, kMaxOtherBody,
                             "readiness", &this->metrics));
  this->readiness = std::move(readiness_server);
  BOOST_OUTCOME_TRY(internal_server,
                    ListenOn(this->loop, this->settings.internal_address,
                             this->settings.listeners.peers, kMaxOtherBody,
                             "peers", &this->metrics));
  this->internal = std::move(internal_server);
  for (const HttpMethod method :
       {HttpMethod::kGet, HttpMethod::kPost, HttpMethod::kDelete}) {
    this->callers->Route(method, "/",
                         [this](const HttpServerRequest& request,
                                const HttpResponder& responder) {
                           this->job_api.Handle(request, responder);
                         });
  }
  this->readiness->Route(
      HttpMethod::kGet, this->settings.readiness_path,
      [this](const HttpServerRequest&, const HttpResponder& responder) {
        HttpServerResponse answer;
        answer.status = this->Ready() ? 200 : 503;
        responder.Send(answer);
      });
  this->ServeInternal();
  return boost::outcome_v2::success();
}

void FleetNode::ServeInternal() {
  this->internal->Route(
      HttpMethod::kGet, kInstancePath,
      [this](const HttpServerRequest& request, const HttpResponder& responder) {
        const OwnerTask::PeerAnswer answer =
            this->owner.AnswerCandidate(StrengthIn(request.headers));
        responder.Send(JsonAnswer(
            200, {{"instance", answer.instance}, {"yields", answer.yields}}));
      });
  this->internal->Route(
      HttpMethod::kGet, kJobPath,
      [this](const HttpServerRequest& request, const HttpResponder& responder) {
        const JobId id(request.path.substr(std::string_view(kJobPath).size()));
        const std::optional<JobState> state =
            this->owner.Owns() ? this->owner.StateOf(id) : std::nullopt;
        responder.Send(state
                           ? JsonAnswer(200, {{"state", JobStateName(*state)}})
                           : JsonAnswer(404, nlohmann::json::object()));
      });
  this->internal->Route(
      HttpMethod::kGet, kQueuePath,
      [this](const HttpServerRequest& request, const HttpResponder& responder) {
        const std::string queue =
            request.path.substr(std::string_view(kQueuePath).size());
        const std::optional<int> waiting = this->owner.WaitingIn(queue);
        responder.Send(waiting ? JsonAnswer(200, {{"waiting", *waiting}})
                               : JsonAnswer(404, nlohmann::json::object()));
      });
  this->internal->Route(
      HttpMethod::kGet, kLoadPath,
      [this](const HttpServerRequest&, const HttpResponder& responder) {
        Instant produced{};
        const LoadReport* const report = this->owner.Load(&produced);
        if (report == nullptr) {
          responder.Send(JsonAnswer(404, nlohmann::json::object()));
          return;
        }
        HttpServerResponse answer;
        answer.headers.push_back({"Content-Type", "application/json"});
        answer.body = EncodeLoadReport(
            *report,
            std::chrono::ceil<Milliseconds>(this->loop->Now() - produced));
        responder.Send(answer);
      });
  this->internal->Route(
      HttpMethod::kGet, kBacklogPath,
      [this](const HttpServerRequest&, const HttpResponder& responder) {
        const std::optional<BacklogReport> report = this->owner.Backlog();
        if (!report) {
          responder.Send(JsonAnswer(404, nlohmann::json::object()));
          return;
        }
        HttpServerResponse answer;
        answer.headers.push_back({"Content-Type", "application/json"});
        answer.body = EncodeBacklogReport(*report);
        responder.Send(answer);
      });
  this->internal->Route(
      HttpMethod::kGet, "/metrics",
      [this](const HttpServerRequest&, const HttpResponder& responder) {
        HttpServerResponse answer;
        answer.headers.push_back({"Content-Type", kMetricsContentType});
        answer.body = this->metrics.Expose();
        responder.Send(answer);
      });
}

Result<void> FleetNode::WatchSignals(std::function<void()> on_reload) {
  BOOST_OUTCOME_TRY(this->loop->OnSignal(SIGHUP, std::move(on_reload)));
  for (const int number : {SIGTERM, SIGINT}) {
    BOOST_OUTCOME_TRY(
        this->loop->OnSignal(number, [this] { this->BeginStop(); }));
  }
  return boost::outcome_v2::success();
}

void FleetNode::Start() {
  LogEvent(LogLevel::kInfo, "start",
           {{"node", this->settings.name.value},
            {"zone", this->settings.zone.value},
            {"instance", this->settings.lease.instance},
            {"callers", this->settings.caller_address},
            {"internal", this->settings.internal_address}});
  this->FlushLogPeriodically();
  this->view.Start([this] { this->owner.OnViewChanged(); });
  this->owner.Start();
}

void FleetNode::FlushLogPeriodically() {
  FlushLog();
  this->loop->After(kLogFlushInterval,
                    [this] { this->FlushLogPeriodically(); });
}

bool FleetNode::Ready() const {
  return !this->stopping && this->view.HasConfig() &&
         this->owner.StoreReachable(this->loop->Now());
}

void FleetNode::BeginStop() {
  if (this->stopping) {
    return;
  }
  this->stopping = true;
  LogEvent(LogLevel::kInfo, "stop_requested", {});
  this->owner.Release([] {});
  this->loop->After(std::min(kBalancerRemovalDelay, this->settings.drain / 2),
                    [this] { this->FinishStop(); });
}

void FleetNode::FinishStop() {
  const Milliseconds left =
      this->settings.drain -
      std::min(kBalancerRemovalDelay, this->settings.drain / 2);
  this->callers->Stop(left, [this](const HttpStopReport& report) {
    LogEvent(LogLevel::kInfo, "stop",
             {{"cut_requests", std::to_string(report.aborted_requests)}});
    FlushLog();
    this->loop->Stop();
  });
}

void FleetNode::Probe(
    const std::string& address,
    int strength,
    std::function<void(std::optional<OwnerTask::PeerAnswer>)> done) {
  const Result<SocketAddress> peer = SocketAddress::Parse(address);
  if (!peer) {
    this->loop->Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  HttpRequest request;
  request.path = kInstancePath;
  request.timeout = kPeerTimeout;
  if (strength > 0) {
    request.headers.push_back({kStrengthHeader, std::to_string(strength)});
  }
  this->peers.Send(
      HttpPeer{peer.value().ip, peer.value().port}, std::move(request),
      [done = std::move(done)](const HttpOutcome& outcome) {
        if (outcome.result == HttpResult::kConnectFailed) {
          done(OwnerTask::PeerAnswer{.refused = true});
          return;
        }
        if (!outcome.Answered()) {
          done(std::nullopt);
          return;
        }
        const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
        if (!body.is_object() || !body.contains("instance")) {
          done(std::nullopt);
          return;
        }
        done(OwnerTask::PeerAnswer{
            .instance = body.value("instance", std::string()),
            .yields = body.value("yields", false)});
      });
}

void FleetNode::QueryOwner(const std::string& address,
                           const JobId& job,
                           const std::string& queue,
                           std::function<void(OwnerReply)> done) {
  const Result<SocketAddress> peer = SocketAddress::Parse(address);
  if (!peer) {
    this->loop->Post([done = std::move(done)] { done(OwnerReply{}); });
    return;
  }
  HttpRequest request;
  request.path = job.value.empty() ? kQueuePath + queue : kJobPath + job.value;
  request.timeout = kPeerTimeout;
  this->peers.Send(
      HttpPeer{peer.value().ip, peer.value().port}, std::move(request),
      [done = std::move(done)](const HttpOutcome& outcome) {
        OwnerReply reply;
        if (outcome.Answered() && outcome.status == 200) {
          const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
          reply.answered = body.is_object();
          if (reply.answered && body.contains("state")) {
            reply.state = StateByName(body.value("state", std::string()));
          }
          if (reply.answered && body.contains("waiting")) {
            reply.waiting = body.value("waiting", 0);
          }
        }
        done(reply);
      });
}

void FleetNode::FetchReport(
    const char* path,
    const std::string& address,
    std::function<void(std::optional<std::string>)> done) {
  const Result<SocketAddress> peer = SocketAddress::Parse(address);
  if (!peer) {
    this->loop->Post([done = std::move(done)] { done(std::nullopt); });
    return;
  }
  HttpRequest request;
  request.path = path;
  request.timeout = kPeerTimeout;
  this->peers.Send(HttpPeer{peer.value().ip, peer.value().port},
                   std::move(request),
                   [done = std::move(done)](const HttpOutcome& outcome) {
                     if (outcome.Answered() && outcome.status == 200) {
                       done(outcome.body);
                     } else {
                       done(std::nullopt);
                     }
                   });
}

}  // namespace peridot
