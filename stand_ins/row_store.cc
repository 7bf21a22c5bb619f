#include "stand_ins/row_store.h"

#include <algorithm>

namespace peridot {

StoreRow RowStore::RowAt(const StoreKey& key) const {
  const auto found = this->rows.find(KeyOf(key));
  if (found == this->rows.end() || found->second.removed) {
    return StoreRow{.key = key};
  }
  return found->second;
}

StoreReply RowStore::Transact(const StoreTransaction& transaction) {
  StoreReply reply{.outcome = StoreOutcome::kOk};
  for (const auto& [key, expected] : transaction.conditions) {
    reply.rows.push_back(this->RowAt(key));
    if (reply.rows.back().version != expected) {
      reply.outcome = StoreOutcome::kConflict;
    }
  }
  reply.version = this->version;
  if (reply.outcome == StoreOutcome::kConflict) {
    return reply;
  }
  reply.rows.clear();
  reply.version = this->version = RowVersion(this->version.value + 1);
  for (const auto& [key, value] : transaction.puts) {
    this->rows[KeyOf(key)] = StoreRow{key, value, this->version, false};
  }
  for (const StoreKey& key : transaction.removals) {
    const auto found = this->rows.find(KeyOf(key));
    if (found != this->rows.end()) {
      found->second = StoreRow{key, "", this->version, true};
    }
  }
  return reply;
}

StoreReply RowStore::Read(const StoreKey& from,
                          const std::string& to,
                          std::size_t max_rows) const {
  StoreReply reply{.outcome = StoreOutcome::kOk, .version = this->version};
  for (auto row = this->rows.lower_bound(KeyOf(from)); row != this->rows.end();
       ++row) {
    const StoreKey& key = row->second.key;
    if (key.table != from.table || key.part != from.part ||
        (!to.empty() && key.key >= to)) {
      break;
    }
    if (row->second.removed) {
      continue;
    }
    if (reply.rows.size() == max_rows) {
      reply.more = true;
      break;
    }
    reply.rows.push_back(row->second);
  }
  return reply;
}

StoreReply RowStore::Changes(const std::string& table, RowVersion after) const {
  StoreReply reply{.outcome = StoreOutcome::kOk, .version = this->version};
  for (auto row = this->rows.lower_bound({table, "", ""});
       row != this->rows.end() && row->second.key.table == table; ++row) {
    if (row->second.version > after) {
      reply.rows.push_back(row->second);
    }
  }
  std::sort(reply.rows.begin(), reply.rows.end(),
            [](const StoreRow& a, const StoreRow& b) {
              return a.version < b.version;
            });
  return reply;
}

}  // namespace peridot
