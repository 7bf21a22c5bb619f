#include "review/kit/deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <utility>

namespace review {

namespace {

constexpr char kHost[] = "pule25.example";
constexpr char kKey[] = "sjnbanfqasnmgkcuyj8p";
constexpr int kDeadlineMs = 3000;
constexpr std::int64_t kGraceMs = 6000;
constexpr std::int64_t kReadyMs = 15000;
constexpr std::int64_t kDecideMs = 20;
constexpr std::int64_t kDecideEachMs = 1;
constexpr std::int64_t kValidMs = 3000;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

CaseArguments ReadArguments(int argc, char** argv) {
  CaseArguments arguments;
  if (argc != 4) {
    std::cerr << "usage: case COMMAND FOLDER TROUBLE\n";
    std::exit(kCouldNotRun);
  }
  arguments.command = argv[1];
  arguments.folder = argv[2];
  arguments.trouble = std::string(argv[3]) != "0";
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    std::exit(kCouldNotRun);
  }
  arguments.scratch = pattern;
  return arguments;
}

Deployment::Deployment(const CaseArguments& arguments, int count)
    : record(arguments.folder + "/record.txt"),
      store(&this->record),
      executors(&this->store, &this->record),
      arguments(arguments) {
  signal(SIGPIPE, SIG_IGN);
  this->cloud = std::make_unique<Server>([this](const Request& request) {
    return this->executors.Machines(request);
  });
  this->advice = std::make_unique<Server>(
      [this](const Request& request) { return this->Advise(request); });
  for (int i = 0; i < count; ++i) {
    auto machine = std::make_unique<Machine>();
    machine->zone = "zone-" + std::to_string(i % 3 + 1);
    machine->name = "edge-" + machine->zone + "-" + std::to_string(i / 3 + 1);
    machine->frontend = FreePort();
    machine->ready = FreePort();
    machine->internal = FreePort();
    machine->store =
        std::make_unique<Server>([this, i](const Request& request) {
          return this->store.Handle(i, request);
        });
    machine->settings = arguments.scratch + "/" + machine->name + ".yaml";
    machine->log = arguments.scratch + "/" + machine->name + ".log";
    this->machines.push_back(std::move(machine));
  }
}

Response Deployment::Advise(const Request& request) {
  const Json call = Json::parse(request.body);
  const std::string step = call.at("Step");
  Json good = Json::array();
  for (const Json& executor : call.at("Workers")) {
    if (!this->policy || this->policy(step, executor)) {
      good.push_back(Json::array(
          {executor, TicketFor(step, executor.get<std::string>())}));
    }
  }
  {
    const std::lock_guard<std::mutex> lock(this->advising);
    SleepMs(kDecideMs + kDecideEachMs * static_cast<std::int64_t>(
                                            call.at("Workers").size()));
  }
  this->record.Write("advice: " + step + ", asked for " +
                     std::to_string(call.at("Workers").size()) +
                     " executors, good: " + good.dump());
  return Response{200, Json{{"Good", good}, {"ValidMs", kValidMs}}.dump()};
}

void Deployment::Exit(int code) {
  for (const auto& machine : this->machines) {
    this->Kill(machine.get());
  }
  if (std::getenv("KEEP") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->arguments.scratch, ignored);
  } else {
    std::cout << "logs: " << this->arguments.scratch << "\n";
  }
  std::cout.flush();
  std::_Exit(code);
}

void Deployment::WriteSettings(Machine* machine) {
  std::ofstream(machine->settings)
      << "Node: \"" << machine->name << "\"\n"
      << "Role: \"daemon\"\nMachineClass: \"edge\"\nServes:\n  - \"edge\"\n"
      << "Ip: \"127.0.0.1\"\nZone: \"" << machine->zone << "\"\n"
      << "Region: \"r\"\n"
      << "Zones:\n  zone-1: \"r\"\n  zone-2: \"r\"\n  zone-3: \"r\"\n"
      << "ListenAddrs:\n  Frontend: \"127.0.0.1:" << machine->frontend
      << "\"\n  Ready: \"127.0.0.1:" << machine->ready << "\"\n"
      << "InternalPorts:\n  - " << machine->internal << "\n  - "
      << machine->internal << "\n"
      << "Seeds: []\nBootstrap: true\nFaultCounted: false\n"
      << "Limits:\n  CpuShare: 0.25\n  Cores: 1\n  MemoryMb: 260\n"
      << "  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: 0\n"
      << "DataDir: null\nDiscovery: \"platform\"\nEntry: \"vip\"\n"
      << "HeartbeatMs: 1500\n"
      << "ActiveContracts: [base, drain, config, cost, recover, sched, "
         "tenants, quota, places, platform, advice, upkeep, sharing]\n"
      << "FaultTolerance:\n  Machines: 2\n  Zones: 1\n  Regions: 0\n"
      << "Bounds:\n  SeedLagS: 3\n  AddrReuseS: 2\n  ContactMs: 3000\n"
      << "  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n  GraceS: 6\n"
      << "  LossSlackMs: 200\n  ConfigApplyMs: 2000\n  BackMs: 250\n"
      << "  OuterBoundMs: 5000\n  StrictRevocation: false\n"
      << "  RevokeMs: 5000\n  EvacuateMs: 5000\n  RecoverS: 12\n"
      << "  HoldMaxMs: 10000\n  StopMs: 900\n  GangMs: 3000\n"
      << "  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n"
      << "  finish_s: 14\n  status_s: 120\n  RemoteFactor: 3\n"
      << "  CheckpointS: 2\n  RestoreMs: 100\n  NoticeMs: 4500\n"
      << "  MoveS: 1.5\n  UpkeepS: 2\n  FencingRequired: false\n"
      << "  LeaseMs: 3000\n  ThawMs: 300\n  PaceMs: 100\n  HarmMs: 4000\n"
      << "Orders: \"call\"\nAdvice: \"" << this->advice->Address() << "\"\n"
      << "platform:\n  Address: \"" << machine->store->Address() << "\"\n"
      << "  form: \"table\"\n  WritesPerS: 800\n  ReadsPerS: 2000\n"
      << "  TxMs: 4.0\n  PartWritesS: 250\n  RowBytes: 65536\n"
      << "  Across: true\n  HistoryS: 20\n"
      << "CloudApi:\n  Address: \"" << this->cloud->Address() << "\"\n"
      << "  RatePerS: 64.0\n  Duties: []\n  DutyPerS: 64.0\n";
}

void Deployment::StartMachine(Machine* machine) {
  this->WriteSettings(machine);
  std::vector<std::string> words;
  std::istringstream text(this->arguments.command);
  for (std::string word; text >> word;) {
    words.push_back(word);
  }
  std::vector<char*> argv;
  argv.reserve(words.size() + 1);
  for (std::string& word : words) {
    argv.push_back(word.data());
  }
  argv.push_back(nullptr);
  std::string setting = "PERIDOTWORKS_NODE_FILE=" + machine->settings;
  const char* path = std::getenv("PATH");
  const char* home = std::getenv("HOME");
  std::string path_setting =
      std::string("PATH=") + (path == nullptr ? "/usr/bin" : path);
  std::string home_setting =
      std::string("HOME=") + (home == nullptr ? "/" : home);
  char* const environment[] = {setting.data(), path_setting.data(),
                               home_setting.data(), nullptr};
  const int log =
      open(machine->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) {
      _exit(kCouldNotRun);
    }
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execve(argv[0], argv.data(), environment);
    _exit(kCouldNotRun);
  }
  close(log);
  machine->process = child;
  this->record.Write("machine " + machine->name + ": process started");
}

bool Deployment::Start() {
  for (const auto& machine : this->machines) {
    this->StartMachine(machine.get());
  }
  const std::int64_t until = NowMs() + kReadyMs;
  while (NowMs() < until) {
    const bool ready = std::all_of(
        this->machines.begin(), this->machines.end(), [](const auto& machine) {
          return Call(machine->ready, "GET", "/v1/readiness", {}, "", 500)
                     .status == 200;
        });
    if (ready && this->store.LastWriter() >= 0) {
      SleepMs(2000);
      return true;
    }
    SleepMs(100);
  }
  std::cout << "the daemons did not become ready\n";
  return false;
}

void Deployment::Terminate(Machine* machine) {
  if (machine->process < 0) {
    return;
  }
  this->record.Write("machine " + machine->name + ": SIGTERM");
  kill(machine->process, SIGTERM);
  const std::int64_t until = NowMs() + kGraceMs;
  while (NowMs() < until) {
    if (waitpid(machine->process, nullptr, WNOHANG) == machine->process) {
      machine->process = -1;
      this->record.Write("machine " + machine->name + ": process ended");
      return;
    }
    SleepMs(20);
  }
  this->Kill(machine);
}

void Deployment::Kill(Machine* machine) {
  if (machine->process < 0) {
    return;
  }
  kill(machine->process, SIGKILL);
  waitpid(machine->process, nullptr, 0);
  machine->process = -1;
  this->record.Write("machine " + machine->name + ": process killed");
}

Answer Deployment::ClientCall(const std::string& method,
                              const std::string& queue,
                              const std::string& id,
                              const std::string& body) {
  const auto next = [this] {
    return this->machines[this->next_machine++ % this->machines.size()].get();
  };
  Machine* machine = next();
  for (std::size_t i = 1; machine->process < 0 && i < this->machines.size();
       ++i) {
    machine = next();
  }
  Answer answer = Call(machine->frontend, method, "/" + queue + "/" + id,
                       {{"Host", kHost},
                        {"X-Api-Key", kKey},
                        {"Content-Type", "application/json"},
                        {"Deadline-Ms", std::to_string(kDeadlineMs)}},
                       body, kDeadlineMs);
  this->record.Write(
      "client: " + method + " /" + queue + "/" + id + " at " + machine->name +
      " -> " + (answer.status == 0 ? "none" : std::to_string(answer.status)) +
      " " + answer.body);
  return answer;
}

Answer Deployment::Submit(const std::string& queue,
                          const std::string& id,
                          const Json& body) {
  return this->ClientCall("POST", queue, id, body.dump());
}

Answer Deployment::Show(const std::string& queue, const std::string& id) {
  return this->ClientCall("GET", queue, id, "");
}

Answer Deployment::Cancel(const std::string& queue, const std::string& id) {
  return this->ClientCall("DELETE", queue, id, "");
}

bool Deployment::SubmitUntilAccepted(const std::string& queue,
                                     const std::string& id,
                                     const Json& body,
                                     int attempts) {
  for (int i = 0; i < attempts; ++i) {
    if (IsSuccess(this->Submit(queue, id, body).status)) {
      return true;
    }
    SleepMs(300);
  }
  return false;
}

std::string Deployment::StateOf(const std::string& queue,
                                const std::string& id) {
  const Answer answer = this->Show(queue, id);
  if (answer.status == 410) {
    return "410";
  }
  const Json body = Json::parse(answer.body, nullptr, false);
  return answer.status == 200 && body.is_object() ? body.value("State", "")
                                                  : "";
}

void Deployment::PutConfig(int version, const std::vector<Queue>& queues) {
  Json routes = Json::array();
  Json services = Json::array();
  std::vector<std::string> named;
  for (const Queue& queue : queues) {
    routes.push_back({{"Name", "r-" + queue.name},
                      {"Host", kHost},
                      {"PathPrefix", "/" + queue.name + "/"},
                      {"Kind", "unsafe"},
                      {"TimeoutMs", 3000},
                      {"SloMs", 600},
                      {"Priority", 0},
                      {"Service", queue.service},
                      {"MaxAttempts", queue.attempts},
                      {"Stretch", 1.6},
                      {"AuthExempt", false}});
    if (queue.advice) {
      routes.back()["Advice"] = {{"DecideMs", kDecideMs},
                                 {"EachMs", kDecideEachMs},
                                 {"ValidMs", kValidMs}};
    }
  }
  for (const char* name : {"comptage", "tendances"}) {
    services.push_back({{"Name", name},
                        {"HealthPath", "/health"},
                        {"MaxConns", 64},
                        {"Protocol", "h1"},
                        {"Tls", false},
                        {"ColdStartS", 0.0},
                        {"ColdPerS", 0.0},
                        {"AdmissionCheck", true},
                        {"Spare", false}});
  }
  const Json config{
      {"Version", version},
      {"Routes", std::move(routes)},
      {"Services", std::move(services)},
      {"Limits",
       {{"HeaderBytes", 16384},
        {"BodyBytes", 262144},
        {"HeaderMs", 3000},
        {"IdleTimeoutMs", 15000}}},
      {"Tenants",
       Json::array({{{"Name", "cugo130"},
                     {"ApiKeys", Json::array({kKey})},
                     {"Priority", 1},
                     {"Weight", 54},
                     {"MaxCount",
                      {{"Cpu", 2507140}, {"MemMb", 9000000}, {"Gpu", 0}}}}})}};
  this->store.Put("op", "config", config);
  std::string names;
  for (const Queue& queue : queues) {
    names += " " + queue.name + "->" + queue.service;
  }
  this->record.Write("operator: config " + std::to_string(version) +
                     " confirmed, queues:" + names);
}

}  // namespace review
