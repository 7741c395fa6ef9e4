// A hashed timer wheel with coarse ticks: arming a timer is O(1), each tick visits one slot.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace bellstair::core {

using Time = std::chrono::nanoseconds;

// Timers can't be cancelled one by one: `fire` must check whether its key is still relevant.
template <class Key>
class TimerWheel {
 public:
  explicit TimerWheel(Time tick) : tick_(tick) {}

  // Arms a timer that fires in the first advance() at or after `at`, rounded up to a tick. A timer in the
  // past fires in the next advance() that reaches a new tick.
  void arm(Time at, Key key) {
    const bool between_ticks = at.count() % tick_.count() != 0;
    const auto due = std::max(at.count() / tick_.count() + (between_ticks ? 1 : 0), next_tick_);
    slots_[static_cast<std::size_t>(due) % kSlots].push_back({due, std::move(key)});
    ++armed_;
  }

  // Calls `fire(key)` once for each timer that is due at `now`. `fire` may arm timers.
  template <class Fire>
  void advance(Time now, Fire fire) {
    const auto target = now.count() / tick_.count();
    if (target < next_tick_) return;
    // After a long pause one revolution is enough: it visits every slot, and entries are compared with
    // `target`.
    const auto first = std::max(next_tick_, target - kRevolution + 1);
    next_tick_ = target + 1;
    for (auto tick = first; tick <= target; ++tick) {
      auto& slot = slots_[static_cast<std::size_t>(tick) % kSlots];
      if (slot.empty()) continue;
      take_due(slot, target);
      armed_ -= due_.size();
      for (std::size_t i = 0; i < due_.size(); ++i) fire(due_[i]);
    }
  }

  // Drops the timers for whose key `is_relevant(key)` returns false.
  template <class IsRelevant>
  void retain(IsRelevant is_relevant) {
    for (auto& slot : slots_) {
      armed_ -= std::erase_if(slot, [&](const Entry& entry) { return !is_relevant(entry.key); });
      slot.shrink_to_fit();
    }
  }

  [[nodiscard]] std::size_t armed() const { return armed_; }

 private:
  struct Entry {
    std::int64_t tick = 0;
    Key key;
  };
  using Slot = std::vector<Entry>;
  static constexpr std::size_t kSlots = 1024;
  static constexpr std::int64_t kRevolution = kSlots;  // in ticks

  // Moves entries that are due at `target` from the slot to due_. The order of entries is preserved in both.
  void take_due(Slot& slot, std::int64_t target) {
    due_.clear();
    std::size_t kept = 0;
    for (auto& entry : slot) {
      if (entry.tick <= target) {
        due_.push_back(std::move(entry.key));
        continue;
      }
      if (&slot[kept] != &entry) slot[kept] = std::move(entry);
      ++kept;
    }
    slot.resize(kept);
  }

  Time tick_;
  std::int64_t next_tick_ = 0;  // the first tick that has not been visited
  std::size_t armed_ = 0;
  std::array<Slot, kSlots> slots_;
  std::vector<Key> due_;
};

}  // namespace bellstair::core
