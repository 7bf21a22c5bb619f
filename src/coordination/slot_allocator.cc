#include "src/coordination/slot_allocator.h"

#include <algorithm>
#include <utility>

namespace peridot {
namespace {

// Whether a team with use_a slots and share_a is further below its share than
// the other one, after receiving one more slot. Integers keep it exact.
bool IsFurtherBelow(std::int64_t use_a,
                    Share share_a,
                    std::int64_t use_b,
                    Share share_b) {
  return (use_a + 1) * share_b.value < (use_b + 1) * share_a.value;
}

}  // namespace

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
  for (Team& team : this->teams) {
    Entry* entry = this->BestEntry(&team, now);
    if (entry == nullptr) {
      continue;
    }
    if (best_team == nullptr ||
        IsFurtherBelow(team.in_use, team.share, best_team->in_use,
                       best_team->share)) {
      best_team = &team;
      best_entry = entry;
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
      wait >= this->config.ageing) {
    return static_cast<int>(Priority::kDaily);
  }
  return static_cast<int>(entry.demand.priority);
}

}  // namespace peridot
