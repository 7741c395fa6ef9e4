// Parses JSON texts that others send. Takes time and memory in proportion to the length of the text, whatever
// it contains, and stops at the first byte that exceeds a limit.
#pragma once

#include <cstddef>
#include <limits>
#include <nlohmann/json.hpp>
#include <string_view>

#include "common/error.hpp"

namespace bellstair {

struct JsonLimits {
  // Of names and values: how many arrays and objects enclose them.
  std::size_t max_depth = std::numeric_limits<std::size_t>::max();
  // Names, scalar values, and the beginnings and ends of arrays and objects.
  std::size_t max_elements = std::numeric_limits<std::size_t>::max();
  // Arrays and objects that this many others enclose are checked, but empty in the result: for readers that
  // never look into them.
  std::size_t kept_depth = std::numeric_limits<std::size_t>::max();
};

enum class JsonFault { syntax, too_deep, too_many_elements };
using JsonError = CodedError<JsonFault>;

// Throws JsonError; its text for a syntax error is the JSON library's and may quote parts of the input.
[[nodiscard]] nlohmann::json parse_bounded_json(std::string_view text, const JsonLimits& limits);

}  // namespace bellstair
