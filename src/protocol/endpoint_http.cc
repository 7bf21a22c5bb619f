#include "src/protocol/endpoint_http.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include "src/protocol/digest.h"
#include "src/protocol/json_internal.h"

namespace peridot {
namespace {

using json_internal::Json;
using json_internal::Reader;

constexpr std::string_view kAttempts = "/v1/attempts";
constexpr std::string_view kFenceSuffix = "/fence";
constexpr std::size_t kMaxAttemptIdLength = 128;

// Upper limit of durations from a peer, so that adding one to an instant cannot
// overflow.
constexpr std::uint64_t kMaxDurationMs = 24ULL * 3600 * 1000;

std::int64_t ToMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

HttpCall PostJson(std::string path, const Json& body) {
  // Ids and names are ASCII. Invalid UTF-8 is replaced, so that the peer does
  // not find the id.
  return {.method = HttpMethod::kPost,
          .path = std::move(path),
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

HttpResponse JsonResponse(int status, const Json& body) {
  return {.status = status,
          .headers = {{"Content-Type", "application/json"}},
          .body = body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Error Malformed(const char* step, const std::string& message) {
  return MakeError(ErrorCode::kMalformed, step, "", message);
}

Error UnexpectedStatus(const char* step, int status) {
  const ErrorCode code =
      status >= 500 ? ErrorCode::kUnavailable : ErrorCode::kPermission;
  return MakeError(code, step, "",
                   "unexpected response status " + std::to_string(status));
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, fault] = std::from_chars(text.data(), end, value);
  constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
  if (text.empty() || fault != std::errc() || rest != end || value > kMax) {
    return std::nullopt;
  }
  return value;
}

Duration ReadMs(Reader* reader, const char* key) {
  const std::uint64_t ms = reader->Number(key);
  if (ms > kMaxDurationMs) {
    reader->Fail(key, "at most one day");
  }
  return std::chrono::milliseconds(std::min(ms, kMaxDurationMs));
}

constexpr std::pair<NeverStartedReason, const char*> kReasons[] = {
    {NeverStartedReason::kLease, "lease"},
    {NeverStartedReason::kNotAfter, "not_after"},
    {NeverStartedReason::kBoot, "boot"},
    {NeverStartedReason::kSlots, "slots"},
    {NeverStartedReason::kLeaving, "leaving"},
    {NeverStartedReason::kFenced, "fenced"},
};

constexpr std::pair<AttemptState, const char*> kStates[] = {
    {AttemptState::kNeverStarted, "never_started"},
    {AttemptState::kRunning, "running"},
    {AttemptState::kDone, "done"},
    {AttemptState::kFailed, "failed"},
    {AttemptState::kStopped, "stopped"},
    {AttemptState::kUnknown, "unknown"},
};

template <typename E, std::size_t N>
const char* NameOf(const std::pair<E, const char*> (&table)[N], E value) {
  for (const auto& [entry, name] : table) {
    if (entry == value) {
      return name;
    }
  }
  return "";
}

template <typename E, std::size_t N>
std::optional<E> FromName(const std::pair<E, const char*> (&table)[N],
                          std::string_view name) {
  for (const auto& [entry, entry_name] : table) {
    if (name == entry_name) {
      return entry;
    }
  }
  return std::nullopt;
}

// Reads a response that contains a state instead of a result.
AttemptResponse ReadState(int status, std::string_view body) {
  AttemptResponse answer;
  const Json object = json_internal::Parse(body);
  Reader reader(object, "attempt_state");
  const auto state = FromName(kStates, reader.String("state"));
  if (!state) {
    return answer;
  }
  // Each state is valid with certain HTTP statuses only. Any other combination
  // may come from a third party, such as a proxy between daemon and endpoint.
  const bool fits = status == 200 ||
                    (status == 409 && *state == AttemptState::kNeverStarted) ||
                    (status == 500 && *state == AttemptState::kFailed);
  if (!fits) {
    return answer;
  }
  answer.state = *state;
  if (reader.Has("reason")) {
    answer.never_started = FromName(kReasons, reader.String("reason"));
  }
  if (*state == AttemptState::kNeverStarted && status == 409 &&
      !answer.never_started) {
    return answer;
  }
  answer.fault = ResponseFault::kNone;
  return answer;
}

template <typename T>
void PutIfSet(Json* body, const char* key, const std::optional<T>& value) {
  if (value) {
    (*body)[key] = *value;
  }
}

void ReadIfSet(Reader* reader, const char* key, std::optional<bool>* value) {
  if (reader->Has(key)) {
    *value = reader->Bool(key);
  }
}

void ReadIfSet(Reader* reader,
               const char* key,
               std::optional<std::uint64_t>* value) {
  if (reader->Has(key)) {
    *value = reader->Number(key);
  }
}

std::string AttemptUrl(const AttemptId& attempt) {
  return std::string(kAttempts) + "/" + attempt.value;
}

// Reads a header that must occur exactly once and not be empty. Otherwise sets
// `missing` to its name.
std::string RequiredHeader(const HttpHeaders& headers,
                           std::string_view name,
                           std::string* missing) {
  const auto value = FindHeader(headers, name);
  if (!value || value->empty()) {
    *missing = name;
    return "";
  }
  return std::string(*value);
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Leases
//-----------------------------------------------------------------------------

HttpCall EncodeLease(const LeaseRequest& request) {
  return PostJson("/v1/lease", {{"holder", request.holder.value},
                                {"incarnation", request.incarnation.value},
                                {"duration_ms", ToMs(request.duration)}});
}

HttpCall EncodeLeaseRelease(const LeaseId& lease) {
  return {.method = HttpMethod::kDelete, .path = "/v1/lease/" + lease.value};
}

Result<LeaseRequest> ParseLease(std::string_view body) {
  const Json object = json_internal::Parse(body);
  Reader reader(object, "parse_lease");
  LeaseRequest request;
  request.holder = DaemonId(reader.Name("holder"));
  request.incarnation = Incarnation(reader.Number("incarnation"));
  request.duration = ReadMs(&reader, "duration_ms");
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return request;
}

HttpResponse FormatLeaseResponse(const LeaseResponse& answer) {
  if (const auto* conflict = std::get_if<LeaseConflict>(&answer)) {
    return JsonResponse(409, {{"holder", conflict->holder.value},
                              {"latest", conflict->latest.value}});
  }
  const auto& grant = std::get<LeaseGrant>(answer);
  return JsonResponse(200, {{"lease", grant.lease.value},
                            {"boot", grant.boot.value},
                            {"clock_us", grant.clock_us},
                            {"slots", grant.slots.value},
                            {"used", grant.used.value},
                            {"leaving", grant.leaving}});
}

Result<LeaseResponse> ParseLeaseResponse(int status, std::string_view body) {
  static constexpr char kStep[] = "lease";
  if (status != 200 && status != 409) {
    return UnexpectedStatus(kStep, status);
  }
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  LeaseResponse answer;
  if (status == 409) {
    LeaseConflict conflict;
    conflict.holder = DaemonId(reader.Name("holder"));
    conflict.latest = Incarnation(reader.Number("latest"));
    answer = conflict;
  } else {
    LeaseGrant grant;
    grant.lease = LeaseId(reader.Name("lease"));
    grant.boot = BootId(reader.Name("boot"));
    grant.clock_us = static_cast<std::int64_t>(reader.Number("clock_us"));
    grant.slots = SlotCount(static_cast<std::int64_t>(reader.Number("slots")));
    grant.used = SlotCount(static_cast<std::int64_t>(reader.Number("used")));
    grant.leaving = reader.Bool("leaving");
    answer = grant;
  }
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Heartbeats
//-----------------------------------------------------------------------------

HttpCall EncodeHeartbeat(const HeartbeatRequest& request) {
  return PostJson("/v1/heartbeat", {{"lease", request.lease.value},
                                    {"until_us", request.until_us}});
}

Result<HeartbeatRequest> ParseHeartbeat(std::string_view body) {
  const Json object = json_internal::Parse(body);
  Reader reader(object, "parse_heartbeat");
  HeartbeatRequest request;
  request.lease = LeaseId(reader.Name("lease"));
  request.until_us = static_cast<std::int64_t>(reader.Number("until_us"));
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return request;
}

HttpResponse FormatHeartbeatResponse(const HeartbeatResponse& answer) {
  Json running = Json::array();
  for (const AttemptId& attempt : answer.running) {
    running.push_back(attempt.value);
  }
  return JsonResponse(200, {{"boot", answer.boot.value},
                            {"clock_us", answer.clock_us},
                            {"leaving", answer.leaving},
                            {"running", running},
                            {"slots", answer.slots.value},
                            {"used", answer.used.value}});
}

Result<HeartbeatResponse> ParseHeartbeatResponse(int status,
                                                 std::string_view body) {
  static constexpr char kStep[] = "heartbeat";
  if (status != 200) {
    return UnexpectedStatus(kStep, status);
  }
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  HeartbeatResponse answer;
  answer.boot = BootId(reader.Name("boot"));
  answer.clock_us = static_cast<std::int64_t>(reader.Number("clock_us"));
  answer.leaving = reader.Bool("leaving");
  for (std::string& attempt : reader.Strings("running")) {
    answer.running.emplace_back(std::move(attempt));
  }
  answer.slots = SlotCount(static_cast<std::int64_t>(reader.Number("slots")));
  answer.used = SlotCount(static_cast<std::int64_t>(reader.Number("used")));
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Attempts
//-----------------------------------------------------------------------------

HttpCall EncodeAttempt(AttemptRequest request) {
  HttpCall call{.method = HttpMethod::kPost, .path = std::string(kAttempts)};
  call.headers = {
      {"Content-Type", "application/octet-stream"},
      {"Peridot-Attempt", request.attempt.value},
      {"Peridot-Lease", request.lease.value},
      {"Peridot-Boot", request.boot.value},
      {"Peridot-Not-After-Us", std::to_string(request.not_after_us)},
      {"Peridot-Run-Ms", std::to_string(ToMs(request.run))},
      {"Peridot-Idempotent", request.idempotent ? "true" : "false"}};
  if (!request.task.value.empty()) {
    call.headers.push_back({"Peridot-Task", request.task.value});
  }
  if (!request.team.value.empty()) {
    call.headers.push_back({"Peridot-Team", request.team.value});
  }
  call.body = std::move(request.body);
  return call;
}

Result<AttemptRequest> ParseAttempt(const HttpHeaders& headers,
                                    std::string body) {
  static constexpr char kStep[] = "parse_attempt";
  std::string missing;
  AttemptRequest request;
  request.attempt =
      AttemptId(RequiredHeader(headers, "Peridot-Attempt", &missing));
  request.lease = LeaseId(RequiredHeader(headers, "Peridot-Lease", &missing));
  request.boot = BootId(RequiredHeader(headers, "Peridot-Boot", &missing));
  const std::string not_after =
      RequiredHeader(headers, "Peridot-Not-After-Us", &missing);
  const std::string run = RequiredHeader(headers, "Peridot-Run-Ms", &missing);
  const std::string idempotent =
      RequiredHeader(headers, "Peridot-Idempotent", &missing);
  if (!missing.empty()) {
    return Malformed(
        kStep, "expected header " + missing + " exactly once and not empty");
  }
  const auto not_after_us = ParseNumber(not_after);
  const auto run_ms = ParseNumber(run);
  const bool valid = IsAttemptId(request.attempt.value) && not_after_us &&
                     run_ms && *run_ms <= kMaxDurationMs &&
                     (idempotent == "true" || idempotent == "false");
  if (!valid) {
    return Malformed(kStep, "a header of the attempt has an invalid value");
  }
  request.not_after_us = static_cast<std::int64_t>(*not_after_us);
  request.run = std::chrono::milliseconds(*run_ms);
  request.idempotent = idempotent == "true";
  request.task =
      TaskId(std::string(FindHeader(headers, "Peridot-Task").value_or("")));
  request.team =
      TeamId(std::string(FindHeader(headers, "Peridot-Team").value_or("")));
  request.body = std::move(body);
  return request;
}

HttpCall EncodeAttemptState(const AttemptId& attempt) {
  return {.method = HttpMethod::kGet, .path = AttemptUrl(attempt)};
}

HttpCall EncodeAttemptStop(const AttemptId& attempt) {
  return {.method = HttpMethod::kDelete, .path = AttemptUrl(attempt)};
}

HttpCall EncodeFence(const AttemptId& attempt, const BootId& boot) {
  HttpCall call{.method = HttpMethod::kPost,
                .path = AttemptUrl(attempt) + std::string(kFenceSuffix)};
  if (!boot.value.empty()) {
    call.headers.push_back({"Peridot-Boot", boot.value});
  }
  return call;
}

Result<AttemptPath> ParseAttemptPath(std::string_view path) {
  const std::string prefix = std::string(kAttempts) + "/";
  AttemptPath parsed;
  if (path.starts_with(prefix)) {
    path.remove_prefix(prefix.size());
    parsed.fence = path.ends_with(kFenceSuffix);
    path.remove_suffix(parsed.fence ? kFenceSuffix.size() : 0);
    parsed.attempt = AttemptId(std::string(path));
  }
  if (!IsAttemptId(parsed.attempt.value)) {
    return Malformed("parse_path", "expected /v1/attempts/{id}[/fence]");
  }
  return parsed;
}

bool IsAttemptId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxAttemptIdLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-';
         });
}

//-----------------------------------------------------------------------------
// [SECTION] Responses to attempts
//-----------------------------------------------------------------------------

const char* NeverStartedReasonName(NeverStartedReason reason) {
  return NameOf(kReasons, reason);
}

const char* AttemptStateName(AttemptState state) {
  return NameOf(kStates, state);
}

const char* ResponseFaultName(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::kNone:
      return "none";
    case ResponseFault::kWrongAttempt:
      return "wrong_attempt";
    case ResponseFault::kWrongLength:
      return "wrong_length";
    case ResponseFault::kWrongDigest:
      return "wrong_digest";
    case ResponseFault::kMalformed:
      return "malformed";
  }
  return "malformed";
}

AttemptResponse CheckAttemptResponse(const AttemptId& asked,
                                     int status,
                                     const HttpHeaders& headers,
                                     std::string body) {
  AttemptResponse answer;
  if (FindHeader(headers, "Peridot-Attempt") != asked.value) {
    answer.fault = ResponseFault::kWrongAttempt;
    return answer;
  }
  const auto length =
      ParseNumber(FindHeader(headers, "Content-Length").value_or(""));
  if (length != body.size()) {
    answer.fault = ResponseFault::kWrongLength;
    return answer;
  }
  const bool has_digest = CountHeaders(headers, "Peridot-Digest") > 0;
  if (!has_digest) {
    return ReadState(status, body);
  }
  if (status != 200) {
    return answer;
  }
  const std::string digest = Sha256Hex(body);
  if (digest.empty() || FindHeader(headers, "Peridot-Digest") != digest) {
    answer.fault = ResponseFault::kWrongDigest;
    return answer;
  }
  answer.fault = ResponseFault::kNone;
  answer.state = AttemptState::kDone;
  answer.has_result = true;
  answer.body = std::move(body);
  return answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Fences
//-----------------------------------------------------------------------------

HttpResponse FormatAttemptResult(const AttemptId& attempt, std::string body) {
  HttpResponse answer;
  answer.headers = {{"Content-Type", "application/octet-stream"},
                    {"Peridot-Attempt", attempt.value},
                    {"Peridot-Digest", Sha256Hex(body)}};
  answer.body = std::move(body);
  return answer;
}

HttpResponse FormatNeverStarted(const AttemptId& attempt,
                                NeverStartedReason reason) {
  HttpResponse answer = JsonResponse(
      409, {{"state", NameOf(kStates, AttemptState::kNeverStarted)},
            {"reason", NameOf(kReasons, reason)}});
  answer.headers.push_back({"Peridot-Attempt", attempt.value});
  return answer;
}

HttpResponse FormatAttemptFailed(const AttemptId& attempt) {
  HttpResponse answer = FormatAttemptState(attempt, AttemptState::kFailed);
  answer.status = 500;
  return answer;
}

HttpResponse FormatAttemptState(const AttemptId& attempt, AttemptState state) {
  HttpResponse answer = JsonResponse(200, {{"state", NameOf(kStates, state)}});
  answer.headers.push_back({"Peridot-Attempt", attempt.value});
  return answer;
}

//-----------------------------------------------------------------------------
// [SECTION] Run records and injected faults of the stand-in
//-----------------------------------------------------------------------------

HttpResponse FormatRuns(const std::vector<RunRecord>& runs) {
  Json list = Json::array();
  for (const RunRecord& run : runs) {
    list.push_back({{"attempt", run.attempt.value},
                    {"task", run.task.value},
                    {"team", run.team.value},
                    {"started_us", run.started_us},
                    {"ended_us", run.ended_us},
                    {"outcome", run.outcome}});
  }
  return JsonResponse(200, list);
}

Result<std::vector<RunRecord>> ParseRuns(std::string_view body) {
  static constexpr char kStep[] = "parse_runs";
  const Json list = json_internal::Parse(body);
  if (!list.is_array()) {
    return Malformed(kStep, "expected an array");
  }
  std::vector<RunRecord> runs;
  for (const Json& entry : list) {
    Reader reader(entry, kStep);
    RunRecord run;
    run.attempt = AttemptId(reader.Name("attempt"));
    run.task = TaskId(reader.String("task"));
    run.team = TeamId(reader.String("team"));
    run.started_us = static_cast<std::int64_t>(reader.Number("started_us"));
    run.ended_us = static_cast<std::int64_t>(reader.Number("ended_us"));
    run.outcome = reader.String("outcome");
    if (!reader.Ok()) {
      return reader.MakeFault();
    }
    runs.push_back(std::move(run));
  }
  return runs;
}

HttpCall EncodeEndpointFaults(const EndpointFaults& faults) {
  Json body = Json::object();
  PutIfSet(&body, "fail_all", faults.fail_all);
  PutIfSet(&body, "silent", faults.silent);
  PutIfSet(&body, "leaving", faults.leaving);
  PutIfSet(&body, "pause_ms", faults.pause_ms);
  PutIfSet(&body, "lose_answers", faults.lose_answers);
  PutIfSet(&body, "wrong_answers", faults.wrong_answers);
  PutIfSet(&body, "truncate", faults.truncate);
  return PostJson("/v1/fault", body);
}

Result<EndpointFaults> ParseEndpointFaults(std::string_view body) {
  const Json object = json_internal::Parse(body);
  Reader reader(object, "parse_fault");
  EndpointFaults faults;
  ReadIfSet(&reader, "fail_all", &faults.fail_all);
  ReadIfSet(&reader, "silent", &faults.silent);
  ReadIfSet(&reader, "leaving", &faults.leaving);
  ReadIfSet(&reader, "pause_ms", &faults.pause_ms);
  ReadIfSet(&reader, "lose_answers", &faults.lose_answers);
  ReadIfSet(&reader, "wrong_answers", &faults.wrong_answers);
  ReadIfSet(&reader, "truncate", &faults.truncate);
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return faults;
}

}  // namespace peridot
