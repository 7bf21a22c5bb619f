// Endpoints: lease, heartbeat, attempts and fences. Section 14.6 of
// docs/design.md.
//
// Index:
//   [SECTION] Leases
//   [SECTION] Heartbeats
//   [SECTION] Attempts
//   [SECTION] Answers to attempts
//   [SECTION] Fences
//   [SECTION] Records and faults of the stand-in
//
// Each exchange has an encoder for the side that sends it and a parser for the
// side that receives it. Clock readings of an endpoint are microseconds on its
// own monotonic clock and mean nothing on another clock.

#ifndef SRC_PROTOCOL_ENDPOINT_HTTP_H_
#define SRC_PROTOCOL_ENDPOINT_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/protocol/http_headers.h"
#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/units.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

struct LeaseRequest {
  DaemonId holder;          // default: empty
  Incarnation incarnation;  // default: 0
  Duration duration{};      // default: 0; sent in whole milliseconds
};

struct LeaseGrant {
  LeaseId lease;              // default: empty
  BootId boot;                // default: empty
  std::int64_t clock_us = 0;  // default: 0; endpoint's clock
  SlotCount slots;            // default: 0; in all
  SlotCount used;             // default: 0; by all holders
  bool leaving = false;       // default: false
};

// The endpoint knows the holder under a later incarnation.
struct LeaseConflict {
  DaemonId holder;     // default: empty
  Incarnation latest;  // default: 0
};

using LeaseAnswer = std::variant<LeaseGrant, LeaseConflict>;

HttpCall EncodeLease(const LeaseRequest& request);
HttpCall EncodeLeaseRelease(const LeaseId& lease);
Result<LeaseRequest> ParseLease(std::string_view body);
HttpAnswer FormatLeaseAnswer(const LeaseAnswer& answer);
Result<LeaseAnswer> ParseLeaseAnswer(int status, std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Heartbeats
//-----------------------------------------------------------------------------

struct HeartbeatRequest {
  LeaseId lease;              // default: empty
  std::int64_t until_us = 0;  // default: 0; endpoint's clock
};

struct HeartbeatAnswer {
  BootId boot;                     // default: empty
  std::int64_t clock_us = 0;       // default: 0; endpoint's clock
  bool leaving = false;            // default: false
  std::vector<AttemptId> running;  // default: none; of this lease
  SlotCount slots;                 // default: 0; in all
  SlotCount used;                  // default: 0; by all holders
};

HttpCall EncodeHeartbeat(const HeartbeatRequest& request);
Result<HeartbeatRequest> ParseHeartbeat(std::string_view body);
HttpAnswer FormatHeartbeatAnswer(const HeartbeatAnswer& answer);
// Any status but 200 is an error: the lease is not held any more.
Result<HeartbeatAnswer> ParseHeartbeatAnswer(int status, std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

struct AttemptRequest {
  AttemptId attempt;              // default: empty
  LeaseId lease;                  // default: empty
  BootId boot;                    // default: empty
  std::int64_t not_after_us = 0;  // default: 0; endpoint's clock
  Duration run{};                 // default: 0; sent in whole milliseconds
  bool idempotent = false;        // default: false
  TaskId task;                    // default: empty, not sent; for records
  TeamId team;                    // default: empty, not sent; for records
  std::string body;               // default: empty
};

HttpCall EncodeAttempt(AttemptRequest request);
Result<AttemptRequest> ParseAttempt(const HttpHeaders& headers,
                                    std::string body);

HttpCall EncodeAttemptState(const AttemptId& attempt);  // GET, for the result
HttpCall EncodeAttemptStop(const AttemptId& attempt);   // DELETE
// POST .../fence. The boot is the one under which the attempt was sent; empty
// if it is not known.
HttpCall EncodeFence(const AttemptId& attempt, const BootId& boot);

// Reads `/v1/attempts/{id}` and `/v1/attempts/{id}/fence`.
struct AttemptPath {
  AttemptId attempt;   // default: empty
  bool fence = false;  // default: false
};
Result<AttemptPath> ParseAttemptPath(std::string_view path);

// Returns whether the text can be an attempt id: 1 to 128 characters of a-z,
// A-Z, 0-9, ".", "_" and "-".
bool IsAttemptId(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Answers to attempts
//-----------------------------------------------------------------------------

enum class NeverStartedReason {
  kLease,     // the lease is not the current one
  kNotAfter,  // the start deadline has passed
  kBoot,      // the endpoint has restarted
  kSlots,     // no slot is free
  kLeaving,   // the endpoint takes no new work
  kFenced,    // the attempt was fenced
};

const char* NeverStartedReasonName(NeverStartedReason reason);

enum class AttemptState {
  kNeverStarted,
  kRunning,
  kDone,
  kFailed,
  kStopped,
  kUnknown,  // the endpoint has started again since the attempt was sent
};

const char* AttemptStateName(AttemptState state);

enum class AnswerFault {
  kNone,          // the answer belongs to the attempt and is whole
  kWrongAttempt,  // names another attempt, or none
  kWrongLength,   // Content-Length is missing or differs from the body
  kWrongDigest,   // Peridot-Digest is missing or differs from the body
  kMalformed,     // neither a result nor a known state
};

const char* AnswerFaultName(AnswerFault fault);

// With a fault, nothing else holds: the caller drops the answer, closes the
// connection and fences the attempt.
struct AttemptAnswer {
  AnswerFault fault = AnswerFault::kMalformed;      // default: kMalformed
  AttemptState state = AttemptState::kRunning;      // default: kRunning
  std::optional<NeverStartedReason> never_started;  // default: none
  bool has_result = false;  // default: false; body is the checked result
  std::string body;         // default: empty
};

// Checks the answer to POST /v1/attempts, GET /v1/attempts/{id} or a fence
// against the attempt asked for. kDone with a result carries its digest; a
// fence says kDone without one, and GET then has the result. A refusal to start
// must name the attempt too: one that belongs to another attempt would make
// "not run" untrue.
AttemptAnswer CheckAttemptAnswer(const AttemptId& asked,
                                 int status,
                                 const HttpHeaders& headers,
                                 std::string body);

//-----------------------------------------------------------------------------
// [SECTION] Fences
//-----------------------------------------------------------------------------

// 200 with the result of an attempt that has ended.
HttpAnswer FormatAttemptResult(const AttemptId& attempt, std::string body);

// 409 {"state": "never_started", "reason": ...}.
HttpAnswer FormatNeverStarted(const AttemptId& attempt,
                              NeverStartedReason reason);

// {"state": ...}, with 500 for kFailed in answer to the attempt itself and 200
// in answer to a fence or a GET.
HttpAnswer FormatAttemptFailed(const AttemptId& attempt);
HttpAnswer FormatAttemptState(const AttemptId& attempt, AttemptState state);

//-----------------------------------------------------------------------------
// [SECTION] Records and faults of the stand-in
//-----------------------------------------------------------------------------

struct RunRecord {
  AttemptId attempt;            // default: empty
  TaskId task;                  // default: empty
  TeamId team;                  // default: empty
  std::int64_t started_us = 0;  // default: 0; endpoint's clock
  std::int64_t ended_us = 0;    // default: 0; 0: still running
  std::string outcome;          // default: empty; name of an AttemptState
};

HttpAnswer FormatRuns(const std::vector<RunRecord>& runs);
Result<std::vector<RunRecord>> ParseRuns(std::string_view body);

// Fields without a value leave the fault as it is.
struct EndpointFaults {
  std::optional<bool> fail_all{};                // default: none
  std::optional<bool> silent{};                  // default: none
  std::optional<bool> leaving{};                 // default: none
  std::optional<std::uint64_t> pause_ms{};       // default: none; ms
  std::optional<std::uint64_t> lose_answers{};   // default: none; answers
  std::optional<std::uint64_t> wrong_answers{};  // default: none; answers
  std::optional<std::uint64_t> truncate{};       // default: none; answers
};

HttpCall EncodeEndpointFaults(const EndpointFaults& faults);
Result<EndpointFaults> ParseEndpointFaults(std::string_view body);

}  // namespace peridot

#endif  // SRC_PROTOCOL_ENDPOINT_HTTP_H_
