// A control node on its loop: control::Node and control::Store with sockets, timers and signals.
#pragma once

#include <ev++.h>

#include <memory>
#include <optional>
#include <stdexcept>
#include <string>

#include "config/control.hpp"
#include "control/node.hpp"
#include "control/store.hpp"
#include "link/hub.hpp"
#include "net/backoff.hpp"

namespace bellstair::app {

// What documents must pass: the problems, one a line as NAME:LINE:COLUMN: ..., or nothing.
[[nodiscard]] std::string document_problems(const std::string& text, const std::string& name,
                                            const std::vector<std::string>& classes);
// How nodes name a document in problems, since they don't know its file.
inline constexpr const char* kDocument = "document";

class ControlNode {
 public:
  // A stranger's first message: it says Hello in far less.
  static constexpr std::size_t kMaxFirst = std::size_t{64} << 10;
  static constexpr core::Time kTick = std::chrono::milliseconds(100);
  static constexpr core::Time kDial = std::chrono::seconds(1);

  // `file` is read again on SIGHUP. Throws what is wrong with its store or address.
  ControlNode(ev::loop_ref loop, config::Control config, std::string file, std::string name);
  void run();  // until SIGTERM or SIGINT

 private:
  void on_tick(ev::timer& timer, int events);
  void on_prepare(ev::prepare& prepare, int events);
  void on_signal(ev::sig& signal, int events);
  void on_hangup(ev::sig& signal, int events);
  [[nodiscard]] link::Hub::Handlers handlers();
  [[nodiscard]] control::NodeOptions options() const;
  [[nodiscard]] const config::ControlNode* find(const std::string& name) const;
  void say(const std::string& text) const;
  void cut_off(const std::string& what);
  void dial(core::Time now);
  void dial_over(core::Time now);  // the connection to the writer is gone, or never came up

  // Decisions, then what they ask for; what follows from that comes after it.
  template <class Decide>
  void act(Decide decide);
  void run(const control::Send& effect) { hub_.send(effect.peer, effect.body); }
  void run(const control::Close& effect);
  void run(const control::KeepVersion& effect);
  void run(const control::KeepReign& effect);
  void run(const control::Log& effect);

  ev::loop_ref loop_;
  config::Control config_;
  std::string file_, name_;
  control::Store store_;
  control::Node node_;
  link::Hub hub_;
  net::Backoff backoff_;
  control::NodeEffects effects_;  // that nobody has run yet
  bool running_effects_ = false;
  // The connection to the writer.
  link::ChannelId upstream_ = 0;
  std::string upstream_name_;
  bool upstream_up_ = false;
  core::Time upstream_since_{}, next_dial_{};
  std::uint64_t turned_away_ = 0;  // that were told
  std::size_t cut_off_ = 0;        // in this second
  core::Time next_told_{};
  ev::timer tick_;
  ev::prepare prepare_;
  ev::sig term_, interrupt_, hangup_;
};

// `bellstair control FILE --node NAME`: the status of the process.
[[nodiscard]] int run_control_node(const std::string& file, const std::string& node);

}  // namespace bellstair::app
