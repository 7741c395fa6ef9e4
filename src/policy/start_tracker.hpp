// Tracks when an engine's process started, from endpoint lists and broken connections.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>

#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// Tracks the time at which an engine's process is assumed to have started.
///
/// A lost or refused connection may be due to a restart, which the endpoint list reports late, or to the
/// network. It counts as a start until a response proves that the process ran before and after it.
class StartTracker {
 public:
  /// Maximum time between a process's last messages and their receipt on another connection.
  static constexpr Time kMaxTransitTime = std::chrono::milliseconds(50);

  /// Assumed start of the process; 0: long ago.
  [[nodiscard]] Time started_at() const {
    return suspicions_.empty() ? confirmed_ : std::max(confirmed_, suspicions_.back().at);
  }

  /// Records the start that the endpoint list reports.
  void confirm(Time started_at) {
    confirmed_ = started_at;
    suspicions_.clear();
  }

  /// Records a lost connection or, if `refused`, a refused one: after a refusal, an early response may come
  /// from a new process.
  void suspect_restart(Time at, bool refused) {
    if (suspicions_.size() == kMaxSuspicions) {
      confirmed_ = std::max(confirmed_, suspicions_.front().at);
      suspicions_.pop_front();
    }
    suspicions_.push_back({at, refused});
  }

  /// Records that a response to a message sent at `sent_at` arrived at `at`: the process has run since
  /// `sent_at`, and did not restart at a connection loss less than `min_restart_time` ago.
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
  static constexpr std::size_t kMaxSuspicions = 16;  // if there are more, the oldest is confirmed

  Time confirmed_{};
  std::deque<Suspicion> suspicions_;
};

}  // namespace bellstair::policy
