// Model of the platform's transactional table (docs/design.md, 14.3).
//
// Index:
//   [SECTION] Faults
//   [SECTION] Reads
//   [SECTION] TableStore
//
// A value without I/O: the instant is an argument, so the same model runs
// behind the stand-in's HTTP server and as a fake in unit tests.
//
// Example:
//   TableStore store;
//   auto answer = store.Transact(
//       {"op1", {{"k", RowVersion(0)}}, {{"k", "v"}}, {}}, now);
//   answer.value().outcome == CommitOutcome::kCommitted;
//   store.Read({.keys = {"k"}}, now).value().front().value == "v";
//
// Known shortcoming: committed operation ids are kept for the store's lifetime.

#ifndef STAND_INS_TABLE_STORE_H_
#define STAND_INS_TABLE_STORE_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "src/state/clock.h"
#include "src/state/error.h"
#include "src/state/table_types.h"
#include "stand_ins/store_faults.h"
#include "stand_ins/token_bucket.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// A write is one transaction, whatever its number of rows. The model does not
// wait: whoever drives it delays answers by `latency`.
using TableFaults = StoreFaults;

//-----------------------------------------------------------------------------
// [SECTION] Reads
//-----------------------------------------------------------------------------

struct TableReadRequest {
  std::vector<std::string> keys{};      // default: none
  std::vector<std::string> prefixes{};  // default: none; "" matches every key
};

//-----------------------------------------------------------------------------
// [SECTION] TableStore
//-----------------------------------------------------------------------------

// Not thread-safe.
class TableStore {
 public:
  // Applies the transaction as a whole or not at all.
  //   kCommitted   took effect now, or at an earlier call with its operation id
  //   kConflict    a check failed; `conflicts` lists the rows as they are
  //   kUnknown     the answer is lost by fault; the operation was carried out
  // Errors: kUnavailable (down or over the rate cap; no effect),
  // kInvalidArgument (no operation id, an empty key, or a key written twice).
  //
  // The version of a written row is the number of the commit, so a version is
  // never used twice, not even by a row that was erased and created again.
  Result<CommitAnswer> Transact(const TableTransaction& transaction,
                                Instant now);

  // Returns the rows that exist, each once, in order of their keys, all as of
  // one instant. Errors: kUnavailable (down or over the rate cap).
  Result<std::vector<TableRow>> Read(const TableReadRequest& request,
                                     Instant now);

  // Replaces the faults. A changed rate starts with a full bucket.
  void SetFaults(const TableFaults& faults);
  const TableFaults& Faults() const { return this->faults; }

 private:
  std::vector<TableCheck> FindConflicts(
      const TableTransaction& transaction) const;
  CommitAnswer Apply(const TableTransaction& transaction);
  RowVersion VersionOf(const std::string& key) const;

  std::map<std::string, TableRow> rows;
  std::unordered_map<std::string, CommitAnswer> committed;  // by operation id
  std::uint64_t last_commit = 0;                            // default: 0
  TableFaults faults;
  TokenBucket writes{TableFaults{}.writes_per_s};
  TokenBucket reads{TableFaults{}.reads_per_s};
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_TABLE_STORE_H_
