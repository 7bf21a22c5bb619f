// Tests of the tables that daemons share: accepting jobs, following a table,
// row formats and admission.

#include "src/daemon/job_store.h"

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/admission.h"
#include "src/daemon/table_follower.h"
#include "src/protocol/job_json.h"
#include "src/transport/event_loop.h"
#include "stand_ins/row_store.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

const Duration kLimit = std::chrono::seconds(5);

AcceptedJob Job(const std::string& id) {
  AcceptedJob job;
  job.id = JobId(id);
  job.queue = "q";
  job.spec.steps = {StepSpec{}};
  return job;
}

// A store that returns prepared replies in order.
struct FakeStore {
  FakeStore() {
    this->loop = std::move(EventLoop::Create(this->clock).value());
    this->ports.transact = [this](StoreTransaction call, StoreCallback done) {
      this->calls.push_back(std::move(call));
      this->Answer(std::move(done));
    };
    this->ports.read = [this](const StoreKey&, std::size_t max_rows,
                              StoreCallback done) {
      this->page_sizes.push_back(max_rows);
      this->Answer(std::move(done));
    };
    this->ports.read_one = [this](const StoreKey&, StoreCallback done) {
      this->Answer(std::move(done));
    };
    this->ports.feed = [this](const std::string&, RowVersion,
                              StoreCallback done) {
      this->Answer(std::move(done));
    };
  }

  // Leaves the call unanswered if no reply is prepared.
  void Answer(StoreCallback done) {
    if (this->replies.empty()) {
      return;
    }
    StoreReply reply = std::move(this->replies.front());
    this->replies.erase(this->replies.begin());
    this->loop->Post([done = std::move(done), reply] { done(reply); });
  }

  SystemClock clock;
  std::unique_ptr<EventLoop> loop;
  FleetPorts ports;
  std::vector<StoreReply> replies;
  std::vector<StoreTransaction> calls;
  std::vector<std::size_t> page_sizes;
};

AcceptResult Accept(FakeStore* store, const std::string& id) {
  JobWriter writer(store->loop.get(), &store->ports, JobWriterConfig{});
  std::optional<AcceptResult> result;
  writer.Accept(Job(id), [&](AcceptResult answer) { result = answer; });
  store->loop->RunUntil([&] { return result.has_value(); }, kLimit);
  REQUIRE(result);
  return *result;
}

TEST_CASE("a repeated submission of a stored job is accepted", "[job_store]") {
  // Guards against a repeated submission that stores a second job.
  FakeStore store;
  StoreReply conflict{.outcome = StoreOutcome::kConflict};
  conflict.rows.push_back(
      StoreRow{StoreKey{kJobTable, "0", "a0"}, "", RowVersion(3), false});
  store.replies = {conflict};
  CHECK(Accept(&store, "a0") == AcceptResult::kAccepted);
  CHECK(store.calls.at(0).conditions.at(0).second == RowVersion(0));
}

TEST_CASE("a job that the store refused is reported as not run",
          "[job_store]") {
  FakeStore store;
  store.replies.assign(20, StoreReply{.outcome = StoreOutcome::kNotDone});
  CHECK(Accept(&store, "a0") == AcceptResult::kNotRun);
}

TEST_CASE("a refusal after an unanswered write is reported as unknown",
          "[job_store]") {
  // Guards against reporting "not run" for a job that the unanswered write has
  // stored.
  FakeStore store;
  store.replies.assign(20, StoreReply{.outcome = StoreOutcome::kNotDone});
  store.replies.front().outcome = StoreOutcome::kUnknown;
  CHECK(Accept(&store, "a0") == AcceptResult::kUnknown);
}

// Two daemons that write to one store; the writes of the second one are held
// until they are delivered.
struct TwoWriters {
  TwoWriters() {
    this->ports.transact = [this](const StoreTransaction& call,
                                  StoreCallback done) {
      const StoreReply reply = this->store.Transact(call);
      this->loop->Post([done = std::move(done), reply] { done(reply); });
    };
    this->late_ports.transact = [this](StoreTransaction call,
                                       StoreCallback done) {
      this->held.emplace_back(std::move(call), std::move(done));
    };
  }

  // Performs the held writes, and those that follow from them, until the
  // result is known.
  AcceptResult Deliver(const std::optional<AcceptResult>& result) {
    this->loop->RunUntil(
        [&] {
          for (auto& [call, done] : std::exchange(this->held, {})) {
            this->ports.transact(call, std::move(done));
          }
          return result.has_value();
        },
        kLimit);
    REQUIRE(result);
    return *result;
  }

  AcceptResult Refuse(const std::string& id) {
    std::optional<AcceptResult> result;
    this->first.Refuse(JobId(id), [&](AcceptResult is) { result = is; });
    return this->Deliver(result);
  }

  AcceptedJob Stored(const std::string& id) {
    const StoreKey key{kJobTable, PartOf(JobId(id)), id};
    return DecodeJob(this->store.Read(key, "", 1).rows.at(0).value).value();
  }

  SystemClock clock;
  std::unique_ptr<EventLoop> loop =
      std::move(EventLoop::Create(this->clock).value());
  RowStore store;
  FleetPorts ports;
  FleetPorts late_ports;
  std::vector<std::pair<StoreTransaction, StoreCallback>> held;
  JobWriter first{loop.get(), &ports, JobWriterConfig{}};
  JobWriter second{loop.get(), &late_ports, JobWriterConfig{}};
};

TEST_CASE("a refused job is not stored by an earlier submission",
          "[job_store]") {
  // Guards against a refusal that is untrue: another daemon is still writing an
  // earlier submission of the id whose caller got no answer.
  TwoWriters writers;
  std::optional<AcceptResult> late;
  const auto accept = [&] {
    writers.second.Accept(Job("a0"), [&](AcceptResult is) { late = is; });
  };
  SECTION("the first submission") {
    accept();
  }
  SECTION("a submission after an earlier refusal") {
    REQUIRE(writers.Refuse("a0") == AcceptResult::kRefused);
    writers.second.OnStoreVersion(writers.store.Version());
    accept();
  }
  // The held write must not be delivered by the refusal.
  auto held = std::exchange(writers.held, {});
  REQUIRE(writers.Refuse("a0") == AcceptResult::kRefused);
  writers.held = std::move(held);
  CHECK(writers.Deliver(late) == AcceptResult::kRefused);
  CHECK(writers.Stored("a0").refused);
}

TEST_CASE("an accepted job is not refused", "[job_store]") {
  TwoWriters writers;
  std::optional<AcceptResult> result;
  writers.second.Accept(Job("a0"), [&](AcceptResult is) { result = is; });
  REQUIRE(writers.Deliver(result) == AcceptResult::kAccepted);
  CHECK(writers.Refuse("a0") == AcceptResult::kAccepted);
  CHECK_FALSE(writers.Stored("a0").refused);
}

TEST_CASE("a refused job is accepted when it is submitted again",
          "[job_store]") {
  // Guards against an id that stays refused, and against jobs of the same write
  // that fail with it.
  TwoWriters writers;
  REQUIRE(writers.Refuse("a0") == AcceptResult::kRefused);
  writers.second.OnStoreVersion(writers.store.Version());
  std::optional<AcceptResult> first;
  std::optional<AcceptResult> again;
  std::optional<AcceptResult> other;
  writers.second.Accept(Job("e0"), [&](AcceptResult is) { first = is; });
  writers.second.Accept(Job("a0"), [&](AcceptResult is) { again = is; });
  writers.second.Accept(Job("i0"), [&](AcceptResult is) { other = is; });
  CHECK(writers.Deliver(first) == AcceptResult::kAccepted);
  CHECK(writers.Deliver(again) == AcceptResult::kAccepted);
  CHECK(writers.Deliver(other) == AcceptResult::kAccepted);
  CHECK_FALSE(writers.Stored("a0").refused);
  CHECK(writers.Stored("i0").queue == "q");
}

TEST_CASE("a cancelled id stays refused", "[job_store]") {
  // Guards against a submission that is stored after its cancellation was
  // acknowledged, whichever versions of the store its daemon knew (review/9).
  TwoWriters writers;
  const auto cancel = [&] {
    std::optional<AcceptResult> result;
    writers.first.CancelUnstored(JobId("a0"),
                                 [&](AcceptResult is) { result = is; });
    return writers.Deliver(result);
  };
  const auto accept = [&] {
    std::optional<AcceptResult> result;
    writers.second.Accept(Job("a0"), [&](AcceptResult is) { result = is; });
    return writers.Deliver(result);
  };
  SECTION("without an earlier row") {
    REQUIRE(cancel() == AcceptResult::kCancelled);
  }
  SECTION("after a refusal") {
    REQUIRE(writers.Refuse("a0") == AcceptResult::kRefused);
    REQUIRE(cancel() == AcceptResult::kCancelled);
  }
  SECTION("after a submission was stored") {
    REQUIRE(accept() == AcceptResult::kAccepted);
    CHECK(cancel() == AcceptResult::kAccepted);
    CHECK_FALSE(writers.Stored("a0").refused);
    return;
  }
  writers.second.OnStoreVersion(writers.store.Version());
  CHECK(accept() == AcceptResult::kCancelled);
  CHECK(writers.Refuse("a0") == AcceptResult::kCancelled);
  CHECK(cancel() == AcceptResult::kCancelled);
  CHECK(writers.Stored("a0").cancelled);
}

TEST_CASE("a refusal is no job to other calls", "[job_store]") {
  // Guards against a refused job that is reported as cancelled, or cancelled.
  FakeStore store;
  const std::string row = EncodeJob(AcceptedJob{
      .id = JobId("a0"), .closed_as = JobState::kCancelled, .refused = true});
  StoreReply reply{.outcome = StoreOutcome::kOk};
  reply.rows.push_back(
      StoreRow{StoreKey{kJobTable, "0", "a0"}, row, RowVersion(3), false});
  store.replies = {reply, reply};
  std::vector<LookUpResult> results;
  LookUpState(store.ports, JobId("a0"), [&](LookUpResult result, JobState) {
    results.push_back(result);
  });
  StoreCancel(store.ports, JobId("a0"),
              [&](LookUpResult result) { results.push_back(result); });
  store.loop->RunUntil([&] { return results.size() == 2; }, kLimit);
  CHECK(results == std::vector(2, LookUpResult::kUnknownJob));
  CHECK(store.calls.empty());
}

TEST_CASE("a job that exceeds a row of the store is refused", "[job_store]") {
  // Guards against a job that the store rejects together with all other jobs of
  // the same write.
  FakeStore store;
  store.replies = {StoreReply{.outcome = StoreOutcome::kOk}};
  JobWriter writer(
      store.loop.get(), &store.ports,
      JobWriterConfig{.store = {.max_row_bytes = 400, .max_batch_bytes = 500}});
  AcceptedJob large = Job("a0");
  large.spec.payload = std::string(400, 'x');
  std::optional<AcceptResult> result;
  writer.Accept(large, [&](AcceptResult answer) { result = answer; });
  store.loop->RunUntil([&] { return result.has_value(); }, kLimit);
  CHECK(result == AcceptResult::kTooLarge);
  CHECK(store.calls.empty());
}

TEST_CASE("jobs beyond the size of a call wait for the next one",
          "[job_store]") {
  // Guards against a write of many jobs that the store rejects as a whole.
  FakeStore store;
  store.replies.assign(3, StoreReply{.outcome = StoreOutcome::kOk});
  JobWriter writer(
      store.loop.get(), &store.ports,
      JobWriterConfig{.store = {.max_row_bytes = 400, .max_batch_bytes = 500}});
  int accepted = 0;
  for (const char* id : {"a0", "b0", "c0", "d0", "e0"}) {
    AcceptedJob job = Job(id);
    job.spec.payload = std::string(100, 'x');
    writer.Accept(job, [&](AcceptResult answer) {
      accepted += answer == AcceptResult::kAccepted ? 1 : 0;
    });
  }
  store.loop->RunUntil([&] { return accepted == 5; }, kLimit);
  CHECK(accepted == 5);
  for (const StoreTransaction& call : store.calls) {
    std::size_t bytes = 0;
    for (const auto& [key, value] : call.puts) {
      bytes += value.size();
    }
    CHECK(bytes <= 500);
  }
}

TEST_CASE("repeating an unanswered write resolves its outcome", "[job_store]") {
  FakeStore store;
  StoreReply conflict{.outcome = StoreOutcome::kConflict};
  conflict.rows.push_back(
      StoreRow{StoreKey{kJobTable, "0", "a0"}, "", RowVersion(3), false});
  store.replies = {StoreReply{.outcome = StoreOutcome::kUnknown}, conflict};
  CHECK(Accept(&store, "a0") == AcceptResult::kAccepted);
}

TEST_CASE("a follower reports rows removed while the history was lost",
          "[job_store]") {
  // Guards against an endpoint or a zone evacuation that stays in effect after
  // its row was removed, because the removal is missing from the feed.
  FakeStore store;
  const auto row = [](const std::string& key, std::uint64_t version) {
    return StoreRow{StoreKey{"t", "", key}, "v", RowVersion(version), false};
  };
  StoreReply first{.outcome = StoreOutcome::kOk,
                   .rows = {row("a", 1), row("b", 2)},
                   .version = RowVersion(2)};
  StoreReply second{.outcome = StoreOutcome::kOk,
                    .rows = {row("b", 2)},
                    .version = RowVersion(9)};
  store.replies = {first, StoreReply{.outcome = StoreOutcome::kHistoryLost},
                   second};
  std::vector<std::string> removed;
  int synced = 0;
  TableFollower follower(
      store.loop.get(), &store.ports,
      TableFollowerConfig{.table = "t", .parts = {""}},
      TableFollower::Handlers{.on_row =
                                  [&](const StoreRow& changed) {
                                    if (changed.removed) {
                                      removed.push_back(changed.key.key);
                                    }
                                  },
                              .on_batch = [] {},
                              .on_synced = [&] { ++synced; }});
  follower.Start();
  store.loop->RunUntil([&] { return synced == 2; }, kLimit);
  CHECK(removed == std::vector<std::string>{"a"});
  CHECK(follower.Version() == RowVersion(9));
}

TEST_CASE("an unanswered page is requested again with fewer rows",
          "[job_store]") {
  // Guards against an owner that never finishes loading: on a slow link, a page
  // of a megabyte takes longer than the timeout of the call, however often it
  // is retried.
  FakeStore store;
  store.replies.assign(9, StoreReply{.outcome = StoreOutcome::kUnknown});
  store.replies.push_back(StoreReply{.outcome = StoreOutcome::kOk});
  int synced = 0;
  TableFollower follower(
      store.loop.get(), &store.ports,
      TableFollowerConfig{
          .table = "t", .parts = {""}, .retry_delay = milliseconds(1)},
      TableFollower::Handlers{.on_row = [](const StoreRow&) {},
                              .on_batch = [] {},
                              .on_synced = [&] { ++synced; }});
  follower.Start();
  store.loop->RunUntil([&] { return synced == 1; }, kLimit);
  CHECK(synced == 1);
  CHECK(store.page_sizes.front() == 100);
  CHECK(store.page_sizes.back() == 10);
}

TEST_CASE("a closed row reports its final state and is not cancelled",
          "[job_store]") {
  // Guards against a write to a row that was closed, and against a finished job
  // that is reported as unknown.
  FakeStore store;
  const JobId id("0123456789abcdef");
  StoreReply found{.outcome = StoreOutcome::kOk};
  found.rows.push_back(StoreRow{
      StoreKey{kJobTable, PartOf(id), id.value},
      EncodeJob(AcceptedJob{.id = id, .closed_as = JobState::kCompleted}),
      RowVersion(3), false});
  store.replies = {found, found};
  std::optional<JobState> state;
  LookUpState(store.ports, id, [&](LookUpResult result, JobState read) {
    CHECK(result == LookUpResult::kFound);
    state = read;
  });
  std::optional<LookUpResult> cancelled;
  StoreCancel(store.ports, id,
              [&](LookUpResult result) { cancelled = result; });
  store.loop->RunUntil([&] { return state && cancelled; }, kLimit);
  CHECK(state == JobState::kCompleted);
  CHECK(cancelled == LookUpResult::kFound);
  CHECK(store.calls.empty());
  CHECK_FALSE(DecodeJob(R"({"id":"a","closed_as":"running"})"));
}

TEST_CASE("rows are unchanged after encoding and decoding", "[job_store]") {
  AcceptedJob job = Job("0123456789abcdef");
  job.spec.payload = "x\"\n";
  job.max_attempts = 3;
  job.spec.steps[0].long_running = true;
  job.spec.steps[0].max_unavailable = 2;
  const Result<AcceptedJob> decoded = DecodeJob(EncodeJob(job));
  REQUIRE(decoded);
  CHECK(decoded.value().spec.payload == job.spec.payload);
  CHECK(decoded.value().max_attempts == 3);
  CHECK(decoded.value().spec.steps[0].max_unavailable == 2);

  JobProgress progress{.id = job.id, .state = JobState::kRunning};
  const TaskName task{job.id, 0, 0, 3};
  progress.done = {task};
  progress.failures[task] = {1, 1025};
  progress.checkpoints[task] = "cp";
  const Result<JobProgress> read = DecodeProgress(EncodeProgress(progress));
  REQUIRE(read);
  CHECK(read.value().failures == progress.failures);
  CHECK(read.value().done == progress.done);
  CHECK(read.value().checkpoints == progress.checkpoints);
  CHECK(read.value().block == ProgressBlock{});
  progress.completed_occurrences = 128;
  CHECK(
      DecodeProgress(EncodeProgress(progress)).value().completed_occurrences ==
      128);
  progress.block = ProgressBlock{false, 3, 1, 2};
  CHECK(DecodeProgress(EncodeProgress(progress)).value().block ==
        progress.block);
  CHECK(ProgressKey(job.id, progress.block).key == job.id.value + ".3.1.2");

  std::vector<UsedEndpoint> used = {
      {EndpointId("e"), ServiceId("s"), Resources{1, 2, 3}, 40},
      {EndpointId("f"), ServiceId("s"), Resources{1, 2, 3}, 0}};
  used[0].unanswered_starts = {
      UnansweredStart{TaskName{JobId("j"), 3, 1, 2}, 1025, 12300},
      UnansweredStart{TaskName{JobId("j"), 3, 1, 3}, 1025, 900, true}};
  CHECK(DecodeUsedEndpoints(EncodeUsedEndpoints(used)).value() == used);
  const QueueMoves moves{.unknown = true,
                         .services = {{"q", {ServiceId("s"), ServiceId("t")}}}};
  CHECK(DecodeQueueMoves(EncodeQueueMoves(moves, 1000)).value() == moves);
  CHECK(DecodeQueueMoves(EncodeQueueMoves(moves, 20)).value() ==
        QueueMoves{.unknown = true});
  const WaveRow wave{.progress = {.name = "3", .begun = {HostId("h")}},
                     .first_seen_ms = 1234};
  const Result<WaveRow> read_wave = DecodeWave(EncodeWave(wave));
  REQUIRE(read_wave);
  CHECK(read_wave.value().progress.begun == wave.progress.begun);
  CHECK(read_wave.value().first_seen_ms == 1234);
  CHECK(DecodeWave(R"({"name":"3","begun":[],"completed":false})"));
  const std::map<HostId, std::int64_t> orders = {{HostId("h"), 77}};
  CHECK(DecodeHostOrders(EncodeHostOrders(orders)).value() == orders);
  for (const char* bad : {"", "{}", "[1]", R"({"id":1})"}) {
    CAPTURE(bad);
    CHECK_FALSE(DecodeJob(bad));
    CHECK_FALSE(DecodeProgress(bad));
    CHECK_FALSE(DecodeOwner(bad));
    CHECK_FALSE(DecodeWave(bad));
  }
}

TEST_CASE("the longest prefix of the host selects the queue", "[job_store]") {
  // Guards against a job that is admitted to another team's queue because a
  // shorter prefix or another host matches.
  OperatorConfig config;
  config.version = Revision(1);
  config.routes = {{"short", "a.example", "/x/", false},
                   {"long", "a.example", "/x/y/", false},
                   {"open", "b.example", "/x/", true}};
  config.keys["k"] = TeamId("t");
  const CallAdmission admitted =
      Admit(config, "A.example:80", "/x/y/0123", "k");
  REQUIRE(admitted.result == AdmissionResult::kAdmitted);
  CHECK(admitted.route->queue == "long");
  CHECK(admitted.rest == "0123");
  CHECK(admitted.team == TeamId("t"));
  CHECK(Admit(config, "a.example", "/x/1", "gone").result ==
        AdmissionResult::kBadKey);
  CHECK(Admit(config, "b.example", "/x/1", "").result ==
        AdmissionResult::kAdmitted);
  CHECK(Admit(config, "c.example", "/x/1", "k").result ==
        AdmissionResult::kNoQueue);
  CHECK(Admit(OperatorConfig{}, "a.example", "/x/1", "k").result ==
        AdmissionResult::kNoConfig);
}

}  // namespace
}  // namespace peridot
