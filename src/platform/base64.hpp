// Strict Base64 with padding, based on OpenSSL's codec.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bellstair::platform {

[[nodiscard]] std::string to_base64(std::string_view bytes);
[[nodiscard]] std::optional<std::string> from_base64(std::string_view text);

}  // namespace bellstair::platform
