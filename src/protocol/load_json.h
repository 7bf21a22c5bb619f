// JSON format of the reports that the owner sends to the other daemons.
//
// Index:
//   [SECTION] Load report
//   [SECTION] Backlog report
//
// All functions are thread-safe.

#ifndef SRC_PROTOCOL_LOAD_JSON_H_
#define SRC_PROTOCOL_LOAD_JSON_H_

#include <string>
#include <string_view>

#include "src/coordination/backlog_share.h"
#include "src/coordination/job_admission.h"
#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Load report
//-----------------------------------------------------------------------------

struct AgedLoadReport {
  LoadReport report;
  Milliseconds age{0};  // when it was sent
};

std::string EncodeLoadReport(const LoadReport& report, Milliseconds age);

// Fails if the text is malformed, of another version, or has a figure out of
// range.
Result<AgedLoadReport> DecodeLoadReport(std::string_view text);

//-----------------------------------------------------------------------------
// [SECTION] Backlog report
//-----------------------------------------------------------------------------

std::string EncodeBacklogReport(const BacklogReport& report);

// Fails if the text is malformed or a figure is missing or negative.
Result<BacklogReport> DecodeBacklogReport(std::string_view text);

}  // namespace peridot

#endif  // SRC_PROTOCOL_LOAD_JSON_H_
