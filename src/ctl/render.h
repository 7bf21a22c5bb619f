// Output of peridotctl as a table or as JSON.
//
// Index:
//   [SECTION] Table
//   [SECTION] Answers of the daemon
//   [SECTION] Settings

#ifndef SRC_CTL_RENDER_H_
#define SRC_CTL_RENDER_H_

#include <ostream>
#include <string>
#include <string_view>
#include <vector>

#include "src/ctl/admin_reply.h"
#include "src/protocol/settings_yaml.h"
#include "src/state/error.h"
#include "src/state/settings_tree.h"

namespace peridot::ctl {

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

// Rows of text. As a table, columns are aligned and control characters are
// replaced; as JSON, each row is an object with the columns as members.
struct Table {
  std::vector<std::string> columns;            // default: none
  std::vector<std::vector<std::string>> rows;  // default: none; as wide

  void Print(std::ostream& out, bool json) const;
};

//-----------------------------------------------------------------------------
// [SECTION] Answers of the daemon
//-----------------------------------------------------------------------------

// Prints a JSON answer. As a table: a list of objects, or an object whose only
// member is such a list, becomes rows; another object becomes rows of name and
// value. Text that is no JSON is printed as it is.
void PrintJsonReply(const std::string& body, std::ostream& out, bool json);

// Prints what a refusal says, with both revisions of a conflict.
void PrintProblem(const HttpReply& reply, std::ostream& out, bool json);

// Prints that a request has no answer and whether it can have run.
void PrintNoAnswer(const Error& error,
                   ExitCode exit,
                   std::ostream& out,
                   bool json);

// Prints the revision of a change and whether it is in force.
void PrintChange(const ChangeAnswer& answer, std::ostream& out, bool json);

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

// Rows of path, setting, old and new; "-" stands for a value that is not set.
Table TableOfChanges(const std::vector<SettingsChange>& changes);

// Rows of path, setting and value: what the node at `path` and the nodes below
// it set. Empty if there is no such node.
Table TableOfNode(const SettingsDocument& document, std::string_view path);

// Rows of setting, value, unit and origin at a node. Fails as
// SettingsTree::Effective() does; an empty `setting` stands for all.
Result<Table> TableOfEffective(const SettingsTree& tree,
                               std::string_view path,
                               std::string_view setting);

// Rows of id and team. The digests are left out.
Table TableOfKeys(const SettingsDocument& document);

}  // namespace peridot::ctl

#endif  // SRC_CTL_RENDER_H_
