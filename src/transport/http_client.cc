#include "src/transport/http_client.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridot {
namespace {

// evhttp's own timeout in seconds. It only needs to exceed the timeout of every
// request, because the client enforces timeouts with its own timers.
constexpr int kEvhttpTimeoutS = 7 * 24 * 3600;

evhttp_cmd_type ToCommand(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kHead:
      return EVHTTP_REQ_HEAD;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

bool IsIpv6(const std::string& address) {
  in6_addr parsed{};
  return inet_pton(AF_INET6, address.c_str(), &parsed) == 1;
}

bool IsIpAddress(const std::string& address) {
  in_addr parsed{};
  return inet_pton(AF_INET, address.c_str(), &parsed) == 1 || IsIpv6(address);
}

bool IsVisible(char c) {
  return c > 0x20 && c < 0x7f;
}

bool IsPath(const std::string& path) {
  return !path.empty() && path.front() == '/' &&
         std::all_of(path.begin(), path.end(), IsVisible);
}

bool IsTokenChar(char c) {
  return IsVisible(c) && std::string_view("\"(),/:;<=>?@[\\]{}").find(c) ==
                             std::string_view::npos;
}

bool IsHeader(const HttpHeader& header) {
  // Line breaks in a value would allow header injection or request smuggling.
  return !header.name.empty() &&
         std::all_of(header.name.begin(), header.name.end(), IsTokenChar) &&
         header.value.find_first_of(std::string_view("\r\n\0", 3)) ==
             std::string::npos;
}

bool IsSetByClient(const HttpHeader& header) {
  static constexpr std::string_view kNames[] = {
      "host", "connection", "content-length", "transfer-encoding"};
  return std::any_of(std::begin(kNames), std::end(kNames),
                     [&header](std::string_view name) {
                       return EqualHeaderNames(header.name, name);
                     });
}

// Returns a description of the rule that the request violates, or null.
const char* FindInvalid(const HttpPeer& peer, const HttpRequest& request) {
  if (!IsIpAddress(peer.address) || peer.port == 0) {
    return "expected an IP address and a port other than 0 as the peer";
  }
  if (!IsPath(request.path)) {
    return "expected a path of visible ASCII characters that starts with /";
  }
  if (request.live_connection && !request.live_connection->probe_path.empty() &&
      !IsPath(request.live_connection->probe_path)) {
    return "expected a probe path of visible ASCII that starts with /";
  }
  for (const HttpHeader& header : request.headers) {
    if (!IsHeader(header)) {
      return "a header name or value has characters that HTTP does not allow";
    }
    if (IsSetByClient(header)) {
      return "a header is reserved: the client sets it itself";
    }
  }
  return nullptr;
}

HttpResult FromLibraryError(std::optional<evhttp_request_error> error) {
  if (!error) {
    return HttpResult::kConnectionLost;
  }
  switch (*error) {
    case EVREQ_HTTP_INVALID_HEADER:
      return HttpResult::kMalformed;
    case EVREQ_HTTP_DATA_TOO_LONG:
      return HttpResult::kTooLarge;
    case EVREQ_HTTP_TIMEOUT:
      return HttpResult::kTimeout;
    case EVREQ_HTTP_REQUEST_CANCEL:
      return HttpResult::kCancelled;
    case EVREQ_HTTP_EOF:
    case EVREQ_HTTP_BUFFER_ERROR:
      return HttpResult::kConnectionLost;
  }
  return HttpResult::kConnectionLost;
}

const char* ResultMessage(HttpResult result) {
  switch (result) {
    case HttpResult::kAnswered:
      return "answered";
    case HttpResult::kInvalidRequest:
      return "the request is not valid";
    case HttpResult::kOverloaded:
      return "too many requests are waiting for this peer";
    case HttpResult::kNoLiveConnection:
      return "no connection received a response recently enough";
    case HttpResult::kConnectFailed:
      return "cannot connect";
    case HttpResult::kTimeout:
      return "no complete response within the timeout";
    case HttpResult::kConnectionLost:
      return "the connection closed before the response was complete";
    case HttpResult::kMalformed:
      return "the response is not valid HTTP";
    case HttpResult::kTooLarge:
      return "the response exceeds a size limit";
    case HttpResult::kCancelled:
      return "cancelled";
  }
  return "";
}

HttpHeaders CopyHeaders(evkeyvalq* list) {
  HttpHeaders headers;
  for (const evkeyval* entry = list->tqh_first; entry != nullptr;
       entry = entry->next.tqe_next) {
    headers.push_back({entry->key, entry->value});
  }
  return headers;
}

std::string CopyBody(evbuffer* buffer) {
  std::string body(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, body.data(), body.size());
  return body;
}

// Makes the close of a connection discard bytes that were not delivered.
// Otherwise the kernel keeps sending an abandoned request, and a peer that
// becomes reachable again executes it long after its timeout.
void DropUnsentBytes(evhttp_connection* connection) {
  const evutil_socket_t socket =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  if (socket < 0) {
    return;
  }
  const linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

}  // namespace

std::string PeerName(const HttpPeer& peer) {
  const std::string port = std::to_string(peer.port);
  return IsIpv6(peer.address) ? "[" + peer.address + "]:" + port
                              : peer.address + ":" + port;
}

HttpRequest ToHttpRequest(HttpCall call) {
  HttpRequest request;
  request.method = call.method;
  request.path = std::move(call.path);
  request.headers = std::move(call.headers);
  request.body = std::move(call.body);
  return request;
}

const char* HttpResultName(HttpResult result) {
  switch (result) {
    case HttpResult::kAnswered:
      return "answered";
    case HttpResult::kInvalidRequest:
      return "invalid_request";
    case HttpResult::kOverloaded:
      return "overloaded";
    case HttpResult::kNoLiveConnection:
      return "no_live_connection";
    case HttpResult::kConnectFailed:
      return "connect_failed";
    case HttpResult::kTimeout:
      return "timeout";
    case HttpResult::kConnectionLost:
      return "connection_lost";
    case HttpResult::kMalformed:
      return "malformed";
    case HttpResult::kTooLarge:
      return "too_large";
    case HttpResult::kCancelled:
      return "cancelled";
  }
  return "malformed";
}

Error OutcomeError(const HttpOutcome& outcome,
                   std::string step,
                   const HttpPeer& peer) {
  ErrorCode code = ErrorCode::kUnavailable;
  if (outcome.delivery == Delivery::kMaybeDelivered) {
    code = ErrorCode::kUnknownOutcome;
  } else if (outcome.result == HttpResult::kInvalidRequest) {
    code = ErrorCode::kInvalidArgument;
  }
  return MakeError(code, std::move(step), PeerName(peer), outcome.message);
}

//-----------------------------------------------------------------------------
// [SECTION] Pools
//-----------------------------------------------------------------------------

class HttpClient::Pools : public std::enable_shared_from_this<Pools> {
 public:
  Pools(EventLoop* loop, HttpClientOptions options)
      : loop(loop), options(options) {}
  Pools(const Pools&) = delete;
  Pools& operator=(const Pools&) = delete;
  ~Pools() { this->Shutdown(); }

  RequestId Send(const HttpPeer& peer, HttpRequest request, Callback callback);
  void Cancel(RequestId id);
  void CloseConnection(ConnectionId id);
  void CloseConnections(const HttpPeer& peer);
  std::optional<Instant> LastResponseTime(ConnectionId id) const;
  std::size_t OpenConnections(const HttpPeer& peer) const;
  std::size_t OpenConnections() const { return this->connections.size(); }
  std::size_t WaitingRequests(const HttpPeer& peer) const;
  void Shutdown();

 private:
  struct Connection {
    Pools* pools = nullptr;
    ConnectionId id = 0;
    HttpPeer peer;
    evhttp_connection* evhttp = nullptr;
    RequestId pending_request = 0;  // request in progress; 0: idle
    bool request_written = false;   // bytes were written to a connected socket
    bool used = false;              // has received a response
    bool ended = false;             // closed by the peer or by evhttp
    bool reserved = false;          // see HttpRequest::reserve_connection
    std::uint64_t idle_order = 0;   // key in Pools::idle; 0: in use
    std::optional<evhttp_request_error> error;
    std::optional<Instant> last_response_time;
  };

  struct PendingRequest {
    HttpPeer peer;
    HttpRequest request;
    Callback callback;
    WatchId timer = kNoWatch;
    ConnectionId connection = 0;  // 0: waiting for a connection
    Instant dispatched{};         // when it got its connection
    bool probing = false;
    bool reused = false;
  };

  struct PeerPool {
    std::deque<RequestId> waiting;
    std::vector<ConnectionId> connections;
    std::vector<ConnectionId> idle;  // most recently used last
  };

  struct Finished {
    Callback callback;
    HttpOutcome outcome;
  };

  static void OnOutput(evbuffer* buffer,
                       const evbuffer_cb_info* info,
                       void* connection);
  static void OnError(evhttp_request_error error, void* connection);
  static void OnDone(evhttp_request* request, void* connection);
  static void OnClosed(evhttp_connection* evhttp, void* connection);

  // Work that must not run inside an evhttp callback is posted to the loop.
  void PostCall(void (Pools::*step)());
  void PostDispatchWaiting(const HttpPeer& peer);
  void DeliverFinished();
  void FreeEnded();

  void DispatchWaiting(const HttpPeer& peer);
  enum class Placement { kPlaced, kMustWait, kNoLive };
  Placement TryDispatch(PeerPool* pool,
                        RequestId id,
                        PendingRequest* pending_request);
  Connection* TakeIdle(PeerPool* pool);
  Connection* TakeNamed(PeerPool* pool, const PendingRequest& pending_request);
  Connection* TakeReserved(PeerPool* pool);
  Connection* TakeLive(PeerPool* pool, Duration answered_within);
  Connection* Open(PeerPool* pool, const HttpPeer& peer);
  void Dispatch(Connection* connection,
                RequestId id,
                PendingRequest* pending_request);

  void Complete(Connection* connection, evhttp_request* request);
  void CompleteResponse(Connection* connection, evhttp_request* request);
  void DispatchProbed(RequestId id);
  bool IsReusable(const Connection& connection,
                  const PendingRequest& pending_request,
                  const HttpOutcome& outcome) const;
  void Release(Connection* connection);
  // Removes the connection from the idle ones of its pool.
  void RemoveFromIdle(PeerPool* pool, Connection* connection);
  void CloseLongestIdle();
  // Frees the idle connections to a peer on which no response has arrived since
  // then. When a request times out, a network failure may have silenced all
  // connections that were open at that time; each would cost another timeout.
  void FreeIdleWithoutResponseSince(const HttpPeer& peer, Instant since);
  void Finish(RequestId id, HttpOutcome outcome);
  void FailRequest(RequestId id,
                   HttpResult result,
                   const char* message = nullptr);
  void MarkEnded(Connection* connection);
  void FreeConnection(ConnectionId id);

  EventLoop* loop;
  HttpClientOptions options;
  bool shut_down = false;
  RequestId next_request = 1;
  ConnectionId next_connection = 1;
  std::unordered_map<RequestId, PendingRequest> pending_requests;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections;
  std::map<HttpPeer, PeerPool> peers;
  std::map<std::uint64_t, ConnectionId> idle;  // of all peers, oldest first
  std::uint64_t next_idle_order = 1;
  std::vector<Finished> finished;
  std::vector<ConnectionId> ended;
};

HttpClient::RequestId HttpClient::Pools::Send(const HttpPeer& peer,
                                              HttpRequest request,
                                              Callback callback) {
  const RequestId id = this->next_request++;
  const Duration timeout = request.timeout;
  const char* invalid = FindInvalid(peer, request);
  PendingRequest& pending_request = this->pending_requests[id];
  pending_request.peer = peer;
  pending_request.request = std::move(request);
  pending_request.callback = std::move(callback);
  if (invalid != nullptr) {
    this->FailRequest(id, HttpResult::kInvalidRequest, invalid);
    return id;
  }
  PeerPool& pool = this->peers[peer];
  if (pool.waiting.size() >= this->options.max_waiting_per_peer) {
    this->FailRequest(id, HttpResult::kOverloaded);
    return id;
  }
  pending_request.timer = this->loop->After(
      timeout, [this, id] { this->FailRequest(id, HttpResult::kTimeout); });
  pool.waiting.push_back(id);
  this->PostDispatchWaiting(peer);
  return id;
}

void HttpClient::Pools::Cancel(RequestId id) {
  if (this->pending_requests.contains(id)) {
    this->FailRequest(id, HttpResult::kCancelled);
  }
}

void HttpClient::Pools::CloseConnection(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end() || found->second->ended) {
    return;
  }
  const HttpPeer peer = found->second->peer;
  if (found->second->pending_request != 0) {
    this->FailRequest(found->second->pending_request, HttpResult::kCancelled);
  } else {
    this->FreeConnection(id);
  }
  this->PostDispatchWaiting(peer);
}

void HttpClient::Pools::CloseConnections(const HttpPeer& peer) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return;
  }
  const std::vector<ConnectionId> open = found->second.connections;
  for (const ConnectionId id : open) {
    this->CloseConnection(id);
  }
}

std::optional<Instant> HttpClient::Pools::LastResponseTime(
    ConnectionId id) const {
  const auto found = this->connections.find(id);
  if (found == this->connections.end() || found->second->ended) {
    return std::nullopt;
  }
  return found->second->last_response_time;
}

std::size_t HttpClient::Pools::OpenConnections(const HttpPeer& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? 0 : found->second.connections.size();
}

std::size_t HttpClient::Pools::WaitingRequests(const HttpPeer& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? 0 : found->second.waiting.size();
}

void HttpClient::Pools::Shutdown() {
  this->shut_down = true;
  for (const auto& [id, pending_request] : this->pending_requests) {
    this->loop->Cancel(pending_request.timer);
  }
  this->pending_requests.clear();
  this->finished.clear();
  while (!this->connections.empty()) {
    this->FreeConnection(this->connections.begin()->first);
  }
  this->peers.clear();
}

void HttpClient::Pools::OnOutput(evbuffer*,
                                 const evbuffer_cb_info* info,
                                 void* connection) {
  // evhttp writes a request to the buffer only once the socket is connected.
  if (info->n_added > 0) {
    static_cast<Connection*>(connection)->request_written = true;
  }
}

void HttpClient::Pools::OnError(evhttp_request_error error, void* connection) {
  static_cast<Connection*>(connection)->error = error;
}

void HttpClient::Pools::OnDone(evhttp_request* request, void* connection) {
  auto* done = static_cast<Connection*>(connection);
  done->pools->Complete(done, request);
}

void HttpClient::Pools::OnClosed(evhttp_connection*, void* connection) {
  auto* closed = static_cast<Connection*>(connection);
  closed->pools->MarkEnded(closed);
}

void HttpClient::Pools::PostCall(void (Pools::*step)()) {
  this->loop->Post([weak = this->weak_from_this(), step] {
    if (const std::shared_ptr<Pools> pools = weak.lock()) {
      (pools.get()->*step)();
    }
  });
}

void HttpClient::Pools::PostDispatchWaiting(const HttpPeer& peer) {
  this->loop->Post([weak = this->weak_from_this(), peer] {
    if (const std::shared_ptr<Pools> pools = weak.lock()) {
      pools->DispatchWaiting(peer);
    }
  });
}

void HttpClient::Pools::DeliverFinished() {
  std::vector<Finished> batch;
  batch.swap(this->finished);
  for (Finished& entry : batch) {
    // The previous callback may have destroyed the client.
    if (this->shut_down) {
      return;
    }
    entry.callback(std::move(entry.outcome));
  }
}

void HttpClient::Pools::FreeEnded() {
  std::vector<ConnectionId> batch;
  batch.swap(this->ended);
  for (const ConnectionId id : batch) {
    this->FreeConnection(id);
  }
}

void HttpClient::Pools::DispatchWaiting(const HttpPeer& peer) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return;
  }
  PeerPool* pool = &found->second;
  while (!pool->waiting.empty()) {
    const RequestId id = pool->waiting.front();
    const Placement placement =
        this->TryDispatch(pool, id, &this->pending_requests.at(id));
    if (placement == Placement::kMustWait) {
      return;
    }
    if (placement == Placement::kNoLive) {
      this->FailRequest(id, HttpResult::kNoLiveConnection);
    }
  }
  if (pool->connections.empty()) {
    this->peers.erase(found);
  }
}

HttpClient::Pools::Placement HttpClient::Pools::TryDispatch(
    PeerPool* pool,
    RequestId id,
    PendingRequest* pending_request) {
  const auto& live = pending_request->request.live_connection;
  Connection* connection = nullptr;
  bool probing = false;
  if (pending_request->request.connection != 0) {
    connection = this->TakeNamed(pool, *pending_request);
    if (connection == nullptr) {
      return Placement::kNoLive;
    }
  } else if (live) {
    connection = this->TakeLive(pool, live->answered_within);
    probing = connection == nullptr;
    if (probing && live->probe_path.empty()) {
      return Placement::kNoLive;
    }
  }
  if (connection == nullptr && pending_request->request.reserve_connection) {
    connection = this->TakeReserved(pool);
  }
  if (connection == nullptr && !probing) {
    connection = this->TakeIdle(pool);
  }
  // Prefer a new connection for a probe: the peer of an idle one may have
  // stopped responding, which would block the request until its timeout.
  if (connection == nullptr) {
    connection = this->Open(pool, pending_request->peer);
  }
  if (connection == nullptr && probing) {
    connection = this->TakeIdle(pool);
  }
  if (connection == nullptr) {
    return Placement::kMustWait;
  }
  pool->waiting.pop_front();
  pending_request->probing = probing;
  pending_request->reused = connection->used;
  this->Dispatch(connection, id, pending_request);
  return Placement::kPlaced;
}

HttpClient::Pools::Connection* HttpClient::Pools::TakeIdle(PeerPool* pool) {
  const Instant oldest = this->loop->Now() - this->options.max_idle_time;
  while (!pool->idle.empty()) {
    const ConnectionId id = pool->idle.back();
    Connection* connection = this->connections.at(id).get();
    if (connection->last_response_time >= oldest) {
      this->RemoveFromIdle(pool, connection);
      return connection;
    }
    this->FreeConnection(id);
  }
  return nullptr;
}

HttpClient::Pools::Connection* HttpClient::Pools::TakeNamed(
    PeerPool* pool,
    const PendingRequest& pending_request) {
  const auto found = this->connections.find(pending_request.request.connection);
  if (found == this->connections.end()) {
    return nullptr;
  }
  Connection* connection = found->second.get();
  if (connection->ended || connection->idle_order == 0 ||
      connection->peer != pending_request.peer) {
    return nullptr;
  }
  this->RemoveFromIdle(pool, connection);
  return connection;
}

HttpClient::Pools::Connection* HttpClient::Pools::TakeReserved(PeerPool* pool) {
  for (const ConnectionId id : pool->connections) {
    Connection* connection = this->connections.at(id).get();
    if (connection->reserved && connection->idle_order != 0) {
      this->RemoveFromIdle(pool, connection);
      return connection;
    }
  }
  return nullptr;
}

HttpClient::Pools::Connection* HttpClient::Pools::TakeLive(
    PeerPool* pool,
    Duration answered_within) {
  const Instant oldest = this->loop->Now() - answered_within;
  Connection* best = nullptr;
  for (const ConnectionId id : pool->idle) {
    Connection* candidate = this->connections.at(id).get();
    const bool qualifies = candidate->last_response_time &&
                           *candidate->last_response_time >= oldest;
    if (qualifies && (best == nullptr || *best->last_response_time <=
                                             *candidate->last_response_time)) {
      best = candidate;
    }
  }
  if (best != nullptr) {
    this->RemoveFromIdle(pool, best);
  }
  return best;
}

HttpClient::Pools::Connection* HttpClient::Pools::Open(PeerPool* pool,
                                                       const HttpPeer& peer) {
  if (pool->connections.size() >= this->options.max_connections_per_peer) {
    return nullptr;
  }
  if (this->options.max_connections > 0 &&
      this->connections.size() >= this->options.max_connections) {
    this->CloseLongestIdle();
  }
  evhttp_connection* evhttp = evhttp_connection_base_new(
      this->loop->Base(), nullptr, peer.address.c_str(), peer.port);
  if (evhttp == nullptr) {
    return nullptr;
  }
  auto owned = std::make_unique<Connection>();
  Connection* connection = owned.get();
  connection->pools = this;
  connection->id = this->next_connection++;
  connection->peer = peer;
  connection->evhttp = evhttp;
  evhttp_connection_set_timeout(evhttp, kEvhttpTimeoutS);
  evhttp_connection_set_retries(evhttp, 0);
  evhttp_connection_set_closecb(evhttp, &OnClosed, connection);
  evbuffer_add_cb(
      bufferevent_get_output(evhttp_connection_get_bufferevent(evhttp)),
      &OnOutput, connection);
  this->connections.emplace(connection->id, std::move(owned));
  pool->connections.push_back(connection->id);
  return connection;
}

void HttpClient::Pools::Dispatch(Connection* connection,
                                 RequestId id,
                                 PendingRequest* pending_request) {
  connection->pending_request = id;
  connection->request_written = false;
  connection->reserved = pending_request->request.reserve_connection;
  connection->error.reset();
  pending_request->connection = connection->id;
  pending_request->dispatched = this->loop->Now();
  const HttpRequest& request = pending_request->request;
  evhttp_connection_set_max_body_size(
      connection->evhttp, static_cast<ev_ssize_t>(request.max_response_bytes));
  evhttp_connection_set_max_headers_size(
      connection->evhttp,
      static_cast<ev_ssize_t>(request.max_response_header_bytes));

  evhttp_request* message = evhttp_request_new(&OnDone, connection);
  if (message == nullptr) {
    this->FailRequest(id, HttpResult::kConnectFailed, "out of memory");
    return;
  }
  evhttp_request_set_error_cb(message, &OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(message);
  evhttp_add_header(headers, "Host", PeerName(pending_request->peer).c_str());
  if (pending_request->probing) {
    evhttp_make_request(connection->evhttp, message, EVHTTP_REQ_GET,
                        request.live_connection->probe_path.c_str());
    return;
  }
  for (const HttpHeader& header : request.headers) {
    evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
  }
  const bool has_body = !request.body.empty() ||
                        request.method == HttpMethod::kPost ||
                        request.method == HttpMethod::kPut;
  if (has_body) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(request.body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(message), request.body.data(),
                 request.body.size());
  }
  if (request.close_after) {
    evhttp_add_header(headers, "Connection", "close");
  }
  // May call OnDone() immediately if the connection is refused.
  evhttp_make_request(connection->evhttp, message, ToCommand(request.method),
                      request.path.c_str());
}

void HttpClient::Pools::Complete(Connection* connection,
                                 evhttp_request* request) {
  if (connection->pending_request == 0) {
    return;
  }
  const bool answered =
      request != nullptr && evhttp_request_get_response_code(request) != 0;
  if (answered) {
    this->CompleteResponse(connection, request);
    return;
  }
  const HttpResult result = connection->request_written
                                ? FromLibraryError(connection->error)
                                : HttpResult::kConnectFailed;
  // Marked first, so that FailRequest() does not free the connection, which
  // evhttp still uses.
  this->MarkEnded(connection);
  this->FailRequest(connection->pending_request, result);
}

void HttpClient::Pools::CompleteResponse(Connection* connection,
                                         evhttp_request* request) {
  const RequestId id = connection->pending_request;
  PendingRequest& pending_request = this->pending_requests.at(id);
  connection->last_response_time = this->loop->Now();
  connection->used = true;

  HttpOutcome outcome;
  outcome.result = HttpResult::kAnswered;
  outcome.delivery = Delivery::kMaybeDelivered;
  outcome.status = evhttp_request_get_response_code(request);
  outcome.headers = CopyHeaders(evhttp_request_get_input_headers(request));
  outcome.body = CopyBody(evhttp_request_get_input_buffer(request));
  outcome.connection = connection->id;
  outcome.connection_reused = pending_request.reused;

  const bool reusable = this->IsReusable(*connection, pending_request, outcome);
  if (!reusable) {
    this->MarkEnded(connection);
  }
  if (!pending_request.probing) {
    connection->pending_request = 0;
    if (reusable) {
      this->Release(connection);
    }
    this->Finish(id, std::move(outcome));
    return;
  }
  if (!reusable) {
    this->FailRequest(id, HttpResult::kNoLiveConnection,
                      "the peer closed the connection after the probe");
    return;
  }
  // evhttp completes the probe only after this function returns.
  this->loop->Post([weak = this->weak_from_this(), id] {
    if (const std::shared_ptr<Pools> pools = weak.lock()) {
      pools->DispatchProbed(id);
    }
  });
}

void HttpClient::Pools::DispatchProbed(RequestId id) {
  const auto pending_request = this->pending_requests.find(id);
  if (pending_request == this->pending_requests.end()) {
    return;
  }
  const auto connection =
      this->connections.find(pending_request->second.connection);
  if (connection == this->connections.end() || connection->second->ended) {
    this->FailRequest(id, HttpResult::kNoLiveConnection);
    return;
  }
  pending_request->second.probing = false;
  this->Dispatch(connection->second.get(), id, &pending_request->second);
}

bool HttpClient::Pools::IsReusable(const Connection& connection,
                                   const PendingRequest& pending_request,
                                   const HttpOutcome& outcome) const {
  const bool closing =
      !pending_request.probing && pending_request.request.close_after;
  // Bytes after the response would be read as the response to the next request.
  const bool has_rest =
      evbuffer_get_length(bufferevent_get_input(
          evhttp_connection_get_bufferevent(connection.evhttp))) > 0;
  // A body without a length ends with the connection.
  const bool has_length =
      FindHeader(outcome.headers, "Content-Length").has_value() ||
      FindHeader(outcome.headers, "Transfer-Encoding").has_value() ||
      outcome.body.empty();
  return !connection.ended && !closing && !has_rest && has_length;
}

void HttpClient::Pools::Release(Connection* connection) {
  PeerPool& pool = this->peers[connection->peer];
  if (!connection->reserved) {
    if (pool.idle.size() >= this->options.max_idle_per_peer) {
      this->MarkEnded(connection);
      return;
    }
    pool.idle.push_back(connection->id);
  }
  connection->idle_order = this->next_idle_order++;
  this->idle[connection->idle_order] = connection->id;
}

void HttpClient::Pools::RemoveFromIdle(PeerPool* pool, Connection* connection) {
  if (connection->idle_order == 0) {
    return;
  }
  std::erase(pool->idle, connection->id);
  this->idle.erase(connection->idle_order);
  connection->idle_order = 0;
}

void HttpClient::Pools::CloseLongestIdle() {
  if (this->idle.empty()) {
    return;
  }
  const ConnectionId id = this->idle.begin()->second;
  const HttpPeer peer = this->connections.at(id)->peer;
  this->FreeConnection(id);
  this->PostDispatchWaiting(peer);
}

void HttpClient::Pools::Finish(RequestId id, HttpOutcome outcome) {
  const auto found = this->pending_requests.find(id);
  PendingRequest pending_request = std::move(found->second);
  this->pending_requests.erase(found);
  this->loop->Cancel(pending_request.timer);
  if (this->finished.empty()) {
    this->PostCall(&Pools::DeliverFinished);
  }
  this->finished.push_back(
      {std::move(pending_request.callback), std::move(outcome)});
  this->PostDispatchWaiting(pending_request.peer);
}

void HttpClient::Pools::FailRequest(RequestId id,
                                    HttpResult result,
                                    const char* message) {
  const PendingRequest& pending_request = this->pending_requests.at(id);
  HttpOutcome outcome;
  outcome.result = result;
  outcome.message = message != nullptr ? message : ResultMessage(result);
  outcome.connection = pending_request.connection;
  outcome.connection_reused = pending_request.reused;
  if (pending_request.connection == 0) {
    const auto pool = this->peers.find(pending_request.peer);
    if (pool != this->peers.end()) {
      std::erase(pool->second.waiting, id);
    }
  } else {
    const auto found = this->connections.find(pending_request.connection);
    const bool known = found != this->connections.end();
    if (!pending_request.probing &&
        (!known || found->second->request_written)) {
      outcome.delivery = Delivery::kMaybeDelivered;
    }
    if (known) {
      Connection* connection = found->second.get();
      connection->pending_request = 0;
      if (!connection->ended) {
        this->FreeConnection(connection->id);
      }
    }
    if (result == HttpResult::kTimeout) {
      this->FreeIdleWithoutResponseSince(pending_request.peer,
                                         pending_request.dispatched);
    }
  }
  this->Finish(id, std::move(outcome));
}

void HttpClient::Pools::FreeIdleWithoutResponseSince(const HttpPeer& peer,
                                                     Instant since) {
  const auto pool = this->peers.find(peer);
  if (pool == this->peers.end()) {
    return;
  }
  const std::vector<ConnectionId> open = pool->second.connections;
  for (const ConnectionId id : open) {
    const Connection& connection = *this->connections.at(id);
    const auto last = connection.last_response_time;
    if (connection.idle_order != 0 && (!last || *last <= since)) {
      this->FreeConnection(id);
    }
  }
}

void HttpClient::Pools::MarkEnded(Connection* connection) {
  if (connection->ended) {
    return;
  }
  connection->ended = true;
  PeerPool& pool = this->peers[connection->peer];
  std::erase(pool.connections, connection->id);
  this->RemoveFromIdle(&pool, connection);
  if (this->ended.empty()) {
    this->PostCall(&Pools::FreeEnded);
  }
  this->ended.push_back(connection->id);
  this->PostDispatchWaiting(connection->peer);
}

void HttpClient::Pools::FreeConnection(ConnectionId id) {
  const auto found = this->connections.find(id);
  if (found == this->connections.end()) {
    return;
  }
  Connection* connection = found->second.get();
  const auto pool = this->peers.find(connection->peer);
  if (pool != this->peers.end()) {
    std::erase(pool->second.connections, id);
    this->RemoveFromIdle(&pool->second, connection);
  }
  if (!connection->ended) {
    DropUnsentBytes(connection->evhttp);
  }
  // This frees open requests without calling OnDone().
  evhttp_connection_set_closecb(connection->evhttp, nullptr, nullptr);
  evhttp_connection_free(connection->evhttp);
  this->connections.erase(found);
}

//-----------------------------------------------------------------------------
// [SECTION] HttpClient
//-----------------------------------------------------------------------------

HttpClient::HttpClient(EventLoop* loop, HttpClientOptions options)
    : pools(std::make_shared<Pools>(loop, options)) {}

HttpClient::~HttpClient() {
  this->pools->Shutdown();
}

HttpClient::RequestId HttpClient::Send(const HttpPeer& peer,
                                       HttpRequest request,
                                       Callback callback) {
  return this->pools->Send(peer, std::move(request), std::move(callback));
}

void HttpClient::Cancel(RequestId id) {
  this->pools->Cancel(id);
}

void HttpClient::CloseConnection(ConnectionId id) {
  this->pools->CloseConnection(id);
}

void HttpClient::CloseConnections(const HttpPeer& peer) {
  this->pools->CloseConnections(peer);
}

std::optional<Instant> HttpClient::LastResponseTime(ConnectionId id) const {
  return this->pools->LastResponseTime(id);
}

std::size_t HttpClient::OpenConnections(const HttpPeer& peer) const {
  return this->pools->OpenConnections(peer);
}

std::size_t HttpClient::OpenConnections() const {
  return this->pools->OpenConnections();
}

std::size_t HttpClient::WaitingRequests(const HttpPeer& peer) const {
  return this->pools->WaitingRequests(peer);
}

}  // namespace peridot
