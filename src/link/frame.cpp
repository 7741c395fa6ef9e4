#include "link/frame.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <utility>

namespace bellstair::link {
namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr std::size_t kMinBodyCapacity = std::size_t{16} << 10;

std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256(std::string_view body) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> out{};
  ::SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(), out.data());
  return out;
}

}  // namespace

std::string encode_frame(std::string_view body) {
  std::string out;
  out.reserve(kFrameHeaderBytes + body.size());
  for (const int shift : {24, 16, 8, 0}) out.push_back(static_cast<char>((body.size() >> shift) & 0xFF));
  const auto sum = sha256(body);
  out.append(reinterpret_cast<const char*>(sum.data()), kFrameHeaderBytes - kLengthBytes);
  out.append(body);
  return out;
}

std::optional<FrameError> FrameDecoder::feed(std::string_view bytes, const OnFrame& on_frame) {
  while (!bytes.empty()) {
    if (header_size_ < kFrameHeaderBytes) {
      read_header(bytes);
      if (header_size_ < kFrameHeaderBytes) return std::nullopt;
      if (auto error = read_length()) return error;
    }
    std::string buffer;
    const auto body = read_body(bytes, buffer);
    if (!body) return std::nullopt;
    header_size_ = 0;
    current_max_bytes_ = max_bytes_;
    if (!checksum_matches(*body))
      return FrameError(FrameFault::wrong_checksum, "the checksum of a frame is wrong");
    if (!on_frame(*body)) return std::nullopt;
  }
  return std::nullopt;
}

void FrameDecoder::read_header(std::string_view& bytes) {
  const auto size = std::min(kFrameHeaderBytes - header_size_, bytes.size());
  std::copy_n(bytes.begin(), size, header_.begin() + static_cast<std::ptrdiff_t>(header_size_));
  header_size_ += size;
  bytes.remove_prefix(size);
}

std::optional<FrameError> FrameDecoder::read_length() {
  length_ = 0;
  for (std::size_t i = 0; i < kLengthBytes; ++i) length_ = length_ << 8 | header_[i];
  if (length_ == 0) return FrameError(FrameFault::empty, "a frame is empty");
  if (length_ > current_max_bytes_)
    return FrameError(FrameFault::too_long, "a frame of " + std::to_string(length_) +
                                                " bytes is too long: the limit is " +
                                                std::to_string(current_max_bytes_) + " bytes");
  return std::nullopt;
}

// Returns nothing while the body is incomplete. `buffer` owns a body that arrived in several pieces; a body
// that arrived in one piece is not copied.
std::optional<std::string_view> FrameDecoder::read_body(std::string_view& bytes, std::string& buffer) {
  const auto piece = bytes.substr(0, length_ - body_.size());
  const bool in_one_piece = body_.empty() && piece.size() == length_;
  if (in_one_piece) {
    bytes.remove_prefix(piece.size());
    return piece;
  }
  const auto needed = body_.size() + piece.size();
  if (needed > body_.capacity())
    body_.reserve(std::min(length_, std::max({2 * body_.capacity(), needed, kMinBodyCapacity})));
  body_.append(piece);
  bytes.remove_prefix(piece.size());
  if (body_.size() < length_) return std::nullopt;
  buffer = std::exchange(body_, {});
  return buffer;
}

bool FrameDecoder::checksum_matches(std::string_view body) const {
  return std::equal(header_.begin() + kLengthBytes, header_.end(), sha256(body).begin());
}

}  // namespace bellstair::link
