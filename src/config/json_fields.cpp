#include "config/json_fields.hpp"

#include "net/socket.hpp"

namespace bellstair::config {

using nlohmann::json;

void fail(const std::string& field, const char* what) { throw Invalid(field + ": " + what); }

const json& require_member(const json& in, const char* key) {
  const auto found = in.find(key);
  if (found == in.end() || found->is_null()) fail(key, "is missing");
  return *found;
}

std::string text(const json& value, const char* key) {
  if (!value.is_string()) fail(key, "is not a string");
  return value.get<std::string>();
}

std::string text_or_empty(const json& in, const char* key) {
  const auto found = in.find(key);
  return found == in.end() || found->is_null() ? std::string() : text(*found, key);
}

std::uint64_t integer(const json& value, const char* key) {
  if (!value.is_number_unsigned()) fail(key, "is not a whole number of 0 or more");
  return value.get<std::uint64_t>();
}

const json& object(const json& value, const char* key) {
  if (!value.is_object()) fail(key, "is not an object");
  return value;
}

const json& list(const json& value, const char* key) {
  if (!value.is_array()) fail(key, "is not a list");
  return value;
}

void check_address(const std::string& value, const char* field) {
  if (!value.empty() && !net::parse_address(value)) fail(field, "is not an address with a port");
}

json parse_json(std::string_view in, const char* what) {
  json out = json::parse(in, nullptr, false);
  if (out.is_discarded() || !out.is_object()) fail(what, "is not a JSON object");
  return out;
}
}  // namespace bellstair::config
