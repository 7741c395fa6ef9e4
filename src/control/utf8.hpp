// Text of any origin as valid UTF-8.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bellstair::control {

// At most `max_bytes` of the text as valid UTF-8: each invalid byte becomes '?', and no character is cut.
[[nodiscard]] std::string sanitize_utf8(std::string_view text, std::size_t max_bytes);

}  // namespace bellstair::control
