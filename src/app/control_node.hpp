// Runs a control node on an event loop: connects control::Node and control::Store to sockets, timers and
// signals.
#pragma once

#include <ev++.h>

#include <optional>
#include <string>

#include "app/leader_connection.hpp"
#include "config/control.hpp"
#include "control/node.hpp"
#include "control/store.hpp"
#include "link/channel_manager.hpp"
#include "net/input_scheduler.hpp"

namespace bellstair::app {

class ControlNode {
 public:
  // Limit for the first message of a peer that is not identified yet; a Hello is far smaller.
  static constexpr std::size_t kMaxFirstMessageBytes = std::size_t{64} << 10;
  static constexpr core::Time kTickInterval = std::chrono::milliseconds(100);

  // Reads `file` again on SIGHUP. Throws control::StoreError, or std::runtime_error if the node cannot listen
  // on its address.
  ControlNode(ev::loop_ref loop, config::Control config, std::string file, std::string name);
  void run();  // returns after SIGTERM or SIGINT

 private:
  void on_tick(ev::timer& timer, int events);
  void tick();
  void read_input();  // as much as fits into one iteration
  void on_prepare(ev::prepare& prepare, int events);
  void on_terminate(ev::sig& signal, int events);
  void on_hangup(ev::sig& signal, int events);
  [[nodiscard]] link::ChannelManager::Handlers handlers();
  void on_channel_closed(link::ChannelId id, const link::ChannelError& error, const std::string& address);
  [[nodiscard]] control::NodeOptions options() const;
  [[nodiscard]] const config::ControlNode* find(const std::string& name) const;
  [[nodiscard]] bool needs_restart(const config::Control& config) const;
  void log(const std::string& text) const;
  void log_channel_error(const std::string& address, const link::ChannelError& error);
  void log_connection_counts(core::Time now);

  // Calls `decision`, then runs the effects that it and the decisions caused by them have added.
  template <class Decide>
  void decide(Decide decision);
  void run(const control::Send& effect) { channels_.send(effect.peer, effect.body); }
  void run(const control::Close& effect);
  void run(const control::PersistVersion& effect);
  void run(const control::PersistTerm& effect);
  void run(const control::LogLine& effect);

  ev::loop_ref loop_;
  net::InputScheduler input_{loop_};  // of all channels
  config::Control config_;
  std::string file_, name_;
  control::Store store_;
  control::Node node_;
  link::ChannelManager channels_;
  LeaderConnection leader_connection_;
  control::NodeEffects effects_;  // not yet run
  bool running_effects_ = false;
  std::uint64_t logged_rejected_count_ = 0;
  std::size_t channel_errors_ = 0;  // since the last log_connection_counts()
  core::Time next_counts_{};
  bool tick_due_ = false;
  ev::timer tick_;
  ev::prepare prepare_;
  ev::sig terminate_, interrupt_, hangup_;
};

// Runs `bellstair control FILE --node NAME`; returns the exit status of the process.
[[nodiscard]] int run_control_node(const std::string& file, const std::string& node);

}  // namespace bellstair::app
