#include "src/transport/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <evhtp/evhtp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/transport/log.h"

namespace peridot {
namespace {

// Interval between checks for idle connections during a stop.
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(10);

// Interval between checks for requests that take too long, and between reports
// of metrics and refusals.
constexpr Duration kReceiveCheckInterval = std::chrono::seconds(1);

// Unparsed bytes of a connection above which the server stops reading from it,
// for example while a pipelined request waits for the response to the one
// before. A read takes at most 16 KiB.
constexpr std::size_t kMaxUnparsedBytes = 32 << 10;

// Characters of a header line besides its name and value: ": " and CRLF.
constexpr std::size_t kHeaderLineExtra = 4;

timeval ToTimeval(Duration duration) {
  const auto us =
      std::chrono::duration_cast<std::chrono::microseconds>(duration);
  timeval result{};
  result.tv_sec = us.count() / 1'000'000;
  result.tv_usec = us.count() % 1'000'000;
  return result;
}

std::optional<HttpMethod> FromLibrary(htp_method method) {
  switch (method) {
    case htp_method_GET:
      return HttpMethod::kGet;
    case htp_method_HEAD:
      return HttpMethod::kHead;
    case htp_method_POST:
      return HttpMethod::kPost;
    case htp_method_PUT:
      return HttpMethod::kPut;
    case htp_method_DELETE:
      return HttpMethod::kDelete;
    default:
      return std::nullopt;
  }
}

// libevhtp declares hooks without parameters and casts them to their real
// types.
template <typename F>
evhtp_hook ToHook(F* function) {
  return reinterpret_cast<evhtp_hook>(reinterpret_cast<void (*)()>(function));
}

HttpHeaders CopyHeaders(evhtp_headers_t* list) {
  HttpHeaders headers;
  const evhtp_kv* entry = nullptr;
  TAILQ_FOREACH(entry, list, next) {
    headers.push_back(
        {std::string(entry->key != nullptr ? entry->key : "", entry->klen),
         std::string(entry->val != nullptr ? entry->val : "", entry->vlen)});
  }
  return headers;
}

void AddHeader(evhtp_request_t* request,
               const std::string& name,
               const std::string& value) {
  evhtp_headers_add_header(request->headers_out,
                           evhtp_header_new(name.c_str(), value.c_str(), 1, 1));
}

// Moves the bytes to the end of the text. The library would keep each piece
// that it receives as a block of its own: a piece of one byte took 130 bytes.
void AppendAndDrain(std::string* text, evbuffer* bytes) {
  const std::size_t count = evbuffer_get_length(bytes);
  const std::size_t before = text->size();
  text->resize(before + count);
  evbuffer_remove(bytes, text->data() + before, count);
}

// Removes line breaks from the front. Must not be called within a request.
void DrainLineBreaks(evbuffer* input) {
  for (;;) {
    evbuffer_iovec front{};
    if (evbuffer_peek(input, -1, nullptr, &front, 1) < 1 ||
        front.iov_len == 0) {
      return;
    }
    const std::string_view bytes(static_cast<const char*>(front.iov_base),
                                 front.iov_len);
    const std::size_t breaks =
        std::min(bytes.find_first_not_of("\r\n"), bytes.size());
    if (breaks == 0) {
      return;
    }
    evbuffer_drain(input, breaks);
  }
}

bool HasLineBreak(const HttpHeader& header) {
  return (header.name + header.value)
             .find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos;
}

// Returns whether an intermediary could determine another end of the body:
// there is more than one length, or a name such as "Content-Length " that some
// programs read as Content-Length and others as a different header.
bool HasAmbiguousLength(evhtp_headers_t* list) {
  const HttpHeaders headers = CopyHeaders(list);
  const int lengths = CountHeaders(headers, "Content-Length");
  const int codings = CountHeaders(headers, "Transfer-Encoding");
  const bool spaced =
      std::any_of(headers.begin(), headers.end(), [](const HttpHeader& header) {
        return header.name.find_first_of(" \t") != std::string::npos;
      });
  return lengths + codings > 1 || spaced;
}

}  // namespace

int FaultStatus(HttpServerFault fault) {
  switch (fault) {
    case HttpServerFault::kNotFound:
      return 404;
    case HttpServerFault::kMethodNotAllowed:
      return 405;
    case HttpServerFault::kBadFraming:
      return 400;
    case HttpServerFault::kBodyTooLarge:
      return 413;
    case HttpServerFault::kHeaderTooLarge:
      return 431;
    case HttpServerFault::kNone:
    case HttpServerFault::kNoAnswer:
      return 500;
  }
  return 500;
}

//-----------------------------------------------------------------------------
// [SECTION] Core
//-----------------------------------------------------------------------------

class HttpServer::Core : public std::enable_shared_from_this<Core> {
 public:
  using ExchangeId = std::uint64_t;

  Core(EventLoop* loop, HttpServerOptions options)
      : loop(loop),
        options(std::move(options)),
        budget(this->options.receive) {}
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;
  ~Core() { this->Shutdown(); }

  bool Listen();
  void Shutdown();
  void AddRoute(HttpMethod method, std::string path, Handler handler);
  void Stop(Duration limit, StopCallback callback);
  void SendResponse(ExchangeId id, const HttpServerResponse& response);
  void SendFaultResponse(ExchangeId id, HttpServerFault fault);
  void Charge(ExchangeId id, std::size_t bytes);
  std::uint16_t Port() const { return this->bound_port; }
  std::size_t OpenConnections() const { return this->connections.size(); }
  std::size_t OpenRequests() const;

 private:
  struct Connection {
    // Fixed for the life of the connection.
    Core* core = nullptr;
    evhtp_connection_t* handle = nullptr;
    ReceiveAccount* account = nullptr;
    std::uint64_t number = 0;

    // Of the current request.
    bool receiving = false;  // from the first header to the end of the response
    HttpServerFault fault = HttpServerFault::kNone;
    std::string body;         // received so far
    ExchangeId exchange = 0;  // 0: still reading or response already sent
    Instant idle_since{};

    void Reset(Instant now) {
      this->receiving = false;
      this->fault = HttpServerFault::kNone;
      std::string().swap(this->body);
      this->exchange = 0;
      this->idle_since = now;
      this->core->budget.OnAnswered(this->account, now);
    }
  };

  struct RouteEntry {
    HttpMethod method;
    std::string path;
    Handler handler;
  };

  static Core* Self(void* core) { return static_cast<Core*>(core); }
  static evhtp_res OnPreAccept(evhtp_connection_t* connection, void* core);
  static evhtp_res OnPostAccept(evhtp_connection_t* connection, void* core);
  static evhtp_res OnHeadersStart(evhtp_request_t* request, void* core);
  static evhtp_res OnHeader(evhtp_request_t* request,
                            evhtp_header_t* header,
                            void* core);
  static evhtp_res OnHeaders(evhtp_request_t* request,
                             evhtp_headers_t* headers,
                             void* core);
  static evhtp_res OnRead(evhtp_request_t* request,
                          evbuffer* bytes,
                          void* core);
  static evhtp_res OnRequestEnd(evhtp_request_t* request, void* core);
  static evhtp_res OnConnectionEnd(evhtp_connection_t* connection, void* core);
  static void OnRequest(evhtp_request_t* request, void* core);
  static void OnInput(evbuffer* input,
                      const evbuffer_cb_info* change,
                      void* connection);
  static void OnOutput(evbuffer* output,
                       const evbuffer_cb_info* change,
                       void* connection);

  Connection* Find(evhtp_connection_t* connection);
  void BeginExchange(evhtp_request_t* request);
  // Takes the body from the connection.
  HttpServerRequest TakeRequest(evhtp_request_t* request);
  void Dispatch(ExchangeId id, HttpServerFault fault);
  const RouteEntry* FindRoute(HttpMethod method,
                              const std::string& path,
                              HttpServerFault* fault) const;
  // Closes connections until the budget is kept. Returns false if `self` is the
  // next: the caller must close it.
  bool KeepBudget(const Connection* self);
  void Close(ReceiveAccount* account, ReceiveRefusal refusal);
  // Closes the connection in the next iteration of the loop, unless its request
  // is complete by then. For callers that the library does not allow to close
  // it.
  void CloseLater(const Connection& connection, ReceiveRefusal refusal);
  void CheckReceiving();
  void ReportRefusals();
  void CloseListener();
  void CheckStop();
  void CloseIdle();
  void FinishStop(std::size_t aborted_requests);

  EventLoop* loop;
  HttpServerOptions options;
  evhtp_t* library = nullptr;
  std::uint16_t bound_port = 0;
  std::vector<RouteEntry> routes;
  std::unordered_map<evhtp_connection_t*, Connection> connections;
  std::unordered_map<ExchangeId, evhtp_request_t*> exchanges;
  ExchangeId next_exchange = 1;
  std::uint64_t next_connection = 1;
  ReceiveBudget budget;
  std::array<std::uint64_t, kReceiveRefusalCount> reported{};  // refusals
  WatchId receive_timer = kNoWatch;

  bool shut_down = false;
  bool stopping = false;
  std::optional<Instant> stop_end;
  StopCallback on_stopped;
  WatchId stop_timer = kNoWatch;
};

class HttpResponder::Pending {
 public:
  Pending(std::weak_ptr<HttpServer::Core> core, std::uint64_t exchange)
      : core(std::move(core)), exchange(exchange) {}
  Pending(const Pending&) = delete;
  Pending& operator=(const Pending&) = delete;
  ~Pending() {
    const auto server = this->core.lock();
    if (server && !this->answered) {
      server->SendFaultResponse(this->exchange, HttpServerFault::kNoAnswer);
    }
  }

  void Send(const HttpServerResponse& response) {
    const auto server = this->core.lock();
    if (!this->answered && server) {
      server->SendResponse(this->exchange, response);
    }
    this->answered = true;
  }

  void Charge(std::size_t bytes) {
    const auto server = this->core.lock();
    if (!this->answered && server) {
      server->Charge(this->exchange, bytes);
    }
  }

 private:
  std::weak_ptr<HttpServer::Core> core;
  std::uint64_t exchange;
  bool answered = false;
};

bool HttpServer::Core::Listen() {
  this->library = evhtp_new(this->loop->Base(), this);
  if (this->library == nullptr) {
    return false;
  }
  evhtp_enable_flag(this->library, EVHTP_FLAG_ENABLE_NODELAY);
  evhtp_set_max_body_size(this->library,
                          this->options.max_body_bytes * kDiscardFactor);
  const timeval read = ToTimeval(this->options.read_timeout);
  const timeval write = ToTimeval(this->options.write_timeout);
  evhtp_set_timeouts(this->library, &read, &write);
  evhtp_set_gencb(this->library, &OnRequest, this);
  evhtp_set_pre_accept_cb(this->library, &OnPreAccept, this);
  evhtp_set_post_accept_cb(this->library, &OnPostAccept, this);
  if (evhtp_bind_socket(this->library, this->options.address.c_str(),
                        this->options.port, this->options.backlog) != 0) {
    return false;
  }
  sockaddr_storage bound{};
  socklen_t size = sizeof(bound);
  getsockname(evconnlistener_get_fd(this->library->server),
              reinterpret_cast<sockaddr*>(&bound), &size);
  this->bound_port =
      bound.ss_family == AF_INET6
          ? ntohs(reinterpret_cast<sockaddr_in6*>(&bound)->sin6_port)
          : ntohs(reinterpret_cast<sockaddr_in*>(&bound)->sin_port);
  this->receive_timer = this->loop->After(kReceiveCheckInterval,
                                          [this] { this->CheckReceiving(); });
  return true;
}

void HttpServer::Core::Shutdown() {
  this->shut_down = true;
  this->loop->Cancel(this->stop_timer);
  this->loop->Cancel(this->receive_timer);
  if (this->library == nullptr) {
    return;
  }
  this->CloseListener();
  while (!this->connections.empty()) {
    // OnConnectionEnd() removes the entry.
    evhtp_connection_free(this->connections.begin()->first);
  }
  evhtp_free(std::exchange(this->library, nullptr));
}

void HttpServer::Core::AddRoute(HttpMethod method,
                                std::string path,
                                Handler handler) {
  this->routes.push_back({method, std::move(path), std::move(handler)});
}

std::size_t HttpServer::Core::OpenRequests() const {
  std::size_t open = 0;
  for (const auto& [connection, state] : this->connections) {
    open += state.receiving ? 1 : 0;
  }
  return open;
}

evhtp_res HttpServer::Core::OnPreAccept(evhtp_connection_t*, void* core) {
  Core* self = Self(core);
  if (!self->budget.Full()) {
    return EVHTP_RES_OK;
  }
  ReceiveAccount* victim = self->budget.Victim(self->loop->Now());
  if (victim == nullptr) {
    self->budget.CountRefusal(ReceiveRefusal::kConnections);
    return EVHTP_RES_ERROR;
  }
  self->Close(victim, ReceiveRefusal::kConnections);
  return EVHTP_RES_OK;
}

evhtp_res HttpServer::Core::OnPostAccept(evhtp_connection_t* connection,
                                         void* core) {
  Core* self = Self(core);
  Connection& state = self->connections[connection];
  state.core = self;
  state.handle = connection;
  state.number = self->next_connection++;
  state.idle_since = self->loop->Now();
  state.account = self->budget.Open(state.number, state.idle_since);
  // At least 1 byte, because the library expects input when it is called.
  bufferevent_setwatermark(connection->bev, EV_READ, 1, kMaxUnparsedBytes);
  evbuffer_add_cb(bufferevent_get_input(connection->bev), &OnInput, &state);
  evbuffer_add_cb(bufferevent_get_output(connection->bev), &OnOutput, &state);
  evhtp_connection_set_hook(connection, evhtp_hook_on_headers_start,
                            ToHook(&OnHeadersStart), core);
  evhtp_connection_set_hook(connection, evhtp_hook_on_header, ToHook(&OnHeader),
                            core);
  evhtp_connection_set_hook(connection, evhtp_hook_on_headers,
                            ToHook(&OnHeaders), core);
  evhtp_connection_set_hook(connection, evhtp_hook_on_read, ToHook(&OnRead),
                            core);
  evhtp_connection_set_hook(connection, evhtp_hook_on_request_fini,
                            ToHook(&OnRequestEnd), core);
  evhtp_connection_set_hook(connection, evhtp_hook_on_connection_fini,
                            ToHook(&OnConnectionEnd), core);
  return EVHTP_RES_OK;
}

evhtp_res HttpServer::Core::OnHeadersStart(evhtp_request_t* request,
                                           void* core) {
  Core* self = Self(core);
  Connection* connection = self->Find(request->conn);
  if (connection == nullptr) {
    return EVHTP_RES_OK;
  }
  connection->receiving = true;
  connection->fault = HttpServerFault::kNone;
  std::string().swap(connection->body);
  connection->exchange = 0;
  std::size_t line_bytes = 0;
  if (request->uri != nullptr && request->uri->path != nullptr &&
      request->uri->path->full != nullptr) {
    line_bytes += std::strlen(request->uri->path->full);
  }
  if (request->uri != nullptr && request->uri->query_raw != nullptr) {
    line_bytes +=
        std::strlen(reinterpret_cast<const char*>(request->uri->query_raw));
  }
  self->budget.OnHeadStart(connection->account, line_bytes,
                           connection->account->last_received);
  return EVHTP_RES_OK;
}

evhtp_res HttpServer::Core::OnHeader(evhtp_request_t* request,
                                     evhtp_header_t* header,
                                     void* core) {
  Core* self = Self(core);
  Connection* connection = self->Find(request->conn);
  if (connection == nullptr) {
    return EVHTP_RES_OK;
  }
  const HeaderLineAction action = self->budget.OnHeaderLine(
      connection->account, header->klen + header->vlen + kHeaderLineExtra);
  if (action == HeaderLineAction::kClose) {
    self->budget.CountRefusal(self->budget.HeadFault(*connection->account));
    return EVHTP_RES_ERROR;
  }
  if (action == HeaderLineAction::kDiscard) {
    connection->fault = HttpServerFault::kHeaderTooLarge;
    evhtp_kv_rm_and_free(request->headers_in, header);
    return EVHTP_RES_OK;
  }
  return self->KeepBudget(connection) ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

evhtp_res HttpServer::Core::OnHeaders(evhtp_request_t* request,
                                      evhtp_headers_t* headers,
                                      void* core) {
  Core* self = Self(core);
  Connection* connection = self->Find(request->conn);
  if (connection == nullptr) {
    return EVHTP_RES_OK;
  }
  const ReceiveRefusal refusal = self->budget.HeadFault(*connection->account);
  if (refusal != ReceiveRefusal::kNone) {
    connection->fault = HttpServerFault::kHeaderTooLarge;
    self->budget.CountRefusal(refusal);
  } else if (HasAmbiguousLength(headers)) {
    connection->fault = HttpServerFault::kBadFraming;
  }
  self->budget.OnHeadEnd(connection->account,
                         connection->account->last_received);
  return EVHTP_RES_OK;
}

evhtp_res HttpServer::Core::OnRead(evhtp_request_t* request,
                                   evbuffer* bytes,
                                   void* core) {
  Core* self = Self(core);
  Connection* connection = self->Find(request->conn);
  if (connection == nullptr) {
    return EVHTP_RES_OK;
  }
  const std::size_t count = evbuffer_get_length(bytes);
  if (connection->account->body_bytes + count > self->options.max_body_bytes &&
      connection->fault == HttpServerFault::kNone) {
    connection->fault = HttpServerFault::kBodyTooLarge;
  }
  const bool kept = connection->fault == HttpServerFault::kNone;
  if (kept) {
    AppendAndDrain(&connection->body, bytes);
  } else {
    evbuffer_drain(bytes, count);
    std::string().swap(connection->body);
  }
  self->budget.OnBody(connection->account, count, kept);
  return self->KeepBudget(connection) ? EVHTP_RES_OK : EVHTP_RES_ERROR;
}

evhtp_res HttpServer::Core::OnRequestEnd(evhtp_request_t* request, void* core) {
  Core* self = Self(core);
  Connection* connection = self->Find(request->conn);
  if (connection != nullptr) {
    self->exchanges.erase(connection->exchange);
    connection->Reset(self->loop->Now());
  }
  return EVHTP_RES_OK;
}

evhtp_res HttpServer::Core::OnConnectionEnd(evhtp_connection_t* connection,
                                            void* core) {
  Core* self = Self(core);
  const auto found = self->connections.find(connection);
  if (found != self->connections.end()) {
    evbuffer_remove_cb(bufferevent_get_input(connection->bev), &OnInput,
                       &found->second);
    evbuffer_remove_cb(bufferevent_get_output(connection->bev), &OnOutput,
                       &found->second);
    self->budget.Close(found->second.account);
    self->exchanges.erase(found->second.exchange);
    self->connections.erase(found);
  }
  return EVHTP_RES_OK;
}

void HttpServer::Core::OnInput(evbuffer* input,
                               const evbuffer_cb_info* change,
                               void* connection) {
  auto& state = *static_cast<Connection*>(connection);
  Core* self = state.core;
  ReceiveRefusal refusal = ReceiveRefusal::kNone;
  std::size_t length = evbuffer_get_length(input);
  if (change->n_added > 0 && length >= change->n_added) {
    const Instant now = self->loop->Now();
    const bool before_line = state.account->phase == ReceivePhase::kWaiting ||
                             (state.account->phase == ReceivePhase::kHead &&
                              !state.account->line_started);
    evbuffer_ptr start{};
    evbuffer_ptr_set(input, &start, length - change->n_added, EVBUFFER_PTR_SET);
    // The library adds at most two extents per read.
    std::array<evbuffer_iovec, 4> extents{};
    const int used =
        evbuffer_peek(input, static_cast<ev_ssize_t>(change->n_added), &start,
                      extents.data(), static_cast<int>(extents.size()));
    for (int i = 0; i < used && i < static_cast<int>(extents.size()); ++i) {
      const ReceiveRefusal found = self->budget.OnReceived(
          state.account,
          {static_cast<const char*>(extents[i].iov_base), extents[i].iov_len},
          now);
      refusal = found != ReceiveRefusal::kNone ? found : refusal;
    }
    // The library does not advance past line breaks before a request line.
    if (before_line && state.account->leading_bytes > 0 &&
        length == change->n_added) {
      DrainLineBreaks(input);
      length = evbuffer_get_length(input);
    }
  }
  self->budget.OnBuffers(state.account, length, state.account->output_bytes);
  if (refusal == ReceiveRefusal::kNone && change->n_added > 0 &&
      !self->KeepBudget(&state)) {
    refusal = ReceiveRefusal::kBytes;
  }
  if (refusal != ReceiveRefusal::kNone) {
    self->CloseLater(state, refusal);
  }
}

void HttpServer::Core::OnOutput(evbuffer* output,
                                const evbuffer_cb_info* change,
                                void* connection) {
  auto& state = *static_cast<Connection*>(connection);
  const std::size_t length = evbuffer_get_length(output);
  if (change->n_added > 0) {
    state.core->budget.OnResponsePiece(state.account);
  }
  state.core->budget.OnBuffers(state.account, state.account->input_bytes,
                               length);
  if (change->n_added > 0 && !state.core->KeepBudget(&state)) {
    state.core->CloseLater(state, ReceiveRefusal::kBytes);
  }
}

void HttpServer::Core::OnRequest(evhtp_request_t* request, void* core) {
  Self(core)->BeginExchange(request);
}

HttpServer::Core::Connection* HttpServer::Core::Find(
    evhtp_connection_t* connection) {
  const auto found = this->connections.find(connection);
  return found == this->connections.end() ? nullptr : &found->second;
}

void HttpServer::Core::BeginExchange(evhtp_request_t* request) {
  Connection* connection = this->Find(request->conn);
  if (connection == nullptr) {
    return;
  }
  const ExchangeId id = this->next_exchange++;
  connection->receiving = true;
  connection->exchange = id;
  this->budget.OnComplete(connection->account);
  this->exchanges[id] = request;
  // libevhtp keeps a paused request even if the client disconnects.
  evhtp_request_pause(request);
  this->loop->Post(
      [weak = this->weak_from_this(), id, fault = connection->fault] {
        if (const std::shared_ptr<Core> core = weak.lock()) {
          core->Dispatch(id, fault);
        }
      });
}

HttpServerRequest HttpServer::Core::TakeRequest(evhtp_request_t* request) {
  HttpServerRequest copy;
  copy.method = FromLibrary(request->method).value_or(HttpMethod::kGet);
  if (request->uri != nullptr && request->uri->path != nullptr) {
    copy.path = request->uri->path->full;
  }
  if (request->uri != nullptr && request->uri->query_raw != nullptr) {
    copy.query = reinterpret_cast<const char*>(request->uri->query_raw);
  }
  copy.headers = CopyHeaders(request->headers_in);
  if (Connection* connection = this->Find(request->conn)) {
    copy.body = std::exchange(connection->body, {});
  }
  return copy;
}

void HttpServer::Core::Dispatch(ExchangeId id, HttpServerFault fault) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  if (fault != HttpServerFault::kNone) {
    this->SendFaultResponse(id, fault);
    return;
  }
  if (!FromLibrary(found->second->method)) {
    this->SendFaultResponse(id, HttpServerFault::kMethodNotAllowed);
    return;
  }
  HttpServerRequest request = this->TakeRequest(found->second);
  const RouteEntry* route =
      this->FindRoute(request.method, request.path, &fault);
  if (route == nullptr) {
    this->SendFaultResponse(id, fault);
    return;
  }
  // Copied because the handler may add routes or destroy the server.
  const Handler handler = route->handler;
  handler(std::move(request),
          HttpResponder(std::make_shared<HttpResponder::Pending>(
              this->weak_from_this(), id)));
}

const HttpServer::Core::RouteEntry* HttpServer::Core::FindRoute(
    HttpMethod method,
    const std::string& path,
    HttpServerFault* fault) const {
  const RouteEntry* best = nullptr;
  *fault = HttpServerFault::kNotFound;
  for (const RouteEntry& route : this->routes) {
    const bool matches = route.path.ends_with('/')
                             ? path.starts_with(route.path)
                             : path == route.path;
    if (!matches) {
      continue;
    }
    if (route.method != method) {
      *fault = HttpServerFault::kMethodNotAllowed;
      continue;
    }
    if (best == nullptr || route.path.size() > best->path.size()) {
      best = &route;
    }
  }
  return best;
}

void HttpServer::Core::SendResponse(ExchangeId id,
                                    const HttpServerResponse& response) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  evhtp_request_t* request = found->second;
  Connection* connection = this->Find(request->conn);
  this->exchanges.erase(found);
  for (const HttpHeader& header : response.headers) {
    if (!HasLineBreak(header)) {
      AddHeader(request, header.name, header.value);
    }
  }
  const bool has_length = response.status != 204 && response.status != 304;
  if (has_length) {
    AddHeader(request, "Content-Length", std::to_string(response.body.size()));
  }
  if (has_length && request->method != htp_method_HEAD) {
    evbuffer_add(request->buffer_out, response.body.data(),
                 response.body.size());
  }
  const bool end_connection =
      this->stopping || connection->fault != HttpServerFault::kNone;
  const bool client_left = (evhtp_connection_get_flags(request->conn) &
                            EVHTP_CONN_FLAG_FREE_CONN) != 0;
  connection->Reset(this->loop->Now());
  if (end_connection) {
    // evhtp_request_set_keepalive() can set the flag but not clear it. Without
    // the flag, libevhtp adds "Connection: close".
    evhtp_request_disable_flag(request, EVHTP_REQ_FLAG_KEEPALIVE);
    if (!client_left) {
      // libevhtp does not close the connection after evhtp_request_resume().
      evhtp_connection_disable_flag(request->conn, EVHTP_CONN_FLAG_PAUSED);
      evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
      return;
    }
  }
  evhtp_send_reply(request, static_cast<evhtp_res>(response.status));
  evhtp_request_resume(request);
}

void HttpServer::Core::SendFaultResponse(ExchangeId id, HttpServerFault fault) {
  HttpServerResponse response;
  if (this->options.format_fault) {
    response = this->options.format_fault(fault);
  }
  response.status = FaultStatus(fault);
  this->SendResponse(id, response);
}

void HttpServer::Core::Charge(ExchangeId id, std::size_t bytes) {
  const auto found = this->exchanges.find(id);
  if (found == this->exchanges.end()) {
    return;
  }
  if (const Connection* connection = this->Find(found->second->conn)) {
    this->budget.Charge(connection->account, bytes);
    this->KeepBudget(connection);
  }
}

bool HttpServer::Core::KeepBudget(const Connection* self) {
  while (this->budget.OverBudget()) {
    ReceiveAccount* victim = this->budget.Victim(this->loop->Now());
    if (victim == nullptr) {
      return true;
    }
    if (victim == self->account) {
      return false;
    }
    this->Close(victim, ReceiveRefusal::kBytes);
  }
  return true;
}

void HttpServer::Core::Close(ReceiveAccount* account, ReceiveRefusal refusal) {
  this->budget.CountRefusal(refusal);
  const auto found = std::find_if(
      this->connections.begin(), this->connections.end(),
      [&](const auto& entry) { return entry.second.account == account; });
  if (found != this->connections.end()) {
    // OnConnectionEnd() closes the account.
    evhtp_connection_free(found->first);
  }
}

void HttpServer::Core::CloseLater(const Connection& connection,
                                  ReceiveRefusal refusal) {
  this->loop->Post([weak = this->weak_from_this(), refusal,
                    handle = connection.handle, number = connection.number] {
    const std::shared_ptr<Core> core = weak.lock();
    const Connection* found = core ? core->Find(handle) : nullptr;
    // The address may belong to another connection by now.
    if (found != nullptr && found->number == number &&
        found->account->phase != ReceivePhase::kProcessing) {
      core->Close(found->account, refusal);
    }
  });
}

void HttpServer::Core::CheckReceiving() {
  for (const auto& [account, refusal] :
       this->budget.Expired(this->loop->Now())) {
    this->Close(account, refusal);
  }
  this->ReportRefusals();
  this->receive_timer = this->loop->After(kReceiveCheckInterval,
                                          [this] { this->CheckReceiving(); });
}

void HttpServer::Core::ReportRefusals() {
  const std::string& listener = this->options.listener;
  std::string causes;
  for (std::size_t i = 0; i < kReceiveRefusalCount; ++i) {
    const auto refusal = static_cast<ReceiveRefusal>(i);
    const std::uint64_t count =
        this->budget.Refusals(refusal) - this->reported[i];
    if (count == 0) {
      continue;
    }
    this->reported[i] += count;
    causes += (causes.empty() ? "" : ",") +
              std::string(ReceiveRefusalName(refusal)) + ":" +
              std::to_string(count);
    if (this->options.metrics != nullptr) {
      this->options.metrics->CountReceiveRefusals(
          listener, ReceiveRefusalName(refusal), count);
    }
  }
  if (this->options.metrics != nullptr) {
    this->options.metrics->SetListenerGauges(listener, this->budget.HeldBytes(),
                                             this->budget.Connections());
  }
  if (!causes.empty()) {
    LogEvent(LogLevel::kWarning, "clients_refused",
             {{"listener", listener},
              {"causes", causes},
              {"held_bytes", std::to_string(this->budget.HeldBytes())},
              {"connections", std::to_string(this->budget.Connections())}});
  }
}

void HttpServer::Core::CloseListener() {
  if (this->library != nullptr && this->library->server != nullptr) {
    evhtp_unbind_socket(this->library);
  }
}

void HttpServer::Core::Stop(Duration limit, StopCallback callback) {
  this->stopping = true;
  this->on_stopped = std::move(callback);
  this->stop_end = this->loop->Now() + limit;
  // Waits for one check interval, so that the loop accepts the connections in
  // the backlog: closing the listener resets connections that were not
  // accepted.
  this->stop_timer =
      this->loop->After(kStopCheckInterval, [this] { this->CheckStop(); });
}

void HttpServer::Core::CheckStop() {
  this->CloseListener();
  this->CloseIdle();
  if (this->connections.empty()) {
    this->FinishStop(0);
    return;
  }
  if (this->loop->Now() >= *this->stop_end) {
    this->FinishStop(this->OpenRequests());
    return;
  }
  this->stop_timer =
      this->loop->After(kStopCheckInterval, [this] { this->CheckStop(); });
}

void HttpServer::Core::CloseIdle() {
  const Instant oldest = this->loop->Now() - this->options.idle_grace;
  std::vector<evhtp_connection_t*> idle;
  for (const auto& [connection, state] : this->connections) {
    const bool in_transit =
        evbuffer_get_length(bufferevent_get_input(connection->bev)) > 0 ||
        evbuffer_get_length(bufferevent_get_output(connection->bev)) > 0;
    if (!state.receiving && !in_transit && state.idle_since <= oldest) {
      idle.push_back(connection);
    }
  }
  for (evhtp_connection_t* connection : idle) {
    evhtp_connection_free(connection);
  }
}

void HttpServer::Core::FinishStop(std::size_t aborted_requests) {
  while (!this->connections.empty()) {
    evhtp_connection_free(this->connections.begin()->first);
  }
  // The callback may destroy the server.
  const StopCallback callback = std::move(this->on_stopped);
  callback({.aborted_requests = aborted_requests});
}

//-----------------------------------------------------------------------------
// [SECTION] HttpServer
//-----------------------------------------------------------------------------

void HttpResponder::Send(const HttpServerResponse& response) const {
  this->pending->Send(response);
}

void HttpResponder::Charge(std::size_t bytes) const {
  this->pending->Charge(bytes);
}

Result<std::unique_ptr<HttpServer>> HttpServer::Create(
    EventLoop* loop,
    HttpServerOptions options) {
  const std::string peer = options.address + ":" + std::to_string(options.port);
  auto core = std::make_shared<Core>(loop, std::move(options));
  if (!core->Listen()) {
    return MakeError(ErrorCode::kUnavailable, "listen", peer,
                     "cannot bind or listen on the address");
  }
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
}

HttpServer::HttpServer(std::shared_ptr<Core> core) : core(std::move(core)) {}

HttpServer::~HttpServer() {
  this->core->Shutdown();
}

void HttpServer::Route(HttpMethod method, std::string path, Handler handler) {
  this->core->AddRoute(method, std::move(path), std::move(handler));
}

void HttpServer::Stop(Duration limit, StopCallback callback) {
  this->core->Stop(limit, std::move(callback));
}

std::uint16_t HttpServer::Port() const {
  return this->core->Port();
}

std::size_t HttpServer::OpenConnections() const {
  return this->core->OpenConnections();
}

std::size_t HttpServer::OpenRequests() const {
  return this->core->OpenRequests();
}

}  // namespace peridot
