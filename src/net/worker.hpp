// Work that may block, beside the loop: a thread of its own, started with the first such work.
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
  // Runs in the thread, one at a time and in order; what it returns runs on the loop afterwards.
  using Work = std::function<std::function<void()>()>;

  explicit Worker(ev::loop_ref loop);
  // Waits for the work that has begun; what has not is dropped.
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  void later(Work work);

 private:
  void run();
  void on_done(ev::async&, int);

  ev::async done_watch_;
  std::mutex mutex_;
  std::condition_variable more_;
  std::deque<Work> asked_;
  std::deque<std::function<void()>> done_;
  bool ending_ = false;
  std::thread thread_;
};

}  // namespace bellstair::net
