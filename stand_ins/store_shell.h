// What the programs of the table and the object store have in common.
//
// Index:
//   [SECTION] Faults
//   [SECTION] Latency
//   [SECTION] Programs

#ifndef STAND_INS_STORE_SHELL_H_
#define STAND_INS_STORE_SHELL_H_

#include <boost/program_options.hpp>
#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
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

//-----------------------------------------------------------------------------
// [SECTION] Programs
//-----------------------------------------------------------------------------

// Applies a body of POST /v1/fault to the store.
template <typename Store>
HttpReply SetStoreFaults(Store* store, const std::string& body) {
  const auto faults = PatchFaults(store->Faults(), body);
  if (!faults)
    return ErrorReply(faults.error());
  store->SetFaults(faults.value());
  return JsonReply(200, nlohmann::json::object());
}

// Runs the program of a store: command line, loop, server. Shell is constructed
// from the loop and handles each request.
template <typename Shell>
int RunStoreProgram(const char* name,
                    std::size_t max_body,
                    int argc,
                    char** argv) {
  boost::program_options::options_description options(name);
  AddPortOption(options);
  const CommandLine line = ParseCommandLine(argc, argv, options);
  if (line.exit_code)
    return *line.exit_code;
  const auto loop = ShellLoop::Create();
  if (!loop)
    return ReportFailure(loop.error());
  Shell shell(*loop.value());
  return Serve(*loop.value(), {.port = PortOf(line), .max_body = max_body},
               [&shell](HttpServer& server, const HttpRequest& request) {
                 shell.Handle(server, request);
               });
}

}  // namespace peridot::stand_ins

#endif  // STAND_INS_STORE_SHELL_H_
