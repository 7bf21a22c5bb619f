// This daemon's lease on one endpoint.
//
// Index:
//   [SECTION] Tunables
//   [SECTION] Messages
//   [SECTION] EndpointLease
//
// Every daemon that starts work on an endpoint holds a lease there. The
// endpoint stops the attempts of a holder whose lease has lapsed, so that the
// permits of a dead daemon can be used again after a known time. The lease
// also maps this daemon's clock to the endpoint's clock.
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
  // How long the endpoint keeps attempts of a holder that it cannot hear.
  Duration lease = std::chrono::seconds(2);  // default: 2 s
  // Four heartbeats fit into a lease, so that three may be lost.
  Duration heartbeat = std::chrono::milliseconds(500);  // default: 500 ms
  // A connection without an answer for this long is replaced.
  Duration silent_after = std::chrono::seconds(1);  // default: 1 s
  // A non-idempotent attempt needs an answer not older than this.
  Duration proven_live = std::chrono::seconds(1);  // default: 1 s
};

//-----------------------------------------------------------------------------
// [SECTION] Messages
//-----------------------------------------------------------------------------

// What the endpoint says of itself in every lease and heartbeat answer.
struct EndpointReport {
  LeaseId lease;              // default: empty
  BootId boot;                // default: empty; new at each endpoint start
  std::int64_t clock_us = 0;  // default: 0; endpoint's clock, microseconds
  SlotCount slots;            // default: 0; total
  SlotCount running;          // default: 0; in use, by any holder
  bool leaving = false;       // default: false
};

enum class LeaseStep {
  kNone,       // nothing to send
  kAcquire,    // ask for a new lease
  kHeartbeat,  // renew the lease until RenewUntilUs()
};

struct LeaseTick {
  LeaseStep request = LeaseStep::kNone;  // default: kNone
  bool replace_connection = false;       // default: false; close before sending
};

// Why no attempt may start on the endpoint now.
enum class LeaseRefusal {
  kNone,           // it may start
  kNoLease,        // no lease, or it may have lapsed
  kLeaving,        // the endpoint takes no new work
  kNotProvenLive,  // no recent answer, and the attempt is not idempotent
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

  // The endpoint no longer knows the lease, or gave none.
  void OnRefused(Instant now);

  // The request failed without an answer.
  void OnFailed(Instant now);

  // Whether the platform's list, joined with heartbeats, says that the endpoint
  // leaves. What the endpoint itself reported stays until it starts again.
  void SetListedLeaving(bool listed) { this->listed_leaving = listed; }

  // Returns whether an attempt may start now.
  LeaseRefusal CheckStart(Instant now, bool idempotent) const;

  // Returns the endpoint's clock reading after which it must refuse a start
  // that this daemon may justify until expiry. Precondition: a report arrived.
  std::int64_t NotAfterUs(Instant expiry) const;

  // Returns the absolute end of a renewal that is sent now. An absolute end
  // keeps a delayed heartbeat from extending the lease past what the holder
  // assumes. authority_end is the latest instant until which this daemon knew
  // that it may act: past it a renewal extends nothing, so that the permits of
  // a fenced daemon that still reaches its endpoints are free after a known
  // time. Precondition: a report arrived.
  std::int64_t RenewUntilUs(Instant now, Instant authority_end) const;

  // Returns whether the endpoint has certainly stopped every attempt that was
  // started under the lease, although it cannot be asked.
  bool IsSurelyStopped(const LeaseId& lease, Instant now) const;

  const std::optional<EndpointReport>& Report() const { return this->report; }
  bool IsLeaving() const { return this->leaving || this->listed_leaving; }

 private:
  Instant StoppedBy(Instant last_sent) const;

  EndpointLeaseConfig config;
  std::optional<EndpointReport> report;  // default: none
  Instant clock_read_by{};      // default: epoch; bound of report->clock_us
  Instant valid_until{};        // default: epoch; end of the lease
  Instant last_answer{};        // default: epoch
  Instant last_sent{};          // default: epoch
  Instant last_renewal{};       // default: epoch; of the current lease
  bool outstanding = false;     // default: false
  bool leaving = false;         // default: false; reported by the endpoint
  bool listed_leaving = false;  // default: false
  bool held = false;            // default: false
};

}  // namespace peridot

#endif  // SRC_COORDINATION_ENDPOINT_LEASE_H_
