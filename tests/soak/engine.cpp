// A stand-in engine process: runs statements for a random time, and at times fails, sheds load and breaks
// connections.
#include <sys/socket.h>

#include <map>
#include <mutex>
#include <random>
#include <thread>

#include "../net/harness.hpp"
#include "records.hpp"

namespace bellstair::soak {
namespace {
using namespace std::chrono_literals;
using test::Call;
using test::http;

constexpr double kOrphanTimeoutMs = 2000;  // a query that is no longer polled runs on for this long
constexpr auto kLongPollTimeout = 250ms;   // the longest wait before a poll is answered
constexpr auto kPollInterval = 4ms;

enum class Outcome { serve, fail, shed };

struct Query {
  double ends_at = 0, last_polled_at = 0;
  bool ended = false, deleted = false;
  Outcome outcome = Outcome::serve;
};

class Engine {
 public:
  Engine(std::string name, std::uint64_t seed) : name_(std::move(name)), random_(seed) {}

  void serve(test::Socket& socket) {
    while (true) {
      const auto call = test::read_call(socket);
      if (call.path.rfind("/-/", 0) == 0) {
        socket.send(http(200, {}, "X-Meter: pending:0;x1:0.1;x0:0.1\r\n"));
        continue;
      }
      const auto ticket = call.method == "POST" ? call.headers.at("X-Ticket") : call.path.substr(10, 16);
      if (call.method == "POST") start(ticket, call);
      if (call.method == "POST" && draw_one_in(50)) return socket.reset();  // the query continues to run
      socket.send(answer(ticket, call));
    }
  }

  void end_queries() {  // never returns
    for (;; std::this_thread::sleep_for(kPollInterval)) {
      const std::lock_guard lock(mutex_);
      const double now = now_ms();
      for (auto& [ticket, query] : queries_) {
        if (!query.ended && (now >= query.ends_at || now > query.last_polled_at + kOrphanTimeoutMs))
          end_query(ticket, query);
      }
    }
  }

 private:
  bool draw_one_in(int one_in) {
    const std::lock_guard lock(mutex_);
    return random_() % static_cast<unsigned>(one_in) == 0;
  }
  void end_query(const std::string& ticket, Query& query) {
    query.ended = true;
    record("attempt_end", name_, ticket, now_ms());
  }

  void start(const std::string& ticket, const Call& call) {
    const std::lock_guard lock(mutex_);
    const double now = now_ms();
    const auto& cls = call.headers.at("X-Queue");
    if (random_() % 30 == 0) {
      record("shed", name_, ticket, now);
      queries_[ticket] = {now, now, true, false, Outcome::shed};
      return;
    }
    record("attempt", name_, ticket, cls, call.headers.at("X-Max-Ms"), now);
    const double typical_ms = cls == "lookup" ? 40 : 120;
    const double duration_ms =
        random_() % 40 == 0 ? 1200 : typical_ms * (0.3 + static_cast<double>(random_() % 140) / 100);
    queries_[ticket] = {now + duration_ms, now, false, false,
                        random_() % 40 == 0 ? Outcome::fail : Outcome::serve};
  }

  std::string answer(const std::string& ticket, const Call& call) {
    const auto deadline = std::chrono::steady_clock::now() + kLongPollTimeout;
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        const auto found = queries_.find(ticket);
        if (call.method == "PUT") return http(204);
        if (found == queries_.end()) return http(call.method == "DELETE" ? 204 : 500);
        auto& query = found->second;
        query.last_polled_at = now_ms();
        if (call.method == "DELETE") {
          if (!query.ended) end_query(ticket, query);
          query.deleted = true;
          return http(204);
        }
        if (query.outcome == Outcome::shed) return http(503, {}, "X-Shed: 1\r\n");
        if (query.deleted) return http(500);
        if (query.ended) return query.outcome == Outcome::fail ? http(500, "injected failure") : rows(ticket);
      }
      if (std::chrono::steady_clock::now() >= deadline) return http(202);
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  // The reported cost is far above the time taken, so that few such queries use up the slow start budget of
  // an engine.
  static std::string rows(const std::string& ticket) {
    return http(200, ticket + "\tb\tc\n", "Result-Pages: 1\r\nQuery-Cost: 400\r\nQuery-Need: 8\r\n");
  }

  std::string name_;
  std::mutex mutex_;
  std::mt19937_64 random_;
  std::map<std::string, Query> queries_;
};
}  // namespace

int run_engine(const std::string& name, const std::string& address, std::uint64_t seed) {
  Engine engine(name, seed);
  const auto listening = net::listen_tcp(net::parse_address(address).value());
  if (!listening) return 1;
  std::thread([&] { engine.end_queries(); }).detach();
  ::fcntl(listening.get(), F_SETFL, 0);
  record("ready", name, now_ms());
  while (true) {
    const int fd = ::accept4(listening.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    std::thread([&engine, fd] {
      test::Socket socket(fd);
      try {
        engine.serve(socket);
      } catch (const std::exception&) {
        // the peer has closed the connection
      }
    }).detach();
  }
}

}  // namespace bellstair::soak
