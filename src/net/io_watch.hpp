// Watches a descriptor on the event loop and resumes watching after a shortage of memory.
//
// The kernel may fail to add a descriptor to the loop's set (epoll_ctl: ENOMEM, ENOSPC). libev then stops the
// watcher permanently and reports ev::ERROR once; it reports no further events of the descriptor.
// After calls that fail for lack of memory, a level-triggered loop would spin. In both cases the descriptor
// is not watched for a short pause, and is then watched again.
// Input is read with the turn of the loop's InputScheduler; output is written at once.
#pragma once

#include <ev++.h>

#include "net/input_scheduler.hpp"

namespace bellstair::net {

class IoWatch {
 public:
  explicit IoWatch(ev::loop_ref loop) : io_(loop), resume_timer_(loop), input_(loop) {
    io_.set<IoWatch, &IoWatch::on_io>(this);
    resume_timer_.set<IoWatch, &IoWatch::on_resume>(this);
  }
  ~IoWatch() {
    if (destroyed_ != nullptr) *destroyed_ = true;
  }
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  // `read` reads at most one quantum of input. It may destroy the object, and this watch with it.
  template <class Object, InputSource::Quantum (Object::*read)()>
  void set(Object* object) {
    input_.set<Object, read>(object);
  }
  // Also calls `write` when output can be written; it may destroy the object, too.
  template <class Object, InputSource::Quantum (Object::*read)(), void (Object::*write)()>
  void set(Object* object) {
    input_.set<Object, read>(object);
    object_ = object;
    write_ = [](void* to) { (static_cast<Object*>(to)->*write)(); };
  }

  // `events`: ev::READ, ev::WRITE or both; 0: none. During a pause, the change takes effect at its end.
  void watch(int fd, int events) {
    fd_ = fd;
    events_ = events;
    if ((events & ev::READ) == 0) input_.cancel();
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
    events_ = 0;
    input_.cancel();
    io_.stop();
    resume_timer_.stop();
  }
  // Reports no events for kPauseSeconds.
  void pause() {
    input_.cancel();
    io_.stop();
    resume_timer_.start(kPauseSeconds, 0);
  }

 private:
  static constexpr double kPauseSeconds = 0.01;

  void on_io(ev::io&, int events) {
    if ((events & ev::ERROR) != 0) return pause();
    if ((events & ev::WRITE) != 0 && !write()) return;
    if ((events & events_ & ev::READ) != 0) input_.ready();
  }
  // Returns false if the watch has been destroyed.
  bool write() {
    bool destroyed = false;
    destroyed_ = &destroyed;
    write_(object_);
    if (!destroyed) destroyed_ = nullptr;
    return !destroyed;
  }
  void on_resume(ev::timer&, int) { watch(fd_, events_); }

  ev::io io_;
  ev::timer resume_timer_;
  InputSource input_;
  int fd_ = -1, events_ = 0;
  void* object_ = nullptr;
  void (*write_)(void*) = nullptr;
  bool* destroyed_ = nullptr;  // set while write_ is running
};

}  // namespace bellstair::net
