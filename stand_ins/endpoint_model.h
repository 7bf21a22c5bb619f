// Model of an endpoint: the server that executes attempts under leases
// (docs/design.md, 11 and 14.6).
//
// Index:
//   [SECTION] Options and faults
//   [SECTION] Leases
//   [SECTION] Attempts
//   [SECTION] EndpointModel
//
// A value without I/O: the instant is an argument, so the same model runs
// behind the stand-in's HTTP server and as a fake in unit tests. Instants never
// decrease from call to call.
//
// An attempt passes from Start() to the answer that Advance() returns:
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
// While the endpoint is paused it handles nothing: the caller holds requests
// back until PausedUntil().
//
// Known shortcoming: attempts and runs are kept for the model's lifetime.

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
  EndpointId id{};                 // default: empty
  SlotCount slots{8};              // default: 8, the size given in 1.3
  std::int64_t connections = 64;   // default: 64, the size given in 1.3
  std::string boot_prefix = "b";   // default: "b"; boot ids are prefix + number
  std::int64_t drift_percent = 0;  // default: 0; rate of its clock, -1..1
  // The endpoint's clock is ahead of the caller's by this much, so that a
  // reading taken for the caller's own time gives a visibly wrong result.
  Duration clock_offset = std::chrono::hours(1);  // default: 1 h
};

struct EndpointFaults {
  bool fail_all = false;           // default: false; each task fails at start
  bool leaving = false;            // default: false; refuse new attempts
  std::int64_t lose_answers = 0;   // default: 0; next answers to attempts
  std::int64_t wrong_answers = 0;  // default: 0; next answers of done attempts
  std::int64_t truncate = 0;       // default: 0; next answers of done attempts
};

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

struct LeaseRequest {
  DaemonId holder{};          // default: empty
  Incarnation incarnation{};  // default: 0
  Duration duration{};        // default: 0; by the endpoint's clock
};

struct LeaseGrant {
  LeaseId lease{};            // default: empty
  BootId boot{};              // default: empty
  std::int64_t clock_us = 0;  // default: 0 us; the endpoint's clock
  SlotCount slots{};          // default: 0; in all
  SlotCount used{};           // default: 0; by all holders
  bool leaving = false;       // default: false
};

// The holder is known under a later incarnation.
struct LeaseRefusal {
  DaemonId holder{};     // default: empty
  Incarnation latest{};  // default: 0
};

using LeaseAnswer = std::variant<LeaseGrant, LeaseRefusal>;

struct HeartbeatAnswer {
  BootId boot{};                     // default: empty
  std::int64_t clock_us = 0;         // default: 0 us; the endpoint's clock
  bool leaving = false;              // default: false
  std::vector<AttemptId> running{};  // default: none; of this lease, ordered
  SlotCount slots{};                 // default: 0; in all
  SlotCount used{};                  // default: 0; by all holders
};

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

enum class AttemptState {
  kNeverStarted,  // and it will never start
  kRunning,
  kDone,
  kFailed,   // ran and ended with a failure
  kStopped,  // ran and was cancelled or lost its lease
  kUnknown,  // sent under another boot id, whose attempts are not known
};

enum class StartRefusal {
  kNone,      // not refused
  kLease,     // the lease is not valid
  kNotAfter,  // the endpoint's clock has passed not_after
  kBoot,      // the boot id is not the present one
  kSlots,     // too few free slots
  kLeaving,   // the endpoint is leaving
  kFenced,    // the attempt was fenced or cancelled before it arrived
};

// Return the names used on the wire, as in "never_started" and "not_after".
const char* AttemptStateName(AttemptState state);
const char* StartRefusalName(StartRefusal refusal);

struct AttemptRequest {
  AttemptId attempt{};            // default: empty
  TaskId task{};                  // default: empty; for the record of runs
  TeamId team{};                  // default: empty; for the record of runs
  LeaseId lease{};                // default: empty
  BootId boot{};                  // default: empty
  std::int64_t not_after_us = 0;  // default: 0 us; the endpoint's clock
  Duration run{};                 // default: 0; how long the task runs
  SlotCount slots{1};             // default: 1
  std::string payload{};          // default: empty
};

struct AttemptAnswer {
  AttemptId
      in_reply_to{};    // default: empty; attempt whose request this answers
  AttemptId attempt{};  // default: empty; named in the answer
  AttemptState state = AttemptState::kUnknown;  // default: kUnknown
  StartRefusal reason = StartRefusal::kNone;    // default: kNone
  std::string body{};      // default: empty; "ok " + payload when done
  std::string digest{};    // default: empty; SHA-256 in hex of the whole body
  std::size_t length = 0;  // default: 0 bytes; of the whole body
  bool lost = false;       // default: false; by fault, closes the connection
};

// One run of a task, as the endpoint itself saw it. Times are the caller's, so
// that records of several endpoints can be compared.
struct RunRecord {
  AttemptId attempt{};  // default: empty
  TaskId task{};        // default: empty
  TeamId team{};        // default: empty
  Instant started{};    // default: epoch
  Instant ended{};      // default: epoch while it runs
  AttemptState outcome = AttemptState::kRunning;  // default: kRunning
};

// Returns the SHA-256 digest in lower-case hex.
std::string Sha256Hex(std::string_view bytes);

//-----------------------------------------------------------------------------
// [SECTION] EndpointModel
//-----------------------------------------------------------------------------

namespace internal {

// What the endpoint knows of one attempt.
struct KnownAttempt {
  AttemptAnswer answer;       // as known so far
  LeaseId lease{};            // default: empty; under which it runs
  SlotCount slots{};          // default: 0
  std::string payload{};      // default: empty
  Instant due{};              // default: epoch; end of the run
  std::size_t run_index = 0;  // default: 0; into `runs`
};

// A valid lease.
struct HeldLease {
  DaemonId holder{};          // default: empty
  Incarnation incarnation{};  // default: 0
  Instant lapses{};           // default: epoch; caller's time
};

}  // namespace internal

// Not thread-safe.
class EndpointModel {
 public:
  explicit EndpointModel(EndpointOptions options);

  // Grants a new lease with a new id, beside those of other holders and the
  // earlier ones of this holder. A later incarnation ends the leases of the
  // earlier ones at once and stops their tasks.
  LeaseAnswer Lease(const LeaseRequest& request, Instant now);

  // Ends the lease and stops its tasks. Returns false if it is not valid.
  bool Release(const LeaseId& lease, Instant now);

  // Renews the lease until the endpoint's clock reads until_us; a heartbeat
  // that arrives late does not shorten it. Returns nothing if the lease is not
  // valid.
  std::optional<HeartbeatAnswer> Heartbeat(const LeaseId& lease,
                                           std::int64_t until_us,
                                           Instant now);

  // Starts the attempt (kRunning; its answer comes from Advance()) or refuses
  // it (kNeverStarted with a reason). A refused attempt never starts later. A
  // repeat of a known attempt starts nothing and returns what is known.
  AttemptAnswer Start(const AttemptRequest& request, Instant now);

  // Returns the attempt's state; one that has not started yet never will.
  // `sent_under` is the boot id under which the attempt was sent: if it is not
  // the present one the state is kUnknown. Empty: not checked.
  AttemptAnswer Fence(const AttemptId& attempt,
                      const BootId& sent_under,
                      Instant now);

  // As Fence(), and stops the attempt if it runs.
  AttemptAnswer Cancel(const AttemptId& attempt,
                       const BootId& sent_under,
                       Instant now);

  // Returns what is known and changes nothing. Nothing: never heard of.
  std::optional<AttemptAnswer> Look(const AttemptId& attempt, Instant now);

  // Ends the tasks and the leases that are due and returns the answers to the
  // attempts that ended since the last call, with faults applied.
  std::vector<AttemptAnswer> Advance(Instant now);

  // The instant at which Advance() has something to do, if any.
  std::optional<Instant> NextEvent() const;

  // The endpoint's clock.
  std::int64_t ClockMicros(Instant now) const;
  const BootId& Boot() const { return this->boot; }
  const EndpointOptions& Options() const { return this->options; }
  const std::vector<RunRecord>& Runs() const { return this->runs; }

  // Connections. Connect() returns the number of a new one, or nothing if
  // as many are open as the options allow.
  std::optional<std::uint64_t> Connect();
  void Disconnect(std::uint64_t connection);
  bool IsSilent(std::uint64_t connection) const;

  // Faults.
  void SetFaults(const EndpointFaults& new_faults) {
    this->faults = new_faults;
  }
  const EndpointFaults& Faults() const { return this->faults; }
  // Makes the connections that are open now silent for good.
  void SilenceOpenConnections();
  // Stops the process for the length; its clock goes on.
  void Pause(Duration length, Instant now);
  Instant PausedUntil() const { return this->paused_until; }
  // Starts anew under a new boot id: leases, known incarnations, tasks, fences
  // and connections are gone, the record of runs stays. Running tasks are
  // recorded as kStopped and get no answer.
  void Restart(Instant now);

 private:
  void ProcessDue(Instant now);
  void EndLease(const LeaseId& lease, Instant at);
  Instant NextLapse() const;
  void EndTask(const AttemptId& attempt, AttemptState state, Instant at);
  StartRefusal CheckStart(const AttemptRequest& request, Instant now) const;
  AttemptAnswer Begin(const AttemptRequest& request, Instant now);
  AttemptAnswer RecordRefusal(const AttemptId& attempt, StartRefusal reason);
  void ApplyAnswerFaults(AttemptAnswer& answer);
  Duration OnCallersClock(Duration own) const;

  EndpointOptions options;
  EndpointFaults faults;
  BootId boot;
  std::uint64_t boot_count = 0;   // default: 0
  std::uint64_t lease_count = 0;  // default: 0
  std::map<LeaseId, internal::HeldLease> leases;
  std::map<DaemonId, Incarnation> latest;  // of each holder
  std::unordered_map<AttemptId, internal::KnownAttempt> tasks;
  std::set<std::pair<Instant, AttemptId>> due;  // running tasks by end
  SlotCount used;
  std::vector<AttemptAnswer> ended;        // not yet returned by Advance()
  std::optional<AttemptAnswer> last_done;  // served by wrong_answers
  std::vector<RunRecord> runs;
  Instant paused_until{};  // default: epoch
  std::set<std::uint64_t> open_connections;
  std::uint64_t connection_count = 0;  // default: 0
  std::uint64_t silent_up_to = 0;      // default: 0; connection number
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_ENDPOINT_MODEL_H_
