// One TCP connection on the loop: bounded buffers, no blocking. What the bytes mean is its owner's business.
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
  struct Handlers {
    std::function<void()> connected;             // for streams that dial
    std::function<void(std::string_view)> data;  // whatever has come
    std::function<void()> ended;                 // the peer writes no more; reading is over
    std::function<void()> closed;                // broken, or never connected
    std::function<void()> drained;               // all that was written has left; may be empty
  };

  Stream(ev::loop_ref loop, Fd fd, bool dialling, std::size_t most_unwritten);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void handle(Handlers handlers) { handlers_ = std::move(handlers); }
  // False: it is broken or its peer does not read; `closed` follows from the loop, never from within.
  bool write(std::string_view bytes);
  // No handler is called any more; the descriptor is closed at once. Safe from within a handler.
  void close();
  // As close(), and what the peer has not got by now it never gets: a machine that was cut off may come back,
  // and the system would go on sending for it.
  void abort();
  void pause(bool on);  // stops or resumes reading
  // Nothing is written any more; once all has left, the peer is told so. Reading goes on: to close with input
  // unread would reset the connection, and take from the peer what it has not read yet.
  void finish();

  // What was written and has not left yet, and the descriptor with it: for another owner. No handler of this
  // one is called any more.
  struct Rest {
    Fd fd;
    std::string unwritten;
  };
  [[nodiscard]] Rest release();

  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  [[nodiscard]] bool dialling() const { return dialling_; }
  // errno of what broke it; 0: nothing did, it was closed, or its peer does not read what is written.
  [[nodiscard]] int error() const { return error_; }
  [[nodiscard]] std::size_t unwritten() const { return out_.size() - out_at_; }
  [[nodiscard]] std::size_t written() const { return written_; }  // bytes that the system has taken
  [[nodiscard]] bool ended() const { return ended_; }             // the peer writes no more
  // What lies in the system's buffer, not yet read: the loop may not have come to it.
  enum class Unread { nothing, bytes, end };
  [[nodiscard]] Unread unread() const;
  // For a stream at rest: true if the peer has closed it, or said something unasked.
  [[nodiscard]] bool stale() const { return unread() != Unread::nothing; }
  // True if it has been reset since its peer's end was read, which no reading would tell.
  [[nodiscard]] bool reset() const { return fd_ && connect_error(fd_.get()) != 0; }

 private:
  void on_io(int events);
  void read();
  void flush();
  void fail(int error);

  IoWatch io_;
  Fd fd_;
  int error_ = 0;
  bool dialling_, paused_ = false, ended_ = false, failed_ = false, finishing_ = false;
  std::size_t most_unwritten_;
  std::string out_;
  std::size_t out_at_ = 0, written_ = 0;
  Handlers handlers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  void watch();
};

}  // namespace bellstair::net
