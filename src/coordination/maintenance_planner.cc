#include "src/coordination/maintenance_planner.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace peridot {
namespace {

constexpr std::array<const char*, 4> kStateNames = {"pending", "draining",
                                                    "down", "done"};

// Number of hosts of one pool by failure domain.
using DomainSizes = std::map<std::pair<ZoneId, RackId>, int>;

// A host during planning. `state` includes the steps planned so far.
struct Member {
  const MaintenanceHost* row = nullptr;
  MaintenanceState state = MaintenanceState::kPending;
  bool zone_out = false;

  bool IsPlanned() const {
    return this->state == MaintenanceState::kDraining ||
           this->state == MaintenanceState::kDown;
  }
  bool Serves() const {
    return !this->IsPlanned() && !this->row->failed_for && !this->zone_out;
  }
};

std::pair<ZoneId, RackId> DomainOf(const MaintenanceHost& host,
                                   SurvivedFailure failure) {
  return {host.zone, failure == SurvivedFailure::kZone ? RackId() : host.rack};
}

// Number of hosts lost in the largest failure.
int HeadroomOf(SurvivedFailure failure, const DomainSizes& sizes) {
  if (failure == SurvivedFailure::kNone || sizes.empty()) {
    return 0;
  }
  if (failure == SurvivedFailure::kHost) {
    return 1;
  }
  int largest = 0;
  for (const auto& [domain, hosts] : sizes) {
    largest = std::max(largest, hosts);
  }
  return largest;
}

// One pool during planning.
struct PoolPlanState {
  const MaintenancePool* settings = nullptr;
  std::vector<Member> members;  // own hosts, ordered by zone, rack and id
  std::vector<const MaintenanceHost*> borrowed_hosts;  // lent to this pool

  DomainSizes SizesAtHome() const {
    DomainSizes sizes;
    for (const Member& member : this->members) {
      ++sizes[DomainOf(*member.row, this->settings->survive)];
    }
    return sizes;
  }
  bool IsFinished() const {
    return std::all_of(this->members.begin(), this->members.end(),
                       [](const Member& member) {
                         return member.state == MaintenanceState::kDone;
                       });
  }
};

struct Budget {
  int allowed = 0;  // absent hosts allowed beside the headroom; may be negative
  int absent = 0;   // planned and unplanned
  int zone_out = 0;  // of these, absent only because their zone is out
};

class WavePlanBuilder {
 public:
  WavePlanBuilder(const MaintenanceInput& input,
                  const MaintenanceConfig& config)
      : input(input), config(config) {
    std::map<PoolId, std::size_t> index;
    for (const MaintenancePool& pool : input.pools) {
      index.emplace(pool.id, this->pools.size());
      this->pools.push_back({&pool, {}, {}});
    }
    for (const MaintenanceHost& host : input.hosts) {
      const auto pool = index.find(host.pool);
      if (pool == index.end()) {
        continue;
      }
      PoolPlanState& work = this->pools[pool->second];
      if (host.home == host.pool) {
        work.members.push_back(
            {&host, host.state, input.zones_out.contains(host.zone)});
      } else {
        work.borrowed_hosts.push_back(&host);
      }
    }
    for (PoolPlanState& pool : this->pools) {
      std::sort(pool.members.begin(), pool.members.end(),
                [](const Member& a, const Member& b) {
                  return std::tie(a.row->zone, a.row->rack, a.row->id) <
                         std::tie(b.row->zone, b.row->rack, b.row->id);
                });
    }
  }

  MaintenancePlan BuildPlan() {
    const int storm = this->CountStorm();
    this->plan.storm = storm > 0;
    this->plan.done = true;
    this->plan.estimated_end = Duration(0);
    const bool starts_blocked =
        this->input.paused ||
        (this->plan.storm && this->input.priority != WavePriority::kUrgent);
    for (PoolPlanState& pool : this->pools) {
      this->Advance(&pool);
      this->Revoke(&pool);
    }
    for (PoolPlanState& pool : this->pools) {
      this->ReturnBorrowedHosts(pool);
      if (!starts_blocked) {
        this->Borrow(pool);
        this->Start(&pool);
      }
    }
    if (this->input.paused) {
      this->Wait(WaitReason::kPaused, PoolId(), 0);
    }
    if (this->plan.storm) {
      this->Wait(WaitReason::kStorm, PoolId(), storm);
    }
    for (const PoolPlanState& pool : this->pools) {
      this->ReportWaits(pool);
    }
    this->ListNext();
    // The wave is done only once the rows show it, not when the plan would
    // complete it.
    this->plan.done =
        this->plan.done && this->plan.steps.empty() && this->plan.moves.empty();
    return std::move(this->plan);
  }

 private:
  // Number of hosts that failed recently, or 0 if they are too few for a storm.
  int CountStorm() const {
    int recent = 0;
    for (const MaintenanceHost& host : this->input.hosts) {
      recent += host.failed_for && *host.failed_for < this->config.storm_window
                    ? 1
                    : 0;
    }
    const auto part = static_cast<std::int64_t>(this->input.hosts.size()) /
                      this->config.storm_fleet_divisor;
    return recent >= std::max(this->config.storm_min_hosts.value, part) ? recent
                                                                        : 0;
  }

  Budget BudgetOf(const PoolPlanState& pool) const {
    DomainSizes sizes = pool.SizesAtHome();
    int lent = 0;
    for (const MaintenanceHost* borrowed : pool.borrowed_hosts) {
      if (!borrowed->failed_for &&
          !this->input.zones_out.contains(borrowed->zone)) {
        ++sizes[DomainOf(*borrowed, pool.settings->survive)];
        ++lent;
      }
    }
    Budget budget;
    budget.allowed = static_cast<int>(pool.settings->max_unavailable.value) +
                     lent - HeadroomOf(pool.settings->survive, sizes);
    for (const Member& member : pool.members) {
      const bool absent = member.IsPlanned() || member.row->failed_for;
      budget.absent += absent || member.zone_out ? 1 : 0;
      budget.zone_out += !absent && member.zone_out ? 1 : 0;
    }
    return budget;
  }

  void Step(Member* member, MaintenanceState to) {
    this->plan.steps.push_back({member->row->id, member->state, to});
    member->state = to;
  }

  // Marks hosts that were down and serve again as done.
  void Advance(PoolPlanState* pool) {
    for (Member& member : pool->members) {
      if (member.state == MaintenanceState::kDown && member.row->back) {
        this->Step(&member, MaintenanceState::kDone);
      }
    }
  }

  // Returns draining hosts to service if failures after their grant exceed the
  // budget, and takes the other draining hosts down once they are drained. The
  // last host in order, which was granted last, is returned first.
  void Revoke(PoolPlanState* pool) {
    const Budget budget = this->BudgetOf(*pool);
    int excess = budget.absent - budget.allowed;
    int excess_in_zone_out = excess - budget.zone_out;
    for (auto member = pool->members.rbegin(); member != pool->members.rend();
         ++member) {
      if (member->state != MaintenanceState::kDraining ||
          member->row->failed_for) {
        continue;
      }
      // Returning a host of a zone that is out does not make it serve.
      if (member->zone_out ? excess_in_zone_out > 0 : excess > 0) {
        this->Step(&*member, MaintenanceState::kPending);
        --excess_in_zone_out;
        excess -= member->zone_out ? 0 : 1;
      }
    }
    for (Member& member : pool->members) {
      if (member.state == MaintenanceState::kDraining && member.row->drained) {
        this->Step(&member, MaintenanceState::kDown);
      }
    }
  }

  // Starts drains while the budget allows one more absent host.
  void Start(PoolPlanState* pool) {
    Budget budget = this->BudgetOf(*pool);
    for (Member& member : pool->members) {
      if (member.state != MaintenanceState::kPending ||
          member.row->failed_for || this->lent_hosts.contains(member.row->id)) {
        continue;
      }
      // A host of a zone that is out is absent already. Its drain is started
      // only if the budget is kept when the zone returns without the host.
      const int absent =
          member.zone_out ? budget.absent - budget.zone_out : budget.absent;
      if (absent + 1 > budget.allowed) {
        continue;
      }
      this->Step(&member, MaintenanceState::kDraining);
      budget.absent += member.zone_out ? 0 : 1;
      budget.zone_out -= member.zone_out ? 1 : 0;
    }
  }

  // Number of hosts that may be absent beside the headroom, without loans.
  static int OwnDrainCapacity(const PoolPlanState& pool) {
    return static_cast<int>(pool.settings->max_unavailable.value) -
           HeadroomOf(pool.settings->survive, pool.SizesAtHome());
  }

  // Number of concurrent drains with which a borrowing pool takes no longer
  // than the slowest pool that needs no loan. It depends only on the settings
  // and sizes of the pools, so it stays the same throughout the wave.
  int TargetDrainCapacity(const PoolPlanState& pool) const {
    int rounds = 0;
    for (const PoolPlanState& other : this->pools) {
      const int drain_capacity = OwnDrainCapacity(other);
      if (drain_capacity >= 1 && other.settings->id != this->config.spare) {
        const int hosts = static_cast<int>(other.members.size());
        rounds =
            std::max(rounds, (hosts + drain_capacity - 1) / drain_capacity);
      }
    }
    const int hosts = static_cast<int>(pool.members.size());
    return rounds == 0 ? 1 : std::max(1, (hosts + rounds - 1) / rounds);
  }

  // Lends the pool the hosts that it needs, each from the domain in which the
  // pool has the fewest hosts.
  void Borrow(const PoolPlanState& pool) {
    if (pool.settings->id == this->config.spare || pool.IsFinished() ||
        OwnDrainCapacity(pool) >= 1) {
      return;
    }
    const SurvivedFailure failure = pool.settings->survive;
    DomainSizes sizes = pool.SizesAtHome();
    int lent = 0;
    for (const MaintenanceHost* borrowed : pool.borrowed_hosts) {
      if (!borrowed->failed_for ||
          *borrowed->failed_for < this->config.borrowed_host_replace_after) {
        ++sizes[DomainOf(*borrowed, failure)];
        ++lent;
      }
    }
    const auto drain_capacity = [&] {
      return static_cast<int>(pool.settings->max_unavailable.value) + lent -
             HeadroomOf(failure, sizes);
    };
    const int target_capacity = this->TargetDrainCapacity(pool);
    int best_capacity = std::max(0, drain_capacity());
    std::size_t useful_loans = 0;  // loans up to the largest capacity
    std::vector<const MaintenanceHost*> chosen;
    std::vector<const MaintenanceHost*> lendable_hosts = this->LendableHosts();
    const auto keep =
        static_cast<std::size_t>(this->config.spare_min_hosts.value);
    while (best_capacity < target_capacity && lendable_hosts.size() > keep) {
      const auto best = std::min_element(
          lendable_hosts.begin(), lendable_hosts.end(),
          [&](const MaintenanceHost* a, const MaintenanceHost* b) {
            const auto key = [&](const MaintenanceHost* host) {
              const auto found = sizes.find(DomainOf(*host, failure));
              return std::pair(found == sizes.end() ? 0 : found->second,
                               host->state != MaintenanceState::kDone);
            };
            return key(a) < key(b);
          });
      ++sizes[DomainOf(**best, failure)];
      ++lent;
      chosen.push_back(*best);
      lendable_hosts.erase(best);
      if (drain_capacity() > best_capacity) {
        best_capacity = drain_capacity();
        useful_loans = chosen.size();
      }
    }
    // Loans that add no drain capacity would only cause moves.
    chosen.resize(useful_loans);
    for (const MaintenanceHost* host : chosen) {
      this->lent_hosts.insert(host->id);
      this->plan.moves.push_back({host->id, host->pool, pool.settings->id});
    }
    if (best_capacity < 1 || useful_loans > 0) {
      this->Wait(WaitReason::kLoan, pool.settings->id,
                 static_cast<int>(useful_loans));
    }
  }

  // Serving hosts of the spare pool that this plan has not lent yet.
  std::vector<const MaintenanceHost*> LendableHosts() const {
    std::vector<const MaintenanceHost*> lendable_hosts;
    for (const PoolPlanState& pool : this->pools) {
      if (pool.settings->id != this->config.spare) {
        continue;
      }
      for (const Member& member : pool.members) {
        if (member.Serves() && !this->lent_hosts.contains(member.row->id)) {
          lendable_hosts.push_back(member.row);
        }
      }
    }
    return lendable_hosts;
  }

  // Returns the borrowed hosts of a finished pool, and those that have been
  // failed for borrowed_host_replace_after.
  void ReturnBorrowedHosts(const PoolPlanState& pool) {
    const bool finished = pool.IsFinished();
    for (const MaintenanceHost* borrowed : pool.borrowed_hosts) {
      const bool lost =
          borrowed->failed_for &&
          *borrowed->failed_for >= this->config.borrowed_host_replace_after;
      if (finished || lost) {
        this->plan.moves.push_back(
            {borrowed->id, borrowed->pool, borrowed->home});
      }
      this->plan.done = false;
    }
  }

  void Wait(WaitReason reason, const PoolId& pool, int hosts) {
    this->plan.waits.push_back({reason, pool, HostCount(hosts)});
  }

  void ReportWaits(const PoolPlanState& pool) {
    const Budget budget = this->BudgetOf(pool);
    std::map<WaitReason, int> waits;
    Duration work{};
    for (const Member& member : pool.members) {
      const auto reason =
          member.state == MaintenanceState::kDraining ? WaitReason::kDrain
          : member.state == MaintenanceState::kDown   ? WaitReason::kRestart
          : member.row->failed_for                    ? WaitReason::kFailed
                                                      : WaitReason::kBudget;
      if (member.state == MaintenanceState::kDone) {
        continue;
      }
      ++waits[reason];
      work += member.state == MaintenanceState::kDown
                  ? this->config.expected_down
                  : this->config.expected_drain + this->config.expected_down;
    }
    for (const auto& [reason, hosts] : waits) {
      this->Wait(reason, pool.settings->id, hosts);
    }
    if (waits.empty()) {
      return;
    }
    this->plan.done = false;
    if (budget.allowed < 1 || !this->plan.estimated_end) {
      this->plan.estimated_end.reset();
      return;
    }
    // The last host of a pool takes its full time, however many drains may run
    // at once.
    const Duration end = std::max(
        work / budget.allowed,
        waits.size() == 1 && waits.contains(WaitReason::kRestart)
            ? this->config.expected_down
            : this->config.expected_drain + this->config.expected_down);
    this->plan.estimated_end = std::max(*this->plan.estimated_end, end);
  }

  // Lists the next hosts, taking one of each pool in turn.
  void ListNext() {
    std::vector<std::tuple<int, std::size_t, HostId>> order;
    for (std::size_t p = 0; p < this->pools.size(); ++p) {
      int rank = 0;
      for (const Member& member : this->pools[p].members) {
        if (member.state == MaintenanceState::kPending &&
            !member.row->failed_for &&
            rank < static_cast<int>(this->config.next_hosts)) {
          order.emplace_back(rank++, p, member.row->id);
        }
      }
    }
    std::sort(order.begin(), order.end());
    for (std::size_t i = 0; i < std::min(order.size(), this->config.next_hosts);
         ++i) {
      this->plan.next.push_back(std::get<HostId>(order[i]));
    }
  }

  const MaintenanceInput& input;
  const MaintenanceConfig& config;
  std::vector<PoolPlanState> pools;  // in the order of the input
  std::set<HostId> lent_hosts;       // lent by this plan
  MaintenancePlan plan;
};

}  // namespace

const char* MaintenanceStateName(MaintenanceState state) {
  return kStateNames[static_cast<std::size_t>(state)];
}

Result<MaintenanceState> ParseMaintenanceState(std::string_view word) {
  for (std::size_t i = 0; i < kStateNames.size(); ++i) {
    if (word == kStateNames[i]) {
      return static_cast<MaintenanceState>(i);
    }
  }
  return MakeError(ErrorCode::kMalformed, "read_row", "",
                   "expected pending, draining, down or done, found \"" +
                       std::string(word) + "\"");
}

const char* WaitReasonName(WaitReason reason) {
  switch (reason) {
    case WaitReason::kPaused:
      return "paused";
    case WaitReason::kStorm:
      return "storm";
    case WaitReason::kBudget:
      return "budget";
    case WaitReason::kLoan:
      return "loan";
    case WaitReason::kFailed:
      return "failed";
    case WaitReason::kDrain:
      return "drain";
    case WaitReason::kRestart:
      return "restart";
  }
  return "unknown";
}

MaintenancePlanner::MaintenancePlanner(MaintenanceConfig config)
    : config(std::move(config)) {}

MaintenancePlan MaintenancePlanner::OnState(
    const MaintenanceInput& input) const {
  return WavePlanBuilder(input, this->config).BuildPlan();
}

}  // namespace peridot
