// Fuzz target of the parsers of platform responses. Input: a byte that selects
// the status, then the body.

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/protocol/platform_http.h"
#include "tests/fuzz/fuzz_input.h"

using namespace peridot;  // NOLINT(google-build-using-namespace)

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view input(reinterpret_cast<const char*>(data), size);
  const int status = fuzz::ConsumeStatus(&input);

  const auto commit = ParseCommitAnswer(status, input);
  if (commit && commit.value().outcome != CommitOutcome::kUnknown) {
    fuzz::Require(
        status ==
        (commit.value().outcome == CommitOutcome::kCommitted ? 200 : 409));
    fuzz::Require(FormatCommitAnswer(commit.value()).has_value());
  }
  if (const auto rows = ParseRows(status, input)) {
    const auto round_trip = FormatRows(rows.value());
    fuzz::Require(round_trip.has_value());
    const auto read = ParseRows(200, round_trip.value().body);
    fuzz::Require(read && read.value().size() == rows.value().size());
  }
  if (const auto hosts = ParseHosts(status, input)) {
    const auto read = ParseHosts(200, FormatHosts(hosts.value()).body);
    fuzz::Require(read && read.value().size() == hosts.value().size());
  }
  if (const auto transaction = ParseTransact(input)) {
    const auto call = EncodeTransact(transaction.value());
    fuzz::Require(call && ParseTransact(call.value().body).has_value());
  }
  (void)ParseObjectList(status, input);
  (void)ParseRead(input);
  (void)ParseHost(input);
  (void)ParsePlatformFaults(input);
  (void)ParseObjectPath(input);
  (void)ParseObjectQuery(input);
  return 0;
}
