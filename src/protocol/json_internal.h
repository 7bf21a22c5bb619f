// JSON helpers for use inside the protocol layer only.

#ifndef SRC_PROTOCOL_JSON_INTERNAL_H_
#define SRC_PROTOCOL_JSON_INTERNAL_H_

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/state/error.h"

namespace peridot::json_internal {

using Json = nlohmann::json;

// Returns the value, or null if the text is not JSON. Never throws.
inline Json Parse(std::string_view text) {
  Json value = Json::parse(text, nullptr, /*allow_exceptions=*/false);
  return value.is_discarded() ? Json() : value;
}

// Returns the JSON text. Fails if a string is not UTF-8, because replacing its
// bytes would silently change data.
inline Result<std::string> Dump(const Json& value, const char* step) {
  try {
    return value.dump();
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::kInvalidArgument, step, "",
                     "a string is not valid UTF-8");
  }
}

// Reads typed fields of one object and keeps the first error. After an error,
// the returned values are defaults and must not be used.
class Reader {
 public:
  Reader(const Json& object, const char* step) : object(object), step(step) {
    if (!object.is_object()) {
      this->Fail("", "an object");
    }
  }

  bool Ok() const { return this->message.empty(); }
  bool Has(const char* key) const {
    return this->object.is_object() && this->object.contains(key);
  }
  Error MakeFault() const {
    return MakeError(ErrorCode::kMalformed, this->step, "", this->message);
  }

  std::string String(const char* key) {
    const Json* field = this->Find(key);
    if (field == nullptr || !field->is_string()) {
      this->Fail(key, "a string");
      return "";
    }
    return field->get<std::string>();
  }
  // Like String(), but an empty string is an error.
  std::string Name(const char* key) {
    std::string name = this->String(key);
    if (name.empty()) {
      this->Fail(key, "a non-empty string");
    }
    return name;
  }
  bool Bool(const char* key) {
    const Json* field = this->Find(key);
    if (field == nullptr || !field->is_boolean()) {
      this->Fail(key, "true or false");
      return false;
    }
    return field->get<bool>();
  }
  // A number from 0 to 2^63-1.
  std::uint64_t Number(const char* key) {
    const Json* field = this->Find(key);
    constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
    if (field == nullptr || !field->is_number_unsigned() ||
        field->get<std::uint64_t>() > kMax) {
      this->Fail(key, "an integer from 0 to 2^63-1");
      return 0;
    }
    return field->get<std::uint64_t>();
  }
  // An array; an empty one if the key is absent.
  const Json& Array(const char* key) {
    static const Json empty = Json::array();
    const Json* field = this->Find(key);
    if (field == nullptr) {
      return empty;
    }
    if (!field->is_array()) {
      this->Fail(key, "an array");
      return empty;
    }
    return *field;
  }
  std::vector<std::string> Strings(const char* key) {
    std::vector<std::string> strings;
    for (const Json& entry : this->Array(key)) {
      if (!entry.is_string()) {
        this->Fail(key, "an array of strings");
        return {};
      }
      strings.push_back(entry.get<std::string>());
    }
    return strings;
  }
  // Copies the error of a nested object's reader unless there is one already.
  void PropagateError(const Reader& nested) {
    if (this->Ok()) {
      this->message = nested.message;
    }
  }
  void Fail(const std::string& key, const std::string& expected) {
    if (this->Ok()) {
      this->message = "field \"" + key + "\": expected " + expected;
    }
  }

 private:
  const Json* Find(const char* key) const {
    return this->Has(key) ? &this->object[key] : nullptr;
  }

  const Json& object;
  const char* step;
  std::string message;
};

}  // namespace peridot::json_internal

#endif  // SRC_PROTOCOL_JSON_INTERNAL_H_
