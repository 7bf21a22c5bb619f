// HTTP/1.1 server over libevhtp, on the event loop of the program.
//
// Index:
//   [SECTION] Requests and answers
//   [SECTION] Faults
//   [SECTION] Tunables
//   [SECTION] HttpResponder
//   [SECTION] HttpServer
//
// A handler is called once the whole request has been read. It answers through
// its responder, at once or later.

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

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Requests and answers
//-----------------------------------------------------------------------------

struct HttpServerRequest {
  HttpMethod method = HttpMethod::kGet;  // default: kGet
  std::string path{};     // default: empty; not percent-decoded, without query
  std::string query{};    // default: empty; what follows "?", not decoded
  HttpHeaders headers{};  // default: none
  std::string body{};     // default: empty
};

using HttpServerAnswer = HttpAnswer;

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// Reasons for which the server answers without calling a handler. A message
// that is not HTTP at all, or that exceeds kDiscardFactor times a limit, gets
// no answer: its connection is closed.
enum class HttpServerFault {
  kNone,
  kNotFound,          // 404: no route for the path
  kMethodNotAllowed,  // 405: the path has routes for other methods only
  kBadFraming,        // 400: the end of the body is not certain
  kBodyTooLarge,      // 413
  kHeaderTooLarge,    // 431
  kNoAnswer,          // 500: the handler dropped its responder
};

// Returns the HTTP status of a fault; 500 for kNone.
int FaultStatus(HttpServerFault fault);

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct HttpServerOptions {
  std::string address = "127.0.0.1";  // default: loopback
  std::uint16_t port = 0;             // default: 0, any free port
  int backlog = 512;                  // default: 512 connections
  // Each connection costs a descriptor and a few KiB.
  std::size_t max_connections = 4096;  // default: 4096
  // Section 14.1 of the design page: at most 1 MiB of payload.
  std::size_t max_body = 1 << 20;     // default: 1 MiB
  std::size_t max_header = 16 << 10;  // default: 16 KiB; names and values
  // Longest time without progress while a request is read or awaited.
  Duration read_timeout = std::chrono::seconds(60);   // default: 60 s
  Duration write_timeout = std::chrono::seconds(30);  // default: 30 s
  // After Stop(), how long an idle connection is kept, so that a request that
  // is already on its way is answered and not cut.
  Duration idle_grace = std::chrono::seconds(1);  // default: 1 s
  // Formats the answers to faults. Default: the status without a body.
  std::function<HttpServerAnswer(HttpServerFault)> format_fault{};
};

// A body or a header section above its limit is read and dropped up to this
// multiple of the limit, so that the client gets its answer. Beyond that the
// connection is closed.
inline constexpr std::size_t kDiscardFactor = 4;

//-----------------------------------------------------------------------------
// [SECTION] HttpResponder
//-----------------------------------------------------------------------------

// The right to answer one request. Copies share the right. If the last copy
// goes without an answer, the client gets the fault kNoAnswer. May outlive the
// server and the connection; Send() does nothing then. Not thread-safe: lives
// on the loop's thread.
class HttpResponder {
 public:
  class Pending;  // http_server.cc

  explicit HttpResponder(std::shared_ptr<Pending> pending)
      : pending(std::move(pending)) {}

  // Sends the answer. Does nothing if one was sent before.
  void Send(const HttpServerAnswer& answer) const;

 private:
  std::shared_ptr<Pending> pending;
};

//-----------------------------------------------------------------------------
// [SECTION] HttpServer
//-----------------------------------------------------------------------------

// What a graceful stop did not finish within its limit.
struct HttpStopReport {
  std::size_t cut_requests = 0;  // default: 0; requests that got no answer
};

// Not thread-safe: lives on the loop's thread. The loop must outlive it.
class HttpServer {
 public:
  using Handler = std::function<void(HttpServerRequest, HttpResponder)>;
  using StopCallback = std::function<void(HttpStopReport)>;

  // Binds and listens. Fails if the address is in use or not valid.
  static Result<std::unique_ptr<HttpServer>> Create(EventLoop* loop,
                                                    HttpServerOptions options);

  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Closes all connections without an answer; see Stop().
  ~HttpServer();

  // Adds a route. A path that ends in "/" matches every path that starts with
  // it, any other path only itself; the longest match wins. The handler is
  // called from the loop and never from within a member.
  void Route(HttpMethod method, std::string path, Handler handler);

  // Stops accepting, answers all requests that are being read or answered,
  // closes each connection after its answer or after idle_grace, then calls
  // the callback once. After the limit it cuts what is left. New requests on
  // open connections still reach the handlers, which decide what to refuse.
  // Must be called at most once.
  void Stop(Duration limit, StopCallback callback);

  std::uint16_t Port() const;
  std::size_t OpenConnections() const;
  std::size_t OpenRequests() const;  // being read or answered

 private:
  class Core;  // http_server.cc

  explicit HttpServer(std::shared_ptr<Core> core);

  std::shared_ptr<Core> core;

  friend class HttpResponder::Pending;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_HTTP_SERVER_H_
