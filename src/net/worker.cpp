#include "net/worker.hpp"

#include <csignal>
#include <utility>

namespace bellstair::net {

Worker::Worker(ev::loop_ref loop) : done_watch_(loop) { done_watch_.set<Worker, &Worker::on_done>(this); }

Worker::~Worker() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    ending_ = true;
  }
  more_.notify_one();
  thread_.join();
}

void Worker::later(Work work) {
  if (!thread_.joinable()) {
    done_watch_.start();
    // Signals are the loop's.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  {
    const std::lock_guard lock(mutex_);
    asked_.push_back(std::move(work));
  }
  more_.notify_one();
}

void Worker::run() {
  while (true) {
    Work next;
    {
      std::unique_lock lock(mutex_);
      more_.wait(lock, [this] { return ending_ || !asked_.empty(); });
      if (ending_) return;
      next = std::move(asked_.front());
      asked_.pop_front();
    }
    auto then = next();
    {
      const std::lock_guard lock(mutex_);
      done_.push_back(std::move(then));
    }
    done_watch_.send();
  }
}

void Worker::on_done(ev::async&, int) {
  std::deque<std::function<void()>> done;
  {
    const std::lock_guard lock(mutex_);
    done.swap(done_);
  }
  for (const auto& then : done) then();
}

}  // namespace bellstair::net
