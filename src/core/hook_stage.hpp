// Leads new requests through their hooks, and on to the scheduler in the order of their ordering keys.
#pragma once

#include <optional>
#include <unordered_set>
#include <vector>

#include "core/ordering_queues.hpp"
#include "core/request_table.hpp"
#include "core/scheduler_driver.hpp"
#include "core/step_context.hpp"
#include "hooks/hook_scheduler.hpp"

namespace bellstair::core {

class HookStage {
 public:
  // `settings`: those in force; they are replaced in place.
  HookStage(StepContext& context, RequestTable& requests, SchedulerDriver& scheduler,
            const policy::Settings& settings, hooks::Set hooks)
      : context_(context),
        requests_(requests),
        scheduler_(scheduler),
        settings_(settings),
        control_(std::move(hooks)) {}

  // A new request: it waits for its hooks or in its ordering queue, or the scheduler is notified of it.
  void enter(RequestId id, Request& request);
  // Its hooks have ended, and `subject` is what they have made of it.
  void pass(RequestId id, Request& request, const hooks::RequestView& subject);
  // It is answered, wherever it waits: those behind it need not wait for it any more.
  void leave(RequestId id, Request& request);
  // Calls the hooks of phase "answer".
  void notify_answered(const Request& request, AnswerKind kind, Time retry_after);

  void hook_ran(hooks::SliceResult ran) { control_.on_slice_result(context_.now(), std::move(ran)); }
  void hook_renewed(const hooks::MachineRenewed& renewed) {
    control_.on_machine_renewed(context_.now(), renewed);
  }
  void begin_turn() { control_.begin_turn(context_.now()); }
  void tick() { control_.tick(context_.now()); }
  void install(hooks::Set hooks) { control_.install(context_.now(), std::move(hooks)); }

  // At the end of each step: while has_progress(), take_passed() is to be dealt with and
  // advance_ordering_queues() called; then dispatch().
  [[nodiscard]] bool idle() const { return control_.is_idle() && !ordering_queues_.has_changed(); }
  [[nodiscard]] bool has_progress() const {
    return !control_.completions.empty() || ordering_queues_.has_changed();
  }
  [[nodiscard]] std::vector<hooks::HookCompletion> take_passed() {
    return std::exchange(control_.completions, {});
  }
  void advance_ordering_queues();
  // Starts further hook calls, as far as their budget allows now.
  void dispatch();

  // When dispatch() can do more, in a turn of its own; none: no call waits.
  [[nodiscard]] std::optional<Time> next_dispatch() const { return control_.due(context_.now()); }
  // Positions in the settings of tenants that hooks refer to.
  [[nodiscard]] std::unordered_set<std::uint32_t> referenced_tenants() const { return control_.tenants(); }

 private:
  [[nodiscard]] bool enter_hooks(RequestId id, const Submission& submission);
  [[nodiscard]] bool is_ordered(const Submission& submission) const;
  void hand_to_scheduler(RequestId id, Request& request);

  StepContext& context_;
  RequestTable& requests_;
  SchedulerDriver& scheduler_;
  const policy::Settings& settings_;
  hooks::HookScheduler control_;
  OrderingQueues ordering_queues_;
};

}  // namespace bellstair::core
