// HTTP/1.1 server over libevhtp on an EventLoop.
//
// Index:
//   [SECTION] Requests and responses
//   [SECTION] Faults
//   [SECTION] Tunables
//   [SECTION] HttpResponder
//   [SECTION] HttpServer
//
// A handler is called once the whole request has been read. It sends the
// response through its responder, immediately or later.

#ifndef SRC_TRANSPORT_HTTP_SERVER_H_
#define SRC_TRANSPORT_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "src/protocol/http_headers.h"
#include "src/state/error.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "src/transport/metrics.h"
#include "src/transport/receive_budget.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Requests and responses
//-----------------------------------------------------------------------------

struct HttpServerRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string path{};   // not percent-decoded, without query
  std::string query{};  // text after "?", not decoded
  HttpHeaders headers{};
  std::string body{};
};

using HttpServerResponse = HttpResponse;

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// Reasons for which the server responds without calling a handler. For a
// message that is not HTTP or that exceeds kDiscardFactor times a limit, or if
// the limits of all clients together are exhausted, the server closes the
// connection without a response.
enum class HttpServerFault {
  kNone,
  kNotFound,          // 404: no route for the path
  kMethodNotAllowed,  // 405: the path has routes for other methods only
  kBadFraming,        // 400: the end of the body is ambiguous
  kBodyTooLarge,      // 413
  kHeaderTooLarge,    // 431
  kNoAnswer,          // 500: the handler dropped its responder unused
};

// Returns the HTTP status of a fault; 500 for kNone.
int FaultStatus(HttpServerFault fault);

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port
  int backlog = 512;
  // Limits on what clients send and on what their requests hold together. A
  // client that exceeds one is refused or its connection is closed before its
  // request is passed to a handler.
  ReceiveLimits receive{};
  // A task payload has at most 1 MiB.
  std::size_t max_body_bytes = 1 << 20;
  // Maximum time without progress while a request is being read or awaited.
  Duration read_timeout = std::chrono::seconds(60);
  Duration write_timeout = std::chrono::seconds(30);
  // How long an idle connection is kept after Stop(), so that a request already
  // in transit is still answered.
  Duration idle_grace = std::chrono::seconds(1);
  // Label of the server's metrics and log lines.
  std::string listener = "callers";
  Metrics* metrics = nullptr;  // optional; must outlive the server
  // Formats the responses to faults. If empty, they have a status but no body.
  std::function<HttpServerResponse(HttpServerFault)> format_fault{};
};

//-----------------------------------------------------------------------------
// [SECTION] HttpResponder
//-----------------------------------------------------------------------------

// Sends the response to one request. Copies refer to the same request. If the
// last copy is destroyed before a response was sent, the client receives the
// response to the fault kNoAnswer. May outlive the server and the connection;
// Send() then does nothing. Not thread-safe: must be used on the loop's thread
// only.
class HttpResponder {
 public:
  class Pending;  // http_server.cc

  explicit HttpResponder(std::shared_ptr<Pending> pending)
      : pending(std::move(pending)) {}

  // Sends the response. Does nothing if one was sent before.
  void Send(const HttpServerResponse& response) const;

  // Counts memory that the handler holds until the response, in bytes, among
  // what the connections of the listener hold.
  void Charge(std::size_t bytes) const;

 private:
  std::shared_ptr<Pending> pending;
};

//-----------------------------------------------------------------------------
// [SECTION] HttpServer
//-----------------------------------------------------------------------------

// Requests that a graceful stop did not complete within its time limit.
struct HttpStopReport {
  std::size_t aborted_requests = 0;  // requests without a response
};

// Not thread-safe: must be used on the loop's thread only. The loop must
// outlive it.
class HttpServer {
 public:
  using Handler = std::function<void(HttpServerRequest, HttpResponder)>;
  using StopCallback = std::function<void(HttpStopReport)>;

  // Binds and listens. Fails if the address is in use or invalid.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop* loop,
                                                    HttpServerOptions options);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Closes all connections without responses. See Stop() for a graceful stop.
  ~HttpServer();

  // Adds a route. A path that ends in "/" matches every path that starts with
  // it, any other path only itself; the longest match wins. The handler is
  // called from the loop and never from within a member.
  void Route(HttpMethod method, std::string path, Handler handler);

  // Stops accepting connections, completes all open requests, closes each
  // connection after its response or after idle_grace, then calls the callback
  // once. When the limit has passed, it closes the remaining connections. New
  // requests on open connections are still passed to the handlers, which decide
  // what to refuse. Must be called at most once.
  void Stop(Duration limit, StopCallback callback);

  std::uint16_t Port() const;
  std::size_t OpenConnections() const;
  std::size_t OpenRequests() const;  // being read or processed

 private:
  class Core;  // http_server.cc

  explicit HttpServer(std::shared_ptr<Core> core);

  std::shared_ptr<Core> core;

  friend class HttpResponder::Pending;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_HTTP_SERVER_H_
