#include "core/guard.hpp"

#include <algorithm>

namespace bellstair::core {
using policy::EngineState;

Verdict Guard::may_take(const Taking& taking) const {
  // One that is read while the program ends could not be finished.
  if (taking.phase >= Phase::stopping) return Verdict::stopping;
  if (settings_.max_open_requests != 0 && taking.owed >= settings_.max_open_requests)
    return Verdict::too_many_open;
  if (!taking.fits) return Verdict::no_memory;
  if (taking.ticket_in_use) return Verdict::ticket_in_use;
  return Verdict::allowed;
}

Verdict Guard::may_send(const Sending& sending, Time now) const {
  const auto& cls = settings_.classes[sending.cls];
  if (sending.answered) return Verdict::answered;
  if (sending.client_gone) return Verdict::client_gone;
  if (sending.engine == nullptr || sending.engine->state != EngineState::ready)
    return Verdict::engine_not_ready;
  if (now >= sending.until) return Verdict::too_late;
  for (const auto& earlier : sending.earlier) {
    if (!repeat_allowed(cls, earlier.attempt, *sending.engine, now, kWindowSlack))
      return Verdict::repeat_forbidden;
    if (earlier.running && !settings_.hedging) return Verdict::another_running;
  }
  if (cls.ordered_by_key && key_in_use(sending.order_key, sending.request, now)) return Verdict::key_in_use;
  return Verdict::allowed;
}

bool Guard::breaks_a_rule(Verdict verdict) {
  return verdict == Verdict::repeat_forbidden || verdict == Verdict::another_running ||
         verdict == Verdict::key_in_use;
}

bool Guard::may_refuse(ClassIndex cls, bool unrun) const {
  return policy::refusal_allowed(settings_.classes[cls], unrun);
}

bool Guard::key_in_use(std::uint64_t key, RequestId request, Time now) const {
  const auto found = keys_.find(key);
  if (key == 0 || found == keys_.end() || found->second.request == request) return false;
  return found->second.out > 0 || now < found->second.lingers;
}

void Guard::sent(std::uint64_t key, RequestId request) {
  if (key == 0) return;
  auto& held = keys_[key];
  if (held.request != request) held = {request, 0, {}};
  ++held.out;
}

void Guard::ended(std::uint64_t key, RequestId request, Time lingers) {
  const auto found = keys_.find(key);
  if (found == keys_.end() || found->second.request != request || found->second.out == 0) return;
  --found->second.out;
  found->second.lingers = std::max(found->second.lingers, lingers);
}

void Guard::forget(Time now) {
  std::erase_if(keys_, [now](const auto& key) { return key.second.out == 0 && key.second.lingers <= now; });
}

}  // namespace bellstair::core
