// Which engines are to keep a data group cached.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/fleet.hpp"

namespace bellstair::policy {

/// Rendezvous hashing of data groups: all brokers order engines alike for a group, by ids alone.
class DataGroupAffinity {
 public:
  explicit DataGroupAffinity(const Fleet& fleet) : fleet_(fleet) {}

  /// The engines that are to keep the group cached: healthy or on trial, empty only if there are none.
  [[nodiscard]] const std::vector<Engine*>& preferred_engines(std::int64_t data_group);
  [[nodiscard]] bool prefers(std::int64_t data_group, const Engine& engine);

  /// The ready engines or their health have changed.
  void clear() { preferred_.clear(); }

 private:
  const Fleet& fleet_;
  std::map<std::int64_t, std::vector<Engine*>> preferred_;  // by data group
};

}  // namespace bellstair::policy
