// Unit tests of the journal. A JournalDriver executes the actions of a journal
// against a table, immediately or later.

#include "src/coordination/journal.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <map>
#include <string>

#include "tests/support/virtual_table.h"

namespace peridot::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

SessionId Session(const char* daemon, std::uint64_t incarnation = 1) {
  return {DaemonId(daemon), Incarnation(incarnation)};
}

RowVersion WriteSession(VirtualTable& table, const SessionId& session) {
  TableTransaction write;
  write.operation_id = "register" + std::to_string(table.Writes());
  write.puts.push_back({"session/" + session.daemon.value,
                        R"({"fenced":false,"zone":"z1","incarnation":)" +
                            std::to_string(session.incarnation.value) + "}"});
  return table.Transact(write).versions[0].version;
}

AcceptedTask Task(const std::string& id, const std::string& key = "") {
  AcceptedTask task;
  task.task = TaskId(id);
  task.team = TeamId("counts");
  task.key_digest = key;
  return task;
}

AttemptIntent Intent(const std::string& task, const std::string& attempt) {
  return {TaskId(task), AttemptId(attempt), EndpointId("e1"), BootId("b1")};
}

TaskAnswer Answer(const std::string& task) {
  TaskAnswer answer;
  answer.task = TaskId(task);
  answer.outcome = JournalOutcome::kAnswered;
  answer.body = "42";
  return answer;
}

struct Desk {
  VirtualTable& table;
  Journal log;
  Instant now = Instant{} + seconds(10);
  bool hold = false;          // keep transactions in `held_writes`
  bool lose_answers = false;  // after the write took effect
  std::deque<TableTransaction> held;
  bool hold_reads = false;  // keep reads in `held_reads`
  std::deque<ReadJournalRows> held_reads;
  std::vector<std::string> accepted;
  std::vector<std::string> refused;
  std::vector<std::string> intents;
  std::vector<std::string> answered;
  std::vector<TaskDuplicate> duplicates;
  std::vector<TakeoverLost> takeovers_lost;
  std::vector<TakeoverDone> takeovers;
  int sent = 0;  // transactions
  bool session_lost = false;

  Desk(VirtualTable& table, const SessionId& self)
      : table(table), log(Config(table, self)) {}

  static JournalConfig Config(VirtualTable& table, const SessionId& self) {
    JournalConfig config;
    config.self = self;
    config.session_version = WriteSession(table, self);
    config.tunables.retention = seconds(2);
    config.tunables.compaction = milliseconds(100);
    return config;
  }

  void Do(const JournalActions& actions) {
    for (const JournalAction& action : actions) {
      std::visit([&](const auto& item) { this->Carry(item); }, action);
    }
  }
  void Carry(const ReadJournalRows& read) {
    if (this->hold_reads) {
      this->held_reads.push_back(read);
      return;
    }
    this->Serve(read);
  }
  void Serve(const ReadJournalRows& read) {
    std::vector<TableRow> rows;
    for (const std::string& key : read.keys) {
      if (this->table.Read(key).version.value > 0) {
        rows.push_back(this->table.Read(key));
      }
    }
    for (const std::string& prefix : read.prefixes) {
      for (const TableRow& row : this->table.ReadPrefix(prefix)) {
        rows.push_back(row);
      }
    }
    this->Do(this->log.OnRead(read.request, rows, this->now));
  }
  void Carry(const TransactJournal& write) {
    ++this->sent;
    if (this->hold) {
      this->held.push_back(write.transaction);
      return;
    }
    const CommitAnswer answer = this->table.Transact(write.transaction);
    this->Do(this->log.OnTransactAnswer(
        write.transaction.operation_id,
        this->lose_answers ? CommitAnswer{} : answer, this->now));
  }
  void Carry(const TaskAccepted& news) {
    this->accepted.push_back(news.task.value);
  }
  void Carry(const TaskDuplicate& news) { this->duplicates.push_back(news); }
  void Carry(const TaskRefused& news) {
    this->refused.push_back(news.task.value);
  }
  void Carry(const IntentRecorded& news) {
    this->intents.push_back(news.intent.attempt.value);
  }
  void Carry(const AnswerRecorded& news) {
    this->answered.push_back(news.task.value);
  }
  void Carry(const TakeoverDone& news) { this->takeovers.push_back(news); }
  void Carry(const TakeoverLost& news) { this->takeovers_lost.push_back(news); }
  void Carry(const SessionLost&) { this->session_lost = true; }

  void Pass(Duration length) {
    const Instant end = this->now + length;
    while (this->now < end) {
      this->now += kJournalTick;
      this->Do(this->log.OnTick(this->now));
    }
  }
  void Accept(const AcceptedTask& task) {
    this->Do(this->log.Accept(task, this->now));
  }
  // Accepts a non-idempotent task and records the intent of its attempt.
  void AcceptWithIntent(const std::string& id) {
    this->Accept(Task(id));
    this->Pass(milliseconds(30));
    this->Do(this->log.RecordIntent(Intent(id, id + "-1"), this->now));
    this->Pass(milliseconds(30));
  }
  void Finish(const std::string& id) {
    this->Do(this->log.RecordAnswer(Answer(id), this->now));
    this->Pass(milliseconds(30));
  }
  void TakeOver(const SessionId& dead) {
    this->Do(this->log.BeginTakeover(dead, this->now));
  }
  std::size_t Batches(const SessionId& session) const {
    const std::size_t rows =
        this->table.ReadPrefix(JournalPrefix(session)).size();
    return rows > 0 ? rows - 1 : 0;  // without the head
  }
};

const SessionId kA = Session("a");
const SessionId kB = Session("b");
const SessionId kC = Session("c");

TEST_CASE("a journal reports acceptance, intent and answer once committed",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  REQUIRE(desk.log.Admit({false, false}, desk.now) == Admission::kJournaled);
  desk.Accept(Task("t1"));
  REQUIRE(desk.accepted.empty());  // no 202 before the batch is committed
  desk.Pass(milliseconds(20));
  REQUIRE(desk.accepted == std::vector<std::string>{"t1"});
  desk.Do(desk.log.RecordIntent(Intent("t1", "a1"), desk.now));
  REQUIRE(desk.intents.empty());
  desk.Pass(milliseconds(20));
  REQUIRE(desk.intents == std::vector<std::string>{"a1"});
  desk.Do(desk.log.RecordEnd({TaskId("t1"), AttemptId("a1"), false}, desk.now));
  desk.Do(desk.log.RecordAnswer(Answer("t1"), desk.now));
  REQUIRE(desk.log.FindAnswer(TaskId("t1")) == nullptr);
  desk.Pass(milliseconds(20));
  REQUIRE(desk.answered == std::vector<std::string>{"t1"});
  REQUIRE(desk.log.FindAnswer(TaskId("t1"))->body == "42");
  REQUIRE(desk.log.IsStoreUsable(desk.now));
  REQUIRE(desk.log.MalformedRows() == 0);
  desk.log.OnSessionRow(WriteSession(table, kA));  // leaving, not fenced
  desk.Accept(Task("t2"));
  desk.Pass(milliseconds(20));
  REQUIRE(desk.accepted.size() == 2);
  desk.Do(desk.log.OnSessionLost(desk.now));
  REQUIRE(desk.session_lost);
}

TEST_CASE("records of 20 ms share one write, a full batch is sent at once",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  for (int i = 0; i < 100; ++i) {
    desk.Accept(Task(std::to_string(i)));
  }
  desk.Pass(milliseconds(20));
  REQUIRE(desk.accepted.size() == 100);
  REQUIRE(desk.sent == 1);
  AcceptedTask large = Task("large");
  large.body.assign(std::size_t{256} * 1024, 'x');
  desk.Accept(large);
  REQUIRE(desk.sent == 2);
}

TEST_CASE("at most one batch is outstanding", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.hold = true;
  desk.Accept(Task("t1"));
  desk.Pass(milliseconds(20));
  desk.Accept(Task("t2"));
  desk.Pass(milliseconds(200));
  REQUIRE(desk.sent == 1);
}

TEST_CASE("a lost answer of a committed batch accepts its tasks once",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.lose_answers = true;
  desk.Accept(Task("t1"));
  desk.Pass(milliseconds(20));
  REQUIRE(desk.accepted == std::vector<std::string>{"t1"});
  REQUIRE(desk.sent == 1);
}

TEST_CASE("a batch of unknown outcome is resent under the same operation id",
          "[journal]") {
  // Guards against a second batch with the same tasks while the first is still
  // in flight.
  VirtualTable table;
  Desk desk(table, kA);
  desk.hold = true;
  desk.Accept(Task("t1"));
  desk.Pass(seconds(3));
  REQUIRE(desk.held.size() >= 2);
  REQUIRE(desk.accepted.empty());
  for (const TableTransaction& write : desk.held) {
    REQUIRE(write.operation_id == desk.held.front().operation_id);
    table.Transact(write);
  }
  desk.hold = false;
  desk.Pass(seconds(2));
  REQUIRE(desk.accepted == std::vector<std::string>{"t1"});
  REQUIRE(desk.Batches(kA) == 1);
}

TEST_CASE("a delayed duplicate of a compacted batch does not commit",
          "[journal]") {
  // Guards against a finished task that is accepted again: its batch row and
  // its final record are erased, and the table no longer has the operation id.
  VirtualTable table;
  Desk desk(table, kA);
  desk.hold = true;
  desk.Accept(Task("t1"));
  desk.Pass(milliseconds(20));
  TableTransaction first = desk.held.front();
  desk.hold = false;
  desk.Pass(seconds(2));
  desk.Finish("t1");
  desk.Pass(seconds(5));
  REQUIRE(desk.Batches(kA) == 0);
  first.operation_id += "-forgotten";
  REQUIRE(table.Transact(first).outcome == CommitOutcome::kConflict);
}

TEST_CASE("a task with a used idempotency key is removed from its batch",
          "[journal]") {
  VirtualTable table;
  Desk first(table, kA);
  Desk second(table, kB);
  first.Accept(Task("t1", "k1"));
  first.Pass(milliseconds(20));
  second.Accept(Task("t2", "k1"));
  second.Accept(Task("t3", "k3"));
  second.Pass(milliseconds(20));
  REQUIRE(second.accepted == std::vector<std::string>{"t3"});
  REQUIRE(second.duplicates.size() == 1);
  REQUIRE(second.duplicates[0].task == TaskId("t2"));
  REQUIRE(second.duplicates[0].existing == TaskId("t1"));
  REQUIRE(second.duplicates[0].session == kA);
}

TEST_CASE("two requests with one key in one batch are stored as one task",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.Accept(Task("t1", "k1"));
  desk.Accept(Task("t2", "k1"));
  desk.Pass(milliseconds(20));
  REQUIRE(desk.accepted == std::vector<std::string>{"t1"});
  REQUIRE(desk.duplicates.size() == 1);
}

TEST_CASE("a key can be reused after the retention of its task", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.Accept(Task("t1", "k1"));
  desk.Pass(milliseconds(30));
  desk.Finish("t1");
  REQUIRE(table.ReadPrefix("idem/").size() == 1);
  desk.Pass(seconds(5));
  REQUIRE(table.ReadPrefix("idem/").empty());
}

TEST_CASE("a repeated answer neither replaces the first nor leaks the key",
          "[journal]") {
  // Guards against an idempotency row that is never erased because a second
  // final record without the key replaced the first.
  VirtualTable table;
  Desk desk(table, kA);
  desk.Accept(Task("t1", "k1"));
  desk.Pass(milliseconds(30));
  desk.Do(desk.log.RecordAnswer(Answer("t1"), desk.now));
  desk.Do(desk.log.RecordAnswer(Answer("t1"), desk.now));
  desk.Pass(milliseconds(30));
  desk.Do(desk.log.RecordAnswer(Answer("t1"), desk.now));
  REQUIRE(desk.answered.size() == 3);
  Desk heir(table, kB);
  heir.TakeOver(kA);
  heir.Pass(seconds(5));
  REQUIRE(table.ReadPrefix("idem/").empty());
}

TEST_CASE("rows that wait for each other are compacted", "[journal]") {
  // Guards against a table that grows because the final records of two tasks
  // wait for the row of each other.
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  desk.Do(desk.log.RecordAnswer(Answer("t1"), desk.now));
  desk.Accept(Task("t2"));
  desk.Pass(milliseconds(30));
  desk.Do(desk.log.RecordAnswer(Answer("t2"), desk.now));
  // An end that arrives after its task's answer.
  desk.Do(
      desk.log.RecordEnd({TaskId("t1"), AttemptId("t1-1"), false}, desk.now));
  desk.Pass(seconds(10));
  REQUIRE(desk.Batches(kA) == 0);
}

TEST_CASE("only unjournaled work is served while the store is down",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.hold = true;
  desk.Accept(Task("t1"));
  desk.Pass(seconds(2));
  REQUIRE_FALSE(desk.log.IsStoreUsable(desk.now));
  REQUIRE(desk.log.Admit({false, false}, desk.now) == Admission::kRefused);
  REQUIRE(desk.log.Admit({true, true}, desk.now) == Admission::kRefused);
  REQUIRE(desk.log.Admit({false, true}, desk.now) == Admission::kRefused);
  REQUIRE(desk.log.Admit({true, false}, desk.now) == Admission::kUnjournaled);
}

TEST_CASE("only a task that no batch holds can be withdrawn", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.hold = true;
  desk.Accept(Task("t1"));
  desk.Pass(milliseconds(20));
  desk.Accept(Task("t2"));
  REQUIRE_FALSE(desk.log.Withdraw(TaskId("t1")));
  REQUIRE(desk.log.Withdraw(TaskId("t2")));
  desk.hold = false;
  desk.Pass(seconds(2));
  REQUIRE(desk.accepted == std::vector<std::string>{"t1"});
}

TEST_CASE("a fenced session commits nothing and refuses its tasks as not run",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  Desk other(table, kB);
  desk.hold = true;
  desk.Accept(Task("t1"));
  desk.Pass(milliseconds(20));
  desk.Accept(Task("t2"));
  other.TakeOver(kA);
  REQUIRE(other.takeovers.size() == 1);
  desk.hold = false;
  desk.Pass(seconds(2));
  REQUIRE(desk.session_lost);
  REQUIRE(desk.accepted.empty());
  REQUIRE(desk.refused.size() == 2);
  REQUIRE(desk.Batches(kA) == 0);
}

TEST_CASE("a takeover classifies tasks by whether they may have run",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("started");
  desk.AcceptWithIntent("fenced");
  desk.AcceptWithIntent("ran");
  desk.Do(
      desk.log.RecordEnd({TaskId("ran"), AttemptId("ran-1"), false}, desk.now));
  desk.Do(desk.log.RecordEnd({TaskId("fenced"), AttemptId("fenced-1"), true},
                             desk.now));
  AcceptedTask idempotent = Task("idempotent");
  idempotent.idempotent = true;
  desk.Accept(idempotent);
  desk.Accept(Task("done"));
  desk.Pass(milliseconds(30));
  desk.Finish("done");
  Desk heir(table, kB);
  heir.TakeOver(kA);
  REQUIRE(heir.takeovers.size() == 1);
  const Replay& replay = heir.takeovers[0].replay;
  REQUIRE(replay.queue.size() == 2);
  REQUIRE(replay.queue[0].task == TaskId("fenced"));
  REQUIRE(replay.queue[1].task == TaskId("idempotent"));
  REQUIRE(replay.resolve.size() == 2);
  REQUIRE(replay.resolve[0].attempt.attempt == AttemptId("ran-1"));
  REQUIRE(replay.resolve[1].attempt.attempt == AttemptId("started-1"));
  REQUIRE(replay.finished.size() == 1);
  heir.Pass(seconds(1));
  REQUIRE(heir.log.FindAnswer(TaskId("done"))->body == "42");
  REQUIRE(table.ReadPrefix(JournalPrefix(kA)).empty());
  REQUIRE(table.ReadPrefix("adopted/").empty());
}

TEST_CASE("of two takeovers one succeeds and the other reports the winner",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk first(table, kB);
  Desk second(table, kC);
  first.hold = second.hold = true;
  first.TakeOver(kA);
  second.TakeOver(kA);
  // The fences of both, then the claims of both.
  for (int round = 0; round < 3; ++round) {
    for (Desk* heir : {&first, &second}) {
      while (!heir->held.empty()) {
        const TableTransaction write = heir->held.front();
        heir->held.pop_front();
        heir->Do(heir->log.OnTransactAnswer(write.operation_id,
                                            table.Transact(write), heir->now));
      }
    }
  }
  REQUIRE(first.takeovers.size() + second.takeovers.size() == 1);
  REQUIRE(first.takeovers_lost.size() + second.takeovers_lost.size() == 1);
}

TEST_CASE("a takeover does not replace a claim made between its two reads",
          "[journal]") {
  // Guards against a claim made after the first read of a takeover, whose row
  // version the second read would use for the check.
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk second(table, kC);
  second.hold_reads = true;
  second.TakeOver(kA);
  while (second.held_reads.front().prefixes !=
         std::vector<std::string>{JournalPrefix(kA)}) {
    const ReadJournalRows read = second.held_reads.front();
    second.held_reads.pop_front();
    second.Serve(read);  // the session, then the claims: none yet
  }
  Desk first(table, kB);
  first.TakeOver(kA);
  REQUIRE(first.takeovers.size() == 1);
  second.hold_reads = false;
  second.Serve(second.held_reads.front());
  REQUIRE(second.takeovers.empty());
  REQUIRE(second.takeovers_lost.size() == 1);
}

TEST_CASE("a takeover includes the journals that the session had taken over",
          "[journal]") {
  // Guards against tasks that are lost with a daemon that had claimed them and
  // not yet copied them.
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk heir(table, kB);
  heir.TakeOver(kA);
  REQUIRE(heir.takeovers.size() == 1);
  REQUIRE(heir.Batches(kB) == 0);  // nothing copied yet
  Desk last(table, kC);
  last.TakeOver(kB);
  REQUIRE(last.takeovers.size() == 1);
  REQUIRE(last.takeovers[0].replay.resolve.size() == 1);
  last.Pass(seconds(1));
  REQUIRE(table.ReadPrefix(JournalPrefix(kA)).empty());
  REQUIRE(table.ReadPrefix("adopted/").empty());
}

TEST_CASE("tasks of a chain of taken-over sessions are replayed once",
          "[journal]") {
  // Guards against a second replay in the same daemon, which takes a session
  // over by itself and as part of the journal of its first successor.
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk heir(table, kB);
  heir.TakeOver(kA);
  Desk last(table, kC);
  last.TakeOver(kB);
  last.TakeOver(kA);
  REQUIRE(last.takeovers.size() == 2);
  REQUIRE(last.takeovers[0].replay.resolve.size() == 1);
  REQUIRE(last.takeovers[1].replay.resolve.empty());
}

TEST_CASE("a claim whose answer was lost is replayed once", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk heir(table, kB);
  heir.lose_answers = true;
  heir.TakeOver(kA);
  heir.Pass(seconds(1));
  REQUIRE(heir.takeovers.size() == 1);
  REQUIRE(heir.takeovers[0].replay.resolve.size() == 1);
}

TEST_CASE("a slow takeover cannot claim rows that were claimed and erased",
          "[journal]") {
  // Guards against a second replay of rows that were read before the first
  // successor erased them and its claim.
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk slow(table, kC);
  slow.TakeOver(Session("nobody"));  // unrelated: its session row is missing
  slow.hold = true;
  slow.TakeOver(kA);
  slow.held.clear();  // the fence, which the first successor writes
  Desk heir(table, kB);
  heir.hold = true;
  heir.TakeOver(kA);
  const TableTransaction fence = heir.held.front();
  heir.held.clear();
  heir.Do(heir.log.OnTransactAnswer(fence.operation_id, table.Transact(fence),
                                    heir.now));
  slow.Pass(
      milliseconds(600));  // reads the fence and the rows, sends its claim
  REQUIRE(slow.held.size() == 1);
  heir.hold = false;
  heir.Do(heir.log.OnTransactAnswer(heir.held.front().operation_id,
                                    table.Transact(heir.held.front()),
                                    heir.now));
  heir.Pass(seconds(1));
  REQUIRE(table.ReadPrefix("adopted/").empty());
  REQUIRE(table.Transact(slow.held.front()).outcome ==
          CommitOutcome::kConflict);
}

TEST_CASE("a fenced successor cannot claim", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  Desk heir(table, kB);
  heir.hold = true;
  heir.TakeOver(kA);
  WriteSession(table, Session("b", 2));
  heir.hold = false;
  heir.Do(heir.log.OnTransactAnswer(heir.held.front().operation_id,
                                    table.Transact(heir.held.front()),
                                    heir.now));
  REQUIRE(heir.takeovers.empty());
  REQUIRE(heir.session_lost);
}

TEST_CASE("a session without a journal needs no claim", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  Desk heir(table, kB);
  heir.TakeOver(kA);
  REQUIRE(heir.takeovers.size() == 1);
  REQUIRE(table.ReadPrefix("adopted/").empty());
}

// Returns the replay of a takeover of all sessions in the table.
Replay ReplayAll(const VirtualTable& table) {
  std::vector<JournalRecord> records;
  for (const TableRow& row : table.ReadPrefix("journal/")) {
    const auto parsed = ParseBatch(row);
    if (parsed.has_value()) {
      records.insert(records.end(), parsed.value().begin(),
                     parsed.value().end());
    }
  }
  return ReplayRecords(records);
}

TEST_CASE("a final record is erased after the other records of its task",
          "[journal]") {
  // Guards against a crash between two erasures after which a finished task is
  // replayed as accepted and runs again. Each state of the table is replayed.
  VirtualTable table;
  Desk desk(table, kA);
  for (int i = 0; i < 12; ++i) {
    const std::string id = std::to_string(i);
    desk.AcceptWithIntent(id);
    desk.Finish(id);
  }
  for (int step = 0; step < 800; ++step) {
    desk.Pass(kJournalTick);
    const Replay replay = ReplayAll(table);
    REQUIRE(replay.queue.empty());
    REQUIRE(replay.resolve.empty());
  }
  REQUIRE(desk.Batches(kA) == 0);
}

TEST_CASE("a final record is kept while another task needs an earlier row",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.Accept(Task("short"));
  desk.Accept(Task("long"));
  desk.Pass(milliseconds(30));
  desk.Finish("short");
  desk.Pass(seconds(2) + milliseconds(90));  // expired, not yet copied
  for (int step = 0; step < 400; ++step) {
    desk.Pass(kJournalTick);
    const Replay replay = ReplayAll(table);
    REQUIRE(replay.queue.size() == 1);
    REQUIRE(replay.queue[0].task == TaskId("long"));
  }
}

TEST_CASE("at each step of a takeover the table contains all of its tasks",
          "[journal]") {
  // Guards against rows that are erased before their copies are committed, and
  // against a final copy that expires before the copied rows are erased, of
  // which row 10 (an end) is erased before row 9 (its acceptance).
  VirtualTable table;
  Desk desk(table, kA);
  JournalConfig config = Desk::Config(table, kA);
  config.tunables.erases = 0;
  desk.log = Journal(config);
  desk.AcceptWithIntent("open");
  for (int i = 0; i < 12; ++i) {
    desk.AcceptWithIntent("open" + std::to_string(i));
    desk.Accept(Task("done" + std::to_string(i)));
    desk.Pass(milliseconds(30));
    desk.Finish("done" + std::to_string(i));
  }
  Desk heir(table, kB);
  config = Desk::Config(table, kB);
  config.tunables.batch_bytes = 1500;
  config.tunables.erases = 1;
  config.tunables.retention = milliseconds(200);
  heir.log = Journal(config);
  heir.hold = true;
  heir.TakeOver(kA);
  bool claimed = false;
  for (int step = 0; step < 3000; ++step) {
    heir.Pass(kJournalTick);
    if (heir.held.empty()) {
      continue;
    }
    const TableTransaction write = heir.held.front();
    heir.held.pop_front();
    heir.Do(heir.log.OnTransactAnswer(write.operation_id, table.Transact(write),
                                      heir.now));
    const Replay replay = ReplayAll(table);
    REQUIRE(replay.queue.empty());
    REQUIRE(replay.resolve.size() == 13);
    const bool claim = table.Read(AdoptedKey(kA)).version.value > 0;
    const bool head = table.Read(JournalHeadKey(kA)).version.value > 0;
    claimed = claimed || claim;
    // A head without a claim would permit a second claim.
    REQUIRE((claim || !head || !claimed));
  }
  REQUIRE(table.ReadPrefix(JournalPrefix(kA)).empty());
}

TEST_CASE("long tasks do not prevent the compaction of other rows",
          "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  std::size_t most = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = std::to_string(i);
    desk.Accept(Task(id));
    desk.Accept(Task("long" + id));
    desk.Pass(milliseconds(30));
    desk.Finish(id);
    if (i >= 10) {
      desk.Finish("long" + std::to_string(i - 10));
    }
    most = std::max(most, desk.Batches(kA));
  }
  // 2 s of retention at about 23 batches per second, doubled.
  REQUIRE(most < 100);
  REQUIRE(desk.log.RowCount() == desk.Batches(kA));
}

TEST_CASE("a body of arbitrary bytes is stored and parsed unchanged",
          "[journal]") {
  AcceptedTask task = Task("t1");
  for (int size = 0; size < 300; ++size) {
    task.body.push_back(static_cast<char>(size * 7));
    const TableRow row{"journal/a/1/1", RowVersion(1), SerializeBatch({task})};
    const auto records = ParseBatch(row);
    REQUIRE(records.has_value());
    REQUIRE(std::get<AcceptedTask>(records.value()[0]).body == task.body);
  }
}

TEST_CASE("a malformed row is counted and kept", "[journal]") {
  VirtualTable table;
  Desk desk(table, kA);
  desk.AcceptWithIntent("t1");
  TableTransaction damage;
  damage.operation_id = "damage";
  damage.puts.push_back({JournalBatchKey(kA, 1), "{"});
  table.Transact(damage);
  Desk heir(table, kB);
  heir.TakeOver(kA);
  heir.Pass(seconds(1));
  REQUIRE(heir.log.MalformedRows() > 0);
  REQUIRE(table.Read(JournalBatchKey(kA, 1)).version.value > 0);
}

}  // namespace
}  // namespace peridot::testing
