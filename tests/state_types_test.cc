// Tests of the basic types: ids, units, clock bounds and errors.

#include <boost/outcome/try.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <sstream>
#include <type_traits>

#include "src/protocol/generated/peer.pb.h"
#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/units.h"

namespace peridot {
namespace {

using std::chrono::seconds;

Result<int> ParsePositive(int value) {
  if (value <= 0) {
    return MakeError(ErrorCode::kOutOfRange, "parse", "caller",
                     "expected a number above 0");
  }
  return value;
}

Result<int> AddOne(int value) {
  BOOST_OUTCOME_TRY(parsed, ParsePositive(value));
  return parsed + 1;
}

TEST_CASE("ids of different kinds do not convert into each other", "[state]") {
  STATIC_REQUIRE_FALSE(std::is_convertible_v<TeamId, QueueId>);
  STATIC_REQUIRE_FALSE(std::is_convertible_v<std::string, TeamId>);
  REQUIRE(TeamId("a") < TeamId("b"));
}

TEST_CASE("a later incarnation orders after an earlier one", "[state]") {
  const SessionId first{DaemonId("d1"), Incarnation(1)};
  const SessionId second{DaemonId("d1"), Incarnation(2)};
  REQUIRE(first < second);
}

TEST_CASE("drift bounds enclose the nominal duration", "[state]") {
  // Guards against a holder and a grantor that use the same time for a lease,
  // without a margin for drift.
  const Duration lease = seconds(2);
  REQUIRE(ShortenForDrift(lease) < lease);
  REQUIRE(LengthenForDrift(lease) > lease);
}

TEST_CASE("an error keeps its step and its peer through TRY", "[state]") {
  REQUIRE(AddOne(1).value() == 2);
  const Result<int> failed = AddOne(0);
  REQUIRE(failed.has_error());
  std::ostringstream text;
  text << failed.error();
  REQUIRE(text.str() ==
          "step=parse peer=caller code=out_of_range message=\"expected a "
          "number above 0\"");
}

TEST_CASE("the generated peer messages are usable", "[protocol]") {
  proto::Envelope envelope;
  envelope.mutable_probe_reply()->set_revision(7);
  proto::Envelope parsed;
  REQUIRE(parsed.ParseFromString(envelope.SerializeAsString()));
  REQUIRE(parsed.probe_reply().revision() == 7);
}

}  // namespace
}  // namespace peridot
