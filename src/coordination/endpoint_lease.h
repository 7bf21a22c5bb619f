// This daemon's lease on one endpoint.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Messages
//   [SECTION] EndpointLease
//
// Every daemon that starts work on an endpoint holds a lease there. The
// endpoint stops the attempts of a holder whose lease has lapsed, so that the
// permits of a crashed daemon can be reused after a known time. The lease also
// maps this daemon's clock to the endpoint's clock.
//
// Not thread-safe: one event loop owns each value.

#ifndef SRC_COORDINATION_ENDPOINT_LEASE_H_
#define SRC_COORDINATION_ENDPOINT_LEASE_H_

#include <cstdint>
#include <optional>

#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Tunables
//-----------------------------------------------------------------------------

struct EndpointLeaseConfig {
  // How long the endpoint keeps attempts running without a renewal.
  Duration lease = std::chrono::seconds(2);
  // Four heartbeats fit into a lease, so that three may be lost.
  Duration heartbeat = std::chrono::milliseconds(500);
  // A connection without an answer for this long is replaced.
  Duration answer_timeout = std::chrono::seconds(1);
  // A non-idempotent attempt needs an answer not older than this.
  Duration max_answer_age = std::chrono::seconds(1);
};

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

// State that the endpoint reports in every lease and heartbeat answer.
struct EndpointReport {
  LeaseId lease;
  BootId boot;                // new at each start of the endpoint
  std::int64_t clock_us = 0;  // endpoint's clock
  SlotCount slots;            // total
  SlotCount running;          // in use, by any holder
  bool leaving = false;
};

enum class LeaseStep {
  kNone,       // nothing to send
  kAcquire,    // request a new lease
  kHeartbeat,  // renew the lease until RenewUntilUs()
};

struct LeaseTick {
  LeaseStep request = LeaseStep::kNone;
  bool replace_connection = false;  // close before sending
};

// Why no attempt may start on the endpoint now.
enum class LeaseRefusal {
  kNone,            // it may start
  kNoLease,         // no lease, or it may have lapsed
  kLeaving,         // the endpoint takes no new work
  kNoRecentAnswer,  // no recent answer, and the attempt is not idempotent
};

//-----------------------------------------------------------------------------
// [SECTION] EndpointLease
//-----------------------------------------------------------------------------

class EndpointLease {
 public:
  explicit EndpointLease(EndpointLeaseConfig config = {});

  // Returns what to send now. Call it at least every 100 ms and after each
  // answer. The caller must report the end of every request that it sends.
  LeaseTick OnTick(Instant now);

  // An answer arrived. sent is the instant before the request was written,
  // received the instant after the answer was read.
  void OnReport(const EndpointReport& report, Instant sent, Instant received);

  // The endpoint does not have the lease any more, or refused to grant one.
  void OnRefused(Instant now);

  // The request failed without an answer.
  void OnFailed(Instant now);

  // Sets whether the platform's list, combined with heartbeats, shows that the
  // endpoint leaves. A report by the endpoint itself stays in force until the
  // endpoint restarts.
  void SetListedLeaving(bool listed) { this->listed_leaving = listed; }

  // Returns whether an attempt may start now.
  LeaseRefusal CheckStart(Instant now, bool idempotent) const;

  // Returns the endpoint's clock reading after which it must refuse a start
  // that this daemon is entitled to until expiry. Precondition: a report
  // arrived.
  std::int64_t NotAfterUs(Instant expiry) const;

  // Returns the absolute end of a renewal that is sent now. An absolute end
  // keeps a delayed heartbeat from extending the lease past what the holder
  // assumes. authority_end is the latest instant until which this daemon is
  // known to be allowed to act: past it a renewal extends nothing, so that the
  // permits of a fenced daemon that still reaches its endpoints become free
  // after a known time. Precondition: a report arrived.
  std::int64_t RenewUntilUs(Instant now, Instant authority_end) const;

  // Returns whether the endpoint has certainly stopped every attempt that was
  // started under the lease, even if it cannot be reached.
  bool IsProvenStopped(const LeaseId& lease, Instant now) const;

  const std::optional<EndpointReport>& Report() const { return this->report; }
  bool IsLeaving() const { return this->leaving || this->listed_leaving; }

 private:
  Instant StoppedBy(Instant last_sent) const;

  EndpointLeaseConfig config;
  std::optional<EndpointReport> report;
  Instant clock_read_by{};  // latest time at which report->clock_us was read
  Instant valid_until{};    // end of the lease
  Instant last_answer{};
  Instant last_sent{};
  Instant last_renewal{};  // of the current lease
  bool outstanding = false;
  bool leaving = false;  // reported by the endpoint
  bool listed_leaving = false;
  bool held = false;
};

}  // namespace peridot

#endif  // SRC_COORDINATION_ENDPOINT_LEASE_H_
