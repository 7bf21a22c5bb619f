// HTTP interface of endpoints (docs/design.md, 14.6).
//
// Index:
//   [SECTION] EndpointShell
//   [SECTION] EndpointFleet
//
// One thread runs all endpoints of a process. POST /v1/fault and GET /v1/runs
// are the tests' own access: no fault and no connection limit applies to them.
//
// Known shortcoming: a connection counts as open, and goes silent, only once it
// has carried a request, because evhttp does not report accepted connections.

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

// The faults that one body of POST /v1/fault asks for.
struct FaultCommand {
  EndpointFaults faults{};  // default: as in EndpointFaults
  bool silent = false;      // default: false
  bool restart = false;     // default: false
  bool all = false;  // default: false; also of the process's other endpoints
  std::chrono::milliseconds pause{};  // default: 0 ms
};

// Serves one endpoint on one port.
class EndpointShell {
 public:
  // Applies a body of POST /v1/fault to the other endpoints of the process.
  using ForOthers =
      std::function<void(const EndpointShell& self, const std::string& body)>;

  // Listens at once. The loop outlives the endpoint.
  // Errors: kUnavailable (the port cannot be bound).
  static Result<std::unique_ptr<EndpointShell>> Listen(ShellLoop& loop,
                                                       EndpointOptions options,
                                                       std::uint16_t port,
                                                       ForOthers for_others);

  std::uint16_t Port() const { return this->server->Port(); }

  // Applies a body of POST /v1/fault that was found valid. `spared` stays open
  // when a restart closes the connections.
  void ApplyFaults(const std::string& body, ConnectionNumber spared = 0);

 private:
  struct Waiting {
    RequestNumber request = 0;        // default: 0
    ConnectionNumber connection = 0;  // default: 0
  };

  EndpointShell(ShellLoop& loop, EndpointOptions options, ForOthers for_others);

  void Handle(const HttpRequest& request);
  void SetFaults(const HttpRequest& request);
  void Restart(ConnectionNumber spared);

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
  HttpReply Look(const std::string& attempt);
  HttpReply Runs() const;
  HttpReply ReplyOf(const AttemptAnswer& answer) const;

  void SendAnswer(const Waiting& to, const AttemptAnswer& answer);
  // Sends the answers that are due and sets the timer for the next ones.
  void Advance();

  ShellLoop& loop;
  EndpointModel model;
  ForOthers for_others;
  std::unique_ptr<HttpServer> server;
  std::unordered_map<AttemptId, std::vector<Waiting>> waiting;
  // The model's numbers of the open connections.
  std::unordered_map<ConnectionNumber, std::uint64_t> connections;
  std::optional<Instant> timer;
};

//-----------------------------------------------------------------------------
// [SECTION] EndpointFleet
//-----------------------------------------------------------------------------

struct FleetOptions {
  std::uint16_t first_port = 0;  // default: 0, the kernel chooses
  int count = 1;                 // default: 1
  EndpointOptions endpoint{};    // default: as in EndpointOptions
};

// Independent endpoints on consecutive ports.
class EndpointFleet {
 public:
  // Errors: kUnavailable (a port cannot be bound).
  static Result<std::unique_ptr<EndpointFleet>> Listen(ShellLoop& loop,
                                                       FleetOptions options);

  std::uint16_t FirstPort() const { return this->endpoints.front()->Port(); }

 private:
  EndpointFleet() = default;
  Result<void> ListenAll(ShellLoop& loop, const FleetOptions& options);

  std::vector<std::unique_ptr<EndpointShell>> endpoints;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_ENDPOINT_SHELL_H_
