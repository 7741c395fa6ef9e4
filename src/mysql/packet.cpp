#include "mysql/packet.hpp"

#include <utility>

#include "mysql/payload.hpp"

namespace bellstair::mysql {
namespace {

constexpr std::size_t kHeaderBytes = 4;  // three for the length, one for the sequence number
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{4} * 1024;  // retained once all packets are read

}  // namespace

// Packets that were returned leave the buffer once they are the larger part of it: to erase each of them
// would move all bytes behind it each time.
void PacketReader::feed(std::string_view bytes) {
  if (offset_ > buffer_.size() / 2) buffer_.erase(0, std::exchange(offset_, 0));
  buffer_.append(bytes);
}

std::optional<Packet> PacketReader::next() {
  const std::string_view in = std::string_view(buffer_).substr(offset_);
  if (in.size() < kHeaderBytes) return std::nullopt;
  const auto byte = [in](std::size_t i) {
    return static_cast<std::size_t>(static_cast<unsigned char>(in[i]));
  };
  const auto size = byte(0) | byte(1) << 8 | byte(2) << 16;
  if (size > max_payload_bytes_) throw MalformedPacket("a packet is too large");
  const auto sequence = static_cast<std::uint8_t>(byte(3));
  // A length that does not fit makes the bytes behind it the header of the next packet.
  if (expected_ && sequence != *expected_) throw MalformedPacket("a packet is out of order");
  if (in.size() < kHeaderBytes + size) return std::nullopt;
  if (expected_) ++*expected_;
  Packet packet{sequence, std::string(in.substr(kHeaderBytes, size))};
  offset_ += kHeaderBytes + size;
  if (offset_ == buffer_.size()) release_buffer();
  return packet;
}

void PacketReader::release_buffer() {
  buffer_.clear();
  offset_ = 0;
  if (buffer_.capacity() > kMaxIdleBufferBytes) buffer_.shrink_to_fit();
}

std::string frame(std::uint8_t sequence, std::string_view payload) {
  return Writer().number(payload.size(), 3).u8(sequence).text(payload).take();
}

}  // namespace bellstair::mysql
