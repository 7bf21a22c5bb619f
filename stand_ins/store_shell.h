// What the programs of the table and the object store have in common.
//
// Index:
//   [SECTION] Faults
//   [SECTION] Latency

#ifndef STAND_INS_STORE_SHELL_H_
#define STAND_INS_STORE_SHELL_H_

#include <functional>
#include <optional>
#include <string>

#include "src/state/error.h"
#include "stand_ins/http_shell.h"
#include "stand_ins/store_faults.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// Returns the faults with the fields that the body of POST /v1/fault names
// replaced. Errors: kMalformed.
Result<StoreFaults> PatchFaults(StoreFaults faults, const std::string& body);

//-----------------------------------------------------------------------------
// [SECTION] Latency
//-----------------------------------------------------------------------------

// Returns the reply, or nothing if the answer is lost.
using StoreOperation = std::function<std::optional<HttpReply>()>;

// Carries out the operation after half of the latency and answers after the
// other half. So an operation may take effect after its client gave up.
void AnswerWithLatency(ShellLoop& loop,
                       HttpServer& server,
                       RequestNumber request,
                       Duration latency,
                       StoreOperation operation);

}  // namespace peridot::stand_ins

#endif  // STAND_INS_STORE_SHELL_H_
