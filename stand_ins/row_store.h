// Model of the platform's store of versioned rows: conditional transactions,
// ordered reads, and the changes since a version.
//
// Index:
//   [SECTION] RowStore
//
// A pure state machine without I/O. Not thread-safe.

#ifndef STAND_INS_ROW_STORE_H_
#define STAND_INS_ROW_STORE_H_

#include <cstddef>
#include <map>
#include <string>
#include <tuple>

#include "src/daemon/fleet_ports.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] RowStore
//-----------------------------------------------------------------------------

class RowStore {
 public:
  // Applies all entries or none. Returns kOk with the new version, or kConflict
  // with the current rows of the conditions.
  StoreReply Transact(const StoreTransaction& transaction);

  // Returns at most `max_rows` rows of a part, ordered by key, from the key
  // `from` up to but excluding `to` (empty: no end).
  StoreReply Read(const StoreKey& from,
                  const std::string& to,
                  std::size_t max_rows) const;

  // Returns the rows of a table that changed after the version, ordered by
  // version and including removed ones.
  StoreReply Changes(const std::string& table, RowVersion after) const;

  RowVersion Version() const { return this->version; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  static Key KeyOf(const StoreKey& key) {
    return {key.table, key.part, key.key};
  }
  StoreRow RowAt(const StoreKey& key) const;

  std::map<Key, StoreRow> rows;  // removed ones are kept for Changes()
  RowVersion version;
};

}  // namespace peridot

#endif  // STAND_INS_ROW_STORE_H_
