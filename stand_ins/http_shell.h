// HTTP server, event loop and command line shared by the programs of the
// stand-ins.
//
// Index:
//   [SECTION] Requests and replies
//   [SECTION] ShellLoop
//   [SECTION] HttpServer
//   [SECTION] Command line
//
// Not thread-safe: everything here must be used from the thread that runs the
// loop.
//
// A handler gets each request by value and replies to its id, at once or later.
// Without a reply the connection stays open and no response is sent.

#ifndef STAND_INS_HTTP_SHELL_H_
#define STAND_INS_HTTP_SHELL_H_

#include <boost/program_options.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"

struct event;
struct event_base;
struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Requests and replies
//-----------------------------------------------------------------------------

using RequestNumber = std::uint64_t;
using ConnectionNumber = std::uint64_t;

struct HttpRequest {
  RequestNumber id = 0;
  ConnectionNumber connection = 0;
  std::string method;                          // as in "GET"
  std::string path;                            // escaped
  std::string query;                           // escaped
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;

  bool Is(std::string_view wanted_method, std::string_view wanted_path) const {
    return this->method == wanted_method && this->path == wanted_path;
  }
  // Returns the part of the path between prefix and suffix, unescaped. Returns
  // nothing if the path has another form or that part is empty.
  std::optional<std::string> PathBetween(std::string_view prefix,
                                         std::string_view suffix = "") const;
  // Returns the value of a query parameter, unescaped, or nothing if there is
  // no such parameter.
  std::optional<std::string> Parameter(const char* name) const;
  // Returns the value of a header, or "". `name` is in lower case.
  std::string Header(const std::string& name) const;
};

struct HttpReply {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::vector<std::pair<std::string, std::string>> headers;
  // Sends this Content-Length instead of the length of the body and closes the
  // connection after the body, as if the response were cut off.
  std::optional<std::size_t> announced_length;
};

HttpReply JsonReply(int status, const nlohmann::json& value);

// Returns a reply with the body {"error": message}.
HttpReply ErrorReply(int status, std::string_view message);

// Returns the reply to a failed operation: 503 for kUnavailable, 404 for
// kNotFound, 413 for kTooLarge, 400 for invalid input, else 500.
HttpReply ErrorReply(const Error& error);

//-----------------------------------------------------------------------------
// [SECTION] ShellLoop
//-----------------------------------------------------------------------------

// An event loop with one-shot timers that stops on SIGTERM and SIGINT.
class ShellLoop {
 public:
  // Errors: kInternal.
  static Result<std::unique_ptr<ShellLoop>> Create();
  ~ShellLoop();
  ShellLoop(const ShellLoop&) = delete;
  ShellLoop& operator=(const ShellLoop&) = delete;

  // Runs until a signal or Stop().
  void Run();
  void Stop();

  // Calls the action once, after the delay; never from within this call.
  void After(Duration delay, std::function<void()> action);

  Instant Now() const { return this->clock.Now(); }
  event_base* Base() const { return this->base; }

 private:
  struct Timer {
    ShellLoop* loop = nullptr;
    event* timeout = nullptr;
    std::function<void()> action;
  };

  ShellLoop() = default;
  static void OnTimer(int fd, short events, void* timer);
  static void OnSignal(int signal, short events, void* loop);

  SystemClock clock;
  event_base* base = nullptr;
  std::vector<event*> signals;
  std::unordered_map<Timer*, std::unique_ptr<Timer>> timers;
};

//-----------------------------------------------------------------------------
// [SECTION] HttpServer
//-----------------------------------------------------------------------------

struct HttpServerOptions {
  std::uint16_t port = 0;                       // 0: the kernel chooses
  std::size_t max_body = std::size_t{1} << 20;  // a larger body gets status 413
};

// An HTTP/1.1 server on the loopback address.
class HttpServer {
 public:
  using Handler = std::function<void(HttpServer&, HttpRequest)>;
  using CloseHandler = std::function<void(ConnectionNumber)>;

  // Starts listening before it returns. The loop must outlive the server.
  // Errors: kUnavailable (the port cannot be bound).
  static Result<std::unique_ptr<HttpServer>> Listen(ShellLoop& loop,
                                                    HttpServerOptions options,
                                                    Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  std::uint16_t Port() const { return this->port; }

  // Sets the handler for closed connections that have received a request.
  void SetCloseHandler(CloseHandler new_handler) {
    this->close_handler = std::move(new_handler);
  }

  // Sends the response. No effect if the request already has one or its
  // connection is closed.
  void Reply(RequestNumber request, const HttpReply& reply);

  // Closes the request's connection without a response.
  void Drop(RequestNumber request);

  void Close(ConnectionNumber connection);

  // Accepts no more connections; those that are open stay open.
  void StopListening();

  // Closes the connections with a pending request whose client has
  // disconnected. evhttp does not detect this while a request is being handled.
  void CloseAbandoned();

 private:
  struct Connection {
    evhttp_connection* handle = nullptr;
    evhttp_request* unanswered = nullptr;
    RequestNumber request = 0;
  };

  HttpServer(ShellLoop& loop, HttpServerOptions options, Handler handler);
  static void OnRequest(evhttp_request* request, void* server);
  static void OnClosed(evhttp_connection* handle, void* server);
  ConnectionNumber NumberOf(evhttp_connection* handle);
  void CloseNow(ConnectionNumber connection);
  evhttp_request* TakeUnanswered(RequestNumber request);

  ShellLoop& loop;
  HttpServerOptions options;
  Handler handler;
  CloseHandler close_handler;
  evhttp* http = nullptr;
  evhttp_bound_socket* bound = nullptr;  // null: not listening
  std::uint16_t port = 0;
  RequestNumber last_request = 0;
  ConnectionNumber last_connection = 0;
  std::unordered_map<ConnectionNumber, Connection> connections;
  std::unordered_map<evhttp_connection*, ConnectionNumber> numbers;
  std::unordered_map<RequestNumber, ConnectionNumber> unanswered;
};

//-----------------------------------------------------------------------------
// [SECTION] Command line
//-----------------------------------------------------------------------------

struct CommandLine {
  boost::program_options::variables_map values;
  std::optional<int> exit_code;  // set: exit with this code
};

// Parses the options and adds --help. Prints help to stdout, errors to stderr.
CommandLine ParseCommandLine(
    int argc,
    char** argv,
    boost::program_options::options_description options);

// Returns the definition of an option whose value must be in [low, high].
boost::program_options::typed_value<int>* BoundedOption(int default_value,
                                                        int low,
                                                        int high);

// Add the option --port, and return its value.
void AddPortOption(boost::program_options::options_description& options);
std::uint16_t PortOf(const CommandLine& line);

// Prints "listening port=N" and, if more than one, " count=N" to stdout.
void AnnounceListening(std::uint16_t port, int count = 1);

// Prints the error as one line to stderr and returns the exit code 1.
int ReportFailure(const Error& error);

// Serves requests until SIGTERM or SIGINT and returns the exit code.
int Serve(ShellLoop& loop,
          HttpServerOptions options,
          HttpServer::Handler handler);

}  // namespace peridot::stand_ins

#endif  // STAND_INS_HTTP_SHELL_H_
