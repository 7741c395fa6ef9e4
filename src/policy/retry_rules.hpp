// The rules on what may be sent again, refused and sent at once, as the protocol words them. The decision
// module keeps them when it decides, and the broker's guard checks them where bytes leave.
#pragma once

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::policy {

// An attempt of the same request that was made before.
struct EarlierAttempt {
  Time sent{};
  std::uint16_t zone = 0, cell = 0;  // of its engine
  bool proven_unrun = false;         // its end proves that it had no effect
};

// Whether a request of this class may go to an engine at `now` after this attempt. A class with a window has
// its repeats dropped by the engines of one group for so long; `slack` is taken off for the way there.
[[nodiscard]] inline bool repeat_allowed(const ClassSettings& cls, const EarlierAttempt& earlier,
                                         const Endpoint& engine, Time now, Time slack) {
  if (cls.idempotency == Idempotency::idempotent || earlier.proven_unrun) return true;
  if (cls.idempotency == Idempotency::not_idempotent) return false;
  const bool same_group =
      cls.deduplication_scope == DeduplicationScope::all ||
      (cls.deduplication_scope == DeduplicationScope::zone && earlier.zone == engine.zone) ||
      (cls.deduplication_scope == DeduplicationScope::cell && earlier.cell == engine.cell);
  return same_group && now + slack < earlier.sent + cls.deduplication_window;
}

// Whether a client may be told that trying again does no harm.
[[nodiscard]] inline bool refusal_allowed(const ClassSettings& cls, bool proven_unrun) {
  return proven_unrun || cls.idempotency == Idempotency::idempotent ||
         (cls.idempotency == Idempotency::keyed && cls.deduplication_scope == DeduplicationScope::all);
}

}  // namespace bellstair::policy
