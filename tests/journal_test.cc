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

struct JournalDriver {
  VirtualTable& table;
  Journal log;
  Instant now = Instant{} + seconds(10);
  bool hold_writes = false;   // keep transactions in `held_writes`
  bool lose_answers = false;  // after the write took effect
  std::deque<TableTransaction> held_writes;
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

  JournalDriver(VirtualTable& table, const SessionId& self)
      : table(table), log(Config(table, self)) {}

  static JournalConfig Config(VirtualTable& table, const SessionId& self) {
    JournalConfig config;
    config.self = self;
    config.session_version = WriteSession(table, self);
    config.tunables.retention = seconds(2);
    config.tunables.compaction = milliseconds(100);
    return config;
  }

  void ExecuteAll(const JournalActions& actions) {
    for (const JournalAction& action : actions) {
      std::visit([&](const auto& item) { this->Execute(item); }, action);
    }
  }
  void Execute(const ReadJournalRows& read) {
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
    this->ExecuteAll(this->log.OnRead(read.request, rows, this->now));
  }
  void Execute(const TransactJournal& write) {
    ++this->sent;
    if (this->hold_writes) {
      this->held_writes.push_back(write.transaction);
      return;
    }
    const CommitAnswer answer = this->table.Transact(write.transaction);
    this->ExecuteAll(this->log.OnTransactAnswer(
        write.transaction.operation_id,
        this->lose_answers ? CommitAnswer{} : answer, this->now));
  }
  void Execute(const TaskAccepted& event) {
    this->accepted.push_back(event.task.value);
  }
  void Execute(const TaskDuplicate& event) {
    this->duplicates.push_back(event);
  }
  void Execute(const TaskRefused& event) {
    this->refused.push_back(event.task.value);
  }
  void Execute(const IntentRecorded& event) {
    this->intents.push_back(event.intent.attempt.value);
  }
  void Execute(const AnswerRecorded& event) {
    this->answered.push_back(event.task.value);
  }
  void Execute(const TakeoverDone& event) { this->takeovers.push_back(event); }
  void Execute(const TakeoverLost& event) {
    this->takeovers_lost.push_back(event);
  }
  void Execute(const SessionLost&) { this->session_lost = true; }

  void Advance(Duration length) {
    const Instant end = this->now + length;
    while (this->now < end) {
      this->now += kJournalTick;
      this->ExecuteAll(this->log.OnTick(this->now));
    }
  }
  void Accept(const AcceptedTask& task) {
    this->ExecuteAll(this->log.Accept(task, this->now));
  }
  // Accepts a non-idempotent task and records the intent of its attempt.
  void AcceptWithIntent(const std::string& id) {
    this->Accept(Task(id));
    this->Advance(milliseconds(30));
    this->ExecuteAll(this->log.RecordIntent(Intent(id, id + "-1"), this->now));
    this->Advance(milliseconds(30));
  }
  void Finish(const std::string& id) {
    this->ExecuteAll(this->log.RecordAnswer(Answer(id), this->now));
    this->Advance(milliseconds(30));
  }
  void TakeOver(const SessionId& dead) {
    this->ExecuteAll(this->log.BeginTakeover(dead, this->now));
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
  JournalDriver driver(table, kA);
  REQUIRE(driver.log.Admit({false, false}, driver.now) ==
          Admission::kJournaled);
  driver.Accept(Task("t1"));
  REQUIRE(driver.accepted.empty());  // no 202 before the batch is committed
  driver.Advance(milliseconds(20));
  REQUIRE(driver.accepted == std::vector<std::string>{"t1"});
  driver.ExecuteAll(driver.log.RecordIntent(Intent("t1", "a1"), driver.now));
  REQUIRE(driver.intents.empty());
  driver.Advance(milliseconds(20));
  REQUIRE(driver.intents == std::vector<std::string>{"a1"});
  driver.ExecuteAll(
      driver.log.RecordEnd({TaskId("t1"), AttemptId("a1"), false}, driver.now));
  driver.ExecuteAll(driver.log.RecordAnswer(Answer("t1"), driver.now));
  REQUIRE(driver.log.FindAnswer(TaskId("t1")) == nullptr);
  driver.Advance(milliseconds(20));
  REQUIRE(driver.answered == std::vector<std::string>{"t1"});
  REQUIRE(driver.log.FindAnswer(TaskId("t1"))->body == "42");
  REQUIRE(driver.log.IsStoreUsable(driver.now));
  REQUIRE(driver.log.MalformedRows() == 0);
  driver.log.OnSessionRow(WriteSession(table, kA));  // leaving, not fenced
  driver.Accept(Task("t2"));
  driver.Advance(milliseconds(20));
  REQUIRE(driver.accepted.size() == 2);
  driver.ExecuteAll(driver.log.OnSessionLost(driver.now));
  REQUIRE(driver.session_lost);
}

TEST_CASE("records of 20 ms share one write, a full batch is sent at once",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  for (int i = 0; i < 100; ++i) {
    driver.Accept(Task(std::to_string(i)));
  }
  driver.Advance(milliseconds(20));
  REQUIRE(driver.accepted.size() == 100);
  REQUIRE(driver.sent == 1);
  AcceptedTask large = Task("large");
  large.body.assign(std::size_t{256} * 1024, 'x');
  driver.Accept(large);
  REQUIRE(driver.sent == 2);
}

TEST_CASE("at most one batch is outstanding", "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.hold_writes = true;
  driver.Accept(Task("t1"));
  driver.Advance(milliseconds(20));
  driver.Accept(Task("t2"));
  driver.Advance(milliseconds(200));
  REQUIRE(driver.sent == 1);
}

TEST_CASE("a lost answer of a committed batch accepts its tasks once",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.lose_answers = true;
  driver.Accept(Task("t1"));
  driver.Advance(milliseconds(20));
  REQUIRE(driver.accepted == std::vector<std::string>{"t1"});
  REQUIRE(driver.sent == 1);
}

TEST_CASE("a batch of unknown outcome is resent under the same operation id",
          "[journal]") {
  // Guards against a second batch with the same tasks while the first is still
  // in flight.
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.hold_writes = true;
  driver.Accept(Task("t1"));
  driver.Advance(seconds(3));
  REQUIRE(driver.held_writes.size() >= 2);
  REQUIRE(driver.accepted.empty());
  for (const TableTransaction& write : driver.held_writes) {
    REQUIRE(write.operation_id == driver.held_writes.front().operation_id);
    table.Transact(write);
  }
  driver.hold_writes = false;
  driver.Advance(seconds(2));
  REQUIRE(driver.accepted == std::vector<std::string>{"t1"});
  REQUIRE(driver.Batches(kA) == 1);
}

TEST_CASE("a delayed duplicate of a compacted batch does not commit",
          "[journal]") {
  // Guards against a finished task that is accepted again: its batch row and
  // its final record are erased, and the table no longer has the operation id.
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.hold_writes = true;
  driver.Accept(Task("t1"));
  driver.Advance(milliseconds(20));
  TableTransaction first = driver.held_writes.front();
  driver.hold_writes = false;
  driver.Advance(seconds(2));
  driver.Finish("t1");
  driver.Advance(seconds(5));
  REQUIRE(driver.Batches(kA) == 0);
  first.operation_id += "-forgotten";
  REQUIRE(table.Transact(first).outcome == CommitOutcome::kConflict);
}

TEST_CASE("a task with a used idempotency key is removed from its batch",
          "[journal]") {
  VirtualTable table;
  JournalDriver first(table, kA);
  JournalDriver second(table, kB);
  first.Accept(Task("t1", "k1"));
  first.Advance(milliseconds(20));
  second.Accept(Task("t2", "k1"));
  second.Accept(Task("t3", "k3"));
  second.Advance(milliseconds(20));
  REQUIRE(second.accepted == std::vector<std::string>{"t3"});
  REQUIRE(second.duplicates.size() == 1);
  REQUIRE(second.duplicates[0].task == TaskId("t2"));
  REQUIRE(second.duplicates[0].existing == TaskId("t1"));
  REQUIRE(second.duplicates[0].session == kA);
}

TEST_CASE("two requests with one key in one batch are stored as one task",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.Accept(Task("t1", "k1"));
  driver.Accept(Task("t2", "k1"));
  driver.Advance(milliseconds(20));
  REQUIRE(driver.accepted == std::vector<std::string>{"t1"});
  REQUIRE(driver.duplicates.size() == 1);
}

TEST_CASE("a key can be reused after the retention of its task", "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.Accept(Task("t1", "k1"));
  driver.Advance(milliseconds(30));
  driver.Finish("t1");
  REQUIRE(table.ReadPrefix("idem/").size() == 1);
  driver.Advance(seconds(5));
  REQUIRE(table.ReadPrefix("idem/").empty());
}

TEST_CASE("a repeated answer neither replaces the first nor leaks the key",
          "[journal]") {
  // Guards against an idempotency row that is never erased because a second
  // final record without the key replaced the first.
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.Accept(Task("t1", "k1"));
  driver.Advance(milliseconds(30));
  driver.ExecuteAll(driver.log.RecordAnswer(Answer("t1"), driver.now));
  driver.ExecuteAll(driver.log.RecordAnswer(Answer("t1"), driver.now));
  driver.Advance(milliseconds(30));
  driver.ExecuteAll(driver.log.RecordAnswer(Answer("t1"), driver.now));
  REQUIRE(driver.answered.size() == 3);
  JournalDriver successor(table, kB);
  successor.TakeOver(kA);
  successor.Advance(seconds(5));
  REQUIRE(table.ReadPrefix("idem/").empty());
}

TEST_CASE("rows that wait for each other are compacted", "[journal]") {
  // Guards against a table that grows because the final records of two tasks
  // wait for the row of each other.
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  driver.ExecuteAll(driver.log.RecordAnswer(Answer("t1"), driver.now));
  driver.Accept(Task("t2"));
  driver.Advance(milliseconds(30));
  driver.ExecuteAll(driver.log.RecordAnswer(Answer("t2"), driver.now));
  // An end that arrives after its task's answer.
  driver.ExecuteAll(driver.log.RecordEnd(
      {TaskId("t1"), AttemptId("t1-1"), false}, driver.now));
  driver.Advance(seconds(10));
  REQUIRE(driver.Batches(kA) == 0);
}

TEST_CASE("only unjournaled work is served while the store is down",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.hold_writes = true;
  driver.Accept(Task("t1"));
  driver.Advance(seconds(2));
  REQUIRE_FALSE(driver.log.IsStoreUsable(driver.now));
  REQUIRE(driver.log.Admit({false, false}, driver.now) == Admission::kRefused);
  REQUIRE(driver.log.Admit({true, true}, driver.now) == Admission::kRefused);
  REQUIRE(driver.log.Admit({false, true}, driver.now) == Admission::kRefused);
  REQUIRE(driver.log.Admit({true, false}, driver.now) ==
          Admission::kUnjournaled);
}

TEST_CASE("only a task that no batch holds can be withdrawn", "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.hold_writes = true;
  driver.Accept(Task("t1"));
  driver.Advance(milliseconds(20));
  driver.Accept(Task("t2"));
  REQUIRE_FALSE(driver.log.Withdraw(TaskId("t1")));
  REQUIRE(driver.log.Withdraw(TaskId("t2")));
  driver.hold_writes = false;
  driver.Advance(seconds(2));
  REQUIRE(driver.accepted == std::vector<std::string>{"t1"});
}

TEST_CASE("a fenced session commits nothing and refuses its tasks as not run",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  JournalDriver other(table, kB);
  driver.hold_writes = true;
  driver.Accept(Task("t1"));
  driver.Advance(milliseconds(20));
  driver.Accept(Task("t2"));
  other.TakeOver(kA);
  REQUIRE(other.takeovers.size() == 1);
  driver.hold_writes = false;
  driver.Advance(seconds(2));
  REQUIRE(driver.session_lost);
  REQUIRE(driver.accepted.empty());
  REQUIRE(driver.refused.size() == 2);
  REQUIRE(driver.Batches(kA) == 0);
}

TEST_CASE("a takeover classifies tasks by whether they may have run",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("started");
  driver.AcceptWithIntent("fenced");
  driver.AcceptWithIntent("ran");
  driver.ExecuteAll(driver.log.RecordEnd(
      {TaskId("ran"), AttemptId("ran-1"), false}, driver.now));
  driver.ExecuteAll(driver.log.RecordEnd(
      {TaskId("fenced"), AttemptId("fenced-1"), true}, driver.now));
  AcceptedTask idempotent = Task("idempotent");
  idempotent.idempotent = true;
  driver.Accept(idempotent);
  driver.Accept(Task("done"));
  driver.Advance(milliseconds(30));
  driver.Finish("done");
  JournalDriver successor(table, kB);
  successor.TakeOver(kA);
  REQUIRE(successor.takeovers.size() == 1);
  const Replay& replay = successor.takeovers[0].replay;
  REQUIRE(replay.queue.size() == 2);
  REQUIRE(replay.queue[0].task == TaskId("fenced"));
  REQUIRE(replay.queue[1].task == TaskId("idempotent"));
  REQUIRE(replay.resolve.size() == 2);
  REQUIRE(replay.resolve[0].attempt.attempt == AttemptId("ran-1"));
  REQUIRE(replay.resolve[1].attempt.attempt == AttemptId("started-1"));
  REQUIRE(replay.finished.size() == 1);
  successor.Advance(seconds(1));
  REQUIRE(successor.log.FindAnswer(TaskId("done"))->body == "42");
  REQUIRE(table.ReadPrefix(JournalPrefix(kA)).empty());
  REQUIRE(table.ReadPrefix("adopted/").empty());
}

TEST_CASE("of two takeovers one succeeds and the other reports the winner",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver first(table, kB);
  JournalDriver second(table, kC);
  first.hold_writes = second.hold_writes = true;
  first.TakeOver(kA);
  second.TakeOver(kA);
  // The fences of both, then the claims of both.
  for (int round = 0; round < 3; ++round) {
    for (JournalDriver* successor : {&first, &second}) {
      while (!successor->held_writes.empty()) {
        const TableTransaction write = successor->held_writes.front();
        successor->held_writes.pop_front();
        successor->ExecuteAll(successor->log.OnTransactAnswer(
            write.operation_id, table.Transact(write), successor->now));
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
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver second(table, kC);
  second.hold_reads = true;
  second.TakeOver(kA);
  while (second.held_reads.front().prefixes !=
         std::vector<std::string>{JournalPrefix(kA)}) {
    const ReadJournalRows read = second.held_reads.front();
    second.held_reads.pop_front();
    second.Serve(read);  // the session, then the claims: none yet
  }
  JournalDriver first(table, kB);
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
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver successor(table, kB);
  successor.TakeOver(kA);
  REQUIRE(successor.takeovers.size() == 1);
  REQUIRE(successor.Batches(kB) == 0);  // nothing copied yet
  JournalDriver last(table, kC);
  last.TakeOver(kB);
  REQUIRE(last.takeovers.size() == 1);
  REQUIRE(last.takeovers[0].replay.resolve.size() == 1);
  last.Advance(seconds(1));
  REQUIRE(table.ReadPrefix(JournalPrefix(kA)).empty());
  REQUIRE(table.ReadPrefix("adopted/").empty());
}

TEST_CASE("tasks of a chain of taken-over sessions are replayed once",
          "[journal]") {
  // Guards against a second replay in the same daemon, which takes a session
  // over by itself and as part of the journal of its first successor.
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver successor(table, kB);
  successor.TakeOver(kA);
  JournalDriver last(table, kC);
  last.TakeOver(kB);
  last.TakeOver(kA);
  REQUIRE(last.takeovers.size() == 2);
  REQUIRE(last.takeovers[0].replay.resolve.size() == 1);
  REQUIRE(last.takeovers[1].replay.resolve.empty());
}

TEST_CASE("a claim whose answer was lost is replayed once", "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver successor(table, kB);
  successor.lose_answers = true;
  successor.TakeOver(kA);
  successor.Advance(seconds(1));
  REQUIRE(successor.takeovers.size() == 1);
  REQUIRE(successor.takeovers[0].replay.resolve.size() == 1);
}

TEST_CASE("a slow takeover cannot claim rows that were claimed and erased",
          "[journal]") {
  // Guards against a second replay of rows that were read before the first
  // successor erased them and its claim.
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver slow(table, kC);
  slow.TakeOver(Session("nobody"));  // unrelated: its session row is missing
  slow.hold_writes = true;
  slow.TakeOver(kA);
  slow.held_writes.clear();  // the fence, which the first successor writes
  JournalDriver successor(table, kB);
  successor.hold_writes = true;
  successor.TakeOver(kA);
  const TableTransaction fence = successor.held_writes.front();
  successor.held_writes.clear();
  successor.ExecuteAll(successor.log.OnTransactAnswer(
      fence.operation_id, table.Transact(fence), successor.now));
  slow.Advance(
      milliseconds(600));  // reads the fence and the rows, sends its claim
  REQUIRE(slow.held_writes.size() == 1);
  successor.hold_writes = false;
  successor.ExecuteAll(successor.log.OnTransactAnswer(
      successor.held_writes.front().operation_id,
      table.Transact(successor.held_writes.front()), successor.now));
  successor.Advance(seconds(1));
  REQUIRE(table.ReadPrefix("adopted/").empty());
  REQUIRE(table.Transact(slow.held_writes.front()).outcome ==
          CommitOutcome::kConflict);
}

TEST_CASE("a fenced successor cannot claim", "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  JournalDriver successor(table, kB);
  successor.hold_writes = true;
  successor.TakeOver(kA);
  WriteSession(table, Session("b", 2));
  successor.hold_writes = false;
  successor.ExecuteAll(successor.log.OnTransactAnswer(
      successor.held_writes.front().operation_id,
      table.Transact(successor.held_writes.front()), successor.now));
  REQUIRE(successor.takeovers.empty());
  REQUIRE(successor.session_lost);
}

TEST_CASE("a session without a journal needs no claim", "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  JournalDriver successor(table, kB);
  successor.TakeOver(kA);
  REQUIRE(successor.takeovers.size() == 1);
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
  JournalDriver driver(table, kA);
  for (int i = 0; i < 12; ++i) {
    const std::string id = std::to_string(i);
    driver.AcceptWithIntent(id);
    driver.Finish(id);
  }
  for (int step = 0; step < 800; ++step) {
    driver.Advance(kJournalTick);
    const Replay replay = ReplayAll(table);
    REQUIRE(replay.queue.empty());
    REQUIRE(replay.resolve.empty());
  }
  REQUIRE(driver.Batches(kA) == 0);
}

TEST_CASE("a final record is kept while another task needs an earlier row",
          "[journal]") {
  VirtualTable table;
  JournalDriver driver(table, kA);
  driver.Accept(Task("short"));
  driver.Accept(Task("long"));
  driver.Advance(milliseconds(30));
  driver.Finish("short");
  driver.Advance(seconds(2) + milliseconds(90));  // expired, not yet copied
  for (int step = 0; step < 400; ++step) {
    driver.Advance(kJournalTick);
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
  JournalDriver driver(table, kA);
  JournalConfig config = JournalDriver::Config(table, kA);
  config.tunables.erases = 0;
  driver.log = Journal(config);
  driver.AcceptWithIntent("open");
  for (int i = 0; i < 12; ++i) {
    driver.AcceptWithIntent("open" + std::to_string(i));
    driver.Accept(Task("done" + std::to_string(i)));
    driver.Advance(milliseconds(30));
    driver.Finish("done" + std::to_string(i));
  }
  JournalDriver successor(table, kB);
  config = JournalDriver::Config(table, kB);
  config.tunables.batch_bytes = 1500;
  config.tunables.erases = 1;
  config.tunables.retention = milliseconds(200);
  successor.log = Journal(config);
  successor.hold_writes = true;
  successor.TakeOver(kA);
  bool claimed = false;
  for (int step = 0; step < 3000; ++step) {
    successor.Advance(kJournalTick);
    if (successor.held_writes.empty()) {
      continue;
    }
    const TableTransaction write = successor.held_writes.front();
    successor.held_writes.pop_front();
    successor.ExecuteAll(successor.log.OnTransactAnswer(
        write.operation_id, table.Transact(write), successor.now));
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
  JournalDriver driver(table, kA);
  std::size_t most = 0;
  for (int i = 0; i < 300; ++i) {
    const std::string id = std::to_string(i);
    driver.Accept(Task(id));
    driver.Accept(Task("long" + id));
    driver.Advance(milliseconds(30));
    driver.Finish(id);
    if (i >= 10) {
      driver.Finish("long" + std::to_string(i - 10));
    }
    most = std::max(most, driver.Batches(kA));
  }
  // 2 s of retention at about 23 batches per second, doubled.
  REQUIRE(most < 100);
  REQUIRE(driver.log.RowCount() == driver.Batches(kA));
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
  JournalDriver driver(table, kA);
  driver.AcceptWithIntent("t1");
  TableTransaction damage;
  damage.operation_id = "damage";
  damage.puts.push_back({JournalBatchKey(kA, 1), "{"});
  table.Transact(damage);
  JournalDriver successor(table, kB);
  successor.TakeOver(kA);
  successor.Advance(seconds(1));
  REQUIRE(successor.log.MalformedRows() > 0);
  REQUIRE(table.Read(JournalBatchKey(kA, 1)).version.value > 0);
}

}  // namespace
}  // namespace peridot::testing
