// Tests of the rows that list the used endpoints.

#include "src/daemon/used_endpoint_rows.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "src/protocol/job_json.h"

namespace peridot {
namespace {

// Limits of the store: a row's value in base64, and the entries of a call.
constexpr std::size_t kMaxRowBytes = 65536;
constexpr std::size_t kMaxEntries = 100;

std::vector<UsedEndpoint> Endpoints(int count) {
  std::vector<UsedEndpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    endpoints.push_back(UsedEndpoint{
        EndpointId("executor-" + std::to_string(100000 + i)),
        ServiceId("municipal-service"), Resources{64000, 262144, 0}, 0});
  }
  return endpoints;
}

TEST_CASE("the used endpoints of a large fleet fit into the rows of the store",
          "[used_endpoint_rows]") {
  // Guards against a row above the store's limit: the store rejects the whole
  // write, so that the owner can neither renew its lease nor start a job.
  UsedEndpointRows rows;
  StoreTransaction transaction;
  rows.AddChanges(Endpoints(10000), kMaxRowBytes, &transaction);
  CHECK(transaction.puts.size() <= UsedEndpointRows::kRows);
  std::size_t listed = 0;
  for (const auto& [key, value] : transaction.puts) {
    CHECK((value.size() + 2) / 3 * 4 <= kMaxRowBytes);
    listed += DecodeUsedEndpoints(value).value().size();
  }
  CHECK(listed == 10000);
  // Beside the lease, two waves and a full batch of progress.
  CHECK(UsedEndpointRows::kRows + 1 + 2 + 70 <= kMaxEntries);
}

TEST_CASE("only rows with a change are written again", "[used_endpoint_rows]") {
  // Guards the bytes written for each change, and that a change whose write
  // failed is written again.
  UsedEndpointRows rows;
  std::vector<UsedEndpoint> endpoints = Endpoints(500);
  StoreTransaction first;
  rows.AddChanges(endpoints, kMaxRowBytes, &first);
  rows.OnStored();
  StoreTransaction unchanged;
  rows.AddChanges(endpoints, kMaxRowBytes, &unchanged);
  CHECK(unchanged.puts.empty());
  endpoints[7].lapse_ms = 900;
  StoreTransaction failed;
  rows.AddChanges(endpoints, kMaxRowBytes, &failed);
  CHECK(failed.puts.size() == 1);
  StoreTransaction repeated;
  rows.AddChanges(endpoints, kMaxRowBytes, &repeated);
  CHECK(repeated.puts.size() == 1);
}

TEST_CASE("a change that is undone after an unanswered write is written",
          "[used_endpoint_rows]") {
  // Guards against an endpoint that is missing in the store: the write without
  // it is performed late, and the row then seems to be as stored before.
  UsedEndpointRows rows;
  std::vector<UsedEndpoint> endpoints = Endpoints(500);
  StoreTransaction first;
  rows.AddChanges(endpoints, kMaxRowBytes, &first);
  rows.OnStored();
  const UsedEndpoint removed = endpoints.back();
  endpoints.pop_back();
  StoreTransaction unanswered;
  rows.AddChanges(endpoints, kMaxRowBytes, &unanswered);
  REQUIRE(unanswered.puts.size() == 1);
  endpoints.push_back(removed);
  StoreTransaction replacement;
  rows.AddChanges(endpoints, kMaxRowBytes, &replacement);
  REQUIRE(replacement.puts.size() == 1);
  CHECK(replacement.puts[0].first.key == unanswered.puts[0].first.key);
  rows.OnStored();
  StoreTransaction unchanged;
  rows.AddChanges(endpoints, kMaxRowBytes, &unchanged);
  CHECK(unchanged.puts.empty());
}

TEST_CASE("the row of an older version is removed", "[used_endpoint_rows]") {
  // Guards against endpoints of an outdated list that count as used for good.
  UsedEndpointRows rows;
  rows.OnRead("all");
  rows.OnRead("row-3");
  StoreTransaction transaction;
  rows.AddChanges(Endpoints(3), kMaxRowBytes, &transaction);
  REQUIRE(transaction.removals.size() == 1);
  CHECK(transaction.removals[0].key == "all");
  rows.OnStored();
  StoreTransaction next;
  rows.AddChanges(Endpoints(3), kMaxRowBytes, &next);
  CHECK(next.removals.empty());
}

TEST_CASE("a row that would be too large omits the unanswered starts",
          "[used_endpoint_rows]") {
  // Guards against a store that rejects every write of the owner.
  std::vector<UsedEndpoint> endpoints = Endpoints(2000);
  for (UsedEndpoint& endpoint : endpoints) {
    for (int i = 0; i < 20; ++i) {
      endpoint.unanswered_starts.push_back(UnansweredStart{
          TaskName{JobId("5c0e7a21d94b36f8"), 0, 0, i}, 1025, 12300});
    }
  }
  UsedEndpointRows rows;
  StoreTransaction transaction;
  rows.AddChanges(endpoints, kMaxRowBytes, &transaction);
  std::size_t listed = 0;
  for (const auto& [key, value] : transaction.puts) {
    CHECK(value.size() <= kMaxRowBytes);
    listed += DecodeUsedEndpoints(value).value().size();
  }
  CHECK(listed == endpoints.size());
}

}  // namespace
}  // namespace peridot
