// Watches a descriptor on the event loop and resumes watching after a shortage of memory.
//
// The kernel may fail to add a descriptor to the loop's set (epoll_ctl: ENOMEM, ENOSPC). libev then stops the
// watcher permanently and reports ev::ERROR once; it reports no further events of the descriptor.
// After calls that fail for lack of memory, a level-triggered loop would spin. In both cases the descriptor
// is not watched for a short pause, and is then watched again.
#pragma once

#include <ev++.h>

namespace bellstair::net {

class IoWatch {
 public:
  explicit IoWatch(ev::loop_ref loop) : io_(loop), resume_timer_(loop) {
    io_.set<IoWatch, &IoWatch::on_io>(this);
    resume_timer_.set<IoWatch, &IoWatch::on_resume>(this);
  }
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  // `method` is called with ev::READ, ev::WRITE or both. It may destroy the object, and this watch with it.
  template <class Object, void (Object::*method)(int events)>
  void set(Object* object) {
    object_ = object;
    method_ = [](void* to, int events) { (static_cast<Object*>(to)->*method)(events); };
  }

  // `events`: ev::READ, ev::WRITE or both; 0: none. During a pause, the change takes effect at its end.
  void watch(int fd, int events) {
    fd_ = fd;
    events_ = events;
    if (resume_timer_.is_active()) return;
    if (events == 0) {
      io_.stop();
    } else if (!io_.is_active()) {
      io_.start(fd, events);
    } else if (io_.events != events) {
      io_.set(events);
    }
  }
  // Must be called before the descriptor is closed.
  void stop() {
    io_.stop();
    resume_timer_.stop();
  }
  // Reports no events for kPauseSeconds.
  void pause() {
    io_.stop();
    resume_timer_.start(kPauseSeconds, 0);
  }

 private:
  static constexpr double kPauseSeconds = 0.01;

  void on_io(ev::io&, int events) {
    if ((events & ev::ERROR) != 0) return pause();
    method_(object_, events);
  }
  void on_resume(ev::timer&, int) { watch(fd_, events_); }

  ev::io io_;
  ev::timer resume_timer_;
  int fd_ = -1, events_ = 0;
  void* object_ = nullptr;
  void (*method_)(void*, int) = nullptr;
};

}  // namespace bellstair::net
