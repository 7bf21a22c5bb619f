// Asynchronous HTTP/1.1 client over evhttp, with one connection pool per peer.
//
// Index:
//   [SECTION] Requests
//   [SECTION] Answers
//   [SECTION] Tunables
//   [SECTION] HttpClient
//
// A connection carries one request at a time. The client never repeats a
// request: what to do after a failure is the caller's decision, for which each
// outcome tells whether the peer can have received the request.

#ifndef SRC_TRANSPORT_HTTP_CLIENT_H_
#define SRC_TRANSPORT_HTTP_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "src/protocol/http_headers.h"
#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/transport/event_loop.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

// An HTTP server. Its address is an IP address: names are not resolved.
struct HttpPeer {
  std::string address{};   // default: empty; as in "127.0.0.1"
  std::uint16_t port = 0;  // default: 0, which is not valid

  friend auto operator<=>(const HttpPeer&, const HttpPeer&) = default;
  friend bool operator==(const HttpPeer&, const HttpPeer&) = default;
};

// Returns "address:port".
std::string PeerName(const HttpPeer& peer);

// Requires a connection that has completed an answer recently, so that a
// connection that went silent is not used.
struct LiveConnectionRequirement {
  Duration answered_within = std::chrono::seconds(1);  // default: 1 s
  // If no connection qualifies, the client first sends GET probe_path over a
  // connection and sends the request over the same connection once the probe
  // has been answered. If empty, the request fails with kNoLiveConnection.
  std::string probe_path;  // default: empty
};

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;        // default: kGet
  std::string path{};                          // default: empty; starts with /
  HttpHeaders headers{};                       // default: none
  std::string body{};                          // default: empty
  Duration timeout = std::chrono::seconds(5);  // default: 5 s; queue included
  std::size_t max_answer_bytes = 1 << 20;      // default: 1 MiB; body
  std::size_t max_answer_header = 16 << 10;    // default: 16 KiB
  bool close_after = false;                    // default: false; keep alive
  std::optional<LiveConnectionRequirement> live_connection{};  // default: none
};

// Returns a request with the call's method, path, headers and body.
HttpRequest ToHttpRequest(HttpCall call);

//-----------------------------------------------------------------------------
// [SECTION] Answers
//-----------------------------------------------------------------------------

enum class HttpResult {
  kAnswered,          // whole answer received
  kInvalidRequest,    // the request breaks a rule of HTTP or of this client
  kOverloaded,        // too many requests wait for this peer
  kNoLiveConnection,  // no connection meets the requirement
  kConnectFailed,     // refused or unreachable
  kTimeout,           // no whole answer within the timeout
  kConnectionLost,    // closed or reset before the answer was whole
  kMalformed,         // not valid HTTP, or a header section above its limit
  kTooLarge,          // the body exceeds its limit
  kCancelled,         // Cancel(), CloseConnection() or CloseConnections()
};

// Returns a stable lower-case name, as in "connect_failed".
const char* HttpResultName(HttpResult result);

enum class Delivery {
  kNeverSent,       // no byte was handed to a connected socket
  kMayHaveReached,  // the peer may have received and executed the request
};

using ConnectionId = std::uint64_t;  // 0: none

struct HttpOutcome {
  HttpResult result = HttpResult::kInvalidRequest;  // default: as named
  Delivery delivery = Delivery::kNeverSent;         // default: kNeverSent
  int status = 0;                                   // default: 0; if answered
  HttpHeaders headers{};                            // default: none
  std::string body{};                               // default: empty
  ConnectionId connection = 0;                      // default: 0, none used
  bool connection_reused = false;  // default: false; carried a request before
  std::string message{};           // default: empty; reason of a failure

  bool Answered() const { return this->result == HttpResult::kAnswered; }
};

// Returns the failure as an Error. Requires that Answered() is false.
Error OutcomeError(const HttpOutcome& outcome,
                   std::string step,
                   const HttpPeer& peer);

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct HttpClientOptions {
  // An executor accepts 64 connections (section 1.3 of the design page).
  std::size_t max_connections_per_peer = 64;  // default: 64
  // Beyond this, waiting costs more than an early refusal.
  std::size_t max_waiting_per_peer = 1024;  // default: 1024 requests
  // Idle connections above this number are closed on return.
  std::size_t max_idle_per_peer = 16;  // default: 16
  // Servers commonly close idle connections after a minute; a request that
  // meets such a close has an unknown outcome.
  Duration max_idle_time = std::chrono::seconds(30);  // default: 30 s
};

//-----------------------------------------------------------------------------
// [SECTION] HttpClient
//-----------------------------------------------------------------------------

// Not thread-safe: lives on the loop's thread. The loop must outlive it.
class HttpClient {
 public:
  using Callback = std::function<void(HttpOutcome)>;
  using RequestId = std::uint64_t;

  HttpClient(EventLoop* loop, HttpClientOptions options);

  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Closes all connections. Callbacks not yet called are never called.
  ~HttpClient();

  // Sends the request. The callback is called exactly once, from the loop and
  // never from within a member. It may use all members and destroy the client.
  RequestId Send(const HttpPeer& peer, HttpRequest request, Callback callback);

  // Ends an open request and closes its connection. Its callback is called
  // with kCancelled from the loop. Does nothing if the request has ended.
  void Cancel(RequestId id);

  // Closes a connection, as after an answer that does not belong to the
  // request. Ends the request that it carries with kCancelled.
  void CloseConnection(ConnectionId id);

  // Closes all connections of a peer, as after a missed heartbeat. Requests on
  // them end with kCancelled; waiting ones go on over new connections.
  void CloseConnections(const HttpPeer& peer);

  // Instant of the connection's last whole answer; none if the connection is
  // closed or has not answered yet.
  std::optional<Instant> LastAnswer(ConnectionId id) const;

  std::size_t OpenConnections(const HttpPeer& peer) const;
  std::size_t WaitingRequests(const HttpPeer& peer) const;

 private:
  class Pools;  // http_client.cc

  std::shared_ptr<Pools> pools;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_HTTP_CLIENT_H_
