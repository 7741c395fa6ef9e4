// Reads and writes values and null bitmaps of the binary protocol, which encodes the parameters and the rows
// of prepared statements.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/payload.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {

inline constexpr std::uint16_t kUnsignedFlag = 0x8000;  // combined with a column type

// Throws MalformedPacket, also for an unknown type.
[[nodiscard]] sql::Value read_binary_value(Cursor& in, std::uint16_t type);
[[nodiscard]] std::uint16_t binary_type_of(const sql::Value& value);
// Appends nothing for NULL, which is encoded in the null bitmap only.
void write_binary_value(Writer& out, const sql::Value& value);

// Reserved bits of a row's null bitmap, before those of the columns.
inline constexpr std::size_t kRowBitmapOffset = 2;
[[nodiscard]] constexpr std::size_t bitmap_bytes(std::size_t bits) { return (bits + 7) / 8; }
// The bitmap must have room for the bit.
void set_bit(std::string& bitmap, std::size_t bit);
[[nodiscard]] bool has_bit(std::string_view bitmap, std::size_t bit);

}  // namespace bellstair::mysql
