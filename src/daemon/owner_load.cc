// Loads the state that earlier owners and callers have stored when an ownership
// begins.

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "src/daemon/job_store.h"
#include "src/daemon/owner_task_internal.h"
#include "src/daemon/wall_time.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Rows of the owner's own tables requested in one call, the maximum of the
// store. A row is 0.2 KB.
constexpr std::size_t kLoadRows = 500;

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Loading
//-----------------------------------------------------------------------------

void OwnerTask::LoadProgress(const std::string& from) {
  this->ports->read(
      StoreKey{kProgressTable, kOwnerPart, from}, kLoadRows,
      this->IfOwner([this, from](const StoreReply& reply) {
        this->RecordStoreReply(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry, this->IfOwner([=, this] {
            this->LoadProgress(from);
          }));
          return;
        }
        for (const StoreRow& row : reply.rows) {
          const Result<JobProgress> progress = DecodeProgress(row.value);
          if (progress) {
            this->owned->scheduler.OnProgress(progress.value());
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
      StoreKey{kWaveTable, kOwnerPart, ""}, kLoadRows,
      this->IfOwner([this](const StoreReply& reply) {
        this->RecordStoreReply(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry,
                            this->IfOwner([this] { this->LoadWaves(); }));
          return;
        }
        for (const StoreRow& row : reply.rows) {
          Result<WaveRow> wave = DecodeWave(row.value);
          if (!wave) {
            LogError(LogLevel::kError, "wave_row", wave.error());
            continue;
          }
          if (wave.value().first_seen_ms > 0) {
            wave.value().progress.first_seen =
                this->loop->Now() +
                Milliseconds(wave.value().first_seen_ms - this->StoreMs());
          }
          this->owned->planner.OnWaveProgress(wave.value().progress);
        }
        this->owned->planner.OnWaves(this->view->Waves(), this->loop->Now());
        this->OnLoaded();
      }));
}

void OwnerTask::LoadHostOrders() {
  this->ports->read_one(
      StoreKey{kHostOrderTable, kOwnerPart, kHostOrderKey},
      this->IfOwner([this](const StoreReply& reply) {
        this->RecordStoreReply(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry,
                            this->IfOwner([this] { this->LoadHostOrders(); }));
          return;
        }
        // An owner of an older version leaves no record.
        bool recorded = this->lease.Epoch() == OwnerEpoch(1);
        std::vector<PreviousHostOrder> orders;
        for (const StoreRow& row : reply.rows) {
          const auto latest = DecodeHostOrders(row.value);
          if (!latest) {
            LogError(LogLevel::kError, "host_orders_row", latest.error());
            continue;
          }
          recorded = true;
          // Kept in the next record: an order of the owner before the previous
          // one may be in flight as well.
          this->owned->recorded_orders = latest.value();
          for (const auto& [host, latest_ms] : latest.value()) {
            orders.push_back(PreviousHostOrder{
                host,
                this->loop->Now() + Milliseconds(latest_ms - this->StoreMs())});
          }
        }
        if (recorded) {
          this->owned->planner.OnPreviousOrders(orders);
        }
        this->OnLoaded();
      }));
}

void OwnerTask::LoadUsedEndpoints() {
  this->ports->read(
      StoreKey{kUsedTable, kOwnerPart, ""}, kLoadRows,
      this->IfOwner([this](const StoreReply& reply) {
        this->RecordStoreReply(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry, this->IfOwner([this] {
            this->LoadUsedEndpoints();
          }));
          return;
        }
        for (const StoreRow& row : reply.rows) {
          this->owned->used_rows.OnRead(row.key.key);
          auto used = DecodeUsedEndpoints(row.value);
          if (used) {
            for (UsedEndpoint& endpoint : used.value()) {
              endpoint.lapse_ms = this->RemainingLapse(endpoint.lapse_ms);
              endpoint.long_lease_ms =
                  this->RemainingLapse(endpoint.long_lease_ms);
              for (UnansweredStart& start : endpoint.unanswered_starts) {
                start.remaining_ms = this->RemainingLapse(start.remaining_ms);
              }
            }
            this->owned->scheduler.OnPreviousOwnerEndpoints(used.value(),
                                                            this->loop->Now());
          } else {
            LogError(LogLevel::kError, "used_endpoints_row", used.error());
          }
        }
        this->OnLoaded();
      }));
}

void OwnerTask::LoadQueueMoves() {
  this->ports->read_one(
      StoreKey{kQueueMoveTable, kOwnerPart, kQueueMoveKey},
      this->IfOwner([this](const StoreReply& reply) {
        this->RecordStoreReply(reply);
        if (reply.outcome != StoreOutcome::kOk) {
          this->loop->After(this->config.write_retry,
                            this->IfOwner([this] { this->LoadQueueMoves(); }));
          return;
        }
        // An owner of an older version leaves no record.
        QueueMoves moves{.unknown = this->lease.Epoch() != OwnerEpoch(1)};
        for (const StoreRow& row : reply.rows) {
          const Result<QueueMoves> stored = DecodeQueueMoves(row.value);
          if (stored) {
            moves = stored.value();
            this->owned->stored_moves = moves;
          } else {
            LogError(LogLevel::kError, "queue_moves_row", stored.error());
          }
        }
        this->owned->scheduler.OnPreviousQueueMoves(moves);
        this->OnLoaded();
      }));
}

void OwnerTask::OnLoaded() {
  Ownership& owned = *this->owned;
  if (--owned.pending_loads > 0) {
    return;
  }
  for (auto& [job, version] : std::exchange(owned.deferred_jobs, {})) {
    this->AddJob(std::move(job), version);
  }
  this->CheckLoaded();
}

void OwnerTask::CheckLoaded() {
  Ownership& owned = *this->owned;
  if (!owned.loaded && owned.pending_loads == 0 && owned.jobs->Synced() &&
      owned.cancels->Synced() && owned.endpoints->Synced()) {
    owned.loaded = true;
    LogEvent(LogLevel::kInfo, "ownership_loaded",
             {{"ms", std::to_string(std::chrono::duration_cast<Milliseconds>(
                                        this->loop->Now() - owned.began_at)
                                        .count())}});
  }
  this->ScheduleRound();
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
          .on_batch = [this] { this->ScheduleRound(); },
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
                              .on_batch = [this] { this->ScheduleRound(); },
                              .on_synced = check_loaded});
  owned.endpoints = std::make_unique<TableFollower>(
      this->loop, this->ports,
      TableFollowerConfig{.table = this->ports->endpoint_table, .parts = {""}},
      TableFollower::Handlers{
          .on_row = [this](const StoreRow& row) { this->OnEndpointRow(row); },
          .on_batch = [this] { this->ScheduleRound(); },
          .on_synced = check_loaded});
  owned.jobs->Start();
  owned.cancels->Start();
  owned.endpoints->Start();
}

void OwnerTask::OnJobRow(const StoreRow& row) {
  if (row.removed) {
    return;
  }
  Result<AcceptedJob> job = DecodeJob(row.value);
  if (!job) {
    LogError(LogLevel::kError, "job_row", job.error());
    return;
  }
  // A job is processed only after the progress that earlier owners recorded has
  // been loaded.
  if (this->owned->pending_loads > 0) {
    this->owned->deferred_jobs.emplace_back(std::move(job.value()),
                                            row.version);
  } else {
    this->AddJob(std::move(job.value()), row.version);
  }
}

void OwnerTask::AddJob(AcceptedJob job, RowVersion version) {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (job.refused) {
    const Milliseconds retention = job.cancelled
                                       ? this->config.final_job_retention
                                       : this->config.refusal_retention;
    owned.refusals[job.id] = {version, now + retention};
    return;
  }
  owned.refusals.erase(job.id);
  const bool before = version <= this->previous_jobs_version;
  const std::int64_t age =
      std::clamp<std::int64_t>(UnixMs() - job.accepted_ms, 0, 120000);
  if (!job.closed_as) {
    LogRateLimited(LogLevel::kInfo, "job_taken",
                   {{"job", job.id.value},
                    {"queue", job.queue},
                    {"age_ms", std::to_string(age)},
                    {"row_version", std::to_string(version.value)}});
    if (!before) {
      this->PredictCompletion(job, Milliseconds(age));
    }
  }
  owned.scheduler.OnJob(std::move(job), version, before, Milliseconds(age),
                        now);
}

void OwnerTask::OnEndpointRow(const StoreRow& row) {
  Ownership& owned = *this->owned;
  const EndpointId id(row.key.key);
  if (row.removed) {
    owned.endpoint_changes[id] = std::nullopt;
    return;
  }
  const Result<EndpointRow> endpoint = this->ports->decode_endpoint(row);
  if (!endpoint) {
    LogError(LogLevel::kWarning, "endpoint_row_skipped", endpoint.error());
    owned.endpoint_changes[id] = std::nullopt;
    return;
  }
  owned.endpoint_changes[id] = endpoint.value();
}

void OwnerTask::OnViewChanged() {
  if (this->owned == nullptr) {
    return;
  }
  this->ApplyView();
  if (this->owned->pending_loads == 0) {
    this->owned->planner.OnWaves(this->view->Waves(), this->loop->Now());
  }
  this->ScheduleRound();
}

void OwnerTask::ApplyView() {
  const FleetConfig& fleet = this->view->Config().fleet;
  this->owned->scheduler.OnFleetConfig(fleet);
  this->owned->scheduler.OnZonesOut(this->view->ZonesOut());
  this->owned->planner.OnServices(fleet.services);
}

}  // namespace peridot
