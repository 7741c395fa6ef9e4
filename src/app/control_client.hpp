// The broker's stream to the control nodes, on the loop: control::Subscriber with a socket, timers and the
// file of the last version. A part of app::Broker, made only where the operator's file has `control`.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "config/control.hpp"
#include "control/subscriber.hpp"
#include "core/events.hpp"

namespace bellstair::app {

class ControlClient {
 public:
  // Called from settle() alone, with a version whose checksum and place are right; applied() must follow,
  // from within or later.
  using OnOffer = std::function<void(const control::Version&)>;

  // `name`: the broker's. Reads the file of the last version; one that is damaged is put aside and told.
  ControlClient(ev::loop_ref loop, const config::Control& config, const std::string& name, std::uint64_t seed,
                OnOffer offer);
  ~ControlClient();

  void start();               // the last version, if there is one, is offered at once
  void tick(core::Time now);  // with each tick of the broker (5 ms)
  void settle();              // once in each turn of the loop
  void stop();                // hangs up; nothing is dialled any more
  // What became of a version. No problem: it is in force, and is kept in the file as soon as
  // the disk takes it.
  void applied(const control::Version& version, const std::string& problem);
  [[nodiscard]] const control::Place& kept() const;  // in the file, on the disk
  // Could not be written to the file; it is tried again.
  [[nodiscard]] const std::optional<control::Place>& unkept() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bellstair::app
