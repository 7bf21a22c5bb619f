#include "src/coordination/host_planner.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace peridot {

namespace {

// Maximum age of the list of hosts while a host is away, and otherwise.
constexpr Milliseconds kBusyListAge{500};
constexpr Milliseconds kIdleListAge{3000};

// Minimum time between two log entries on why a cordoned host has not left.
constexpr Milliseconds kWaitLogInterval{1000};

// Minimum time between two log entries on a pool.
constexpr Milliseconds kPoolLogInterval{1000};

// Pause before a host gets another order after it was refused one.
constexpr Milliseconds kRefusalBackoff{1000};

}  // namespace

HostPlanner::HostPlanner(HostPlannerConfig config, Instant now)
    : config(config),
      started(now),
      orders_from(now + config.order_delay_after_takeover) {}

void HostPlanner::OnServices(
    const std::map<ServiceId, ServiceConfig>& new_services) {
  this->services = new_services;
}

void HostPlanner::OnWaves(const std::vector<MaintenanceWave>& rows,
                          Instant now) {
  for (const MaintenanceWave& row : rows) {
    Wave& wave = this->waves[row.name];
    wave.wave = row;
    if (wave.first_seen == Instant{}) {
      wave.first_seen = now;
    }
    const auto found = this->earlier.find(row.name);
    if (found != this->earlier.end()) {
      wave.begun = found->second.begun;
      if (found->second.first_seen != Instant{}) {
        wave.first_seen = found->second.first_seen;
      }
      wave.reported_complete = found->second.completed;
      wave.changed = false;
      this->earlier.erase(found);
    }
  }
}

void HostPlanner::OnPreviousOrders(
    const std::vector<PreviousHostOrder>& orders) {
  this->orders_from = this->started + this->config.settle_time;
  for (const PreviousHostOrder& order : orders) {
    this->previous_orders[order.host] =
        order.latest + this->config.order_delay_after_takeover;
  }
  for (auto& [id, host] : this->hosts) {
    this->DelayAfterPreviousOrder(&host);
  }
}

void HostPlanner::DelayAfterPreviousOrder(HostRecord* host) const {
  const auto previous = this->previous_orders.find(host->row.id);
  if (previous != this->previous_orders.end()) {
    host->not_before = std::max(host->not_before, previous->second);
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
    const auto [found, is_new] = this->hosts.try_emplace(row.id);
    HostRecord& host = found->second;
    host.row = std::move(row);
    if (is_new) {
      this->DelayAfterPreviousOrder(&host);
    }
    const bool up = host.row.state == FleetHostState::kUp;
    // An unanswered order may still take effect later.
    const bool settled =
        !host.order_open || now - host.ordered > this->config.order_timeout;
    if (host.away && up && settled && sent > host.ordered) {
      host.away = false;
      host.order_open = false;
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
    return;  // the list of hosts shows the outcome
  }
  host.order_open = false;
  // A list requested while the order was in flight may show the state before
  // it.
  host.ordered = now;
  if (reply == HostOrderReply::kDone) {
    if (!order.wave.empty()) {
      Wave& wave = this->waves[order.wave];
      wave.begun.insert(order.host);
      wave.changed = true;
    }
    return;
  }
  host.away = false;
  host.target = ServiceId{};
  host.not_before = now + kRefusalBackoff;
  host.cordoned = false;
  host.target = ServiceId{};
}

HostPlan HostPlanner::Advance(const std::vector<EndpointSummary>& endpoints,
                              const std::map<ServiceId, ServiceDemand>& demand,
                              const std::set<ZoneId>& zones_out,
                              bool may_order,
                              Instant now) {
  HostPlan plan;
  const bool busy =
      std::any_of(this->hosts.begin(), this->hosts.end(),
                  [](const auto& entry) { return entry.second.away; });
  plan.read_hosts =
      !this->have_list ||
      now - this->list_sent > (busy ? kBusyListAge : kIdleListAge);
  if (!may_order || !this->have_list || now < this->orders_from) {
    return plan;
  }
  EndpointMap by_id;
  by_id.reserve(endpoints.size());
  for (const EndpointSummary& endpoint : endpoints) {
    by_id[endpoint.id] = &endpoint;
  }
  for (auto& [id, host] : this->hosts) {
    const auto found = by_id.find(host.row.endpoint);
    // The endpoint of a host outside the spare pool may run work that is not
    // known yet, for example after a takeover.
    const bool idle = found == by_id.end() ? this->IsSpare(host.row.pool)
                                           : found->second->idle;
    if (idle && !host.idle) {
      host.idle_since = now;
    }
    host.idle = idle;
  }
  this->MeasurePools(by_id, demand, zones_out, now);
  this->LogPools(now);
  if (now - this->started >= this->config.order_delay_after_takeover) {
    this->PlanWaves(by_id, &plan, now);
  }
  this->MarkHostsInOpenWaves();
  if (this->config.moves_enabled) {
    this->AddHostsToPools(zones_out, &plan, now);
    this->ReleaseIdleHosts(by_id, zones_out, &plan, now);
  }
  return plan;
}

bool HostPlanner::IsSpare(const ServiceId& pool) const {
  const auto found = this->services.find(pool);
  return found != this->services.end() && found->second.spare;
}

void HostPlanner::MarkHostsInOpenWaves() {
  for (auto& [id, host] : this->hosts) {
    host.in_open_wave = false;
  }
  for (const auto& [name, wave] : this->waves) {
    for (const HostId& id : wave.wave.hosts) {
      const auto found = this->hosts.find(id);
      if (found != this->hosts.end() && !wave.begun.contains(id)) {
        found->second.in_open_wave = true;
      }
    }
  }
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
  host->target = pool;
  plan->orders.push_back(HostOrder{host->row.id, wave, pool});
  this->decisions.push_back("decision=host_order host=" + host->row.id.value +
                            " wave=" + wave + " pool=" + pool.value +
                            " from=" + host->row.pool.value);
}

//-----------------------------------------------------------------------------
// [SECTION] Maintenance
//-----------------------------------------------------------------------------

void HostPlanner::PlanWaves(const EndpointMap& endpoints,
                            HostPlan* plan,
                            Instant now) {
  for (auto& [name, wave] : this->waves) {
    this->PlanWave(name, &wave, endpoints, plan, now);
    const std::vector<HostId>& due = wave.wave.hosts;
    const bool all_begun = std::all_of(
        due.begin(), due.end(), [&, begun = &wave.begun](const HostId& id) {
          return begun->contains(id) || !this->hosts.contains(id);
        });
    if (all_begun && !wave.reported_complete) {
      wave.reported_complete = true;
      wave.changed = true;
    }
  }
}

void HostPlanner::PlanWave(const std::string& name,
                           Wave* wave,
                           const EndpointMap& endpoints,
                           HostPlan* plan,
                           Instant now) {
  std::size_t down = 0;
  std::size_t cordoned = 0;
  std::size_t long_running_cordoned = 0;
  std::vector<HostRecord*> due;
  for (const HostId& id : wave->wave.hosts) {
    const auto found = this->hosts.find(id);
    if (found == this->hosts.end()) {
      continue;  // the host has left the fleet
    }
    HostRecord& host = found->second;
    down += host.away || host.row.state == FleetHostState::kMaintenance ? 1 : 0;
    if (wave->begun.contains(id) || host.away) {
      continue;
    }
    const auto endpoint = endpoints.find(host.row.endpoint);
    const bool has_long_running =
        endpoint != endpoints.end() && endpoint->second->long_running > 0;
    cordoned += host.cordoned && !has_long_running ? 1 : 0;
    long_running_cordoned += host.cordoned && has_long_running ? 1 : 0;
    if (host.row.state == FleetHostState::kUp && host.not_before <= now) {
      due.push_back(&host);
    }
  }
  // Hosts whose departure disrupts the least work go first.
  const auto cost = [&](const HostRecord* host) {
    const auto found = endpoints.find(host->row.endpoint);
    const bool idle = found == endpoints.end() || found->second->idle;
    return std::make_tuple(idle ? 0 : 1, host->cordoned ? 0 : 1,
                           idle ? 0 : found->second->long_running,
                           idle ? 0 : found->second->short_running);
  };
  std::stable_sort(due.begin(), due.end(),
                   [&](const HostRecord* a, const HostRecord* b) {
                     return cost(a) < cost(b);
                   });
  const bool late = now - wave->first_seen >
                    Milliseconds(static_cast<std::int64_t>(
                        this->config.voluntary_drain_share *
                        static_cast<double>(wave->wave.length.count())));
  for (HostRecord* host : due) {
    const auto found = endpoints.find(host->row.endpoint);
    if (found == endpoints.end() || found->second->idle) {
      if (down < wave->wave.max_down) {
        this->Order(host, name, ServiceId{}, plan, now);
        ++down;
      }
      continue;
    }
    const EndpointSummary& endpoint = *found->second;
    const bool has_long_running = endpoint.long_running > 0;
    const double cores =
        static_cast<double>(host->row.capacity.milli_cores) / 1000;
    std::size_t& used = has_long_running ? long_running_cordoned : cordoned;
    const std::size_t cordon_limit =
        has_long_running
            ? this->config.long_running_cordons +
                  (late ? wave->wave.max_down : 0)
            : std::min<std::size_t>(
                  wave->wave.max_down,
                  late ? wave->wave.max_down : this->config.cordon_ahead);
    if (!host->cordoned && used < cordon_limit &&
        (late || has_long_running ||
         this->CanReleaseCores(host->row.pool, cores))) {
      host->cordoned = true;
      ++used;
      this->decisions.push_back("decision=cordon host=" + host->row.id.value +
                                " wave=" + name);
    }
    if (host->cordoned && has_long_running && host->next_wait_log <= now) {
      host->next_wait_log = now + kWaitLogInterval;
      this->decisions.push_back(
          "decision=host_waits host=" + host->row.id.value + " wave=" + name +
          " lasting=" + std::to_string(endpoint.long_running) +
          " others=" + std::to_string(endpoint.short_running));
    }
    // Long-running work does not end by itself. The scheduler stops as many
    // tasks as the unavailability limits of their steps permit. It handles one
    // host after another and counts tasks that it has stopped as unavailable.
    if (host->cordoned && has_long_running && endpoint.short_running == 0 &&
        down < wave->wave.max_down) {
      plan->evict.push_back(host->row.endpoint);
    }
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Pools
//-----------------------------------------------------------------------------

const ServiceId& HostPlanner::PoolOf(const HostRecord& host) const {
  return host.away && !host.target.value.empty() ? host.target : host.row.pool;
}

std::size_t HostPlanner::MinPoolHosts() const {
  const double equal_share =
      static_cast<double>(this->hosts.size()) /
      static_cast<double>(std::max<std::size_t>(1, this->pools.size()));
  return std::max(
      this->config.min_pool_hosts,
      static_cast<std::size_t>(this->config.reserve_share * equal_share));
}

bool HostPlanner::CanReleaseCores(const ServiceId& pool, double cores) const {
  const auto found = this->pools.find(pool);
  return found != this->pools.end() &&
         found->second.hosts > this->MinPoolHosts() &&
         found->second.recent <= found->second.capacity - cores;
}

bool HostPlanner::CanLendCores(const ServiceId& pool, double cores) const {
  const auto found = this->pools.find(pool);
  return found != this->pools.end() &&
         found->second.hosts > this->MinPoolHosts() &&
         found->second.wanted <= found->second.capacity - cores;
}

bool HostPlanner::Movable(const HostRecord& host,
                          const std::set<ZoneId>& zones_out,
                          Instant now) const {
  return host.row.state == FleetHostState::kUp && !host.away &&
         !host.cordoned && host.idle && host.not_before <= now &&
         !zones_out.contains(host.row.zone) && !host.in_open_wave;
}

void HostPlanner::MeasurePools(const EndpointMap& endpoints,
                               const std::map<ServiceId, ServiceDemand>& demand,
                               const std::set<ZoneId>& zones_out,
                               Instant now) {
  this->pools.clear();
  for (const auto& [service, config] : this->services) {
    if (!config.spare) {
      this->pools[service];
    }
  }
  double host_cores = 0;
  for (const auto& [id, host] : this->hosts) {
    const auto pool = this->pools.find(this->PoolOf(host));
    const double cores =
        static_cast<double>(host.row.capacity.milli_cores) / 1000;
    host_cores = std::max(host_cores, cores);
    if (pool == this->pools.end() || zones_out.contains(host.row.zone) ||
        host.row.state == FleetHostState::kDown) {
      continue;
    }
    const auto endpoint = endpoints.find(host.row.endpoint);
    const bool arriving = host.away || host.row.state != FleetHostState::kUp ||
                          endpoint == endpoints.end();
    if (!arriving && !endpoint->second->usable) {
      continue;  // out of service, even if the list shows it up
    }
    ++pool->second.hosts;
    pool->second.arriving += arriving ? 1 : 0;
    pool->second.idle += host.idle && !arriving ? 1 : 0;
    pool->second.capacity += cores;
  }
  const double backlog_drain_time =
      std::chrono::duration<double>(this->config.backlog_drain_time).count();
  const double expired_backlog_drain_time =
      std::chrono::duration<double>(this->config.expired_backlog_drain_time)
          .count();
  for (auto& [service, pool] : this->pools) {
    const auto found = demand.find(service);
    if (found != demand.end()) {
      const ServiceDemand& load = found->second;
      pool.arrival_rate = load.arrival_rate;
      pool.backlog_core_seconds = load.waiting_core_seconds;
      pool.wanted =
          load.long_running_cores +
          (1 + this->config.fragmentation_overhead) *
              (std::max(load.used_cores - load.long_running_cores,
                        pool.arrival_rate) +
               load.waiting_core_seconds / backlog_drain_time +
               load.expired_core_seconds / expired_backlog_drain_time);
      // Starved jobs lack a suitable host rather than total capacity; hosts are
      // added one at a time.
      if (load.starved_jobs > 0 && pool.arriving == 0) {
        pool.wanted = std::max(pool.wanted, pool.capacity + host_cores / 2);
      }
    }
    PoolHistory& past = this->history[service];
    past.wanted.emplace_back(now, pool.wanted);
    while (now - past.wanted.front().first > this->config.recent) {
      past.wanted.pop_front();
    }
    for (const auto& [when, wanted] : past.wanted) {
      pool.recent = std::max(pool.recent, wanted);
    }
    if (pool.wanted <= pool.capacity) {
      past.short_since = Instant{};
    } else if (past.short_since == Instant{}) {
      past.short_since = now;
    }
  }
}

void HostPlanner::LogPools(Instant now) {
  if (now < this->next_pool_log) {
    return;
  }
  this->next_pool_log = now + kPoolLogInterval;
  const auto rounded = [](double cores) {
    return std::to_string(static_cast<std::int64_t>(cores));
  };
  for (const auto& [service, pool] : this->pools) {
    this->decisions.push_back(
        "decision=pool service=" + service.value +
        " hosts=" + std::to_string(pool.hosts) + " coming=" +
        std::to_string(pool.arriving) + " idle=" + std::to_string(pool.idle) +
        " capacity_cores=" + rounded(pool.capacity) + " wanted_cores=" +
        rounded(pool.wanted) + " recent_cores=" + rounded(pool.recent) +
        " rate_cores=" + rounded(pool.arrival_rate) +
        " waiting_core_s=" + rounded(pool.backlog_core_seconds));
  }
}

HostPlanner::HostRecord* HostPlanner::TakeCheapestHostFor(
    const ServiceId& pool,
    MovableHosts* movable) const {
  // An idle host of another pool costs as much to move as one of the spare
  // pool, and adds no host time afterwards, so it is preferred.
  std::vector<HostRecord*>* best = nullptr;
  for (auto& [from, candidates] : *movable) {
    if (from == pool || candidates.empty()) {
      continue;
    }
    const bool spare = this->IsSpare(from);
    const double cores =
        static_cast<double>(candidates.back()->row.capacity.milli_cores) / 1000;
    if (spare ? best == nullptr : this->CanLendCores(from, cores)) {
      best = &candidates;
      if (!spare) {
        break;
      }
    }
  }
  if (best == nullptr) {
    return nullptr;
  }
  HostRecord* const host = best->back();
  best->pop_back();
  return host;
}

void HostPlanner::AddHostsToPools(const std::set<ZoneId>& zones_out,
                                  HostPlan* plan,
                                  Instant now) {
  std::vector<std::pair<ServiceId, PoolLoad*>> short_pools;
  for (auto& [service, pool] : this->pools) {
    const Instant since = this->history[service].short_since;
    if (since == Instant{} || now - since < this->config.shortage_delay) {
      continue;
    }
    short_pools.emplace_back(service, &pool);
  }
  if (short_pools.empty()) {
    return;
  }
  MovableHosts movable;
  for (auto entry = this->hosts.rbegin(); entry != this->hosts.rend();
       ++entry) {
    HostRecord& host = entry->second;
    if (this->Movable(host, zones_out, now)) {
      movable[host.row.pool].push_back(&host);
    }
  }
  // Max-min fairness: each host goes to the smallest pool that lacks capacity,
  // so that a pool with a large backlog does not starve the others.
  while (!short_pools.empty()) {
    const auto least =
        std::min_element(short_pools.begin(), short_pools.end(),
                         [](const auto& a, const auto& b) {
                           return a.second->capacity < b.second->capacity;
                         });
    const auto& [service, pool] = *least;
    HostRecord* const host = pool->wanted <= pool->capacity
                                 ? nullptr
                                 : this->TakeCheapestHostFor(service, &movable);
    if (host == nullptr) {
      short_pools.erase(least);
      continue;
    }
    const double cores =
        static_cast<double>(host->row.capacity.milli_cores) / 1000;
    const auto source = this->pools.find(host->row.pool);
    if (source != this->pools.end()) {
      --source->second.hosts;
      source->second.capacity -= cores;
    }
    this->Order(host, "", service, plan, now);
    pool->capacity += cores;
    ++pool->hosts;
  }
}

void HostPlanner::ReleaseIdleHosts(const EndpointMap& endpoints,
                                   const std::set<ZoneId>& zones_out,
                                   HostPlan* plan,
                                   Instant now) {
  ServiceId spare;
  for (const auto& [service, config] : this->services) {
    spare = config.spare ? service : spare;
  }
  if (spare.value.empty() ||
      now - this->started < this->config.min_observation) {
    return;
  }
  for (auto& [id, host] : this->hosts) {
    const auto pool = this->pools.find(host.row.pool);
    const double cores =
        static_cast<double>(host.row.capacity.milli_cores) / 1000;
    // A host whose endpoint is not known yet has just arrived.
    if (pool == this->pools.end() || !this->Movable(host, zones_out, now) ||
        !endpoints.contains(host.row.endpoint) ||
        now - host.idle_since < this->config.idle_before_spare ||
        !this->CanReleaseCores(host.row.pool, cores)) {
      continue;
    }
    --pool->second.hosts;
    pool->second.capacity -= cores;
    this->Order(&host, "", spare, plan, now);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Queries
//-----------------------------------------------------------------------------

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
      changed.push_back(WaveProgress{name, wave.begun, wave.reported_complete,
                                     wave.first_seen});
    }
  }
  return changed;
}

std::vector<std::string> HostPlanner::TakeDecisions() {
  return std::exchange(this->decisions, {});
}

}  // namespace peridot
