// Model of the platform's transactional table.
//
// Index:
//   [SECTION] Faults
//   [SECTION] Reads
//   [SECTION] TableStore
//
// A state machine without I/O or clock: each call gets the current instant, so
// the same model runs behind the stand-in's HTTP server and as a fake in unit
// tests.
//
// Example:
//   TableStore store;
//   auto answer = store.Transact(
//       {"op1", {{"k", RowVersion(0)}}, {{"k", "v"}}, {}}, now);
//   answer.value().outcome == CommitOutcome::kCommitted;
//   store.Read({.keys = {"k"}}, now).value().front().value == "v";
//
// Limitation: committed operation ids are kept for the lifetime of the
// store.

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

// A transaction counts as one write, whatever its number of rows. The model
// does not wait: its caller delays responses by `latency`.
using TableFaults = StoreFaults;

//-----------------------------------------------------------------------------
// [SECTION] Reads
//-----------------------------------------------------------------------------

struct TableReadRequest {
  std::vector<std::string> keys{};
  std::vector<std::string> prefixes{};  // "" matches every key
};

//-----------------------------------------------------------------------------
// [SECTION] TableStore
//-----------------------------------------------------------------------------

// Not thread-safe.
class TableStore {
 public:
  // Applies the whole transaction or nothing.
  //   kCommitted   took effect now or in an earlier call with the operation id
  //   kConflict    a check failed; `conflicts` lists the current versions
  //   kUnknown     the response is lost by fault; the transaction was executed
  // Errors: kUnavailable (down or over the rate limit; no effect),
  // kInvalidArgument (no operation id, an empty key, or a key written twice).
  //
  // The version of a written row is the number of the commit, so a version is
  // never reused, not even by a row that was erased and created again.
  Result<CommitAnswer> Transact(const TableTransaction& transaction,
                                Instant now);

  // Returns a snapshot of the rows that exist, each once, ordered by key.
  // Errors: kUnavailable (down or over the rate limit).
  Result<std::vector<TableRow>> Read(const TableReadRequest& request,
                                     Instant now);

  // Replaces the faults. Changing a rate refills its token bucket.
  void SetFaults(const TableFaults& faults);
  const TableFaults& Faults() const { return this->faults; }

 private:
  std::vector<TableCheck> FindConflicts(
      const TableTransaction& transaction) const;
  CommitAnswer Apply(const TableTransaction& transaction);
  RowVersion VersionOf(const std::string& key) const;

  std::map<std::string, TableRow> rows;
  std::unordered_map<std::string, CommitAnswer> committed;  // by operation id
  std::uint64_t last_commit = 0;
  TableFaults faults;
  TokenBucket writes{TableFaults{}.writes_per_s};
  TokenBucket reads{TableFaults{}.reads_per_s};
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_TABLE_STORE_H_
