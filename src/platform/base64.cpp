#include "platform/base64.hpp"

#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace bellstair::platform {

std::string to_base64(std::string_view bytes) {
  std::string out((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const auto size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()));
  out.resize(static_cast<std::size_t>(size));
  return out;
}

std::optional<std::string> from_base64(std::string_view text) {
  if (text.size() % 4 != 0) return std::nullopt;
  // EVP_DecodeBlock skips white space at both ends and decodes padding as zero bytes: here white space is
  // rejected, and the bytes of the padding are cut off.
  const auto padding = text.size() - std::min(text.size(), text.find_last_not_of('=') + 1);
  const auto digits = text.substr(0, text.size() - std::min<std::size_t>(padding, 2));
  const auto valid = [](unsigned char c) { return std::isalnum(c) != 0 || c == '+' || c == '/'; };
  if (!std::ranges::all_of(digits, valid)) return std::nullopt;
  std::string out(text.size() / 4 * 3, '\0');
  const auto size =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(out.data()),
                      reinterpret_cast<const unsigned char*>(text.data()), static_cast<int>(text.size()));
  if (size < 0) return std::nullopt;
  out.resize(static_cast<std::size_t>(size) - (text.size() - digits.size()));
  return out;
}

}  // namespace bellstair::platform
