#include "src/ctl/render.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace peridot::ctl {
namespace {

using Json = nlohmann::ordered_json;

// Bytes of a value that are not UTF-8 are replaced.
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Cell(const Json& value) {
  return value.is_string() ? value.get<std::string>() : Dump(value);
}

std::string Printable(std::string text) {
  std::ranges::replace_if(
      text,
      [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < 0x20 || byte == 0x7F;
      },
      '?');
  return text;
}

bool IsListOfObjects(const Json& json) {
  return json.is_array() && std::ranges::all_of(json, [](const Json& item) {
           return item.is_object();
         });
}

Table TableOfObjects(const Json& list) {
  Table table;
  for (const Json& item : list) {
    for (const auto& member : item.items()) {
      if (std::ranges::find(table.columns, member.key()) ==
          table.columns.end()) {
        table.columns.push_back(member.key());
      }
    }
  }
  for (const Json& item : list) {
    std::vector<std::string> row;
    for (const std::string& column : table.columns) {
      const auto member = item.find(column);
      row.push_back(member == item.end() ? "-" : Cell(*member));
    }
    table.rows.push_back(std::move(row));
  }
  return table;
}

Json JsonOfRows(const Table& table) {
  Json list = Json::array();
  for (const auto& row : table.rows) {
    Json object = Json::object();
    for (std::size_t i = 0; i < table.columns.size(); ++i) {
      object[table.columns[i]] = row[i];
    }
    list.push_back(std::move(object));
  }
  return list;
}

bool IsAtOrBelow(std::string_view path, std::string_view ancestor) {
  if (ancestor == "/" || path == ancestor) {
    return true;
  }
  return path.starts_with(ancestor) && path[ancestor.size()] == '/';
}

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Table
//-----------------------------------------------------------------------------

void Table::Print(std::ostream& out, bool json) const {
  if (json) {
    out << Dump(JsonOfRows(*this)) << "\n";
    return;
  }
  std::vector<std::size_t> widths;
  for (std::size_t i = 0; i < this->columns.size(); ++i) {
    widths.push_back(this->columns[i].size());
    for (const auto& row : this->rows) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  const auto print_row = [&](const std::vector<std::string>& row) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i) {
      line.append(Printable(row[i]));
      if (i + 1 < row.size()) {
        line.append(widths[i] - row[i].size() + 2, ' ');
      }
    }
    out << line << "\n";
  };
  print_row(this->columns);
  for (const auto& row : this->rows) {
    print_row(row);
  }
}

//-----------------------------------------------------------------------------
// [SECTION] Responses of the daemon
//-----------------------------------------------------------------------------

void PrintJsonReply(const std::string& body, std::ostream& out, bool json) {
  Json value = Json::parse(body, nullptr, false);
  if (value.is_discarded()) {
    out << body << "\n";
    return;
  }
  if (json) {
    out << Dump(value) << "\n";
    return;
  }
  if (value.is_object() && value.size() == 1 &&
      IsListOfObjects(value.begin().value())) {
    value = Json(value.begin().value());
  }
  if (IsListOfObjects(value)) {
    TableOfObjects(value).Print(out, false);
  } else if (value.is_object()) {
    Table table{{"name", "value"}, {}};
    for (const auto& member : value.items()) {
      table.rows.push_back({member.key(), Cell(member.value())});
    }
    table.Print(out, false);
  } else {
    out << Dump(value) << "\n";
  }
}

void PrintProblem(const HttpReply& reply, std::ostream& out, bool json) {
  const Problem problem = ParseProblem(reply);
  if (json) {
    Json object = {{"status", reply.status}, {"code", problem.code}};
    object["ran"] = problem.ran.empty() ? Json() : Json(problem.ran);
    if (problem.expected && problem.actual) {
      object["expected"] = *problem.expected;
      object["actual"] = *problem.actual;
    }
    if (!problem.title.empty()) {
      object["title"] = problem.title;
    }
    out << Dump(object) << "\n";
    return;
  }
  out << "refused: status=" << reply.status
      << " code=" << Printable(problem.code.empty() ? "-" : problem.code)
      << " ran=" << Printable(problem.ran.empty() ? "-" : problem.ran);
  if (problem.retry_after_ms) {
    out << " retry_after_ms=" << *problem.retry_after_ms;
  }
  out << "\n";
  if (!problem.title.empty()) {
    out << Printable(problem.title) << "\n";
  }
  if (problem.expected && problem.actual) {
    out << "The change was made against revision " << *problem.expected
        << ", but the settings are at revision " << *problem.actual
        << ". Nothing was changed.\n";
  }
}

void PrintMissingResponse(const Error& error,
                          ExitCode exit,
                          std::ostream& out,
                          bool json) {
  const bool is_unknown = exit == ExitCode::kUnknown;
  if (json) {
    out << Dump({{"code", is_unknown ? "outcome_unknown" : "unreachable"},
                 {"ran", is_unknown ? "unknown" : "no"},
                 {"peer", error.peer},
                 {"title", error.message}})
        << "\n";
    return;
  }
  out << error.peer << ": " << error.message << "\n";
  out << (is_unknown ? "The request may or may not have taken effect.\n"
                     : "Nothing was changed.\n");
}

void PrintChange(const ChangeResponse& answer, std::ostream& out, bool json) {
  if (json) {
    Json object = {{"revision", answer.revision},
                   {"in_force", answer.in_force}};
    if (!answer.id.empty()) {
      object["id"] = answer.id;
      object["key"] = answer.key;
    }
    out << Dump(object) << "\n";
    return;
  }
  if (!answer.id.empty()) {
    out << "id   " << Printable(answer.id) << "\n";
    out << "key  " << Printable(answer.key) << "\n";
  }
  out << "revision " << answer.revision
      << (answer.in_force ? " is in force\n"
                          : " is accepted, but not yet in force\n");
}

//-----------------------------------------------------------------------------
// [SECTION] Settings
//-----------------------------------------------------------------------------

Table TableOfChanges(const std::vector<SettingsChange>& changes) {
  Table table{{"path", "setting", "old", "new"}, {}};
  for (const SettingsChange& change : changes) {
    table.rows.push_back({change.path, change.setting,
                          change.old_value.value_or("-"),
                          change.new_value.value_or("-")});
  }
  return table;
}

Table TableOfNode(const SettingsDocument& document, std::string_view path) {
  Table table{{"path", "setting", "value"}, {}};
  for (const SettingsChange& change : DiffSettings({}, document)) {
    if (IsAtOrBelow(change.path, path)) {
      table.rows.push_back(
          {change.path, change.setting, change.new_value.value_or("-")});
    }
  }
  return table;
}

Result<Table> TableOfEffective(const SettingsTree& tree,
                               std::string_view path,
                               std::string_view setting) {
  if (!setting.empty() && FindSetting(setting) == nullptr) {
    return MakeError(ErrorCode::kInvalidArgument, "explain", "settings",
                     "unknown setting " + std::string(setting));
  }
  Table table{{"setting", "value", "unit", "from"}, {}};
  const std::optional<SettingsLevel> level = LevelOfPath(path);
  for (const SettingSpec& spec : kSettingsSchema) {
    const bool is_wanted = setting.empty() ? !level || spec.AppliesTo(*level)
                                           : setting == spec.name;
    if (is_wanted) {
      BOOST_OUTCOME_TRY(value, tree.Effective(path, spec.setting));
      table.rows.push_back({spec.name, FormatSettingValue(spec, value.value),
                            spec.unit, value.origin});
    }
  }
  return table;
}

void PrintCheck(const std::vector<SettingsFinding>& findings,
                const std::optional<std::vector<RankedChange>>& changes,
                std::ostream& out,
                bool json) {
  Table found{{"severity", "line", "path", "setting", "kind", "message"}, {}};
  for (const SettingsFinding& finding : findings) {
    found.rows.push_back(
        {SeverityName(finding.severity),
         finding.line == 0 ? "-" : std::to_string(finding.line),
         finding.path.empty() ? "-" : finding.path,
         finding.setting.empty() ? "-" : finding.setting,
         FindingKindName(finding.kind), finding.message});
  }
  Table changed{{"effect", "path", "setting", "old", "new"}, {}};
  if (changes) {
    for (const auto& [effect, change] : *changes) {
      changed.rows.push_back({EffectName(effect), change.path, change.setting,
                              change.old_value.value_or("-"),
                              change.new_value.value_or("-")});
    }
  }
  if (json) {
    Json object = {{"findings", JsonOfRows(found)}};
    if (changes) {
      object["changes"] = JsonOfRows(changed);
    }
    out << Dump(object) << "\n";
    return;
  }
  if (findings.empty()) {
    out << "no findings\n";
  } else {
    found.Print(out, false);
  }
  if (changes) {
    out << "\n";
    if (changes->empty()) {
      out << "no changes\n";
    } else {
      changed.Print(out, false);
    }
  }
}

Table TableOfKeys(const SettingsDocument& document) {
  Table table{{"id", "team"}, {}};
  for (const TeamKey& key : document.keys) {
    table.rows.push_back({key.id.value, key.team.value});
  }
  return table;
}

}  // namespace peridot::ctl
