// What a statement gave, as the core carries it: rows as text, and an opaque shape beside them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/response.hpp"

namespace bellstair::mysql {

// Names of columns, or the counts of a statement without rows.
struct Shape {
  bool rows = true;
  std::vector<std::string> names;
  std::uint64_t affected = 0, insert_id = 0;
};
[[nodiscard]] std::string pack(const Shape& shape);
[[nodiscard]] std::optional<Shape> unpack(std::string_view packed);  // none: an engine that tells no shape

// Rows of engines that speak MySQL: as `mysql --batch` prints them, with \N for NULL.
void append_row(std::string& body, const std::vector<Cell>& cells);
// A row a line, a tab between columns. `escaped`: as append_row() writes them; else taken as they are.
[[nodiscard]] std::vector<std::vector<Cell>> read_rows(std::string_view body, bool escaped);

}  // namespace bellstair::mysql
