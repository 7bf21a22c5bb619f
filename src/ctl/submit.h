// Submission of tasks to a queue.
//
// Index:
//   [SECTION] Results
//   [SECTION] Requests
//   [SECTION] Sending

#ifndef SRC_CTL_SUBMIT_H_
#define SRC_CTL_SUBMIT_H_

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

#include "src/ctl/admin_client.h"
#include "src/ctl/command_line.h"
#include "src/ctl/exit_code.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Results
//-----------------------------------------------------------------------------

// The outcome of one task.
struct SubmitResult {
  ExitCode exit = ExitCode::kUnknown;
  std::string code;  // "answered", "accepted" or the code of the refusal
  std::string ran;   // "yes", "no" or "unknown"; "later" if accepted
  std::string task;  // id; empty if the response names none
  std::string body;  // the endpoint's response
};

SubmitResult ResultOfReply(const HttpRequest& request, const HttpReply& reply);
SubmitResult ResultOfError(const HttpRequest& request, const Error& error);

// Returns the most severe exit code of several tasks: the one that leaves the
// operator most to resolve. The worst is kUnknown.
ExitCode MostSevereExit(const std::vector<SubmitResult>& results);

// Prints one line with the response for a single task, or the number of tasks
// by code for several tasks.
void PrintSubmitResults(const std::vector<SubmitResult>& results,
                        std::ostream& out,
                        bool json);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

// The parts that the requests of all tasks of one command have in common.
struct SubmitTemplate {
  std::string queue;  // as in "pool.queue"
  std::string body;
  HttpHeaders headers;  // with the bearer key
  SubmitOptions options;
};

// Returns the request of task number `index`, counted from 0. With several
// tasks the number is appended to the idempotency key: tasks with equal keys
// would be treated as one task.
HttpRequest MakeSubmitRequest(const SubmitTemplate& submit_template,
                              std::int64_t index);

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

// Submits each task once, with at most `concurrency` requests at a time. Calls
// the server from several threads.
template <AdminServer S>
std::vector<SubmitResult> SubmitAll(const S& server,
                                    const std::vector<SocketAddress>& addresses,
                                    const SubmitTemplate& submit_template) {
  std::vector<SubmitResult> results(
      static_cast<std::size_t>(submit_template.options.count));
  // Each thread writes only the results whose index it has claimed.
  std::atomic<std::int64_t> next = 0;
  const auto work = [&] {
    for (;;) {
      const std::int64_t index = next.fetch_add(1);
      if (index >= submit_template.options.count) {
        return;
      }
      const HttpRequest request = MakeSubmitRequest(submit_template, index);
      const Result<HttpReply> reply = SendToFirst(server, addresses, request);
      results[static_cast<std::size_t>(index)] =
          reply.has_value() ? ResultOfReply(request, reply.value())
                            : ResultOfError(request, reply.error());
    }
  };
  std::vector<std::jthread> threads;
  const std::int64_t thread_count = std::min(
      submit_template.options.concurrency, submit_template.options.count);
  for (std::int64_t i = 1; i < thread_count; ++i) {
    threads.emplace_back(work);
  }
  work();
  threads.clear();
  return results;
}

}  // namespace peridot::ctl

#endif  // SRC_CTL_SUBMIT_H_
