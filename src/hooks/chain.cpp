#include "hooks/chain.hpp"

#include <algorithm>
#include <cstring>

namespace bellstair::hooks {

bool contains(std::string_view text, std::string_view part) {
  return part.empty() || ::memmem(text.data(), text.size(), part.data(), part.size()) != nullptr;
}

bool matches(const Match& match, const RequestView& subject, std::string_view statement) {
  const auto one_of = [](const auto& list, auto value) {
    return list.empty() || std::ranges::find(list, value) != list.end();
  };
  return one_of(match.classes, subject.cls) && one_of(match.tenants, subject.tenant) &&
         (!match.front || *match.front == subject.front) && contains(statement, match.contains);
}

std::optional<HookId> Chain::next() const {
  if (retry_after_ || position_ == hooks_.size()) return std::nullopt;
  return hooks_[position_];
}

void Chain::apply(const HookDecision& decision, RequestView& subject) {
  const auto hook = hooks_[position_++];
  if (decision.cpu || decision.ram || decision.second) labelled_by_ = hook;
  if (decision.cpu) subject.cpu = decision.cpu;
  if (decision.ram) subject.ram = *decision.ram;
  if (decision.second) subject.second = *decision.second;
  for (const auto& tag : decision.tags) {
    if (subject.tags.size() < kMaxTags && std::ranges::find(subject.tags, tag) == subject.tags.end())
      subject.tags.push_back(tag);
  }
  if (!decision.refuse) return;
  retry_after_ = decision.refuse;
  rejected_by_ = hook;
}

void Chain::on_failure(const Spec& spec, HookFailureKind failure) {
  const auto hook = hooks_[position_++];
  failures_.push_back({hook, failure});
  if (!spec.reject_on_failure) return;
  retry_after_ = spec.retry_after;
  rejected_by_ = hook;
}

}  // namespace bellstair::hooks
