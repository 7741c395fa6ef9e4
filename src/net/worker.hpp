// A background thread for work that would block the event loop. It starts with the first such work.
#pragma once

#include <ev++.h>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace bellstair::net {

class Worker {
 public:
  // Runs in the thread, one at a time and in order; the function that it returns runs on the loop afterwards.
  using Work = std::function<std::function<void()>()>;

  explicit Worker(ev::loop_ref loop);
  // Waits for work that is running and discards queued work.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void post(Work work);

 private:
  void run();
  void on_finished(ev::async&, int);

  ev::async finished_signal_;
  std::mutex mutex_;
  std::condition_variable queue_changed_;
  std::deque<Work> queued_;
  std::deque<std::function<void()>> finished_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace bellstair::net
