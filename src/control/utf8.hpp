// Converts text of any origin to valid UTF-8.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace bellstair::control {

// Returns at most `max_bytes` of the text as valid UTF-8: each invalid byte is replaced by '?', and no
// character is split.
[[nodiscard]] std::string sanitize_utf8(std::string_view text, std::size_t max_bytes);

}  // namespace bellstair::control
