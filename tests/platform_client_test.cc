// Tests of PlatformClient over loopback sockets.

#include "platform/platform_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <utility>

#include "src/transport/event_loop.h"
#include "tests/support/raw_server.h"

namespace peridot {
namespace {

using testing::kAwaitTimeout;

// An endpoint that answers polls, and a client of it.
struct PollFixture {
  // Sends a poll that renews the lease and returns the body that the endpoint
  // received on connection `i`; the report is of the process that started at
  // this time.
  nlohmann::json Poll(EndNumber acknowledged,
                      EndpointSession session,
                      std::size_t i) {
    PollEndpoint poll;
    poll.target = OrderTarget{
        EndpointId("e1"), "127.0.0.1:" + std::to_string(this->server.Port())};
    poll.target.fence = FencingToken(33);
    poll.lease_until_ms = 6000;
    poll.acknowledged = acknowledged;
    poll.session = session;
    this->report.reset();
    this->ports.poll(
        poll, [this](std::optional<EndpointReportRows> rows, OrderReply reply) {
          REQUIRE(reply == OrderReply::kDone);
          this->report = std::move(rows);
        });
    REQUIRE(this->server.AwaitHeader(i));
    REQUIRE(this->loop->RunUntil(
        [&] { return this->server.Received(i).ends_with('}'); },
        kAwaitTimeout));
    const std::string request = this->server.Received(i);
    const auto body =
        nlohmann::json::parse(request.substr(request.find("\r\n\r\n") + 4));
    this->server.Clear(i);
    const std::string answer =
        R"({"ClockMs":1000,"born":7,"Running":[],"Ended":[]})";
    this->server.Write(i, "HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(answer.size()) + "\r\n\r\n" +
                              answer);
    REQUIRE(this->loop->RunUntil([&] { return this->report.has_value(); },
                                 kAwaitTimeout));
    return body;
  }

  SystemClock clock;
  std::unique_ptr<EventLoop> loop =
      std::move(EventLoop::Create(this->clock).value());
  testing::RawServer server{this->loop.get()};
  platform::PlatformClient client{this->loop.get(),
                                  platform::PlatformClientConfig{}};
  FleetPorts ports = this->client.Ports();
  std::optional<EndpointReportRows> report;
};

TEST_CASE("a poll acknowledges ends only over the connection that listed them",
          "[platform_client]") {
  // Guards against ends that an endpoint which has restarted under its id
  // forgets before it has listed them: their numbers start anew, and a poll
  // acknowledged those of the previous process (review/6).
  PollFixture fixture;
  CHECK(fixture.Poll(0, 0, 0)["AckCursor"] == 0);
  const EndpointSession first = fixture.report->session;
  REQUIRE(first != 0);
  const nlohmann::json same = fixture.Poll(57, first, 0);
  CHECK(same["AckCursor"] == 57);
  CHECK(same["DeadlineMs"] == 6000);
  CHECK(same["FenceToken"] == 33);
  CHECK(fixture.report->session == first);

  fixture.server.Close(0);  // the process has ended
  bool noticed = false;
  fixture.loop->After(std::chrono::milliseconds(50), [&] { noticed = true; });
  REQUIRE(fixture.loop->RunUntil([&] { return noticed; }, kAwaitTimeout));
  const nlohmann::json other = fixture.Poll(57, first, 1);
  CHECK(other["AckCursor"] == 0);
  // Nor does it renew the lease: the clock of another process differs.
  CHECK_FALSE(other.contains("DeadlineMs"));
  CHECK(fixture.report->session != first);
}

}  // namespace
}  // namespace peridot
