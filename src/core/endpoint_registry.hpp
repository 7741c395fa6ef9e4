// The engines' endpoints, as the change log lists them: states, addresses and start times.
#pragma once

#include <optional>
#include <unordered_map>

#include "core/start_clock.hpp"
#include "core/step_context.hpp"

namespace bellstair::core {

class EndpointRegistry {
 public:
  explicit EndpointRegistry(StepContext& context) : context_(context) {}

  // Takes in an update, whose endpoints are moved from, and announces each changed endpoint by an effect.
  // Returns the list for the scheduler.
  [[nodiscard]] policy::EndpointList apply(EndpointUpdate& update);
  // Once an update has shown that a wall clock is off: all start times, calculated again.
  [[nodiscard]] std::optional<policy::EndpointList> correct_start_times();
  // The change log has answered, and all that it told has been applied.
  void change_log_answered() { last_answer_ = context_.now(); }

  // Null: not listed.
  [[nodiscard]] const policy::Endpoint* find(EngineId engine) const;
  [[nodiscard]] bool is_ready(EngineId engine) const;
  [[nodiscard]] bool any_ready() const;

 private:
  void remove_missing(const EndpointUpdate& update);
  void store(EndpointRecord& record);
  [[nodiscard]] bool is_watch_event(const EndpointUpdate& update) const;
  [[nodiscard]] Time started_at(const EndpointRecord& record, bool watch_event);

  StepContext& context_;
  std::unordered_map<EngineId, EndpointRecord> records_;
  StartClock start_clock_;
  bool first_list_applied_ = false;
  Time last_answer_{};  // of the change log; 0: none yet
};

}  // namespace bellstair::core
