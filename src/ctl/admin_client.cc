#include "src/ctl/admin_client.h"

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <chrono>
#include <memory>

namespace peridot::ctl {
namespace {

constexpr std::size_t kMaxReplyHeaderBytes = 64UL * 1024UL;

struct BaseFree {
  void operator()(event_base* base) const { event_base_free(base); }
};
struct ConnectionFree {
  void operator()(evhttp_connection* connection) const {
    evhttp_connection_free(connection);
  }
};

// The result of one request.
struct Exchange {
  enum class State {
    kNoResponse,        // no response in time, or the connection was lost
    kNotConnected,      // no connection was established
    kCompleteResponse,  // a complete response
  };

  event_base* base = nullptr;  // loop to leave when the request ends
  State state = State::kNoResponse;
  bool failed_after_connect =
      false;  // failed after the connection was established
  HttpReply reply;
};

std::string ToLower(std::string text) {
  std::ranges::transform(text, text.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return text;
}

void CopyReply(evhttp_request* request, HttpReply& reply) {
  reply.status = evhttp_request_get_response_code(request);
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr;
       header = header->next.tqe_next) {
    reply.headers.emplace_back(ToLower(header->key), header->value);
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  reply.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, reply.body.data(), reply.body.size());
}

void OnError(evhttp_request_error /*error*/, void* argument) {
  static_cast<Exchange*>(argument)->failed_after_connect = true;
}

// libevent passes no request if the exchange failed after the connection was
// established, and a request without a status if the connection could not be
// established. It writes nothing before the connection is established.
void OnExchangeEnd(evhttp_request* request, void* argument) {
  auto* exchange = static_cast<Exchange*>(argument);
  if (request != nullptr && evhttp_request_get_response_code(request) != 0) {
    CopyReply(request, exchange->reply);
    exchange->state = Exchange::State::kCompleteResponse;
  } else if (request != nullptr && !exchange->failed_after_connect) {
    exchange->state = Exchange::State::kNotConnected;
  }
  event_base_loopbreak(exchange->base);
}

evhttp_cmd_type CommandOf(HttpMethod method) {
  switch (method) {
    case HttpMethod::kGet:
      return EVHTTP_REQ_GET;
    case HttpMethod::kPut:
      return EVHTTP_REQ_PUT;
    case HttpMethod::kPost:
      return EVHTTP_REQ_POST;
    case HttpMethod::kDelete:
      return EVHTTP_REQ_DELETE;
  }
  return EVHTTP_REQ_GET;
}

timeval ToTimeval(Duration duration) {
  const auto micros =
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  return {static_cast<time_t>(micros / 1'000'000),
          static_cast<suseconds_t>(micros % 1'000'000)};
}

// Returns a complete request, or null if memory is exhausted. The connection
// that sends the request takes ownership of it.
evhttp_request* NewRequest(const SocketAddress& address,
                           const HttpRequest& request,
                           Exchange& exchange) {
  evhttp_request* raw = evhttp_request_new(OnExchangeEnd, &exchange);
  if (raw == nullptr) {
    return nullptr;
  }
  evhttp_request_set_error_cb(raw, OnError);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw);
  evhttp_add_header(headers, "Host", address.Text().c_str());
  evhttp_add_header(headers, "Connection", "close");
  for (const auto& [name, value] : request.headers) {
    evhttp_add_header(headers, name.c_str(), value.c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(raw), request.body.data(),
               request.body.size());
  return raw;
}

}  // namespace

std::string_view HttpReply::Header(std::string_view name) const {
  for (const auto& [key, value] : this->headers) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

Result<HttpReply> EvhttpClient::Send(const SocketAddress& address,
                                     const HttpRequest& request) const {
  const std::string peer = address.Text();
  const std::unique_ptr<event_base, BaseFree> base(event_base_new());
  if (base == nullptr) {
    return MakeError(ErrorCode::kUnavailable, "connect", peer,
                     "cannot create an event loop");
  }
  Exchange exchange;
  exchange.base = base.get();
  const std::unique_ptr<evhttp_connection, ConnectionFree> connection(
      evhttp_connection_base_new(base.get(), nullptr, address.ip.c_str(),
                                 address.port));
  evhttp_request* raw =
      connection == nullptr ? nullptr : NewRequest(address, request, exchange);
  if (raw == nullptr) {
    return MakeError(ErrorCode::kUnavailable, "connect", peer, "out of memory");
  }
  const timeval timeout = ToTimeval(this->request_timeout);
  evhttp_connection_set_timeout_tv(connection.get(), &timeout);
  evhttp_connection_set_max_body_size(connection.get(), kMaxReplyBytes);
  evhttp_connection_set_max_headers_size(connection.get(),
                                         kMaxReplyHeaderBytes);
  if (evhttp_make_request(connection.get(), raw, CommandOf(request.method),
                          request.path.c_str()) != 0) {
    return MakeError(ErrorCode::kUnavailable, "connect", peer,
                     "cannot connect");
  }
  // The connection's timeout restarts with each byte; this one bounds the whole
  // request.
  event_base_loopexit(base.get(), &timeout);
  event_base_dispatch(base.get());
  if (exchange.state == Exchange::State::kNotConnected) {
    return MakeError(ErrorCode::kUnavailable, "connect", peer,
                     "cannot connect");
  }
  if (exchange.state == Exchange::State::kNoResponse) {
    return MakeError(
        ErrorCode::kUnknownOutcome, "read", peer,
        "no complete response before the timeout or the loss of the "
        "connection");
  }
  return std::move(exchange.reply);
}

}  // namespace peridot::ctl
