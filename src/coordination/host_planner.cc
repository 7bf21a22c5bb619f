#include "src/coordination/host_planner.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace peridot {

namespace {

// Age of the list of hosts while an order is under way, and otherwise.
constexpr Milliseconds kBusyListAge{500};
constexpr Milliseconds kCalmListAge{3000};

// Pause after a refused order.
constexpr Milliseconds kRefusalPause{1000};

}  // namespace

HostPlanner::HostPlanner(HostPlannerConfig config, Instant now)
    : config(config), started(now) {}

void HostPlanner::OnServices(
    const std::map<ServiceId, ServiceConfig>& new_services) {
  this->services = new_services;
}

void HostPlanner::OnWaves(const std::vector<UpkeepWave>& rows) {
  for (const UpkeepWave& row : rows) {
    Wave& wave = this->waves[row.name];
    wave.wave = row;
    const auto found = this->earlier.find(row.name);
    if (found != this->earlier.end()) {
      wave.begun = found->second.begun;
      wave.reported_complete = found->second.completed;
      wave.changed = false;
      this->earlier.erase(found);
    }
  }
}

void HostPlanner::OnWaveProgress(const WaveProgress& progress) {
  this->earlier[progress.name] = progress;
}

void HostPlanner::OnHosts(std::vector<FleetHost> rows,
                          Instant sent,
                          Instant now) {
  this->have_list = true;
  this->list_sent = sent;
  std::set<HostId> listed;
  for (FleetHost& row : rows) {
    listed.insert(row.id);
    HostRecord& host = this->hosts[row.id];
    host.row = std::move(row);
    const bool up = host.row.state == FleetHostState::kUp;
    // Without an answer the order may still be carried out later.
    const bool settled =
        !host.order_open || now - host.ordered > this->config.late_order;
    if (host.away && up && settled && sent > host.ordered) {
      host.away = false;
      host.order_open = false;
    }
    if (host.target == host.row.pool) {
      host.target = ServiceId{};
    }
  }
  std::erase_if(this->hosts, [&](const auto& entry) {
    return !listed.contains(entry.first);
  });
}

void HostPlanner::OnReply(const HostOrder& order,
                          HostOrderReply reply,
                          Instant now) {
  const auto found = this->hosts.find(order.host);
  if (found == this->hosts.end()) {
    return;
  }
  HostRecord& host = found->second;
  if (reply == HostOrderReply::kUnknown) {
    return;  // the list tells what happened
  }
  host.order_open = false;
  if (reply == HostOrderReply::kDone) {
    if (!order.wave.empty()) {
      Wave& wave = this->waves[order.wave];
      wave.begun.insert(order.host);
      wave.changed = true;
    }
    host.target = ServiceId{};
    return;
  }
  host.away = false;
  host.not_before = now + kRefusalPause;
  host.cordoned = false;
  host.target = ServiceId{};
}

HostPlan HostPlanner::Advance(
    const std::vector<EndpointSummary>& endpoints,
    const std::map<ServiceId, ServiceDemand>& demand,
    const std::set<ZoneId>& zones_out,
    bool may_order,
    Instant now) {
  HostPlan plan;
  const bool busy = std::any_of(
      this->hosts.begin(), this->hosts.end(),
      [](const auto& entry) { return entry.second.away; });
  plan.read_hosts = !this->have_list ||
                    now - this->list_sent > (busy ? kBusyListAge
                                                  : kCalmListAge);
  if (!may_order || !this->have_list ||
      now - this->started < this->config.quiet_after_takeover) {
    return plan;
  }
  std::map<EndpointId, const EndpointSummary*> by_id;
  for (const EndpointSummary& endpoint : endpoints) {
    by_id[endpoint.id] = &endpoint;
  }
  for (auto& [id, host] : this->hosts) {
    const auto found = by_id.find(host.row.endpoint);
    const bool idle = found == by_id.end() || found->second->idle;
    if (idle && !host.idle) {
      host.idle_since = now;
    }
    host.idle = idle;
  }
  this->PlanWaves(by_id, &plan, now);
  if (this->config.moves_enabled) {
    this->PlanMoves(by_id, demand, zones_out, &plan, now);
  }
  return plan;
}

bool HostPlanner::IsSpare(const ServiceId& pool) const {
  const auto found = this->services.find(pool);
  return found != this->services.end() && found->second.spare;
}

bool HostPlanner::InOpenWave(const HostId& host) const {
  for (const auto& [name, wave] : this->waves) {
    const std::vector<HostId>& due = wave.wave.hosts;
    if (std::find(due.begin(), due.end(), host) != due.end() &&
        !wave.begun.contains(host)) {
      return true;
    }
  }
  return false;
}

void HostPlanner::Order(HostRecord* host,
                        const std::string& wave,
                        const ServiceId& pool,
                        HostPlan* plan,
                        Instant now) {
  host->order_open = true;
  host->away = true;
  host->cordoned = false;
  host->ordered = now;
  plan->orders.push_back(HostOrder{host->row.id, wave, pool});
  this->decisions.push_back(
      "decision=host_order host=" + host->row.id.value + " wave=" + wave +
      " pool=" + pool.value + " from=" + host->row.pool.value);
}

void HostPlanner::PlanWaves(
    const std::map<EndpointId, const EndpointSummary*>& endpoints,
    HostPlan* plan,
    Instant now) {
  for (auto& [name, wave] : this->waves) {
    std::size_t down = 0;
    std::size_t cordoned = 0;
    std::vector<HostRecord*> due;
    for (const HostId& id : wave.wave.hosts) {
      const auto found = this->hosts.find(id);
      if (found == this->hosts.end()) {
        continue;  // it does not stay
      }
      HostRecord& host = found->second;
      down += host.away || host.row.state == FleetHostState::kUpkeep ? 1 : 0;
      if (wave.begun.contains(id) || host.away) {
        continue;
      }
      cordoned += host.cordoned ? 1 : 0;
      if (host.row.state == FleetHostState::kUp && host.not_before <= now) {
        due.push_back(&host);
      }
    }
    // Hosts whose leaving costs least go first.
    const auto cost = [&](const HostRecord* host) {
      const auto found = endpoints.find(host->row.endpoint);
      if (found == endpoints.end() || found->second->idle) {
        return std::make_pair(host->cordoned ? 0 : 1, 0);
      }
      return std::make_pair(host->cordoned ? 0 : 2,
                            found->second->long_running);
    };
    std::stable_sort(due.begin(), due.end(),
                     [&](const HostRecord* a, const HostRecord* b) {
                       return cost(a) < cost(b);
                     });
    for (HostRecord* host : due) {
      const auto found = endpoints.find(host->row.endpoint);
      const bool idle = found == endpoints.end() || found->second->idle;
      if (idle && down < wave.wave.max_down) {
        cordoned -= host->cordoned ? 1 : 0;
        this->Order(host, name, ServiceId{}, plan, now);
        ++down;
        continue;
      }
      if (!host->cordoned &&
          cordoned < wave.wave.max_down + this->config.cordon_ahead) {
        host->cordoned = true;
        ++cordoned;
        this->decisions.push_back("decision=cordon host=" +
                                  host->row.id.value + " wave=" + name);
      }
      // Work that lasts does not end by itself.
      if (host->cordoned && found != endpoints.end() &&
          found->second->long_running > 0 && found->second->may_lose_work &&
          down < wave.wave.max_down) {
        plan->evict.push_back(host->row.endpoint);
        break;  // one at a time: the next look at allowances sees it away
      }
    }
    const bool all_begun = std::all_of(
        wave.wave.hosts.begin(), wave.wave.hosts.end(), [&](const HostId& id) {
          return wave.begun.contains(id) || !this->hosts.contains(id);
        });
    if (all_begun && !wave.reported_complete) {
      wave.reported_complete = true;
      wave.changed = true;
    }
  }
}

void HostPlanner::PlanMoves(
    const std::map<EndpointId, const EndpointSummary*>& endpoints,
    const std::map<ServiceId, ServiceDemand>& demand,
    const std::set<ZoneId>& zones_out,
    HostPlan* plan,
    Instant now) {
  struct Pool {
    double capacity = 0;  // cores that take work, or will soon
    double wanted = 0;    // cores
    std::size_t hosts = 0;
    std::size_t incoming = 0;
  };
  std::map<ServiceId, Pool> pools;
  ServiceId spare;
  for (const auto& [service, config] : this->services) {
    if (config.spare) {
      spare = service;
    } else {
      pools[service];
    }
  }
  for (auto& [id, host] : this->hosts) {
    const bool out = zones_out.contains(host.row.zone);
    const auto pool = pools.find(host.row.pool);
    if (pool == pools.end() || out ||
        host.row.state == FleetHostState::kDown) {
      continue;
    }
    ++pool->second.hosts;
    pool->second.capacity +=
        static_cast<double>(host.row.capacity.milli_cores) / 1000;
    pool->second.incoming +=
        host.away || host.row.state != FleetHostState::kUp ? 1 : 0;
  }
  const double catch_up =
      std::chrono::duration<double>(this->config.catch_up).count();
  for (auto& [service, pool] : pools) {
    const auto found = demand.find(service);
    if (found != demand.end()) {
      pool.wanted = found->second.used_cores +
                    found->second.waiting_core_seconds / catch_up;
    }
  }
  const auto movable = [&](const HostRecord& host) {
    return host.row.state == FleetHostState::kUp && !host.away &&
           !host.cordoned && host.idle && host.not_before <= now &&
           !zones_out.contains(host.row.zone) &&
           !this->InOpenWave(host.row.id);
  };
  // Pools that lack hosts take idle ones, from the spare pool first.
  for (auto& [service, pool] : pools) {
    while (pool.wanted > pool.capacity) {
      HostRecord* best = nullptr;
      for (auto& [id, host] : this->hosts) {
        if (!movable(host) || host.row.pool == service) {
          continue;
        }
        const bool from_spare = this->IsSpare(host.row.pool);
        const auto giver = pools.find(host.row.pool);
        if (!from_spare &&
            (giver == pools.end() ||
             giver->second.hosts <= this->config.pool_floor ||
             giver->second.wanted >
                 giver->second.capacity -
                     static_cast<double>(host.row.capacity.milli_cores) /
                         1000)) {
          continue;
        }
        if (best == nullptr || (from_spare && !this->IsSpare(best->row.pool))) {
          best = &host;
        }
      }
      if (best == nullptr) {
        break;
      }
      const double cores =
          static_cast<double>(best->row.capacity.milli_cores) / 1000;
      if (const auto giver = pools.find(best->row.pool);
          giver != pools.end()) {
        --giver->second.hosts;
        giver->second.capacity -= cores;
      }
      this->Order(best, "", service, plan, now);
      pool.capacity += cores;
      ++pool.hosts;
    }
  }
  // Hosts that nobody needs cost nothing in the spare pool.
  if (spare.value.empty()) {
    return;
  }
  for (auto& [id, host] : this->hosts) {
    const auto pool = pools.find(host.row.pool);
    if (pool == pools.end() || !movable(host) ||
        now - host.idle_since < this->config.idle_before_spare ||
        pool->second.hosts <= this->config.pool_floor) {
      continue;
    }
    const double cores =
        static_cast<double>(host.row.capacity.milli_cores) / 1000;
    if (pool->second.wanted > pool->second.capacity - cores) {
      continue;
    }
    const auto found = endpoints.find(host.row.endpoint);
    if (found == endpoints.end()) {
      continue;  // not registered yet: it has just arrived
    }
    --pool->second.hosts;
    pool->second.capacity -= cores;
    this->Order(&host, "", spare, plan, now);
  }
}

std::set<EndpointId> HostPlanner::Cordoned() const {
  std::set<EndpointId> cordoned;
  for (const auto& [id, host] : this->hosts) {
    if ((host.cordoned || host.away) && !host.row.endpoint.value.empty()) {
      cordoned.insert(host.row.endpoint);
    }
  }
  return cordoned;
}

std::vector<WaveProgress> HostPlanner::TakeProgress() {
  std::vector<WaveProgress> changed;
  for (auto& [name, wave] : this->waves) {
    if (wave.changed) {
      wave.changed = false;
      changed.push_back(
          WaveProgress{name, wave.begun, wave.reported_complete});
    }
  }
  return changed;
}

std::vector<std::string> HostPlanner::TakeDecisions() {
  return std::exchange(this->decisions, {});
}

}  // namespace peridot
