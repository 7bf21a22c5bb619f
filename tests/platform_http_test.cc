// Tests the HTTP messages of the platform and of endpoints.

#include <catch2/catch.hpp>
#include <string>

#include "src/protocol/digest.h"
#include "src/protocol/endpoint_http.h"
#include "src/protocol/platform_http.h"

namespace peridot {
namespace {

using std::chrono::milliseconds;

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

TEST_CASE("a transaction is unchanged by a JSON round trip",
          "[platform_http]") {
  const TableTransaction sent{"op-1",
                              {{"a", RowVersion(3)}, {"b", RowVersion(0)}},
                              {{"a", "quote \" and \xc3\xa9"}},
                              {"c"}};
  const HttpCall call = EncodeTransact(sent).value();
  REQUIRE(call.path == "/v1/transact");
  const TableTransaction read = ParseTransact(call.body).value();
  REQUIRE(read.operation_id == "op-1");
  REQUIRE(read.checks.size() == 2);
  REQUIRE(read.checks[0].version == RowVersion(3));
  REQUIRE(read.puts[0].value == sent.puts[0].value);
  REQUIRE(read.erases == sent.erases);
}

TEST_CASE("a value that JSON cannot represent is refused", "[platform_http]") {
  // Guards against silent replacement of bytes in values sent to the table.
  REQUIRE(EncodeTransact({"op", {}, {{"a", "\xff"}}, {}}).has_error());
  REQUIRE(EncodeTransact({"", {}, {}, {}}).has_error());
}

TEST_CASE("commit responses are unchanged by a JSON round trip",
          "[platform_http]") {
  CommitAnswer committed;
  committed.outcome = CommitOutcome::kCommitted;
  committed.versions = {{"a", RowVersion(4)}};
  const HttpResponse ok = FormatCommitAnswer(committed).value();
  const CommitAnswer read = ParseCommitAnswer(ok.status, ok.body).value();
  REQUIRE(read.outcome == CommitOutcome::kCommitted);
  REQUIRE(read.versions[0].version == RowVersion(4));

  CommitAnswer conflict;
  conflict.outcome = CommitOutcome::kConflict;
  conflict.conflicts = {{"a", RowVersion(5)}};
  const HttpResponse refused = FormatCommitAnswer(conflict).value();
  const CommitAnswer seen =
      ParseCommitAnswer(refused.status, refused.body).value();
  REQUIRE(seen.outcome == CommitOutcome::kConflict);
  REQUIRE(seen.conflicts[0].version == RowVersion(5));
  REQUIRE(FormatCommitAnswer(CommitAnswer{}).has_error());
}

TEST_CASE("an ambiguous commit response is an unknown outcome",
          "[platform_http]") {
  // Guards against treating an applied write as refused, or a refused write as
  // applied.
  const std::pair<int, const char*> cases[] = {
      {200, ""},
      {200, "{"},
      {200, R"({"committed":true,"versions":[]})"},
      {200, R"({"committed":true,"versions":{"a":-1}})"},
      {200, R"({"committed":"true"})"},
      {200, R"({"committed":false})"},
      {409, R"({"committed":true})"},
      {409, R"({"committed":false,"conflicts":[{"key":"a"}]})"},
      {500, ""},
      {503, R"({"committed":false})"}};
  for (const auto& [status, body] : cases) {
    CAPTURE(status, body);
    REQUIRE(ParseCommitAnswer(status, body).value().outcome ==
            CommitOutcome::kUnknown);
  }
  REQUIRE(ParseCommitAnswer(400, "").has_error());
}

TEST_CASE("rows are unchanged by a JSON round trip", "[platform_http]") {
  const HttpResponse answer =
      FormatRows({{"a", RowVersion(1), "x"}, {"b", RowVersion(2), ""}}).value();
  const auto rows = ParseRows(200, answer.body).value();
  REQUIRE(rows.size() == 2);
  REQUIRE(rows[1].key == "b");
  const HttpCall call = EncodeRead({{"a"}, {"host/"}}).value();
  REQUIRE(ParseRead(call.body).value().prefixes[0] == "host/");
}

TEST_CASE("a response without its list is not an empty list",
          "[platform_http]") {
  // Guards against reading an empty table, object store or fleet from a
  // malformed response.
  for (const char* body :
       {"", "{}", "[]", R"({"rows":{}})", R"({"rows":[1]})",
        R"({"rows":[{"key":"a"}]})", R"({"hosts":[{"host":"h"}]})",
        R"({"objects":[1]})"}) {
    CAPTURE(body);
    REQUIRE(ParseRows(200, body).has_error());
    REQUIRE(ParseHosts(200, body).has_error());
    REQUIRE(ParseObjectList(200, body).has_error());
  }
  REQUIRE(ParseRows(503, "").error().code == ErrorCode::kUnavailable);
  REQUIRE(ParseHosts(503, "").error().code == ErrorCode::kUnavailable);
}

//-----------------------------------------------------------------------------
// [SECTION] Object store and membership
//-----------------------------------------------------------------------------

TEST_CASE("object requests contain the name of the object", "[platform_http]") {
  const HttpCall put =
      EncodePutObject("answers/1", "bytes", ObjectPutMode::kMustNotExist);
  REQUIRE(ParseObjectPath(put.path).value() == "answers/1");
  REQUIRE(FindHeader(put.headers, "If-None-Match") == "*");
  REQUIRE(ParseObjectPath("/v1/objects/a?b").has_error());
  REQUIRE(ParseObjectPath("/v1/objects/").has_error());
  REQUIRE(EncodeListObjects("a/").path == "/v1/objects?prefix=a/");
  REQUIRE(ParseObjectQuery("prefix=a/").value() == "a/");
  REQUIRE(ParseObjectQuery("").value().empty());
  REQUIRE(ParseObjectQuery("x=1").has_error());
  REQUIRE(ParseObjectList(200, FormatObjectList({"a", "b"}).body).value() ==
          std::vector<std::string>{"a", "b"});
  REQUIRE(ParsePutObjectResponse(412).value() == ObjectPutOutcome::kExists);
  REQUIRE(ParsePutObjectResponse(503).value() == ObjectPutOutcome::kUnknown);
  REQUIRE(ParsePutObjectResponse(400).has_error());
}

TEST_CASE("host records are unchanged by a JSON round trip",
          "[platform_http]") {
  const HostRecord host{HostId("h1"),  EndpointId("127.0.0.1:9"),
                        ZoneId("z1"),  RackId("r1"),
                        PoolId("web"), HostState::kLeaving};
  const auto hosts = ParseHosts(200, FormatHosts({host}).body).value();
  REQUIRE(hosts.size() == 1);
  REQUIRE(hosts[0].endpoint == host.endpoint);
  REQUIRE(hosts[0].state == HostState::kLeaving);
  REQUIRE(ParseHost(EncodePutHost(host).body).value().pool == PoolId("web"));
  REQUIRE(ParseHosts(200, FormatHosts({host, host}).body).has_error());
}

TEST_CASE("injected faults change only the given fields", "[platform_http]") {
  const PlatformFaults faults{.down = true, .lose_answers = 2};
  const PlatformFaults read =
      ParsePlatformFaults(EncodePlatformFaults(faults).body).value();
  REQUIRE(read.down == true);
  REQUIRE(read.lose_answers == 2);
  REQUIRE_FALSE(read.latency_ms);
  REQUIRE(ParsePlatformFaults(R"({"down":1})").has_error());
  const EndpointFaults endpoint{.fail_all = false, .truncate = 1};
  const EndpointFaults seen =
      ParseEndpointFaults(EncodeEndpointFaults(endpoint).body).value();
  REQUIRE(seen.fail_all == false);
  REQUIRE(seen.truncate == 1);
  REQUIRE_FALSE(seen.silent);
}

//-----------------------------------------------------------------------------
// [SECTION] Endpoints
//-----------------------------------------------------------------------------

TEST_CASE("leases and heartbeats are unchanged by a JSON round trip",
          "[endpoint_http]") {
  const LeaseRequest request{DaemonId("d1"), Incarnation(2),
                             milliseconds(2000)};
  const LeaseRequest read = ParseLease(EncodeLease(request).body).value();
  REQUIRE(read.holder == request.holder);
  REQUIRE(read.duration == request.duration);

  const HttpResponse granted = FormatLeaseResponse(LeaseGrant{
      LeaseId("l"), BootId("b"), 77, SlotCount(8), SlotCount(3), true});
  const auto grant = std::get<LeaseGrant>(
      ParseLeaseResponse(granted.status, granted.body).value());
  REQUIRE(grant.clock_us == 77);
  REQUIRE(grant.used == SlotCount(3));
  REQUIRE(grant.leaving);
  const HttpResponse refused =
      FormatLeaseResponse(LeaseConflict{DaemonId("d2"), Incarnation(9)});
  const auto conflict = std::get<LeaseConflict>(
      ParseLeaseResponse(refused.status, refused.body).value());
  REQUIRE(conflict.latest == Incarnation(9));

  HeartbeatResponse beat;
  beat.boot = BootId("b");
  beat.running = {AttemptId("a1"), AttemptId("a2")};
  beat.slots = SlotCount(8);
  beat.used = SlotCount(5);
  const HttpResponse formatted = FormatHeartbeatResponse(beat);
  const auto seen = ParseHeartbeatResponse(200, formatted.body).value();
  REQUIRE(seen.running == beat.running);
  REQUIRE(seen.slots == SlotCount(8));
  REQUIRE(seen.used == SlotCount(5));
  const auto renewal =
      ParseHeartbeat(EncodeHeartbeat({LeaseId("l"), 99}).body).value();
  REQUIRE(renewal.lease == LeaseId("l"));
  REQUIRE(renewal.until_us == 99);
}

TEST_CASE("lease responses with missing or invalid fields are refused",
          "[endpoint_http]") {
  // Guards against accepting a lease with an empty boot id or a clock reading
  // of 0 as defaults of missing fields.
  for (
      const char* body :
      {"", "{}",
       R"({"lease":"l","boot":"b","slots":8,"used":0,"leaving":false})",
       R"({"lease":"l","boot":"","clock_us":1,"slots":8,"used":0,"leaving":false})",
       R"({"lease":"l","boot":"b","clock_us":"1","slots":8,"used":0,"leaving":false})",
       R"({"lease":"l","boot":"b","clock_us":1,"slots":-8,"used":0,"leaving":false})",
       R"({"lease":"l","boot":"b","clock_us":1.5,"slots":8,"used":0,"leaving":0})"}) {
    CAPTURE(body);
    REQUIRE(ParseLeaseResponse(200, body).has_error());
  }
  for (const char* body :
       {"", "[]", R"({"boot":"b","clock_us":1})",
        R"({"boot":"","clock_us":1,"slots":8,"used":0,"leaving":false})",
        R"({"boot":"b","clock_us":-1,"slots":8,"used":0,"leaving":false})",
        R"({"boot":"b","clock_us":1,"slots":8,"used":0,"leaving":"no"})",
        R"({"boot":"b","clock_us":1,"slots":8,"leaving":false})",
        R"({"boot":"b","clock_us":1,"used":0,"leaving":false})"}) {
    CAPTURE(body);
    REQUIRE(ParseHeartbeatResponse(200, body).has_error());
  }
  REQUIRE(ParseHeartbeatResponse(200,
                                 R"({"boot":"b","clock_us":1,"slots":8,"used":0,
                                   "leaving":false,"running":[1]})")
              .has_error());
  REQUIRE(ParseLeaseResponse(409, R"({"holder":"d"})").has_error());
  REQUIRE(ParseLeaseResponse(500, "").error().code == ErrorCode::kUnavailable);
  REQUIRE(ParseHeartbeatResponse(404, "").error().code ==
          ErrorCode::kPermission);
}

TEST_CASE("an attempt is unchanged by a round trip through HTTP headers",
          "[endpoint_http]") {
  AttemptRequest request;
  request.attempt = AttemptId("d1.2.3-1");
  request.lease = LeaseId("l");
  request.boot = BootId("b");
  request.not_after_us = 123456;
  request.run = milliseconds(40);
  request.idempotent = true;
  request.task = TaskId("d1.2.3");
  request.body = "payload";
  const HttpCall call = EncodeAttempt(request);
  const AttemptRequest read = ParseAttempt(call.headers, call.body).value();
  REQUIRE(read.attempt == request.attempt);
  REQUIRE(read.not_after_us == 123456);
  REQUIRE(read.run == request.run);
  REQUIRE(read.idempotent);
  REQUIRE(read.task == request.task);
  REQUIRE(read.body == "payload");

  // Every required header must occur exactly once and be valid.
  for (std::size_t i = 1; i < 7; ++i) {
    HttpHeaders missing = call.headers;
    missing.erase(missing.begin() + static_cast<std::ptrdiff_t>(i));
    REQUIRE(ParseAttempt(missing, "").has_error());
    HttpHeaders twice = call.headers;
    twice.push_back(call.headers[i]);
    REQUIRE(ParseAttempt(twice, "").has_error());
  }
}

TEST_CASE("attempt paths are parsed", "[endpoint_http]") {
  const AttemptId attempt("d1.2.3-1");
  REQUIRE(
      ParseAttemptPath(EncodeFence(attempt, BootId("b")).path).value().fence);
  const auto state = ParseAttemptPath(EncodeAttemptState(attempt).path);
  REQUIRE(state.value().attempt == attempt);
  REQUIRE_FALSE(state.value().fence);
  for (const char* path :
       {"", "/v1/attempts", "/v1/attempts/", "/v1/attempts//fence",
        "/v1/attempts/a/b/fence", "/v1/attempts/a b"}) {
    CAPTURE(path);
    REQUIRE(ParseAttemptPath(path).has_error());
  }
}

// Adds Content-Length as the transport does, then checks the response.
AttemptResponse Check(const std::string& asked, HttpResponse answer) {
  answer.headers.push_back(
      {"Content-Length", std::to_string(answer.body.size())});
  return CheckAttemptResponse(AttemptId(asked), answer.status, answer.headers,
                              answer.body);
}

TEST_CASE("complete responses to the attempt are accepted", "[endpoint_http]") {
  const AttemptId a("a1");
  const AttemptResponse done = Check("a1", FormatAttemptResult(a, "result"));
  REQUIRE(done.fault == ResponseFault::kNone);
  REQUIRE(done.state == AttemptState::kDone);
  REQUIRE(done.has_result);
  REQUIRE(done.body == "result");
  for (const NeverStartedReason reason :
       {NeverStartedReason::kLease, NeverStartedReason::kNotAfter,
        NeverStartedReason::kBoot, NeverStartedReason::kSlots,
        NeverStartedReason::kLeaving, NeverStartedReason::kFenced}) {
    const AttemptResponse refused = Check("a1", FormatNeverStarted(a, reason));
    REQUIRE(refused.fault == ResponseFault::kNone);
    REQUIRE(refused.state == AttemptState::kNeverStarted);
    REQUIRE(refused.never_started == reason);
  }
  const AttemptResponse failed = Check("a1", FormatAttemptFailed(a));
  REQUIRE(failed.fault == ResponseFault::kNone);
  REQUIRE(failed.state == AttemptState::kFailed);
  const AttemptResponse fenced =
      Check("a1", FormatAttemptState(a, AttemptState::kDone));
  REQUIRE(fenced.state == AttemptState::kDone);
  REQUIRE_FALSE(fenced.has_result);
}

TEST_CASE("responses to another attempt are rejected", "[endpoint_http]") {
  // Guards against returning the result of another attempt to a caller, and
  // against running a task again because another attempt reported "not run".
  const AttemptId other("a2");
  for (const HttpResponse& answer :
       {FormatAttemptResult(other, "result"),
        FormatNeverStarted(other, NeverStartedReason::kFenced),
        FormatAttemptFailed(other),
        FormatAttemptState(other, AttemptState::kNeverStarted)}) {
    REQUIRE(Check("a1", answer).fault == ResponseFault::kWrongAttempt);
    HttpResponse unnamed = answer;
    std::erase_if(unnamed.headers, [](const HttpHeader& header) {
      return header.name == "Peridot-Attempt";
    });
    REQUIRE(Check("a1", unnamed).fault == ResponseFault::kWrongAttempt);
    HttpResponse both = answer;
    both.headers.push_back({"Peridot-Attempt", "a1"});
    REQUIRE(Check("a1", both).fault == ResponseFault::kWrongAttempt);
  }
}

TEST_CASE("truncated and modified responses are rejected", "[endpoint_http]") {
  HttpResponse answer = FormatAttemptResult(AttemptId("a1"), "result");
  answer.headers.push_back({"Content-Length", "6"});
  const auto fault = [&](const std::string& body, const HttpHeaders& headers) {
    return CheckAttemptResponse(AttemptId("a1"), 200, headers, body).fault;
  };
  REQUIRE(fault("result", answer.headers) == ResponseFault::kNone);
  REQUIRE(fault("resul", answer.headers) == ResponseFault::kWrongLength);
  REQUIRE(fault("resulT", answer.headers) == ResponseFault::kWrongDigest);
  HttpHeaders no_length = answer.headers;
  no_length.pop_back();
  REQUIRE(fault("result", no_length) == ResponseFault::kWrongLength);
  HttpHeaders no_digest = answer.headers;
  std::erase_if(no_digest, [](const HttpHeader& header) {
    return header.name == "Peridot-Digest";
  });
  REQUIRE(fault("result", no_digest) == ResponseFault::kMalformed);
}

TEST_CASE("states that are invalid for their HTTP status are malformed",
          "[endpoint_http]") {
  const std::pair<int, const char*> cases[] = {
      {200, "{}"},
      {200, R"({"state":"started"})"},
      {200, R"({"state":1})"},
      {409, R"({"state":"done"})"},
      {409, R"({"state":"never_started"})"},
      {409, R"({"state":"never_started","reason":"other"})"},
      {500, R"({"state":"never_started"})"},
      {500, ""},
      {404, R"({"state":"never_started","reason":"fenced"})"}};
  for (const auto& [status, body] : cases) {
    CAPTURE(status, body);
    HttpResponse answer{.status = status, .body = body};
    answer.headers = {{"Peridot-Attempt", "a1"}};
    REQUIRE(Check("a1", answer).fault == ResponseFault::kMalformed);
  }
}

TEST_CASE("run records are unchanged by a JSON round trip", "[endpoint_http]") {
  const HttpResponse answer =
      FormatRuns({{AttemptId("a"), TaskId("t"), TeamId("x"), 1, 2, "done"}});
  const auto runs = ParseRuns(answer.body).value();
  REQUIRE(runs.size() == 1);
  REQUIRE(runs[0].ended_us == 2);
  REQUIRE(ParseRuns("{}").has_error());
  REQUIRE(ParseRuns(R"([{"attempt":"a"}])").has_error());
}

TEST_CASE("digests are SHA-256", "[endpoint_http]") {
  // The published digest of the empty message.
  REQUIRE(Sha256Hex("") ==
          "e3b0c44298fc1c149afbf4c8996fb924"
          "27ae41e4649b934ca495991b7852b855");
}

}  // namespace
}  // namespace peridot
