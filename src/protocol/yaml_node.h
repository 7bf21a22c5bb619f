// YAML text as a tree of nodes that know their lines.
//
// Index:
//   [SECTION] Limits
//   [SECTION] Faults
//   [SECTION] Nodes
//
// Settings and the daemon's own configuration are read through this tree, so
// that every fault names its line and repeated keys are seen. Anchors, aliases
// and tags are refused: settings need none, and an alias makes a short text
// stand for a large one.

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

// The settings tree nests 7 mappings; one more is left for its growth.
inline constexpr std::size_t kMaxYamlDepth = 8;

// An answer with every fault of a large text would itself be too large.
inline constexpr std::size_t kMaxReportedFaults = 100;

//-----------------------------------------------------------------------------
// [SECTION] Faults
//-----------------------------------------------------------------------------

// One reason why a text is refused.
struct YamlFault {
  int line = 0;          // default: 0; first line is 1
  std::string key;       // default: empty; key or path with key
  std::string expected;  // default: empty; as in "true or false"
};

// Returns an error whose message has one line for each fault, in the order of
// their lines: "FILE:LINE: KEY: expected EXPECTED". Control characters of the
// text are replaced and long keys are cut.
Error MakeYamlError(std::string_view file, std::vector<YamlFault> faults);

//-----------------------------------------------------------------------------
// [SECTION] Nodes
//-----------------------------------------------------------------------------

enum class YamlKind : std::uint8_t { kNull, kScalar, kSequence, kMapping };

struct YamlNode {
  YamlKind kind = YamlKind::kNull;  // default: kNull
  int line = 0;                     // default: 0; first line is 1
  std::string text;                 // default: empty; of a scalar
  bool quoted = false;              // default: false; scalar in quotes
  std::string key;                  // default: empty; in the parent mapping
  int key_line = 0;                 // default: 0; line of the key
  std::vector<YamlNode> children;   // default: none

  // Whether the node is a scalar without quotes, as numbers and booleans are.
  bool IsPlain() const {
    return this->kind == YamlKind::kScalar && !this->quoted;
  }
};

struct YamlDocument {
  YamlNode root;                  // the part that was understood
  std::vector<YamlFault> faults;  // default: none; in reading order
};

// Reads one YAML document. Entries with a repeated key are left out and
// reported. Faults of syntax end the reading; others do not.
YamlDocument ReadYaml(std::string_view text);

}  // namespace peridot

#endif  // SRC_PROTOCOL_YAML_NODE_H_
