#include "mysql/payload.hpp"

#include "mysql/protocol.hpp"

namespace bellstair::mysql {
namespace {

// First bytes of length-encoded integers whose value follows in two, three or eight bytes, and the first
// bytes that mark NULL or an error in the place of an integer.
constexpr std::uint8_t kNullMark = 0xfb, kLength2 = 0xfc, kLength3 = 0xfd, kLength8 = 0xfe, kErrorMark = 0xff;

}  // namespace

std::uint64_t Cursor::number(std::size_t bytes) {
  const auto raw = text(bytes);
  std::uint64_t value = 0;
  for (std::size_t i = bytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(raw[i]);
  return value;
}

std::uint64_t Cursor::lenenc() {
  switch (const auto first = u8()) {
    case kLength2:
      return number(2);
    case kLength3:
      return number(3);
    case kLength8:
      return number(8);
    case kNullMark:
    case kErrorMark:
      throw MalformedPacket("a length that is none");
    default:
      return first;
  }
}

std::string_view Cursor::text(std::size_t bytes) {
  if (bytes > in_.size()) throw MalformedPacket("a packet is cut short");
  const auto out = in_.substr(0, bytes);
  in_.remove_prefix(bytes);
  return out;
}

std::string_view Cursor::lenenc_text() { return text(lenenc()); }

std::string_view Cursor::zero_terminated_text() {
  const auto end = in_.find('\0');
  if (end == std::string_view::npos) throw MalformedPacket("a text without its end");
  const auto out = text(end);
  in_.remove_prefix(1);
  return out;
}

std::string_view Cursor::rest() { return text(in_.size()); }

Writer& Writer::number(std::uint64_t value, std::size_t bytes) {
  for (std::size_t i = 0; i < bytes; ++i) out_.push_back(static_cast<char>(value >> (8 * i)));
  return *this;
}

Writer& Writer::lenenc(std::uint64_t value) {
  if (value < kNullMark) return number(value, 1);
  if (value < 0x10000) return number(kLength2, 1).number(value, 2);
  if (value < 0x1000000) return number(kLength3, 1).number(value, 3);
  return number(kLength8, 1).number(value, 8);
}

Writer& Writer::text(std::string_view value) {
  out_.append(value);
  return *this;
}
Writer& Writer::lenenc_text(std::string_view value) { return lenenc(value.size()).text(value); }
Writer& Writer::zero_terminated_text(std::string_view value) { return text(value).u8(0); }

}  // namespace bellstair::mysql
