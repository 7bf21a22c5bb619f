// Client of the platform's transactional table.
//
// Index:
//   [SECTION] TableClient

#ifndef SRC_DAEMON_TABLE_CLIENT_H_
#define SRC_DAEMON_TABLE_CLIENT_H_

#include <functional>
#include <string>
#include <vector>

#include "src/state/error.h"
#include "src/state/table_types.h"
#include "src/transport/http_client.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] TableClient
//-----------------------------------------------------------------------------

// Not thread-safe: use it on the event loop's thread only. Each callback is
// called once, from the loop. The client never retries a request.
class TableClient {
 public:
  using ReadCallback = std::function<void(Result<std::vector<TableRow>>)>;
  using CommitCallback = std::function<void(CommitAnswer)>;

  TableClient(HttpClient* http, HttpPeer peer);

  // Reads keys and prefixes in one snapshot and omits rows that do not exist.
  // Errors: kUnavailable, kMalformed.
  void Read(std::vector<std::string> keys,
            std::vector<std::string> prefixes,
            ReadCallback callback);

  // Commits a transaction. The outcome is kUnknown unless the table's answer is
  // conclusive. It is also kUnknown for a request that was never sent or that
  // the table refused before trying it, because kConflict without rows would be
  // wrong for these.
  void Transact(const TableTransaction& transaction, CommitCallback callback);

 private:
  HttpClient* http;
  HttpPeer peer;
};

}  // namespace peridot

#endif  // SRC_DAEMON_TABLE_CLIENT_H_
