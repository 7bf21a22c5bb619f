// Code shared by the programs of the table and the object store.
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

// Replaces the faults that the body of POST /v1/fault names and returns all of
// them. Errors: kMalformed.
Result<StoreFaults> PatchFaults(StoreFaults faults, const std::string& body);

//-----------------------------------------------------------------------------
// [SECTION] Latency
//-----------------------------------------------------------------------------

// Returns the response, or nothing if it is lost by fault.
using StoreOperation = std::function<std::optional<HttpReply>()>;

// Executes the operation after half of the latency and responds after the other
// half, so an operation may take effect after its client has timed out. The
// loop and the server must outlive the operation.
void RespondWithLatency(ShellLoop& loop,
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

// Runs the program of a store: command line, event loop, server. Shell is
// constructed from the loop and handles each request.
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
