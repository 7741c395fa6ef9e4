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

const sockaddr* as_sockaddr(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

void enable_option(int fd, int level, int option) {
  const int on = 1;
  ::setsockopt(fd, level, option, &on, sizeof on);
}
}  // namespace

std::optional<sockaddr_in> parse_address(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  const std::string host(text.substr(0, colon));
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || digits.empty() || end != digits.data() + digits.size()) return std::nullopt;
  if (::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) return std::nullopt;
  address.sin_port = htons(port);
  return address;
}

// A shortage of descriptors or memory is temporary. An address in use, or not of this machine, is an error.
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

Fd try_to_listen(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  enable_option(fd.get(), SOL_SOCKET, SO_REUSEADDR);
  if (::bind(fd.get(), as_sockaddr(address), sizeof address) != 0 || ::listen(fd.get(), kListenBacklog) != 0)
    return {};
  return fd;
}
}  // namespace

Fd listen_tcp(const sockaddr_in& address) {
  return retry_while_temporary([&address] { return try_to_listen(address); });
}

namespace {
std::string address_of(int fd, decltype(::getsockname)* get_name) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  get_name(fd, reinterpret_cast<sockaddr*>(&address), &size);
  char host[INET_ADDRSTRLEN] = "";
  ::inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}
}  // namespace

std::string local_address(int fd) { return address_of(fd, ::getsockname); }
std::string peer_address(int fd) { return address_of(fd, ::getpeername); }

namespace {
Fd try_to_bind_udp(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (fd && ::bind(fd.get(), as_sockaddr(address), sizeof address) != 0) return {};
  return fd;
}
}  // namespace

Fd bind_udp(const sockaddr_in& address) {
  return retry_while_temporary([&address] { return try_to_bind_udp(address); });
}

Fd begin_connect(const sockaddr_in& address) {
  Fd fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!fd) return fd;
  enable_option(fd.get(), IPPROTO_TCP, TCP_NODELAY);
  // An interrupted connect() continues in the background, like one in progress.
  if (::connect(fd.get(), as_sockaddr(address), sizeof address) != 0 && errno != EINPROGRESS &&
      errno != EINTR)
    return {};
  return fd;
}

int connect_error(int fd) {
  int error = 0;
  socklen_t size = sizeof error;
  if (::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) return errno;
  return error;
}

}  // namespace bellstair::net
