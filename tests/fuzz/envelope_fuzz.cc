// Fuzz target of DecodeEnvelope(). If the first byte is odd, a valid header is
// put before the rest of the input, so that bodies are reached too.

#include <cstddef>
#include <cstdint>
#include <string>

#include "src/protocol/envelope.h"
#include "tests/fuzz/fuzz_input.h"

using namespace peridot;  // NOLINT(google-build-using-namespace)

namespace {

std::string ValidHeader() {
  proto::Envelope header;
  header.set_protocol_version(kProtocolVersion);
  header.set_sender("d1");
  header.set_incarnation(4);
  header.set_receiver("d2");
  return header.SerializeAsString();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const std::string header = ValidHeader();
  static const EnvelopeExpectation expected{
      DaemonId("d2"), [](const DaemonId& daemon) {
        return daemon == DaemonId("d1") ? std::optional(Incarnation(4))
                                        : std::nullopt;
      }};
  std::string_view input(reinterpret_cast<const char*>(data), size);
  const bool with_header = fuzz::ConsumeByte(&input) % 2 == 1;
  const std::string bytes = (with_header ? header : "") + std::string(input);
  const EnvelopeResult result = DecodeEnvelope(bytes, expected);
  if (!result) {
    return 0;
  }
  const proto::Envelope& envelope = result.value();
  fuzz::Require(envelope.sender() == "d1" && envelope.receiver() == "d2");
  fuzz::Require(envelope.incarnation() >= 4);
  // An accepted envelope can be encoded, unless it is too large, and is
  // accepted again.
  const auto round_trip = EncodeEnvelope(
      envelope, {DaemonId("d1"), Incarnation(envelope.incarnation())},
      DaemonId("d2"), envelope.sequence());
  if (round_trip) {
    fuzz::Require(DecodeEnvelope(round_trip.value(), expected).has_value());
  } else {
    fuzz::Require(round_trip.error().code == ErrorCode::kTooLarge);
  }
  return 0;
}
