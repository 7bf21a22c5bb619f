// Parses YAML text into a tree of nodes with line numbers.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Faults
//   [SECTION] Nodes
//
// Settings and the daemon's own configuration are read from this tree, so that
// every fault is reported with its line and repeated keys are detected.
// Anchors, aliases and tags are rejected: settings do not need them, and with
// aliases a short text can expand to a very large one.

#ifndef SRC_PROTOCOL_YAML_NODE_H_
#define SRC_PROTOCOL_YAML_NODE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/state/error.h"

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] Limits
//-----------------------------------------------------------------------------

// The settings tree has 7 nested mappings; one more level is allowed for later
// extensions.
inline constexpr std::size_t kMaxYamlDepth = 8;

// A response with every fault of a large text would itself be too large.
inline constexpr std::size_t kMaxReportedFaults = 100;

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// One reason why a text is rejected.
struct YamlFault {
  int line = 0;          // first line is 1
  std::string key;       // key or path with key
  std::string expected;  // e.g. "true or false"
};

// Returns the faults to report: the first kMaxReportedFaults by line number.
// Control characters of the text are replaced and long keys are truncated.
std::vector<YamlFault> ReportedFaults(std::vector<YamlFault> faults);

// Returns an error whose message has one line for each reported fault and the
// number of omitted faults. The form is "FILE:LINE: KEY: expected EXPECTED".
Error MakeYamlError(std::string_view file, std::vector<YamlFault> faults);

//-----------------------------------------------------------------------------
// [SECTION] Nodes
//-----------------------------------------------------------------------------

enum class YamlKind : std::uint8_t { kNull, kScalar, kSequence, kMapping };

struct YamlNode {
  YamlKind kind = YamlKind::kNull;
  int line = 0;         // first line is 1
  std::string text;     // of a scalar
  bool quoted = false;  // scalar in quotes
  std::string key;      // in the parent mapping
  int key_line = 0;     // line of the key
  std::vector<YamlNode> children;

  // Returns whether the node is a scalar without quotes, such as a number or a
  // boolean.
  bool IsPlain() const {
    return this->kind == YamlKind::kScalar && !this->quoted;
  }
};

struct YamlDocument {
  YamlNode root;                  // the part that could be parsed
  std::vector<YamlFault> faults;  // in reading order
};

// Parses one YAML document. Entries with a repeated key are omitted and
// reported. Parsing stops at a syntax error but continues after other faults.
YamlDocument ReadYaml(std::string_view text);

}  // namespace peridot

#endif  // SRC_PROTOCOL_YAML_NODE_H_
