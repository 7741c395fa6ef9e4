#include "net/worker.hpp"

#include <csignal>
#include <utility>

namespace bellstair::net {

Worker::Worker(ev::loop_ref loop) : finished_signal_(loop) {
  finished_signal_.set<Worker, &Worker::on_finished>(this);
}

Worker::~Worker() {
  if (!thread_.joinable()) return;
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  queue_changed_.notify_one();
  thread_.join();
}

void Worker::post(Work work) {
  if (!thread_.joinable()) {
    finished_signal_.start();
    // Signals are handled by the loop's thread only.
    sigset_t all, previous;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, &previous);
    thread_ = std::thread([this] { run(); });
    pthread_sigmask(SIG_SETMASK, &previous, nullptr);
  }
  {
    const std::lock_guard lock(mutex_);
    queued_.push_back(std::move(work));
  }
  queue_changed_.notify_one();
}

void Worker::run() {
  while (true) {
    Work next;
    {
      std::unique_lock lock(mutex_);
      queue_changed_.wait(lock, [this] { return stopping_ || !queued_.empty(); });
      if (stopping_) return;
      next = std::move(queued_.front());
      queued_.pop_front();
    }
    auto completion = next();
    {
      const std::lock_guard lock(mutex_);
      finished_.push_back(std::move(completion));
    }
    finished_signal_.send();
  }
}

void Worker::on_finished(ev::async&, int) {
  std::deque<std::function<void()>> finished;
  {
    const std::lock_guard lock(mutex_);
    finished.swap(finished_);
  }
  for (const auto& completion : finished) completion();
}

}  // namespace bellstair::net
