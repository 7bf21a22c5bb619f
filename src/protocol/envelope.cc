#include "src/protocol/envelope.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace peridot {
namespace {

// Highest value of MemberPhase: joining, live, leaving, gone.
constexpr std::uint32_t kMaxMemberState = 4;

// Permits are counted in signed 64-bit integers.
constexpr std::uint64_t kMaxPermits = std::numeric_limits<std::int64_t>::max();

std::size_t MaxBytes(const proto::Envelope& envelope) {
  return envelope.body_case() == proto::Envelope::kPeerDocument
             ? kMaxDocumentEnvelopeBytes
             : kMaxEnvelopeBytes;
}

// protobuf writes a line to standard error for some malformed messages. These
// lines are not in key=value form, and a peer could flood the log with them.
// Each refusal is counted by its reason instead.
void SilenceLibrary() {
  [[maybe_unused]] static const auto previous =
      google::protobuf::SetLogHandler(nullptr);
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxEnvelopeNameBytes;
}

template <typename Message>
bool AreUpdatesValid(const Message& message) {
  return message.updates_size() <= kMaxEnvelopeUpdates &&
         std::all_of(message.updates().begin(), message.updates().end(),
                     [](const proto::MemberState& update) {
                       return IsName(update.daemon()) &&
                              update.incarnation() > 0 &&
                              update.state() <= kMaxMemberState;
                     });
}

bool IsValid(const proto::PermitHeader& header) {
  return IsName(header.team()) && header.to_incarnation() > 0;
}

bool IsValid(const proto::PermitDemand& demand) {
  return IsValid(demand.header()) && demand.wanted() <= kMaxPermits &&
         demand.held() <= kMaxPermits && demand.received() <= kMaxPermits;
}

bool IsValid(const proto::PermitTransfer& transfer) {
  return IsValid(transfer.header()) && transfer.given() <= kMaxPermits;
}

bool IsValid(const proto::PermitReport& report) {
  return IsValid(report.header()) && report.count() <= kMaxPermits &&
         report.wanted() <= kMaxPermits;
}

bool IsValid(const proto::PermitRowNotice& notice) {
  return IsValid(notice.header()) && IsName(notice.key());
}

bool IsValid(const proto::SlotGrant& grant) {
  return grant.token() != 0 && IsName(grant.endpoint()) &&
         IsName(grant.zone()) && IsName(grant.queue());
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
    case proto::Envelope::kRestrictionAck:
    case proto::Envelope::kDocumentRequest:
    case proto::Envelope::kPeerDocument:
      break;
    case proto::Envelope::kProbeRequest:
      valid = AreUpdatesValid(envelope.probe_request());
      break;
    case proto::Envelope::kProbeReply:
      valid = AreUpdatesValid(envelope.probe_reply());
      break;
    case proto::Envelope::kPermitDemand:
      valid = IsValid(envelope.permit_demand());
      break;
    case proto::Envelope::kPermitTransfer:
      valid = IsValid(envelope.permit_transfer());
      break;
    case proto::Envelope::kPermitReport:
      valid = IsValid(envelope.permit_report());
      break;
    case proto::Envelope::kPermitRowNotice:
      valid = IsValid(envelope.permit_row_notice());
      break;
    case proto::Envelope::kRestriction:
      valid = IsValid(envelope.restriction());
      break;
    case proto::Envelope::kSlotDemand:
      valid = IsName(envelope.slot_demand().queue());
      break;
    case proto::Envelope::kSlotGrant:
      valid = IsValid(envelope.slot_grant());
      break;
    case proto::Envelope::kSlotReturn:
      valid = envelope.slot_return().token() != 0;
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
  // Incarnations start at 1.
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
  if (bytes.size() > MaxBytes(envelope)) {
    return MakeError(ErrorCode::kTooLarge, "encode", receiver.value,
                     "the message exceeds its size limit");
  }
  return bytes;
}

EnvelopeResult DecodeEnvelope(std::string_view bytes,
                              const EnvelopeExpectation& expected) {
  if (bytes.size() > kMaxDocumentEnvelopeBytes) {
    return EnvelopeRefusal::kTooLarge;
  }
  SilenceLibrary();
  proto::Envelope envelope;
  if (!envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return EnvelopeRefusal::kMalformed;
  }
  if (bytes.size() > MaxBytes(envelope)) {
    return EnvelopeRefusal::kTooLarge;
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
