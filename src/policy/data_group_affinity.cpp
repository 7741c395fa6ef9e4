#include "policy/data_group_affinity.hpp"

#include <algorithm>

namespace bellstair::policy {
namespace {
constexpr std::size_t kMinPreferred = 2;
constexpr std::size_t kEnginesForOnePreferred = 5;  // in a large fleet, one engine in this many is preferred

// The splitmix64 hash of the group and the engine.
std::uint64_t hash(std::int64_t data_group, EngineId engine) {
  std::uint64_t x = (static_cast<std::uint64_t>(data_group) << 32) + engine + 0x9e3779b97f4a7c15ULL;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}
}  // namespace

const std::vector<Engine*>& DataGroupAffinity::preferred_engines(std::int64_t data_group) {
  auto& preferred = preferred_[data_group];
  if (!preferred.empty()) return preferred;
  for (auto* engine : fleet_.ready())
    if (engine->health != Health::ejected) preferred.push_back(engine);
  const auto wanted = std::max(kMinPreferred, fleet_.ready().size() / kEnginesForOnePreferred);
  const auto count = std::min(preferred.size(), wanted);
  const auto order = [data_group](const Engine* engine) { return hash(data_group, engine->endpoint.engine); };
  std::ranges::partial_sort(preferred, preferred.begin() + static_cast<std::ptrdiff_t>(count), {}, order);
  preferred.resize(count);
  return preferred;
}

bool DataGroupAffinity::prefers(std::int64_t data_group, const Engine& engine) {
  return std::ranges::count(preferred_engines(data_group), &engine) > 0;
}

}  // namespace bellstair::policy
