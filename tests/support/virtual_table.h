// The platform's table in memory, for simulations of decision modules.
//
// A transaction is applied at once, and at most once per operation id; a repeat
// returns the first answer. Row versions are never reused, not even after a row
// was erased. Not thread-safe.

#ifndef TESTS_SUPPORT_VIRTUAL_TABLE_H_
#define TESTS_SUPPORT_VIRTUAL_TABLE_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/state/table_types.h"

namespace peridot::testing {

class VirtualTable {
 public:
  CommitAnswer Transact(const TableTransaction& transaction) {
    const auto repeat = this->committed.find(transaction.operation_id);
    if (repeat != this->committed.end()) {
      return repeat->second;
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
    ++this->writes;
    answer.outcome = CommitOutcome::kCommitted;
    for (const TablePut& put : transaction.puts) {
      const RowVersion version(++this->last_version);
      this->rows[put.key] = {put.key, version, put.value};
      answer.versions.push_back({put.key, version});
    }
    for (const std::string& key : transaction.erases) {
      this->rows.erase(key);
    }
    this->committed[transaction.operation_id] = answer;
    return answer;
  }

  // Returns version 0 for a row that does not exist.
  TableRow Read(const std::string& key) const {
    const auto found = this->rows.find(key);
    return found == this->rows.end() ? TableRow{key, {}, {}} : found->second;
  }

  std::vector<TableRow> ReadPrefix(const std::string& prefix) const {
    std::vector<TableRow> found;
    for (auto row = this->rows.lower_bound(prefix);
         row != this->rows.end() && row->first.starts_with(prefix); ++row) {
      found.push_back(row->second);
    }
    return found;
  }

  std::size_t RowCount() const { return this->rows.size(); }
  std::int64_t Writes() const { return this->writes; }

 private:
  std::map<std::string, TableRow> rows;
  std::map<std::string, CommitAnswer> committed;
  std::uint64_t last_version = 0;
  std::int64_t writes = 0;
};

}  // namespace peridot::testing

#endif  // TESTS_SUPPORT_VIRTUAL_TABLE_H_
