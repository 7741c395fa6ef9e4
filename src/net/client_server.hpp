// The server side towards clients, whatever protocol they speak.
#pragma once

#include "core/events.hpp"
#include "net/loop_component.hpp"

namespace bellstair::net {

// Reports each request as RequestReceived, and owes its client one answer until the client cancels or leaves.
class ClientServer : public LoopComponent {
 public:
  // Sends the answer; false: the client is not one of this server's.
  virtual bool run(const core::Answer& answer) = 0;
  // Begins the shutdown: every connection is closed once no answer is owed on it.
  virtual void shut_down() = 0;
  // True while bytes are unsent, or a closing client has still to read the last of them.
  [[nodiscard]] virtual bool has_unsent_output() const = 0;
};

}  // namespace bellstair::net
