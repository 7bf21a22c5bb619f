// What an operator's configuration lets callers do.
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

// Calls whose host and path match reach the queue.
struct QueueRoute {
  std::string queue;        // default: empty; name of the queue
  std::string host;         // default: empty; lower case
  std::string path_prefix;  // default: empty; starts with "/"
  bool open = false;        // default: false; no key is needed
};

struct OperatorConfig {
  Revision version;                    // default: 0, none
  std::vector<QueueRoute> routes;      // default: none
  std::map<std::string, TeamId> keys;  // team of each key
  FleetConfig fleet;
};

//-----------------------------------------------------------------------------
// [SECTION] Admission
//-----------------------------------------------------------------------------

enum class AdmissionResult { kAdmitted, kNoConfig, kNoQueue, kBadKey };

struct CallAdmission {
  AdmissionResult result = AdmissionResult::kNoConfig;  // default: kNoConfig
  const QueueRoute* route = nullptr;  // null unless the queue exists
  TeamId team;                        // default: empty; open queue without key
  std::string_view rest;              // path behind the prefix
};

// Finds the queue by host and longest prefix and checks the key. The returned
// pointers live as long as the configuration and the path.
CallAdmission Admit(const OperatorConfig& config,
                    std::string_view host,
                    std::string_view path,
                    std::string_view key);

}  // namespace peridot

#endif  // SRC_COORDINATION_ADMISSION_H_
