// Does what the core says about hooks: runs slices, drops calls, makes machines anew. What takes long is done
// beside the loop.
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
  using Post = std::function<void(core::Event)>;
  Runner(ev::loop_ref loop, Words words, Post post);  // the words are never changed, only replaced
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  [[nodiscard]] std::shared_ptr<const Words> words() const { return words_; }
  void know(Words words);  // for all machines, from now on
  // Takes the machines over; the core is to be told of the set.
  void adopt(Loaded& loaded);
  // See net::Worker.
  void later(net::Worker::Work work) { worker_.later(std::move(work)); }

  void run(Run& run);
  void run(const Drop& drop);
  void run(const Renew& renew);
  void run(const Retire& retire);

 private:
  struct Held {
    Spec spec;
    std::shared_ptr<Machine> machine;
  };
  std::shared_ptr<const Words> words_;
  Post post_;
  std::unordered_map<HookId, Held> held_;
  std::unordered_map<std::string, Store> stores_;  // by the hook's name, kept over reloads

  net::Worker worker_;
};

}  // namespace bellstair::hooks
