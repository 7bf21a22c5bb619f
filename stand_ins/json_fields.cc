#include "stand_ins/json_fields.h"

#include <string_view>

namespace peridot::stand_ins {
namespace {

using nlohmann::json;

Error Malformed(std::string message) {
  return MakeError(ErrorCode::kMalformed, "parse", "client",
                   std::move(message));
}

std::string Quoted(std::string_view name) {
  std::string quoted(1, '\'');
  quoted.append(name).push_back('\'');
  return quoted;
}

}  // namespace

Result<json> ParseObject(const std::string& body) {
  json value = json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (value.is_discarded())
    return Malformed("the body is not valid JSON");
  if (!value.is_object())
    return Malformed("the body is not a JSON object");
  return value;
}

std::string ToText(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

const json* JsonFields::Find(const char* name, Presence presence) {
  this->known_fields.insert(name);
  const auto field = this->object.find(name);
  if (field != this->object.end())
    return &*field;
  if (presence == Presence::kRequired)
    this->Fail("the field " + Quoted(name) + " is missing");
  return nullptr;
}

void JsonFields::Fail(std::string message) {
  if (!this->first_error)
    this->first_error = std::move(message);
}

void JsonFields::Bool(const char* name, bool& out) {
  const json* field = this->Find(name, Presence::kOptional);
  if (field == nullptr)
    return;
  if (!field->is_boolean())
    return this->Fail("the field " + Quoted(name) + " is not a boolean");
  out = field->get<bool>();
}

void JsonFields::Text(const char* name, std::string& out, Presence presence) {
  const json* field = this->Find(name, presence);
  if (field == nullptr)
    return;
  if (!field->is_string())
    return this->Fail("the field " + Quoted(name) + " is not a string");
  out = field->get<std::string>();
}

void JsonFields::Texts(const char* name, std::vector<std::string>& out) {
  const json* field = this->Find(name, Presence::kOptional);
  if (field == nullptr)
    return;
  if (!field->is_array())
    return this->Fail("the field " + Quoted(name) + " is not an array");
  std::vector<std::string> texts;
  for (const json& item : *field) {
    if (!item.is_string())
      return this->Fail(Quoted(name) + " holds an item that is not a string");
    texts.push_back(item.get<std::string>());
  }
  out = std::move(texts);
}

void JsonFields::Integer(const char* name,
                         std::int64_t& out,
                         Presence presence,
                         std::int64_t low,
                         std::int64_t high) {
  const json* field = this->Find(name, presence);
  if (field == nullptr)
    return;
  if (!field->is_number_integer())
    return this->Fail("the field " + Quoted(name) + " is not an integer");
  constexpr std::uint64_t kLargest = std::numeric_limits<std::int64_t>::max();
  const bool overflows =
      field->is_number_unsigned() && field->get<std::uint64_t>() > kLargest;
  const std::int64_t value = overflows ? 0 : field->get<std::int64_t>();
  if (overflows || value < low || value > high) {
    return this->Fail("the field " + Quoted(name) + " is not in " +
                      std::to_string(low) + ".." + std::to_string(high));
  }
  out = value;
}

void JsonFields::Objects(const char* name,
                         const std::function<void(JsonFields&)>& read) {
  const json* field = this->Find(name, Presence::kOptional);
  if (field == nullptr)
    return;
  if (!field->is_array())
    return this->Fail("the field " + Quoted(name) + " is not an array");
  for (const json& item : *field) {
    if (!item.is_object())
      return this->Fail(Quoted(name) + " holds an item that is not an object");
    JsonFields fields(item);
    read(fields);
    const Result<void> finished = fields.Finish();
    if (!finished)
      return this->Fail("in " + Quoted(name) + ": " + finished.error().message);
  }
}

Result<void> JsonFields::Finish() const {
  if (this->first_error)
    return Malformed(*this->first_error);
  for (const auto& [name, value] : this->object.items()) {
    if (!this->known_fields.contains(name))
      return Malformed("the field " + Quoted(name) + " is not known");
  }
  return boost::outcome_v2::success();
}

}  // namespace peridot::stand_ins
