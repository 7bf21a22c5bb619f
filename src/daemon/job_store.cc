#include "src/daemon/job_store.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

// Enough parts that the writes of many daemons do not wait for each other.
constexpr int kJobParts = 4;

// Limits the retries of a write that conflicts although the reply lists no row;
// without a limit it would be retried forever.
constexpr int kMaxConflicts = 4;

}  // namespace

std::vector<std::string> JobParts() {
  std::vector<std::string> parts;
  parts.reserve(kJobParts);
  for (int i = 0; i < kJobParts; ++i) {
    parts.push_back(std::to_string(i));
  }
  return parts;
}

std::string PartOf(const JobId& id) {
  const unsigned last =
      id.value.empty() ? 0U : static_cast<unsigned char>(id.value.back());
  return std::to_string(last % kJobParts);
}

StoreKey ProgressKey(const JobId& id, const ProgressBlock& block) {
  std::string key = id.value;
  if (!block.main) {
    for (const int part : {block.occurrence, block.step, block.number}) {
      key += "." + std::to_string(part);
    }
  }
  return StoreKey{kProgressTable, kOwnerPart, std::move(key)};
}

//-----------------------------------------------------------------------------
// [SECTION] JobWriter
//-----------------------------------------------------------------------------

JobWriter::JobWriter(EventLoop* loop,
                     const FleetPorts* ports,
                     JobWriterConfig config)
    : loop(loop),
      ports(ports),
      config(config),
      alive(std::make_shared<bool>(true)) {}

JobWriter::~JobWriter() {
  *this->alive = false;
}

void JobWriter::Accept(const AcceptedJob& job, Callback done) {
  const std::string part = PartOf(job.id);
  PartQueue& part_queue = this->part_queues[part];
  const auto same = [&](const Entry& entry) { return entry.id == job.id; };
  const auto waiting =
      std::find_if(part_queue.waiting.begin(), part_queue.waiting.end(), same);
  if (waiting != part_queue.waiting.end()) {
    waiting->callbacks.push_back(std::move(done));
    return;
  }
  const auto writing =
      std::find_if(part_queue.writing.begin(), part_queue.writing.end(), same);
  if (writing != part_queue.writing.end()) {
    writing->callbacks.push_back(std::move(done));
    return;
  }
  Entry entry;
  entry.id = job.id;
  entry.row = EncodeJob(job);
  if (entry.row.size() > this->config.store.max_row_bytes) {
    this->loop->Post(
        [done = std::move(done)] { done(AcceptResult::kTooLarge); });
    return;
  }
  entry.arrived = this->loop->Now();
  entry.callbacks.push_back(std::move(done));
  part_queue.waiting.push_back(std::move(entry));
  this->Flush(part);
}

void JobWriter::Flush(const std::string& part) {
  PartQueue& part_queue = this->part_queues[part];
  if (part_queue.write_in_progress || part_queue.waiting.empty()) {
    return;
  }
  StoreTransaction transaction;
  std::size_t bytes = 0;
  while (!part_queue.waiting.empty() &&
         part_queue.writing.size() < this->config.max_batch) {
    Entry& entry = part_queue.waiting.front();
    bytes += entry.row.size();
    if (bytes > this->config.store.max_batch_bytes &&
        !part_queue.writing.empty()) {
      break;
    }
    const StoreKey key{kJobTable, part, entry.id.value};
    transaction.conditions.emplace_back(key, RowVersion{});
    transaction.puts.emplace_back(key, entry.row);
    part_queue.writing.push_back(std::move(entry));
    part_queue.waiting.pop_front();
  }
  part_queue.write_in_progress = true;
  this->ports->transact(
      std::move(transaction),
      [this, part, alive = this->alive](const StoreReply& reply) {
        if (*alive) {
          this->OnReply(part, reply);
        }
      });
}

void JobWriter::Answer(Entry* entry, AcceptResult result) {
  for (Callback& callback : entry->callbacks) {
    callback(result);
  }
}

void JobWriter::OnReply(const std::string& part, const StoreReply& reply) {
  PartQueue& part_queue = this->part_queues[part];
  part_queue.write_in_progress = false;
  std::vector<Entry> written = std::exchange(part_queue.writing, {});
  std::set<std::string> existing;
  if (reply.outcome == StoreOutcome::kConflict) {
    for (const StoreRow& row : reply.rows) {
      if (row.version != RowVersion{} && !row.removed) {
        existing.insert(row.key.key);
      }
    }
  }
  const Instant now = this->loop->Now();
  bool pause = false;
  for (Entry& entry : written) {
    const auto waited = now - entry.arrived;
    bool retry_write = false;
    AcceptResult result = AcceptResult::kUnknown;
    switch (reply.outcome) {
      case StoreOutcome::kOk:
        result = AcceptResult::kAccepted;
        break;
      case StoreOutcome::kConflict:
        result = AcceptResult::kAccepted;
        if (!existing.contains(entry.id.value)) {
          retry_write = ++entry.conflicts < kMaxConflicts;
          result = AcceptResult::kUnknown;
        }
        break;
      case StoreOutcome::kNotDone:
        retry_write = waited < this->config.retry_window;
        pause = true;
        result = entry.maybe_written ? AcceptResult::kUnknown
                                     : AcceptResult::kNotRun;
        break;
      case StoreOutcome::kRejected:
      case StoreOutcome::kHistoryLost:
        result = entry.maybe_written ? AcceptResult::kUnknown
                                     : AcceptResult::kNotRun;
        break;
      case StoreOutcome::kUnknown:
        entry.maybe_written = true;
        retry_write = waited < this->config.resend_window;
        break;
    }
    if (retry_write) {
      part_queue.waiting.push_back(std::move(entry));
    } else {
      this->Answer(&entry, result);
    }
  }
  if (!pause) {
    this->Flush(part);
    return;
  }
  this->loop->After(this->config.retry_delay,
                    [this, part, alive = this->alive] {
                      if (*alive) {
                        this->Flush(part);
                      }
                    });
}

//-----------------------------------------------------------------------------
// [SECTION] Reads
//-----------------------------------------------------------------------------

namespace {

// Returns the row with this key, or null.
const StoreRow* FindRow(const StoreReply& reply, const std::string& key) {
  for (const StoreRow& row : reply.rows) {
    if (row.key.key == key && !row.removed) {
      return &row;
    }
  }
  return nullptr;
}

void LookUpProgress(const FleetPorts& ports,
                    const JobId& id,
                    std::function<void(LookUpResult, JobState)> done) {
  ports.read_one(
      StoreKey{kProgressTable, kOwnerPart, id.value},
      [id, done = std::move(done)](const StoreReply& reply) {
        if (reply.outcome != StoreOutcome::kOk) {
          done(LookUpResult::kUnavailable, JobState::kPending);
          return;
        }
        const StoreRow* row = FindRow(reply, id.value);
        if (row == nullptr) {
          done(LookUpResult::kFound, JobState::kPending);
          return;
        }
        const Result<JobProgress> progress = DecodeProgress(row->value);
        if (!progress) {
          LogError(LogLevel::kError, "progress_row", progress.error());
          done(LookUpResult::kUnavailable, JobState::kPending);
          return;
        }
        done(LookUpResult::kFound, progress.value().state);
      });
}

}  // namespace

void LookUpState(const FleetPorts& ports,
                 const JobId& id,
                 std::function<void(LookUpResult, JobState)> done) {
  ports.read_one(StoreKey{kJobTable, PartOf(id), id.value},
                 [&ports, id, done = std::move(done)](const StoreReply& reply) {
                   if (reply.outcome != StoreOutcome::kOk) {
                     done(LookUpResult::kUnavailable, JobState::kPending);
                     return;
                   }
                   const StoreRow* row = FindRow(reply, id.value);
                   if (row == nullptr) {
                     done(LookUpResult::kUnknownJob, JobState::kPending);
                     return;
                   }
                   const Result<AcceptedJob> job = DecodeJob(row->value);
                   if (job && job.value().closed_as) {
                     done(LookUpResult::kFound, *job.value().closed_as);
                   } else {
                     LookUpProgress(ports, id, done);
                   }
                 });
}

void StoreCancel(const FleetPorts& ports,
                 const JobId& id,
                 std::function<void(LookUpResult)> done) {
  const StoreKey job{kJobTable, PartOf(id), id.value};
  ports.read_one(job, [&ports, id, job,
                       done = std::move(done)](const StoreReply& reply) {
    if (reply.outcome != StoreOutcome::kOk) {
      done(LookUpResult::kUnavailable);
      return;
    }
    const StoreRow* row = FindRow(reply, id.value);
    if (row == nullptr) {
      done(LookUpResult::kUnknownJob);
      return;
    }
    const Result<AcceptedJob> stored = DecodeJob(row->value);
    if (stored && stored.value().closed_as) {
      done(LookUpResult::kFound);  // the job has ended: nothing to cancel
      return;
    }
    StoreTransaction transaction;
    transaction.conditions.emplace_back(job, row->version);
    transaction.puts.emplace_back(StoreKey{kCancelTable, PartOf(id), id.value},
                                  "{}");
    ports.transact(std::move(transaction),
                   [&ports, id, done](const StoreReply& written) {
                     if (written.outcome == StoreOutcome::kOk) {
                       done(LookUpResult::kFound);
                     } else if (written.outcome == StoreOutcome::kConflict) {
                       // The row was closed or removed meanwhile. Each happens
                       // at most once per job, so the recursion ends.
                       StoreCancel(ports, id, done);
                     } else {
                       done(LookUpResult::kUnavailable);
                     }
                   });
  });
}

}  // namespace peridot
