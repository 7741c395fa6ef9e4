// Packets of the MySQL client/server protocol: the cutting of a stream of bytes, without I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mysql/protocol.hpp"

namespace bellstair::mysql {

struct Packet {
  std::uint8_t sequence = 0;
  std::string payload;
};

// Cuts a stream into packets.
class PacketReader {
 public:
  // Longer payloads are malformed: an announced length must not take the memory.
  explicit PacketReader(std::size_t max_payload_bytes) : max_payload_bytes_(max_payload_bytes) {}
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // None until a packet is complete. Throws MalformedPacket.
  [[nodiscard]] std::optional<Packet> next();
  [[nodiscard]] std::size_t buffered() const { return buffer_.size(); }  // bytes

 private:
  std::size_t max_payload_bytes_;
  std::string buffer_;
};

// The bytes of a packet.
[[nodiscard]] std::string frame(std::uint8_t sequence, std::string_view payload);

}  // namespace bellstair::mysql
