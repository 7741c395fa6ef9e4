// Subscribes a broker to the control nodes: connects control::Subscriber to a socket, timers and the file of
// the last version on the broker's event loop. app::Broker has one if the operator's file has `control`.
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
  // Called only from settle(), with a version that control::Subscriber has checked. The receiver must call
  // report_apply_result() once for each version, within the call or later.
  using OnVersion = std::function<void(const control::Version&)>;

  // `name`: of the broker. Reads the file of the last version; renames and logs a damaged file.
  ControlClient(ev::loop_ref loop, const config::Control& config, const std::string& name, std::uint64_t seed,
                OnVersion on_version);
  ~ControlClient();

  void start();               // queues the last version, if there is one, for settle()
  void tick(core::Time now);  // called on each tick of the broker
  void settle();              // called once per iteration of the event loop
  void stop();                // disconnects and does not connect again
  // Reports the result of applying a version. An empty reason: it is active, and is persisted as soon as a
  // write to the disk succeeds.
  void report_apply_result(const control::Version& version, const std::string& rejection_reason);

  // The version that the file holds durably.
  [[nodiscard]] const control::VersionId& persisted() const;
  // The version that could not be written to the file, while the write is retried.
  [[nodiscard]] const std::optional<control::VersionId>& unpersisted() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace bellstair::app
