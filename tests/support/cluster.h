// A cluster of the real programs on the loopback address, and callers that put
// load on it.
//
// Index:
//   [SECTION] Records
//   [SECTION] Cluster
//   [SECTION] Load
//
// A test case starts a Cluster and a Load, injects a failure, waits for the
// expected reaction and compares the callers' answers with the runs that the
// endpoints recorded. The times of runs and of the test are read from the
// machine's steady clock, in microseconds, and so can be compared.

#ifndef TESTS_SUPPORT_CLUSTER_H_
#define TESTS_SUPPORT_CLUSTER_H_

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "src/state/team_keys.h"
#include "tests/support/http_client.h"
#include "tests/support/process.h"

namespace peridot::testing {

//-----------------------------------------------------------------------------
// [SECTION] Records
//-----------------------------------------------------------------------------

// The callers' two teams. Each has one queue; only the tasks of kIdempotentTeam
// are idempotent.
inline const std::string kNonIdempotentTeam = "counts";
inline const std::string kIdempotentTeam = "maps";

// One request of a caller and its result.
struct Call {
  std::string daemon;
  std::string team;
  std::string payload;
  int status = 0;  // 0: no answer
  std::string body;
  std::string task;  // task id; empty: refused before a task was created
  std::string code;  // field "code" of a refusal
  std::string ran;   // field "ran" of a refusal
};

// One run as the endpoint recorded it.
struct Run {
  std::string zone;
  std::string host;
  std::string task;
  std::string team;
  std::string outcome;
  std::int64_t started_us = 0;
  std::int64_t ended_us = 0;
};

inline std::int64_t NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

// Polls the condition every 20 ms. Returns whether it held within
// kProcessTimeout; the caller must treat false as a failure of the test.
template <typename Condition>
bool Await(const Condition& condition) {
  const auto end = std::chrono::steady_clock::now() + kProcessTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

//-----------------------------------------------------------------------------
// [SECTION] Cluster
//-----------------------------------------------------------------------------

struct ClusterOptions {
  int daemons = 3;  // alternately in zones z1 and z2
  int limit = 6;    // running tasks of kNonIdempotentTeam
  int run_ms = 30;
  int endpoints = 2;     // per zone
  int slots = 4;         // per endpoint
  std::string config{};  // further lines of each daemon's configuration
};

// Not thread-safe: call it only from the thread that constructed it.
class Cluster {
 public:
  struct Host {
    std::string name;
    std::string zone;
    std::uint16_t port = 0;
  };

  explicit Cluster(ClusterOptions cluster_options = {})
      : options(cluster_options) {
    this->folder = std::filesystem::temp_directory_path() / "peridot-XXXXXX";
    REQUIRE(mkdtemp(this->folder.data()) != nullptr);
    this->table = this->StartStandIn("stand_in_table", {});
    this->objects = this->StartStandIn("stand_in_objects", {});
    this->membership =
        this->StartStandIn("stand_in_membership", {"--lag-ms", "500"});
    for (const std::string zone : {"z1", "z2"}) {
      this->StartEndpoints(zone);
    }
    for (int i = 1; i <= this->options.daemons; ++i)
      this->StartDaemon("d" + std::to_string(i));
    this->ApplyFirstSettings();
  }
  ~Cluster() {
    this->processes.clear();
    this->daemons.clear();
    for (const int reserved_socket : this->reserved_sockets) {
      close(reserved_socket);
    }
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Starts a daemon. A daemon that was started before keeps its port and
  // configuration; its former process must have exited.
  void StartDaemon(const std::string& name) {
    if (!this->ports.contains(name)) {
      this->ports[name] = ReservePort();
      this->WriteConfig(name);
    }
    // The shell only redirects the log; `exec` replaces it, so the pid is that
    // of the daemon.
    this->daemons[name] =
        Process::Start("/bin/sh", {"-c", R"(exec "$0" --config "$1" 2>>"$2")",
                                   ProgramPath("peridotd"),
                                   this->ConfigPath(name), this->LogPath(name)})
            .value();
  }

  Process& Daemon(const std::string& name) { return *this->daemons.at(name); }
  std::uint16_t Port(const std::string& daemon) const {
    return this->ports.at(daemon);
  }
  std::vector<std::string> DaemonNames() const {
    std::vector<std::string> names;
    for (const auto& [name, port] : this->ports) {
      names.push_back(name);
    }
    return names;
  }
  const std::vector<Host>& Hosts() const { return this->hosts; }
  std::string KeyText(const std::string& team) const {
    return this->keys.at(team).RevealText();
  }
  std::string KeyId(const std::string& team) const {
    return MakeKeyId(this->keys.at(team).Digest()).value;
  }
  int Limit() const { return this->options.limit; }

  // Sends a request to the admin interface with the operators' key.
  std::optional<HttpResponse> Admin(const std::string& daemon,
                                    evhttp_cmd_type method,
                                    const std::string& path,
                                    const std::string& body = {},
                                    HttpClient::Headers headers = {}) const {
    headers["Authorization"] = "Bearer " + this->admin.RevealText();
    return HttpClient(this->Port(daemon))
        .Call(method, "/v1/admin/" + path, body, headers);
  }
  bool IsReady(const std::string& daemon) const {
    const auto answer = HttpClient(this->Port(daemon)).Get("/readyz");
    return answer && answer->status == 200;
  }
  nlohmann::json Status(const std::string& daemon) const {
    const auto answer = this->Admin(daemon, EVHTTP_REQ_GET, "status");
    return answer && answer->status == 200 ? answer->Json()
                                           : nlohmann::json::object();
  }
  std::string Log(const std::string& daemon) const {
    std::ifstream file(this->LogPath(daemon));
    return {std::istreambuf_iterator<char>(file), {}};
  }

  // Returns the settings document with this limit for kNonIdempotentTeam.
  std::string SettingsText(int limit) const {
    std::string text = "zones: {z1: in, z2: in}\nkeys:\n";
    for (const auto& [team, key] : this->keys) {
      text += "  - {id: " + this->KeyId(team) + ", team: " + team +
              ", digest: " + key.Digest().Hex() + "}\n";
    }
    return text + "teams:\n  " + kNonIdempotentTeam +
           ": {limit: " + std::to_string(limit) + "}\n  " + kIdempotentTeam +
           ": {limit: 6}\npools:\n  web:\n    run_ms: " +
           std::to_string(this->options.run_ms) +
           "\n    teams:\n"
           "      counts: {queues: {once: {}}}\n"
           "      maps: {queues: {again: {}}}\n";
  }
  std::optional<HttpResponse> PutSettings(const std::string& daemon,
                                          const std::string& text,
                                          std::uint64_t revision) const {
    return this->Admin(daemon, EVHTTP_REQ_PUT, "settings", text,
                       {{"If-Match", std::to_string(revision)}});
  }

  void InjectTableFault(const nlohmann::json& fault) const {
    InjectFault(this->table, fault);
  }
  static void InjectFault(std::uint16_t port, const nlohmann::json& fault) {
    const auto answer = HttpClient(port).Post("/v1/fault", fault.dump());
    REQUIRE((answer && answer->status == 200));
  }
  void PutHostRecord(const Host& host, const std::string& state) const {
    const nlohmann::json entry = {
        {"endpoint", "127.0.0.1:" + std::to_string(host.port)},
        {"zone", host.zone},
        {"rack", host.zone + "-r1"},
        {"pool", "web"},
        {"state", state}};
    const auto answer = HttpClient(this->membership)
                            .Put("/v1/hosts/" + host.name, entry.dump());
    REQUIRE((answer && answer->status == 200));
  }

  // Returns all runs recorded so far by all endpoints.
  std::vector<Run> Runs() const {
    std::vector<Run> runs;
    for (const Host& host : this->hosts) {
      const auto answer = HttpClient(host.port).Get("/v1/runs");
      REQUIRE(answer);
      for (const nlohmann::json& run : answer->Json()) {
        runs.push_back({host.zone, host.name, run.at("task"), run.at("team"),
                        run.at("outcome"), run.at("started_us"),
                        run.at("ended_us")});
      }
    }
    return runs;
  }

 private:
  std::string ConfigPath(const std::string& daemon) const {
    return this->folder + "/" + daemon + ".yaml";
  }
  std::string LogPath(const std::string& daemon) const {
    return this->folder + "/" + daemon + ".log";
  }

  static bool Bind(int socket_fd, std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return bind(socket_fd, reinterpret_cast<sockaddr*>(&address),
                sizeof(address)) == 0;
  }

  // Returns a free port below the kernel's ephemeral range, so that no outgoing
  // connection uses it. The UDP port of the same number stays bound as a
  // reservation: no other cluster picks the port before the daemon binds it.
  std::uint16_t ReservePort() {
    std::random_device random;
    for (;;) {
      const auto port = static_cast<std::uint16_t>(20'000 + random() % 12'000);
      const int reserved_socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
      const int probe = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      const bool free = Bind(reserved_socket, port) && Bind(probe, port);
      close(probe);
      if (free) {
        this->reserved_sockets.push_back(reserved_socket);
        return port;
      }
      close(reserved_socket);
    }
  }

  std::uint16_t StartStandIn(const std::string& program,
                             const std::vector<std::string>& arguments) {
    this->processes.push_back(
        Process::Start(ProgramPath(program), arguments).value());
    return this->processes.back()->ReadPort().value();
  }

  void StartEndpoints(const std::string& zone) {
    const std::uint16_t first =
        this->StartStandIn("stand_in_endpoint",
                           {"--count", std::to_string(this->options.endpoints),
                            "--slots", std::to_string(this->options.slots)});
    for (int i = 0; i < this->options.endpoints; ++i) {
      this->hosts.push_back({zone + "-h" + std::to_string(i), zone,
                             static_cast<std::uint16_t>(first + i)});
      this->PutHostRecord(this->hosts.back(), "live");
    }
  }

  void WriteConfig(const std::string& name) {
    const auto local = [](std::uint16_t port) {
      return "127.0.0.1:" + std::to_string(port) + "\n";
    };
    std::ofstream file(this->ConfigPath(name));
    file << "daemon: " << name
         << "\nzone: " << (name.back() % 2 == 1 ? "z1" : "z2")
         << "\nlisten: " << local(this->Port(name))
         << "peer_listen: " << local(ReservePort())
         << "table: " << local(this->table)
         << "objects: " << local(this->objects)
         << "membership: " << local(this->membership)
         << "admin_key_digest: " << this->admin.Digest().Hex() << "\n"
         << this->options.config;
  }

  void ApplyFirstSettings() {
    const bool registered = Await([&] {
      const auto status = this->Status("d1");
      return status.contains("daemons") &&
             status["daemons"].size() == this->daemons.size();
    });
    for (const std::string& name : this->DaemonNames())
      UNSCOPED_INFO(name << ": " << this->Log(name));
    REQUIRE(registered);
    REQUIRE(Await([&] {
      const auto answer =
          this->PutSettings("d1", this->SettingsText(this->options.limit), 0);
      return answer && answer->status == 200;
    }));
    for (const std::string& name : this->DaemonNames())
      REQUIRE(Await([&] { return this->IsReady(name); }));
  }

  ClusterOptions options;
  std::string folder;
  KeySecret admin = KeySecret::Generate().value();
  std::map<std::string, KeySecret> keys = {
      {kNonIdempotentTeam, KeySecret::Generate().value()},
      {kIdempotentTeam, KeySecret::Generate().value()}};
  std::vector<std::unique_ptr<Process>> processes;  // stand-in programs
  std::map<std::string, std::unique_ptr<Process>> daemons;
  std::map<std::string, std::uint16_t> ports;  // by daemon name
  std::vector<Host> hosts;
  std::vector<int> reserved_sockets;
  std::uint16_t table = 0;
  std::uint16_t objects = 0;
  std::uint16_t membership = 0;
};

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

// Threads that submit tasks of both teams. Each has one request in flight and
// goes through the daemons round-robin, as a load balancer does. Add(),
// Remove() and AwaitAnswers() may be called while the threads run.
class Load {
 public:
  explicit Load(const Cluster& cluster, int callers = 16)
      : rotation(cluster.DaemonNames()) {
    for (const std::string& daemon : this->rotation) {
      this->ports[daemon] = cluster.Port(daemon);
    }
    for (int i = 0; i < callers; ++i) {
      const std::string team =
          i % 2 == 0 ? kNonIdempotentTeam : kIdempotentTeam;
      this->threads.emplace_back([this, i, team, key = cluster.KeyText(team)] {
        this->Submit(i, team, key);
      });
    }
  }
  ~Load() { this->Stop(); }
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Remove(const std::string& daemon) {
    const std::scoped_lock lock(this->mutex);
    std::erase(this->rotation, daemon);
  }
  void Add(const std::string& daemon) {
    const std::scoped_lock lock(this->mutex);
    this->rotation.push_back(daemon);
  }

  // Waits until every daemon in rotation has completed 10 more requests of each
  // team. Returns false if that takes longer than kProcessTimeout.
  bool AwaitAnswers(const std::set<std::string>& teams = {kNonIdempotentTeam,
                                                          kIdempotentTeam}) {
    constexpr int kAdditionalAnswers = 10;
    const auto before = this->AnswerCounts();
    return Await([&] {
      auto now = this->AnswerCounts();
      const std::scoped_lock lock(this->mutex);
      return std::all_of(
          this->rotation.begin(), this->rotation.end(),
          [&](const auto& daemon) {
            return std::all_of(
                teams.begin(), teams.end(), [&](const auto& team) {
                  const auto old = before.find({daemon, team});
                  const int start = old == before.end() ? 0 : old->second;
                  return now[{daemon, team}] >= start + kAdditionalAnswers;
                });
          });
    });
  }

  // Waits for the requests in flight, ends the threads and returns all calls.
  std::vector<Call> Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    return this->calls;
  }

 private:
  using Counts = std::map<std::pair<std::string, std::string>, int>;

  Counts AnswerCounts() {
    const std::scoped_lock lock(this->mutex);
    Counts counts;
    for (const Call& call : this->calls) {
      counts[{call.daemon, call.team}] += call.status == 200 ? 1 : 0;
    }
    return counts;
  }

  std::string NextDaemon(int number) {
    const std::scoped_lock lock(this->mutex);
    return this
        ->rotation[static_cast<std::size_t>(number) % this->rotation.size()];
  }

  void Submit(int caller, const std::string& team, const std::string& key) {
    const bool idempotent = team == kIdempotentTeam;
    const std::string path =
        idempotent ? "/v1/queues/web.again/tasks" : "/v1/queues/web.once/tasks";
    // The deadline is shorter than the client's timeout, so that the daemon
    // ends every request before the client gives up.
    const HttpClient::Headers headers = {
        {"Authorization", "Bearer " + key},
        {"Peridot-Deadline-Ms", "30000"},
        {"Peridot-Idempotent", idempotent ? "true" : "false"}};
    std::map<std::string, HttpClient> clients;
    // Consecutive callers belong to different teams; dividing by two makes both
    // teams start at each daemon.
    for (int n = caller / 2; !this->stopping; ++n) {
      Call call{.daemon = this->NextDaemon(n),
                .team = team,
                .payload = std::to_string(caller) + "/" + std::to_string(n)};
      HttpClient& client =
          clients.try_emplace(call.daemon, this->ports.at(call.daemon))
              .first->second;
      const auto answer = client.Post(path, call.payload, headers);
      if (answer) {
        Record(*answer, &call);
      }
      {
        const std::scoped_lock lock(this->mutex);
        this->calls.push_back(call);
      }
      if (call.status != 200) {
        // Back off before the next request.
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
      }
    }
  }

  static void Record(const HttpResponse& answer, Call* call) {
    call->status = answer.status;
    call->body = answer.body;
    const auto task = answer.headers.find("Peridot-Task");
    call->task = task == answer.headers.end() ? "" : task->second;
    if (answer.status != 200) {
      const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
      if (problem.is_object()) {
        call->code = problem.value("code", "");
        call->ran = problem.value("ran", "");
      }
    }
  }

  std::mutex mutex;  // guards rotation and calls
  std::vector<std::string> rotation;
  std::vector<Call> calls;
  std::map<std::string, std::uint16_t> ports;
  std::atomic<bool> stopping = false;
  std::vector<std::thread> threads;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_CLUSTER_H_
