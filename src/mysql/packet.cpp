#include "mysql/packet.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <array>
#include <bit>
#include <charconv>
#include <cstdio>

namespace bellstair::mysql {
namespace {

constexpr std::size_t kHeader = 4;
constexpr std::size_t kNonce = 20;
constexpr std::uint8_t kEofMark = 0xfe, kErrorMark = 0xff, kNullCell = 0xfb;

std::string digest(const EVP_MD* kind, std::string_view a, std::string_view b = {}) {
  std::string joined(a);
  joined.append(b);
  std::array<unsigned char, EVP_MAX_MD_SIZE> out{};
  unsigned size = 0;
  EVP_Digest(joined.data(), joined.size(), out.data(), &size, kind, nullptr);
  return {reinterpret_cast<const char*>(out.data()), size};
}

std::string mixed(std::string a, std::string_view b) {
  for (std::size_t i = 0; i < a.size(); ++i) a[i] = static_cast<char>(a[i] ^ b[i]);
  return a;
}

template <class Float, class Bits>
double to_double(std::uint64_t bits) {
  return static_cast<double>(std::bit_cast<Float>(static_cast<Bits>(bits)));
}

std::string two(unsigned value) {
  std::array<char, 8> out{};
  std::snprintf(out.data(), out.size(), "%02u", value % 100);
  return out.data();
}

// Dates and times travel as parts, and as much of them as is not zero.
std::string date_time(Cursor& in) {
  const auto size = in.u8();
  if (size != 0 && size != 4 && size != 7 && size != 11) throw Malformed("a date of a wrong length");
  const unsigned year = size >= 4 ? in.u16() : 0U, month = size >= 4 ? in.u8() : 0U,
                 day = size >= 4 ? in.u8() : 0U;
  std::string out = two(year / 100) + two(year) + "-" + two(month) + "-" + two(day);
  if (size < 7) return out;
  const unsigned hour = in.u8(), minute = in.u8(), second = in.u8();
  out += " " + two(hour) + ":" + two(minute) + ":" + two(second);
  if (size < 11) return out;
  std::array<char, 16> micros{};
  std::snprintf(micros.data(), micros.size(), ".%06u", in.u32() % 1000000);
  return out + micros.data();
}

std::string time_span(Cursor& in) {
  const auto size = in.u8();
  if (size != 0 && size != 8 && size != 12) throw Malformed("a time of a wrong length");
  if (size == 0) return "00:00:00";
  const bool negative = in.u8() != 0;
  const auto days = in.u32();
  const unsigned hour = in.u8(), minute = in.u8(), second = in.u8();
  std::string out = (negative ? "-" : "") + std::to_string(std::uint64_t{days} * 24 + hour) + ":" +
                    two(minute) + ":" + two(second);
  if (size < 12) return out;
  std::array<char, 16> micros{};
  std::snprintf(micros.data(), micros.size(), ".%06u", in.u32() % 1000000);
  return out + micros.data();
}

sql::Value binary_value(Cursor& in, std::uint16_t type) {
  const bool is_unsigned = (type & 0x8000U) != 0;
  const auto whole = [&](std::size_t bytes) -> sql::Value {
    const auto raw = in.number(bytes);
    if (is_unsigned) return raw;
    const auto shift = 64 - 8 * bytes;
    return static_cast<std::int64_t>(raw << shift) >> shift;  // with its sign
  };
  switch (type & 0xff) {
    case 0x01:  // tiny
      return whole(1);
    case 0x02:  // short
    case 0x0d:  // year
      return whole(2);
    case 0x03:  // long
    case 0x09:  // int24
      return whole(4);
    case kTypeLongLong:
      return whole(8);
    case 0x04:  // float
      return to_double<float, std::uint32_t>(in.number(4));
    case kTypeDouble:
      return to_double<double, std::uint64_t>(in.number(8));
    case kTypeNull:
      return sql::Null{};
    case 0x07:  // timestamp
    case 0x0a:  // date
    case 0x0c:  // datetime
      return date_time(in);
    case 0x0b:  // time
      return time_span(in);
    case 0xf9:  // tiny blob
    case 0xfa:  // medium blob
    case 0xfb:  // long blob
    case kTypeBlob:
      return sql::Bytes{std::string(in.lenenc_text())};
    case 0x00:  // decimal
    case 0x0f:  // varchar
    case 0x10:  // bit
    case 0xf5:  // json
    case 0xf6:  // new decimal
    case 0xf7:  // enum
    case 0xf8:  // set
    case kTypeVarString:
    case 0xfe:  // string
      return std::string(in.lenenc_text());
    default:
      throw Malformed("a parameter of an unknown type");
  }
}

std::uint16_t type_of(const sql::Value& value) {
  switch (value.index()) {
    case 0:
      return kTypeNull;
    case 1:
      return kTypeLongLong;
    case 2:
      return kTypeLongLong | 0x8000U;
    case 3:
      return kTypeDouble;
    case 4:
      return kTypeVarString;
    default:
      return kTypeBlob;
  }
}

void write_value(Writer& out, const sql::Value& value) {
  if (const auto* i = std::get_if<std::int64_t>(&value)) out.number(static_cast<std::uint64_t>(*i), 8);
  if (const auto* u = std::get_if<std::uint64_t>(&value)) out.number(*u, 8);
  if (const auto* d = std::get_if<double>(&value)) out.number(std::bit_cast<std::uint64_t>(*d), 8);
  if (const auto* text = std::get_if<std::string>(&value)) out.lenenc_text(*text);
  if (const auto* bytes = std::get_if<sql::Bytes>(&value)) out.lenenc_text(bytes->bytes);
}

std::string null_bits(const std::vector<sql::Value>& values) {
  std::string out((values.size() + 7) / 8, '\0');
  for (std::size_t i = 0; i < values.size(); ++i) {
    if (std::holds_alternative<sql::Null>(values[i]))
      out[i / 8] = static_cast<char>(out[i / 8] | (1 << (i % 8)));
  }
  return out;
}

bool bit(std::string_view bits, std::size_t i) {
  return ((static_cast<unsigned char>(bits[i / 8]) >> (i % 8)) & 1U) != 0;
}

constexpr std::size_t kMaxParameters = 4096;

}  // namespace

// ---- bytes

std::optional<Packet> PacketReader::next() {
  if (in_.size() < kHeader) return std::nullopt;
  const auto byte = [this](std::size_t i) {
    return static_cast<std::size_t>(static_cast<unsigned char>(in_[i]));
  };
  const auto size = byte(0) | byte(1) << 8 | byte(2) << 16;
  if (size > most_) throw Malformed("a packet is too large");
  if (in_.size() < kHeader + size) return std::nullopt;
  Packet out{static_cast<std::uint8_t>(byte(3)), in_.substr(kHeader, size)};
  in_.erase(0, kHeader + size);
  return out;
}

std::uint64_t Cursor::number(std::size_t bytes) {
  const auto raw = text(bytes);
  std::uint64_t value = 0;
  for (std::size_t i = bytes; i-- > 0;) value = value << 8 | static_cast<unsigned char>(raw[i]);
  return value;
}

std::uint64_t Cursor::lenenc() {
  switch (const auto first = u8()) {
    case 0xfc:
      return number(2);
    case 0xfd:
      return number(3);
    case 0xfe:
      return number(8);
    case 0xfb:
    case 0xff:
      throw Malformed("a length that is none");
    default:
      return first;
  }
}

std::string_view Cursor::text(std::size_t bytes) {
  if (bytes > in_.size()) throw Malformed("a packet is cut short");
  const auto out = in_.substr(0, bytes);
  in_.remove_prefix(bytes);
  return out;
}

std::string_view Cursor::lenenc_text() { return text(lenenc()); }

std::string_view Cursor::null_text() {
  const auto end = in_.find('\0');
  if (end == std::string_view::npos) throw Malformed("a text without its end");
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
  if (value < 0xfb) return number(value, 1);
  if (value < 0x10000) return number(0xfc, 1).number(value, 2);
  if (value < 0x1000000) return number(0xfd, 1).number(value, 3);
  return number(0xfe, 1).number(value, 8);
}

Writer& Writer::text(std::string_view value) {
  out_.append(value);
  return *this;
}
Writer& Writer::lenenc_text(std::string_view value) { return lenenc(value.size()).text(value); }
Writer& Writer::null_text(std::string_view value) { return text(value).u8(0); }

std::string frame(std::uint8_t sequence, std::string_view payload) {
  return Writer().number(payload.size(), 3).u8(sequence).text(payload).take();
}

// ---- the handshake

std::string write_greeting(const Greeting& g) {
  return Writer()
      .u8(10)
      .null_text(g.version)
      .u32(g.connection)
      .null_text(g.nonce.substr(0, 8))
      .u16(static_cast<std::uint16_t>(g.capabilities))
      .u8(kUtf8)
      .u16(kAutocommit)
      .u16(static_cast<std::uint16_t>(g.capabilities >> 16))
      .u8(kNonce + 1)
      .text(std::string(10, '\0'))
      .null_text(g.nonce.substr(8))
      .null_text(g.plugin)
      .take();
}

Greeting read_greeting(std::string_view payload) {
  Cursor in(payload);
  Greeting out;
  if (in.u8() != 10) throw Malformed("a handshake of another version");
  out.version = in.null_text();
  out.connection = in.u32();
  out.nonce = in.text(8);
  static_cast<void>(in.u8());
  out.capabilities = in.u16();
  static_cast<void>(in.text(3));  // character set and status
  out.capabilities |= static_cast<std::uint32_t>(in.u16()) << 16;
  const auto size = in.u8();
  static_cast<void>(in.text(10));
  if ((out.capabilities & kSecureConnection) != 0) {
    const auto more = in.text(std::max<std::size_t>(13, size > 8 ? size - 8U : 0U));
    out.nonce.append(more.substr(0, kNonce - 8));
  }
  if ((out.capabilities & kPluginAuth) != 0) out.plugin = in.null_text();
  return out;
}

std::string write_login(const Login& login) {
  Writer out;
  out.u32(login.capabilities).u32(1U << 24).u8(kUtf8).text(std::string(23, '\0')).null_text(login.user);
  out.lenenc_text(login.answer);  // kLenencAuth is always set here
  if ((login.capabilities & kConnectWithDb) != 0) out.null_text(login.database);
  if ((login.capabilities & kPluginAuth) != 0) out.null_text(login.plugin);
  return out.take();
}

Login read_login(std::string_view payload) {
  Cursor in(payload);
  Login out;
  out.capabilities = in.u32();
  if ((out.capabilities & kProtocol41) == 0) throw Malformed("a client older than protocol 4.1");
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

std::string native_answer(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto once = digest(EVP_sha1(), password);
  return mixed(once, digest(EVP_sha1(), nonce, digest(EVP_sha1(), once)));
}

std::string sha2_answer(std::string_view password, std::string_view nonce) {
  if (password.empty()) return {};
  const auto once = digest(EVP_sha256(), password);
  return mixed(once, digest(EVP_sha256(), digest(EVP_sha256(), once), nonce));
}

bool same_secret(std::string_view a, std::string_view b) {
  return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

// ---- answers

std::string write_ok() { return Writer().u8(0).lenenc(0).lenenc(0).u16(kAutocommit).u16(0).take(); }
std::string write_eof() { return Writer().u8(kEofMark).u16(0).u16(kAutocommit).take(); }

std::string write_error(const Error& error) {
  return Writer().u8(kErrorMark).u16(error.code).u8('#').text(error.state).text(error.message).take();
}

Error read_error(std::string_view payload) {
  Cursor in(payload);
  Error out;
  static_cast<void>(in.u8());
  out.code = in.u16();
  out.message = in.rest();
  if (out.message.size() >= 6 && out.message[0] == '#') {
    out.state = out.message.substr(1, 5);
    out.message.erase(0, 6);
  }
  return out;
}

bool is_error(std::string_view payload) {
  return !payload.empty() && static_cast<std::uint8_t>(payload[0]) == kErrorMark;
}
bool is_eof(std::string_view payload) {
  return !payload.empty() && payload.size() < 9 && static_cast<std::uint8_t>(payload[0]) == kEofMark;
}

std::string write_column(std::string_view name, std::uint8_t type) {
  return Writer()
      .lenenc_text("def")
      .lenenc_text("")
      .lenenc_text("")
      .lenenc_text("")
      .lenenc_text(name)
      .lenenc_text(name)
      .lenenc(0x0c)
      .u16(kUtf8)
      .u32(65535)
      .u8(type)
      .u16(0)
      .u8(0)
      .u16(0)
      .take();
}

std::uint8_t read_column_type(std::string_view payload) {
  Cursor in(payload);
  for (int i = 0; i < 6; ++i) static_cast<void>(in.lenenc_text());
  static_cast<void>(in.lenenc());
  static_cast<void>(in.text(2 + 4));
  return in.u8();
}

std::string write_text_row(const std::vector<Cell>& cells) {
  Writer out;
  for (const auto& cell : cells) cell ? out.lenenc_text(*cell) : out.u8(kNullCell);
  return out.take();
}

std::string write_binary_row(const std::vector<Cell>& cells) {
  std::string nulls((cells.size() + 7 + 2) / 8, '\0');
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (!cells[i]) nulls[(i + 2) / 8] = static_cast<char>(nulls[(i + 2) / 8] | (1 << ((i + 2) % 8)));
  }
  Writer out;
  out.u8(0).text(nulls);
  for (const auto& cell : cells) {
    if (cell) out.lenenc_text(*cell);
  }
  return out.take();
}

std::vector<Cell> read_text_row(std::string_view payload, std::size_t columns) {
  Cursor in(payload);
  std::vector<Cell> out;
  for (std::size_t i = 0; i < columns; ++i) {
    if (static_cast<std::uint8_t>(payload[payload.size() - in.left()]) == kNullCell) {
      static_cast<void>(in.u8());
      out.emplace_back();
    } else {
      out.emplace_back(std::string(in.lenenc_text()));
    }
  }
  if (!in.empty()) throw Malformed("a row is longer than its columns");
  return out;
}

std::vector<Cell> read_binary_row(std::string_view payload, const std::vector<std::uint8_t>& types) {
  Cursor in(payload);
  if (in.u8() != 0) throw Malformed("no binary row");
  const auto nulls = in.text((types.size() + 7 + 2) / 8);
  std::vector<Cell> out;
  for (std::size_t i = 0; i < types.size(); ++i) {
    out.emplace_back(bit(nulls, i + 2) ? Cell() : sql::as_text(binary_value(in, types[i])));
  }
  if (!in.empty()) throw Malformed("a row is longer than its columns");
  return out;
}

// ---- commands

std::uint32_t execute_statement(std::string_view payload) {
  Cursor in(payload);
  static_cast<void>(in.u8());
  return in.u32();
}

Execute read_execute(std::string_view payload, std::size_t parameters, bool attributes,
                     ParameterTypes& types) {
  Cursor in(payload);
  Execute out;
  static_cast<void>(in.u8());
  out.statement = in.u32();
  const auto flags = in.u8();
  if ((flags & 7U) != 0) throw Malformed("cursors are not offered");
  static_cast<void>(in.u32());  // iterations, always 1
  constexpr std::uint8_t kParameterCountSent = 8;
  const bool counted = attributes && (flags & kParameterCountSent) != 0;
  std::size_t count = parameters;
  if (counted) count = in.lenenc();
  if (count < parameters || count > kMaxParameters) throw Malformed("a wrong number of parameters");
  if (count == 0) {
    if (!in.empty()) throw Malformed("values without parameters");
    return out;
  }
  const auto nulls = in.text((count + 7) / 8);
  std::vector<std::string> names(count);
  if (in.u8() != 0) {
    types.types.clear();
    for (std::size_t i = 0; i < count; ++i) {
      types.types.push_back(in.u16());
      if (counted) names[i] = in.lenenc_text();
    }
  }
  if (types.types.size() != count) throw Malformed("parameters without types");
  for (std::size_t i = 0; i < count; ++i) {
    auto value = bit(nulls, i) ? sql::Value(sql::Null{}) : binary_value(in, types.types[i]);
    if (i < parameters) {
      out.values.push_back(std::move(value));
    } else {
      out.attributes.push_back({names[i], std::move(value)});
    }
  }
  if (!in.empty()) throw Malformed("bytes after the last parameter");
  return out;
}

std::string write_execute(const Execute& execute, bool attributes) {
  auto all = execute.values;
  if (attributes) {
    for (const auto& attribute : execute.attributes) all.push_back(attribute.value);
  }
  Writer out;
  out.u8(kExecute).u32(execute.statement).u8(attributes ? 8 : 0).u32(1);
  if (attributes) out.lenenc(all.size());
  if (all.empty()) return out.take();
  out.text(null_bits(all)).u8(1);
  for (std::size_t i = 0; i < all.size(); ++i) {
    out.u16(type_of(all[i]));
    if (!attributes) continue;
    const bool named = i >= execute.values.size();
    out.lenenc_text(named ? execute.attributes[i - execute.values.size()].name : std::string());
  }
  for (const auto& value : all) write_value(out, value);
  return out.take();
}

Query read_query(std::string_view payload, bool attributes) {
  Cursor in(payload);
  Query out;
  static_cast<void>(in.u8());
  if (attributes) {
    const auto count = in.lenenc();
    if (in.lenenc() != 1) throw Malformed("more than one set of attributes");
    if (count > kMaxParameters) throw Malformed("too many attributes");
    if (count > 0) {
      const auto nulls = in.text((count + 7) / 8);
      if (in.u8() != 1) throw Malformed("attributes without types");
      std::vector<std::uint16_t> types;
      for (std::uint64_t i = 0; i < count; ++i) {
        types.push_back(in.u16());
        out.attributes.push_back({std::string(in.lenenc_text()), sql::Null{}});
      }
      for (std::size_t i = 0; i < count; ++i) {
        if (!bit(nulls, i)) out.attributes[i].value = binary_value(in, types[i]);
      }
    }
  }
  out.text = in.rest();
  return out;
}

std::string write_query(const Query& query, bool attributes) {
  Writer out;
  out.u8(kQuery);
  if (attributes) {
    out.lenenc(query.attributes.size()).lenenc(1);
    if (!query.attributes.empty()) {
      std::vector<sql::Value> values;
      for (const auto& attribute : query.attributes) values.push_back(attribute.value);
      out.text(null_bits(values)).u8(1);
      for (const auto& attribute : query.attributes)
        out.u16(type_of(attribute.value)).lenenc_text(attribute.name);
      for (const auto& value : values) write_value(out, value);
    }
  }
  return out.text(query.text).take();
}

std::string write_prepared(const Prepared& prepared) {
  return Writer()
      .u8(0)
      .u32(prepared.statement)
      .u16(prepared.columns)
      .u16(prepared.parameters)
      .u8(0)
      .u16(0)
      .take();
}

Prepared read_prepared(std::string_view payload) {
  Cursor in(payload);
  if (in.u8() != 0) throw Malformed("no answer to a prepare");
  Prepared out;
  out.statement = in.u32();
  out.columns = in.u16();
  out.parameters = in.u16();
  return out;
}

}  // namespace bellstair::mysql
