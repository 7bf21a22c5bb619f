// A blocking HTTP client for the operators' tool.
//
// Index:
//   [SECTION] Messages
//   [SECTION] Server concept
//   [SECTION] Trying several servers
//   [SECTION] Client
//
// Errors tell whether the request can have taken effect: kUnavailable means
// that no connection was made, so that nothing was sent; kUnknownOutcome means
// that a connection was made and no complete answer came.

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
  HttpMethod method = HttpMethod::kGet;  // default: kGet
  std::string path;                      // default: empty; with query
  HttpHeaders headers;                   // default: none
  std::string body;                      // default: empty

  // Whether the request changes nothing, so that a lost answer does no harm.
  bool IsRead() const { return this->method == HttpMethod::kGet; }
};

struct HttpReply {
  int status = 0;       // default: 0; 200, 404, ...
  HttpHeaders headers;  // default: none; names in lower case
  std::string body;     // default: empty

  bool IsSuccess() const { return this->status / 100 == 2; }
  // Returns the value of a header, named in lower case, or an empty text.
  std::string_view Header(std::string_view name) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Server concept
//-----------------------------------------------------------------------------

// Sends one request to one address and waits for the answer. Send() may be
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
// that may have been sent is never sent again.
template <AdminServer S>
Result<HttpReply> SendToFirst(const S& server,
                              const std::vector<SocketAddress>& addresses,
                              const HttpRequest& request) {
  Result<HttpReply> reply = MakeError(ErrorCode::kUnavailable, "connect",
                                      "server", "no server is given");
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

// Larger answers are given up as kUnknownOutcome.
inline constexpr std::size_t kMaxReplyBytes = 64UL * 1024UL * 1024UL;

// Opens one connection for each request. Thread-safe.
class EvhttpClient {
 public:
  // `timeout` bounds the whole request; it must be positive.
  explicit EvhttpClient(Duration timeout) : limit(timeout) {}

  Result<HttpReply> Send(const SocketAddress& address,
                         const HttpRequest& request) const;

 private:
  Duration limit;  // of one request
};

}  // namespace peridot::ctl

#endif  // SRC_CTL_ADMIN_CLIENT_H_
