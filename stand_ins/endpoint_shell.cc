#include "stand_ins/endpoint_shell.h"

#include <charconv>
#include <random>
#include <utility>

#include "stand_ins/json_fields.h"

namespace peridot::stand_ins {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxBody = std::size_t{1}
                                 << 20;         // the limit of the callers' API
constexpr std::int64_t kMaxLeaseMs = 600'000;   // 10 min
constexpr std::int64_t kMaxRunMs = 86'400'000;  // maximum of run_ms
constexpr std::int64_t kMaxSlotsPerTask = 64;   // maximum of slots_per_task
constexpr std::int64_t kMaxPauseMs = 3'600'000;  // 1 h

Error Malformed(std::string message) {
  return MakeError(ErrorCode::kMalformed, "parse", "client",
                   std::move(message));
}

//-----------------------------------------------------------------------------
// [SECTION] Headers of an attempt
//-----------------------------------------------------------------------------

Result<std::string> RequiredHeader(const HttpRequest& request,
                                   const std::string& name) {
  std::string value = request.Header(name);
  if (value.empty())
    return Malformed("the header " + name + " is missing");
  return value;
}

Result<std::int64_t> IntegerHeader(const HttpRequest& request,
                                   const std::string& name,
                                   std::int64_t low,
                                   std::int64_t high) {
  BOOST_OUTCOME_TRY(text, RequiredHeader(request, name));
  std::int64_t value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || value < low ||
      value > high) {
    return Malformed("the header " + name + " is not an integer in " +
                     std::to_string(low) + ".." + std::to_string(high));
  }
  return value;
}

Result<AttemptRequest> ParseAttempt(const HttpRequest& request) {
  BOOST_OUTCOME_TRY(attempt, RequiredHeader(request, "peridot-attempt"));
  BOOST_OUTCOME_TRY(lease, RequiredHeader(request, "peridot-lease"));
  BOOST_OUTCOME_TRY(boot, RequiredHeader(request, "peridot-boot"));
  BOOST_OUTCOME_TRY(not_after,
                    IntegerHeader(request, "peridot-not-after-us", 0,
                                  std::numeric_limits<std::int64_t>::max()));
  BOOST_OUTCOME_TRY(run_ms,
                    IntegerHeader(request, "peridot-run-ms", 0, kMaxRunMs));
  const std::string idempotent = request.Header("peridot-idempotent");
  if (!idempotent.empty() && idempotent != "true" && idempotent != "false")
    return Malformed("the header peridot-idempotent is not true or false");
  std::int64_t slots = 1;
  if (!request.Header("peridot-slots").empty()) {
    BOOST_OUTCOME_TRY(
        stated, IntegerHeader(request, "peridot-slots", 1, kMaxSlotsPerTask));
    slots = stated;
  }
  return AttemptRequest{.attempt = AttemptId(attempt),
                        .task = TaskId(request.Header("peridot-task")),
                        .team = TeamId(request.Header("peridot-team")),
                        .lease = LeaseId(lease),
                        .boot = BootId(boot),
                        .not_after_us = not_after,
                        .run = milliseconds(run_ms),
                        .slots = SlotCount(slots),
                        .payload = request.body};
}

Result<FaultCommand> ParseFaults(const EndpointFaults& present,
                                 const std::string& body) {
  BOOST_OUTCOME_TRY(object, ParseObject(body));
  FaultCommand command;
  command.faults = present;
  std::int64_t pause_ms = 0;
  JsonFields fields(object);
  fields.Bool("fail_all", command.faults.fail_all);
  fields.Bool("leaving", command.faults.leaving);
  fields.Integer("lose_answers", command.faults.lose_answers,
                 Presence::kOptional);
  fields.Integer("wrong_answers", command.faults.wrong_answers,
                 Presence::kOptional);
  fields.Integer("truncate", command.faults.truncate, Presence::kOptional);
  fields.Bool("silent", command.silent);
  fields.Bool("restart", command.restart);
  fields.Bool("all", command.all);
  fields.Integer("pause_ms", pause_ms, Presence::kOptional, 0, kMaxPauseMs);
  BOOST_OUTCOME_TRY(fields.Finish());
  command.pause = milliseconds(pause_ms);
  return command;
}

std::int64_t Micros(Instant instant) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             instant.time_since_epoch())
      .count();
}

int StatusOf(AttemptState state) {
  switch (state) {
    case AttemptState::kNeverStarted:
      return 409;
    case AttemptState::kFailed:
    case AttemptState::kStopped:
      return 500;
    default:
      return 200;
  }
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Start and faults
//-----------------------------------------------------------------------------

EndpointShell::EndpointShell(ShellLoop& loop,
                             EndpointOptions options,
                             ApplyToOthers apply_to_others)
    : loop(loop),
      model(std::move(options)),
      apply_to_others(std::move(apply_to_others)) {}

Result<std::unique_ptr<EndpointShell>> EndpointShell::Listen(
    ShellLoop& loop,
    EndpointOptions options,
    std::uint16_t port,
    ApplyToOthers apply_to_others) {
  std::unique_ptr<EndpointShell> shell(
      new EndpointShell(loop, std::move(options), std::move(apply_to_others)));
  EndpointShell* const self = shell.get();
  auto server =
      HttpServer::Listen(loop, {.port = port, .max_body = kMaxBody},
                         [self](HttpServer&, const HttpRequest& request) {
                           self->Handle(request);
                         });
  if (!server)
    return server.error();
  shell->server = std::move(server).value();
  shell->server->SetCloseHandler([self](ConnectionNumber connection) {
    const auto entry = self->connections.find(connection);
    if (entry == self->connections.end())
      return;
    self->model.Disconnect(entry->second);
    self->connections.erase(entry);
  });
  return shell;
}

void EndpointShell::Handle(const HttpRequest& request) {
  if (request.Is("POST", "/v1/fault"))
    return this->SetFaults(request);
  if (request.Is("GET", "/v1/runs")) {
    this->Advance();
    return this->server->Reply(request.id, this->Runs());
  }
  this->Admit(request, /*may_retry=*/true);
}

void EndpointShell::SetFaults(const HttpRequest& request) {
  const auto command = ParseFaults(this->model.Faults(), request.body);
  if (!command)
    return this->server->Reply(request.id, ErrorReply(command.error()));
  this->server->Reply(request.id, JsonReply(200, json::object()));
  this->ApplyFaults(request.body, request.connection);
  if (command.value().all)
    this->apply_to_others(*this, request.body);
}

void EndpointShell::ApplyFaults(const std::string& body,
                                ConnectionNumber kept_connection) {
  const auto command = ParseFaults(this->model.Faults(), body);
  if (!command)
    return;
  this->Advance();
  this->model.SetFaults(command.value().faults);
  if (command.value().silent)
    this->model.SilenceOpenConnections();
  if (command.value().pause > milliseconds(0))
    this->model.Pause(command.value().pause, this->loop.Now());
  if (command.value().restart)
    this->Restart(kept_connection);
  this->Advance();
}

void EndpointShell::Restart(ConnectionNumber kept_connection) {
  this->model.Restart(this->loop.Now());
  this->pending_requests.clear();
  for (const auto& [connection, number] : this->connections) {
    if (connection != kept_connection)
      this->server->Close(connection);
  }
  this->connections.clear();
}

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

void EndpointShell::Admit(const HttpRequest& request, bool may_retry) {
  if (!this->Connect(request.connection)) {
    // Connections closed by their clients are released in the next iteration of
    // the event loop, so the limit is checked again after it.
    if (may_retry) {
      return this->loop.After(Duration{}, [this, request] {
        this->Admit(request, /*may_retry=*/false);
      });
    }
    HttpReply refusal = ErrorReply(503, "too many connections");
    refusal.headers.emplace_back("Connection", "close");
    return this->server->Reply(request.id, refusal);
  }
  this->Dispatch(request);
}

bool EndpointShell::Connect(ConnectionNumber connection) {
  if (this->connections.contains(connection))
    return true;
  this->server->CloseAbandoned();
  const std::optional<std::uint64_t> number = this->model.Connect();
  if (number)
    this->connections.emplace(connection, *number);
  return number.has_value();
}

bool EndpointShell::IsSilent(ConnectionNumber connection) const {
  const auto entry = this->connections.find(connection);
  return entry != this->connections.end() &&
         this->model.IsSilent(entry->second);
}

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

void EndpointShell::Dispatch(const HttpRequest& request) {
  if (this->IsSilent(request.connection))
    return;
  const Instant now = this->loop.Now();
  if (now < this->model.PausedUntil()) {
    return this->loop.After(this->model.PausedUntil() - now,
                            [this, request] { this->Dispatch(request); });
  }
  if (request.Is("POST", "/v1/attempts")) {
    this->Start(request);
  } else {
    this->server->Reply(request.id, this->ReplyTo(request));
  }
  this->Advance();
}

HttpReply EndpointShell::ReplyTo(const HttpRequest& request) {
  const std::string& method = request.method;
  if (request.Is("POST", "/v1/lease"))
    return this->Lease(request.body);
  if (request.Is("POST", "/v1/heartbeat"))
    return this->Heartbeat(request.body);
  const auto lease = request.PathBetween("/v1/lease/");
  if (lease && method == "DELETE")
    return this->Release(*lease);
  const auto fenced = request.PathBetween("/v1/attempts/", "/fence");
  if (fenced && method == "POST")
    return this->Fence(request, *fenced);
  const auto attempt = request.PathBetween("/v1/attempts/");
  if (attempt && method == "GET")
    return this->FindAttempt(*attempt);
  if (attempt && method == "DELETE")
    return this->Cancel(request, *attempt);
  return ErrorReply(404, "there is no such resource");
}

HttpReply EndpointShell::Lease(const std::string& body) {
  const auto object = ParseObject(body);
  if (!object)
    return ErrorReply(object.error());
  LeaseRequest request;
  std::int64_t incarnation = 0;
  std::int64_t duration_ms = 0;
  JsonFields fields(object.value());
  fields.Text("holder", request.holder.value, Presence::kRequired);
  fields.Integer("incarnation", incarnation, Presence::kRequired, 1);
  fields.Integer("duration_ms", duration_ms, Presence::kRequired, 1,
                 kMaxLeaseMs);
  const auto finished = fields.Finish();
  if (!finished)
    return ErrorReply(finished.error());
  request.incarnation = Incarnation(static_cast<std::uint64_t>(incarnation));
  request.duration = milliseconds(duration_ms);

  const LeaseResponse answer = this->model.Lease(request, this->loop.Now());
  if (const auto* refusal = std::get_if<LeaseRefusal>(&answer)) {
    return JsonReply(409, {{"holder", refusal->holder.value},
                           {"latest", refusal->latest.value}});
  }
  const auto& grant = std::get<LeaseGrant>(answer);
  return JsonReply(200, {{"lease", grant.lease.value},
                         {"boot", grant.boot.value},
                         {"clock_us", grant.clock_us},
                         {"slots", grant.slots.value},
                         {"used", grant.used.value},
                         {"leaving", grant.leaving}});
}

HttpReply EndpointShell::Release(const std::string& lease) {
  if (!this->model.Release(LeaseId(lease), this->loop.Now()))
    return ErrorReply(404, "the lease is not valid");
  return JsonReply(200, json::object());
}

HttpReply EndpointShell::Heartbeat(const std::string& body) {
  const auto object = ParseObject(body);
  if (!object)
    return ErrorReply(object.error());
  LeaseId lease;
  std::int64_t until_us = 0;
  JsonFields fields(object.value());
  fields.Text("lease", lease.value, Presence::kRequired);
  fields.Integer(
      "until_us", until_us, Presence::kRequired, 0,
      this->model.ClockMicros(this->loop.Now()) + kMaxLeaseMs * 1'000);
  const auto finished = fields.Finish();
  if (!finished)
    return ErrorReply(finished.error());

  const auto heartbeat =
      this->model.Heartbeat(lease, until_us, this->loop.Now());
  if (!heartbeat) {
    return JsonReply(409, {{"error", "the lease is not valid"},
                           {"boot", this->model.Boot().value}});
  }
  json running = json::array();
  for (const AttemptId& attempt : heartbeat->running) {
    running.push_back(attempt.value);
  }
  return JsonReply(200, {{"boot", heartbeat->boot.value},
                         {"clock_us", heartbeat->clock_us},
                         {"leaving", heartbeat->leaving},
                         {"slots", heartbeat->slots.value},
                         {"used", heartbeat->used.value},
                         {"running", std::move(running)}});
}

HttpReply EndpointShell::Runs() const {
  json runs = json::array();
  for (const RunRecord& run : this->model.Runs()) {
    runs.push_back({{"attempt", run.attempt.value},
                    {"task", run.task.value},
                    {"team", run.team.value},
                    {"started_us", Micros(run.started)},
                    {"ended_us", Micros(run.ended)},
                    {"outcome", AttemptStateName(run.outcome)}});
  }
  return JsonReply(200, runs);
}

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

void EndpointShell::Start(const HttpRequest& request) {
  const auto attempt = ParseAttempt(request);
  if (!attempt)
    return this->server->Reply(request.id, ErrorReply(attempt.error()));
  const PendingRequest caller{request.id, request.connection};
  const AttemptResponse answer =
      this->model.Start(attempt.value(), this->loop.Now());
  if (answer.state != AttemptState::kRunning)
    return this->SendResponse(caller, answer);
  this->pending_requests[answer.in_reply_to].push_back(caller);
}

HttpReply EndpointShell::Fence(const HttpRequest& request,
                               const std::string& attempt) {
  return this->ReplyOf(this->model.Fence(AttemptId(attempt),
                                         BootId(request.Header("peridot-boot")),
                                         this->loop.Now()));
}

HttpReply EndpointShell::Cancel(const HttpRequest& request,
                                const std::string& attempt) {
  return this->ReplyOf(this->model.Cancel(
      AttemptId(attempt), BootId(request.Header("peridot-boot")),
      this->loop.Now()));
}

HttpReply EndpointShell::FindAttempt(const std::string& attempt) {
  const auto answer =
      this->model.FindAttempt(AttemptId(attempt), this->loop.Now());
  if (!answer)
    return ErrorReply(404, "there is no such attempt");
  return this->ReplyOf(*answer);
}

// Returns the bytes of the result if the attempt is done, else its state as
// JSON.
HttpReply EndpointShell::ReplyOf(const AttemptResponse& answer) const {
  HttpReply reply;
  if (answer.state == AttemptState::kDone) {
    reply.content_type = "application/octet-stream";
    reply.body = answer.body;
    reply.headers.emplace_back("Peridot-Digest", answer.digest);
    if (answer.body.size() < answer.length)
      reply.announced_length = answer.length;
  } else {
    json state = {{"state", AttemptStateName(answer.state)},
                  {"boot", this->model.Boot().value}};
    if (answer.state == AttemptState::kNeverStarted)
      state["reason"] = StartRefusalName(answer.reason);
    reply = JsonReply(200, state);
  }
  reply.headers.emplace_back("Peridot-Attempt", answer.attempt.value);
  reply.headers.emplace_back("Peridot-State", AttemptStateName(answer.state));
  reply.headers.emplace_back("Peridot-Boot", this->model.Boot().value);
  return reply;
}

void EndpointShell::SendResponse(const PendingRequest& to,
                                 const AttemptResponse& answer) {
  if (this->IsSilent(to.connection))
    return;
  if (answer.lost)
    return this->server->Drop(to.request);
  HttpReply reply = this->ReplyOf(answer);
  reply.status = StatusOf(answer.state);
  this->server->Reply(to.request, reply);
}

void EndpointShell::Advance() {
  const Instant now = this->loop.Now();
  for (const AttemptResponse& answer : this->model.Advance(now)) {
    const auto callers = this->pending_requests.extract(answer.in_reply_to);
    if (callers.empty())
      continue;
    for (const PendingRequest& caller : callers.mapped()) {
      this->SendResponse(caller, answer);
    }
  }
  const std::optional<Instant> next = this->model.NextEvent();
  if (!next || (this->timer && *this->timer <= *next))
    return;
  this->timer = next;
  this->loop.After(*next - now, [this, at = *next] {
    // Ignores this timer if one that fires earlier was set after it.
    if (this->timer != at)
      return;
    this->timer.reset();
    this->Advance();
  });
}

//-----------------------------------------------------------------------------
// [SECTION] EndpointFleet
//-----------------------------------------------------------------------------

Result<std::unique_ptr<EndpointFleet>> EndpointFleet::Listen(
    ShellLoop& loop,
    EndpointFleetOptions options) {
  // The ports after the one that the kernel chose may be in use, so the whole
  // range is selected again.
  constexpr int kTries = 20;
  std::random_device random;
  options.endpoint.boot_prefix =
      "boot-" + std::to_string((std::uint64_t{random()} << 32) | random());
  std::unique_ptr<EndpointFleet> fleet(new EndpointFleet);
  for (int i = 1;; ++i) {
    const Result<void> listening = fleet->ListenAll(loop, options);
    if (listening)
      return fleet;
    if (options.first_port != 0 || i == kTries)
      return listening.error();
    fleet->endpoints.clear();
  }
}

Result<void> EndpointFleet::ListenAll(ShellLoop& loop,
                                      const EndpointFleetOptions& options) {
  const auto apply_to_others = [this](const EndpointShell& self,
                                      const std::string& body) {
    for (const auto& endpoint : this->endpoints) {
      if (endpoint.get() != &self)
        endpoint->ApplyFaults(body);
    }
  };
  int port = options.first_port;
  for (int i = 0; i < options.count; ++i) {
    EndpointOptions endpoint = options.endpoint;
    endpoint.id = EndpointId("e" + std::to_string(i));
    endpoint.boot_prefix += "-" + std::to_string(i) + "-";
    // Different clock offsets let tests detect a clock reading that is used for
    // another endpoint.
    endpoint.clock_offset += std::chrono::minutes(i);
    if (port > std::numeric_limits<std::uint16_t>::max()) {
      return MakeError(ErrorCode::kOutOfRange, "listen", "127.0.0.1",
                       "expected a range of ports up to 65535");
    }
    BOOST_OUTCOME_TRY(shell,
                      EndpointShell::Listen(loop, std::move(endpoint),
                                            static_cast<std::uint16_t>(port),
                                            apply_to_others));
    port = shell->Port() + 1;
    this->endpoints.push_back(std::move(shell));
  }
  return boost::outcome_v2::success();
}

}  // namespace peridot::stand_ins
