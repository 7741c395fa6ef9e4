#include "control/version.hpp"

#include <openssl/evp.h>

#include <array>
#include <stdexcept>

namespace bellstair::control {

std::string to_text(Place place) { return std::to_string(place.epoch) + "." + std::to_string(place.number); }

std::string digest_of(const Version& version) {
  std::string head;  // eight bytes each, so that no part can pass into the next
  const auto number = [&head](std::uint64_t value) {
    for (int shift = 56; shift >= 0; shift -= 8) head += static_cast<char>((value >> shift) & 0xFFU);
  };
  number(version.place.epoch);
  number(version.place.number);
  number(version.writer.size());
  head += version.writer;
  number(version.text.size());

  std::array<unsigned char, EVP_MAX_MD_SIZE> sum{};
  unsigned length = 0;
  EVP_MD_CTX* context = EVP_MD_CTX_new();
  const bool done = context != nullptr && EVP_DigestInit_ex(context, EVP_sha256(), nullptr) == 1 &&
                    EVP_DigestUpdate(context, head.data(), head.size()) == 1 &&
                    EVP_DigestUpdate(context, version.text.data(), version.text.size()) == 1 &&
                    EVP_DigestFinal_ex(context, sum.data(), &length) == 1;
  EVP_MD_CTX_free(context);
  if (!done) throw std::runtime_error("SHA-256 could not be computed");
  std::string out;
  for (unsigned i = 0; i < length; ++i) {
    out += "0123456789abcdef"[sum[i] >> 4U];
    out += "0123456789abcdef"[sum[i] & 0xFU];
  }
  return out;
}

}  // namespace bellstair::control
