// Defines the guard's decisions.
#pragma once

#include <cstddef>
#include <cstdint>

namespace bellstair::core {

enum class GuardDecision : std::uint8_t {
  allowed,
  // Reasons not to admit a request.
  shutting_down,
  too_many_requests,  // the settings' max_open_requests is reached
  memory_exhausted,   // all requests together would take more memory than the broker's limit
  ticket_in_use,      // engines would confuse the request with the open one of the same ticket
  // Reasons not to start or transmit an attempt.
  already_answered,
  client_disconnected,  // the client has half-closed or closed its connection
  engine_not_ready,     // the engine is draining, removed, or was never listed
  attempt_expired,
  retry_forbidden,      // an earlier attempt may have taken effect
  hedging_forbidden,    // another attempt of the request may be running
  ordering_key_in_use,  // a request of the same ordering key may be running
};
inline constexpr std::size_t kGuardDecisions = 12;

// The decision's name in log lines and counters.
[[nodiscard]] const char* name(GuardDecision decision);

}  // namespace bellstair::core
