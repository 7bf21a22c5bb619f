#include "stand_ins/table_store.h"

#include <set>
#include <utility>

namespace peridot::stand_ins {
namespace {

constexpr char kPeer[] = "table";

Error Unavailable(const char* step, const char* message) {
  return MakeError(ErrorCode::kUnavailable, step, kPeer, message);
}

Error Invalid(std::string message) {
  return MakeError(ErrorCode::kInvalidArgument, "transact", kPeer,
                   std::move(message));
}

Result<void> Validate(const TableTransaction& transaction) {
  if (transaction.operation_id.empty())
    return Invalid("the operation id is empty");
  std::set<std::string> written;
  for (const TablePut& put : transaction.puts) {
    if (!written.insert(put.key).second)
      return Invalid("key is written twice: " + put.key);
  }
  for (const std::string& key : transaction.erases) {
    if (!written.insert(key).second)
      return Invalid("key is written twice: " + key);
  }
  bool empty_key = written.contains("");
  for (const TableCheck& check : transaction.checks) {
    empty_key = empty_key || check.key.empty();
  }
  if (empty_key)
    return Invalid("a key is empty");
  return boost::outcome_v2::success();
}

}  // namespace

Result<CommitAnswer> TableStore::Transact(const TableTransaction& transaction,
                                          Instant now) {
  if (this->faults.down)
    return Unavailable("transact", "the table is down");
  BOOST_OUTCOME_TRY(Validate(transaction));
  if (!this->writes.Take(now))
    return Unavailable("transact", "over the cap on writes");

  CommitAnswer answer = this->Apply(transaction);
  if (this->faults.lose_answers > 0) {
    --this->faults.lose_answers;
    return CommitAnswer{};
  }
  return answer;
}

Result<std::vector<TableRow>> TableStore::Read(const TableReadRequest& request,
                                               Instant now) {
  if (this->faults.down)
    return Unavailable("read", "the table is down");
  if (!this->reads.Take(now))
    return Unavailable("read", "over the cap on reads");

  std::map<std::string, const TableRow*> found;
  for (const std::string& key : request.keys) {
    const auto row = this->rows.find(key);
    if (row != this->rows.end())
      found.emplace(key, &row->second);
  }
  for (const std::string& prefix : request.prefixes) {
    for (auto row = this->rows.lower_bound(prefix);
         row != this->rows.end() && row->first.starts_with(prefix); ++row) {
      found.emplace(row->first, &row->second);
    }
  }
  std::vector<TableRow> snapshot;
  snapshot.reserve(found.size());
  for (const auto& [key, row] : found) {
    snapshot.push_back(*row);
  }
  return snapshot;
}

void TableStore::SetFaults(const TableFaults& new_faults) {
  if (new_faults.writes_per_s != this->faults.writes_per_s)
    this->writes = TokenBucket(new_faults.writes_per_s);
  if (new_faults.reads_per_s != this->faults.reads_per_s)
    this->reads = TokenBucket(new_faults.reads_per_s);
  this->faults = new_faults;
}

RowVersion TableStore::VersionOf(const std::string& key) const {
  const auto row = this->rows.find(key);
  return row == this->rows.end() ? RowVersion(0) : row->second.version;
}

std::vector<TableCheck> TableStore::FindConflicts(
    const TableTransaction& transaction) const {
  std::vector<TableCheck> conflicts;
  for (const TableCheck& check : transaction.checks) {
    const RowVersion version = this->VersionOf(check.key);
    if (version != check.version)
      conflicts.push_back({check.key, version});
  }
  return conflicts;
}

CommitAnswer TableStore::Apply(const TableTransaction& transaction) {
  const auto earlier = this->committed.find(transaction.operation_id);
  if (earlier != this->committed.end())
    return earlier->second;

  CommitAnswer answer;
  answer.conflicts = this->FindConflicts(transaction);
  if (!answer.conflicts.empty()) {
    answer.outcome = CommitOutcome::kConflict;
    return answer;
  }
  const RowVersion version(++this->last_commit);
  for (const TablePut& put : transaction.puts) {
    this->rows[put.key] = TableRow{put.key, version, put.value};
    answer.versions.push_back({put.key, version});
  }
  for (const std::string& key : transaction.erases) {
    this->rows.erase(key);
    answer.versions.push_back({key, RowVersion(0)});
  }
  answer.outcome = CommitOutcome::kCommitted;
  this->committed.emplace(transaction.operation_id, answer);
  return answer;
}

}  // namespace peridot::stand_ins
