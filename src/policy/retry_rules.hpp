// The protocol's rules on retries and rejections. The policy module decides by them, and core::Guard checks
// them again before bytes are sent.
#pragma once

#include "bellstair/policy/scheduler.hpp"

namespace bellstair::policy {

/// An earlier attempt of the same request.
struct EarlierAttempt {
  Time sent{};
  std::uint16_t zone = 0, cell = 0;  // of its engine
  bool proven_not_run = false;       // its result proves that it had no effect
};

/// Whether a request of this class may be sent to `engine` at `now` after an earlier attempt. Engines of one
/// deduplication scope execute a keyed request only once within the window; `margin` is reserved for the time
/// until the attempt arrives at the engine.
[[nodiscard]] inline bool retry_allowed(const ClassSettings& cls, const EarlierAttempt& earlier,
                                        const Endpoint& engine, Time now, Time margin) {
  if (cls.idempotency == Idempotency::idempotent || earlier.proven_not_run) return true;
  if (cls.idempotency == Idempotency::not_idempotent) return false;
  const bool same_scope =
      cls.deduplication_scope == DeduplicationScope::all ||
      (cls.deduplication_scope == DeduplicationScope::zone && earlier.zone == engine.zone) ||
      (cls.deduplication_scope == DeduplicationScope::cell && earlier.cell == engine.cell);
  return same_scope && now + margin < earlier.sent + cls.deduplication_window;
}

/// Like retry_allowed(), whatever engine the request is sent to.
[[nodiscard]] inline bool retry_allowed_anywhere(const ClassSettings& cls, const EarlierAttempt& earlier,
                                                 Time now, Time margin) {
  if (cls.idempotency == Idempotency::keyed && cls.deduplication_scope != DeduplicationScope::all)
    return earlier.proven_not_run;
  return retry_allowed(cls, earlier, {}, now, margin);
}

/// Whether a request may be rejected. A rejection promises the client that a retry is safe.
[[nodiscard]] inline bool rejection_allowed(const ClassSettings& cls, bool proven_not_run) {
  return proven_not_run || cls.idempotency == Idempotency::idempotent ||
         (cls.idempotency == Idempotency::keyed && cls.deduplication_scope == DeduplicationScope::all);
}

}  // namespace bellstair::policy
