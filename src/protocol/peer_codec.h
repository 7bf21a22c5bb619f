// Converts between the messages of peer.proto and the inputs of the decision
// modules.
//
// Index:
//   [SECTION] Permits
//   [SECTION] Freshness
//
// Decoding rejects numbers outside the range that the modules accept, so that a
// faulty peer cannot cause a limit to be exceeded. All functions are
// thread-safe.

#ifndef SRC_PROTOCOL_PEER_CODEC_H_
#define SRC_PROTOCOL_PEER_CODEC_H_

#include <cstdint>
#include <string>

#include "src/coordination/permit_ledger.h"
#include "src/coordination/settings_lease.h"
#include "src/protocol/generated/peer.pb.h"
#include "src/state/error.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Permits
//-----------------------------------------------------------------------------

struct TeamPermitMessage {
  TeamId team;
  PermitMessage message;
};

// Fills the body of the envelope.
void EncodePermitMessage(const TeamPermitMessage& message,
                         proto::Envelope* envelope);

// Errors: kMalformed, also for a body that is not a permit message.
Result<TeamPermitMessage> DecodePermitMessage(const proto::Envelope& envelope);

//-----------------------------------------------------------------------------
// [SECTION] Freshness
//-----------------------------------------------------------------------------

void EncodeFreshness(const FreshnessReply& reply, proto::ProbeReply* message);
FreshnessReply DecodeFreshness(const proto::ProbeReply& message);

void EncodeDocument(const PeerDocument& document, proto::PeerDocument* message);
PeerDocument DecodeDocument(const proto::PeerDocument& message);

void EncodeRestriction(const ProvisionalRestriction& restriction,
                       proto::Restriction* message);
// Errors: kMalformed for an unknown kind.
Result<ProvisionalRestriction> DecodeRestriction(
    const SessionId& sender,
    const proto::Restriction& message);

}  // namespace peridot

#endif  // SRC_PROTOCOL_PEER_CODEC_H_
