#include "src/protocol/platform_http.h"

#include <algorithm>
#include <set>
#include <utility>

#include "src/protocol/json_internal.h"

namespace peridot {
namespace {

using json_internal::Json;
using json_internal::Reader;

constexpr std::string_view kObjects = "/v1/objects/";
constexpr std::string_view kPrefixQuery = "prefix=";
constexpr std::size_t kMaxObjectName = 512;

Error Malformed(const char* step, const std::string& message) {
  return MakeError(ErrorCode::kMalformed, step, "platform", message);
}

Error UnexpectedStatus(const char* step, int status) {
  const ErrorCode code =
      status >= 500 ? ErrorCode::kUnavailable : ErrorCode::kInvalidArgument;
  return MakeError(code, step, "platform",
                   "unexpected response status " + std::to_string(status));
}

HttpHeaders JsonHeaders() {
  return {{"Content-Type", "application/json"}};
}

Result<HttpCall> PostJson(const char* path,
                          const Json& body,
                          const char* step) {
  BOOST_OUTCOME_TRY(text, json_internal::Dump(body, step));
  return HttpCall{.method = HttpMethod::kPost,
                  .path = path,
                  .headers = JsonHeaders(),
                  .body = std::move(text)};
}

Result<HttpResponse> JsonResponse(int status,
                                  const Json& body,
                                  const char* step) {
  BOOST_OUTCOME_TRY(text, json_internal::Dump(body, step));
  return HttpResponse{
      .status = status, .headers = JsonHeaders(), .body = std::move(text)};
}

// For names that the caller has validated or that the stand-in generates.
std::string DumpNames(const Json& body) {
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ChecksToJson(const std::vector<TableCheck>& checks) {
  Json list = Json::array();
  for (const TableCheck& check : checks) {
    list.push_back({{"key", check.key}, {"version", check.version.value}});
  }
  return list;
}

std::vector<TableCheck> ReadChecks(Reader* reader,
                                   const char* key,
                                   const char* step) {
  std::vector<TableCheck> checks;
  for (const Json& entry : reader->Array(key)) {
    Reader nested(entry, step);
    checks.push_back(
        {nested.Name("key"), RowVersion(nested.Number("version"))});
    reader->PropagateError(nested);
  }
  return checks;
}

std::vector<TableCheck> ReadVersions(const Json& object, Reader* reader) {
  std::vector<TableCheck> versions;
  if (!reader->Has("versions")) {
    return versions;
  }
  const Json& map = object["versions"];
  if (!map.is_object()) {
    reader->Fail("versions", "an object");
    return versions;
  }
  for (const auto& [key, version] : map.items()) {
    if (!version.is_number_unsigned()) {
      reader->Fail("versions", "integers");
      return versions;
    }
    versions.push_back({key, RowVersion(version.get<std::uint64_t>())});
  }
  return versions;
}

HostRecord ReadHost(Reader* reader) {
  HostRecord host;
  host.host = HostId(reader->Name("host"));
  host.endpoint = EndpointId(reader->Name("endpoint"));
  host.zone = ZoneId(reader->Name("zone"));
  host.rack = RackId(reader->Name("rack"));
  host.pool = PoolId(reader->Name("pool"));
  const std::string state = reader->String("state");
  if (state == HostStateName(HostState::kLeaving)) {
    host.state = HostState::kLeaving;
  } else if (state != HostStateName(HostState::kLive)) {
    reader->Fail("state", "live or leaving");
  }
  return host;
}

Json HostToJson(const HostRecord& host) {
  return {{"host", host.host.value}, {"endpoint", host.endpoint.value},
          {"zone", host.zone.value}, {"rack", host.rack.value},
          {"pool", host.pool.value}, {"state", HostStateName(host.state)}};
}

template <typename T>
void PutIfSet(Json* body, const char* key, const std::optional<T>& value) {
  if (value) {
    (*body)[key] = *value;
  }
}

void ReadIfSet(Reader* reader,
               const char* key,
               std::optional<std::uint64_t>* value) {
  if (reader->Has(key)) {
    *value = reader->Number(key);
  }
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

Result<HttpCall> EncodeTransact(const TableTransaction& transaction) {
  static constexpr char kStep[] = "encode_transact";
  if (transaction.operation_id.empty()) {
    return MakeError(ErrorCode::kInvalidArgument, kStep, "platform",
                     "the operation id is empty");
  }
  Json puts = Json::array();
  for (const TablePut& put : transaction.puts) {
    puts.push_back({{"key", put.key}, {"value", put.value}});
  }
  return PostJson("/v1/transact",
                  {{"op_id", transaction.operation_id},
                   {"checks", ChecksToJson(transaction.checks)},
                   {"puts", puts},
                   {"deletes", transaction.erases}},
                  kStep);
}

Result<TableTransaction> ParseTransact(std::string_view body) {
  static constexpr char kStep[] = "parse_transact";
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  TableTransaction transaction;
  transaction.operation_id = reader.Name("op_id");
  transaction.checks = ReadChecks(&reader, "checks", kStep);
  for (const Json& entry : reader.Array("puts")) {
    Reader nested(entry, kStep);
    transaction.puts.push_back({nested.Name("key"), nested.String("value")});
    reader.PropagateError(nested);
  }
  transaction.erases = reader.Strings("deletes");
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return transaction;
}

Result<HttpResponse> FormatCommitAnswer(const CommitAnswer& answer) {
  static constexpr char kStep[] = "format_commit";
  if (answer.outcome == CommitOutcome::kConflict) {
    return JsonResponse(
        409,
        {{"committed", false}, {"conflicts", ChecksToJson(answer.conflicts)}},
        kStep);
  }
  if (answer.outcome == CommitOutcome::kUnknown) {
    return MakeError(ErrorCode::kInvalidArgument, kStep, "platform",
                     "expected the outcome committed or conflict, got unknown");
  }
  Json versions = Json::object();
  for (const TableCheck& row : answer.versions) {
    versions[row.key] = row.version.value;
  }
  return JsonResponse(200, {{"committed", true}, {"versions", versions}},
                      kStep);
}

Result<CommitAnswer> ParseCommitAnswer(int status, std::string_view body) {
  static constexpr char kStep[] = "transact";
  CommitAnswer answer;
  if (status != 200 && status != 409) {
    if (status >= 500) {
      return answer;
    }
    return UnexpectedStatus(kStep, status);
  }
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  const bool committed = reader.Bool("committed");
  const std::vector<TableCheck> conflicts =
      ReadChecks(&reader, "conflicts", kStep);
  const std::vector<TableCheck> versions = ReadVersions(object, &reader);
  if (!reader.Ok() || committed != (status == 200)) {
    return answer;
  }
  answer.outcome =
      committed ? CommitOutcome::kCommitted : CommitOutcome::kConflict;
  answer.conflicts = conflicts;
  answer.versions = versions;
  return answer;
}

Result<HttpCall> EncodeRead(const TableRead& read) {
  return PostJson("/v1/read",
                  {{"keys", read.keys}, {"prefixes", read.prefixes}},
                  "encode_read");
}

Result<TableRead> ParseRead(std::string_view body) {
  const Json object = json_internal::Parse(body);
  Reader reader(object, "parse_read");
  TableRead read;
  read.keys = reader.Strings("keys");
  read.prefixes = reader.Strings("prefixes");
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return read;
}

Result<HttpResponse> FormatRows(const std::vector<TableRow>& rows) {
  Json list = Json::array();
  for (const TableRow& row : rows) {
    list.push_back({{"key", row.key},
                    {"version", row.version.value},
                    {"value", row.value}});
  }
  return JsonResponse(200, {{"rows", list}}, "format_rows");
}

Result<std::vector<TableRow>> ParseRows(int status, std::string_view body) {
  static constexpr char kStep[] = "read";
  if (status != 200) {
    return UnexpectedStatus(kStep, status);
  }
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  std::vector<TableRow> rows;
  if (!reader.Has("rows")) {
    // A response without the list must not be read as an empty table.
    reader.Fail("rows", "an array");
  }
  for (const Json& entry : reader.Array("rows")) {
    Reader nested(entry, kStep);
    rows.push_back({nested.Name("key"), RowVersion(nested.Number("version")),
                    nested.String("value")});
    reader.PropagateError(nested);
  }
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return rows;
}

//-----------------------------------------------------------------------------
// [SECTION] Object store
//-----------------------------------------------------------------------------

bool IsObjectName(std::string_view text) {
  return !text.empty() && text.size() <= kMaxObjectName &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                  (c >= '0' && c <= '9') ||
                  std::string_view("._-/").find(c) != std::string_view::npos;
         });
}

HttpCall EncodePutObject(const std::string& name,
                         std::string content,
                         ObjectPutMode mode) {
  HttpCall call{.method = HttpMethod::kPut,
                .path = std::string(kObjects) + name,
                .headers = {{"Content-Type", "application/octet-stream"}},
                .body = std::move(content)};
  if (mode == ObjectPutMode::kMustNotExist) {
    call.headers.push_back({"If-None-Match", "*"});
  }
  return call;
}

HttpCall EncodeGetObject(const std::string& name) {
  return {.method = HttpMethod::kGet, .path = std::string(kObjects) + name};
}

HttpCall EncodeDeleteObject(const std::string& name) {
  return {.method = HttpMethod::kDelete, .path = std::string(kObjects) + name};
}

HttpCall EncodeListObjects(const std::string& prefix) {
  return {.method = HttpMethod::kGet,
          .path = "/v1/objects?" + std::string(kPrefixQuery) + prefix};
}

Result<std::string> ParseObjectPath(std::string_view path) {
  if (!path.starts_with(kObjects) ||
      !IsObjectName(path.substr(kObjects.size()))) {
    return Malformed("parse_path", "expected /v1/objects/{name}");
  }
  return std::string(path.substr(kObjects.size()));
}

Result<std::string> ParseObjectQuery(std::string_view query) {
  if (query.empty() || query == kPrefixQuery) {
    return std::string();
  }
  if (!query.starts_with(kPrefixQuery) ||
      !IsObjectName(query.substr(kPrefixQuery.size()))) {
    return Malformed("parse_query", "expected prefix={prefix}");
  }
  return std::string(query.substr(kPrefixQuery.size()));
}

HttpResponse FormatObjectList(const std::vector<std::string>& names) {
  return {.status = 200,
          .headers = JsonHeaders(),
          .body = DumpNames({{"objects", names}})};
}

Result<std::vector<std::string>> ParseObjectList(int status,
                                                 std::string_view body) {
  static constexpr char kStep[] = "list_objects";
  if (status != 200) {
    return UnexpectedStatus(kStep, status);
  }
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  if (!reader.Has("objects")) {
    reader.Fail("objects", "an array");
  }
  std::vector<std::string> names = reader.Strings("objects");
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return names;
}

Result<ObjectPutOutcome> ParsePutObjectResponse(int status) {
  if (status >= 200 && status < 300) {
    return ObjectPutOutcome::kStored;
  }
  if (status == 412) {
    return ObjectPutOutcome::kExists;
  }
  if (status >= 500) {
    return ObjectPutOutcome::kUnknown;
  }
  return UnexpectedStatus("put_object", status);
}

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

const char* HostStateName(HostState state) {
  switch (state) {
    case HostState::kLive:
      return "live";
    case HostState::kLeaving:
      return "leaving";
  }
  return "leaving";
}

HttpCall EncodeListHosts() {
  return {.method = HttpMethod::kGet, .path = "/v1/hosts"};
}

HttpResponse FormatHosts(const std::vector<HostRecord>& hosts) {
  Json list = Json::array();
  for (const HostRecord& host : hosts) {
    list.push_back(HostToJson(host));
  }
  return {.status = 200,
          .headers = JsonHeaders(),
          .body = DumpNames({{"hosts", list}})};
}

Result<std::vector<HostRecord>> ParseHosts(int status, std::string_view body) {
  static constexpr char kStep[] = "list_hosts";
  if (status != 200) {
    return UnexpectedStatus(kStep, status);
  }
  const Json object = json_internal::Parse(body);
  Reader reader(object, kStep);
  if (!reader.Has("hosts")) {
    // A response without the list must not be read as an empty fleet.
    reader.Fail("hosts", "an array");
  }
  std::vector<HostRecord> hosts;
  std::set<HostId> seen;
  for (const Json& entry : reader.Array("hosts")) {
    Reader nested(entry, kStep);
    hosts.push_back(ReadHost(&nested));
    reader.PropagateError(nested);
    if (!seen.insert(hosts.back().host).second) {
      reader.Fail("hosts", "each host at most once");
    }
  }
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return hosts;
}

HttpCall EncodePutHost(const HostRecord& host) {
  return {.method = HttpMethod::kPut,
          .path = "/v1/hosts/" + host.host.value,
          .headers = JsonHeaders(),
          .body = DumpNames(HostToJson(host))};
}

Result<HostRecord> ParseHost(std::string_view body) {
  const Json object = json_internal::Parse(body);
  Reader reader(object, "parse_host");
  HostRecord host = ReadHost(&reader);
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return host;
}

HttpCall EncodeDeleteHost(const HostId& host) {
  return {.method = HttpMethod::kDelete, .path = "/v1/hosts/" + host.value};
}

//-----------------------------------------------------------------------------
// [SECTION] Injected faults of the stand-ins
//-----------------------------------------------------------------------------

HttpCall EncodePlatformFaults(const PlatformFaults& faults) {
  Json body = Json::object();
  PutIfSet(&body, "down", faults.down);
  PutIfSet(&body, "latency_ms", faults.latency_ms);
  PutIfSet(&body, "lose_answers", faults.lose_answers);
  PutIfSet(&body, "writes_per_s", faults.writes_per_s);
  PutIfSet(&body, "reads_per_s", faults.reads_per_s);
  PutIfSet(&body, "lag_ms", faults.lag_ms);
  return {.method = HttpMethod::kPost,
          .path = "/v1/fault",
          .headers = JsonHeaders(),
          .body = body.dump()};
}

Result<PlatformFaults> ParsePlatformFaults(std::string_view body) {
  const Json object = json_internal::Parse(body);
  Reader reader(object, "parse_fault");
  PlatformFaults faults;
  if (reader.Has("down")) {
    faults.down = reader.Bool("down");
  }
  ReadIfSet(&reader, "latency_ms", &faults.latency_ms);
  ReadIfSet(&reader, "lose_answers", &faults.lose_answers);
  ReadIfSet(&reader, "writes_per_s", &faults.writes_per_s);
  ReadIfSet(&reader, "reads_per_s", &faults.reads_per_s);
  ReadIfSet(&reader, "lag_ms", &faults.lag_ms);
  if (!reader.Ok()) {
    return reader.MakeFault();
  }
  return faults;
}

}  // namespace peridot
