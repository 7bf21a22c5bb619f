#include "src/coordination/host_ownership.h"

#include <utility>

namespace peridot {

namespace {

Error WrongState(const MoveRequest& request, const std::string& message) {
  return MakeError(ErrorCode::kConflict, "move", request.host.value, message);
}

bool Holds(const HostRow& host, const MoveRequest& request, HostState state) {
  return host.move_id == request.move_id && host.state == state;
}

}  // namespace

Result<TableTransaction> PlanStep(MoveStep step,
                                  const MoveRequest& request,
                                  MoveRows rows,
                                  const BudgetSettings& budget) {
  HostRow& host = rows.host;
  PoolRow& pool = rows.pool;
  const HostId id = host.host;
  const bool moves = host.pool != request.target;
  TableTransaction transaction;
  // The row versions make the id unique: a retry from the same rows is the same
  // operation, an attempt from newer rows is another one.
  transaction.operation_id = request.move_id + "/" +
                             std::to_string(static_cast<int>(step)) + "/" +
                             std::to_string(host.version.value) + "/" +
                             std::to_string(pool.version.value);
  transaction.checks = {{HostKey(id), host.version},
                        {PoolKey(pool.pool), pool.version}};
  switch (step) {
    case MoveStep::kGrant: {
      const bool is_free =
          host.move_id.empty() || host.move_id == request.move_id;
      if (!is_free || host.state != HostState::kInService) {
        return WrongState(
            request, "the host is not in service or another move holds it");
      }
      if (!PermitsGrant(pool, budget, id)) {
        return MakeError(ErrorCode::kUnavailable, "grant", pool.pool.value,
                         "the availability budget permits no more absence");
      }
      host.move_id = request.move_id;
      host.target = request.target;
      host.requested_by = request.requested_by;
      pool.granted.insert(id);
      break;
    }
    case MoveStep::kDrain:
      if (!Holds(host, request, HostState::kInService) ||
          !pool.granted.contains(id)) {
        return WrongState(request,
                          "the host has no grant for this move or the grant "
                          "has been revoked");
      }
      host.state = HostState::kDraining;
      pool.granted.erase(id);
      pool.planned.insert(id);
      // The settings may have lowered the budget since the grant.
      if (!FitsBudget(pool, budget)) {
        return MakeError(ErrorCode::kUnavailable, "drain", pool.pool.value,
                         "the availability budget no longer permits it");
      }
      break;
    case MoveStep::kRelease:
      if (!Holds(host, request, HostState::kDraining)) {
        return WrongState(request, "the host is not draining for this move");
      }
      host.state = HostState::kReleased;
      break;
    case MoveStep::kClaim:
      if (!Holds(host, request, HostState::kReleased) || !moves) {
        return WrongState(
            request,
            "the host is not released by this move, or the move is a reboot");
      }
      host.state = HostState::kClaimed;
      host.pool = request.target;
      pool.members.erase(id);
      pool.planned.erase(id);
      break;
    case MoveStep::kAdmit:
      if (!Holds(host, request,
                 moves ? HostState::kClaimed : HostState::kReleased) &&
          !Holds(host, request, HostState::kClaimed)) {
        return WrongState(request, "the host is not claimed by this move");
      }
      host.state = HostState::kInService;
      host.last_move = request.move_id;
      host.move_id.clear();
      host.target = PoolId();
      host.requested_by.clear();
      pool.members[id] = {host.zone, host.rack};
      pool.planned.erase(id);
      break;
  }
  transaction.puts = {EncodeHost(host), EncodePool(pool)};
  return transaction;
}

std::optional<MoveStep> HostMove::NextStep(const MoveRows& rows) const {
  const HostRow& host = rows.host;
  switch (host.state) {
    case HostState::kInService:
      return rows.pool.granted.contains(host.host) &&
                     host.move_id == this->request.move_id
                 ? MoveStep::kDrain
                 : MoveStep::kGrant;
    case HostState::kDraining:
      return this->drained ? std::optional(MoveStep::kRelease) : std::nullopt;
    case HostState::kReleased:
      return host.pool == this->request.target ? MoveStep::kAdmit
                                               : MoveStep::kClaim;
    case HostState::kClaimed:
      return MoveStep::kAdmit;
    case HostState::kDown:
      return std::nullopt;
  }
  return std::nullopt;
}

MoveActions HostMove::OnTick(Duration retry_after, Instant now) {
  const bool waits =
      this->last_request && now - *this->last_request < retry_after;
  if (this->ended || waits) {
    return {};
  }
  this->last_request = now;
  return {ReadMoveRows{}};
}

MoveActions HostMove::OnRows(const MoveRows& rows,
                             const BudgetSettings& budget,
                             Instant now) {
  if (this->ended) {
    return {};
  }
  const HostRow& host = rows.host;
  if (host.last_move == this->request.move_id) {
    return this->End(MoveOutcome::kDone, "");
  }
  if (!host.move_id.empty() && host.move_id != this->request.move_id) {
    return this->End(
        this->started ? MoveOutcome::kCancelled : MoveOutcome::kLostRace,
        host.requested_by + " " + host.move_id);
  }
  const bool is_shown = host.move_id == this->request.move_id;
  if ((this->started && !is_shown) || host.state == HostState::kDown) {
    return this->End(MoveOutcome::kCancelled, "");
  }
  this->started = this->started || is_shown;
  MoveActions actions;
  if (host.state == HostState::kDraining && !this->draining) {
    this->draining = true;
    actions.emplace_back(DrainHost{host.host});
  }
  const std::optional<MoveStep> step = this->NextStep(rows);
  if (!step) {
    return actions;
  }
  Result<TableTransaction> planned =
      PlanStep(*step, this->request, rows, budget);
  if (planned.has_error()) {
    return actions;  // not permitted now; retried after the next read
  }
  this->last_request = now;
  actions.emplace_back(SendMoveStep{*step, std::move(planned.value())});
  return actions;
}

MoveActions HostMove::OnAnswer(const CommitAnswer&, Instant now) {
  if (this->ended) {
    return {};
  }
  this->last_request = now;
  return {ReadMoveRows{}};
}

MoveActions HostMove::End(MoveOutcome outcome, std::string winner) {
  this->ended = true;
  return {MoveEnded{outcome, std::move(winner)}};
}

}  // namespace peridot
