// Types of the platform's transactional table.
//
// Index:
//   [SECTION] Rows
//   [SECTION] Transactions
//
// A transaction commits as a whole or not at all. The table applies each
// operation id at most once, so the same transaction may be sent repeatedly.

#ifndef SRC_STATE_TABLE_TYPES_H_
#define SRC_STATE_TABLE_TYPES_H_

#include <string>
#include <vector>

#include "src/state/ids.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Rows
//-----------------------------------------------------------------------------

struct TableRow {
  std::string key;     // as in "host/h1"
  RowVersion version;  // 0: the row does not exist
  std::string value;
};

// Returns the row with the key, or a row of version 0 if there is none.
TableRow FindRow(const std::vector<TableRow>& rows, const std::string& key);

//-----------------------------------------------------------------------------
// [SECTION] Transactions
//-----------------------------------------------------------------------------

// Requires that the row has this version at commit; 0: it must not exist.
struct TableCheck {
  std::string key;
  RowVersion version;
};

struct TablePut {
  std::string key;
  std::string value;
};

struct TableTransaction {
  std::string operation_id;  // unique per operation
  std::vector<TableCheck> checks;
  std::vector<TablePut> puts;
  std::vector<std::string> erases;  // keys
};

enum class CommitOutcome {
  kCommitted,  // took effect, now or at an earlier attempt
  kConflict,   // a check failed, so nothing took effect
  kUnknown,    // no answer: read the rows back to determine the outcome
};

struct CommitAnswer {
  CommitOutcome outcome = CommitOutcome::kUnknown;
  std::vector<TableCheck> conflicts;  // current versions of the rows
  std::vector<TableCheck> versions;   // versions of the rows written
};

}  // namespace peridot

#endif  // SRC_STATE_TABLE_TYPES_H_
