// Rows of the store that list the endpoints that may hold work, for the next
// owner.
//
// Index:
//   [SECTION] UsedEndpointRows
//
// The list is split into rows by endpoint id. A single row would exceed the
// store's row size at about a thousand endpoints, and the store would then
// reject every write of the owner; besides, one changed endpoint would rewrite
// the whole list.
//
// Not thread-safe.

#ifndef SRC_DAEMON_USED_ENDPOINT_ROWS_H_
#define SRC_DAEMON_USED_ENDPOINT_ROWS_H_

#include <array>
#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/coordination/job_scheduler.h"
#include "src/daemon/fleet_ports.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] UsedEndpointRows
//-----------------------------------------------------------------------------

class UsedEndpointRows {
 public:
  // Number of rows. An endpoint takes about 80 bytes in base64, so that 16 rows
  // of 64 KiB hold 10,000 endpoints.
  static constexpr std::size_t kRows = 16;

  // A row of the table was read when the ownership began.
  void OnRead(const std::string& key);

  // Adds the rows that differ from the stored ones to the transaction: at most
  // kRows entries, and one removal of each row with a key of an older version.
  // A row that would exceed `max_bytes` omits the unanswered starts, since the
  // store would reject the whole transaction.
  void AddChanges(const std::vector<UsedEndpoint>& endpoints,
                  std::size_t max_bytes,
                  StoreTransaction* transaction);

  // The last transaction passed to AddChanges() has been stored.
  void OnStored();

 private:
  using Row = std::vector<UsedEndpoint>;

  // As stored; none: unknown. A row is unknown from the moment it is written
  // until OnStored(): a write without an answer may still be performed, and the
  // next write must then replace the row.
  std::array<std::optional<Row>, kRows> stored;
  std::array<Row, kRows> writing;
  std::set<std::string> obsolete;  // keys that this version does not write
};

}  // namespace peridot

#endif  // SRC_DAEMON_USED_ENDPOINT_ROWS_H_
