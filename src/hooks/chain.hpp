// The hooks of one request, in their order, and the combination of their decisions:
// - labels (cpu, ram, second): each hook sees those of the hooks before it; the last one to set a label wins;
// - tags add up, the first kMaxTags of them;
// - the first rejection ends the chain; no later hook is called;
// - the decision of a hook that fails is discarded; its on_failure setting decides.
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
  // Outcomes of the call of next().
  void apply(const HookDecision& decision, RequestView& subject);
  void on_failure(const Spec& spec, HookFailureKind failure);

  // Of a rejection; none if no hook rejects the request.
  [[nodiscard]] const std::optional<Time>& retry_after() const { return retry_after_; }
  [[nodiscard]] HookId rejected_by() const { return rejected_by_; }
  [[nodiscard]] const std::vector<HookId>& hooks() const { return hooks_; }
  [[nodiscard]] HookId labelled_by() const { return labelled_by_; }  // the last that set a label
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

// Whether a hook is for the request. `statement`: as far as hooks see it; the subject need not hold it yet.
[[nodiscard]] bool matches(const Match& match, const RequestView& subject, std::string_view statement);
// Plain search, in time linear in the text whatever both hold: std::string::find is not.
[[nodiscard]] bool contains(std::string_view text, std::string_view part);

}  // namespace bellstair::hooks
