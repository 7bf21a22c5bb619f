// Rounds of decisions of the owner, the orders that result, and writes.

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "src/daemon/job_store.h"
#include "src/daemon/owner_task_internal.h"
#include "src/daemon/wall_time.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Resolution of the recorded time at which an endpoint's use ends, in ms.
constexpr std::int64_t kLapseUnitMs = 200;

// Validity, in longest pauses between rounds, from which on tickets can wait
// for the next round.
constexpr int kPausesPerTicket = 4;

// Returns the endpoints of the hosts that are not being moved or maintained:
// both end the endpoint at once.
std::set<EndpointId> RunningEndpoints(const std::vector<FleetHost>& hosts) {
  std::set<EndpointId> running;
  for (const FleetHost& host : hosts) {
    if (host.state != FleetHostState::kMoving &&
        host.state != FleetHostState::kMaintenance) {
      running.insert(host.endpoint);
    }
  }
  return running;
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Rounds
//-----------------------------------------------------------------------------

void OwnerTask::ScheduleRound() {
  if (this->owned == nullptr || this->owned->round_due) {
    return;
  }
  this->owned->round_due = true;
  // A pause of twice the last round's duration limits rounds to a third of the
  // processor time. The rest is needed to send the orders and to process the
  // answers of endpoints and the store.
  const Duration pause = std::clamp<Duration>(2 * this->owned->round_duration,
                                              this->config.round_delay,
                                              this->config.max_round_delay);
  this->loop->After(pause, this->IfOwner([this] { this->RunRound(); }));
}

void OwnerTask::RunRound() {
  Ownership& owned = *this->owned;
  owned.round_due = false;
  if (this->release_pending) {
    if (!owned.writing) {
      this->WriteRelease();
    }
    return;
  }
  const Instant now = this->loop->Now();
  owned.scheduler.OnWallClock(UnixMs(), now);
  for (const auto& [id, row] : std::exchange(owned.endpoint_changes, {})) {
    if (row) {
      owned.scheduler.OnEndpointListed(*row, now);
    } else {
      owned.scheduler.OnEndpointUnlisted(id, now);
    }
  }
  if (owned.loaded) {
    this->ExecuteActions(owned.scheduler.Advance(this->lease.Valid(now), now));
    if (now >= owned.next_plan) {
      owned.next_plan = now + this->config.min_plan_interval;
      this->PlanHosts();
    }
  }
  if (owned.scheduler.Fenced()) {
    this->EndOwnership("fenced");
    return;
  }
  this->Write();
  this->CloseJobs();
  this->RemoveOldJobs();
  this->RemoveSettledProgress();
  owned.rates.OnTotals(owned.scheduler.CompletedCoreSeconds(), now);
  this->ComparePredictions();
  this->ExplainWaiting();
  this->LogDecisions();
  this->SetTimer();
  owned.round_duration = this->loop->Now() - now;
}

void OwnerTask::SetTimer() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  this->loop->Cancel(owned.timer);
  const Duration delay = std::max<Duration>(
      this->config.round_delay, owned.scheduler.NextWake(now) - now);
  owned.timer = this->loop->After(
      delay, this->IfOwner([this] { this->ScheduleRound(); }));
}

void OwnerTask::ExecuteActions(const SchedulerActions& actions) {
  const Instant sent = this->loop->Now();
  for (const StopRun& order : actions.stops) {
    this->ports->stop(order, this->IfOwner([this, order](OrderReply reply) {
      this->owned->scheduler.OnStopReply(order, reply, this->loop->Now());
      this->ScheduleRound();
    }));
  }
  for (const StartRun& order : actions.starts) {
    this->ports->start(
        order, this->IfOwner([this, order, sent](const OrderAnswer& answer) {
          const Instant now = this->loop->Now();
          this->metrics->ObserveLatency("start_order", now - sent);
          if (answer.reply != OrderReply::kDone) {
            this->metrics->CountRetry(OrderReplyName(answer.reply));
          }
          this->owned->scheduler.OnStartReply(order, answer, now);
          this->ScheduleRound();
        }));
  }
  for (const PaceRun& order : actions.paces) {
    this->ports->pace(order);
  }
  for (const PollEndpoint& poll : actions.polls) {
    std::function<void(std::optional<EndpointReportRows>, OrderReply)> done =
        [this, poll, sent](const std::optional<EndpointReportRows>& report,
                           OrderReply reply) {
          JobScheduler& scheduler = this->owned->scheduler;
          if (reply == OrderReply::kFenced) {
            scheduler.OnPollFenced(poll, this->loop->Now());
          } else {
            scheduler.OnPollResult(poll, report, sent, this->loop->Now());
          }
          if (scheduler.Fenced()) {
            this->EndOwnership("fenced");
            return;
          }
          this->ScheduleRound();
        };
    this->ports->poll(poll, this->IfOwner(std::move(done)));
  }
  for (const AdviceRequest& call : actions.advice) {
    std::function<void(std::optional<std::vector<AdviceTicket>>, Milliseconds)>
        done = [this, call](
                   const std::optional<std::vector<AdviceTicket>>& tickets,
                   Milliseconds valid) {
          this->owned->scheduler.OnAdvice(call, tickets, valid,
                                          this->loop->Now());
          // Tickets of short validity could expire during the pause.
          if (valid.count() > 0 &&
              valid < kPausesPerTicket * this->config.max_round_delay) {
            this->RunRound();
          } else {
            this->ScheduleRound();
          }
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
  owned.orders_to_record.insert(owned.orders_to_record.end(),
                                plan.orders.begin(), plan.orders.end());
  owned.scheduler.OnCordoned(owned.planner.Cordoned());
  for (const WaveProgress& progress : owned.planner.TakeProgress()) {
    owned.waves_to_write[progress.name] = progress;
  }
  if (plan.read_hosts && !owned.reading_hosts) {
    owned.reading_hosts = true;
    std::function<void(std::optional<std::vector<FleetHost>>)> done =
        [this, now](std::optional<std::vector<FleetHost>> hosts) {
          this->owned->reading_hosts = false;
          if (hosts) {
            const Instant received = this->loop->Now();
            this->owned->scheduler.OnHostEndpoints(RunningEndpoints(*hosts),
                                                   now, received);
            this->owned->host_cores.clear();
            this->owned->all_host_cores = 0;
            for (const FleetHost& host : *hosts) {
              if (host.state != FleetHostState::kDown) {
                const double cores =
                    static_cast<double>(host.capacity.milli_cores) / 1000;
                this->owned->host_cores[host.pool] += cores;
                this->owned->all_host_cores += cores;
              }
            }
            this->owned->hosts_read = received;
            this->owned->planner.OnHosts(std::move(*hosts), now, received);
          }
          this->ScheduleRound();
        };
    this->ports->read_hosts(this->IfOwner(std::move(done)));
  }
}

void OwnerTask::RecordHostOrders(const OwnerRow& row,
                                 StoreTransaction* transaction) {
  Ownership& owned = *this->owned;
  if (owned.orders_to_record.empty()) {
    return;
  }
  const std::int64_t forget_before =
      this->StoreMs() - this->settings.hosts.order_delay_after_takeover.count();
  std::erase_if(owned.recorded_orders, [&](const auto& entry) {
    return entry.second < forget_before;
  });
  for (const HostOrder& order : owned.orders_to_record) {
    // The owner sends no order after its lease has expired.
    owned.recorded_orders[order.host] = row.expires_ms;
    owned.orders_in_write.push_back(order);
  }
  owned.orders_to_record.clear();
  transaction->puts.emplace_back(
      StoreKey{kHostOrderTable, kOwnerPart, kHostOrderKey},
      EncodeHostOrders(owned.recorded_orders));
}

void OwnerTask::RecordHostOrdersAgain() {
  Ownership& owned = *this->owned;
  owned.orders_to_record.insert(owned.orders_to_record.end(),
                                owned.orders_in_write.begin(),
                                owned.orders_in_write.end());
  owned.orders_in_write.clear();
}

void OwnerTask::SendHostOrders() {
  const bool valid = this->lease.Valid(this->loop->Now());
  for (const HostOrder& order :
       std::exchange(this->owned->orders_in_write, {})) {
    if (!valid) {
      this->owned->planner.OnReply(order, HostOrderReply::kNotSent,
                                   this->loop->Now());
      continue;
    }
    this->ports->order_host(
        order, this->settings.name, this->lease.Epoch(),
        this->IfOwner([this, order](HostOrderReply reply) {
          LogEvent(LogLevel::kInfo, "host_order",
                   {{"host", order.host.value},
                    {"wave", order.wave},
                    {"pool", order.pool.value},
                    {"reply", std::to_string(static_cast<int>(reply))}});
          this->owned->planner.OnReply(order, reply, this->loop->Now());
          this->ScheduleRound();
        }));
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Writes
//-----------------------------------------------------------------------------

std::string OwnerTask::EncodeProgressRow(const JobProgress& progress) const {
  std::string row = EncodeProgress(progress);
  if (row.size() > this->settings.store.max_row_bytes &&
      !progress.checkpoints.empty()) {
    // Without its checkpoints a job loses work after a takeover, but no end.
    LogEvent(LogLevel::kError, "checkpoints_not_recorded",
             {{"job", progress.id.value},
              {"bytes", std::to_string(row.size())},
              {"checkpoints", std::to_string(progress.checkpoints.size())}});
    JobProgress smaller = progress;
    smaller.checkpoints.clear();
    row = EncodeProgress(smaller);
  }
  return row;
}

std::int64_t OwnerTask::StoredLapse(std::int64_t remaining_ms) const {
  // Rounded up, so that the row does not change with every write.
  return remaining_ms == 0
             ? 0
             : (remaining_ms + this->StoreMs()) / kLapseUnitMs * kLapseUnitMs +
                   kLapseUnitMs;
}

std::int64_t OwnerTask::RemainingLapse(std::int64_t stored_ms) const {
  return stored_ms == 0
             ? 0
             : std::max<std::int64_t>(1, stored_ms - this->StoreMs());
}

void OwnerTask::AddUsedEndpoints(StoreTransaction* transaction) {
  Ownership& owned = *this->owned;
  std::vector<UsedEndpoint> used =
      owned.scheduler.TakeUsedEndpoints(this->loop->Now());
  for (UsedEndpoint& endpoint : used) {
    endpoint.lapse_ms = this->StoredLapse(endpoint.lapse_ms);
    endpoint.long_lease_ms = this->StoredLapse(endpoint.long_lease_ms);
    for (UnansweredStart& start : endpoint.unanswered_starts) {
      start.remaining_ms = this->StoredLapse(start.remaining_ms);
    }
  }
  owned.used_rows.AddChanges(used, this->settings.store.max_row_bytes,
                             transaction);
}

void OwnerTask::Write() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (owned.writing || now < owned.next_write) {
    return;
  }
  RecordBatch batch;
  if (!std::exchange(owned.skip_progress, false)) {
    batch = owned.scheduler.TakeBatch(
        BatchLimits{owned.max_rows, this->settings.store.max_batch_bytes});
  }
  if (batch.number == 0 && owned.waves_to_write.empty() &&
      owned.orders_to_record.empty() && !this->lease.RenewalDue(now) &&
      !(owned.loaded && (owned.scheduler.HasHeldJobs() ||
                         owned.scheduler.HasUnstoredQueueMoves() ||
                         owned.scheduler.HasUnstoredLeases(now) ||
                         owned.scheduler.HasUnstoredStarts(now)))) {
    return;
  }
  // Each write renews the lease and fails if another daemon holds it.
  OwnerRow row = this->lease.NextRow(this->StoreMs(), false);
  if (owned.loaded) {
    row.jobs_version = std::max(row.jobs_version, owned.scheduler.NewestJob());
  }
  StoreTransaction transaction;
  transaction.timeout = this->config.write_timeout;
  transaction.conditions.emplace_back(this->LeaseKey(), this->lease.Version());
  transaction.puts.emplace_back(this->LeaseKey(), EncodeOwner(row));
  for (const JobProgress& progress : batch.progress) {
    transaction.puts.emplace_back(ProgressKey(progress.id, progress.block),
                                  this->EncodeProgressRow(progress));
  }
  owned.rows_in_write = batch.progress.size();
  if (owned.loaded) {
    this->AddUsedEndpoints(&transaction);
    owned.moves_in_write = owned.scheduler.TakeQueueMoves(now);
    if (owned.stored_moves != owned.moves_in_write) {
      owned.stored_moves.reset();
      transaction.puts.emplace_back(
          StoreKey{kQueueMoveTable, kOwnerPart, kQueueMoveKey},
          EncodeQueueMoves(owned.moves_in_write,
                           this->settings.store.max_row_bytes));
    }
  }
  owned.used_in_write = owned.loaded;
  this->RecordHostOrders(row, &transaction);
  for (const auto& [name, progress] : owned.waves_to_write) {
    const std::int64_t first_seen_ms =
        this->StoreMs() -
        std::chrono::duration_cast<Milliseconds>(now - progress.first_seen)
            .count();
    transaction.puts.emplace_back(StoreKey{kWaveTable, kOwnerPart, name},
                                  EncodeWave(WaveRow{progress, first_seen_ms}));
  }
  owned.writing = true;
  owned.next_write = now + this->config.min_write_interval;
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
  this->RecordStoreReply(reply);
  this->metrics->ObserveLatency("record", now - sent);
  if (reply.outcome == StoreOutcome::kOk) {
    owned.writing = false;
    this->lease.OnWritten(row, reply.version, sent);
    this->write_answered = now;
    owned.scheduler.OnStartable(row.jobs_version);
    if (owned.used_in_write) {
      owned.used_rows.OnStored();
      owned.scheduler.OnUsedEndpointsStored();
      owned.stored_moves = owned.moves_in_write;
      owned.scheduler.OnQueueMovesStored();
    }
    owned.scheduler.OnRecorded(batch, RecordResult::kStored, now);
    owned.max_rows = std::min(this->config.max_batch, 2 * owned.max_rows);
    this->SendHostOrders();
    for (const auto& [name, progress] : owned.waves_to_write) {
      this->ReportWave(progress);
    }
    owned.waves_to_write.clear();
    this->ScheduleRound();
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
    const bool one_row_rejected =
        reply.outcome == StoreOutcome::kRejected && owned.rows_in_write == 1;
    owned.scheduler.OnRecorded(
        batch,
        one_row_rejected ? RecordResult::kRejected : RecordResult::kNotStored,
        now);
    if (reply.outcome == StoreOutcome::kRejected) {
      // One invalid row must hold up neither the lease nor the other rows.
      owned.skip_progress = true;
      owned.max_rows = std::max<std::size_t>(1, owned.rows_in_write / 2);
    }
    this->RecordHostOrdersAgain();
    this->ScheduleRound();
    return;
  }
  this->ResolveWrite(row, sent, batch);
}

void OwnerTask::ResolveWrite(const OwnerRow& written,
                             Instant sent,
                             std::uint64_t batch) {
  std::function<void(StoreReply)> done = [this, written, sent,
                                          batch](const StoreReply& reply) {
    Ownership& owned = *this->owned;
    const Instant now = this->loop->Now();
    this->RecordStoreReply(reply);
    if (reply.outcome != StoreOutcome::kOk) {
      this->loop->After(this->config.write_retry,
                        this->IfOwner([this, written, sent, batch] {
                          this->ResolveWrite(written, sent, batch);
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
      if (IsSameWrite(row.value(), written)) {
        // The write took effect; only its answer was lost.
        this->OnWritten(
            StoreReply{.outcome = StoreOutcome::kOk, .version = found.version},
            written, sent, batch);
        return;
      }
    }
    // The batch is written again with the current version of the row as its
    // condition. Writing a record of progress twice is harmless.
    owned.writing = false;
    owned.scheduler.OnRecorded(batch, RecordResult::kNotStored, now);
    this->RecordHostOrdersAgain();
    this->ScheduleRound();
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

}  // namespace peridot
