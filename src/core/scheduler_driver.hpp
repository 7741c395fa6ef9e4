// Collects events for the scheduler and calls it with them, no more often than the settings allow.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "core/request_table.hpp"

namespace bellstair::core {

class SchedulerDriver {
 public:
  // Throws std::invalid_argument if the settings can't be used.
  SchedulerDriver(policy::Settings settings, std::uint64_t seed) : scheduler_(std::move(settings), seed) {}

  void notify(policy::Event event) { events_.push_back(std::move(event)); }

  // When run() is due; none: the scheduler has been told everything.
  [[nodiscard]] std::optional<Time> next_call(Time min_call_interval) const;
  // Tells the scheduler all events. The actions it asks for are valid until the next run().
  [[nodiscard]] std::vector<policy::Action>& run(Time now, const RequestTable& requests);

  // Throws std::invalid_argument if the settings can't be used; nothing has changed then.
  void reconfigure(const policy::Settings& settings) { scheduler_.reconfigure(settings); }

 private:
  policy::Scheduler scheduler_;
  std::vector<policy::Event> events_;
  std::vector<policy::Action> actions_;
  Time last_call_{};
};

}  // namespace bellstair::core
