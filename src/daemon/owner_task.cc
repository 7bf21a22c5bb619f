#include "src/daemon/owner_task.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "src/daemon/job_store.h"
#include "src/daemon/owner_task_internal.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Age of the last valid answer of the store up to which it counts as reachable.
constexpr Milliseconds kMaxStoreAnswerAge{1800};

}  // namespace

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

void OwnerTask::RecordStoreReply(const StoreReply& reply) {
  const bool answered = reply.outcome == StoreOutcome::kOk ||
                        reply.outcome == StoreOutcome::kConflict;
  if (answered) {
    this->store_answered = this->loop->Now();
  }
  if (answered) {
    this->newest_version = std::max(this->newest_version, reply.version);
  }
  if (answered && reply.store_ms > 0) {
    this->store_ms = reply.store_ms;
    this->store_read = this->loop->Now();
  }
}

bool OwnerTask::StoreReachable(Instant now) const {
  return this->store_answered != Instant{} &&
         now - this->store_answered < kMaxStoreAnswerAge;
}

void OwnerTask::Start() {
  this->Watch();
}

void OwnerTask::Watch() {
  if (this->releasing) {
    return;
  }
  if (this->lease.Held()) {
    // The writes of a round renew the lease.
    this->ScheduleRound();
  } else {
    this->ReadLease();
  }
  const Milliseconds spread{static_cast<std::int64_t>(
      this->random() %
      static_cast<unsigned>(this->config.watch_jitter.count() + 1))};
  this->loop->After(this->config.watch_interval + spread,
                    [this, alive = this->alive] {
                      if (*alive) {
                        this->Watch();
                      }
                    });
}

void OwnerTask::ReadLease() {
  this->ports->read_one(this->LeaseKey(),
                        [this, alive = this->alive](const StoreReply& reply) {
                          if (*alive) {
                            this->OnLeaseRow(reply);
                          }
                        });
}

bool OwnerTask::AwaitsHolder() const {
  return this->store_returned != Instant{} &&
         this->loop->Now() - this->store_returned <
             this->config.holder_return_grace &&
         !this->lease.Row().holder.value.empty();
}

void OwnerTask::OnLeaseRow(const StoreReply& reply) {
  this->RecordStoreReply(reply);
  const bool failed = reply.outcome != StoreOutcome::kOk;
  if (!failed && this->lease_read_failed) {
    this->store_returned = this->loop->Now();
    this->loop->After(this->config.holder_return_grace,
                      [this, alive = this->alive] {
                        if (*alive && !this->lease.Held()) {
                          this->ReadLease();
                        }
                      });
  }
  this->lease_read_failed = failed;
  if (failed || this->releasing) {
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
  if (this->AwaitsHolder()) {
    return;
  }
  if (this->lease.ShouldClaim(this->StoreMs(), this->loop->Now())) {
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
  const int handover_strength =
      this->lease.ShouldAskHandover() ? this->settings.lease.strength : 0;
  this->probe(
      row.address, handover_strength,
      [this, instance, epoch,
       alive = this->alive](const std::optional<PeerAnswer>& answer) {
        if (!*alive || this->lease.Row().epoch != epoch) {
          return;
        }
        const bool certain = answer && !answer->refused &&
                             (answer->instance != instance || answer->yields);
        // A connection may also be refused by a process that is starting or
        // because of a network failure. It counts only the second time, and
        // the holder's lease then still counts as valid.
        const bool refused_again =
            answer && answer->refused && this->refused_instance == instance;
        this->refused_instance =
            answer && answer->refused ? instance : std::string();
        if (!certain && !refused_again) {
          return;
        }
        LogEvent(LogLevel::kInfo, "owner_over",
                 {{"instance", instance},
                  {"epoch", std::to_string(epoch.value)},
                  {"certain", certain ? "yes" : "no"},
                  {"yields", answer->yields ? "yes" : "no"}});
        this->lease.OnHolderGone(epoch, certain);
        if (this->lease.ShouldClaim(this->StoreMs(), this->loop->Now())) {
          this->Claim();
        }
      });
}

OwnerTask::PeerAnswer OwnerTask::AnswerCandidate(int strength) {
  PeerAnswer answer;
  answer.instance = this->settings.lease.instance;
  if (this->owned != nullptr &&
      this->loop->Now() - this->write_answered > this->config.yield_after) {
    this->EndOwnership("yield");
  }
  if (this->owned != nullptr && !this->release_pending &&
      this->lease.OnHandoverAsked(strength, this->loop->Now())) {
    LogEvent(LogLevel::kInfo, "owner_hands_over",
             {{"own_strength", std::to_string(this->settings.lease.strength)},
              {"to_strength", std::to_string(strength)}});
    this->release_pending = true;
    this->ScheduleRound();
  }
  this->CountProbe();
  answer.yields = this->owned == nullptr && !this->claiming;
  return answer;
}

void OwnerTask::CountProbe() {
  if (this->owned == nullptr) {
    return;
  }
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  const Duration elapsed = now - owned.probes_since;
  if (elapsed >= this->config.probe_window) {
    // Each candidate sends one probe per interval.
    const Duration interval =
        this->config.watch_interval + this->config.watch_jitter;
    owned.daemons =
        1 + static_cast<int>(std::ceil(
                owned.probes * std::chrono::duration<double>(interval).count() /
                std::chrono::duration<double>(elapsed).count()));
    owned.probes = 0;
    owned.probes_since = now;
  }
  ++owned.probes;
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
  this->previous_jobs_version = this->lease.Row().jobs_version;
  this->previous_holder_until =
      sent + this->lease.PreviousLeaseLeft(this->StoreMs());
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
  this->RecordStoreReply(reply);
  LogEvent(LogLevel::kInfo, "owner_claim",
           {{"epoch", std::to_string(row.epoch.value)},
            {"outcome", StoreOutcomeName(reply.outcome)}});
  // After a write without an answer, the next read of the row shows whether it
  // took effect. That read may already have been processed.
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
  const Instant previous_lease_end = std::max(now, this->previous_holder_until);
  this->write_answered = now;
  this->owned = std::make_shared<Ownership>(
      Ownership{JobScheduler(scheduler, previous_lease_end),
                HostPlanner(this->settings.hosts, now)});
  this->owned->began_at = this->owned->probes_since = now;
  this->owned->max_rows = this->config.max_batch;
  this->owned->scheduler.OnStartable(this->previous_jobs_version);
  LogEvent(LogLevel::kInfo, "ownership_began",
           {{"epoch", std::to_string(scheduler.epoch.value)},
            {"earlier_lease_left_ms",
             std::to_string(std::chrono::duration_cast<Milliseconds>(
                                previous_lease_end - now)
                                .count())}});
  this->metrics->SetGauge("owner_epoch",
                          static_cast<double>(scheduler.epoch.value));
  this->ApplyView();
  this->LoadProgress("");
  this->LoadWaves();
  this->LoadHostOrders();
  this->LoadUsedEndpoints();
  this->LoadQueueMoves();
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
  this->release_pending = false;
  this->lease.OnLost();
}

void OwnerTask::Release(std::function<void()> done) {
  this->releasing = true;
  this->release_pending = true;
  if (!this->lease.Held()) {
    this->loop->Post(std::move(done));
    return;
  }
  this->on_released = std::move(done);
  this->ScheduleRound();
}

void OwnerTask::WriteRelease() {
  StoreTransaction transaction;
  const OwnerRow row = this->lease.NextRow(this->StoreMs(), true);
  transaction.conditions.emplace_back(this->LeaseKey(), this->lease.Version());
  transaction.puts.emplace_back(this->LeaseKey(), EncodeOwner(row));
  if (this->owned->loaded) {
    this->AddUsedEndpoints(&transaction);
  }
  this->EndOwnership("release");
  this->ports->transact(
      std::move(transaction),
      [done =
           std::exchange(this->on_released, nullptr)](const StoreReply& reply) {
        LogEvent(LogLevel::kInfo, "owner_released",
                 {{"outcome", StoreOutcomeName(reply.outcome)}});
        if (done) {
          done();
        }
      });
}

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

bool OwnerTask::Owns() const {
  return this->owned != nullptr && this->owned->loaded &&
         this->lease.Valid(this->loop->Now());
}

std::optional<BacklogReport> OwnerTask::Backlog() const {
  if (!this->Owns()) {
    return std::nullopt;
  }
  const Ownership& owned = *this->owned;
  const BacklogLimits& limits = this->settings.backlog;
  // Without any probe there is no other daemon.
  const bool alone =
      this->loop->Now() - owned.probes_since > 2 * this->config.probe_window;
  return BacklogReport{.job_bytes = owned.scheduler.HeldBytes(),
                       .job_limit = limits.job_bytes,
                       .refusals = owned.refusals.size(),
                       .refusal_limit = limits.refusals,
                       .daemons = alone ? 1 : owned.daemons,
                       .jobs_version = owned.jobs->Version()};
}

RowVersion OwnerTask::NewestVersion() const {
  return this->newest_version;
}

const std::string& OwnerTask::OwnerAddress() const {
  return this->lease.Row().address;
}

std::optional<JobState> OwnerTask::StateOf(const JobId& id) const {
  return this->owned == nullptr ? std::nullopt
                                : this->owned->scheduler.StateOf(id);
}

std::optional<int> OwnerTask::WaitingIn(const std::string& queue) const {
  if (!this->Owns() || this->loop->Now() - this->owned->jobs->LastFeedAnswer() >
                           this->config.max_jobs_feed_age) {
    return std::nullopt;
  }
  return this->owned->scheduler.WaitingIn(queue);
}

}  // namespace peridot
