#include "src/transport/receive_budget.h"

#include <algorithm>
#include <tuple>

namespace peridot {
namespace {

// Bytes that may follow a head in the same read, so that they are no part of
// it.
constexpr std::size_t kReadAllowance = 32 << 10;

// Smallest budget of a listener for callers: one body of 1 MiB and the heads of
// others.
constexpr std::size_t kMinTotalBytes = std::size_t{4} << 20;
// The other listeners serve requests without a body.
constexpr std::size_t kMinOtherBytes = std::size_t{1} << 20;
// Each listener accepts a few connections even if few descriptors are stated.
constexpr std::size_t kMinConnections = 8;
// Descriptors that the listeners get at most. The rest is for connections to
// endpoints and the store.
constexpr std::size_t kListenerDescriptors = 1000;

std::size_t ToCost(std::size_t body_bytes) {
  return body_bytes * kBodyCost;
}

}  // namespace

const char* ReceiveRefusalName(ReceiveRefusal refusal) {
  constexpr std::array<const char*, kReceiveRefusalCount> kNames = {
      "none",      "leading_bytes", "head_bytes", "header_lines",
      "head_time", "body_rate",     "bytes",      "connections"};
  return kNames[static_cast<std::size_t>(refusal)];
}

ReceiveAccount* ReceiveBudget::Open(std::uint64_t id, Instant now) {
  ReceiveAccount& account = this->accounts[id];
  account.id = id;
  account.phase_since = now;
  account.last_received = now;
  this->held += account.Held();
  return &account;
}

void ReceiveBudget::Close(ReceiveAccount* account) {
  this->held -= account->Held();
  this->accounts.erase(account->id);
}

void ReceiveBudget::Charge(ReceiveAccount* account, std::size_t bytes) {
  account->request_cost += bytes;
  this->held += bytes;
}

ReceiveRefusal ReceiveBudget::OnReceived(ReceiveAccount* account,
                                         std::string_view bytes,
                                         Instant now) {
  account->last_received = now;
  if (account->phase == ReceivePhase::kWaiting) {
    account->phase = ReceivePhase::kHead;
    account->phase_since = now;
  }
  if (account->phase != ReceivePhase::kHead) {
    return ReceiveRefusal::kNone;
  }
  if (!account->line_started) {
    const std::size_t first = bytes.find_first_not_of("\r\n");
    account->line_started = first != std::string_view::npos;
    account->leading_bytes += account->line_started ? first : bytes.size();
    if (account->leading_bytes > this->limits.max_leading_bytes) {
      return ReceiveRefusal::kLeadingBytes;
    }
  }
  account->raw_head_bytes += bytes.size();
  return account->raw_head_bytes >
                 this->limits.max_head_bytes * kDiscardFactor + kReadAllowance
             ? ReceiveRefusal::kHeadBytes
             : ReceiveRefusal::kNone;
}

void ReceiveBudget::OnResponsePiece(ReceiveAccount* account) {
  ++account->output_pieces;
  this->held += kResponsePieceCost;
}

void ReceiveBudget::OnBuffers(ReceiveAccount* account,
                              std::size_t input_bytes,
                              std::size_t output_bytes) {
  this->held -= account->Held();
  account->input_bytes = input_bytes;
  account->output_bytes = output_bytes;
  if (output_bytes == 0) {
    account->output_pieces = 0;
  }
  this->held += account->Held();
}

void ReceiveBudget::OnHeadStart(ReceiveAccount* account,
                                std::size_t line_bytes,
                                Instant now) {
  if (account->phase == ReceivePhase::kWaiting) {
    account->phase = ReceivePhase::kHead;
    account->phase_since = now;
  }
  account->line_started = true;
  account->head_bytes = line_bytes;
  this->Charge(account, line_bytes);
}

HeaderLineAction ReceiveBudget::OnHeaderLine(ReceiveAccount* account,
                                             std::size_t bytes) {
  account->head_bytes += bytes;
  ++account->header_lines;
  if (account->head_bytes > this->limits.max_head_bytes * kDiscardFactor ||
      account->header_lines > this->limits.max_header_lines * kDiscardFactor) {
    return HeaderLineAction::kClose;
  }
  if (this->HeadFault(*account) != ReceiveRefusal::kNone) {
    return HeaderLineAction::kDiscard;
  }
  this->Charge(account, bytes + kHeaderLineCost);
  return HeaderLineAction::kKeep;
}

ReceiveRefusal ReceiveBudget::HeadFault(const ReceiveAccount& account) const {
  if (account.header_lines > this->limits.max_header_lines) {
    return ReceiveRefusal::kHeaderLines;
  }
  return account.head_bytes > this->limits.max_head_bytes
             ? ReceiveRefusal::kHeadBytes
             : ReceiveRefusal::kNone;
}

void ReceiveBudget::OnHeadEnd(ReceiveAccount* account, Instant now) {
  account->phase = ReceivePhase::kBody;
  account->phase_since = now;
}

void ReceiveBudget::OnBody(ReceiveAccount* account,
                           std::size_t bytes,
                           bool kept) {
  account->body_bytes += bytes;
  if (kept) {
    this->Charge(account, ToCost(bytes));
  }
}

void ReceiveBudget::OnComplete(ReceiveAccount* account) {
  account->phase = ReceivePhase::kProcessing;
}

void ReceiveBudget::OnAnswered(ReceiveAccount* account, Instant now) {
  this->held -= account->request_cost;
  *account = ReceiveAccount{.id = account->id,
                            .served = true,
                            .input_bytes = account->input_bytes,
                            .output_bytes = account->output_bytes,
                            .output_pieces = account->output_pieces,
                            .phase_since = now,
                            .last_received = now};
  if (account->input_bytes > 0) {
    // A pipelined request has begun.
    account->phase = ReceivePhase::kHead;
    account->line_started = true;
  }
}

ReceiveAccount* ReceiveBudget::Victim(Instant now) {
  // Sorts first what is closed first.
  const auto rank = [now](const ReceiveAccount& account) {
    const bool incomplete =
        account.phase != ReceivePhase::kWaiting || !account.served;
    int kind = 2;
    if (incomplete && account.output_bytes == 0) {
      kind = now - account.last_received >= kStallTime ? 0 : 1;
    }
    return std::make_tuple(kind, ~account.Held(), account.phase_since);
  };
  ReceiveAccount* victim = nullptr;
  for (auto& [id, account] : this->accounts) {
    if (account.phase != ReceivePhase::kProcessing &&
        (victim == nullptr || rank(account) < rank(*victim))) {
      victim = &account;
    }
  }
  return victim;
}

std::vector<std::pair<ReceiveAccount*, ReceiveRefusal>> ReceiveBudget::Expired(
    Instant now) {
  std::vector<std::pair<ReceiveAccount*, ReceiveRefusal>> expired;
  for (auto& [id, account] : this->accounts) {
    const Duration elapsed = now - account.phase_since;
    if (account.phase == ReceivePhase::kHead &&
        elapsed > this->limits.head_time) {
      expired.emplace_back(&account, ReceiveRefusal::kHeadTime);
    }
    if (account.phase == ReceivePhase::kBody &&
        elapsed > this->limits.body_grace) {
      const double seconds =
          std::chrono::duration<double>(elapsed - this->limits.body_grace)
              .count();
      const double least =
          seconds * static_cast<double>(this->limits.min_body_rate);
      if (static_cast<double>(account.body_bytes) < least) {
        expired.emplace_back(&account, ReceiveRefusal::kBodyRate);
      }
    }
  }
  return expired;
}

void ReceiveBudget::CountRefusal(ReceiveRefusal refusal) {
  ++this->refusals[static_cast<std::size_t>(refusal)];
}

std::uint64_t ReceiveBudget::Refusals(ReceiveRefusal refusal) const {
  return this->refusals[static_cast<std::size_t>(refusal)];
}

ListenerLimits DivideLimits(std::size_t memory_mb, std::size_t descriptors) {
  ListenerLimits limits;
  limits.peers.total_bytes = std::size_t{10} << 20;
  limits.readiness.total_bytes = std::size_t{5} << 20;
  limits.peers.max_connections = 512;
  limits.readiness.max_connections = 128;
  if (memory_mb > 0) {
    const std::size_t bytes = memory_mb << 20;
    limits.callers.total_bytes = std::max(bytes / 4, kMinTotalBytes);
    limits.peers.total_bytes = std::max(bytes / 16, kMinOtherBytes);
    limits.readiness.total_bytes = std::max(bytes / 32, kMinOtherBytes);
  }
  if (descriptors > 0) {
    const std::size_t share =
        std::min(descriptors * 5 / 8, kListenerDescriptors);
    limits.callers.max_connections = std::max(share * 8 / 10, kMinConnections);
    limits.peers.max_connections = std::max(share * 15 / 100, kMinConnections);
    limits.readiness.max_connections = std::max(share / 20, kMinConnections);
  }
  return limits;
}

}  // namespace peridot
