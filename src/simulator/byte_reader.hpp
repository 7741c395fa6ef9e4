// Reads numbers, times and strings from the bytes of a frame.
#pragma once

#include <bit>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>

#include "bellstair/policy/scheduler.hpp"
#include "simulator/error.hpp"

namespace bellstair::simulator {

// All functions throw FrameError where bytes are missing.
class ByteReader {
 public:
  explicit ByteReader(std::span<const std::uint8_t> bytes) : bytes_(bytes) {}

  template <std::unsigned_integral T>
  T take() {
    const auto raw = take_span(sizeof(T));
    T value = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) value = static_cast<T>(value | (T{raw[i]} << (8 * i)));
    return value;
  }
  double take_float() { return static_cast<double>(std::bit_cast<float>(take<std::uint32_t>())); }
  policy::Time take_time() {
    const auto value = take<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
      throw FrameError("frame: a time is out of range");
    return policy::Time(static_cast<std::int64_t>(value));
  }
  std::span<const std::uint8_t> take_span(std::size_t count) {
    if (count > left()) throw FrameError("frame: a record extends past the end of its frame");
    const auto taken = bytes_.subspan(position_, count);
    position_ += count;
    return taken;
  }
  std::string take_text(std::size_t count) {
    const auto raw = take_span(count);
    return {raw.begin(), raw.end()};
  }
  [[nodiscard]] std::size_t left() const { return bytes_.size() - position_; }

 private:
  std::span<const std::uint8_t> bytes_;
  std::size_t position_ = 0;
};

}  // namespace bellstair::simulator
