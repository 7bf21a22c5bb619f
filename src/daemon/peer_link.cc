#include "src/daemon/peer_link.h"

#include <set>
#include <utility>

#include "src/protocol/envelope.h"
#include "src/protocol/socket_address.h"
#include "src/transport/log.h"

namespace peridot {

PeerLink::PeerLink(DaemonId self, Metrics* metrics)
    : self(std::move(self)), metrics(metrics) {}

void PeerLink::SetRegistry(const Registry& registry) {
  std::set<DaemonId> listed;
  for (const RegisteredDaemon& entry : registry.daemons) {
    const auto address = SocketAddress::Parse(entry.peer_address);
    if (entry.session.daemon == this->self || !address) {
      continue;
    }
    listed.insert(entry.session.daemon);
    this->incarnations[entry.session.daemon] = entry.session.incarnation;
    const auto added = this->socket->AddPeer(
        entry.session.daemon, {address.value().ip, address.value().port});
    if (!added) {
      LogError(LogLevel::kWarning, "peer_not_added", added.error());
    }
  }
  std::erase_if(this->incarnations, [&](const auto& entry) {
    if (listed.contains(entry.first)) {
      return false;
    }
    this->socket->RemovePeer(entry.first);
    return true;
  });
}

void PeerLink::Send(const DaemonId& to, proto::Envelope envelope) {
  if (to == this->self || !this->incarnations.contains(to)) {
    return;
  }
  const auto bytes = EncodeEnvelope(std::move(envelope), this->session, to,
                                    this->next_sequence++);
  if (!bytes) {
    LogError(LogLevel::kWarning, "peer_message_not_sent", bytes.error());
    return;
  }
  if (this->socket->Send(to, bytes.value()) == PeerSendResult::kQueueFull) {
    this->metrics->CountPeerMessageDropped(to.value);
  }
}

void PeerLink::Reconnect(const DaemonId& to) {
  if (this->incarnations.contains(to)) {
    const auto connected = this->socket->Reconnect(to);
    if (!connected) {
      LogError(LogLevel::kWarning, "peer_not_added", connected.error());
    }
  }
}

void PeerLink::OnBody(proto::Envelope::BodyCase body, Handler handler) {
  this->handlers[body] = std::move(handler);
}

void PeerLink::Deliver(std::string_view bytes) {
  const EnvelopeExpectation expected{
      .receiver = this->self, .registered = [this](const DaemonId& daemon) {
        const auto found = this->incarnations.find(daemon);
        return found == this->incarnations.end() ? std::nullopt
                                                 : std::optional(found->second);
      }};
  const auto decoded = DecodeEnvelope(bytes, expected);
  if (!decoded) {
    this->metrics->CountPeerMessageRefused(
        EnvelopeRefusalName(decoded.error()));
    return;
  }
  const proto::Envelope& envelope = decoded.value();
  const auto handler = this->handlers.find(envelope.body_case());
  if (handler != this->handlers.end()) {
    handler->second(
        {DaemonId(envelope.sender()), Incarnation(envelope.incarnation())},
        envelope);
  }
}

}  // namespace peridot
