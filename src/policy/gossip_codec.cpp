#include "policy/gossip_codec.hpp"

#include <algorithm>
#include <cstddef>

namespace bellstair::policy {
namespace {
constexpr std::size_t kMaxBytes = 256;
constexpr char kThreadsType = 'o';
constexpr char kReportsType = 'r';
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kReportsHeaderBytes = 5;
constexpr std::size_t kThreadsEntryBytes = 5;
constexpr std::size_t kReportEntryBytes = 6;

void append(std::string& bytes, unsigned value, int size) {
  for (; size > 0; --size, value >>= 8) bytes.push_back(static_cast<char>(value & 0xff));
}

unsigned read(const std::string& bytes, std::size_t at, std::size_t size) {
  unsigned value = 0;
  while (size-- > 0) value = value << 8 | static_cast<unsigned char>(bytes[at + size]);
  return value;
}
}  // namespace

std::string encode_gossip(const GossipPayload& payload) {
  std::string bytes(1, payload.has_reports ? kReportsType : kThreadsType);
  if (payload.has_reports) {
    append(bytes, std::min(payload.mean_threads, 0xffffU), 2);
    append(bytes, std::min(payload.rate, 0xffffU), 2);
  }
  for (const auto& entry : payload.entries) {
    if (bytes.size() + kReportEntryBytes > kMaxBytes) break;
    append(bytes, entry.engine, 4);
    append(bytes, std::min(entry.value, 0xffU), 1);
    if (payload.has_reports) append(bytes, std::min(entry.age, 0xffU), 1);
  }
  return bytes;
}

std::optional<GossipPayload> decode_gossip(const std::string& bytes) {
  if (bytes.empty() || bytes.size() > kMaxBytes) return std::nullopt;
  if (bytes[0] != kThreadsType && bytes[0] != kReportsType) return std::nullopt;
  GossipPayload payload;
  payload.has_reports = bytes[0] == kReportsType;
  const std::size_t header = payload.has_reports ? kReportsHeaderBytes : kTypeBytes;
  const std::size_t entry = payload.has_reports ? kReportEntryBytes : kThreadsEntryBytes;
  if (bytes.size() < header || (bytes.size() - header) % entry != 0) return std::nullopt;
  if (payload.has_reports) {
    payload.mean_threads = read(bytes, 1, 2);
    payload.rate = read(bytes, 3, 2);
  }
  for (std::size_t at = header; at < bytes.size(); at += entry) {
    const unsigned age = payload.has_reports ? read(bytes, at + 5, 1) : 0;
    payload.entries.push_back({read(bytes, at, 4), read(bytes, at + 4, 1), age});
  }
  return payload;
}

}  // namespace bellstair::policy
