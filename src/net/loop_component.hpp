// Interface of the components on the event loop, which own sockets and timers.
#pragma once

#include "net/steady_clock.hpp"

namespace bellstair::net {

// A period in which the process did not run, because it was stopped or its machine was paused.
struct Stall {
  Time since{};       // the last poll of the sockets before it
  Time resumed_at{};  // the first moment after it
};

// A component's clock advances only by tick() and resume().
class LoopComponent {
 public:
  LoopComponent() = default;
  LoopComponent(const LoopComponent&) = delete;
  LoopComponent& operator=(const LoopComponent&) = delete;
  virtual ~LoopComponent() = default;

  // Sets the clock and fires the timers that are due.
  virtual void tick(Time now) = 0;
  // Sets the clock to the end of a stall without firing timers, so that input that arrived during the stall
  // is read first.
  virtual void resume(const Stall& stall) = 0;
  // Called once at the end of each iteration of the loop, when no handler is running: continues work that is
  // waiting and frees closed connections.
  virtual void settle() = 0;
};

}  // namespace bellstair::net
