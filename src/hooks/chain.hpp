// The hooks of one request, in the order of their calls. Their decisions are combined as follows:
// - labels (cpu, ram, second): each hook sees the labels set by earlier hooks; the last hook to set one wins;
// - tags accumulate, up to kMaxTags;
// - the first rejection ends the chain, and no later hook is called;
// - the decision of a hook that fails is discarded, and its on_failure setting applies instead.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hooks/spec.hpp"

namespace bellstair::hooks {

class Chain {
 public:
  Chain() = default;
  explicit Chain(std::vector<HookId> hooks) : hooks_(std::move(hooks)) {}

  [[nodiscard]] std::optional<HookId> next() const;  // the hook to call; none at the end of the chain
  // Record the outcome of the call of the hook that next() returned.
  void apply(const HookDecision& decision, RequestView& subject);
  void on_failure(const Spec& spec, HookFailureKind failure);

  // The time after which a rejected request may be retried; none if no hook has rejected the request.
  [[nodiscard]] const std::optional<Time>& retry_after() const { return retry_after_; }
  [[nodiscard]] HookId rejected_by() const { return rejected_by_; }
  [[nodiscard]] const std::vector<HookId>& hooks() const { return hooks_; }
  [[nodiscard]] HookId labelled_by() const { return labelled_by_; }  // the last hook that set a label
  struct HookFailure {
    HookId hook = 0;
    HookFailureKind failure = HookFailureKind::none;
  };
  [[nodiscard]] const std::vector<HookFailure>& failures() const { return failures_; }

 private:
  std::vector<HookId> hooks_;
  std::size_t position_ = 0;
  std::optional<Time> retry_after_;
  HookId rejected_by_ = 0, labelled_by_ = 0;
  std::vector<HookFailure> failures_;
};

// Returns whether the hook is to be called for the request. `statement` is the part of the statement that
// hooks see; the subject need not contain it yet.
[[nodiscard]] bool matches(const Match& match, const RequestView& subject, std::string_view statement);
// Returns whether the text contains the part. The time is linear in the text for all inputs, unlike that of
// std::string::find.
[[nodiscard]] bool contains(std::string_view text, std::string_view part);

}  // namespace bellstair::hooks
