// Tests of the owner lease.

#include "src/coordination/owner_lease.h"

#include <catch2/catch.hpp>

namespace peridot {
namespace {

using std::chrono::milliseconds;

const Instant kStart = Instant{} + std::chrono::seconds(100);

OwnerLease Lease(const std::string& host, const std::string& instance) {
  return OwnerLease(OwnerLeaseConfig{
      .self = DaemonId(host), .instance = instance, .address = host + ":1"});
}

OwnerRow Row(const std::string& host,
             const std::string& instance,
             std::uint64_t epoch,
             std::int64_t expires_ms) {
  return OwnerRow{DaemonId(host),    instance,   host + ":1",
                  OwnerEpoch(epoch), expires_ms, 1};
}

TEST_CASE("a lease is claimed when it is free or expired", "[owner_lease]") {
  // Guards against two owners at a time, and against a fleet without an owner.
  OwnerLease lease = Lease("a", "a1");
  CHECK_FALSE(lease.ShouldClaim(0, kStart));  // the row has not been read
  lease.OnRow(OwnerRow{}, RowVersion(0));
  CHECK(lease.ShouldClaim(0, kStart));
  lease.OnRow(Row("b", "b1", 3, 5000), RowVersion(4));
  CHECK_FALSE(lease.ShouldClaim(4999, kStart));
  CHECK(lease.ShouldClaim(5000, kStart));
  CHECK(lease.NextRow(5000, false).epoch == OwnerEpoch(4));
}

TEST_CASE("a holder reported as gone is gone for that epoch only",
          "[owner_lease]") {
  // Guards against owners that keep taking the lease from each other: a process
  // that yielded one epoch may hold a later one.
  OwnerLease lease = Lease("a", "a1");
  lease.OnRow(Row("b", "b1", 3, 5000), RowVersion(4));
  lease.OnHolderGone(OwnerEpoch(3), true);
  CHECK(lease.ShouldClaim(100, kStart));
  CHECK(lease.PreviousLeaseLeft(100) == milliseconds(0));
  lease.OnRow(Row("b", "b1", 5, 9000), RowVersion(9));
  CHECK_FALSE(lease.ShouldClaim(100, kStart));
}

TEST_CASE("a holder that refused connections may act until its lease expires",
          "[owner_lease]") {
  // Guards against a network fault that refuses connections being treated as
  // proof that the holder has exited.
  OwnerLease lease = Lease("a", "a1");
  lease.OnRow(Row("b", "b1", 3, 5000), RowVersion(4));
  lease.OnHolderGone(OwnerEpoch(3), false);
  CHECK(lease.ShouldClaim(100, kStart));
  CHECK(lease.PreviousLeaseLeft(100) == milliseconds(4900));
}

TEST_CASE("a lease of a previous process on the same host is free",
          "[owner_lease]") {
  // Guards the recovery time after all daemons were killed.
  OwnerLease lease = Lease("a", "a2");
  lease.OnRow(Row("a", "a1", 3, 5000), RowVersion(4));
  CHECK(lease.ShouldClaim(100, kStart));
  CHECK(lease.PreviousLeaseLeft(100) == milliseconds(0));
}

TEST_CASE("the holder counts its lease from the sending of the renewal",
          "[owner_lease]") {
  // Guards against a holder that is paused between the request and its answer
  // and then acts on a lease that has expired.
  OwnerLeaseConfig config{.self = DaemonId("a"), .instance = "a1"};
  OwnerLease lease(config);
  lease.OnRow(OwnerRow{}, RowVersion(0));
  const OwnerRow row = lease.NextRow(1000, false);
  lease.OnWritten(row, RowVersion(7), kStart);
  CHECK(lease.Valid(kStart + config.lease_duration - config.margin -
                    milliseconds(1)));
  CHECK_FALSE(lease.Valid(kStart + config.lease_duration - config.margin));
  CHECK(lease.RenewalDue(kStart + config.renew_after));
}

TEST_CASE("each row to write has a number of its own", "[owner_lease]") {
  // Guards against a write without an answer that cannot be told from the write
  // that replaced it.
  OwnerLease lease = Lease("a", "a1");
  lease.OnRow(OwnerRow{}, RowVersion(0));
  lease.OnWritten(lease.NextRow(0, false), RowVersion(7), kStart);
  const OwnerRow unanswered = lease.NextRow(100, false);
  const OwnerRow replacement = lease.NextRow(200, false);
  CHECK_FALSE(IsSameWrite(unanswered, replacement));
  CHECK(IsSameWrite(unanswered, unanswered));
  // Still so after a release and another claim of the same process.
  lease.OnWritten(lease.NextRow(300, true), RowVersion(8), kStart);
  const OwnerRow claim = lease.NextRow(400, false);
  CHECK_FALSE(IsSameWrite(claim, replacement));
  CHECK_FALSE(IsSameWrite(claim, unanswered));
}

TEST_CASE("a holder that reads the row of another has lost the lease",
          "[owner_lease]") {
  // Guards against writes by an owner that has been replaced.
  OwnerLease lease = Lease("a", "a1");
  lease.OnRow(OwnerRow{}, RowVersion(0));
  lease.OnWritten(lease.NextRow(0, false), RowVersion(7), kStart);
  // An outdated answer changes nothing.
  CHECK(lease.OnRow(Row("b", "b1", 1, 900), RowVersion(5)));
  CHECK(lease.Held());
  CHECK_FALSE(lease.OnRow(Row("b", "b1", 2, 900), RowVersion(8)));
  CHECK_FALSE(lease.Held());
}

TEST_CASE("a weak host delays its claim of a free lease", "[owner_lease]") {
  // Guards against an owner that is too slow for its fleet, such as a host with
  // an eighth of a core for 300 endpoints, and against a lease that nobody
  // claims when the strong hosts are gone.
  OwnerLeaseConfig config{
      .self = DaemonId("a"), .instance = "a1", .strength = 120};
  OwnerLease weak(config);
  OwnerRow row = Row("b", "b1", 3, 5000);
  row.strength = row.best_strength = 500;
  weak.OnRow(row, RowVersion(4));
  CHECK_FALSE(weak.ShouldClaim(5000, kStart));
  CHECK_FALSE(
      weak.ShouldClaim(5000, kStart + config.claim_delay - milliseconds(1)));
  CHECK(weak.ShouldClaim(5000, kStart + config.claim_delay));
  // Its row keeps the highest known strength.
  CHECK(weak.NextRow(5000, false).best_strength == 500);
  config.strength = 500;
  OwnerLease strong(config);
  strong.OnRow(row, RowVersion(4));
  CHECK(strong.ShouldClaim(5000, kStart));
}

TEST_CASE("a weak owner hands over to a strong host on request",
          "[owner_lease]") {
  // Guards against owners that keep handing the lease to each other.
  OwnerLeaseConfig config{
      .self = DaemonId("a"), .instance = "a1", .strength = 120};
  OwnerLease owner(config);
  owner.OnRow(OwnerRow{}, RowVersion(0));
  const OwnerRow row = owner.NextRow(0, false);
  owner.OnWritten(row, RowVersion(7), kStart);
  const Instant later = kStart + config.handover_after;
  CHECK_FALSE(owner.OnHandoverAsked(500, later - milliseconds(1)));
  CHECK_FALSE(owner.OnHandoverAsked(150, later));
  CHECK_FALSE(owner.OnHandoverAsked(0, later));
  CHECK(owner.OnHandoverAsked(500, later));
  CHECK(owner.NextRow(0, true).best_strength == 500);

  OwnerLease strong(OwnerLeaseConfig{
      .self = DaemonId("b"), .instance = "b1", .strength = 500});
  strong.OnRow(row, RowVersion(7));
  CHECK(strong.ShouldAskHandover());
  OwnerLease equal(OwnerLeaseConfig{
      .self = DaemonId("c"), .instance = "c1", .strength = 120});
  equal.OnRow(row, RowVersion(7));
  CHECK_FALSE(equal.ShouldAskHandover());
}

}  // namespace
}  // namespace peridot
