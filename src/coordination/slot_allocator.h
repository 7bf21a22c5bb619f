// Division of one daemon's endpoint slots among teams, queues and daemons.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Demand
//   [SECTION] SlotAllocator
//
// The owner of an endpoint grants its slots. Every daemon with waiting tasks of
// a pool registers its demand with every owner of endpoints of that pool, so
// each owner divides its slots by the same rule over the same demand: weighted
// max-min over teams, then by priority over the queues of the team, then the
// longest wait. No owner leaves a slot idle while any registered demand waits.
//
// An owner has few slots, so the share of a team is rarely a whole number of
// them. The difference between the share of a backlogged team and its use is
// accumulated as credit and corrected by the next picks, so that the share
// holds over time at each owner and therefore over the fleet.
//
// Not thread-safe: one event loop owns each value.
//
// Limitation: slots are the only resource; processors, memory and accelerators
// are not weighed (dominant resource fairness).

#ifndef SRC_COORDINATION_SLOT_ALLOCATOR_H_
#define SRC_COORDINATION_SLOT_ALLOCATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/settings_schema.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct SlotAllocatorConfig {
  // Demand that is not registered again expires, so that the demand of a
  // crashed daemon is not granted slots for long.
  Duration demand_ttl = std::chrono::seconds(1);
  // A rebuild that has waited this long is served like daily work, so that it
  // finishes under constant daily load.
  Duration rebuild_ageing_time = std::chrono::minutes(10);
  // Time in which a credit is corrected. Shorter than the 5 s over which shares
  // are evaluated, longer than most tasks.
  Duration credit_window = std::chrono::seconds(1);
  // Credit above this multiple of the share of the team over credit_window is
  // dropped, so that a team that could not be served for long does not starve
  // the others.
  double max_credit = 4;
};

//-----------------------------------------------------------------------------
// [SECTION] Demand
//-----------------------------------------------------------------------------

// Tasks of one queue that wait at one daemon.
struct SlotDemand {
  SessionId daemon;
  QueueId queue;
  TeamId team;
  Priority priority = Priority::kDaily;
  Share share = Share(1);
  std::int64_t waiting = 0;  // tasks
  Duration longest_wait{};   // wait of the oldest task
};

// The demand that gets the next slot.
struct SlotPick {
  SessionId daemon;
  QueueId queue;
  TeamId team;
};

//-----------------------------------------------------------------------------
// [SECTION] SlotAllocator
//-----------------------------------------------------------------------------

class SlotAllocator {
 public:
  explicit SlotAllocator(SlotAllocatorConfig config = {});

  // Replaces the demand of (daemon, queue). waiting == 0 withdraws it.
  void OnDemand(const SlotDemand& demand, Instant now);

  // Drops all demand of a daemon that left or was fenced.
  void OnDaemonGone(const DaemonId& daemon);

  // Updates the credits. Call it about every 50 ms; slots is the number of
  // usable slots that this owner divides.
  void OnTick(std::int64_t slots, Instant now);

  // Chooses the demand that gets the next free slot, counts the slot as used by
  // its team and takes one task off the demand. Returns nothing if no demand
  // waits. Cost: linear in the number of teams with demand; no allocation
  // except in the result's ids.
  std::optional<SlotPick> Pick(Instant now);

  // A slot that Pick() assigned to the team is free again.
  void OnReleased(const TeamId& team);

  // Slots in use by the team through this owner.
  std::int64_t InUse(const TeamId& team) const;

  // Whether any demand waits.
  bool HasDemand(Instant now) const;

 private:
  struct Entry {
    SlotDemand demand;
    Instant registered{};
  };
  struct Team {
    TeamId id;
    Share share = Share(1);
    std::int64_t in_use = 0;
    double fair_share = 0;  // share of this owner's slots
    double credit = 0;      // slot-seconds that the team is below its share
    std::vector<Entry> entries;
  };

  std::int64_t DemandOf(const Team& team, Instant now) const;
  void Divide(std::int64_t slots, Instant now);
  double Deficit(const Team& team) const;
  Team& TeamOf(const TeamId& id);
  bool IsLive(const Entry& entry, Instant now) const;
  Entry* BestEntry(Team* team, Instant now) const;
  int RankOf(const Entry& entry, Instant now) const;

  SlotAllocatorConfig config;
  std::vector<Team> teams;
  Instant last_tick{};                  // Instant{}: none yet
  std::map<TeamId, std::size_t> index;  // into teams
};

}  // namespace peridot

#endif  // SRC_COORDINATION_SLOT_ALLOCATOR_H_
