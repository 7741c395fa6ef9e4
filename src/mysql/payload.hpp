// Reads and writes the numbers and strings in a packet's payload.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace bellstair::mysql {

// Reads a payload from its start. All functions throw MalformedPacket where bytes are missing.
class Cursor {
 public:
  explicit Cursor(std::string_view in) : in_(in) {}
  [[nodiscard]] std::uint64_t number(std::size_t bytes);  // little-endian
  std::uint8_t u8() { return static_cast<std::uint8_t>(number(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(number(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(number(4)); }
  [[nodiscard]] std::uint64_t lenenc();
  [[nodiscard]] std::string_view text(std::size_t bytes);
  [[nodiscard]] std::string_view lenenc_text();
  [[nodiscard]] std::string_view zero_terminated_text();
  [[nodiscard]] std::string_view rest();
  [[nodiscard]] bool empty() const { return in_.empty(); }
  [[nodiscard]] std::size_t left() const { return in_.size(); }

 private:
  std::string_view in_;
};

// Appends to a payload.
class Writer {
 public:
  Writer& number(std::uint64_t value, std::size_t bytes);
  Writer& u8(std::uint8_t value) { return number(value, 1); }
  Writer& u16(std::uint16_t value) { return number(value, 2); }
  Writer& u32(std::uint32_t value) { return number(value, 4); }
  Writer& lenenc(std::uint64_t value);
  Writer& text(std::string_view value);
  Writer& lenenc_text(std::string_view value);
  Writer& zero_terminated_text(std::string_view value);
  [[nodiscard]] std::string take() { return std::move(out_); }

 private:
  std::string out_;
};

}  // namespace bellstair::mysql
