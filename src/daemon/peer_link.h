// Sends messages to other daemons and dispatches received ones by body type.
//
// Index:
//   [SECTION] PeerLink

#ifndef SRC_DAEMON_PEER_LINK_H_
#define SRC_DAEMON_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "src/coordination/registry.h"
#include "src/protocol/generated/peer.pb.h"
#include "src/state/ids.h"
#include "src/transport/metrics.h"
#include "src/transport/peer_socket.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] PeerLink
//-----------------------------------------------------------------------------

// Fills in and checks the envelope's header: sender, incarnation, receiver. Not
// thread-safe: use it on the event loop's thread only.
class PeerLink {
 public:
  using Handler =
      std::function<void(const SessionId& from, const proto::Envelope&)>;

  PeerLink(DaemonId self, Metrics* metrics);

  // Must be called before any other member. The socket must outlive the link.
  void SetSocket(PeerSocket* peer_socket) { this->socket = peer_socket; }

  // Sets the session that this daemon's messages carry from now on.
  void SetSession(const SessionId& session) { this->session = session; }

  // Sets the registered daemons and their addresses. Messages from other
  // senders are refused and counted.
  void SetRegistry(const Registry& registry);

  // Sends the envelope's body to the daemon. A message to an unregistered
  // daemon is dropped.
  void Send(const DaemonId& to, proto::Envelope envelope);

  // Registers the handler that is called for each message with this body.
  void OnBody(proto::Envelope::BodyCase body, Handler handler);

  // Replaces the connection to the daemon, which may have stopped responding.
  void Reconnect(const DaemonId& to);

  // Checks a received message and calls its handler. Invalid messages are
  // counted and dropped.
  void Deliver(std::string_view bytes);

 private:
  PeerSocket* socket = nullptr;
  DaemonId self;
  Metrics* metrics;
  SessionId session;
  std::uint64_t next_sequence = 1;
  std::map<DaemonId, Incarnation> incarnations;  // of registered daemons
  std::map<proto::Envelope::BodyCase, Handler> handlers;
};

}  // namespace peridot

#endif  // SRC_DAEMON_PEER_LINK_H_
