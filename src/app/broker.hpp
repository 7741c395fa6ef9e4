// The program on its loop: events from the fronts, engines, change log and peers go through the reducer, and
// each effect that it asks for to whom it concerns.
#pragma once

#include <ev++.h>

#include <deque>
#include <memory>

#include "app/control_client.hpp"
#include "app/stall_watch.hpp"
#include "config/config.hpp"
#include "config/document.hpp"
#include "config/fronts.hpp"
#include "control/version.hpp"
#include "core/reducer.hpp"
#include "directory/ldap.hpp"
#include "hooks/runner.hpp"
#include "mysql/front.hpp"
#include "net/driver.hpp"
#include "platform/changelog.hpp"
#include "platform/front.hpp"
#include "platform/peers.hpp"

namespace bellstair::app {

struct CannotStart : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Names for hooks, by their positions in the settings.
[[nodiscard]] hooks::Words words_of(const config::Config& config);
[[nodiscard]] hooks::Words words_of(const policy::Settings& settings);

class Broker {
 public:
  // The files are read again on SIGHUP; `fronts_file` may be empty. `loaded`: the hooks of `fronts`.
  Broker(ev::loop_ref loop, config::Config config, config::Fronts fronts, hooks::Loaded loaded,
         std::string file, std::string fronts_file);
  void run();  // until it has stopped

 private:
  void post(core::Event event);
  void on_tick(ev::timer& timer, int events);
  void on_call(ev::timer& timer, int events);
  void on_prepare(ev::prepare& prepare, int events);
  void on_signal(ev::sig& signal, int events);
  void on_hangup(ev::sig& signal, int events);
  void on_counters_asked(ev::sig& signal, int events);
  void log_counters();
  void on_hooks(ev::timer& timer, int events);
  void on_check(ev::check& check, int events);
  void pump();
  [[nodiscard]] bool pump_unless_stalled();
  void take_event(core::Time now);
  void tick();
  void wake();
  [[nodiscard]] bool look_again(core::Time now);
  [[nodiscard]] core::Time now() const;
  [[nodiscard]] net::Post poster();
  [[nodiscard]] std::unique_ptr<net::EngineDriver> make_engines();
  [[nodiscard]] bool unwritten() const;
  void offer(const control::Version& version);

  void run(const core::Answer& effect);
  void run(const core::StartAttempt& effect) { engines_->run(effect); }
  void run(core::Transmit& effect);
  void run(const core::CancelAttempt& effect) { engines_->run(effect); }
  void run(const core::Reprioritize& effect) { engines_->run(effect); }
  void run(const core::SendHealthCheck& effect) { engines_->run(effect); }
  void run(const core::EndpointChanged& effect) { engines_->run(effect); }
  void run(const core::SendGossip& effect) { peers_.run(effect); }
  void run(const core::Log& effect);
  void run(const core::ReadConfiguration&);
  void run(const core::FollowChangeLog& effect) { changelog_.follow(effect.address); }
  void run(core::SettingsApplied& effect);
  void run(const core::SettingsRejected& effect);
  void run(core::RunHook& effect);
  void run(const core::DropHook& effect) { runner_.run(effect); }
  void run(const core::RenewHook& effect) { runner_.run(effect); }
  void run(const core::RetireHook& effect) { runner_.run(effect); }
  void run(const core::CloseClientConnections&);
  void run(const core::Exit&);

  ev::loop_ref loop_;
  std::string file_, fronts_file_;
  // Its settings, names and change log are those in force: they are replaced in place, between the events of
  // the fronts, which hold references to them.
  config::Config config_;
  config::Overlay start_;  // as the platform's own configuration has them
  config::Fronts fronts_;
  std::uint64_t taken_up_ = 0;  // versions
  core::Time origin_;  // from the steady clock to the core's, which began at the Unix time of the start
  std::uint64_t handles_ = 0;
  std::deque<core::Event> events_;
  core::Effects effects_;
  core::Reducer reducer_;
  hooks::Runner runner_;
  std::unique_ptr<net::EngineDriver> engines_;
  std::unique_ptr<platform::Front> front_;
  // Off on the platform.
  std::unique_ptr<directory::Ldap> directory_;
  std::unique_ptr<mysql::Front> mysql_;
  std::unique_ptr<ControlClient> control_;
  const control::Version* offered_ = nullptr;  // while it is being taken up
  platform::ChangeLog changelog_;
  platform::Peers peers_;
  ev::timer tick_, call_, hooks_turn_;
  ev::prepare prepare_;
  // How long a turn of the loop was at the most, and hooks' part of it; measured beside hooks only.
  ev::check check_;
  StallWatch stall_watch_;
  bool tick_due_ = false;
  core::Time turn_begun_{}, turn_hooks_{}, longest_turn_{}, longest_hooks_{};
  ev::sig term_, interrupt_, hangup_, counters_asked_;
  core::Counters counters_logged_;
  core::Time next_counters_{};
};

}  // namespace bellstair::app
