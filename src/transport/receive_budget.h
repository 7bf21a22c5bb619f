// Accounting of what the requests of one listener hold, and the limits that a
// client has to keep while it sends a request.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Refusals
//   [SECTION] Accounts
//   [SECTION] ReceiveBudget
//   [SECTION] Sizing
//
// Pure: no I/O and no clock. The server reports what it receives and closes the
// connections that the budget names.

#ifndef SRC_TRANSPORT_RECEIVE_BUDGET_H_
#define SRC_TRANSPORT_RECEIVE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/state/clock.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

// The defaults and why an ordinary client does not reach them are listed in
// docs/operations/limits.md.
struct ReceiveLimits {
  // Everything that the connections of the listener hold: buffers, heads,
  // bodies and responses that are not sent yet.
  std::size_t total_bytes = std::size_t{40} << 20;
  std::size_t max_connections = 4096;
  std::size_t max_head_bytes = 16 << 10;  // request line and header lines
  std::size_t max_header_lines = 128;
  std::size_t max_leading_bytes = 256;  // line breaks before a request line
  Duration head_time = std::chrono::seconds(10);  // from the first byte
  // A body may pause for body_grace in total, otherwise it has this rate.
  Duration body_grace = std::chrono::seconds(10);
  std::size_t min_body_rate = 4 << 10;  // bytes per second
};

// Memory of a connection without a request: the library's structures and its
// parser with a buffer of 8 KiB.
inline constexpr std::size_t kConnectionCost = 10 << 10;
// Memory of a header line in addition to its text: two allocations and a list
// entry. 16,384 lines of one byte took 2 MB (125 bytes per line).
inline constexpr std::size_t kHeaderLineCost = 128;
// Memory of a body byte: a body is one string, whose capacity grows to twice
// its length at most and which is passed on to the handler.
inline constexpr std::size_t kBodyCost = 2;
// Memory of a piece of a response that waits for the client to read, in
// addition to its text: the smallest block of the library's buffer.
inline constexpr std::size_t kResponsePieceCost = 1 << 10;

// A body or a head above its limit is read and discarded up to this multiple of
// the limit, so that the client receives the error response. Beyond that, the
// connection is closed.
inline constexpr std::size_t kDiscardFactor = 4;

//-----------------------------------------------------------------------------
// [SECTION] Refusals
//-----------------------------------------------------------------------------

// Why a connection was closed or a request was refused.
enum class ReceiveRefusal {
  kNone,
  kLeadingBytes,
  kHeadBytes,
  kHeaderLines,
  kHeadTime,
  kBodyRate,
  kBytes,        // the listener's budget was exhausted
  kConnections,  // the listener's connections were exhausted
};

inline constexpr std::size_t kReceiveRefusalCount = 8;

// Returns a lower_snake_case name for metrics and logs.
const char* ReceiveRefusalName(ReceiveRefusal refusal);

//-----------------------------------------------------------------------------
// [SECTION] Accounts
//-----------------------------------------------------------------------------

enum class ReceivePhase {
  kWaiting,     // no byte of a request yet
  kHead,        // part of a head
  kBody,        // a complete head and part of a body
  kProcessing,  // the complete request was passed on and is not answered
};

// What one connection holds. Changed by ReceiveBudget only.
struct ReceiveAccount {
  std::uint64_t id = 0;
  ReceivePhase phase = ReceivePhase::kWaiting;
  bool served = false;        // a request of the connection was answered
  bool line_started = false;  // a byte of the request line has arrived
  std::size_t leading_bytes = 0;
  std::size_t raw_head_bytes = 0;  // received while the head was incomplete
  std::size_t head_bytes = 0;
  std::size_t header_lines = 0;
  std::size_t body_bytes = 0;
  std::size_t request_cost = 0;  // of the kept part of the head and the body
  std::size_t input_bytes = 0;   // received, not parsed yet
  std::size_t output_bytes = 0;  // responses, not sent yet
  // Pieces that were added since the last time that all was sent.
  std::size_t output_pieces = 0;
  Instant phase_since{};
  Instant last_received{};

  std::size_t Held() const {
    return kConnectionCost + this->request_cost + this->input_bytes +
           this->output_bytes + this->output_pieces * kResponsePieceCost;
  }
};

//-----------------------------------------------------------------------------
// [SECTION] ReceiveBudget
//-----------------------------------------------------------------------------

// What the server does with a header line.
enum class HeaderLineAction { kKeep, kDiscard, kClose };

// Not thread-safe. Accounts stay valid until Close().
class ReceiveBudget {
 public:
  explicit ReceiveBudget(const ReceiveLimits& limits) : limits(limits) {}
  ReceiveBudget(const ReceiveBudget&) = delete;
  ReceiveBudget& operator=(const ReceiveBudget&) = delete;

  // Precondition: the id has no account.
  ReceiveAccount* Open(std::uint64_t id, Instant now);
  void Close(ReceiveAccount* account);

  // Bytes as they arrive, before they are parsed. Returns the limit that the
  // connection exceeds: close it then.
  ReceiveRefusal OnReceived(ReceiveAccount* account,
                            std::string_view bytes,
                            Instant now);
  // A piece of a response was added to the connection's buffer.
  void OnResponsePiece(ReceiveAccount* account);
  // Lengths of the connection's buffers.
  void OnBuffers(ReceiveAccount* account,
                 std::size_t input_bytes,
                 std::size_t output_bytes);

  // Steps of a request as it is parsed. The request line has `line_bytes`.
  void OnHeadStart(ReceiveAccount* account,
                   std::size_t line_bytes,
                   Instant now);
  HeaderLineAction OnHeaderLine(ReceiveAccount* account, std::size_t bytes);
  void OnHeadEnd(ReceiveAccount* account, Instant now);
  // Whether the head that was read is over a limit; see ReceiveRefusal.
  ReceiveRefusal HeadFault(const ReceiveAccount& account) const;
  // `kept`: false if the server discards these bytes.
  void OnBody(ReceiveAccount* account, std::size_t bytes, bool kept);
  void OnComplete(ReceiveAccount* account);
  // Adds memory that the request holds until it is answered.
  void Charge(ReceiveAccount* account, std::size_t bytes);
  // The request was answered or abandoned; the connection waits for the next.
  void OnAnswered(ReceiveAccount* account, Instant now);

  bool OverBudget() const { return this->held > this->limits.total_bytes; }
  bool Full() const {
    return this->accounts.size() >= this->limits.max_connections;
  }

  // Returns the connection to close when the budget or the connections are
  // exhausted; null if each has a request that is being processed. In this
  // order, and of each kind the one that holds most, then the oldest:
  // 1. incomplete requests that received nothing for kStallTime;
  // 2. other incomplete requests and connections that never had a request;
  // 3. connections that wait for the next request or for their client to read.
  ReceiveAccount* Victim(Instant now);

  // Returns the connections whose head or body takes too long.
  std::vector<std::pair<ReceiveAccount*, ReceiveRefusal>> Expired(Instant now);

  void CountRefusal(ReceiveRefusal refusal);
  std::uint64_t Refusals(ReceiveRefusal refusal) const;
  std::size_t HeldBytes() const { return this->held; }
  std::size_t Connections() const { return this->accounts.size(); }

 private:
  ReceiveLimits limits;
  std::unordered_map<std::uint64_t, ReceiveAccount> accounts;
  std::size_t held = 0;
  std::array<std::uint64_t, kReceiveRefusalCount> refusals{};
};

// A request without progress for this time yields to those that make progress,
// also if it holds less. Otherwise many clients that stop in the middle of a
// body would lock out each client with a larger body.
inline constexpr Duration kStallTime = std::chrono::seconds(1);

//-----------------------------------------------------------------------------
// [SECTION] Sizing
//-----------------------------------------------------------------------------

// Limits of the listeners of one process.
struct ListenerLimits {
  ReceiveLimits callers;
  ReceiveLimits peers;
  ReceiveLimits readiness;
};

// Divides the memory and the descriptors of a process among its listeners. 0:
// not stated, the defaults apply.
ListenerLimits DivideLimits(std::size_t memory_mb, std::size_t descriptors);

}  // namespace peridot

#endif  // SRC_TRANSPORT_RECEIVE_BUDGET_H_
