// Plans the maintenance of hosts and their moves between pools.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Inputs
//   [SECTION] Outputs
//   [SECTION] HostPlanner
//
// A pure state machine that only the owner runs. A host is cordoned first, is
// ordered away once nothing runs on it, and counts as away until the list of
// hosts shows it up again. Not thread-safe.

#ifndef SRC_COORDINATION_HOST_PLANNER_H_
#define SRC_COORDINATION_HOST_PLANNER_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/coordination/job_scheduler.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct HostPlannerConfig {
  // Minimum time between orders of two owners for one host: orders of the
  // previous owner may still be in flight. Without a record of those orders, a
  // new owner waits this long before its first order.
  Milliseconds order_delay_after_takeover{3500};
  // No order for this long after a takeover in any case: the endpoints that
  // were not polled yet would count as missing capacity. Maintenance ends
  // running work and always waits for order_delay_after_takeover.
  Milliseconds settle_time{500};
  // Number of busy hosts of a wave that are cordoned ahead of time, so that
  // their running work ends while other hosts are down.
  std::size_t cordon_ahead = 2;
  // An unanswered order may still take effect within this time.
  Milliseconds order_timeout{12000};

  // Share of a wave's time during which busy hosts may become idle on their
  // own; until then they are cordoned only if their pool has capacity to spare.
  double voluntary_drain_share = 0.4;
  // Number of hosts with long-running work that are cordoned at the same time.
  std::size_t long_running_cordons = 2;

  // Time that a host stays idle in its pool before it moves to the spare pool:
  // two moves cost about as much as keeping it in the pool for this long.
  Milliseconds idle_before_spare{700};
  // A pool gets hosts once it has lacked capacity for this long; shorter peaks
  // pass without moves.
  Milliseconds shortage_delay{150};
  // Time within which the hosts of a pool should complete its backlog.
  Milliseconds backlog_drain_time{2500};
  // As above for work that is too late to have value to its callers: it must be
  // completed, but must not take hosts from work that can still be in time.
  Milliseconds expired_backlog_drain_time{20000};
  // Fraction of capacity lost to fragmentation when tasks are packed on hosts.
  double fragmentation_overhead = 0.15;
  // No pool releases hosts for this long after a takeover: a new owner has no
  // history of the demand.
  Milliseconds min_observation{5000};
  // A pool releases hosts only if its peak demand within this time fits into
  // the remaining ones.
  Milliseconds recent{1500};
  // Minimum number of hosts in each pool, so that the tasks of the next peak
  // start at once.
  std::size_t min_pool_hosts = 2;
  // As above, as a share of an equal division of the fleet's hosts among the
  // pools. A move takes longer than a short job may wait, so the work of the
  // first seconds of a peak is in time only on hosts that are there already.
  double reserve_share = 0.25;
  bool moves_enabled = true;
};

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

enum class FleetHostState { kUp, kMoving, kMaintenance, kDown };

// One entry of the platform's list of hosts.
struct FleetHost {
  HostId id;
  ServiceId pool;
  FleetHostState state = FleetHostState::kDown;
  ZoneId zone;
  Resources capacity;
  EndpointId endpoint;  // empty: none
};

// Hosts that are due for maintenance.
struct MaintenanceWave {
  std::string name;  // number of the wave
  std::vector<HostId> hosts;
  std::size_t max_down = 1;  // hosts that may be down at the same time
  Milliseconds length{0};    // time for all hosts of the wave
};

//-----------------------------------------------------------------------------
// [SECTION] Outputs
//-----------------------------------------------------------------------------

struct HostOrder {
  HostId host;
  std::string wave;  // empty: the order is a move
  ServiceId pool;    // target of a move
};

enum class HostOrderReply { kDone, kBusy, kRefused, kNotSent, kUnknown };

struct HostPlan {
  std::vector<HostOrder> orders;
  std::vector<EndpointId> evict;  // stop work there; it restarts elsewhere
  bool read_hosts = false;        // the list of hosts must be read again
};

struct WaveProgress {
  std::string name;
  std::set<HostId> begun;
  bool completed = false;
  // When an owner first saw the wave: its time runs on across takeovers.
  Instant first_seen{};
};

// The previous owner recorded an order for this host before it sent the order.
struct PreviousHostOrder {
  HostId host;
  Instant latest{};  // the order was not sent later than this
};

//-----------------------------------------------------------------------------
// [SECTION] HostPlanner
//-----------------------------------------------------------------------------

class HostPlanner {
 public:
  HostPlanner(HostPlannerConfig config, Instant now);

  void OnServices(const std::map<ServiceId, ServiceConfig>& services);
  void OnWaves(const std::vector<MaintenanceWave>& waves, Instant now);
  // All orders of previous owners that were recorded and may still be in
  // flight. Only their hosts wait before they get an order of this owner.
  void OnPreviousOrders(const std::vector<PreviousHostOrder>& orders);
  // Progress that a previous owner recorded.
  void OnWaveProgress(const WaveProgress& progress);
  // The complete list of hosts; `sent` is when the request for it was sent.
  void OnHosts(std::vector<FleetHost> hosts, Instant sent, Instant now);
  void OnReply(const HostOrder& order, HostOrderReply reply, Instant now);

  // Requires the newest summaries and demand of the job scheduler. Without
  // `may_order` the plan holds no orders.
  HostPlan Advance(const std::vector<EndpointSummary>& endpoints,
                   const std::map<ServiceId, ServiceDemand>& demand,
                   const std::set<ZoneId>& zones_out,
                   bool may_order,
                   Instant now);

  // Endpoints that must get no new work, as of the last Advance().
  std::set<EndpointId> Cordoned() const;
  // Returns the progress of waves that changed since the last call.
  std::vector<WaveProgress> TakeProgress();
  std::vector<std::string> TakeDecisions();

 private:
  struct HostRecord {
    FleetHost row;
    bool cordoned = false;
    ServiceId target;         // pool of an ordered move; empty: none
    bool order_open = false;  // sent, not answered yet
    bool away =
        false;  // a move or maintenance was ordered; not listed as up since
    Instant ordered{};     // when the order was sent, or answered if later
    Instant not_before{};  // no order before; set after a refusal
    Instant idle_since{};
    Instant next_wait_log{};
    bool idle = false;
    bool in_open_wave = false;  // due for maintenance that has not begun
  };
  struct Wave {
    MaintenanceWave wave;
    std::set<HostId> begun;
    bool reported_complete = false;
    bool changed = true;
    Instant first_seen{};
  };
  // Capacity and demand of a pool, in cores.
  struct PoolLoad {
    double capacity = 0;  // of hosts in service or about to be
    double wanted = 0;
    double recent = 0;                // peak of wanted within config.recent
    double arrival_rate = 0;          // arrival rate, core-seconds per second
    double backlog_core_seconds = 0;  // backlog in core-seconds
    std::size_t hosts = 0;
    std::size_t arriving = 0;  // of these, about to enter service
    std::size_t idle = 0;      // of these, without work
  };
  struct PoolHistory {
    std::deque<std::pair<Instant, double>> wanted;
    Instant short_since{};  // zero: capacity covers the demand
  };
  using EndpointMap = std::unordered_map<EndpointId, const EndpointSummary*>;
  // Hosts that may move, by pool.
  using MovableHosts = std::map<ServiceId, std::vector<HostRecord*>>;

  void PlanWaves(const EndpointMap& endpoints, HostPlan* plan, Instant now);
  void PlanWave(const std::string& name,
                Wave* wave,
                const EndpointMap& endpoints,
                HostPlan* plan,
                Instant now);
  void MeasurePools(const EndpointMap& endpoints,
                    const std::map<ServiceId, ServiceDemand>& demand,
                    const std::set<ZoneId>& zones_out,
                    Instant now);
  void LogPools(Instant now);
  void AddHostsToPools(const std::set<ZoneId>& zones_out,
                       HostPlan* plan,
                       Instant now);
  // Removes and returns the host that is cheapest to move to this pool; null if
  // there is none.
  HostRecord* TakeCheapestHostFor(const ServiceId& pool,
                                  MovableHosts* movable) const;
  void ReleaseIdleHosts(const EndpointMap& endpoints,
                        const std::set<ZoneId>& zones_out,
                        HostPlan* plan,
                        Instant now);
  bool Movable(const HostRecord& host,
               const std::set<ZoneId>& zones_out,
               Instant now) const;
  // Returns the minimum number of hosts in each pool.
  std::size_t MinPoolHosts() const;
  // Returns whether the pool can do without these cores: its demand of the
  // recent past fits into the rest, or, for a pool that lacks capacity, its
  // present demand.
  bool CanReleaseCores(const ServiceId& pool, double cores) const;
  bool CanLendCores(const ServiceId& pool, double cores) const;
  // Returns the pool that the host belongs to or is moving to.
  const ServiceId& PoolOf(const HostRecord& host) const;
  void MarkHostsInOpenWaves();
  bool IsSpare(const ServiceId& pool) const;
  void DelayAfterPreviousOrder(HostRecord* host) const;
  void Order(HostRecord* host,
             const std::string& wave,
             const ServiceId& pool,
             HostPlan* plan,
             Instant now);

  HostPlannerConfig config;
  Instant started{};
  Instant orders_from{};                      // no order before
  std::map<HostId, Instant> previous_orders;  // no order for the host before
  std::map<ServiceId, ServiceConfig> services;
  std::map<HostId, HostRecord> hosts;
  std::map<std::string, Wave> waves;
  std::map<std::string, WaveProgress> earlier;
  std::map<ServiceId, PoolLoad> pools;
  std::map<ServiceId, PoolHistory> history;
  Instant list_sent{};
  Instant next_pool_log{};
  bool have_list = false;
  std::vector<std::string> decisions;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_HOST_PLANNER_H_
