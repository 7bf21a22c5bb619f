#include "src/coordination/owner_lease.h"

#include <algorithm>

namespace peridot {

bool IsSameWrite(const OwnerRow& a, const OwnerRow& b) {
  return a.instance == b.instance && a.sequence == b.sequence;
}

bool OwnerLease::OnRow(const OwnerRow& read, RowVersion read_version) {
  if (read_version < this->version) {
    return true;  // an outdated answer
  }
  const bool mine = read.instance == this->config.instance;
  this->seen = true;
  this->row = read;
  this->version = read_version;
  this->best_strength = std::max(this->best_strength, read.best_strength);
  if (this->held && !mine) {
    this->held = false;
    return false;
  }
  return true;
}

void OwnerLease::OnHolderGone(OwnerEpoch epoch, bool certain) {
  this->gone_epoch = epoch;
  this->gone_is_certain = certain;
}

bool OwnerLease::HolderGone() const {
  return this->row.epoch == this->gone_epoch &&
         this->gone_epoch != OwnerEpoch{};
}

Milliseconds OwnerLease::PreviousLeaseLeft(std::int64_t store_ms) const {
  const bool gone = this->row.holder.value.empty() ||
                    this->row.holder == this->config.self ||
                    (this->HolderGone() && this->gone_is_certain);
  return Milliseconds(
      gone ? 0 : std::max<std::int64_t>(0, this->row.expires_ms - store_ms));
}

bool OwnerLease::IsFree(std::int64_t store_ms) const {
  return this->row.holder.value.empty() || this->HolderGone() ||
         this->row.expires_ms <= store_ms ||
         // A previous process of this host cannot be running any more, and
         // this process claims a lease that it released only with a new epoch.
         this->row.holder == this->config.self;
}

bool OwnerLease::ShouldClaim(std::int64_t store_ms, Instant now) {
  if (!this->seen || this->held || !this->IsFree(store_ms)) {
    this->free_since = Instant{};
    return false;
  }
  if (this->free_since == Instant{}) {
    this->free_since = now;
  }
  return this->config.strength >= this->best_strength ||
         now - this->free_since >= this->config.claim_delay;
}

bool OwnerLease::IsStrongerByFactor(int other, int than) const {
  return than > 0 && other >= than * this->config.handover_factor;
}

bool OwnerLease::ShouldAskHandover() const {
  return this->seen && !this->held &&
         this->IsStrongerByFactor(this->config.strength, this->row.strength);
}

bool OwnerLease::OnHandoverAsked(int other_strength, Instant now) {
  if (!this->held ||
      !this->IsStrongerByFactor(other_strength, this->config.strength) ||
      now - this->held_since < this->config.handover_after) {
    return false;
  }
  this->best_strength = std::max(this->best_strength, other_strength);
  return true;
}

OwnerRow OwnerLease::NextRow(std::int64_t store_ms, bool release) {
  OwnerRow next;
  next.epoch =
      this->held ? this->row.epoch : OwnerEpoch(this->row.epoch.value + 1);
  next.sequence = ++this->last_sequence;
  next.instance = this->config.instance;
  next.jobs_version = this->row.jobs_version;
  next.strength = this->config.strength;
  next.best_strength = std::max(this->best_strength, this->config.strength);
  if (!release) {
    next.holder = this->config.self;
    next.address = this->config.address;
    next.expires_ms = store_ms + this->config.lease_duration.count();
  }
  return next;
}

void OwnerLease::OnWritten(const OwnerRow& written,
                           RowVersion written_version,
                           Instant sent) {
  if (!this->held) {
    this->held_since = sent;
  }
  this->seen = true;
  this->row = written;
  this->version = written_version;
  this->held = !written.holder.value.empty();
  this->valid_until = sent + this->config.lease_duration - this->config.margin;
  this->last_renewal = sent;
}

void OwnerLease::OnLost() {
  this->held = false;
}

bool OwnerLease::Valid(Instant now) const {
  return this->held && now < this->valid_until;
}

bool OwnerLease::RenewalDue(Instant now) const {
  return this->held && now - this->last_renewal >= this->config.renew_after;
}

}  // namespace peridot
