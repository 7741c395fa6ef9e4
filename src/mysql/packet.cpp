#include "mysql/packet.hpp"

#include "mysql/payload.hpp"

namespace bellstair::mysql {
namespace {

constexpr std::size_t kHeaderBytes = 4;  // three for the length, one for the sequence number

}  // namespace

std::optional<Packet> PacketReader::next() {
  if (buffer_.size() < kHeaderBytes) return std::nullopt;
  const auto byte = [this](std::size_t i) {
    return static_cast<std::size_t>(static_cast<unsigned char>(buffer_[i]));
  };
  const auto size = byte(0) | byte(1) << 8 | byte(2) << 16;
  if (size > max_payload_bytes_) throw MalformedPacket("a packet is too large");
  if (buffer_.size() < kHeaderBytes + size) return std::nullopt;
  Packet out{static_cast<std::uint8_t>(byte(3)), buffer_.substr(kHeaderBytes, size)};
  buffer_.erase(0, kHeaderBytes + size);
  return out;
}

std::string frame(std::uint8_t sequence, std::string_view payload) {
  return Writer().number(payload.size(), 3).u8(sequence).text(payload).take();
}

}  // namespace bellstair::mysql
