// The result of a statement in the form that the core carries: the rows as text, and their shape as opaque
// bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/response.hpp"

namespace bellstair::mysql {

// The column names, or the counts of a statement that returns no rows.
struct Shape {
  bool has_rows = true;
  std::vector<std::string> names;
  std::uint64_t affected = 0, insert_id = 0;
};
[[nodiscard]] std::string pack(const Shape& shape);
[[nodiscard]] std::optional<Shape> unpack(std::string_view packed);  // nullopt: the engine sent none

// Appends a MySQL engine's row in the format of `mysql --batch`, with \N for NULL.
void append_row(std::string& body, const std::vector<Cell>& cells);
// Reads one row per line, with tabs between columns. `escaped`: cells are escaped as by append_row();
// otherwise they are used unchanged.
[[nodiscard]] std::vector<std::vector<Cell>> read_rows(std::string_view body, bool escaped);

}  // namespace bellstair::mysql
