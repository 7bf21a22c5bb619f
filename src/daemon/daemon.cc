#include "src/daemon/daemon.h"

#include <csignal>
#include <cstdlib>
#include <string>
#include <utility>

#include "src/daemon/admin_api.h"
#include "src/daemon/dispatch_task.h"
#include "src/daemon/endpoint_client.h"
#include "src/daemon/journal_task.h"
#include "src/daemon/membership_client.h"
#include "src/daemon/membership_task.h"
#include "src/daemon/peer_link.h"
#include "src/daemon/permit_task.h"
#include "src/daemon/settings_task.h"
#include "src/daemon/table_client.h"
#include "src/daemon/task_api.h"
#include "src/protocol/envelope.h"
#include "src/protocol/problem.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/http_server.h"
#include "src/transport/log.h"
#include "src/transport/metrics.h"
#include "src/transport/peer_socket.h"

namespace peridot {
namespace {

// Time between failing readiness and refusing tasks, so that the load balancer
// stops sending requests before the daemon refuses them.
constexpr Duration kUnreadyDelay = std::chrono::seconds(2);
// Longest task deadline that a stop waits for; afterwards the platform ends the
// host.
constexpr Duration kDrainLimit = std::chrono::seconds(120);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(50);
constexpr Duration kLeaveLimit = std::chrono::seconds(5);
constexpr Duration kServerStopLimit = std::chrono::seconds(10);
// A fenced session must not act again: the process exits with this code and is
// restarted with a new session.
constexpr int kExitFenced = 10;

HttpPeer PeerOf(const SocketAddress& address) {
  return {address.ip, address.port};
}

HttpResponse MakeFaultAnswer(HttpServerFault fault) {
  const bool too_large = fault == HttpServerFault::kBodyTooLarge ||
                         fault == HttpServerFault::kHeaderTooLarge;
  HttpResponse answer = FormatProblem(MakeProblem(
      too_large ? RefusalCode::kTooLarge : RefusalCode::kBadRequest, ""));
  answer.status = FaultStatus(fault);
  return answer;
}

}  // namespace

class Daemon::Core {
 public:
  explicit Core(DaemonConfig daemon_config)
      : config(std::move(daemon_config)),
        peers(this->config.daemon, &this->metrics) {}

  Result<void> Bind();
  int Run();

 private:
  void MakeTasks();
  void RouteProbes();
  void OnRegistered();
  void OnRegistry();
  void BeginStop();
  void Drain();
  void Leave();
  void CloseServer();
  void UpdateGauges();

  DaemonConfig config;
  SystemClock clock;
  Metrics metrics;
  std::unique_ptr<EventLoop> loop;
  PeerLink peers;
  std::unique_ptr<PeerSocket> socket;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpClient> http;
  std::unique_ptr<TableClient> table;
  std::unique_ptr<MembershipClient> hosts;
  std::unique_ptr<EndpointClient> endpoints;
  std::unique_ptr<SettingsTask> settings;
  std::unique_ptr<PermitTask> permits;
  std::unique_ptr<DispatchTask> dispatch;
  std::unique_ptr<MembershipTask> membership;
  std::unique_ptr<JournalTask> journal;
  std::unique_ptr<TaskApi> tasks;
  std::unique_ptr<AdminApi> admin;
  bool registered = false;
  bool stopping = false;
  int exit_code = EXIT_SUCCESS;
  Instant drain_until{};
};

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

Result<void> Daemon::Core::Bind() {
  BOOST_OUTCOME_TRY(created_loop, EventLoop::Create(this->clock));
  this->loop = std::move(created_loop);
  PeerSocketOptions socket_options;
  socket_options.address = this->config.peer_listen.ip;
  socket_options.port = this->config.peer_listen.port;
  socket_options.max_message_bytes = kMaxDocumentEnvelopeBytes;
  BOOST_OUTCOME_TRY(
      created_socket,
      PeerSocket::Create(
          this->loop.get(), socket_options,
          [this](std::string_view bytes) { this->peers.Deliver(bytes); },
          [this](PeerReceiveFault fault) {
            this->metrics.CountPeerMessageRefused(PeerReceiveFaultName(fault));
          }));
  this->socket = std::move(created_socket);
  this->peers.SetSocket(this->socket.get());
  HttpServerOptions server_options;
  server_options.address = this->config.listen.ip;
  server_options.port = this->config.listen.port;
  server_options.receive =
      DivideLimits(this->config.memory_mb, this->config.max_descriptors)
          .callers;
  server_options.metrics = &this->metrics;
  server_options.format_fault = MakeFaultAnswer;
  BOOST_OUTCOME_TRY(created_server,
                    HttpServer::Create(this->loop.get(), server_options));
  this->server = std::move(created_server);
  this->MakeTasks();
  this->RouteProbes();
  return boost::outcome_v2::success();
}

void Daemon::Core::MakeTasks() {
  EventLoop* const events = this->loop.get();
  this->http = std::make_unique<HttpClient>(events, HttpClientOptions{});
  this->table = std::make_unique<TableClient>(this->http.get(),
                                              PeerOf(this->config.table));
  this->hosts = std::make_unique<MembershipClient>(
      this->http.get(), PeerOf(this->config.membership));
  this->endpoints = std::make_unique<EndpointClient>(this->http.get());
  this->settings = std::make_unique<SettingsTask>(
      events, this->table.get(), &this->peers, &this->config,
      SettingsTask::Hooks{.on_registered = [this] { this->OnRegistered(); },
                          .on_settings =
                              [this] {
                                this->permits->OnSettings();
                                this->dispatch->OnSettings();
                              },
                          .on_registry = [this] { this->OnRegistry(); },
                          .on_stopped =
                              [this] {
                                this->exit_code = kExitFenced;
                                this->loop->Stop();
                              }});
  this->permits = std::make_unique<PermitTask>(
      events, this->table.get(), &this->peers, this->settings.get(),
      PermitTask::Hooks{
          .stop_excess =
              [this](const TeamId& team, PermitCount count) {
                this->dispatch->OnStopExcess(team, count);
              },
          .on_permits =
              [this](const TeamId& team) { this->dispatch->OnPermits(team); }});
  this->dispatch = std::make_unique<DispatchTask>(
      events, this->endpoints.get(), this->hosts.get(), &this->peers,
      this->settings.get(), this->permits.get(), &this->metrics,
      this->config.daemon, this->config.zone,
      DispatchTask::Hooks{
          .payload =
              [this](const TaskId& task) { return this->tasks->Payload(task); },
          .on_finished =
              [this](const FinishTask& end, std::string body) {
                this->tasks->OnFinished(end, std::move(body));
              },
          .record_intent =
              [this](const RecordIntent& intent) {
                this->journal->RecordIntent(intent);
              },
          .record_attempt_end =
              [this](const RecordAttemptEnd& end) {
                this->journal->RecordAttemptEnd(end);
              }});
  this->journal = std::make_unique<JournalTask>(
      events, this->table.get(), this->settings.get(), this->dispatch.get(),
      JournalTask::Hooks{
          .adopt =
              [this](const DurableTask& task) { this->tasks->Adopt(task); },
          .adopt_ended =
              [this](const DurableTask& task, const FinishTask& end,
                     std::string answer) {
                this->tasks->AdoptEnded(task, end, std::move(answer));
              }});
  this->membership = std::make_unique<MembershipTask>(
      events, &this->peers, this->settings.get(),
      MembershipTask::Hooks{.on_fenced = [](const SessionId&) {},
                            .reconnect =
                                [this](const DaemonId& daemon) {
                                  this->peers.Reconnect(daemon);
                                }});
  this->tasks = std::make_unique<TaskApi>(
      events, this->server.get(), this->http.get(), this->dispatch.get(),
      this->settings.get(), &this->metrics,
      TaskApi::Hooks{
          .record =
              [this](const DurableTask& task,
                     std::function<void(RecordOutcome)> callback) {
                this->journal->Record(task, std::move(callback));
              },
          .record_end =
              [this](const FinishTask& end, const std::string& answer) {
                this->journal->RecordEnd(end, answer);
              }});
  this->admin = std::make_unique<AdminApi>(
      events, this->server.get(), this->settings.get(), this->permits.get(),
      this->dispatch.get(), &this->config);
}

void Daemon::Core::RouteProbes() {
  this->server->Route(HttpMethod::kGet, "/healthz",
                      [](const HttpServerRequest&, const HttpResponder& to) {
                        to.Send({200, {}, "ok\n"});
                      });
  this->server->Route(
      HttpMethod::kGet, "/readyz",
      [this](const HttpServerRequest&, const HttpResponder& to) {
        const bool ready = this->registered && !this->stopping &&
                           this->settings->Tree() != nullptr;
        to.Send({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"});
      });
  this->server->Route(
      HttpMethod::kGet, "/metrics",
      [this](const HttpServerRequest&, const HttpResponder& to) {
        this->UpdateGauges();
        to.Send({200,
                 {{"Content-Type", kMetricsContentType}},
                 this->metrics.Expose()});
      });
}

int Daemon::Core::Run() {
  for (const int signal_number : {SIGTERM, SIGINT}) {
    const auto watch =
        this->loop->OnSignal(signal_number, [this] { this->BeginStop(); });
    if (!watch) {
      LogError(LogLevel::kError, "signal_not_watched", watch.error());
      return EXIT_FAILURE;
    }
  }
  this->settings->Start();
  LogEvent(LogLevel::kInfo, "started",
           {{"daemon", this->config.daemon.value},
            {"zone", this->config.zone.value},
            {"listen", this->config.listen.Text()}});
  this->loop->Run();
  LogEvent(LogLevel::kInfo, "stopped",
           {{"exit_code", std::to_string(this->exit_code)}});
  return this->exit_code;
}

void Daemon::Core::OnRegistered() {
  this->registered = true;
  this->permits->Start();
  this->dispatch->Start();
  this->membership->Start();
  this->journal->Start();
}

void Daemon::Core::OnRegistry() {
  this->permits->OnRegistry();
  this->dispatch->OnRegistry();
  this->membership->OnRegistry();
  this->journal->OnRegistry();
}

void Daemon::Core::UpdateGauges() {
  this->metrics.SetGauge("open_tasks_count",
                         static_cast<double>(this->tasks->OpenTasks()));
  this->metrics.SetGauge("open_attempts_count",
                         static_cast<double>(this->dispatch->OpenAttempts()));
  this->metrics.SetGauge("owned_endpoints_count",
                         static_cast<double>(this->dispatch->OwnedEndpoints()));
  const SettingsTree* tree = this->settings->Tree();
  if (tree == nullptr) {
    return;
  }
  this->metrics.SetGauge("settings_revision_number",
                         static_cast<double>(tree->CurrentRevision().value));
}

//-----------------------------------------------------------------------------
// [SECTION] Stop
//-----------------------------------------------------------------------------

// Order of a stop: readiness fails, new tasks are refused, open tasks end, the
// session leaves the registry, the server closes.
void Daemon::Core::BeginStop() {
  if (std::exchange(this->stopping, true)) {
    return;
  }
  LogEvent(LogLevel::kInfo, "stopping", {});
  this->membership->Leave();
  this->loop->After(kUnreadyDelay, [this] {
    this->dispatch->Shutdown();
    this->drain_until = this->loop->Now() + kDrainLimit;
    this->Drain();
  });
}

void Daemon::Core::Drain() {
  const bool open =
      this->tasks->OpenTasks() > 0 || this->dispatch->OpenAttempts() > 0;
  if (open && this->loop->Now() < this->drain_until) {
    this->loop->After(kDrainCheckInterval, [this] { this->Drain(); });
    return;
  }
  this->Leave();
}

void Daemon::Core::Leave() {
  this->dispatch->ReleaseLeases();
  if (!this->registered) {
    return this->CloseServer();
  }
  this->settings->Leave(kLeaveLimit, [this] { this->CloseServer(); });
}

void Daemon::Core::CloseServer() {
  this->server->Stop(kServerStopLimit, [this](HttpStopReport report) {
    if (report.aborted_requests > 0) {
      LogEvent(LogLevel::kError, "requests_cut",
               {{"count", std::to_string(report.aborted_requests)}});
      this->exit_code = EXIT_FAILURE;
    }
    this->loop->Stop();
  });
}

//-----------------------------------------------------------------------------
// [SECTION] Daemon
//-----------------------------------------------------------------------------

Result<std::unique_ptr<Daemon>> Daemon::Create(DaemonConfig config) {
  auto core = std::make_unique<Core>(std::move(config));
  const auto bound = core->Bind();
  if (!bound) {
    return bound.error();
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(core)));
}

Daemon::Daemon(std::unique_ptr<Core> core) : core(std::move(core)) {}

Daemon::~Daemon() = default;

int Daemon::Run() {
  return this->core->Run();
}

}  // namespace peridot
