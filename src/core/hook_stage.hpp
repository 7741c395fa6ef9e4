// Runs the hooks of new requests, then forwards the requests to the scheduler, those of an ordering key in
// the order in which they were received.
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
  // `settings`: the active settings, which ConfigurationUpdater replaces in place.
  HookStage(StepContext& context, RequestTable& requests, SchedulerDriver& scheduler,
            const policy::Settings& settings, hooks::Set hooks)
      : context_(context),
        requests_(requests),
        scheduler_(scheduler),
        settings_(settings),
        hook_scheduler_(std::move(hooks)) {}

  // Adds a new request: it waits for its hooks or in its ordering queue, or goes to the scheduler at once.
  void add(RequestId id, Request& request);
  // Continues with a request whose hooks have ended. `subject`: the request with the values that they set.
  void continue_after_hooks(RequestId id, Request& request, const hooks::RequestView& subject);
  // Removes an answered request from its stage, so that later requests of its key no longer wait for it.
  void remove(RequestId id, Request& request);
  // Calls the hooks of phase "answer".
  void notify_answered(const Request& request, AnswerKind kind, Time retry_after);

  void hook_ran(hooks::SliceResult ran) { hook_scheduler_.on_slice_result(context_.now(), std::move(ran)); }
  void hook_renewed(const hooks::MachineRenewed& renewed) {
    hook_scheduler_.on_machine_renewed(context_.now(), renewed);
  }
  void begin_turn() { hook_scheduler_.begin_turn(context_.now()); }
  void tick() { hook_scheduler_.tick(context_.now()); }
  void install(hooks::Set hooks) { hook_scheduler_.install(context_.now(), std::move(hooks)); }

  // At the end of each step, unless idle(): while has_progress(), the caller must handle take_completions()
  // and call advance_ordering_queues(); then it must call dispatch().
  [[nodiscard]] bool idle() const { return hook_scheduler_.is_idle() && !ordering_queues_.has_changed(); }
  [[nodiscard]] bool has_progress() const {
    return !hook_scheduler_.completions.empty() || ordering_queues_.has_changed();
  }
  [[nodiscard]] std::vector<hooks::HookCompletion> take_completions() {
    return std::exchange(hook_scheduler_.completions, {});
  }
  void advance_ordering_queues();
  // Starts further hook calls as far as their CPU budget permits.
  void dispatch();

  // When dispatch() can start further calls, in another iteration of the event loop; none: no call waits.
  [[nodiscard]] std::optional<Time> next_dispatch() const { return hook_scheduler_.due(context_.now()); }
  // Indexes, in the settings, of the tenants that hooks refer to.
  [[nodiscard]] std::unordered_set<std::uint32_t> referenced_tenants() const {
    return hook_scheduler_.tenants();
  }

 private:
  [[nodiscard]] bool submit_to_hooks(RequestId id, const Submission& submission);
  [[nodiscard]] bool is_ordered(const Submission& submission) const;
  void forward_to_scheduler(RequestId id, Request& request);

  StepContext& context_;
  RequestTable& requests_;
  SchedulerDriver& scheduler_;
  const policy::Settings& settings_;
  hooks::HookScheduler hook_scheduler_;
  OrderingQueues ordering_queues_;
};

}  // namespace bellstair::core
