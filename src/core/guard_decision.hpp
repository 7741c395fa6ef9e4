// The guard's decisions, each with its reason.
#pragma once

#include <cstddef>
#include <cstdint>

namespace bellstair::core {

enum class GuardDecision : std::uint8_t {
  allowed,
  // On a new request.
  shutting_down,
  too_many_requests,  // settings' max_open_requests
  memory_exhausted,   // all requests together would hold more than the broker's limit
  ticket_in_use,      // engines would take the request for the other one
  // On an attempt.
  already_answered,
  client_disconnected,  // it has closed its side of the connection, or all of it
  engine_not_ready,     // draining, removed, or never listed
  attempt_expired,
  retry_forbidden,      // an earlier attempt may have had its effect
  hedging_forbidden,    // another attempt of the request may be running
  ordering_key_in_use,  // a request of the same ordering key may be running
};
inline constexpr std::size_t kGuardDecisions = 12;

// As it stands in log lines and counters.
[[nodiscard]] const char* name(GuardDecision decision);

}  // namespace bellstair::core
