// Tests of the slots of owned endpoints and of the choice of the owner.

#include "src/coordination/slot_ledger.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/endpoint_owner.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);
const PoolId kPool("web");
const TeamId kTeam("a");

SlotLedger LedgerOf(int endpoints, int slots) {
  SlotLedger ledger;
  for (int i = 0; i < endpoints; ++i) {
    const EndpointId id("e" + std::to_string(i));
    ledger.OnEndpoint(id, kPool, ZoneId("z1"), SlotCount(slots));
    ledger.SetUsable(id, true);
  }
  return ledger;
}

TEST_CASE("the next slot is on the least used endpoint", "[routing]") {
  SlotLedger ledger = LedgerOf(4, 2);
  std::set<EndpointId> first;
  for (int i = 0; i < 4; ++i) {
    first.insert(ledger.Take(kPool, kTeam, kStart)->endpoint);
  }
  REQUIRE(first.size() == 4);
  for (int i = 0; i < 4; ++i) {
    REQUIRE(ledger.Take(kPool, kTeam, kStart));
  }
  REQUIRE_FALSE(ledger.Take(kPool, kTeam, kStart));
}

TEST_CASE("no slot is taken on an unusable endpoint", "[routing]") {
  SlotLedger ledger = LedgerOf(1, 2);
  const TakenSlot slot = *ledger.Take(kPool, kTeam, kStart);
  ledger.SetUsable(EndpointId("e0"), false);
  REQUIRE_FALSE(ledger.Take(kPool, kTeam, kStart));
  ledger.Return(slot.token, false, kStart);
  REQUIRE_FALSE(ledger.Take(kPool, kTeam, kStart));
  ledger.SetUsable(EndpointId("e0"), true);
  REQUIRE(ledger.Take(kPool, kTeam, kStart));
}

TEST_CASE("a token returned twice frees one slot", "[routing]") {
  SlotLedger ledger = LedgerOf(1, 1);
  const TakenSlot slot = *ledger.Take(kPool, kTeam, kStart);
  REQUIRE(ledger.Return(slot.token, false, kStart).has_value());
  REQUIRE_FALSE(ledger.Return(slot.token, false, kStart).has_value());
  REQUIRE(ledger.Take(kPool, kTeam, kStart));
  REQUIRE_FALSE(ledger.Return(slot.token, false, kStart).has_value());
  REQUIRE_FALSE(ledger.Take(kPool, kTeam, kStart));
}

TEST_CASE("a lost return is detected by the count of the endpoint",
          "[routing]") {
  SlotLedger ledger = LedgerOf(1, 2);
  ledger.Take(kPool, kTeam, kStart);
  ledger.Take(kPool, kTeam, kStart + seconds(2));
  const EndpointId id("e0");
  REQUIRE(ledger.OnUsage(id, SlotCount(0), kStart + seconds(1)).empty());
  REQUIRE(ledger.OnUsage(id, SlotCount(0), kStart + seconds(2)).size() == 1);
  REQUIRE(ledger.Take(kPool, kTeam, kStart + seconds(2)));
}

TEST_CASE("a refused slot is not granted again at once", "[routing]") {
  // Guards against a busy loop of grants and refusals.
  SlotLedger ledger = LedgerOf(1, 1);
  const TakenSlot slot = *ledger.Take(kPool, kTeam, kStart);
  ledger.Return(slot.token, true, kStart);
  ledger.OnTick(kStart + milliseconds(100));
  REQUIRE_FALSE(ledger.HasFree(kPool));
  ledger.OnTick(kStart + milliseconds(200));
  REQUIRE(ledger.HasFree(kPool));
}

// The reference counts the used slots per endpoint in a map.
TEST_CASE("random use equals a reference count", "[routing]") {
  std::mt19937_64 random(3);
  SlotLedger ledger = LedgerOf(10, 3);
  std::map<EndpointId, int> used;
  std::vector<TakenSlot> taken;
  std::set<EndpointId> unusable;
  for (int step = 0; step < 20'000; ++step) {
    const auto choice = random() % 5;
    if (choice < 2) {
      const auto slot = ledger.Take(kPool, kTeam, kStart);
      int lowest = 3;
      for (int i = 0; i < 10; ++i) {
        const EndpointId id("e" + std::to_string(i));
        if (!unusable.contains(id)) {
          lowest = std::min(lowest, used[id]);
        }
      }
      REQUIRE(slot.has_value() == (lowest < 3));
      if (slot) {
        REQUIRE(used[slot->endpoint] == lowest);
        ++used[slot->endpoint];
        taken.push_back(*slot);
      }
    } else if (choice < 4 && !taken.empty()) {
      std::swap(taken[random() % taken.size()], taken.back());
      REQUIRE(ledger.Return(taken.back().token, false, kStart));
      --used[taken.back().endpoint];
      taken.pop_back();
    } else {
      const EndpointId id("e" + std::to_string(random() % 10));
      const bool usable = unusable.erase(id) > 0;
      if (!usable) {
        unusable.insert(id);
      }
      ledger.SetUsable(id, usable);
    }
  }
}

TEST_CASE("only the endpoints of a daemon that left change their owner",
          "[routing]") {
  const std::vector<DaemonId> three{DaemonId("d1"), DaemonId("d2"),
                                    DaemonId("d3")};
  const std::vector<DaemonId> two{DaemonId("d3"), DaemonId("d1")};
  std::map<std::string, int> owned;
  for (int i = 0; i < 3'000; ++i) {
    const EndpointId id("10.0.0." + std::to_string(i));
    const DaemonId before = *EndpointOwner(id, three);
    ++owned[before.value];
    if (before != DaemonId("d2")) {
      REQUIRE(*EndpointOwner(id, two) == before);
    }
  }
  for (const auto& [daemon, count] : owned) {
    REQUIRE(count > 850);
    REQUIRE(count < 1'150);
  }
  REQUIRE(EndpointOwner(EndpointId("e"), {}) == nullptr);
}

}  // namespace
}  // namespace peridot
