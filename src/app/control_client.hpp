// The broker's subscription to the control nodes on its event loop: control::Subscriber with a socket, timers
// and the file of the last version. A part of app::Broker where the operator's file has `control`.
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
  // Called from settle() alone, with a version that control::Subscriber has checked. applied() must follow
  // for each, from within or later.
  using OnVersion = std::function<void(const control::Version&)>;

  // `name`: the broker's. Reads the file of the last version; one that is damaged is renamed and logged.
  ControlClient(ev::loop_ref loop, const config::Control& config, const std::string& name, std::uint64_t seed,
                OnVersion on_version);
  ~ControlClient();

  void start();               // the last version, if there is one, is due at once
  void tick(core::Time now);  // with each tick of the broker
  void settle();              // once in each turn of the loop
  void stop();                // disconnects for good
  // What became of a version. An empty reason: it is active, and is persisted as soon as the disk takes it.
  void report_apply_result(const control::Version& version, const std::string& rejection_reason);

  // Of the version in the file, durably.
  [[nodiscard]] const control::VersionId& persisted() const;
  // Could not be written to the file, and is tried again.
  [[nodiscard]] const std::optional<control::VersionId>& unpersisted() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bellstair::app
