// Output of peridotctl as a table or as JSON.
//
// Index:
//   [SECTION] Table
//   [SECTION] Responses of the daemon
//   [SECTION] Settings

#ifndef SRC_CTL_RENDER_H_
#define SRC_CTL_RENDER_H_

#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "src/ctl/admin_reply.h"
#include "src/protocol/settings_check.h"
#include "src/protocol/settings_effect.h"
#include "src/protocol/settings_yaml.h"
#include "src/state/error.h"
#include "src/state/settings_tree.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

// Rows of text. In a table, columns are aligned and control characters are
// replaced; in JSON, each row is an object whose members are the columns.
struct Table {
  std::vector<std::string> columns;
  std::vector<std::vector<std::string>> rows;  // each as long as `columns`

  void Print(std::ostream& out, bool json) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Responses of the daemon
//-----------------------------------------------------------------------------

// Prints a JSON response. As a table, a list of objects, or an object whose
// only member is such a list, becomes one row per object; any other object
// becomes rows of name and value. Text that is not JSON is printed unchanged.
void PrintJsonReply(const std::string& body, std::ostream& out, bool json);

// Prints the members of an error response, with both revisions of a conflict.
void PrintProblem(const HttpReply& reply, std::ostream& out, bool json);

// Prints that a request got no response, and whether it may have taken effect.
void PrintMissingResponse(const Error& error,
                          ExitCode exit,
                          std::ostream& out,
                          bool json);

// Prints the revision of a change and whether it is in force.
void PrintChange(const ChangeResponse& answer, std::ostream& out, bool json);

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Rows of path, setting, old and new value; "-" marks a value that is not set.
Table TableOfChanges(const std::vector<SettingsChange>& changes);

// Rows of path, setting and value: the values that the node at `path` and the
// nodes below it set. Empty if there is no such node.
Table TableOfNode(const SettingsDocument& document, std::string_view path);

// Rows of setting, effective value, unit and origin at a node. An empty
// `setting` selects all settings. Fails with kInvalidArgument on an unknown
// setting, else as SettingsTree::Effective() does.
Result<Table> TableOfEffective(const SettingsTree& tree,
                               std::string_view path,
                               std::string_view setting);

// Prints the result of `settings check`: the findings, and the changes if there
// is a server to compare with. As JSON, an object with the lists `findings` and
// `changes`, the latter only with a server.
void PrintCheck(const std::vector<SettingsFinding>& findings,
                const std::optional<std::vector<RankedChange>>& changes,
                std::ostream& out,
                bool json);

// Rows of id and team, without the digests.
Table TableOfKeys(const SettingsDocument& document);

}  // namespace peridot::ctl

#endif  // SRC_CTL_RENDER_H_
