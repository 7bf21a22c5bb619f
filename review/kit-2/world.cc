#include "review/kit-2/world.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace review {

namespace {

constexpr std::int64_t kTickMs = 5;
constexpr std::int64_t kStoreMs = 4;  // TxMs
constexpr std::int64_t kHeartbeatMs = 1500;
constexpr std::int64_t kHoldMaxMs = 10000;
constexpr std::int64_t kStopMs = 300;  // StopMs is 900 at most
constexpr std::size_t kEndsListed = 500;
constexpr std::int64_t kMaxWaitMs = 2000;
constexpr int kDeadlineMs = 3000;  // of the clients
constexpr char kHost[] = "pule25.example";
constexpr char kMainQueue[] = "q";
constexpr char kOtherQueue[] = "h";
constexpr char kProgram[] = "target/peridotd_platform";

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

constexpr char kBase64[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string ToBase64(const std::string& in) {
  std::string out;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    unsigned bits = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      bits = bits << 8 |
             (i + j < in.size() ? static_cast<unsigned char>(in[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      out += i + j > in.size() ? '=' : kBase64[bits >> (18 - 6 * j) & 63];
    }
  }
  return out;
}

std::string FromBase64(const std::string& in) {
  std::string out;
  unsigned bits = 0;
  int count = 0;
  for (const char c : in) {
    const char* found = std::find(kBase64, kBase64 + 64, c);
    if (found == kBase64 + 64) {
      break;
    }
    bits = bits << 6 | static_cast<unsigned>(found - kBase64);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255U);
    }
  }
  return out;
}

Reply JsonReply(int status, const Json& body) {
  return Reply{status, body.dump()};
}

std::string Query(const Request& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

std::string KeyOf(const std::string& queue) {
  return "key-of-" + queue;
}

std::string Address(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

std::int64_t NowMs() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - start)
      .count();
}

void Sleep(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record::Line(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->file << NowMs() << " ms  " << text << std::endl;
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

std::optional<Reply> Store::Handle(const Request& request) {
  if (request.path == "/v1/rows-feed") {
    return this->Feed(request);
  }
  Sleep(kStoreMs);
  if (request.path == "/v1/rows-tx") {
    return this->Transact(Json::parse(request.body));
  }
  return request.path == "/v1/rows-get" ? this->Read(request)
                                        : JsonReply(400, Json::object());
}

void Store::Put(const std::string& table,
                const std::string& key,
                const Json& value) {
  const std::lock_guard lock(this->mutex);
  this->tables[table][Key("", key)] =
      Row{ToBase64(value.dump()), ++this->version, false};
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard lock(this->mutex);
  this->tables[table][Key("", key)] = Row{"", ++this->version, true};
}

bool Store::Has(const std::string& table, const std::string& key) {
  const std::lock_guard lock(this->mutex);
  const auto& rows = this->tables[table];
  const auto found = rows.find(Key("", key));
  return found != rows.end() && !found->second.removed;
}

void Store::DropHistory() {
  const std::lock_guard lock(this->mutex);
  this->history_from = this->version;
}

int Store::LostFeeds() {
  const std::lock_guard lock(this->mutex);
  return this->lost_feeds;
}

Json Store::RowJson(const std::string& table,
                    const Key& key,
                    const Row& row) const {
  Json out{{"Table", table},
           {"part", key.first},
           {"Key", key.second},
           {"Ver", row.version}};
  if (row.removed) {
    out["Tombstone"] = true;
  } else {
    out["Value"] = row.value;
  }
  return out;
}

Reply Store::Transact(const Json& body) {
  const std::lock_guard lock(this->mutex);
  const auto find = [&](const Json& named) -> Row& {
    return this->tables[named.at("Table")]
                       [Key(named.value("part", ""), named.at("Key"))];
  };
  bool holds = true;
  Json rows = Json::array();
  for (const Json& named : body.value("Precondition", Json::array())) {
    const Row& row = find(named);
    const std::uint64_t has = row.removed ? 0 : row.version;
    holds = holds && has == named.at("Ver").get<std::uint64_t>();
    if (has != 0) {
      rows.push_back(this->RowJson(
          named.at("Table"), Key(named.value("part", ""), named["Key"]), row));
    }
  }
  if (holds) {
    ++this->version;
    for (const Json& named : body.value("Puts", Json::array())) {
      find(named) = Row{named.at("Value"), this->version, false};
    }
    for (const Json& named : body.value("Remove", Json::array())) {
      find(named) = Row{"", this->version, true};
    }
    rows = Json::array();
  }
  return JsonReply(holds ? 200 : 412, Json{{"rows", std::move(rows)},
                                           {"Ver", this->version},
                                           {"NowMs", NowMs() + 1}});
}

Reply Store::Read(const Request& request) {
  constexpr std::size_t kMaxRows = 500;
  const std::lock_guard lock(this->mutex);
  const std::string limit = Query(request, "Limit");
  const std::size_t most =
      limit.empty() ? kMaxRows : std::min(kMaxRows, std::stoul(limit));
  const std::string table = Query(request, "Table");
  const std::string part = Query(request, "part");
  const std::string to = Query(request, "To");
  const std::map<Key, Row>& all = this->tables[table];
  Json rows = Json::array();
  bool more = false;
  for (auto row = all.lower_bound(Key(part, Query(request, "From")));
       row != all.end() && row->first.first == part &&
       (to.empty() || row->first.second < to);
       ++row) {
    if (row->second.version == 0 || row->second.removed) {
      continue;
    }
    if (rows.size() == most) {
      more = true;
      break;
    }
    rows.push_back(this->RowJson(table, row->first, row->second));
  }
  return JsonReply(200, Json{{"rows", std::move(rows)},
                             {"HasMore", more},
                             {"Ver", this->version},
                             {"NowMs", NowMs() + 1}});
}

Reply Store::Feed(const Request& request) {
  const std::string table = Query(request, "Table");
  const std::uint64_t after = std::stoull(Query(request, "After"));
  const std::int64_t end = NowMs() + std::stoll(Query(request, "WaitMs"));
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (after < this->history_from) {
        ++this->lost_feeds;
        return JsonReply(410, Json::object());
      }
      std::map<std::uint64_t, std::vector<Json>> changed;
      for (const auto& [key, row] : this->tables[table]) {
        if (row.version > after) {
          changed[row.version].push_back(this->RowJson(table, key, row));
        }
      }
      if (!changed.empty() || NowMs() >= end) {
        Json rows = Json::array();
        for (const auto& [at, list] : changed) {
          for (const Json& row : list) {
            rows.push_back(row);
          }
        }
        return JsonReply(200, Json{{"rows", std::move(rows)},
                                   {"Ver", this->version},
                                   {"NowMs", NowMs() + 1}});
      }
    }
    Sleep(3);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Executor
//-----------------------------------------------------------------------------

Executor::Executor(World* world,
                   std::string id,
                   std::string service,
                   int cpu,
                   std::string kind)
    : world(world),
      id(std::move(id)),
      service(std::move(service)),
      cpu(cpu),
      kind(std::move(kind)),
      server(
          [this](const Request& request) { return this->Receive(request); }) {}

void Executor::Start(std::int64_t register_after_ms) {
  const std::lock_guard lock(this->mutex);
  ++this->life;
  this->born_unix_ms = UnixMs();
  this->clock_zero = NowMs();
  this->fence = 0;
  this->lease_until = 0;
  this->last_end = 0;
  this->highest.clear();
  this->ends.clear();
  this->up = true;
  this->register_at = std::max<std::int64_t>(1, NowMs() + register_after_ms);
  if (this->server.Port() == 0) {
    this->server.Listen(FreePort());
  } else {
    this->server.Listen(this->server.Port());
  }
  this->world->record.Line("executor " + this->id + " starts, life " +
                           std::to_string(this->life));
}

void Executor::Crash(bool power) {
  const std::lock_guard lock(this->mutex);
  this->world->record.Line("executor " + this->id + " crashes" +
                           (power ? " without a word" : ""));
  while (!this->runs.empty()) {
    const std::string task = this->runs.begin()->first;
    this->EndRun(task, "lost with its executor");
  }
  this->up = false;
  if (power) {
    this->server.SilenceConnections();
  }
  this->server.Close();
}

void Executor::Cut() {
  const std::lock_guard lock(this->mutex);
  this->world->record.Line("executor " + this->id + " is cut off");
  this->cut = this->store_cut = true;
  this->store_cut_since = NowMs();
  this->server.SilenceConnections();
}

void Executor::CutFromStore() {
  const std::lock_guard lock(this->mutex);
  this->world->record.Line("executor " + this->id + " is cut off the store");
  this->store_cut = true;
  this->store_cut_since = NowMs();
}

void Executor::Heal() {
  const std::lock_guard lock(this->mutex);
  this->world->record.Line("executor " + this->id + " can be reached again");
  this->cut = this->store_cut = false;
  this->register_at = NowMs();
}

void Executor::DelayNextStart(std::int64_t ms) {
  const std::lock_guard lock(this->mutex);
  this->delay_ms = ms;
}

bool Executor::DelaysStart() {
  const std::lock_guard lock(this->mutex);
  return this->delaying;
}

std::string Executor::DelayedTask() {
  const std::lock_guard lock(this->mutex);
  return this->delayed_task;
}

bool Executor::Runs(const std::string& task) {
  const std::lock_guard lock(this->mutex);
  return this->runs.contains(task);
}

bool Executor::RunsAnything() {
  const std::lock_guard lock(this->mutex);
  return !this->runs.empty();
}

std::int64_t Executor::LeaseLeftMs() {
  const std::lock_guard lock(this->mutex);
  return this->lease_until - this->ClockMs();
}

Json Executor::MachineRow() const {
  return Json{{"Machine", "m-" + this->id},
              {"Pool", this->service},
              {"State", "up"},
              {"Zone", "tunis-medina"},
              {"Labels", Json::array({this->kind, "r1"})},
              {"Capacity", {{"Cpu", this->cpu}, {"MemMb", 262144}, {"Gpu", 0}}},
              {"Id", this->id}};
}

Json Executor::EntryJson() const {
  return Json{{"Service", this->service},
              {"Address", Address(this->server.Port())},
              {"Zone", "tunis-medina"},
              {"Version", "1"},
              {"Slots", 8},
              {"State", "ready"},
              {"ColdMs", 0},
              {"Seq", 1},
              {"born", this->born_unix_ms},
              {"Capacity", {{"Cpu", this->cpu}, {"MemMb", 262144}, {"Gpu", 0}}},
              {"Labels", Json::array({this->kind, "r1"})}};
}

void Executor::Tick() {
  const std::lock_guard lock(this->mutex);
  if (!this->up) {
    return;
  }
  this->EndDueRuns();
  if (this->register_at > 0 && !this->store_cut &&
      NowMs() >= this->register_at) {
    this->register_at = 0;
    this->world->store.Put("servers", this->id, this->EntryJson());
    this->world->record.Line("executor " + this->id +
                             " writes its entry, life " +
                             std::to_string(this->life));
  }
  if (this->store_cut && NowMs() - this->store_cut_since > 3 * kHeartbeatMs &&
      this->world->store.Has("servers", this->id)) {
    this->world->store.Remove("servers", this->id);
    this->world->record.Line("the entry of executor " + this->id + " expires");
  }
}

std::int64_t Executor::ClockMs() const {
  return NowMs() - this->clock_zero;
}

void Executor::Extend(std::int64_t deadline_ms) {
  this->lease_until = std::max(
      this->lease_until, std::min(deadline_ms, this->ClockMs() + kHoldMaxMs));
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const auto found = this->runs.find(task);
  const std::int64_t run = found->second.number;
  this->runs.erase(found);
  this->highest[task] = std::max(this->highest[task], run);
  this->ends.push_back(End{++this->last_end, task, run, how, false});
  this->world->OnEnd(task, run, this->id, how);
}

void Executor::EndDueRuns() {
  const bool lapsed = this->ClockMs() >= this->lease_until;
  std::vector<std::pair<std::string, std::string>> due;
  for (const auto& [task, run] : this->runs) {
    if (run.ends_at > 0 && run.ends_at <= NowMs()) {
      due.emplace_back(task, run.stopping ? "stopped" : "done");
    } else if (lapsed) {
      due.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : due) {
    this->EndRun(task, how);
  }
  for (End& end : this->ends) {
    end.lapsed = end.lapsed || lapsed;
  }
}

std::optional<Reply> Executor::Receive(const Request& request) {
  {
    const std::lock_guard lock(this->mutex);
    if (this->cut) {
      return std::nullopt;
    }
    if (this->delay_ms > 0 && request.path == "/v1/run-start") {
      const std::int64_t delay = std::exchange(this->delay_ms, 0);
      this->delaying = true;
      this->delayed_task = Json::parse(request.body).at("Task");
      this->world->record.Line("the order to start " + this->delayed_task +
                               " at " + this->id + " is delayed by " +
                               std::to_string(delay) + " ms: " + request.body);
      std::thread([this, request, delay] {
        Sleep(delay);
        const std::optional<Reply> reply = this->Order(request);
        this->world->record.Line(
            "the delayed order to start " + this->DelayedTask() + " at " +
            this->id + " is carried out: " +
            (reply ? std::to_string(reply->status) + " " + reply->body
                   : std::string("lost")));
        const std::lock_guard after(this->mutex);
        this->delaying = false;
      }).detach();
      return std::nullopt;
    }
  }
  return this->Order(request);
}

std::optional<Reply> Executor::Order(const Request& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  const std::int64_t end =
      NowMs() + std::min(kMaxWaitMs, body.value("WaitMs", std::int64_t{0}));
  std::int64_t asked_life = 0;
  {
    const std::lock_guard lock(this->mutex);
    asked_life = this->life;
    if (!this->up) {
      return std::nullopt;
    }
    const auto named = request.headers.find("expected-instance");
    if (named != request.headers.end() && named->second != this->id) {
      return JsonReply(421, Json{{"ClockMs", this->ClockMs()}});
    }
    const std::int64_t token = body.value("FenceToken", std::int64_t{0});
    if (token < this->fence) {
      return this->Refuse("fence");
    }
    this->fence = token;
    this->EndDueRuns();
    if (request.path == "/v1/run-start") {
      return this->StartRun(body);
    }
    if (request.path == "/v1/run-stop") {
      return this->StopRun(body);
    }
    if (request.path != "/v1/hold") {
      return JsonReply(200, Json{{"ClockMs", this->ClockMs()}});
    }
    if (body.contains("DeadlineMs")) {
      this->Extend(body.at("DeadlineMs"));
    }
    while (!this->ends.empty() &&
           this->ends.front().number <=
               body.value("AckCursor", std::int64_t{0})) {
      if (!this->ends.front().lapsed) {
        this->world->OnNoted(this->ends.front().task, this->ends.front().how);
      }
      this->ends.pop_front();
    }
  }
  while (true) {
    {
      const std::lock_guard lock(this->mutex);
      if (!this->up || this->cut || this->life != asked_life) {
        return std::nullopt;
      }
      if (!this->ends.empty() || NowMs() >= end) {
        return this->Report();
      }
    }
    Sleep(3);
  }
}

Reply Executor::Refuse(const char* reason) const {
  return JsonReply(409, Json{{"ClockMs", this->ClockMs()}, {"Reason", reason}});
}

Reply Executor::StartRun(const Json& body) {
  const std::string task = body.at("Task");
  const std::int64_t run = body.at("Run");
  const std::int64_t deadline = body.at("DeadlineMs");
  if (deadline <= this->ClockMs()) {
    return this->Refuse("late");
  }
  this->Extend(deadline);
  const auto present = this->runs.find(task);
  if (present != this->runs.end() && present->second.number == run) {
    return JsonReply(200, Json{{"ClockMs", this->ClockMs()}});
  }
  const auto ended = this->highest.find(task);
  if (present != this->runs.end() ||
      (ended != this->highest.end() && run <= ended->second)) {
    return this->Refuse("old");
  }
  const TaskNeeds needs = this->world->NeedsOf(task);
  int used = 0;
  for (const auto& [name, other] : this->runs) {
    used += other.needs.cpu;
  }
  if (used + needs.cpu > this->cpu) {
    return this->Refuse("room");
  }
  this->runs[task] =
      Run{run, needs, NowMs(), needs.work_ms > 0 ? NowMs() + needs.work_ms : 0,
          false};
  this->world->OnStart(task, run, this->id);
  return JsonReply(200, Json{{"ClockMs", this->ClockMs()}});
}

Reply Executor::StopRun(const Json& body) {
  const std::string task = body.at("Task");
  const std::int64_t run = body.at("Run");
  this->world->record.Line("order to stop run " + std::to_string(run) + " of " +
                           task + " at " + this->id);
  const auto present = this->runs.find(task);
  if (present == this->runs.end()) {
    this->highest[task] = std::max(this->highest[task], run);
  } else if (present->second.number <= run && !present->second.stopping) {
    present->second.stopping = true;
    present->second.ends_at = NowMs() + kStopMs;
  }
  return JsonReply(200, Json{{"ClockMs", this->ClockMs()}});
}

Reply Executor::Report() const {
  Json running = Json::array();
  for (const auto& [task, run] : this->runs) {
    // Of the work; for a task that lasts, whether it is at work.
    const std::int64_t percent =
        run.needs.work_ms == 0
            ? 100
            : std::min<std::int64_t>(
                  99, 100 * (NowMs() - run.started_at) / run.needs.work_ms);
    running.push_back(Json::array({task, run.number, "", percent, 0}));
  }
  Json ended = Json::array();
  for (const End& end : this->ends) {
    if (ended.size() < kEndsListed) {
      ended.push_back(
          Json::array({end.number, end.task, end.run, end.how, ""}));
    }
  }
  return JsonReply(200, Json{{"ClockMs", this->ClockMs()},
                             {"born", this->born_unix_ms},
                             {"Running", std::move(running)},
                             {"Ended", std::move(ended)}});
}

//-----------------------------------------------------------------------------
// [SECTION] World
//-----------------------------------------------------------------------------

World::World(WorldSettings settings)
    : record(settings.record),
      settings(std::move(settings)),
      platform([this](const Request& request) {
        return this->HandlePlatform(request);
      }) {
  this->platform.Listen();
  std::thread([this] { this->Ticks(); }).detach();
}

World::~World() {
  for (Daemon& daemon : this->daemons) {
    this->KillDaemon(&daemon);
  }
}

void World::Ticks() {
  while (true) {
    std::vector<Executor*> all;
    {
      const std::lock_guard lock(this->mutex);
      for (const auto& executor : this->executors) {
        all.push_back(executor.get());
      }
    }
    for (Executor* executor : all) {
      executor->Tick();
    }
    Sleep(kTickMs);
  }
}

std::optional<Reply> World::HandlePlatform(const Request& request) {
  if (request.path == "/v1/machines") {
    const std::lock_guard lock(this->mutex);
    Json machines = Json::array();
    for (const auto& executor : this->executors) {
      machines.push_back(executor->MachineRow());
    }
    return JsonReply(
        200, Json{{"Machines", std::move(machines)}, {"NextToken", ""}});
  }
  if (request.path == "/v1/machine-move" ||
      request.path == "/v1/machine-upkeep") {
    this->record.Line("refused as busy: " + request.path + " " + request.body);
    return JsonReply(409, Json{{"Reason", "busy"}});
  }
  return this->store.Handle(request);
}

Executor* World::AddExecutor(const std::string& id,
                             const std::string& service,
                             int cpu,
                             const std::string& kind) {
  auto made = std::make_unique<Executor>(this, id, service, cpu, kind);
  Executor* const executor = made.get();
  executor->Start(0);
  const std::lock_guard lock(this->mutex);
  this->executors.push_back(std::move(made));
  return executor;
}

void World::WriteConfig(int version, const std::string& service) {
  const auto pool = [](const char* name) {
    return Json{{"Name", name}, {"AdmissionCheck", true}};
  };
  const auto route = [](const char* name, const std::string& to) {
    return Json{{"Name", name},
                {"Host", kHost},
                {"PathPrefix", "/" + std::string(name) + "/"},
                {"Service", to},
                {"Priority", 0},
                {"MaxAttempts", 4},
                {"Stretch", 2.0},
                {"SloMs", 60000}};
  };
  const auto tenant = [](const char* queue) {
    return Json{{"Name", "tenant-" + std::string(queue)},
                {"Weight", 1.0},
                {"ApiKeys", Json::array({KeyOf(queue)})}};
  };
  this->record.Line("config " + std::to_string(version) + ": queue q goes to " +
                    service);
  this->store.Put(
      "op", "config",
      Json{{"Version", version},
           {"Routes", Json::array({route(kMainQueue, service),
                                   route(kOtherQueue, "horaire")})},
           {"Services", Json::array({pool("comptage"), pool("horaire")})},
           {"Tenants", Json::array({tenant(kMainQueue), tenant(kOtherQueue)})},
           {"Limits", Json::object()}});
}

void World::StartDaemons(int count) {
  const char* const zones[] = {"tunis-medina", "tunis-lac", "tunis-ariana"};
  this->daemons.resize(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    Daemon& daemon = this->daemons[static_cast<std::size_t>(i)];
    daemon.name = "edge-" + std::to_string(i + 1);
    daemon.settings = this->settings.folder + "/" + daemon.name + ".yaml";
    daemon.log = this->settings.folder + "/" + daemon.name + ".log";
    daemon.frontend = FreePort();
    std::ofstream file(daemon.settings);
    file << "Node: \"" << daemon.name << "\"\nRole: \"daemon\"\n"
         << "MachineClass: \"edge\"\nServes: [\"edge\"]\n"
         << "Ip: \"127.0.0.1\"\nZone: \"" << zones[i % 3]
         << "\"\nRegion: \"tunis\"\n"
         << "Zones: {tunis-medina: tunis, tunis-lac: tunis, tunis-ariana: "
            "tunis}\n"
         << "ListenAddrs: {Frontend: \"" << Address(daemon.frontend)
         << "\", Ready: \"" << Address(FreePort()) << "\"}\n"
         << "InternalPorts: [" << FreePort() << ", " << FreePort() << "]\n"
         << "Limits: {CpuShare: 0.25, Cores: 1, MemoryMb: 260, MaxFds: 4100, "
            "LinkMbps: 1000.0, DiskMb: 0}\n"
         << "HeartbeatMs: " << kHeartbeatMs << "\n"
         << "Bounds: {ContactMs: 3000, AckMs: 4000, DrainMs: 2000, GraceS: 6, "
            "ConfigApplyMs: 2000, HoldMaxMs: "
         << kHoldMaxMs
         << ", StopMs: 900, GangMs: 3000, cancel_ms: 3000, visible_ms: 3000, "
            "RemoteFactor: 3, LeaseMs: 3000, FencingRequired: false}\n"
         << "Orders: \"call\"\n"
         << "platform: {Address: \"" << Address(this->platform.Port())
         << "\", form: table, WritesPerS: 800, ReadsPerS: 2000, TxMs: 4.0, "
            "PartWritesS: 250, RowBytes: 65536, Across: true, HistoryS: 20}\n"
         << "CloudApi: {Address: \"" << Address(this->platform.Port())
         << "\", RatePerS: 64.0, DutyPerS: 64.0}\n";
  }
  for (Daemon& daemon : this->daemons) {
    this->StartDaemon(&daemon);
  }
  const bool ready = WaitFor(
      [&] {
        return this->Owner() != nullptr &&
               std::all_of(this->daemons.begin(), this->daemons.end(),
                           [&](const Daemon& daemon) {
                             const auto reply =
                                 this->Ask(daemon, "GET", "", 500);
                             return reply && reply->status == 200;
                           });
      },
      15000);
  if (!ready) {
    std::cerr << "the daemons are not ready" << std::endl;
    for (Daemon& daemon : this->daemons) {
      this->KillDaemon(&daemon);
    }
    std::_Exit(2);
  }
  this->record.Line("all daemons are ready, " + this->Owner()->name +
                    " decides");
}

void World::StartDaemon(Daemon* daemon) {
  this->record.Line("daemon " + daemon->name + " is started");
  const pid_t child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(daemon->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    setenv("PERIDOTWORKS_NODE_FILE", daemon->settings.c_str(), 1);
    execl(kProgram, kProgram, static_cast<char*>(nullptr));
    _exit(127);
  }
  daemon->process = child;
}

void World::KillDaemon(Daemon* daemon) {
  if (daemon->process == 0) {
    return;
  }
  int status = 0;
  if (waitpid(daemon->process, &status, WNOHANG) == daemon->process) {
    this->record.Line("daemon " + daemon->name + " had ended by itself");
  } else {
    this->record.Line("daemon " + daemon->name + " is killed");
    kill(daemon->process, SIGKILL);
    waitpid(daemon->process, &status, 0);
  }
  daemon->process = 0;
}

void World::Freeze(Daemon* daemon) {
  this->record.Line("daemon " + daemon->name + " freezes");
  kill(daemon->process, SIGSTOP);
}

void World::Thaw(Daemon* daemon) {
  this->record.Line("daemon " + daemon->name + " goes on");
  kill(daemon->process, SIGCONT);
}

Daemon* World::Owner() {
  Request request;
  request.path = "/v1/rows-get";
  request.query = {{"Table", "owner"}, {"part", "owner"}, {"From", "lease"}};
  const std::optional<Reply> reply = this->store.Handle(request);
  const Json body = Json::parse(reply->body);
  for (const Json& row : body.at("rows")) {
    const Json lease = Json::parse(FromBase64(row.at("Value")), nullptr, false);
    for (Daemon& daemon : this->daemons) {
      if (lease.is_object() && lease.value("holder", "") == daemon.name) {
        return &daemon;
      }
    }
  }
  return nullptr;
}

bool World::Submit(const std::string& id,
                   const Json& body,
                   TaskNeeds task,
                   const std::string& queue) {
  for (int attempt = 0; attempt < 5; ++attempt) {
    const Daemon& daemon =
        this->daemons[static_cast<std::size_t>(attempt) % this->daemons.size()];
    if (daemon.process != 0 &&
        this->SubmitOnce(daemon, id, body, task, queue)) {
      return true;
    }
  }
  return false;
}

bool World::SubmitOnce(const Daemon& daemon,
                       const std::string& id,
                       const Json& body,
                       TaskNeeds task,
                       const std::string& queue) {
  {
    const std::lock_guard lock(this->mutex);
    this->needs[id] = task;
  }
  const std::string text = body.dump();
  const std::optional<Reply> reply =
      Call(daemon.frontend, "POST", "/" + queue + "/" + id,
           {{"Host", kHost},
            {"X-Api-Key", KeyOf(queue)},
            {"Deadline-Ms", std::to_string(kDeadlineMs)}},
           text, kDeadlineMs);
  this->record.Line("POST " + id + " at " + daemon.name + " " + text + " -> " +
                    (reply ? std::to_string(reply->status) : "no answer"));
  return reply && reply->status == 200;
}

std::optional<Reply> World::Ask(const Daemon& daemon,
                                const std::string& method,
                                const std::string& id,
                                int timeout_ms,
                                const std::string& queue) {
  return Call(daemon.frontend, method, "/" + queue + "/" + id,
              {{"Host", kHost}, {"X-Api-Key", KeyOf(queue)}}, "", timeout_ms);
}

std::string World::StateOf(const std::string& id, const std::string& queue) {
  for (const Daemon& daemon : this->daemons) {
    if (daemon.process == 0) {
      continue;
    }
    const std::optional<Reply> reply =
        this->Ask(daemon, "GET", id, kDeadlineMs, queue);
    if (reply && reply->status == 200) {
      return Json::parse(reply->body).value("State", "");
    }
    if (reply) {
      return std::to_string(reply->status);
    }
  }
  return "no answer";
}

bool World::HasStarted(const std::string& task) {
  const std::lock_guard lock(this->mutex);
  return this->last_start.contains(task);
}

TaskNeeds World::NeedsOf(const std::string& task) {
  const std::lock_guard lock(this->mutex);
  return this->needs[task.substr(0, task.find('.'))];
}

void World::OnStart(const std::string& task,
                    std::int64_t run,
                    const std::string& executor) {
  this->record.Line("run " + std::to_string(run) + " of " + task +
                    " starts at " + executor);
  const std::lock_guard lock(this->mutex);
  std::vector<Running>& now = this->running[task];
  const std::string what =
      "TWICE: run " + std::to_string(run) + " of " + task + " starts at ";
  for (const Running& other : now) {
    std::string text = what + executor;
    text.append(" while run ").append(std::to_string(other.run));
    text.append(" is at work at ").append(other.executor);
    this->broken.push_back(text.append(", which is up"));
  }
  if (this->noted.contains(task)) {
    this->broken.push_back(what + executor +
                           " after a run ended done and was taken note of");
  }
  now.push_back(Running{executor, run});
  this->last_start[task] = NowMs();
}

void World::OnEnd(const std::string& task,
                  std::int64_t run,
                  const std::string& executor,
                  const std::string& how) {
  this->record.Line("run " + std::to_string(run) + " of " + task + " at " +
                    executor + " ends: " + how);
  const std::lock_guard lock(this->mutex);
  std::erase_if(this->running[task], [&](const Running& other) {
    return other.executor == executor && other.run == run;
  });
  if (how == "done") {
    this->done_at[task] = NowMs();
  }
}

void World::OnNoted(const std::string& task, const std::string& how) {
  if (how != "done") {
    return;
  }
  const std::lock_guard lock(this->mutex);
  if (this->noted.insert(task).second &&
      this->last_start[task] > this->done_at[task]) {
    this->broken.push_back("TWICE: " + task +
                           " was started after a run had ended done, which is "
                           "taken note of now");
  }
}

std::vector<std::string> World::Broken() {
  const std::lock_guard lock(this->mutex);
  return this->broken;
}

void World::Break(const std::string& text) {
  const std::lock_guard lock(this->mutex);
  this->broken.push_back(text);
}

}  // namespace review
