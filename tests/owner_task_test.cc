// Tests of OwnerTask with an in-memory store whose answers can be dropped.

#include "src/daemon/owner_task.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "platform/wire.h"
#include "src/daemon/job_store.h"
#include "src/protocol/job_json.h"
#include "stand_ins/row_store.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

const Duration kLimit = std::chrono::seconds(20);

// One OwnerTask with a fleet that has no endpoints.
struct OwnerFixture {
  explicit OwnerFixture(OwnerTaskConfig task_config = {})
      : config(task_config) {
    this->loop = std::move(EventLoop::Create(this->clock).value());
    this->ports.operator_table = "op";
    this->ports.endpoint_table = "servers";
    this->ports.transact = [this](StoreTransaction call, StoreCallback done) {
      const std::optional<StoreOutcome> fault =
          this->on_transact ? this->on_transact(call) : std::nullopt;
      if (fault) {
        this->Post(std::move(done), StoreReply{.outcome = *fault});
        return;
      }
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
        this->settings, this->config,
        [](const std::string&, int, const auto& done) { (void)done; });
    this->view->Start([this] { this->task->OnViewChanged(); });
    this->task->Start();
  }

  // Adds one endpoint and one job with one task. The endpoint starts the task
  // when asked, and lists it as done while `ended` is set.
  void AddEndpointAndJob() {
    this->ports.decode_operator_row =
        [](const StoreRow&) -> Result<OperatorRow> {
      OperatorRow row;
      row.config = OperatorConfig{.version = Revision(1)};
      row.config->fleet.queues["q"] =
          QueueConfig{.name = "q", .service = ServiceId("s")};
      row.config->fleet.services[ServiceId("s")] = ServiceConfig{};
      return row;
    };
    this->ports.decode_endpoint = [](const StoreRow&) -> Result<EndpointRow> {
      return EndpointRow{.id = EndpointId("e1"),
                         .start_time_ms = 7,
                         .service = ServiceId("s"),
                         .zone = ZoneId("z1"),
                         .address = "10.0.0.1:1",
                         .ready = true,
                         .capacity = Resources{4000, 8000, 0}};
    };
    this->ports.start = [this](const StartRun& order,
                               std::function<void(OrderAnswer)> done) {
      this->run = order;
      this->started = true;
      this->loop->Post([done = std::move(done)] { done({OrderReply::kDone}); });
    };
    this->ports.stop = [](const StopRun&, const auto& done) { (void)done; };
    this->ports.poll = [this](const PollEndpoint& poll,
                              FleetPorts::PollCallback done) {
      this->acknowledged = std::max(this->acknowledged, poll.acknowledged);
      this->loop->After(milliseconds(5), [this, done = std::move(done)] {
        done(this->Report(), OrderReply::kDone);
      });
    };
    this->job.id = JobId("5c0e7a21d94b36f8");
    this->job.queue = "q";
    this->job.service = ServiceId("s");
    if (this->job.spec.steps.empty()) {
      this->job.spec.steps = {StepSpec{.per_task = Resources{1000, 100, 0},
                                       .estimate = milliseconds(500)}};
    }
    StoreTransaction rows;
    rows.puts.emplace_back(StoreKey{"servers", "", "e1"}, "{}");
    rows.puts.emplace_back(
        StoreKey{kJobTable, PartOf(this->job.id), this->job.id.value},
        EncodeJob(this->job));
    this->store.Transact(rows);
  }

  EndpointReportRows Report() const {
    EndpointReportRows report{.clock_ms = 1000, .start_time_ms = 7};
    if (this->ended) {
      report.ended.push_back(
          RunEnd{1, this->run.task, this->run.run, EndKind::kDone, ""});
    } else if (this->started) {
      report.running.push_back(RunningTask{this->run.task, this->run.run});
    }
    return report;
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
  // Called before each write. An outcome is answered in place of performing the
  // write; kUnknown: there is no answer.
  std::function<std::optional<StoreOutcome>(const StoreTransaction&)>
      on_transact;
  AcceptedJob job;
  StartRun run;          // the last start order
  bool started = false;  // the endpoint has started the run
  bool ended = false;    // the run is done
  EndNumber acknowledged = 0;
  FleetPorts ports;
  Metrics metrics;
  FleetNodeSettings settings;
  OwnerTaskConfig config;
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

TEST_CASE("old jobs are removed as fast as they finish", "[owner_task]") {
  // Guards against rows of finished jobs that pile up because one removal holds
  // few of them and the next one waits for the interval of sweeps.
  constexpr std::size_t kJobs = 300;
  OwnerFixture fixture(OwnerTaskConfig{.final_job_retention = milliseconds(0)});
  for (std::size_t i = 0; i < kJobs; ++i) {
    const JobId id("job" + std::to_string(1000 + i));
    StoreTransaction rows;
    rows.puts.emplace_back(
        StoreKey{kJobTable, PartOf(id), id.value},
        EncodeJob(AcceptedJob{.id = id, .closed_as = JobState::kCompleted}));
    fixture.store.Transact(rows);
  }
  std::set<std::string> removed;
  fixture.on_transact =
      [&](const StoreTransaction& call) -> std::optional<StoreOutcome> {
    for (const StoreKey& key : call.removals) {
      if (key.table == kJobTable) {
        removed.insert(key.key);
      }
    }
    return std::nullopt;
  };
  CHECK(
      fixture.loop->RunUntil([&] { return removed.size() == kJobs; }, kLimit));
}

TEST_CASE("a late write is not taken for the write that replaced it",
          "[owner_task]") {
  // Guards against ends that are acknowledged without a record: a write without
  // an answer is performed while its replacement is open, and the replacement,
  // which carries the ends and fails, counts as stored.
  OwnerFixture fixture;
  fixture.AddEndpointAndJob();
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.started; }, kLimit));
  StoreTransaction late;
  StoreTransaction replacement;
  fixture.on_transact =
      [&](const StoreTransaction& call) -> std::optional<StoreOutcome> {
    if (late.puts.empty()) {
      late = call;  // performed with the next write
      fixture.ended = true;
      return StoreOutcome::kUnknown;
    }
    if (replacement.puts.empty()) {
      replacement = call;
      CHECK(fixture.store.Transact(late).outcome == StoreOutcome::kOk);
    }
    return std::nullopt;
  };
  REQUIRE(
      fixture.loop->RunUntil([&] { return fixture.acknowledged > 0; }, kLimit));
  REQUIRE(replacement.puts.size() > late.puts.size());  // it carries the end
  const StoreReply read = fixture.store.Read(
      StoreKey{kProgressTable, kOwnerPart, fixture.job.id.value}, "", 1);
  REQUIRE(read.rows.size() == 1);
  CHECK(DecodeProgress(read.rows[0].value).value().state ==
        JobState::kCompleted);
}

TEST_CASE("odd entries do not keep an owner from following the endpoints",
          "[owner_task]") {
  // Guards against an owner that ends, or that sees no later endpoint, because
  // another writer has left an odd entry among those of the endpoints.
  OwnerFixture fixture;
  fixture.AddEndpointAndJob();
  fixture.ports.decode_endpoint = platform::DecodeEndpoint;
  const auto write = [&](const std::string& id, const std::string& address,
                         const std::string& cpu) {
    StoreTransaction entry;
    entry.puts.emplace_back(
        StoreKey{"servers", "", id},
        R"({"Service":"s","Address":")" + address +
            R"(","Zone":"z1","State":"ready","Capacity":{"Cpu":)" + cpu +
            R"(,"MemMb":8000},"Labels":["a"],"born":7})");
    fixture.store.Transact(entry);
  };
  const auto write_odd = [&](const std::string& prefix) {
    write(prefix + "1", "10.0.0.1:99999", "4000");
    write(prefix + "2", "10.0.0.1:1", "1e300");
    write(prefix + "3", "10.0.0.1:1",
          std::string(20000, '[') + std::string(20000, ']'));
    write(prefix + "4", "10.0.0.1:1", "184467440737095516160");
  };
  write_odd("a");  // among the entries that are read first
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.task->Owns(); }, kLimit));
  write_odd("f");  // among the changes that follow
  write("g1", "10.0.0.1:1", "4000");
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.started; }, kLimit));
  CHECK(fixture.run.target.endpoint == EndpointId("g1"));
  CHECK(fixture.task->Owns());
}

TEST_CASE("the progress of a job with many tasks is recorded", "[owner_task]") {
  // Guards against a row above the limit of the store: the store rejects each
  // write with it, so that no end is acknowledged and no job completes.
  constexpr std::size_t kMaxValueBytes = 65536;  // in base64
  constexpr std::size_t kEndsPerReport = 500;
  constexpr int kTasks = 6500;
  OwnerFixture fixture;
  // Few tasks fit at a time, so that the test spends its time on the progress.
  fixture.job.spec.steps = {
      StepSpec{.task_count = kTasks, .per_task = Resources{1000, 1, 0}}};
  fixture.AddEndpointAndJob();
  fixture.ports.poll = [&](const PollEndpoint& poll,
                           FleetPorts::PollCallback done) {
    fixture.acknowledged = std::max(fixture.acknowledged, poll.acknowledged);
    EndpointReportRows report{.clock_ms = 1000, .start_time_ms = 7};
    const EndNumber first = fixture.acknowledged + 1;
    for (EndNumber number = first;
         number < first + kEndsPerReport && number <= kTasks; ++number) {
      report.ended.push_back(RunEnd{
          number, TaskName{fixture.job.id, 0, 0, static_cast<int>(number) - 1},
          1, EndKind::kDone, ""});
    }
    fixture.loop->After(milliseconds(1),
                        [report = std::move(report), done = std::move(done)] {
                          done(report, OrderReply::kDone);
                        });
  };
  fixture.on_transact =
      [](const StoreTransaction& call) -> std::optional<StoreOutcome> {
    for (const auto& [key, value] : call.puts) {
      if ((value.size() + 2) / 3 * 4 > kMaxValueBytes) {
        return StoreOutcome::kRejected;
      }
    }
    return std::nullopt;
  };
  CHECK(fixture.loop->RunUntil([&] { return fixture.acknowledged == kTasks; },
                               kLimit));
  CHECK(fixture.task->StateOf(fixture.job.id) == JobState::kCompleted);
}

TEST_CASE("a row that the store rejects holds up no other job",
          "[owner_task]") {
  // Guards against a fleet that stands still because the store rejects one row
  // of a write that also holds the lease and the progress of other jobs.
  OwnerFixture fixture;
  fixture.AddEndpointAndJob();
  AcceptedJob other = fixture.job;
  other.id = JobId("5c0e7a21d94b36f9");
  StoreTransaction row;
  row.puts.emplace_back(StoreKey{kJobTable, PartOf(other.id), other.id.value},
                        EncodeJob(other));
  fixture.store.Transact(row);
  fixture.ports.poll = [&](const PollEndpoint&, FleetPorts::PollCallback done) {
    EndpointReportRows report{.clock_ms = 1000, .start_time_ms = 7};
    report.ended = {RunEnd{1, TaskName{fixture.job.id}, 1, EndKind::kDone, ""},
                    RunEnd{2, TaskName{other.id}, 1, EndKind::kDone, ""}};
    fixture.loop->After(milliseconds(5),
                        [report = std::move(report), done = std::move(done)] {
                          done(report, OrderReply::kDone);
                        });
  };
  fixture.on_transact =
      [&](const StoreTransaction& call) -> std::optional<StoreOutcome> {
    for (const auto& [key, value] : call.puts) {
      if (key.table == kProgressTable && key.key == fixture.job.id.value) {
        return StoreOutcome::kRejected;
      }
    }
    return std::nullopt;
  };
  CHECK(fixture.loop->RunUntil(
      [&] { return fixture.task->StateOf(other.id) == JobState::kCompleted; },
      kLimit));
  // Longer than the lease: it is renewed although the row is still rejected.
  const OwnerEpoch epoch = fixture.Row().epoch;
  const Instant until =
      fixture.loop->Now() + 2 * OwnerLeaseConfig{}.lease_duration;
  fixture.loop->RunUntil([&] { return fixture.loop->Now() > until; }, kLimit);
  CHECK(fixture.loop->RunUntil([&] { return fixture.task->Owns(); }, kLimit));
  CHECK(fixture.Row().epoch == epoch);
  CHECK(fixture.task->StateOf(fixture.job.id) != JobState::kCompleted);
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

TEST_CASE("a job starts in another service only after the move is stored",
          "[owner_task]") {
  // Guards against a next owner that does not know which endpoints may run the
  // job (review/10).
  OwnerFixture fixture;
  fixture.AddEndpointAndJob();
  fixture.job.id = JobId("5c0e7a21d94b36f9");
  fixture.job.service = ServiceId("other");  // its queue goes to "s" now
  StoreTransaction row;
  row.puts.emplace_back(
      StoreKey{kJobTable, PartOf(fixture.job.id), fixture.job.id.value},
      EncodeJob(fixture.job));
  fixture.store.Transact(row);
  std::optional<QueueMoves> stored;
  fixture.ports.start = [&](const StartRun& order, const auto&) {
    if (order.task.job != fixture.job.id) {
      return;
    }
    const StoreReply read = fixture.store.Read(
        StoreKey{kQueueMoveTable, kOwnerPart, kQueueMoveKey}, "", 1);
    REQUIRE(read.rows.size() == 1);
    stored = DecodeQueueMoves(read.rows[0].value).value();
  };
  REQUIRE(fixture.loop->RunUntil([&] { return stored.has_value(); }, kLimit));
  CHECK(stored->services ==
        std::map<std::string, std::set<ServiceId>>{{"q", {ServiceId("s")}}});
}

TEST_CASE("a refused job does not run unless it is submitted again",
          "[owner_task]") {
  // Guards against a refusal that the owner takes for a job, and against a job
  // that it ignores because the id was refused before.
  OwnerFixture fixture(OwnerTaskConfig{.refusal_retention = milliseconds(100)});
  const JobId refused("5c0e7a21d94b36f9");
  const StoreKey key{kJobTable, PartOf(refused), refused.value};
  StoreTransaction row;
  row.puts.emplace_back(
      key,
      EncodeJob(AcceptedJob{
          .id = refused, .closed_as = JobState::kCancelled, .refused = true}));
  fixture.store.Transact(row);
  fixture.AddEndpointAndJob();
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.started; }, kLimit));
  CHECK(fixture.run.task.job == fixture.job.id);
  CHECK_FALSE(fixture.task->StateOf(refused));
  SECTION("its row is removed after a time") {
    CHECK(fixture.loop->RunUntil(
        [&] { return fixture.store.Read(key, "", 1).rows.empty(); }, kLimit));
    CHECK(fixture.run.task.job == fixture.job.id);
  }
  SECTION("the row of a cancelled id is kept as long as that of a job") {
    // Guards against a submission that arrives after a shorter time.
    const JobId cancelled("5c0e7a21d94b36fa");
    const StoreKey kept{kJobTable, PartOf(cancelled), cancelled.value};
    StoreTransaction cancellation;
    cancellation.puts.emplace_back(
        kept, EncodeJob(AcceptedJob{.id = cancelled,
                                    .closed_as = JobState::kCancelled,
                                    .refused = true,
                                    .cancelled = true}));
    fixture.store.Transact(cancellation);
    REQUIRE(fixture.loop->RunUntil(
        [&] { return fixture.store.Read(key, key.key + "!", 1).rows.empty(); },
        kLimit));
    CHECK(fixture.store.Read(kept, kept.key + "!", 1).rows.size() == 1);
  }
  SECTION("it is submitted again") {
    fixture.job.id = refused;
    StoreTransaction again;
    again.puts.emplace_back(key, EncodeJob(fixture.job));
    fixture.store.Transact(again);
    CHECK(fixture.loop->RunUntil(
        [&] { return fixture.run.task.job == refused; }, kLimit));
  }
}

TEST_CASE("an owner reports its load only once it knows its hosts",
          "[owner_task]") {
  // Guards against refusals after a takeover, when the capacity that a service
  // may still get is not known.
  OwnerFixture fixture;
  std::function<void()> answer;
  fixture.ports.read_hosts = [&](const auto& done) {
    answer = [done] {
      done(std::vector<FleetHost>{FleetHost{.id = HostId("h1"),
                                            .pool = ServiceId("spare"),
                                            .state = FleetHostState::kUp,
                                            .capacity = {64000, 0, 0}}});
    };
  };
  Instant produced{};
  CHECK(fixture.task->Load(&produced) == nullptr);
  fixture.AddEndpointAndJob();
  REQUIRE(fixture.loop->RunUntil([&] { return fixture.started && answer; },
                                 kLimit));
  CHECK(fixture.task->Load(&produced) == nullptr);
  fixture.loop->Post(answer);
  const LoadReport* load = nullptr;
  REQUIRE(fixture.loop->RunUntil(
      [&] { return (load = fixture.task->Load(&produced)) != nullptr; },
      kLimit));
  const ServiceLoad& service = load->services.at(ServiceId("s"));
  CHECK(service.usable_cores == 4);
  REQUIRE(service.arriving.size() == 1);
  CHECK(service.arriving[0].cores == 60);
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

TEST_CASE("an expired lease is left to its holder when the store returns",
          "[owner_task]") {
  // Guards against a takeover at the end of an outage of the store that lasts
  // longer than the lease: the holder could not renew it and is still there.
  OwnerFixture fixture;
  const auto write_row = [&](std::int64_t expires_ms) {
    StoreTransaction write;
    write.puts.emplace_back(StoreKey{kOwnerTable, kOwnerPart, kOwnerKey},
                            EncodeOwner(OwnerRow{.holder = DaemonId("d2"),
                                                 .instance = "i2",
                                                 .address = "127.0.0.1:1",
                                                 .epoch = OwnerEpoch(7),
                                                 .expires_ms = expires_ms}));
    fixture.store.Transact(write);
  };
  write_row(1);  // long expired
  const auto read = fixture.ports.read_one;
  int failed_reads = 0;
  fixture.ports.read_one = [&](const StoreKey&, StoreCallback done) {
    ++failed_reads;
    fixture.Post(std::move(done),
                 StoreReply{.outcome = StoreOutcome::kNotDone});
  };
  fixture.task = std::make_unique<OwnerTask>(
      fixture.loop.get(), &fixture.ports, fixture.view.get(), &fixture.metrics,
      fixture.settings, OwnerTaskConfig{},
      [](const std::string&, int, const auto& done) { (void)done; });
  fixture.task->Start();
  REQUIRE(fixture.loop->RunUntil([&] { return failed_reads > 0; }, kLimit));
  int reads = 0;
  bool renewed = false;
  const bool renews = GENERATE(true, false);
  fixture.ports.read_one = [&](const StoreKey& key, StoreCallback done) {
    read(key, std::move(done));
    if (++reads == 1 && renews) {
      // The holder's own write follows the first read of the candidate.
      constexpr std::int64_t kFarFuture = 1'000'000'000'000;
      fixture.loop->Post([&] {
        renewed = fixture.Row().epoch == OwnerEpoch(7);
        if (renewed) {
          write_row(kFarFuture);
        }
      });
    }
  };
  if (renews) {
    REQUIRE(fixture.loop->RunUntil([&] { return reads >= 3; }, kLimit));
    CHECK(renewed);
    CHECK(fixture.Row().epoch == OwnerEpoch(7));
  } else {
    // A holder that is gone does not keep the lease.
    CHECK(fixture.loop->RunUntil([&] { return fixture.task->Owns(); }, kLimit));
    CHECK(fixture.Row().epoch == OwnerEpoch(8));
  }
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
