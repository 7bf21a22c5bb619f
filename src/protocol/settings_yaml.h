// Parses, formats and compares settings as YAML text.
//
// Index:
//   [SECTION] Document text
//   [SECTION] Table row
//   [SECTION] Difference
//
// Example of a document:
//
//   deadline_ms: 60000
//   zones: {z1: in, z2: out}
//   keys:
//     - {id: k1, team: counts, digest: 64 hexadecimal digits}
//   teams:
//     counts: {share: 3, limit: 200}
//   pools:
//     web:
//       max_unavailable: 2
//       teams:
//         counts:
//           run_ms: 400
//           queues:
//             hourly: {priority: urgent}
//
// All functions are thread-safe.

#ifndef SRC_PROTOCOL_SETTINGS_YAML_H_
#define SRC_PROTOCOL_SETTINGS_YAML_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/state/error.h"
#include "src/state/settings_tree.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Document text
//-----------------------------------------------------------------------------

// Equal to the limit of a request body.
inline constexpr std::size_t kMaxSettingsBytes = 1024UL * 1024UL;

// Parses settings and validates them completely. Fails with kTooLarge or with
// kInvalidArgument; the message then has one line for each fault, see
// MakeYamlError(). `file` is the name of the text in messages.
Result<SettingsTree> ParseSettings(std::string_view text,
                                   std::string_view file,
                                   Revision revision);

// Formats settings in their canonical form, which depends on the content only.
std::string FormatSettings(const SettingsDocument& document);

//-----------------------------------------------------------------------------
// [SECTION] Table row
//-----------------------------------------------------------------------------

// The value of the table's row `settings`: the document's text, preceded by the
// keys `revision` and `operation_id`.
struct SettingsRow {
  SettingsTree tree;         // includes the revision
  std::string operation_id;  // identifies the write if its response was lost
};

// Fails as ParseSettings() does.
Result<SettingsRow> ParseSettingsRow(std::string_view value);

// Fails with kTooLarge if the document's text exceeds kMaxSettingsBytes, so
// that every written row can be read again.
Result<std::string> FormatSettingsRow(const SettingsRow& row);

//-----------------------------------------------------------------------------
// [SECTION] Difference
//-----------------------------------------------------------------------------

// One changed value. Nodes without settings are listed with the setting "node",
// zones with "state", keys with "team" and "digest".
struct SettingsChange {
  std::string path;                      // e.g. "/pools/web"
  std::string setting;                   // e.g. "deadline_ms"
  std::optional<std::string> old_value;  // none: not set before
  std::optional<std::string> new_value;  // none: no longer set

  friend bool operator==(const SettingsChange&,
                         const SettingsChange&) = default;
};

// Returns the changes from one document to another, ordered by path. The result
// is empty if and only if both have the same canonical text.
std::vector<SettingsChange> DiffSettings(const SettingsDocument& from,
                                         const SettingsDocument& to);

}  // namespace peridot

#endif  // SRC_PROTOCOL_SETTINGS_YAML_H_
