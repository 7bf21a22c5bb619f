// Asynchronous HTTP/1.1 client over evhttp, with one connection pool per peer.
//
// Index:
//   [SECTION] Requests
//   [SECTION] Responses
//   [SECTION] Tunables
//   [SECTION] HttpClient
//
// A connection carries one request at a time. The client never retries a
// request: the caller decides how to handle a failure. For this, each outcome
// reports whether the peer may have received the request.

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
  std::string address{};   // e.g. "127.0.0.1"
  std::uint16_t port = 0;  // 0: not valid

  friend auto operator<=>(const HttpPeer&, const HttpPeer&) = default;
  friend bool operator==(const HttpPeer&, const HttpPeer&) = default;
};

// Returns "address:port".
std::string PeerName(const HttpPeer& peer);

// Requires a connection on which a response was completed recently, so that a
// connection whose peer stopped responding is not used.
struct LiveConnectionRequirement {
  Duration answered_within = std::chrono::seconds(1);
  // If no connection qualifies, the client first sends GET probe_path over a
  // connection and sends the request over the same connection once it has
  // received the response to the probe. If empty, the request fails with
  // kNoLiveConnection.
  std::string probe_path;
};

using ConnectionId = std::uint64_t;  // 0: none

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string path{};  // starts with /
  HttpHeaders headers{};
  std::string body{};
  Duration timeout = std::chrono::seconds(5);  // includes time in the queue
  std::size_t max_response_bytes = 1 << 20;    // limit of the body
  std::size_t max_response_header_bytes = 16 << 10;
  bool close_after = false;  // false: keep alive
  std::optional<LiveConnectionRequirement> live_connection{};
  // Sends the request over this connection only; if it is closed or in use, the
  // request fails with kNoLiveConnection. 0: any connection.
  ConnectionId connection = 0;
  // Keeps the connection for requests that name it or also set this: others do
  // not use it.
  bool reserve_connection = false;
};

// Returns a request with the call's method, path, headers and body.
HttpRequest ToHttpRequest(HttpCall call);

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

enum class HttpResult {
  kAnswered,          // complete response received
  kInvalidRequest,    // the request violates HTTP or a rule of this client
  kOverloaded,        // too many requests wait for this peer
  kNoLiveConnection,  // no connection meets the requirement
  kConnectFailed,     // refused or unreachable
  kTimeout,           // no complete response within the timeout
  kConnectionLost,    // closed or reset before the response was complete
  kMalformed,         // not valid HTTP, or a header section above its limit
  kTooLarge,          // the body exceeds its limit
  kCancelled,         // Cancel(), CloseConnection() or CloseConnections()
};

// Returns a stable lower-case name, as in "connect_failed".
const char* HttpResultName(HttpResult result);

enum class Delivery {
  kNeverSent,       // no byte was written to a connected socket
  kMaybeDelivered,  // the peer may have received and executed the request
};

struct HttpOutcome {
  HttpResult result = HttpResult::kInvalidRequest;
  Delivery delivery = Delivery::kNeverSent;
  int status = 0;  // valid if answered
  HttpHeaders headers{};
  std::string body{};
  ConnectionId connection = 0;     // 0: none used
  bool connection_reused = false;  // already used for a request
  std::string message{};           // reason of a failure

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
  // An endpoint accepts 64 connections.
  std::size_t max_connections_per_peer = 64;
  // Beyond this number, an early error is better for the caller than a longer
  // wait.
  std::size_t max_waiting_per_peer = 1024;
  // Idle connections above this number are closed when they return to the pool.
  std::size_t max_idle_per_peer = 16;
  // Connections to all peers above which the connection that has been idle for
  // longest is closed before another one is opened; 0: no limit. Keeps a client
  // of thousands of peers within the process's limit of descriptors.
  std::size_t max_connections = 0;
  // Servers commonly close idle connections after a minute. A request sent
  // while the server closes the connection has an unknown outcome.
  Duration max_idle_time = std::chrono::seconds(30);
};

//-----------------------------------------------------------------------------
// [SECTION] HttpClient
//-----------------------------------------------------------------------------

// Not thread-safe: must be used on the loop's thread only. The loop must
// outlive it.
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

  // Cancels an open request and closes its connection. The callback is called
  // with kCancelled from the loop. Does nothing if the request has ended.
  void Cancel(RequestId id);

  // Closes a connection, for example after a response that does not belong to
  // the request. A request in progress on it ends with kCancelled.
  void CloseConnection(ConnectionId id);

  // Closes all connections of a peer, for example after a missed heartbeat.
  // Requests in progress on them end with kCancelled; waiting requests use new
  // connections.
  void CloseConnections(const HttpPeer& peer);

  // Returns the time of the last complete response on the connection; none if
  // the connection is closed or has not received a response yet.
  std::optional<Instant> LastResponseTime(ConnectionId id) const;

  std::size_t OpenConnections(const HttpPeer& peer) const;
  // Connections to all peers.
  std::size_t OpenConnections() const;
  std::size_t WaitingRequests(const HttpPeer& peer) const;

 private:
  class Pools;  // http_client.cc

  std::shared_ptr<Pools> pools;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_HTTP_CLIENT_H_
