// Messages between daemons: encoding, decoding and validation.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Refusals
//   [SECTION] Functions

#ifndef SRC_PROTOCOL_ENVELOPE_H_
#define SRC_PROTOCOL_ENVELOPE_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "src/protocol/generated/peer.pb.h"
#include "src/state/error.h"
#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

inline constexpr std::uint32_t kProtocolVersion = 1;
inline constexpr std::size_t kMaxEnvelopeBytes = 64 << 10;  // 64 KiB
// A PeerDocument contains the settings, which have at most 1 MiB.
inline constexpr std::size_t kMaxDocumentEnvelopeBytes = 2 << 20;  // 2 MiB
// Maximum length of the name of a daemon, team, key or zone in a message.
inline constexpr std::size_t kMaxEnvelopeNameBytes = 256;
// Maximum number of member state changes in one probe reply.
inline constexpr int kMaxEnvelopeUpdates = 512;

//-----------------------------------------------------------------------------
// [SECTION] Refusals
//-----------------------------------------------------------------------------

enum class EnvelopeRefusal {
  kTooLarge,          // more than kMaxEnvelopeBytes
  kMalformed,         // not a protobuf message of this type
  kWrongVersion,      // another protocol version
  kWrongReceiver,     // addressed to another daemon
  kUnknownSender,     // not registered, without a name, or this daemon itself
  kStaleIncarnation,  // earlier than the registered incarnation
  kNoBody,            // no body, or a type unknown to this version
  kInvalidBody,       // a field of the body is out of range
};

// Returns a stable lower-case name, as in "wrong_version", the value of the
// label `reason` of peridot_peer_messages_refused_total.
const char* EnvelopeRefusalName(EnvelopeRefusal refusal);

using EnvelopeResult =
    boost::outcome_v2::basic_result<proto::Envelope,
                                    EnvelopeRefusal,
                                    boost::outcome_v2::policy::terminate>;

//-----------------------------------------------------------------------------
// [SECTION] Functions
//-----------------------------------------------------------------------------

// State of the receiving daemon against which a message is checked.
struct EnvelopeExpectation {
  DaemonId receiver;  // this daemon
  // Returns the highest known incarnation of a registered daemon. A message of
  // a later incarnation passes, because the registry may be read only after the
  // message arrives.
  std::function<std::optional<Incarnation>(const DaemonId&)> registered;
};

// Returns the bytes of an envelope whose body the caller has set; the other
// fields are set here. Fails if the body is missing, invalid or too large.
Result<std::string> EncodeEnvelope(proto::Envelope envelope,
                                   const SessionId& sender,
                                   const DaemonId& receiver,
                                   std::uint64_t sequence);

// Returns the message if it passes all checks, otherwise the first failed
// check. Disables the log output of protobuf in the whole process.
EnvelopeResult DecodeEnvelope(std::string_view bytes,
                              const EnvelopeExpectation& expected);

}  // namespace peridot

#endif  // SRC_PROTOCOL_ENVELOPE_H_
