// Fuzz target of the platform's decoders. Input: a byte that selects the
// decoder, then the text. A decoded job or task name has to decode again from
// its encoded form.

#include <cstddef>
#include <cstdint>
#include <string>

#include "platform/node_settings.h"
#include "platform/wire.h"
#include "src/protocol/job_json.h"
#include "tests/fuzz/fuzz_input.h"

using namespace peridot;  // NOLINT(google-build-using-namespace)

namespace {

void CheckJob(const std::string& text) {
  const Result<JobSpec> spec = platform::DecodeJobBody(text);
  if (!spec) {
    return;
  }
  fuzz::Require(CheckJobSpec(spec.value()).empty());
  AcceptedJob job;
  job.spec = spec.value();
  const Result<AcceptedJob> round_trip = DecodeJob(EncodeJob(job));
  fuzz::Require(round_trip.has_value());
  fuzz::Require(round_trip.value().spec.steps.size() == job.spec.steps.size());
}

void CheckRows(const std::string& text) {
  StoreRow row;
  row.value = text;
  for (const char* key : {"config", "wave/1", "evacuate/z", "other"}) {
    row.key.key = key;
    static_cast<void>(platform::DecodeOperatorRow(row));
  }
  const Result<EndpointRow> endpoint = platform::DecodeEndpoint(row);
  fuzz::Require(!endpoint || !text.empty());
}

void CheckName(const std::string& text) {
  const Result<TaskName> name = platform::DecodeTaskName(text);
  if (name) {
    const std::string encoded = platform::EncodeTaskName(name.value());
    fuzz::Require(platform::DecodeTaskName(encoded).value() == name.value());
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  std::string_view input(reinterpret_cast<const char*>(data), size);
  const int decoder = fuzz::ConsumeByte(&input) % 8;
  const std::string text(input);
  switch (decoder) {
    case 0:
      CheckJob(text);
      break;
    case 1:
      CheckRows(text);
      break;
    case 2:
      CheckName(text);
      break;
    case 3:
      static_cast<void>(platform::DecodeReport(text));
      break;
    case 4:
      static_cast<void>(platform::DecodeStoreReply(text));
      break;
    case 5:
      static_cast<void>(platform::DecodeHosts(text));
      break;
    case 6:
      static_cast<void>(platform::DecodeAdvice(text));
      static_cast<void>(platform::DecodeOrderReply(409, text));
      break;
    default:
      static_cast<void>(platform::ParseNodeSettings(text));
      break;
  }
  return 0;
}
