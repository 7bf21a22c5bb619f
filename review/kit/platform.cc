#include "review/kit/platform.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <set>
#include <thread>
#include <tuple>
#include <utility>

namespace review {

namespace {

constexpr std::size_t kRowBytes = 65536;
constexpr std::size_t kCallBytes = 1000000;
constexpr std::size_t kCallEntries = 100;
constexpr std::size_t kPageRows = 500;
constexpr std::int64_t kTxMs = 4;
constexpr std::int64_t kTickMs = 5;
constexpr std::size_t kListedEnds = 500;
constexpr std::int64_t kStride = 7919;  // spreads neighbouring tasks
// RULES.md, Words: an end counts as taken note of so long after it was listed.
constexpr std::int64_t kNotedByWordsMs = 100;

const std::chrono::steady_clock::time_point kStart =
    std::chrono::steady_clock::now();

std::string ToBase64(const std::string& text) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string out;
  for (std::size_t i = 0; i < text.size(); i += 3) {
    std::uint32_t bits = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      bits =
          bits << 8 |
          (i + k < text.size() ? static_cast<unsigned char>(text[i + k]) : 0U);
    }
    for (std::size_t k = 0; k < 4; ++k) {
      out += i + k > text.size() ? '=' : kDigits[bits >> (18 - 6 * k) & 63U];
    }
  }
  return out;
}

std::size_t DecodedSize(const std::string& base64) {
  const auto padding =
      static_cast<std::size_t>(std::count(base64.begin(), base64.end(), '='));
  return base64.size() / 4 * 3 - padding;
}

std::string TextOf(const Request& request, const char* name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

std::uint64_t NumberOf(const Request& request,
                       const char* name,
                       std::uint64_t otherwise) {
  const std::string text = TextOf(request, name);
  return text.empty() ? otherwise : std::stoull(text);
}

Work WorkOf(const std::string& spec, const std::string& task) {
  Work work;
  const std::size_t second = task.find('.', task.find('.') + 1);
  const auto step =
      static_cast<std::size_t>(std::stoi(task.substr(second + 1)));
  const Json steps = Json::parse(spec, nullptr, false);
  if (steps.is_array() && step < steps.size()) {
    work.ms = steps[step].value("ms", work.ms);
    const std::int64_t spread = steps[step].value("spread_ms", std::int64_t{0});
    if (spread > 0) {
      work.ms +=
          std::stoll(task.substr(task.rfind('.') + 1)) * kStride % spread;
    }
    work.ends = steps[step].value("ends", work.ends);
    work.lasts = steps[step].value("lasts", false);
    work.ticket = steps[step].value("ticket", false);
    work.cpu = steps[step].value("cpu", work.cpu);
    work.memory = steps[step].value("memory", work.memory);
  }
  return work;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Record
//-----------------------------------------------------------------------------

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - kStart)
      .count();
}

void SleepMs(std::int64_t ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f ",
                static_cast<double>(NowMs()) / 1000);
  this->file << time << line << std::endl;
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

bool IsChange(const Json& call) {
  const Json conditions = call.value("Precondition", Json::array());
  return conditions.size() == 1 && !call.value("Across", false) &&
         conditions[0].at("Ver").get<std::uint64_t>() > 0;
}

std::optional<Response> Store::Handle(int machine, const Request& request) {
  if (NowMs() < this->busy_until) {
    return Response{503, "{}"};
  }
  if (request.path == "/v1/rows-tx" && request.method == "POST") {
    const Json call = Json::parse(request.body);
    const WriteFate what = this->fate ? this->fate(machine, call) : WriteFate{};
    if (!what.lost) {
      SleepMs(kTxMs);
      return this->Transact(machine, call);
    }
    std::thread([this, machine, call, late = what.late_ms] {
      SleepMs(late);
      const Response response = this->Transact(machine, call);
      this->record->Write(
          "store: the unanswered write of machine " + std::to_string(machine) +
          " was executed " + std::to_string(late) +
          " ms after it came: " + std::to_string(response.status));
    }).detach();
    return std::nullopt;
  }
  if (request.path == "/v1/rows-get") {
    SleepMs(kTxMs);
    return this->Get(request);
  }
  if (request.path == "/v1/rows-feed") {
    return this->Feed(request);
  }
  return Response{404, "{}"};
}

Json Store::Stamp() const {
  return Json{{"Ver", this->version}, {"NowMs", NowMs()}};
}

void Store::Apply(const std::string& table,
                  const std::string& part,
                  const std::string& key,
                  const std::optional<std::string>& value) {
  auto& part_rows = this->rows[{table, part}];
  if (value) {
    part_rows[key] = Row{*value, this->version};
  } else if (part_rows.erase(key) == 0) {
    return;
  }
  this->changes[table].emplace_back(this->version, part, key);
}

Response Store::Transact(int machine, const Json& call) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const Json conditions = call.value("Precondition", Json::array());
  const Json puts = call.value("Puts", Json::array());
  const Json removals = call.value("Remove", Json::array());
  if (conditions.size() + puts.size() + removals.size() > kCallEntries ||
      call.dump().size() > kCallBytes) {
    return Response{400, R"({"Error":"the call is too large"})"};
  }
  std::set<std::string> parts;
  for (const Json* list : {&conditions, &puts, &removals}) {
    for (const Json& row : *list) {
      parts.insert(row.value("part", ""));
    }
  }
  if (parts.size() > 1 && !call.value("Across", false)) {
    return Response{400, R"({"Error":"several parts"})"};
  }
  for (const Json& row : puts) {
    const std::string table = row.at("Table");
    if (table == "op" || table == "servers") {
      return Response{403, "{}"};
    }
    if (DecodedSize(row.at("Value").get<std::string>()) > kRowBytes) {
      ++this->too_large;
      this->record->Write(
          "store: refused a call of machine " + std::to_string(machine) +
          ", the row " + table + "/" + row.at("Key").get<std::string>() +
          " has " +
          std::to_string(DecodedSize(row.at("Value").get<std::string>())) +
          " bytes");
      return Response{400, R"({"Error":"a row exceeds RowBytes"})"};
    }
  }
  Json current = Json::array();
  bool holds = true;
  for (const Json& row : conditions) {
    const auto& part_rows =
        this->rows[{row.at("Table"), row.value("part", "")}];
    const auto found = part_rows.find(row.at("Key"));
    const std::uint64_t has =
        found == part_rows.end() ? 0 : found->second.version;
    holds = holds && has == row.at("Ver").get<std::uint64_t>();
    if (has != 0) {
      current.push_back({{"Table", row.at("Table")},
                         {"part", row.value("part", "")},
                         {"Key", row.at("Key")},
                         {"Value", found->second.value},
                         {"Ver", has}});
    }
  }
  if (!holds) {
    Json body = this->Stamp();
    body["rows"] = std::move(current);
    return Response{412, body.dump()};
  }
  ++this->version;
  for (const Json& row : puts) {
    this->Apply(row.at("Table"), row.value("part", ""), row.at("Key"),
                row.at("Value").get<std::string>());
  }
  for (const Json& row : removals) {
    this->Apply(row.at("Table"), row.value("part", ""), row.at("Key"),
                std::nullopt);
  }
  if (IsChange(call)) {
    this->last_writer = machine;
  }
  this->changed.notify_all();
  return Response{200, this->Stamp().dump()};
}

Response Store::Get(const Request& request) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const std::string table = TextOf(request, "Table");
  const std::string part = TextOf(request, "part");
  const std::string to = TextOf(request, "To");
  const std::size_t limit =
      std::min<std::size_t>(kPageRows, NumberOf(request, "Limit", kPageRows));
  const auto& part_rows = this->rows[{table, part}];
  Json found = Json::array();
  bool more = false;
  std::size_t bytes = 0;
  for (auto row = part_rows.lower_bound(TextOf(request, "From"));
       row != part_rows.end() && (to.empty() || row->first < to); ++row) {
    if (found.size() == limit || bytes > kCallBytes) {
      more = true;
      break;
    }
    bytes += row->second.value.size();
    found.push_back({{"Table", table},
                     {"part", part},
                     {"Key", row->first},
                     {"Value", row->second.value},
                     {"Ver", row->second.version}});
  }
  Json body = this->Stamp();
  body["rows"] = std::move(found);
  body["HasMore"] = more;
  return Response{200, body.dump()};
}

Response Store::Feed(const Request& request) {
  std::unique_lock<std::mutex> lock(this->mutex);
  const std::string table = TextOf(request, "Table");
  const std::uint64_t after = NumberOf(request, "After", 0);
  const auto& log = this->changes[table];
  const auto news = [&] {
    return !log.empty() && std::get<0>(log.back()) > after;
  };
  this->changed.wait_for(
      lock, std::chrono::milliseconds(NumberOf(request, "WaitMs", 0)), news);
  // The newest change of each row, in the order of the changes.
  std::set<std::pair<std::string, std::string>> seen;
  std::vector<Json> found;
  for (auto change = log.rbegin(); change != log.rend(); ++change) {
    const auto& [at, part, key] = *change;
    if (at <= after) {
      break;
    }
    if (!seen.emplace(part, key).second) {
      continue;
    }
    const auto& part_rows = this->rows[{table, part}];
    const auto row = part_rows.find(key);
    Json out{{"Table", table}, {"part", part}, {"Key", key}, {"Ver", at}};
    if (row == part_rows.end()) {
      out["Tombstone"] = true;
    } else {
      out["Value"] = row->second.value;
    }
    found.push_back(std::move(out));
  }
  std::reverse(found.begin(), found.end());
  Json body = this->Stamp();
  body["rows"] = found;
  return Response{200, body.dump()};
}

void Store::Put(const std::string& table,
                const std::string& key,
                const Json& value) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->version;
  this->Apply(table, "", key, ToBase64(value.dump()));
  this->changed.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->version;
  this->Apply(table, "", key, std::nullopt);
  this->changed.notify_all();
}

int Store::LastWriter() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->last_writer;
}

int Store::TooLarge() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->too_large;
}

//-----------------------------------------------------------------------------
// [SECTION] Executors
//-----------------------------------------------------------------------------

std::string TicketFor(const std::string& step, const std::string& executor) {
  return "t-" + step + "-" + executor;
}

Executors::Executors(Store* store, Record* record)
    : store(store), record(record) {
  std::thread([this] { this->Tick(); }).detach();
}

void Executors::Add(ExecutorSettings settings) {
  auto added = std::make_unique<Executor>();
  Executor* executor = added.get();
  executor->settings = std::move(settings);
  executor->started = NowMs();
  executor->born = std::chrono::duration_cast<std::chrono::milliseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  executor->server =
      std::make_unique<Server>([this, executor](const Request& request) {
        return this->Handle(executor, request);
      });
  const ExecutorSettings& set = executor->settings;
  const Json row{
      {"Service", set.service},
      {"Address", executor->server->Address()},
      {"Zone", set.zone},
      {"Version", "v1"},
      {"Slots", 8},
      {"State", "ready"},
      {"ColdMs", 0},
      {"Capacity", {{"Cpu", set.cpu}, {"MemMb", set.memory}, {"Gpu", 0}}},
      {"Labels", Json::array({"a", set.rack})},
      {"Seq", 1},
      {"born", executor->born}};
  const std::string id = set.id;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->executors.push_back(std::move(added));
  }
  this->store->Put("servers", id, row);
}

void Executors::CutOff(const std::string& id, std::int64_t until_ms) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& executor : this->executors) {
    if (executor->settings.id == id) {
      executor->cut_until = until_ms;
    }
  }
}

std::vector<Run> Executors::Runs() {
  const std::lock_guard<std::mutex> lock(this->mutex);
  return this->runs;
}

std::optional<Response> Executors::Machines(const Request& request) {
  if (request.path != "/v1/machines") {
    this->record->Write("machines: " + request.method + " " + request.path +
                        " " + request.body + " -> 409 busy");
    return Response{409, R"({"Reason":"busy"})"};
  }
  const std::lock_guard<std::mutex> lock(this->mutex);
  Json machines = Json::array();
  for (const auto& executor : this->executors) {
    const ExecutorSettings& set = executor->settings;
    machines.push_back(
        {{"Machine", set.machine},
         {"Pool", set.service},
         {"State", "up"},
         {"Zone", set.zone},
         {"Labels", Json::array({"a", set.rack})},
         {"Capacity", {{"Cpu", set.cpu}, {"MemMb", set.memory}, {"Gpu", 0}}},
         {"Id", set.id}});
  }
  return Response{200,
                  Json{{"Machines", machines}, {"NextToken", nullptr}}.dump()};
}

std::int64_t Executors::ClockMs(const Executor& executor) const {
  return NowMs() - executor.started;
}

Response Executors::Reply(const Executor& executor,
                          int status,
                          const char* reason) const {
  Json body{{"ClockMs", this->ClockMs(executor)}, {"born", executor.born}};
  if (reason != nullptr) {
    body["Reason"] = reason;
  }
  return Response{status, body.dump()};
}

std::optional<Response> Executors::Handle(Executor* executor,
                                          const Request& request) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (NowMs() < executor->cut_until) {
    return std::nullopt;
  }
  if (request.path == "/health") {
    return Response{200, "{}"};
  }
  const auto expected = request.headers.find("expected-instance");
  if (expected != request.headers.end() &&
      expected->second != executor->settings.id) {
    return this->Reply(*executor, 421, nullptr);
  }
  const Json call = Json::parse(request.body);
  const std::uint64_t fence = call.value("FenceToken", std::uint64_t{0});
  if (fence < executor->fence) {
    return this->Reply(*executor, 409, "fence");
  }
  executor->fence = fence;
  if (request.path == "/v1/run-start") {
    return this->Start(executor, call);
  }
  if (request.path == "/v1/run-stop") {
    return this->Stop(executor, call);
  }
  if (request.path == "/v1/hold") {
    Response response = this->Hold(executor, call, &lock);
    if (NowMs() < executor->cut_until) {
      return std::nullopt;
    }
    return response;
  }
  return this->Reply(*executor, 200, nullptr);
}

void Executors::Extend(Executor* executor, const Json& call) {
  const std::int64_t deadline = call.value("DeadlineMs", std::int64_t{0});
  if (deadline > 0) {
    executor->leased = true;
    executor->lease_until =
        std::max(executor->lease_until,
                 std::min(deadline, this->ClockMs(*executor) +
                                        executor->settings.hold_max_ms));
  }
}

Response Executors::Start(Executor* executor, const Json& call) {
  const std::string task = call.at("Task");
  const std::uint64_t run = call.at("Run");
  if (call.value("DeadlineMs", std::int64_t{0}) <= this->ClockMs(*executor)) {
    return this->Reply(*executor, 409, "late");
  }
  this->Extend(executor, call);
  const auto running = executor->running.find(task);
  if (running != executor->running.end() && running->second.run == run) {
    return this->Reply(*executor, 200, nullptr);
  }
  const auto over = executor->over.find(task);
  if (running != executor->running.end() ||
      (over != executor->over.end() && run <= over->second)) {
    return this->Reply(*executor, 409, "old");
  }
  Active active;
  active.run = run;
  active.work = WorkOf(call.value("Spec", ""), task);
  if (active.work.ticket &&
      call.value("Ticket", "") !=
          TicketFor(task.substr(0, task.rfind('.')), executor->settings.id)) {
    return this->Reply(*executor, 409, "ticket");
  }
  std::int64_t cpu = active.work.cpu;
  std::int64_t memory = active.work.memory;
  for (const auto& [name, other] : executor->running) {
    cpu += other.work.cpu;
    memory += other.work.memory;
  }
  if (cpu > executor->settings.cpu || memory > executor->settings.memory) {
    return this->Reply(*executor, 409, "room");
  }
  active.index = this->runs.size();
  active.ends_at = NowMs() + active.work.ms;
  executor->running[task] = active;
  this->runs.push_back(Run{task, run, executor->settings.id, NowMs()});
  this->record->Write("executor " + executor->settings.id + ": started " +
                      task + " run " + std::to_string(run) + " fence " +
                      std::to_string(executor->fence));
  return this->Reply(*executor, 200, nullptr);
}

Response Executors::Stop(Executor* executor, const Json& call) {
  const std::string task = call.at("Task");
  const std::uint64_t run = call.at("Run");
  const auto running = executor->running.find(task);
  if (running != executor->running.end() && running->second.run <= run) {
    if (running->second.stops_at < 0) {
      running->second.stops_at = NowMs() + executor->settings.stop_ms;
    }
  }
  std::uint64_t& over = executor->over[task];
  over = std::max(over, run);
  return this->Reply(*executor, 200, nullptr);
}

Response Executors::Hold(Executor* executor,
                         const Json& call,
                         std::unique_lock<std::mutex>* lock) {
  this->Extend(executor, call);
  const std::uint64_t cursor = call.value("AckCursor", std::uint64_t{0});
  while (!executor->ended.empty() &&
         this->runs[executor->ended.front()].number <= cursor) {
    Run& run = this->runs[executor->ended.front()];
    run.noted = NowMs();
    this->record->Write("executor " + executor->settings.id +
                        ": end taken note of, " + run.task + " run " +
                        std::to_string(run.run) + " " + run.how);
    executor->ended.pop_front();
  }
  this->ends.wait_for(
      *lock, std::chrono::milliseconds(call.value("WaitMs", std::int64_t{0})),
      [&] { return !executor->ended.empty(); });
  Json running = Json::array();
  for (const auto& [task, active] : executor->running) {
    const std::int64_t worked = NowMs() - this->runs[active.index].start;
    const std::int64_t percent =
        active.work.lasts
            ? (worked > 500 ? 100 : 0)
            : std::min<std::int64_t>(
                  99, worked * 100 / std::max<std::int64_t>(1, active.work.ms));
    running.push_back(
        Json::array({task, active.run, "", percent, active.work.cpu}));
  }
  Json ended = Json::array();
  for (const std::size_t index : executor->ended) {
    if (ended.size() == kListedEnds) {
      break;
    }
    Run& run = this->runs[index];
    run.listed = run.listed < 0 ? NowMs() : run.listed;
    ended.push_back(Json::array({run.number, run.task, run.run, run.how, ""}));
  }
  return Response{200, Json{{"ClockMs", this->ClockMs(*executor)},
                            {"born", executor->born},
                            {"Running", std::move(running)},
                            {"Ended", std::move(ended)}}
                           .dump()};
}

void Executors::End(Executor* executor,
                    const std::string& task,
                    const char* how) {
  const Active active = executor->running.at(task);
  executor->running.erase(task);
  std::uint64_t& over = executor->over[task];
  over = std::max(over, active.run);
  Run& run = this->runs[active.index];
  run.end = NowMs();
  run.how = how;
  run.number = ++executor->last_end;
  executor->ended.push_back(active.index);
  this->record->Write("executor " + executor->settings.id + ": ended " + task +
                      " run " + std::to_string(run.run) + " " + how);
}

void Executors::Tick() {
  for (;;) {
    SleepMs(kTickMs);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const std::int64_t now = NowMs();
    bool any = false;
    for (const auto& executor : this->executors) {
      if (executor->leased &&
          this->ClockMs(*executor) >= executor->lease_until) {
        executor->leased = false;
        for (const std::size_t index : executor->ended) {
          Run& run = this->runs[index];
          run.lapsed = run.lapsed < 0 ? now : run.lapsed;
        }
        while (!executor->running.empty()) {
          any = true;
          const std::string task = executor->running.begin()->first;
          this->End(executor.get(), task, "lapsed");
        }
      }
      std::vector<std::pair<std::string, std::string>> over;
      for (const auto& [task, active] : executor->running) {
        if (!active.work.lasts && active.ends_at <= now) {
          over.emplace_back(task, active.work.ends);
        } else if (active.stops_at >= 0 && active.stops_at <= now) {
          over.emplace_back(task, "stopped");
        }
      }
      for (const auto& [task, how] : over) {
        any = true;
        this->End(executor.get(), task, how.c_str());
      }
    }
    if (any) {
      this->ends.notify_all();
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Rules
//-----------------------------------------------------------------------------

namespace {

// From this time on the end counts as taken note of; -1: never.
std::int64_t NotedAt(const Run& run, bool calm) {
  std::int64_t noted = run.noted;
  if (calm && run.listed >= 0) {
    const std::int64_t by_words = run.listed + kNotedByWordsMs;
    noted = noted < 0 ? by_words : std::min(noted, by_words);
  }
  return noted >= 0 && run.lapsed >= 0 && run.lapsed < noted ? -1 : noted;
}

std::string TextOf(const Run& run) {
  return "run " + std::to_string(run.run) + " on " + run.executor +
         " (started " + std::to_string(run.start) + " ms, " +
         (run.end < 0 ? std::string("at work")
                      : "ended " + std::to_string(run.end) + " ms " + run.how) +
         (run.listed < 0 ? std::string()
                         : ", listed " + std::to_string(run.listed) + " ms") +
         (run.noted < 0 ? std::string()
                        : ", noted " + std::to_string(run.noted) + " ms") +
         ")";
}

}  // namespace

std::vector<std::string> BrokenTwice(const std::vector<Run>& runs, bool calm) {
  std::vector<std::string> broken;
  std::map<std::string, std::vector<const Run*>> by_task;
  for (const Run& run : runs) {
    by_task[run.task].push_back(&run);
  }
  for (const auto& [task, all] : by_task) {
    for (std::size_t i = 0; i < all.size(); ++i) {
      for (std::size_t k = 0; k < i; ++k) {
        const Run& before = *all[k];
        const Run& after = *all[i];
        const bool together = before.end < 0 || before.end > after.start;
        const bool again = before.how == "done" && before.end <= after.start &&
                           NotedAt(before, calm) >= 0;
        if (together || again) {
          std::string line = "TWICE ";
          line += together ? "two at once: " : "started after done: ";
          broken.push_back(line + task + ", " + TextOf(before) + " and " +
                           TextOf(after));
          break;  // one line for each start is enough
        }
      }
    }
  }
  return broken;
}

std::vector<std::string> BrokenBudget(const std::vector<Run>& runs,
                                      int attempts) {
  std::vector<std::string> broken;
  std::map<std::string, int> failed;
  for (const Run& run : runs) {
    if (failed[run.task] >= attempts) {
      broken.push_back("BUDGET " + run.task + " run " +
                       std::to_string(run.run) + " started after " +
                       std::to_string(failed[run.task]) +
                       " runs of it had ended failed");
    }
    if (run.how == "failed" && NotedAt(run, false) >= 0) {
      ++failed[run.task];
    }
  }
  return broken;
}

}  // namespace review
