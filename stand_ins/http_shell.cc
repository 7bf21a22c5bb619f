#include "stand_ins/http_shell.h"

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
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "stand_ins/json_fields.h"

namespace peridot::stand_ins {
namespace {

// Sufficient for the headers of an attempt; larger headers are refused.
constexpr int kMaxHeaderBytes = 16 * 1024;

// A body that exceeds the limit by at most this many bytes is read and refused
// with a message that states the limit; evhttp refuses a larger one unread.
constexpr std::size_t kMaxReadExcessBytes = std::size_t{1} << 20;

std::string Unescaped(std::string_view text) {
  std::size_t size = 0;
  char* decoded = evhttp_uridecode(std::string(text).c_str(), 0, &size);
  std::string result(decoded, size);
  std::free(decoded);
  return result;
}

const char* MethodName(evhttp_cmd_type command) {
  switch (command) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::string BytesOf(evbuffer* buffer) {
  std::string bytes(evbuffer_get_length(buffer), '\0');
  evbuffer_copyout(buffer, bytes.data(), bytes.size());
  return bytes;
}

std::map<std::string, std::string> HeadersOf(evhttp_request* request) {
  std::map<std::string, std::string> headers;
  const evkeyvalq* list = evhttp_request_get_input_headers(request);
  for (const evkeyval* item = list->tqh_first; item != nullptr;
       item = item->next.tqe_next) {
    std::string name(item->key);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) {
      return static_cast<char>(std::tolower(c));
    });
    headers[std::move(name)] = item->value;
  }
  return headers;
}

timeval TimevalOf(Duration delay) {
  // Rounded up: a timer that fires early would find nothing due.
  const auto micros =
      std::chrono::ceil<std::chrono::microseconds>(std::max(delay, Duration{}))
          .count();
  timeval result{};
  result.tv_sec = micros / 1'000'000;
  result.tv_usec = micros % 1'000'000;
  return result;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Requests and replies
//-----------------------------------------------------------------------------

std::optional<std::string> HttpRequest::PathBetween(
    std::string_view prefix,
    std::string_view suffix) const {
  const std::size_t outer = prefix.size() + suffix.size();
  if (!this->path.starts_with(prefix) || !this->path.ends_with(suffix) ||
      this->path.size() <= outer)
    return std::nullopt;
  const std::string_view whole(this->path);
  return Unescaped(whole.substr(prefix.size(), whole.size() - outer));
}

std::optional<std::string> HttpRequest::Parameter(const char* name) const {
  evkeyvalq parameters{};
  if (evhttp_parse_query_str(this->query.c_str(), &parameters) != 0)
    return std::nullopt;
  const char* value = evhttp_find_header(&parameters, name);
  std::optional<std::string> result;
  if (value != nullptr)
    result = value;
  evhttp_clear_headers(&parameters);
  return result;
}

std::string HttpRequest::Header(const std::string& name) const {
  const auto header = this->headers.find(name);
  return header == this->headers.end() ? "" : header->second;
}

HttpReply JsonReply(int status, const nlohmann::json& value) {
  HttpReply reply;
  reply.status = status;
  reply.body = ToText(value);
  return reply;
}

HttpReply ErrorReply(int status, std::string_view message) {
  return JsonReply(status, {{"error", message}});
}

HttpReply ErrorReply(const Error& error) {
  switch (error.code) {
    case ErrorCode::kUnavailable:
      return ErrorReply(503, error.message);
    case ErrorCode::kNotFound:
      return ErrorReply(404, error.message);
    case ErrorCode::kTooLarge:
      return ErrorReply(413, error.message);
    case ErrorCode::kInvalidArgument:
    case ErrorCode::kOutOfRange:
    case ErrorCode::kMalformed:
      return ErrorReply(400, error.message);
    default:
      return ErrorReply(500, error.message);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] ShellLoop
//-----------------------------------------------------------------------------

Result<std::unique_ptr<ShellLoop>> ShellLoop::Create() {
  // Without this, a client that disconnects early would terminate the program.
  std::signal(SIGPIPE, SIG_IGN);
  std::unique_ptr<ShellLoop> loop(new ShellLoop);
  event_config* config = event_config_new();
  // The coarse clock lags by up to 4 ms, longer than a short task runs.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  loop->base = event_base_new_with_config(config);
  event_config_free(config);
  if (loop->base == nullptr) {
    return MakeError(ErrorCode::kInternal, "start", "libevent",
                     "the event loop cannot be created");
  }
  for (const int number : {SIGTERM, SIGINT}) {
    event* signal =
        evsignal_new(loop->base, number, &ShellLoop::OnSignal, loop.get());
    loop->signals.push_back(signal);
    event_add(signal, nullptr);
  }
  return loop;
}

ShellLoop::~ShellLoop() {
  for (const auto& [address, timer] : this->timers) {
    event_free(timer->timeout);
  }
  for (event* signal : this->signals) {
    event_free(signal);
  }
  if (this->base != nullptr)
    event_base_free(this->base);
}

void ShellLoop::Run() {
  event_base_dispatch(this->base);
}

void ShellLoop::Stop() {
  event_base_loopbreak(this->base);
}

void ShellLoop::OnSignal(int, short, void* loop) {
  static_cast<ShellLoop*>(loop)->Stop();
}

void ShellLoop::After(Duration delay, std::function<void()> action) {
  auto timer = std::make_unique<Timer>();
  timer->loop = this;
  timer->action = std::move(action);
  timer->timeout = evtimer_new(this->base, &ShellLoop::OnTimer, timer.get());
  const timeval wait = TimevalOf(delay);
  evtimer_add(timer->timeout, &wait);
  Timer* const address = timer.get();
  this->timers.emplace(address, std::move(timer));
}

void ShellLoop::OnTimer(int, short, void* timer) {
  auto* const fired = static_cast<Timer*>(timer);
  ShellLoop* const loop = fired->loop;
  const std::function<void()> action = std::move(fired->action);
  event_free(fired->timeout);
  loop->timers.erase(fired);
  action();
}

//-----------------------------------------------------------------------------
// [SECTION] HttpServer
//-----------------------------------------------------------------------------

HttpServer::HttpServer(ShellLoop& loop,
                       HttpServerOptions options,
                       Handler handler)
    : loop(loop), options(options), handler(std::move(handler)) {}

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
    ShellLoop& loop,
    HttpServerOptions options,
    Handler handler) {
  std::unique_ptr<HttpServer> server(
      new HttpServer(loop, options, std::move(handler)));
  server->http = evhttp_new(loop.Base());
  evhttp_set_allowed_methods(server->http, EVHTTP_REQ_GET | EVHTTP_REQ_POST |
                                               EVHTTP_REQ_PUT |
                                               EVHTTP_REQ_DELETE);
  evhttp_set_max_headers_size(server->http, kMaxHeaderBytes);
  evhttp_set_max_body_size(
      server->http,
      static_cast<ev_ssize_t>(options.max_body + kMaxReadExcessBytes));
  // Lets a client that is still sending an oversized body receive the 413.
  evhttp_set_flags(server->http, EVHTTP_SERVER_LINGERING_CLOSE);
  evhttp_set_gencb(server->http, &HttpServer::OnRequest, server.get());

  server->bound =
      evhttp_bind_socket_with_handle(server->http, "127.0.0.1", options.port);
  if (server->bound == nullptr) {
    return MakeError(ErrorCode::kUnavailable, "listen",
                     "127.0.0.1:" + std::to_string(options.port),
                     "cannot bind the port");
  }
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(evhttp_bound_socket_get_fd(server->bound),
              reinterpret_cast<sockaddr*>(&address), &size);
  server->port = ntohs(address.sin_port);
  return server;
}

HttpServer::~HttpServer() {
  this->close_handler = nullptr;
  if (this->http != nullptr)
    evhttp_free(this->http);
}

void HttpServer::StopListening() {
  if (this->bound != nullptr) {
    evhttp_del_accept_socket(this->http, this->bound);
    this->bound = nullptr;
  }
}

ConnectionNumber HttpServer::NumberOf(evhttp_connection* handle) {
  const auto [entry, is_new] = this->numbers.try_emplace(handle, 0);
  if (is_new) {
    entry->second = ++this->last_connection;
    this->connections[entry->second].handle = handle;
    evhttp_connection_set_closecb(handle, &HttpServer::OnClosed, this);
  }
  return entry->second;
}

void HttpServer::OnRequest(evhttp_request* request, void* server) {
  auto* const self = static_cast<HttpServer*>(server);
  HttpRequest copy;
  copy.id = ++self->last_request;
  copy.connection = self->NumberOf(evhttp_request_get_connection(request));
  copy.method = MethodName(evhttp_request_get_command(request));
  const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
  const char* path = evhttp_uri_get_path(uri);
  const char* query = evhttp_uri_get_query(uri);
  copy.path = path == nullptr ? "" : path;
  copy.query = query == nullptr ? "" : query;
  copy.headers = HeadersOf(request);
  copy.body = BytesOf(evhttp_request_get_input_buffer(request));

  Connection& connection = self->connections.at(copy.connection);
  connection.unanswered = request;
  connection.request = copy.id;
  self->unanswered[copy.id] = copy.connection;
  const std::size_t limit = self->options.max_body;
  if (copy.body.size() > limit) {
    const std::string message =
        "the body has " + std::to_string(copy.body.size()) +
        " bytes, over the limit of " + std::to_string(limit);
    return self->Reply(copy.id, ErrorReply(413, message));
  }
  self->handler(*self, std::move(copy));
}

// evhttp frees a request together with its connection, unless it has already
// detached the request, which then has to be freed here.
void HttpServer::OnClosed(evhttp_connection* handle, void* server) {
  auto* const self = static_cast<HttpServer*>(server);
  const auto number = self->numbers.find(handle);
  if (number == self->numbers.end())
    return;
  const ConnectionNumber closed = number->second;
  const Connection connection = self->connections.at(closed);
  self->numbers.erase(number);
  self->connections.erase(closed);
  if (connection.unanswered != nullptr) {
    self->unanswered.erase(connection.request);
    if (evhttp_request_get_connection(connection.unanswered) == nullptr)
      evhttp_request_free(connection.unanswered);
  }
  if (self->close_handler)
    self->close_handler(closed);
}

evhttp_request* HttpServer::TakeUnanswered(RequestNumber request) {
  const auto entry = this->unanswered.find(request);
  if (entry == this->unanswered.end())
    return nullptr;
  Connection& connection = this->connections.at(entry->second);
  this->unanswered.erase(entry);
  return std::exchange(connection.unanswered, nullptr);
}

void HttpServer::Reply(RequestNumber request, const HttpReply& reply) {
  evhttp_request* taken = this->TakeUnanswered(request);
  if (taken == nullptr)
    return;
  evkeyvalq* headers = evhttp_request_get_output_headers(taken);
  evhttp_add_header(headers, "Content-Type", reply.content_type.c_str());
  for (const auto& [name, value] : reply.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  if (reply.announced_length) {
    evhttp_add_header(headers, "Content-Length",
                      std::to_string(*reply.announced_length).c_str());
    evhttp_add_header(headers, "Connection", "close");
  }
  evbuffer* body = evbuffer_new();
  evbuffer_add(body, reply.body.data(), reply.body.size());
  evhttp_send_reply(taken, reply.status, nullptr, body);
  evbuffer_free(body);
}

void HttpServer::Drop(RequestNumber request) {
  const auto entry = this->unanswered.find(request);
  if (entry != this->unanswered.end())
    this->Close(entry->second);
}

// evhttp may still use the connection while a handler runs, so the connection
// is freed in a later iteration of the event loop.
void HttpServer::Close(ConnectionNumber connection) {
  this->loop.After(Duration{},
                   [this, connection] { this->CloseNow(connection); });
}

void HttpServer::CloseNow(ConnectionNumber connection) {
  const auto entry = this->connections.find(connection);
  if (entry != this->connections.end())
    evhttp_connection_free(entry->second.handle);
}

void HttpServer::CloseAbandoned() {
  for (const auto& [number, connection] : this->connections) {
    if (connection.unanswered == nullptr)
      continue;
    const int socket =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection.handle));
    char byte = 0;
    if (recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
      this->Close(number);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Command line
//-----------------------------------------------------------------------------

namespace po = boost::program_options;

CommandLine ParseCommandLine(int argc,
                             char** argv,
                             po::options_description options) {
  CommandLine line;
  options.add_options()("help", "print this text");
  try {
    po::store(po::parse_command_line(argc, argv, options), line.values);
    po::notify(line.values);
  } catch (const po::error& error) {
    std::cerr << "event=bad_option message=\"" << error.what() << "\"\n";
    line.exit_code = 2;
    return line;
  }
  if (line.values.contains("help")) {
    std::cout << options;
    line.exit_code = 0;
  }
  return line;
}

po::typed_value<int>* BoundedOption(int default_value, int low, int high) {
  return po::value<int>()
      ->default_value(default_value)
      ->notifier([low, high](int value) {
        if (value < low || value > high) {
          throw po::error("expected a value in " + std::to_string(low) + ".." +
                          std::to_string(high) + ", got " +
                          std::to_string(value));
        }
      });
}

void AddPortOption(po::options_description& options) {
  options.add_options()("port", BoundedOption(0, 0, 65'535),
                        "port on the loopback address; 0: any free one");
}

std::uint16_t PortOf(const CommandLine& line) {
  return static_cast<std::uint16_t>(line.values.at("port").as<int>());
}

void AnnounceListening(std::uint16_t port, int count) {
  std::cout << "listening port=" << port;
  if (count > 1)
    std::cout << " count=" << count;
  std::cout << std::endl;
}

int ReportFailure(const Error& error) {
  std::cerr << "event=failed " << error << '\n';
  return 1;
}

int Serve(ShellLoop& loop,
          HttpServerOptions options,
          HttpServer::Handler handler) {
  const auto server = HttpServer::Listen(loop, options, std::move(handler));
  if (!server)
    return ReportFailure(server.error());
  AnnounceListening(server.value()->Port());
  loop.Run();
  return 0;
}

}  // namespace peridot::stand_ins
