#include "src/daemon/used_endpoint_rows.h"

#include <numeric>
#include <utility>

#include "src/daemon/job_store.h"
#include "src/protocol/job_json.h"
#include "src/transport/log.h"

namespace peridot {

namespace {

std::string RowKey(std::size_t row) {
  return "row-" + std::to_string(row);
}

std::size_t RowOf(const EndpointId& id) {
  const unsigned sum = std::accumulate(
      id.value.begin(), id.value.end(), 0U, [](unsigned total, char c) {
        return total * 31 + static_cast<unsigned char>(c);
      });
  return sum % UsedEndpointRows::kRows;
}

std::string EncodeRow(const std::vector<UsedEndpoint>& endpoints,
                      std::size_t max_bytes) {
  std::string text = EncodeUsedEndpoints(endpoints);
  if (text.size() <= max_bytes) {
    return text;
  }
  LogEvent(LogLevel::kError, "unanswered_starts_not_recorded",
           {{"bytes", std::to_string(text.size())}});
  std::vector<UsedEndpoint> smaller = endpoints;
  for (UsedEndpoint& endpoint : smaller) {
    endpoint.unanswered_starts.clear();
  }
  return EncodeUsedEndpoints(smaller);
}

}  // namespace

void UsedEndpointRows::OnRead(const std::string& key) {
  for (std::size_t row = 0; row < kRows; ++row) {
    if (key == RowKey(row)) {
      return;
    }
  }
  this->obsolete.insert(key);
}

void UsedEndpointRows::AddChanges(const std::vector<UsedEndpoint>& endpoints,
                                  std::size_t max_bytes,
                                  StoreTransaction* transaction) {
  for (Row& row : this->writing) {
    row.clear();
  }
  for (const UsedEndpoint& endpoint : endpoints) {
    this->writing[RowOf(endpoint.id)].push_back(endpoint);
  }
  for (std::size_t row = 0; row < kRows; ++row) {
    if (this->stored[row] != this->writing[row]) {
      this->stored[row].reset();
      transaction->puts.emplace_back(
          StoreKey{kUsedTable, kOwnerPart, RowKey(row)},
          EncodeRow(this->writing[row], max_bytes));
    }
  }
  for (const std::string& key : this->obsolete) {
    transaction->removals.push_back(StoreKey{kUsedTable, kOwnerPart, key});
  }
}

void UsedEndpointRows::OnStored() {
  for (std::size_t row = 0; row < kRows; ++row) {
    this->stored[row] = std::move(this->writing[row]);
  }
  this->obsolete.clear();
}

}  // namespace peridot
