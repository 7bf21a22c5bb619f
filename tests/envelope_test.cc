// Tests encoding, decoding and validation of messages between daemons.

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "src/protocol/envelope.h"

namespace peridot {
namespace {

const SessionId kSender{DaemonId("d1"), Incarnation(4)};
const DaemonId kReceiver("d2");

EnvelopeExpectation Expectation(const DaemonId& receiver = kReceiver) {
  return {receiver, [](const DaemonId& daemon) -> std::optional<Incarnation> {
            if (daemon == DaemonId("d1") || daemon == DaemonId("d2")) {
              return Incarnation(4);
            }
            return std::nullopt;
          }};
}

proto::Envelope Probe() {
  proto::Envelope envelope;
  envelope.mutable_probe_request()->set_probe_id(9);
  return envelope;
}

std::string Encoded(const SessionId& sender = kSender,
                    const DaemonId& receiver = kReceiver) {
  return EncodeEnvelope(Probe(), sender, receiver, 7).value();
}

// Returns the refusal's name, or "accepted".
std::string Outcome(const std::string& bytes,
                    const DaemonId& receiver = kReceiver) {
  const EnvelopeResult result = DecodeEnvelope(bytes, Expectation(receiver));
  return result ? "accepted" : EnvelopeRefusalName(result.error());
}

std::string OutcomeOfRaw(const proto::Envelope& envelope) {
  return Outcome(envelope.SerializeAsString());
}

proto::Envelope Decoded() {
  return DecodeEnvelope(Encoded(), Expectation()).value();
}

TEST_CASE("an envelope round trip keeps session, sequence and body",
          "[envelope]") {
  const proto::Envelope envelope = Decoded();
  REQUIRE(envelope.sender() == "d1");
  REQUIRE(envelope.incarnation() == 4);
  REQUIRE(envelope.sequence() == 7);
  REQUIRE(envelope.probe_request().probe_id() == 9);
}

TEST_CASE("each invalid field has its own refusal reason", "[envelope]") {
  // Guards against accepting a message of another fleet, session or version as
  // evidence.
  REQUIRE(Outcome(Encoded()) == "accepted");
  REQUIRE(Outcome(Encoded(), DaemonId("d3")) == "wrong_receiver");
  REQUIRE(Outcome(Encoded({DaemonId("d9"), Incarnation(1)})) ==
          "unknown_sender");
  REQUIRE(Outcome(Encoded({DaemonId(""), Incarnation(1)})) == "unknown_sender");
  REQUIRE(Outcome(Encoded({kReceiver, Incarnation(4)})) == "unknown_sender");
  REQUIRE(Outcome(Encoded({DaemonId("d1"), Incarnation(3)})) ==
          "stale_incarnation");
  REQUIRE(Outcome(Encoded({DaemonId("d1"), Incarnation(5)})) == "accepted");

  proto::Envelope version = Decoded();
  version.set_protocol_version(kProtocolVersion + 1);
  REQUIRE(OutcomeOfRaw(version) == "wrong_version");
  proto::Envelope empty = Decoded();
  empty.clear_body();
  REQUIRE(OutcomeOfRaw(empty) == "no_body");
}

TEST_CASE("a message of an invalid size is refused", "[envelope]") {
  REQUIRE(Outcome(std::string(kMaxDocumentEnvelopeBytes + 1, 'x')) ==
          "too_large");
  REQUIRE(Outcome("") == "wrong_version");
  const std::string whole = Encoded();
  for (std::size_t size = 0; size < whole.size(); ++size) {
    REQUIRE(Outcome(whole.substr(0, size)) != "accepted");
  }
  proto::Envelope large;
  for (int i = 0; i < kMaxEnvelopeUpdates; ++i) {
    proto::MemberState* update = large.mutable_probe_reply()->add_updates();
    update->set_daemon(std::string(kMaxEnvelopeNameBytes, 'd'));
    update->set_incarnation(1);
  }
  const auto encoded = EncodeEnvelope(large, kSender, kReceiver, 1);
  REQUIRE(encoded.error().code == ErrorCode::kTooLarge);
  // Only a document may exceed 64 KiB, even if the sender does not check the
  // size.
  proto::Envelope raw = Decoded();
  *raw.mutable_probe_reply() = large.probe_reply();
  REQUIRE(OutcomeOfRaw(raw) == "too_large");
  raw.mutable_peer_document()->set_text(std::string(kMaxEnvelopeBytes, 'x'));
  REQUIRE(OutcomeOfRaw(raw) == "accepted");
}

TEST_CASE("bodies with fields out of range are refused on both sides",
          "[envelope]") {
  const auto set_header = [](proto::PermitHeader* header) {
    header->set_team("t");
    header->set_to_incarnation(1);
  };
  std::vector<proto::Envelope> bad(10);
  bad[0].mutable_permit_demand()->mutable_header()->set_to_incarnation(1);
  set_header(bad[1].mutable_permit_demand()->mutable_header());
  bad[1].mutable_permit_demand()->mutable_header()->set_team(
      std::string(kMaxEnvelopeNameBytes + 1, 'x'));
  set_header(bad[2].mutable_permit_transfer()->mutable_header());
  bad[2].mutable_permit_transfer()->mutable_header()->clear_to_incarnation();
  set_header(bad[3].mutable_permit_transfer()->mutable_header());
  bad[3].mutable_permit_transfer()->set_given(UINT64_MAX);
  bad[4].mutable_restriction()->set_subject("z1");  // kind unspecified
  bad[5].mutable_restriction()->set_subject("z1");
  bad[5].mutable_restriction()->set_kind(
      static_cast<proto::Restriction::Kind>(99));
  proto::MemberState* update = bad[6].mutable_probe_reply()->add_updates();
  update->set_daemon("d3");
  update->set_incarnation(1);
  update->set_state(5);
  set_header(bad[7].mutable_permit_report()->mutable_header());
  bad[7].mutable_permit_report()->set_count(UINT64_MAX);
  bad[8].mutable_slot_grant()->set_token(1);  // no endpoint
  bad[9].mutable_slot_demand();               // no queue
  for (proto::Envelope& envelope : bad) {
    REQUIRE(EncodeEnvelope(envelope, kSender, kReceiver, 1).has_error());
    envelope.MergeFrom([] {
      proto::Envelope header = Decoded();
      header.clear_body();
      return header;
    }());
    REQUIRE(OutcomeOfRaw(envelope) == "invalid_body");
  }
}

TEST_CASE("random or corrupted bytes never decode as another sender",
          "[envelope]") {
  std::mt19937 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = Encoded();
    for (int flips = 0; flips < 3; ++flips) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    const EnvelopeResult result = DecodeEnvelope(bytes, Expectation());
    if (result) {
      REQUIRE(result.value().sender() == "d1");
      REQUIRE(result.value().receiver() == "d2");
      REQUIRE(result.value().incarnation() >= 4);
    }
  }
}

}  // namespace
}  // namespace peridot
