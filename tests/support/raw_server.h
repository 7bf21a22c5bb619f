// A TCP server and a TCP client on the loopback address that send exactly the
// bytes that the test writes.
//
// Index:
//   [SECTION] RawServer
//   [SECTION] RawClient
//
// Both run on the test's event loop. Not thread-safe.

#ifndef TESTS_SUPPORT_RAW_SERVER_H_
#define TESTS_SUPPORT_RAW_SERVER_H_

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "src/transport/event_loop.h"

namespace peridot::testing {

// Timeout of every awaited condition. Long, so that the result of a test does
// not depend on the load of the machine.
inline constexpr Duration kAwaitTimeout = std::chrono::seconds(60);

inline sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

//-----------------------------------------------------------------------------
// [SECTION] RawServer
//-----------------------------------------------------------------------------

// Accepts connections and buffers the bytes that they send. Connections are
// numbered from 0 in the order of acceptance.
class RawServer {
 public:
  explicit RawServer(EventLoop* loop) : loop(loop) {
    sockaddr_in address = LoopbackAddress(0);
    this->listener = evconnlistener_new_bind(
        loop->Base(), &OnAccept, this, LEV_OPT_CLOSE_ON_FREE, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(this->listener),
                reinterpret_cast<sockaddr*>(&address), &size);
    this->bound_port = ntohs(address.sin_port);
  }
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;
  ~RawServer() {
    for (std::size_t i = 0; i < this->connections.size(); ++i) {
      this->Close(i);
    }
    evconnlistener_free(this->listener);
  }

  std::uint16_t Port() const { return this->bound_port; }
  std::size_t Accepted() const { return this->connections.size(); }

  // Returns the bytes received on connection i since the last Clear(); nothing
  // if it was not accepted or is closed.
  std::string Received(std::size_t i) const {
    if (i >= this->connections.size() || this->connections[i] == nullptr) {
      return "";
    }
    evbuffer* input = bufferevent_get_input(this->connections[i]);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, bytes.data(), bytes.size());
    return bytes;
  }
  void Clear(std::size_t i) {
    evbuffer* input = bufferevent_get_input(this->connections[i]);
    evbuffer_drain(input, evbuffer_get_length(input));
  }
  // Waits until connection i has sent a complete HTTP header section. Returns
  // false after the timeout.
  bool AwaitHeader(std::size_t i) {
    return this->loop->RunUntil(
        [&] { return this->Received(i).find("\r\n\r\n") != std::string::npos; },
        kAwaitTimeout);
  }
  void Write(std::size_t i, const std::string& bytes) {
    bufferevent_write(this->connections[i], bytes.data(), bytes.size());
  }
  void Close(std::size_t i) {
    if (this->connections[i] != nullptr) {
      bufferevent_free(this->connections[i]);
      this->connections[i] = nullptr;
    }
  }
  // Waits until the kernel has accepted all written bytes, then closes the
  // connection.
  void FlushAndClose(std::size_t i) {
    this->loop->RunUntil(
        [&] {
          return evbuffer_get_length(
                     bufferevent_get_output(this->connections[i])) == 0;
        },
        kAwaitTimeout);
    this->Close(i);
  }

 private:
  static void OnAccept(evconnlistener*,
                       evutil_socket_t socket,
                       sockaddr*,
                       int,
                       void* server) {
    auto* self = static_cast<RawServer*>(server);
    bufferevent* connection = bufferevent_socket_new(self->loop->Base(), socket,
                                                     BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(connection, EV_READ | EV_WRITE);
    self->connections.push_back(connection);
  }

  EventLoop* loop;
  evconnlistener* listener = nullptr;
  std::uint16_t bound_port = 0;
  std::vector<bufferevent*> connections;
};

//-----------------------------------------------------------------------------
// [SECTION] RawClient
//-----------------------------------------------------------------------------

// One connection that sends the test's bytes and buffers the bytes that it
// receives.
class RawClient {
 public:
  RawClient(EventLoop* loop, std::uint16_t port) {
    this->connection =
        bufferevent_socket_new(loop->Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(this->connection, nullptr, nullptr, &OnEvent, this);
    bufferevent_enable(this->connection, EV_READ | EV_WRITE);
    sockaddr_in address = LoopbackAddress(port);
    bufferevent_socket_connect(this->connection,
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
  }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;
  ~RawClient() { bufferevent_free(this->connection); }

  void Write(const std::string& bytes) {
    bufferevent_write(this->connection, bytes.data(), bytes.size());
  }
  std::string Received() const {
    evbuffer* input = bufferevent_get_input(this->connection);
    std::string bytes(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, bytes.data(), bytes.size());
    return bytes;
  }
  bool Connected() const { return this->is_connected; }
  bool Closed() const { return this->is_closed; }

 private:
  static void OnEvent(bufferevent*, short what, void* client) {
    auto* self = static_cast<RawClient*>(client);
    self->is_connected = self->is_connected || (what & BEV_EVENT_CONNECTED);
    self->is_closed =
        self->is_closed || (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR));
  }

  bufferevent* connection = nullptr;
  bool is_connected = false;
  bool is_closed = false;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_RAW_SERVER_H_
