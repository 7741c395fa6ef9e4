#include "net/socket.hpp"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <cerrno>
#include <charconv>
#include <chrono>
#include <thread>

namespace bellstair::net {
namespace {
constexpr int kListenBacklog = 512;

const sockaddr* any(const sockaddr_in& address) { return reinterpret_cast<const sockaddr*>(&address); }

void set(int fd, int level, int option) {
  const int on = 1;
  ::setsockopt(fd, level, option, &on, sizeof on);
}
}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in out{};
  out.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || digits.empty() || end != digits.data() + digits.size()) return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &out.sin_addr) != 1) return std::nullopt;
  out.sin_port = htons(port);
  return out;
}

// Want of descriptors or memory passes; an address that is in use, or not of this machine, does not.
namespace {
constexpr int kMaxAttempts = 40;
constexpr std::chrono::milliseconds kRetryInterval{50};

bool is_temporary(int error) {
  return error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM || error == EINTR;
}

template <class Make>
Fd retry_while_temporary(Make make) {
  for (int attempt = 1;; ++attempt) {
    auto fd = make();
    if (fd || !is_temporary(errno) || attempt == kMaxAttempts) return fd;
    std::this_thread::sleep_for(kRetryInterval);
  }
}

Fd try_to_listen(const sockaddr_in& at) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  set(fd.get(), SOL_SOCKET, SO_REUSEADDR);
  if (::bind(fd.get(), any(at), sizeof at) != 0 || ::listen(fd.get(), kListenBacklog) != 0) return {};
  return fd;
}
}  // namespace

Fd listen_tcp(const sockaddr_in& at) {
  return retry_while_temporary([&at] { return try_to_listen(at); });
}

namespace {
std::string address_of(int fd, decltype(::getsockname)* get) {
  sockaddr_in at{};
  socklen_t size = sizeof at;
  get(fd, reinterpret_cast<sockaddr*>(&at), &size);
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &at.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(at.sin_port));
}
}  // namespace

std::string local_address(int fd) { return address_of(fd, ::getsockname); }
std::string peer_address(int fd) { return address_of(fd, ::getpeername); }

namespace {
Fd try_to_bind_udp(const sockaddr_in& at) {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd && ::bind(fd.get(), any(at), sizeof at) != 0) return {};
  return fd;
}
}  // namespace

Fd bind_udp(const sockaddr_in& at) {
  return retry_while_temporary([&at] { return try_to_bind_udp(at); });
}

Fd begin_connect(const sockaddr_in& to) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  set(fd.get(), IPPROTO_TCP, TCP_NODELAY);
  // An interrupted connect() goes on by itself, as one in progress does.
  if (::connect(fd.get(), any(to), sizeof to) != 0 && errno != EINPROGRESS && errno != EINTR) return {};
  return fd;
}

int connect_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

}  // namespace bellstair::net
