#include "mysql/result_reader.hpp"

#include <utility>

#include "mysql/binary_value.hpp"
#include "mysql/payload.hpp"

namespace bellstair::mysql {
namespace {
constexpr std::size_t kMaxResultBytes = std::size_t{4} << 20;
constexpr std::size_t kMaxColumns = 4096;
constexpr int kStringsBeforeColumnName = 4;  // catalog, schema, table and the table's original name
}  // namespace

bool ResultReader::read(const std::string& payload, bool binary) {
  if (columns_ == 0) return read_header(payload);
  if (column_types_.size() < columns_) {
    read_column(payload);
    return false;
  }
  if (is_eof(payload)) return std::exchange(in_rows_, true);  // first EOF ends the columns, second the rows
  if (!in_rows_) throw MalformedPacket("a row before the end of the column definitions");
  append_row(rows_, binary ? read_binary_row(payload, column_types_) : read_text_row(payload, columns_));
  if (rows_.size() > kMaxResultBytes) throw MalformedPacket("a result is too large");
  return false;
}

// The header is the number of columns, or an OK packet if the statement returns no rows.
bool ResultReader::read_header(const std::string& payload) {
  Cursor in(payload);
  if (static_cast<std::uint8_t>(payload[0]) == 0) {
    static_cast<void>(in.u8());
    shape_.has_rows = false;
    shape_.affected = in.lenenc();
    shape_.insert_id = in.lenenc();
    return true;
  }
  columns_ = in.lenenc();
  if (columns_ > kMaxColumns) throw MalformedPacket("too many columns");
  return false;
}

void ResultReader::read_column(const std::string& payload) {
  Cursor in(payload);
  for (int i = 0; i < kStringsBeforeColumnName; ++i) static_cast<void>(in.lenenc_text());
  shape_.names.emplace_back(in.lenenc_text());
  column_types_.push_back(read_column_type(payload));
  column_bytes_ += sizeof(std::string) + shape_.names.back().capacity() + 1;
  if (column_bytes_ > kMaxResultBytes) throw MalformedPacket("the names of a result's columns are too long");
}

}  // namespace bellstair::mysql
