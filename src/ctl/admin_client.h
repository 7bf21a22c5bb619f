// Blocking HTTP client of peridotctl.
//
// Index:
//   [SECTION] Messages
//   [SECTION] Server concept
//   [SECTION] Trying several servers
//   [SECTION] Client
//
// The error code shows whether the request may have taken effect: kUnavailable
// means that no connection was established, so nothing was sent;
// kUnknownOutcome means that a connection was established but no complete
// response arrived.

#ifndef SRC_CTL_ADMIN_CLIENT_H_
#define SRC_CTL_ADMIN_CLIENT_H_

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/protocol/socket_address.h"
#include "src/state/clock.h"
#include "src/state/error.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

enum class HttpMethod { kGet, kPut, kPost, kDelete };

using HttpHeaders = std::vector<std::pair<std::string, std::string>>;

struct HttpRequest {
  HttpMethod method = HttpMethod::kGet;
  std::string path;  // including the query
  HttpHeaders headers;
  std::string body;

  // Whether the request changes nothing, so that losing its response is
  // harmless.
  bool IsRead() const { return this->method == HttpMethod::kGet; }
};

struct HttpReply {
  int status = 0;       // as in 404
  HttpHeaders headers;  // names in lower case
  std::string body;

  bool IsSuccess() const { return this->status / 100 == 2; }
  // Returns the value of a header, or an empty text. `name` is in lower case.
  std::string_view Header(std::string_view name) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Server concept
//-----------------------------------------------------------------------------

// Sends one request to one address and waits for the response. Send() may be
// called from several threads.
template <typename S>
concept AdminServer = requires(const S& server,
                               const SocketAddress& address,
                               const HttpRequest& request) {
  { server.Send(address, request) } -> std::same_as<Result<HttpReply>>;
};

//-----------------------------------------------------------------------------
// [SECTION] Trying several servers
//-----------------------------------------------------------------------------

// Sends the request to the first address that accepts a connection. A request
// that may have been sent is never repeated. Fails with kUnavailable if there
// is no address.
template <AdminServer S>
Result<HttpReply> SendToFirst(const S& server,
                              const std::vector<SocketAddress>& addresses,
                              const HttpRequest& request) {
  Result<HttpReply> reply =
      MakeError(ErrorCode::kUnavailable, "connect", "server",
                "expected at least one server address");
  for (const SocketAddress& address : addresses) {
    reply = server.Send(address, request);
    if (reply.has_value() || reply.error().code != ErrorCode::kUnavailable) {
      break;
    }
  }
  return reply;
}

//-----------------------------------------------------------------------------
// [SECTION] Client
//-----------------------------------------------------------------------------

// A larger response fails with kUnknownOutcome.
inline constexpr std::size_t kMaxReplyBytes = 64UL * 1024UL * 1024UL;

// Opens one connection per request. Thread-safe.
class EvhttpClient {
 public:
  // `timeout` bounds the whole request, from connecting to the last byte of the
  // response. It must be positive.
  explicit EvhttpClient(Duration timeout) : request_timeout(timeout) {}

  Result<HttpReply> Send(const SocketAddress& address,
                         const HttpRequest& request) const;

 private:
  Duration request_timeout;  // of one whole request
};

}  // namespace peridot::ctl

#endif  // SRC_CTL_ADMIN_CLIENT_H_
