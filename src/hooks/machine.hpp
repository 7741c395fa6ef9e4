// The Lua machine of one hook. Calls are coroutines that are made to yield after a slice, so that no script,
// however it loops, holds up whoever runs it; a call is aborted by never resuming it. Not safe for use by two
// threads at once; may be made in one and used in another.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "hooks/spec.hpp"
#include "hooks/store.hpp"

namespace bellstair::hooks {

// Names by their positions in the settings' lists; scripts see the names.
struct SettingNames {
  std::vector<std::string> classes, tenants, fronts;
};

class Machine {
 public:
  // Loads the script within `load_timeout` of wall time. Null, with `problem` set, if it can't be used.
  [[nodiscard]] static std::unique_ptr<Machine> make(const Spec& spec, const SettingNames& names,
                                                     Time load_timeout, std::string& problem);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Makes one call of each phase of the hook, for a request that any script should handle, on a store of its
  // own. Returns what went wrong; empty if nothing did.
  [[nodiscard]] std::string dry_run();

  // For all slices from now on. The store outlives its use.
  void set_store(Store* store);
  // Also for calls that have begun: a position never changes its name while a call is about it.
  void set_names(std::shared_ptr<const SettingNames> names);
  // Begins or resumes the call, for one slice.
  [[nodiscard]] SliceResult run(RunSlice run);
  // Ends a call that has yielded.
  void abort(JobId job);

  [[nodiscard]] std::size_t memory() const;       // bytes
  [[nodiscard]] std::size_t memory_peak() const;  // bytes, since the last call began

 private:
  struct State;
  explicit Machine(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace bellstair::hooks
