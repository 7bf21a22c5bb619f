// Helpers of the fuzz targets.

#ifndef TESTS_FUZZ_FUZZ_INPUT_H_
#define TESTS_FUZZ_FUZZ_INPUT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/protocol/http_headers.h"

namespace peridot::fuzz {

// Aborts the run with a crash report if the property does not hold.
inline void Require(bool property) {
  if (!property) {
    __builtin_trap();
  }
}

// Removes and returns the first byte; 0 if the input is empty.
inline std::uint8_t ConsumeByte(std::string_view* input) {
  if (input->empty()) {
    return 0;
  }
  const auto byte = static_cast<std::uint8_t>(input->front());
  input->remove_prefix(1);
  return byte;
}

// Removes the first line and its "\n" and returns the line; without a "\n" the
// line is all of the input.
inline std::string_view ConsumeLine(std::string_view* input) {
  const std::string_view line = input->substr(0, input->find('\n'));
  input->remove_prefix(std::min(input->size(), line.size() + 1));
  return line;
}

// Removes "name:value" lines up to and including the first empty line and
// returns them as headers.
inline HttpHeaders ConsumeHeaders(std::string_view* input) {
  HttpHeaders headers;
  while (!input->empty()) {
    const std::string_view line = ConsumeLine(input);
    if (line.empty()) {
      break;
    }
    const auto colon = std::min(line.find(':'), line.size());
    headers.push_back(
        {std::string(line.substr(0, colon)),
         std::string(line.substr(std::min(colon + 1, line.size())))});
  }
  return headers;
}

// Removes one byte and returns one of the statuses that the parsers
// distinguish.
inline int ConsumeStatus(std::string_view* input) {
  static constexpr int kStatuses[] = {200, 409, 500, 503, 400, 404, 412, 0};
  return kStatuses[ConsumeByte(input) % 8];
}

}  // namespace peridot::fuzz

#endif  // TESTS_FUZZ_FUZZ_INPUT_H_
