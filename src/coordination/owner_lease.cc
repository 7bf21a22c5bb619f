#include "src/coordination/owner_lease.h"

#include <algorithm>

namespace peridot {

bool OwnerLease::OnRow(const OwnerRow& read, RowVersion read_version) {
  if (read_version < this->version) {
    return true;  // an answer that was overtaken
  }
  const bool mine = read.instance == this->config.instance;
  this->seen = true;
  this->row = read;
  this->version = read_version;
  if (this->held && !mine) {
    this->held = false;
    return false;
  }
  return true;
}

void OwnerLease::OnHolderOver(OwnerEpoch epoch, bool certain) {
  this->over = epoch;
  this->over_for_certain = certain;
}

bool OwnerLease::HolderOver() const {
  return this->row.epoch == this->over && this->over != OwnerEpoch{};
}

Milliseconds OwnerLease::EarlierLeaseLeft(std::int64_t store_ms) const {
  const bool over_now = this->row.holder.value.empty() ||
                        this->row.holder == this->config.self ||
                        (this->HolderOver() && this->over_for_certain);
  return Milliseconds(
      over_now ? 0
               : std::max<std::int64_t>(0, this->row.expires_ms - store_ms));
}

bool OwnerLease::ShouldClaim(std::int64_t store_ms) const {
  if (!this->seen || this->held) {
    return false;
  }
  return this->row.holder.value.empty() || this->HolderOver() ||
         this->row.expires_ms <= store_ms ||
         // An earlier process of this host cannot be running any more, and
         // what this process gave up it takes again with a new epoch only.
         this->row.holder == this->config.self;
}

OwnerRow OwnerLease::NextRow(std::int64_t store_ms, bool release) const {
  OwnerRow next;
  next.epoch =
      this->held ? this->row.epoch : OwnerEpoch(this->row.epoch.value + 1);
  next.sequence = this->held ? this->row.sequence + 1 : 1;
  next.instance = this->config.instance;
  next.jobs_version = this->row.jobs_version;
  if (!release) {
    next.holder = this->config.self;
    next.address = this->config.address;
    next.expires_ms = store_ms + this->config.length.count();
  }
  return next;
}

void OwnerLease::OnWritten(const OwnerRow& written,
                           RowVersion written_version,
                           Instant sent) {
  this->seen = true;
  this->row = written;
  this->version = written_version;
  this->held = !written.holder.value.empty();
  this->valid_until = sent + this->config.length - this->config.margin;
  this->renewed = sent;
}

void OwnerLease::OnLost() {
  this->held = false;
}

bool OwnerLease::Valid(Instant now) const {
  return this->held && now < this->valid_until;
}

bool OwnerLease::RenewalDue(Instant now) const {
  return this->held && now - this->renewed >= this->config.renew_after;
}

}  // namespace peridot
