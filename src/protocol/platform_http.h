// HTTP messages of the platform's table, object store and membership list.
//
// Index:
//   [SECTION] Table
//   [SECTION] Object store
//   [SECTION] Membership
//   [SECTION] Injected faults of the stand-ins
//
// Each exchange has an encoder for the side that sends it and a parser for the
// side that receives it.

#ifndef SRC_PROTOCOL_PLATFORM_HTTP_H_
#define SRC_PROTOCOL_PLATFORM_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/protocol/http_headers.h"
#include "src/state/error.h"
#include "src/state/ids.h"
#include "src/state/table_types.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

// Fails if a key or value is not UTF-8, or the operation id is empty.
Result<HttpCall> EncodeTransact(const TableTransaction& transaction);
Result<TableTransaction> ParseTransact(std::string_view body);

// Requires an outcome other than kUnknown, which a table never returns.
Result<HttpResponse> FormatCommitAnswer(const CommitAnswer& answer);

// 200 is kCommitted, 409 kConflict; `committed` in the body must agree. A
// response that violates this, or 5xx, returns kUnknown: the transaction may
// have been applied. Any other status is an error: the transaction was not
// applied.
Result<CommitAnswer> ParseCommitAnswer(int status, std::string_view body);

struct TableRead {
  std::vector<std::string> keys;
  std::vector<std::string> prefixes;
};

Result<HttpCall> EncodeRead(const TableRead& read);
Result<TableRead> ParseRead(std::string_view body);
Result<HttpResponse> FormatRows(const std::vector<TableRow>& rows);
// Rows that do not exist are absent from the result.
Result<std::vector<TableRow>> ParseRows(int status, std::string_view body);

//-----------------------------------------------------------------------------
// [SECTION] Object store
//-----------------------------------------------------------------------------

enum class ObjectPutMode { kReplace, kMustNotExist };

// Returns whether the text can be an object's name: 1 to 512 characters of a-z,
// A-Z, 0-9, ".", "_", "-" and "/".
bool IsObjectName(std::string_view text);

// These require a name for which IsObjectName() holds. The prefix of a list may
// also be empty.
HttpCall EncodePutObject(const std::string& name,
                         std::string content,
                         ObjectPutMode mode);
HttpCall EncodeGetObject(const std::string& name);
HttpCall EncodeDeleteObject(const std::string& name);
HttpCall EncodeListObjects(const std::string& prefix);

// Returns the name in `/v1/objects/{name}`.
Result<std::string> ParseObjectPath(std::string_view path);

// Returns the prefix in the query `prefix=...`; empty if there is none.
Result<std::string> ParseObjectQuery(std::string_view query);

// {"objects": [names]}.
HttpResponse FormatObjectList(const std::vector<std::string>& names);
Result<std::vector<std::string>> ParseObjectList(int status,
                                                 std::string_view body);

enum class ObjectPutOutcome {
  kStored,
  kExists,   // 412: kMustNotExist and the object exists
  kUnknown,  // 5xx: may have been stored
};
Result<ObjectPutOutcome> ParsePutObjectResponse(int status);

//-----------------------------------------------------------------------------
// [SECTION] Membership
//-----------------------------------------------------------------------------

enum class HostState { kLive, kLeaving };

const char* HostStateName(HostState state);

struct HostRecord {
  HostId host;
  EndpointId endpoint;  // "address:port"
  ZoneId zone;
  RackId rack;
  PoolId pool;
  HostState state = HostState::kLive;
};

HttpCall EncodeListHosts();
HttpResponse FormatHosts(const std::vector<HostRecord>& hosts);
// Fails if a host occurs twice, because it is ambiguous which record is valid.
Result<std::vector<HostRecord>> ParseHosts(int status, std::string_view body);

HttpCall EncodePutHost(const HostRecord& host);
Result<HostRecord> ParseHost(std::string_view body);
HttpCall EncodeDeleteHost(const HostId& host);

//-----------------------------------------------------------------------------
// [SECTION] Injected faults of the stand-ins
//-----------------------------------------------------------------------------

// Faults that a stand-in injects. A field without a value leaves the fault
// unchanged.
struct PlatformFaults {
  std::optional<bool> down{};
  std::optional<std::uint64_t> latency_ms{};
  std::optional<std::uint64_t> lose_answers{};  // number of responses
  std::optional<std::uint64_t> writes_per_s{};
  std::optional<std::uint64_t> reads_per_s{};
  std::optional<std::uint64_t> lag_ms{};  // membership only
};

HttpCall EncodePlatformFaults(const PlatformFaults& faults);
Result<PlatformFaults> ParsePlatformFaults(std::string_view body);

}  // namespace peridot

#endif  // SRC_PROTOCOL_PLATFORM_HTTP_H_
