// Moves and reboots of hosts. docs/design.md, section 12; docs/decisions/0005.
//
// Index:
//   [SECTION] Steps
//   [SECTION] Actions
//   [SECTION] HostMove
//
// A move is grant, drain, release, claim, admit; a reboot has no claim. Each
// step is one transaction over the host's row and the rows of its pools. The
// row holds the move, so that any daemon can continue it: construct HostMove
// from the row's move id, target and operator. The next step is derived from
// the row alone; a lost answer is resolved by reading the row again.
//
// Use: carry out ReadMoveRows, feed OnRows(), send the transaction, feed
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
  kGrant,    // the pool permits one more absence
  kDrain,    // the absence begins; the grant must still be there
  kRelease,  // all running work has ended
  kClaim,    // the host's row names the target pool
  kAdmit,    // in service
};
inline constexpr int kMoveSteps = 5;

struct MoveRequest {
  std::string move_id;       // unique over all moves
  HostId host;               // default: empty
  PoolId target;             // the host's own pool: a reboot
  std::string requested_by;  // operator, told to those who lose a race
};

// The rows of one consistent read.
struct MoveRows {
  HostRow host;
  PoolRow pool;  // that the host's row names
};

// The transaction of one step. kConflict: the rows are not in the state that
// the step starts from. kUnavailable: the budget does not permit it now.
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
// The drain is committed: stop new work there and end what runs, then call
// OnDrained().
struct DrainHost {
  HostId host;
};
enum class MoveOutcome {
  kDone,
  kLostRace,  // another move holds the host; see winner
  // The host failed, or the row shows another move. Known shortcoming: a
  // holder that slept through its own move's end and another move sees this.
  kCancelled,
};
struct MoveEnded {
  MoveOutcome outcome = MoveOutcome::kDone;
  std::string winner;  // default: empty; operator and move of the winner
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

  // Reads the rows when nothing is outstanding or the last request is older
  // than retry_after. With the store down nothing else happens.
  MoveActions OnTick(Duration retry_after, Instant now);
  MoveActions OnRows(const MoveRows& rows,
                     const BudgetSettings& budget,
                     Instant now);
  // Whatever the outcome, the rows decide.
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
