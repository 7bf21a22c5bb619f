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

#include <map>
#include <set>
#include <string>
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

  // Time a host may stand idle in its pool before it moves to the spare pool.
  Milliseconds idle_before_spare{2500};  // default: 2500 ms
  // Work that waits longer than this in a full pool asks for more hosts.
  Milliseconds backlog{400};  // default: 400 ms
  // Time in which the hosts asked for should work the backlog off.
  Milliseconds catch_up{2000};  // default: 2000 ms
  // Hosts that stay in each pool, so that the next peak starts at once.
  std::size_t pool_floor = 3;  // default: 3
  bool moves_enabled = true;   // default: true
};

//-----------------------------------------------------------------------------
// [SECTION] Inputs
//-----------------------------------------------------------------------------

enum class FleetHostState { kUp, kMoving, kUpkeep, kDown };

// One row of the platform's list of hosts.
struct FleetHost {
  HostId id;                   // default: empty
  ServiceId pool;              // default: empty
  FleetHostState state = FleetHostState::kDown;  // default: kDown
  ZoneId zone;                 // default: empty
  Resources capacity;          // default: none
  EndpointId endpoint;         // default: empty; none
};

// Hosts that are due for upkeep.
struct UpkeepWave {
  std::string name;              // default: empty; number of the wave
  std::vector<HostId> hosts;     // default: none
  std::size_t max_down = 1;      // default: 1; at the same time
};

//-----------------------------------------------------------------------------
// [SECTION] Outputs
//-----------------------------------------------------------------------------

struct HostOrder {
  HostId host;         // default: empty
  std::string wave;    // default: empty; a move otherwise
  ServiceId pool;      // default: empty; target of a move
};

enum class HostOrderReply { kDone, kBusy, kRefused, kNotSent, kUnknown };

struct HostPlan {
  std::vector<HostOrder> orders;
  std::vector<EndpointId> evict;  // end the work there; it restarts elsewhere
  bool read_hosts = false;        // a new list is needed
};

struct WaveProgress {
  std::string name;           // default: empty
  std::set<HostId> begun;     // default: none
  bool completed = false;     // default: false
};

//-----------------------------------------------------------------------------
// [SECTION] HostPlanner
//-----------------------------------------------------------------------------

class HostPlanner {
 public:
  HostPlanner(HostPlannerConfig config, Instant now);

  void OnServices(const std::map<ServiceId, ServiceConfig>& services);
  void OnWaves(const std::vector<UpkeepWave>& waves);
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
    ServiceId target;          // empty: no move is planned
    bool order_open = false;   // sent and not answered
    bool away = false;         // ordered; not seen up since
    Instant ordered{};
    Instant not_before{};      // no order before; after a refusal
    Instant idle_since{};
    bool idle = false;
  };
  struct Wave {
    UpkeepWave wave;
    std::set<HostId> begun;
    bool reported_complete = false;
    bool changed = true;
  };

  void PlanWaves(const std::map<EndpointId, const EndpointSummary*>& endpoints,
                 HostPlan* plan,
                 Instant now);
  void PlanMoves(const std::map<EndpointId, const EndpointSummary*>& endpoints,
                 const std::map<ServiceId, ServiceDemand>& demand,
                 const std::set<ZoneId>& zones_out,
                 HostPlan* plan,
                 Instant now);
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
  Instant list_sent{};
  bool have_list = false;
  std::vector<std::string> decisions;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_HOST_PLANNER_H_
