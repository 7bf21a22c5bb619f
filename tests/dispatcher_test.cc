// Tests of the dispatcher: which starts it refuses and what it reports.

#include "src/coordination/dispatcher.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kStart = Instant{} + seconds(100);
const EndpointId kEndpoint("e1");
const QueueId kQueue("web.hourly");
const TeamId kTeam("counts");
const KeyId kKey("k1");

struct FakeSettings {
  QueueSettings queue{.id = kQueue,
                      .pool = PoolId("web"),
                      .team = kTeam,
                      .deadline = seconds(10),
                      .max_attempts = 2,
                      .run_time = milliseconds(100),
                      .slots_per_task = SlotCount(1)};
  std::map<KeyId, TeamId> keys{{kKey, kTeam}, {KeyId("k2"), TeamId("other")}};
  std::set<std::string> zones_out;
  Instant proof_expiry = kStart + seconds(60);

  const QueueSettings* FindQueue(std::string_view name) const {
    return name == this->queue.id.value ? &this->queue : nullptr;
  }
  bool IsZoneIn(std::string_view zone) const {
    return !this->zones_out.contains(std::string(zone));
  }
  const TeamId* TeamOfKey(const KeyId& key) const {
    const auto found = this->keys.find(key);
    return found == this->keys.end() ? nullptr : &found->second;
  }
  Instant ProofExpiry() const { return this->proof_expiry; }
};

struct FakePermits {
  std::int64_t free = 1;

  bool TryAcquire(const TeamId& /*team*/) {
    if (this->free == 0) {
      return false;
    }
    --this->free;
    return true;
  }
  void Release(const TeamId& /*team*/) { ++this->free; }
};

struct Fixture {
  FakeSettings settings;
  FakePermits permits;
  Dispatcher<FakeSettings, FakePermits> dispatcher{&settings, &permits, "d1.1"};
  std::uint64_t next_token = 1;

  Fixture() { this->Report("boot1", kStart); }

  void Report(const std::string& boot, Instant now) {
    this->dispatcher.LeaseOf(kEndpoint).OnReport({.lease = LeaseId("l1"),
                                                  .boot = BootId(boot),
                                                  .clock_us = 5'000'000,
                                                  .slots = SlotCount(8)},
                                                 now, now);
  }

  static TaskSpec Spec(const std::string& id, bool idempotent = false) {
    return {.id = TaskId(id),
            .queue = kQueue,
            .key = kKey,
            .idempotent = idempotent,
            .deadline = kStart + seconds(10)};
  }

  void Grant(Instant now = kStart) {
    this->dispatcher.OnGrant({.owner = {DaemonId("d1"), Incarnation(1)},
                              .token = this->next_token++,
                              .endpoint = kEndpoint,
                              .zone = ZoneId("z1"),
                              .queue = kQueue,
                              .team = kTeam,
                              .expires = now + milliseconds(500)},
                             now);
  }

  template <typename Action>
  std::vector<Action> Take() {
    std::vector<Action> found;
    for (const DispatchAction& action : this->dispatcher.TakeActions()) {
      if (const auto* match = std::get_if<Action>(&action)) {
        found.push_back(*match);
      }
    }
    return found;
  }

  // Submits one task, grants a slot and returns its attempt.
  StartAttempt StartOne(const TaskSpec& spec) {
    REQUIRE(this->dispatcher.OnSubmit(spec, kStart) == StartBlock::kNone);
    this->Grant();
    const auto starts = this->Take<StartAttempt>();
    REQUIRE(starts.size() == 1);
    return starts.front();
  }
};

TEST_CASE("a granted slot starts the oldest waiting task", "[dispatcher]") {
  Fixture f;
  f.permits.free = 2;
  f.dispatcher.OnSubmit(Fixture::Spec("t1"), kStart);
  f.dispatcher.OnSubmit(Fixture::Spec("t2"), kStart);
  f.Grant();
  const auto starts = f.Take<StartAttempt>();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].task == TaskId("t1"));
}

TEST_CASE("admission returns the reason for a rejected queue or key",
          "[dispatcher]") {
  Fixture f;
  TaskSpec spec = Fixture::Spec("t1");
  spec.queue = QueueId("web.none");
  REQUIRE(f.dispatcher.OnSubmit(spec, kStart) == StartBlock::kUnknownQueue);
  spec = Fixture::Spec("t1");
  spec.key = KeyId();
  REQUIRE(f.dispatcher.OnSubmit(spec, kStart) == StartBlock::kKeyMissing);
  spec.key = KeyId("k9");
  REQUIRE(f.dispatcher.OnSubmit(spec, kStart) == StartBlock::kKeyUnknown);
  spec.key = KeyId("k2");
  REQUIRE(f.dispatcher.OnSubmit(spec, kStart) == StartBlock::kKeyWrongTeam);
  f.settings.queue.open = true;
  REQUIRE(f.dispatcher.OnSubmit(spec, kStart) == StartBlock::kNone);
}

TEST_CASE("a waiting task does not start after its key is withdrawn",
          "[dispatcher]") {
  // Guards against a key that is checked at admission only.
  Fixture f;
  f.dispatcher.OnSubmit(Fixture::Spec("t1"), kStart);
  f.settings.keys.clear();
  f.Grant();
  const auto actions = f.dispatcher.TakeActions();
  for (const DispatchAction& action : actions) {
    REQUIRE_FALSE(std::holds_alternative<StartAttempt>(action));
  }
  REQUIRE(std::any_of(actions.begin(), actions.end(), [](const auto& action) {
    const auto* finish = std::get_if<FinishTask>(&action);
    return finish != nullptr && finish->ran == Ran::kNo &&
           finish->block == StartBlock::kKeyUnknown;
  }));
}

TEST_CASE(
    "no task starts on stale settings, in a zone that is out, on a leaving "
    "endpoint or without a permit",
    "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnSubmit(Fixture::Spec("t1"), kStart);
  StartBlock expected = StartBlock::kNone;
  SECTION("stale proof") {
    f.settings.proof_expiry = kStart;
    expected = StartBlock::kSettingsStale;
  }
  SECTION("zone out") {
    f.settings.zones_out.insert("z1");
    expected = StartBlock::kZoneOut;
  }
  SECTION("leaving") {
    f.dispatcher.LeaseOf(kEndpoint).SetListedLeaving(true);
    expected = StartBlock::kEndpointLeaving;
  }
  SECTION("no permit") {
    f.permits.free = 0;
    expected = StartBlock::kTeamLimit;
  }
  f.Grant();
  REQUIRE(f.Take<StartAttempt>().empty());
  REQUIRE(f.dispatcher.LastBlock(TaskId("t1")) == expected);
}

TEST_CASE(
    "no task starts past its deadline, on a lapsed lease or without a recent "
    "answer of the endpoint",
    "[dispatcher]") {
  // Guards against a grant that arrives late: no tick has run since the task,
  // the lease or the last answer expired.
  Fixture f;
  f.dispatcher.OnSubmit(Fixture::Spec("t1"), kStart);
  SECTION("deadline") {
    f.Report("boot1", kStart + seconds(10));
    f.Grant(kStart + seconds(10));
    REQUIRE(f.Take<StartAttempt>().empty());
  }
  SECTION("lapsed lease") {
    f.Grant(kStart + EndpointLeaseConfig{}.lease);
    REQUIRE(f.Take<StartAttempt>().empty());
    REQUIRE(f.dispatcher.LastBlock(TaskId("t1")) == StartBlock::kEndpointLease);
  }
  SECTION("no recent answer") {
    f.Grant(kStart + EndpointLeaseConfig{}.max_answer_age + milliseconds(1));
    REQUIRE(f.Take<StartAttempt>().empty());
    REQUIRE(f.dispatcher.LastBlock(TaskId("t1")) ==
            StartBlock::kEndpointNotProven);
  }
}

TEST_CASE("a start carries a deadline that is within the proof of the settings",
          "[dispatcher]") {
  // Guards against a start that the endpoint receives after the settings
  // expired, because the daemon paused between the check and the send.
  Fixture f;
  f.settings.proof_expiry = kStart + seconds(1);
  const StartAttempt start = f.StartOne(Fixture::Spec("t1"));
  REQUIRE(start.not_after_us <= 5'000'000 + 1'000'000);
  REQUIRE(start.not_after_us > 5'000'000 + 900'000);
}

TEST_CASE("a non-idempotent task with an unknown outcome is never sent again",
          "[dispatcher]") {
  Fixture f;
  const StartAttempt start = f.StartOne(Fixture::Spec("t1"));
  f.dispatcher.OnReply(start.task, start.attempt, AttemptReply::kNoAnswer,
                       kStart);
  REQUIRE(f.Take<FenceAttempt>().size() == 1);
  f.dispatcher.OnFence(start.task, start.attempt, FenceReply::kUnknown, kStart);
  const auto ends = f.Take<FinishTask>();
  REQUIRE(ends.size() == 1);
  REQUIRE(ends[0].outcome == TaskOutcome::kUnknown);
  REQUIRE(ends[0].ran == Ran::kUnknown);
  f.Grant();
  REQUIRE(f.Take<StartAttempt>().empty());
}

TEST_CASE("a fenced attempt that never started is retried", "[dispatcher]") {
  Fixture f;
  const StartAttempt start = f.StartOne(Fixture::Spec("t1"));
  f.dispatcher.OnReply(start.task, start.attempt, AttemptReply::kNoAnswer,
                       kStart);
  f.dispatcher.OnFence(start.task, start.attempt, FenceReply::kNeverStarted,
                       kStart);
  f.dispatcher.OnTick(kStart + milliseconds(20));  // past the first delay
  f.Grant();
  const auto starts = f.Take<StartAttempt>();
  REQUIRE(starts.size() == 1);
  REQUIRE(starts[0].attempt != start.attempt);
}

TEST_CASE("a failed task is retried elsewhere only if it is idempotent",
          "[dispatcher]") {
  const bool idempotent = GENERATE(false, true);
  Fixture f;
  const StartAttempt start = f.StartOne(Fixture::Spec("t1", idempotent));
  f.dispatcher.OnReply(start.task, start.attempt, AttemptReply::kFailed,
                       kStart);
  REQUIRE(f.Take<FinishTask>().size() == (idempotent ? 0 : 1));
  f.dispatcher.OnTick(kStart + milliseconds(20));
  REQUIRE(f.dispatcher.Waiting(kQueue) == (idempotent ? 1 : 0));
  f.Grant();
  // The only endpoint has failed the task, so it is not used again.
  REQUIRE(f.Take<StartAttempt>().empty());
}

TEST_CASE(
    "a task that ends at its deadline holds its permit until its attempt "
    "has ended",
    "[dispatcher]") {
  // Guards against more running tasks than the limit after timeouts.
  Fixture f;
  const StartAttempt start = f.StartOne(Fixture::Spec("t1"));
  const Instant late = kStart + seconds(11);
  f.dispatcher.OnTick(late);
  const auto actions = f.dispatcher.TakeActions();
  REQUIRE(std::any_of(actions.begin(), actions.end(), [](const auto& action) {
    return std::holds_alternative<StopAttempt>(action);
  }));
  REQUIRE(std::any_of(actions.begin(), actions.end(), [](const auto& action) {
    const auto* finish = std::get_if<FinishTask>(&action);
    return finish != nullptr && finish->outcome == TaskOutcome::kUnknown;
  }));
  REQUIRE(f.permits.free == 0);
  f.dispatcher.OnReply(start.task, start.attempt, AttemptReply::kStopped, late);
  REQUIRE(f.permits.free == 1);
  REQUIRE(f.Take<ReturnSlot>().size() == 1);
}

TEST_CASE("a waiting task that reaches its deadline is reported as not run",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnSubmit(Fixture::Spec("t1"), kStart);
  f.dispatcher.OnTick(kStart + seconds(11));
  const auto ends = f.Take<FinishTask>();
  REQUIRE(ends.size() == 1);
  REQUIRE(ends[0].outcome == TaskOutcome::kNotRun);
  REQUIRE(ends[0].ran == Ran::kNo);
}

TEST_CASE("a task that ends while its queue is blocked reports the reason",
          "[dispatcher]") {
  Fixture f;
  f.dispatcher.OnSubmit(Fixture::Spec("t1"), kStart);
  f.dispatcher.OnQueueBlocked(kQueue, StartBlock::kTeamLimit);
  f.dispatcher.OnTick(kStart + seconds(11));
  REQUIRE(f.Take<FinishTask>().at(0).block == StartBlock::kTeamLimit);
}

TEST_CASE("a late or mismatched reply does not end another attempt",
          "[dispatcher]") {
  Fixture f;
  const StartAttempt start = f.StartOne(Fixture::Spec("t1"));
  f.dispatcher.OnReply(start.task, AttemptId("d1.1.999"), AttemptReply::kDone,
                       kStart);
  REQUIRE(f.Take<FinishTask>().empty());
  f.dispatcher.OnReply(TaskId("t9"), start.attempt, AttemptReply::kNoAnswer,
                       kStart);
  REQUIRE(f.permits.free == 0);
}

TEST_CASE("a journaled non-idempotent attempt waits for its intent",
          "[dispatcher]") {
  Fixture f;
  TaskSpec spec = Fixture::Spec("t1");
  spec.journaled = true;
  f.dispatcher.OnSubmit(spec, kStart);
  f.Grant();
  auto actions = f.dispatcher.TakeActions();
  REQUIRE(actions.size() == 1);
  REQUIRE(std::holds_alternative<RecordIntent>(actions[0]));
  SECTION("committed: the attempt is sent") {
    f.dispatcher.OnIntentRecorded(TaskId("t1"), true, kStart);
    REQUIRE(f.Take<StartAttempt>().size() == 1);
  }
  SECTION("key withdrawn meanwhile: nothing is sent, the permit is free") {
    f.settings.keys.clear();
    f.dispatcher.OnIntentRecorded(TaskId("t1"), true, kStart);
    REQUIRE(f.Take<StartAttempt>().empty());
    REQUIRE(f.permits.free == 1);
  }
  SECTION("cancelled meanwhile: nothing is sent") {
    f.dispatcher.OnCancel(TaskId("t1"), kStart);
    f.dispatcher.OnIntentRecorded(TaskId("t1"), true, kStart);
    const auto ends = f.Take<FinishTask>();
    REQUIRE(ends.size() == 1);
    REQUIRE(ends[0].outcome == TaskOutcome::kCancelled);
  }
}

TEST_CASE(
    "an attempt on an unreachable endpoint holds its permit until the lease "
    "has certainly lapsed",
    "[dispatcher]") {
  Fixture f;
  const StartAttempt start = f.StartOne(Fixture::Spec("t1"));
  f.dispatcher.OnReply(start.task, start.attempt, AttemptReply::kNoAnswer,
                       kStart);
  f.dispatcher.OnFence(start.task, start.attempt, FenceReply::kNoAnswer,
                       kStart + seconds(1));
  REQUIRE(f.permits.free == 0);
  f.dispatcher.OnFence(start.task, start.attempt, FenceReply::kNoAnswer,
                       kStart + seconds(3));
  REQUIRE(f.permits.free == 1);
}

}  // namespace
}  // namespace peridot
