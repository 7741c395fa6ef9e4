// Encodes and decodes gossip messages between brokers. Numbers are little-endian, with their size in bytes
// given here in parentheses. A message of threads is 'o', then for each engine its id (4) and the sender's
// threads there (1). A message of reports is 'r', the sender's mean threads (2), 16 divided by the seconds
// that the message covers (2), then for each report the engine's id (4), its load in 32nds (1) and its age in
// ticks (1).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// The part of a message about one engine.
struct GossipEntry {
  EngineId engine = 0;
  unsigned value = 0;  // the sender's threads; in a report, 32nds of threads a core or of a latency ratio
  unsigned age = 0;    // of a report, in ticks
};

struct GossipPayload {
  bool has_reports = false;   // of engines' load; otherwise the entries are the sender's threads
  unsigned mean_threads = 0;  // of the sender; with reports only
  unsigned rate = 0;          // 16 divided by the seconds that the message covers; with reports only
  std::vector<GossipEntry> entries;
};

/// Values too large for their field are clamped; entries beyond 256 bytes in total are left out.
std::string encode_gossip(const GossipPayload& payload);

/// Returns nullopt for malformed bytes.
std::optional<GossipPayload> decode_gossip(const std::string& bytes);

}  // namespace bellstair::policy
