// Runs the broker on its event loop: passes events from clients, engines, the change log, control nodes and
// other brokers to the reducer, and its effects to the components that carry them out.
#pragma once

#include <ev++.h>

#include <deque>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "app/control_client.hpp"
#include "app/loop_statistics.hpp"
#include "app/stall_detector.hpp"
#include "config/config.hpp"
#include "config/document.hpp"
#include "config/fronts.hpp"
#include "control/version.hpp"
#include "core/reducer.hpp"
#include "directory/ldap_directory.hpp"
#include "hooks/runner.hpp"
#include "net/client_server.hpp"
#include "net/engine_driver.hpp"
#include "net/event_sink.hpp"
#include "net/input_scheduler.hpp"
#include "net/server_limits.hpp"
#include "platform/change_log_client.hpp"
#include "platform/gossip_socket.hpp"

namespace bellstair::app {

// Thrown when a setting prevents the broker from starting; what() is "SETTING: REASON".
class StartError : public std::runtime_error {
 public:
  StartError(const std::string& setting, const std::string& reason)
      : std::runtime_error(setting + ": " + reason) {}
};

// The names that hooks see, by their positions in the settings.
[[nodiscard]] hooks::SettingNames names_of(const config::Config& config);
[[nodiscard]] hooks::SettingNames names_of(const policy::Settings& settings);

class Broker {
 public:
  // `file`: path of the platform's configuration; `fronts_file`: path of the operator's file, or empty. Both
  // files are read again on SIGHUP. `loaded`: the hooks of `fronts`. Throws StartError.
  Broker(ev::loop_ref loop, config::Config config, config::OperatorConfig fronts, hooks::LoadResult loaded,
         std::string file, std::string fronts_file);
  // Runs until the broker has shut down after SIGTERM or SIGINT.
  void run();

 private:
  // Create the components that depend on the configuration.
  [[nodiscard]] std::unique_ptr<net::EngineDriver> make_engine_driver();
  [[nodiscard]] std::unique_ptr<net::ClientServer> make_jsonrpc_server(net::ServerLimits limits);
  [[nodiscard]] std::unique_ptr<net::ClientServer> make_mysql_server(net::ServerLimits limits);
  void make_servers(hooks::LoadResult& loaded);
  void set_watchers();

  // Callbacks of the event loop, in the order in which libev calls them.
  void on_check(ev::check& check, int events);
  void on_tick(ev::timer& timer, int events);
  void on_scheduler_timer(ev::timer& timer, int events);
  void on_hooks_timer(ev::timer& timer, int events);
  void on_shutdown_signal(ev::sig& signal, int events);
  void on_reload_signal(ev::sig& signal, int events);
  void on_counters_signal(ev::sig& signal, int events);
  void on_prepare(ev::prepare& prepare, int events);

  // Reads as much input as fits into one iteration.
  void read_input();

  [[nodiscard]] core::Time now() const;
  [[nodiscard]] net::EventSink event_sink();
  void post(core::Event event);
  void handle_events();
  // Returns false if the process has stalled: the remaining events are handled after the sockets have been
  // polled again.
  [[nodiscard]] bool handle_events_unless_stalled();
  void handle_next_event(core::Time now);
  [[nodiscard]] bool must_poll_again(core::Time now);
  void resume_after_stall();
  void tick();
  void start_timers();
  [[nodiscard]] bool has_unsent_output() const;
  void log_counters();

  void apply_version(const control::Version& version);
  [[nodiscard]] core::SettingsOffered parse_version(const control::Version& version) const;
  void on_configuration_read(core::ConfigurationRead read, hooks::LoadResult& loaded,
                             std::uint64_t versions_applied_before);

  void run(const core::Answer& effect);
  void run(const core::StartAttempt& effect) { engines_->run(effect); }
  void run(core::Transmit& effect);
  void run(const core::CancelAttempt& effect) { engines_->run(effect); }
  void run(const core::Reprioritize& effect) { engines_->run(effect); }
  void run(const core::SendHealthCheck& effect) { engines_->run(effect); }
  void run(const core::EndpointChanged& effect) { engines_->run(effect); }
  void run(const core::SendGossip& effect) { gossip_.run(effect); }
  void run(const core::Log& effect);
  void run(const core::ReadConfiguration&);
  void run(const core::FollowChangeLog& effect) { change_log_.set_address(effect.address); }
  void run(core::SettingsApplied& effect);
  void run(const core::SettingsRejected& effect);
  void run(core::RunHook& effect);
  void run(const core::DropHook& effect) { runner_.run(effect); }
  void run(const core::RenewHook& effect) { runner_.run(effect); }
  void run(const core::RetireHook& effect) { runner_.run(effect); }
  void run(const core::CloseClientConnections&);
  void run(const core::Exit&);

  ev::loop_ref loop_;
  net::InputScheduler input_{loop_};  // of all components below
  std::string file_;
  std::string fronts_file_;
  // Settings, names and change log are the active ones. They are replaced in place, between events, because
  // the servers hold references to them.
  config::Config config_;
  config::Overlay platform_overlay_;  // from the platform's configuration alone
  config::OperatorConfig fronts_;
  std::uint64_t versions_applied_ = 0;
  core::Time origin_;  // of the core's clock: the steady clock, shifted to the Unix time at the start
  core::ClientHandle last_client_handle_ = 0;
  std::deque<core::Event> events_;
  core::Effects effects_;  // of the event being handled
  core::Reducer reducer_;
  hooks::Runner runner_;
  std::unique_ptr<net::EngineDriver> engines_;
  std::unique_ptr<directory::LdapDirectory> directory_;  // null unless the operator's file has one
  std::vector<std::unique_ptr<net::ClientServer>> servers_;
  std::unique_ptr<ControlClient> control_;                   // null unless the operator's file has `control`
  const control::Version* version_being_applied_ = nullptr;  // null outside apply_version()
  platform::ChangeLogClient change_log_;
  platform::GossipSocket gossip_;
  ev::timer tick_timer_;
  ev::timer scheduler_timer_;
  ev::timer hooks_timer_;
  ev::prepare prepare_;
  ev::check check_;
  ev::sig sigterm_;
  ev::sig sigint_;
  ev::sig sighup_;
  ev::sig sigusr1_;
  StallDetector stall_detector_{net::thread_cpu_time};
  LoopStatistics loop_statistics_;
  bool tick_due_ = false;
  core::Counters logged_counters_;
  core::Time next_counters_log_{};
};

}  // namespace bellstair::app
