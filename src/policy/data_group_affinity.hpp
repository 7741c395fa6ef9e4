// Chooses the engines that keep a data group cached.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/fleet.hpp"

namespace bellstair::policy {

/// Rendezvous hashing of data groups: the order of engines for a group depends only on ids, so that all
/// brokers compute the same order.
class DataGroupAffinity {
 public:
  explicit DataGroupAffinity(const Fleet& fleet) : fleet_(fleet) {}

  /// The engines that should keep the group cached. Ejected engines are left out; empty only if no other is
  /// ready.
  [[nodiscard]] const std::vector<Engine*>& preferred_engines(std::int64_t data_group);
  [[nodiscard]] bool prefers(std::int64_t data_group, const Engine& engine);

  /// Discards the computed preferences, after a change of the ready engines or their health.
  void clear() { preferred_.clear(); }

 private:
  const Fleet& fleet_;
  std::map<std::int64_t, std::vector<Engine*>> preferred_;  // by data group
};

}  // namespace bellstair::policy
