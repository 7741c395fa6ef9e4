#include "net/listener.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bellstair::net {
namespace {
constexpr int kMaxAcceptsPerIteration = 64;
}  // namespace

AcceptError classify_accept_error(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptError::queue_empty;
    case EMFILE:
      return AcceptError::process_limit;
    case EINTR:
    case ECONNABORTED:
    case EPERM:
    case ETIMEDOUT:
    // accept() also returns pending network errors of the new socket.
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
      return AcceptError::connection_failed;
    default:
      return AcceptError::system_limit;
  }
}

Listener::Listener(ev::loop_ref loop, Fd fd, AcceptHandler on_accept, FreeDescriptor free_descriptor)
    : io_(loop),
      fd_(std::move(fd)),
      on_accept_(std::move(on_accept)),
      free_descriptor_(std::move(free_descriptor)) {
  open_reserve_fd();
  io_.set<Listener, &Listener::accept_some>(this);
  io_.watch(fd_.get(), ev::READ);
}

void Listener::open_reserve_fd() {
  if (!reserve_fd_) reserve_fd_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

InputSource::Quantum Listener::accept_some() {
  open_reserve_fd();
  for (int i = 0; i < kMaxAcceptsPerIteration; ++i) {
    if (!accept_one()) break;
  }
  // The new connections are read before more are accepted: those with unread input can't be closed for them.
  return InputSource::Quantum::drained;
}

bool Listener::accept_one() {
  Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) {
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    on_accept_(std::move(fd), failing_since_ ? steady_now() - *failing_since_ : Time::zero());
    return true;
  }
  switch (classify_accept_error(errno)) {
    case AcceptError::queue_empty:
      failing_since_.reset();
      return false;
    case AcceptError::connection_failed:
      return true;
    case AcceptError::process_limit:
      if (free_descriptor_ && free_descriptor_()) return true;
      if (accept_and_close()) return true;
      break;
    case AcceptError::system_limit:
      break;
  }
  if (!failing_since_) failing_since_ = steady_now();
  io_.pause();  // otherwise the loop would report the waiting connection in each iteration
  return false;
}

bool Listener::accept_and_close() {
  if (!reserve_fd_) return false;
  reserve_fd_.reset();
  const bool closed = static_cast<bool>(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  open_reserve_fd();
  return closed;
}

}  // namespace bellstair::net
