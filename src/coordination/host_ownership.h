// Moves of hosts between pools, and reboots.
//
// Index:
//   [SECTION] Steps
//   [SECTION] Actions
//   [SECTION] HostMove
//
// The steps of a move are grant, drain, release, claim and admit; a reboot has
// no claim. Each step is one transaction over the host's row and its pool's
// row. The host's row stores the move, so that any daemon can continue it:
// construct HostMove from the row's move id, target and operator. The next step
// depends only on the rows, so a lost answer is resolved by reading them again.
//
// Usage: execute ReadMoveRows, call OnRows(), send the transaction, call
// OnAnswer(), and repeat until MoveEnded. Not thread-safe.

#ifndef SRC_COORDINATION_HOST_OWNERSHIP_H_
#define SRC_COORDINATION_HOST_OWNERSHIP_H_

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "src/coordination/availability_budget.h"
#include "src/state/clock.h"
#include "src/state/table_types.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Steps
//-----------------------------------------------------------------------------

enum class MoveStep {
  kGrant,    // the pool permits one more absent host
  kDrain,    // the absence begins; requires that the grant is not revoked
  kRelease,  // all running work has ended
  kClaim,    // the host's row names the target pool
  kAdmit,    // in service
};
inline constexpr int kMoveSteps = 5;

struct MoveRequest {
  std::string move_id;  // unique over all moves
  HostId host;
  PoolId target;             // the host's current pool: a reboot
  std::string requested_by;  // operator, reported to the loser of a race
};

// Rows of one consistent read.
struct MoveRows {
  HostRow host;
  PoolRow pool;  // the pool that the host's row names
};

// Returns the transaction of one step. kConflict: the rows are not in the state
// that the step starts from. kUnavailable: the budget does not permit it now.
Result<TableTransaction> PlanStep(MoveStep step,
                                  const MoveRequest& request,
                                  MoveRows rows,
                                  const BudgetSettings& budget);

//-----------------------------------------------------------------------------
// [SECTION] Actions
//-----------------------------------------------------------------------------

struct ReadMoveRows {};
struct SendMoveStep {
  MoveStep step = MoveStep::kGrant;
  TableTransaction transaction;
};
// The drain is committed: start no new work on the host, end its running work,
// then call OnDrained().
struct DrainHost {
  HostId host;
};
enum class MoveOutcome {
  kDone,
  kLostRace,  // another move holds the host; see winner
  // The host failed, or the row shows another move. Known limitation: a daemon
  // that was suspended while its own move completed and another one began gets
  // this outcome as well.
  kCancelled,
};
struct MoveEnded {
  MoveOutcome outcome = MoveOutcome::kDone;
  std::string winner;  // operator and move of the winner
};

using MoveAction =
    std::variant<ReadMoveRows, SendMoveStep, DrainHost, MoveEnded>;
using MoveActions = std::vector<MoveAction>;

//-----------------------------------------------------------------------------
// [SECTION] HostMove
//-----------------------------------------------------------------------------

class HostMove {
 public:
  explicit HostMove(MoveRequest request) : request(std::move(request)) {}

  // Returns a read of the rows if nothing is outstanding or the last request is
  // older than retry_after. While the store is down nothing else happens.
  MoveActions OnTick(Duration retry_after, Instant now);
  MoveActions OnRows(const MoveRows& rows,
                     const BudgetSettings& budget,
                     Instant now);
  // Reads the rows again; they decide, regardless of the outcome.
  MoveActions OnAnswer(const CommitAnswer& answer, Instant now);
  // All work on the host has ended after DrainHost.
  void OnDrained() { this->drained = true; }

  bool HasEnded() const { return this->ended; }

 private:
  std::optional<MoveStep> NextStep(const MoveRows& rows) const;
  MoveActions End(MoveOutcome outcome, std::string winner);

  MoveRequest request;
  std::optional<Instant> last_request;
  bool started = false;  // the row has shown this move
  bool draining = false;
  bool drained = false;
  bool ended = false;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_HOST_OWNERSHIP_H_
