// The platform's table in memory, with row versions, checks and operation ids.
//
// A transaction takes effect immediately; the test simulates delay, loss and
// outages. Not thread-safe.

#ifndef TESTS_SUPPORT_FAKE_TABLE_H_
#define TESTS_SUPPORT_FAKE_TABLE_H_

#include <map>
#include <string>

#include "src/state/table_types.h"

namespace peridot::testing {

struct FakeTable {
  std::map<std::string, TableRow> rows;
  std::map<std::string, CommitAnswer> applied;  // by operation id
  // False: a repeated operation id is applied again, as by a table that lost
  // its operation ids in a restart.
  bool keeps_operation_ids = true;

  TableRow Read(const std::string& key) const {
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? TableRow{key, RowVersion(0), ""}
                                     : found->second;
  }

  CommitAnswer Transact(const TableTransaction& transaction) {
    const auto earlier = this->applied.find(transaction.operation_id);
    if (earlier != this->applied.end() && this->keeps_operation_ids) {
      return earlier->second;
    }
    CommitAnswer answer;
    for (const TableCheck& check : transaction.checks) {
      const RowVersion version = this->Read(check.key).version;
      if (version != check.version) {
        answer.conflicts.push_back({check.key, version});
      }
    }
    if (!answer.conflicts.empty()) {
      answer.outcome = CommitOutcome::kConflict;
      return answer;
    }
    for (const TablePut& put : transaction.puts) {
      TableRow& row = this->rows[put.key];
      row = {put.key, RowVersion(row.version.value + 1), put.value};
      answer.versions.push_back({put.key, row.version});
    }
    answer.outcome = CommitOutcome::kCommitted;
    this->applied[transaction.operation_id] = answer;
    return answer;
  }
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_FAKE_TABLE_H_
