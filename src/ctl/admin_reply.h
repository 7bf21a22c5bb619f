// What a daemon's answer means.
//
// Index:
//   [SECTION] Answers
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
// [SECTION] Answers
//-----------------------------------------------------------------------------

// Answer to a settings change.
struct ChangeAnswer {
  std::uint64_t revision = 0;  // default: 0; that carries the change
  bool in_force = false;       // default: false; everywhere
  std::string id;              // default: empty; of a granted key
  std::string key;             // default: empty; text form of a granted key
};

// Fails with kMalformed unless the body holds `revision` and `in_force`.
Result<ChangeAnswer> ParseChangeAnswer(const HttpReply& reply);

// A refusal (application/problem+json). Absent members are empty.
struct Problem {
  std::string title;                            // for people
  std::string code;                             // stable
  std::string ran;                              // "no", "yes", "unknown"
  std::optional<std::uint64_t> expected;        // of revision_conflict
  std::optional<std::uint64_t> actual;          // of revision_conflict
  std::optional<std::uint64_t> retry_after_ms;  // unit: ms
};

// Members of the wrong type count as absent.
Problem ParseProblem(const HttpReply& reply);

//-----------------------------------------------------------------------------
// [SECTION] Exit codes
//-----------------------------------------------------------------------------

// Returns the exit code of an answered request. A refusal of a change that does
// not say whether it ran counts as unknown, except that status 4xx other than
// 408 says by its definition that the request was rejected.
ExitCode ExitCodeOf(const HttpRequest& request, const HttpReply& reply);

// Returns the exit code of a request without an answer. A read that was lost
// changed nothing and counts as unreachable.
ExitCode ExitCodeOf(const HttpRequest& request, const Error& error);

}  // namespace peridot::ctl

#endif  // SRC_CTL_ADMIN_REPLY_H_
