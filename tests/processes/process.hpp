// What tests and measurements on several processes need of each: an address, a command's end, and one end of
// the control protocol.
#pragma once

#include <deque>

#include "../net/harness.hpp"
#include "control/message.hpp"
#include "link/frame.hpp"

namespace bellstair::test {

using control::VersionId;

// An address that is kept free until a process of the tests listens there: bound, and not listened on.
class Reserved {
 public:
  Reserved() : fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    const int on = 1;
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = net::parse_address("127.0.0.1:0").value();
    if (::bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("no port");
    address = net::local_address(fd_.get());
  }
  std::string address;

 private:
  net::Fd fd_;
};

// What a command said, and how it ended.
struct Ran {
  int code = -1;
  std::string out, err;
  // The place of what was published; 0.0: none.
  [[nodiscard]] VersionId version_id() const {
    VersionId at;
    const auto end = out.find(": committed by ");
    if (end == std::string::npos) return at;
    const auto from = out.rfind('\n', end) + 1;  // npos + 1 == 0
    std::sscanf(out.c_str() + from, "%lu.%lu", &at.epoch, &at.number);
    return at;
  }
};
inline std::ostream& operator<<(std::ostream& to, const Ran& ran) {
  return to << "code " << ran.code << "\n" << ran.out << ran.err;
}
inline Ran run_program(const std::vector<std::string>& arguments) {
  std::vector<std::string> files{temporary(""), temporary("")};
  std::vector<char*> argv{const_cast<char*>(BELLSTAIR_PROGRAM)};  // before the fork, as in Program
  for (const auto& argument : arguments) argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = ::fork();
  if (pid == 0) {
    ::dup2(::open(files[0].c_str(), O_WRONLY | O_TRUNC), STDOUT_FILENO);
    ::dup2(::open(files[1].c_str(), O_WRONLY | O_TRUNC), STDERR_FILENO);
    ::execv(argv[0], argv.data());
    ::_exit(127);
  }
  Ran out;
  int status = 0;
  ::waitpid(pid, &status, 0);
  out.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
  const auto take = [](const std::string& file) {
    std::ifstream in(file);
    std::string text{std::istreambuf_iterator<char>(in), {}};
    ::unlink(file.c_str());
    return text;
  };
  out.out = take(files[0]);
  out.err = take(files[1]);
  return out;
}

// One end of the control protocol, in the test's hands.
class ControlPeer {
 public:
  explicit ControlPeer(const std::string& address) : socket(Socket::to(address)) {}
  bool send(const control::Message& message) {
    return socket.send(link::encode_frame(control::encode(message)));
  }
  control::Message receive() {
    while (bodies_.empty()) {
      if (!socket.more()) throw std::runtime_error("the connection has ended");
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
  // The next of this kind; what comes before it is passed over.
  template <class Kind>
  Kind expect() {
    while (true) {
      auto message = receive();
      if (auto* found = std::get_if<Kind>(&message)) return std::move(*found);
    }
  }
  void greet(const std::string& name = "tool", control::Role role = control::Role::tool,
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
