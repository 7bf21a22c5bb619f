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

// Not thread-safe: lives on the loop's thread. Callbacks are called once each,
// from the loop. The client never repeats a request.
class TableClient {
 public:
  using ReadCallback = std::function<void(Result<std::vector<TableRow>>)>;
  using CommitCallback = std::function<void(CommitAnswer)>;

  TableClient(HttpClient* http, HttpPeer peer);

  // Reads keys and prefixes as one snapshot. Rows that do not exist are left
  // out. Errors: kUnavailable, kMalformed.
  void Read(std::vector<std::string> keys,
            std::vector<std::string> prefixes,
            ReadCallback callback);

  // Anything but a clear answer is kUnknown, except a request that was surely
  // never sent or was refused by the table before it was tried: kConflict with
  // no rows would be wrong for these, so they are kUnknown too.
  void Transact(const TableTransaction& transaction, CommitCallback callback);

 private:
  HttpClient* http;
  HttpPeer peer;
};

}  // namespace peridot

#endif  // SRC_DAEMON_TABLE_CLIENT_H_
