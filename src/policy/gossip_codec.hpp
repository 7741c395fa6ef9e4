// The bytes of the messages between brokers; numbers have their low byte first. 'o', then for each engine its
// id (4 bytes) and the sender's threads there (1). Or 'r', the sender's mean threads (2) and 16 over the
// seconds that the message stands for (2), then for each report the engine (4), its load in 32nds (1) and its
// age in ticks (1).
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// What a message says about one engine.
struct GossipEntry {
  EngineId engine = 0;
  unsigned value = 0;  // the sender's threads; in a report 32nds of threads a core, or of a latency ratio
  unsigned age = 0;    // of a report, in ticks
};

struct GossipPayload {
  bool has_reports = false;   // of engines' load; otherwise the entries are the sender's threads
  unsigned mean_threads = 0;  // of the sender; with reports only
  unsigned rate = 0;          // 16 over the seconds that the message stands for; with reports only
  std::vector<GossipEntry> entries;
};

/// Values too large for their field become the largest; entries that would pass 256 bytes are left out.
std::string encode_gossip(const GossipPayload& payload);

/// Nothing for malformed bytes.
std::optional<GossipPayload> decode_gossip(const std::string& bytes);

}  // namespace bellstair::policy
