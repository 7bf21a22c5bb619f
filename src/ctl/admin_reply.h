// Interpretation of a daemon's HTTP responses.
//
// Index:
//   [SECTION] Responses
//   [SECTION] Exit codes

#ifndef SRC_CTL_ADMIN_REPLY_H_
#define SRC_CTL_ADMIN_REPLY_H_

#include <cstdint>
#include <optional>
#include <string>

#include "src/ctl/admin_client.h"
#include "src/ctl/exit_code.h"
#include "src/state/error.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Responses
//-----------------------------------------------------------------------------

// Response to a settings change.
struct ChangeResponse {
  std::uint64_t revision = 0;  // revision that contains the change
  bool in_force = false;       // on all daemons
  std::string id;              // of a granted key
  std::string key;             // text form of a granted key
};

// Fails with kMalformed unless the body holds `revision` and `in_force`.
Result<ChangeResponse> ParseChangeResponse(const HttpReply& reply);

// An error response (application/problem+json). Absent members are empty.
struct Problem {
  std::string title;                      // human-readable
  std::string code;                       // machine-readable, stable
  std::string ran;                        // "no", "yes" or "unknown"
  std::optional<std::uint64_t> expected;  // revision in If-Match
  std::optional<std::uint64_t> actual;    // current revision
  std::optional<std::uint64_t> retry_after_ms;
};

// Members of the wrong type are treated as absent.
Problem ParseProblem(const HttpReply& reply);

//-----------------------------------------------------------------------------
// [SECTION] Exit codes
//-----------------------------------------------------------------------------

// Returns the exit code for a response. If the response to a change does not
// state whether the request was executed, the code is kUnknown, except for a
// 4xx status other than 408, which by definition means that it was rejected.
ExitCode ExitCodeOf(const HttpRequest& request, const HttpReply& reply);

// Returns the exit code for a request without a response. A read changes
// nothing, so its code is always kUnreachable.
ExitCode ExitCodeOf(const HttpRequest& request, const Error& error);

}  // namespace peridot::ctl

#endif  // SRC_CTL_ADMIN_REPLY_H_
