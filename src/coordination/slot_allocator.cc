#include "src/coordination/slot_allocator.h"

#include <algorithm>
#include <utility>

namespace peridot {
SlotAllocator::SlotAllocator(SlotAllocatorConfig config) : config(config) {}

void SlotAllocator::OnDemand(const SlotDemand& demand, Instant now) {
  Team& team = this->TeamOf(demand.team);
  team.share = demand.share;
  const auto same = [&](const Entry& entry) {
    return entry.demand.daemon.daemon == demand.daemon.daemon &&
           entry.demand.queue == demand.queue;
  };
  const auto found =
      std::find_if(team.entries.begin(), team.entries.end(), same);
  if (demand.waiting <= 0) {
    if (found != team.entries.end()) {
      team.entries.erase(found);
    }
    return;
  }
  if (found == team.entries.end()) {
    team.entries.push_back({demand, now});
    return;
  }
  *found = {demand, now};
}

void SlotAllocator::OnDaemonGone(const DaemonId& daemon) {
  for (Team& team : this->teams) {
    std::erase_if(team.entries, [&](const Entry& entry) {
      return entry.demand.daemon.daemon == daemon;
    });
  }
}

std::optional<SlotPick> SlotAllocator::Pick(Instant now) {
  Team* best_team = nullptr;
  Entry* best_entry = nullptr;
  double best_deficit = 0;
  for (Team& team : this->teams) {
    Entry* entry = this->BestEntry(&team, now);
    if (entry == nullptr) {
      continue;
    }
    const double deficit = this->Deficit(team);
    if (best_team == nullptr || deficit > best_deficit) {
      best_team = &team;
      best_entry = entry;
      best_deficit = deficit;
    }
  }
  if (best_team == nullptr) {
    return std::nullopt;
  }
  ++best_team->in_use;
  --best_entry->demand.waiting;
  return SlotPick{best_entry->demand.daemon, best_entry->demand.queue,
                  best_team->id};
}

void SlotAllocator::OnTick(std::int64_t slots, Instant now) {
  const double elapsed_s =
      this->last_tick == Instant{}
          ? 0
          : std::chrono::duration<double>(now - this->last_tick).count();
  this->last_tick = now;
  const double credit_window_s =
      std::chrono::duration<double>(this->config.credit_window).count();
  this->Divide(slots, now);
  for (Team& team : this->teams) {
    if (this->DemandOf(team, now) <= team.in_use) {
      // The demand of the team is met. Its credit decays instead of being
      // reset, since a short queue appears empty between two messages of a
      // daemon.
      team.credit *= std::max(0.0, 1.0 - 4.0 * elapsed_s / credit_window_s);
      continue;
    }
    const double bound =
        this->config.max_credit * credit_window_s * team.fair_share;
    team.credit +=
        (team.fair_share - static_cast<double>(team.in_use)) * elapsed_s;
    team.credit = std::clamp(team.credit, -bound, bound);
  }
}

void SlotAllocator::OnReleased(const TeamId& team) {
  Team& entry = this->TeamOf(team);
  entry.in_use = std::max<std::int64_t>(0, entry.in_use - 1);
}

std::int64_t SlotAllocator::InUse(const TeamId& team) const {
  const auto found = this->index.find(team);
  return found == this->index.end() ? 0 : this->teams[found->second].in_use;
}

bool SlotAllocator::HasDemand(Instant now) const {
  return std::any_of(
      this->teams.begin(), this->teams.end(), [&](const Team& team) {
        return std::any_of(
            team.entries.begin(), team.entries.end(),
            [&](const Entry& entry) { return this->IsLive(entry, now); });
      });
}

std::int64_t SlotAllocator::DemandOf(const Team& team, Instant now) const {
  std::int64_t demand = team.in_use;
  for (const Entry& entry : team.entries) {
    demand += this->IsLive(entry, now) ? entry.demand.waiting : 0;
  }
  return demand;
}

// Water filling: teams with a demand below their share get their demand, the
// others divide the rest by weight.
void SlotAllocator::Divide(std::int64_t slots, Instant now) {
  for (Team& team : this->teams) {
    team.fair_share = -1;
  }
  for (bool limited = true; limited;) {
    limited = false;
    double left = static_cast<double>(slots);
    double weights = 0;
    for (const Team& team : this->teams) {
      left -= std::max(team.fair_share, 0.0);
      weights +=
          team.fair_share < 0 ? static_cast<double>(team.share.value) : 0;
    }
    for (Team& team : this->teams) {
      const auto demand = static_cast<double>(this->DemandOf(team, now));
      const double part =
          left * static_cast<double>(team.share.value) / weights;
      if (team.fair_share < 0 && demand <= part) {
        team.fair_share = demand;
        limited = true;
      }
    }
    if (!limited) {
      for (Team& team : this->teams) {
        team.fair_share =
            team.fair_share >= 0
                ? team.fair_share
                : left * static_cast<double>(team.share.value) / weights;
      }
    }
  }
}

// Returns how far the team is below its share after one more slot, in units of
// its weight. Before the first tick this is plain weighted max-min.
double SlotAllocator::Deficit(const Team& team) const {
  const double credit_window_s =
      std::chrono::duration<double>(this->config.credit_window).count();
  return (team.credit / credit_window_s - static_cast<double>(team.in_use) -
          1.0) /
         static_cast<double>(team.share.value);
}

SlotAllocator::Team& SlotAllocator::TeamOf(const TeamId& id) {
  const auto [found, added] = this->index.try_emplace(id, this->teams.size());
  if (added) {
    this->teams.push_back(Team{.id = id});
  }
  return this->teams[found->second];
}

bool SlotAllocator::IsLive(const Entry& entry, Instant now) const {
  return entry.demand.waiting > 0 &&
         now - entry.registered < this->config.demand_ttl;
}

SlotAllocator::Entry* SlotAllocator::BestEntry(Team* team, Instant now) const {
  Entry* best = nullptr;
  for (Entry& entry : team->entries) {
    if (!this->IsLive(entry, now)) {
      continue;
    }
    const auto order = [&](const Entry& e) {
      return std::pair(this->RankOf(e, now), -e.demand.longest_wait.count());
    };
    if (best == nullptr || order(entry) < order(*best)) {
      best = &entry;
    }
  }
  return best;
}

int SlotAllocator::RankOf(const Entry& entry, Instant now) const {
  const Duration wait = entry.demand.longest_wait + (now - entry.registered);
  if (entry.demand.priority == Priority::kRebuild &&
      wait >= this->config.rebuild_ageing_time) {
    return static_cast<int>(Priority::kDaily);
  }
  return static_cast<int>(entry.demand.priority);
}

}  // namespace peridot
