// Housekeeping of the owner: closes and removes the rows of finished jobs,
// reports the load, logs why jobs wait, and publishes metrics.

#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "src/daemon/job_store.h"
#include "src/daemon/owner_task_internal.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Time between two writes that close jobs. A closed row has a tenth of the
// size, so that the next owner loads finished jobs quickly.
constexpr Milliseconds kCloseInterval{1000};

// Jobs closed in one call: each takes a condition and a row of the 100 entries
// of a call.
constexpr std::size_t kClosedBatch = 48;

// Time between two removals of old finished jobs, and if more are left than one
// call can remove.
constexpr Milliseconds kSweepInterval{5000};
constexpr Milliseconds kFullSweepInterval{100};

// Time between two removals of rows of completed occurrences.
constexpr Milliseconds kProgressSweepInterval{1000};

// Time between two log reports on waiting jobs.
constexpr Milliseconds kExplainInterval{1000};

// Time between two comparisons of completions with their predictions, which
// bounds the error of the comparison.
constexpr Milliseconds kCompareInterval{100};

// Rows removed in one call, which takes 100.
constexpr std::size_t kRemovedRows = 90;

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Finished jobs
//-----------------------------------------------------------------------------

void OwnerTask::CloseJobs() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (now < owned.next_closing || owned.closing) {
    return;
  }
  owned.next_closing = now + kCloseInterval;
  const std::vector<ClosableJob> jobs =
      owned.scheduler.JobsToClose(kClosedBatch);
  if (jobs.empty()) {
    return;
  }
  // No condition on the lease is needed: a recorded final state never changes,
  // whichever daemon writes it.
  StoreTransaction transaction;
  transaction.across_parts = true;
  for (const ClosableJob& job : jobs) {
    const StoreKey key{kJobTable, PartOf(job.id), job.id.value};
    transaction.conditions.emplace_back(key, job.version);
    transaction.puts.emplace_back(
        key, EncodeJob(AcceptedJob{.id = job.id, .closed_as = job.state}));
  }
  owned.closing = true;
  std::function<void(StoreReply)> done = [this, jobs](const StoreReply& reply) {
    this->owned->closing = false;
    const bool settled = reply.outcome == StoreOutcome::kOk ||
                         reply.outcome == StoreOutcome::kConflict;
    if (reply.outcome != StoreOutcome::kOk) {
      LogEvent(LogLevel::kWarning, "jobs_not_closed",
               {{"count", std::to_string(jobs.size())},
                {"outcome", StoreOutcomeName(reply.outcome)}});
    }
    // A conflict means that an earlier write without an answer has closed some
    // of the jobs. The others keep their full rows, which costs only space.
    if (settled) {
      this->owned->scheduler.OnClosed(jobs);
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
  owned.next_sweep = now + kSweepInterval;
  this->RemoveOldRefusals();
  const std::vector<JobId> old =
      owned.scheduler.FinalBefore(now - this->config.final_job_retention);
  if (old.empty()) {
    return;
  }
  StoreTransaction transaction;
  transaction.across_parts = true;
  std::vector<JobId> removed;
  std::map<JobId, std::vector<ProgressBlock>> removed_blocks;
  for (const JobId& id : old) {
    // The main row stays until a job's other rows are removed, over several
    // calls if necessary: it says that the job is final.
    for (const ProgressBlock& block : owned.scheduler.BlocksOf(id)) {
      if (transaction.removals.size() < kRemovedRows) {
        transaction.removals.push_back(ProgressKey(id, block));
        removed_blocks[id].push_back(block);
      }
    }
    if (transaction.removals.size() + 3 > kRemovedRows) {
      break;
    }
    transaction.removals.push_back(StoreKey{kJobTable, PartOf(id), id.value});
    transaction.removals.push_back(
        StoreKey{kCancelTable, PartOf(id), id.value});
    transaction.removals.push_back(ProgressKey(id, ProgressBlock{}));
    removed.push_back(id);
  }
  const bool more = removed.size() < old.size();
  std::function<void(StoreReply)> done = [this, removed, removed_blocks,
                                          more](const StoreReply& reply) {
    LogEvent(LogLevel::kInfo, "jobs_removed",
             {{"count", std::to_string(removed.size())},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    if (reply.outcome == StoreOutcome::kOk) {
      for (const auto& [id, blocks] : removed_blocks) {
        this->owned->scheduler.OnBlocksRemoved(id, blocks);
      }
      for (const JobId& id : removed) {
        this->owned->scheduler.Forget(id);
      }
      if (more) {
        this->owned->next_sweep = this->loop->Now() + kFullSweepInterval;
      }
    }
  };
  this->ports->transact(std::move(transaction), this->IfOwner(std::move(done)));
}

void OwnerTask::RemoveSettledProgress() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (now < owned.next_progress_sweep || owned.removing_progress) {
    return;
  }
  owned.next_progress_sweep = now + kProgressSweepInterval;
  const std::vector<SettledBlocks> settled =
      owned.scheduler.BlocksToRemove(kRemovedRows);
  if (settled.empty()) {
    return;
  }
  // No condition on the lease is needed: the main rows of the jobs say that
  // these occurrences have completed.
  StoreTransaction transaction;
  for (const SettledBlocks& entry : settled) {
    for (const ProgressBlock& block : entry.blocks) {
      transaction.removals.push_back(ProgressKey(entry.id, block));
    }
  }
  owned.removing_progress = true;
  const bool more = transaction.removals.size() == kRemovedRows;
  std::function<void(StoreReply)> done = [this, settled,
                                          more](const StoreReply& reply) {
    this->owned->removing_progress = false;
    if (reply.outcome != StoreOutcome::kOk) {
      LogEvent(LogLevel::kWarning, "progress_not_removed",
               {{"outcome", StoreOutcomeName(reply.outcome)}});
      return;
    }
    for (const SettledBlocks& entry : settled) {
      this->owned->scheduler.OnBlocksRemoved(entry.id, entry.blocks);
    }
    if (more) {
      this->owned->next_progress_sweep = this->loop->Now() + kFullSweepInterval;
    }
  };
  this->ports->transact(std::move(transaction), this->IfOwner(std::move(done)));
}

void OwnerTask::RemoveOldRefusals() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  StoreTransaction transaction;
  transaction.across_parts = true;
  std::vector<JobId> removed;
  for (const auto& [id, refusal] : owned.refusals) {
    if (refusal.remove_at > now) {
      continue;
    }
    if (removed.size() == kClosedBatch) {
      owned.next_sweep = now + kFullSweepInterval;
      break;
    }
    // A job may have replaced the refusal.
    const StoreKey key{kJobTable, PartOf(id), id.value};
    transaction.conditions.emplace_back(key, refusal.version);
    transaction.removals.push_back(key);
    removed.push_back(id);
  }
  if (removed.empty()) {
    return;
  }
  std::function<void(StoreReply)> done = [this,
                                          removed](const StoreReply& reply) {
    if (reply.outcome == StoreOutcome::kOk) {
      for (const JobId& id : removed) {
        this->owned->refusals.erase(id);
      }
      return;
    }
    LogEvent(LogLevel::kWarning, "refusals_not_removed",
             {{"count", std::to_string(removed.size())},
              {"outcome", StoreOutcomeName(reply.outcome)}});
    // The rows that conflict were replaced or are removed already.
    for (const StoreRow& row : reply.rows) {
      const auto found = this->owned->refusals.find(JobId(row.key.key));
      if (reply.outcome == StoreOutcome::kConflict &&
          found != this->owned->refusals.end() &&
          found->second.version != row.version) {
        this->owned->refusals.erase(found);
      }
    }
  };
  this->ports->transact(std::move(transaction), this->IfOwner(std::move(done)));
}

//-----------------------------------------------------------------------------
// [SECTION] Load
//-----------------------------------------------------------------------------

const LoadReport* OwnerTask::Load(Instant* produced) {
  if (!this->Owns()) {
    return nullptr;
  }
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  // Without the list of hosts, the capacity that may be added is not known.
  if (owned.hosts_read == Instant{} ||
      now - owned.hosts_read > this->config.max_host_list_age) {
    return nullptr;
  }
  if (owned.load_produced == Instant{} ||
      now - owned.load_produced >= this->config.min_report_interval) {
    owned.load = owned.scheduler.Load(now);
    owned.load_produced = now;
    for (auto& [id, service] : owned.load.services) {
      service.completion_rate = owned.rates.Rate(id);
      double known = service.usable_cores;
      for (const ArrivingCores& added : service.arriving) {
        known += added.cores;
      }
      const double reachable = this->settings.hosts.moves_enabled
                                   ? owned.all_host_cores
                                   : owned.host_cores[id];
      if (reachable > known) {
        service.arriving.push_back(ArrivingCores{
            reachable - known, this->config.earliest_host_arrival});
      }
    }
    if (const Result<void> checked = CheckLoadReport(owned.load); !checked) {
      LogError(LogLevel::kWarning, "load_report_ignored", checked.error());
      owned.load = LoadReport{};
    }
  }
  *produced = owned.load_produced;
  return &owned.load;
}

void OwnerTask::PredictCompletion(const AcceptedJob& job, Milliseconds age) {
  Ownership& owned = *this->owned;
  const FleetConfig& fleet = this->view->Config().fleet;
  const auto queue = fleet.queues.find(job.queue);
  // Only jobs of queues with an objective are subject to admission.
  if (queue == fleet.queues.end() || queue->second.objective.count() <= 0 ||
      owned.predicted.size() >= this->config.max_predicted_jobs) {
    return;
  }
  Instant produced{};
  const LoadReport* const load = this->Load(&produced);
  if (load == nullptr) {
    return;
  }
  const Instant now = this->loop->Now();
  const JobAdmission decision = DecideJobAdmission(
      load, now - produced, job, queue->second, this->config.admission);
  if (decision.predicted.count() > 0) {
    owned.predicted[job.id] =
        Ownership::Predicted{now - age, decision.predicted};
  }
}

void OwnerTask::ComparePredictions() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (now < owned.next_comparison) {
    return;
  }
  owned.next_comparison = now + kCompareInterval;
  std::erase_if(owned.predicted, [&](const auto& entry) {
    const auto& [id, predicted] = entry;
    const std::optional<JobState> state = owned.scheduler.StateOf(id);
    if (state && !IsFinal(*state)) {
      return false;
    }
    if (state == JobState::kCompleted) {
      this->metrics->ObservePrediction(
          std::chrono::duration<double>(now - predicted.arrived).count() /
          std::chrono::duration<double>(predicted.after).count());
    }
    return true;
  });
}

//-----------------------------------------------------------------------------
// [SECTION] Logs and metrics
//-----------------------------------------------------------------------------

void OwnerTask::ExplainWaiting() {
  Ownership& owned = *this->owned;
  const Instant now = this->loop->Now();
  if (now < owned.next_explanation) {
    return;
  }
  owned.next_explanation = now + kExplainInterval;
  this->PublishCounts();
  std::size_t explained = 0;
  for (const JobId& id :
       owned.scheduler.WaitingSince(now - this->config.explain_after)) {
    if (explained++ == this->config.max_explained_jobs) {
      break;
    }
    LogPreformatted(LogLevel::kInfo, "job_waits",
                    owned.scheduler.ExplainWait(id, now));
  }
}

void OwnerTask::PublishCounts() {
  const JobScheduler::Counters& counts = this->owned->scheduler.Counts();
  const auto publish = [this](const char* prefix, const auto& values) {
    for (const auto& [name, value] : values) {
      this->metrics->SetGauge(std::string(prefix) + "_" + name + "_count",
                              static_cast<double>(value));
    }
  };
  this->metrics->SetGauge(
      "owner_job_bytes",
      static_cast<double>(this->owned->scheduler.HeldBytes()));
  this->metrics->SetGauge(
      "owner_tracked_tasks_count",
      static_cast<double>(this->owned->scheduler.TrackedTasks()));
  this->metrics->SetGauge("owner_refusals_count",
                          static_cast<double>(this->owned->refusals.size()));
  publish("owner_starts", counts.starts_by_reply);
  publish("owner_ends", counts.ends_by_kind);
  publish("owner_stops", counts.stops_by_reason);
  publish("owner_advice", counts.advice_by_answer);
  publish("owner_given_up", counts.given_up_by_reason);
  this->metrics->SetGauge("owner_endpoint_restarts_count",
                          static_cast<double>(counts.endpoint_restarts));
  this->metrics->SetGauge("owner_looks_count",
                          static_cast<double>(counts.polls));
  this->metrics->SetGauge("owner_looks_failed_count",
                          static_cast<double>(counts.polls_failed));
  this->metrics->SetGauge("owner_place_waits_count",
                          static_cast<double>(counts.place_waits));
  this->metrics->SetGauge("owner_place_waits_at_place_count",
                          static_cast<double>(counts.place_waits_at_place));
  this->metrics->SetGauge("owner_place_waits_elsewhere_count",
                          static_cast<double>(counts.place_waits_elsewhere));
}

void OwnerTask::LogDecisions() {
  for (const std::string& text : this->owned->scheduler.TakeDecisions()) {
    LogPreformatted(LogLevel::kInfo, "schedule", text);
  }
  for (const std::string& text : this->owned->planner.TakeDecisions()) {
    LogPreformatted(LogLevel::kInfo, "hosts", text);
  }
}

}  // namespace peridot
