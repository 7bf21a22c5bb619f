// Request rate and latency of one daemon compared with a bare evhttp
// pass-through.
//
// bench_proxy [--seed N] [--requests N] [--concurrency N]
//
// Both forward the same requests to the same endpoints, one after the other in
// the same run: the daemon with keys, permits, leases and checks, the
// pass-through with nothing but evhttp on both sides. The daemon runs as a
// separate process, the pass-through as a thread of the benchmark.

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/thread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "src/protocol/endpoint_http.h"
#include "src/protocol/platform_http.h"
#include "src/state/team_keys.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "tests/support/process.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Better;
using testing::PrintResult;
using testing::Process;
using testing::ProgramPath;

constexpr int kEndpoints = 8;
constexpr int kSlots = 64;
constexpr char kAddress[] = "127.0.0.1";
constexpr Duration kStartTimeout = seconds(60);

//-----------------------------------------------------------------------------
// [SECTION] Pass-through
//-----------------------------------------------------------------------------

// Forwards each request body as an attempt and reuses idle connections.
class PassThrough {
 public:
  PassThrough(std::uint16_t first_endpoint, std::vector<LeaseGrant> leases)
      : first_endpoint(first_endpoint), leases(std::move(leases)) {
    this->base = event_base_new();
    this->http = evhttp_new(this->base);
    evhttp_set_gencb(this->http, &PassThrough::OnRequest, this);
    auto* bound = evhttp_bind_socket_with_handle(this->http, kAddress, 0);
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(bound),
                reinterpret_cast<sockaddr*>(&address), &size);
    this->port = ntohs(address.sin_port);
    this->idle.resize(kEndpoints);
    this->thread = std::thread([this] { event_base_dispatch(this->base); });
  }
  ~PassThrough() {
    event_base_loopexit(this->base, nullptr);
    this->thread.join();
    for (auto& connections : this->idle) {
      for (evhttp_connection* connection : connections) {
        evhttp_connection_free(connection);
      }
    }
    evhttp_free(this->http);
    event_base_free(this->base);
  }
  PassThrough(const PassThrough&) = delete;
  PassThrough& operator=(const PassThrough&) = delete;

  std::uint16_t Port() const { return this->port; }

 private:
  struct Forward {
    PassThrough* owner;
    evhttp_request* caller;
    evhttp_connection* connection;
    std::size_t endpoint;
  };

  static void OnRequest(evhttp_request* request, void* self) {
    static_cast<PassThrough*>(self)->Send(request);
  }

  void Send(evhttp_request* caller) {
    const std::size_t endpoint = this->next_request++ % kEndpoints;
    evhttp_connection* connection = nullptr;
    if (this->idle[endpoint].empty()) {
      connection = evhttp_connection_base_new(
          this->base, nullptr, kAddress,
          static_cast<std::uint16_t>(this->first_endpoint + endpoint));
    } else {
      connection = this->idle[endpoint].back();
      this->idle[endpoint].pop_back();
    }
    auto* forward = new Forward{this, caller, connection, endpoint};
    evhttp_request* request =
        evhttp_request_new(&PassThrough::OnResponse, forward);
    evkeyvalq* headers = evhttp_request_get_output_headers(request);
    const LeaseGrant& lease = this->leases[endpoint];
    const std::string attempt = "bare." + std::to_string(this->next_request);
    evhttp_add_header(headers, "Host", kAddress);
    evhttp_add_header(headers, "Peridot-Attempt", attempt.c_str());
    evhttp_add_header(headers, "Peridot-Lease", lease.lease.value.c_str());
    evhttp_add_header(headers, "Peridot-Boot", lease.boot.value.c_str());
    evhttp_add_header(headers, "Peridot-Not-After-Us", "9000000000000000");
    evhttp_add_header(headers, "Peridot-Run-Ms", "1");
    evhttp_add_header(headers, "Peridot-Idempotent", "false");
    evbuffer_add_buffer(evhttp_request_get_output_buffer(request),
                        evhttp_request_get_input_buffer(caller));
    evhttp_make_request(connection, request, EVHTTP_REQ_POST, "/v1/attempts");
  }

  static void OnResponse(evhttp_request* response, void* context) {
    const std::unique_ptr<Forward> forward(static_cast<Forward*>(context));
    if (response == nullptr ||
        evhttp_request_get_response_code(response) == 0) {
      evhttp_send_error(forward->caller, 502, nullptr);
      return;
    }
    evbuffer* body = evhttp_request_get_input_buffer(response);
    evhttp_send_reply(forward->caller,
                      evhttp_request_get_response_code(response), nullptr,
                      body);
    forward->owner->idle[forward->endpoint].push_back(forward->connection);
  }

  std::uint16_t first_endpoint;
  std::vector<LeaseGrant> leases;
  event_base* base = nullptr;
  evhttp* http = nullptr;
  std::uint16_t port = 0;
  std::size_t next_request = 0;
  std::vector<std::vector<evhttp_connection*>> idle;
  std::thread thread;
};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

struct LoadResult {
  double per_second = 0;
  double median_us = 0;
  double p99_us = 0;
  int failed = 0;
};

// Closed loop: each of `concurrency` callers sends its next request when the
// response to the previous one has arrived.
LoadResult RunLoad(EventLoop* loop,
                   const HttpPeer& peer,
                   const HttpRequest& request,
                   int requests,
                   int concurrency) {
  HttpClient client(loop, {.max_connections_per_peer = 256});
  std::vector<double> latencies;
  int sent = 0;
  int failed = 0;
  std::function<void()> send = [&] {
    if (sent++ >= requests) {
      return;
    }
    const Instant start = loop->Now();
    client.Send(peer, request, [&, start](const HttpOutcome& outcome) {
      failed += outcome.Answered() && outcome.status == 200 ? 0 : 1;
      latencies.push_back(
          std::chrono::duration<double, std::micro>(loop->Now() - start)
              .count());
      send();
    });
  };
  const Instant start = loop->Now();
  for (int i = 0; i < concurrency; ++i) {
    send();
  }
  loop->RunUntil([&] { return static_cast<int>(latencies.size()) >= requests; },
                 seconds(120));
  const double took =
      std::chrono::duration<double>(loop->Now() - start).count();
  std::sort(latencies.begin(), latencies.end());
  LoadResult result;
  result.failed = failed + requests - static_cast<int>(latencies.size());
  result.per_second = static_cast<double>(latencies.size()) / took;
  result.median_us = latencies[latencies.size() / 2];
  result.p99_us = latencies[latencies.size() * 99 / 100];
  return result;
}

//-----------------------------------------------------------------------------
// [SECTION] Set-up
//-----------------------------------------------------------------------------

// Blocking HTTP calls that start and configure the processes.
class Setup {
 public:
  explicit Setup(EventLoop* loop) : loop(loop), client(loop, {}) {}

  HttpOutcome Call(std::uint16_t port, HttpRequest request) {
    HttpOutcome result;
    bool done = false;
    this->client.Send({kAddress, port}, std::move(request),
                      [&](HttpOutcome outcome) {
                        result = std::move(outcome);
                        done = true;
                      });
    this->loop->RunUntil([&] { return done; }, kStartTimeout);
    return result;
  }

  // Repeats the call until its status is 200.
  HttpOutcome RetryUntil200(std::uint16_t port, const HttpRequest& request) {
    const Instant end = this->loop->Now() + kStartTimeout;
    for (;;) {
      HttpOutcome outcome = this->Call(port, request);
      if (outcome.status == 200) {
        return outcome;
      }
      if (this->loop->Now() > end) {
        std::fprintf(stderr, "%s: expected status 200, last status is %d: %s\n",
                     request.path.c_str(), outcome.status,
                     outcome.body.c_str());
        std::exit(1);
      }
      std::this_thread::sleep_for(milliseconds(50));
    }
  }

 private:
  EventLoop* loop;
  HttpClient client;
};

std::uint16_t FreePort() {
  const int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool bound =
      bind(probe, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      getsockname(probe, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!bound) {
    std::fprintf(stderr, "cannot bind a free port of 127.0.0.1\n");
    std::exit(1);
  }
  close(probe);
  return ntohs(address.sin_port);
}

HttpRequest Request(HttpMethod method,
                    std::string path,
                    HttpHeaders headers,
                    std::string body) {
  HttpRequest request;
  request.method = method;
  request.path = std::move(path);
  request.headers = std::move(headers);
  request.body = std::move(body);
  request.timeout = seconds(20);
  return request;
}

struct Fleet {
  std::vector<std::unique_ptr<Process>> processes;
  std::uint16_t endpoints = 0;
  std::uint16_t daemon = 0;
  std::string team_key;
};

std::uint16_t StartStandIn(Fleet* fleet,
                           const std::string& name,
                           const std::vector<std::string>& arguments) {
  auto process = Process::Start(ProgramPath(name), arguments).value();
  const std::uint16_t port = process->ReadPort().value();
  fleet->processes.push_back(std::move(process));
  return port;
}

Fleet StartFleet(Setup* setup, const std::filesystem::path& folder) {
  Fleet fleet;
  const auto table = StartStandIn(&fleet, "stand_in_table", {});
  const auto membership =
      StartStandIn(&fleet, "stand_in_membership", {"--lag-ms", "0"});
  fleet.endpoints = StartStandIn(&fleet, "stand_in_endpoint",
                                 {"--count", std::to_string(kEndpoints),
                                  "--slots", std::to_string(kSlots)});
  for (int i = 0; i < kEndpoints; ++i) {
    const std::string name = "h" + std::to_string(i);
    const HttpCall call = EncodePutHost(
        {HostId(name),
         EndpointId(std::string(kAddress) + ":" +
                    std::to_string(fleet.endpoints + i)),
         ZoneId("z1"), RackId("r1"), PoolId("web"), HostState::kLive});
    setup->Call(membership, ToHttpRequest(call));
  }
  const KeySecret admin = KeySecret::Generate().value();
  const std::string bearer = "Bearer " + admin.RevealText();
  fleet.daemon = FreePort();
  const auto local = [](int port) {
    return std::string(kAddress) + ":" + std::to_string(port) + "\n";
  };
  const auto path = folder / "d1.yaml";
  std::ofstream(path) << "daemon: d1\nzone: z1\nlisten: " << local(fleet.daemon)
                      << "peer_listen: " << local(FreePort())
                      << "table: " << local(table)
                      << "objects: " << local(table)
                      << "membership: " << local(membership)
                      << "admin_key_digest: " << admin.Digest().Hex()
                      << "\nlog_level: error\n";
  fleet.processes.push_back(
      Process::Start(ProgramPath("peridotd"), {"--config", path.string()})
          .value());
  setup->RetryUntil200(fleet.daemon,
                       Request(HttpMethod::kGet, "/healthz", {}, ""));
  const std::string settings =
      "zones: {z1: in}\nteams: {counts: {limit: 512}}\n"
      "pools: {web: {run_ms: 1, teams: {counts: {queues: {hourly: {}}}}}}\n";
  setup->RetryUntil200(
      fleet.daemon,
      Request(HttpMethod::kPut, "/v1/admin/settings",
              {{"Authorization", bearer}, {"If-Match", "0"}}, settings));
  const HttpOutcome granted = setup->RetryUntil200(
      fleet.daemon,
      Request(HttpMethod::kPost, "/v1/admin/keys", {{"Authorization", bearer}},
              R"({"team":"counts"})"));
  fleet.team_key = nlohmann::json::parse(granted.body)["key"];
  return fleet;
}

std::vector<LeaseGrant> LeaseEndpoints(Setup* setup, std::uint16_t first) {
  std::vector<LeaseGrant> leases;
  for (int i = 0; i < kEndpoints; ++i) {
    const HttpOutcome outcome = setup->Call(
        static_cast<std::uint16_t>(first + i),
        ToHttpRequest(
            EncodeLease({DaemonId("bare"), Incarnation(1), seconds(300)})));
    const auto response =
        ParseLeaseResponse(outcome.status, outcome.body).value();
    leases.push_back(std::get<LeaseGrant>(response));
  }
  return leases;
}

void Run(std::uint64_t seed, int requests, int concurrency) {
  std::printf(
      "bench proxy seed=%llu requests=%d concurrency=%d endpoints=%d "
      "slots=%d\n",
      static_cast<unsigned long long>(seed), requests, concurrency, kEndpoints,
      kSlots);
  const SystemClock clock;
  const auto loop = EventLoop::Create(clock).value();
  Setup setup(loop.get());
  std::string pattern =
      (std::filesystem::temp_directory_path() / "peridot-XXXXXX").string();
  const std::filesystem::path folder = mkdtemp(pattern.data());
  {
    const Fleet fleet = StartFleet(&setup, folder);
    const PassThrough bare(fleet.endpoints,
                           LeaseEndpoints(&setup, fleet.endpoints));
    const HttpRequest request =
        Request(HttpMethod::kPost, "/v1/queues/web.hourly/tasks",
                {{"Authorization", "Bearer " + fleet.team_key}}, "payload");
    setup.RetryUntil200(fleet.daemon, request);
    const auto load = [&](std::uint16_t port, int count) {
      return RunLoad(loop.get(), {kAddress, port}, request, count, concurrency);
    };
    load(bare.Port(), requests / 10);
    load(fleet.daemon, requests / 10);
    const LoadResult naive = load(bare.Port(), requests);
    const LoadResult ours = load(fleet.daemon, requests);
    std::printf(
        "info bench=proxy ours_per_s=%.0f bare_per_s=%.0f "
        "ours_failed=%d bare_failed=%d\n",
        ours.per_second, naive.per_second, ours.failed, naive.failed);
    PrintResult({"proxy", "rate_ratio", "ratio",
                 ours.per_second / naive.per_second, 1, 0.7, Better::kHigher});
    // The latencies have no target; target 0 and kHigher print ok=yes for any
    // added latency.
    PrintResult({"proxy", "added_latency_median_us", "us",
                 ours.median_us - naive.median_us, 0, 0, Better::kHigher});
    PrintResult({"proxy", "added_latency_p99_us", "us",
                 ours.p99_us - naive.p99_us, 0, 0, Better::kHigher});
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("bench_proxy");
  options.add_options()("seed", po::value<std::uint64_t>()->default_value(1))(
      "requests", po::value<int>()->default_value(20'000))(
      "concurrency", po::value<int>()->default_value(64));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  evthread_use_pthreads();
  peridot::Run(values["seed"].as<std::uint64_t>(), values["requests"].as<int>(),
               values["concurrency"].as<int>());
  return 0;
}
