#include "hooks/runner.hpp"

#include <utility>

namespace bellstair::hooks {

Runner::Runner(ev::loop_ref loop, Words words, Post post)
    : words_(std::make_shared<const Words>(std::move(words))), post_(std::move(post)), worker_(loop) {}

void Runner::adopt(Loaded& loaded) {
  for (std::size_t i = 0; i < loaded.machines.size(); ++i) {
    const auto& spec = loaded.set.hooks[i];
    auto& store = stores_.try_emplace(spec.name, spec.store_limit).first->second;
    store.bound(spec.store_limit);
    loaded.machines[i]->set_store(&store);
    loaded.machines[i]->set_names(words_);  // those that it was made with may be of an older version
    held_[spec.id] = {spec, std::move(loaded.machines[i])};
  }
}

void Runner::know(Words words) {
  words_ = std::make_shared<const Words>(std::move(words));
  for (auto& [id, held] : held_) held.machine->set_names(words_);
}

void Runner::run(Run& run) {
  const auto found = held_.find(run.hook);
  if (found == held_.end()) return;
  post_(core::HookRan{found->second.machine->run(std::move(run))});
}

void Runner::run(const Drop& drop) {
  if (const auto found = held_.find(drop.hook); found != held_.end()) found->second.machine->abort(drop.job);
}

void Runner::run(const Renew& renew) {
  const auto found = held_.find(renew.hook);
  if (found == held_.end()) return;
  later([this, spec = found->second.spec, words = words_]() -> std::function<void()> {
    auto problem = std::make_shared<std::string>();
    std::shared_ptr<Machine> fresh = Machine::make(spec, *words, kMaxLoad, *problem);
    return [this, problem, fresh, id = spec.id] {
      const auto held = held_.find(id);
      if (held == held_.end()) return;
      if (fresh) {
        fresh->set_store(&stores_.at(held->second.spec.name));
        fresh->set_names(words_);
        held->second.machine = fresh;
      }
      post_(core::HookRenewed{{id, *problem}});
    };
  });
}

// The store stays: a hook of the same name may come again.
void Runner::run(const Retire& retire) { held_.erase(retire.hook); }

}  // namespace bellstair::hooks
