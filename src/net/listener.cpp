#include "net/listener.hpp"

#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace bellstair::net {
namespace {
constexpr int kMostInATurn = 64;        // connections accepted in one turn of the loop
constexpr double kPauseSeconds = 0.01;  // before the system is asked again that had no room
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
    // Errors of the network that are pending on the new socket, which accept() hands on.
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

Listener::Listener(ev::loop_ref loop, Fd fd, Accepted accepted, FreeDescriptor free_descriptor)
    : io_(loop),
      resume_(loop),
      fd_(std::move(fd)),
      accepted_(std::move(accepted)),
      free_descriptor_(std::move(free_descriptor)) {
  open_reserve();
  io_.set<Listener, &Listener::on_io>(this);
  resume_.set<Listener, &Listener::on_resume>(this);
  io_.start(fd_.get(), ev::READ);
}

void Listener::open_reserve() {
  if (!reserve_) reserve_ = Fd(::open("/dev/null", O_RDONLY | O_CLOEXEC));
}

void Listener::on_io(ev::io&, int events) {
  // The loop could not watch the socket, and has given it up: it is tried again.
  if ((events & ev::ERROR) != 0) return pause();
  for (int i = 0; i < kMostInATurn; ++i) {
    if (!accept_one()) return;
  }
}

bool Listener::accept_one() {
  Fd fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (fd) {
    const int on = 1;
    ::setsockopt(fd.get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    accepted_(std::move(fd));
    return true;
  }
  switch (classify_accept_error(errno)) {
    case AcceptError::none_waiting:
      return false;
    case AcceptError::this_connection:
      return true;
    case AcceptError::own_limit:
      if (free_descriptor_ && free_descriptor_()) return true;
      if (turn_away()) return true;
      break;
    case AcceptError::system_limit:
      break;
  }
  pause();
  return false;
}

bool Listener::turn_away() {
  if (!reserve_) return false;
  reserve_.reset();
  const bool came = static_cast<bool>(Fd(::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC)));
  open_reserve();
  return came;
}

// The loop reports a waiting connection in each of its turns: without a pause it would go round for nothing.
void Listener::pause() {
  io_.stop();
  resume_.start(kPauseSeconds, 0);
}

void Listener::on_resume(ev::timer&, int) {
  open_reserve();
  io_.start(fd_.get(), ev::READ);
}

}  // namespace bellstair::net
