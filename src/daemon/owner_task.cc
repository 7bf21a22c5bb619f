#include "src/daemon/owner_task.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "src/daemon/job_store.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Age of the last good answer of the store up to which it counts as reachable.
constexpr Milliseconds kStoreFresh{1800};

// Time between two sweeps of final jobs.
constexpr Milliseconds kSweep{5000};

// Resolution of the lapse that is recorded for an endpoint, in ms.
constexpr std::int64_t kLapseUnitMs = 200;

// Time between two explanations of waiting jobs.
constexpr Milliseconds kExplain{1000};

// Jobs removed in one call: three rows each, of the 100 that a call takes.
constexpr std::size_t kRemoveBatch = 30;

std::int64_t UnixMs() {
  return std::chrono::duration_cast<Milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

// What exists only while this daemon owns the fleet.
struct OwnerTask::Ownership {
  JobScheduler scheduler;
  HostPlanner planner;
  std::unique_ptr<TableFollower> jobs;
  std::unique_ptr<TableFollower> cancels;
  std::unique_ptr<TableFollower> endpoints;
  std::map<EndpointId, EndpointRow> endpoint_rows;
  bool endpoints_changed = false;
  Instant began{};
  Instant others_until{};  // an earlier owner may act until then
  int loads_open = 3;      // reads of progress, waves and used endpoints
  std::vector<StoreRow> held_jobs;  // jobs read before these have ended
  bool loaded = false;              // all jobs and endpoints have been read
  bool round_due = false;
  bool writing = false;
  Instant next_write{};
  Instant next_sweep{};
  Instant next_explanation{};
  std::vector<UsedEndpoint> used_written;  // as the store holds them
  std::vector<UsedEndpoint> used_writing;
  WatchId timer = kNoWatch;
  bool reading_hosts = false;
  std::map<std::string, WaveProgress> waves_to_write;
};

OwnerTask::OwnerTask(EventLoop* loop,
                     const FleetPorts* ports,
                     const OperatorView* view,
                     Metrics* metrics,
                     const FleetNodeSettings& settings,
                     OwnerTaskConfig config,
                     ProbePeer probe)
    : loop(loop),
      ports(ports),
      view(view),
      metrics(metrics),
      settings(settings),
      config(config),
      probe(std::move(probe)),
      lease(settings.lease),
      alive(std::make_shared<bool>(true)),
      random(static_cast<unsigned>(
          std::hash<std::string>{}(settings.lease.instance))) {}

OwnerTask::~OwnerTask() {
  *this->alive = false;
}

template <typename Action>
auto OwnerTask::IfOwner(Action action) {
  return
      [this, action = std::move(action), alive = this->alive,
       weak = std::weak_ptr<Ownership>(this->owned)](auto&&... args) mutable {
        if (*alive && !weak.expired() && weak.lock() == this->owned) {
          action(std::forward<decltype(args)>(args)...);
        }
      };
}

//-----------------------------------------------------------------------------
// [SECTION] Lease
//-----------------------------------------------------------------------------

StoreKey OwnerTask::LeaseKey() const {
  return StoreKey{kOwnerTable, kOwnerPart, kOwnerKey};
}

std::int64_t OwnerTask::StoreMs() const {
  return this->store_ms + std::chrono::duration_cast<Milliseconds>(
                              this->loop->Now() - this->store_read)
                              .count();
}

void OwnerTask::NoteStore(const StoreReply& reply) {
  const bool answered = reply.outcome == StoreOutcome::kOk ||
                        reply.outcome == StoreOutcome::kConflict;
  if (answered) {
    this->store_answered = this->loop->Now();
  }
  if (answered && reply.store_ms > 0) {
    this->store_ms = reply.store_ms;
    this->store_read = this->loop->Now();
  }
}

bool OwnerTask::StoreReachable(Instant now) const {
  return this->store_answered != Instant{} &&
         now - this->store_answered < kStoreFresh;
}

void OwnerTask::Start() {
  this->Watch();
}

void OwnerTask::Watch() {
  if (this->releasing) {
    return;
  }
  if (this->lease.Held()) {
    // Ownership renews the lease by its own writes.
    this->Wake();
  } else {
    this->ports->read_one(this->LeaseKey(),
                          [this, alive = this->alive](const StoreReply& reply) {
                            if (*alive) {
                              this->OnLeaseRow(reply);
                            }
                          });
  }
  const Milliseconds spread{static_cast<std::int64_t>(
      this->random() %
      static_cast<unsigned>(this->config.watch_spread.count() + 1))};
  this->loop->After(this->config.watch + spread, [this, alive = this->alive] {
    if (*alive) {
      this->Watch();
    }
  });
}

void OwnerTask::OnLeaseRow(const StoreReply& reply) {
  this->NoteStore(reply);
  if (reply.outcome != StoreOutcome::kOk || this->releasing) {
    return;
  }
  OwnerRow row;
  RowVersion version;
  for (const StoreRow& found : reply.rows) {
    if (found.key.key != kOwnerKey) {
      continue;
    }
    const Result<OwnerRow> decoded = DecodeOwner(found.value);
    if (!decoded) {
      LogError(LogLevel::kError, "owner_row", decoded.error());
      return;
    }
    row = decoded.value();
    version = found.version;
  }
  const std::string holder_before = this->lease.Row().instance;
  if (!this->lease.OnRow(row, version)) {
    this->EndOwnership("lease_taken");
  }
  if (row.instance != holder_before) {
    LogEvent(LogLevel::kInfo, "owner_changed",
             {{"holder", row.holder.value},
              {"epoch", std::to_string(row.epoch.value)},
              {"address", row.address}});
  }
  if (this->lease.ShouldClaim(this->StoreMs())) {
    this->Claim();
  } else if (!this->lease.Held()) {
    this->ProbeHolder();
  }
}

void OwnerTask::ProbeHolder() {
  const OwnerRow& row = this->lease.Row();
  if (row.address.empty()) {
    return;
  }
  const std::string instance = row.instance;
  const OwnerEpoch epoch = row.epoch;
  this->probe(row.address, [this, instance, epoch, alive = this->alive](
                               const std::optional<PeerAnswer>& answer) {
    if (!*alive || this->lease.Row().epoch != epoch) {
      return;
    }
    const bool certain = answer && !answer->refused &&
                         (answer->instance != instance || answer->yields);
    // A refused connection may come from a process that is starting, or from a
    // cut: it counts the second time, and the lease as still in force.
    const bool refused_again =
        answer && answer->refused && this->refused_by == instance;
    this->refused_by = answer && answer->refused ? instance : std::string();
    if (!certain && !refused_again) {
      return;
    }
    LogEvent(LogLevel::kInfo, "owner_over",
             {{"instance", instance},
              {"epoch", std::to_string(epoch.value)},
              {"certain", certain ? "yes" : "no"},
              {"yields", answer->yields ? "yes" : "no"}});
    this->lease.OnHolderOver(epoch, certain);
    this->Claim();
  });
}

OwnerTask::PeerAnswer OwnerTask::AnswerCandidate() {
  PeerAnswer answer;
  answer.instance = this->settings.lease.instance;
  if (this->owned != nullptr &&
      this->loop->Now() - this->write_answered > this->config.yield_after) {
    this->EndOwnership("yield");
  }
  answer.yields = this->owned == nullptr && !this->claiming;
  return answer;
}

void OwnerTask::Claim() {
  if (this->claiming || !this->view->HasConfig()) {
    return;
  }
  this->claiming = true;
  LogEvent(LogLevel::kInfo, "owner_claims",
           {{"holder", this->lease.Row().holder.value},
            {"epoch", std::to_string(this->lease.Row().epoch.value)},
            {"expires_ms", std::to_string(this->lease.Row().expires_ms)},
            {"store_ms", std::to_string(this->StoreMs())},
            {"row_version", std::to_string(this->lease.Version().value)}});
  const OwnerRow row = this->lease.NextRow(this->StoreMs(), false);
  const Instant sent = this->loop->Now();
  this->earlier_until = sent + this->lease.EarlierLeaseLeft(this->StoreMs());
  StoreTransaction transaction;
  transaction.conditions.emplace_back(this->LeaseKey(), this->lease.Version());
  transaction.puts.emplace_back(this->LeaseKey(), EncodeOwner(row));
  this->ports->transact(
      std::move(transaction),
      [this, row, sent, alive = this->alive](const StoreReply& reply) {
        if (*alive) {
          this->OnClaimed(reply, row, sent);
        }
      });
}

void OwnerTask::OnClaimed(const StoreReply& reply,
                          const OwnerRow& row,
                          Instant sent) {
  this->claiming = false;
  this->NoteStore(reply);
  LogEvent(LogLevel::kInfo, "owner_claim",
           {{"epoch", std::to_string(row.epoch.value)},
            {"outcome", StoreOutcomeName(reply.outcome)}});
  // Without an answer, the next read of the row tells; it may already have.
  if (reply.outcome != StoreOutcome::kOk || this->lease.Held()) {
    return;
  }
  this->lease.OnWritten(row, reply.version, sent);
  this->BeginOwnership();
}

void OwnerTask::BeginOwnership() {
  JobSchedulerConfig scheduler = this->settings.scheduler;
  scheduler.epoch = this->lease.Epoch();
  const Instant now = this->loop->Now();
  const Instant others_until = std::max(now, this->earlier_until);
  this->write_answered = now;
  this->owned = std::make_shared<Ownership>(
      Ownership{JobScheduler(scheduler, others_until),
                HostPlanner(this->settings.hosts, now)});
  this->owned->began = now;
  this->owned->others_until = others_until;
  LogEvent(LogLevel::kInfo, "ownership_began",
           {{"epoch", std::to_string(scheduler.epoch.value)},
            {"earlier_lease_left_ms",
             std::to_string(
                 std::chrono::duration_cast<Milliseconds>(others_until - now)
                     .count())}});
  this->metrics->SetGauge("owner_epoch",
                          static_cast<double>(scheduler.epoch.value));
  this->ApplyView();
  this->LoadProgress("");
  this->LoadWaves();
  this->LoadUsedEndpoints();
  this->FollowTables();
}

void OwnerTask::EndOwnership(const char* reason) {
  if (this->owned == nullptr) {
    return;
  }
  LogEvent(LogLevel::kWarning, "ownership_ended",
           {{"reason", reason},
            {"epoch", std::to_string(this->lease.Epoch().value)}});
  this->LogDecisions();
  this->loop->Cancel(this->owned->timer);
  this->owned.reset();
  this->lease.OnLost();
}

void OwnerTask::Release(std::function<void()> done) {
  this->releasing = true;
  if (!this->lease.Held()) {
    this->loop->Post(std::move(done));
    return;
  }
  this->on_released = std::move(done);
  this->Wake();
}

void OwnerTask::WriteRelease() {
  StoreTransaction transaction;
  OwnerRow row = this->lease.Row();
  row.holder = DaemonId{};
  row.address.clear();
  transaction.conditions.emplace_back(this->LeaseKey(), this->lease.Version());
  transaction.puts.emplace_back(this->LeaseKey(), EncodeOwner(row));
  this->EndOwnership("release");
  this->ports->transact(
      std::move(transaction),
      [done = std::move(this->on_released)](const StoreReply& reply) {
        LogEvent(LogLevel::kInfo, "owner_released",
                 {{"outcome", StoreOutcomeName(reply.outcome)}});
        done();
      });
}

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

void OwnerTask::LoadProgress(const std::string& from) {
  this->ports->read(
      StoreKey{kProgressTable, kOwnerPart, from},
      this->IfOwner([this, from](const StoreReply& reply) {
        this->NoteStore(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry, this->IfOwner([=, this] {
            this->LoadProgress(from);
          }));
          return;
        }
        for (const StoreRow& row : reply.rows) {
          Result<JobProgress> progress = DecodeProgress(row.value);
          if (progress) {
            this->owned->scheduler.OnProgress(std::move(progress.value()));
          } else {
            LogError(LogLevel::kError, "progress_row", progress.error());
          }
        }
        if (reply.more && !reply.rows.empty()) {
          this->LoadProgress(reply.rows.back().key.key + '\x01');
        } else {
          this->OnLoaded();
        }
      }));
}

void OwnerTask::LoadWaves() {
  this->ports->read(
      StoreKey{kWaveTable, kOwnerPart, ""},
      this->IfOwner([this](const StoreReply& reply) {
        this->NoteStore(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry,
                            this->IfOwner([this] { this->LoadWaves(); }));
          return;
        }
        for (const StoreRow& row : reply.rows) {
          const Result<WaveProgress> progress = DecodeWaveProgress(row.value);
          if (progress) {
            this->owned->planner.OnWaveProgress(progress.value());
          } else {
            LogError(LogLevel::kError, "wave_row", progress.error());
          }
        }
        this->owned->planner.OnWaves(this->view->Waves(), this->loop->Now());
        this->OnLoaded();
      }));
}

void OwnerTask::LoadUsedEndpoints() {
  this->ports->read(
      StoreKey{kUsedTable, kOwnerPart, ""},
      this->IfOwner([this](const StoreReply& reply) {
        this->NoteStore(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry, this->IfOwner([this] {
            this->LoadUsedEndpoints();
          }));
          return;
        }
        for (const StoreRow& row : reply.rows) {
          auto used = DecodeUsedEndpoints(row.value);
          if (used) {
            for (UsedEndpoint& endpoint : used.value()) {
              if (endpoint.lapse_ms > 0) {
                endpoint.lapse_ms = std::max<std::int64_t>(
                    1, endpoint.lapse_ms - this->StoreMs());
              }
            }
            this->owned->scheduler.OnEarlierEndpoints(used.value(),
                                                      this->loop->Now());
          } else {
            LogError(LogLevel::kError, "used_endpoints_row", used.error());
          }
        }
        this->OnLoaded();
      }));
}

void OwnerTask::OnLoaded() {
  Ownership& owned = *this->owned;
  if (--owned.loads_open > 0) {
    return;
  }
  for (const StoreRow& row : std::exchange(owned.held_jobs, {})) {
    this->TakeJob(row);
  }
  this->CheckLoaded();
}

void OwnerTask::CheckLoaded() {
  Ownership& owned = *this->owned;
  if (!owned.loaded && owned.loads_open == 0 && owned.jobs->Synced() &&
      owned.cancels->Synced() && owned.endpoints->Synced()) {
    owned.loaded = true;
    LogEvent(LogLevel::kInfo, "ownership_loaded",
             {{"ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                        this->loop->Now() - owned.began)
                                        .count())}});
  }
  this->Wake();
}

void OwnerTask::FollowTables() {
  Ownership& owned = *this->owned;
  const auto check_loaded = [this] { this->CheckLoaded(); };
  owned.jobs = std::make_unique<TableFollower>(
      this->loop, this->ports,
      TableFollowerConfig{
          .table = kJobTable, .parts = JobParts(), .report_removed = false},
      TableFollower::Handlers{
          .on_row = [this](const StoreRow& row) { this->OnJobRow(row); },
          .on_batch = [this] { this->Wake(); },
          .on_synced = check_loaded});
  owned.cancels = std::make_unique<TableFollower>(
      this->loop, this->ports,
      TableFollowerConfig{
          .table = kCancelTable, .parts = JobParts(), .report_removed = false},
      TableFollower::Handlers{.on_row =
                                  [this](const StoreRow& row) {
                                    if (!row.removed) {
                                      this->owned->scheduler.OnCancel(
                                          JobId(row.key.key),
                                          this->loop->Now());
                                    }
                                  },
                              .on_batch = [this] { this->Wake(); },
                              .on_synced = check_loaded});
  owned.endpoints = std::make_unique<TableFollower>(
      this->loop, this->ports,
      TableFollowerConfig{.table = this->ports->endpoint_table, .parts = {""}},
      TableFollower::Handlers{
          .on_row = [this](const StoreRow& row) { this->OnEndpointRow(row); },
          .on_batch = [this] { this->Wake(); },
          .on_synced = check_loaded});
  owned.jobs->Start();
  owned.cancels->Start();
  owned.endpoints->Start();
}

void OwnerTask::OnJobRow(const StoreRow& row) {
  if (row.removed) {
    return;
  }
  // A job needs the progress that an earlier owner has recorded.
  if (this->owned->loads_open > 0) {
    this->owned->held_jobs.push_back(row);
  } else {
    this->TakeJob(row);
  }
}

void OwnerTask::TakeJob(const StoreRow& row) {
  Result<AcceptedJob> job = DecodeJob(row.value);
  if (!job) {
    LogError(LogLevel::kError, "job_row", job.error());
    return;
  }
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  const bool before = !owned.loaded || now < owned.others_until;
  const std::int64_t age =
      std::clamp<std::int64_t>(UnixMs() - job.value().accepted_ms, 0, 120000);
  LogEvent(LogLevel::kInfo, "job_taken",
           {{"job", job.value().id.value},
            {"queue", job.value().queue},
            {"age_ms", std::to_string(age)},
            {"row_version", std::to_string(row.version.value)}});
  owned.scheduler.OnJob(std::move(job.value()), before, Milliseconds(age), now);
}

void OwnerTask::OnEndpointRow(const StoreRow& row) {
  Ownership& owned = *this->owned;
  owned.endpoints_changed = true;
  const EndpointId id(row.key.key);
  if (row.removed) {
    owned.endpoint_rows.erase(id);
    return;
  }
  const Result<EndpointRow> endpoint = this->ports->decode_endpoint(row);
  if (!endpoint) {
    LogError(LogLevel::kWarning, "endpoint_row_skipped", endpoint.error());
    owned.endpoint_rows.erase(id);
    return;
  }
  owned.endpoint_rows[id] = endpoint.value();
}

void OwnerTask::OnViewChanged() {
  if (this->owned == nullptr) {
    return;
  }
  this->ApplyView();
  if (this->owned->loads_open == 0) {
    this->owned->planner.OnWaves(this->view->Waves(), this->loop->Now());
  }
  this->Wake();
}

void OwnerTask::ApplyView() {
  const FleetConfig& fleet = this->view->Config().fleet;
  this->owned->scheduler.OnFleetConfig(fleet);
  this->owned->scheduler.OnZonesOut(this->view->ZonesOut());
  this->owned->planner.OnServices(fleet.services);
}

//-----------------------------------------------------------------------------
// [SECTION] Rounds
//-----------------------------------------------------------------------------

void OwnerTask::Wake() {
  if (this->owned == nullptr || this->owned->round_due) {
    return;
  }
  this->owned->round_due = true;
  this->loop->After(this->config.gather,
                    this->IfOwner([this] { this->Round(); }));
}

void OwnerTask::Round() {
  Ownership& owned = *this->owned;
  owned.round_due = false;
  if (this->releasing) {
    if (!owned.writing) {
      this->WriteRelease();
    }
    return;
  }
  const Instant now = this->loop->Now();
  owned.scheduler.OnWallClock(UnixMs(), now);
  if (owned.endpoints_changed) {
    owned.endpoints_changed = false;
    std::vector<EndpointRow> rows;
    for (const auto& [id, row] : owned.endpoint_rows) {
      rows.push_back(row);
    }
    owned.scheduler.OnEndpoints(rows, now);
  }
  if (owned.loaded) {
    owned.scheduler.OnCordoned(owned.planner.Cordoned());
    this->Carry(owned.scheduler.Advance(this->lease.Valid(now), now));
    this->PlanHosts();
  }
  if (owned.scheduler.Fenced()) {
    this->EndOwnership("fenced");
    return;
  }
  this->Write();
  this->RemoveOldJobs();
  this->ExplainWaiting();
  this->LogDecisions();
  this->SetTimer();
}

void OwnerTask::SetTimer() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  this->loop->Cancel(owned.timer);
  const Duration delay = std::max<Duration>(
      this->config.gather, owned.scheduler.NextWake(now) - now);
  owned.timer =
      this->loop->After(delay, this->IfOwner([this] { this->Wake(); }));
}

void OwnerTask::Carry(const SchedulerActions& actions) {
  const OwnerEpoch epoch = this->lease.Epoch();
  const Instant sent = this->loop->Now();
  for (const StopRun& order : actions.stops) {
    this->ports->stop(
        order, epoch, this->IfOwner([this, order](OrderReply reply) {
          this->owned->scheduler.OnStopReply(order, reply, this->loop->Now());
          this->Wake();
        }));
  }
  for (const StartRun& order : actions.starts) {
    this->ports->start(
        order, epoch, this->IfOwner([this, order, sent](OrderReply reply) {
          const Instant now = this->loop->Now();
          this->metrics->ObserveLatency("start_order", now - sent);
          if (reply != OrderReply::kDone) {
            this->metrics->CountRetry(OrderReplyName(reply));
          }
          this->owned->scheduler.OnStartReply(order, reply, now);
          this->Wake();
        }));
  }
  for (const PaceRun& order : actions.paces) {
    this->ports->pace(order, epoch);
  }
  for (const LookAt& look : actions.looks) {
    std::function<void(std::optional<EndpointReportRows>, OrderReply)> done =
        [this, look, sent](const std::optional<EndpointReportRows>& report,
                           OrderReply reply) {
          if (reply == OrderReply::kFenced) {
            this->EndOwnership("fenced");
            return;
          }
          this->owned->scheduler.OnLook(look, report, sent, this->loop->Now());
          this->Wake();
        };
    this->ports->look(look, epoch, this->IfOwner(std::move(done)));
  }
  for (const AskAdvice& call : actions.advice) {
    std::function<void(std::optional<std::vector<AdviceTicket>>, Milliseconds)>
        done = [this, call](
                   const std::optional<std::vector<AdviceTicket>>& tickets,
                   Milliseconds valid) {
          this->owned->scheduler.OnAdvice(call, tickets, valid,
                                          this->loop->Now());
          this->Wake();
        };
    this->ports->advise(call, this->IfOwner(std::move(done)));
  }
}

void OwnerTask::PlanHosts() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  const HostPlan plan = owned.planner.Advance(
      owned.scheduler.Endpoints(now), owned.scheduler.Demand(now),
      this->view->ZonesOut(), this->lease.Valid(now), now);
  for (const EndpointId& endpoint : plan.evict) {
    owned.scheduler.Evict(endpoint, now);
  }
  for (const HostOrder& order : plan.orders) {
    this->ports->order_host(
        order, this->settings.name, this->lease.Epoch(),
        this->IfOwner([this, order](HostOrderReply reply) {
          LogEvent(LogLevel::kInfo, "host_order",
                   {{"host", order.host.value},
                    {"wave", order.wave},
                    {"pool", order.pool.value},
                    {"reply", std::to_string(static_cast<int>(reply))}});
          this->owned->planner.OnReply(order, reply, this->loop->Now());
          this->Wake();
        }));
  }
  for (const WaveProgress& progress : owned.planner.TakeProgress()) {
    owned.waves_to_write[progress.name] = progress;
  }
  if (plan.read_hosts && !owned.reading_hosts) {
    owned.reading_hosts = true;
    std::function<void(std::optional<std::vector<FleetHost>>)> done =
        [this, now](std::optional<std::vector<FleetHost>> hosts) {
          this->owned->reading_hosts = false;
          if (hosts) {
            this->owned->planner.OnHosts(std::move(*hosts), now,
                                         this->loop->Now());
          }
          this->Wake();
        };
    this->ports->read_hosts(this->IfOwner(std::move(done)));
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Writes
//-----------------------------------------------------------------------------

void OwnerTask::Write() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (owned.writing || now < owned.next_write) {
    return;
  }
  const RecordBatch batch = owned.scheduler.TakeBatch(this->config.max_batch);
  if (batch.number == 0 && owned.waves_to_write.empty() &&
      !this->lease.RenewalDue(now)) {
    return;
  }
  owned.used_writing = owned.scheduler.UsedEndpoints(now);
  for (UsedEndpoint& used : owned.used_writing) {
    if (used.lapse_ms > 0) {
      // Rounded up, so that the row does not change with every write.
      used.lapse_ms =
          (used.lapse_ms + this->StoreMs()) / kLapseUnitMs * kLapseUnitMs +
          kLapseUnitMs;
    }
  }
  // Each write renews the lease and fails once another daemon holds it.
  const OwnerRow row = this->lease.NextRow(this->StoreMs(), false);
  StoreTransaction transaction;
  transaction.conditions.emplace_back(this->LeaseKey(), this->lease.Version());
  transaction.puts.emplace_back(this->LeaseKey(), EncodeOwner(row));
  for (const JobProgress& progress : batch.progress) {
    transaction.puts.emplace_back(
        StoreKey{kProgressTable, kOwnerPart, progress.id.value},
        EncodeProgress(progress));
  }
  if (owned.loaded && owned.used_writing != owned.used_written) {
    transaction.puts.emplace_back(StoreKey{kUsedTable, kOwnerPart, kUsedKey},
                                  EncodeUsedEndpoints(owned.used_writing));
  }
  for (const auto& [name, progress] : owned.waves_to_write) {
    transaction.puts.emplace_back(StoreKey{kWaveTable, kOwnerPart, name},
                                  EncodeWaveProgress(progress));
  }
  owned.writing = true;
  owned.next_write = now + this->config.write_spacing;
  std::function<void(StoreReply)> done =
      [this, row, now, number = batch.number](const StoreReply& reply) {
        this->OnWritten(reply, row, now, number);
      };
  this->ports->transact(std::move(transaction), this->IfOwner(std::move(done)));
}

void OwnerTask::OnWritten(const StoreReply& reply,
                          const OwnerRow& row,
                          Instant sent,
                          std::uint64_t batch) {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  this->NoteStore(reply);
  this->metrics->ObserveLatency("record", now - sent);
  if (reply.outcome == StoreOutcome::kOk) {
    owned.writing = false;
    this->lease.OnWritten(row, reply.version, sent);
    this->write_answered = now;
    if (owned.loaded) {
      owned.used_written = owned.used_writing;
    }
    owned.scheduler.OnRecorded(batch, true, now);
    for (const auto& [name, progress] : owned.waves_to_write) {
      this->ReportWave(progress);
    }
    owned.waves_to_write.clear();
    this->Wake();
    return;
  }
  LogEvent(LogLevel::kWarning, "record_failed",
           {{"outcome", StoreOutcomeName(reply.outcome)},
            {"batch", std::to_string(batch)},
            {"lease_valid", this->lease.Valid(now) ? "yes" : "no"}});
  if (reply.outcome == StoreOutcome::kNotDone ||
      reply.outcome == StoreOutcome::kRejected) {
    owned.writing = false;
    owned.next_write = now + this->config.write_retry;
    owned.scheduler.OnRecorded(batch, false, now);
    this->Wake();
    return;
  }
  this->ResolveWrite(batch);
}

void OwnerTask::ResolveWrite(std::uint64_t batch) {
  std::function<void(StoreReply)> done = [this,
                                          batch](const StoreReply& reply) {
    Ownership& owned = *this->owned;
    const Instant now = this->loop->Now();
    this->NoteStore(reply);
    if (reply.outcome != StoreOutcome::kOk) {
      this->loop->After(this->config.write_retry, this->IfOwner([this, batch] {
        this->ResolveWrite(batch);
      }));
      return;
    }
    for (const StoreRow& found : reply.rows) {
      const Result<OwnerRow> row = DecodeOwner(found.value);
      if (found.key.key != kOwnerKey || !row) {
        continue;
      }
      if (!this->lease.OnRow(row.value(), found.version)) {
        this->EndOwnership("lease_taken");
        return;
      }
    }
    // The batch is written again on top of the row as it is now; a repeated
    // record of progress is harmless.
    owned.writing = false;
    owned.scheduler.OnRecorded(batch, false, now);
    this->Wake();
  };
  this->ports->read_one(this->LeaseKey(), this->IfOwner(std::move(done)));
}

void OwnerTask::ReportWave(const WaveProgress& progress) {
  StoreTransaction transaction;
  transaction.puts.push_back(this->ports->encode_wave_report(progress));
  std::function<void(StoreReply)> done = [this,
                                          progress](const StoreReply& reply) {
    LogEvent(LogLevel::kInfo, "wave_report",
             {{"wave", progress.name},
              {"begun", std::to_string(progress.begun.size())},
              {"completed", progress.completed ? "yes" : "no"},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    if (reply.outcome != StoreOutcome::kOk) {
      this->owned->waves_to_write.try_emplace(progress.name, progress);
    }
  };
  this->ports->transact(std::move(transaction), this->IfOwner(std::move(done)));
}

void OwnerTask::RemoveOldJobs() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (now < owned.next_sweep) {
    return;
  }
  owned.next_sweep = now + kSweep;
  std::vector<JobId> old =
      owned.scheduler.FinalBefore(now - this->config.keep_final);
  if (old.empty()) {
    return;
  }
  old.resize(std::min(old.size(), kRemoveBatch));
  StoreTransaction transaction;
  transaction.across_parts = true;
  for (const JobId& id : old) {
    transaction.removals.push_back(StoreKey{kJobTable, PartOf(id), id.value});
    transaction.removals.push_back(
        StoreKey{kCancelTable, PartOf(id), id.value});
    transaction.removals.push_back(
        StoreKey{kProgressTable, kOwnerPart, id.value});
  }
  std::function<void(StoreReply)> done = [this, old](const StoreReply& reply) {
    LogEvent(LogLevel::kInfo, "jobs_removed",
             {{"count", std::to_string(old.size())},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    if (reply.outcome == StoreOutcome::kOk) {
      for (const JobId& id : old) {
        this->owned->scheduler.Forget(id);
      }
    }
  };
  this->ports->transact(std::move(transaction), this->IfOwner(std::move(done)));
}

void OwnerTask::ExplainWaiting() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (now < owned.next_explanation) {
    return;
  }
  owned.next_explanation = now + kExplain;
  std::size_t explained = 0;
  for (const JobId& id :
       owned.scheduler.WaitingSince(now - this->config.explain_after)) {
    if (explained++ == this->config.explain_most) {
      break;
    }
    LogLine(LogLevel::kInfo, "job_waits", owned.scheduler.WhyWaiting(id, now));
  }
}

void OwnerTask::LogDecisions() {
  for (const std::string& text : this->owned->scheduler.TakeDecisions()) {
    LogLine(LogLevel::kInfo, "schedule", text);
  }
  for (const std::string& text : this->owned->planner.TakeDecisions()) {
    LogLine(LogLevel::kInfo, "hosts", text);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

bool OwnerTask::Owns() const {
  return this->owned != nullptr && this->owned->loaded &&
         this->lease.Valid(this->loop->Now());
}

const std::string& OwnerTask::OwnerAddress() const {
  return this->lease.Row().address;
}

std::optional<JobState> OwnerTask::StateOf(const JobId& id) const {
  return this->owned == nullptr ? std::nullopt
                                : this->owned->scheduler.StateOf(id);
}

int OwnerTask::WaitingIn(const std::string& queue) const {
  return this->owned == nullptr ? 0 : this->owned->scheduler.WaitingIn(queue);
}

}  // namespace peridot
