// The lease of the one daemon that owns all decisions, as a row of the store.
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
  Milliseconds length{2400};  // default: 2400 ms
  // Renewal without other writes.
  Milliseconds renew_after{600};  // default: 600 ms
  // The holder stops this much early: network delay and timer lateness.
  Milliseconds margin{200};  // default: 200 ms
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

  // Returns whether a claim is due.
  bool ShouldClaim(std::int64_t store_ms) const;
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
  OwnerLeaseConfig config;
  OwnerRow row;
  RowVersion version;
  bool seen = false;
  bool held = false;
  OwnerEpoch over;  // epoch whose holder seems to be over; 0: none
  bool over_for_certain = false;
  Instant valid_until{};
  Instant renewed{};
};

}  // namespace peridot

#endif  // SRC_COORDINATION_OWNER_LEASE_H_
