#include "src/coordination/dispatcher.h"

namespace peridot {

const char* StartBlockName(StartBlock block) {
  switch (block) {
    case StartBlock::kNone:
      return "none";
    case StartBlock::kUnknownQueue:
      return "unknown_queue";
    case StartBlock::kKeyMissing:
      return "key_missing";
    case StartBlock::kKeyUnknown:
      return "key_unknown";
    case StartBlock::kKeyWrongTeam:
      return "key_wrong_team";
    case StartBlock::kSettingsStale:
      return "settings_stale";
    case StartBlock::kZoneOut:
      return "zone_out";
    case StartBlock::kEndpointLeaving:
      return "endpoint_leaving";
    case StartBlock::kEndpointLease:
      return "endpoint_lease";
    case StartBlock::kEndpointNotProven:
      return "endpoint_not_proven";
    case StartBlock::kTeamLimit:
      return "team_limit";
    case StartBlock::kNoSlot:
      return "no_endpoint";
    case StartBlock::kDeadline:
      return "deadline";
    case StartBlock::kQueueFull:
      return "queue_full";
    case StartBlock::kShuttingDown:
      return "shutting_down";
    case StartBlock::kRetryBudget:
      return "retry_budget";
  }
  return "none";
}

}  // namespace peridot
