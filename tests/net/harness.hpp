// The real program as a process, and stand-ins for what it talks to: clients, engines, the change log. All on
// loopback addresses, at ports that the system chooses. Nothing here waits for time to pass; what does not
// come ends a test after kTestTimeout.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "net/socket.hpp"
#include "platform/base64.hpp"

namespace bellstair::test {

using namespace std::chrono_literals;
using nlohmann::json;
constexpr auto kTestTimeout = 20s;

class Socket {
 public:
  explicit Socket(int fd) : fd_(fd) {
    const timeval patience{kTestTimeout / 1s, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  }
  static Socket to(const std::string& address) {
    const auto at = net::parse_address(address).value();
    Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    if (::connect(out.fd_.get(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0)
      throw std::runtime_error("cannot connect to " + address);
    return out;
  }
  bool send(const std::string& bytes) {
    return ::send(fd_.get(), bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  // False at the connection's end.
  bool receive() {
    char buffer[16384];
    const auto got = ::recv(fd_.get(), buffer, sizeof buffer, 0);
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) throw std::runtime_error("nothing came");
    if (got <= 0) return false;
    in.append(buffer, static_cast<std::size_t>(got));
    return true;
  }
  std::string line() {
    std::size_t end = 0;
    while ((end = in.find('\n')) == std::string::npos) {
      if (!receive()) throw std::runtime_error("the connection has ended");
    }
    auto out = in.substr(0, end);
    in.erase(0, end + 1);
    return out;
  }
  bool ended() {
    while (receive()) in.clear();
    return true;
  }
  void reset() {  // as a dying process does
    const linger now{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    fd_.reset();
  }
  [[nodiscard]] int fd() const { return fd_.get(); }
  std::string in;

 private:
  net::Fd fd_;
};

// Calls `serve` for each connection, in a thread of its own.
class Server {
 public:
  using Serve = std::function<void(Socket&)>;
  explicit Server(Serve serve)
      : serve_(std::move(serve)), fd_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(fd_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) != 0 || ::listen(fd_.get(), 64) != 0)
      throw std::runtime_error("cannot listen");
    address_ = net::local_address(fd_.get());
    acceptor_ = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  // Refuses later connections; the open ones go on.
  void stop_accepting() {
    if (!acceptor_.joinable()) return;
    stopped_ = true;
    ::shutdown(fd_.get(), SHUT_RDWR);
    acceptor_.join();
    fd_.reset();
  }
  // Closes everything.
  void stop() {
    stop_accepting();
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (auto& thread : std::exchange(threads_, {})) thread.join();
  }
  [[nodiscard]] const std::string& address() const { return address_; }

 private:
  void accept() {
    while (!stopped_) {
      const int fd = ::accept4(fd_.get(), nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) continue;
      threads_.emplace_back([this, fd] {
        Socket socket(fd);
        {
          const std::lock_guard lock(mutex_);
          open_.insert(fd);
        }
        try {
          if (!stopped_) serve_(socket);
        } catch (const std::exception&) {
          // the other end is gone
        }
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
      });
    }
  }
  Serve serve_;
  net::Fd fd_;
  std::string address_;
  std::atomic<bool> stopped_ = false;
  std::mutex mutex_;
  std::set<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

struct Call {
  std::string method, path, body;
  std::map<std::string, std::string> headers;
};
inline Call read_call(Socket& socket) {
  std::size_t end = 0;
  while ((end = socket.in.find("\r\n\r\n")) == std::string::npos) {
    if (!socket.receive()) throw std::runtime_error("the connection has ended");
  }
  Call out;
  std::istringstream head(socket.in.substr(0, end + 2));
  std::string line;
  std::getline(head, line);
  out.method = line.substr(0, line.find(' '));
  out.path = line.substr(out.method.size() + 1, line.rfind(' ') - out.method.size() - 1);
  while (std::getline(head, line) && line != "\r") {
    const auto colon = line.find(": ");
    if (colon != std::string::npos)
      out.headers[line.substr(0, colon)] = line.substr(colon + 2, line.size() - colon - 3);
  }
  const auto size = out.headers.contains("Content-Length") ? std::stoul(out.headers["Content-Length"]) : 0;
  while (socket.in.size() < end + 4 + size) {
    if (!socket.receive()) throw std::runtime_error("the connection has ended");
  }
  out.body = socket.in.substr(end + 4, size);
  socket.in.erase(0, end + 4 + size);
  return out;
}
inline std::string http(int status, const std::string& body = {}, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline std::string rows(const std::string& body, int pages = 1) {
  return http(200, body, "Result-Pages: " + std::to_string(pages) + "\r\nQuery-Cost: 5\r\nQuery-Need: 8\r\n");
}

// Things that have happened, which a test can wait for.
template <class T>
class Log {
 public:
  void add(T item) {
    const std::lock_guard lock(mutex_);
    items_.push_back(std::move(item));
    changed_.notify_all();
  }
  // The first that fits, from the `from`th on, once it has come.
  T wait(const std::function<bool(const T&)>& fits, std::size_t from = 0) {
    std::unique_lock lock(mutex_);
    std::optional<T> found;
    changed_.wait_for(lock, kTestTimeout, [&] {
      for (auto i = from; i < items_.size() && !found; ++i) {
        if (fits(items_[i])) found = items_[i];
      }
      return found.has_value();
    });
    if (!found) throw std::runtime_error("what was waited for did not happen");
    return *found;
  }
  std::size_t count(const std::function<bool(const T&)>& fits) {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(items_.begin(), items_.end(), fits));
  }
  std::vector<T> all() {
    const std::lock_guard lock(mutex_);
    return items_;
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> items_;
};

// An engine that speaks HTTP: `answer` gives the bytes to send for a call, or none to reset the connection.
class HttpEngine {
 public:
  using Answer = std::function<std::optional<std::string>(const Call&)>;
  explicit HttpEngine(Answer answer)
      : server([this, answer = std::move(answer)](Socket& socket) {
          while (true) {
            const auto call = read_call(socket);
            calls.add(call);
            if (call.path.rfind("/-/", 0) == 0) {
              socket.send(http(200, {}, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n"));
              continue;
            }
            const auto reply = answer(call);
            if (!reply) return socket.reset();
            socket.send(*reply);
          }
        }) {}
  std::size_t posts() {
    return calls.count([](const Call& c) { return c.method == "POST"; });
  }
  Log<Call> calls;
  Server server;
};

class ChangeLog {
 public:
  ChangeLog() : server_([this](Socket& socket) { serve(socket); }) {}
  void push(json servers, bool full = false) {
    const std::lock_guard lock(mutex_);
    events_.push_back(
        {{"seq", events_.size() + 1}, {"fleet", {{"full", full}, {"servers", std::move(servers)}}}});
    changed_.notify_all();
  }
  json known() {
    const std::lock_guard lock(mutex_);
    return {{"seq", events_.size()}, {"results", events_}};
  }
  [[nodiscard]] const std::string& address() const { return server_.address(); }
  // Once the broker has asked for what follows the last event, it has dealt with all before.
  void wait_until_applied() {
    const auto last = "/changes?since=" + std::to_string(known()["seq"].get<int>()) + "&timeout=1000";
    asked_.wait([&](const std::string& path) { return path == last; });
  }

 private:
  void serve(Socket& socket) {
    while (true) {
      const auto call = read_call(socket);
      asked_.add(call.path);
      const auto since = std::stoul(call.path.substr(call.path.find('=') + 1));
      const auto hold = std::stoul(call.path.substr(call.path.rfind('=') + 1));
      json out;
      {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::min<std::chrono::milliseconds>(std::chrono::milliseconds(hold), 1s),
                          [&] { return events_.size() > since; });
        out["seq"] = events_.size();
        out["results"] = json::array();
        for (std::size_t i = since; i < events_.size(); ++i) out["results"].push_back(events_[i]);
      }
      socket.send(http(200, out.dump()));
    }
  }
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<json> events_;
  Log<std::string> asked_;
  Server server_;
};

inline json server(const std::string& id, const std::string& address, const char* state = "in_service") {
  return {{"id", id},  {"addr", address}, {"zone", "dc1"}, {"kind", "std-8"},
          {"cell", 0}, {"state", state},  {"weight", 1},   {"started_ms", 0}};
}

inline json settings() {
  const auto cls = [](const char* name, const char* semantics, std::int64_t give_up_ms) {
    return json{{"name", name},       {"aim", 1'000'000'000},
                {"aim-stretch", 2.0}, {"give-up", give_up_ms * 1'000'000},
                {"credit", 1.0},      {"semantics", semantics},
                {"group", "all"},     {"window", 15'000'000'000},
                {"late-share", 0.5},  {"in-order", std::string(name) == "load"}};
  };
  return {
      {"balancers", 1},
      {"me", 0},
      {"step", 5'000'000},
      {"classes", {cls("lookup", "safe", 20000), cls("load", "keyed", 25000), cls("once", "unsafe", 25000)}},
      {"kinds", {"std-8"}},
      {"zones", {"dc1"}},
      {"tenants", {{{"name", "acme"}, {"portion", 1.0}, {"quota-rps", 100.0}}}},
      {"ceilings",
       {{"cancel", true},
        {"dial-timeout", 5'000'000'000},
        {"idle-close", 30'000'000'000},
        {"max-attempts", 4},
        {"max-retry-after", 500'000'000},
        {"probing", false},
        {"retry-after", true}}},
      {"safety", {{"drain-grace", 500'000'000}, {"grace-to-answer", 20'000'000}}},
      {"family-info",
       {{"cpu-of-kind", {8}}, {"grants", true}, {"takes-priority", true}, {"tells-cost", true}}},
      {"report", {{"how", "pull"}, {"fields", {"pending", "x1", "x0"}}}}};
}

inline std::string write_temporary_file(const std::string& text) {
  std::string path =
      (std::getenv("TMPDIR") != nullptr ? std::getenv("TMPDIR") : std::string("/tmp")) + "/bellstair-XXXXXX";
  const int fd = ::mkstemp(path.data());
  ::close(fd);
  std::ofstream(path) << text;
  return path;
}

struct Exit {
  int status = 0;
  std::string said;  // to standard error
};

// The program, from its start to its end.
class Program {
 public:
  Program(std::vector<std::string> arguments, std::map<std::string, std::string> environment = {},
          rlim_t files = 0) {
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    // All that takes memory comes before the fork: another thread may hold the allocator's lock at that
    // moment, and its copy in the child is never let go.
    std::vector<char*> argv{const_cast<char*>(BELLSTAIR_PROGRAM)};
    for (auto& argument : arguments) argv.push_back(argument.data());
    argv.push_back(nullptr);
    std::vector<std::string> variables;
    for (const auto& [name, value] : environment) variables.push_back(name + "=" + value);
    std::vector<char*> environ_of;
    for (auto& variable : variables) environ_of.push_back(variable.data());
    for (char** old = ::environ; *old != nullptr; ++old) {
      const std::string_view name(*old, std::strcspn(*old, "="));
      if (!environment.contains(std::string(name))) environ_of.push_back(*old);
    }
    environ_of.push_back(nullptr);
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // nothing is left behind by a test that is killed
      ::dup2(out[1], STDERR_FILENO);
      const rlimit most{files, files};
      if (files != 0) ::setrlimit(RLIMIT_NOFILE, &most);
      ::execve(argv[0], argv.data(), environ_of.data());
      ::_exit(127);
    }
    ::close(out[1]);
    out_ = out[0];
    reader_ = std::thread([this, fd = out[0]] {
      const net::Fd owner(fd);
      std::string rest;
      char buffer[4096];
      while (true) {
        while (unread_) std::this_thread::sleep_for(2ms);
        const auto got = ::read(fd, buffer, sizeof buffer);
        if (got <= 0) return;
        rest.append(buffer, static_cast<std::size_t>(got));
        for (std::size_t end = 0; (end = rest.find('\n')) != std::string::npos; rest.erase(0, end + 1))
          lines_.add(rest.substr(0, end));
      }
    });
  }
  ~Program() {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      wait();
    }
  }
  std::string wait_for_log(const std::string& what, std::size_t from = 0) {
    try {
      return lines_.wait([&](const std::string& line) { return line.find(what) != std::string::npos; }, from);
    } catch (const std::exception&) {
      std::string all;
      for (const auto& line : all_lines()) all += "\n  " + line;
      throw std::runtime_error("it was not said: " + what + "; but" + (all.empty() ? " nothing" : all));
    }
  }
  std::string listen_address(const std::string& field) {
    const auto line = wait_for_log("bellstair: " + field + " on ");
    return line.substr(line.rfind(' ') + 1);
  }
  // To it alone: after its end there is nobody, and kill(-1) would reach every process there is.
  void signal(int number) {
    if (pid_ > 0) ::kill(pid_, number);
  }
  int wait() {
    int status = 0;
    if (pid_ <= 0) throw std::runtime_error("it has been waited for");
    ::waitpid(pid_, &status, 0);
    pid_ = -1;
    unread_ = false;
    reader_.join();
    return status;
  }
  // Nobody reads what it says any more, of which the system holds a page at the most, until its end.
  void stop_reading() {
    ::fcntl(out_, F_SETPIPE_SZ, 4096);
    unread_ = true;
  }
  std::size_t line_count() { return lines_.all().size(); }
  std::vector<std::string> all_lines() { return lines_.all(); }
  [[nodiscard]] pid_t pid() const { return pid_; }  // -1 after its end

 private:
  pid_t pid_ = -1;
  int out_ = -1;  // owned by the reader
  std::atomic<bool> unread_ = false;
  Log<std::string> lines_;
  std::thread reader_;
};

// A broker that serves, with its change log; `environment` for its process alone.
class Broker {
 public:
  // `patch`: for the settings, as RFC 7396 merges it in; `member`: so for each engine of the list.
  explicit Broker(const std::vector<std::pair<std::string, std::string>>& engines, const json& fronts = {},
                  rlim_t files = 0, const json& patch = json::object(), const json& member = json::object(),
                  std::map<std::string, std::string> environment = {}) {
    json all = json::array();
    for (const auto& [id, at] : engines) {
      all.push_back(server(id, at));
      all.back().merge_patch(member);
    }
    changes.push(std::move(all), true);
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:0"},
              {"seed", "8c1f30d27a5be964"},
              {"limits", {{"sockets", 256}}},
              {"changelog", changes.address()},
              {"known", changes.known()},
              {"settings", settings()}};
    config["settings"].merge_patch(patch);
    std::vector<std::string> arguments{"serve", "--config",
                                       files_.emplace_back(write_temporary_file(config.dump()))};
    if (!fronts.is_null()) {
      arguments.emplace_back("--fronts");
      arguments.push_back(files_.emplace_back(write_temporary_file(fronts.dump())));
    }
    environment.try_emplace("TEST_SECRET", "secret");
    program = std::make_unique<Program>(arguments, std::move(environment), files);
    address = program->listen_address("listen");
    program->wait_for_log("phase: serving");
  }
  // Replaces the configuration's file, and says so to the program.
  void reload(const std::string& text) {
    std::ofstream(files_.front()) << text;
    program->signal(SIGHUP);
  }
  ~Broker() {
    for (const auto& file : files_) ::unlink(file.c_str());
  }
  ChangeLog changes;
  json config;
  std::unique_ptr<Program> program;
  std::string address;

 private:
  std::vector<std::string> files_;
};

// A client of the platform's front.
class Client {
 public:
  explicit Client(const std::string& address) : socket(Socket::to(address)) {}
  void ask(int id, const std::string& cls, const std::string& statement, json more = json::object()) {
    json params{{"txn", "9b1f03aa5c7e2d41"},
                {"limit", 15000},
                {"team", "acme"},
                {"data", platform::to_base64(statement)}};
    params.update(more);
    socket.send(json{{"jsonrpc", "2.0"}, {"id", id}, {"method", cls}, {"params", params}}.dump() + "\n");
  }
  json answer() { return json::parse(socket.line()); }
  bool is_healthy() {
    socket.send(R"({"jsonrpc":"2.0","id":999,"method":"health"})"
                "\n");
    return answer()["result"]["green"];
  }
  Socket socket;
};
inline std::string body(const json& answer) {
  return platform::from_base64(answer.at("result").at("data").get<std::string>()).value();
}

}  // namespace bellstair::test
