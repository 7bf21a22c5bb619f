// Tests of the stand-ins as whole programs: the behavior of the models must be
// visible to a client.

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "stand_ins/endpoint_model.h"
#include "tests/support/http_client.h"
#include "tests/support/process.h"

namespace peridot::testing {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// Timeout of calls that must get no response. It only limits the duration of
// the tests.
constexpr milliseconds kNoResponseTimeout{300};

// A running stand-in and a client connected to it.
struct StandIn {
  std::unique_ptr<Process> process;
  std::uint16_t port;
  HttpClient client;

  explicit StandIn(const char* program,
                   const std::vector<std::string>& options = {})
      : process(Process::Start(ProgramPath(program), options).value()),
        port(process->ReadPort().value()),
        client(port) {}
  // A sanitizer's report in the program changes its exit code.
  ~StandIn() {
    this->process->Signal(SIGTERM);
    CHECK(this->process->Wait() == 0);
  }

  void Fault(const json& faults) {
    REQUIRE(this->client.Post("/v1/fault", faults.dump())->status == 200);
  }
};

//-----------------------------------------------------------------------------
// [SECTION] Processes
//-----------------------------------------------------------------------------

TEST_CASE("starting a program that does not exist fails", "[process]") {
  const auto process = Process::Start(ProgramPath("no_such_program"), {});
  REQUIRE(process.error().code == ErrorCode::kNotFound);
}

TEST_CASE("a program that exits early returns a code but no port",
          "[process]") {
  const auto process =
      Process::Start(ProgramPath("stand_in_table"), {"--port", "70000"})
          .value();
  REQUIRE(process->ReadPort().error().code == ErrorCode::kUnavailable);
  REQUIRE(process->Wait() == 2);
}

// Guards against a process that outlives its test and keeps its port and
// memory.
TEST_CASE("a process is killed on destruction", "[process]") {
  auto process = Process::Start(ProgramPath("stand_in_table"), {}).value();
  const std::uint16_t port = process->ReadPort().value();
  process->Signal(SIGSTOP);
  REQUIRE_FALSE(process->Wait(milliseconds(1)));
  process.reset();
  REQUIRE_FALSE(HttpClient(port).Get("/"));
}

//-----------------------------------------------------------------------------
// [SECTION] Table, objects, membership
//-----------------------------------------------------------------------------

TEST_CASE("a row is written, read back and protected by its version",
          "[programs]") {
  StandIn table("stand_in_table");
  const json create = {{"op_id", "op1"},
                       {"checks", {{{"key", "a"}, {"version", 0}}}},
                       {"puts", {{{"key", "a"}, {"value", "x\n\"y\""}}}}};
  const auto committed = table.client.Post("/v1/transact", create.dump());
  REQUIRE(committed->status == 200);
  REQUIRE(committed->Json().at("committed") == true);
  const json version = committed->Json().at("versions").at("a");

  const auto read =
      table.client.Post("/v1/read", R"({"keys": ["a"], "prefixes": ["b"]})");
  REQUIRE(read->status == 200);
  REQUIRE(
      read->Json() ==
      json{{"rows",
            {{{"key", "a"}, {"version", version}, {"value", "x\n\"y\""}}}}});

  json race = create;
  race["op_id"] = "op2";
  const auto refused = table.client.Post("/v1/transact", race.dump());
  REQUIRE(refused->status == 409);
  REQUIRE(refused->Json() ==
          json{{"committed", false},
               {"conflicts", {{{"key", "a"}, {"version", version}}}}});

  table.process->Signal(SIGTERM);
  REQUIRE(table.process->Wait() == 0);
}

TEST_CASE("invalid input is refused with a message", "[programs]") {
  StandIn table("stand_in_table");
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "the body is not valid JSON"},
      {"{\"op_id\": \"\xff\"}", "the body is not valid JSON"},
      {"[]", "the body is not a JSON object"},
      {"{}", "the field 'op_id' is missing"},
      {R"({"op_id": 1})", "the field 'op_id' is not a string"},
      {R"({"op_id": "1", "puts": {}})", "the field 'puts' is not an array"},
      {R"({"op_id": "1", "puts": [1]})",
       "'puts' holds an item that is not an object"},
      {R"({"op_id": "1", "checks": [{"key": "a", "version": -1}]})",
       "in 'checks': the field 'version' is not in 0..9223372036854775807"},
      {R"({"op_id": "1", "checks": [{"key": "a", "version": 0.5}]})",
       "in 'checks': the field 'version' is not an integer"},
      {R"({"op_id": "1", "put": []})", "the field 'put' is not known"},
  };
  for (const auto& [body, message] : cases) {
    const auto refused = table.client.Post("/v1/transact", body);
    REQUIRE(refused->status == 400);
    REQUIRE(refused->Json().at("error") == message);
  }
  const std::string large((std::size_t{4} << 20) + 1, 'x');
  const auto refused = table.client.Post("/v1/transact", large);
  REQUIRE(refused->status == 413);
  REQUIRE(refused->Json().at("error") ==
          "the body has 4194305 bytes, over the limit of 4194304");
  const std::string huge(std::size_t{8} << 20, 'x');
  HttpClient other(table.port);
  REQUIRE(other.Post("/v1/transact", huge)->status == 413);
  REQUIRE(table.client.Get("/v1/other")->status == 404);
  REQUIRE(table.client.Post("/v1/read", "{}")->status == 200);
}

TEST_CASE(
    "a write whose response is lost closes the connection and takes effect",
    "[programs]") {
  StandIn table("stand_in_table");
  table.Fault({{"lose_answers", 1}});
  const std::string put =
      R"({"op_id": "1", "puts": [{"key": "a", "value": "1"}]})";
  REQUIRE_FALSE(table.client.Post("/v1/transact", put));
  REQUIRE_FALSE(table.client.TimedOut());
  REQUIRE(table.client.Post("/v1/read", R"({"keys": ["a"]})")
              ->Json()
              .at("rows")
              .size() == 1);
  REQUIRE(table.client.Post("/v1/transact", put)->status == 200);
  table.Fault({{"down", true}});
  REQUIRE(table.client.Post("/v1/read", "{}")->status == 503);
}

// Guards against clients that assume that a write has failed after a timeout.
TEST_CASE("a slow write takes effect after its client timed out",
          "[programs]") {
  StandIn table("stand_in_table");
  table.Fault({{"latency_ms", 2'000}});
  HttpClient short_timeout_client(table.port);
  const std::string put =
      R"({"op_id": "1", "puts": [{"key": "a", "value": "1"}]})";
  REQUIRE_FALSE(short_timeout_client.Call(EVHTTP_REQ_POST, "/v1/transact", put,
                                          {}, kNoResponseTimeout));
  table.Fault({{"latency_ms", 0}, {"reads_per_s", 1'000'000}});
  std::size_t rows = 0;
  while (rows == 0) {
    const auto read = table.client.Post("/v1/read", R"({"keys": ["a"]})");
    rows = read->Json().at("rows").size();
    std::this_thread::sleep_for(milliseconds(1));
  }
  REQUIRE(rows == 1);
}

TEST_CASE("objects are stored byte for byte under any name", "[programs]") {
  StandIn objects("stand_in_objects");
  const std::string bytes("\0\xff\r\n", 4);
  const HttpClient::Headers create = {{"If-None-Match", "*"}};
  HttpClient& client = objects.client;
  REQUIRE(client.Put("/v1/objects/a/b%20%2F", bytes, create)->status == 200);
  REQUIRE(client.Put("/v1/objects/a/b%20%2F", "x", create)->status == 412);
  REQUIRE(client.Get("/v1/objects/a/b%20%2F")->body == bytes);
  REQUIRE(client.Put("/v1/objects/b", "x")->status == 200);
  REQUIRE(client.Get("/v1/objects?prefix=a%2F")->Json() ==
          json{{"names", {"a/b /"}}});
  REQUIRE(client.Delete("/v1/objects/b")->status == 200);
  REQUIRE(client.Get("/v1/objects/b")->status == 404);
  objects.Fault({{"lose_answers", 1}});
  REQUIRE_FALSE(client.Put("/v1/objects/c", "x"));
  REQUIRE_FALSE(client.TimedOut());
  REQUIRE(client.Get("/v1/objects/c")->body == "x");
}

TEST_CASE("the membership list shows hosts after the lag", "[programs]") {
  StandIn membership("stand_in_membership", {"--lag-ms", "3600000"});
  HttpClient& client = membership.client;
  json host = {{"endpoint", "127.0.0.1:1"},
               {"zone", "z1"},
               {"rack", "r1"},
               {"pool", "web"},
               {"state", "leaving"}};
  REQUIRE(client.Put("/v1/hosts/h1", host.dump())->status == 200);
  REQUIRE(client.Get("/v1/hosts")->Json().at("hosts").empty());
  membership.Fault({{"lag_ms", 0}});
  host["host"] = "h1";
  REQUIRE(client.Get("/v1/hosts")->Json().at("hosts") == json{host});
  host["state"] = "gone";
  REQUIRE(client.Put("/v1/hosts/h1", host.dump())->status == 400);
  REQUIRE(client.Delete("/v1/hosts/h1")->status == 200);
  REQUIRE(client.Get("/v1/hosts")->Json().at("hosts").empty());
  membership.Fault({{"down", true}});
  REQUIRE(client.Get("/v1/hosts")->status == 503);
}

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

std::string LeaseBody(const char* holder, int duration_ms) {
  return json{
      {"holder", holder}, {"incarnation", 1}, {"duration_ms", duration_ms}}
      .dump();
}

// A client with a lease of holder d1 on an endpoint. By default the lease lasts
// longer than any test.
struct Leased {
  HttpClient client;
  json grant;

  explicit Leased(std::uint16_t port, int duration_ms = 600'000)
      : client(port),
        grant(client.Post("/v1/lease", LeaseBody("d1", duration_ms))->Json()) {}

  HttpClient::Headers Attempt(const char* id, int run_ms = 1) const {
    const auto clock = this->grant.at("clock_us").get<std::int64_t>();
    return {{"Peridot-Attempt", id},
            {"Peridot-Lease", this->grant.at("lease").get<std::string>()},
            {"Peridot-Boot", this->grant.at("boot").get<std::string>()},
            {"Peridot-Not-After-Us", std::to_string(clock + 600'000'000)},
            {"Peridot-Run-Ms", std::to_string(run_ms)},
            {"Peridot-Task", "t1"},
            {"Peridot-Team", "counts"}};
  }

  // A heartbeat that does not renew the lease.
  std::string HeartbeatBody() const {
    return json{{"lease", this->grant.at("lease")}, {"until_us", 0}}.dump();
  }

  std::optional<HttpResponse> Start(const char* id,
                                    const std::string& payload = "x",
                                    int run_ms = 1) {
    return this->client.Post("/v1/attempts", payload,
                             this->Attempt(id, run_ms));
  }
};

TEST_CASE("an attempt returns its whole response and is recorded",
          "[programs]") {
  StandIn endpoint("stand_in_endpoint");
  Leased leased(endpoint.port);
  const std::string payload("a\0b\xff", 4);
  const auto done = leased.Start("a1", payload);
  REQUIRE(done->status == 200);
  REQUIRE(done->body == "ok " + payload);
  REQUIRE(done->headers.at("Peridot-Attempt") == "a1");
  REQUIRE(done->headers.at("Peridot-Digest") ==
          stand_ins::Sha256Hex("ok " + payload));
  const auto fenced = leased.client.Post("/v1/attempts/a1/fence", "");
  REQUIRE(fenced->headers.at("Peridot-State") == "done");
  REQUIRE(fenced->body == "ok " + payload);

  const json run = endpoint.client.Get("/v1/runs")->Json().at(0);
  REQUIRE(run.at("attempt") == "a1");
  REQUIRE(run.at("task") == "t1");
  REQUIRE(run.at("team") == "counts");
  REQUIRE(run.at("outcome") == "done");
  REQUIRE(run.at("ended_us") >= run.at("started_us"));
}

TEST_CASE("attempts are refused with a reason", "[programs]") {
  StandIn endpoint("stand_in_endpoint");
  Leased leased(endpoint.port);
  const auto refusal = [&](const char* id, const char* header,
                           const std::string& value) {
    HttpClient::Headers headers = leased.Attempt(id);
    headers[header] = value;
    return leased.client.Post("/v1/attempts", "x", headers);
  };
  REQUIRE(refusal("a1", "Peridot-Lease", "other")->Json().at("reason") ==
          "lease");
  REQUIRE(refusal("a2", "Peridot-Boot", "other")->Json().at("reason") ==
          "boot");
  const auto late = refusal("a3", "Peridot-Not-After-Us", "1");
  REQUIRE(late->status == 409);
  REQUIRE(late->Json().at("state") == "never_started");
  REQUIRE(late->Json().at("reason") == "not_after");
  REQUIRE(refusal("a4", "Peridot-Slots", "9")->Json().at("reason") == "slots");
  REQUIRE(refusal("a5", "Peridot-Run-Ms", "soon")->status == 400);
  REQUIRE(refusal("a5", "Peridot-Idempotent", "maybe")->status == 400);
  REQUIRE(endpoint.client.Get("/v1/runs")->Json().empty());
  const auto unknown =
      leased.client.Post("/v1/attempts/a6/fence", "", {{"Peridot-Boot", "b0"}});
  REQUIRE(unknown->Json().at("state") == "unknown");
}

TEST_CASE("an expired lease stops the task, and its caller gets a response",
          "[programs]") {
  StandIn endpoint("stand_in_endpoint");
  Leased leased(endpoint.port, /*duration_ms=*/200);
  const auto stopped = leased.Start("a1", "x", /*run_ms=*/86'400'000);
  // On a busy machine the lease may expire before the attempt arrives.
  const bool started = stopped->status == 500;
  REQUIRE(stopped->Json().at("state") ==
          (started ? "stopped" : "never_started"));
  REQUIRE(leased.client.Post("/v1/heartbeat", leased.HeartbeatBody())->status ==
          409);
}

TEST_CASE("lost, truncated and wrong responses are visible to the client",
          "[programs]") {
  StandIn endpoint("stand_in_endpoint");
  Leased leased(endpoint.port);
  endpoint.Fault({{"lose_answers", 1}});
  REQUIRE_FALSE(leased.Start("a1"));
  REQUIRE_FALSE(leased.client.TimedOut());
  REQUIRE(leased.client.Get("/v1/attempts/a1")->body == "ok x");
  endpoint.Fault({{"truncate", 1}});
  REQUIRE_FALSE(leased.Start("a2"));
  REQUIRE_FALSE(leased.client.TimedOut());
  endpoint.Fault({{"wrong_answers", 1}});
  REQUIRE(leased.Start("a3")->headers.at("Peridot-Attempt") != "a3");
  endpoint.Fault({{"fail_all", true}});
  const auto failed = leased.Start("a4");
  REQUIRE(failed->status == 500);
  REQUIRE(failed->Json().at("state") == "failed");
}

TEST_CASE("open connections of one endpoint stop responding, others work",
          "[programs]") {
  StandIn first("stand_in_endpoint", {"--count", "2"});
  const auto second_port = static_cast<std::uint16_t>(first.port + 1);
  Leased one(first.port);
  Leased two(second_port);
  first.Fault({{"silent", true}});
  REQUIRE_FALSE(one.client.Call(EVHTTP_REQ_GET, "/v1/attempts/a", "", {},
                                kNoResponseTimeout));
  REQUIRE(HttpClient(first.port).Get("/v1/attempts/a")->status == 404);
  REQUIRE(two.client.Get("/v1/attempts/a")->status == 404);
  first.Fault({{"silent", true}, {"leaving", true}, {"all", true}});
  REQUIRE_FALSE(two.client.Call(EVHTTP_REQ_GET, "/v1/attempts/a", "", {},
                                kNoResponseTimeout));
  Leased later(second_port);
  REQUIRE(later.grant.at("leaving") == true);
  REQUIRE(later.Start("a1")->Json().at("reason") == "leaving");
}

TEST_CASE("a restart closes connections and discards attempts", "[programs]") {
  StandIn endpoint("stand_in_endpoint");
  Leased leased(endpoint.port);
  std::optional<HttpResponse> answer = HttpResponse{};
  std::thread caller(
      [&] { answer = leased.Start("a1", "x", /*run_ms=*/86'400'000); });
  while (endpoint.client.Get("/v1/runs")->Json().empty()) {
    std::this_thread::sleep_for(milliseconds(1));
  }
  const auto heartbeat = HttpClient(endpoint.port)
                             .Post("/v1/heartbeat", leased.HeartbeatBody())
                             ->Json();
  endpoint.Fault({{"restart", true}});
  caller.join();
  REQUIRE(heartbeat.at("boot") == leased.grant.at("boot"));
  REQUIRE(heartbeat.at("running") == json{"a1"});
  REQUIRE(heartbeat.at("used") == 1);
  REQUIRE_FALSE(answer);
  REQUIRE_FALSE(leased.client.TimedOut());
  const std::string boot = leased.grant.at("boot").get<std::string>();
  HttpClient after(endpoint.port);
  const auto fenced =
      after.Post("/v1/attempts/a1/fence", "", {{"Peridot-Boot", boot}});
  REQUIRE(fenced->Json().at("state") == "unknown");
  REQUIRE(fenced->Json().at("boot") != boot);
  REQUIRE(endpoint.client.Get("/v1/runs")->Json().size() == 1);
}

// Guards against a daemon that opens an unbounded number of connections: the
// stand-in must enforce the limit.
TEST_CASE("an endpoint serves 64 connections at a time", "[programs]") {
  StandIn endpoint("stand_in_endpoint");
  std::vector<std::unique_ptr<HttpClient>> clients;
  for (int i = 0; i < 64; ++i) {
    clients.push_back(std::make_unique<HttpClient>(endpoint.port));
    REQUIRE(clients.back()->Get("/v1/attempts/a")->status == 404);
  }
  HttpClient extra(endpoint.port);
  REQUIRE(extra.Get("/v1/attempts/a")->status == 503);
  REQUIRE(endpoint.client.Get("/v1/runs")->status == 200);

  // Connections without responses no longer count once their clients have
  // closed them.
  endpoint.Fault({{"silent", true}});
  for (auto& client : clients) {
    client->Call(EVHTTP_REQ_GET, "/v1/attempts/a", "", {}, milliseconds(5));
  }
  clients.clear();
  REQUIRE(extra.Get("/v1/attempts/a")->status == 404);
}

}  // namespace
}  // namespace peridot::testing
