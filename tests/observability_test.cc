// Tests of log lines and metrics.

#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "src/transport/log.h"
#include "src/transport/log_buffer.h"
#include "src/transport/metrics.h"

namespace peridot {
namespace {

TEST_CASE("a log line holds one event as key=value pairs", "[log]") {
  REQUIRE(FormatEvent("task_refused", {{"code", "team_limit"}, {"n", "3"}}) ==
          "event=task_refused code=team_limit n=3");
}

TEST_CASE("a value cannot end its log line or inject a field", "[log]") {
  // Guards against values from callers that are parsed as other events or
  // fields.
  REQUIRE(FormatEvent("e", {{"a", ""}, {"b", "x y"}, {"c", "k=v"}}) ==
          "event=e a=\"\" b=\"x y\" c=\"k=v\"");
  REQUIRE(FormatEvent("e", {{"a", "one\nevent=\"two\"\r\t\\"}}) ==
          "event=e a=\"one\\nevent=\\\"two\\\"\\r\\t\\\\\"");
  REQUIRE(FormatEvent("e", {{"a", std::string("\x01\x7f\0", 3)}}) ==
          "event=e a=\"\\x01\\x7f\\x00\"");
}

TEST_CASE("events before the start of the log are discarded", "[log]") {
  LogEvent(LogLevel::kError, "early", {{"a", "b"}});
  SUCCEED("no output is configured");
}

TEST_CASE("a log target that does not read does not block the writer",
          "[log]") {
  // Guards against a daemon that blocks because the reader of its log has
  // stopped reading.
  std::array<int, 2> pipe_ends{};
  REQUIRE(pipe(pipe_ends.data()) == 0);
  LogBuffer buffer(pipe_ends[1]);
  const std::string line(999, 'x');
  std::size_t kept = 0;
  while (buffer.Append(line + "\n")) {
    ++kept;
    buffer.Flush();
  }
  CHECK(buffer.Dropped() == 1);
  CHECK(kept * 1000 >= LogBuffer::kMaxBytes);
  // Once the target reads again, complete lines arrive in order and without
  // duplicates.
  std::string read_back;
  std::array<char, 4096> chunk{};
  while (!buffer.Empty() || read_back.size() < kept * 1000) {
    const ssize_t size = read(pipe_ends[0], chunk.data(), chunk.size());
    REQUIRE(size > 0);
    read_back.append(chunk.data(), static_cast<std::size_t>(size));
    buffer.Flush();
  }
  CHECK(read_back.size() == kept * 1000);
  CHECK(read_back.substr(0, 1000) == line + "\n");
  close(pipe_ends[0]);
  close(pipe_ends[1]);
}

TEST_CASE("counters are exposed with their reason as a label", "[metrics]") {
  Metrics metrics;
  metrics.CountRefusal("team_limit");
  metrics.CountRefusal("team_limit");
  metrics.CountRetry("connect_failed");
  metrics.CountPeerMessageRefused("wrong_version");
  metrics.CountPeerMessageDropped("d2");
  const std::string text = metrics.Expose();
  for (const char* line :
       {"peridot_refusals_total{reason=\"team_limit\"} 2\n",
        "peridot_retries_total{reason=\"connect_failed\"} 1\n",
        "peridot_peer_messages_refused_total{reason=\"wrong_version\"} 1\n",
        "peridot_peer_messages_dropped_total{peer=\"d2\"} 1\n"}) {
    CAPTURE(text, line);
    REQUIRE(text.find(line) != std::string::npos);
  }
}

TEST_CASE("gauges are replaced and latencies are summed", "[metrics]") {
  Metrics metrics;
  metrics.SetGauge("queued_tasks", 4);
  metrics.SetGauge("queued_tasks", 7);
  metrics.ObserveLatency("start", std::chrono::milliseconds(3));
  metrics.ObserveLatency("start", std::chrono::seconds(2));
  const std::string text = metrics.Expose();
  CAPTURE(text);
  REQUIRE(text.find("peridot_queued_tasks 7\n") != std::string::npos);
  REQUIRE(text.find("peridot_latency_seconds_bucket{step=\"start\","
                    "le=\"0.005\"} 1\n") != std::string::npos);
  REQUIRE(text.find("peridot_latency_seconds_count{step=\"start\"} 2\n") !=
          std::string::npos);
}

}  // namespace
}  // namespace peridot
