#include "stand_ins.hpp"

#include <ev++.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <bit>
#include <chrono>
#include <csignal>
#include <cstring>
#include <deque>
#include <memory>
#include <new>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <vector>

#include "net/listener.hpp"
#include "net/socket.hpp"
#include "net/stream.hpp"
#include "platform/base64.hpp"

namespace bellstair::scale {
namespace {
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
constexpr std::size_t kMaxUnwritten = std::size_t{4} << 20;

// One end of connections that speak HTTP, as databases and the change log have it.
class Listeners {
 public:
  struct Connection {
    std::uint64_t serial = 0;
    unsigned database = 0;  // or kMaxDatabases: the change log
    net::Stream stream;
    std::string in;
    Connection(ev::loop_ref loop, net::Fd fd) : stream(loop, std::move(fd), false, kMaxUnwritten) {}
  };

  Listeners(ev::loop_ref loop, Board& board, const Shape& shape, unsigned latency_ms)
      : loop_(loop), board_(board), shape_(shape), latency_(latency_ms), turn_(loop) {
    auto port = 0U;
    for (unsigned n = 0; n < shape.databases; ++n) port = listen(database_host(n), port, n);
    const auto changelog = listen("127.63.0.1", 0, kMaxDatabases);
    turn_.set<Listeners, &Listeners::on_turn>(this);
    turn_.start(0.001, 0.001);
    board.changelog.port = changelog;
    board.database_port = port;  // the last thing set: all is ready
  }

 private:
  unsigned listen(const std::string& host, unsigned port, unsigned database) {
    auto fd = net::listen_tcp(net::parse_address(host + ":" + std::to_string(port)).value());
    if (!fd) throw std::runtime_error("cannot listen on " + host + ": " + std::strerror(errno));
    const auto address = net::local_address(fd.get());
    listeners_.push_back(std::make_unique<net::Listener>(
        loop_, std::move(fd),
        [this, database](net::Fd got, net::Time) { accept(std::move(got), database); }));
    return static_cast<unsigned>(std::stoul(address.substr(address.rfind(':') + 1)));
  }
  void accept(net::Fd fd, unsigned database) {
    auto made = std::make_unique<Connection>(loop_, std::move(fd));
    auto& c = *made;
    c.serial = ++serial_;
    c.database = database;
    connections_.emplace(c.serial, std::move(made));
    const auto count = [](auto& seen) {
      ++seen.dials;
      const auto held = ++seen.held;
      if (held > seen.most) seen.most = held;
    };
    database < kMaxDatabases ? count(board_.databases[database]) : count(board_.changelog);
    c.stream.set_handlers({.connected = {},
                           .data = [this, &c](std::string_view bytes) { take(c, bytes); },
                           .half_closed = {},
                           .caught_up = {},
                           .ended = [this, &c] { close(c); },
                           .closed = [this, &c] { close(c); },
                           .drained = {}});
  }
  void close(Connection& c) {
    const auto found = connections_.find(c.serial);
    if (found == connections_.end()) return;
    --(c.database < kMaxDatabases ? board_.databases[c.database].held : board_.changelog.held);
    c.stream.close();
    gone_.push_back(std::move(found->second));
    connections_.erase(found);
  }
  void take(Connection& c, std::string_view bytes) {
    (c.database < kMaxDatabases ? board_.databases[c.database].bytes_in : board_.changelog.bytes_in) +=
        bytes.size();
    c.in.append(bytes);
    while (c.stream.open()) {
      const auto head = c.in.find("\r\n\r\n");
      if (head == std::string::npos) return;
      const auto field = c.in.find("Content-Length: ");
      const auto size = field < head ? std::strtoul(c.in.c_str() + field + 16, nullptr, 10) : 0UL;
      if (c.in.size() < head + 4 + size) return;
      const auto line = c.in.substr(0, c.in.find('\r'));
      c.in.erase(0, head + 4 + size);
      c.database < kMaxDatabases ? statement(c, line) : poll(c, line);
    }
  }
  void send(Connection& c, int status, const std::string& headers, const std::string& body) {
    const auto text = "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers +
                      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    (c.database < kMaxDatabases ? board_.databases[c.database].bytes_out : board_.changelog.bytes_out) +=
        text.size();
    c.stream.write(text);
  }

  // ---- databases

  void statement(Connection& c, const std::string& line) {
    ++board_.databases[c.database].calls;
    if (line.starts_with("POST")) {
      due_.emplace_back(Clock::now() + std::chrono::milliseconds(latency_), c.serial);
    } else if (line.find(" /-/") != std::string::npos) {
      send(c, 200, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n", {});
    } else {
      send(c, line.starts_with("GET") ? 500 : 204, {}, {});
    }
  }

  // ---- the change log

  void poll(Connection& c, const std::string& line) {
    ++board_.changelog.calls;
    const auto number = [&](const char* key) {
      const auto at = line.find(key);
      return at == std::string::npos ? 0UL : std::strtoul(line.c_str() + at + std::strlen(key), nullptr, 10);
    };
    const auto since = number("since=");
    const auto hold = std::min(number("timeout="), 5000UL);
    if (since == seq() && behind_ > 0 && --behind_ == 0) {
      const auto took = static_cast<std::uint64_t>((Clock::now() - changed_) / 1us);
      ++board_.changelog.spread;
      board_.changelog.spread_us += took;
      if (took > board_.changelog.spread_most_us) board_.changelog.spread_most_us = took;
    }
    if (since < seq() || hold == 0) return tell(c, since);
    holding_.push_back({c.serial, since, Clock::now() + std::chrono::milliseconds(hold)});
  }
  [[nodiscard]] std::uint64_t seq() const { return 1 + events_.size(); }
  void tell(Connection& c, std::uint64_t since) {
    std::string out = "{\"seq\":" + std::to_string(seq()) + ",\"results\":[";
    for (auto n = std::max<std::uint64_t>(since, 1); n < seq(); ++n)
      out += (out.back() == '[' ? "" : ",") + events_[n - 1];
    send(c, 200, {}, out + "]}");
  }
  // A database drains, or comes back.
  void change() {
    const auto database = static_cast<unsigned>(events_.size() / 2 % shape_.databases);
    const char* const state = events_.size() % 2 == 0 ? "terminating" : "in_service";
    events_.push_back(fleet_event(seq() + 1,
                                  json::array({server_entry(shape_, database, board_.database_port, state)}),
                                  false)
                          .dump());
    ++board_.changelog.events;
    behind_ = board_.changelog.held;
    changed_ = Clock::now();
    auto held = std::exchange(holding_, {});
    for (const auto& poll : held) answer(poll);
  }
  struct Held {
    std::uint64_t serial = 0, since = 0;
    Clock::time_point until;
  };
  void answer(const Held& poll) {
    if (const auto found = connections_.find(poll.serial); found != connections_.end())
      tell(*found->second, poll.since);
  }

  void on_turn(ev::timer&, int) {
    gone_.clear();
    const auto now = Clock::now();
    for (; !due_.empty() && due_.front().first <= now; due_.pop_front()) {
      if (const auto found = connections_.find(due_.front().second); found != connections_.end())
        send(*found->second, 200, "Result-Pages: 1\r\nQuery-Cost: 1\r\nQuery-Need: 8\r\n",
             "420042\tan order\topen\n");
    }
    for (; !holding_.empty() && holding_.front().until <= now; holding_.pop_front()) answer(holding_.front());
    if (const auto rate = board_.changelog.events_per_second.load(); rate > 0 && now >= next_event_) {
      next_event_ =
          now + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1.0 / rate));
      change();
    }
  }

  ev::loop_ref loop_;
  Board& board_;
  Shape shape_;
  unsigned latency_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> gone_;
  std::deque<std::pair<Clock::time_point, std::uint64_t>> due_;
  std::vector<std::string> events_;  // after the whole list, which is event 1
  std::deque<Held> holding_;
  std::uint32_t behind_ = 0;  // callers that have not taken the last event
  Clock::time_point changed_{}, next_event_{};
  ev::timer turn_;
  std::uint64_t serial_ = 0;
};

std::size_t bucket(double us) {
  const auto n = static_cast<std::uint64_t>(std::max(8.0, us));
  const auto top = static_cast<std::size_t>(std::bit_width(n)) - 1;
  return std::min(kBuckets - 1, top * 8 + ((n >> (top - 3)) & 7U));
}

class Load {
 public:
  Load(ev::loop_ref loop, SeenByClients& board, const std::string& address, unsigned connections,
       unsigned tenants, std::uint64_t seed)
      : loop_(loop),
        board_(board),
        address_(net::parse_address(address).value()),
        wanted_(connections),
        tenants_(tenants),
        random_(seed),
        turn_(loop) {
    body_ = platform::to_base64("SELECT id, name, state FROM sales_17.orders WHERE id = 420042");
    turn_.set<Load, &Load::on_turn>(this);
    turn_.start(0.001, 0.001);
    last_ = Clock::now();
  }

 private:
  static constexpr std::size_t kMaxOpen = 32;
  struct Connection {
    std::unique_ptr<net::Stream> stream;
    std::string in;
    std::uint64_t last_id = 1;
    bool up = false;
    std::vector<std::pair<std::uint64_t, Clock::time_point>> open;
  };

  void dial() {
    auto fd = net::begin_connect(address_);
    if (!fd) return;
    auto& c = *all_.emplace_back(std::make_unique<Connection>());
    c.stream = std::make_unique<net::Stream>(loop_, std::move(fd), true, kMaxUnwritten);
    c.stream->set_handlers({.connected =
                                [this, &c] {
                                  c.up = true;
                                  // One that has not said a whole line in two seconds is closed.
                                  c.stream->write("{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"health\"}\n");
                                  ++board_.held;
                                  ++board_.opened;
                                },
                            .data = [this, &c](std::string_view bytes) { take(c, bytes); },
                            .half_closed = {},
                            .caught_up = {},
                            .ended = [this, &c] { lost(c); },
                            .closed = [this, &c] { lost(c); },
                            .drained = {}});
  }
  void lost(Connection& c) {
    if (std::exchange(c.up, false)) --board_.held;
    ++board_.ended;
    board_.failed += c.open.size();
    c.open.clear();
    c.stream->close();
  }
  void take(Connection& c, std::string_view bytes) {
    board_.bytes_in += bytes.size();
    c.in.append(bytes);
    std::size_t from = 0;
    for (std::size_t end = 0; (end = c.in.find('\n', from)) != std::string::npos; from = end + 1)
      answered(c, std::string_view(c.in).substr(from, end - from));
    c.in.erase(0, from);
  }
  void answered(Connection& c, std::string_view line) {
    const auto at = line.find("\"id\":");
    if (at == std::string_view::npos) return;
    const auto id = std::strtoull(line.data() + at + 5, nullptr, 10);
    const auto found = std::ranges::find(c.open, id, [](const auto& open) { return open.first; });
    if (found == c.open.end()) return;
    const auto took = std::chrono::duration<double, std::micro>(Clock::now() - found->second).count();
    c.open.erase(found);
    if (line.find("\"result\"") != std::string_view::npos) {
      ++board_.answered;
      ++board_.latency[bucket(took)];
    } else {
      ++(line.find("-32066") != std::string_view::npos ? board_.refused : board_.failed);
    }
  }
  void send(Connection& c) {
    char ticket[17];
    std::snprintf(ticket, sizeof ticket, "%016llx", static_cast<unsigned long long>(random_()));
    const auto id = ++c.last_id;
    const auto text = "{\"jsonrpc\":\"2.0\",\"id\":" + std::to_string(id) +
                      ",\"method\":\"lookup\",\"params\":{\"txn\":\"" + ticket +
                      "\",\"limit\":2000,\"team\":\"tenant-" + std::to_string(random_() % tenants_) +
                      "\",\"cpu\":1.0,\"ram\":8,\"data\":\"" + body_ + "\"}}\n";
    c.open.emplace_back(id, Clock::now());
    c.stream->write(text);
    board_.bytes_out += text.size();
    ++board_.sent;
  }
  void on_turn(ev::timer&, int) {
    for (int n = 0; n < 50 && all_.size() < wanted_; ++n) dial();
    const auto now = Clock::now();
    due_ += board_.rate * std::chrono::duration<double>(now - std::exchange(last_, now)).count();
    // What a stalled generator would have sent in a tenth of a second and more is not made up for.
    const double most = std::max(8.0, board_.rate * 0.1);
    if (due_ > most) {
      board_.unsent += static_cast<std::uint64_t>(due_ - most);
      due_ = most;
    }
    for (; due_ >= 1 && !all_.empty(); due_ -= 1) {
      std::size_t tries = 0;
      while (tries < all_.size()) {
        auto& c = *all_[next_++ % all_.size()];
        ++tries;
        if (!c.up || c.open.size() >= kMaxOpen) continue;
        send(c);
        tries = all_.size() + 1;
      }
      if (tries == all_.size()) ++board_.unsent;
    }
  }

  ev::loop_ref loop_;
  SeenByClients& board_;
  sockaddr_in address_;
  unsigned wanted_, tenants_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Connection>> all_;
  std::string body_;
  std::size_t next_ = 0;
  double due_ = 0;
  Clock::time_point last_;
  ev::timer turn_;
};

}  // namespace

Child::Child(const std::function<void()>& run) {
  std::fflush(nullptr);
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork");
  if (pid_ != 0) return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "slopes: %s\n", error.what());
  }
  ::_exit(1);
}

void Child::end() {
  if (pid_ <= 0) return;
  ::kill(pid_, SIGKILL);
  ::waitpid(pid_, nullptr, 0);
  pid_ = -1;
}

Board* make_board() {
  void* const place =
      ::mmap(nullptr, sizeof(Board), PROT_READ | PROT_WRITE, MAP_SHARED | MAP_ANONYMOUS, -1, 0);
  if (place == MAP_FAILED) throw std::runtime_error("no shared memory");
  return new (place) Board();
}

Child start_site(Board& board, const Shape& shape, unsigned latency_ms) {
  board.database_port = 0;
  Child out([&] {
    ev::dynamic_loop loop(0);
    const Listeners listeners(loop, board, shape, latency_ms);
    loop.run(0);
  });
  for (int n = 0; board.database_port == 0; ++n) {
    if (n > 2000) throw std::runtime_error("the hollow databases did not start");
    ::usleep(5000);
  }
  return out;
}

Child start_load(SeenByClients& board, const std::string& address, unsigned connections, unsigned tenants,
                 std::uint64_t seed) {
  Child out([&] {
    ev::dynamic_loop loop(0);
    const Load load(loop, board, address, connections, tenants, seed);
    loop.run(0);
  });
  for (int n = 0; board.opened < connections; ++n) {
    if (n > 2000) throw std::runtime_error("clients could not connect");
    ::usleep(5000);
  }
  return out;
}

double latency_at(const SeenByClients& clients, double share) {
  std::uint64_t all = 0, seen = 0;
  for (const auto& count : clients.latency) all += count;
  for (std::size_t n = 0; n < kBuckets; ++n) {
    seen += clients.latency[n];
    if (all > 0 && static_cast<double>(seen) >= share * static_cast<double>(all))
      return static_cast<double>((std::uint64_t{8} + n % 8) << (n / 8)) / 8 / 1000;
  }
  return 0;
}

}  // namespace bellstair::scale
