// Frames on a stream: 4 bytes with the body's length (big-endian), the first 4 bytes of the body's SHA-256,
// the body. The checksum finds noise and lost synchronization; it is no proof of who sent the body.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "common/error.hpp"

namespace bellstair::link {

inline constexpr std::size_t kFrameHeaderBytes = 8;

enum class FrameFault { wrong_checksum, empty, too_long };
using FrameError = CodedError<FrameFault>;

[[nodiscard]] std::string encode_frame(std::string_view body);

// Splits a stream into bodies. Holds at most one body, and no more memory than its bytes that have come: a
// length alone takes none.
class FrameDecoder {
 public:
  // Called within feed() for each complete body. False: no more are wanted, the other bytes are dropped.
  using OnFrame = std::function<bool(std::string_view body)>;

  // `max_first_bytes`: of the first body, by which a stranger shows who it is.
  FrameDecoder(std::size_t max_bytes, std::size_t max_first_bytes)
      : max_bytes_(max_bytes), current_max_bytes_(max_first_bytes) {}
  explicit FrameDecoder(std::size_t max_bytes) : FrameDecoder(max_bytes, max_bytes) {}

  // After an error it takes no more: what follows cannot be read.
  [[nodiscard]] std::optional<FrameError> feed(std::string_view bytes, const OnFrame& on_frame);
  // Whether a frame has begun and is not complete.
  [[nodiscard]] bool is_within_frame() const { return header_size_ > 0; }
  [[nodiscard]] std::size_t buffered_bytes() const { return body_.capacity(); }

 private:
  void take_header(std::string_view& bytes);
  [[nodiscard]] std::optional<FrameError> read_length();
  std::optional<std::string_view> take_body(std::string_view& bytes, std::string& buffer);
  [[nodiscard]] bool checksum_matches(std::string_view body) const;

  std::size_t max_bytes_, current_max_bytes_;
  std::array<unsigned char, kFrameHeaderBytes> header_{};
  std::size_t header_size_ = 0, length_ = 0;
  std::string body_;
};

}  // namespace bellstair::link
