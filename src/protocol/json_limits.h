// Parses JSON from clients that need not keep to any limit.
//
// Index:
//   [SECTION] JsonLimits

#ifndef SRC_PROTOCOL_JSON_LIMITS_H_
#define SRC_PROTOCOL_JSON_LIMITS_H_

#include <cstddef>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string_view>

namespace peridot {

//-----------------------------------------------------------------------------
// [SECTION] JsonLimits
//-----------------------------------------------------------------------------

struct JsonLimits {
  // Values, names and containers. Each takes up to 130 bytes once it is parsed,
  // but two characters of the text.
  std::size_t max_values = 0;
  int max_depth = 0;  // of nested containers
};

// Returns the parsed text. Throws an exception derived from std::exception if
// it is not JSON or as soon as it exceeds a limit, so that the memory is
// bounded by the limits and the length of the text. Thread-safe.
inline nlohmann::json ParseJson(std::string_view text,
                                const JsonLimits& limits) {
  using Json = nlohmann::json;
  std::size_t values = 0;
  return Json::parse(
      text, [&](int depth, Json::parse_event_t event, const Json&) {
        const bool ends = event == Json::parse_event_t::object_end ||
                          event == Json::parse_event_t::array_end;
        if (!ends && ++values > limits.max_values) {
          throw std::length_error("the text has too many values");
        }
        if (depth > limits.max_depth) {
          throw std::length_error("the text is nested too deeply");
        }
        return true;
      });
}

}  // namespace peridot

#endif  // SRC_PROTOCOL_JSON_LIMITS_H_
