// A hashed timer wheel of coarse ticks. Arming costs O(1); a tick looks at one slot only.
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

// Timers can't be taken back: whoever is called checks whether it is still of interest.
template <class Key>
class TimerWheel {
 public:
  explicit TimerWheel(Time tick) : tick_(tick) {}

  // Due in the first advance() whose time is `at` or later, within a tick. What is past is due in the next.
  void arm(Time at, Key key) {
    const auto due = std::max(at.count() / tick_.count() + (at.count() % tick_.count() != 0 ? 1 : 0), hand_);
    slots_[static_cast<std::size_t>(due) % kSlots].push_back({due, std::move(key)});
    ++armed_;
  }

  // Calls `fire(key)` for all that is due at `now`; `fire` may arm further timers.
  template <class Fire>
  void advance(Time now, Fire fire) {
    const auto target = now.count() / tick_.count();
    if (target < hand_) return;
    // After a long sleep one turn round visits every slot; entries are compared with the target.
    const auto from = std::max(hand_, target - kTurn + 1);
    hand_ = target + 1;
    for (auto at = from; at <= target; ++at) {
      auto& slot = slots_[static_cast<std::size_t>(at) % kSlots];
      if (slot.empty()) continue;
      due_.clear();
      std::size_t kept = 0;
      for (auto& entry : slot) {
        if (entry.first <= target) {
          due_.push_back(std::move(entry.second));
        } else {
          if (&slot[kept] != &entry) slot[kept] = std::move(entry);
          ++kept;
        }
      }
      slot.resize(kept);
      armed_ -= due_.size();
      for (std::size_t i = 0; i < due_.size(); ++i) fire(due_[i]);
    }
  }

  [[nodiscard]] std::size_t armed() const { return armed_; }

 private:
  static constexpr std::size_t kSlots = 1024;
  static constexpr std::int64_t kTurn = kSlots;
  Time tick_;
  std::int64_t hand_ = 0;  // the first tick not yet visited
  std::size_t armed_ = 0;
  std::array<std::vector<std::pair<std::int64_t, Key>>, kSlots> slots_;
  std::vector<Key> due_;
};

}  // namespace bellstair::core
