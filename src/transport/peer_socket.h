// Transport of messages between daemons: one ZeroMQ ROUTER to receive and one
// DEALER per peer to send, both driven by the event loop.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Results
//   [SECTION] PeerSocket
//
// Delivery is not guaranteed: a message is lost when a queue is full or a
// connection closes, and messages queued for a peer that is down arrive late.
// The protocol on top must tolerate both. The socket does not authenticate the
// sender; the only information about it is in the message itself.

#ifndef SRC_TRANSPORT_PEER_SOCKET_H_
#define SRC_TRANSPORT_PEER_SOCKET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct PeerSocketOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: any free port
  // Limit of a message between daemons.
  std::size_t max_message_bytes = 64 << 10;
  // Maximum number of queued messages per peer. A full queue means that the
  // peer is down or far behind; newer messages supersede the older ones.
  int send_queue_capacity = 256;
  // Maximum number of queued messages per connected sender.
  int receive_queue_capacity = 1024;
  // How long unsent messages are still sent after a peer was removed or the
  // socket was destroyed. The destructor blocks for this time.
  Duration linger{};  // 0: unsent messages are dropped
};

// A received message up to this multiple of max_message_bytes is refused and
// counted; for a larger one, the connection is closed without reading it.
inline constexpr std::size_t kReceiveLimitFactor = 4;

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

enum class PeerSendResult {
  kQueued,       // passed to ZeroMQ
  kQueueFull,    // dropped and counted: the peer's queue is full
  kUnknownPeer,  // not added, or removed
  kTooLarge,     // exceeds max_message_bytes
};

enum class PeerReceiveFault {
  kTooLarge,   // exceeds max_message_bytes
  kBadFrames,  // not one frame after the sender's routing id
};

// Returns a stable lower-case name, as in "bad_frames".
const char* PeerReceiveFaultName(PeerReceiveFault fault);

struct PeerSocketCounts {
  std::uint64_t sent = 0;      // queued
  std::uint64_t dropped = 0;   // queue was full
  std::uint64_t received = 0;  // passed to the callback
  std::uint64_t refused = 0;   // see PeerReceiveFault
};

//-----------------------------------------------------------------------------
// [SECTION] PeerSocket
//-----------------------------------------------------------------------------

// Not thread-safe: must be used on the loop's thread only. The loop must
// outlive it.
class PeerSocket {
 public:
  // `bytes` is valid during the call only.
  using MessageCallback = std::function<void(std::string_view bytes)>;
  using FaultCallback = std::function<void(PeerReceiveFault fault)>;

  // Binds the ROUTER. The callbacks are called from the loop; they may use all
  // members and destroy the socket. Fails if the address is in use or invalid.
  static Result<std::unique_ptr<PeerSocket>> Create(EventLoop* loop,
                                                    PeerSocketOptions options,
                                                    MessageCallback on_message,
                                                    FaultCallback on_fault);

  PeerSocket(const PeerSocket&) = delete;
  PeerSocket& operator=(const PeerSocket&) = delete;
  ~PeerSocket();

  // Starts to connect to the peer, or reconnects if its address has changed.
  Result<void> AddPeer(const DaemonId& peer, const HttpPeer& address);
  void RemovePeer(const DaemonId& peer);

  // Replaces the connection with a new one and drops the messages queued for
  // the peer. For use after missed probes, because a connection whose peer
  // stopped responding still appears healthy.
  Result<void> Reconnect(const DaemonId& peer);

  PeerSendResult Send(const DaemonId& peer, std::string_view bytes);

  std::uint16_t Port() const;
  PeerSocketCounts Counts() const;
  std::size_t PeerCount() const;

 private:
  class Core;  // peer_socket.cc

  explicit PeerSocket(std::shared_ptr<Core> core);

  std::shared_ptr<Core> core;
};

}  // namespace peridot

#endif  // SRC_TRANSPORT_PEER_SOCKET_H_
