#include "hooks/chain.hpp"

#include <algorithm>
#include <cstring>

namespace bellstair::hooks {

bool contains(std::string_view text, std::string_view part) {
  return part.empty() || ::memmem(text.data(), text.size(), part.data(), part.size()) != nullptr;
}

bool fits(const Match& match, const Subject& subject, std::string_view statement) {
  const auto one_of = [](const auto& list, auto value) {
    return list.empty() || std::ranges::find(list, value) != list.end();
  };
  return one_of(match.classes, subject.cls) && one_of(match.tenants, subject.tenant) &&
         (!match.front || *match.front == subject.front) && contains(statement, match.contains);
}

std::optional<HookId> Chain::next() const {
  if (refused_ || at_ == hooks_.size()) return std::nullopt;
  return hooks_[at_];
}

void Chain::took(const Verdict& verdict, Subject& subject) {
  const auto hook = hooks_[at_++];
  if (verdict.cpu || verdict.ram || verdict.second) labelled_by_ = hook;
  if (verdict.cpu) subject.cpu = verdict.cpu;
  if (verdict.ram) subject.ram = *verdict.ram;
  if (verdict.second) subject.second = *verdict.second;
  for (const auto& tag : verdict.tags) {
    if (subject.tags.size() < kMaxTags && std::ranges::find(subject.tags, tag) == subject.tags.end())
      subject.tags.push_back(tag);
  }
  if (!verdict.refuse) return;
  refused_ = verdict.refuse;
  refused_by_ = hook;
}

void Chain::failed(const Spec& spec, Failure failure) {
  const auto hook = hooks_[at_++];
  blamed_.push_back({hook, failure});
  if (!spec.refuse_on_failure) return;
  refused_ = spec.later;
  refused_by_ = hook;
}

}  // namespace bellstair::hooks
