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
  ExitCode exit = ExitCode::kUnknown;  // default: kUnknown
  std::string code;  // "answered", "accepted" or the code of the refusal
  std::string ran;   // "yes", "no", "unknown"; "later" if accepted
  std::string task;  // id, if the daemon gave one
  std::string body;  // the endpoint's answer
};

SubmitResult ResultOfReply(const HttpRequest& request, const HttpReply& reply);
SubmitResult ResultOfError(const HttpRequest& request, const Error& error);

// The exit code of several tasks: the one that leaves most to clear up.
ExitCode WorstExit(const std::vector<SubmitResult>& results);

// Prints one line for a single task and its answer, or for several tasks the
// number of them by code.
void PrintSubmitResults(const std::vector<SubmitResult>& results,
                        std::ostream& out,
                        bool json);

//-----------------------------------------------------------------------------
// [SECTION] Requests
//-----------------------------------------------------------------------------

// What is the same for every task of one command.
struct SubmitPlan {
  std::string queue;      // default: empty; "pool.queue"
  std::string body;       // default: empty
  HttpHeaders headers;    // default: none; with the key
  SubmitOptions options;  // default: one task
};

// Returns the request of task number `index`, counted from 0. Several tasks
// get different idempotency keys, or they would be one task.
HttpRequest MakeSubmitRequest(const SubmitPlan& plan, std::int64_t index);

//-----------------------------------------------------------------------------
// [SECTION] Sending
//-----------------------------------------------------------------------------

// Submits all tasks, at most `concurrency` at once, each once.
template <AdminServer S>
std::vector<SubmitResult> SubmitAll(const S& server,
                                    const std::vector<SocketAddress>& addresses,
                                    const SubmitPlan& plan) {
  std::vector<SubmitResult> results(
      static_cast<std::size_t>(plan.options.count));
  // Each thread writes only the results whose index it drew.
  std::atomic<std::int64_t> next = 0;
  const auto work = [&] {
    for (;;) {
      const std::int64_t index = next.fetch_add(1);
      if (index >= plan.options.count) {
        return;
      }
      const HttpRequest request = MakeSubmitRequest(plan, index);
      const Result<HttpReply> reply = SendToFirst(server, addresses, request);
      results[static_cast<std::size_t>(index)] =
          reply.has_value() ? ResultOfReply(request, reply.value())
                            : ResultOfError(request, reply.error());
    }
  };
  std::vector<std::jthread> threads;
  const std::int64_t thread_count =
      std::min(plan.options.concurrency, plan.options.count);
  for (std::int64_t i = 1; i < thread_count; ++i) {
    threads.emplace_back(work);
  }
  work();
  threads.clear();
  return results;
}

}  // namespace peridot::ctl

#endif  // SRC_CTL_SUBMIT_H_
