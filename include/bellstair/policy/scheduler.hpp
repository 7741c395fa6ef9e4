// The interface of the policy module: it takes events and returns actions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "bellstair/policy/actions.hpp"
#include "bellstair/policy/events.hpp"
#include "bellstair/policy/settings.hpp"
#include "bellstair/policy/types.hpp"

namespace bellstair::policy {

/// The present state of a class.
struct ClassStatus {
  std::size_t queued = 0;  // requests
  unsigned running = 0;    // threads
  double budget = 0;       // threads
};

/// Decides which engine runs each request, and when. Not thread-safe.
class Scheduler {
 public:
  /// Throws std::invalid_argument that names the field if a setting is invalid.
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// Applies `settings` from the next call of handle() on, to open requests too. All learned state is kept.
  /// Only the classes' latency objectives, client timeouts and weights, and the tenants may change; for any
  /// other change, throws std::invalid_argument and changes nothing. A tenant that keeps its position and
  /// name keeps its tokens.
  void reconfigure(Settings settings);

  /// Handles the events up to `now` and appends the resulting actions to `out`, in order. `now` must never
  /// decrease.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);

  [[nodiscard]] ClassStatus class_status(ClassIndex cls) const;
  /// This broker's share of the fleet's threads.
  [[nodiscard]] double thread_pool() const;
  /// Threads a core over the fleet; below 0 if not known.
  [[nodiscard]] double load_level() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bellstair::policy
