// Makes the final check before a request is admitted, an attempt is started or transmitted, a request is
// rejected or a client's connection is closed. Each step is checked against the current state, whichever
// module requested it: the decision may have been made on an earlier state.
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

// The rules of admission, in the order in which they are checked:
// | decision          | input                        | limit                      | reason                      |
// | shutting_down     | phase                        | before Phase::stopping     | no time is left to serve it |
// | too_many_requests | unanswered requests          | max_open_requests; 0: none | the operators' limit        |
// | memory_exhausted  | bytes stored for requests    | the broker's limit, bytes  | an OOM kill would lose all  |
// | ticket_in_use     | tickets of stored requests,  | unique                     | engines key queries by it,  |
// |                   | and TicketHistory            |                            | and it must not run twice   |
//
// The rules on attempts, in the order in which they are checked: before an attempt is started, and again
// before its first byte is transmitted.
// | decision            | input                        | limit               | reason                           |
// | already_answered    | the request                  |                     | no client waits for the result   |
// | client_disconnected | the client's connection      |                     | the client may be gone           |
// | engine_not_ready    | endpoint state               | ready               | a draining engine takes no work  |
// | attempt_expired     | now                          | expires_at          | the result would be too late     |
// | retry_forbidden     | earlier attempts, class      | policy::retry_rules | the query must not run twice     |
// | hedging_forbidden   | earlier attempts             | settings' hedging   | one attempt runs at a time       |
// | ordering_key_in_use | attempts of the ordering key | one request         | requests of a key run in order   |
class Guard {
 public:
  // `settings`: the active settings, which ConfigurationUpdater replaces in place.
  explicit Guard(const policy::Settings& settings) : settings_(settings) {}

  struct Admission {
    Phase phase = Phase::starting;
    std::size_t unanswered = 0;  // number of unanswered requests
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
    std::span<const PriorAttempt> prior;         // earlier attempts of the same request
  };
  [[nodiscard]] GuardDecision may_start_attempt(const AttemptStart& start, Time now) const;
  // True for the rules that the scheduler applies too: only a bug can break them.
  [[nodiscard]] static bool is_violation(GuardDecision decision);

  // Whether a rejection, which permits the client to retry, is safe. `never_ran`: no attempt can have run.
  [[nodiscard]] bool may_reject(ClassIndex cls, bool never_ran) const;

  // Whether a client's connection may be closed. `open`: its unanswered requests; `unread`: its socket has
  // unread input.
  [[nodiscard]] static bool may_close(std::size_t open, bool unread) { return open == 0 && !unread; }

  // Must be called when an attempt of a request with this ordering key is transmitted, and when it has ended.
  // The engine may continue to run an ended attempt until `may_run_until`. Key 0 is ignored.
  void attempt_started(std::uint64_t ordering_key, RequestId request);
  void attempt_ended(std::uint64_t ordering_key, RequestId request, Time may_run_until);
  // Must be called when an ended attempt is proven to run no longer. `others_until`: as above, for the other
  // ended attempts of the request.
  void attempt_stopped(std::uint64_t ordering_key, RequestId request, Time others_until);
  // Removes the entries of ordering keys that are no longer in use.
  void remove_idle_keys(Time now);

 private:
  struct KeyUse {
    RequestId request = 0;
    unsigned in_flight = 0;  // number of attempts in flight
    Time may_run_until{};
  };
  [[nodiscard]] bool key_in_use(std::uint64_t ordering_key, RequestId request, Time now) const;

  // Part of a deduplication window that is reserved for the transfer to the engine.
  static constexpr Time kDeduplicationMargin = std::chrono::milliseconds(5);

  const policy::Settings& settings_;
  std::unordered_map<std::uint64_t, KeyUse> keys_;  // by ordering key
};

}  // namespace bellstair::core
