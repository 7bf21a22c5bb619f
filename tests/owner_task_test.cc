// Tests of OwnerTask with an in-memory store whose answers can be dropped.

#include "src/daemon/owner_task.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "src/daemon/job_store.h"
#include "src/protocol/job_json.h"
#include "stand_ins/row_store.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

const Duration kLimit = std::chrono::seconds(20);

// One OwnerTask with a fleet that has no endpoints.
struct OwnerFixture {
  OwnerFixture() {
    this->loop = std::move(EventLoop::Create(this->clock).value());
    this->ports.operator_table = "op";
    this->ports.endpoint_table = "servers";
    this->ports.transact = [this](StoreTransaction call, StoreCallback done) {
      const StoreReply reply = this->store.Transact(call);
      if (this->lost_answers > 0) {
        --this->lost_answers;
        // The default reply is kUnknown, as a client reports after its timeout.
        this->Post(std::move(done), StoreReply{});
        return;
      }
      this->Post(std::move(done), reply);
    };
    this->ports.read = [this](const StoreKey& from, std::size_t max_rows,
                              StoreCallback done) {
      this->Post(std::move(done), this->store.Read(from, "", max_rows));
    };
    this->ports.read_one = [this](const StoreKey& key, StoreCallback done) {
      this->Post(std::move(done), this->store.Read(key, key.key + "!", 1));
    };
    this->ports.feed = [this](const std::string& table, RowVersion after,
                              StoreCallback done) {
      this->loop->After(milliseconds(5),
                        [this, table, after, done = std::move(done)] {
                          done(this->store.Changes(table, after));
                        });
    };
    this->ports.read_hosts = [](const auto& done) { (void)done; };
    this->ports.decode_operator_row =
        [](const StoreRow&) -> Result<OperatorRow> {
      OperatorRow row;
      row.config = OperatorConfig{.version = Revision(1)};
      return row;
    };
    StoreTransaction config;
    config.puts.emplace_back(StoreKey{"op", "", "config"}, "{}");
    this->store.Transact(config);
    this->settings.lease.self = DaemonId("d1");
    this->settings.lease.instance = "i1";
    this->view = std::make_unique<OperatorView>(this->loop.get(), &this->ports);
    this->task = std::make_unique<OwnerTask>(
        this->loop.get(), &this->ports, this->view.get(), &this->metrics,
        this->settings, OwnerTaskConfig{},
        [](const std::string&, int, const auto& done) { (void)done; });
    this->view->Start([this] { this->task->OnViewChanged(); });
    this->task->Start();
  }

  void Post(StoreCallback done, StoreReply reply) {
    this->loop->Post(
        [done = std::move(done), reply = std::move(reply)] { done(reply); });
  }

  OwnerRow Row() const {
    const StoreReply read =
        this->store.Read(StoreKey{kOwnerTable, kOwnerPart, kOwnerKey}, "", 1);
    return read.rows.empty() ? OwnerRow{}
                             : DecodeOwner(read.rows[0].value).value();
  }

  SystemClock clock;
  std::unique_ptr<EventLoop> loop;
  RowStore store;
  int lost_answers = 0;
  FleetPorts ports;
  Metrics metrics;
  FleetNodeSettings settings;
  std::unique_ptr<OperatorView> view;
  std::unique_ptr<OwnerTask> task;
};

TEST_CASE("an owner keeps its lease when answers of the store are lost",
          "[owner_task]") {
  // Guards against an owner that loses its ownership when several consecutive
  // answers of the store are lost.
  OwnerFixture fixture;
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.task->Owns(); }, kLimit));
  const OwnerEpoch epoch = fixture.Row().epoch;
  const std::uint64_t before = fixture.Row().sequence;
  fixture.lost_answers = 3;
  REQUIRE(fixture.loop->RunUntil(
      [&] {
        return fixture.lost_answers == 0 && fixture.Row().sequence > before + 3;
      },
      kLimit));
  CHECK(fixture.task->Owns());
  CHECK(fixture.Row().epoch == epoch);
}

TEST_CASE("a host order is sent only after its record has been stored",
          "[owner_task]") {
  // Guards against orders of two owners for one host: the next owner spares
  // exactly the hosts in the record.
  OwnerFixture fixture;
  // Order of an earlier owner, whose time has not passed when this one orders.
  StoreTransaction earlier;
  earlier.puts.emplace_back(
      StoreKey{kHostOrderTable, kOwnerPart, kHostOrderKey},
      EncodeHostOrders({{HostId("h9"), 1'000'000'000'000}}));
  fixture.store.Transact(earlier);
  fixture.ports.read_hosts =
      [&](std::function<void(std::optional<std::vector<FleetHost>>)> done) {
        fixture.loop->Post([done = std::move(done)] {
          done(std::vector<FleetHost>{FleetHost{.id = HostId("h1"),
                                                .pool = ServiceId("a"),
                                                .state = FleetHostState::kUp}});
        });
      };
  fixture.ports.decode_operator_row =
      [](const StoreRow& row) -> Result<OperatorRow> {
    OperatorRow out;
    if (row.key.key == "config") {
      out.config = OperatorConfig{.version = Revision(1)};
    } else {
      out.wave = MaintenanceWave{.name = "1",
                                 .hosts = {HostId("h1")},
                                 .max_down = 1,
                                 .length = milliseconds(5000)};
    }
    return out;
  };
  fixture.ports.encode_wave_report = [](const WaveProgress&) {
    return std::pair(StoreKey{"status", "", "wave/1"}, std::string("{}"));
  };
  int orders = 0;
  bool recorded = false;
  bool kept = false;
  fixture.ports.order_host = [&](const HostOrder& order, const DaemonId&,
                                 OwnerEpoch, const auto&) {
    ++orders;
    const StoreReply read = fixture.store.Read(
        StoreKey{kHostOrderTable, kOwnerPart, kHostOrderKey}, "", 1);
    REQUIRE(read.rows.size() == 1);
    const auto orders_of_row = DecodeHostOrders(read.rows[0].value).value();
    recorded = orders_of_row.contains(order.host);
    kept = orders_of_row.contains(HostId("h9"));
  };
  StoreTransaction wave;
  wave.puts.emplace_back(StoreKey{"op", "", "wave/1"}, "{}");
  fixture.store.Transact(wave);
  REQUIRE(fixture.loop->RunUntil([&] { return orders > 0; }, kLimit));
  CHECK(recorded);
  CHECK(kept);
}

TEST_CASE("no count of waiting jobs is reported while the job feed is stale",
          "[owner_task]") {
  // Guards against an owner that reports 0 waiting jobs because its job feed
  // delivers no new jobs.
  OwnerFixture fixture;
  REQUIRE(fixture.loop->RunUntil(
      [&] { return fixture.task->WaitingIn("q").has_value(); }, kLimit));
  fixture.ports.feed = [](const std::string&, RowVersion, const auto& done) {
    (void)done;  // never answered
  };
  CHECK(fixture.loop->RunUntil(
      [&] { return fixture.task->Owns() && !fixture.task->WaitingIn("q"); },
      kLimit));
}

TEST_CASE("an owner hands over on request and does not reclaim at once",
          "[owner_task]") {
  // Guards against an owner on a weak host that keeps the lease or claims it
  // again at once although a stronger candidate has requested the handover.
  OwnerFixture fixture;
  fixture.settings.lease.strength = 100;
  fixture.task = std::make_unique<OwnerTask>(
      fixture.loop.get(), &fixture.ports, fixture.view.get(), &fixture.metrics,
      fixture.settings, OwnerTaskConfig{},
      [](const std::string&, int, const auto& done) { (void)done; });
  fixture.task->Start();
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.task->Owns(); }, kLimit));
  REQUIRE(fixture.loop->RunUntil(
      [&] {
        fixture.task->AnswerCandidate(500);
        return fixture.Row().holder.value.empty();
      },
      kLimit));
  CHECK(fixture.Row().best_strength == 500);
  CHECK_FALSE(fixture.task->Owns());
}

}  // namespace
}  // namespace peridot
