// One TCP connection on the loop: bounded buffers, no blocking.
#pragma once

#include <ev++.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/io_watch.hpp"
#include "net/socket.hpp"

namespace bellstair::net {

class Stream {
 public:
  // Called from the loop, never from within a call on the stream; each may be empty. A handler may close or
  // destroy the stream.
  struct Handlers {
    std::function<void()> connected;             // once, for streams that connect
    std::function<void(std::string_view)> data;  // for each read; the bytes are valid within the call only
    std::function<void()> ended;                 // once: the peer writes no more, and reading is over
    std::function<void()> closed;                // once: broken, or never connected
    std::function<void()> drained;               // each time that all that was written has left
  };

  Stream(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_unwritten);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void set_handlers(Handlers handlers) { handlers_ = std::move(handlers); }
  // False: it is broken or its peer does not read; `closed` follows from the loop, never from within.
  bool write(std::string_view bytes);
  // No handler is called any more; the descriptor is closed at once. Safe from within a handler.
  void close();
  // As close(), and what the peer has not got by now it never gets: a machine that was cut off may come back,
  // and the system would go on sending for it.
  void abort();
  void pause(bool on);  // stops or resumes reading
  // Shuts down writing once all has left. Reading goes on: closing over unread input would reset the
  // connection, and destroy data that the peer has not read yet.
  void finish();

  // What was written and has not left yet, and the descriptor with it: for another owner. No handler of this
  // one is called any more.
  struct Rest {
    Fd fd;
    std::string unwritten;
  };
  [[nodiscard]] Rest release();

  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  [[nodiscard]] bool connecting() const { return connecting_; }
  // errno of what broke it; 0: it is not broken, or its peer does not read what is written.
  [[nodiscard]] int error() const { return error_; }
  [[nodiscard]] std::size_t unsent_bytes() const { return out_.size() - out_at_; }
  [[nodiscard]] std::size_t written() const { return written_; }  // bytes that the system has taken
  [[nodiscard]] bool ended() const { return ended_; }             // the peer writes no more
  // What lies in the system's buffer, not yet read: the loop may not have come to it.
  enum class Unread { nothing, bytes, end };
  [[nodiscard]] Unread unread() const;
  // For an idle stream: true if the peer has closed it, or sent something unasked.
  [[nodiscard]] bool stale() const { return unread() != Unread::nothing; }
  // True if it has been reset since its peer's end was read, which reading can't show.
  [[nodiscard]] bool reset() const { return fd_ && connect_error(fd_.get()) != 0; }

 private:
  void on_io(int events);
  void read();
  void flush();
  void fail(int error);

  IoWatch io_;
  Fd fd_;
  int error_ = 0;
  bool connecting_, paused_ = false, ended_ = false, failed_ = false, finishing_ = false;
  std::size_t max_unwritten_;
  std::string out_;
  std::size_t out_at_ = 0, written_ = 0;
  Handlers handlers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  void watch();
};

}  // namespace bellstair::net
