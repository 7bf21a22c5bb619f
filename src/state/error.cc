#include "src/state/error.h"

namespace peridot {

const char* ErrorCodeName(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return "invalid_argument";
    case ErrorCode::kOutOfRange:
      return "out_of_range";
    case ErrorCode::kNotFound:
      return "not_found";
    case ErrorCode::kConflict:
      return "conflict";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kUnknownOutcome:
      return "unknown_outcome";
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kTooLarge:
      return "too_large";
    case ErrorCode::kPermission:
      return "permission";
    case ErrorCode::kInternal:
      return "internal";
  }
  return "internal";
}

std::ostream& operator<<(std::ostream& out, const Error& error) {
  return out << "step=" << error.step << " peer=" << error.peer
             << " code=" << ErrorCodeName(error.code) << " message=\""
             << error.message << '"';
}

}  // namespace peridot
