#include "link/frame.hpp"

#include <openssl/sha.h>

#include <algorithm>
#include <utility>

namespace bellstair::link {
namespace {
constexpr std::size_t kLength = 4;
constexpr std::size_t kLeast = std::size_t{16} << 10;  // room for a body that has begun

std::array<unsigned char, SHA256_DIGEST_LENGTH> sha256(std::string_view body) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> out{};
  ::SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(), out.data());
  return out;
}
}  // namespace

std::string frame(std::string_view body) {
  std::string out;
  out.reserve(kHead + body.size());
  for (const int shift : {24, 16, 8, 0}) out.push_back(static_cast<char>((body.size() >> shift) & 0xFF));
  const auto sum = sha256(body);
  out.append(reinterpret_cast<const char*>(sum.data()), kHead - kLength);
  out.append(body);
  return out;
}

std::string Unframer::feed(std::string_view bytes, const Take& take) {
  const auto whole = [&](std::string_view body) -> std::string {
    head_size_ = 0;
    most_now_ = most_;
    if (!std::equal(head_.begin() + kLength, head_.end(), sha256(body).begin()))
      return "the checksum of a frame is wrong";
    if (!take(body)) bytes = {};
    return "";
  };
  while (!bytes.empty()) {
    if (head_size_ < kHead) {
      const auto part = std::min(kHead - head_size_, bytes.size());
      std::copy_n(bytes.begin(), part, head_.begin() + static_cast<std::ptrdiff_t>(head_size_));
      head_size_ += part;
      bytes.remove_prefix(part);
      if (head_size_ < kHead) return "";
      length_ = 0;
      for (std::size_t i = 0; i < kLength; ++i) length_ = length_ << 8 | head_[i];
      if (length_ == 0) return "a frame is empty";
      if (length_ > most_now_)
        return "a frame of " + std::to_string(length_) + " bytes: at most " + std::to_string(most_now_) +
               " are taken";
    }
    if (body_.empty() && bytes.size() >= length_) {  // it has come whole: no copy
      const auto body = bytes.substr(0, length_);
      bytes.remove_prefix(length_);
      if (auto problem = whole(body); !problem.empty()) return problem;
      continue;
    }
    const auto part = bytes.substr(0, length_ - body_.size());
    const auto need = body_.size() + part.size();
    if (need > body_.capacity())
      body_.reserve(std::min(length_, std::max({2 * body_.capacity(), need, kLeast})));
    body_.append(part);
    bytes.remove_prefix(part.size());
    if (body_.size() < length_) return "";
    const auto body = std::exchange(body_, {});
    if (auto problem = whole(body); !problem.empty()) return problem;
  }
  return "";
}

}  // namespace bellstair::link
