// The lease of the one daemon that owns all decisions, as a row of the store.
//
// Entry hosts differ. A weaker host lets a stronger one claim first, and an
// owner hands over to a stronger host that asks for it.
//
// Index:
//   [SECTION] Types
//   [SECTION] OwnerLease
//
// The row names the holder, its epoch and the instant of the store's clock at
// which the lease ends. Claims and renewals are conditional on the version of
// the row, so that two claims never both succeed. The holder counts its own
// time from the moment it sent the renewal; the epoch fences its orders.
//
// Not thread-safe.

#ifndef SRC_COORDINATION_OWNER_LEASE_H_
#define SRC_COORDINATION_OWNER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/coordination/job.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Types
//-----------------------------------------------------------------------------

struct OwnerLeaseConfig {
  DaemonId self;         // default: empty; name of this daemon's host
  std::string instance;  // default: empty; unique for each process
  std::string address;   // default: empty; "ip:port" for other daemons
  // Long enough for two renewals to be lost, short enough that work goes on
  // soon after the holder's host has lost power.
  Milliseconds length{1700};  // default: 1700 ms
  // Renewal without other writes.
  Milliseconds renew_after{450};  // default: 450 ms
  // The holder stops this much early: network delay and timer lateness.
  Milliseconds margin{200};  // default: 200 ms
  // Processor of this host in 1/1000 of a core; 0: not known.
  int strength = 0;  // default: 0
  // Time that a host leaves to stronger ones after the lease became free: one
  // watch of the lease by each of them.
  Milliseconds claim_delay{800};  // default: 800 ms
  // An owner hands over to a host this many times as strong, and not before it
  // has owned for handover_after: a takeover costs some tenths of a second.
  double handover_factor = 1.5;       // default: 1.5
  Milliseconds handover_after{1500};  // default: 1500 ms
};

// The row as it is stored.
struct OwnerRow {
  DaemonId holder;              // default: empty; released
  std::string instance;         // default: empty
  std::string address;          // default: empty
  OwnerEpoch epoch;             // default: 0
  std::int64_t expires_ms = 0;  // default: 0; on the store's clock
  std::uint64_t sequence = 0;   // default: 0; writes of this holder
  // Newest version of a job\'s row of which any owner may have started a task.
  // A job of a later version is free for the next owner at once.
  RowVersion jobs_version;  // default: 0
  int strength = 0;         // default: 0, not known; of the holder's host
  int best_strength = 0;    // default: 0, not known; of any host that asked
};

//-----------------------------------------------------------------------------
// [SECTION] OwnerLease
//-----------------------------------------------------------------------------

class OwnerLease {
 public:
  explicit OwnerLease(OwnerLeaseConfig config) : config(std::move(config)) {}

  // The row was read. Version 0: the row does not exist. Returns false if this
  // daemon has just found out that it lost the lease.
  bool OnRow(const OwnerRow& row, RowVersion version);

  // The holder of this epoch seems to be over: it refused connections, or it
  // yields, or another process answered at its address, which is certain. The
  // same process may hold a later epoch.
  void OnHolderOver(OwnerEpoch epoch, bool certain);

  // Returns whether a claim is due. A host that is weaker than the strongest
  // known waits for claim_delay from the first call that found the lease free.
  bool ShouldClaim(std::int64_t store_ms, Instant now);
  // Returns whether this host should ask the holder to hand over.
  bool ShouldAskHandover() const;
  // A host of this strength asks for the lease. Returns whether to hand over.
  bool OnHandoverAsked(int other_strength, Instant now);
  bool HolderOver() const;

  // Time for which the holder of the row as last read may still act.
  Milliseconds EarlierLeaseLeft(std::int64_t store_ms) const;

  // The row to write: a claim with the next epoch, or a renewal.
  OwnerRow NextRow(std::int64_t store_ms, bool release) const;

  // The row was written under a condition. `sent` is when the call was sent.
  void OnWritten(const OwnerRow& row, RowVersion version, Instant sent);

  // Another writer came first, or the write was fenced.
  void OnLost();

  bool Held() const { return this->held; }
  // True while no other daemon can hold the lease.
  bool Valid(Instant now) const;
  bool RenewalDue(Instant now) const;
  OwnerEpoch Epoch() const { return this->row.epoch; }
  RowVersion Version() const { return this->version; }
  // Owner as last read or written; empty holder if there is none.
  const OwnerRow& Row() const { return this->row; }

 private:
  bool IsFree(std::int64_t store_ms) const;
  bool IsMuchStronger(int other, int than) const;

  OwnerLeaseConfig config;
  OwnerRow row;
  RowVersion version;
  bool seen = false;
  bool held = false;
  OwnerEpoch over;  // epoch whose holder seems to be over; 0: none
  bool over_for_certain = false;
  int best_strength = 0;  // as in the row, or of a host that asked since
  Instant free_since{};   // zero: the lease is not free
  Instant held_since{};
  Instant valid_until{};
  Instant renewed{};
};

}  // namespace peridot

#endif  // SRC_COORDINATION_OWNER_LEASE_H_
