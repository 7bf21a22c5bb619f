#include "src/state/table_types.h"

#include <algorithm>

namespace peridot {

TableRow FindRow(const std::vector<TableRow>& rows, const std::string& key) {
  const auto found =
      std::find_if(rows.begin(), rows.end(),
                   [&](const TableRow& row) { return row.key == key; });
  return found == rows.end() ? TableRow{.key = key} : *found;
}

}  // namespace peridot
