// Admission of calls by the operator's configuration: queue lookup and key
// check.
//
// Index:
//   [SECTION] Configuration
//   [SECTION] Admission
//
// Plain values and pure functions: const access from several threads is safe.

#ifndef SRC_COORDINATION_ADMISSION_H_
#define SRC_COORDINATION_ADMISSION_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/coordination/job.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Configuration
//-----------------------------------------------------------------------------

// Calls whose host and path match are routed to the queue.
struct QueueRoute {
  std::string queue;        // name of the queue
  std::string host;         // lower case
  std::string path_prefix;  // starts with "/"
  bool open = false;        // calls need no key
};

struct OperatorConfig {
  Revision version;  // 0: no configuration
  std::vector<QueueRoute> routes;
  std::map<std::string, TeamId> keys;  // team by key
  FleetConfig fleet;
};

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

enum class AdmissionResult { kAdmitted, kNoConfig, kNoQueue, kBadKey };

struct CallAdmission {
  AdmissionResult result = AdmissionResult::kNoConfig;
  const QueueRoute* route = nullptr;  // null if no queue matches
  TeamId team;                        // empty: open queue called without a key
  std::string_view rest;              // path after the prefix
};

// Finds the queue by host and longest path prefix and checks the key. The
// result points into `config` and `path` and is valid as long as both are.
CallAdmission Admit(const OperatorConfig& config,
                    std::string_view host,
                    std::string_view path,
                    std::string_view key);

}  // namespace peridot

#endif  // SRC_COORDINATION_ADMISSION_H_
