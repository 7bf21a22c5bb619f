// Refusals as callers see them: application/problem+json. Section 14.1 of
// docs/design.md.
//
// Index:
//   [SECTION] Codes
//   [SECTION] Problem
//   [SECTION] Functions

#ifndef SRC_PROTOCOL_PROBLEM_H_
#define SRC_PROTOCOL_PROBLEM_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "src/coordination/attempt.h"
#include "src/protocol/http_headers.h"
#include "src/state/clock.h"
#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Codes
//-----------------------------------------------------------------------------

enum class RefusalCode {
  kUnknownQueue,
  kKeyMissing,
  kKeyUnknown,
  kKeyWrongTeam,
  kTeamLimit,
  kZoneOut,
  kSettingsStale,
  kNoEndpoint,
  kDeadline,
  kQueueFull,
  kStoreUnavailable,
  kShuttingDown,
  kBadRequest,
  kTooLarge,
  kUnknownTask,
  kOutcomeUnknown,
  kTaskFailed,
  kCancelled,
  kRevisionConflict,
};

// Returns every code, in the order of the enum.
std::span<const RefusalCode> AllRefusalCodes();

// Returns the stable name, as in "team_limit".
const char* RefusalCodeName(RefusalCode code);
std::optional<RefusalCode> RefusalCodeFromName(std::string_view name);

// Returns the HTTP status.
int RefusalStatus(RefusalCode code);

// Returns one plain sentence.
const char* RefusalTitle(RefusalCode code);

const char* RanName(Ran ran);
std::optional<Ran> RanFromName(std::string_view name);

// Returns whether a refusal with this code can have this `ran`. A refusal at
// admission never ran; only kDeadline and kCancelled can have any.
bool IsRanAllowed(RefusalCode code, Ran ran);

//-----------------------------------------------------------------------------
// [SECTION] Problem
//-----------------------------------------------------------------------------

struct Problem {
  RefusalCode code = RefusalCode::kBadRequest;  // default: kBadRequest
  Ran ran = Ran::kUnknown;                      // default: kUnknown
  std::string detail{};                         // default: empty, left out
  std::optional<Duration> retry_after{};        // default: none, left out; ms
};

//-----------------------------------------------------------------------------
// [SECTION] Functions
//-----------------------------------------------------------------------------

// Returns a problem with the only `ran` that the code allows, or kUnknown if
// it allows several; those callers set it.
Problem MakeProblem(RefusalCode code, std::string detail);

// Returns status, headers and JSON body. A `ran` that the code does not allow
// is given as unknown, so that a defect cannot claim "not run".
HttpAnswer FormatProblem(const Problem& problem);

// Reads the body of a refusal.
Result<Problem> ParseProblem(std::string_view body);

}  // namespace peridot

#endif  // SRC_PROTOCOL_PROBLEM_H_
