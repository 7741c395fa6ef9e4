#include "net/stream.hpp"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <utility>

namespace bellstair::net {
namespace {
constexpr std::size_t kReadQuantumBytes = 1024;
constexpr std::size_t kMaxIdleBufferBytes = std::size_t{16} * 1024;  // retained once all is sent
// Temporary errors leave the connection intact.
bool lacks_memory(int error) { return error == ENOBUFS || error == ENOMEM; }
bool is_temporary(int error) { return error == EAGAIN || error == EINTR || lacks_memory(error); }
}  // namespace

Stream::Stream(ev::loop_ref loop, Fd fd, bool connecting, std::size_t max_unwritten)
    : io_(loop), fd_(std::move(fd)), connecting_(connecting), max_unwritten_(max_unwritten) {
  io_.set<Stream, &Stream::read, &Stream::on_writable>(this);
  if (fd_) watch();
}

void Stream::watch() {
  int events = 0;
  if (!connecting_ && !paused_ && !ended_ && !failed_) events |= ev::READ;
  if (connecting_ || unsent_bytes() > 0 || failed_) events |= ev::WRITE;
  io_.watch(fd_.get(), events);
}

bool Stream::write(std::string_view bytes) {
  if (!fd_ || failed_) return false;
  if (unsent_bytes() == 0 && !connecting_) {
    const auto sent = ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
    const int error = sent < 0 ? errno : 0;
    if (sent < 0 && !is_temporary(error)) {
      failed_ = true;  // reported from the loop, not from within this call
      error_ = error;
      watch();
      return false;
    }
    if (lacks_memory(error)) io_.pause();
    if (sent > 0) {
      written_ += static_cast<std::size_t>(sent);
      bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }
  if (bytes.empty()) return true;
  if (unsent_bytes() + bytes.size() > max_unwritten_) {
    failed_ = true;
    watch();
    return false;
  }
  // A peer that reads slowly may never let the buffer become empty.
  if (output_offset_ > output_.size() / 2) output_.erase(0, std::exchange(output_offset_, 0));
  output_.append(bytes);
  watch();
  return true;
}

void Stream::close() {
  *alive_ = false;
  alive_ = std::make_shared<bool>(true);
  io_.stop();
  fd_.reset();
}

void Stream::abort() {
  const linger reset_on_close{1, 0};
  if (fd_) ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close();
}

void Stream::finish() {
  finishing_ = true;
  if (fd_ && unsent_bytes() == 0) ::shutdown(fd_.get(), SHUT_WR);
}

void Stream::pause(bool on) {
  paused_ = on;
  if (fd_) watch();
}

Stream::Detached Stream::release() {
  Detached detached{std::move(fd_), output_.substr(output_offset_)};
  io_.stop();
  output_.clear();
  output_offset_ = 0;
  close();
  return detached;
}

Stream::Unread Stream::unread() const {
  char byte = 0;
  const auto received = ::recv(fd_.get(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) return Unread::bytes;
  return received < 0 && is_temporary(errno) ? Unread::nothing : Unread::end;
}

bool Stream::has_unacknowledged_bytes() const {
  int bytes = 0;
  return unsent_bytes() > 0 || (fd_ && ::ioctl(fd_.get(), SIOCOUTQ, &bytes) == 0 && bytes > 0);
}

std::string Stream::peek(std::size_t max_bytes) const {
  std::string bytes(max_bytes, '\0');
  const auto received = ::recv(fd_.get(), bytes.data(), bytes.size(), MSG_PEEK | MSG_DONTWAIT);
  bytes.resize(received > 0 ? static_cast<std::size_t>(received) : 0);
  return bytes;
}

void Stream::fail(int error) {
  error_ = error;
  io_.stop();
  fd_.reset();
  if (handlers_.closed) {
    const auto closed = handlers_.closed;  // a copy: the handler may destroy this stream
    closed();
  }
}

void Stream::on_writable() {
  if (failed_) return fail(error_);
  if (connecting_) return on_connected();
  flush();
}

void Stream::on_connected() {
  if (const int error = connect_error(fd_.get()); error != 0) return fail(error);
  connecting_ = false;
  const auto alive = alive_;
  watch();
  if (handlers_.connected) handlers_.connected();
  if (!*alive) return;
  if (unsent_bytes() > 0) flush();
}

InputSource::Quantum Stream::read() {
  using Quantum = InputSource::Quantum;
  static std::array<char, kReadQuantumBytes> buffer;  // shared: one thread runs the only loop
  const auto received = ::recv(fd_.get(), buffer.data(), buffer.size(), 0);
  if (received < 0) {
    on_read_failed(errno);
    return Quantum::drained;
  }
  if (received == 0) {
    ended_ = true;
    watch();
    if (handlers_.ended) handlers_.ended();
    return Quantum::drained;
  }
  const bool may_have_more = static_cast<std::size_t>(received) == buffer.size();
  const auto alive = alive_;
  caught_up_ = false;
  if (!detect_half_close() || !*alive) return Quantum::drained;
  if (handlers_.data) handlers_.data({buffer.data(), static_cast<std::size_t>(received)});
  if (!*alive || !fd_ || paused_) return Quantum::drained;
  if (may_have_more) return Quantum::has_more;
  on_all_read();
  return Quantum::drained;
}

void Stream::on_all_read() {
  if (std::exchange(caught_up_, true) || !handlers_.caught_up) return;
  handlers_.caught_up();
}

void Stream::on_read_failed(int error) {
  if (lacks_memory(error)) return io_.pause();
  if (!is_temporary(error)) return fail(error);
  if (error == EAGAIN) on_all_read();
}

// A peer that has closed may have much input unread, and no attempt should start for it any more.
bool Stream::detect_half_close() {
  if (!handlers_.half_closed || half_close_reported_) return true;
  pollfd state{fd_.get(), POLLRDHUP, 0};
  if (::poll(&state, 1, 0) <= 0) return true;
  if ((state.revents & POLLERR) != 0) {
    fail(ECONNRESET);
    return false;
  }
  half_close_reported_ = true;
  handlers_.half_closed();
  return true;
}

void Stream::flush() {
  while (unsent_bytes() > 0) {
    const auto sent = ::send(fd_.get(), output_.data() + output_offset_, unsent_bytes(), MSG_NOSIGNAL);
    if (sent < 0) {
      const int error = errno;
      if (!is_temporary(error)) return fail(error);
      if (lacks_memory(error)) io_.pause();
      break;
    }
    output_offset_ += static_cast<std::size_t>(sent);
    written_ += static_cast<std::size_t>(sent);
  }
  if (unsent_bytes() == 0) {
    if (finishing_) ::shutdown(fd_.get(), SHUT_WR);
    output_.clear();
    output_offset_ = 0;
    if (output_.capacity() > kMaxIdleBufferBytes) output_.shrink_to_fit();
  }
  watch();
  if (unsent_bytes() == 0 && handlers_.drained) handlers_.drained();
}

}  // namespace bellstair::net
