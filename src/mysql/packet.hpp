// Splits a byte stream into packets of the MySQL client/server protocol, and frames payloads. Does no I/O.
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

// Splits a byte stream into packets.
class PacketReader {
 public:
  // Longer payloads are malformed, so that an announced length cannot exhaust the memory.
  explicit PacketReader(std::size_t max_payload_bytes) : max_payload_bytes_(max_payload_bytes) {}
  void feed(std::string_view bytes);
  // From the next packet on, packets that are not numbered one by one from `sequence` are malformed. Until
  // the first call, any number is accepted.
  void expect(std::uint8_t sequence) { expected_ = sequence; }
  // Returns the next packet, or nullopt until one is complete. Throws MalformedPacket.
  [[nodiscard]] std::optional<Packet> next();
  [[nodiscard]] std::size_t buffered() const { return buffer_.size() - offset_; }  // bytes
  [[nodiscard]] std::size_t memory() const { return buffer_.capacity(); }          // bytes

 private:
  void release_buffer();

  std::size_t max_payload_bytes_;
  std::string buffer_;
  std::size_t offset_ = 0;  // of the next packet in the buffer
  std::optional<std::uint8_t> expected_;
};

// The payload with its packet header.
[[nodiscard]] std::string frame(std::uint8_t sequence, std::string_view payload);

}  // namespace bellstair::mysql
