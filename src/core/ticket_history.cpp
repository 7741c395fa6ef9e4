#include "core/ticket_history.hpp"

#include "policy/retry_rules.hpp"

namespace bellstair::core {
namespace {
// Part of a deduplication window that is reserved for the transfer to the engine.
constexpr Time kDeduplicationMargin = std::chrono::milliseconds(5);
}  // namespace

void TicketHistory::add(const Request& request) {
  const auto& submission = request.submission;
  const bool client_has_left = request.abandoned || request.half_closed;
  const bool repeatable = settings_.classes[submission.cls].idempotency == policy::Idempotency::idempotent;
  if (!client_has_left || repeatable || submission.ticket.empty() || !may_have_run(request)) return;
  Entry entry{submission.cls, {}};
  for (const auto& attempt : request.attempts)
    entry.sent = std::max(entry.sent, attempt.transmitted_at.value_or(Time::zero()));
  const bool is_new = entries_.insert_or_assign(submission.ticket, entry).second;
  if (is_new) by_age_.push_back(submission.ticket);
  if (by_age_.size() > kMaxTickets) remove_oldest();
}

bool TicketHistory::forbids(const std::string& ticket, Time now) const {
  const auto found = entries_.find(ticket);
  if (found == entries_.end()) return false;
  const auto& entry = found->second;
  return !policy::retry_allowed_anywhere(settings_.classes[entry.cls], {entry.sent, 0, 0, false}, now,
                                         kDeduplicationMargin);
}

void TicketHistory::remove_expired(Time now) {
  while (!by_age_.empty()) {
    const auto& entry = entries_.at(by_age_.front());
    if (now < entry.sent + settings_.classes[entry.cls].client_timeout) return;
    remove_oldest();
  }
}

void TicketHistory::remove_oldest() {
  entries_.erase(by_age_.front());
  by_age_.pop_front();
}

}  // namespace bellstair::core
