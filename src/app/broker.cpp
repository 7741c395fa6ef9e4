#include "app/broker.hpp"

#include <chrono>
#include <csignal>

#include "app/signals.hpp"
#include "log/log.hpp"
#include "net/steady_clock.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;
using net::steady_now;

constexpr core::Time kCountersLogInterval = 60s;  // counters are logged only if they have changed
// Added to the scheduler's timer, so that libev's rounding does not make it fire too early.
constexpr double kTimerSlackSeconds = 1e-5;
// A request is timed out core::kDeadlineMargin before its deadline. A third of the margin is for the tick
// that notices it, a third for reading input in the iteration before, and a third for handling its events.
constexpr core::Time kMaxInputTime = core::kDeadlineMargin / 3;
// Reading stops at this number of unhandled events; the last quantum may exceed it.
constexpr std::size_t kMaxUnhandledEvents = 64;

double seconds(core::Time time) { return std::chrono::duration<double>(time).count(); }
}  // namespace

hooks::SettingNames names_of(const config::Config& config) { return names_of(config.settings); }

hooks::SettingNames names_of(const policy::Settings& settings) {
  hooks::SettingNames out;
  out.fronts = config::kFrontNames;
  for (const auto& cls : settings.classes) out.classes.push_back(cls.name);
  for (const auto& tenant : settings.tenants) out.tenants.push_back(tenant.name);
  return out;
}

void Broker::run() {
  std::signal(SIGPIPE, SIG_IGN);
  sigterm_.start(SIGTERM);
  sigint_.start(SIGINT);
  sighup_.start(SIGHUP);
  sigusr1_.start(SIGUSR1);
  unblock_signals({SIGHUP, SIGTERM, SIGINT, SIGUSR1});
  tick_due_ = true;  // so that all components have the current time before the first socket is read
  tick_timer_.start(0, seconds(core::Reducer::kTick));
  prepare_.start();
  check_.start();
  if (control_) control_->start();
  loop_.run(0);
}

// The steady clock, so that a step of the system clock changes no duration.
core::Time Broker::now() const { return origin_ + steady_now(); }

// ---- iterations of the event loop

// Runs first in each iteration, before any socket is read.
void Broker::on_check(ev::check&, int) {
  stall_detector_.polled(now());
  resume_after_stall();
  loop_statistics_.begin_iteration(steady_now());
}

// The tick runs in on_prepare(), after the input of this iteration has been read.
void Broker::on_tick(ev::timer&, int) { tick_due_ = true; }

void Broker::on_scheduler_timer(ev::timer&, int) { post(core::Tick{has_unsent_output()}); }

void Broker::on_hooks_timer(ev::timer&, int) { post(core::HooksTurn{}); }

void Broker::on_shutdown_signal(ev::sig&, int) {
  post(core::ShutdownRequested{stall_detector_.earliest_arrival(now())});
}

void Broker::on_reload_signal(ev::sig&, int) { post(core::ReloadRequested{}); }

void Broker::on_counters_signal(ev::sig&, int) { log_counters(); }

// Runs last in each iteration, before the loop sleeps.
void Broker::on_prepare(ev::prepare&, int) {
  read_input();
  loop_statistics_.end_iteration(steady_now());
  do {
    if (must_poll_again(now())) return;
    if (std::exchange(tick_due_, false)) tick();
    if (control_) control_->settle();
    if (!handle_events_unless_stalled()) return;
    engines_->settle();
    for (const auto& server : servers_) server->settle();
  } while (!events_.empty());
  loop_statistics_.end_iteration(steady_now());
  start_timers();
}

// After a stall, each source that has become ready is read, until events are handled again.
void Broker::read_input() {
  const auto read_until = now() + kMaxInputTime;
  const auto min_quanta = stall_detector_.recovering() ? input_.fresh() : 1;
  input_.run_turn(min_quanta, [this, read_until] {
    const auto now = this->now();
    stall_detector_.record_activity(now);
    return now < read_until && (stall_detector_.recovering() || events_.size() < kMaxUnhandledEvents);
  });
}

void Broker::start_timers() {
  // Waiting hook calls continue in the next iteration, after the sockets have been read.
  if (const auto hooks_due = reducer_.next_hook_dispatch())
    hooks_timer_.start(std::max(0.0, seconds(*hooks_due - now())), 0);
  const auto due = reducer_.next_scheduler_call();
  if (due) scheduler_timer_.start(std::max(0.0, seconds(*due - now())) + kTimerSlackSeconds, 0);
}

void Broker::tick() {
  const auto now = this->now();
  engines_->tick(now);
  for (const auto& server : servers_) server->tick(now);
  if (directory_) directory_->tick(now);
  change_log_.tick(now);
  if (control_) control_->tick(now);
  if (now >= next_counters_log_) {
    next_counters_log_ = now + kCountersLogInterval;
    if (reducer_.counters() != logged_counters_) log_counters();
  }
  post(core::Tick{has_unsent_output()});
}

// Always false before draining: unsent output matters only during shutdown.
bool Broker::has_unsent_output() const {
  if (reducer_.lifecycle().phase() < core::Phase::draining) return false;
  return std::ranges::any_of(servers_, [](const auto& server) { return server->has_unsent_output(); });
}

// ---- stalls

// Returns true if no event may be handled before the sockets are polled again; the next tick wakes the loop
// at the latest.
bool Broker::must_poll_again(core::Time now) {
  const bool again = stall_detector_.must_poll_again(now);
  resume_after_stall();
  return again;
}

// Sets the clocks of the components to the current time. Otherwise a duration that starts with the input read
// next would be counted from the last tick before the stall.
void Broker::resume_after_stall() {
  const auto stalled = stall_detector_.take_stall();
  if (!stalled) return;
  const net::Stall stall{stalled->since, now()};
  engines_->resume(stall);
  for (const auto& server : servers_) server->resume(stall);
  change_log_.resume(stall);
  // The stall goes before the queued events, so that the core takes it into account when it handles them. If
  // the same stall is queued already, the longer one replaces it.
  const bool reported = !events_.empty() && std::holds_alternative<core::ProcessStalled>(events_.front());
  if (reported) events_.pop_front();
  events_.push_front(*stalled);
}

// ---- events

net::EventSink Broker::event_sink() {
  return [this](core::Event event) { post(std::move(event)); };
}

void Broker::post(core::Event event) {
  stall_detector_.record_activity(now());
  if (auto* received = std::get_if<core::RequestReceived>(&event)) {
    const auto arrival = stall_detector_.earliest_arrival(now());
    received->since = received->since == core::Time::zero() ? arrival : std::min(received->since, arrival);
  }
  events_.push_back(std::move(event));
}

void Broker::handle_events() {
  while (!events_.empty()) handle_next_event(now());
}

bool Broker::handle_events_unless_stalled() {
  while (!events_.empty()) {
    const auto now = this->now();
    if (must_poll_again(now)) return false;
    handle_next_event(now);
  }
  return true;
}

void Broker::handle_next_event(core::Time now) {
  auto event = std::move(events_.front());
  events_.pop_front();
  // What became due during the stall could not be done before its input was read.
  if (auto* stalled = std::get_if<core::ProcessStalled>(&event))
    stalled->length = std::max(stalled->length, now - stalled->since);
  effects_.clear();
  loop_statistics_.add_event();
  reducer_.reduce(now, std::move(event), effects_);
  for (auto& effect : effects_) std::visit([this](auto& e) { run(e); }, effect);
}

// ---- effects

void Broker::run(const core::Answer& effect) {
  for (const auto& server : servers_) {
    if (server->run(effect)) return;
  }
}

// An attempt that was decided before a stall is not sent after it: its client may have disconnected, and its
// time limit has become shorter.
void Broker::run(core::Transmit& effect) {
  if (must_poll_again(now())) return engines_->run(core::CancelAttempt{effect.id});
  engines_->run(effect);
}

void Broker::run(core::RunHook& effect) {
  const auto began = steady_now();
  runner_.run(effect);
  loop_statistics_.add_hook_time(steady_now() - began);
}

void Broker::run(const core::Log& effect) {
  log::write(effect.level, "bellstair " + config_.name + ": " + effect.text);
}

void Broker::log_counters() {
  logged_counters_ = reducer_.counters();
  run(core::Log{logged_counters_.text() + " log_lines_dropped=" + std::to_string(log::dropped()) +
                " loop_longest_us=" + std::to_string(loop_statistics_.longest_iteration() / 1us) +
                " loop_most_events=" + std::to_string(loop_statistics_.most_events_per_iteration())});
}

void Broker::run(const core::CloseClientConnections&) {
  for (const auto& server : servers_) server->shut_down();
  if (control_) control_->stop();
}

void Broker::run(const core::Exit&) {
  log_counters();
  const auto longest_iteration = loop_statistics_.longest_iteration();
  if (!fronts_file_.empty()) {
    const auto ms = [](core::Time time) { return std::to_string(seconds(time) * 1e3); };
    run(core::Log{"loop: longest iteration " + ms(longest_iteration) +
                  " ms, longest time in hooks per iteration " +
                  ms(loop_statistics_.max_hook_time_per_iteration()) + " ms"});
  }
  loop_.break_loop(ev::ALL);
}

}  // namespace bellstair::app
