#include "src/coordination/journal.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace peridot {
namespace {

// With fewer rows than this, copying a row has no benefit for the table.
constexpr std::size_t kRowsBeforeCopy = 8;

// All records of one task.
struct TaskHistory {
  std::optional<AcceptedTask> accepted;
  std::map<AttemptId, AttemptIntent> intents;
  std::map<AttemptId, AttemptEnd> ends;
  std::optional<TaskAnswer> answer;

  void Add(const AcceptedTask& record) { this->accepted = record; }
  void Add(const AttemptIntent& record) {
    this->intents[record.attempt] = record;
  }
  void Add(const AttemptEnd& record) { this->ends[record.attempt] = record; }
  // A repeated answer does not replace the one that names the idempotency row
  // to erase.
  void Add(const TaskAnswer& record) {
    if (!this->answer || this->answer->key_row.empty()) {
      this->answer = record;
    }
  }

  // An end other than `never started` without an answer means that the answer
  // was lost when the daemon failed, so the endpoint is queried again.
  bool IsOpen(const AttemptId& attempt) const {
    const auto end = this->ends.find(attempt);
    return end == this->ends.end() || !end->second.never_started;
  }
};

std::map<TaskId, TaskHistory> Histories(
    const std::vector<JournalRecord>& records) {
  std::map<TaskId, TaskHistory> histories;
  for (const JournalRecord& record : records) {
    TaskHistory& history = histories[TaskOf(record)];
    std::visit([&](const auto& body) { history.Add(body); }, record);
  }
  return histories;
}

bool ContainsKey(const std::vector<TableCheck>& conflicts,
                 const std::string& key) {
  return std::any_of(
      conflicts.begin(), conflicts.end(),
      [&](const TableCheck& conflict) { return conflict.key == key; });
}

// Returns the idempotency row of an accepted task, or an empty string.
std::string KeyRow(const JournalRecord& record) {
  const auto* task = std::get_if<AcceptedTask>(&record);
  const bool keyed = task != nullptr && !task->key_digest.empty();
  return keyed ? IdempotencyKey(*task) : std::string();
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Replay
//-----------------------------------------------------------------------------

Replay ReplayRecords(const std::vector<JournalRecord>& records) {
  Replay replay;
  for (const auto& [id, history] : Histories(records)) {
    if (history.answer) {
      replay.finished.push_back(*history.answer);
      continue;
    }
    if (!history.accepted) {
      continue;
    }
    bool open = false;
    for (const auto& [attempt, intent] : history.intents) {
      if (!history.accepted->idempotent && history.IsOpen(attempt)) {
        replay.resolve.push_back({*history.accepted, intent});
        open = true;
      }
    }
    if (!open) {
      replay.queue.push_back(*history.accepted);
    }
  }
  return replay;
}

std::vector<JournalRecord> LiveRecords(
    const std::vector<JournalRecord>& records) {
  std::vector<JournalRecord> live;
  for (const auto& [id, history] : Histories(records)) {
    if (history.answer) {
      live.emplace_back(*history.answer);
      continue;
    }
    if (!history.accepted) {
      continue;
    }
    live.emplace_back(*history.accepted);
    for (const auto& [attempt, intent] : history.intents) {
      live.emplace_back(intent);
    }
    for (const auto& [attempt, end] : history.ends) {
      live.emplace_back(end);
    }
  }
  return live;
}

//-----------------------------------------------------------------------------
// [SECTION] Admission and records
//-----------------------------------------------------------------------------

Journal::Journal(JournalConfig config)
    : config(std::move(config)),
      batch_delay(this->config.tunables.group_commit) {}

bool Journal::IsStoreUsable(Instant now) const {
  return !this->session_lost &&
         !(this->outstanding &&
           now - this->batch_since >= this->config.tunables.store_down_after);
}

Admission Journal::Admit(const AdmissionQuery& query, Instant now) const {
  if (this->session_lost) {
    return Admission::kRefused;
  }
  if (query.synchronous && !query.has_key) {
    return Admission::kUnjournaled;
  }
  return this->IsStoreUsable(now) ? Admission::kJournaled : Admission::kRefused;
}

JournalActions Journal::Accept(const AcceptedTask& task, Instant now) {
  JournalActions actions;
  if (this->session_lost) {
    actions.emplace_back(TaskRefused{task.task});
    return actions;
  }
  const std::string key_row = KeyRow(task);
  const auto earlier = this->uncommitted_keys.find(key_row);
  if (earlier != this->uncommitted_keys.end()) {
    actions.emplace_back(
        TaskDuplicate{task.task, earlier->second, this->config.self});
    return actions;
  }
  if (!key_row.empty()) {
    this->uncommitted_keys[key_row] = task.task;
  }
  this->Append(task, false, now);
  this->Flush(now, actions);
  return actions;
}

JournalActions Journal::RecordIntent(const AttemptIntent& intent, Instant now) {
  JournalActions actions;
  this->Append(intent, false, now);
  this->Flush(now, actions);
  return actions;
}

JournalActions Journal::RecordEnd(const AttemptEnd& end, Instant now) {
  JournalActions actions;
  this->Append(end, false, now);
  this->Flush(now, actions);
  return actions;
}

JournalActions Journal::RecordAnswer(const TaskAnswer& answer, Instant now) {
  JournalActions actions;
  if (this->FindAnswer(answer.task) != nullptr) {
    actions.emplace_back(AnswerRecorded{answer.task});
    return actions;
  }
  TaskAnswer record = answer;
  record.key_row = this->KeyRowOf(answer.task);
  this->Append(std::move(record), false, now);
  this->Flush(now, actions);
  return actions;
}

bool Journal::Withdraw(const TaskId& task) {
  const auto found = std::find_if(
      this->pending.begin(), this->pending.end(), [&](const Queued& queued) {
        return std::holds_alternative<AcceptedTask>(queued.record) &&
               TaskOf(queued.record) == task && !queued.taken_over;
      });
  if (found == this->pending.end()) {
    return false;
  }
  this->pending_bytes -= SizeOf(found->record);
  this->uncommitted_keys.erase(KeyRow(found->record));
  this->pending.erase(found);
  return true;
}

const TaskAnswer* Journal::FindAnswer(const TaskId& task) const {
  const auto found = this->tasks.find(task);
  const bool final = found != this->tasks.end() && found->second.final;
  return final ? &std::get<TaskAnswer>(found->second.live.front().record)
               : nullptr;
}

void Journal::Append(JournalRecord record, bool taken_over, Instant now) {
  if (this->session_lost) {
    return;
  }
  if (this->pending.empty()) {
    this->oldest_pending = now;
  }
  this->pending_bytes += SizeOf(record);
  this->pending.push_back(
      {this->next_sequence++, taken_over, std::move(record)});
}

// Returns the row of the idempotency key of the task, whether its acceptance is
// committed, pending or in the outstanding batch.
std::string Journal::KeyRowOf(const TaskId& task) const {
  const auto found = this->tasks.find(task);
  if (found != this->tasks.end()) {
    for (const LocatedRecord& placed : found->second.live) {
      std::string row = KeyRow(placed.record);
      if (!row.empty()) {
        return row;
      }
    }
  }
  const auto of_task = [&](const Queued& queued) {
    return TaskOf(queued.record) == task && !KeyRow(queued.record).empty();
  };
  const auto queued =
      std::find_if(this->pending.begin(), this->pending.end(), of_task);
  if (queued != this->pending.end()) {
    return KeyRow(queued->record);
  }
  if (this->outstanding) {
    const std::vector<Queued>& sent = this->outstanding->records;
    const auto in_batch = std::find_if(sent.begin(), sent.end(), of_task);
    return in_batch == sent.end() ? std::string() : KeyRow(in_batch->record);
  }
  return {};
}

//-----------------------------------------------------------------------------
// [SECTION] Building a batch
//-----------------------------------------------------------------------------

std::string Journal::NextOperation() {
  return JournalPrefix(this->config.self) + "op" +
         std::to_string(this->next_operation++);
}

bool Journal::IsFlushDue(Instant now) const {
  if (!this->pending.empty()) {
    return now - this->oldest_pending >= this->batch_delay ||
           this->pending_bytes >= this->config.tunables.batch_bytes;
  }
  const bool garbage = !this->dead.empty() || !this->erasable_keys.empty() ||
                       !this->rows_to_copy.empty();
  return garbage && now - this->last_commit >= this->config.tunables.compaction;
}

void Journal::Flush(Instant now, JournalActions& actions) {
  if (this->session_lost || this->outstanding || !this->IsFlushDue(now)) {
    return;
  }
  this->outstanding = this->BuildBatch();
  this->batch_since = now;
  this->oldest_pending = now;
  this->SendBatch(now, actions);
}

Journal::Batch Journal::BuildBatch() {
  Batch batch;
  batch.number = this->next_number++;
  this->TakeRecords(batch);
  this->TakeErases(batch);
  this->CopyRow(batch);
  this->FinishTransaction(batch);
  return batch;
}

void Journal::TakeRecords(Batch& batch) {
  std::size_t bytes = 0;
  while (!this->pending.empty() &&
         (bytes == 0 || bytes + SizeOf(this->pending.front().record) <=
                            this->config.tunables.batch_bytes)) {
    bytes += SizeOf(this->pending.front().record);
    batch.records.push_back(std::move(this->pending.front()));
    this->pending.pop_front();
  }
  this->pending_bytes -= bytes;
}

void Journal::TakeErases(Batch& batch) {
  const std::size_t most = this->config.tunables.erases;
  while (!this->dead.empty() && batch.erased_rows.size() < most) {
    batch.erased_rows.push_back(*this->dead.begin());
    this->dead.erase(this->dead.begin());
  }
  while (!this->erasable_keys.empty() && batch.erased_keys.size() < most) {
    batch.erased_keys.push_back(std::move(this->erasable_keys.front()));
    this->erasable_keys.pop_front();
  }
}

// Returns a row to copy: one that an expired task waits for, or else the oldest
// whose bytes are mostly dead.
std::map<std::uint64_t, Journal::Row>::const_iterator Journal::RowToCopy() {
  while (!this->rows_to_copy.empty()) {
    auto row = this->rows.find(*this->rows_to_copy.begin());
    this->rows_to_copy.erase(this->rows_to_copy.begin());
    if (row != this->rows.end() && row->second.live_bytes > 0) {
      return row;
    }
  }
  if (this->rows.size() < kRowsBeforeCopy) {
    return this->rows.end();
  }
  return std::find_if(this->rows.begin(), this->rows.end(), [&](auto& item) {
    const Row& row = item.second;
    return row.live_bytes > 0 &&
           row.live_bytes * this->config.tunables.copy_divisor < row.bytes;
  });
}

// Copies the live records of one row and erases the row in the same
// transaction.
void Journal::CopyRow(Batch& batch) {
  const auto row = this->RowToCopy();
  if (row == this->rows.end()) {
    return;
  }
  for (const TaskId& id : row->second.tasks) {
    const auto task = this->tasks.find(id);
    if (task == this->tasks.end()) {
      continue;
    }
    for (const LocatedRecord& placed : task->second.live) {
      if (placed.row == row->first) {
        batch.copied.push_back(placed);
      }
    }
  }
  batch.erased_rows.push_back(row->first);
}

// Builds the transaction of the batch under a new operation id.
void Journal::FinishTransaction(Batch& batch) {
  const SessionId& self = this->config.self;
  batch.operation_id = this->NextOperation();
  TableTransaction transaction;
  transaction.operation_id = batch.operation_id;
  transaction.checks.push_back({JournalHeadKey(self), this->head_version});
  transaction.checks.push_back(
      {JournalSessionKey(self.daemon), this->config.session_version});
  transaction.puts.push_back(
      {JournalHeadKey(self),
       SerializeHead({batch.operation_id, batch.number})});
  std::vector<JournalRecord> records;
  for (const Queued& queued : batch.records) {
    records.push_back(queued.record);
    const std::string key_row = KeyRow(queued.record);
    if (!key_row.empty() && !queued.taken_over) {
      transaction.checks.push_back({key_row, RowVersion(0)});
      transaction.puts.push_back(
          {key_row, SerializeKeyOwner({TaskOf(queued.record), self})});
    }
  }
  for (const LocatedRecord& placed : batch.copied) {
    records.push_back(placed.record);
  }
  if (!records.empty()) {
    transaction.puts.push_back(
        {JournalBatchKey(self, batch.number), SerializeBatch(records)});
  }
  for (const std::uint64_t row : batch.erased_rows) {
    transaction.erases.push_back(JournalBatchKey(self, row));
  }
  for (const std::string& key : batch.erased_keys) {
    transaction.erases.push_back(key);
  }
  batch.transaction = std::move(transaction);
}

//-----------------------------------------------------------------------------
// [SECTION] The outstanding batch
//-----------------------------------------------------------------------------

void Journal::SendBatch(Instant now, JournalActions& actions) {
  this->batch_sent = now;
  this->resend_at.reset();
  this->session_conflict = false;
  actions.emplace_back(TransactJournal{this->outstanding->transaction});
}

void Journal::IncreaseBatchDelay() {
  this->batch_delay =
      std::min(this->batch_delay * 2, this->config.tunables.group_commit_max);
}

void Journal::ReadHead(Instant now, JournalActions& actions) {
  this->batch_sent = now;
  this->head_request = this->next_request++;
  actions.emplace_back(ReadJournalRows{
      this->head_request, {JournalHeadKey(this->config.self)}, {}});
}

void Journal::OnBatchAnswer(const CommitAnswer& answer,
                            Instant now,
                            JournalActions& actions) {
  if (answer.outcome == CommitOutcome::kConflict) {
    this->OnBatchConflict(answer, now, actions);
    return;
  }
  const std::string head = JournalHeadKey(this->config.self);
  for (const TableCheck& written : answer.versions) {
    if (answer.outcome == CommitOutcome::kCommitted && written.key == head) {
      const Batch batch = *std::move(this->outstanding);
      this->Commit(batch, written.version, now, actions);
      return;
    }
  }
  this->IncreaseBatchDelay();
  this->ReadHead(now, actions);
}

// A conflict on the head or session row may come from an earlier send of the
// same batch that did commit, so the head row is read to decide. Any other
// conflict is on idempotency keys, whose owners are read.
void Journal::OnBatchConflict(const CommitAnswer& answer,
                              Instant now,
                              JournalActions& actions) {
  const SessionId& self = this->config.self;
  const bool session =
      ContainsKey(answer.conflicts, JournalSessionKey(self.daemon));
  if (session || ContainsKey(answer.conflicts, JournalHeadKey(self))) {
    this->session_conflict = this->session_conflict || session;
    this->ReadHead(now, actions);
    return;
  }
  ReadJournalRows read;
  read.request = this->next_request++;
  for (const TableCheck& conflict : answer.conflicts) {
    read.keys.push_back(conflict.key);
  }
  this->batch_sent = now;
  this->idempotency_request = read.request;
  actions.emplace_back(std::move(read));
}

void Journal::OnIdempotencyRows(const std::vector<TableRow>& found,
                                Instant now,
                                JournalActions& actions) {
  Batch& batch = *this->outstanding;
  this->replaced.push_back(batch);
  std::erase_if(batch.records, [&](const Queued& queued) {
    const std::string key_row = KeyRow(queued.record);
    if (key_row.empty() || queued.taken_over) {
      return false;
    }
    const TableRow row = FindRow(found, key_row);
    if (row.version.value == 0) {
      return false;
    }
    const Result<KeyOwner> owner = ParseKeyOwner(row);
    TaskDuplicate duplicate{TaskOf(queued.record), {}, {}};
    if (owner.has_value()) {
      duplicate.existing = owner.value().task;
      duplicate.session = owner.value().session;
    } else {
      ++this->malformed_rows;
    }
    this->uncommitted_keys.erase(key_row);
    actions.emplace_back(std::move(duplicate));
    return true;
  });
  this->FinishTransaction(batch);
  this->SendBatch(now, actions);
}

void Journal::OnHead(const std::vector<TableRow>& found,
                     Instant now,
                     JournalActions& actions) {
  const TableRow row = FindRow(found, JournalHeadKey(this->config.self));
  const Result<JournalHead> head = ParseHead(row);
  const std::string operation = row.version.value > 0 && head.has_value()
                                    ? head.value().operation_id
                                    : std::string();
  if (operation == this->outstanding->operation_id) {
    const Batch batch = *std::move(this->outstanding);
    this->Commit(batch, row.version, now, actions);
    return;
  }
  for (const Batch& earlier : this->replaced) {
    if (earlier.operation_id == operation) {
      this->CommitReplaced(Batch(earlier), row.version, now, actions);
      return;
    }
  }
  if (row.version != this->head_version) {
    this->StopAfterSessionLoss(
        actions);  // another session has taken the journal over
    return;
  }
  if (!this->session_conflict) {
    this->resend_at = now + this->batch_delay;
    return;
  }
  const TableCheck& session = this->outstanding->transaction.checks[1];
  const bool renewed = session.version != this->config.session_version;
  if (renewed) {
    this->replaced.push_back(*this->outstanding);
    this->FinishTransaction(*this->outstanding);
    this->SendBatch(now, actions);
    return;
  }
  // The session was fenced before the batch committed, so the batch never
  // commits.
  for (const Queued& queued : this->outstanding->records) {
    if (std::holds_alternative<AcceptedTask>(queued.record) &&
        !queued.taken_over) {
      actions.emplace_back(TaskRefused{TaskOf(queued.record)});
    }
  }
  this->StopAfterSessionLoss(actions);
}

// An earlier version of the batch was still in flight and committed. It holds
// tasks that have since been reported as duplicates; they must not run.
void Journal::CommitReplaced(const Batch& batch,
                             RowVersion head,
                             Instant now,
                             JournalActions& actions) {
  const std::vector<Queued> kept = this->outstanding->records;
  JournalActions ignored;
  this->Commit(batch, head, now, ignored);
  for (JournalAction& action : ignored) {
    const auto* accepted = std::get_if<TaskAccepted>(&action);
    const bool dropped =
        accepted != nullptr &&
        std::none_of(kept.begin(), kept.end(), [&](const Queued& queued) {
          return TaskOf(queued.record) == accepted->task;
        });
    if (!dropped) {
      actions.push_back(std::move(action));
      continue;
    }
    TaskAnswer cancelled;
    cancelled.task = accepted->task;
    cancelled.outcome = JournalOutcome::kCancelled;
    this->Append(cancelled, false, now);
  }
}

void Journal::StopAfterSessionLoss(JournalActions& actions) {
  if (this->session_lost) {
    return;
  }
  this->session_lost = true;
  for (const Queued& queued : this->pending) {
    if (std::holds_alternative<AcceptedTask>(queued.record) &&
        !queued.taken_over) {
      actions.emplace_back(TaskRefused{TaskOf(queued.record)});
    }
  }
  this->pending.clear();
  this->outstanding.reset();
  this->takeovers.clear();
  actions.emplace_back(SessionLost{});
}

JournalActions Journal::OnSessionLost(Instant) {
  JournalActions actions;
  this->StopAfterSessionLoss(actions);
  return actions;
}

void Journal::OnSessionRow(RowVersion version) {
  this->config.session_version = version;
}

//-----------------------------------------------------------------------------
// [SECTION] Committed records and compaction
//-----------------------------------------------------------------------------

void Journal::Commit(const Batch& batch,
                     RowVersion head,
                     Instant now,
                     JournalActions& actions) {
  this->outstanding.reset();
  this->replaced.clear();
  // A read that is still in flight is older than this commit.
  this->head_request = 0;
  this->idempotency_request = 0;
  this->head_version = head;
  this->last_commit = now;
  this->batch_delay =
      std::max(this->batch_delay / 2, this->config.tunables.group_commit);
  if (!batch.records.empty() || !batch.copied.empty()) {
    this->rows[batch.number].bytes = batch.transaction.puts.back().value.size();
  }
  for (const LocatedRecord& copy : batch.copied) {
    this->RelocateCopied(copy, batch.number);
  }
  for (const std::uint64_t row : batch.erased_rows) {
    this->DropRow(row);
  }
  for (const Queued& queued : batch.records) {
    this->OnRecordCommitted(queued, batch.number, now, actions);
  }
  const auto written = this->rows.find(batch.number);
  if (written != this->rows.end() && written->second.live_bytes == 0) {
    this->dead.insert(batch.number);
  }
  for (auto& [dead, takeover] : this->takeovers) {
    const bool erased =
        std::find(batch.erased_keys.begin(), batch.erased_keys.end(),
                  AdoptedKey(dead)) != batch.erased_keys.end();
    for (auto task = this->tasks.begin(); erased && task != this->tasks.end();
         ++task) {
      task->second.taken_over_sessions.erase(dead);
    }
    takeover.claimed = takeover.claimed && !erased;
  }
  std::erase_if(this->takeovers, [](const auto& item) {
    return item.second.step == Step::kCopy && !item.second.claimed;
  });
  this->FinishTakeovers();
  this->Flush(now, actions);
}

// A task that expired while its record was being copied leaves a dead copy.
void Journal::RelocateCopied(const LocatedRecord& copy, std::uint64_t row) {
  const TaskId& id = TaskOf(copy.record);
  const auto task = this->tasks.find(id);
  if (task == this->tasks.end()) {
    return;
  }
  for (LocatedRecord& placed : task->second.live) {
    if (placed.row == copy.row) {
      placed.row = row;
      this->rows[row].live_bytes += SizeOf(placed.record);
      this->rows[row].tasks.insert(id);
    }
  }
}

void Journal::OnRecordCommitted(const Queued& queued,
                                std::uint64_t row,
                                Instant now,
                                JournalActions& actions) {
  const JournalRecord& record = queued.record;
  Task& task = this->tasks[TaskOf(record)];
  this->rows[row].tasks.insert(TaskOf(record));
  if (IsFinal(record)) {
    this->OnFinalRecordCommitted(task, record, row, now);
  } else if (task.final) {
    task.dead_rows.insert(row);
  } else {
    task.live.push_back({row, record});
    this->rows[row].live_bytes += SizeOf(record);
  }
  if (this->rows[row].live_bytes == 0) {
    this->dead.insert(row);
  } else {
    this->dead.erase(row);
  }
  if (queued.taken_over) {
    return;
  }
  this->uncommitted_keys.erase(KeyRow(record));
  if (const auto* intent = std::get_if<AttemptIntent>(&record)) {
    actions.emplace_back(IntentRecorded{*intent});
  } else if (IsFinal(record)) {
    actions.emplace_back(AnswerRecorded{TaskOf(record)});
  } else if (std::holds_alternative<AcceptedTask>(record)) {
    actions.emplace_back(TaskAccepted{TaskOf(record)});
  }
}

void Journal::OnFinalRecordCommitted(Task& task,
                                     const JournalRecord& record,
                                     std::uint64_t row,
                                     Instant now) {
  if (task.final) {
    task.dead_rows.insert(row);
    return;
  }
  for (const LocatedRecord& placed : task.live) {
    this->MarkDead(placed);
    task.dead_rows.insert(placed.row);
  }
  task.live = {{row, record}};
  task.final = true;
  this->rows[row].live_bytes += SizeOf(record);
  this->final_expiries.emplace_back(now + this->config.tunables.retention,
                                    TaskOf(record));
}

void Journal::MarkDead(const LocatedRecord& placed) {
  Row& row = this->rows[placed.row];
  row.live_bytes -= SizeOf(placed.record);
  if (row.live_bytes == 0) {
    this->dead.insert(placed.row);
  }
}

void Journal::DropRow(std::uint64_t row) {
  for (const TaskId& id : this->rows[row].tasks) {
    const auto task = this->tasks.find(id);
    if (task != this->tasks.end()) {
      task->second.dead_rows.erase(row);
    }
  }
  this->rows.erase(row);
  this->dead.erase(row);
}

// A final record is erased after the other records of its task: without it, a
// replay would run the task again.
void Journal::Expire(Instant now) {
  std::size_t left = this->final_expiries.size();
  while (left-- > 0 && this->final_expiries.front().first <= now) {
    const TaskId id = this->final_expiries.front().second;
    this->final_expiries.pop_front();
    if (!this->CanExpire(id)) {
      this->MarkRowsToCopy(this->tasks[id]);
      this->final_expiries.emplace_back(now + this->config.tunables.compaction,
                                        id);
      continue;
    }
    const LocatedRecord placed = this->tasks[id].live.front();
    const std::string& key_row = std::get<TaskAnswer>(placed.record).key_row;
    if (!key_row.empty()) {
      this->erasable_keys.push_back(key_row);
    }
    this->MarkDead(placed);
    this->tasks.erase(id);
  }
}

// Rows can wait for each other: the final record of one task waits for a row
// that holds the final record of another task, which waits for the row of the
// first. Copying the live records of the awaited row breaks the cycle.
void Journal::MarkRowsToCopy(const Task& task) {
  for (const std::uint64_t dead_row : task.dead_rows) {
    const auto row = this->rows.find(dead_row);
    const bool pinned = row != this->rows.end() && row->second.live_bytes > 0;
    if (pinned && dead_row != task.live.front().row) {
      this->rows_to_copy.insert(dead_row);
    }
  }
}

bool Journal::CanExpire(const TaskId& id) const {
  const Task& task = this->tasks.at(id);
  const std::uint64_t row = task.live.front().row;
  const bool others =
      std::any_of(task.dead_rows.begin(), task.dead_rows.end(),
                  [&](std::uint64_t dead_row) { return dead_row != row; });
  return !others && task.taken_over_sessions.empty();
}

//-----------------------------------------------------------------------------
// [SECTION] Takeover
//-----------------------------------------------------------------------------

JournalActions Journal::BeginTakeover(const SessionId& dead, Instant now) {
  JournalActions actions;
  if (this->session_lost || dead == this->config.self) {
    return actions;
  }
  const auto [takeover, added] = this->takeovers.try_emplace(dead);
  if (added) {
    this->StepTakeover(dead, takeover->second, now, actions);
  }
  return actions;
}

void Journal::ReadFor(Takeover& takeover,
                      std::vector<std::string> keys,
                      std::vector<std::string> prefixes,
                      Instant now,
                      JournalActions& actions) {
  takeover.request = this->next_request++;
  takeover.operation_id.clear();
  takeover.since = now;
  actions.emplace_back(
      ReadJournalRows{takeover.request, std::move(keys), std::move(prefixes)});
}

void Journal::StepTakeover(const SessionId& dead,
                           Takeover& takeover,
                           Instant now,
                           JournalActions& actions) {
  switch (takeover.step) {
    case Step::kFence:
      this->ReadFor(takeover, {JournalSessionKey(dead.daemon)}, {}, now,
                    actions);
      return;
    case Step::kRead:
    case Step::kClaim:
      takeover.step = Step::kRead;
      this->ReadFor(takeover, {}, {"adopted/"}, now, actions);
      return;
    case Step::kReadAdopted: {
      std::vector<std::string> keys{AdoptedKey(dead)};
      std::vector<std::string> prefixes{JournalPrefix(dead)};
      for (const SessionId& earlier : takeover.adopted_sessions) {
        keys.push_back(AdoptedKey(earlier));
        prefixes.push_back(JournalPrefix(earlier));
      }
      this->ReadFor(takeover, std::move(keys), std::move(prefixes), now,
                    actions);
      return;
    }
    case Step::kCopy:
      return;
  }
}

void Journal::OnTakeoverRead(const SessionId& dead,
                             Takeover& takeover,
                             const std::vector<TableRow>& found,
                             Instant now,
                             JournalActions& actions) {
  takeover.request = 0;
  switch (takeover.step) {
    case Step::kFence:
      this->OnSessionRead(dead, takeover, found, now, actions);
      return;
    case Step::kRead:
      this->OnAdoptedRead(dead, takeover, found, now, actions);
      return;
    case Step::kReadAdopted:
      this->OnRowsRead(dead, takeover, found, now, actions);
      return;
    case Step::kClaim:
    case Step::kCopy:
      return;
  }
}

// Fences the session before its rows are read, so that it can write no more of
// them.
void Journal::OnSessionRead(const SessionId& dead,
                            Takeover& takeover,
                            const std::vector<TableRow>& found,
                            Instant now,
                            JournalActions& actions) {
  const std::string key = JournalSessionKey(dead.daemon);
  const TableRow row = FindRow(found, key);
  const Result<SessionFence> fence = ParseSessionFence(row);
  if (fence.has_error()) {
    ++this->malformed_rows;
    return;  // read again after the timeout
  }
  const std::uint64_t incarnation = dead.incarnation.value;
  if (fence.value().incarnation > incarnation ||
      (fence.value().incarnation == incarnation && fence.value().fenced)) {
    takeover.step = Step::kRead;
    this->StepTakeover(dead, takeover, now, actions);
    return;
  }
  TableTransaction transaction;
  transaction.operation_id = this->NextOperation();
  transaction.checks.push_back({key, row.version});
  transaction.puts.push_back({key, SetFenced(row).value()});
  takeover.operation_id = transaction.operation_id;
  takeover.since = now;
  actions.emplace_back(TransactJournal{std::move(transaction)});
}

void Journal::OnAdoptedRead(const SessionId& dead,
                            Takeover& takeover,
                            const std::vector<TableRow>& found,
                            Instant now,
                            JournalActions& actions) {
  for (const TableRow& row : found) {
    const Result<SessionId> owned = ParseAdoptedKey(row.key);
    const Result<SessionId> by = ParseSessionId(row);
    if (owned.has_error() || by.has_error()) {
      ++this->malformed_rows;
      continue;
    }
    if (owned.value() == dead && by.value() != this->config.self) {
      actions.emplace_back(TakeoverLost{dead, by.value()});
      this->takeovers.erase(SessionId(dead));
      return;
    }
    if (owned.value() == dead &&
        this->IsClaimedByOtherTakeover(dead, takeover)) {
      actions.emplace_back(TakeoverDone{dead, {}});
      this->takeovers.erase(SessionId(dead));
      return;
    }
    const bool listed =
        std::find(takeover.adopted_sessions.begin(),
                  takeover.adopted_sessions.end(),
                  owned.value()) != takeover.adopted_sessions.end();
    if (by.value() == dead && !listed) {
      takeover.adopted_sessions.push_back(owned.value());
    }
  }
  takeover.step = Step::kReadAdopted;
  this->StepTakeover(dead, takeover, now, actions);
}

// Precondition: this session has claimed the rows. Returns true if the claim
// was made by another takeover, of a session that had taken over `dead`: the
// replay of that takeover has these tasks or will have them.
bool Journal::IsClaimedByOtherTakeover(const SessionId& dead,
                                       const Takeover& takeover) const {
  if (!takeover.claim_sent || this->replayed.count(dead) > 0) {
    return true;
  }
  return std::any_of(
      this->takeovers.begin(), this->takeovers.end(), [&](const auto& item) {
        const std::vector<SessionId>& adopted_sessions =
            item.second.adopted_sessions;
        return std::find(adopted_sessions.begin(), adopted_sessions.end(),
                         dead) != adopted_sessions.end();
      });
}

// Returns true if this takeover may replace the existing claims: either the
// rows of `dead` are unclaimed and `dead` holds the claims on the sessions that
// it had taken over, or this takeover holds all these claims already.
bool Journal::IsUnclaimed(const SessionId& dead,
                          const Takeover& takeover,
                          const std::vector<TableRow>& found) const {
  const auto claimant = [&](const SessionId& session) {
    const TableRow row = FindRow(found, AdoptedKey(session));
    const Result<SessionId> by = ParseSessionId(row);
    return row.version.value > 0 && by.has_value() ? by.value() : SessionId{};
  };
  const bool own = takeover.claim_sent && claimant(dead) == this->config.self;
  if (!own && claimant(dead) != SessionId{}) {
    return false;
  }
  const SessionId expected = own ? this->config.self : dead;
  return std::all_of(
      takeover.adopted_sessions.begin(), takeover.adopted_sessions.end(),
      [&](const SessionId& earlier) { return claimant(earlier) == expected; });
}

void Journal::OnRowsRead(const SessionId& dead,
                         Takeover& takeover,
                         const std::vector<TableRow>& found,
                         Instant now,
                         JournalActions& actions) {
  if (!this->IsUnclaimed(dead, takeover, found)) {
    takeover.step = Step::kRead;  // claimed since the claims were read
    takeover.adopted_sessions.clear();
    this->StepTakeover(dead, takeover, now, actions);
    return;
  }
  takeover.records.clear();
  takeover.checks.clear();
  takeover.erases.clear();
  std::vector<SessionId> sessions = takeover.adopted_sessions;
  sessions.push_back(dead);
  std::vector<std::string> last;
  for (const SessionId& session : sessions) {
    const std::string head = JournalHeadKey(session);
    const std::string adopted = AdoptedKey(session);
    takeover.checks.push_back({head, FindRow(found, head).version});
    takeover.checks.push_back({adopted, FindRow(found, adopted).version});
    // The head is erased before the claim row: a delayed claim by another
    // daemon that checks for an absent claim row must conflict on the missing
    // head.
    last.push_back(head);
    last.push_back(adopted);
  }
  for (const TableRow& row : found) {
    const bool batch =
        std::find(last.begin(), last.end(), row.key) == last.end();
    const Result<std::vector<JournalRecord>> records = ParseBatch(row);
    if (!batch || records.has_error()) {
      this->malformed_rows += batch ? 1 : 0;
      continue;  // a row that cannot be parsed is kept
    }
    takeover.erases.push_back(row.key);
    takeover.records.insert(takeover.records.end(), records.value().begin(),
                            records.value().end());
  }
  takeover.erases.insert(takeover.erases.end(), last.begin(), last.end());
  const TableRow own = FindRow(found, AdoptedKey(dead));
  const bool claimed = own.version.value > 0 &&
                       ParseSessionId(own).has_value() &&
                       ParseSessionId(own).value() == this->config.self;
  if (found.empty()) {
    actions.emplace_back(TakeoverDone{dead, {}});
    this->takeovers.erase(SessionId(dead));
  } else if (claimed) {
    this->OnClaimed(dead, takeover, now, actions);
  } else {
    this->Claim(dead, takeover, now, actions);
  }
}

void Journal::Claim(const SessionId& dead,
                    Takeover& takeover,
                    Instant now,
                    JournalActions& actions) {
  const SessionId& self = this->config.self;
  TableTransaction transaction;
  transaction.operation_id = this->NextOperation();
  transaction.checks = takeover.checks;
  transaction.checks.push_back(
      {JournalSessionKey(self.daemon), this->config.session_version});
  transaction.puts.push_back({AdoptedKey(dead), SerializeSession(self)});
  for (const SessionId& earlier : takeover.adopted_sessions) {
    transaction.puts.push_back({AdoptedKey(earlier), SerializeSession(self)});
  }
  takeover.step = Step::kClaim;
  takeover.claim_sent = true;
  takeover.operation_id = transaction.operation_id;
  takeover.since = now;
  actions.emplace_back(TransactJournal{std::move(transaction)});
}

void Journal::OnTakeoverAnswer(const SessionId& dead,
                               Takeover& takeover,
                               const CommitAnswer& answer,
                               Instant now,
                               JournalActions& actions) {
  takeover.operation_id.clear();
  if (ContainsKey(answer.conflicts,
                  JournalSessionKey(this->config.self.daemon))) {
    this->StopAfterSessionLoss(actions);  // a fenced daemon must not claim
    return;
  }
  const bool committed = answer.outcome == CommitOutcome::kCommitted;
  if (takeover.step == Step::kClaim && committed) {
    this->OnClaimed(dead, takeover, now, actions);
    return;
  }
  this->StepTakeover(dead, takeover, now, actions);
}

void Journal::OnClaimed(const SessionId& dead,
                        Takeover& takeover,
                        Instant now,
                        JournalActions& actions) {
  takeover.step = Step::kCopy;
  takeover.claimed = true;
  takeover.request = 0;
  this->replayed.insert(dead);
  this->replayed.insert(takeover.adopted_sessions.begin(),
                        takeover.adopted_sessions.end());
  actions.emplace_back(TakeoverDone{dead, ReplayRecords(takeover.records)});
  for (JournalRecord& record : LiveRecords(takeover.records)) {
    this->tasks[TaskOf(record)].taken_over_sessions.insert(dead);
    this->Append(std::move(record), true, now);
  }
  takeover.copied_up_to = this->next_sequence - 1;
  takeover.records.clear();
  this->FinishTakeovers();
  this->Flush(now, actions);
}

std::uint64_t Journal::FirstUncommitted() const {
  if (this->outstanding && !this->outstanding->records.empty()) {
    return this->outstanding->records.front().sequence;
  }
  return this->pending.empty() ? std::numeric_limits<std::uint64_t>::max()
                               : this->pending.front().sequence;
}

// Rows of a dead session are erased once their copies are committed.
void Journal::FinishTakeovers() {
  const std::uint64_t first = this->FirstUncommitted();
  for (auto& [dead, takeover] : this->takeovers) {
    if (takeover.step == Step::kCopy && first > takeover.copied_up_to) {
      std::move(takeover.erases.begin(), takeover.erases.end(),
                std::back_inserter(this->erasable_keys));
      takeover.erases.clear();
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Answers and time
//-----------------------------------------------------------------------------

JournalActions Journal::OnTransactAnswer(const std::string& operation_id,
                                         const CommitAnswer& answer,
                                         Instant now) {
  JournalActions actions;
  if (this->outstanding && this->outstanding->operation_id == operation_id) {
    this->OnBatchAnswer(answer, now, actions);
    return actions;
  }
  for (auto& [dead, takeover] : this->takeovers) {
    if (takeover.operation_id == operation_id) {
      this->OnTakeoverAnswer(SessionId(dead), takeover, answer, now, actions);
      break;
    }
  }
  return actions;
}

JournalActions Journal::OnRead(std::uint64_t request,
                               const std::vector<TableRow>& rows,
                               Instant now) {
  JournalActions actions;
  if (this->session_lost) {
    return actions;
  }
  if (this->outstanding && request == this->head_request) {
    this->head_request = 0;
    this->OnHead(rows, now, actions);
    return actions;
  }
  if (this->outstanding && request == this->idempotency_request) {
    this->idempotency_request = 0;
    this->OnIdempotencyRows(rows, now, actions);
    return actions;
  }
  for (auto& [dead, takeover] : this->takeovers) {
    if (takeover.request == request) {
      this->OnTakeoverRead(SessionId(dead), takeover, rows, now, actions);
      break;
    }
  }
  return actions;
}

JournalActions Journal::OnTick(Instant now) {
  JournalActions actions;
  if (this->session_lost) {
    return actions;
  }
  const Duration timeout = this->config.tunables.answer_timeout;
  if (this->outstanding && this->resend_at) {
    if (now >= *this->resend_at) {
      this->SendBatch(now, actions);
    }
  } else if (this->outstanding && now - this->batch_sent >= timeout) {
    this->IncreaseBatchDelay();
    this->ReadHead(now, actions);
  }
  for (auto& [dead, takeover] : this->takeovers) {
    if (takeover.step != Step::kCopy && now - takeover.since >= timeout) {
      this->StepTakeover(SessionId(dead), takeover, now, actions);
    }
  }
  this->Expire(now);
  this->Flush(now, actions);
  return actions;
}

}  // namespace peridot
