// Interface of the servers that accept client connections, for any client protocol.
#pragma once

#include "core/events.hpp"
#include "net/loop_component.hpp"

namespace bellstair::net {

// Reports each request as RequestReceived. Its client gets exactly one answer unless it cancels or
// disconnects.
class ClientServer : public LoopComponent {
 public:
  // Sends the answer; returns false if the client is not one of this server's.
  virtual bool run(const core::Answer& answer) = 0;
  // Begins the shutdown: closes each connection once no request on it is unanswered.
  virtual void shut_down() = 0;
  // True while bytes are unsent or a client whose connection is closing may not have read all of them.
  [[nodiscard]] virtual bool has_unsent_output() const = 0;
};

}  // namespace bellstair::net
