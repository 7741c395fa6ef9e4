// Bounds the memory of several holders together: what exceeds the limit is taken from those that hold the
// most.
#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace bellstair::net {

// Returns the holders with the most bytes, such that those of the others are within `max_bytes`. `holders`:
// each with its bytes.
template <class Holder>
[[nodiscard]] std::vector<Holder> holders_over_limit(std::vector<std::pair<std::size_t, Holder>> holders,
                                                     std::size_t max_bytes) {
  std::vector<Holder> out;
  std::size_t total = 0;
  for (const auto& [bytes, holder] : holders) total += bytes;
  if (total <= max_bytes) return out;
  std::ranges::sort(holders, std::ranges::greater(), [](const auto& entry) { return entry.first; });
  for (const auto& [bytes, holder] : holders) {
    if (total <= max_bytes) break;
    total -= bytes;
    out.push_back(holder);
  }
  return out;
}

}  // namespace bellstair::net
