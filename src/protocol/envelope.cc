#include "src/protocol/envelope.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace peridot {
namespace {

// joining, live, leaving, gone.
constexpr std::uint32_t kMaxMemberState = 3;

// Permits are counted in signed 64-bit numbers.
constexpr std::uint64_t kMaxPermits = std::numeric_limits<std::int64_t>::max();

// The library writes a line to standard error for some malformed messages.
// Those lines are not key=value, and a peer could fill the log with them; each
// refusal is counted by its reason instead.
void SilenceLibrary() {
  [[maybe_unused]] static const auto previous =
      google::protobuf::SetLogHandler(nullptr);
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxEnvelopeName;
}

bool IsValid(const proto::ProbeReply& reply) {
  return reply.updates_size() <= kMaxEnvelopeUpdates &&
         std::all_of(reply.updates().begin(), reply.updates().end(),
                     [](const proto::MemberState& update) {
                       return IsName(update.daemon()) &&
                              update.incarnation() > 0 &&
                              update.state() <= kMaxMemberState;
                     });
}

bool IsValid(const proto::PermitDemand& demand) {
  return IsName(demand.team()) && demand.wanted() <= kMaxPermits;
}

bool IsValid(const proto::PermitTransfer& transfer) {
  return IsName(transfer.team()) && transfer.count() > 0 &&
         transfer.count() <= kMaxPermits;
}

bool IsValid(const proto::Restriction& restriction) {
  return IsName(restriction.subject()) &&
         proto::Restriction::Kind_IsValid(restriction.kind()) &&
         restriction.kind() != proto::Restriction::KIND_UNSPECIFIED;
}

std::optional<EnvelopeRefusal> CheckBody(const proto::Envelope& envelope) {
  bool valid = true;
  switch (envelope.body_case()) {
    case proto::Envelope::BODY_NOT_SET:
      return EnvelopeRefusal::kNoBody;
    case proto::Envelope::kProbeRequest:
    case proto::Envelope::kRestrictionAck:
      break;
    case proto::Envelope::kProbeReply:
      valid = IsValid(envelope.probe_reply());
      break;
    case proto::Envelope::kPermitDemand:
      valid = IsValid(envelope.permit_demand());
      break;
    case proto::Envelope::kPermitTransfer:
      valid = IsValid(envelope.permit_transfer());
      break;
    case proto::Envelope::kRestriction:
      valid = IsValid(envelope.restriction());
      break;
  }
  if (!valid) {
    return EnvelopeRefusal::kInvalidBody;
  }
  return std::nullopt;
}

std::optional<EnvelopeRefusal> CheckSender(
    const proto::Envelope& envelope,
    const EnvelopeExpectation& expected) {
  const DaemonId sender(envelope.sender());
  if (!IsName(sender.value) || sender == expected.receiver) {
    return EnvelopeRefusal::kUnknownSender;
  }
  const std::optional<Incarnation> registered = expected.registered(sender);
  if (!registered) {
    return EnvelopeRefusal::kUnknownSender;
  }
  // No session has incarnation 0.
  if (envelope.incarnation() == 0 ||
      envelope.incarnation() < registered->value) {
    return EnvelopeRefusal::kStaleIncarnation;
  }
  return std::nullopt;
}

}  // namespace

const char* EnvelopeRefusalName(EnvelopeRefusal refusal) {
  switch (refusal) {
    case EnvelopeRefusal::kTooLarge:
      return "too_large";
    case EnvelopeRefusal::kMalformed:
      return "malformed";
    case EnvelopeRefusal::kWrongVersion:
      return "wrong_version";
    case EnvelopeRefusal::kWrongReceiver:
      return "wrong_receiver";
    case EnvelopeRefusal::kUnknownSender:
      return "unknown_sender";
    case EnvelopeRefusal::kStaleIncarnation:
      return "stale_incarnation";
    case EnvelopeRefusal::kNoBody:
      return "no_body";
    case EnvelopeRefusal::kInvalidBody:
      return "invalid_body";
  }
  return "malformed";
}

Result<std::string> EncodeEnvelope(proto::Envelope envelope,
                                   const SessionId& sender,
                                   const DaemonId& receiver,
                                   std::uint64_t sequence) {
  envelope.set_protocol_version(kProtocolVersion);
  envelope.set_sender(sender.daemon.value);
  envelope.set_incarnation(sender.incarnation.value);
  envelope.set_receiver(receiver.value);
  envelope.set_sequence(sequence);
  const std::optional<EnvelopeRefusal> refusal = CheckBody(envelope);
  if (refusal) {
    return MakeError(ErrorCode::kInvalidArgument, "encode", receiver.value,
                     EnvelopeRefusalName(*refusal));
  }
  std::string bytes;
  if (!envelope.SerializeToString(&bytes)) {
    return MakeError(ErrorCode::kInternal, "encode", receiver.value,
                     "the message cannot be serialized");
  }
  if (bytes.size() > kMaxEnvelopeBytes) {
    return MakeError(ErrorCode::kTooLarge, "encode", receiver.value,
                     "the message exceeds 64 KiB");
  }
  return bytes;
}

EnvelopeResult DecodeEnvelope(std::string_view bytes,
                              const EnvelopeExpectation& expected) {
  if (bytes.size() > kMaxEnvelopeBytes) {
    return EnvelopeRefusal::kTooLarge;
  }
  SilenceLibrary();
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return EnvelopeRefusal::kMalformed;
  }
  if (envelope.protocol_version() != kProtocolVersion) {
    return EnvelopeRefusal::kWrongVersion;
  }
  if (envelope.receiver() != expected.receiver.value) {
    return EnvelopeRefusal::kWrongReceiver;
  }
  if (const auto refusal = CheckSender(envelope, expected)) {
    return *refusal;
  }
  if (const auto refusal = CheckBody(envelope)) {
    return *refusal;
  }
  return envelope;
}

}  // namespace peridot
