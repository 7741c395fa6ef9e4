#include "control/version.hpp"

#include <openssl/evp.h>

#include <array>
#include <memory>
#include <span>
#include <stdexcept>
#include <string_view>

namespace bellstair::control {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

void append_big_endian(std::string& out, std::uint64_t value) {
  for (int shift = 56; shift >= 0; shift -= 8) out += static_cast<char>((value >> shift) & 0xFFU);
}

std::string to_hex(std::span<const unsigned char> bytes) {
  std::string out;
  for (const auto byte : bytes) {
    out += kHexDigits[byte >> 4U];
    out += kHexDigits[byte & 0xFU];
  }
  return out;
}

// Hashes `head` followed by `tail`; documents are long, so they are not copied into one string.
std::string sha256_hex(std::string_view head, std::string_view tail) {
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
  unsigned length = 0;
  const bool computed = context != nullptr && EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr) == 1 &&
                        EVP_DigestUpdate(context.get(), head.data(), head.size()) == 1 &&
                        EVP_DigestUpdate(context.get(), tail.data(), tail.size()) == 1 &&
                        EVP_DigestFinal_ex(context.get(), sum.data(), &length) == 1;
  if (!computed) throw std::runtime_error("SHA-256 could not be computed");
  return to_hex(std::span(sum).first(length));
}

}  // namespace

std::string to_text(VersionId id) { return std::to_string(id.epoch) + "." + std::to_string(id.number); }

std::string compute_digest(const Version& version) {
  // Numbers and lengths have a fixed width, so that the boundaries between the parts are unambiguous.
  std::string head;
  append_big_endian(head, version.id.epoch);
  append_big_endian(head, version.id.number);
  append_big_endian(head, version.leader.size());
  head += version.leader;
  append_big_endian(head, version.text.size());
  return sha256_hex(head, version.text);
}

}  // namespace bellstair::control
