#include "src/coordination/outlier_detector.h"

#include <algorithm>

namespace peridot {

OutlierDetector::OutlierDetector(OutlierConfig config) : config(config) {}

void OutlierDetector::OnEndpoint(const EndpointId& endpoint,
                                 const PoolId& pool) {
  const auto [found, added] = this->endpoints.try_emplace(endpoint);
  if (added) {
    found->second.pool = pool;
    ++this->pools[pool].endpoints;
  }
}

void OutlierDetector::OnEndpointGone(const EndpointId& endpoint) {
  const auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end()) {
    return;
  }
  Pool& pool = this->pools[found->second.pool];
  --pool.endpoints;
  if (found->second.health != EndpointHealth::kHealthy) {
    --pool.ejected;
  }
  this->endpoints.erase(found);
}

bool OutlierDetector::OnOutcome(const EndpointId& id,
                                bool success,
                                Instant now) {
  const auto found = this->endpoints.find(id);
  if (found == this->endpoints.end()) {
    return false;
  }
  Endpoint& endpoint = found->second;
  Pool& pool = this->pools[endpoint.pool];
  endpoint.failures = success ? 0 : endpoint.failures + 1;
  if (endpoint.health == EndpointHealth::kEjected) {
    return false;  // the task started before the ejection
  }
  if (endpoint.health == EndpointHealth::kProbing) {
    if (success) {
      endpoint.health = EndpointHealth::kHealthy;
      endpoint.ejections = 0;
      --pool.ejected;
    } else {
      this->Eject(&endpoint, now);
    }
    return true;
  }
  // Failures of an endpoint that may be an outlier are left out: they would
  // lower the rate that it is compared with.
  if (success || endpoint.failures < this->config.consecutive_failures) {
    pool.success_rate +=
        this->config.weight * ((success ? 1.0 : 0.0) - pool.success_rate);
  }
  if (!this->IsOutlier(endpoint, pool)) {
    return false;
  }
  ++pool.ejected;
  this->Eject(&endpoint, now);
  return true;
}

std::vector<EndpointId> OutlierDetector::OnTick(Instant now) {
  std::vector<EndpointId> probed;
  for (auto& [id, endpoint] : this->endpoints) {
    if (endpoint.health == EndpointHealth::kEjected && endpoint.until <= now) {
      endpoint.health = EndpointHealth::kProbing;
      endpoint.failures = 0;
      probed.push_back(id);
    }
  }
  return probed;
}

EndpointHealth OutlierDetector::Health(const EndpointId& endpoint) const {
  const auto found = this->endpoints.find(endpoint);
  return found == this->endpoints.end() ? EndpointHealth::kHealthy
                                        : found->second.health;
}

bool OutlierDetector::IsOutlier(const Endpoint& endpoint,
                                const Pool& pool) const {
  const bool room = (pool.ejected + 1) * 100 <=
                    pool.endpoints * this->config.max_ejected_percent;
  return endpoint.failures >= this->config.consecutive_failures && room &&
         pool.success_rate >= this->config.healthy_rate;
}

void OutlierDetector::Eject(Endpoint* endpoint, Instant now) {
  constexpr int kMaxDoublings = 10;
  const int doublings = std::min(endpoint->ejections++, kMaxDoublings);
  const Duration length = this->config.ejection * (1 << doublings);
  endpoint->health = EndpointHealth::kEjected;
  endpoint->until = now + std::min(length, this->config.max_ejection);
}

}  // namespace peridot
