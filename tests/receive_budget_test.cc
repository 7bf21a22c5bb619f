// Tests of the accounting of received requests, without a network.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "src/transport/receive_budget.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Instant kStart{};

// Brings an account to a complete head.
ReceiveAccount* OpenBody(ReceiveBudget& budget,
                         std::uint64_t id,
                         std::size_t body_bytes,
                         Instant now = kStart) {
  ReceiveAccount* account = budget.Open(id, now);
  budget.OnReceived(account, "POST / HTTP/1.1\r\n\r\n", now);
  budget.OnHeadStart(account, 1, now);
  budget.OnHeadEnd(account, now);
  budget.OnBody(account, body_bytes, true);
  return account;
}

TEST_CASE("a budget counts all that a connection holds and releases it",
          "[receive_budget]") {
  // Guards against a budget that leaks until the listener refuses everyone.
  ReceiveBudget budget({});
  ReceiveAccount* account = budget.Open(1, kStart);
  REQUIRE(budget.HeldBytes() == kConnectionCost);
  budget.OnBuffers(account, 100, 20);
  budget.OnHeadStart(account, 10, kStart);
  REQUIRE(budget.OnHeaderLine(account, 30) == HeaderLineAction::kKeep);
  budget.OnHeadEnd(account, kStart);
  budget.OnBody(account, 1000, true);
  budget.OnBody(account, 5000, false);
  REQUIRE(budget.HeldBytes() ==
          kConnectionCost + 120 + 40 + kHeaderLineCost + 1000 * kBodyCost);
  budget.OnComplete(account);
  budget.OnAnswered(account, kStart);
  REQUIRE(budget.HeldBytes() == kConnectionCost + 120);
  budget.Close(account);
  REQUIRE(budget.HeldBytes() == 0);
  REQUIRE(budget.Connections() == 0);
}

TEST_CASE("a head has a limited number of lines and bytes",
          "[receive_budget]") {
  ReceiveBudget budget({.max_head_bytes = 1000, .max_header_lines = 10});
  ReceiveAccount* account = budget.Open(1, kStart);
  budget.OnHeadStart(account, 1, kStart);
  for (int i = 0; i < 10; ++i) {
    REQUIRE(budget.OnHeaderLine(account, 5) == HeaderLineAction::kKeep);
  }
  REQUIRE(budget.HeadFault(*account) == ReceiveRefusal::kNone);
  const std::size_t held = budget.HeldBytes();
  for (int i = 0; i < 30; ++i) {
    REQUIRE(budget.OnHeaderLine(account, 5) == HeaderLineAction::kDiscard);
  }
  REQUIRE(budget.HeadFault(*account) == ReceiveRefusal::kHeaderLines);
  REQUIRE(budget.HeldBytes() == held);
  REQUIRE(budget.OnHeaderLine(account, 5) == HeaderLineAction::kClose);

  ReceiveAccount* bytes = budget.Open(2, kStart);
  budget.OnHeadStart(bytes, 990, kStart);
  REQUIRE(budget.OnHeaderLine(bytes, 11) == HeaderLineAction::kDiscard);
  REQUIRE(budget.HeadFault(*bytes) == ReceiveRefusal::kHeadBytes);
}

TEST_CASE("bytes before and in an incomplete head are limited",
          "[receive_budget]") {
  // Guards against input that the parser never reports.
  ReceiveBudget budget({.max_head_bytes = 1000, .max_leading_bytes = 4});
  ReceiveAccount* account = budget.Open(1, kStart);
  REQUIRE(budget.OnReceived(account, "\r\n", kStart) == ReceiveRefusal::kNone);
  REQUIRE(budget.OnReceived(account, "\r\nGET", kStart) ==
          ReceiveRefusal::kNone);
  REQUIRE(budget.OnReceived(account, "\r\n\r\n\r\n", kStart) ==
          ReceiveRefusal::kNone);
  ReceiveAccount* empty = budget.Open(2, kStart);
  REQUIRE(budget.OnReceived(empty, "\r\n\r\n\r\n", kStart) ==
          ReceiveRefusal::kLeadingBytes);
  ReceiveRefusal refusal = ReceiveRefusal::kNone;
  for (int i = 0; i < 40; ++i) {
    refusal = budget.OnReceived(account, std::string(1000, 'x'), kStart);
  }
  REQUIRE(refusal == ReceiveRefusal::kHeadBytes);
}

TEST_CASE("slow heads and bodies expire, steady ones do not",
          "[receive_budget]") {
  ReceiveBudget budget({.head_time = seconds(10),
                        .body_grace = seconds(10),
                        .min_body_rate = 1000});
  ReceiveAccount* head = budget.Open(1, kStart);
  budget.OnReceived(head, "GET", kStart);
  ReceiveAccount* slow = OpenBody(budget, 2, 500);
  OpenBody(budget, 3, 5000);
  ReceiveAccount* processed = OpenBody(budget, 4, 0);
  budget.OnComplete(processed);
  budget.Open(5, kStart);
  REQUIRE(budget.Expired(kStart + seconds(10)).empty());
  // A byte now and then does not extend the time of a head.
  budget.OnReceived(head, " ", kStart + seconds(10));
  const auto expired = budget.Expired(kStart + seconds(11));
  REQUIRE(expired.size() == 2);
  for (const auto& [account, refusal] : expired) {
    REQUIRE((account == head || account == slow));
    REQUIRE(refusal == (account == head ? ReceiveRefusal::kHeadTime
                                        : ReceiveRefusal::kBodyRate));
  }
}

TEST_CASE("the victim is the incomplete request that holds most",
          "[receive_budget]") {
  ReceiveBudget budget({.total_bytes = 100'000, .max_connections = 5});
  ReceiveAccount* processed = OpenBody(budget, 1, 20'000);
  budget.OnComplete(processed);
  ReceiveAccount* answered = OpenBody(budget, 2, 10);
  budget.OnComplete(answered);
  budget.OnAnswered(answered, kStart);
  budget.OnBuffers(answered, 0, 9'000);
  ReceiveAccount* small = OpenBody(budget, 3, 10);
  ReceiveAccount* large = OpenBody(budget, 4, 1'000);
  REQUIRE_FALSE(budget.Full());
  ReceiveAccount* fresh = budget.Open(5, kStart + milliseconds(1));
  REQUIRE(budget.Full());
  const Instant now = kStart + milliseconds(2);
  REQUIRE(budget.Victim(now) == large);
  budget.Close(large);
  REQUIRE(budget.Victim(now) == small);
  budget.Close(small);
  REQUIRE(budget.Victim(now) == fresh);
  budget.Close(fresh);
  REQUIRE(budget.Victim(now) == answered);
  budget.Close(answered);
  REQUIRE(budget.Victim(now) == nullptr);
  REQUIRE_FALSE(budget.OverBudget());
}

TEST_CASE("a stalled request yields to one that makes progress",
          "[receive_budget]") {
  // Guards against clients that stop in the middle of a body and lock out each
  // client with a larger one.
  ReceiveBudget budget({});
  ReceiveAccount* stalled = OpenBody(budget, 1, 1'000);
  ReceiveAccount* active = OpenBody(budget, 2, 900'000);
  const Instant now = kStart + kStallTime;
  budget.OnReceived(active, "x", now);
  REQUIRE(budget.Victim(now) == stalled);
  REQUIRE(budget.Victim(now - milliseconds(1)) == active);
}

TEST_CASE("the limits of the listeners fit the memory and the descriptors",
          "[receive_budget]") {
  for (const std::size_t memory_mb : {32, 64, 160, 4096}) {
    for (const std::size_t descriptors : {64, 100, 1024, 65536}) {
      CAPTURE(memory_mb, descriptors);
      const ListenerLimits limits = DivideLimits(memory_mb, descriptors);
      REQUIRE(limits.callers.total_bytes + limits.peers.total_bytes +
                  limits.readiness.total_bytes <=
              (memory_mb << 20) / 2);
      REQUIRE(limits.callers.total_bytes >= std::size_t{4} << 20);
      REQUIRE(limits.callers.max_connections + limits.peers.max_connections +
                  limits.readiness.max_connections <=
              descriptors * 3 / 4);
    }
  }
}

}  // namespace
}  // namespace peridot
