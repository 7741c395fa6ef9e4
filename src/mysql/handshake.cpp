#include "mysql/handshake.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>

#include "mysql/payload.hpp"

namespace bellstair::mysql {
namespace {

constexpr std::uint8_t kProtocolVersion = 10;
constexpr std::uint32_t kMaxPacket = 1U << 24;  // bytes, that a client takes
// The nonce travels in two parts; the second ends in a zero byte.
constexpr std::size_t kNonceBytes = 20, kNonceFirstPart = 8, kNonceRestMinimum = 13;

std::string digest(const EVP_MD* kind, std::string_view a, std::string_view b = {}) {
  std::string joined(a);
  joined.append(b);
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned size = 0;
  EVP_Digest(joined.data(), joined.size(), out.data(), &size, kind, nullptr);
  return {reinterpret_cast<const char*>(out.data()), size};
}

std::string exclusive_or(std::string a, std::string_view b) {
  for (std::size_t i = 0; i < a.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i]);
  return a;
}

}  // namespace

std::string write_greeting(const Greeting& greeting) {
  return Writer()
      .u8(kProtocolVersion)
      .null_text(greeting.version)
      .u32(greeting.connection)
      .null_text(greeting.nonce.substr(0, kNonceFirstPart))
      .u16(static_cast<std::uint16_t>(greeting.capabilities))
      .u8(kUtf8)
      .u16(kAutocommit)
      .u16(static_cast<std::uint16_t>(greeting.capabilities >> 16))
      .u8(kNonceBytes + 1)
      .text(std::string(10, '\0'))
      .null_text(greeting.nonce.substr(kNonceFirstPart))
      .null_text(greeting.plugin)
      .take();
}

Greeting read_greeting(std::string_view payload) {
  Cursor in(payload);
  Greeting out;
  if (in.u8() != kProtocolVersion) throw MalformedPacket("a handshake of another version");
  out.version = in.null_text();
  out.connection = in.u32();
  out.nonce = in.text(kNonceFirstPart);
  static_cast<void>(in.u8());
  out.capabilities = in.u16();
  static_cast<void>(in.text(3));  // character set and status
  out.capabilities |= static_cast<std::uint32_t>(in.u16()) << 16;
  const auto size = in.u8();
  static_cast<void>(in.text(10));
  if ((out.capabilities & kSecureConnection) != 0) {
    const auto more = in.text(
        std::max<std::size_t>(kNonceRestMinimum, size > kNonceFirstPart ? size - kNonceFirstPart : 0U));
    out.nonce.append(more.substr(0, kNonceBytes - kNonceFirstPart));
  }
  if ((out.capabilities & kPluginAuth) != 0) out.plugin = in.null_text();
  return out;
}

std::string write_login(const Login& login) {
  Writer out;
  out.u32(login.capabilities).u32(kMaxPacket).u8(kUtf8).text(std::string(23, '\0')).null_text(login.user);
  out.lenenc_text(login.answer);  // kLenencAuth is always set here
  if ((login.capabilities & kConnectWithDb) != 0) out.null_text(login.database);
  if ((login.capabilities & kPluginAuth) != 0) out.null_text(login.plugin);
  return out.take();
}

Login read_login(std::string_view payload) {
  Cursor in(payload);
  Login out;
  out.capabilities = in.u32();
  if ((out.capabilities & kProtocol41) == 0) throw MalformedPacket("a client older than protocol 4.1");
  static_cast<void>(in.text(4 + 1 + 23));
  out.user = in.null_text();
  if ((out.capabilities & kLenencAuth) != 0) {
    out.answer = in.lenenc_text();
  } else if ((out.capabilities & kSecureConnection) != 0) {
    out.answer = in.text(in.u8());
  } else {
    out.answer = in.null_text();
  }
  if ((out.capabilities & kConnectWithDb) != 0) out.database = in.null_text();
  if ((out.capabilities & kPluginAuth) != 0 && !in.empty()) out.plugin = in.null_text();
  if ((out.capabilities & kConnectAttributes) != 0 && !in.empty()) static_cast<void>(in.lenenc_text());
  return out;
}

std::string native_auth_response(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto once = digest(EVP_sha1(), password);
  return exclusive_or(once, digest(EVP_sha1(), nonce, digest(EVP_sha1(), once)));
}

std::string sha2_answer(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto once = digest(EVP_sha256(), password);
  return exclusive_or(once, digest(EVP_sha256(), digest(EVP_sha256(), once), nonce));
}

bool same_secret(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace bellstair::mysql
