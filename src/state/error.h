// Errors and results.
//
// Index:
//   [SECTION] Error
//   [SECTION] Result

#ifndef SRC_STATE_ERROR_H_
#define SRC_STATE_ERROR_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/try.hpp>
#include <ostream>
#include <string>
#include <utility>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Error
//-----------------------------------------------------------------------------

enum class ErrorCode {
  kInvalidArgument,  // input violates a documented rule
  kOutOfRange,       // a number is outside its bounds
  kNotFound,         // the named object does not exist
  kConflict,         // another writer changed the object first
  kUnavailable,      // the peer did not answer or refused temporarily
  kUnknownOutcome,   // the operation may or may not have taken effect
  kMalformed,        // bytes that do not parse or do not match their digest
  kTooLarge,         // more bytes than the limit allows
  kPermission,       // the caller may not do this
  kInternal,         // a defect of this program
};

// What went wrong, in which step and with which peer.
struct Error {
  ErrorCode code = ErrorCode::kInternal;
  std::string step;     // a verb, as in "read"
  std::string peer;     // address or name
  std::string message;  // a plain sentence
};

// Returns a stable lower-case name, as in "not_found".
const char* ErrorCodeName(ErrorCode code);

// Writes "step=... peer=... code=... message=...".
std::ostream& operator<<(std::ostream& out, const Error& error);

//-----------------------------------------------------------------------------
// [SECTION] Result
//-----------------------------------------------------------------------------

// A value or an Error. Reading the value of a failed result terminates the
// program.
template <typename T>
using Result = boost::outcome_v2::
    basic_result<T, Error, boost::outcome_v2::policy::terminate>;

// Returns an Error that converts to every Result.
inline Error MakeError(ErrorCode code,
                       std::string step,
                       std::string peer,
                       std::string message) {
  return Error{code, std::move(step), std::move(peer), std::move(message)};
}

}  // namespace peridot

#endif  // SRC_STATE_ERROR_H_
