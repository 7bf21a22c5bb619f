#include "src/protocol/yaml_node.h"

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

#include <algorithm>
#include <map>
#include <sstream>
#include <utility>

namespace peridot {
namespace {

constexpr std::size_t kMaxQuotedLength = 200;

int LineOf(const YAML::Mark& mark) {
  return mark.line + 1;
}

YamlNode MakeNode(YamlKind kind, const YAML::Mark& mark) {
  YamlNode node;
  node.kind = kind;
  node.line = LineOf(mark);
  return node;
}

std::string Printable(std::string_view text) {
  std::string printable(text.substr(0, kMaxQuotedLength));
  for (char& c : printable) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7F) {
      c = '?';
    }
  }
  return printable;
}

//-----------------------------------------------------------------------------
// [SECTION] Builder
//-----------------------------------------------------------------------------

// Builds the tree from the parser's events. Containers below the maximum depth
// are reported once and omitted, so that the rest is still checked.
class TreeBuilder : public YAML::EventHandler {
 public:
  int FirstLine() const { return this->first_line; }
  YamlNode TakeRoot() { return std::move(this->root); }
  std::vector<YamlFault> TakeFaults() { return std::move(this->faults); }
  void Report(int line, std::string key, std::string expected) {
    this->faults.push_back({line, std::move(key), std::move(expected)});
  }

  void OnDocumentStart(const YAML::Mark& mark) override {
    this->first_line = LineOf(mark);
  }
  void OnDocumentEnd() override {}

  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override {
    this->CheckPlain(mark, "?", anchor);
    this->AddLeaf(MakeNode(YamlKind::kNull, mark));
  }

  void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override {
    this->Report(LineOf(mark), "*", "a value instead of an alias");
    this->AddLeaf(MakeNode(YamlKind::kNull, mark));
  }

  void OnScalar(const YAML::Mark& mark,
                const std::string& tag,
                YAML::anchor_t anchor,
                const std::string& value) override {
    this->CheckPlain(mark, tag, anchor);
    YamlNode node = MakeNode(YamlKind::kScalar, mark);
    node.text = value;
    node.quoted = tag == "!";
    this->AddLeaf(std::move(node));
  }

  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value /*style*/) override {
    this->CheckPlain(mark, tag, anchor);
    this->Open(MakeNode(YamlKind::kSequence, mark));
  }
  void OnSequenceEnd() override { this->Close(); }

  void OnMapStart(const YAML::Mark& mark,
                  const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value /*style*/) override {
    this->CheckPlain(mark, tag, anchor);
    this->Open(MakeNode(YamlKind::kMapping, mark));
  }
  void OnMapEnd() override { this->Close(); }

 private:
  // A container that is being parsed.
  struct Frame {
    YamlNode node;         // entries parsed so far
    bool has_key = false;  // a key was read; its value comes next
    std::string key;       // key of that value
    int key_line = 0;
    bool is_key_usable = false;
    std::map<std::string, int> lines;  // line of each key
  };

  void CheckPlain(const YAML::Mark& mark,
                  const std::string& tag,
                  YAML::anchor_t anchor) {
    if (anchor != 0) {
      this->Report(LineOf(mark), "&", "a value without an anchor");
    }
    if (!tag.empty() && tag != "?" && tag != "!") {
      this->Report(LineOf(mark), Printable(tag), "a value without a tag");
    }
  }

  void Open(YamlNode node) {
    if (this->too_deep > 0 || this->frames.size() >= kMaxYamlDepth) {
      if (this->too_deep == 0) {
        this->Report(
            node.line, "",
            "at most " + std::to_string(kMaxYamlDepth) + " nested levels");
      }
      ++this->too_deep;
      return;
    }
    this->frames.emplace_back().node = std::move(node);
  }

  void Close() {
    if (this->too_deep > 0) {
      --this->too_deep;
      if (this->too_deep == 0) {
        this->Attach({});
      }
      return;
    }
    YamlNode node = std::move(this->frames.back().node);
    this->frames.pop_back();
    this->Attach(std::move(node));
  }

  void AddLeaf(YamlNode node) {
    if (this->too_deep == 0) {
      this->Attach(std::move(node));
    }
  }

  // Adds a complete node to its container as a key, a value or an item.
  void Attach(YamlNode node) {
    if (this->frames.empty()) {
      this->root = std::move(node);
      return;
    }
    Frame& frame = this->frames.back();
    if (frame.node.kind == YamlKind::kSequence) {
      frame.node.children.push_back(std::move(node));
    } else if (!frame.has_key) {
      this->AcceptKey(frame, node);
    } else {
      frame.has_key = false;
      if (node.kind == YamlKind::kNull) {
        // The parser reports the line of the next token for a missing value.
        node.line = frame.key_line;
      }
      if (frame.is_key_usable) {
        node.key = std::move(frame.key);
        node.key_line = frame.key_line;
        frame.node.children.push_back(std::move(node));
      }
    }
  }

  void AcceptKey(Frame& frame, const YamlNode& node) {
    frame.has_key = true;
    frame.key = node.text;
    frame.key_line = node.line;
    frame.is_key_usable = node.kind == YamlKind::kScalar;
    if (!frame.is_key_usable) {
      this->Report(node.line, "", "a key that is a plain word");
      return;
    }
    const auto [first, is_new] = frame.lines.emplace(node.text, node.line);
    if (!is_new) {
      frame.is_key_usable = false;
      this->Report(
          node.line, node.text,
          "a key once; it is also on line " + std::to_string(first->second));
    }
  }

  YamlNode root;
  int first_line = 1;         // where the document starts
  std::vector<Frame> frames;  // innermost last
  std::size_t too_deep = 0;   // open containers that are too deep and omitted
  std::vector<YamlFault> faults;
};

}  // namespace

//-----------------------------------------------------------------------------
// [SECTION] Public functions
//-----------------------------------------------------------------------------

YamlDocument ReadYaml(std::string_view text) {
  TreeBuilder builder;
  try {
    std::istringstream input{std::string(text)};
    YAML::Parser parser(input);
    parser.HandleNextDocument(builder);
    if (parser) {
      TreeBuilder second;
      if (parser.HandleNextDocument(second)) {
        builder.Report(second.FirstLine(), "", "one YAML document");
      }
    }
  } catch (const YAML::Exception& error) {
    builder.Report(LineOf(error.mark), "", "valid YAML; " + error.msg);
  }
  return {builder.TakeRoot(), builder.TakeFaults()};
}

std::vector<YamlFault> ReportedFaults(std::vector<YamlFault> faults) {
  std::ranges::stable_sort(faults, {}, &YamlFault::line);
  if (faults.size() > kMaxReportedFaults) {
    faults.resize(kMaxReportedFaults);
  }
  for (YamlFault& fault : faults) {
    fault.key = Printable(fault.key);
    fault.expected = Printable(fault.expected);
  }
  return faults;
}

Error MakeYamlError(std::string_view file, std::vector<YamlFault> faults) {
  const std::size_t count = faults.size();
  std::string message;
  for (const YamlFault& fault : ReportedFaults(std::move(faults))) {
    message.append(message.empty() ? "" : "\n").append(file).append(":");
    message.append(std::to_string(fault.line)).append(": ");
    if (!fault.key.empty()) {
      message.append(fault.key).append(": ");
    }
    message.append("expected ").append(fault.expected);
  }
  if (count > kMaxReportedFaults) {
    message.append("\n").append(file).append(": and ");
    message.append(std::to_string(count - kMaxReportedFaults));
    message.append(" more");
  }
  return MakeError(ErrorCode::kInvalidArgument, "parse", std::string(file),
                   std::move(message));
}

}  // namespace peridot
