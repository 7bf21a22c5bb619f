// The journal: accepted tasks and the records that let another daemon resume
// them.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Replay
//   [SECTION] Actions
//   [SECTION] Admission
//   [SECTION] Journal
//
// A daemon owns one Journal for the lifetime of its session:
//
//   Run(journal.Accept(task, now));         // TaskAccepted: send 202
//   Run(journal.RecordIntent(...));         // IntentRecorded: may start
//   Run(journal.RecordEnd(...));
//   Run(journal.RecordAnswer(...));         // AnswerRecorded
//   Run(journal.OnTick(now));               // every kJournalTick
//   Run(journal.BeginTakeover(dead, now));  // TakeoverDone: the replay
//
// Group commit. Records wait for a batch, which is one row and one transaction;
// at most one batch is outstanding. Each batch replaces row `head` under a
// version check, so a delayed duplicate of an earlier batch can never commit,
// not even after its row was compacted. An unknown outcome is resolved by
// reading `head`, which holds the id of the operation that committed last.
//
// Compaction. The records of a task before its final one are dead once the
// final one is committed. The final one is dead when its retention has passed
// and no row with earlier records of the task is left. A row whose records are
// all dead is erased together with the next batch; the live records of a row
// with little live data are copied into that batch.
//
// Takeover. The daemon fences the session, reads its rows, claims them in one
// transaction over `adopted` and `head`, replays them, copies the live records
// into its own journal and erases the rows last. Replay uses the union of all
// rows, so an interrupted copy changes nothing.
//
// Not thread-safe. No input blocks, reads a clock or does I/O.

#ifndef SRC_COORDINATION_JOURNAL_H_
#define SRC_COORDINATION_JOURNAL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "src/coordination/journal_internal.h"
#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

// Period of OnTick.
inline constexpr Duration kJournalTick = std::chrono::milliseconds(5);

struct JournalTunables {
  // Longest time that a record waits for its batch while the store keeps up.
  Duration group_commit = std::chrono::milliseconds(20);
  // The wait doubles up to this while the store refuses writes or is slow, so
  // that the write rate of the fleet falls below the limit of the store.
  Duration group_commit_max = std::chrono::milliseconds(500);
  std::size_t batch_bytes = std::size_t{256} * 1024;
  // The store is considered down when a batch has no answer after this time.
  Duration store_down_after = std::chrono::seconds(1);
  // A read or a transaction without an answer is repeated after this time.
  Duration answer_timeout = std::chrono::milliseconds(500);
  // Answers and idempotency keys are kept this long after the end of the task.
  Duration retention = std::chrono::minutes(10);
  // Longest time that dead rows wait for a batch that erases them.
  Duration compaction = std::chrono::seconds(5);
  // Maximum number of rows that a transaction erases besides those of its own
  // batch.
  std::size_t erases = 100;
  // A row is copied when less than 1/copy_divisor of its bytes is live.
  std::size_t copy_divisor = 4;
};

struct JournalConfig {
  SessionId self;
  RowVersion session_version;  // version of the own unfenced session row
  JournalTunables tunables;
};

//-----------------------------------------------------------------------------
// [SECTION] Replay
//-----------------------------------------------------------------------------

// A non-idempotent attempt that may have started: fence it at its endpoint.
struct AttemptToResolve {
  AcceptedTask task;
  AttemptIntent attempt;
};

// The remaining work of a taken-over session. Each of its tasks is in one list.
struct Replay {
  std::vector<AcceptedTask> queue;  // no attempt of the task can run any more
  std::vector<AttemptToResolve> resolve;  // one entry per open attempt
  std::vector<TaskAnswer> finished;       // answers to return to callers
};

// Classifies the tasks in the union of the records of a session. The records
// may come in any order and more than once.
Replay ReplayRecords(const std::vector<JournalRecord>& records);

// Returns the records that a later replay needs, each once.
std::vector<JournalRecord> LiveRecords(
    const std::vector<JournalRecord>& records);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Read the rows in one snapshot and call OnRead with the same request number.
struct ReadJournalRows {
  std::uint64_t request = 0;
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
};

// Run the transaction and call OnTransactAnswer.
struct TransactJournal {
  TableTransaction transaction;
};

// The task is committed; another daemon resumes it if this one fails.
struct TaskAccepted {
  TaskId task;
};

// The idempotency key belongs to an earlier task; return the answer of that
// task.
struct TaskDuplicate {
  TaskId task;  // removed from the batch, did not run
  TaskId existing;
  SessionId session;  // the session that accepted it
};

// The task is not in the journal and never will be; it did not run.
struct TaskRefused {
  TaskId task;
};

// The attempt may be sent, to this endpoint and with this boot id only: a
// daemon that took the session over may have fenced the attempt there, and the
// endpoint loses its fences when it restarts.
struct IntentRecorded {
  AttemptIntent intent;
};

struct AnswerRecorded {
  TaskId task;
};

struct TakeoverDone {
  SessionId session;
  Replay replay;
};

// Another session claimed the rows first.
struct TakeoverLost {
  SessionId session;
  SessionId by;
};

// The own session was fenced: stop acting. The outcome of an unresolved batch
// stays unknown.
struct SessionLost {};

using JournalAction = std::variant<ReadJournalRows,
                                   TransactJournal,
                                   TaskAccepted,
                                   TaskDuplicate,
                                   TaskRefused,
                                   IntentRecorded,
                                   AnswerRecorded,
                                   TakeoverDone,
                                   TakeoverLost,
                                   SessionLost>;
using JournalActions = std::vector<JournalAction>;

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

struct AdmissionQuery {
  // The caller waits for the answer; false with respond-async.
  bool synchronous = true;
  bool has_key = false;  // has an idempotency key
};

enum class Admission {
  kUnjournaled,  // serve; the task is only in the memory of this daemon
  kJournaled,    // serve after TaskAccepted
  kRefused,      // store_unavailable, not run
};

//-----------------------------------------------------------------------------
// [SECTION] Journal
//-----------------------------------------------------------------------------

class Journal {
 public:
  explicit Journal(JournalConfig config);

  // Decides how a request is served now. An accepted asynchronous task whose
  // intent cannot be recorded keeps waiting, since IntentRecorded is not
  // returned for it.
  Admission Admit(const AdmissionQuery& query, Instant now) const;
  bool IsStoreUsable(Instant now) const;

  // Precondition of the next four: the records of a task come in this order.
  JournalActions Accept(const AcceptedTask& task, Instant now);
  JournalActions RecordIntent(const AttemptIntent& intent, Instant now);
  JournalActions RecordEnd(const AttemptEnd& end, Instant now);
  JournalActions RecordAnswer(const TaskAnswer& answer, Instant now);

  // Withdraws an acceptance that is not in an outstanding batch. Returns false
  // if the task is accepted or the outcome of its batch is not known yet.
  bool Withdraw(const TaskId& task);

  // The answer of a finished task within its retention, or null.
  const TaskAnswer* FindAnswer(const TaskId& task) const;

  // Takes over the journal of a dead session, of another daemon or of an
  // earlier incarnation of this one. Fences the session first.
  JournalActions BeginTakeover(const SessionId& dead, Instant now);

  JournalActions OnTransactAnswer(const std::string& operation_id,
                                  const CommitAnswer& answer,
                                  Instant now);
  // Rows that do not exist may be left out.
  JournalActions OnRead(std::uint64_t request,
                        const std::vector<TableRow>& rows,
                        Instant now);
  JournalActions OnSessionLost(Instant now);
  void OnSessionRow(RowVersion version);
  JournalActions OnTick(Instant now);

  std::size_t RowCount() const { return this->rows.size(); }
  std::int64_t MalformedRows() const { return this->malformed_rows; }

 private:
  // A live record and the row that holds it.
  struct LocatedRecord {
    std::uint64_t row = 0;
    JournalRecord record;
  };
  struct Task {
    std::vector<LocatedRecord> live;
    std::set<std::uint64_t> dead_rows;  // rows with dead records
    std::set<SessionId>
        taken_over_sessions;  // whose taken-over rows are not yet erased
    bool final = false;
  };
  struct Row {
    std::size_t bytes = 0;
    std::size_t live_bytes = 0;
    std::set<TaskId> tasks;
  };
  struct Queued {
    std::uint64_t sequence = 0;
    bool taken_over = false;  // copied from a dead session
    JournalRecord record;
  };
  struct Batch {
    std::uint64_t number = 0;
    std::string operation_id;
    std::vector<Queued> records;
    std::vector<LocatedRecord> copied;  // from their former rows
    std::vector<std::uint64_t> erased_rows;
    std::vector<std::string> erased_keys;
    TableTransaction transaction;
  };
  enum class Step { kFence, kRead, kReadAdopted, kClaim, kCopy };
  struct Takeover {
    Step step = Step::kFence;
    std::uint64_t request = 0;  // outstanding read; 0: none
    std::string operation_id;   // outstanding write; empty: none
    Instant since{};            // start of the outstanding read or write
    std::vector<SessionId>
        adopted_sessions;  // sessions that `dead` had taken over
    std::vector<JournalRecord> records;
    std::vector<TableCheck> checks;   // of the claim
    std::vector<std::string> erases;  // rows to erase at the end
    std::uint64_t copied_up_to = 0;   // sequence of the last copied record
    bool claimed = false;
    bool claim_sent = false;
  };

  // Batches.
  void Append(JournalRecord record, bool taken_over, Instant now);
  std::uint64_t FirstUncommitted() const;
  std::string KeyRowOf(const TaskId& task) const;
  void Flush(Instant now, JournalActions& actions);
  bool IsFlushDue(Instant now) const;
  Batch BuildBatch();
  void TakeRecords(Batch& batch);
  void TakeErases(Batch& batch);
  void CopyRow(Batch& batch);
  void FinishTransaction(Batch& batch);
  void SendBatch(Instant now, JournalActions& actions);
  void ReadHead(Instant now, JournalActions& actions);
  void OnHead(const std::vector<TableRow>& found,
              Instant now,
              JournalActions& actions);
  void OnBatchAnswer(const CommitAnswer& answer,
                     Instant now,
                     JournalActions& actions);
  void OnBatchConflict(const CommitAnswer& answer,
                       Instant now,
                       JournalActions& actions);
  void OnIdempotencyRows(const std::vector<TableRow>& found,
                         Instant now,
                         JournalActions& actions);
  void Commit(const Batch& batch,
              RowVersion head,
              Instant now,
              JournalActions& actions);
  void CommitReplaced(const Batch& batch,
                      RowVersion head,
                      Instant now,
                      JournalActions& actions);
  void OnRecordCommitted(const Queued& queued,
                         std::uint64_t row,
                         Instant now,
                         JournalActions& actions);
  void OnFinalRecordCommitted(Task& task,
                              const JournalRecord& record,
                              std::uint64_t row,
                              Instant now);
  void RelocateCopied(const LocatedRecord& copy, std::uint64_t row);
  void MarkDead(const LocatedRecord& placed);
  void DropRow(std::uint64_t row);
  void Expire(Instant now);
  bool CanExpire(const TaskId& id) const;
  void MarkRowsToCopy(const Task& task);
  std::map<std::uint64_t, Row>::const_iterator RowToCopy();
  void IncreaseBatchDelay();
  void StopAfterSessionLoss(JournalActions& actions);

  // Takeovers.
  void StepTakeover(const SessionId& dead,
                    Takeover& takeover,
                    Instant now,
                    JournalActions& actions);
  void OnTakeoverAnswer(const SessionId& dead,
                        Takeover& takeover,
                        const CommitAnswer& answer,
                        Instant now,
                        JournalActions& actions);
  void ReadFor(Takeover& takeover,
               std::vector<std::string> keys,
               std::vector<std::string> prefixes,
               Instant now,
               JournalActions& actions);
  void OnTakeoverRead(const SessionId& dead,
                      Takeover& takeover,
                      const std::vector<TableRow>& found,
                      Instant now,
                      JournalActions& actions);
  void OnSessionRead(const SessionId& dead,
                     Takeover& takeover,
                     const std::vector<TableRow>& found,
                     Instant now,
                     JournalActions& actions);
  void OnAdoptedRead(const SessionId& dead,
                     Takeover& takeover,
                     const std::vector<TableRow>& found,
                     Instant now,
                     JournalActions& actions);
  bool IsClaimedByOtherTakeover(const SessionId& dead,
                                const Takeover& takeover) const;
  bool IsUnclaimed(const SessionId& dead,
                   const Takeover& takeover,
                   const std::vector<TableRow>& found) const;
  void OnRowsRead(const SessionId& dead,
                  Takeover& takeover,
                  const std::vector<TableRow>& found,
                  Instant now,
                  JournalActions& actions);
  void Claim(const SessionId& dead,
             Takeover& takeover,
             Instant now,
             JournalActions& actions);
  void OnClaimed(const SessionId& dead,
                 Takeover& takeover,
                 Instant now,
                 JournalActions& actions);
  void FinishTakeovers();
  std::string NextOperation();

  JournalConfig config;
  bool session_lost = false;  // own session was fenced
  std::deque<Queued> pending;
  std::size_t pending_bytes = 0;
  std::map<std::string, TaskId> uncommitted_keys;  // of acceptances
  Instant oldest_pending{};
  std::uint64_t next_sequence = 1;
  std::optional<Batch> outstanding;
  std::vector<Batch> replaced;  // earlier versions of the outstanding batch
  Instant batch_since{};        // first send of the outstanding batch
  Instant batch_sent{};         // last send or read for it
  std::optional<Instant> resend_at;
  bool session_conflict = false;          // of the outstanding batch
  std::uint64_t head_request = 0;         // 0: none outstanding
  std::uint64_t idempotency_request = 0;  // 0: none outstanding
  RowVersion head_version;                // 0: no batch yet
  Duration batch_delay;                   // starts at group_commit
  std::uint64_t next_number = 1;
  std::uint64_t next_request = 1;
  std::uint64_t next_operation = 1;
  std::map<TaskId, Task> tasks;
  std::map<std::uint64_t, Row> rows;
  std::set<std::uint64_t> dead;           // rows without live records
  std::set<std::uint64_t> rows_to_copy;   // to be copied
  std::deque<std::string> erasable_keys;  // of other rows
  std::deque<std::pair<Instant, TaskId>> final_expiries;  // when they expire
  Instant last_commit{};
  std::map<SessionId, Takeover> takeovers;
  std::set<SessionId> replayed;  // sessions whose replay was returned
  std::int64_t malformed_rows = 0;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_JOURNAL_H_
