// Tests of host moves: each fault at each step, races and random schedules.

#include "src/coordination/host_ownership.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>

#include "tests/support/host_fleet.h"

namespace peridot::testing {
namespace {

const HostId kHost("h0");
const BudgetSettings kBudget{HostCount(2), Survive::kNone};

MoveRequest Request(const std::string& id, const std::string& target) {
  return {id, kHost, PoolId(target), "operator-" + id};
}

//-----------------------------------------------------------------------------
// Fault matrix
//-----------------------------------------------------------------------------

enum class Fault {
  kRequestLost,
  kAnswerLost,
  kSentTwice,
  kTakenOver,   // the daemon crashes after the step, another continues
  kTwoDaemons,  // a second daemon runs the same move at the same time
  kOtherMove,   // another operator requests a move of the host
  kHostFails,   // before the step
  kStoreDown,   // before the step, permanently
  kCount,
};
enum class Expect {
  kMissing,    // default of a cell without an entry
  kDone,       // the move ends as requested
  kCancelled,  // the host failed; it is recorded as down
  kLost,       // the other operator's move won
  kUndrained,  // the host stays in service
  kWaits,      // keeps its state until the store is available again
};

constexpr auto kDone = Expect::kDone;
constexpr auto kCancelled = Expect::kCancelled;
// Columns: grant, drain, release, claim, admit.
using Row = std::array<Expect, kMoveSteps>;
constexpr std::array<Row, static_cast<std::size_t>(Fault::kCount)> kMatrix = {{
    {kDone, kDone, kDone, kDone, kDone},                      // kRequestLost
    {kDone, kDone, kDone, kDone, kDone},                      // kAnswerLost
    {kDone, kDone, kDone, kDone, kDone},                      // kSentTwice
    {kDone, kDone, kDone, kDone, kDone},                      // kTakenOver
    {kDone, kDone, kDone, kDone, kDone},                      // kTwoDaemons
    {Expect::kLost, kDone, kDone, kDone, kDone},              // kOtherMove
    {kCancelled, kCancelled, kCancelled, kCancelled, kDone},  // kHostFails
    {Expect::kUndrained, Expect::kUndrained, Expect::kWaits, Expect::kWaits,
     Expect::kWaits},  // kStoreDown
}};
constexpr bool HasEveryCell() {
  for (const Row& row : kMatrix) {
    for (const Expect cell : row) {
      if (cell == Expect::kMissing) {
        return false;
      }
    }
  }
  return true;
}
static_assert(HasEveryCell(), "a fault at a step has no expected outcome");

// Runs until the step is about to be sent.
SendMoveStep RunUntil(MoveRunner& runner, MoveStep step) {
  for (int i = 0; i < 100; ++i) {
    if (!runner.pending_actions.empty()) {
      const auto* send =
          std::get_if<SendMoveStep>(&runner.pending_actions.front());
      if (send != nullptr && send->step == step) {
        return *send;
      }
    }
    runner.Step(false);
  }
  FAIL("the step is not reached");
  return {};
}

void CheckCell(Fault fault, MoveStep step) {
  HostFleet fleet(4, kBudget);
  MoveRunner runner(fleet, Request("m1", "spare"));
  const SendMoveStep send = RunUntil(runner, step);
  MoveRunner other(fleet, Request("m2", "web"));
  switch (fault) {
    case Fault::kRequestLost:
      runner.pending_actions.clear();
      break;
    case Fault::kAnswerLost:
      runner.pending_actions.clear();
      fleet.Apply(send, false);
      break;
    case Fault::kSentTwice:
      fleet.table.keeps_operation_ids = false;
      fleet.Apply(send, false);
      break;
    case Fault::kTakenOver:
      fleet.Apply(send, false);
      runner = MoveRunner(fleet, runner.request);
      break;
    case Fault::kTwoDaemons: {
      MoveRunner second(fleet, runner.request);
      second.RunToEnd();
      REQUIRE(second.ended->outcome == MoveOutcome::kDone);
      break;
    }
    case Fault::kOtherMove:
      other.RunToEnd(3);
      break;
    case Fault::kHostFails:
      fleet.Fail(0, "fail");
      break;
    case Fault::kStoreDown:
      runner.pending_actions.clear();
      break;
    case Fault::kCount:
      return;
  }
  const Expect expected =
      kMatrix[static_cast<std::size_t>(fault)][static_cast<std::size_t>(step)];
  if (fault == Fault::kStoreDown) {
    const HostState state = fleet.Host(kHost).state;
    REQUIRE((state == HostState::kInService) ==
            (expected == Expect::kUndrained));
    return;
  }
  runner.RunToEnd();
  REQUIRE(runner.ended.has_value());
  const HostRow row = fleet.Host(kHost);
  if (expected == Expect::kDone) {
    REQUIRE(runner.ended->outcome == MoveOutcome::kDone);
    REQUIRE(row.pool == PoolId("spare"));
    REQUIRE(row.state == HostState::kInService);
  } else if (expected == Expect::kCancelled) {
    REQUIRE(runner.ended->outcome == MoveOutcome::kCancelled);
    REQUIRE(row.pool == PoolId("web"));
  } else {
    REQUIRE(runner.ended->outcome == MoveOutcome::kLostRace);
    REQUIRE(runner.ended->winner == "operator-m2 m2");
  }
  REQUIRE(fleet.hosts_misplaced == 0);
  REQUIRE(fleet.grants_over_budget == 0);
}

TEST_CASE("each fault at each step of a move has the expected outcome",
          "[host_ownership]") {
  for (int fault = 0; fault < static_cast<int>(Fault::kCount); ++fault) {
    for (int step = 0; step < kMoveSteps; ++step) {
      DYNAMIC_SECTION("fault " << fault << " at step " << step) {
        CheckCell(static_cast<Fault>(fault), static_cast<MoveStep>(step));
      }
    }
  }
}

TEST_CASE("a step checks the host's row and its pool's row",
          "[host_ownership]") {
  // Guards against a step planned from outdated rows that is applied to newer
  // ones.
  const HostFleet fleet(4, kBudget);
  const MoveRequest request = Request("m1", "spare");
  const auto planned =
      PlanStep(MoveStep::kGrant, request, fleet.Rows(kHost), kBudget);
  REQUIRE(planned.value().checks.size() == 2);
  REQUIRE(planned.value().checks[0].key == "host/h0");
  REQUIRE(planned.value().checks[1].key == "pool/web");
}

TEST_CASE("a drain requires a grant that is not revoked", "[host_ownership]") {
  HostFleet fleet(4, kBudget);
  MoveRunner runner(fleet, Request("m1", "spare"));
  RunUntil(runner, MoveStep::kDrain);
  MoveRows rows = fleet.Rows(kHost);
  REQUIRE(
      PlanStep(MoveStep::kDrain, runner.request, rows, kBudget).has_value());
  rows.pool.granted.clear();  // revoked
  REQUIRE(
      PlanStep(MoveStep::kDrain, runner.request, rows, kBudget).error().code ==
      ErrorCode::kConflict);
}

TEST_CASE("a reboot returns the host to its own pool", "[host_ownership]") {
  HostFleet fleet(4, kBudget);
  MoveRunner runner(fleet, Request("m1", "web"));
  runner.RunToEnd();
  REQUIRE(runner.ended->outcome == MoveOutcome::kDone);
  REQUIRE(fleet.Host(kHost).pool == PoolId("web"));
  REQUIRE(fleet.Pool(PoolId("web")).planned.empty());
  REQUIRE(fleet.hosts_misplaced == 0);
}

TEST_CASE("a host is released only after its work has ended",
          "[host_ownership]") {
  // Guards against a release while work is running: the planned stop would
  // abort a request.
  HostFleet fleet(4, kBudget);
  HostMove move(Request("m1", "web"));
  Instant now{};
  const auto apply = [&](const MoveActions& actions) {
    for (const MoveAction& action : actions) {
      if (const auto* send = std::get_if<SendMoveStep>(&action)) {
        fleet.Apply(*send, false);
      }
    }
  };
  for (int i = 0; i < 10; ++i) {
    apply(move.OnRows(fleet.Rows(kHost), kBudget, now));
  }
  REQUIRE(fleet.Host(kHost).state == HostState::kDraining);
  move.OnDrained();
  apply(move.OnRows(fleet.Rows(kHost), kBudget, now));
  REQUIRE(fleet.Host(kHost).state == HostState::kReleased);
}

TEST_CASE("no schedule puts a host in two pools or exceeds the budget",
          "[host_ownership]") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    const HostFleet fleet = RunHostSchedule(seed, false);
    REQUIRE(fleet.hosts_misplaced == 0);
    REQUIRE(fleet.grants_over_budget == 0);
  }
}

TEST_CASE("the same schedules detect a check-then-act implementation",
          "[host_ownership]") {
  std::int64_t misplaced = 0;
  std::int64_t over_budget = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const HostFleet fleet = RunHostSchedule(seed, true);
    misplaced += fleet.hosts_misplaced;
    over_budget += fleet.grants_over_budget;
  }
  REQUIRE(misplaced > 0);
  REQUIRE(over_budget > 0);
}

}  // namespace
}  // namespace peridot::testing
