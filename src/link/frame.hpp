// Frames on a stream: 4 bytes with the body's length (big-endian), the first 4 bytes of the body's SHA-256,
// the body. The checksum finds noise and a stream that has lost its step; what must not be mixed has a digest
// of its own.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace bellstair::link {

inline constexpr std::size_t kHead = 8;  // bytes before the body

[[nodiscard]] std::string frame(std::string_view body);

// Bytes to bodies. Holds no more than one body, and never more than has come of it: a length alone takes no
// memory.
class Unframer {
 public:
  // False: no more is wanted, the rest of the bytes is dropped.
  using Take = std::function<bool(std::string_view body)>;

  // `most`: bytes of a body; `most_first`: of the first one, by which a stranger shows who it is.
  Unframer(std::size_t most, std::size_t most_first) : most_(most), most_now_(most_first) {}
  explicit Unframer(std::size_t most) : Unframer(most, most) {}

  // Why nothing that follows can be read; empty: all is well. Once it has said so it takes no more.
  [[nodiscard]] std::string feed(std::string_view bytes, const Take& take);
  [[nodiscard]] bool within() const { return head_size_ > 0; }  // a frame has begun and is not whole
  [[nodiscard]] std::size_t held() const { return body_.capacity(); }

 private:
  std::size_t most_, most_now_;
  std::array<unsigned char, kHead> head_{};
  std::size_t head_size_ = 0, length_ = 0;
  std::string body_;
};

}  // namespace bellstair::link
