// Plain HTTP messages, shared by the protocol and transport layers.
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
  std::string name;   // default: empty; compared without regard to case
  std::string value;  // default: empty
};

// In the order of the message. A name can occur more than once.
using HttpHeaders = std::vector<HttpHeader>;

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

enum class HttpMethod { kGet, kHead, kPost, kPut, kDelete };

// What to ask of a peer. Host, Content-Length and Connection are set by the
// transport.
struct HttpCall {
  HttpMethod method = HttpMethod::kGet;  // default: kGet
  std::string path{};                    // default: empty; with the query
  HttpHeaders headers{};                 // default: none
  std::string body{};                    // default: empty
};

// What to answer. Content-Length and Connection are set by the transport.
struct HttpAnswer {
  int status = 200;       // default: 200
  HttpHeaders headers{};  // default: none
  std::string body{};     // default: empty
};

//-----------------------------------------------------------------------------
// [SECTION] Functions
//-----------------------------------------------------------------------------

// Compares two header names, ignoring the case of ASCII letters.
bool EqualHeaderNames(std::string_view a, std::string_view b);

// Returns the number of headers with this name.
int CountHeaders(const HttpHeaders& headers, std::string_view name);

// Returns the value if exactly one header has this name. A name that occurs
// twice has no value: which of the two the peer meant cannot be known.
std::optional<std::string_view> FindHeader(const HttpHeaders& headers,
                                           std::string_view name);

}  // namespace peridot

#endif  // SRC_PROTOCOL_HTTP_HEADERS_H_
