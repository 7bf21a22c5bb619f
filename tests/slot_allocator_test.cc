// Tests of the division of slots among teams, queues and daemons.

#include "src/coordination/slot_allocator.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);
const SessionId kDaemon{DaemonId("d1"), Incarnation(1)};

SlotDemand Demand(const std::string& team,
                  std::int64_t waiting,
                  std::int64_t share = 1,
                  Priority priority = Priority::kDaily,
                  const std::string& queue = "q") {
  return {.daemon = kDaemon,
          .queue = QueueId(team + "." + queue),
          .team = TeamId(team),
          .priority = priority,
          .share = Share(share),
          .waiting = waiting};
}

TEST_CASE("slots follow the weights while all teams wait", "[shares]") {
  SlotAllocator allocator;
  allocator.OnDemand(Demand("a", 1'000, 1), kStart);
  allocator.OnDemand(Demand("b", 1'000, 3), kStart);
  for (int i = 0; i < 400; ++i) {
    REQUIRE(allocator.Pick(kStart));
  }
  REQUIRE(allocator.InUse(TeamId("a")) == 100);
  REQUIRE(allocator.InUse(TeamId("b")) == 300);
}

TEST_CASE("no slot is idle while any demand waits", "[shares]") {
  SlotAllocator allocator;
  allocator.OnDemand(Demand("a", 5, 1), kStart);
  allocator.OnDemand(Demand("b", 100, 1), kStart);
  for (int i = 0; i < 105; ++i) {
    REQUIRE(allocator.Pick(kStart));
  }
  REQUIRE_FALSE(allocator.Pick(kStart));
  REQUIRE(allocator.InUse(TeamId("a")) == 5);
}

TEST_CASE("daily work is served before rebuilds, which still finish",
          "[shares]") {
  SlotAllocator allocator;
  SlotDemand rebuild = Demand("a", 10, 1, Priority::kRebuild, "old");
  SlotDemand daily = Demand("a", 10, 1, Priority::kDaily, "new");
  allocator.OnDemand(rebuild, kStart);
  allocator.OnDemand(daily, kStart);
  REQUIRE(allocator.Pick(kStart)->queue == daily.queue);
  rebuild.longest_wait = minutes(11);
  allocator.OnDemand(rebuild, kStart);
  REQUIRE(allocator.Pick(kStart)->queue == rebuild.queue);
}

TEST_CASE("demand that is not registered again gets no slot", "[shares]") {
  // Guards against slots granted to a crashed daemon.
  SlotAllocator allocator;
  allocator.OnDemand(Demand("a", 10), kStart);
  REQUIRE(allocator.Pick(kStart + milliseconds(999)));
  REQUIRE_FALSE(allocator.Pick(kStart + seconds(1)));
}

// Reference: weighted max-min by water filling, one whole slot at a time.
std::map<std::string, std::int64_t> ReferenceMaxMin(
    const std::map<std::string, std::pair<std::int64_t, std::int64_t>>& demand,
    std::int64_t slots) {
  std::map<std::string, std::int64_t> given;
  for (; slots > 0; --slots) {
    std::string best;
    double lowest = 0;
    for (const auto& [team, entry] : demand) {
      const double level = static_cast<double>(given[team] + 1) /
                           static_cast<double>(entry.second);
      if (given[team] < entry.first && (best.empty() || level < lowest)) {
        best = team;
        lowest = level;
      }
    }
    if (best.empty()) {
      break;
    }
    ++given[best];
  }
  return given;
}

TEST_CASE("the division equals weighted max-min on random demand", "[shares]") {
  std::mt19937_64 random(5);
  for (int round = 0; round < 200; ++round) {
    SlotAllocator allocator;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> demand;
    const int teams = std::uniform_int_distribution<int>(1, 8)(random);
    for (int team = 0; team < teams; ++team) {
      const std::string name = "t" + std::to_string(team);
      demand[name] = {std::uniform_int_distribution<int>(0, 60)(random),
                      std::uniform_int_distribution<int>(1, 9)(random)};
      allocator.OnDemand(Demand(name, demand[name].first, demand[name].second),
                         kStart);
    }
    const int slots = std::uniform_int_distribution<int>(0, 150)(random);
    for (int slot = 0; slot < slots; ++slot) {
      allocator.Pick(kStart);
    }
    for (const auto& [team, given] : ReferenceMaxMin(demand, slots)) {
      REQUIRE(allocator.InUse(TeamId(team)) == given);
    }
  }
}

TEST_CASE("a fractional share of slots is met over time", "[shares]") {
  // Guards against rounding: with 4 slots and weights 10, 1 and 1 the small
  // teams get a third of a slot each.
  SlotAllocator allocator;
  std::map<std::string, std::int64_t> used;
  std::vector<std::string> running;
  Instant now = kStart;
  for (int step = 0; step < 20'000; ++step) {
    now += milliseconds(50);
    allocator.OnDemand(Demand("a", 100, 10), now);
    allocator.OnDemand(Demand("b", 100, 1), now);
    allocator.OnDemand(Demand("c", 100, 1), now);
    allocator.OnTick(4, now);
    if (running.size() == 4) {
      allocator.OnReleased(TeamId(running.front()));
      running.erase(running.begin());
    }
    while (running.size() < 4) {
      running.push_back(allocator.Pick(now)->team.value);
    }
    for (const std::string& team : running) {
      ++used[team];
    }
  }
  const double total = 4.0 * 20'000;
  REQUIRE(static_cast<double>(used["b"]) / total ==
          Approx(1.0 / 12).epsilon(0.03));
  REQUIRE(static_cast<double>(used["c"]) / total ==
          Approx(1.0 / 12).epsilon(0.03));
}

}  // namespace
}  // namespace peridot
