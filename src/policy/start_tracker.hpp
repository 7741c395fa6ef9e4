// When an engine's process started, as far as lists and broken connections tell.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// Tracks since when an engine's process is taken to run.
///
/// A lost or refused connection may mean a restart, which a list tells late, or be the network's doing. It
/// counts as a start until the process turns out to have outlived it.
class StartTracker {
 public:
  /// Time between a process's last words and their being read on another connection, at most.
  static constexpr Time kMaxTransitTime = std::chrono::milliseconds(50);

  /// Start of the process; 0: long ago.
  [[nodiscard]] Time started_at() const {
    return suspicions_.empty() ? confirmed_ : std::max(confirmed_, suspicions_.back().at);
  }

  /// The endpoint list gives this start.
  void confirm(Time started_at) {
    confirmed_ = started_at;
    suspicions_.clear();
  }

  /// A connection was lost or, if `refused`, nobody listened: a word soon afterwards may be a new process's.
  void suspect_restart(Time at, bool refused) {
    if (suspicions_.size() == kMaxSuspicions) {
      confirmed_ = std::max(confirmed_, suspicions_.front().at);
      suspicions_.pop_front();
    }
    suspicions_.push_back({at, refused});
  }

  /// At `at` came a word on what was sent at `sent_at`: the process has lived since then, and through a break
  /// less than `min_restart_time` ago.
  void record_alive(Time at, Time sent_at, Time min_restart_time) {
    std::erase_if(suspicions_, [&](const Suspicion& suspicion) {
      if (sent_at < suspicion.at) return suspicion.at + kMaxTransitTime < at;
      return suspicion.at < at && !suspicion.refused && at <= suspicion.at + min_restart_time;
    });
  }

 private:
  struct Suspicion {
    Time at{};
    bool refused = false;
  };
  static constexpr std::size_t kMaxSuspicions = 16;  // beyond, the oldest counts as confirmed

  Time confirmed_{};
  std::deque<Suspicion> suspicions_;
};

}  // namespace bellstair::policy
