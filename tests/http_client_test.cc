// Tests the event loop and the HTTP client over loopback sockets.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "tests/support/raw_server.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::kAwaitTimeout;

// An event loop, a raw server, a client and the outcomes of its requests.
struct Fixture {
  ManualClock clock;
  std::unique_ptr<EventLoop> loop;
  std::unique_ptr<testing::RawServer> server;
  std::unique_ptr<HttpClient> client;
  std::vector<HttpOutcome> outcomes;

  explicit Fixture(HttpClientOptions options = {}) {
    // Well after the epoch, so that subtracting a duration stays positive.
    this->clock.Advance(seconds(1000));
    this->loop = EventLoop::Create(this->clock).value();
    this->server = std::make_unique<testing::RawServer>(this->loop.get());
    this->client = std::make_unique<HttpClient>(this->loop.get(), options);
  }

  HttpPeer Peer() const { return {"127.0.0.1", this->server->Port()}; }

  HttpClient::RequestId Send(HttpRequest request) {
    return this->client->Send(this->Peer(), std::move(request),
                              [this](HttpOutcome outcome) {
                                this->outcomes.push_back(std::move(outcome));
                              });
  }
  HttpClient::RequestId Get(const std::string& path) {
    HttpRequest request;
    request.path = path;
    request.timeout = kAwaitTimeout;
    return this->Send(std::move(request));
  }
  const HttpOutcome& AwaitOutcome(std::size_t i = 0) {
    REQUIRE(this->loop->RunUntil([&] { return this->outcomes.size() > i; },
                                 kAwaitTimeout));
    return this->outcomes[i];
  }
  // Waits for a request on connection i and sends the bytes as its response.
  void WriteResponse(std::size_t i, const std::string& bytes) {
    REQUIRE(this->server->AwaitHeader(i));
    this->server->Clear(i);
    this->server->Write(i, bytes);
  }
};

const char kOk[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpRequest LiveRequest(const std::string& probe_path) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/run";
  request.timeout = kAwaitTimeout;
  request.live_connection = LiveConnectionRequirement{seconds(1), probe_path};
  return request;
}

//-----------------------------------------------------------------------------
// [SECTION] Event loop
//-----------------------------------------------------------------------------

TEST_CASE("timers fire in order and cancelled timers do not fire",
          "[event_loop]") {
  const SystemClock clock;
  auto loop = EventLoop::Create(clock).value();
  std::string order;
  loop->After(milliseconds(20), [&] { order += 'b'; });
  loop->After(milliseconds(1), [&] { order += 'a'; });
  const WatchId cancelled = loop->After(milliseconds(2), [&] { order += 'x'; });
  loop->Cancel(cancelled);
  loop->Cancel(cancelled);
  REQUIRE(loop->RunUntil([&] { return order.size() == 2; }, kAwaitTimeout));
  REQUIRE(order == "ab");
}

TEST_CASE("a watch may cancel itself in its action", "[event_loop]") {
  // Guards against use of the watch after its action has cancelled it.
  const SystemClock clock;
  auto loop = EventLoop::Create(clock).value();
  int calls = 0;
  WatchId id = kNoWatch;
  id = loop->OnSignal(SIGUSR1,
                      [&] {
                        ++calls;
                        loop->Cancel(id);
                      })
           .value();
  std::raise(SIGUSR1);
  REQUIRE(loop->RunUntil([&] { return calls == 1; }, kAwaitTimeout));
}

TEST_CASE("calls from another thread run on the loop in order",
          "[event_loop]") {
  const SystemClock clock;
  auto loop = EventLoop::Create(clock).value();
  std::vector<int> seen;
  std::thread other([&loop, &seen] {
    for (int i = 0; i < 1000; ++i) {
      loop->PostFromOtherThread([&seen, i] { seen.push_back(i); });
    }
    loop->PostFromOtherThread([&loop] { loop->Stop(); });
  });
  loop->Run();
  other.join();
  REQUIRE(seen.size() == 1000);
  REQUIRE(std::is_sorted(seen.begin(), seen.end()));
}

TEST_CASE("a stop requested before the run takes effect", "[event_loop]") {
  const SystemClock clock;
  auto loop = EventLoop::Create(clock).value();
  loop->Stop();
  loop->Run();
  SUCCEED("Run() returned");
}

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

TEST_CASE("the connection that is idle for longest makes room for another",
          "[http_client]") {
  // Guards the descriptors of a daemon that polls thousands of endpoints: each
  // keeps idle connections, and without a limit on all of them together the
  // process could neither accept callers nor reach the store.
  Fixture f(HttpClientOptions{.max_connections = 3});
  testing::RawServer other(f.loop.get());
  for (std::size_t i = 0; i < 2; ++i) {
    f.Get("/");
  }
  f.WriteResponse(0, kOk);
  f.WriteResponse(1, kOk);
  f.AwaitOutcome(1);
  CHECK(f.client->OpenConnections() == 2);
  for (int i = 0; i < 2; ++i) {
    HttpRequest request;
    request.path = "/";
    request.timeout = kAwaitTimeout;
    f.client->Send(
        HttpPeer{"127.0.0.1", other.Port()}, std::move(request),
        [&](HttpOutcome outcome) { f.outcomes.push_back(std::move(outcome)); });
  }
  REQUIRE(other.AwaitHeader(0));
  REQUIRE(other.AwaitHeader(1));
  CHECK(f.client->OpenConnections() == 3);
  CHECK(f.client->OpenConnections(f.Peer()) == 1);
}

TEST_CASE("a request is sent and its response received", "[http_client]") {
  Fixture f;
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/v1/read?x=1";
  request.headers = {{"Peridot-Attempt", "a1"}};
  request.body = "body";
  request.timeout = kAwaitTimeout;
  f.Send(request);
  REQUIRE(f.server->AwaitHeader(0));
  const std::string sent = f.server->Received(0);
  REQUIRE(sent.starts_with("POST /v1/read?x=1 HTTP/1.1\r\n"));
  REQUIRE(sent.find("Peridot-Attempt: a1\r\n") != std::string::npos);
  REQUIRE(sent.find("Content-Length: 4\r\n") != std::string::npos);
  f.server->Write(
      0, "HTTP/1.1 409 Conflict\r\nX-A: b\r\nContent-Length: 3\r\n\r\nabc");
  const HttpOutcome& outcome = f.AwaitOutcome();
  REQUIRE(outcome.Answered());
  REQUIRE(outcome.status == 409);
  REQUIRE(outcome.body == "abc");
  REQUIRE(FindHeader(outcome.headers, "x-a") == "b");
}

TEST_CASE("invalid responses end with a typed result", "[http_client]") {
  // Guards against accepting a truncated or oversized response as complete.
  struct Case {
    std::string bytes;
    HttpResult expected;
  };
  const std::vector<Case> cases = {
      {"", HttpResult::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nContent-Le", HttpResult::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
       HttpResult::kConnectionLost},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
       HttpResult::kConnectionLost},
      {"garbage\r\n\r\n", HttpResult::kMalformed},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n" + std::string(99, 'x'),
       HttpResult::kTooLarge},
      {"HTTP/1.1 200 OK\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n",
       HttpResult::kMalformed},
  };
  for (const Case& c : cases) {
    Fixture f;
    CAPTURE(c.bytes.substr(0, 60));
    HttpRequest request;
    request.path = "/";
    request.timeout = kAwaitTimeout;
    request.max_response_bytes = 64;
    f.Send(request);
    f.WriteResponse(0, c.bytes);
    f.server->FlushAndClose(0);
    const HttpOutcome& outcome = f.AwaitOutcome();
    REQUIRE(HttpResultName(outcome.result) ==
            std::string(HttpResultName(c.expected)));
    REQUIRE(outcome.delivery == Delivery::kMaybeDelivered);
    REQUIRE(f.client->OpenConnections(f.Peer()) == 0);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Delivery
//-----------------------------------------------------------------------------

TEST_CASE("a refused connection reports the request as never sent",
          "[http_client]") {
  // Guards against wrong delivery reports: a task may be reported as "not run"
  // only if its request was never sent.
  Fixture f;
  const HttpPeer peer = f.Peer();
  f.server.reset();
  HttpRequest request;
  request.path = "/";
  std::optional<HttpOutcome> outcome;
  f.client->Send(peer, request, [&](HttpOutcome o) { outcome = o; });
  REQUIRE_FALSE(outcome);
  REQUIRE(f.loop->RunUntil([&] { return outcome.has_value(); }, kAwaitTimeout));
  REQUIRE(outcome->result == HttpResult::kConnectFailed);
  REQUIRE(outcome->delivery == Delivery::kNeverSent);
}

TEST_CASE("a request that the peer has read is reported as possibly delivered",
          "[http_client]") {
  Fixture f;
  f.Get("/");
  REQUIRE(f.server->AwaitHeader(0));
  f.server->Close(0);
  REQUIRE(f.AwaitOutcome().result == HttpResult::kConnectionLost);
  REQUIRE(f.outcomes[0].delivery == Delivery::kMaybeDelivered);
}

TEST_CASE("a cancelled waiting request is reported as never sent",
          "[http_client]") {
  Fixture f({.max_connections_per_peer = 1});
  f.Get("/first");
  REQUIRE(f.server->AwaitHeader(0));
  const HttpClient::RequestId second = f.Get("/second");
  f.client->Cancel(second);
  REQUIRE(f.AwaitOutcome().result == HttpResult::kCancelled);
  REQUIRE(f.outcomes[0].delivery == Delivery::kNeverSent);
  REQUIRE(f.server->Accepted() == 1);
}

TEST_CASE("a request beyond the queue limit is refused", "[http_client]") {
  Fixture f({.max_connections_per_peer = 1, .max_waiting_per_peer = 1});
  f.Get("/first");
  REQUIRE(f.server->AwaitHeader(0));
  f.Get("/second");
  f.Get("/third");
  REQUIRE(f.AwaitOutcome().result == HttpResult::kOverloaded);
  REQUIRE(f.outcomes[0].delivery == Delivery::kNeverSent);
  REQUIRE(f.client->WaitingRequests(f.Peer()) == 1);
}

TEST_CASE("requests that violate HTTP are refused before sending",
          "[http_client]") {
  // Guards against a header value that injects a second request.
  Fixture f;
  HttpRequest split;
  split.path = "/";
  split.headers = {{"X", "a\r\nY: b"}};
  f.Send(split);
  HttpRequest length;
  length.path = "/";
  length.headers = {{"Content-Length", "1"}};
  f.Send(length);
  f.Get("/a b");
  f.Get("");
  f.AwaitOutcome(3);
  for (const HttpOutcome& outcome : f.outcomes) {
    REQUIRE(outcome.result == HttpResult::kInvalidRequest);
    REQUIRE(outcome.delivery == Delivery::kNeverSent);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Connections
//-----------------------------------------------------------------------------

TEST_CASE("a kept-alive connection is reused", "[http_client]") {
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0, kOk);
  const ConnectionId first = f.AwaitOutcome(0).connection;
  f.Get("/2");
  f.WriteResponse(0, kOk);
  REQUIRE(f.AwaitOutcome(1).connection == first);
  REQUIRE(f.outcomes[1].connection_reused);
  REQUIRE(f.server->Accepted() == 1);
}

TEST_CASE("a reserved connection is used only by requests that name it",
          "[http_client]") {
  // Guards against a request that reaches another process than the one that
  // answered on the connection.
  Fixture f;
  HttpRequest request;
  request.path = "/1";
  request.timeout = kAwaitTimeout;
  request.reserve_connection = true;
  f.Send(request);
  f.WriteResponse(0, kOk);
  const ConnectionId reserved = f.AwaitOutcome(0).connection;
  f.Get("/2");
  f.WriteResponse(1, kOk);
  REQUIRE(f.AwaitOutcome(1).connection != reserved);
  request.connection = reserved;
  f.Send(request);
  f.WriteResponse(0, kOk);
  REQUIRE(f.AwaitOutcome(2).connection == reserved);
  SECTION("a request that reserves any connection") {
    // Guards against one more open connection after each change of owner.
    request.connection = 0;
    f.Send(request);
    f.WriteResponse(0, kOk);
    REQUIRE(f.AwaitOutcome(3).connection == reserved);
  }
  SECTION("it is in use") {
    f.Send(request);
    REQUIRE(f.server->AwaitHeader(0));
    f.Send(request);
    REQUIRE(f.AwaitOutcome(3).result == HttpResult::kNoLiveConnection);
    REQUIRE(f.outcomes[3].delivery == Delivery::kNeverSent);
  }
  SECTION("the peer has closed it") {
    f.server->Close(0);
    REQUIRE(f.loop->RunUntil(
        [&] { return f.client->OpenConnections(f.Peer()) == 1; },
        kAwaitTimeout));
    f.Send(request);
    REQUIRE(f.AwaitOutcome(3).result == HttpResult::kNoLiveConnection);
    REQUIRE(f.server->Accepted() == 2);
  }
  SECTION("another request of the peer times out") {
    // All connections may be silent.
    HttpRequest other;
    other.path = "/3";
    other.timeout = milliseconds(50);
    f.Send(other);
    REQUIRE(f.AwaitOutcome(3).result == HttpResult::kTimeout);
    f.Send(request);
    REQUIRE(f.AwaitOutcome(4).result == HttpResult::kNoLiveConnection);
  }
}

TEST_CASE("bytes after a response close the connection", "[http_client]") {
  // Guards against reading the remaining bytes as the response to the next
  // request, which would return the result of one task for another.
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0, std::string(kOk) + kOk);
  const ConnectionId first = f.AwaitOutcome(0).connection;
  f.Get("/2");
  f.WriteResponse(1, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
  REQUIRE(f.AwaitOutcome(1).body == "two");
  REQUIRE(f.outcomes[1].connection != first);
}

TEST_CASE("a connection that the peer asks to close is not reused",
          "[http_client]") {
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0,
                  "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 2\r\n\r\nok");
  REQUIRE(f.AwaitOutcome(0).Answered());
  REQUIRE(f.client->OpenConnections(f.Peer()) == 0);
}

TEST_CASE("a connection closed by the peer while idle is dropped",
          "[http_client]") {
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0, kOk);
  f.AwaitOutcome(0);
  f.server->Close(0);
  REQUIRE(f.loop->RunUntil(
      [&] { return f.client->OpenConnections(f.Peer()) == 0; }, kAwaitTimeout));
  f.Get("/2");
  f.WriteResponse(1, kOk);
  REQUIRE(f.AwaitOutcome(1).Answered());
}

TEST_CASE("the pool does not open more than the maximum of connections",
          "[http_client]") {
  Fixture f({.max_connections_per_peer = 2});
  for (int i = 0; i < 5; ++i) {
    f.Get("/");
  }
  f.WriteResponse(0, kOk);
  f.WriteResponse(1, kOk);
  f.WriteResponse(0, kOk);
  f.WriteResponse(1, kOk);
  f.AwaitOutcome(3);
  REQUIRE(f.server->Accepted() == 2);
}

TEST_CASE("closing a connection cancels only its own request",
          "[http_client]") {
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0, kOk);
  const ConnectionId id = f.AwaitOutcome(0).connection;
  f.Get("/2");
  REQUIRE(f.server->AwaitHeader(0));
  f.client->CloseConnection(id);
  f.Get("/3");
  REQUIRE(f.AwaitOutcome(1).result == HttpResult::kCancelled);
  REQUIRE(f.outcomes[1].delivery == Delivery::kMaybeDelivered);
  f.WriteResponse(1, kOk);
  REQUIRE(f.AwaitOutcome(2).Answered());
  REQUIRE_FALSE(f.client->LastResponseTime(id));
}

TEST_CASE("no callback is called after one destroys the client",
          "[http_client]") {
  Fixture f;
  int calls = 0;
  HttpRequest request;  // no path: both fail in the same iteration
  for (int i = 0; i < 2; ++i) {
    f.client->Send(f.Peer(), request, [&](const HttpOutcome&) {
      ++calls;
      f.client.reset();
    });
  }
  REQUIRE(f.loop->RunUntil([&] { return calls > 0; }, kAwaitTimeout));
  f.loop->RunUntil([] { return false; }, milliseconds(50));
  REQUIRE(calls == 1);
}

//-----------------------------------------------------------------------------
// [SECTION] Unresponsive connections
//-----------------------------------------------------------------------------

TEST_CASE("an unresponsive connection times out and is replaced",
          "[http_client]") {
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0, kOk);
  f.AwaitOutcome(0);
  HttpRequest request;
  request.path = "/2";
  request.timeout = milliseconds(50);
  f.Send(request);
  REQUIRE(f.AwaitOutcome(1).result == HttpResult::kTimeout);
  REQUIRE(f.outcomes[1].delivery == Delivery::kMaybeDelivered);
  f.Get("/3");
  f.WriteResponse(1, kOk);
  REQUIRE(f.AwaitOutcome(2).Answered());
}

TEST_CASE("a timeout discards the idle connections that were open before it",
          "[http_client]") {
  // Guards against a client that spends one timeout on each of its connections
  // after all of them went silent at once, while new ones work.
  Fixture f;
  f.Get("/1");
  f.Get("/2");
  f.WriteResponse(0, kOk);
  f.WriteResponse(1, kOk);
  f.AwaitOutcome(1);
  HttpRequest request;
  request.path = "/3";
  request.timeout = milliseconds(50);
  f.Send(request);
  REQUIRE(f.AwaitOutcome(2).result == HttpResult::kTimeout);
  f.Get("/4");
  f.WriteResponse(2, kOk);
  REQUIRE(f.AwaitOutcome(3).Answered());
}

TEST_CASE("without a probe path, a request requires a live connection",
          "[http_client]") {
  // Guards against sending a non-idempotent request over a connection whose
  // peer has stopped responding, which leaves its outcome unknown.
  Fixture f;
  f.Get("/1");
  f.WriteResponse(0, kOk);
  const ConnectionId id = f.AwaitOutcome(0).connection;
  REQUIRE(f.client->LastResponseTime(id) == f.clock.now);
  f.clock.Advance(seconds(1));
  f.Send(LiveRequest(""));
  f.WriteResponse(0, kOk);
  REQUIRE(f.AwaitOutcome(1).connection == id);
  f.clock.Advance(seconds(1) + milliseconds(1));
  f.Send(LiveRequest(""));
  REQUIRE(f.AwaitOutcome(2).result == HttpResult::kNoLiveConnection);
  REQUIRE(f.outcomes[2].delivery == Delivery::kNeverSent);
  REQUIRE(f.server->Received(0).empty());
}

TEST_CASE("a new connection is probed before the request is sent",
          "[http_client]") {
  Fixture f;
  f.Send(LiveRequest("/healthz"));
  REQUIRE(f.server->AwaitHeader(0));
  REQUIRE(f.server->Received(0).starts_with("GET /healthz "));
  f.WriteResponse(0, kOk);
  REQUIRE(f.server->AwaitHeader(0));
  REQUIRE(f.server->Received(0).starts_with("POST /run "));
  f.WriteResponse(0, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran");
  REQUIRE(f.AwaitOutcome(0).body == "ran");
  REQUIRE(f.server->Accepted() == 1);
}

TEST_CASE("a request whose probe fails is reported as never sent",
          "[http_client]") {
  Fixture f;
  HttpRequest request = LiveRequest("/healthz");
  request.timeout = milliseconds(50);
  f.Send(request);
  REQUIRE(f.AwaitOutcome(0).result == HttpResult::kTimeout);
  REQUIRE(f.outcomes[0].delivery == Delivery::kNeverSent);

  f.Send(LiveRequest("/healthz"));
  f.WriteResponse(1,
                  "HTTP/1.1 200 OK\r\nConnection: close\r\n"
                  "Content-Length: 0\r\n\r\n");
  REQUIRE(f.AwaitOutcome(1).result == HttpResult::kNoLiveConnection);
  REQUIRE(f.outcomes[1].delivery == Delivery::kNeverSent);
}

}  // namespace
}  // namespace peridot
