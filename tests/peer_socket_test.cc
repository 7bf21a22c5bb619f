// Tests the socket for messages between daemons over loopback.

#include <zmq.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/transport/event_loop.h"
#include "src/transport/peer_socket.h"
#include "tests/support/raw_server.h"

namespace peridot {
namespace {

using testing::kAwaitTimeout;

// An event loop with one receiver and one sender, which has added the receiver
// as peer "d1".
struct Fixture {
  SystemClock clock;
  std::unique_ptr<EventLoop> loop = EventLoop::Create(clock).value();
  std::vector<std::string> messages;
  std::vector<PeerReceiveFault> faults;
  std::unique_ptr<PeerSocket> receiver;
  std::unique_ptr<PeerSocket> sender;
  const DaemonId peer{"d1"};

  explicit Fixture(const PeerSocketOptions& options = {}) {
    this->receiver = this->Open(options);
    this->sender = this->Open(options);
    REQUIRE(this->sender->AddPeer(this->peer, this->Address()).has_value());
  }

  HttpPeer Address() const { return {"127.0.0.1", this->receiver->Port()}; }
  std::unique_ptr<PeerSocket> Open(const PeerSocketOptions& options) {
    return PeerSocket::Create(
               this->loop.get(), options,
               [this](std::string_view bytes) {
                 this->messages.emplace_back(bytes);
               },
               [this](PeerReceiveFault f) { this->faults.push_back(f); })
        .value();
  }
  bool Await(const std::function<bool()>& done) {
    return this->loop->RunUntil(done, kAwaitTimeout);
  }
};

TEST_CASE("messages arrive complete and in order", "[peer_socket]") {
  // Sends more than one receive batch. Guards against messages that stay unread
  // because the socket signals readability only once.
  Fixture f({.send_queue_capacity = 5000, .receive_queue_capacity = 5000});
  std::vector<std::string> sent;
  for (int i = 0; i < 2000; ++i) {
    sent.push_back("message " + std::to_string(i));
    REQUIRE(f.sender->Send(f.peer, sent.back()) == PeerSendResult::kQueued);
  }
  REQUIRE(f.Await([&] { return f.messages.size() == sent.size(); }));
  REQUIRE(f.messages == sent);
  REQUIRE(f.receiver->Counts().received == 2000);
  // A single message after the burst is received too.
  f.sender->Send(f.peer, "last");
  REQUIRE(f.Await([&] { return f.messages.back() == "last"; }));
}

TEST_CASE("messages to a peer that is down are queued up to the limit",
          "[peer_socket]") {
  // Guards against memory growth while a peer is down.
  Fixture f({.send_queue_capacity = 8});
  const HttpPeer address = f.Address();
  f.receiver.reset();
  f.sender->RemovePeer(f.peer);
  REQUIRE(f.sender->AddPeer(f.peer, address).has_value());
  int queued = 0;
  for (int i = 0; i < 100; ++i) {
    queued += f.sender->Send(f.peer, "x") == PeerSendResult::kQueued ? 1 : 0;
  }
  REQUIRE(queued == 8);
  REQUIRE(f.sender->Counts().dropped == 92);
  f.receiver = f.Open({.port = address.port});
  REQUIRE(f.Await([&] { return f.messages.size() == 8; }));
}

TEST_CASE("messages that are too large or have an unknown peer are not sent",
          "[peer_socket]") {
  Fixture f({.max_message_bytes = 10});
  REQUIRE(f.sender->Send(f.peer, std::string(11, 'x')) ==
          PeerSendResult::kTooLarge);
  REQUIRE(f.sender->Send(DaemonId("d9"), "x") == PeerSendResult::kUnknownPeer);
}

TEST_CASE("received messages of an invalid size or format are refused",
          "[peer_socket]") {
  Fixture f({.max_message_bytes = 10});
  void* context = zmq_ctx_new();
  void* raw = zmq_socket(context, ZMQ_DEALER);
  const std::string address = "tcp://" + PeerName(f.Address());
  REQUIRE(zmq_connect(raw, address.c_str()) == 0);
  zmq_send(raw, "01234567890", 11, 0);
  zmq_send(raw, "a", 1, ZMQ_SNDMORE);
  zmq_send(raw, "b", 1, 0);
  zmq_send(raw, "fine", 4, 0);
  REQUIRE(f.Await([&] { return f.messages.size() == 1; }));
  REQUIRE(f.messages[0] == "fine");
  REQUIRE(f.faults == std::vector{PeerReceiveFault::kTooLarge,
                                  PeerReceiveFault::kBadFrames});
  REQUIRE(f.receiver->Counts().refused == 2);
  zmq_close(raw);
  zmq_ctx_term(context);
}

TEST_CASE("bytes that are not ZeroMQ do not affect other connections",
          "[peer_socket]") {
  Fixture f;
  testing::RawClient raw(f.loop.get(), f.receiver->Port());
  raw.Write("GET / HTTP/1.1\r\n\r\n" + std::string(1000, '\xff'));
  REQUIRE(f.Await([&] { return raw.Closed(); }));
  f.sender->Send(f.peer, "x");
  REQUIRE(f.Await([&] { return f.messages.size() == 1; }));
}

TEST_CASE("an unresponsive connection is replaced on request",
          "[peer_socket]") {
  Fixture f;
  // The raw server accepts connections and reads but never replies with ZeroMQ
  // messages.
  testing::RawServer silent(f.loop.get());
  const DaemonId other("d2");
  REQUIRE(f.sender->AddPeer(other, {"127.0.0.1", silent.Port()}).has_value());
  f.sender->Send(other, "lost");
  REQUIRE(f.Await([&] { return silent.Accepted() == 1; }));
  REQUIRE(f.sender->Reconnect(other).has_value());
  REQUIRE(f.Await([&] { return silent.Accepted() == 2; }));
  // A peer whose address has changed receives the messages sent after the
  // change.
  REQUIRE(f.sender->AddPeer(other, f.Address()).has_value());
  f.sender->Send(other, "moved");
  REQUIRE(f.Await([&] { return f.messages.size() == 1; }));
  REQUIRE(f.messages[0] == "moved");
  REQUIRE(f.sender->Reconnect(DaemonId("d9")).has_error());
}

TEST_CASE("a callback may destroy its socket", "[peer_socket]") {
  SystemClock clock;
  auto loop = EventLoop::Create(clock).value();
  std::unique_ptr<PeerSocket> receiver;
  int calls = 0;
  receiver = PeerSocket::Create(
                 loop.get(), {},
                 [&](std::string_view) {
                   ++calls;
                   receiver.reset();
                 },
                 nullptr)
                 .value();
  auto sender = PeerSocket::Create(
                    loop.get(), {}, [](std::string_view) {}, nullptr)
                    .value();
  const DaemonId peer("d1");
  REQUIRE(sender->AddPeer(peer, {"127.0.0.1", receiver->Port()}).has_value());
  sender->Send(peer, "one");
  sender->Send(peer, "two");
  REQUIRE(loop->RunUntil([&] { return !receiver; }, kAwaitTimeout));
  REQUIRE(calls == 1);
}

TEST_CASE("an address in use is reported", "[peer_socket]") {
  Fixture f;
  auto second = PeerSocket::Create(
      f.loop.get(), {.port = f.receiver->Port()}, [](std::string_view) {},
      nullptr);
  REQUIRE(second.has_error());
  REQUIRE(second.error().step == "bind");
}

}  // namespace
}  // namespace peridot
