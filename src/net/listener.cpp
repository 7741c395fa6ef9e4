#include "net/listener.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bellstair::net {
namespace {
constexpr int kMaxAcceptsPerTurn = 64;  // of the loop
}  // namespace

AcceptError classify_accept_error(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptError::none_waiting;
    case EMFILE:
      return AcceptError::own_limit;
    case EINTR:
    case ECONNABORTED:
    case EPERM:
    case ETIMEDOUT:
    // Pending network errors of the new socket, which accept() returns.
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
      return AcceptError::this_connection;
    default:
      return AcceptError::system_limit;
  }
}

Listener::Listener(ev::loop_ref loop, Fd fd, AcceptHandler on_accept, FreeDescriptor free_descriptor)
    : io_(loop),
      fd_(std::move(fd)),
      on_accept_(std::move(on_accept)),
      free_descriptor_(std::move(free_descriptor)) {
  open_reserve();
  io_.set<Listener, &Listener::on_io>(this);
  io_.watch(fd_.get(), ev::READ);
}

void Listener::open_reserve() {
  if (!reserve_) reserve_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

void Listener::on_io(int) {
  open_reserve();
  for (int i = 0; i < kMaxAcceptsPerTurn; ++i) {
    if (!accept_one()) return;
  }
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
    case AcceptError::none_waiting:
      failing_since_.reset();
      return false;
    case AcceptError::this_connection:
      return true;
    case AcceptError::own_limit:
      if (free_descriptor_ && free_descriptor_()) return true;
      if (close_next()) return true;
      break;
    case AcceptError::system_limit:
      break;
  }
  if (!failing_since_) failing_since_ = steady_now();
  io_.pause();  // the loop reports a waiting connection in each of its turns
  return false;
}

bool Listener::close_next() {
  if (!reserve_) return false;
  reserve_.reset();
  const bool closed = static_cast<bool>(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  open_reserve();
  return closed;
}

}  // namespace bellstair::net
