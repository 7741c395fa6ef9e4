// Does what the core says about hooks: runs slices, drops calls, makes machines anew. What takes long is done
// by a thread of its own, which is started with the first such work.
#pragma once

#include <ev++.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_map>

#include "core/events.hpp"
#include "hooks/load.hpp"

namespace bellstair::hooks {

class Runner {
 public:
  using Post = std::function<void(core::Event)>;
  Runner(ev::loop_ref loop, Words words, Post post);  // the words are never changed, only replaced
  ~Runner();
  Runner(const Runner&) = delete;
  Runner& operator=(const Runner&) = delete;

  [[nodiscard]] std::shared_ptr<const Words> words() const { return words_; }
  void know(Words words);  // for all machines, from now on
  // Takes the machines over; the core is to be told of the set.
  void adopt(Loaded& loaded);
  // `work` in the thread, and what it returns on the loop.
  void later(std::function<std::function<void()>()> work);

  void run(Run& run);
  void run(const Drop& drop);
  void run(const Renew& renew);
  void run(const Retire& retire);

 private:
  struct Held {
    Spec spec;
    std::shared_ptr<Machine> machine;
  };
  void work();
  void on_done(ev::async&, int);

  std::shared_ptr<const Words> words_;
  Post post_;
  std::unordered_map<HookId, Held> held_;
  std::unordered_map<std::string, Store> stores_;  // by the hook's name, kept over reloads

  ev::async done_watch_;
  std::mutex mutex_;
  std::condition_variable more_;
  std::deque<std::function<std::function<void()>()>> asked_;
  std::deque<std::function<void()>> done_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace bellstair::hooks
