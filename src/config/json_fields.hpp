// Typed reading of JSON fields. All functions throw Invalid with the field's name, given as `key` or `field`.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace bellstair::config {

// Throws Invalid.
[[noreturn]] void fail(const std::string& field, const char* what);
// The member, which must not be null.
[[nodiscard]] const nlohmann::json& need(const nlohmann::json& in, const char* key);
[[nodiscard]] std::string text(const nlohmann::json& value, const char* key);
// Empty if the member is missing or null.
[[nodiscard]] std::string text_or_none(const nlohmann::json& in, const char* key);
[[nodiscard]] std::uint64_t integer(const nlohmann::json& value, const char* key);
const nlohmann::json& object(const nlohmann::json& value, const char* key);
[[nodiscard]] const nlohmann::json& list(const nlohmann::json& value, const char* key);
void check_address(const std::string& value, const char* field);  // empty ones are not given, and pass
// An object. `what`: how the text is called in errors.
[[nodiscard]] nlohmann::json parse_json(std::string_view in, const char* what);

}  // namespace bellstair::config
