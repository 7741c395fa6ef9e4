#include "mysql/binary_value.hpp"

#include <array>
#include <bit>
#include <cstdio>

#include "mysql/protocol.hpp"

namespace bellstair::mysql {
namespace {

// Column types that are only read. Those that are also written are in protocol.hpp.
constexpr std::uint8_t kTypeDecimal = 0x00, kTypeTiny = 0x01, kTypeShort = 0x02, kTypeLong = 0x03,
                       kTypeFloat = 0x04, kTypeTimestamp = 0x07, kTypeInt24 = 0x09, kTypeDate = 0x0a,
                       kTypeTime = 0x0b, kTypeDateTime = 0x0c, kTypeYear = 0x0d, kTypeVarchar = 0x0f,
                       kTypeBit = 0x10, kTypeJson = 0xf5, kTypeNewDecimal = 0xf6, kTypeEnum = 0xf7,
                       kTypeSet = 0xf8, kTypeTinyBlob = 0xf9, kTypeMediumBlob = 0xfa, kTypeLongBlob = 0xfb,
                       kTypeString = 0xfe;

template <class Float, class Bits>
double to_double(std::uint64_t bits) {
  return static_cast<double>(std::bit_cast<Float>(static_cast<Bits>(bits)));
}

std::string two_digits(unsigned value) {
  std::array<char, 8> out{};
  std::snprintf(out.data(), out.size(), "%02u", value % 100);
  return out.data();
}

std::string read_microseconds(Cursor& in) {
  std::array<char, 16> out{};
  std::snprintf(out.data(), out.size(), ".%06u", in.u32() % 1000000);
  return out.data();
}

// A date with a time is encoded as its parts; trailing parts that are zero are left out.
std::string read_date_time(Cursor& in) {
  const auto size = in.u8();
  if (size != 0 && size != 4 && size != 7 && size != 11) throw MalformedPacket("a date of a wrong length");
  const unsigned year = size >= 4 ? in.u16() : 0U, month = size >= 4 ? in.u8() : 0U,
                 day = size >= 4 ? in.u8() : 0U;
  std::string out =
      two_digits(year / 100) + two_digits(year) + "-" + two_digits(month) + "-" + two_digits(day);
  if (size < 7) return out;
  const unsigned hour = in.u8(), minute = in.u8(), second = in.u8();
  out += " " + two_digits(hour) + ":" + two_digits(minute) + ":" + two_digits(second);
  if (size < 11) return out;
  return out + read_microseconds(in);
}

std::string read_time(Cursor& in) {
  const auto size = in.u8();
  if (size != 0 && size != 8 && size != 12) throw MalformedPacket("a time of a wrong length");
  if (size == 0) return "00:00:00";
  const bool negative = in.u8() != 0;
  const auto days = in.u32();
  const unsigned hour = in.u8(), minute = in.u8(), second = in.u8();
  std::string out = (negative ? "-" : "") + std::to_string(std::uint64_t{days} * 24 + hour) + ":" +
                    two_digits(minute) + ":" + two_digits(second);
  if (size < 12) return out;
  return out + read_microseconds(in);
}

sql::Value read_integer(Cursor& in, std::size_t bytes, bool is_unsigned) {
  const auto raw = in.number(bytes);
  if (is_unsigned) return raw;
  const auto shift = 64 - 8 * bytes;
  return static_cast<std::int64_t>(raw << shift) >> shift;  // sign-extends
}

}  // namespace

sql::Value read_binary_value(Cursor& in, std::uint16_t type) {
  const bool is_unsigned = (type & kUnsignedFlag) != 0;
  switch (type & 0xff) {
    case kTypeTiny:
      return read_integer(in, 1, is_unsigned);
    case kTypeShort:
    case kTypeYear:
      return read_integer(in, 2, is_unsigned);
    case kTypeLong:
    case kTypeInt24:
      return read_integer(in, 4, is_unsigned);
    case kTypeLongLong:
      return read_integer(in, 8, is_unsigned);
    case kTypeFloat:
      return to_double<float, std::uint32_t>(in.number(4));
    case kTypeDouble:
      return to_double<double, std::uint64_t>(in.number(8));
    case kTypeNull:
      return sql::Null{};
    case kTypeTimestamp:
    case kTypeDate:
    case kTypeDateTime:
      return read_date_time(in);
    case kTypeTime:
      return read_time(in);
    case kTypeTinyBlob:
    case kTypeMediumBlob:
    case kTypeLongBlob:
    case kTypeBlob:
      return sql::Bytes{std::string(in.lenenc_text())};
    case kTypeDecimal:
    case kTypeVarchar:
    case kTypeBit:
    case kTypeJson:
    case kTypeNewDecimal:
    case kTypeEnum:
    case kTypeSet:
    case kTypeVarString:
    case kTypeString:
      return std::string(in.lenenc_text());
    default:
      throw MalformedPacket("a parameter of an unknown type");
  }
}

std::uint16_t binary_type_of(const sql::Value& value) {
  switch (value.index()) {
    case 0:
      return kTypeNull;
    case 1:
      return kTypeLongLong;
    case 2:
      return kTypeLongLong | kUnsignedFlag;
    case 3:
      return kTypeDouble;
    case 4:
      return kTypeVarString;
    default:
      return kTypeBlob;
  }
}

void write_binary_value(Writer& out, const sql::Value& value) {
  if (const auto* i = std::get_if<std::int64_t>(&value)) out.number(static_cast<std::uint64_t>(*i), 8);
  if (const auto* u = std::get_if<std::uint64_t>(&value)) out.number(*u, 8);
  if (const auto* d = std::get_if<double>(&value)) out.number(std::bit_cast<std::uint64_t>(*d), 8);
  if (const auto* text = std::get_if<std::string>(&value)) out.lenenc_text(*text);
  if (const auto* bytes = std::get_if<sql::Bytes>(&value)) out.lenenc_text(bytes->bytes);
}

void set_bit(std::string& bitmap, std::size_t bit) {
  bitmap[bit / 8] = static_cast<char>(bitmap[bit / 8] | (1 << (bit % 8)));
}

bool has_bit(std::string_view bitmap, std::size_t bit) {
  return ((static_cast<unsigned char>(bitmap[bit / 8]) >> (bit % 8)) & 1U) != 0;
}

}  // namespace bellstair::mysql
