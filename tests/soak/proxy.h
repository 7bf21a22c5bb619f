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
  kPass,
  kSilent,       // nothing is forwarded, connections stay open
  kAnswersLost,  // requests are forwarded, responses are not
  kSlow,         // responses are delayed
};

// Forwards connections to one port of the loopback address. Not thread-safe.
// The loop must outlive the proxy.
class Proxy {
 public:
  // Delay of responses in mode kDelayed.
  static constexpr auto kDelay = std::chrono::milliseconds(250);

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

  // Buffered bytes are forwarded as soon as the mode allows it.
  void SetMode(ProxyMode new_mode) {
    this->mode = new_mode;
    const std::set<Link*> open = this->links;
    for (Link* link : open) {
      Pump(link, true);
      Pump(link, false);
    }
  }

  // Resets all connections.
  void Reset() {
    while (!this->links.empty()) {
      Close(*this->links.begin());
    }
  }

 private:
  struct Link {
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
    auto* link = new Link{proxy};
    link->caller = bufferevent_socket_new(proxy->loop->Base(), descriptor,
                                          BEV_OPT_CLOSE_ON_FREE);
    link->server =
        bufferevent_socket_new(proxy->loop->Base(), -1, BEV_OPT_CLOSE_ON_FREE);
    proxy->links.insert(link);
    sockaddr_in address = Loopback(proxy->target);
    bufferevent_setcb(link->caller, &Proxy::OnRequestBytes, nullptr,
                      &Proxy::OnEnd, link);
    bufferevent_setcb(link->server, &Proxy::OnAnswerBytes, nullptr,
                      &Proxy::OnEnd, link);
    bufferevent_enable(link->caller, EV_READ | EV_WRITE);
    bufferevent_enable(link->server, EV_READ | EV_WRITE);
    bufferevent_socket_connect(
        link->server, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  }

  static void OnRequestBytes(bufferevent*, void* link) {
    Pump(static_cast<Link*>(link), true);
  }
  static void OnAnswerBytes(bufferevent*, void* link) {
    Pump(static_cast<Link*>(link), false);
  }

  static void Pump(Link* link, bool request) {
    Proxy* const proxy = link->proxy;
    bufferevent* const from = request ? link->caller : link->server;
    bufferevent* const to = request ? link->server : link->caller;
    const ProxyMode mode = proxy->mode;
    if (mode == ProxyMode::kSilent ||
        (!request && mode == ProxyMode::kAnswersLost)) {
      return;  // the bytes stay in the buffer
    }
    if (!request && mode == ProxyMode::kSlow) {
      proxy->loop->After(kDelay, [proxy, link] {
        if (proxy->links.contains(link)) {
          bufferevent_write_buffer(link->caller,
                                   bufferevent_get_input(link->server));
        }
      });
      return;
    }
    bufferevent_write_buffer(to, bufferevent_get_input(from));
  }

  static void OnEnd(bufferevent*, short events, void* link) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
      Close(static_cast<Link*>(link));
    }
  }

  // Closes the connection with a reset on both sides.
  static void Close(Link* link) {
    link->proxy->links.erase(link);
    const linger reset{1, 0};
    for (bufferevent* const side : {link->caller, link->server}) {
      setsockopt(bufferevent_getfd(side), SOL_SOCKET, SO_LINGER, &reset,
                 sizeof(reset));
      bufferevent_free(side);
    }
    delete link;
  }

  EventLoop* loop;
  std::uint16_t target;
  evconnlistener* listener = nullptr;
  ProxyMode mode = ProxyMode::kPass;
  std::set<Link*> links;
};

}  // namespace peridot::soak

#endif  // TESTS_SOAK_PROXY_H_
