#include "src/daemon/fleet_ports.h"

namespace peridot {

const char* StoreOutcomeName(StoreOutcome outcome) {
  switch (outcome) {
    case StoreOutcome::kOk:
      return "ok";
    case StoreOutcome::kConflict:
      return "conflict";
    case StoreOutcome::kNotDone:
      return "not_done";
    case StoreOutcome::kHistoryLost:
      return "history_lost";
    case StoreOutcome::kRejected:
      return "rejected";
    case StoreOutcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace peridot
