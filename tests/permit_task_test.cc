// Tests of the lease bounds that the permit task passes to the ledger.

#include "src/daemon/permit_task.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace peridot {
namespace {

TEST_CASE("a short owner lease does not free permits before the tasks stop",
          "[permits]") {
  // Guards against a team above its upper limit: the tasks of a fenced session
  // run until its endpoint leases lapse, while other daemons use its permits.
  FleetSettings fleet;
  fleet.owner_lease = std::chrono::milliseconds(500);
  REQUIRE(LeaseBoundsOf(fleet).owner_lease == EndpointLeaseConfig{}.lease);
  fleet.owner_lease = std::chrono::seconds(9);
  REQUIRE(LeaseBoundsOf(fleet).owner_lease == std::chrono::seconds(9));
}

}  // namespace
}  // namespace peridot
