// The interface of the policy module: events in, actions out.
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
  /// Throws std::invalid_argument naming an invalid field.
  Scheduler(Settings settings, std::uint64_t seed);
  ~Scheduler();
  Scheduler(Scheduler&&) noexcept;
  Scheduler& operator=(Scheduler&&) noexcept;

  /// From the next call of handle() on, decides by `settings`, for open requests too; all learned state
  /// stays. Only the classes' latency objectives, client timeouts and weights, and the tenants may change; a
  /// tenant that keeps its place and name keeps its tokens. Otherwise throws std::invalid_argument, changing
  /// nothing.
  void reconfigure(Settings settings);

  /// Takes what has happened up to `now` and appends what to do, in order. `now` never goes back.
  void handle(Time now, const std::vector<Event>& events, std::vector<Action>& out);

  [[nodiscard]] ClassStatus class_status(ClassIndex cls) const;
  /// This broker's share of the fleet's threads.
  [[nodiscard]] double thread_pool() const;
  /// Threads a core over the fleet; below 0: not known.
  [[nodiscard]] double load_level() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bellstair::policy
