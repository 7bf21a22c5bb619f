// Shortfall of each team against its weighted max-min share under changing
// demand.
//
// bench_fairness [--seed N] [--seconds N]
//
// 9 daemons in 3 zones divide the slots of 30 workers among 6 teams, one with a
// far larger share than the others. The teams take turns: each has five times
// its mean demand for 10 s and a twentieth of it in between. Actual run times
// are between a quarter of the declared run time and four times it. In the
// naive version each owner grants its slots first come, first served, over all
// teams.

#include <algorithm>
#include <boost/program_options.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "src/coordination/slot_allocator.h"
#include "src/coordination/slot_ledger.h"
#include "tests/support/event_schedule.h"
#include "tests/support/result_line.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::Better;
using testing::EventSchedule;
using testing::PrintResult;

constexpr int kDaemons = 9;
constexpr int kWorkers = 30;
constexpr int kSlots = 8;
constexpr int kCapacity = kWorkers * kSlots;
constexpr int kTeams = 6;
constexpr std::int64_t kShares[kTeams] = {10, 2, 1, 1, 1, 1};
constexpr Duration kDeclaredRunTime = milliseconds(400);
constexpr Duration kPhaseDuration = seconds(10);
constexpr Duration kMeasurementWindow = seconds(5);
constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kOneWayDelay = std::chrono::microseconds(1'400);
// Same as DispatchConfig::min_demand_interval.
constexpr Duration kMinDemandInterval = milliseconds(5);
constexpr double kLoad = 0.85;  // mean demand / capacity
const PoolId kPool("pool");

std::string TeamName(int team) {
  return "t" + std::to_string(team);
}

struct WaitingTask {
  int team = 0;
  Instant since{};
  Duration run{};
};

struct Daemon {
  SlotLedger ledger;
  SlotAllocator allocator;
  std::vector<std::deque<WaitingTask>> queues{kTeams};
  bool demand_due[kTeams] = {};
};

struct Metrics {
  double shortfall = 0;
  double idle = 0;
  std::vector<double> wait_times_ms;
};

class Fleet {
 public:
  Fleet(std::uint64_t seed, bool naive, Duration length)
      : naive(naive), length(length), schedule(seed), daemons(kDaemons) {
    this->schedule.RunUntil(Instant{} + seconds(1));
    for (int worker = 0; worker < kWorkers; ++worker) {
      Daemon& owner =
          this->daemons[static_cast<std::size_t>(worker % kDaemons)];
      const EndpointId id("w" + std::to_string(worker));
      owner.ledger.OnEndpoint(id, kPool, ZoneId("z"), SlotCount(kSlots));
      owner.ledger.SetUsable(id, true);
    }
  }

  Metrics Run() {
    this->start = this->schedule.Now();
    this->Tick();
    for (int team = 0; team < kTeams; ++team) {
      this->ScheduleArrivals(team);
    }
    this->schedule.RunUntil(this->start + this->length);
    this->metrics.idle =
        this->idle_slot_time /
        (static_cast<double>(kCapacity) * static_cast<double>(this->steps));
    return this->metrics;
  }

 private:
  // Returns the current demand of a team in tasks per second: five times its
  // mean during its own peak, a twentieth of the mean otherwise.
  double RateNow(int team) const {
    std::int64_t total = 0;
    for (const std::int64_t share : kShares) {
      total += share;
    }
    const double mean_run_s = 0.4 * kMeanRunFactor;
    const double mean = kLoad * kCapacity / mean_run_s *
                        static_cast<double>(kShares[team]) /
                        static_cast<double>(total);
    const auto phase = (this->schedule.Now() - this->start) / kPhaseDuration;
    const bool peak = phase % kTeams == team;
    return mean * (peak ? 5.0 : 0.05);
  }

  void ScheduleArrivals(int team) {
    const double rate = this->RateNow(team);
    const double gap_s = -std::log(this->Uniform()) / rate;
    const Duration gap = std::min<Duration>(
        Duration(static_cast<std::int64_t>(gap_s * 1e9)), milliseconds(200));
    if (gap < milliseconds(200)) {
      const auto daemon =
          static_cast<std::size_t>(this->schedule.Random(0, kDaemons - 1));
      this->daemons[daemon].queues[static_cast<std::size_t>(team)].push_back(
          {team, this->schedule.Now(), this->RunTime()});
      ++this->backlog[team];
      this->OnDemandChanged(static_cast<int>(daemon), team);
    }
    this->schedule.After(gap, EventSchedule::kNoNode,
                         [this, team] { this->ScheduleArrivals(team); });
  }

  // Returns a run time between a quarter of the declared one and four times it.
  Duration RunTime() {
    const double factor = std::exp2(4.0 * this->Uniform() - 2.0);
    return Duration(static_cast<std::int64_t>(
        factor * static_cast<double>(kDeclaredRunTime.count())));
  }

  double Uniform() {
    return (static_cast<double>(this->schedule.Random(1, 1'000'000))) / 1e6;
  }

  void Tick() {
    const Instant now = this->schedule.Now();
    for (int d = 0; d < kDaemons; ++d) {
      for (int team = 0; team < kTeams; ++team) {
        this->SendDemand(d, team);
      }
    }
    for (Daemon& owner : this->daemons) {
      owner.allocator.OnTick(owner.ledger.UsableSlots(kPool), now);
      this->GrantFreeSlots(&owner);
    }
    this->Account();
    this->schedule.After(kTickInterval, EventSchedule::kNoNode,
                         [this] { this->Tick(); });
  }

  // Sends changes within one minimum demand interval as one message.
  void OnDemandChanged(int from, int team) {
    bool& due = this->daemons[static_cast<std::size_t>(from)].demand_due[team];
    if (std::exchange(due, true)) {
      return;
    }
    this->schedule.After(kMinDemandInterval, EventSchedule::kNoNode,
                         [this, from, team, &due] {
                           due = false;
                           this->SendDemand(from, team);
                         });
  }

  // Sends the demand of one daemon for one team to every owner.
  void SendDemand(int from, int team) {
    const Instant now = this->schedule.Now();
    const auto& queue = this->daemons[static_cast<std::size_t>(from)]
                            .queues[static_cast<std::size_t>(team)];
    const SlotDemand demand{
        .daemon = {DaemonId("d" + std::to_string(from)), Incarnation(1)},
        .queue = QueueId(TeamName(team)),
        .team = TeamId(TeamName(team)),
        .share = Share(kShares[team]),
        .waiting = static_cast<std::int64_t>(queue.size()),
        .longest_wait =
            queue.empty() ? Duration::zero() : now - queue.front().since};
    for (Daemon& owner : this->daemons) {
      this->schedule.After(this->DelayTo(owner, from), EventSchedule::kNoNode,
                           [this, &owner, demand] {
                             owner.allocator.OnDemand(demand,
                                                      this->schedule.Now());
                             this->GrantFreeSlots(&owner);
                           });
    }
  }

  Duration DelayTo(const Daemon& owner, int daemon) const {
    return &owner == &this->daemons[static_cast<std::size_t>(daemon)]
               ? Duration::zero()
               : kOneWayDelay;
  }

  void GrantFreeSlots(Daemon* owner) {
    const Instant now = this->schedule.Now();
    while (owner->ledger.HasFree(kPool)) {
      if (this->naive) {
        if (!this->GrantToOldest(owner)) {
          return;
        }
        continue;
      }
      const auto pick = owner->allocator.Pick(now);
      if (!pick) {
        return;
      }
      const auto slot = owner->ledger.Take(kPool, pick->team, now);
      const int from = pick->daemon.daemon.value.back() - '0';
      const int team = pick->team.value.back() - '0';
      this->schedule.After(this->DelayTo(*owner, from), EventSchedule::kNoNode,
                           [=, this, token = slot->token] {
                             this->StartOrReturn(owner, token, from, team);
                           });
    }
  }

  bool GrantToOldest(Daemon* owner) {
    int best_daemon = -1;
    int best_team = -1;
    Instant oldest = Instant::max();
    for (int d = 0; d < kDaemons; ++d) {
      for (int team = 0; team < kTeams; ++team) {
        const auto& queue = this->daemons[static_cast<std::size_t>(d)]
                                .queues[static_cast<std::size_t>(team)];
        if (!queue.empty() && queue.front().since < oldest) {
          oldest = queue.front().since;
          best_daemon = d;
          best_team = team;
        }
      }
    }
    if (best_daemon < 0) {
      return false;
    }
    const auto slot = owner->ledger.Take(kPool, TeamId(TeamName(best_team)),
                                         this->schedule.Now());
    this->StartOrReturn(owner, slot->token, best_daemon, best_team);
    return true;
  }

  void StartOrReturn(Daemon* owner, SlotToken token, int from, int team) {
    auto& queue = this->daemons[static_cast<std::size_t>(from)]
                      .queues[static_cast<std::size_t>(team)];
    if (queue.empty()) {
      return this->Return(owner, token);
    }
    const WaitingTask task = queue.front();
    queue.pop_front();
    --this->backlog[team];
    ++this->running[team];
    this->metrics.wait_times_ms.push_back(
        std::chrono::duration<double, std::milli>(this->schedule.Now() -
                                                  task.since)
            .count());
    this->schedule.After(task.run, EventSchedule::kNoNode, [=, this] {
      --this->running[team];
      this->Return(owner, token);
    });
  }

  void Return(Daemon* owner, SlotToken token) {
    const auto returned =
        owner->ledger.Return(token, false, this->schedule.Now());
    owner->allocator.OnReleased(returned->team);
    this->GrantFreeSlots(owner);
  }

  // Adds the usage of each team and its weighted max-min share, computed from
  // the actual demand, to the current window.
  void Account() {
    std::int64_t used = 0;
    std::int64_t waiting = 0;
    for (int team = 0; team < kTeams; ++team) {
      used += this->running[team];
      waiting += this->backlog[team];
    }
    ++this->steps;
    this->idle_slot_time +=
        static_cast<double>(std::min<std::int64_t>(kCapacity - used, waiting));
    const std::vector<double> fair_shares = this->FairShares();
    for (int team = 0; team < kTeams; ++team) {
      this->window_usage[team] += static_cast<double>(this->running[team]);
      this->window_fair_share[team] +=
          fair_shares[static_cast<std::size_t>(team)];
      this->window_backlogged[team] =
          this->window_backlogged[team] && this->backlog[team] > 0;
    }
    if (++this->window_steps * kTickInterval >= kMeasurementWindow) {
      this->CloseWindow();
    }
  }

  void CloseWindow() {
    for (int team = 0; team < kTeams; ++team) {
      if (this->window_backlogged[team] && this->window_fair_share[team] > 0) {
        const double shortfall =
            1.0 - this->window_usage[team] / this->window_fair_share[team];
        this->metrics.shortfall = std::max(this->metrics.shortfall, shortfall);
      }
      this->window_usage[team] = 0;
      this->window_fair_share[team] = 0;
      this->window_backlogged[team] = true;
    }
    this->window_steps = 0;
  }

  // Computes max-min shares by water filling. The demand of a team is the
  // number of its running and waiting tasks.
  std::vector<double> FairShares() const {
    std::vector<double> fair_shares(kTeams, 0);
    std::vector<bool> satisfied(kTeams, false);
    double remaining_slots = kCapacity;
    for (;;) {
      double weights = 0;
      for (int team = 0; team < kTeams; ++team) {
        weights += satisfied[static_cast<std::size_t>(team)]
                       ? 0
                       : static_cast<double>(kShares[team]);
      }
      if (weights == 0) {
        return fair_shares;
      }
      bool limited = false;
      for (int team = 0; team < kTeams; ++team) {
        const auto i = static_cast<std::size_t>(team);
        const double demand =
            static_cast<double>(this->running[team] + this->backlog[team]);
        if (!satisfied[i] && demand <= remaining_slots *
                                           static_cast<double>(kShares[team]) /
                                           weights) {
          fair_shares[i] = demand;
          satisfied[i] = true;
          limited = true;
        }
      }
      if (!limited) {
        for (int team = 0; team < kTeams; ++team) {
          const auto i = static_cast<std::size_t>(team);
          if (!satisfied[i]) {
            fair_shares[i] =
                remaining_slots * static_cast<double>(kShares[team]) / weights;
          }
        }
        return fair_shares;
      }
      remaining_slots = kCapacity;
      for (int team = 0; team < kTeams; ++team) {
        const auto i = static_cast<std::size_t>(team);
        remaining_slots -= satisfied[i] ? fair_shares[i] : 0;
      }
    }
  }

  // Mean of 2^x for x uniform in [-2, 2].
  static constexpr double kMeanRunFactor = 1.3525;

  bool naive;
  Duration length;
  EventSchedule schedule;
  std::vector<Daemon> daemons;
  Instant start{};
  std::int64_t backlog[kTeams] = {};
  std::int64_t running[kTeams] = {};
  double window_usage[kTeams] = {};
  double window_fair_share[kTeams] = {};
  bool window_backlogged[kTeams] = {true, true, true, true, true, true};
  std::int64_t window_steps = 0;
  std::int64_t steps = 0;
  double idle_slot_time = 0;
  Metrics metrics;
};

void Run(std::uint64_t seed, std::int64_t length_s) {
  std::printf(
      "bench fairness seed=%llu daemons=%d workers=%d slots=%d "
      "teams=%d seconds=%lld\n",
      static_cast<unsigned long long>(seed), kDaemons, kWorkers, kSlots, kTeams,
      static_cast<long long>(length_s));
  const Metrics ours = Fleet(seed, false, seconds(length_s)).Run();
  const Metrics naive = Fleet(seed, true, seconds(length_s)).Run();
  PrintResult({"fairness", "shortfall", "fraction", ours.shortfall,
               naive.shortfall, 0.03, Better::kLower});
  PrintResult({"fairness", "idle", "fraction", ours.idle, naive.idle, 0.005,
               Better::kLower});
}

}  // namespace
}  // namespace peridot

int main(int argc, char** argv) {
  namespace po = boost::program_options;
  po::options_description options("bench_fairness");
  options.add_options()("seed", po::value<std::uint64_t>()->default_value(1))(
      "seconds", po::value<std::int64_t>()->default_value(300));
  po::variables_map values;
  po::store(po::parse_command_line(argc, argv, options), values);
  peridot::Run(values["seed"].as<std::uint64_t>(),
               values["seconds"].as<std::int64_t>());
  return 0;
}
