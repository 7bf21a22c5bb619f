// Error responses to callers in the format application/problem+json.
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

// Returns a one-sentence description for the caller.
const char* RefusalTitle(RefusalCode code);

const char* RanName(Ran ran);
std::optional<Ran> RanFromName(std::string_view name);

// Returns whether a refusal with this code can have this value of `ran`. A task
// refused at admission never ran; only kDeadline and kCancelled allow any
// value.
bool IsRanAllowed(RefusalCode code, Ran ran);

//-----------------------------------------------------------------------------
// [SECTION] Problem
//-----------------------------------------------------------------------------

struct Problem {
  RefusalCode code = RefusalCode::kBadRequest;
  Ran ran = Ran::kUnknown;
  std::string detail{};                   // omitted if empty
  std::optional<Duration> retry_after{};  // omitted if none; whole ms
};

//-----------------------------------------------------------------------------
// [SECTION] Functions
//-----------------------------------------------------------------------------

// Returns a problem with the only value of `ran` that the code allows, or with
// kUnknown if it allows several; the caller sets `ran` in that case.
Problem MakeProblem(RefusalCode code, std::string detail);

// Returns status, headers and JSON body. A value of `ran` that the code does
// not allow is sent as unknown, so that a defect cannot report a task as "not
// run".
HttpResponse FormatProblem(const Problem& problem);

// Parses the body of an error response.
Result<Problem> ParseProblem(std::string_view body);

}  // namespace peridot

#endif  // SRC_PROTOCOL_PROBLEM_H_
