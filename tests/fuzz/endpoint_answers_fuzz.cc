// Fuzz target of the parsers of endpoint responses. Input: a byte that selects
// the status, header lines, an empty line and the body. A first byte of 128 or
// more adds valid headers for the attempt and the length, so that complete
// responses are reached too.

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/protocol/digest.h"
#include "src/protocol/endpoint_http.h"
#include "tests/fuzz/fuzz_input.h"

using namespace peridot;  // NOLINT(google-build-using-namespace)

namespace {

void CheckAttempt(int status,
                  const HttpHeaders& headers,
                  const std::string& body) {
  const AttemptResponse answer =
      CheckAttemptResponse(AttemptId("a1"), status, headers, body);
  if (answer.fault != ResponseFault::kNone) {
    return;
  }
  fuzz::Require(FindHeader(headers, "Peridot-Attempt") == "a1");
  fuzz::Require(FindHeader(headers, "Content-Length").has_value());
  if (answer.has_result) {
    fuzz::Require(answer.state == AttemptState::kDone && status == 200);
    fuzz::Require(answer.body == body);
    fuzz::Require(FindHeader(headers, "Peridot-Digest") == Sha256Hex(body));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view input(reinterpret_cast<const char*>(data), size);
  const bool add_headers = size > 0 && data[0] >= 128;
  const int status = fuzz::ConsumeStatus(&input);
  HttpHeaders headers = fuzz::ConsumeHeaders(&input);
  const std::string body(input);
  if (add_headers) {
    headers.push_back({"Peridot-Attempt", "a1"});
    headers.push_back({"Content-Length", std::to_string(body.size())});
  }
  CheckAttempt(status, headers, body);

  if (const auto lease = ParseLeaseResponse(status, body)) {
    const HttpResponse round_trip = FormatLeaseResponse(lease.value());
    fuzz::Require(round_trip.status == status);
    fuzz::Require(
        ParseLeaseResponse(round_trip.status, round_trip.body).has_value());
  }
  if (const auto heartbeat = ParseHeartbeatResponse(status, body)) {
    const HttpResponse round_trip = FormatHeartbeatResponse(heartbeat.value());
    fuzz::Require(ParseHeartbeatResponse(200, round_trip.body).has_value());
  }
  if (const auto attempt = ParseAttempt(headers, body)) {
    const HttpCall call = EncodeAttempt(attempt.value());
    fuzz::Require(ParseAttempt(call.headers, call.body).has_value());
  }
  (void)ParseLease(body);
  (void)ParseHeartbeat(body);
  (void)ParseRuns(body);
  (void)ParseEndpointFaults(body);
  (void)ParseAttemptPath(body);
  return 0;
}
