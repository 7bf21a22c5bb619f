// Tests of the models of the table, the object store and the membership list.
// If a model did not inject its faults, the tests of the modules that use it
// would pass without checking anything.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "stand_ins/membership_list.h"
#include "stand_ins/object_store.h"
#include "stand_ins/table_store.h"

namespace peridot::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart = Instant{} + seconds(100);

TableTransaction Write(std::string operation_id,
                       std::vector<TableCheck> checks,
                       std::vector<TablePut> puts,
                       std::vector<std::string> erases = {}) {
  return {std::move(operation_id), std::move(checks), std::move(puts),
          std::move(erases)};
}

std::string ValueOf(TableStore& store, const std::string& key) {
  const auto rows = store.Read({.keys = {key}}, kStart).value();
  return rows.empty() ? "none" : rows.front().value;
}

TEST_CASE("a failed check leaves every row as it was", "[table]") {
  TableStore store;
  const auto first =
      store.Transact(Write("op1", {{"a", RowVersion(0)}}, {{"a", "1"}}), kStart)
          .value();
  REQUIRE(first.outcome == CommitOutcome::kCommitted);
  const RowVersion version = first.versions.front().version;

  const auto race =
      store.Transact(Write("op2", {{"b", RowVersion(0)}, {"a", RowVersion(0)}},
                           {{"b", "2"}}, {"a"}),
                     kStart);
  REQUIRE(race.value().outcome == CommitOutcome::kConflict);
  REQUIRE(race.value().conflicts.size() == 1);
  REQUIRE(race.value().conflicts.front().key == "a");
  REQUIRE(race.value().conflicts.front().version == version);
  REQUIRE(ValueOf(store, "a") == "1");
  REQUIRE(ValueOf(store, "b") == "none");
}

// Guards against a compare-and-set that succeeds on a row that was erased and
// created again, because its version was reused.
TEST_CASE("a row created again has a new version", "[table]") {
  TableStore store;
  const auto first =
      store.Transact(Write("1", {}, {{"a", "1"}}), kStart).value();
  REQUIRE(store.Transact(Write("2", {}, {}, {"a"}), kStart).has_value());
  REQUIRE(store.Transact(Write("3", {}, {{"a", "1"}}), kStart).has_value());
  const auto stale =
      store.Transact(Write("4", first.versions, {{"a", "2"}}), kStart).value();
  REQUIRE(stale.outcome == CommitOutcome::kConflict);
  REQUIRE(store.Transact(Write("5", {}, {}, {"a"}), kStart).has_value());
  const auto erased =
      store.Transact(Write("6", first.versions, {{"a", "2"}}), kStart).value();
  REQUIRE(erased.outcome == CommitOutcome::kConflict);
}

// Guards against an operation that takes effect twice when it is repeated,
// which would double a count.
TEST_CASE("an operation id takes effect once", "[table]") {
  TableStore store;
  const TableTransaction create =
      Write("op", {{"a", RowVersion(0)}}, {{"a", "1"}});
  const auto first = store.Transact(create, kStart).value();
  REQUIRE(store.Transact(Write("other", {}, {{"a", "2"}}), kStart).has_value());
  const auto repeat = store.Transact(create, kStart).value();
  REQUIRE(repeat.outcome == CommitOutcome::kCommitted);
  REQUIRE(repeat.versions.front().version == first.versions.front().version);
  REQUIRE(ValueOf(store, "a") == "2");
}

// Guards against an operation id that is recorded as committed by a conflict,
// which has no effect.
TEST_CASE("an operation id may commit after a conflict", "[table]") {
  TableStore store;
  REQUIRE(store.Transact(Write("1", {}, {{"a", "1"}}), kStart).has_value());
  const TableTransaction create =
      Write("op", {{"a", RowVersion(0)}}, {{"a", "2"}});
  REQUIRE(store.Transact(create, kStart).value().outcome ==
          CommitOutcome::kConflict);
  REQUIRE(store.Transact(Write("2", {}, {}, {"a"}), kStart).has_value());
  REQUIRE(store.Transact(create, kStart).value().outcome ==
          CommitOutcome::kCommitted);
}

TEST_CASE("a write whose response is lost has taken effect", "[table]") {
  TableStore store;
  store.SetFaults({.lose_answers = 1});
  const TableTransaction put =
      Write("op", {{"a", RowVersion(0)}}, {{"a", "1"}});
  REQUIRE(store.Transact(put, kStart).value().outcome ==
          CommitOutcome::kUnknown);
  REQUIRE(ValueOf(store, "a") == "1");
  REQUIRE(store.Transact(put, kStart).value().outcome ==
          CommitOutcome::kCommitted);
}

TEST_CASE("a read returns a snapshot of each row once, in order", "[table]") {
  TableStore store;
  REQUIRE(store
              .Transact(Write("op", {},
                              {{"b/2", ""}, {"b/1", ""}, {"a", ""}, {"c", ""}}),
                        kStart)
              .has_value());
  const auto rows =
      store
          .Read({.keys = {"b/1", "a", "none"}, .prefixes = {"b/", "b"}}, kStart)
          .value();
  std::vector<std::string> keys;
  for (const TableRow& row : rows) {
    keys.push_back(row.key);
    REQUIRE(row.version == rows.front().version);
  }
  REQUIRE(keys == std::vector<std::string>{"a", "b/1", "b/2"});
}

TEST_CASE("malformed transactions are refused", "[table]") {
  TableStore store;
  const std::vector<TableTransaction> malformed = {
      Write("", {}, {{"a", "1"}}),
      Write("op", {}, {{"", "1"}}),
      Write("op", {{"", RowVersion(0)}}, {}),
      Write("op", {}, {{"a", "1"}, {"a", "2"}}),
      Write("op", {}, {{"a", "1"}}, {"a"}),
  };
  for (const TableTransaction& transaction : malformed) {
    REQUIRE(store.Transact(transaction, kStart).error().code ==
            ErrorCode::kInvalidArgument);
  }
  REQUIRE(store.Read({.prefixes = {""}}, kStart).value().empty());
}

TEST_CASE("an operation on a store that is down has no effect", "[table]") {
  TableStore store;
  store.SetFaults({.down = true});
  REQUIRE(store.Transact(Write("op", {}, {{"a", "1"}}), kStart).error().code ==
          ErrorCode::kUnavailable);
  REQUIRE(store.Read({}, kStart).error().code == ErrorCode::kUnavailable);
  store.SetFaults({});
  REQUIRE(ValueOf(store, "a") == "none");
}

TEST_CASE("writes and reads over the rate limits are refused", "[table]") {
  TableStore store;
  int committed = 0;
  int read = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    const Instant now = kStart + milliseconds(ms);
    committed +=
        store.Transact(Write(std::to_string(ms), {}, {}), now).has_value() ? 1
                                                                           : 0;
    for (int i = 0; i < 3; ++i) {
      read += store.Read({}, now).has_value() ? 1 : 0;
    }
  }
  // The limits of 300 and 2,000 per second for 10 s, and a burst of one second.
  REQUIRE(committed >= 3'000);
  REQUIRE(committed <= 3'300);
  REQUIRE(read >= 20'000);
  REQUIRE(read <= 22'000);
}

TEST_CASE("an object is created once", "[objects]") {
  ObjectStore store;
  REQUIRE(store.Put("a/1", "x", true, kStart).value() ==
          ObjectWriteOutcome::kDone);
  REQUIRE(store.Put("a/1", "y", true, kStart).value() ==
          ObjectWriteOutcome::kExists);
  REQUIRE(store.Get("a/1", kStart).value() == "x");
  REQUIRE(store.Put("a/1", "z", false, kStart).value() ==
          ObjectWriteOutcome::kDone);
  REQUIRE(store.Get("a/1", kStart).value() == "z");
  REQUIRE(store.Delete("a/1", kStart).value() == ObjectWriteOutcome::kDone);
  REQUIRE(store.Delete("a/1", kStart).value() == ObjectWriteOutcome::kAbsent);
  REQUIRE(store.Get("a/1", kStart).error().code == ErrorCode::kNotFound);
}

TEST_CASE("objects are listed by prefix", "[objects]") {
  ObjectStore store;
  for (const char* name : {"b/2", "a", "b/1", "c"}) {
    REQUIRE(store.Put(name, "", false, kStart).has_value());
  }
  REQUIRE(store.List("b/", kStart).value() ==
          std::vector<std::string>{"b/1", "b/2"});
}

TEST_CASE("the object store loses responses, is down and limits rates",
          "[objects]") {
  ObjectStore store;
  store.SetFaults({.lose_answers = 1});
  REQUIRE(store.Put("a", "x", true, kStart).value() ==
          ObjectWriteOutcome::kUnknown);
  REQUIRE(store.Get("a", kStart).value() == "x");
  store.SetFaults({.down = true});
  REQUIRE(store.Get("a", kStart).error().code == ErrorCode::kUnavailable);
  store.SetFaults({.writes_per_s = 1});
  REQUIRE(store.Put("a", "y", false, kStart).has_value());
  REQUIRE(store.Put("a", "z", false, kStart).error().code ==
          ErrorCode::kUnavailable);
  REQUIRE(store.Put("a", "z", false, kStart + seconds(1)).has_value());
}

TEST_CASE("the membership list shows changes after the lag", "[membership]") {
  MembershipList list;
  list.SetFaults({.lag = seconds(2)});
  ListedHost host{.host = HostId("h1"), .endpoint = "127.0.0.1:1"};
  list.Put(host, kStart);
  REQUIRE(list.List(kStart + milliseconds(1'999)).value().empty());
  REQUIRE(list.List(kStart + seconds(2)).value() == std::vector{host});

  host.leaving = true;
  list.Put(host, kStart + seconds(3));
  list.Remove(host.host, kStart + seconds(4));
  REQUIRE_FALSE(list.List(kStart + seconds(4)).value().front().leaving);
  REQUIRE(list.List(kStart + seconds(5)).value().front().leaving);
  // A growing lag must not make the list return to an earlier state.
  list.SetFaults({.lag = seconds(4)});
  REQUIRE(list.List(kStart + seconds(6)).value().front().leaving);
  REQUIRE(list.List(kStart + seconds(8)).value().empty());

  list.SetFaults({.down = true});
  REQUIRE(list.List(kStart + seconds(9)).error().code ==
          ErrorCode::kUnavailable);
}

}  // namespace
}  // namespace peridot::stand_ins
