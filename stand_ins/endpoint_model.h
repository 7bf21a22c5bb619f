// Model of an endpoint: the server that executes attempts under leases.
//
// Index:
//   [SECTION] Options and faults
//   [SECTION] Leases
//   [SECTION] Attempts
//   [SECTION] EndpointModel
//
// A state machine without I/O or clock: each call gets the current instant, so
// the same model runs behind the stand-in's HTTP server and as a fake in unit
// tests. Instants must not decrease from call to call.
//
// Start() begins an attempt; Advance() returns its response:
//
//   EndpointModel endpoint({.id = EndpointId("e1")});
//   auto grant = std::get<LeaseGrant>(endpoint.Lease(
//       {DaemonId("d1"), Incarnation(1), std::chrono::seconds(2)}, now));
//   endpoint.Start({.attempt = AttemptId("a1"),
//                   .lease = grant.lease,
//                   .boot = grant.boot,
//                   .not_after_us = grant.clock_us + 1'000'000,
//                   .run = std::chrono::milliseconds(10),
//                   .payload = "x"}, now);          // state kRunning
//   endpoint.Advance(now + milliseconds(10));       // state kDone, "ok x"
//
// A paused endpoint handles no requests: the caller must delay them until
// PausedUntil().
//
// Limitation: attempts and runs are kept for the lifetime of the model.

#ifndef STAND_INS_ENDPOINT_MODEL_H_
#define STAND_INS_ENDPOINT_MODEL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "src/state/clock.h"
#include "src/state/ids.h"
#include "src/state/units.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Options and faults
//-----------------------------------------------------------------------------

struct EndpointOptions {
  EndpointId id{};
  SlotCount slots{8};              // as on the platform's endpoints
  std::int64_t connections = 64;   // limit, as on the platform's endpoints
  std::string boot_prefix = "b";   // a boot id is this prefix and a number
  std::int64_t drift_percent = 0;  // rate error of its clock, -1..1
  // The endpoint's clock is ahead of the caller's by this much, so that code
  // which mistakes a reading of it for the caller's time fails visibly.
  Duration clock_offset = std::chrono::hours(1);
};

struct EndpointFaults {
  bool fail_all = false;           // each task fails when it starts
  bool leaving = false;            // refuse to start attempts
  std::int64_t lose_answers = 0;   // number of next attempt responses to lose
  std::int64_t wrong_answers = 0;  // number of next results to replace
  std::int64_t truncate = 0;       // number of next results to cut in half
};

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

struct LeaseRequest {
  DaemonId holder{};
  Incarnation incarnation{};
  Duration duration{};  // on the endpoint's clock
};

struct LeaseGrant {
  LeaseId lease{};
  BootId boot{};
  std::int64_t clock_us = 0;  // the endpoint's clock
  SlotCount slots{};          // total
  SlotCount used{};           // by all holders
  bool leaving = false;
};

// The holder has already requested a lease under a later incarnation.
struct LeaseRefusal {
  DaemonId holder{};
  Incarnation latest{};
};

using LeaseResponse = std::variant<LeaseGrant, LeaseRefusal>;

struct HeartbeatResponse {
  BootId boot{};
  std::int64_t clock_us = 0;  // the endpoint's clock
  bool leaving = false;
  std::vector<AttemptId> running{};  // of this lease, ordered
  SlotCount slots{};                 // total
  SlotCount used{};                  // by all holders
};

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

enum class AttemptState {
  kNeverStarted,  // and will never start
  kRunning,
  kDone,
  kFailed,   // ran and ended with a failure
  kStopped,  // ran and was cancelled or lost its lease
  kUnknown,  // sent under another boot id, whose attempts are not recorded
};

enum class StartRefusal {
  kNone,      // not refused
  kLease,     // the lease is not valid
  kNotAfter,  // the endpoint's clock is past not_after
  kBoot,      // the boot id is not the current one
  kSlots,     // too few free slots
  kLeaving,   // the endpoint is leaving
  kFenced,    // the attempt was fenced or cancelled before it arrived
};

// Return the names on the wire, as in "never_started" and "not_after".
const char* AttemptStateName(AttemptState state);
const char* StartRefusalName(StartRefusal refusal);

struct AttemptRequest {
  AttemptId attempt{};
  TaskId task{};  // only recorded with the run
  TeamId team{};  // only recorded with the run
  LeaseId lease{};
  BootId boot{};
  std::int64_t not_after_us = 0;  // the endpoint's clock
  Duration run{};                 // how long the task runs
  SlotCount slots{1};
  std::string payload{};
};

struct AttemptResponse {
  AttemptId in_reply_to{};  // attempt that the request named
  AttemptId attempt{};  // attempt that the response names; another one by fault
  AttemptState state = AttemptState::kUnknown;
  StartRefusal reason = StartRefusal::kNone;
  std::string body{};      // "ok " + payload of a done attempt
  std::string digest{};    // SHA-256 of the whole body, in hex
  std::size_t length = 0;  // bytes of the whole body
  bool lost = false;       // by fault: the connection is closed instead
};

// The endpoint's own record of one run of a task. Times are on the caller's
// clock, so that records of several endpoints can be compared.
struct RunRecord {
  AttemptId attempt{};
  TaskId task{};
  TeamId team{};
  Instant started{};
  Instant ended{};  // epoch while the attempt runs
  AttemptState outcome = AttemptState::kRunning;
};

// Returns the SHA-256 digest in lower-case hex.
std::string Sha256Hex(std::string_view bytes);

//-----------------------------------------------------------------------------
// [SECTION] EndpointModel
//-----------------------------------------------------------------------------

namespace internal {

// The state of one attempt on the endpoint.
struct KnownAttempt {
  AttemptResponse answer;  // response in the current state
  LeaseId lease{};         // lease under which it runs
  SlotCount slots{};
  std::string payload{};
  Instant due{};              // end of the run
  std::size_t run_index = 0;  // index in `runs`
};

// A valid lease.
struct HeldLease {
  DaemonId holder{};
  Incarnation incarnation{};
  Instant expires_at{};  // on the caller's clock
};

}  // namespace internal

// Not thread-safe.
class EndpointModel {
 public:
  explicit EndpointModel(EndpointOptions options);

  // Grants a new lease with a new id. Leases of other holders and earlier
  // leases of the same incarnation stay valid. A later incarnation of the
  // holder ends the leases of its earlier ones at once and stops their tasks.
  LeaseResponse Lease(const LeaseRequest& request, Instant now);

  // Ends the lease and stops its tasks. Returns false if it is not valid.
  bool Release(const LeaseId& lease, Instant now);

  // Renews the lease until the endpoint's clock reads until_us; a heartbeat
  // that arrives out of order does not shorten it. Returns nothing if the lease
  // is not valid.
  std::optional<HeartbeatResponse> Heartbeat(const LeaseId& lease,
                                             std::int64_t until_us,
                                             Instant now);

  // Starts the attempt (kRunning; Advance() returns its response) or refuses it
  // (kNeverStarted with a reason). A refused attempt never starts later. A
  // repeated request starts nothing and returns the current state.
  AttemptResponse Start(const AttemptRequest& request, Instant now);

  // Returns the attempt's state; an attempt that has not started yet never
  // will. `sent_boot` is the boot id under which the attempt was sent: if it
  // is not the current one, the state is kUnknown. Empty: not checked.
  AttemptResponse Fence(const AttemptId& attempt,
                        const BootId& sent_boot,
                        Instant now);

  // Like Fence(), and stops the attempt if it runs.
  AttemptResponse Cancel(const AttemptId& attempt,
                         const BootId& sent_boot,
                         Instant now);

  // Returns the state of the attempt without fencing it, or nothing if the
  // endpoint has received no request about it.
  std::optional<AttemptResponse> FindAttempt(const AttemptId& attempt,
                                             Instant now);

  // Ends the tasks and the leases that are due. Returns the responses to the
  // attempts that ended since the last call, with faults applied. During a
  // pause it does nothing.
  std::vector<AttemptResponse> Advance(Instant now);

  // Returns the next instant at which Advance() has something to do, if any.
  std::optional<Instant> NextEvent() const;

  // Returns the reading of the endpoint's clock.
  std::int64_t ClockMicros(Instant now) const;
  const BootId& Boot() const { return this->boot; }
  const EndpointOptions& Options() const { return this->options; }
  const std::vector<RunRecord>& Runs() const { return this->runs; }

  // Connect() returns the number of a new connection, or nothing if the limit
  // of open connections is reached.
  std::optional<std::uint64_t> Connect();
  void Disconnect(std::uint64_t connection);
  bool IsSilent(std::uint64_t connection) const;

  void SetFaults(const EndpointFaults& new_faults) {
    this->faults = new_faults;
  }
  const EndpointFaults& Faults() const { return this->faults; }
  // Permanently stops responses on the connections that are open now.
  void SilenceOpenConnections();
  // Pauses the process for the given length; its clock continues.
  void Pause(Duration length, Instant now);
  Instant PausedUntil() const { return this->paused_until; }
  // Restarts under a new boot id: leases, incarnations of holders, tasks,
  // fences and connections are lost, the record of runs is kept. Running tasks
  // are recorded as kStopped and get no response.
  void Restart(Instant now);

 private:
  void ProcessDue(Instant now);
  void EndLease(const LeaseId& lease, Instant at);
  Instant NextLeaseExpiry() const;
  void EndTask(const AttemptId& attempt, AttemptState state, Instant at);
  StartRefusal CheckStart(const AttemptRequest& request, Instant now) const;
  AttemptResponse BeginAttempt(const AttemptRequest& request, Instant now);
  AttemptResponse RecordRefusal(const AttemptId& attempt, StartRefusal reason);
  void ApplyResponseFaults(AttemptResponse& answer);
  Duration ToCallerDuration(Duration own) const;

  EndpointOptions options;
  EndpointFaults faults;
  BootId boot;
  std::uint64_t boot_count = 0;
  std::uint64_t lease_count = 0;
  std::map<LeaseId, internal::HeldLease> leases;
  std::map<DaemonId, Incarnation> latest;  // latest incarnation of each holder
  std::unordered_map<AttemptId, internal::KnownAttempt> tasks;
  std::set<std::pair<Instant, AttemptId>> due;  // running tasks by end
  SlotCount used;
  std::vector<AttemptResponse> ended;        // not yet returned by Advance()
  std::optional<AttemptResponse> last_done;  // sent for wrong_answers
  std::vector<RunRecord> runs;
  Instant paused_until{};
  std::set<std::uint64_t> open_connections;
  std::uint64_t connection_count = 0;
  std::uint64_t silent_up_to = 0;  // number of the last silent connection
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_ENDPOINT_MODEL_H_
