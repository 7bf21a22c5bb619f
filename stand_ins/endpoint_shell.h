// HTTP interface of the endpoint stand-ins.
//
// Index:
//   [SECTION] EndpointShell
//   [SECTION] EndpointFleet
//
// One thread runs all endpoints of a process. POST /v1/fault and GET /v1/runs
// are for tests only; injected faults and the connection limit do not apply to
// them.
//
// Limitation: a connection counts as open, and the fault `silent` affects it,
// only after its first request, because evhttp does not report accepted
// connections.

#ifndef STAND_INS_ENDPOINT_SHELL_H_
#define STAND_INS_ENDPOINT_SHELL_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "stand_ins/endpoint_model.h"
#include "stand_ins/http_shell.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] EndpointShell
//-----------------------------------------------------------------------------

// The faults that the body of one POST /v1/fault requests.
struct FaultCommand {
  EndpointFaults faults{};
  bool silent = false;  // stop responding on open connections
  bool restart = false;
  bool all = false;  // also apply them to the other endpoints of the process
  std::chrono::milliseconds pause{};
};

// Serves one endpoint on one port.
class EndpointShell {
 public:
  // Applies a body of POST /v1/fault to the other endpoints of the process.
  using ApplyToOthers =
      std::function<void(const EndpointShell& self, const std::string& body)>;

  // Starts listening before it returns. The loop must outlive the endpoint.
  // Errors: kUnavailable (the port cannot be bound).
  static Result<std::unique_ptr<EndpointShell>> Listen(
      ShellLoop& loop,
      EndpointOptions options,
      std::uint16_t port,
      ApplyToOthers apply_to_others);

  std::uint16_t Port() const { return this->server->Port(); }

  // Applies a valid body of POST /v1/fault. A restart closes all connections
  // except `kept_connection`, over which the fault was requested.
  void ApplyFaults(const std::string& body,
                   ConnectionNumber kept_connection = 0);

 private:
  struct PendingRequest {
    RequestNumber request = 0;
    ConnectionNumber connection = 0;
  };

  EndpointShell(ShellLoop& loop,
                EndpointOptions options,
                ApplyToOthers apply_to_others);

  void Handle(const HttpRequest& request);
  void SetFaults(const HttpRequest& request);
  void Restart(ConnectionNumber kept_connection);

  void Admit(const HttpRequest& request, bool may_retry);
  bool Connect(ConnectionNumber connection);
  bool IsSilent(ConnectionNumber connection) const;

  void Dispatch(const HttpRequest& request);
  void Start(const HttpRequest& request);
  HttpReply ReplyTo(const HttpRequest& request);
  HttpReply Lease(const std::string& body);
  HttpReply Release(const std::string& lease);
  HttpReply Heartbeat(const std::string& body);
  HttpReply Fence(const HttpRequest& request, const std::string& attempt);
  HttpReply Cancel(const HttpRequest& request, const std::string& attempt);
  HttpReply FindAttempt(const std::string& attempt);
  HttpReply Runs() const;
  HttpReply ReplyOf(const AttemptResponse& answer) const;

  void SendResponse(const PendingRequest& to, const AttemptResponse& answer);
  // Sends the responses that are due and sets the timer for the next ones.
  void Advance();

  ShellLoop& loop;
  EndpointModel model;
  ApplyToOthers apply_to_others;
  std::unique_ptr<HttpServer> server;
  std::unordered_map<AttemptId, std::vector<PendingRequest>> pending_requests;
  // The number of each open connection in the model.
  std::unordered_map<ConnectionNumber, std::uint64_t> connections;
  std::optional<Instant> timer;
};

//-----------------------------------------------------------------------------
// [SECTION] EndpointFleet
//-----------------------------------------------------------------------------

struct EndpointFleetOptions {
  std::uint16_t first_port = 0;  // 0: the kernel chooses
  int count = 1;
  EndpointOptions endpoint{};
};

// Independent endpoints on consecutive ports.
class EndpointFleet {
 public:
  // Errors: kUnavailable (a port cannot be bound).
  static Result<std::unique_ptr<EndpointFleet>> Listen(
      ShellLoop& loop,
      EndpointFleetOptions options);

  std::uint16_t FirstPort() const { return this->endpoints.front()->Port(); }

 private:
  EndpointFleet() = default;
  Result<void> ListenAll(ShellLoop& loop, const EndpointFleetOptions& options);

  std::vector<std::unique_ptr<EndpointShell>> endpoints;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_ENDPOINT_SHELL_H_
