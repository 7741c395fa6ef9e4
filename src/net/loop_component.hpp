// What the event loop asks of a part of the program that owns sockets and timers.
#pragma once

#include "net/steady_clock.hpp"

namespace bellstair::net {

// A time in which the process did not run: it was stopped, or its machine was paused.
struct Stall {
  Time since{};       // the last look at the sockets before it
  Time resumed_at{};  // the first moment after it
};

// The time that a component goes by moves with tick() and resume() only.
class LoopComponent {
 public:
  LoopComponent() = default;
  LoopComponent(const LoopComponent&) = delete;
  LoopComponent& operator=(const LoopComponent&) = delete;
  virtual ~LoopComponent() = default;

  // Sets the clock and fires the timers that are due.
  virtual void tick(Time now) = 0;
  // Sets the clock to the end of a stall and fires no timer: what has arrived meanwhile is read first.
  virtual void resume(const Stall& stall) = 0;
  // Once at the end of each turn of the loop, when no handler is running: continues what waits, frees what is
  // closed.
  virtual void settle() = 0;
};

}  // namespace bellstair::net
