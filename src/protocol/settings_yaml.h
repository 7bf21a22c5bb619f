// Settings as YAML text.
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

// The body of a request is bounded too; both bounds are the same.
inline constexpr std::size_t kMaxSettingsBytes = 1024UL * 1024UL;

// Reads settings and checks them in full. Fails with kTooLarge or with
// kInvalidArgument; the message then has one line for each fault, see
// MakeYamlError(). `file` names the text in messages.
Result<SettingsTree> ParseSettings(std::string_view text,
                                   std::string_view file,
                                   Revision revision);

// Writes settings in their canonical form, which depends on the content only.
std::string FormatSettings(const SettingsDocument& document);

//-----------------------------------------------------------------------------
// [SECTION] Table row
//-----------------------------------------------------------------------------

// The value of the table's row `settings`: the document's text, preceded by the
// keys `revision` and `operation_id`.
struct SettingsRow {
  SettingsTree tree;         // carries the revision
  std::string operation_id;  // of the write, for reading back a lost answer
};

// Fails as ParseSettings() does.
Result<SettingsRow> ParseSettingsRow(std::string_view value);

// Fails with kTooLarge if the document's text exceeds kMaxSettingsBytes, so
// that every row written can be read back.
Result<std::string> FormatSettingsRow(const SettingsRow& row);

//-----------------------------------------------------------------------------
// [SECTION] Difference
//-----------------------------------------------------------------------------

// One value that differs. Nodes without settings appear with the setting
// "node", zones with "state", keys with "team" and "digest".
struct SettingsChange {
  std::string path;                  // default: empty; as in "/pools/web"
  std::string setting;               // default: empty; as in "deadline_ms"
  std::optional<std::string> old;    // default: none; not set before
  std::optional<std::string> fresh;  // default: none; not set now

  friend bool operator==(const SettingsChange&,
                         const SettingsChange&) = default;
};

// Returns the changes that lead from one document to another, by path. The
// result is empty exactly if both have the same canonical text.
std::vector<SettingsChange> DiffSettings(const SettingsDocument& from,
                                         const SettingsDocument& to);

}  // namespace peridot

#endif  // SRC_PROTOCOL_SETTINGS_YAML_H_
