// Stores the engines' endpoints that the change log lists: states, addresses and start times.
#pragma once

#include <optional>
#include <unordered_map>

#include "core/start_clock.hpp"
#include "core/step_context.hpp"

namespace bellstair::core {

class EndpointRegistry {
 public:
  explicit EndpointRegistry(StepContext& context) : context_(context) {}

  // Applies an update, whose endpoints are moved from, and emits an EndpointChanged effect for each of them
  // and for each removed one. Returns the list for the scheduler.
  [[nodiscard]] policy::EndpointList apply(EndpointUpdate& update);
  // Returns recalculated start times if the last update has revealed that a wall clock is wrong.
  [[nodiscard]] std::optional<policy::EndpointList> correct_start_times();
  // Must be called when the change log has answered and its updates have been applied.
  void change_log_answered() { last_answer_ = context_.now(); }

  // Returns null if the engine is not listed.
  [[nodiscard]] const policy::Endpoint* find(EngineId engine) const;
  [[nodiscard]] bool is_ready(EngineId engine) const;
  [[nodiscard]] bool any_ready() const;

 private:
  void remove_missing(const EndpointUpdate& update);
  // Adds, as gone, each listed engine whose address the update gives to an engine that has started later.
  void add_replaced(const EndpointUpdate& update, policy::EndpointList& list);
  void store(EndpointRecord& record);
  [[nodiscard]] bool is_watch_event(const EndpointUpdate& update) const;
  [[nodiscard]] Time started_at(const EndpointRecord& record, bool watch_event);

  StepContext& context_;
  std::unordered_map<EngineId, EndpointRecord> records_;
  StartClock start_clock_;
  bool first_list_applied_ = false;
  Time last_answer_{};  // when the change log last answered; 0: never
};

}  // namespace bellstair::core
