#include "src/protocol/peer_codec.h"

#include <chrono>
#include <limits>
#include <utility>

namespace peridot {
namespace {

using std::chrono::microseconds;

// Far above every limit that the settings schema allows, and small enough that
// sums do not overflow.
constexpr std::uint64_t kMaxCount = 1'000'000'000;

Error Malformed(const proto::Envelope& envelope, const char* message) {
  return MakeError(ErrorCode::kMalformed, "decode", envelope.sender(), message);
}

SessionId Sender(const proto::Envelope& envelope) {
  return {DaemonId(envelope.sender()), Incarnation(envelope.incarnation())};
}

void EncodeHeader(const TeamId& team,
                  const PermitHeader& header,
                  proto::PermitHeader* message) {
  message->set_team(team.value);
  message->set_to_incarnation(header.to.incarnation.value);
  message->set_epoch(header.epoch.value);
  message->set_row_version(header.row_version.value);
}

PermitHeader DecodeHeader(const proto::Envelope& envelope,
                          const proto::PermitHeader& message) {
  return {.from = Sender(envelope),
          .to = {DaemonId(envelope.receiver()),
                 Incarnation(message.to_incarnation())},
          .epoch = PermitEpoch(message.epoch()),
          .row_version = RowVersion(message.row_version())};
}

std::uint64_t Unsigned(PermitCount count) {
  return count.value < 0 ? 0 : static_cast<std::uint64_t>(count.value);
}

PermitCount Count(std::uint64_t value) {
  return PermitCount(static_cast<std::int64_t>(value));
}

bool AreCounts(std::initializer_list<std::uint64_t> values) {
  for (const std::uint64_t value : values) {
    if (value > kMaxCount) {
      return false;
    }
  }
  return true;
}

struct PermitEncoder {
  const TeamId& team;
  proto::Envelope* envelope;

  void operator()(const PermitDemand& demand) const {
    proto::PermitDemand* message = this->envelope->mutable_permit_demand();
    EncodeHeader(this->team, demand.header, message->mutable_header());
    message->set_wanted(Unsigned(demand.wanted));
    message->set_held(Unsigned(demand.held));
    message->set_received(Unsigned(demand.received));
  }
  void operator()(const PermitTransfer& transfer) const {
    proto::PermitTransfer* message = this->envelope->mutable_permit_transfer();
    EncodeHeader(this->team, transfer.header, message->mutable_header());
    message->set_given(Unsigned(transfer.given));
  }
  void operator()(const PermitReport& report) const {
    proto::PermitReport* message = this->envelope->mutable_permit_report();
    EncodeHeader(this->team, report.header, message->mutable_header());
    message->set_count(Unsigned(report.count));
    message->set_wanted(Unsigned(report.wanted));
  }
  void operator()(const PermitRowNotice& notice) const {
    proto::PermitRowNotice* message =
        this->envelope->mutable_permit_row_notice();
    EncodeHeader(this->team, notice.header, message->mutable_header());
    message->set_key(notice.row.key);
    message->set_version(notice.row.version.value);
    message->set_value(notice.row.value);
  }
};

Result<TeamPermitMessage> DecodeDemand(const proto::Envelope& envelope) {
  const proto::PermitDemand& body = envelope.permit_demand();
  if (!AreCounts({body.wanted(), body.held(), body.received()})) {
    return Malformed(envelope,
                     "permit demand has a count that is out of range");
  }
  return TeamPermitMessage{
      TeamId(body.header().team()),
      PermitDemand{DecodeHeader(envelope, body.header()), Count(body.wanted()),
                   Count(body.held()), Count(body.received())}};
}

Result<TeamPermitMessage> DecodeTransfer(const proto::Envelope& envelope) {
  const proto::PermitTransfer& body = envelope.permit_transfer();
  if (!AreCounts({body.given()})) {
    return Malformed(envelope,
                     "permit transfer has a count that is out of range");
  }
  return TeamPermitMessage{TeamId(body.header().team()),
                           PermitTransfer{DecodeHeader(envelope, body.header()),
                                          Count(body.given())}};
}

Result<TeamPermitMessage> DecodeReport(const proto::Envelope& envelope) {
  const proto::PermitReport& body = envelope.permit_report();
  if (!AreCounts({body.count(), body.wanted()})) {
    return Malformed(envelope,
                     "permit report has a count that is out of range");
  }
  return TeamPermitMessage{
      TeamId(body.header().team()),
      PermitReport{DecodeHeader(envelope, body.header()), Count(body.count()),
                   Count(body.wanted())}};
}

Result<TeamPermitMessage> DecodeNotice(const proto::Envelope& envelope) {
  const proto::PermitRowNotice& body = envelope.permit_row_notice();
  return TeamPermitMessage{
      TeamId(body.header().team()),
      PermitRowNotice{
          DecodeHeader(envelope, body.header()),
          TableRow{body.key(), RowVersion(body.version()), body.value()}}};
}

}  // namespace

void EncodePermitMessage(const TeamPermitMessage& message,
                         proto::Envelope* envelope) {
  std::visit(PermitEncoder{message.team, envelope}, message.message);
}

Result<TeamPermitMessage> DecodePermitMessage(const proto::Envelope& envelope) {
  switch (envelope.body_case()) {
    case proto::Envelope::kPermitDemand:
      return DecodeDemand(envelope);
    case proto::Envelope::kPermitTransfer:
      return DecodeTransfer(envelope);
    case proto::Envelope::kPermitReport:
      return DecodeReport(envelope);
    case proto::Envelope::kPermitRowNotice:
      return DecodeNotice(envelope);
    default:
      return Malformed(envelope, "expected a permit message as the body");
  }
}

void EncodeFreshness(const FreshnessReply& reply, proto::ProbeReply* message) {
  message->set_probe_id(reply.probe_id);
  message->set_revision(reply.revision.value);
  message->set_has_proof(reply.has_proof);
  // Rounded up, so that a proof is never reported as younger than it is.
  message->set_proof_age_us(static_cast<std::uint64_t>(
      std::chrono::ceil<microseconds>(reply.proof_age).count()));
  message->set_registry_version(reply.registry_version.value);
  message->set_no_outstanding_write(reply.no_outstanding_write);
  message->set_settled(reply.settled);
}

FreshnessReply DecodeFreshness(const proto::ProbeReply& message) {
  // An hour. A proof that is older is not valid under any settings lease.
  constexpr std::uint64_t kMaxAgeUs = 3'600'000'000;
  FreshnessReply reply;
  reply.probe_id = message.probe_id();
  reply.revision = Revision(message.revision());
  reply.has_proof = message.has_proof() && message.proof_age_us() <= kMaxAgeUs;
  reply.proof_age = microseconds(
      reply.has_proof ? static_cast<std::int64_t>(message.proof_age_us()) : 0);
  reply.registry_version = RegistryVersion(message.registry_version());
  reply.no_outstanding_write = message.no_outstanding_write();
  reply.settled = message.settled();
  return reply;
}

void EncodeDocument(const PeerDocument& document,
                    proto::PeerDocument* message) {
  message->set_revision(document.revision.value);
  message->set_text(document.text);
  message->set_registry_version(document.registry.version.value);
  for (const SessionId& session : document.registry.active) {
    proto::SessionState* entry = message->add_active();
    entry->set_daemon(session.daemon.value);
    entry->set_incarnation(session.incarnation.value);
  }
}

PeerDocument DecodeDocument(const proto::PeerDocument& message) {
  PeerDocument document;
  document.revision = Revision(message.revision());
  document.text = message.text();
  document.registry.version = RegistryVersion(message.registry_version());
  for (const proto::SessionState& entry : message.active()) {
    document.registry.active.push_back(
        {DaemonId(entry.daemon()), Incarnation(entry.incarnation())});
  }
  return document;
}

void EncodeRestriction(const ProvisionalRestriction& restriction,
                       proto::Restriction* message) {
  switch (restriction.kind) {
    case RestrictionKind::kWithdrawKey:
      message->set_kind(proto::Restriction::KIND_WITHDRAW_KEY);
      break;
    case RestrictionKind::kZoneOut:
      message->set_kind(proto::Restriction::KIND_ZONE_OUT);
      break;
    case RestrictionKind::kLowerLimit:
      message->set_kind(proto::Restriction::KIND_LOWER_LIMIT);
      break;
  }
  message->set_subject(restriction.subject);
  message->set_value(restriction.value);
  message->set_restriction_id(restriction.sequence);
}

Result<ProvisionalRestriction> DecodeRestriction(
    const SessionId& sender,
    const proto::Restriction& message) {
  ProvisionalRestriction restriction;
  switch (message.kind()) {
    case proto::Restriction::KIND_WITHDRAW_KEY:
      restriction.kind = RestrictionKind::kWithdrawKey;
      break;
    case proto::Restriction::KIND_ZONE_OUT:
      restriction.kind = RestrictionKind::kZoneOut;
      break;
    case proto::Restriction::KIND_LOWER_LIMIT:
      restriction.kind = RestrictionKind::kLowerLimit;
      break;
    default:
      return MakeError(ErrorCode::kMalformed, "decode", sender.daemon.value,
                       "restriction has an unknown kind");
  }
  restriction.subject = message.subject();
  restriction.value = message.value();
  restriction.sender = sender;
  restriction.sequence = message.restriction_id();
  return restriction;
}

}  // namespace peridot
