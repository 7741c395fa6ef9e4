// What runs the core's effects on engines, whatever they speak, and reports how attempts end.
#pragma once

#include <functional>

#include "core/events.hpp"

namespace bellstair::net {

using Post = std::function<void(core::Event)>;

class EngineDriver {
 public:
  virtual ~EngineDriver() = default;
  virtual void run(const core::StartAttempt& effect) = 0;
  virtual void run(core::Transmit& effect) = 0;
  virtual void run(const core::CancelAttempt& effect) = 0;
  virtual void run(const core::Reprioritize& effect) = 0;
  virtual void run(const core::SendHealthCheck& effect) = 0;
  virtual void run(const core::EndpointChanged& effect) = 0;
  virtual void settle() = 0;  // once in each turn of the loop
  virtual void tick(core::Time now) = 0;
  // The clock, after a time without a tick: nothing falls due before what has come meanwhile is read.
  virtual void wake(core::Time now) = 0;
};

}  // namespace bellstair::net
