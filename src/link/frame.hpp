// Frames on a stream: 4 bytes with the body's length (big-endian), the first 4 bytes of the body's SHA-256,
// the body. The checksum detects corruption and lost synchronization; it does not authenticate the sender.
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

// Splits a stream into bodies. Buffers at most one body, and allocates memory only as its bytes arrive: an
// announced length alone allocates none.
class FrameDecoder {
 public:
  // Called by feed() for each complete body. If it returns false, feed() discards the remaining bytes.
  using OnFrame = std::function<bool(std::string_view body)>;

  // `max_first_bytes` limits the first body, with which an unknown peer identifies itself.
  FrameDecoder(std::size_t max_bytes, std::size_t max_first_bytes)
      : max_bytes_(max_bytes), current_max_bytes_(max_first_bytes) {}
  explicit FrameDecoder(std::size_t max_bytes) : FrameDecoder(max_bytes, max_bytes) {}

  // Must not be called after an error, since the start of the next frame is then unknown.
  [[nodiscard]] std::optional<FrameError> feed(std::string_view bytes, const OnFrame& on_frame);
  // Whether a frame has been received in part.
  [[nodiscard]] bool is_within_frame() const { return header_size_ > 0; }
  [[nodiscard]] std::size_t buffered_bytes() const { return body_.capacity(); }

 private:
  void read_header(std::string_view& bytes);
  [[nodiscard]] std::optional<FrameError> read_length();
  std::optional<std::string_view> read_body(std::string_view& bytes, std::string& buffer);
  [[nodiscard]] bool checksum_matches(std::string_view body) const;

  std::size_t max_bytes_, current_max_bytes_;
  std::array<unsigned char, kFrameHeaderBytes> header_{};
  std::size_t header_size_ = 0, length_ = 0;
  std::string body_;
};

}  // namespace bellstair::link
