// Keeps requests with the same ordering key in order.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// Queues requests by ordering key, in order of arrival, and blocks a key for a time in which an ended
/// attempt may still run.
class OrderingKeys {
 public:
  void enqueue(std::uint64_t key, RequestId request) { queues_[key].push_back(request); }

  void remove(std::uint64_t key, RequestId request) {
    const auto queue = queues_.find(key);
    std::erase(queue->second, request);
    if (queue->second.empty()) queues_.erase(queue);
  }

  void block(std::uint64_t key, Time until) {
    auto& blocked_until = blocked_until_[key];
    blocked_until = std::max(blocked_until, until);
  }

  /// What blocked the key ends at `until`, if not before.
  void shorten_block(std::uint64_t key, Time until) {
    const auto block = blocked_until_.find(key);
    if (block != blocked_until_.end()) block->second = std::min(block->second, until);
  }

  [[nodiscard]] bool is_first(std::uint64_t key, RequestId request) const {
    return queues_.at(key).front() == request;
  }

  [[nodiscard]] bool is_blocked(std::uint64_t key, Time now) const {
    const auto block = blocked_until_.find(key);
    return block != blocked_until_.end() && now < block->second;
  }

  void remove_expired(Time now) {
    std::erase_if(blocked_until_, [now](const auto& block) { return block.second <= now; });
  }

 private:
  std::map<std::uint64_t, std::deque<RequestId>> queues_;
  std::map<std::uint64_t, Time> blocked_until_;
};

}  // namespace bellstair::policy
