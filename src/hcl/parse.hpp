// Text to plain values, by a grammar in PEGTL. A text whose first sign is '{' is taken for HCL's JSON form:
// one object, whose members are the attributes and blocks.
#pragma once

#include <string>
#include <string_view>

#include "hcl/value.hpp"

namespace bellstair::hcl {

inline constexpr std::size_t kMaxText = std::size_t{1} << 20;  // bytes; more is refused
inline constexpr std::size_t kMaxDepth =
    32;  // of lists, objects and blocks: the parser's own stack is bounded

// Throws Invalid. Templates, functions, references and operators are refused by name.
[[nodiscard]] Body parse(std::string_view text, const std::string& file);

}  // namespace bellstair::hcl
