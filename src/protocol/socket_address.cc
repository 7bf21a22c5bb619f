#include "src/protocol/socket_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

#include <charconv>

namespace peridot {
namespace {

bool IsIpNumber(const std::string& ip, int family) {
  in6_addr address{};
  return inet_pton(family, ip.c_str(), &address) == 1;
}

}  // namespace

Result<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const Error error =
      MakeError(ErrorCode::kMalformed, "parse", "address",
                std::string("expected ") + kExpectedSocketAddress);
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return error;
  }
  SocketAddress address;
  const std::string_view port = text.substr(colon + 1);
  const char* end = port.data() + port.size();
  const auto [stop, code] = std::from_chars(port.data(), end, address.port);
  if (code != std::errc() || stop != end || address.port == 0) {
    return error;
  }
  std::string_view host = text.substr(0, colon);
  const bool in_brackets =
      host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (in_brackets) {
    host = host.substr(1, host.size() - 2);
  }
  address.ip = host;
  if (address.ip.find('\0') != std::string::npos ||
      !IsIpNumber(address.ip, in_brackets ? AF_INET6 : AF_INET)) {
    return error;
  }
  return address;
}

std::string SocketAddress::Text() const {
  const std::string port_text = std::to_string(this->port);
  if (this->ip.find(':') == std::string::npos) {
    return this->ip + ":" + port_text;
  }
  return std::string("[") + this->ip + "]:" + port_text;
}

}  // namespace peridot
