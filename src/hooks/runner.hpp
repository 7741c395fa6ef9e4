// Executes the core's commands for hooks: runs slices, aborts calls and recreates machines. Scripts are
// loaded in a separate thread.
#pragma once

#include <ev++.h>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/events.hpp"
#include "hooks/load.hpp"
#include "net/worker.hpp"

namespace bellstair::hooks {

class Runner {
 public:
  // Called for each result, on the thread of the event loop.
  using Post = std::function<void(core::Event)>;
  // The names are replaced as a whole, never changed.
  Runner(ev::loop_ref loop, SettingNames names, Post post);
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  [[nodiscard]] std::shared_ptr<const SettingNames> names() const { return names_; }
  void set_names(SettingNames names);  // for all machines, from now on
  // Takes ownership of the machines. The caller passes the set to the core.
  void install(LoadResult& loaded);
  // See net::Worker.
  void run_in_background(net::Worker::Work work) { worker_.post(std::move(work)); }

  // Posts HookRan before it returns.
  void run(RunSlice& run);
  void run(const AbortCall& aborted);
  // Posts HookRenewed later, from the event loop.
  void run(const RenewMachine& renew);
  void run(const RetireMachine& retire);

 private:
  struct LoadedHook {
    Spec spec;
    std::shared_ptr<Machine> machine;
  };
  std::shared_ptr<const SettingNames> names_;
  Post post_;
  std::unordered_map<HookId, LoadedHook> hooks_;
  std::unordered_map<std::string, Store> stores_;  // by the hook's name; preserved across reloads

  net::Worker worker_;
};

}  // namespace bellstair::hooks
