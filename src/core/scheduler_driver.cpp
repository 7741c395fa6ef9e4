#include "core/scheduler_driver.hpp"

#include <algorithm>
#include <variant>

namespace bellstair::core {

std::optional<Time> SchedulerDriver::next_call(Time min_call_interval) const {
  if (events_.empty()) return std::nullopt;
  return last_call_ + min_call_interval;
}

std::vector<policy::Action>& SchedulerDriver::run(Time now, const RequestTable& requests) {
  last_call_ = now;
  for (auto& event : events_) {
    auto* arrival = std::get_if<policy::RequestArrival>(&event);
    if (arrival == nullptr) continue;
    const auto* request = requests.find(arrival->request);
    arrival->time_left = request == nullptr ? Time::zero() : std::max(Time::zero(), request->deadline - now);
  }
  actions_.clear();
  scheduler_.handle(now, events_, actions_);
  events_.clear();
  return actions_;
}

}  // namespace bellstair::core
