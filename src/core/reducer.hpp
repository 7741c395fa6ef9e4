// The broker's state machine: (state, event) -> effects. It is independent of wire formats, does no I/O and
// reads no clock: the caller passes the time.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "bellstair/policy/scheduler.hpp"
#include "core/attempt_tracker.hpp"
#include "core/configuration_updater.hpp"
#include "core/endpoint_registry.hpp"
#include "core/events.hpp"
#include "core/guard.hpp"
#include "core/health_check_tracker.hpp"
#include "core/hook_stage.hpp"
#include "core/lifecycle.hpp"
#include "core/request_table.hpp"
#include "core/responder.hpp"
#include "core/scheduler_driver.hpp"
#include "core/step_context.hpp"
#include "core/timers.hpp"

namespace bellstair::core {

// Dispatches events and the scheduler's actions to the modules that hold the core's state.
// The reducer times out a request that the scheduler has left unanswered this long before its deadline.
inline constexpr Time kDeadlineMargin = std::chrono::milliseconds(15);

class Reducer {
 public:
  // Interval at which the caller posts a Tick.
  static constexpr Time kTick = std::chrono::milliseconds(5);
  static constexpr std::size_t kMinTimersToDrop = 4096;

  // `max_bytes`: memory limit of all requests together; requests beyond it are rejected. `changelog`: the
  // change log's address in the configuration file. Throws std::invalid_argument if the settings are invalid.
  Reducer(policy::Settings settings, std::uint64_t seed, std::size_t max_bytes = std::size_t{64} << 20,
          hooks::Set hooks = {}, std::string changelog = {});

  // Handles one event. `now`: time of a steady clock with any origin. Effects are appended to `effects`; the
  // caller must carry them out in order.
  void reduce(Time now, Event event, Effects& effects);

  [[nodiscard]] const Lifecycle& lifecycle() const { return lifecycle_; }
  // When the caller must post an event, of any kind, so that the scheduler is called; none: no events wait
  // for the scheduler.
  [[nodiscard]] std::optional<Time> next_scheduler_call() const;
  // When the caller must post a HooksTurn for waiting hook calls; none: no call waits.
  [[nodiscard]] std::optional<Time> next_hook_dispatch() const { return hook_stage_.next_dispatch(); }
  // Number of requests without a final answer.
  [[nodiscard]] std::size_t unanswered_requests() const { return requests_.unanswered(); }
  // Number of requests that are unanswered or have attempts that have not ended.
  [[nodiscard]] std::size_t open_requests() const { return requests_.size(); }
  [[nodiscard]] const Counters& counters() const { return context_.counters(); }
  // Enables log lines of level "debug" about each request.
  void enable_tracing(bool enabled) { context_.enable_tracing(enabled); }
  // Indexes, in the settings, of the tenants that requests or hooks refer to.
  [[nodiscard]] std::unordered_set<std::uint32_t> referenced_tenants() const;

 private:
  void on(const ListenersReady&) { lifecycle_.listeners_ready(); }
  void on(EndpointUpdate& update);
  void on(const EndpointListPolled& polled);
  void on(RequestReceived& received);
  void on(const ProcessStalled& stalled);
  void on(const ClientCancelled& cancelled);
  void on(const ClientHalfClosed& half_closed);
  void on(const AttemptConnected& connected) { attempts_.connected(connected.id); }
  void on(const AttemptProgressed& progressed) { attempts_.progressed(progressed.id); }
  void on(AttemptEnded& ended) { attempts_.ended(ended); }
  void on(const AttemptStopped& stopped) { attempts_.stopped(stopped.id); }
  void on(HealthCheckEnded& ended);
  void on(GossipReceived& received);
  void on(const ShutdownRequested& requested);
  void on(const ReloadRequested&) { context_.put(ReadConfiguration{}); }
  void on(ConfigurationRead& read) { configuration_.apply(read); }
  void on(SettingsOffered& offered) { configuration_.apply(offered); }
  void on(HookRan& ran) { hook_stage_.hook_ran(std::move(ran.ran)); }
  void on(const HookRenewed& renewed) { hook_stage_.hook_renewed(renewed.renewed); }
  void on(const HooksTurn&) { hook_stage_.begin_turn(); }
  void on(const Tick& tick);

  void act(const policy::SendAttempt& send) { attempts_.start(send); }
  void act(const policy::CancelAttempt& cancel) { attempts_.cancel(cancel); }
  void act(const policy::AttemptTerms& terms) { attempts_.set_terms(terms); }
  void act(const policy::Reject& reject);
  void act(const policy::Fail& fail);
  void act(const policy::ScheduleTimer& timer);
  void act(const policy::SendHealthCheck& check);
  void act(policy::SendGossip& gossip);
  void act(const policy::PollEndpointList&) {}  // not needed: the change log is always watched
  void act(policy::LogMessage& message) { context_.log(std::move(message.text)); }

  void call_scheduler();
  void process_hook_completions();
  void finish_hooks(hooks::HookCompletion& completion);
  void handle_timer(const Timer& timer);
  void drop_irrelevant_timers();
  [[nodiscard]] bool is_relevant(const Timer& timer);
  void time_out(RequestId id);
  void abort_request(RequestId id, Request& request);
  void abort_unanswered();
  void advance_lifecycle(bool unwritten);
  void log_phase();

  policy::Settings settings_;
  StepContext context_;
  Guard guard_{settings_};
  Time last_key_removal_{};
  Lifecycle lifecycle_;
  Timers timers_{kTick};
  std::size_t max_timers_ = kMinTimersToDrop;  // before those of what has ended are dropped
  SchedulerDriver scheduler_;
  TicketHistory ticket_history_{settings_};
  RequestTable requests_;
  EndpointRegistry endpoints_{context_};
  HealthCheckTracker health_checks_;
  HookStage hook_stage_;
  Responder responder_{context_, requests_, hook_stage_, guard_, settings_};
  AttemptTracker attempts_{context_, requests_, endpoints_, guard_, timers_, scheduler_, responder_};
  ConfigurationUpdater configuration_;
};

}  // namespace bellstair::core
