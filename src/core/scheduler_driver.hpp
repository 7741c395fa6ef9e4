// Collects events for the scheduler and calls it with them, at the minimum interval of the settings or
// slower.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "core/request_table.hpp"

namespace bellstair::core {

class SchedulerDriver {
 public:
  // Throws std::invalid_argument if the settings are invalid.
  SchedulerDriver(policy::Settings settings, std::uint64_t seed) : scheduler_(std::move(settings), seed) {}

  void notify(policy::Event event) { events_.push_back(std::move(event)); }

  // When run() is due; none: no events are queued.
  [[nodiscard]] std::optional<Time> next_call(Time min_call_interval) const;
  // Passes all queued events to the scheduler. The returned actions are valid until the next run().
  [[nodiscard]] std::vector<policy::Action>& run(Time now, const RequestTable& requests);

  // Throws std::invalid_argument if the settings are invalid; the previous ones then stay active.
  void reconfigure(const policy::Settings& settings) { scheduler_.reconfigure(settings); }

 private:
  policy::Scheduler scheduler_;
  std::vector<policy::Event> events_;
  std::vector<policy::Action> actions_;
  Time last_call_{};
};

}  // namespace bellstair::core
