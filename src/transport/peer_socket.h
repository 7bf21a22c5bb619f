// Messages between daemons: one ZeroMQ ROUTER to receive, one DEALER per peer
// to send, both driven by the event loop.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Results
//   [SECTION] PeerSocket
//
// Delivery is not assured: a message is lost when a queue is full or a
// connection ends, and messages that wait for a peer that is down arrive late.
// The protocol above has to tolerate both. Nothing is known about who sent a
// message but what the message itself says.

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
  std::string address = "127.0.0.1";  // default: loopback
  std::uint16_t port = 0;             // default: 0, any free port
  // Section 14.2 of the design page: at most 64 KiB.
  std::size_t max_message = 64 << 10;  // default: 64 KiB
  // Per peer. A queue that fills means a peer that is down or far behind, for
  // which newer messages replace older ones in meaning.
  int send_queue = 256;  // default: 256 messages
  // Per connected sender.
  int receive_queue = 1024;  // default: 1024 messages
  // Time given to unsent messages when a peer is removed or the socket is
  // destroyed. The destructor waits for it.
  Duration linger{};  // default: 0; unsent messages are dropped
};

// A received message up to this multiple of max_message is refused and counted;
// a larger one ends its connection without being read.
inline constexpr std::size_t kReadFactor = 4;

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

enum class PeerSendResult {
  kQueued,       // handed to ZeroMQ
  kQueueFull,    // dropped and counted: the peer's queue is full
  kUnknownPeer,  // not added, or removed
  kTooLarge,     // exceeds max_message
};

enum class PeerReceiveFault {
  kTooLarge,   // exceeds max_message
  kBadFrames,  // not one frame after the sender's routing id
};

// Returns a stable lower-case name, as in "bad_frames".
const char* PeerReceiveFaultName(PeerReceiveFault fault);

struct PeerSocketCounts {
  std::uint64_t sent = 0;      // default: 0; queued
  std::uint64_t dropped = 0;   // default: 0; queue was full
  std::uint64_t received = 0;  // default: 0; given to the callback
  std::uint64_t refused = 0;   // default: 0; see PeerReceiveFault
};

//-----------------------------------------------------------------------------
// [SECTION] PeerSocket
//-----------------------------------------------------------------------------

// Not thread-safe: lives on the loop's thread. The loop must outlive it.
class PeerSocket {
 public:
  // The bytes are valid during the call only.
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

  // Starts to connect to the peer, or connects anew if it has another address.
  Result<void> AddPeer(const DaemonId& peer, const HttpPeer& address);
  void RemovePeer(const DaemonId& peer);

  // Replaces the connection by a new one and drops what waits for the peer.
  // For use after missed probes: a connection that went silent looks healthy.
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
