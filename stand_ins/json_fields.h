// Validating reader of JSON objects.
//
// Index:
//   [SECTION] Parsing
//   [SECTION] JsonFields

#ifndef STAND_INS_JSON_FIELDS_H_
#define STAND_INS_JSON_FIELDS_H_

#include <cstdint>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "src/state/error.h"

namespace peridot::stand_ins {

//-----------------------------------------------------------------------------
// [SECTION] Parsing
//-----------------------------------------------------------------------------

// Parses one JSON object. Errors: kMalformed.
Result<nlohmann::json> ParseObject(const std::string& body);

// Formats the value on one line. Bytes that are not UTF-8 are replaced.
std::string ToText(const nlohmann::json& value);

//-----------------------------------------------------------------------------
// [SECTION] JsonFields
//-----------------------------------------------------------------------------

enum class Presence { kOptional, kRequired };

// Reads the fields of one object by name and type. Finish() reports the first
// error; an invalid field leaves its output unchanged. Not thread-safe.
class JsonFields {
 public:
  // Precondition: `object` is an object and outlives this reader.
  explicit JsonFields(const nlohmann::json& object) : object(object) {}

  void Bool(const char* name, bool& out);
  void Text(const char* name, std::string& out, Presence presence);
  void Texts(const char* name, std::vector<std::string>& out);
  // The number must be in [low, high].
  void Integer(const char* name,
               std::int64_t& out,
               Presence presence,
               std::int64_t low = 0,
               std::int64_t high = std::numeric_limits<std::int64_t>::max());
  // Calls `read` for each object of an array.
  void Objects(const char* name, const std::function<void(JsonFields&)>& read);

  // Errors: kMalformed with the first error, or if a field was not read.
  Result<void> Finish() const;

 private:
  const nlohmann::json* Find(const char* name, Presence presence);
  void Fail(std::string message);

  const nlohmann::json& object;
  std::set<std::string> known_fields;
  std::optional<std::string> first_error;
};

}  // namespace peridot::stand_ins

#endif  // STAND_INS_JSON_FIELDS_H_
