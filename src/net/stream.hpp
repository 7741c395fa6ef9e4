// A non-blocking TCP connection on the event loop, with a bounded output buffer.
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
    std::function<void()> connected;             // once, for streams that were connecting
    std::function<void(std::string_view)> data;  // for each read; the bytes are valid only during the call
    // Once, before `data` and `ended`: the peer has shut down its sending side, or closed, and has left input
    // that is not read yet. If it has reset the connection and this handler is set, `closed` is called
    // instead, and the input is discarded.
    std::function<void()> half_closed;
    std::function<void()> caught_up;  // after `data`, once all that has been received is read
    std::function<void()> ended;      // once: all that the peer has sent before its shutdown is read
    std::function<void()> closed;     // once: the connection failed or was never established
    std::function<void()> drained;    // each time that all written bytes have been sent
  };

  Stream(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_unwritten);
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  void set_handlers(Handlers handlers) { handlers_ = std::move(handlers); }
  // Returns false if the connection is broken or its peer does not read, so that the output buffer is full;
  // the loop then calls `closed`, never from within write().
  bool write(std::string_view bytes);
  // Closes the descriptor at once; no handler is called afterwards. May be called from within a handler.
  void close();
  // Like close(), but resets the connection and discards what the peer has not received. After a plain
  // close() the kernel would go on sending to a machine that was cut off from the network and may return.
  void abort();
  void pause(bool on);  // stops or resumes reading
  // Shuts down the sending side once all written bytes have been sent. Reading goes on: to close the
  // connection over unread input would reset it and destroy data that the peer has not read yet.
  void finish();

  // The descriptor and the bytes that are not sent yet, handed over to another owner. After release() no
  // handler of this stream is called.
  struct Detached {
    Fd fd;
    std::string unwritten;
  };
  [[nodiscard]] Detached release();

  [[nodiscard]] bool open() const { return static_cast<bool>(fd_); }
  [[nodiscard]] bool connecting() const { return connecting_; }
  // errno of the failure; 0 if the connection has not failed, or failed because its peer does not read.
  [[nodiscard]] int error() const { return error_; }
  [[nodiscard]] std::size_t unsent_bytes() const { return output_.size() - output_offset_; }
  // Whether the peer's system has not confirmed all that was written.
  [[nodiscard]] bool has_unacknowledged_bytes() const;
  [[nodiscard]] std::size_t output_buffer_bytes() const { return output_.capacity(); }
  [[nodiscard]] std::size_t written() const { return written_; }  // bytes that the kernel has accepted
  [[nodiscard]] bool ended() const { return ended_; }             // the peer has shut down its sending side
  // What the kernel's receive buffer holds that the loop has not read yet.
  enum class Unread { nothing, bytes, end };
  [[nodiscard]] Unread unread() const;
  // The first `max_bytes` of that, which stay unread.
  [[nodiscard]] std::string peek(std::size_t max_bytes) const;
  // For an idle stream: true if the peer has closed it or sent unsolicited bytes.
  [[nodiscard]] bool stale() const { return unread() != Unread::nothing; }
  // True if the connection was reset after the end of its input was read; further reads don't show that.
  [[nodiscard]] bool reset() const { return fd_ && connect_error(fd_.get()) != 0; }

 private:
  void on_writable();
  void on_connected();
  [[nodiscard]] InputSource::Quantum read();
  void on_all_read();
  void on_read_failed(int error);
  // Returns false if the connection was reset; the stream may be destroyed then.
  [[nodiscard]] bool detect_half_close();
  void flush();
  void fail(int error);

  IoWatch io_;
  Fd fd_;
  int error_ = 0;
  bool connecting_, paused_ = false, ended_ = false, failed_ = false, finishing_ = false;
  bool half_close_reported_ = false, caught_up_ = true;
  std::size_t max_unwritten_;
  std::string output_;
  std::size_t output_offset_ = 0, written_ = 0;
  Handlers handlers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  void watch();
};

}  // namespace bellstair::net
