// The final check before a request is admitted, an attempt started or transmitted, a request rejected or a
// client's connection closed. Whoever asked for the step, it is checked against the state of this moment:
// the state it was decided by may be out of date.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>

#include "core/events.hpp"
#include "core/guard_decision.hpp"
#include "core/lifecycle.hpp"
#include "policy/retry_rules.hpp"

namespace bellstair::core {

// The rules of admission, in their order:
// | decision          | input                        | limit                      | reason                      |
// | shutting_down     | phase                        | before Phase::stopping     | it could not be finished    |
// | too_many_requests | unanswered requests          | max_open_requests; 0: none | the operators' limit        |
// | memory_exhausted  | bytes held by all requests   | the broker's limit, bytes  | an OOM kill would lose all  |
// | ticket_in_use     | tickets of requests held     | each once                  | engines key queries by it   |
//
// The rules on starting an attempt, and once more on transmitting its first byte, in their order:
// | decision            | input                        | limit               | reason                           |
// | already_answered    | the request                  |                     | nobody waits for it              |
// | client_disconnected | the client's connection      |                     | nobody may wait for it           |
// | engine_not_ready    | endpoint state               | ready               | no new work while it drains      |
// | attempt_expired     | now                          | expires_at          | its result would come too late   |
// | retry_forbidden     | earlier attempts, class      | policy::retry_rules | it must not run twice            |
// | hedging_forbidden   | earlier attempts             | settings' hedging   | one attempt at a time            |
// | ordering_key_in_use | attempts of the ordering key | one request         | requests of a key run in order   |
class Guard {
 public:
  // `settings`: those in force; they are replaced in place.
  explicit Guard(const policy::Settings& settings) : settings_(settings) {}

  struct Admission {
    Phase phase = Phase::starting;
    std::size_t unanswered = 0;  // requests
    bool fits_in_memory = true;
    bool ticket_in_use = false;
  };
  [[nodiscard]] GuardDecision may_admit(const Admission& admission) const;

  struct PriorAttempt {
    policy::EarlierAttempt attempt;
    bool may_be_running = false;
  };
  struct AttemptStart {
    RequestId request = 0;
    ClassIndex cls = 0;
    std::uint64_t ordering_key = 0;  // 0: none
    bool answered = false;
    bool client_disconnected = false;
    Time expires_at{};
    const policy::Endpoint* endpoint = nullptr;  // null: not listed
    std::span<const PriorAttempt> prior;         // of the same request
  };
  [[nodiscard]] GuardDecision may_start_attempt(const AttemptStart& start, Time now) const;
  // True for rules that the scheduler keeps by itself: only a bug can break them.
  [[nodiscard]] static bool is_violation(GuardDecision decision);

  // Whether the client may be told that a retry is harmless. `never_ran`: proven of all attempts.
  [[nodiscard]] bool may_reject(ClassIndex cls, bool never_ran) const;

  // `open`: unanswered requests on the client's connection; `unread`: input waits on its socket.
  [[nodiscard]] static bool may_close(std::size_t open, bool unread) { return open == 0 && !unread; }

  // To be called when an attempt of a request with this ordering key is transmitted, and when it has ended
  // here; the engine may go on with it until `may_run_until`. Key 0 is ignored.
  void attempt_started(std::uint64_t ordering_key, RequestId request);
  void attempt_ended(std::uint64_t ordering_key, RequestId request, Time may_run_until);
  // Frees the memory of ordering keys that are no longer in use.
  void remove_idle_keys(Time now);

 private:
  struct KeyUse {
    RequestId request = 0;
    unsigned in_flight = 0;  // attempts
    Time may_run_until{};
  };
  [[nodiscard]] bool key_in_use(std::uint64_t ordering_key, RequestId request, Time now) const;

  // Taken off a deduplication window for the way to the engine.
  static constexpr Time kDeduplicationMargin = std::chrono::milliseconds(5);

  const policy::Settings& settings_;
  std::unordered_map<std::uint64_t, KeyUse> keys_;  // by ordering key
};

}  // namespace bellstair::core
