// Reads an engine's response to a statement, packet by packet. Does no I/O.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mysql/result.hpp"

namespace bellstair::mysql {

class ResultReader {
 public:
  // Reads the next packet, which must be neither empty nor an error. `binary`: the statement was prepared.
  // Returns true once the result is complete. Throws MalformedPacket.
  [[nodiscard]] bool read(const std::string& payload, bool binary);

  [[nodiscard]] const Shape& shape() const { return shape_; }
  [[nodiscard]] std::size_t memory() const { return rows_.capacity() + column_bytes_; }  // bytes
  [[nodiscard]] std::string take_rows() { return std::move(rows_); }

 private:
  bool read_header(const std::string& payload);
  void read_column(const std::string& payload);

  std::size_t columns_ = 0;                 // 0: the header has not been read yet
  std::vector<std::uint8_t> column_types_;  // of the column definitions read so far
  bool in_rows_ = false;
  Shape shape_;
  std::size_t column_bytes_ = 0;  // of the columns' names and types
  std::string rows_;
};

}  // namespace bellstair::mysql
