// Messages to and from other daemons, by session.
//
// Index:
//   [SECTION] PeerLink

#ifndef SRC_DAEMON_PEER_LINK_H_
#define SRC_DAEMON_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "src/coordination/registry.h"
#include "src/protocol/generated/peer.pb.h"
#include "src/state/ids.h"
#include "src/transport/peer_socket.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] PeerLink
//-----------------------------------------------------------------------------

// Fills and checks the envelope's header: sender, incarnation, receiver. Not
// thread-safe: lives on the loop's thread.
class PeerLink {
 public:
  using Handler =
      std::function<void(const SessionId& from, const proto::Envelope&)>;

  PeerLink(PeerSocket* socket, DaemonId self);

  // The session under which this daemon sends from now on.
  void SetSession(const SessionId& session) { this->session = session; }

  // Where the daemons are. A message from a session that is not listed is still
  // delivered: the modules decide what it is worth.
  void SetRegistry(const Registry& registry);

  // Sends the body to the daemon. A message to an unknown daemon is dropped.
  void Send(const DaemonId& to, proto::Envelope envelope);

  // Calls the handler for each message with this body.
  void OnBody(proto::Envelope::BodyCase body, Handler handler);

  // A message arrived that passed the envelope's checks.
  void Deliver(const proto::Envelope& envelope);

 private:
  PeerSocket* socket;
  DaemonId self;
  SessionId session;
  std::uint64_t next_sequence = 1;
  std::map<proto::Envelope::BodyCase, Handler> handlers;
};

}  // namespace peridot

#endif  // SRC_DAEMON_PEER_LINK_H_
