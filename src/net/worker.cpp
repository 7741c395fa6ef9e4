#include "net/worker.hpp"

#include <csignal>
#include <utility>

namespace bellstair::net {

Worker::Worker(ev::loop_ref loop) : finished_watch_(loop) {
  finished_watch_.set<Worker, &Worker::on_finished>(this);
}

Worker::~Worker() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_one();
  thread_.join();
}

void Worker::post(Work work) {
  if (!thread_.joinable()) {
    finished_watch_.start();
    // Signals are the loop's.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &before);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
  }
  {
    const std::lock_guard lock(mutex_);
    queued_.push_back(std::move(work));
  }
  changed_.notify_one();
}

void Worker::run() {
  while (true) {
    Work next;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      if (stopping_) return;
      next = std::move(queued_.front());
      queued_.pop_front();
    }
    auto then = next();
    {
      const std::lock_guard lock(mutex_);
      finished_.push_back(std::move(then));
    }
    finished_watch_.send();
  }
}

void Worker::on_finished(ev::async&, int) {
  std::deque<std::function<void()>> finished;
  {
    const std::lock_guard lock(mutex_);
    finished.swap(finished_);
  }
  for (const auto& then : finished) then();
}

}  // namespace bellstair::net
