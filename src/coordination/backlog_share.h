// Limits what the daemons of a fleet together make its owner hold.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Report
//   [SECTION] BacklogShare
//
// Each daemon accepts work on its own, and the owner learns of it later from
// the store. A daemon therefore uses only its share of the room that the owner
// has reported, and counts against it what it has accepted since. Nothing is
// exchanged while little is accepted.
//
// Pure: no I/O and no clock. Not thread-safe.

#ifndef SRC_COORDINATION_BACKLOG_SHARE_H_
#define SRC_COORDINATION_BACKLOG_SHARE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "src/coordination/job.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

// Limits of the owner's memory, from the memory of the host.
struct BacklogLimits {
  std::size_t job_bytes = 0;          // see JobScheduler::HeldBytes()
  std::size_t refusals = 0;           // ids that must not be stored
  std::size_t max_tracked_tasks = 0;  // see JobSchedulerConfig
  std::size_t max_order_bytes = 0;    // see JobSchedulerConfig
};

// Returns the limits for a host with this memory; 0: not stated, that of the
// smallest hosts. Jobs and refusals are limited by the smallest hosts also on
// larger ones, because any host may become the owner. Thread-safe.
BacklogLimits DivideBacklogMemory(std::size_t memory_mb);

//-----------------------------------------------------------------------------
// [SECTION] Report
//-----------------------------------------------------------------------------

// What the owner holds.
struct BacklogReport {
  std::size_t job_bytes = 0;
  std::size_t job_limit = 0;
  std::size_t refusals = 0;
  std::size_t refusal_limit = 0;
  int daemons = 0;          // of the fleet; 0: unknown
  RowVersion jobs_version;  // rows up to this version are included
};

//-----------------------------------------------------------------------------
// [SECTION] BacklogShare
//-----------------------------------------------------------------------------

// Size of the fleet until a report states it.
inline constexpr int kAssumedDaemons = 128;

// Share of one daemon in one limit, in the unit of that limit.
class BacklogShare {
 public:
  using Reservation = std::uint64_t;

  // While there is room, a daemon may use `least` between two reports in a
  // fleet of any size.
  explicit BacklogShare(std::size_t limit, std::size_t least = 0)
      : limit(limit), least(least), room(limit) {}

  // The owner holds this much. `reported_limit` is that of its host.
  void OnReport(std::size_t held,
                std::size_t reported_limit,
                int daemons,
                RowVersion included);

  // Reserves the amount for a row that is about to be written. None if it does
  // not fit: then nothing is reserved.
  std::optional<Reservation> Reserve(std::size_t amount);
  // The row was stored in this version or an earlier one.
  void OnStored(Reservation reservation, RowVersion version);
  // The row was not stored.
  void Release(Reservation reservation);

  // True if a newer report could allow more: a good part of the share is used.
  bool NeedsReport() const;
  // True if the amount would not fit even if the owner held nothing.
  bool NeverFits(std::size_t amount) const;
  std::size_t Share() const;  // of this daemon, until the next report
  std::size_t Used() const { return this->used; }

 private:
  struct Entry {
    std::size_t amount = 0;
    std::optional<RowVersion> version;  // none: not stored yet
  };

  // Number of parts into which the room is divided.
  std::size_t Parts() const;
  // Returns the largest amount that fits into the room if nothing is used.
  std::size_t Largest(std::size_t of_room) const;

  std::size_t limit;
  std::size_t least;
  std::size_t room;  // as reported
  int daemons = kAssumedDaemons;
  std::size_t used = 0;
  Reservation last = 0;
  std::map<Reservation, Entry> entries;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_BACKLOG_SHARE_H_
