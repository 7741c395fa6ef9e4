// Watches a descriptor on the loop, also while the system is short of memory.
//
// The system may fail to take a descriptor into the loop's set (epoll_ctl: ENOMEM, ENOSPC). libev then stops
// the watcher for good and says so once: whoever did not heed that would never hear of the descriptor again.
// The same holds for calls that fail for want of memory, after which a level-triggered loop would go round
// for nothing. In both cases the descriptor is left alone for a moment, and watched again.
#pragma once

#include <ev++.h>

namespace bellstair::net {

class IoWatch {
 public:
  explicit IoWatch(ev::loop_ref loop) : io_(loop), resume_(loop) {
    io_.set<IoWatch, &IoWatch::on_io>(this);
    resume_.set<IoWatch, &IoWatch::on_resume>(this);
  }
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  // `method` is called with ev::READ, ev::WRITE or both. It may destroy the object, and this with it.
  template <class Object, void (Object::*method)(int events)>
  void set(Object* object) {
    object_ = object;
    call_ = [](void* to, int events) { (static_cast<Object*>(to)->*method)(events); };
  }

  // `events`: ev::READ, ev::WRITE or both; 0: none. During a pause it takes effect at its end.
  void watch(int fd, int events) {
    fd_ = fd;
    events_ = events;
    if (resume_.is_active()) return;
    if (events == 0) {
      io_.stop();
    } else if (!io_.is_active()) {
      io_.start(fd, events);
    } else if (io_.events != events) {
      io_.set(events);
    }
  }
  // To be called before the descriptor is closed.
  void stop() {
    io_.stop();
    resume_.stop();
  }
  // Nothing is reported for kPauseSeconds.
  void pause() {
    io_.stop();
    resume_.start(kPauseSeconds, 0);
  }

 private:
  static constexpr double kPauseSeconds = 0.01;

  void on_io(ev::io&, int events) {
    if ((events & ev::ERROR) != 0) return pause();
    call_(object_, events);
  }
  void on_resume(ev::timer&, int) { watch(fd_, events_); }

  ev::io io_;
  ev::timer resume_;
  int fd_ = -1, events_ = 0;
  void* object_ = nullptr;
  void (*call_)(void*, int) = nullptr;
};

}  // namespace bellstair::net
