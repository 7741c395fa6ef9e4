// The Lua machine of one hook. Calls are coroutines that are made to yield after a slice, so that no script,
// however it loops, holds up whoever runs it; to cut a call off is not to go on with it. Not safe for use by
// two threads at once; may be made in one and used in another.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "hooks/spec.hpp"
#include "hooks/store.hpp"

namespace bellstair::hooks {

// Positions in the settings' lists, to names; scripts see names.
struct Words {
  std::vector<std::string> classes, tenants, fronts;
};

class Machine {
 public:
  // Loads the script, within `most_time`. Null and `problem` if it can't be used.
  [[nodiscard]] static std::unique_ptr<Machine> make(const Spec& spec, const Words& words, Time most_time,
                                                     std::string& problem);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // One call of each phase that it has, for a request that any script should stand; what it remembers of them
  // is forgotten. What goes wrong, or nothing.
  [[nodiscard]] std::string rehearse();

  void remember(Store* store);  // of use for all calls from now on
  // Also for calls that have begun: a position never changes its name while a call is about it.
  void know(std::shared_ptr<const Words> words);
  // Goes on with the call, or begins it, for a slice.
  [[nodiscard]] Ran run(Run run);
  void drop(JobId job);

  [[nodiscard]] std::size_t memory() const;
  [[nodiscard]] std::size_t memory_peak() const;

 private:
  struct State;
  explicit Machine(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace bellstair::hooks
