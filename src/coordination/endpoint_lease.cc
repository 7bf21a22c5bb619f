#include "src/coordination/endpoint_lease.h"

#include <algorithm>
#include <chrono>

namespace peridot {
namespace {

std::int64_t ToMicroseconds(Duration duration) {
  return std::chrono::floor<std::chrono::microseconds>(duration).count();
}

}  // namespace

EndpointLease::EndpointLease(EndpointLeaseConfig config) : config(config) {}

LeaseTick EndpointLease::OnTick(Instant now) {
  LeaseTick tick;
  if (this->outstanding) {
    if (now - this->last_sent < this->config.answer_timeout) {
      return tick;
    }
    tick.replace_connection = true;
  } else if (this->last_sent != Instant{} &&
             now - this->last_sent < this->config.heartbeat) {
    return tick;
  }
  const bool renew = this->held && now < this->valid_until;
  tick.request = renew ? LeaseStep::kHeartbeat : LeaseStep::kAcquire;
  this->outstanding = true;
  this->last_sent = now;
  if (renew) {
    this->last_renewal = now;
  }
  return tick;
}

void EndpointLease::OnReport(const EndpointReport& report,
                             Instant sent,
                             Instant received) {
  this->outstanding = false;
  this->last_answer = std::max(this->last_answer, received);
  const bool restarted = this->report && this->report->boot != report.boot;
  if (!this->report || restarted) {
    this->leaving = this->leaving && !restarted;
  }
  this->leaving = this->leaving || report.leaving;
  if (!this->report || this->report->lease != report.lease) {
    // The endpoint counts a new lease from the arrival of the request, which is
    // not after `received`.
    this->last_renewal = received;
  }
  this->report = report;
  this->held = true;
  // valid_until only avoids requests that would be refused: the endpoint itself
  // checks the lease of each start.
  this->clock_read_by = received;
  this->valid_until = sent + ShortenForDrift(this->config.lease);
}

void EndpointLease::OnRefused(Instant now) {
  this->outstanding = false;
  this->held = false;
  this->valid_until = std::min(this->valid_until, now);
}

void EndpointLease::OnFailed(Instant /*now*/) {
  this->outstanding = false;
}

LeaseRefusal EndpointLease::CheckStart(Instant now, bool idempotent) const {
  if (!this->held || now >= this->valid_until) {
    return LeaseRefusal::kNoLease;
  }
  if (this->IsLeaving()) {
    return LeaseRefusal::kLeaving;
  }
  if (!idempotent && now - this->last_answer > this->config.max_answer_age) {
    return LeaseRefusal::kNoRecentAnswer;
  }
  return LeaseRefusal::kNone;
}

std::int64_t EndpointLease::NotAfterUs(Instant expiry) const {
  const Duration left = expiry - this->clock_read_by;
  // A negative remainder is lengthened, so that the endpoint is certainly past
  // the expiry.
  const Duration safe =
      left > Duration::zero() ? ShortenForDrift(left) : LengthenForDrift(left);
  return this->report->clock_us + ToMicroseconds(safe);
}

std::int64_t EndpointLease::RenewUntilUs(Instant now,
                                         Instant authority_end) const {
  const Duration since = std::min(now, authority_end) - this->clock_read_by;
  const Duration safe = since > Duration::zero() ? ShortenForDrift(since)
                                                 : LengthenForDrift(since);
  const std::int64_t until =
      this->report->clock_us + ToMicroseconds(this->config.lease + safe);
  return std::max<std::int64_t>(until, 0);
}

bool EndpointLease::IsProvenStopped(const LeaseId& lease, Instant now) const {
  if (!this->report) {
    return false;
  }
  // A replaced lease was last renewed before its successor was granted, and
  // last_renewal is not before that grant.
  const bool renewable =
      this->report->lease == lease && this->held && now < this->valid_until;
  return !renewable && now >= this->StoppedBy(this->last_renewal);
}

Instant EndpointLease::StoppedBy(Instant last_sent) const {
  return last_sent + LengthenForDrift(this->config.lease);
}

}  // namespace peridot
