// The Lua machine of one hook. Calls are coroutines that yield when their time slice ends, so that a script
// with an endless loop does not block the event loop. A call is aborted by never resuming it. The class is
// not thread-safe, but a machine may be created in one thread and then used in another.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "hooks/spec.hpp"
#include "hooks/store.hpp"

namespace bellstair::hooks {

// The names that scripts see, at their positions in the lists of the settings.
struct SettingNames {
  std::vector<std::string> classes, tenants, fronts;
};

class Machine {
 public:
  // Loads the script within `load_timeout` of wall time. Returns null and sets `problem` if that fails.
  [[nodiscard]] static std::unique_ptr<Machine> make(const Spec& spec, const SettingNames& names,
                                                     Time load_timeout, std::string& problem);
  ~Machine();
  Machine(const Machine&) = delete;
  Machine& operator=(const Machine&) = delete;

  // Makes one call for each phase of the hook, with a request that any script should handle and a separate
  // store. Returns a description of the failure, or an empty string if all calls succeeded.
  [[nodiscard]] std::string dry_run();

  // Sets the store for all later slices. The store must outlive its use.
  void set_store(Store* store);
  // Applies to calls that have started too: the name at a position does not change while a call refers to it.
  void set_names(std::shared_ptr<const SettingNames> names);
  // Starts or resumes the call for one slice.
  [[nodiscard]] SliceResult run(RunSlice run);
  // Ends a call that has yielded.
  void abort(JobId job);

  [[nodiscard]] std::size_t memory() const;       // bytes
  [[nodiscard]] std::size_t memory_peak() const;  // bytes, since the last call started

 private:
  struct State;
  explicit Machine(std::unique_ptr<State> state);
  std::unique_ptr<State> state_;
};

}  // namespace bellstair::hooks
