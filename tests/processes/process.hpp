// Helpers for tests and measurements on several processes: reserved addresses, the results of commands, and a
// client for the control protocol.
#pragma once

#include <deque>

#include "../net/harness.hpp"
#include "control/message.hpp"
#include "link/frame.hpp"

namespace bellstair::test {

using control::VersionId;

// Reserves an address until a process of the tests listens on it: binds it without listening.
class Reserved {
 public:
  Reserved() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = net::parse_address("127.0.0.1:0").value();
    if (::bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("cannot reserve a port");
    address = net::local_address(fd_.get());
  }
  std::string address;

 private:
  net::Fd fd_;
};

// The exit status and the output of a command.
struct CommandResult {
  int code = -1;
  std::string out, err;
  // The version that the command published; 0.0: none.
  [[nodiscard]] VersionId version_id() const {
    VersionId id;
    const auto end = out.find(": committed by ");
    if (end == std::string::npos) return id;
    const auto from = out.rfind('\n', end) + 1;  // npos + 1 == 0
    std::sscanf(out.c_str() + from, "%lu.%lu", &id.epoch, &id.number);
    return id;
  }
};
inline std::ostream& operator<<(std::ostream& out, const CommandResult& result) {
  return out << "code " << result.code << "\n" << result.out << result.err;
}
inline CommandResult run_program(const std::vector<std::string>& arguments) {
  std::vector<std::string> files{write_temporary_file(""), write_temporary_file("")};
  std::vector<char*> argv{const_cast<char*>(BELLSTAIR_PROGRAM)};  // built before the fork, as in Program
  for (const auto& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::dup2(::open(files[0].c_str(), O_WRONLY | O_TRUNC), STDOUT_FILENO);
    ::dup2(::open(files[1].c_str(), O_WRONLY | O_TRUNC), STDERR_FILENO);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  CommandResult out;
  int status = 0;
  ::waitpid(pid, &status, 0);
  out.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  const auto read_and_remove = [](const std::string& file) {
    std::ifstream in(file);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    ::unlink(file.c_str());
    return text;
  };
  out.out = read_and_remove(files[0]);
  out.err = read_and_remove(files[1]);
  return out;
}

// A peer in the control protocol, driven by the test.
class ControlPeer {
 public:
  explicit ControlPeer(const std::string& address) : socket(Socket::to(address)) {}
  bool send(const control::Message& message) {
    return socket.send(link::encode_frame(control::encode(message)));
  }
  control::Message receive() {
    while (bodies_.empty()) {
      if (!socket.receive()) throw std::runtime_error("the connection has ended");
      const auto error = decoder_.feed(std::exchange(socket.in, {}), [this](std::string_view body) {
        bodies_.emplace_back(body);
        return true;
      });
      if (error) throw std::runtime_error(error->what());
    }
    auto out = control::decode(bodies_.front());
    bodies_.pop_front();
    return out;
  }
  // Returns the next message of this kind, and ignores those before it.
  template <class Kind>
  Kind expect() {
    while (true) {
      auto message = receive();
      if (auto* found = std::get_if<Kind>(&message)) return std::move(*found);
    }
  }
  void send_hello(const std::string& name = "tool", control::Role role = control::Role::tool,
                  const control::LeaderTerm& term = {}, const std::string& fleet = "tunis") {
    control::Hello hello;
    hello.fleet = fleet;
    hello.name = name;
    hello.role = role;
    hello.term = term;
    send(hello);
  }
  Socket socket;

 private:
  link::FrameDecoder decoder_{control::kMaxMessageBytes};
  std::deque<std::string> bodies_;
};

}  // namespace bellstair::test
