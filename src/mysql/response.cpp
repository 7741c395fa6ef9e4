#include "mysql/response.hpp"

#include "mysql/binary_value.hpp"
#include "mysql/payload.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {
namespace {

constexpr std::uint8_t kEofMark = 0xfe, kErrorMark = 0xff, kNullCell = 0xfb;
// A packet that begins with kEofMark is a row if it has at least this length, otherwise an EOF packet.
constexpr std::size_t kMinRowBytesWithEofMark = 9;

}  // namespace

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
  return !payload.empty() && payload.size() < kMinRowBytesWithEofMark &&
         static_cast<std::uint8_t>(payload[0]) == kEofMark;
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
  std::string nulls(bitmap_bytes(cells.size() + kRowBitmapOffset), '\0');
  for (std::size_t i = 0; i < cells.size(); ++i) {
    if (!cells[i]) set_bit(nulls, i + kRowBitmapOffset);
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
  if (!in.empty()) throw MalformedPacket("bytes after the last column of a row");
  return out;
}

std::vector<Cell> read_binary_row(std::string_view payload, const std::vector<std::uint8_t>& types) {
  Cursor in(payload);
  if (in.u8() != 0) throw MalformedPacket("a binary row does not begin with a zero byte");
  const auto nulls = in.text(bitmap_bytes(types.size() + kRowBitmapOffset));
  std::vector<Cell> out;
  for (std::size_t i = 0; i < types.size(); ++i) {
    out.emplace_back(has_bit(nulls, i + kRowBitmapOffset) ? Cell()
                                                          : sql::as_text(read_binary_value(in, types[i])));
  }
  if (!in.empty()) throw MalformedPacket("bytes after the last column of a row");
  return out;
}

}  // namespace bellstair::mysql
