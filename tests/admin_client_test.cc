// Tests of peridotctl's HTTP client against servers that refuse connections,
// do not respond, or send truncated or malformed responses.

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include "src/ctl/admin_client.h"

namespace peridot::ctl {
namespace {

// Accepts one connection on a loopback port, reads a request, sends a text and
// closes the connection, immediately or, if `silent`, when the test ends.
class OneShotServer {
 public:
  OneShotServer(std::string text, bool silent)
      : listener(socket(AF_INET, SOCK_STREAM, 0)),
        answer(std::move(text)),
        is_silent(silent) {
    sockaddr_in local{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(local);
    auto* address = reinterpret_cast<sockaddr*>(&local);
    REQUIRE(bind(this->listener, address, size) == 0);
    REQUIRE(getsockname(this->listener, address, &size) == 0);
    REQUIRE(listen(this->listener, 1) == 0);
    this->port = ntohs(local.sin_port);
    this->thread = std::jthread([this] { this->Serve(); });
  }

  ~OneShotServer() {
    this->Stop();
    close(this->listener);
    if (this->open_connection >= 0) {
      close(this->open_connection);
    }
  }

  SocketAddress Address() const { return {"127.0.0.1", this->port}; }
  // Stops accepting connections and returns the bytes received so far.
  const std::string& Request() {
    this->Stop();
    return this->request;
  }

 private:
  void Stop() {
    if (this->thread.joinable()) {
      shutdown(this->listener, SHUT_RDWR);
      this->thread.join();
    }
  }

  void Serve() {
    const int peer = accept(this->listener, nullptr, nullptr);
    if (peer < 0) {
      return;
    }
    std::array<char, 4096> buffer{};
    const ssize_t size = recv(peer, buffer.data(), buffer.size(), 0);
    this->request.assign(buffer.data(), size > 0 ? size : 0);
    send(peer, this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
    if (this->is_silent) {
      this->open_connection = peer;
    } else {
      close(peer);
    }
  }

  int listener;
  std::string answer;
  bool is_silent;
  int open_connection = -1;  // socket of the connection left open; -1: none
  std::uint16_t port = 0;    // assigned by the kernel
  std::string request;       // written by `thread`
  std::jthread thread;
};

// Returns an address on which nothing listens: its port was bound and closed
// again.
SocketAddress UnusedAddress() {
  return OneShotServer("", false).Address();
}

// The timeout is long enough that a busy machine does not fail a test.
const EvhttpClient kLongTimeoutClient(std::chrono::seconds(30));

const HttpRequest kPut = {HttpMethod::kPut,
                          "/v1/admin/settings",
                          {{"If-Match", "4"}},
                          "a: b\n"};

Result<HttpReply> SendTo(const OneShotServer& server) {
  return kLongTimeoutClient.Send(server.Address(), kPut);
}

TEST_CASE("a complete response is returned with its headers", "[ctl]") {
  OneShotServer server(
      "HTTP/1.1 409 Conflict\r\nPeridot-Revision: 7\r\n"
      "Content-Length: 4\r\n\r\nbody",
      false);
  const HttpReply reply = SendTo(server).value();
  REQUIRE(reply.status == 409);
  REQUIRE(reply.Header("peridot-revision") == "7");
  REQUIRE(reply.body == "body");
  REQUIRE(server.Request().starts_with("PUT /v1/admin/settings HTTP/1.1\r\n"));
  REQUIRE(server.Request().find("If-Match: 4\r\n") != std::string::npos);
  REQUIRE(server.Request().ends_with("\r\n\r\na: b\n"));
}

TEST_CASE("only a failed connection is reported as not sent", "[ctl]") {
  // Guards against a lost response that is reported as "not executed": the
  // operator would repeat a request that may have taken effect.
  REQUIRE(kLongTimeoutClient.Send(UnusedAddress(), kPut).error().code ==
          ErrorCode::kUnavailable);
  const OneShotServer closing("", false);
  REQUIRE(SendTo(closing).error().code == ErrorCode::kUnknownOutcome);
  const OneShotServer silent("", true);
  const EvhttpClient short_timeout_client(std::chrono::milliseconds(300));
  REQUIRE(short_timeout_client.Send(silent.Address(), kPut).error().code ==
          ErrorCode::kUnknownOutcome);
  const OneShotServer truncating(
      "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nbody", false);
  REQUIRE(SendTo(truncating).error().code == ErrorCode::kUnknownOutcome);
  const OneShotServer malformed("no HTTP at all\r\n\r\n", false);
  REQUIRE(SendTo(malformed).error().code == ErrorCode::kUnknownOutcome);
}

TEST_CASE("the next server is tried only if nothing was sent", "[ctl]") {
  // Guards against sending a request to a second server when the first one may
  // have executed it.
  const OneShotServer good("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                           false);
  REQUIRE(
      SendToFirst(kLongTimeoutClient, {UnusedAddress(), good.Address()}, kPut)
          .value()
          .status == 200);
  const OneShotServer closing("", false);
  OneShotServer untouched("", false);
  REQUIRE(SendToFirst(kLongTimeoutClient,
                      {closing.Address(), untouched.Address()}, kPut)
              .error()
              .code == ErrorCode::kUnknownOutcome);
  REQUIRE(untouched.Request().empty());
  REQUIRE(SendToFirst(kLongTimeoutClient, {}, kPut).error().code ==
          ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace peridot::ctl
