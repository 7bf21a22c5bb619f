// Tests of the availability budget: bound, headroom and revocation of grants.

#include "src/coordination/availability_budget.h"

#include <catch2/catch.hpp>

#include "tests/support/host_fleet.h"

namespace peridot::testing {
namespace {

PoolRow Web(int hosts) {
  return HostFleet(hosts, {}).Pool(PoolId("web"));
}

TEST_CASE("the bound counts grants, drains and failures", "[budget]") {
  // Guards against two drains that start because a grant that has not started
  // is not counted.
  PoolRow pool = Web(8);
  const BudgetSettings budget{HostCount(3), Survive::kNone};
  REQUIRE(PermitsGrant(pool, budget, HostId("h0")));
  pool.granted.insert(HostId("h1"));
  pool.planned.insert(HostId("h2"));
  REQUIRE(PermitsGrant(pool, budget, HostId("h0")));
  pool.unplanned.insert(HostId("h3"));
  REQUIRE_FALSE(PermitsGrant(pool, budget, HostId("h0")));
}

TEST_CASE("headroom is the largest domain still in service", "[budget]") {
  // Two hosts in each rack, four in each zone; zone z2 has one host.
  PoolRow pool = Web(9);
  REQUIRE(Headroom(pool, Survive::kNone, HostId("h0")) == HostCount(0));
  REQUIRE(Headroom(pool, Survive::kHost, HostId("h0")) == HostCount(1));
  REQUIRE(Headroom(pool, Survive::kRack, HostId("h0")) == HostCount(2));
  REQUIRE(Headroom(pool, Survive::kZone, HostId("h0")) == HostCount(4));
  pool.planned.insert(HostId("h4"));
  REQUIRE(Headroom(pool, Survive::kZone, HostId("h0")) == HostCount(3));
  const BudgetSettings budget{HostCount(5), Survive::kZone};
  REQUIRE(PermitsGrant(pool, budget, HostId("h0")));
  REQUIRE_FALSE(
      PermitsGrant(pool, {HostCount(4), Survive::kZone}, HostId("h0")));
}

TEST_CASE("a failure revokes the grants that no longer fit", "[budget]") {
  // Guards against a drain that starts on a grant that precedes a series of
  // failures.
  HostFleet fleet(8, {HostCount(2), Survive::kNone});
  MoveRunner first(fleet, {"m1", HostId("h0"), PoolId("web"), "op"});
  MoveRunner second(fleet, {"m2", HostId("h1"), PoolId("web"), "op"});
  first.RunToEnd(5);  // granted and drained
  REQUIRE(fleet.Host(HostId("h0")).state == HostState::kDraining);
  second.RunToEnd(3);  // granted
  REQUIRE(fleet.Pool(PoolId("web")).granted.contains(HostId("h1")));
  fleet.Fail(5, "wave-5");
  REQUIRE(fleet.Pool(PoolId("web")).granted.empty());
  second.RunToEnd(20);
  REQUIRE(fleet.Host(HostId("h1")).state == HostState::kInService);
  // The drain that has started counts and continues.
  REQUIRE(fleet.Pool(PoolId("web")).planned.contains(HostId("h0")));
  first.RunToEnd();
  fleet.Return(5, "return-5");
  second.RunToEnd();
  REQUIRE(second.ended->outcome == MoveOutcome::kDone);
}

TEST_CASE("a lowered budget stops a drain that was granted before",
          "[budget]") {
  HostFleet fleet(8, {HostCount(1), Survive::kNone});
  MoveRunner runner(fleet, {"m1", HostId("h0"), PoolId("web"), "op"});
  runner.RunToEnd(3);
  REQUIRE(fleet.Pool(PoolId("web")).granted.contains(HostId("h0")));
  fleet.budget.max_unavailable = HostCount(0);
  runner.RunToEnd(20);
  REQUIRE(fleet.Host(HostId("h0")).state == HostState::kInService);
}

TEST_CASE("a failed host counts once, whatever its state was", "[budget]") {
  HostFleet fleet(8, {HostCount(3), Survive::kNone});
  MoveRunner runner(fleet, {"m1", HostId("h0"), PoolId("web"), "op"});
  runner.RunToEnd(5);
  fleet.Fail(0, "a");
  fleet.Fail(0, "b");
  const PoolRow pool = fleet.Pool(PoolId("web"));
  REQUIRE(pool.planned.empty());
  REQUIRE(pool.unplanned.size() == 1);
}

TEST_CASE("a row that does not parse is rejected", "[budget]") {
  REQUIRE(DecodeHost({"host/h0", RowVersion(1), "{}"}).error().code ==
          ErrorCode::kMalformed);
  REQUIRE(DecodePool({"pool/web", RowVersion(1), "x"}).error().code ==
          ErrorCode::kMalformed);
}

}  // namespace
}  // namespace peridot::testing
