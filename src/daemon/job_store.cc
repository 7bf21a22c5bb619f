#include "src/daemon/job_store.h"

#include <algorithm>
#include <iterator>
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

void JobWriter::OnStoreVersion(RowVersion version) {
  this->newest = std::max(this->newest, version);
}

void JobWriter::Accept(const AcceptedJob& job, Callback done) {
  this->Accept(job, this->newest, std::move(done));
}

void JobWriter::Accept(const AcceptedJob& job,
                       RowVersion known,
                       Callback done) {
  this->Add(Entry{.id = job.id, .row = EncodeJob(job), .known = known},
            std::move(done));
}

void JobWriter::Refuse(const JobId& id, Callback done) {
  // Daemons of versions before the refusals read the row as a closed job.
  const AcceptedJob refusal{
      .id = id, .closed_as = JobState::kCancelled, .refused = true};
  this->Add(
      Entry{.id = id, .row = EncodeJob(refusal), .kind = EntryKind::kRefusal},
      std::move(done));
}

void JobWriter::CancelUnstored(const JobId& id, Callback done) {
  const AcceptedJob cancellation{.id = id,
                                 .closed_as = JobState::kCancelled,
                                 .refused = true,
                                 .cancelled = true};
  this->Add(Entry{.id = id,
                  .row = EncodeJob(cancellation),
                  .kind = EntryKind::kCancellation},
            std::move(done));
}

void JobWriter::Add(Entry entry, Callback done) {
  const std::string part = PartOf(entry.id);
  PartQueue& part_queue = this->part_queues[part];
  const auto same = [&](const Entry& other) { return other.id == entry.id; };
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
    // Repeated entries no longer conflict and must not be held up by new ones
    // that do.
    if (!part_queue.writing.empty() &&
        part_queue.writing.front().repeated != entry.repeated) {
      break;
    }
    bytes += entry.row.size();
    if (bytes > this->config.store.max_batch_bytes &&
        !part_queue.writing.empty()) {
      break;
    }
    const StoreKey key{kJobTable, part, entry.id.value};
    transaction.conditions.emplace_back(key, entry.expected);
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

AcceptResult JobWriter::StoredResult(EntryKind kind) {
  switch (kind) {
    case EntryKind::kJob:
      return AcceptResult::kAccepted;
    case EntryKind::kRefusal:
      return AcceptResult::kRefused;
    case EntryKind::kCancellation:
      return AcceptResult::kCancelled;
  }
  return AcceptResult::kUnknown;
}

std::optional<AcceptResult> JobWriter::ResolveConflict(Entry* entry,
                                                       const StoreRow& row) {
  const bool exists = row.version != RowVersion{} && !row.removed;
  if (!exists) {
    entry->expected = RowVersion{};
    return std::nullopt;
  }
  const Result<AcceptedJob> stored = DecodeJob(row.value);
  if (!stored || !stored.value().refused) {
    return AcceptResult::kAccepted;
  }
  if (stored.value().cancelled) {
    return AcceptResult::kCancelled;
  }
  // A refusal replaces an earlier one, because submissions that came after that
  // one may be in progress.
  if (entry->kind != EntryKind::kJob || row.version <= entry->known) {
    entry->expected = row.version;
    return std::nullopt;
  }
  return AcceptResult::kRefused;
}

void JobWriter::OnReply(const std::string& part, const StoreReply& reply) {
  PartQueue& part_queue = this->part_queues[part];
  part_queue.write_in_progress = false;
  std::vector<Entry> written = std::exchange(part_queue.writing, {});
  std::map<std::string, const StoreRow*> found;
  if (reply.outcome == StoreOutcome::kConflict) {
    for (const StoreRow& row : reply.rows) {
      found[row.key.key] = &row;
    }
  }
  // A conflict of one entry repeats the write of the others, which is none of
  // theirs.
  const bool explained =
      std::any_of(written.begin(), written.end(), [&](const Entry& entry) {
        const auto row = found.find(entry.id.value);
        return row != found.end() && row->second->version != entry.expected;
      });
  if (reply.outcome == StoreOutcome::kOk ||
      reply.outcome == StoreOutcome::kConflict) {
    this->OnStoreVersion(reply.version);
  }
  const Instant now = this->loop->Now();
  bool pause = false;
  std::vector<Entry> repeated;
  for (Entry& entry : written) {
    const auto waited = now - entry.arrived;
    bool retry_write = false;
    AcceptResult result = AcceptResult::kUnknown;
    switch (reply.outcome) {
      case StoreOutcome::kOk:
        result = StoredResult(entry.kind);
        break;
      case StoreOutcome::kConflict: {
        const auto row = found.find(entry.id.value);
        const std::optional<AcceptResult> resolved =
            row == found.end() ? std::nullopt
                               : ResolveConflict(&entry, *row->second);
        entry.conflicts += explained ? 0 : 1;
        retry_write = !resolved && entry.conflicts < kMaxConflicts &&
                      waited < this->config.resend_window;
        result = resolved.value_or(AcceptResult::kUnknown);
        break;
      }
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
    if (retry_write && reply.outcome == StoreOutcome::kConflict) {
      entry.repeated = true;
      repeated.push_back(std::move(entry));
    } else if (retry_write) {
      part_queue.waiting.push_back(std::move(entry));
    } else {
      this->Answer(&entry, result);
    }
  }
  part_queue.waiting.insert(part_queue.waiting.begin(),
                            std::make_move_iterator(repeated.begin()),
                            std::make_move_iterator(repeated.end()));
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
                   if (job && job.value().refused) {
                     done(LookUpResult::kUnknownJob, JobState::kPending);
                   } else if (job && job.value().closed_as) {
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
    if (stored && stored.value().refused) {
      done(LookUpResult::kUnknownJob);
      return;
    }
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
