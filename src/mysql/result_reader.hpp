// Reads an engine's answer to a statement, packet by packet. Pure.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "mysql/result.hpp"

namespace bellstair::mysql {

class ResultReader {
 public:
  // Takes the next packet, which is no error packet and not empty. `binary`: of a prepared statement. True:
  // the result is complete. Throws MalformedPacket.
  [[nodiscard]] bool read(const std::string& payload, bool binary);

  [[nodiscard]] const Shape& shape() const { return shape_; }
  [[nodiscard]] std::string take_rows() { return std::move(rows_); }

 private:
  bool read_head(const std::string& payload);
  void read_column(const std::string& payload);

  std::size_t columns_ = 0;                 // 0: the head is still to come
  std::vector<std::uint8_t> column_types_;  // of those whose definitions have come
  bool in_rows_ = false;
  Shape shape_;
  std::string rows_;
};

}  // namespace bellstair::mysql
