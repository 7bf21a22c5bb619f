#include "src/coordination/buffer_planner.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <set>
#include <tuple>
#include <utility>

namespace peridot {
namespace {

constexpr int kUnlimited = std::numeric_limits<int>::max();

// The target of a pool and its parts.
struct Target {
  int floor = 0;     // hosts that must be left after the failure
  int headroom = 0;  // largest number of hosts lost in one domain
  int total = 0;     // hosts required
};

int Count(HostCount count) {
  return static_cast<int>(count.value);
}

Target TargetFor(int demand, int tolerated, const std::vector<int>& sizes) {
  Target target;
  target.floor = std::max(0, demand - tolerated);
  if (target.floor == 0 || sizes.empty()) {
    target.total = demand;
    return target;
  }
  const int largest = *std::max_element(sizes.begin(), sizes.end());
  for (int level = 1; level <= largest; ++level) {
    std::int64_t room = 0;
    for (const int size : sizes) {
      room += std::min(size, level);
    }
    target.headroom = level;
    if (room >= target.floor + level) {
      break;
    }
  }
  target.total = std::max(demand, target.floor + target.headroom);
  return target;
}

// The fleet with integer indices for zones, racks and pools. Pools are in the
// order of the input, followed by the spare pool.
class Fleet {
 public:
  Fleet(const BufferInput& input, const BufferConfig& config)
      : input(input), spare(static_cast<int>(input.pools.size())) {
    std::map<PoolId, int> pool_index;
    for (const BufferPool& pool : input.pools) {
      pool_index.emplace(pool.id, static_cast<int>(pool_index.size()));
    }
    pool_index.emplace(config.spare, this->spare);
    std::map<ZoneId, int> zone_index;
    std::map<std::pair<ZoneId, RackId>, int> rack_index;
    for (int i = 0; i < static_cast<int>(input.hosts.size()); ++i) {
      const BufferHost& host = input.hosts[static_cast<std::size_t>(i)];
      const auto pool = pool_index.find(host.pool);
      if (pool == pool_index.end() ||
          host.condition != HostCondition::kServing ||
          input.zones_out.contains(host.zone)) {
        continue;
      }
      const int zone =
          zone_index.emplace(host.zone, static_cast<int>(zone_index.size()))
              .first->second;
      const int rack = rack_index
                           .emplace(std::pair(host.zone, host.rack),
                                    static_cast<int>(rack_index.size()))
                           .first->second;
      this->hosts.push_back({i, zone, rack, pool->second, pool->second});
    }
    this->zone_sizes.assign(zone_index.size(), 0);
    this->rack_sizes.assign(rack_index.size(), 0);
    for (const Host& host : this->hosts) {
      ++this->zone_sizes[static_cast<std::size_t>(host.zone)];
      ++this->rack_sizes[static_cast<std::size_t>(host.rack)];
    }
  }

  // The target of a pool for the given demand.
  Target TargetOf(const BufferPool& pool, HostCount demand) const {
    switch (pool.survive) {
      case SurvivedFailure::kZone:
        return this->TargetIn(pool, demand, this->zone_sizes);
      case SurvivedFailure::kRack:
        return this->TargetIn(pool, demand, this->rack_sizes);
      case SurvivedFailure::kHost:
        return this->TargetIn(pool, demand,
                              std::vector<int>(this->hosts.size(), 1));
      case SurvivedFailure::kNone:
        return this->TargetIn(pool, demand, {});
    }
    return {};
  }

  // The lowest number of hosts that suffices for the costliest peak of one pool
  // and for the current demand.
  int RequiredHosts() const {
    int troughs = 0;
    int now = 0;
    int largest_rise = 0;
    for (const BufferPool& pool : this->input.pools) {
      const int trough = this->TargetOf(pool, pool.trough).total;
      troughs += trough;
      largest_rise = std::max(largest_rise,
                              this->TargetOf(pool, pool.peak).total - trough);
      now += this->TargetOf(pool, pool.demand).total;
    }
    return std::max(now, troughs + largest_rise);
  }

  // Serving hosts beyond `held`, selected so that the others are spread evenly
  // over zones and, within a zone, over racks. Hosts of the spare pool are
  // selected first.
  std::vector<HostId> SurplusHosts(int held) const {
    // (rank in its rack, index of the host), by zone
    std::vector<std::vector<std::pair<int, int>>> zones(
        this->zone_sizes.size());
    std::vector<int> rank(this->rack_sizes.size(), 0);
    for (const bool in_spare : {false, true}) {
      for (const Host& host : this->hosts) {
        if ((host.pool == this->spare) == in_spare) {
          zones[static_cast<std::size_t>(host.zone)].emplace_back(
              rank[static_cast<std::size_t>(host.rack)]++, host.index);
        }
      }
    }
    // (rank in its zone, index of the host)
    std::vector<std::pair<int, int>> order;
    for (auto& zone : zones) {
      std::sort(zone.begin(), zone.end());
      for (int i = 0; i < static_cast<int>(zone.size()); ++i) {
        order.emplace_back(i, zone[static_cast<std::size_t>(i)].second);
      }
    }
    std::sort(order.begin(), order.end());
    std::vector<HostId> surplus;
    for (std::size_t i = static_cast<std::size_t>(std::max(0, held));
         i < order.size(); ++i) {
      surplus.push_back(
          this->input.hosts[static_cast<std::size_t>(order[i].second)].id);
    }
    return surplus;
  }

  // Sets the number of hosts to which every pool is filled. Hosts of one domain
  // count only up to the headroom.
  void SetGoals(bool floors_only) {
    const std::size_t count = this->input.pools.size();
    this->goals.assign(count, {});
    for (std::size_t p = 0; p < count; ++p) {
      const BufferPool& pool = this->input.pools[p];
      const Target target = this->TargetOf(pool, pool.demand);
      Goal& goal = this->goals[p];
      goal.total = floors_only ? target.floor : target.total;
      const bool by_zone = pool.survive == SurvivedFailure::kZone;
      const bool by_rack = pool.survive == SurvivedFailure::kRack;
      goal.domain_limit = !floors_only && (by_zone || by_rack)
                              ? std::max(1, target.total - target.floor)
                              : kUnlimited;
      goal.by_zone.assign(this->zone_sizes.size(), 0);
      goal.by_rack.assign(this->rack_sizes.size(), 0);
    }
    for (const Host& host : this->hosts) {
      if (host.pool != this->spare) {
        this->Add(host, host.pool);
      }
    }
  }

  // Lends hosts until every pool reaches its goal or no host can be lent. Pools
  // that survive a larger failure come first.
  void FillAll(bool floors_only) {
    std::vector<int> order(this->goals.size());
    std::iota(order.begin(), order.end(), 0);
    std::stable_sort(order.begin(), order.end(), [this](int a, int b) {
      return this->Pool(a).survive > this->Pool(b).survive;
    });
    for (const int pool : order) {
      while (this->GoalOf(pool).usable < this->GoalOf(pool).total &&
             (this->LendOne(pool, floors_only) || this->LendByChain(pool))) {
      }
    }
  }

  // Returns hosts above the goal to the spare pool.
  void ReturnExcessHosts(int pool) {
    for (Host& host : this->hosts) {
      if (host.pool == pool && this->CanLend(host)) {
        this->Move(&host, this->spare);
      }
    }
  }

  int HostsAboveGoal(int pool) const {
    const Goal& goal = this->goals[static_cast<std::size_t>(pool)];
    return goal.count - goal.total;
  }
  int HostsMissing(int pool) const {
    const Goal& goal = this->goals[static_cast<std::size_t>(pool)];
    return std::max(0, goal.total - goal.usable);
  }
  int Serving() const { return static_cast<int>(this->hosts.size()); }

  std::vector<BufferMove> Moves(const BufferConfig& config) const {
    std::vector<BufferMove> moves;
    for (const Host& host : this->hosts) {
      if (host.pool != host.first_pool) {
        const BufferHost& from =
            this->input.hosts[static_cast<std::size_t>(host.index)];
        moves.push_back({from.id, from.pool,
                         host.pool == this->spare ? config.spare
                                                  : this->Pool(host.pool).id});
      }
    }
    return moves;
  }

 private:
  struct Host {
    int index = 0;  // in the input
    int zone = 0;
    int rack = 0;
    int pool = 0;        // as planned
    int first_pool = 0;  // as in the input
  };
  struct Goal {
    int total = 0;
    int domain_limit = kUnlimited;  // hosts of one domain that count
    int count = 0;                  // hosts in the pool
    int usable = 0;                 // of these, within the domain limit
    std::vector<int> by_zone;
    std::vector<int> by_rack;
  };

  const BufferPool& Pool(int pool) const {
    return this->input.pools[static_cast<std::size_t>(pool)];
  }
  Goal& GoalOf(int pool) { return this->goals[static_cast<std::size_t>(pool)]; }

  Target TargetIn(const BufferPool& pool,
                  HostCount demand,
                  const std::vector<int>& sizes) const {
    return TargetFor(Count(demand), Count(pool.max_unavailable), sizes);
  }

  // Hosts of the pool in the host's failure domain.
  int InDomain(const Host& host, int pool) const {
    const Goal& goal = this->goals[static_cast<std::size_t>(pool)];
    return this->Pool(pool).survive == SurvivedFailure::kZone
               ? goal.by_zone[static_cast<std::size_t>(host.zone)]
               : goal.by_rack[static_cast<std::size_t>(host.rack)];
  }
  bool HasRoom(const Host& host, int pool) {
    return this->InDomain(host, pool) < this->GoalOf(pool).domain_limit;
  }

  void Add(const Host& host, int pool) {
    Goal& goal = this->GoalOf(pool);
    goal.usable += this->HasRoom(host, pool) ? 1 : 0;
    ++goal.count;
    ++goal.by_zone[static_cast<std::size_t>(host.zone)];
    ++goal.by_rack[static_cast<std::size_t>(host.rack)];
  }
  void Remove(const Host& host, int pool) {
    Goal& goal = this->GoalOf(pool);
    --goal.count;
    --goal.by_zone[static_cast<std::size_t>(host.zone)];
    --goal.by_rack[static_cast<std::size_t>(host.rack)];
    goal.usable -= this->HasRoom(host, pool) ? 1 : 0;
  }
  void Move(Host* host, int to) {
    if (host->pool != this->spare) {
      this->Remove(*host, host->pool);
    }
    host->pool = to;
    if (to != this->spare) {
      this->Add(*host, to);
    }
  }

  // Whether the host's pool still reaches its goal without the host.
  bool CanLend(const Host& host) {
    if (host.pool == this->spare) {
      return true;
    }
    const Goal& goal = this->GoalOf(host.pool);
    return goal.usable > goal.total ||
           this->InDomain(host, host.pool) > goal.domain_limit;
  }

  // Lends the host that keeps the pool spread best over its domains. If
  // allow_below_floor is set, a pool that is configured to survive a smaller
  // failure lends hosts even below its own floor.
  bool LendOne(int pool, bool allow_below_floor) {
    using Key = std::tuple<bool, int, int, bool, int>;
    Host* best = nullptr;
    Key best_key{};
    for (Host& host : this->hosts) {
      if (host.pool == pool || !this->HasRoom(host, pool)) {
        continue;
      }
      const bool from_spare = host.pool == this->spare;
      const bool free = this->CanLend(host);
      if (!free && !(allow_below_floor && this->Pool(host.pool).survive <
                                              this->Pool(pool).survive)) {
        continue;
      }
      const Key key{
          !free, this->InDomain(host, pool),
          this->GoalOf(pool).by_zone[static_cast<std::size_t>(host.zone)],
          !from_spare, from_spare ? 0 : -this->HostsAboveGoal(host.pool)};
      if (best == nullptr || key < best_key) {
        best = &host;
        best_key = key;
      }
    }
    if (best == nullptr) {
      return false;
    }
    this->Move(best, pool);
    return true;
  }

  // Lends along a chain (an augmenting path): the pool takes a host from a pool
  // at its goal, which takes one from another pool, and so on to a free host.
  // This is needed when the free hosts are in domains that the pool has filled.
  bool LendByChain(int pool) {
    // The chain can also end at a host of the pool itself, if that host is in a
    // domain that exceeds its limit.
    const bool any_free =
        std::any_of(this->hosts.begin(), this->hosts.end(),
                    [this](const Host& host) { return this->CanLend(host); });
    std::set<std::pair<int, int>> seen;
    return any_free && this->ExtendChain(pool, &seen);
  }

  // Hosts of one rack and pool are interchangeable, so each such group is tried
  // once.
  bool ExtendChain(int pool, std::set<std::pair<int, int>>* seen) {
    if (this->LendOne(pool, false)) {
      return true;
    }
    for (Host& host : this->hosts) {
      const int lender = host.pool;
      if (lender == pool || lender == this->spare ||
          !this->HasRoom(host, pool) ||
          !seen->emplace(lender, host.rack).second) {
        continue;
      }
      this->Move(&host, pool);
      if (this->ExtendChain(lender, seen)) {
        return true;
      }
      this->Move(&host, lender);
    }
    return false;
  }

  const BufferInput& input;
  int spare;
  std::vector<Host> hosts;  // serving, in the order of the input
  std::vector<int> zone_sizes;
  std::vector<int> rack_sizes;
  std::vector<Goal> goals;
};

void AddLine(PoolBuffer* pool, BufferReason reason, std::int64_t hosts) {
  if (hosts != 0) {
    pool->lines.push_back({reason, HostCount(hosts)});
  }
}

// Counts the absent hosts of each pool by reason.
std::map<PoolId, std::map<BufferReason, int>> CountAbsent(
    const BufferInput& input) {
  std::map<PoolId, std::map<BufferReason, int>> absent;
  for (const BufferHost& host : input.hosts) {
    if (input.zones_out.contains(host.zone)) {
      ++absent[host.pool][BufferReason::kZoneOut];
    } else if (host.condition == HostCondition::kFailed) {
      ++absent[host.pool][BufferReason::kFailed];
    } else if (host.condition == HostCondition::kMaintenance) {
      ++absent[host.pool][BufferReason::kMaintenance];
    }
  }
  return absent;
}

}  // namespace

const char* BufferReasonName(BufferReason reason) {
  switch (reason) {
    case BufferReason::kDemand:
      return "demand";
    case BufferReason::kHeadroom:
      return "headroom";
    case BufferReason::kTolerated:
      return "tolerated";
    case BufferReason::kMaintenance:
      return "maintenance";
    case BufferReason::kFailed:
      return "failed";
    case BufferReason::kZoneOut:
      return "zone_out";
    case BufferReason::kShared:
      return "shared";
    case BufferReason::kMissing:
      return "missing";
  }
  return "unknown";
}

HostCount MinTarget(HostCount demand,
                    HostCount max_unavailable,
                    const std::vector<int>& domain_sizes) {
  return HostCount(
      TargetFor(Count(demand), Count(max_unavailable), domain_sizes).total);
}

BufferPlanner::BufferPlanner(BufferConfig config) : config(std::move(config)) {}

BufferPlan BufferPlanner::OnState(const BufferInput& input, Instant now) {
  Fleet fleet(input, this->config);
  BufferPlan plan;
  const int held = fleet.RequiredHosts();
  plan.held = HostCount(held);
  plan.missing = HostCount(std::max(0, held - fleet.Serving()));
  plan.surplus = fleet.SurplusHosts(held);

  int targets = 0;
  for (const BufferPool& pool : input.pools) {
    targets += fleet.TargetOf(pool, pool.demand).total;
  }
  plan.shared = HostCount(held - targets);
  // If there are too few hosts for all targets, every pool is filled to its
  // floor first.
  if (targets > fleet.Serving()) {
    fleet.SetGoals(true);
    fleet.FillAll(true);
  }
  fleet.SetGoals(false);
  fleet.FillAll(false);

  const auto absent = CountAbsent(input);
  for (std::size_t p = 0; p < input.pools.size(); ++p) {
    const BufferPool& pool = input.pools[p];
    const int index = static_cast<int>(p);
    if (fleet.HostsAboveGoal(index) <= Count(this->config.return_threshold)) {
      this->above_since.erase(pool.id);
    } else if (now - this->above_since.emplace(pool.id, now).first->second >=
               this->config.return_after) {
      fleet.ReturnExcessHosts(index);
      this->above_since.erase(pool.id);
    }
    const Target target = fleet.TargetOf(pool, pool.demand);
    PoolBuffer row;
    row.pool = pool.id;
    row.target = HostCount(target.total);
    row.buffer = row.target - pool.demand;
    AddLine(&row, BufferReason::kDemand, pool.demand.value);
    AddLine(&row, BufferReason::kHeadroom, target.headroom);
    AddLine(&row, BufferReason::kTolerated,
            target.total - pool.demand.value - target.headroom);
    if (const auto found = absent.find(pool.id); found != absent.end()) {
      for (const auto& [reason, hosts] : found->second) {
        AddLine(&row, reason, hosts);
      }
    }
    const int at_peak = fleet.TargetOf(pool, pool.peak).total;
    AddLine(&row, BufferReason::kShared,
            std::min<std::int64_t>(std::max(0, at_peak - target.total),
                                   plan.shared.value));
    AddLine(&row, BufferReason::kMissing, fleet.HostsMissing(index));
    plan.pools.push_back(std::move(row));
  }
  plan.moves = fleet.Moves(this->config);
  return plan;
}

}  // namespace peridot
