// Leader lease of the one daemon that makes all scheduling decisions, held as a
// row of the store.
//
// Entry hosts differ in processor capacity ("strength"). A weaker host lets a
// stronger one claim first, and an owner hands over to a stronger host on
// request.
//
// Index:
//   [SECTION] Types
//   [SECTION] OwnerLease
//
// The row names the holder, its epoch and the time of the store's clock at
// which the lease expires. Claims and renewals are conditional on the version
// of the row, so that two claims never both succeed. The holder counts the
// lease from the moment it sent the renewal; the epoch fences its orders.
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
  DaemonId self;         // name of this daemon's host
  std::string instance;  // unique per process
  std::string address;   // "ip:port" for other daemons
  // Lease duration: long enough to survive two lost renewals, short enough that
  // scheduling resumes soon after the holder's host has lost power.
  Milliseconds lease_duration{1700};
  // Time after the last write at which a renewal is due.
  Milliseconds renew_after{450};
  // The holder stops acting this long before expiry, which covers network delay
  // and late timers.
  Milliseconds margin{200};
  // Processor capacity of this host in 1/1000 of a core; 0: unknown.
  int strength = 0;
  // How long a weaker host leaves a free lease to stronger ones: enough for
  // each of them to check the lease once.
  Milliseconds claim_delay{800};
  // An owner hands over only to a host at least this many times as strong, and
  // only after it has held the lease for handover_after, because a takeover
  // interrupts scheduling for some tenths of a second.
  double handover_factor = 1.5;
  Milliseconds handover_after{1500};
};

// The stored row.
struct OwnerRow {
  DaemonId holder;  // empty: released
  std::string instance;
  std::string address;
  OwnerEpoch epoch;
  std::int64_t expires_ms = 0;  // on the store's clock
  std::uint64_t sequence = 0;   // unique among the rows of this instance
  // Newest version of a job's row of which any owner may have started a task.
  // The next owner may start jobs of later versions at once.
  RowVersion jobs_version;
  int strength = 0;       // of the holder's host; 0: unknown
  int best_strength = 0;  // highest one known of any host; 0: unknown
};

// Returns whether both rows come from the same write. A write without an answer
// may be performed after its replacement was sent, so the time or the content
// of a row does not identify it.
bool IsSameWrite(const OwnerRow& a, const OwnerRow& b);

//-----------------------------------------------------------------------------
// [SECTION] OwnerLease
//-----------------------------------------------------------------------------

class OwnerLease {
 public:
  explicit OwnerLease(OwnerLeaseConfig config) : config(std::move(config)) {}

  // The row was read. Version 0: the row does not exist. Returns false if the
  // row shows that this daemon has lost the lease it held.
  bool OnRow(const OwnerRow& row, RowVersion version);

  // The holder of this epoch seems to be gone: it refused connections, it
  // yields the lease, or another process answered at its address. `certain` is
  // true only in the last case: the holder cannot act any more. The same
  // process may hold a later epoch.
  void OnHolderGone(OwnerEpoch epoch, bool certain);

  // Returns whether a claim is due. A host weaker than the strongest known one
  // waits for claim_delay after the first call that found the lease free.
  bool ShouldClaim(std::int64_t store_ms, Instant now);
  // Returns whether this host should ask the holder to hand over.
  bool ShouldAskHandover() const;
  // A host of this strength requests the lease. Returns whether to hand over.
  bool OnHandoverAsked(int other_strength, Instant now);
  bool HolderGone() const;

  // Time for which the holder in the last row read may still act.
  Milliseconds PreviousLeaseLeft(std::int64_t store_ms) const;

  // Returns the row to write: a claim with the next epoch if the lease is not
  // held, otherwise a renewal. `release` writes it without a holder. Each call
  // numbers its row anew, so that IsSameWrite() tells the writes apart.
  OwnerRow NextRow(std::int64_t store_ms, bool release);

  // The conditional write of the row succeeded. `sent` is when it was sent.
  void OnWritten(const OwnerRow& row, RowVersion version, Instant sent);

  // The write failed: another writer was first, or it was fenced.
  void OnLost();

  bool Held() const { return this->held; }
  // Returns whether this daemon holds the lease and no other can.
  bool Valid(Instant now) const;
  bool RenewalDue(Instant now) const;
  OwnerEpoch Epoch() const { return this->row.epoch; }
  RowVersion Version() const { return this->version; }
  // The row as last read or written; an empty holder if there is no owner.
  const OwnerRow& Row() const { return this->row; }

 private:
  bool IsFree(std::int64_t store_ms) const;
  bool IsStrongerByFactor(int other, int than) const;

  OwnerLeaseConfig config;
  OwnerRow row;
  RowVersion version;
  bool seen = false;
  bool held = false;
  std::uint64_t last_sequence = 0;  // of the last row that NextRow() returned
  OwnerEpoch gone_epoch;  // epoch whose holder seems to be gone; 0: none
  bool gone_is_certain = false;
  int best_strength = 0;  // highest one in the row or in a request since
  Instant free_since{};   // zero: the lease is not free
  Instant held_since{};
  Instant valid_until{};
  Instant last_renewal{};
};

}  // namespace peridot

#endif  // SRC_COORDINATION_OWNER_LEASE_H_
