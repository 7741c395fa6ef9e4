// IPv4 addresses, file descriptors and sockets.
#pragma once

#include <netinet/in.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace bellstair::net {

// Parses an address such as "10.0.0.4:8080"; host names are not resolved.
[[nodiscard]] std::optional<sockaddr_in> parse_address(std::string_view text);

class Fd {
 public:
  Fd() = default;
  explicit Fd(int fd) : fd_(fd) {}
  ~Fd() { reset(); }
  Fd(Fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  Fd& operator=(Fd&& other) noexcept {
    if (this != &other) {
      reset();
      fd_ = std::exchange(other.fd_, -1);
    }
    return *this;
  }
  void reset() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  [[nodiscard]] int get() const { return fd_; }
  [[nodiscard]] explicit operator bool() const { return fd_ >= 0; }

 private:
  int fd_ = -1;
};

// The functions that return an Fd open a non-blocking socket; on failure the Fd is empty and errno is set.
// listen_tcp() and bind_udp() are for the program's start: while the system is short of descriptors or memory
// they block and retry, for at most 2 s.
[[nodiscard]] Fd listen_tcp(const sockaddr_in& address);
[[nodiscard]] Fd bind_udp(const sockaddr_in& address);
[[nodiscard]] std::string local_address(int fd);
[[nodiscard]] std::string peer_address(int fd);
[[nodiscard]] Fd begin_connect(const sockaddr_in& address);  // complete once writable, see connect_error()
[[nodiscard]] int connect_error(int fd);                     // 0: connected

}  // namespace bellstair::net
