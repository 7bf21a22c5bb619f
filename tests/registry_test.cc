// Tests of the registry rows and of their transactions against the in-memory
// table store.

#include "src/coordination/registry.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "stand_ins/table_store.h"

namespace peridot {
namespace {

const Instant kNow = Instant{} + std::chrono::seconds(100);

struct Fixture {
  stand_ins::TableStore store;

  TableRow Row(const std::string& key) {
    const auto rows = this->store.Read({.keys = {key}}, kNow).value();
    return rows.empty() ? TableRow{.key = key} : rows.front();
  }
  Registry ReadRegistry() {
    return ParseRegistry(this->Row("registry")).value();
  }
  SessionRow ReadSession(const std::string& daemon) {
    return ParseSession(this->Row("session/" + daemon)).value();
  }
  CommitOutcome Commit(const TableTransaction& transaction) {
    return this->store.Transact(transaction, kNow).value().outcome;
  }
  RegistrationPlan PlanFor(const std::string& daemon, const std::string& id) {
    return PlanRegistration(this->ReadRegistry(), this->ReadSession(daemon),
                            {.session = {DaemonId(daemon), Incarnation(0)},
                             .peer_address = "127.0.0.1:7000",
                             .http_address = "127.0.0.1:7001",
                             .zone = ZoneId("z1")},
                            id);
  }
};

TEST_CASE("each start registers the next incarnation", "[membership]") {
  Fixture f;
  REQUIRE(f.Commit(f.PlanFor("d1", "1").transaction) ==
          CommitOutcome::kCommitted);
  REQUIRE(f.Commit(f.PlanFor("d2", "2").transaction) ==
          CommitOutcome::kCommitted);
  const RegistrationPlan again = f.PlanFor("d1", "3");
  REQUIRE(again.session.incarnation == Incarnation(2));
  REQUIRE(f.Commit(again.transaction) == CommitOutcome::kCommitted);
  REQUIRE(f.ReadRegistry().daemons.size() == 2);
  REQUIRE(f.ReadRegistry().Find(DaemonId("d1"))->session == again.session);
}

TEST_CASE("two concurrent starts of one daemon register one session",
          "[membership]") {
  // Guards against two processes that run under one incarnation.
  Fixture f;
  const RegistrationPlan first = f.PlanFor("d1", "1");
  const RegistrationPlan second = f.PlanFor("d1", "2");
  REQUIRE(f.Commit(first.transaction) == CommitOutcome::kCommitted);
  REQUIRE(f.Commit(second.transaction) == CommitOutcome::kConflict);
}

TEST_CASE("a fence fails once the session was superseded", "[membership]") {
  Fixture f;
  const RegistrationPlan old = f.PlanFor("d1", "1");
  f.Commit(old.transaction);
  const TableTransaction fence = PlanRemoval(
      f.ReadRegistry(), f.ReadSession("d1"), old.session, true, "2");
  f.Commit(f.PlanFor("d1", "3").transaction);
  REQUIRE(f.Commit(fence) == CommitOutcome::kConflict);
}

TEST_CASE("a fenced session is not listed and its row changes version",
          "[membership]") {
  // Each journal batch checks the version of the session row, so a fence must
  // change it.
  Fixture f;
  const RegistrationPlan plan = f.PlanFor("d1", "1");
  f.Commit(plan.transaction);
  const RowVersion before = f.ReadSession("d1").version;
  f.Commit(PlanRemoval(f.ReadRegistry(), f.ReadSession("d1"), plan.session,
                       true, "2"));
  REQUIRE(f.ReadRegistry().daemons.empty());
  REQUIRE(f.ReadSession("d1").fenced);
  REQUIRE(f.ReadSession("d1").version != before);
}

TEST_CASE("a malformed row is rejected", "[membership]") {
  const std::string text = GENERATE(
      as<std::string>{}, "", "{}", "[1]", "[{\"daemon\":\"d1\"}]",
      "[{\"daemon\":1,\"incarnation\":1,\"address\":\"\",\"zone\":\"\"}]",
      "[{\"daemon\":\"d\",\"incarnation\":-1,\"address\":\"\",\"zone\":\"\"}]");
  const TableRow row{"registry", RowVersion(1), text};
  REQUIRE(ParseRegistry(row).error().code == ErrorCode::kMalformed);
  const TableRow session{"session/d1", RowVersion(1), text};
  REQUIRE(ParseSession(session).error().code == ErrorCode::kMalformed);
}

}  // namespace
}  // namespace peridot
