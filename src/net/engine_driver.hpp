// Interface of the drivers that connect to engines, for any engine protocol.
#pragma once

#include "core/events.hpp"
#include "net/event_sink.hpp"
#include "net/loop_component.hpp"

namespace bellstair::net {

// Executes the core's effects on engines. Each StartAttempt results in exactly one AttemptEnded event, each
// SendHealthCheck in one HealthCheckEnded.
class EngineDriver : public LoopComponent {
 public:
  // Connects for an attempt, reports AttemptConnected, and then waits for Transmit.
  virtual void run(const core::StartAttempt& effect) = 0;
  // Sends the statement; its body is moved out of the effect.
  virtual void run(core::Transmit& effect) = 0;
  virtual void run(const core::CancelAttempt& effect) = 0;
  virtual void run(const core::Reprioritize& effect) = 0;
  virtual void run(const core::SendHealthCheck& effect) = 0;
  virtual void run(const core::EndpointChanged& effect) = 0;
};

}  // namespace bellstair::net
