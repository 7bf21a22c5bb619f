// A blocking HTTP client for tests of whole programs.
//
// Index:
//   [SECTION] Response
//   [SECTION] HttpClient

#ifndef TESTS_SUPPORT_HTTP_CLIENT_H_
#define TESTS_SUPPORT_HTTP_CLIENT_H_

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Response
//-----------------------------------------------------------------------------

struct HttpResponse {
  int status = 0;
  std::map<std::string, std::string> headers;  // names as sent
  std::string body;

  // Precondition: the body is JSON.
  nlohmann::json Json() const { return nlohmann::json::parse(this->body); }
};

//-----------------------------------------------------------------------------
// [SECTION] HttpClient
//-----------------------------------------------------------------------------

// One persistent connection to a port of the loopback address. If the server
// has closed it, the next call opens a new one. Not thread-safe.
class HttpClient {
 public:
  using Headers = std::map<std::string, std::string>;

  // Longer than an answer takes even on a busy machine.
  static constexpr std::chrono::milliseconds kCallTimeout{60'000};

  explicit HttpClient(std::uint16_t port)
      : base(event_base_new()),
        connection(
            evhttp_connection_base_new(base, nullptr, "127.0.0.1", port)) {}
  ~HttpClient() {
    evhttp_connection_free(this->connection);
    event_base_free(this->base);
  }
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends a request and blocks until its response is complete. Returns nothing
  // if the connection was refused or closed, the response was truncated, or the
  // timeout passed; a timeout also closes the connection.
  std::optional<HttpResponse> Call(
      evhttp_cmd_type method,
      const std::string& path,
      const std::string& body = {},
      const Headers& headers = {},
      std::chrono::milliseconds timeout = kCallTimeout) {
    this->answer.reset();
    this->timed_out = false;
    const timeval limit = {timeout.count() / 1'000,
                           timeout.count() % 1'000 * 1'000};
    evhttp_connection_set_timeout_tv(this->connection, &limit);
    evhttp_request* request = evhttp_request_new(&HttpClient::OnDone, this);
    evhttp_request_set_error_cb(request, &HttpClient::OnError);
    evkeyvalq* output = evhttp_request_get_output_headers(request);
    evhttp_add_header(output, "Host", "127.0.0.1");
    for (const auto& [name, value] : headers) {
      evhttp_add_header(output, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(),
                 body.size());
    if (evhttp_make_request(this->connection, request, method, path.c_str()) ==
        0)
      event_base_dispatch(this->base);
    return std::exchange(this->answer, std::nullopt);
  }

  // Returns whether the last call ended with a timeout.
  bool TimedOut() const { return this->timed_out; }

  std::optional<HttpResponse> Get(const std::string& path) {
    return this->Call(EVHTTP_REQ_GET, path);
  }
  std::optional<HttpResponse> Post(const std::string& path,
                                   const std::string& body,
                                   const Headers& headers = {}) {
    return this->Call(EVHTTP_REQ_POST, path, body, headers);
  }
  std::optional<HttpResponse> Put(const std::string& path,
                                  const std::string& body,
                                  const Headers& headers = {}) {
    return this->Call(EVHTTP_REQ_PUT, path, body, headers);
  }
  std::optional<HttpResponse> Delete(const std::string& path) {
    return this->Call(EVHTTP_REQ_DELETE, path);
  }

 private:
  // libevent passes the argument of the request's callback to its error
  // callback too.
  static void OnError(evhttp_request_error error, void* client) {
    static_cast<HttpClient*>(client)->timed_out = error == EVREQ_HTTP_TIMEOUT;
  }

  static void OnDone(evhttp_request* request, void* client) {
    auto* const self = static_cast<HttpClient*>(client);
    event_base_loopbreak(self->base);
    if (request == nullptr || evhttp_request_get_response_code(request) == 0)
      return;
    HttpResponse answer;
    answer.status = evhttp_request_get_response_code(request);
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* item = headers->tqh_first; item != nullptr;
         item = item->next.tqe_next) {
      answer.headers[item->key] = item->value;
    }
    evbuffer* input = evhttp_request_get_input_buffer(request);
    answer.body.resize(evbuffer_get_length(input));
    evbuffer_copyout(input, answer.body.data(), answer.body.size());
    self->answer = std::move(answer);
  }

  event_base* base;
  evhttp_connection* connection;
  std::optional<HttpResponse> answer;
  bool timed_out = false;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_HTTP_CLIENT_H_
