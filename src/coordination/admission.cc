#include "src/coordination/admission.h"

#include <algorithm>
#include <cctype>

namespace peridot {

namespace {

bool SameHost(std::string_view a, std::string_view b) {
  // A port in the Host header does not select the queue.
  b = b.substr(0, b.find(':'));
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](char x, char y) {
    return x == static_cast<char>(std::tolower(static_cast<unsigned char>(y)));
  });
}

}  // namespace

CallAdmission Admit(const OperatorConfig& config,
                    std::string_view host,
                    std::string_view path,
                    std::string_view key) {
  CallAdmission admission;
  if (config.version == Revision{}) {
    return admission;
  }
  admission.result = AdmissionResult::kNoQueue;
  for (const QueueRoute& route : config.routes) {
    if (path.starts_with(route.path_prefix) && SameHost(route.host, host) &&
        (admission.route == nullptr ||
         route.path_prefix.size() > admission.route->path_prefix.size())) {
      admission.route = &route;
    }
  }
  if (admission.route == nullptr) {
    return admission;
  }
  admission.rest = path.substr(admission.route->path_prefix.size());
  const auto team = config.keys.find(std::string(key));
  if (team != config.keys.end()) {
    admission.team = team->second;
  } else if (!admission.route->open) {
    admission.result = AdmissionResult::kBadKey;
    return admission;
  }
  admission.result = AdmissionResult::kAdmitted;
  return admission;
}

}  // namespace peridot
