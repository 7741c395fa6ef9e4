// Parses HCL text into plain values with a PEGTL grammar. A text whose first character is '{' is parsed as
// HCL's JSON form: one object, whose members are the attributes and blocks.
#pragma once

#include <string>
#include <string_view>

#include "hcl/value.hpp"

namespace bellstair::hcl {

inline constexpr std::size_t kMaxText = std::size_t{1} << 20;  // bytes; a longer text is rejected
inline constexpr std::size_t kMaxDepth = 32;  // of lists, objects and blocks; bounds the parser's stack

// Throws Invalid. Templates, functions, references and operators are rejected with an error that names them.
[[nodiscard]] Body parse(std::string_view text, const std::string& file);

}  // namespace bellstair::hcl
