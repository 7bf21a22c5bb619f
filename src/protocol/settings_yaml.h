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
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/protocol/yaml_node.h"
#include "src/state/error.h"
#include "src/state/settings_tree.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Document text
//-----------------------------------------------------------------------------

// Equal to the limit of a request body.
inline constexpr std::size_t kMaxSettingsBytes = 1024UL * 1024UL;

// Line of each node and of each key of a node in a document text.
class SettingsLines {
 public:
  // Returns the line of the key at the path, else that of the node, else 0.
  int Find(const std::string& path, const std::string& key) const;

  void Set(std::string path, std::string key, int line) {
    this->lines[{std::move(path), std::move(key)}] = line;
  }

 private:
  std::map<std::pair<std::string, std::string>, int> lines;  // key "": the node
};

// A document text as read by ReadSettingsText().
struct SettingsText {
  std::optional<SettingsTree> tree;  // none if there are faults
  std::vector<YamlFault> faults;     // in reading order
  bool is_readable = false;          // the text is YAML and holds a mapping
  SettingsLines lines;               // of the part that could be read
};

// Parses settings and validates them completely. Unlike ParseSettings() it
// returns the faults as values, and the lines of nodes and keys.
SettingsText ReadSettingsText(std::string_view text, Revision revision);

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
