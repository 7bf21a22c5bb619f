// A loopback TCP proxy that delays, blocks or resets connections.
//
// Index:
//   [SECTION] Proxy

#ifndef TESTS_SOAK_PROXY_H_
#define TESTS_SOAK_PROXY_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdint>
#include <memory>
#include <set>

#include "src/transport/event_loop.h"

namespace peridot::soak {

//-----------------------------------------------------------------------------
// [SECTION] Proxy
//-----------------------------------------------------------------------------

enum class ProxyMode {
  kForward,
  kBlocked,           // nothing is forwarded, connections stay open
  kResponsesBlocked,  // requests are forwarded, responses are not
  kDelayed,           // responses are delayed
};

// Forwards connections to one port of the loopback address. Not thread-safe.
// The loop must outlive the proxy.
class Proxy {
 public:
  // Delay of responses in mode kDelayed.
  static constexpr auto kResponseDelay = std::chrono::milliseconds(250);

  Proxy(EventLoop* loop, std::uint16_t target) : loop(loop), target(target) {
    sockaddr_in address = Loopback(0);
    this->listener = evconnlistener_new_bind(
        loop->Base(), &Proxy::OnAccept, this,
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, -1,
        reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }
  ~Proxy() {
    this->Reset();
    evconnlistener_free(this->listener);
  }
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  std::uint16_t Port() const {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(this->listener),
                reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
  }

  // Sets the port to which later connections are forwarded.
  void SetTarget(std::uint16_t port) { this->target = port; }

  // Buffered bytes are forwarded as soon as the mode allows it.
  void SetMode(ProxyMode new_mode) {
    this->mode = new_mode;
    const std::set<Connection*> open = this->connections;
    for (Connection* connection : open) {
      Forward(connection, true);
      Forward(connection, false);
    }
  }

  // Resets all connections.
  void Reset() {
    while (!this->connections.empty()) {
      Close(*this->connections.begin());
    }
  }

 private:
  struct Connection {
    Proxy* proxy = nullptr;
    bufferevent* caller = nullptr;
    bufferevent* server = nullptr;
  };

  static sockaddr_in Loopback(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
  }

  static void OnAccept(evconnlistener*,
                       evutil_socket_t descriptor,
                       sockaddr*,
                       int,
                       void* self) {
    auto* proxy = static_cast<Proxy*>(self);
    auto* connection = new Connection{proxy};
    connection->caller = bufferevent_socket_new(proxy->loop->Base(), descriptor,
                                                BEV_OPT_CLOSE_ON_FREE);
    connection->server =
        bufferevent_socket_new(proxy->loop->Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    proxy->connections.insert(connection);
    sockaddr_in address = Loopback(proxy->target);
    bufferevent_setcb(connection->caller, &Proxy::OnRequestBytes, nullptr,
                      &Proxy::OnEnd, connection);
    bufferevent_setcb(connection->server, &Proxy::OnResponseBytes, nullptr,
                      &Proxy::OnEnd, connection);
    bufferevent_enable(connection->caller, EV_READ | EV_WRITE);
    bufferevent_enable(connection->server, EV_READ | EV_WRITE);
    bufferevent_socket_connect(connection->server,
                               reinterpret_cast<sockaddr*>(&address),
                               sizeof(address));
  }

  static void OnRequestBytes(bufferevent*, void* connection) {
    Forward(static_cast<Connection*>(connection), true);
  }
  static void OnResponseBytes(bufferevent*, void* connection) {
    Forward(static_cast<Connection*>(connection), false);
  }

  static void Forward(Connection* connection, bool request) {
    Proxy* const proxy = connection->proxy;
    bufferevent* const from = request ? connection->caller : connection->server;
    bufferevent* const to = request ? connection->server : connection->caller;
    const ProxyMode mode = proxy->mode;
    if (mode == ProxyMode::kBlocked ||
        (!request && mode == ProxyMode::kResponsesBlocked)) {
      return;  // the bytes stay in the buffer
    }
    if (!request && mode == ProxyMode::kDelayed) {
      proxy->loop->After(kResponseDelay, [proxy, connection] {
        if (proxy->connections.contains(connection)) {
          bufferevent_write_buffer(connection->caller,
                                   bufferevent_get_input(connection->server));
        }
      });
      return;
    }
    bufferevent_write_buffer(to, bufferevent_get_input(from));
  }

  static void OnEnd(bufferevent*, short events, void* connection) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      Close(static_cast<Connection*>(connection));
    }
  }

  // Closes the connection with a reset on both sides.
  static void Close(Connection* connection) {
    connection->proxy->connections.erase(connection);
    const linger reset{1, 0};
    for (bufferevent* const side : {connection->caller, connection->server}) {
      setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
      bufferevent_free(side);
    }
    delete connection;
  }

  EventLoop* loop;
  std::uint16_t target;
  evconnlistener* listener = nullptr;
  ProxyMode mode = ProxyMode::kForward;
  std::set<Connection*> connections;
};

}  // namespace peridot::soak

#endif  // TESTS_SOAK_PROXY_H_
