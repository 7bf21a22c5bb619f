#include "stand_ins/platform_shell.h"

#include <openssl/evp.h>

#include <algorithm>
#include <iostream>
#include <utility>

namespace peridot::stand_ins {

namespace {

using Json = nlohmann::json;

// Interval at which due runs and long polls are processed.
constexpr Milliseconds kTickInterval{3};

constexpr Milliseconds kListenRetry{50};

constexpr char kService[] = "work";
constexpr char kHostName[] = "127.0.0.1";

std::string ToBase64(const std::string& text) {
  std::string out((text.size() + 2) / 3 * 4 + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::string FromBase64(const std::string& text) {
  std::string out(text.size(), '\0');
  int size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  for (auto c = text.rbegin(); c != text.rend() && *c == '='; ++c) {
    --size;
  }
  out.resize(static_cast<std::size_t>(std::max(0, size)));
  return out;
}

StoreKey KeyOf(const Json& row) {
  return StoreKey{row.at("Table"), row.value("part", ""), row.at("Key")};
}

Json RowJson(const StoreRow& row) {
  Json out{{"Table", row.key.table},
           {"part", row.key.part},
           {"Key", row.key.key},
           {"Ver", row.version.value}};
  if (row.removed) {
    out["Tombstone"] = true;
  } else {
    out["Value"] = ToBase64(row.value);
  }
  return out;
}

Json StoreJson(const StoreReply& reply, Instant now) {
  Json rows = Json::array();
  for (const StoreRow& row : reply.rows) {
    rows.push_back(RowJson(row));
  }
  const auto ms =
      std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
  return Json{{"rows", std::move(rows)},
              {"HasMore", reply.more},
              {"Ver", reply.version.value},
              {"NowMs", ms}};
}

TaskName TaskOf(const std::string& text) {
  TaskName name;
  const auto first = text.find('.');
  const auto second = text.find('.', first + 1);
  const auto third = text.find('.', second + 1);
  name.job = JobId(text.substr(0, first));
  name.occurrence = std::stoi(text.substr(first + 1));
  name.step = std::stoi(text.substr(second + 1));
  name.index = std::stoi(text.substr(third + 1));
  return name;
}

std::string TextOf(const TaskName& name) {
  return name.job.value + "." + std::to_string(name.occurrence) + "." +
         std::to_string(name.step) + "." + std::to_string(name.index);
}

// Returns the response to an order, with status and reason.
HttpReply OrderResponse(OrderReply reply, std::int64_t clock_ms) {
  Json body{{"ClockMs", clock_ms}};
  switch (reply) {
    case OrderReply::kDone:
      return JsonReply(200, body);
    case OrderReply::kFenced:
      body["Reason"] = "fence";
      break;
    case OrderReply::kOldRun:
      body["Reason"] = "old";
      break;
    case OrderReply::kLate:
      body["Reason"] = "late";
      break;
    case OrderReply::kNoTicket:
      body["Reason"] = "ticket";
      break;
    default:
      body["Reason"] = "room";
      break;
  }
  return JsonReply(409, body);
}

Json ReportJson(const EndpointReportRows& report) {
  Json running = Json::array();
  for (const RunningTask& row : report.running) {
    running.push_back(
        Json::array({TextOf(row.task), row.run, "", row.percent, 0}));
  }
  Json ended = Json::array();
  for (const RunEnd& end : report.ended) {
    ended.push_back(Json::array(
        {end.number, TextOf(end.task), end.run, EndKindName(end.kind), ""}));
  }
  return Json{{"ClockMs", report.clock_ms},
              {"born", report.start_time_ms},
              {"Running", std::move(running)},
              {"Ended", std::move(ended)}};
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Start
//-----------------------------------------------------------------------------

PlatformShell::PlatformShell(ShellLoop& loop, PlatformShellSettings settings)
    : loop(loop), settings(settings), random(settings.seed) {}

Result<void> PlatformShell::Listen() {
  BOOST_OUTCOME_TRY(store_server,
                    HttpServer::Listen(
                        this->loop, {},
                        [this](HttpServer& server, const HttpRequest& request) {
                          this->HandleStore(server, request);
                        }));
  this->store = std::move(store_server);
  for (int i = 0; i < this->settings.workers; ++i) {
    Worker& worker = this->workers.emplace_back();
    worker.id = EndpointId("w" + std::to_string(i));
    BOOST_OUTCOME_TRY(this->ListenWorker(static_cast<std::size_t>(i)));
    WorkerSettings model;
    model.row.id = worker.id;
    model.row.start_time_ms = 1000 + i;
    model.idle_lease_lapses = this->settings.idle_lease_lapses;
    model.row.capacity = Resources{this->settings.cores * 1000, 64000, 0};
    worker.model = std::make_unique<WorkerModel>(model, this->loop.Now());
  }
  if (this->settings.advice) {
    std::vector<EndpointId> ids;
    for (const Worker& worker : this->workers) {
      ids.push_back(worker.id);
    }
    this->advice = std::make_unique<AdviceModel>(*this->settings.advice, ids);
  }
  this->Register();
  this->AdvanceWorkers();
  return boost::outcome_v2::success();
}

std::pair<StoreKey, std::string> PlatformShell::EntryOf(
    std::size_t index) const {
  const Worker& worker = this->workers[index];
  const Json row{
      {"Service", kService},
      {"Address", "127.0.0.1:" + std::to_string(worker.listed_port != 0
                                                    ? worker.listed_port
                                                    : worker.port)},
      {"Zone", index % 2 == 0 ? "z1" : "z2"},
      {"Slots", 8},
      {"State", "ready"},
      {"born", worker.model->Row().start_time_ms},
      {"Capacity",
       {{"Cpu", this->settings.cores * 1000}, {"MemMb", 64000}, {"Gpu", 0}}},
      {"Labels", Json::array({"a", "r" + std::to_string(index / 4)})}};
  return {StoreKey{"servers", "", worker.id.value}, row.dump()};
}

void PlatformShell::Register() {
  StoreTransaction transaction;
  for (std::size_t i = 0; i < this->workers.size(); ++i) {
    transaction.puts.push_back(this->EntryOf(i));
  }
  Json route{{"Name", "queue"},        {"Host", kHostName},
             {"PathPrefix", "/jobs/"}, {"Service", kService},
             {"MaxAttempts", 3},       {"Stretch", 2.0},
             {"SloMs", 500},           {"AuthExempt", true}};
  if (this->settings.advice) {
    const AdviceSettings& call = this->settings.advice->advice;
    route["Advice"] = {{"DecideMs", call.call_latency.count()},
                       {"EachMs", call.latency_per_endpoint.count()},
                       {"ValidMs", call.valid.count()}};
  }
  const Json config{
      {"Version", 1},
      {"Routes", Json::array({std::move(route)})},
      {"Services",
       Json::array({{{"Name", kService}, {"AdmissionCheck", true}}})},
      {"Tenants", Json::array()}};
  transaction.puts.emplace_back(StoreKey{"op", "", "config"}, config.dump());
  this->rows.Transact(transaction);
}

Result<void> PlatformShell::ListenWorker(std::size_t index) {
  Worker& worker = this->workers[index];
  BOOST_OUTCOME_TRY(
      server, HttpServer::Listen(
                  this->loop, {.port = worker.port},
                  [this, index](HttpServer& from, const HttpRequest& request) {
                    this->HandleWorker(index, from, request);
                  }));
  worker.port = server->Port();
  worker.server = std::move(server);
  return boost::outcome_v2::success();
}

bool PlatformShell::RandomEvent(double share) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

void PlatformShell::AdvanceWorkers() {
  for (Worker& worker : this->workers) {
    worker.model->Advance(this->loop.Now());
    this->CheckUnlistedEnds(&worker);
  }
  this->AnswerPolls();
  this->AnswerFeeds();
  this->loop.After(kTickInterval, [this] { this->AdvanceWorkers(); });
}

//-----------------------------------------------------------------------------
// [SECTION] Store
//-----------------------------------------------------------------------------

void PlatformShell::HandleStore(HttpServer& server,
                                const HttpRequest& request) {
  if (request.Is("POST", "/v1/rows-tx")) {
    this->Transact(server, request);
  } else if (request.Is("GET", "/v1/rows-get")) {
    this->Read(server, request);
  } else if (request.Is("GET", "/v1/rows-feed")) {
    this->Feed(server, request);
  } else if (request.Is("GET", "/v1/machines")) {
    server.Reply(request.id, JsonReply(200, {{"Machines", Json::array()}}));
  } else if (request.Is("POST", "/v1/advise")) {
    this->Advise(server, request);
  } else if (request.Is("POST", "/control/restart")) {
    this->Restart(request);
    server.Reply(request.id, JsonReply(200, Json::object()));
  } else if (request.Is("POST", "/control/list_port")) {
    server.Reply(request.id, this->ListPort(request));
  } else if (request.Is("POST", "/control/unlist")) {
    this->Unlist(request);
    server.Reply(request.id, JsonReply(200, Json::object()));
  } else if (request.Is("POST", "/control/silence")) {
    this->Silence(request);
    server.Reply(request.id, JsonReply(200, Json::object()));
  } else {
    server.Reply(request.id, ErrorReply(404, "there is no such call"));
  }
}

void PlatformShell::Transact(HttpServer& server, const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    server.Reply(request.id, ErrorReply(400, "the body is no object"));
    return;
  }
  StoreTransaction transaction;
  for (const Json& row : body.value("Precondition", Json::array())) {
    transaction.conditions.emplace_back(
        KeyOf(row), RowVersion(row.at("Ver").get<std::uint64_t>()));
  }
  for (const Json& row : body.value("Puts", Json::array())) {
    transaction.puts.emplace_back(KeyOf(row), FromBase64(row.at("Value")));
  }
  for (const Json& row : body.value("Remove", Json::array())) {
    transaction.removals.push_back(KeyOf(row));
  }
  const StoreReply reply = this->rows.Transact(transaction);
  this->AnswerFeeds();
  if (this->RandomEvent(this->settings.lost_write_share)) {
    return;  // no response; the connection stays open
  }
  server.Reply(request.id,
               JsonReply(reply.outcome == StoreOutcome::kOk ? 200 : 412,
                         StoreJson(reply, this->loop.Now())));
}

void PlatformShell::Read(HttpServer& server, const HttpRequest& request) {
  const StoreKey from{request.Parameter("Table").value_or(""),
                      request.Parameter("part").value_or(""),
                      request.Parameter("From").value_or("")};
  const std::size_t max_rows =
      std::stoul(request.Parameter("Limit").value_or("500"));
  const StoreReply reply =
      this->rows.Read(from, request.Parameter("To").value_or(""), max_rows);
  server.Reply(request.id, JsonReply(200, StoreJson(reply, this->loop.Now())));
}

void PlatformShell::Feed(HttpServer& server, const HttpRequest& request) {
  (void)server;
  const Milliseconds wait(std::stol(request.Parameter("WaitMs").value_or("0")));
  this->feeds.push_back(PendingFeed{
      request.id, request.Parameter("Table").value_or(""),
      RowVersion(std::stoull(request.Parameter("After").value_or("0"))),
      this->loop.Now() + wait});
  this->AnswerFeeds();
}

void PlatformShell::AnswerFeeds() {
  const Instant now = this->loop.Now();
  std::erase_if(this->feeds, [&](const PendingFeed& waiting) {
    const StoreReply reply = this->rows.Changes(waiting.table, waiting.after);
    if (reply.rows.empty() && now < waiting.until) {
      return false;
    }
    this->store->Reply(waiting.request, JsonReply(200, StoreJson(reply, now)));
    return true;
  });
}

//-----------------------------------------------------------------------------
// [SECTION] Advice
//-----------------------------------------------------------------------------

void PlatformShell::Advise(HttpServer& server, const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (this->advice == nullptr || !body.is_object()) {
    server.Reply(request.id, ErrorReply(400, "no advice for this call"));
    return;
  }
  AdviceRequest call;
  call.step = TaskOf(body.at("Step").get<std::string>() + ".0");
  for (const Json& worker : body.at("Workers")) {
    call.endpoints.emplace_back(worker.get<std::string>());
  }
  const Instant now = this->loop.Now();
  const std::optional<Instant> at = this->advice->Accept(call, now);
  if (!at) {
    server.Reply(request.id, ErrorReply(429, "too many calls wait"));
    return;
  }
  this->loop.After(*at - now, [this, &server, id = request.id, call] {
    std::map<EndpointId, std::int64_t> start_times;
    for (const Worker& worker : this->workers) {
      start_times[worker.id] = worker.model->Row().start_time_ms;
    }
    Json good = Json::array();
    for (const AdviceTicket& ticket :
         this->advice->Answer(call, start_times, this->loop.Now())) {
      good.push_back(Json::array({ticket.endpoint.value, ticket.ticket}));
    }
    const auto valid = this->settings.advice->advice.valid.count();
    server.Reply(id, JsonReply(200, Json{{"Good", std::move(good)},
                                         {"ValidMs", valid}}));
  });
}

//-----------------------------------------------------------------------------
// [SECTION] Workers
//-----------------------------------------------------------------------------

void PlatformShell::ReportViolations(const TaskName& task,
                                     std::size_t index) const {
  for (std::size_t other = 0; other < this->workers.size(); ++other) {
    if (other != index && this->workers[other].model->Runs(task)) {
      std::cout << "violation=two_runs task=" << TextOf(task)
                << " endpoints=" << this->workers[other].id.value << ","
                << this->workers[index].id.value << std::endl;
    }
    for (const RunEnd& end : this->workers[other].model->Acknowledged()) {
      if (end.task == task && end.kind == EndKind::kDone) {
        std::cout << "violation=start_after_done task=" << TextOf(task)
                  << " run=" << end.run << std::endl;
      }
    }
  }
}

void PlatformShell::CheckAcknowledgedEnds(Worker* worker) const {
  const std::vector<RunEnd>& ends = worker->model->Acknowledged();
  for (; worker->checked_ends < ends.size(); ++worker->checked_ends) {
    const RunEnd& end = ends[worker->checked_ends];
    const std::optional<Instant> ended =
        worker->model->EndTime(end.task, end.run);
    const auto started = this->last_starts.find(end.task);
    if (end.kind == EndKind::kDone && ended &&
        started != this->last_starts.end() && started->second > *ended) {
      std::cout << "violation=started_after_end task=" << TextOf(end.task)
                << " run=" << end.run << std::endl;
    }
  }
}

void PlatformShell::CheckUnlistedEnds(Worker* worker) const {
  const std::vector<RunEnd>& ends = worker->model->AcknowledgedUnlisted();
  for (; worker->checked_unlisted < ends.size(); ++worker->checked_unlisted) {
    const RunEnd& end = ends[worker->checked_unlisted];
    std::cout << "violation=unlisted_end_acknowledged worker="
              << worker->id.value << " task=" << TextOf(end.task)
              << " run=" << end.run << " number=" << end.number << std::endl;
  }
}

void PlatformShell::Silence(const HttpRequest& request) {
  Worker& worker = this->workers[this->WorkerOf(request)];
  worker.silent_until =
      this->loop.Now() +
      Milliseconds(std::stol(request.Parameter("ms").value_or("0")));
  worker.executes_orders = request.Parameter("obeys").has_value();
}

void PlatformShell::Restart(const HttpRequest& request) {
  const auto parameter = [&request](const char* name) {
    return std::stoul(request.Parameter(name).value_or("0"));
  };
  const std::size_t index = this->WorkerOf(request);
  Worker& worker = this->workers[index];
  if (worker.server == nullptr) {
    return;  // is down
  }
  std::erase_if(this->polls, [index](const PendingPoll& poll) {
    return poll.worker == index;
  });
  if (request.Parameter("silent")) {
    worker.server->StopListening();
    this->silent_servers.push_back(std::move(worker.server));
  }
  worker.server.reset();
  worker.model->Restart(this->loop.Now());
  std::cout << "restarted worker=" << worker.id.value << std::endl;
  this->loop.After(
      Milliseconds(parameter("ms")),
      [this, index, entry_delay = Milliseconds(parameter("entry_ms"))] {
        this->ListenAgain(index, entry_delay);
      });
}

void PlatformShell::ListenAgain(std::size_t index, Milliseconds entry_delay) {
  if (const Result<void> listening = this->ListenWorker(index); !listening) {
    // Another process may have used the port for a moment.
    std::cerr << "event=listen_again_failed " << listening.error() << '\n';
    this->loop.After(kListenRetry, [this, index, entry_delay] {
      this->ListenAgain(index, entry_delay);
    });
    return;
  }
  this->loop.After(entry_delay, [this, index] { this->WriteEntry(index); });
}

std::size_t PlatformShell::WorkerOf(const HttpRequest& request) const {
  return std::stoul(request.Parameter("worker").value_or("0")) %
         this->workers.size();
}

void PlatformShell::WriteEntry(std::size_t index) {
  if (this->loop.Now() < this->workers[index].unlisted_until) {
    return;
  }
  StoreTransaction transaction;
  transaction.puts.push_back(this->EntryOf(index));
  this->rows.Transact(transaction);
  this->AnswerFeeds();
}

HttpReply PlatformShell::ListPort(const HttpRequest& request) {
  const std::size_t index = this->WorkerOf(request);
  Worker& worker = this->workers[index];
  worker.listed_port = static_cast<std::uint16_t>(
      std::stoul(request.Parameter("port").value_or("0")));
  this->WriteEntry(index);
  return JsonReply(200, {{"Port", worker.port}});
}

void PlatformShell::Unlist(const HttpRequest& request) {
  const std::size_t index = this->WorkerOf(request);
  Worker& worker = this->workers[index];
  const Milliseconds length(std::stol(request.Parameter("ms").value_or("0")));
  worker.unlisted_until = this->loop.Now() + length;
  StoreTransaction transaction;
  transaction.removals.push_back(StoreKey{"servers", "", worker.id.value});
  this->rows.Transact(transaction);
  this->AnswerFeeds();
  this->loop.After(length, [this, index] { this->WriteEntry(index); });
}

OrderReply PlatformShell::Start(std::size_t index,
                                const StartRun& order,
                                const std::string& payload) {
  // The payload defines the run, as in {"ms":300,"cpu":1000,"fails":0.1}:
  // duration, milli-cores and probability of failure.
  const Json behaviour = Json::parse(payload, nullptr, false);
  WorkerTask task;
  if (behaviour.is_object()) {
    task.duration = Milliseconds(behaviour.value("ms", 300));
    task.needs.milli_cores = behaviour.value("cpu", 1000);
    task.ends = this->RandomEvent(behaviour.value("fails", 0.0))
                    ? EndKind::kFailed
                    : EndKind::kDone;
  }
  WorkerModel& model = *this->workers[index].model;
  const bool before = model.Runs(order.task);
  if (!before && this->advice != nullptr &&
      !this->advice->IsValid(order, model.Row(), this->loop.Now())) {
    return OrderReply::kNoTicket;
  }
  const OrderReply reply = model.Start(order, task, this->loop.Now());
  if (reply == OrderReply::kDone && !before) {
    this->ReportViolations(order.task, index);
    this->last_starts[order.task] = this->loop.Now();
    std::cout << "started job=" << order.task.job.value << std::endl;
  }
  return reply;
}

void PlatformShell::HandleWorker(std::size_t index,
                                 HttpServer& server,
                                 const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    server.Reply(request.id, ErrorReply(400, "the body is no object"));
    return;
  }
  Worker& worker = this->workers[index];
  if (&server != worker.server.get()) {
    return;  // a connection to a process that has ended
  }
  const Instant now = this->loop.Now();
  const bool silent = now < worker.silent_until;
  if (silent && !worker.executes_orders) {
    return;  // no response; the connection stays open
  }
  if (request.Header("expected-instance") != worker.id.value) {
    server.Reply(request.id, JsonReply(421, Json::object()));
    return;
  }
  OrderTarget target;
  target.fence = FencingToken(body.value("FenceToken", std::uint64_t{0}));
  if (request.Is("POST", "/v1/hold")) {
    PendingPoll waiting{request.id, index, {}, now};
    waiting.poll.target = target;
    waiting.poll.acknowledged = body.value("AckCursor", EndNumber{0});
    waiting.poll.lease_until_ms = body.value("DeadlineMs", std::int64_t{0});
    waiting.until += Milliseconds(body.value("WaitMs", 0));
    // The lease is renewed when the poll arrives, not when it is answered.
    worker.model->Poll(waiting.poll, now);
    this->CheckAcknowledgedEnds(&worker);
    this->polls.push_back(waiting);
    this->AnswerPolls();
    return;
  }
  OrderReply reply = OrderReply::kBadRequest;
  if (request.Is("POST", "/v1/run-start")) {
    StartRun order;
    order.target = target;
    order.task = TaskOf(body.at("Task"));
    order.run = body.at("Run");
    order.lease_until_ms = body.at("DeadlineMs");
    order.ticket = body.value("Ticket", "");
    reply = this->Start(index, order, body.value("Spec", ""));
  } else if (request.Is("POST", "/v1/run-stop")) {
    StopRun order;
    order.target = target;
    order.task = TaskOf(body.at("Task"));
    order.run = body.at("Run");
    reply = worker.model->Stop(order, now);
  }
  if (silent || this->RandomEvent(this->settings.lost_order_share)) {
    return;  // no response; the connection stays open
  }
  server.Reply(request.id, OrderResponse(reply, worker.model->ClockMs(now)));
}

void PlatformShell::AnswerPolls() {
  const Instant now = this->loop.Now();
  std::erase_if(this->polls, [&](const PendingPoll& waiting) {
    Worker& worker = this->workers[waiting.worker];
    if (now < worker.silent_until) {
      return false;
    }
    PollEndpoint poll = waiting.poll;
    poll.lease_until_ms = 0;
    const auto report = worker.model->Poll(poll, now);
    if (report && report->ended.empty() && now < waiting.until) {
      return false;
    }
    if (report) {
      worker.model->OnListed(*report);
    }
    worker.server->Reply(waiting.request,
                         report ? JsonReply(200, ReportJson(*report))
                                : OrderResponse(OrderReply::kFenced,
                                                worker.model->ClockMs(now)));
    return true;
  });
}

}  // namespace peridot::stand_ins
