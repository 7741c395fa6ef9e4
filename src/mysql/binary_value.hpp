// Values and null bitmaps of the binary protocol, which parameters and rows of prepared statements travel in.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "mysql/payload.hpp"
#include "sql/value.hpp"

namespace bellstair::mysql {

inline constexpr std::uint16_t kUnsignedFlag = 0x8000;  // beside a column type

// Throws MalformedPacket; also at types that are unknown.
[[nodiscard]] sql::Value read_binary_value(Cursor& in, std::uint16_t type);
[[nodiscard]] std::uint16_t binary_type_of(const sql::Value& value);
// Appends nothing for NULL, which stands in the bitmap alone.
void write_binary_value(Writer& out, const sql::Value& value);

// Bits before those of the columns in a row.
inline constexpr std::size_t kRowBitmapOffset = 2;
[[nodiscard]] constexpr std::size_t bitmap_bytes(std::size_t bits) { return (bits + 7) / 8; }
// The bitmap has room for the bit.
void set_bit(std::string& bitmap, std::size_t bit);
[[nodiscard]] bool has_bit(std::string_view bitmap, std::size_t bit);

}  // namespace bellstair::mysql
