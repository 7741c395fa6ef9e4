#include "control/utf8.hpp"

#include <algorithm>

namespace bellstair::control {
namespace {

// The length that a character's first byte announces; 0 if no character begins with it.
std::size_t character_length(unsigned char lead) {
  if (lead < 0x80) return 1;
  if (lead >= 0xC2 && lead < 0xE0) return 2;
  if (lead >= 0xE0 && lead < 0xF0) return 3;
  if (lead >= 0xF0 && lead < 0xF5) return 4;
  return 0;
}

// Rejects overlong forms, surrogates and code points beyond U+10FFFF.
bool second_byte_fits(unsigned char lead, unsigned char second) {
  if (lead == 0xE0) return second >= 0xA0;
  if (lead == 0xED) return second <= 0x9F;
  if (lead == 0xF0) return second >= 0x90;
  if (lead == 0xF4) return second <= 0x8F;
  return true;
}

// The length of the valid character at the start of `text`; 0 if there is none.
std::size_t valid_character(std::string_view text) {
  const auto lead = static_cast<unsigned char>(text[0]);
  const auto length = character_length(lead);
  if (length == 0 || length > text.size()) return 0;
  for (std::size_t i = 1; i < length; ++i) {
    const auto byte = static_cast<unsigned char>(text[i]);
    if ((byte & 0xC0U) != 0x80) return 0;
    if (i == 1 && !second_byte_fits(lead, byte)) return 0;
  }
  return length;
}

}  // namespace

std::string sanitize_utf8(std::string_view text, std::size_t max_bytes) {
  std::string out;
  out.reserve(std::min(text.size(), max_bytes));
  while (!text.empty()) {
    const auto valid = valid_character(text);
    const auto length = std::max<std::size_t>(valid, 1);
    if (out.size() + length > max_bytes) break;
    if (valid != 0) {
      out += text.substr(0, length);
    } else {
      out += '?';
    }
    text.remove_prefix(length);
  }
  return out;
}

}  // namespace bellstair::control
