// A TCP address: an IP number and a port.
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
  std::string ip;          // default: empty; "127.0.0.1" or "::1"
  std::uint16_t port = 0;  // default: 0; 1..65535 after Parse()

  // Reads "127.0.0.1:80" or "[::1]:80". Names are refused, so that no start
  // waits for a name service.
  static Result<SocketAddress> Parse(std::string_view text);

  // Writes the address as Parse() reads it.
  std::string Text() const;

  friend bool operator==(const SocketAddress&, const SocketAddress&) = default;
};

// What Parse() expects, for messages.
inline constexpr const char* kExpectedSocketAddress =
    "an IP number and a port, as in 127.0.0.1:7000 or [::1]:7000";

}  // namespace peridot

#endif  // SRC_PROTOCOL_SOCKET_ADDRESS_H_
