// Detects endpoints that fail every task, as opposed to tasks that fail on
// every endpoint.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] OutlierDetector
//
// An endpoint is ejected when it fails several tasks in a row while the other
// endpoints of its pool succeed. When all of them fail, the tasks are the cause
// and nothing is ejected. After a time the endpoint gets one slot as a probe: a
// success restores it, a failure ejects it for twice as long. At most a fixed
// part of a pool is ejected at once.
//
// Not thread-safe: one event loop owns each value.

#ifndef SRC_COORDINATION_OUTLIER_DETECTOR_H_
#define SRC_COORDINATION_OUTLIER_DETECTOR_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct OutlierConfig {
  // Large enough that a task that always fails does not make an endpoint look
  // faulty.
  int consecutive_failures = 3;
  Duration ejection = std::chrono::seconds(10);
  Duration max_ejection = std::chrono::minutes(5);
  // Above this the pool would lose more capacity than the failures cost.
  int max_ejected_percent = 30;  // of the pool
  // A failing endpoint is an outlier if the success rate of its pool is at
  // least this high.
  double healthy_rate = 0.5;
  // Weight of one outcome in the pool's moving success rate.
  double weight = 0.02;  // about the last 50 outcomes
};

//-----------------------------------------------------------------------------
// [SECTION] OutlierDetector
//-----------------------------------------------------------------------------

enum class EndpointHealth {
  kHealthy,  // all its slots may be used
  kEjected,  // no slot may be used
  kProbing,  // one slot may be used, until its next outcome
};

class OutlierDetector {
 public:
  explicit OutlierDetector(OutlierConfig config = {});

  void OnEndpoint(const EndpointId& endpoint, const PoolId& pool);
  void OnEndpointGone(const EndpointId& endpoint);

  // An attempt ended on the endpoint. Returns true if its health changed.
  bool OnOutcome(const EndpointId& endpoint, bool success, Instant now);

  // Returns the endpoints whose ejection has ended and which are now probed.
  std::vector<EndpointId> OnTick(Instant now);

  // Unknown endpoints are healthy.
  EndpointHealth Health(const EndpointId& endpoint) const;

 private:
  struct Pool {
    int endpoints = 0;
    int ejected = 0;            // ejected or probing
    double success_rate = 1.0;  // moving average over healthy endpoints
  };
  struct Endpoint {
    PoolId pool;
    EndpointHealth health = EndpointHealth::kHealthy;
    int failures = 0;  // in a row
    int ejections = 0;
    Instant until{};
  };

  bool IsOutlier(const Endpoint& endpoint, const Pool& pool) const;
  void Eject(Endpoint* endpoint, Instant now);

  OutlierConfig config;
  std::unordered_map<EndpointId, Endpoint> endpoints;
  std::unordered_map<PoolId, Pool> pools;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_OUTLIER_DETECTOR_H_
