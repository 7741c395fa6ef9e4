#include "hooks/runner.hpp"

#include <utility>

namespace bellstair::hooks {

Runner::Runner(ev::loop_ref loop, SettingNames names, Post post)
    : names_(std::make_shared<const SettingNames>(std::move(names))), post_(std::move(post)), worker_(loop) {}

void Runner::install(LoadResult& loaded) {
  for (std::size_t i = 0; i < loaded.machines.size(); ++i) {
    const auto& spec = loaded.set.hooks[i];
    auto& store = stores_.try_emplace(spec.name, spec.store_limit).first->second;
    store.set_limit(spec.store_limit);
    loaded.machines[i]->set_store(&store);
    loaded.machines[i]->set_names(names_);  // the machine may have been loaded with older names
    hooks_[spec.id] = {spec, std::move(loaded.machines[i])};
  }
}

void Runner::set_names(SettingNames names) {
  names_ = std::make_shared<const SettingNames>(std::move(names));
  for (auto& [id, hook] : hooks_) hook.machine->set_names(names_);
}

void Runner::run(RunSlice& run) {
  const auto found = hooks_.find(run.hook);
  if (found == hooks_.end()) return;
  post_(core::HookRan{found->second.machine->run(std::move(run))});
}

void Runner::run(const AbortCall& aborted) {
  if (const auto found = hooks_.find(aborted.hook); found != hooks_.end())
    found->second.machine->abort(aborted.job);
}

void Runner::run(const RenewMachine& renew) {
  const auto found = hooks_.find(renew.hook);
  if (found == hooks_.end()) return;
  run_in_background([this, spec = found->second.spec, names = names_]() -> std::function<void()> {
    auto problem = std::make_shared<std::string>();
    std::shared_ptr<Machine> renewed = Machine::make(spec, *names, kMaxLoadTime, *problem);
    return [this, problem, renewed, id = spec.id] {
      const auto hook = hooks_.find(id);
      if (hook == hooks_.end()) return;
      if (renewed) {
        renewed->set_store(&stores_.at(hook->second.spec.name));
        renewed->set_names(names_);
        hook->second.machine = renewed;
      }
      post_(core::HookRenewed{{id, *problem}});
    };
  });
}

// The store is preserved, because a hook of the same name may be installed again.
void Runner::run(const RetireMachine& retire) { hooks_.erase(retire.hook); }

}  // namespace bellstair::hooks
