// Plans the upkeep of hosts and their moves between pools.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Inputs
//   [SECTION] Outputs
//   [SECTION] HostPlanner
//
// A pure state machine of the owner. A host is cordoned first, leaves when
// nothing runs on it, and counts as away until the list of hosts shows it up
// again. Not thread-safe.

#ifndef SRC_COORDINATION_HOST_PLANNER_H_
#define SRC_COORDINATION_HOST_PLANNER_H_

#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/job_scheduler.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct HostPlannerConfig {
  // No order before this much of ownership: an earlier owner's orders must not
  // mix with ours.
  Milliseconds quiet_after_takeover{3500};  // default: 3500 ms
  // Hosts cordoned ahead of those that may go down at the same time, so that
  // their running work ends meanwhile.
  std::size_t cordon_ahead = 2;  // default: 2
  // An order without an answer may still be carried out for this long.
  Milliseconds late_order{12000};  // default: 12 s

  // Share of a wave's time in which busy hosts are left to become idle by
  // themselves, unless their pool has hosts to spare.
  double patient_share = 0.4;  // default: 0.4
  // Hosts with work that lasts that are cordoned at the same time.
  std::size_t lasting_cordons = 2;  // default: 2

  // Time a host may stand idle in its pool before it moves to the spare pool:
  // two moves cost about as much as this time in a pool.
  Milliseconds idle_before_spare{700};  // default: 700 ms
  // A pool that lacks room for this long gets hosts; shorter peaks pass.
  Milliseconds shortage{150};  // default: 150 ms
  // Time in which the hosts of a pool should work its backlog off.
  Milliseconds catch_up{2500};  // default: 2500 ms
  // As above for work that is too late to be worth anything to its callers: it
  // has to be finished, but takes no hosts from work that can be in time.
  Milliseconds hopeless_catch_up{20000};  // default: 20 s
  // Time over which the rate of arriving work is measured.
  Milliseconds arrival_window{1500};  // default: 1500 ms
  // A peak shows in this shorter time as well, if enough jobs came in it that
  // their number says more than chance.
  Milliseconds onset_window{500};  // default: 500 ms
  int onset_jobs = 8;              // default: 8
  // Room that packing tasks on hosts leaves unused.
  double packing_loss = 0.15;  // default: 0.15
  // Demand is watched for this long before a pool gives hosts away: an owner
  // that has just begun does not know its rhythm.
  Milliseconds observe{5000};  // default: 5 s
  // A pool gives hosts away only if it did not need them in this time.
  Milliseconds recent{1500};  // default: 1500 ms
  // Hosts that stay in each pool, so that the next peak starts at once.
  std::size_t pool_floor = 2;  // default: 2
  bool moves_enabled = true;   // default: true
};

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

enum class FleetHostState { kUp, kMoving, kUpkeep, kDown };

// One row of the platform's list of hosts.
struct FleetHost {
  HostId id;                                     // default: empty
  ServiceId pool;                                // default: empty
  FleetHostState state = FleetHostState::kDown;  // default: kDown
  ZoneId zone;                                   // default: empty
  Resources capacity;                            // default: none
  EndpointId endpoint;                           // default: empty; none
};

// Hosts that are due for upkeep.
struct UpkeepWave {
  std::string name;           // default: empty; number of the wave
  std::vector<HostId> hosts;  // default: none
  std::size_t max_down = 1;   // default: 1; at the same time
  Milliseconds length{0};     // default: 0; time given for all of them
};

//-----------------------------------------------------------------------------
// [SECTION] Outputs
//-----------------------------------------------------------------------------

struct HostOrder {
  HostId host;       // default: empty
  std::string wave;  // default: empty; a move otherwise
  ServiceId pool;    // default: empty; target of a move
};

enum class HostOrderReply { kDone, kBusy, kRefused, kNotSent, kUnknown };

struct HostPlan {
  std::vector<HostOrder> orders;
  std::vector<EndpointId> evict;  // end the work there; it restarts elsewhere
  bool read_hosts = false;        // a new list is needed
};

struct WaveProgress {
  std::string name;        // default: empty
  std::set<HostId> begun;  // default: none
  bool completed = false;  // default: false
};

//-----------------------------------------------------------------------------
// [SECTION] HostPlanner
//-----------------------------------------------------------------------------

class HostPlanner {
 public:
  HostPlanner(HostPlannerConfig config, Instant now);

  void OnServices(const std::map<ServiceId, ServiceConfig>& services);
  void OnWaves(const std::vector<UpkeepWave>& waves, Instant now);
  // What an earlier owner recorded.
  void OnWaveProgress(const WaveProgress& progress);
  // The whole list; `sent` is when it was asked for.
  void OnHosts(std::vector<FleetHost> hosts, Instant sent, Instant now);
  void OnReply(const HostOrder& order, HostOrderReply reply, Instant now);

  // Requires the newest summaries of the scheduler. Orders are returned only
  // if may_order.
  HostPlan Advance(const std::vector<EndpointSummary>& endpoints,
                   const std::map<ServiceId, ServiceDemand>& demand,
                   const std::set<ZoneId>& zones_out,
                   bool may_order,
                   Instant now);

  // Endpoints that get no new work, after the last Advance().
  std::set<EndpointId> Cordoned() const;
  // Progress of waves that changed since the last call.
  std::vector<WaveProgress> TakeProgress();
  std::vector<std::string> TakeDecisions();

 private:
  struct HostRecord {
    FleetHost row;
    bool cordoned = false;
    ServiceId target;         // empty: no move is planned
    bool order_open = false;  // sent and not answered
    bool away = false;        // ordered; not seen up since
    Instant ordered{};        // or answered, whichever came last
    Instant not_before{};     // no order before; after a refusal
    Instant idle_since{};
    Instant not_explained_before{};
    bool idle = false;
  };
  struct Wave {
    UpkeepWave wave;
    std::set<HostId> begun;
    bool reported_complete = false;
    bool changed = true;
    Instant first_seen{};
  };
  // What a pool has and needs, in cores.
  struct PoolLoad {
    double capacity = 0;  // takes work, or will soon
    double wanted = 0;
    double recent = 0;   // highest demand lately
    double rate = 0;     // of arriving work
    double waiting = 0;  // core-seconds
    std::size_t hosts = 0;
    std::size_t coming = 0;  // of these, on their way
    std::size_t idle = 0;    // of these, without work
  };
  struct ArrivalSample {
    Instant at{};
    double core_seconds = 0;  // in all
    int jobs = 0;             // in all
  };
  struct PoolHistory {
    std::deque<std::pair<Instant, double>> wanted;
    std::deque<ArrivalSample> arrived;
    Instant short_since{};  // zero: the pool has room
  };
  using EndpointMap = std::map<EndpointId, const EndpointSummary*>;

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
  // Work that arrives for a service, in core-seconds a second.
  double ArrivalRate(const ServiceId& service,
                     const ServiceDemand& load,
                     Instant now);
  void FillPools(const std::set<ZoneId>& zones_out,
                 HostPlan* plan,
                 Instant now);
  // The host that leaves its pool for this one at the least cost, or null.
  HostRecord* HostFor(const ServiceId& pool,
                      const std::set<ZoneId>& zones_out,
                      Instant now);
  void EmptyPools(const EndpointMap& endpoints,
                  const std::set<ZoneId>& zones_out,
                  HostPlan* plan,
                  Instant now);
  bool Movable(const HostRecord& host,
               const std::set<ZoneId>& zones_out,
               Instant now) const;
  bool CanGive(const ServiceId& pool, double cores) const;
  // The pool that the host is in, or is on its way to.
  const ServiceId& PoolOf(const HostRecord& host) const;
  bool InOpenWave(const HostId& host) const;
  bool IsSpare(const ServiceId& pool) const;
  void Order(HostRecord* host,
             const std::string& wave,
             const ServiceId& pool,
             HostPlan* plan,
             Instant now);

  HostPlannerConfig config;
  Instant started{};
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
