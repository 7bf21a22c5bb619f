#include "src/transport/peer_socket.h"

#include <zmq.h>

#include <algorithm>
#include <map>
#include <utility>

namespace peridot {
namespace {

// Maximum number of messages read in one iteration of the loop, so that a flood
// of messages does not delay timers and requests.
constexpr int kReceiveBatch = 256;

// Lower bound of the ZeroMQ size limit, which also applies to the commands of
// its handshake.
constexpr std::size_t kMinReadLimit = 4096;

// Initial and maximum delay between attempts to connect to a peer that is down.
constexpr int kReconnectMs = 100;
constexpr int kMaxReconnectMs = 2000;

// TCP keep-alive, which closes accepted connections whose host is gone.
constexpr int kKeepAliveIdleS = 60;

Error SocketError(const char* step, const std::string& peer) {
  return MakeError(ErrorCode::kUnavailable, step, peer,
                   zmq_strerror(zmq_errno()));
}

int LingerMs(Duration linger) {
  return static_cast<int>(
      std::chrono::ceil<std::chrono::milliseconds>(linger).count());
}

void SetOption(void* socket, int option, int value) {
  zmq_setsockopt(socket, option, &value, sizeof(value));
}

// One received frame.
class Frame {
 public:
  Frame() { zmq_msg_init(&this->message); }
  Frame(const Frame&) = delete;
  Frame& operator=(const Frame&) = delete;
  ~Frame() { zmq_msg_close(&this->message); }

  bool Receive(void* socket) {
    return zmq_msg_recv(&this->message, socket, ZMQ_DONTWAIT) >= 0;
  }
  bool HasMore() const { return zmq_msg_more(&this->message) != 0; }
  std::string_view Bytes() {
    return {static_cast<const char*>(zmq_msg_data(&this->message)),
            zmq_msg_size(&this->message)};
  }

 private:
  zmq_msg_t message{};
};

// Discards the frames of the current message that were not read yet.
void DiscardRemainingFrames(void* socket, Frame* frame) {
  while (frame->HasMore() && frame->Receive(socket)) {
  }
}

bool IsReadable(void* socket) {
  int events = 0;
  std::size_t size = sizeof(events);
  zmq_getsockopt(socket, ZMQ_EVENTS, &events, &size);
  return (events & ZMQ_POLLIN) != 0;
}

}  // namespace

const char* PeerReceiveFaultName(PeerReceiveFault fault) {
  switch (fault) {
    case PeerReceiveFault::kTooLarge:
      return "too_large";
    case PeerReceiveFault::kBadFrames:
      return "bad_frames";
  }
  return "bad_frames";
}

//-----------------------------------------------------------------------------
// [SECTION] Core
//-----------------------------------------------------------------------------

class PeerSocket::Core : public std::enable_shared_from_this<Core> {
 public:
  Core(EventLoop* loop,
       PeerSocketOptions options,
       MessageCallback on_message,
       FaultCallback on_fault)
      : loop(loop),
        options(std::move(options)),
        on_message(std::move(on_message)),
        on_fault(std::move(on_fault)) {}
  Core(const Core&) = delete;
  Core& operator=(const Core&) = delete;
  ~Core() { this->Shutdown(); }

  Result<void> Bind();
  void Shutdown();
  Result<void> AddPeer(const DaemonId& peer, const HttpPeer& address);
  void RemovePeer(const DaemonId& peer);
  Result<void> Reconnect(const DaemonId& peer);
  PeerSendResult Send(const DaemonId& peer, std::string_view bytes);

  std::uint16_t bound_port = 0;
  PeerSocketCounts counts;
  std::size_t PeerCount() const { return this->peers.size(); }

 private:
  struct Socket {
    void* handle = nullptr;
    WatchId watch = kNoWatch;
  };

  struct Peer {
    HttpPeer address;
    Socket socket;
  };

  Result<Socket> Open(int type, void (Core::*on_ready)(void*));
  void Close(Socket* socket);
  void ReceiveBatch(void* socket);
  void ReceiveOne(void* socket);
  void DropReceived(void* socket);
  void Refuse(PeerReceiveFault fault);

  EventLoop* loop;
  PeerSocketOptions options;
  MessageCallback on_message;
  FaultCallback on_fault;
  void* context = nullptr;
  Socket router;
  std::map<DaemonId, Peer> peers;
};

Result<void> PeerSocket::Core::Bind() {
  const std::string peer =
      PeerName({this->options.address, this->options.port});
  this->context = zmq_ctx_new();
  if (this->context == nullptr) {
    return SocketError("bind", peer);
  }
  BOOST_OUTCOME_TRY(opened, this->Open(ZMQ_ROUTER, &Core::ReceiveBatch));
  this->router = opened;
  void* handle = opened.handle;
  const std::string port = this->options.port == 0
                               ? std::string("*")
                               : std::to_string(this->options.port);
  const std::string bind_to = "tcp://" + this->options.address + ":" + port;
  if (zmq_bind(handle, bind_to.c_str()) != 0) {
    return SocketError("bind", peer);
  }
  char bound[256] = {};
  std::size_t size = sizeof(bound);
  zmq_getsockopt(handle, ZMQ_LAST_ENDPOINT, bound, &size);
  const std::string name(bound);
  this->bound_port = static_cast<std::uint16_t>(
      std::strtoul(name.substr(name.rfind(':') + 1).c_str(), nullptr, 10));
  return boost::outcome_v2::success();
}

void PeerSocket::Core::Shutdown() {
  for (auto& [id, peer] : this->peers) {
    this->Close(&peer.socket);
  }
  this->peers.clear();
  this->Close(&this->router);
  if (this->context != nullptr) {
    zmq_ctx_term(std::exchange(this->context, nullptr));
  }
}

Result<void> PeerSocket::Core::AddPeer(const DaemonId& peer,
                                       const HttpPeer& address) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end() && found->second.address == address) {
    return boost::outcome_v2::success();
  }
  this->RemovePeer(peer);
  BOOST_OUTCOME_TRY(socket, this->Open(ZMQ_DEALER, &Core::DropReceived));
  const std::string connect_to = "tcp://" + PeerName(address);
  if (zmq_connect(socket.handle, connect_to.c_str()) != 0) {
    Error error = SocketError("connect", peer.value);
    this->Close(&socket);
    return error;
  }
  this->peers[peer] = {address, socket};
  return boost::outcome_v2::success();
}

void PeerSocket::Core::RemovePeer(const DaemonId& peer) {
  const auto found = this->peers.find(peer);
  if (found != this->peers.end()) {
    this->Close(&found->second.socket);
    this->peers.erase(found);
  }
}

Result<void> PeerSocket::Core::Reconnect(const DaemonId& peer) {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return MakeError(ErrorCode::kNotFound, "reconnect", peer.value,
                     "the peer was not added");
  }
  const HttpPeer address = found->second.address;
  SetOption(found->second.socket.handle, ZMQ_LINGER, 0);
  this->RemovePeer(peer);
  return this->AddPeer(peer, address);
}

PeerSendResult PeerSocket::Core::Send(const DaemonId& peer,
                                      std::string_view bytes) {
  if (bytes.size() > this->options.max_message_bytes) {
    return PeerSendResult::kTooLarge;
  }
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return PeerSendResult::kUnknownPeer;
  }
  const int sent = zmq_send(found->second.socket.handle, bytes.data(),
                            bytes.size(), ZMQ_DONTWAIT);
  if (sent < 0) {
    ++this->counts.dropped;
    return PeerSendResult::kQueueFull;
  }
  ++this->counts.sent;
  return PeerSendResult::kQueued;
}

Result<PeerSocket::Core::Socket> PeerSocket::Core::Open(
    int type,
    void (Core::*on_ready)(void*)) {
  Socket socket{.handle = zmq_socket(this->context, type)};
  if (socket.handle == nullptr) {
    return SocketError("open", this->options.address);
  }
  void* handle = socket.handle;
  const auto max_read = static_cast<std::int64_t>(std::max(
      this->options.max_message_bytes * kReceiveLimitFactor, kMinReadLimit));
  zmq_setsockopt(handle, ZMQ_MAXMSGSIZE, &max_read, sizeof(max_read));
  SetOption(handle, ZMQ_LINGER, LingerMs(this->options.linger));
  SetOption(handle, ZMQ_SNDHWM, this->options.send_queue_capacity);
  SetOption(handle, ZMQ_RCVHWM, this->options.receive_queue_capacity);
  SetOption(handle, ZMQ_RECONNECT_IVL, kReconnectMs);
  SetOption(handle, ZMQ_RECONNECT_IVL_MAX, kMaxReconnectMs);
  SetOption(handle, ZMQ_TCP_KEEPALIVE, 1);
  SetOption(handle, ZMQ_TCP_KEEPALIVE_IDLE, kKeepAliveIdleS);
  SetOption(handle, ZMQ_IPV6,
            this->options.address.find(':') != std::string::npos ? 1 : 0);

  int descriptor = -1;
  std::size_t size = sizeof(descriptor);
  zmq_getsockopt(handle, ZMQ_FD, &descriptor, &size);
  auto watch = this->loop->OnReadable(
      descriptor, [weak = this->weak_from_this(), handle, on_ready] {
        if (const std::shared_ptr<Core> core = weak.lock()) {
          (core.get()->*on_ready)(handle);
        }
      });
  if (!watch) {
    zmq_close(handle);
    return watch.error();
  }
  socket.watch = watch.value();
  return socket;
}

void PeerSocket::Core::Close(Socket* socket) {
  this->loop->Cancel(socket->watch);
  if (socket->handle != nullptr) {
    zmq_close(std::exchange(socket->handle, nullptr));
  }
}

void PeerSocket::Core::ReceiveBatch(void* socket) {
  // ZMQ_FD is edge-triggered: messages left unread are not signalled again. The
  // socket is therefore read until it is empty, or another batch is posted.
  for (int i = 0; i < kReceiveBatch; ++i) {
    if (this->router.handle != socket || !IsReadable(socket)) {
      return;
    }
    this->ReceiveOne(socket);
  }
  this->loop->Post([weak = this->weak_from_this(), socket] {
    const std::shared_ptr<Core> core = weak.lock();
    if (core && core->router.handle == socket) {
      core->ReceiveBatch(socket);
    }
  });
}

void PeerSocket::Core::ReceiveOne(void* socket) {
  Frame frame;
  if (!frame.Receive(socket)) {
    return;
  }
  // The first frame is the routing id that the ROUTER assigned to the
  // connection.
  if (!frame.HasMore() || !frame.Receive(socket) || frame.HasMore()) {
    DiscardRemainingFrames(socket, &frame);
    this->Refuse(PeerReceiveFault::kBadFrames);
    return;
  }
  if (frame.Bytes().size() > this->options.max_message_bytes) {
    this->Refuse(PeerReceiveFault::kTooLarge);
    return;
  }
  ++this->counts.received;
  this->on_message(frame.Bytes());
}

void PeerSocket::Core::DropReceived(void* socket) {
  // The ROUTER of a daemon never sends. Reading the events also lets ZeroMQ
  // process notifications from its own I/O thread.
  while (IsReadable(socket)) {
    Frame frame;
    if (!frame.Receive(socket)) {
      return;
    }
  }
}

void PeerSocket::Core::Refuse(PeerReceiveFault fault) {
  ++this->counts.refused;
  if (this->on_fault) {
    this->on_fault(fault);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] PeerSocket
//-----------------------------------------------------------------------------

Result<std::unique_ptr<PeerSocket>> PeerSocket::Create(
    EventLoop* loop,
    PeerSocketOptions options,
    MessageCallback on_message,
    FaultCallback on_fault) {
  auto core = std::make_shared<Core>(
      loop, std::move(options), std::move(on_message), std::move(on_fault));
  BOOST_OUTCOME_TRY(core->Bind());
  return std::unique_ptr<PeerSocket>(new PeerSocket(std::move(core)));
}

PeerSocket::PeerSocket(std::shared_ptr<Core> core) : core(std::move(core)) {}

PeerSocket::~PeerSocket() {
  this->core->Shutdown();
}

Result<void> PeerSocket::AddPeer(const DaemonId& peer,
                                 const HttpPeer& address) {
  return this->core->AddPeer(peer, address);
}

void PeerSocket::RemovePeer(const DaemonId& peer) {
  this->core->RemovePeer(peer);
}

Result<void> PeerSocket::Reconnect(const DaemonId& peer) {
  return this->core->Reconnect(peer);
}

PeerSendResult PeerSocket::Send(const DaemonId& peer, std::string_view bytes) {
  return this->core->Send(peer, bytes);
}

std::uint16_t PeerSocket::Port() const {
  return this->core->bound_port;
}

PeerSocketCounts PeerSocket::Counts() const {
  return this->core->counts;
}

std::size_t PeerSocket::PeerCount() const {
  return this->core->PeerCount();
}

}  // namespace peridot
