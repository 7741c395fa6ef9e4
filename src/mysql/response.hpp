// Reads and writes responses of the MySQL client/server protocol: OK, errors, columns and rows. The read
// functions throw MalformedPacket.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mysql/protocol.hpp"

namespace bellstair::mysql {

struct Error {  // as a server reports it
  std::uint16_t code = 0;
  std::string state, message;
};
[[nodiscard]] std::string write_ok();
[[nodiscard]] std::string write_eof();
[[nodiscard]] std::string write_error(const Error& error);
[[nodiscard]] Error read_error(std::string_view payload);
[[nodiscard]] bool is_error(std::string_view payload);
[[nodiscard]] bool is_eof(std::string_view payload);
[[nodiscard]] std::string write_column(std::string_view name, std::uint8_t type);
[[nodiscard]] std::uint8_t read_column_type(std::string_view payload);

using Cell = std::optional<std::string>;  // nullopt: NULL
[[nodiscard]] std::string write_text_row(const std::vector<Cell>& cells);
[[nodiscard]] std::string write_binary_row(const std::vector<Cell>& cells);  // all columns as VAR_STRING
[[nodiscard]] std::vector<Cell> read_text_row(std::string_view payload, std::size_t columns);
[[nodiscard]] std::vector<Cell> read_binary_row(std::string_view payload,
                                                const std::vector<std::uint8_t>& types);

}  // namespace bellstair::mysql
