// Messages between daemons: encoding, decoding and checks. Section 14.2 of
// docs/design.md.
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
// A PeerDocument carries the settings, at most 1 MiB.
inline constexpr std::size_t kMaxDocumentEnvelopeBytes = 2 << 20;  // 2 MiB
// Longest name of a daemon, team, key or zone in a message.
inline constexpr std::size_t kMaxEnvelopeName = 256;  // bytes
// Most state changes that one probe reply carries.
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
  kStaleIncarnation,  // an earlier incarnation than the registered one
  kNoBody,            // no body, or one that this version does not know
  kInvalidBody,       // a field of the body is out of bounds
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

// What a daemon knows when a message arrives.
struct EnvelopeExpectation {
  DaemonId receiver;  // default: empty; this daemon
  // Returns the highest incarnation known of a registered daemon. A message of
  // a later incarnation passes: the registry can be read after the message.
  std::function<std::optional<Incarnation>(const DaemonId&)> registered;
};

// Returns the bytes of an envelope whose body the caller has set; the other
// fields are set here. Fails if the body is missing, invalid or too large.
Result<std::string> EncodeEnvelope(proto::Envelope envelope,
                                   const SessionId& sender,
                                   const DaemonId& receiver,
                                   std::uint64_t sequence);

// Returns the message if it passes every check, else the first that fails.
// Turns off protobuf's own log lines in the whole process.
EnvelopeResult DecodeEnvelope(std::string_view bytes,
                              const EnvelopeExpectation& expected);

}  // namespace peridot

#endif  // SRC_PROTOCOL_ENVELOPE_H_
