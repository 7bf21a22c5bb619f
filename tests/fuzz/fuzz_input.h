// Helpers of the fuzz targets.

#ifndef TESTS_FUZZ_FUZZ_INPUT_H_
#define TESTS_FUZZ_FUZZ_INPUT_H_

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "src/protocol/http_headers.h"

namespace peridot::fuzz {

// Ends the run with a report if the property does not hold.
inline void Require(bool property) {
  if (!property) {
    __builtin_trap();
  }
}

// Takes the first byte; 0 if there is none.
inline std::uint8_t TakeByte(std::string_view* input) {
  if (input->empty()) {
    return 0;
  }
  const auto byte = static_cast<std::uint8_t>(input->front());
  input->remove_prefix(1);
  return byte;
}

// Takes a line without its "\n"; all that is left if there is none.
inline std::string_view TakeLine(std::string_view* input) {
  const std::string_view line = input->substr(0, input->find('\n'));
  input->remove_prefix(std::min(input->size(), line.size() + 1));
  return line;
}

// Takes "name:value" lines up to an empty one.
inline HttpHeaders TakeHeaders(std::string_view* input) {
  HttpHeaders headers;
  while (!input->empty()) {
    const std::string_view line = TakeLine(input);
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

// Takes one byte and returns a status that the parsers tell apart.
inline int TakeStatus(std::string_view* input) {
  static constexpr int kStatuses[] = {200, 409, 500, 503, 400, 404, 412, 0};
  return kStatuses[TakeByte(input) % 8];
}

}  // namespace peridot::fuzz

#endif  // TESTS_FUZZ_FUZZ_INPUT_H_
