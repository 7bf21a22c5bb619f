// HTTP requests and responses, shared by the protocol and transport layers.
//
// Index:
//   [SECTION] Headers
//   [SECTION] Messages
//   [SECTION] Functions

#ifndef SRC_PROTOCOL_HTTP_HEADERS_H_
#define SRC_PROTOCOL_HTTP_HEADERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Headers
//-----------------------------------------------------------------------------

struct HttpHeader {
  std::string name;  // case-insensitive
  std::string value;
};

// In message order. A name may occur more than once.
using HttpHeaders = std::vector<HttpHeader>;

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

enum class HttpMethod { kGet, kHead, kPost, kPut, kDelete };

// A request to a peer. Host, Content-Length and Connection are set by the
// transport.
struct HttpCall {
  HttpMethod method = HttpMethod::kGet;
  std::string path{};  // includes the query
  HttpHeaders headers{};
  std::string body{};
};

// A response. Content-Length and Connection are set by the transport.
struct HttpResponse {
  int status = 200;
  HttpHeaders headers{};
  std::string body{};
};

//-----------------------------------------------------------------------------
// [SECTION] Functions
//-----------------------------------------------------------------------------

// Compares two header names, ignoring the case of ASCII letters.
bool EqualHeaderNames(std::string_view a, std::string_view b);

// Returns the number of headers with this name.
int CountHeaders(const HttpHeaders& headers, std::string_view name);

// Returns the value if exactly one header has this name. Returns none for a
// repeated name, because it is ambiguous which of its values applies.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

}  // namespace peridot

#endif  // SRC_PROTOCOL_HTTP_HEADERS_H_
