// Unit tests of the permit ledger. A small fleet executes the actions
// immediately; messages are queued until the test delivers, drops or repeats
// them.

#include "src/coordination/permit_ledger.h"

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
const SessionId kA = Session("a");
const SessionId kB = Session("b");
const SessionId kC = Session("c");

struct Fleet {
  VirtualTable table;
  std::map<SessionId, PermitLedger> ledgers;
  std::deque<PermitMessage> messages;
  std::deque<TableTransaction> delayed_writes;  // sent, not yet at the table
  bool delay_writes = false;
  std::int64_t stops = 0;
  std::map<SessionId, LimitInForce> in_force;
  Instant now = Instant{} + seconds(10);

  PermitLedger& At(const SessionId& session) {
    return this->ledgers.at(session);
  }

  PermitLedger& Add(const SessionId& session, std::int64_t limit) {
    PermitLedgerConfig config;
    config.team = TeamId("counts");
    config.self = session;
    this->ledgers.emplace(session, PermitLedger(config));
    this->At(session).OnSessionRow(this->WriteSession(session.daemon));
    this->Do(session, this->At(session).OnLimit(PermitCount(limit), Revision(1),
                                                this->now));
    return this->At(session);
  }

  // Adds members a, b and c with the given demand of a and b, and waits until
  // the permits have moved.
  void Start(std::int64_t limit, std::int64_t a, std::int64_t b) {
    this->Add(kA, limit);
    this->SetDemand(kA, 1);
    this->RunFor();
    for (const SessionId& session : {kB, kC}) {
      this->Add(session, limit);
      this->SetDemand(session, 1);
      this->RunFor();
    }
    this->SetDemand(kC, 0);
    this->SetDemand(kA, a);
    this->SetDemand(kB, b);
    this->RunFor(seconds(2));
  }

  void SetDemand(const SessionId& session, std::int64_t waiting) {
    this->Do(session,
             this->At(session).OnDemand(PermitCount(waiting), this->now));
  }

  void Limit(std::int64_t limit, std::uint64_t revision) {
    for (auto& [session, ledger] : this->ledgers) {
      this->Do(session, ledger.OnLimit(PermitCount(limit), Revision(revision),
                                       this->now));
    }
  }

  RowVersion WriteSession(const DaemonId& daemon) {
    TableTransaction write;
    write.operation_id = "session" + std::to_string(this->table.Writes());
    write.puts.push_back({SessionRowKey(daemon), ""});
    return this->table.Transact(write).versions[0].version;
  }

  void Fenced(const SessionId& fenced) {
    this->WriteSession(fenced.daemon);
    for (auto& [session, ledger] : this->ledgers) {
      this->Do(session, ledger.OnSessionFenced(fenced, this->now));
    }
  }

  std::int64_t Acquire(const SessionId& session, std::int64_t count) {
    std::int64_t taken = 0;
    while (taken < count && this->At(session).TryAcquire()) {
      ++taken;
    }
    return taken;
  }
  void Release(const SessionId& session, std::int64_t count) {
    for (std::int64_t i = 0; i < count; ++i) {
      this->At(session).Release();
    }
  }

  void Do(const SessionId& session, const PermitActions& actions) {
    for (const PermitAction& action : actions) {
      if (const auto* read = std::get_if<ReadPermitRow>(&action)) {
        this->Do(session, this->At(session).OnRowRead(
                              this->table.Read(read->key), this->now));
      } else if (const auto* write = std::get_if<TransactPermits>(&action)) {
        this->Transact(session, write->transaction);
      } else if (const auto* send = std::get_if<SendPermitMessage>(&action)) {
        this->messages.push_back(send->message);
      } else if (const auto* stop = std::get_if<StopExcess>(&action)) {
        this->stops += stop->count.value;
      } else if (const auto* news = std::get_if<LimitInForce>(&action)) {
        this->in_force[session] = *news;
      }
    }
  }

  void Transact(const SessionId& session, const TableTransaction& write) {
    if (this->delay_writes) {
      this->delayed_writes.push_back(write);
      return;
    }
    this->Do(session,
             this->At(session).OnTransactAnswer(
                 write.operation_id, this->table.Transact(write), this->now));
  }

  void Deliver(const PermitMessage& message) {
    const auto found = this->ledgers.find(HeaderOf(message).to);
    if (found != this->ledgers.end()) {
      this->Do(found->first, found->second.OnMessage(message, this->now));
    }
  }
  void DeliverAll() {
    while (!this->messages.empty()) {
      const PermitMessage message = this->messages.front();
      this->messages.pop_front();
      this->Deliver(message);
    }
  }

  void Tick() {
    this->now += milliseconds(20);
    for (auto& [session, ledger] : this->ledgers) {
      this->Do(session, ledger.OnTick(this->now));
    }
  }
  void RunFor(Duration length = milliseconds(500)) {
    const Instant end = this->now + length;
    while (this->now < end) {
      this->DeliverAll();
      this->Tick();
    }
    this->DeliverAll();
  }

  PermitRow Row() const {
    return ParsePermitRow(this->table.Read("permits/counts")).value();
  }
  std::int64_t Held(const SessionId& session) {
    return this->At(session).Held().value;
  }
  std::int64_t HeldByAll() {
    std::int64_t sum = 0;
    for (const auto& [session, ledger] : this->ledgers) {
      sum += ledger.Held().value;
    }
    return sum;
  }

  // Returns the first queued transfer and drops the others of the queue.
  PermitTransfer TakeTransfer() {
    while (!this->messages.empty()) {
      const PermitMessage message = this->messages.front();
      this->messages.pop_front();
      if (const auto* transfer = std::get_if<PermitTransfer>(&message)) {
        this->messages.clear();
        return *transfer;
      }
    }
    FAIL("no transfer was sent");
    return {};
  }
};

// Puts a transfer of 10 permits from a to b in flight.
PermitTransfer BeginTransfer(Fleet& fleet) {
  fleet.Start(10, 10, 0);
  REQUIRE(fleet.Held(kA) == 10);
  fleet.SetDemand(kA, 0);
  fleet.SetDemand(kB, 10);
  for (int i = 0; i < 20 && fleet.Held(kA) == 10; ++i) {
    std::deque<PermitMessage> sent;
    sent.swap(fleet.messages);
    for (const PermitMessage& message : sent) {
      if (std::holds_alternative<PermitTransfer>(message)) {
        fleet.messages.push_back(message);
      } else {
        fleet.Deliver(message);
      }
    }
    fleet.Tick();
  }
  return fleet.TakeTransfer();
}

TEST_CASE("a permit ledger grants, releases and loses permits", "[permits]") {
  Fleet fleet;
  PermitLedger& ledger = fleet.Add(kA, 2);
  ledger.OnLeaseBounds(LeaseBounds{});
  REQUIRE_FALSE(ledger.TryAcquire());  // no permit before the row is open
  fleet.SetDemand(kA, 3);
  fleet.RunFor();
  REQUIRE(ledger.IsOpen());
  REQUIRE(ledger.Epoch() == PermitEpoch(1));
  REQUIRE(fleet.in_force[kA].limit == PermitCount(2));
  REQUIRE(ledger.TryAcquire());
  REQUIRE(ledger.TryAcquire());
  REQUIRE_FALSE(ledger.TryAcquire());
  ledger.Release();
  REQUIRE(ledger.InUse() == PermitCount(1));
  REQUIRE(ledger.Held() == PermitCount(2));
  fleet.Do(kA, ledger.OnSessionGone(kB, fleet.now));
  fleet.Do(kA, ledger.OnSessionFenced(kA, fleet.now));
  REQUIRE_FALSE(ledger.TryAcquire());
}

TEST_CASE("a repeated transfer adds its permits once", "[permits]") {
  Fleet fleet;
  const PermitTransfer transfer = BeginTransfer(fleet);
  fleet.Deliver(transfer);
  fleet.Deliver(transfer);
  REQUIRE(fleet.Held(kB) == 10);
  REQUIRE(fleet.HeldByAll() == 10);
}

TEST_CASE("a reordered transfer changes nothing", "[permits]") {
  Fleet fleet;
  const PermitTransfer later = BeginTransfer(fleet);
  PermitTransfer earlier = later;
  earlier.given = PermitCount(later.given.value - 3);
  fleet.Deliver(later);
  fleet.Deliver(earlier);
  REQUIRE(fleet.Held(kB) == 10);
}

TEST_CASE("a lost transfer is resent without a new epoch", "[permits]") {
  Fleet fleet;
  BeginTransfer(fleet);  // dropped
  REQUIRE(fleet.HeldByAll() == 0);
  fleet.RunFor();
  REQUIRE(fleet.Held(kB) == 10);
  REQUIRE(fleet.Row().epoch == PermitEpoch(1));
}

TEST_CASE("a restarted daemon ignores a transfer to its earlier incarnation",
          "[permits]") {
  // Guards against a permit counted by the earlier incarnation and, from a
  // repeated message, by the new one, which has no state of the first.
  Fleet fleet;
  const PermitTransfer transfer = BeginTransfer(fleet);
  fleet.Deliver(transfer);
  const SessionId restarted = Session("b", 2);
  fleet.Add(restarted, 10);
  fleet.SetDemand(restarted, 10);
  fleet.DeliverAll();
  REQUIRE(fleet.At(restarted).IsOpen());
  fleet.Do(restarted, fleet.At(restarted).OnMessage(transfer, fleet.now));
  REQUIRE(fleet.Held(restarted) == 0);
}

TEST_CASE("a transfer of an earlier epoch is dropped", "[permits]") {
  Fleet fleet;
  const PermitTransfer transfer = BeginTransfer(fleet);
  fleet.Do(kA, fleet.At(kA).OnSessionGone(kC, fleet.now));
  fleet.RunFor();
  REQUIRE(fleet.Row().epoch == PermitEpoch(2));
  REQUIRE(fleet.HeldByAll() == 10);
  fleet.Deliver(transfer);
  REQUIRE(fleet.HeldByAll() == 10);
}

TEST_CASE("no transfer is accepted between a report and the open row",
          "[permits]") {
  // Guards against a count that misses permits: the receiver reports before the
  // transfer arrives and the sender reports after it has subtracted them.
  Fleet fleet;
  PermitTransfer transfer = BeginTransfer(fleet);
  fleet.delay_writes = true;
  fleet.Limit(5, 2);
  fleet.delay_writes = false;
  REQUIRE(fleet.table.Transact(fleet.delayed_writes.front()).outcome ==
          CommitOutcome::kCommitted);
  fleet.Do(kB, fleet.At(kB).OnRowRead(fleet.table.Read("permits/counts"),
                                      fleet.now));
  REQUIRE(fleet.At(kB).Epoch() == PermitEpoch(2));
  transfer.header.epoch = PermitEpoch(2);
  fleet.Deliver(transfer);
  REQUIRE(fleet.Held(kB) == 0);
}

TEST_CASE("the permits of a dead daemon are reclaimed after the lapse only",
          "[permits]") {
  Fleet fleet;
  fleet.Start(10, 10, 0);
  REQUIRE(fleet.Held(kA) == 10);
  fleet.ledgers.erase(kA);
  fleet.Fenced(kA);
  fleet.SetDemand(kB, 10);
  // (1.5 s + 2 s) lengthened by 1%; before that the tasks of the dead daemon
  // may still use the permits.
  fleet.RunFor(milliseconds(3480));
  REQUIRE(fleet.HeldByAll() == 0);
  fleet.RunFor(milliseconds(500));
  REQUIRE(fleet.Held(kB) == 10);
}

TEST_CASE("permits in flight to a dead daemon are reclaimed with its own",
          "[permits]") {
  Fleet fleet;
  BeginTransfer(fleet);  // dropped; b is gone
  fleet.ledgers.erase(kB);
  fleet.Fenced(kB);
  fleet.SetDemand(kC, 10);
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.Held(kC) == 10);
}

TEST_CASE("two daemons that reclaim concurrently begin one epoch",
          "[permits]") {
  Fleet fleet;
  fleet.Start(10, 10, 0);
  fleet.ledgers.erase(kA);
  fleet.Fenced(kA);
  fleet.delay_writes = true;
  fleet.RunFor(seconds(4));
  fleet.delay_writes = false;
  REQUIRE(fleet.delayed_writes.size() >= 2);  // b and c, without an answer
  int committed = 0;
  for (const TableTransaction& write : fleet.delayed_writes) {
    const CommitOutcome outcome = fleet.table.Transact(write).outcome;
    committed += outcome == CommitOutcome::kCommitted ? 1 : 0;
  }
  REQUIRE(committed == 1);
  fleet.SetDemand(kC, 10);
  fleet.RunFor(seconds(2));
  REQUIRE(fleet.HeldByAll() == 10);
}

TEST_CASE("a row that commits after its answer timed out is adopted",
          "[permits]") {
  // Guards against a second grant of permits that the late row has already
  // granted.
  Fleet fleet;
  fleet.Start(10, 5, 5);
  fleet.delay_writes = true;
  fleet.Limit(14, 2);
  fleet.RunFor();  // the answer times out
  fleet.delay_writes = false;
  for (const TableTransaction& write : fleet.delayed_writes) {
    fleet.table.Transact(write);
  }
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.Row().limit == PermitCount(14));
  REQUIRE(fleet.HeldByAll() == 14);
}

TEST_CASE("a fenced daemon that resumes cannot report or transfer",
          "[permits]") {
  Fleet fleet;
  fleet.Start(10, 10, 0);
  PermitLedger paused_ledger = fleet.At(kA);
  fleet.ledgers.erase(kA);
  fleet.Fenced(kA);
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.HeldByAll() == 10);
  const RowVersion version = fleet.Row().version;
  fleet.ledgers.emplace(kA, paused_ledger);
  // The resumed daemon still holds permits; its expired settings prevent
  // starts.
  REQUIRE(fleet.Held(kA) == 10);
  fleet.SetDemand(kB, 10);
  fleet.RunFor(seconds(1));
  REQUIRE(fleet.Held(kA) == 0);
  REQUIRE(fleet.HeldByAll() == 10);
  REQUIRE(fleet.Row().version == version);
}

TEST_CASE("a write of a fenced session fails on its session row", "[permits]") {
  Fleet fleet;
  fleet.Add(kA, 10);
  fleet.WriteSession(kA.daemon);  // the fence
  fleet.SetDemand(kA, 1);
  fleet.RunFor();
  REQUIRE(fleet.Row().version == RowVersion(0));
}

TEST_CASE("a lowered limit is in force only when the running tasks fit it",
          "[permits]") {
  Fleet fleet;
  fleet.Start(10, 5, 5);
  REQUIRE(fleet.Acquire(kA, 5) == 5);
  REQUIRE(fleet.Acquire(kB, 5) == 5);
  fleet.Limit(4, 2);
  fleet.RunFor();
  REQUIRE(fleet.in_force[kA].revision == Revision(1));
  REQUIRE(fleet.stops >= 6);  // the excess, rounded up per daemon
  fleet.Release(kA, 3);
  fleet.Release(kB, 2);
  REQUIRE_FALSE(fleet.At(kA).TryAcquire());  // released permits are not reused
  fleet.RunFor();
  REQUIRE(fleet.in_force[kA].revision == Revision(1));
  fleet.Release(kB, 1);
  fleet.RunFor();
  REQUIRE(fleet.in_force[kA].revision == Revision(2));
  REQUIRE(fleet.HeldByAll() == 4);
}

TEST_CASE("a limit set back to the row's former value needs a new row",
          "[permits]") {
  // Guards against a daemon that missed a raise and reports the old limit as in
  // force because its copy of the row still has it.
  Fleet fleet;
  fleet.Start(10, 5, 5);
  const PermitLedger paused_ledger = fleet.At(kC);
  fleet.ledgers.erase(kC);
  fleet.Limit(20, 2);
  fleet.RunFor(milliseconds(100));
  fleet.messages.clear();
  fleet.ledgers.emplace(kC, paused_ledger);
  fleet.delay_writes = true;
  fleet.in_force.erase(kC);
  fleet.Do(kC, fleet.At(kC).OnLimit(PermitCount(10), Revision(3), fleet.now));
  REQUIRE(fleet.in_force.count(kC) == 0);
  REQUIRE(fleet.HeldByAll() > 10);
}

TEST_CASE("a raised limit needs no new epoch", "[permits]") {
  Fleet fleet;
  fleet.Start(10, 5, 5);
  fleet.Limit(16, 2);
  fleet.RunFor();
  REQUIRE(fleet.Row().epoch == PermitEpoch(1));
  REQUIRE(fleet.HeldByAll() == 16);
}

TEST_CASE("adopted attempts are counted in the next report", "[permits]") {
  // Guards against an attempt that continues under a new owner while the permit
  // that it uses is granted to another daemon.
  Fleet fleet;
  fleet.Start(10, 10, 0);
  REQUIRE(fleet.Acquire(kA, 6) == 6);
  fleet.ledgers.erase(kA);
  fleet.Fenced(kA);
  REQUIRE(fleet.At(kB).AdoptRunning(kA, PermitCount(6)) == PermitCount(6));
  REQUIRE_FALSE(fleet.At(kB).TryAcquire());
  fleet.SetDemand(kC, 10);
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.Held(kB) == 6);
  REQUIRE(fleet.Held(kC) == 4);
}

TEST_CASE("no attempt is adopted after the report", "[permits]") {
  Fleet fleet;
  fleet.Start(10, 10, 0);
  fleet.Fenced(kC);  // a and b still wait for c's lapse
  fleet.ledgers.erase(kC);
  fleet.Limit(9, 2);  // begins a count, which c cannot answer
  fleet.RunFor(milliseconds(100));
  REQUIRE_FALSE(fleet.At(kB).IsOpen());
  REQUIRE(fleet.At(kB).AdoptRunning(kC, PermitCount(3)) == PermitCount(0));
}

TEST_CASE(
    "no attempt is adopted from a session that has been removed from the row",
    "[permits]") {
  Fleet fleet;
  fleet.Start(10, 10, 0);
  fleet.ledgers.erase(kC);
  fleet.Fenced(kC);
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.Row().Find(kC) == nullptr);
  REQUIRE(fleet.At(kB).AdoptRunning(kC, PermitCount(3)) == PermitCount(0));
}

TEST_CASE("an attempt counted by both its owners does not exceed the limit",
          "[permits]") {
  // b adopts 6 attempts of a. Before its session ended, a had released these
  // permits and transferred them to c: the reports sum to 16 of 10.
  Fleet fleet;
  fleet.Start(10, 10, 0);
  fleet.SetDemand(kA, 0);
  fleet.SetDemand(kC, 10);
  fleet.RunFor();
  REQUIRE(fleet.Held(kC) == 10);
  fleet.ledgers.erase(kA);
  fleet.Fenced(kA);
  REQUIRE(fleet.At(kB).AdoptRunning(kA, PermitCount(6)) == PermitCount(6));
  fleet.RunFor(seconds(5));
  REQUIRE(fleet.Acquire(kC, 10) <= 4);
  REQUIRE(fleet.HeldByAll() <= 10);
}

TEST_CASE("a peer without a recent message is sent a request before permits",
          "[permits]") {
  // Guards against permits that are sent to a dead daemon, because of a demand
  // that it sent earlier, and are unusable until the next reclaim.
  Fleet fleet;
  fleet.Start(10, 10, 0);
  fleet.Acquire(kA, 10);
  fleet.SetDemand(kB, 10);
  fleet.DeliverAll();
  fleet.ledgers.erase(kB);
  fleet.now += milliseconds(100);
  fleet.Release(kA, 10);
  fleet.RunFor();
  REQUIRE(fleet.Held(kA) == 10);
}

TEST_CASE("a malformed row changes nothing", "[permits]") {
  Fleet fleet;
  fleet.Start(10, 10, 0);
  const TableRow bad{"permits/counts", RowVersion(99), "{\"epoch\":7}"};
  fleet.Do(kA, fleet.At(kA).OnRowRead(bad, fleet.now));
  REQUIRE(fleet.At(kA).MalformedRows() == 1);
  REQUIRE(fleet.Held(kA) == 10);
}

}  // namespace
}  // namespace peridot::testing
