// Tests of the host planner.

#include "src/coordination/host_planner.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace peridot {
namespace {

using std::chrono::milliseconds;

const Instant kStart = Instant{} + std::chrono::seconds(100);
// The delay of orders after a takeover has passed.
const Instant kReady = kStart + std::chrono::seconds(5);

FleetHost Host(int number, const std::string& pool) {
  const std::string id = std::to_string(number);
  return FleetHost{.id = HostId("h" + id),
                   .pool = ServiceId(pool),
                   .state = FleetHostState::kUp,
                   .zone = ZoneId("z"),
                   .capacity = Resources{32000, 64000, 0},
                   .endpoint = EndpointId("e" + id)};
}

EndpointSummary Summary(int number, const std::string& pool) {
  EndpointSummary summary;
  summary.id = EndpointId("e" + std::to_string(number));
  summary.service = ServiceId(pool);
  summary.zone = ZoneId("z");
  summary.usable = true;
  summary.idle = true;
  summary.capacity = Resources{32000, 64000, 0};
  return summary;
}

struct Fleet {
  Fleet() {
    std::map<ServiceId, ServiceConfig> services;
    services[ServiceId("a")];
    services[ServiceId("b")];
    services[ServiceId("off")].spare = true;
    this->planner.OnServices(services);
  }

  HostPlan Advance(Instant now, bool may_order = true) {
    return this->planner.Advance(this->endpoints, this->demand, {}, may_order,
                                 now);
  }

  HostPlanner planner{HostPlannerConfig{}, kStart};
  std::vector<EndpointSummary> endpoints;
  std::map<ServiceId, ServiceDemand> demand;
};

MaintenanceWave Wave(int hosts, std::size_t max_down) {
  MaintenanceWave wave{
      .name = "1", .max_down = max_down, .length = std::chrono::seconds(20)};
  for (int i = 0; i < hosts; ++i) {
    wave.hosts.emplace_back("h" + std::to_string(i));
  }
  return wave;
}

TEST_CASE("a host list requested before an order was answered frees no host",
          "[host_planner]") {
  // Guards the limit of hosts of a wave that are down at the same time: an
  // outdated list shows hosts as up that an order has just taken down.
  Fleet fleet;
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 4; ++i) {
    hosts.push_back(Host(i, "a"));
    fleet.endpoints.push_back(Summary(i, "a"));
  }
  fleet.planner.OnHosts(hosts, kStart, kStart);
  fleet.planner.OnWaves({Wave(4, 2)}, kReady);
  const HostPlan plan = fleet.Advance(kReady);
  REQUIRE(plan.orders.size() == 2);
  const Instant sent = kReady + milliseconds(5);
  fleet.planner.OnReply(plan.orders[0], HostOrderReply::kDone,
                        kReady + milliseconds(20));
  fleet.planner.OnReply(plan.orders[1], HostOrderReply::kDone,
                        kReady + milliseconds(20));
  fleet.planner.OnHosts(hosts, sent, kReady + milliseconds(30));
  CHECK(fleet.Advance(kReady + milliseconds(40)).orders.empty());
  fleet.planner.OnHosts(hosts, kReady + milliseconds(2500),
                        kReady + milliseconds(2510));
  // Idle hosts also move to the spare pool; the limit applies to the wave only.
  const HostPlan next = fleet.Advance(kReady + milliseconds(2520));
  CHECK(std::count_if(
            next.orders.begin(), next.orders.end(),
            [](const HostOrder& order) { return !order.wave.empty(); }) == 2);
}

TEST_CASE("an unanswered order counts its host as away until it times out",
          "[host_planner]") {
  // Guards the limit of hosts that are down when an order takes effect seconds
  // after it was sent.
  Fleet fleet;
  fleet.planner.OnHosts({Host(0, "a"), Host(1, "a")}, kStart, kStart);
  fleet.endpoints = {Summary(0, "a"), Summary(1, "a")};
  fleet.planner.OnWaves({Wave(2, 1)}, kReady);
  const HostPlan plan = fleet.Advance(kReady);
  REQUIRE(plan.orders.size() == 1);
  fleet.planner.OnReply(plan.orders[0], HostOrderReply::kUnknown, kReady);
  const Instant later = kReady + std::chrono::seconds(5);
  fleet.planner.OnHosts({Host(0, "a"), Host(1, "a")}, later, later);
  CHECK(fleet.Advance(later).orders.empty());
}

TEST_CASE("no order is sent shortly after a takeover or without a lease",
          "[host_planner]") {
  // Guards against orders of two owners for the same host.
  Fleet fleet;
  fleet.planner.OnHosts({Host(0, "a")}, kStart, kStart);
  fleet.endpoints = {Summary(0, "a")};
  fleet.planner.OnWaves({Wave(1, 1)}, kStart);
  CHECK(fleet.Advance(kStart + milliseconds(3000)).orders.empty());
  CHECK(fleet.Advance(kReady, false).orders.empty());
  CHECK(fleet.Advance(kReady).orders.size() == 1);
}

TEST_CASE("after a takeover only hosts with a recorded order wait",
          "[host_planner]") {
  // Guards against orders of two owners for one host, and against pools that
  // get no host for seconds after each takeover.
  Fleet fleet;
  fleet.planner.OnPreviousOrders(
      {{HostId("h0"), kStart - milliseconds(100)},
       {HostId("h2"), kStart - std::chrono::seconds(9)}});
  fleet.planner.OnHosts({Host(0, "off"), Host(1, "off"), Host(2, "off")},
                        kStart, kStart);
  fleet.demand[ServiceId("a")].waiting_core_seconds = 1000;
  const auto ordered = [](const HostPlan& plan) {
    std::set<HostId> hosts;
    for (const HostOrder& order : plan.orders) {
      hosts.insert(order.host);
    }
    return hosts;
  };
  CHECK(fleet.Advance(kStart + milliseconds(490)).orders.empty());
  CHECK(fleet.Advance(kStart + milliseconds(510)).orders.empty());
  // The shortage has lasted for shortage_delay.
  CHECK(ordered(fleet.Advance(kStart + milliseconds(700))) ==
        std::set<HostId>{HostId("h1"), HostId("h2")});
  CHECK(ordered(fleet.Advance(kStart + milliseconds(3350))).empty());
  CHECK(ordered(fleet.Advance(kStart + milliseconds(3450))) ==
        std::set<HostId>{HostId("h0")});
}

TEST_CASE("no running work is ended shortly after a takeover",
          "[host_planner]") {
  // Guards long-running work that the new owner does not know yet: an order for
  // its host ends it beside others that the previous owner has stopped.
  Fleet fleet;
  fleet.planner.OnPreviousOrders({});
  fleet.planner.OnHosts({Host(0, "a"), Host(1, "a"), Host(2, "a")}, kStart,
                        kStart);
  fleet.endpoints = {Summary(0, "a")};
  fleet.planner.OnWaves({Wave(3, 3)}, kStart);
  fleet.demand[ServiceId("b")].waiting_core_seconds = 1000;
  CHECK(fleet.Advance(kStart + milliseconds(510)).orders.empty());
  for (const HostOrder& order :
       fleet.Advance(kStart + milliseconds(3000)).orders) {
    CHECK(order.host == HostId("h0"));
    CHECK(order.wave.empty());
  }
  CHECK_FALSE(fleet.Advance(kStart + milliseconds(3600)).orders.empty());
}

TEST_CASE("the time of a wave runs on across takeovers", "[host_planner]") {
  // Guards a wave's deadline: a new owner that started its time anew cordoned
  // busy hosts only after the deadline.
  Fleet fleet;
  WaveProgress progress{.name = "1"};
  progress.first_seen = kStart - std::chrono::seconds(10);
  fleet.planner.OnWaveProgress(progress);
  fleet.planner.OnHosts({Host(0, "a")}, kStart, kStart);
  fleet.endpoints = {Summary(0, "a")};
  fleet.endpoints[0].idle = false;
  fleet.endpoints[0].short_running = 1;
  fleet.planner.OnWaves({Wave(1, 1)}, kStart);
  fleet.Advance(kReady);
  CHECK(fleet.planner.Cordoned().contains(EndpointId("e0")));
}

TEST_CASE("a wave is completed only once each host has begun maintenance",
          "[host_planner]") {
  // Guards the progress of a wave that operators see.
  Fleet fleet;
  fleet.planner.OnHosts({Host(0, "a"), Host(1, "a")}, kStart, kStart);
  fleet.endpoints = {Summary(0, "a"), Summary(1, "a")};
  fleet.planner.OnWaves({Wave(2, 2)}, kReady);
  const HostPlan plan = fleet.Advance(kReady);
  REQUIRE(plan.orders.size() == 2);
  fleet.planner.OnReply(plan.orders[0], HostOrderReply::kDone, kReady);
  fleet.planner.OnReply(plan.orders[1], HostOrderReply::kUnknown, kReady);
  fleet.Advance(kReady);
  const std::vector<WaveProgress> first = fleet.planner.TakeProgress();
  REQUIRE(first.size() == 1);
  CHECK_FALSE(first[0].completed);
}

TEST_CASE("a host with running work is not taken down", "[host_planner]") {
  // Guards running work: an order stops everything on the host at once.
  Fleet fleet;
  fleet.planner.OnHosts({Host(0, "a")}, kStart, kStart);
  fleet.endpoints = {Summary(0, "a")};
  fleet.endpoints[0].idle = false;
  fleet.endpoints[0].short_running = 1;
  fleet.planner.OnWaves({Wave(1, 1)}, kReady);
  const Instant late = kReady + std::chrono::seconds(15);
  CHECK(fleet.Advance(late).orders.empty());
  CHECK(fleet.planner.Cordoned().contains(EndpointId("e0")));
  fleet.endpoints[0].idle = true;
  CHECK(fleet.Advance(late).orders.size() == 1);
}

TEST_CASE("a pool that lacks capacity gets hosts of a pool with spare ones",
          "[host_planner]") {
  // Guards the moves that follow demand, and the minimum size of a pool.
  Fleet fleet;
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 6; ++i) {
    hosts.push_back(Host(i, i < 2 ? "a" : "b"));
    fleet.endpoints.push_back(Summary(i, i < 2 ? "a" : "b"));
  }
  fleet.planner.OnHosts(hosts, kReady, kReady);
  fleet.demand[ServiceId("a")].used_cores = 64;
  fleet.demand[ServiceId("a")].waiting_core_seconds = 200;
  fleet.Advance(kReady);
  const HostPlan plan = fleet.Advance(kReady + milliseconds(200));
  REQUIRE(plan.orders.size() == 2);  // two hosts stay in pool b
  CHECK(plan.orders[0].pool == ServiceId("a"));
}

TEST_CASE("a pool lends idle hosts as soon as its present demand fits the rest",
          "[host_planner]") {
  // Guards against a peak that waits while the pool that peaked before it holds
  // idle hosts for its demand of the recent past.
  Fleet fleet;
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 12; ++i) {
    hosts.push_back(Host(i, i < 2 ? "a" : "b"));
    fleet.endpoints.push_back(Summary(i, i < 2 ? "a" : "b"));
    fleet.endpoints.back().idle = i >= 2;
  }
  fleet.planner.OnHosts(hosts, kReady, kReady);
  fleet.demand[ServiceId("b")].arrival_rate = 280;
  fleet.Advance(kReady);
  fleet.demand[ServiceId("b")].arrival_rate = 0;
  fleet.demand[ServiceId("a")].waiting_core_seconds = 1000;
  fleet.Advance(kReady + milliseconds(100));
  const HostPlan plan = fleet.Advance(kReady + milliseconds(300));
  CHECK(plan.orders.size() == 8);  // two hosts stay in pool b
  SECTION("but none that its present demand needs") {
    CHECK(fleet.Advance(kReady + milliseconds(340)).orders.empty());
  }
}

TEST_CASE("each pool keeps a share of the fleet in reserve", "[host_planner]") {
  // Guards against a peak whose first jobs are late because its pool has
  // released nearly all hosts to the spare pool and a move takes longer than
  // the jobs may wait.
  Fleet fleet;
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 48; ++i) {
    const std::string pool = i < 20 ? "a" : i < 40 ? "b" : "off";
    hosts.push_back(Host(i, pool));
    if (pool != "off") {
      fleet.endpoints.push_back(Summary(i, pool));
    }
  }
  fleet.planner.OnHosts(hosts, kStart, kStart);
  fleet.Advance(kReady);
  std::map<ServiceId, int> released;
  for (int ms = 0; ms < 5000; ms += 100) {
    for (const HostOrder& order :
         fleet.Advance(kReady + milliseconds(ms)).orders) {
      const int number = std::stoi(order.host.value.substr(1));
      ++released[ServiceId(number < 20 ? "a" : "b")];
    }
  }
  // A quarter of the 24 hosts of an equal division stays.
  CHECK(released[ServiceId("a")] == 14);
  CHECK(released[ServiceId("b")] == 14);
}

TEST_CASE("a pool with a large backlog does not starve the others",
          "[host_planner]") {
  // Guards against the backlog of one queue taking the whole spare pool.
  Fleet fleet;
  std::vector<FleetHost> hosts;
  for (int i = 0; i < 2; ++i) {
    hosts.push_back(Host(i, i == 0 ? "a" : "b"));
    fleet.endpoints.push_back(Summary(i, i == 0 ? "a" : "b"));
    fleet.endpoints.back().idle = false;
  }
  for (int i = 2; i < 12; ++i) {
    hosts.push_back(Host(i, "off"));
  }
  fleet.planner.OnHosts(hosts, kStart, kStart);
  fleet.demand[ServiceId("a")].waiting_core_seconds = 100000;
  fleet.demand[ServiceId("b")].waiting_core_seconds = 300;
  fleet.Advance(kReady);
  std::map<ServiceId, int> received;
  for (const HostOrder& order :
       fleet.Advance(kReady + milliseconds(200)).orders) {
    ++received[order.pool];
  }
  CHECK(received[ServiceId("b")] == 4);  // needs 138 cores and has 32
  CHECK(received[ServiceId("a")] == 6);
}

TEST_CASE("work that is too late to have value takes few hosts",
          "[host_planner]") {
  // Guards against hosts moving from work that can be in time to work without
  // value to its callers.
  Fleet fleet;
  std::vector<FleetHost> hosts = {Host(0, "a")};
  fleet.endpoints = {Summary(0, "a")};
  fleet.endpoints[0].idle = false;
  for (int i = 2; i < 32; ++i) {
    hosts.push_back(Host(i, "off"));
  }
  fleet.planner.OnHosts(hosts, kStart, kStart);
  fleet.demand[ServiceId("a")].expired_core_seconds = 2000;
  fleet.Advance(kReady);
  const std::size_t expired_work_orders =
      fleet.Advance(kReady + milliseconds(200)).orders.size();
  CHECK(expired_work_orders > 0);
  CHECK(expired_work_orders < 5);  // completing it within 2.5 s takes 28 hosts
}

}  // namespace
}  // namespace peridot
