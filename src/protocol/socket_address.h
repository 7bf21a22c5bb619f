// A TCP address: an IP address and a port.
//
// Index:
//   [SECTION] Address

#ifndef SRC_PROTOCOL_SOCKET_ADDRESS_H_
#define SRC_PROTOCOL_SOCKET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Address
//-----------------------------------------------------------------------------

struct SocketAddress {
  std::string ip;          // "127.0.0.1" or "::1"
  std::uint16_t port = 0;  // 1..65535 after Parse()

  // Parses "127.0.0.1:80" or "[::1]:80". Host names are rejected, so that the
  // start of a daemon never waits for name resolution.
  static Result<SocketAddress> Parse(std::string_view text);

  // Formats the address as Parse() reads it.
  std::string Text() const;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

// The format that Parse() expects, for error messages.
inline constexpr const char* kExpectedSocketAddress =
    "an IP number and a port, as in 127.0.0.1:7000 or [::1]:7000";

}  // namespace peridot

#endif  // SRC_PROTOCOL_SOCKET_ADDRESS_H_
