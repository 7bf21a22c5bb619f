// Fuzz target of the settings parser.
//
// Guards against crashes on any text, against accepted settings whose canonical
// text does not parse to the same settings, and against a check that reports no
// fault of a rejected text.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "src/protocol/settings_check.h"
#include "src/protocol/settings_effect.h"
#include "src/protocol/settings_yaml.h"

namespace {

// The canonical text may exceed the size limit although the parsed text did
// not; FormatSettingsRow() then returns kTooLarge.
void CheckRoundTrip(const peridot::SettingsTree& tree) {
  const auto row = peridot::FormatSettingsRow({tree, "fuzz"});
  if (row.has_error()) {
    if (row.error().code != peridot::ErrorCode::kTooLarge) {
      std::abort();
    }
    return;
  }
  const auto reparsed = peridot::ParseSettingsRow(row.value());
  if (reparsed.has_error() ||
      reparsed.value().tree.Document() != tree.Document()) {
    std::abort();
  }
}

void CheckFindings(std::string_view text, bool is_valid) {
  const auto read = peridot::ReadSettingsText(text, peridot::Revision(1));
  if (read.tree.has_value() != is_valid ||
      peridot::FindingsOfFaults(read).empty() != is_valid) {
    std::abort();
  }
  if (is_valid) {
    const peridot::KnownHosts hosts = {
        {peridot::PoolId("web"), peridot::ZoneId("z1"), peridot::RackId("r1"),
         peridot::SlotCount(8)}};
    peridot::CheckSettings(*read.tree, read.lines, hosts);
    peridot::RankChanges(peridot::DiffSettings({}, read.tree->Document()));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto tree =
      peridot::ParseSettings(text, "fuzz.yaml", peridot::Revision(1));
  CheckFindings(text, tree.has_value());
  if (tree.has_value()) {
    CheckRoundTrip(tree.value());
  }
  return 0;
}
