#include "mysql/handshake.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>

#include "mysql/payload.hpp"

namespace bellstair::mysql {
namespace {

constexpr std::uint8_t kProtocolVersion = 10;
constexpr std::uint32_t kMaxPacket = 1U << 24;  // bytes; the largest packet that the client accepts
// The nonce is sent in two parts; the second ends with a zero byte.
constexpr std::size_t kNonceBytes = 20, kNonceFirstPart = 8, kNonceSecondPartMinimum = 13;

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
      .zero_terminated_text(greeting.version)
      .u32(greeting.connection)
      .zero_terminated_text(greeting.nonce.substr(0, kNonceFirstPart))
      .u16(static_cast<std::uint16_t>(greeting.capabilities))
      .u8(kUtf8)
      .u16(kAutocommit)
      .u16(static_cast<std::uint16_t>(greeting.capabilities >> 16))
      .u8(kNonceBytes + 1)
      .text(std::string(10, '\0'))
      .zero_terminated_text(greeting.nonce.substr(kNonceFirstPart))
      .zero_terminated_text(greeting.plugin)
      .take();
}

Greeting read_greeting(std::string_view payload) {
  Cursor in(payload);
  Greeting out;
  if (in.u8() != kProtocolVersion) throw MalformedPacket("unsupported protocol version in the handshake");
  out.version = in.zero_terminated_text();
  out.connection = in.u32();
  out.nonce = in.text(kNonceFirstPart);
  static_cast<void>(in.u8());
  out.capabilities = in.u16();
  static_cast<void>(in.text(3));  // character set and status
  out.capabilities |= static_cast<std::uint32_t>(in.u16()) << 16;
  const auto size = in.u8();
  static_cast<void>(in.text(10));
  if ((out.capabilities & kSecureConnection) != 0) {
    const auto second_part = in.text(
        std::max<std::size_t>(kNonceSecondPartMinimum, size > kNonceFirstPart ? size - kNonceFirstPart : 0U));
    out.nonce.append(second_part.substr(0, kNonceBytes - kNonceFirstPart));
  }
  if ((out.capabilities & kPluginAuth) != 0) out.plugin = in.zero_terminated_text();
  return out;
}

std::string write_login(const Login& login) {
  Writer out;
  out.u32(login.capabilities)
      .u32(kMaxPacket)
      .u8(kUtf8)
      .text(std::string(23, '\0'))
      .zero_terminated_text(login.user);
  out.lenenc_text(login.auth_response);  // callers always set kLenencAuth
  if ((login.capabilities & kConnectWithDb) != 0) out.zero_terminated_text(login.database);
  if ((login.capabilities & kPluginAuth) != 0) out.zero_terminated_text(login.plugin);
  return out.take();
}

Login read_login(std::string_view payload) {
  Cursor in(payload);
  Login out;
  out.capabilities = in.u32();
  if ((out.capabilities & kProtocol41) == 0) throw MalformedPacket("a client older than protocol 4.1");
  static_cast<void>(in.text(4 + 1 + 23));
  out.user = in.zero_terminated_text();
  if ((out.capabilities & kLenencAuth) != 0) {
    out.auth_response = in.lenenc_text();
  } else if ((out.capabilities & kSecureConnection) != 0) {
    out.auth_response = in.text(in.u8());
  } else {
    out.auth_response = in.zero_terminated_text();
  }
  if ((out.capabilities & kConnectWithDb) != 0) out.database = in.zero_terminated_text();
  if ((out.capabilities & kPluginAuth) != 0 && !in.empty()) out.plugin = in.zero_terminated_text();
  if ((out.capabilities & kConnectAttributes) != 0 && !in.empty()) static_cast<void>(in.lenenc_text());
  return out;
}

std::string native_auth_response(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto password_hash = digest(EVP_sha1(), password);
  return exclusive_or(password_hash, digest(EVP_sha1(), nonce, digest(EVP_sha1(), password_hash)));
}

std::string sha2_auth_response(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto password_hash = digest(EVP_sha256(), password);
  return exclusive_or(password_hash, digest(EVP_sha256(), digest(EVP_sha256(), password_hash), nonce));
}

bool equal_in_constant_time(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace bellstair::mysql
