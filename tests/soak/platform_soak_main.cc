// Randomized soak test of the daemon on the users' platform. It runs real
// processes, injects faults from outside and checks the guarantees of the
// daemon while they run.
//
// platform_soak [--seed N] [--seeds COUNT] [--seconds S] [--daemons N]
//               [--changes] [--advice] [--restarts] [--recuts]
//               [--ends-outlast-leases] [--keep DIR]
//
// The daemons (four by default) in two zones connect to the platform's
// stand-in, each through its own proxy. Callers submit jobs, repeat submissions
// that got no response, and read states. Faults are random and overlap:
// processes are killed, paused and stopped by SIGTERM; connections to the store
// are blocked in one or both directions, delayed and reset; workers stop
// responding while their tasks continue. With --changes the configuration
// changes as well, and another writer leaves odd entries among those of the
// endpoints. With --advice there are more workers, and each task needs a ticket
// of the advice service for one of the few workers that may run it; the tickets
// of a seed have a random validity. With --restarts workers also crash and
// start again under their ids, often before their entries show it. With
// --recuts the workers are behind proxies too: one that has restarted is cut
// off soon after for longer than a lease and leaves the list, while a third of
// the tasks outlast every lease. Callers keep
// using open connections to a daemon until its process is gone. Then all faults
// end, and every accepted job has to reach a final state.
//
// Checked: no task runs twice or starts after it was done (detected by the
// stand-in), the newest configuration is in force, no refused job ever starts,
// no accepted job is unknown, a final state never changes, all accepted jobs
// become final.

#include <arpa/inet.h>
#include <unistd.h>

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "platform/wire.h"
#include "src/transport/event_loop.h"
#include "src/transport/http_client.h"
#include "tests/soak/proxy.h"
#include "tests/support/process.h"

namespace peridot::soak {
namespace {

using std::chrono::milliseconds;
using testing::Process;
using testing::ProgramPath;

constexpr milliseconds kSubmitInterval{25};
// The workers have 48 cores together, which the long tasks occupy for seconds.
constexpr milliseconds kSlowSubmitInterval{250};
constexpr int kWorkers = 6;
constexpr milliseconds kReadInterval{15};
// Time after which an accepted job must be visible at every daemon; a bound set
// by the platform.
constexpr milliseconds kVisibilityTimeout{3000};
// Much longer than the failover and lease times; a job that needs longer counts
// as lost.
constexpr milliseconds kCompletionTimeout{60000};
constexpr milliseconds kCallTimeout{3000};
constexpr int kMaxSubmitAttempts = 8;

// Returns whether a daemon could listen on the port now.
bool IsFree(std::uint16_t port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  const bool bound = bind(descriptor, reinterpret_cast<sockaddr*>(&address),
                          sizeof(address)) == 0;
  close(descriptor);
  return bound;
}

// Returns a port for a daemon, which binds it later and again after each
// restart. The ports lie below those that the kernel gives to outgoing
// connections, and soaks that run side by side use different ones, so that no
// other process takes the port of a daemon that is down.
std::uint16_t FreePort() {
  constexpr int kFirstPort = 20000;
  constexpr int kPortsPerProcess = 300;
  constexpr int kProcesses = 40;
  static int next = 0;
  const int first = kFirstPort + getpid() % kProcesses * kPortsPerProcess;
  for (int tries = 0; tries < kPortsPerProcess; ++tries) {
    const auto port =
        static_cast<std::uint16_t>(first + next++ % kPortsPerProcess);
    if (IsFree(port)) {
      return port;
    }
  }
  std::cerr << "no free port from " << first << std::endl;
  std::abort();
}

struct Daemon {
  std::string name;
  std::string settings;  // path of the settings file
  std::uint16_t frontend_port = 0;
  std::unique_ptr<Proxy> store;
  std::unique_ptr<Process> process;
  std::vector<std::string> log;  // output of previous processes
  bool paused = false;
};

struct Job {
  int submit_attempts = 0;
  bool accepted = false;
  bool refused = false;  // every response reported it as not run
  bool maybe_accepted =
      false;  // some submission may have been accepted unnoticed
  Instant accepted_at{};
  std::string final_state;  // empty: not final yet
};

struct SoakOptions {
  unsigned seed = 1;
  milliseconds length{10000};  // of the faults
  int daemons = 4;
  bool changes = false;   // changes of configuration, odd entries
  bool advice = false;    // tasks need tickets of the advice service
  bool restarts = false;  // workers start again under their ids
  bool recuts = false;    // restarted workers are cut off, tasks last long
  bool ends_outlast_leases = false;  // see stand_in_platform
  std::filesystem::path folder;      // of the settings files
};

class Soak {
 public:
  explicit Soak(SoakOptions options)
      : options(std::move(options)),
        random(this->options.seed),
        loop(std::move(EventLoop::Create(this->clock).value())),
        client(this->loop.get(), HttpClientOptions{}) {}

  // Returns whether all checks passed.
  bool Run();
  int Accepted() const;
  int Faults() const { return this->faults; }
  void SaveLogs(const std::filesystem::path& target);

 private:
  int Between(int from, int to) {
    return std::uniform_int_distribution<int>(from, to)(this->random);
  }
  Daemon& RandomDaemon() {
    return this->daemons[static_cast<std::size_t>(
        Between(0, this->options.daemons - 1))];
  }
  void ReportViolation(const std::string& what) {
    std::cout << "broken seed=" << this->options.seed << ' ' << what
              << std::endl;
    this->ok = false;
  }
  void StartDaemon(Daemon* daemon);
  void StopProcess(Daemon* daemon);
  void Prepare();
  void SubmitNextJob();
  void Submit(const std::string& id, const std::string& body);
  void ReadRandomJob();
  void OnState(const std::string& id, const HttpOutcome& outcome);
  void InjectFault();
  void MakeWorkerUnresponsive();
  void RestartWorker();
  // Places a proxy in front of each worker.
  void AddWorkerProxies();
  // Restarts a worker, then cuts it off for longer than a lease.
  void RestartAndCutWorker();
  // Sends a request of a test to the stand-in of the platform.
  void SendControl(const std::string& path);
  // Writes the configuration anew, with a higher version and one more route.
  void ChangeConfiguration();
  void WriteOddEntry();
  // Writes rows of the platform, past the daemons' proxies.
  void WriteRows(const StoreTransaction& rows);
  void EndFaults();
  // Checks that every daemon serves the route added last.
  void CheckConfiguration();
  void CheckResults();

  SoakOptions options;
  std::mt19937 random;
  SystemClock clock;
  std::unique_ptr<EventLoop> loop;
  HttpClient client;
  std::unique_ptr<Process> platform;
  std::uint16_t store = 0;
  std::vector<Daemon> daemons;
  std::vector<std::unique_ptr<Proxy>> workers;  // none without --recuts
  std::map<std::string, Job> jobs;
  bool submitting = true;
  bool injecting_faults = true;
  bool reading = true;
  int faults = 0;
  int odd_entries = 0;
  std::string newest_prefix;  // of the route added last; empty: none
  bool ok = true;
};

//-----------------------------------------------------------------------------
// Processes
//-----------------------------------------------------------------------------

void Soak::Prepare() {
  std::vector<std::string> arguments = {
      "--seed",        std::to_string(this->options.seed),
      "--lost-orders", std::to_string(0.01 * Between(0, 4)),
      "--lost-writes", std::to_string(0.01 * Between(0, 3))};
  if (this->options.ends_outlast_leases) {
    arguments.emplace_back("--ends-outlast-leases");
  }
  if (this->options.advice) {
    const std::vector<int> valid_ms = {0, 150, 3000, 600000};
    arguments.insert(arguments.end(),
                     {"--workers", "40", "--ticket-ms",
                      std::to_string(valid_ms[Between(0, 3)])});
  }
  this->platform =
      Process::Start(ProgramPath("stand_in_platform"), arguments).value();
  this->store = this->platform->ReadPort().value();
  if (this->options.recuts) {
    this->AddWorkerProxies();
  }
  for (int i = 0; i < this->options.daemons; ++i) {
    Daemon& daemon = this->daemons.emplace_back();
    daemon.name = "d" + std::to_string(i);
    daemon.frontend_port = FreePort();
    daemon.store = std::make_unique<Proxy>(this->loop.get(), this->store);
    daemon.settings = this->options.folder / (daemon.name + ".yaml");
    const std::string address =
        "127.0.0.1:" + std::to_string(daemon.store->Port());
    std::ofstream(daemon.settings)
        << "Node: " << daemon.name << "\nZone: z" << 1 + i % 2
        << "\nIp: 127.0.0.1\nListenAddrs:\n  Frontend: 127.0.0.1:"
        << daemon.frontend_port << "\n  Ready: 127.0.0.1:" << FreePort()
        << "\nInternalPorts: [" << FreePort()
        << "]\nLimits: {CpuShare: " << (i == 0 ? 0.5 : 0.25)
        << ", Cores: 1}\nBounds: {GraceS: 3}\n"
        << "platform: {Address: \"" << address << "\"}\n"
        << "CloudApi: {Address: \"" << address << "\"}\n"
        << "Advice: \"" << address << "\"\n";
    this->StartDaemon(&daemon);
  }
}

void Soak::StartDaemon(Daemon* daemon) {
  daemon->process = Process::Start(ProgramPath("peridotd_platform"),
                                   {"--settings", daemon->settings})
                        .value();
}

void Soak::StopProcess(Daemon* daemon) {
  if (daemon->process == nullptr) {
    return;
  }
  daemon->process->Signal(SIGKILL);
  daemon->process->Wait();
  for (std::string& line : daemon->process->Lines()) {
    daemon->log.push_back(std::move(line));
  }
  daemon->process.reset();
  daemon->paused = false;
}

//-----------------------------------------------------------------------------
// Callers
//-----------------------------------------------------------------------------

void Soak::SubmitNextJob() {
  if (!this->submitting) {
    return;
  }
  char id[17];
  std::snprintf(id, sizeof(id), "%08x%08x", this->options.seed,
                static_cast<unsigned>(this->jobs.size()));
  nlohmann::json steps = nlohmann::json::array();
  for (int step = 0, count = Between(1, 2); step < count; ++step) {
    steps.push_back({{"Count", Between(1, 3)},
                     {"Cpu", 1000},
                     {"MemMb", 100},
                     {"EstimateMs", 200}});
    if (step > 0) {
      steps.back()["After"] = {step - 1};
    }
  }
  const bool is_long = this->options.recuts && Between(0, 2) == 0;
  const int duration_ms = is_long ? Between(5000, 12000) : Between(30, 400);
  const nlohmann::json spec{{"ms", duration_ms}, {"cpu", 1000}};
  const nlohmann::json body{{"Spec", spec.dump()}, {"Steps", steps}};
  this->jobs[id];
  this->Submit(id, body.dump());
  this->loop->After(
      this->options.recuts ? kSlowSubmitInterval : kSubmitInterval,
      [this] { this->SubmitNextJob(); });
}

void Soak::Submit(const std::string& id, const std::string& body) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/jobs/" + id;
  request.body = body;
  request.timeout = kCallTimeout;
  ++this->jobs[id].submit_attempts;
  this->client.Send(
      HttpPeer{"127.0.0.1", this->RandomDaemon().frontend_port},
      std::move(request), [this, id, body](const HttpOutcome& outcome) {
        Job& job = this->jobs[id];
        if (outcome.Answered() && outcome.status == 200) {
          job.accepted = true;
          job.accepted_at = this->loop->Now();
          return;
        }
        const bool refused = outcome.Answered() && outcome.status == 503;
        const bool unsent = outcome.delivery == Delivery::kNeverSent;
        job.maybe_accepted = job.maybe_accepted || !(refused || unsent);
        // Some jobs that were refused with certainty are not submitted again;
        // they must never run.
        if (refused && !job.maybe_accepted && Between(0, 3) == 0) {
          job.refused = true;
          return;
        }
        if (job.submit_attempts < kMaxSubmitAttempts) {
          this->loop->After(milliseconds(200),
                            [this, id, body] { this->Submit(id, body); });
        }
      });
}

void Soak::ReadRandomJob() {
  if (!this->reading) {
    return;
  }
  this->loop->After(kReadInterval, [this] { this->ReadRandomJob(); });
  if (this->jobs.empty()) {
    return;
  }
  auto chosen = this->jobs.begin();
  std::advance(chosen, Between(0, static_cast<int>(this->jobs.size()) - 1));
  // Prefers accepted jobs that are not yet final.
  for (auto job = chosen; job != this->jobs.end(); ++job) {
    if (job->second.accepted && job->second.final_state.empty()) {
      chosen = job;
      break;
    }
  }
  const auto& [id, job] = *chosen;
  if (!job.accepted ||
      this->loop->Now() - job.accepted_at < kVisibilityTimeout) {
    return;
  }
  HttpRequest request;
  request.path = "/jobs/" + id;
  request.timeout = kCallTimeout;
  this->client.Send(HttpPeer{"127.0.0.1", this->RandomDaemon().frontend_port},
                    std::move(request),
                    [this, id = id](const HttpOutcome& outcome) {
                      this->OnState(id, outcome);
                    });
}

void Soak::OnState(const std::string& id, const HttpOutcome& outcome) {
  if (!outcome.Answered()) {
    return;
  }
  if (outcome.status == 410) {
    this->ReportViolation("accepted_job_unknown job=" + id);
    return;
  }
  const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
  if (outcome.status != 200 || !body.is_object()) {
    return;
  }
  const std::string state = body.value("State", "");
  Job& job = this->jobs[id];
  if (!job.final_state.empty() && state != job.final_state) {
    this->ReportViolation("final_state_changed job=" + id +
                          " from=" + job.final_state + " to=" + state);
  }
  if (state == "failed" || state == "cancelled") {
    this->ReportViolation("failed_without_cause job=" + id + " state=" + state);
  }
  if (state == "completed") {
    job.final_state = state;
  }
}

//-----------------------------------------------------------------------------
// Faults
//-----------------------------------------------------------------------------

void Soak::InjectFault() {
  if (!this->injecting_faults) {
    return;
  }
  this->loop->After(milliseconds(Between(100, 900)),
                    [this] { this->InjectFault(); });
  ++this->faults;
  if (this->options.recuts && Between(0, 2) == 0) {
    this->RestartAndCutWorker();
    return;
  }
  if (this->options.restarts && Between(0, 2) == 0) {
    this->RestartWorker();
    return;
  }
  Daemon* const daemon = &this->RandomDaemon();
  const milliseconds fault_duration(Between(200, 3500));
  const auto set_proxy_mode = [&](ProxyMode mode) {
    daemon->store->SetMode(mode);
    this->loop->After(fault_duration, [daemon] {
      daemon->store->SetMode(ProxyMode::kForward);
    });
  };
  switch (Between(0, this->options.changes ? 10 : 8)) {
    case 0:
      this->StopProcess(daemon);
      this->loop->After(milliseconds(Between(50, 1500)), [this, daemon] {
        if (daemon->process == nullptr) {
          this->StartDaemon(daemon);
        }
      });
      return;
    case 1:
      if (daemon->process != nullptr) {
        daemon->process->Signal(SIGSTOP);
        this->loop->After(fault_duration, [daemon] {
          if (daemon->process != nullptr) {
            daemon->process->Signal(SIGCONT);
          }
        });
      }
      return;
    case 2:
      // Sends SIGTERM, then SIGKILL only after the daemon's grace period.
      if (daemon->process != nullptr) {
        daemon->process->Signal(SIGTERM);
        this->loop->After(milliseconds(3500), [this, daemon] {
          this->StopProcess(daemon);
          this->StartDaemon(daemon);
        });
      }
      return;
    case 3:
      return set_proxy_mode(ProxyMode::kBlocked);
    case 4:
      return set_proxy_mode(ProxyMode::kResponsesBlocked);
    case 5:
      return set_proxy_mode(ProxyMode::kDelayed);
    case 6:
      daemon->store->Reset();
      return;
    case 9:
      this->ChangeConfiguration();
      return;
    case 10:
      this->WriteOddEntry();
      return;
    default:
      this->MakeWorkerUnresponsive();
  }
}

void Soak::MakeWorkerUnresponsive() {
  // The longest outages outlast the lease of the worker's tasks. With `obeys`
  // the worker still executes orders but does not respond.
  const std::string path =
      "/control/silence?worker=" + std::to_string(Between(0, 99)) +
      "&ms=" + std::to_string(Between(300, 7000)) +
      (Between(0, 1) == 0 ? "&obeys=1" : "");
  this->SendControl(path);
}

void Soak::RestartWorker() {
  // An endpoint writes its entry every 1.5 s; a cut from the store delays it.
  const std::string path =
      "/control/restart?worker=" + std::to_string(Between(0, 99)) +
      "&ms=" + std::to_string(Between(20, 1500)) +
      "&entry_ms=" + std::to_string(Between(0, 4500)) +
      (Between(0, 1) == 0 ? "&silent=1" : "");
  this->SendControl(path);
}

void Soak::AddWorkerProxies() {
  int open = kWorkers;
  for (int i = 0; i < kWorkers; ++i) {
    auto proxy = std::make_unique<Proxy>(this->loop.get(), 0);
    HttpRequest request;
    request.method = HttpMethod::kPost;
    request.path = "/control/list_port?worker=" + std::to_string(i) +
                   "&port=" + std::to_string(proxy->Port());
    request.timeout = kCallTimeout;
    this->client.Send(
        HttpPeer{"127.0.0.1", this->store}, std::move(request),
        [&open, proxy = proxy.get()](const HttpOutcome& outcome) {
          const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
          if (body.is_object()) {
            proxy->SetTarget(body.value("Port", std::uint16_t{0}));
            --open;
          }
        });
    this->workers.push_back(std::move(proxy));
  }
  if (!this->loop->RunUntil([&open] { return open == 0; }, kCallTimeout)) {
    this->ReportViolation("stand_in_silent");
  }
}

void Soak::RestartAndCutWorker() {
  const int index = Between(0, kWorkers - 1);
  const std::string worker = "worker=" + std::to_string(index);
  const int down_ms = Between(20, 800);
  const int entry_ms = Between(0, 4500);
  const std::string silent = Between(0, 1) == 0 ? "&silent=1" : "";
  this->SendControl("/control/restart?" + worker +
                    "&ms=" + std::to_string(down_ms) +
                    "&entry_ms=" + std::to_string(entry_ms) + silent);
  const milliseconds cut_after(down_ms + Between(20, 2600));
  const milliseconds length(Between(6500, 9500));
  const milliseconds listed(Between(500, 4500));
  Proxy* const proxy = this->workers[static_cast<std::size_t>(index)].get();
  this->loop->After(cut_after, [this, proxy, length] {
    proxy->SetMode(ProxyMode::kBlocked);
    // Calls that wait in the proxy are carried out late.
    this->loop->After(length, [proxy] { proxy->SetMode(ProxyMode::kForward); });
  });
  this->loop->After(cut_after + listed, [this, worker, length, listed] {
    this->SendControl("/control/unlist?" + worker +
                      "&ms=" + std::to_string((length - listed).count()));
  });
}

void Soak::SendControl(const std::string& path) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = path;
  request.timeout = kCallTimeout;
  this->client.Send(HttpPeer{"127.0.0.1", this->store}, std::move(request),
                    [this](const HttpOutcome& outcome) {
                      if (!outcome.Answered()) {
                        this->ReportViolation("stand_in_silent");
                      }
                    });
}

void Soak::WriteRows(const StoreTransaction& rows) {
  HttpRequest request;
  request.method = HttpMethod::kPost;
  request.path = "/v1/rows-tx";
  request.body = platform::EncodeTransaction(rows);
  request.timeout = kCallTimeout;
  this->client.Send(HttpPeer{"127.0.0.1", this->store}, std::move(request),
                    [this](const HttpOutcome& outcome) {
                      // The stand-in leaves some writes without an answer.
                      if (outcome.Answered() && outcome.status != 200) {
                        this->ReportViolation("row_not_written");
                      }
                    });
}

void Soak::ChangeConfiguration() {
  const StoreKey key{platform::kOperatorTable, "", "config"};
  HttpRequest request;
  request.path = platform::ReadPath(key, "", 1);
  request.timeout = kCallTimeout;
  this->client.Send(
      HttpPeer{"127.0.0.1", this->store}, std::move(request),
      [this, key](const HttpOutcome& outcome) {
        const auto read = platform::DecodeStoreReply(outcome.body);
        if (!read || read.value().rows.empty()) {
          this->ReportViolation("configuration_not_read");
          return;
        }
        auto config = nlohmann::json::parse(read.value().rows[0].value);
        const int version = config.at("Version").get<int>() + 1;
        config["Version"] = version;
        nlohmann::json route = config.at("Routes").at(0);
        route["Name"] = "queue-" + std::to_string(version);
        this->newest_prefix = "/jobs-" + std::to_string(version) + "/";
        route["PathPrefix"] = this->newest_prefix;
        config["Routes"].push_back(std::move(route));
        StoreTransaction rows;
        rows.puts.emplace_back(key, config.dump());
        this->WriteRows(rows);
      });
}

void Soak::WriteOddEntry() {
  const std::string nested = std::string(10000, '[') + std::string(10000, ']');
  const auto entry = [](const std::string& address, const std::string& cpu) {
    return R"({"Service":"s","Address":")" + address +
           R"(","Zone":"z1","State":"ready","Capacity":{"Cpu":)" + cpu +
           R"(,"MemMb":64000},"Labels":["a"],"born":5})";
  };
  const std::vector<std::string> odd = {
      entry("127.0.0.1:99999", "4000"),
      entry("127.0.0.1:1", "1e300"),
      entry("127.0.0.1:1", "1e999"),
      entry("127.0.0.1:1", "184467440737095516160"),
      entry("127.0.0.1:1", nested),
      nested,
      "\xff\xfe",
      ""};
  StoreTransaction rows;
  rows.puts.emplace_back(StoreKey{platform::kEndpointTable, "",
                                  "odd-" + std::to_string(this->odd_entries++)},
                         odd[static_cast<std::size_t>(
                             Between(0, static_cast<int>(odd.size()) - 1))]);
  this->WriteRows(rows);
}

void Soak::EndFaults() {
  this->injecting_faults = this->submitting = false;
  // The timers of active faults fire within this time.
  const Instant end =
      this->loop->Now() + milliseconds(this->options.recuts ? 13500 : 7500);
  this->loop->RunUntil([&] { return this->loop->Now() >= end; },
                       milliseconds(20000));
  for (Daemon& daemon : this->daemons) {
    daemon.store->SetMode(ProxyMode::kForward);
    // A daemon must not exit by itself.
    if (daemon.process != nullptr && daemon.process->Wait(milliseconds(0))) {
      this->ReportViolation("daemon_ended name=" + daemon.name);
      daemon.process.reset();
    }
    if (daemon.process == nullptr) {
      this->StartDaemon(&daemon);
    } else {
      daemon.process->Signal(SIGCONT);
    }
  }
}

void Soak::CheckConfiguration() {
  if (this->newest_prefix.empty()) {
    return;
  }
  std::size_t answers = 0;
  for (const Daemon& daemon : this->daemons) {
    HttpRequest request;
    request.path = this->newest_prefix + "0000000000000000";
    request.timeout = kCallTimeout;
    this->client.Send(
        HttpPeer{"127.0.0.1", daemon.frontend_port}, std::move(request),
        [this, &answers, name = daemon.name](const HttpOutcome& outcome) {
          ++answers;
          // 410: the queue is known and the job is not.
          if (!outcome.Answered() || outcome.status != 410) {
            this->ReportViolation("configuration_not_in_force name=" + name +
                                  " status=" + std::to_string(outcome.status));
          }
        });
  }
  this->loop->RunUntil([&] { return answers == this->daemons.size(); },
                       2 * kCallTimeout);
}

void Soak::CheckResults() {
  for (const auto& [id, job] : this->jobs) {
    if (job.accepted && job.final_state.empty()) {
      this->ReportViolation("accepted_job_not_final job=" + id);
    }
    if (job.refused &&
        this->platform->WaitForLine("started job=" + id, milliseconds(0))) {
      this->ReportViolation("refused_job_ran job=" + id);
    }
  }
  for (const std::string& line : this->platform->Lines()) {
    if (line.starts_with("violation=")) {
      this->ReportViolation(line);
    }
  }
}

bool Soak::Run() {
  this->Prepare();
  this->SubmitNextJob();
  this->ReadRandomJob();
  // All daemons receive the first configuration before the faults begin.
  this->loop->After(milliseconds(2000), [this] { this->InjectFault(); });
  const Instant end = this->loop->Now() + this->options.length;
  this->loop->RunUntil([&] { return this->loop->Now() >= end; },
                       this->options.length + milliseconds(30000));
  this->EndFaults();
  this->loop->RunUntil(
      [&] {
        return std::all_of(this->jobs.begin(), this->jobs.end(),
                           [](const auto& entry) {
                             return !entry.second.accepted ||
                                    !entry.second.final_state.empty();
                           });
      },
      kCompletionTimeout);
  this->reading = false;
  this->CheckConfiguration();
  this->CheckResults();
  return this->ok;
}

int Soak::Accepted() const {
  return static_cast<int>(
      std::count_if(this->jobs.begin(), this->jobs.end(),
                    [](const auto& entry) { return entry.second.accepted; }));
}

void Soak::SaveLogs(const std::filesystem::path& target) {
  std::filesystem::create_directories(target);
  for (Daemon& daemon : this->daemons) {
    this->StopProcess(&daemon);
    std::ofstream file(target / (daemon.name + ".log"));
    for (const std::string& line : daemon.log) {
      file << line << '\n';
    }
  }
  std::ofstream file(target / "platform.log");
  for (const std::string& line : this->platform->Lines()) {
    file << line << '\n';
  }
}

int Main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("platform_soak");
  unsigned seed = 1;
  unsigned seeds = 1;
  int seconds = 10;
  SoakOptions soak_options;
  std::string logs_folder;
  options.add_options()("help,h", "print this text")(
      "seed", po::value(&seed)->default_value(seed), "first seed")(
      "seeds", po::value(&seeds)->default_value(seeds), "number of seeds")(
      "seconds", po::value(&seconds)->default_value(seconds),
      "duration of the faults of each seed, in seconds")(
      "daemons",
      po::value(&soak_options.daemons)->default_value(soak_options.daemons),
      "number of daemons")("changes", po::bool_switch(&soak_options.changes),
                           "also change the configuration and leave odd "
                           "entries among those of the endpoints")(
      "advice", po::bool_switch(&soak_options.advice),
      "tasks need tickets of the advice service")(
      "recuts", po::bool_switch(&soak_options.recuts),
      "restarted workers are cut off for longer than a lease, and some tasks "
      "outlast it")("restarts", po::bool_switch(&soak_options.restarts),
                    "workers crash and start again under their ids")(
      "ends-outlast-leases", po::bool_switch(&soak_options.ends_outlast_leases),
      "an end stays valid when its worker's lease expires")(
      "keep", po::value(&logs_folder),
      "folder for the logs of seeds that failed");
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  po::notify(values);
  if (values.count("help") > 0) {
    std::cout << options;
    return EXIT_SUCCESS;
  }
  if (soak_options.daemons < 1) {
    std::cerr << "--daemons: expected at least 1" << std::endl;
    return EXIT_FAILURE;
  }
  soak_options.length = std::chrono::seconds(seconds);
  unsigned failed = 0;
  for (unsigned i = 0; i < seeds; ++i) {
    const std::filesystem::path folder =
        std::filesystem::temp_directory_path() /
        ("peridot_soak_" + std::to_string(getpid()) + "_" +
         std::to_string(seed + i));
    std::filesystem::create_directories(folder);
    {
      soak_options.seed = seed + i;
      soak_options.folder = folder;
      Soak soak(soak_options);
      const bool ok = soak.Run();
      failed += ok ? 0 : 1;
      std::cout << "soak seed=" << seed + i << " accepted=" << soak.Accepted()
                << " faults=" << soak.Faults() << " ok=" << (ok ? "yes" : "no")
                << std::endl;
      if (!ok && !logs_folder.empty()) {
        soak.SaveLogs(std::filesystem::path(logs_folder) /
                      std::to_string(seed + i));
      }
    }
    std::filesystem::remove_all(folder);
  }
  std::cout << "result soak seeds=" << seeds << " failed=" << failed
            << std::endl;
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace peridot::soak

int main(int argc, char** argv) {
  return peridot::soak::Main(argc, argv);
}
