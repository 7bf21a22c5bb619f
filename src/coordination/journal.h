// The journal: accepted tasks and the records that let them outlive a daemon.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Replay
//   [SECTION] Actions
//   [SECTION] Admission
//   [SECTION] Journal
//
// A daemon owns one Journal for the life of its session:
//
//   Run(journal.Accept(task, now));     // TaskAccepted: the caller may get 202
//   Run(journal.RecordIntent(...));     // IntentRecorded: the attempt may
//   start Run(journal.RecordEnd(...)); Run(journal.RecordAnswer(...));     //
//   AnswerRecorded Run(journal.OnTick(now));           // every kJournalTick
//   Run(journal.BeginTakeover(dead, now));  // TakeoverDone: the replay
//
// Group commit. Records wait for a batch, which is one row and one transaction;
// at most one batch is outstanding. Each batch replaces row `head` under a
// version check, so a late repeat of an earlier batch can never commit, not
// even after its row was compacted. An unknown outcome is resolved by reading
// `head`: it names the operation that committed last.
//
// Compaction. A task's records before its final one are dead once the final
// one is committed. The final one is dead when its retention has passed and no
// row with earlier records of the task is left. A row whose records are all
// dead is erased together with the next batch; a row with little left is copied
// into it.
//
// Takeover. Fence the session, read its rows, claim them by one transaction
// over `adopted` and `head`, replay, copy the live records into the own journal
// and erase the rows last. Replay takes the union of all rows, so a copy that
// stopped half-way changes nothing.
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
  // Longest wait of a record for its batch while the store keeps up.
  Duration group_commit = std::chrono::milliseconds(20);  // default: 20 ms
  // The wait doubles up to this while the store refuses or is slow, so that the
  // fleet's writes fall below the store's cap.
  Duration group_commit_max = std::chrono::milliseconds(500);  // 500 ms
  std::size_t batch_bytes = std::size_t{256} * 1024;           // 256 KiB
  // A batch without an answer for this time means that the store is down.
  Duration store_down_after = std::chrono::seconds(1);  // default: 1 s
  // A read or a transaction without an answer is repeated after this time.
  Duration answer_timeout = std::chrono::milliseconds(500);  // 500 ms
  // Answers and idempotency keys are kept this long after the end of the task.
  Duration retention = std::chrono::minutes(10);  // default: 10 min
  // Longest wait of dead rows for a batch to be erased with.
  Duration compaction = std::chrono::seconds(5);  // default: 5 s
  // Rows that a transaction erases at most, besides those of its own batch.
  std::size_t erases = 100;  // default: 100 rows
  // A row is copied when fewer bytes than this part of it are live.
  std::size_t copy_divisor = 4;  // default: 1/4
};

struct JournalConfig {
  SessionId self;              // default: none
  RowVersion session_version;  // default: 0; of the own unfenced session row
  JournalTunables tunables;    // default: as above
};

//-----------------------------------------------------------------------------
// [SECTION] Replay
//-----------------------------------------------------------------------------

// A non-idempotent attempt that may have started: fence it at its endpoint.
struct AttemptToResolve {
  AcceptedTask task;      // default: empty
  AttemptIntent attempt;  // default: empty
};

// What a taken-over session leaves to do. Each of its tasks is in one list.
struct Replay {
  std::vector<AcceptedTask> queue;        // nothing of it can run any more
  std::vector<AttemptToResolve> resolve;  // one entry per open attempt
  std::vector<TaskAnswer> finished;       // answers to serve
};

// Sorts the union of a session's records, in any order and with repeats.
Replay ReplayRecords(const std::vector<JournalRecord>& records);

// The records of the union that a later replay needs, each once.
std::vector<JournalRecord> LiveRecords(
    const std::vector<JournalRecord>& records);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

// Read the rows in one snapshot and call OnRead with the same request number.
struct ReadJournalRows {
  std::uint64_t request = 0;          // default: 0
  std::vector<std::string> keys;      // default: none
  std::vector<std::string> prefixes;  // default: none
};

// Run the transaction and call OnTransactAnswer.
struct TransactJournal {
  TableTransaction transaction;  // default: empty
};

// The task outlives this daemon.
struct TaskAccepted {
  TaskId task;  // default: empty
};

// The idempotency key belongs to an earlier task; answer from that one.
struct TaskDuplicate {
  TaskId task;        // default: empty; taken out, did not run
  TaskId existing;    // default: empty
  SessionId session;  // default: none; the session that accepted it
};

// The task is not in the journal and never will be; it did not run.
struct TaskRefused {
  TaskId task;  // default: empty
};

// The attempt may be sent, to this endpoint and with this boot id only: an heir
// may have fenced it there, and a later boot of the endpoint has forgotten
// that.
struct IntentRecorded {
  AttemptIntent intent;  // default: empty
};

struct AnswerRecorded {
  TaskId task;  // default: empty
};

struct TakeoverDone {
  SessionId session;  // default: none
  Replay replay;      // default: empty
};

// Another session has claimed the rows.
struct TakeoverLost {
  SessionId session;  // default: none
  SessionId by;       // default: none
};

// The own session was fenced: stop acting. Unknown batches stay unknown.
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
  bool waits = true;     // default: true; false with respond-async
  bool has_key = false;  // default: false; idempotency key
};

enum class Admission {
  kUnjournaled,  // serve; the record is the daemon's memory
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
  // intent cannot be recorded waits by itself: IntentRecorded does not come.
  Admission Admit(const AdmissionQuery& query, Instant now) const;
  bool IsStoreUsable(Instant now) const;

  // Precondition of the four: the task's records come in this order.
  JournalActions Accept(const AcceptedTask& task, Instant now);
  JournalActions RecordIntent(const AttemptIntent& intent, Instant now);
  JournalActions RecordEnd(const AttemptEnd& end, Instant now);
  JournalActions RecordAnswer(const TaskAnswer& answer, Instant now);

  // Takes an acceptance back that is not in an outstanding batch. False: its
  // outcome is open or it is accepted.
  bool Withdraw(const TaskId& task);

  // The answer of a finished task within its retention, or null.
  const TaskAnswer* FindAnswer(const TaskId& task) const;

  // Takes over the journal of a dead session: another daemon's, or an earlier
  // incarnation's of this one. Fences it first.
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
  // Where a live record lies.
  struct Placed {
    std::uint64_t row = 0;  // default: 0
    JournalRecord record;   // default: empty
  };
  struct Task {
    std::vector<Placed> live;           // default: none
    std::set<std::uint64_t> dead_rows;  // rows with dead records
    std::set<SessionId> foreign;        // taken-over rows not yet erased
    bool final = false;                 // default: false
  };
  struct Row {
    std::size_t bytes = 0;       // default: 0
    std::size_t live_bytes = 0;  // default: 0
    std::set<TaskId> tasks;      // default: none
  };
  struct Queued {
    std::uint64_t sequence = 0;  // default: 0
    bool taken_over = false;     // default: false; copied from a dead session
    JournalRecord record;        // default: empty
  };
  struct Batch {
    std::uint64_t number = 0;  // default: 0
    std::string operation_id;  // default: empty
    std::vector<Queued> records;
    std::vector<Placed> copied;  // from their former rows
    std::vector<std::uint64_t> erased_rows;
    std::vector<std::string> erased_keys;
    TableTransaction transaction;
  };
  enum class Step { kFence, kRead, kReadChain, kClaim, kCopy };
  struct Takeover {
    Step step = Step::kFence;            // default: kFence
    std::uint64_t request = 0;           // default: 0; outstanding read
    std::string operation_id;            // default: none; outstanding write
    Instant since{};                     // of the outstanding read or write
    std::vector<SessionId> chain;        // sessions that `dead` had taken over
    std::vector<JournalRecord> records;  // default: none
    std::vector<TableCheck> checks;      // for the claim
    std::vector<std::string> erases;     // rows to erase in the end
    std::uint64_t copied_up_to = 0;      // sequence of the last copied record
    bool claimed = false;                // default: false
    bool claim_sent = false;             // default: false
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
  void Place(const Queued& queued,
             std::uint64_t row,
             Instant now,
             JournalActions& actions);
  void PlaceFinal(Task& task,
                  const JournalRecord& record,
                  std::uint64_t row,
                  Instant now);
  void MoveCopied(const Placed& copy, std::uint64_t row);
  void Kill(const Placed& placed);
  void ForgetRow(std::uint64_t row);
  void Expire(Instant now);
  bool CanExpire(const TaskId& id) const;
  void Unpin(const Task& task);
  std::map<std::uint64_t, Row>::const_iterator RowToCopy();
  void SlowDown();
  void LoseSession(JournalActions& actions);

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
  bool IsCovered(const SessionId& dead, const Takeover& takeover) const;
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
  bool lost = false;  // default: false; own session was fenced
  std::deque<Queued> pending;
  std::size_t pending_bytes = 0;                   // default: 0
  std::map<std::string, TaskId> uncommitted_keys;  // of acceptances
  Instant oldest_pending{};                        // default: none pending
  std::uint64_t next_sequence = 1;                 // default: 1
  std::optional<Batch> outstanding;
  std::vector<Batch> replaced;  // earlier versions of the outstanding batch
  Instant batch_since{};        // first send of the outstanding batch
  Instant batch_sent{};         // last send or read for it
  std::optional<Instant> resend_at;  // default: none
  bool session_conflict = false;     // default: false; of the outstanding batch
  std::uint64_t head_request = 0;    // default: 0; none outstanding
  std::uint64_t idempotency_request = 0;  // default: 0; none outstanding
  RowVersion head_version;                // default: 0; no batch yet
  Duration wait;                          // default: group_commit
  std::uint64_t next_number = 1;          // default: 1
  std::uint64_t next_request = 1;         // default: 1
  std::uint64_t next_operation = 1;       // default: 1
  std::map<TaskId, Task> tasks;
  std::map<std::uint64_t, Row> rows;
  std::set<std::uint64_t> dead;                   // rows without live records
  std::set<std::uint64_t> pinned_rows;            // to be copied
  std::deque<std::string> erasable_keys;          // of other rows
  std::deque<std::pair<Instant, TaskId>> finals;  // when they expire
  Instant last_commit{};
  std::map<SessionId, Takeover> takeovers;
  std::set<SessionId> replayed;     // sessions whose tasks were handed out
  std::int64_t malformed_rows = 0;  // default: 0
};

}  // namespace peridot

#endif  // SRC_COORDINATION_JOURNAL_H_
