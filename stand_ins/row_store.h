// Model of the platform's store of versioned rows: transactions under
// conditions, ordered reads, and changes after a version.
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
  // kOk with the version written, or kConflict with the rows of the conditions
  // as they are. All entries are applied, or none.
  StoreReply Transact(const StoreTransaction& transaction);

  // Rows of a part from a key on, up to but without `to` (empty: no end), at
  // most so many.
  StoreReply Read(const StoreKey& from,
                  const std::string& to,
                  std::size_t most) const;

  // Rows of a table that changed after the version, in order, removed ones
  // included; none if nothing has changed.
  StoreReply Changes(const std::string& table, RowVersion after) const;

  RowVersion Version() const { return this->version; }

 private:
  using Key = std::tuple<std::string, std::string, std::string>;

  static Key KeyOf(const StoreKey& key) {
    return {key.table, key.part, key.key};
  }
  StoreRow RowAt(const StoreKey& key) const;

  std::map<Key, StoreRow> rows;  // removed ones stay, for Changes()
  RowVersion version;
};

}  // namespace peridot

#endif  // STAND_INS_ROW_STORE_H_
