// Typed access to JSON fields. All functions throw Invalid with the field's name, given as `key` or `field`.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace bellstair::config {

[[noreturn]] void fail(const std::string& field, const char* what);
// Returns the member; it must exist and not be null.
[[nodiscard]] const nlohmann::json& require_member(const nlohmann::json& in, const char* key);
[[nodiscard]] std::string text(const nlohmann::json& value, const char* key);
// Returns an empty text if the member is missing or null.
[[nodiscard]] std::string text_or_empty(const nlohmann::json& in, const char* key);
[[nodiscard]] std::uint64_t integer(const nlohmann::json& value, const char* key);
const nlohmann::json& object(const nlohmann::json& value, const char* key);
[[nodiscard]] const nlohmann::json& list(const nlohmann::json& value, const char* key);
void check_address(const std::string& value, const char* field);  // accepts an empty address as not given
// Parses a JSON object. `what` names the text in errors.
[[nodiscard]] nlohmann::json parse_json(std::string_view in, const char* what);

}  // namespace bellstair::config
