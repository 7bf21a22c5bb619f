// Fuzz target of ParseTaskSubmission(). Input: a path line, header lines, an
// empty line and the body.

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/protocol/task_http.h"
#include "tests/fuzz/fuzz_input.h"

using namespace peridot;  // NOLINT(google-build-using-namespace)

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view input(reinterpret_cast<const char*>(data), size);
  const std::string_view path = fuzz::ConsumeLine(&input);
  const HttpHeaders headers = fuzz::ConsumeHeaders(&input);
  const std::string body(input);

  const auto result = ParseTaskSubmission(path, headers, body);
  if (result) {
    const TaskSubmission& task = result.value();
    fuzz::Require(path == "/v1/queues/" + task.queue.value + "/tasks");
    fuzz::Require(task.queue.value.starts_with(task.pool.value + "."));
    fuzz::Require(task.body == body);
    fuzz::Require(!task.time_to_deadline ||
                  (*task.time_to_deadline > Duration::zero() &&
                   *task.time_to_deadline <= std::chrono::hours(24)));
    fuzz::Require(!task.idempotent ||
                  FindHeader(headers, "Peridot-Idempotent") == "true");
    fuzz::Require(!task.key || !task.key->empty());
  } else {
    fuzz::Require(result.error().ran == Ran::kNo);
    const HttpResponse answer = FormatProblem(result.error());
    fuzz::Require(ParseProblem(answer.body).has_value());
  }
  if (const auto id = ParseTaskId(path)) {
    fuzz::Require(FormatTaskId(id.value()).value == path);
  }
  (void)ParseTaskPath(path);
  (void)ParseProblem(body);
  return 0;
}
