// The hooks of one request, in their order, and what comes of them together:
// - labels (cpu, ram, second): each hook sees what those before it have set; the last one to set it wins;
// - tags add up, the first kMaxTags of them;
// - the first refusal ends the chain, and no later hook is called;
// - a hook that fails has said nothing, whatever it had said; its on_failure decides, and it is blamed.
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

  [[nodiscard]] std::optional<HookId> next() const;  // to be called now; none: the chain has ended
  void took(const Verdict& verdict, Subject& subject);
  void failed(const Spec& spec, Failure failure);

  [[nodiscard]] const std::optional<Time>& refused() const { return refused_; }
  [[nodiscard]] HookId refused_by() const { return refused_by_; }
  [[nodiscard]] const std::vector<HookId>& hooks() const { return hooks_; }
  [[nodiscard]] HookId labelled_by() const { return labelled_by_; }  // the last that set a label
  struct Blame {
    HookId hook = 0;
    Failure failure = Failure::none;
  };
  [[nodiscard]] const std::vector<Blame>& blamed() const { return blamed_; }

 private:
  std::vector<HookId> hooks_;
  std::size_t at_ = 0;
  std::optional<Time> refused_;
  HookId refused_by_ = 0, labelled_by_ = 0;
  std::vector<Blame> blamed_;
};

// `statement`: as far as hooks are shown it; the subject need not hold it yet.
[[nodiscard]] bool fits(const Match& match, const Subject& subject, std::string_view statement);
// Plain search, in time linear in the text whatever both hold: std::string::find is not.
[[nodiscard]] bool contains(std::string_view text, std::string_view part);

}  // namespace bellstair::hooks
