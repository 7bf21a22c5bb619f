// HTTP messages between daemons and endpoints: leases, heartbeats, attempts and
// fences.
//
// Index:
//   [SECTION] Leases
//   [SECTION] Heartbeats
//   [SECTION] Attempts
//   [SECTION] Responses to attempts
//   [SECTION] Fences
//   [SECTION] Run records and injected faults of the stand-in
//
// Each exchange has an encoder for the side that sends it and a parser for the
// side that receives it. Clock readings of an endpoint are microseconds on its
// own monotonic clock and cannot be compared with another clock.

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
  DaemonId holder;
  Incarnation incarnation;
  Duration duration{};  // sent in whole milliseconds
};

struct LeaseGrant {
  LeaseId lease;
  BootId boot;
  std::int64_t clock_us = 0;  // endpoint's clock
  SlotCount slots;            // total
  SlotCount used;             // by all holders
  bool leaving = false;
};

// The endpoint has seen a later incarnation of the holder.
struct LeaseConflict {
  DaemonId holder;
  Incarnation latest;
};

using LeaseResponse = std::variant<LeaseGrant, LeaseConflict>;

HttpCall EncodeLease(const LeaseRequest& request);
HttpCall EncodeLeaseRelease(const LeaseId& lease);
Result<LeaseRequest> ParseLease(std::string_view body);
HttpResponse FormatLeaseResponse(const LeaseResponse& answer);
Result<LeaseResponse> ParseLeaseResponse(int status, std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Heartbeats
//-----------------------------------------------------------------------------

struct HeartbeatRequest {
  LeaseId lease;
  std::int64_t until_us = 0;  // endpoint's clock
};

struct HeartbeatResponse {
  BootId boot;
  std::int64_t clock_us = 0;  // endpoint's clock
  bool leaving = false;
  std::vector<AttemptId> running;  // of this lease
  SlotCount slots;                 // total
  SlotCount used;                  // by all holders
};

HttpCall EncodeHeartbeat(const HeartbeatRequest& request);
Result<HeartbeatRequest> ParseHeartbeat(std::string_view body);
HttpResponse FormatHeartbeatResponse(const HeartbeatResponse& answer);
// Any status other than 200 is an error: the lease is no longer held.
Result<HeartbeatResponse> ParseHeartbeatResponse(int status,
                                                 std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

struct AttemptRequest {
  AttemptId attempt;
  LeaseId lease;
  BootId boot;
  std::int64_t not_after_us = 0;  // endpoint's clock
  Duration run{};                 // sent in whole milliseconds
  bool idempotent = false;
  TaskId task;  // optional, not sent if empty; for run records
  TeamId team;  // optional, not sent if empty; for run records
  std::string body;
};

HttpCall EncodeAttempt(AttemptRequest request);
Result<AttemptRequest> ParseAttempt(const HttpHeaders& headers,
                                    std::string body);

HttpCall EncodeAttemptState(const AttemptId& attempt);  // GET, for the result
HttpCall EncodeAttemptStop(const AttemptId& attempt);   // DELETE
// POST .../fence. `boot` is the boot id under which the attempt was sent; empty
// if unknown.
HttpCall EncodeFence(const AttemptId& attempt, const BootId& boot);

// Reads `/v1/attempts/{id}` and `/v1/attempts/{id}/fence`.
struct AttemptPath {
  AttemptId attempt;
  bool fence = false;
};
Result<AttemptPath> ParseAttemptPath(std::string_view path);

// Returns whether the text can be an attempt id: 1 to 128 characters of a-z,
// A-Z, 0-9, ".", "_" and "-".
bool IsAttemptId(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Responses to attempts
//-----------------------------------------------------------------------------

enum class NeverStartedReason {
  kLease,     // the lease is not the current one
  kNotAfter,  // the start deadline has passed
  kBoot,      // the endpoint has restarted
  kSlots,     // no slot is free
  kLeaving,   // the endpoint accepts no new work
  kFenced,    // the attempt was fenced
};

const char* NeverStartedReasonName(NeverStartedReason reason);

enum class AttemptState {
  kNeverStarted,
  kRunning,
  kDone,
  kFailed,
  kStopped,
  kUnknown,  // the endpoint has restarted since the attempt was sent
};

const char* AttemptStateName(AttemptState state);

enum class ResponseFault {
  kNone,          // the response belongs to the attempt and is complete
  kWrongAttempt,  // names another attempt, or none
  kWrongLength,   // Content-Length is missing or differs from the body
  kWrongDigest,   // Peridot-Digest is missing or differs from the body
  kMalformed,     // neither a result nor a known state
};

const char* ResponseFaultName(ResponseFault fault);

// With a fault, the other fields are invalid: the caller drops the response,
// closes the connection and fences the attempt.
struct AttemptResponse {
  ResponseFault fault = ResponseFault::kMalformed;
  AttemptState state = AttemptState::kRunning;
  std::optional<NeverStartedReason> never_started;
  bool has_result = false;  // body holds the verified result
  std::string body;
};

// Checks the response to POST /v1/attempts, GET /v1/attempts/{id} or a fence
// against the requested attempt. kDone with a result carries its digest; a
// fence returns kDone without a result, which GET then returns. A refusal to
// start must name the attempt too: a refusal of another attempt would report a
// task that ran as "not run".
AttemptResponse CheckAttemptResponse(const AttemptId& asked,
                                     int status,
                                     const HttpHeaders& headers,
                                     std::string body);

//-----------------------------------------------------------------------------
// [SECTION] Fences
//-----------------------------------------------------------------------------

// 200 with the result of an attempt that has ended.
HttpResponse FormatAttemptResult(const AttemptId& attempt, std::string body);

// 409 {"state": "never_started", "reason": ...}.
HttpResponse FormatNeverStarted(const AttemptId& attempt,
                                NeverStartedReason reason);

// {"state": ...}, with status 500 for kFailed in response to the attempt itself
// and 200 in response to a fence or a GET.
HttpResponse FormatAttemptFailed(const AttemptId& attempt);
HttpResponse FormatAttemptState(const AttemptId& attempt, AttemptState state);

//-----------------------------------------------------------------------------
// [SECTION] Run records and injected faults of the stand-in
//-----------------------------------------------------------------------------

struct RunRecord {
  AttemptId attempt;
  TaskId task;
  TeamId team;
  std::int64_t started_us = 0;  // endpoint's clock
  std::int64_t ended_us = 0;    // endpoint's clock; 0: still running
  std::string outcome;          // name of an AttemptState
};

HttpResponse FormatRuns(const std::vector<RunRecord>& runs);
Result<std::vector<RunRecord>> ParseRuns(std::string_view body);

// Faults that the stand-in injects. A field without a value leaves the fault
// unchanged.
struct EndpointFaults {
  std::optional<bool> fail_all{};
  std::optional<bool> silent{};
  std::optional<bool> leaving{};
  std::optional<std::uint64_t> pause_ms{};
  std::optional<std::uint64_t> lose_answers{};   // number of responses
  std::optional<std::uint64_t> wrong_answers{};  // number of responses
  std::optional<std::uint64_t> truncate{};       // number of responses
};

HttpCall EncodeEndpointFaults(const EndpointFaults& faults);
Result<EndpointFaults> ParseEndpointFaults(std::string_view body);

}  // namespace peridot

#endif  // SRC_PROTOCOL_ENDPOINT_HTTP_H_
