// Reading JSON field by field; what is wrong is told by the field's name.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "config/config.hpp"

namespace bellstair::config {

[[noreturn]] void bad(const std::string& field, const char* what);
[[nodiscard]] const nlohmann::json& need(const nlohmann::json& in, const char* key);
[[nodiscard]] std::string text(const nlohmann::json& value, const char* key);
[[nodiscard]] std::string text_or_none(const nlohmann::json& in, const char* key);
[[nodiscard]] std::uint64_t whole(const nlohmann::json& value, const char* key);
const nlohmann::json& object(const nlohmann::json& value, const char* key);
[[nodiscard]] const nlohmann::json& list(const nlohmann::json& value, const char* key);
void check_address(const std::string& value, const char* field);  // one that is empty is not given
[[nodiscard]] nlohmann::json parse_json(std::string_view in, const char* what);

}  // namespace bellstair::config
