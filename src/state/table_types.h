// Types of the platform's transactional table.
//
// Index:
//   [SECTION] Rows
//   [SECTION] Transactions
//
// A transaction commits as a whole or not at all. Its operation id makes a
// repeat of the same transaction harmless: the table applies it once.

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
  std::string key;     // default: empty; as in "host/h1"
  RowVersion version;  // default: 0, the version of a row that does not exist
  std::string value;   // default: empty
};

// Returns the row with the key, or one of version 0 if it is not there.
TableRow FindRow(const std::vector<TableRow>& rows, const std::string& key);

//-----------------------------------------------------------------------------
// [SECTION] Transactions
//-----------------------------------------------------------------------------

// Requires that the row has this version at commit; 0: it must not exist.
struct TableCheck {
  std::string key;     // default: empty
  RowVersion version;  // default: 0
};

struct TablePut {
  std::string key;    // default: empty
  std::string value;  // default: empty
};

struct TableTransaction {
  std::string operation_id;         // default: empty; unique per operation
  std::vector<TableCheck> checks;   // default: none
  std::vector<TablePut> puts;       // default: none
  std::vector<std::string> erases;  // default: none; keys
};

enum class CommitOutcome {
  kCommitted,  // took effect, now or at an earlier try
  kConflict,   // a check failed, nothing took effect
  kUnknown,    // no answer: read back before deciding anything
};

struct CommitAnswer {
  CommitOutcome outcome = CommitOutcome::kUnknown;  // default: kUnknown
  std::vector<TableCheck> conflicts;  // default: none; rows as they are now
  std::vector<TableCheck> versions;   // default: none; rows written
};

}  // namespace peridot

#endif  // SRC_STATE_TABLE_TYPES_H_
