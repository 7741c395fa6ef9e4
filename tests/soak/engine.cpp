// A stand-in engine: runs statements for a drawn time, errs, sheds and breaks connections now and then.
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

constexpr double kOrphanMs = 2000;  // a query that nobody asks for runs on for so long
constexpr auto kHold = 250ms;       // a call for news is answered by then
constexpr auto kLook = 4ms;

enum class Fate { serve, fail, shed };

struct Query {
  double until = 0, asked = 0;
  bool over = false, deleted = false;
  Fate fate = Fate::serve;
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
      if (call.method == "POST" && drawn(50)) return socket.reset();  // it runs on
      socket.send(answer(ticket, call));
    }
  }

  void watch() {  // for ever
    for (;; std::this_thread::sleep_for(kLook)) {
      const std::lock_guard lock(mutex_);
      const double now = now_ms();
      for (auto& [ticket, query] : queries_) {
        if (!query.over && (now >= query.until || now > query.asked + kOrphanMs)) end(ticket, query);
      }
    }
  }

 private:
  bool drawn(int one_in) {
    const std::lock_guard lock(mutex_);
    return random_() % static_cast<unsigned>(one_in) == 0;
  }
  void end(const std::string& ticket, Query& query) {
    query.over = true;
    record("end", name_, ticket, now_ms());
  }

  void start(const std::string& ticket, const Call& call) {
    const std::lock_guard lock(mutex_);
    const double now = now_ms();
    const auto& cls = call.headers.at("X-Queue");
    if (random_() % 30 == 0) {
      record("shed", name_, ticket, now);
      queries_[ticket] = {now, now, true, false, Fate::shed};
      return;
    }
    record("post", name_, ticket, cls, call.headers.at("X-Max-Ms"), now);
    const double usual = cls == "lookup" ? 40 : 120;
    const double took =
        random_() % 40 == 0 ? 1200 : usual * (0.3 + static_cast<double>(random_() % 140) / 100);
    queries_[ticket] = {now + took, now, false, false, random_() % 40 == 0 ? Fate::fail : Fate::serve};
  }

  std::string answer(const std::string& ticket, const Call& call) {
    const auto until = std::chrono::steady_clock::now() + kHold;
    while (true) {
      {
        const std::lock_guard lock(mutex_);
        const auto found = queries_.find(ticket);
        if (call.method == "PUT") return http(204);
        if (found == queries_.end()) return http(call.method == "DELETE" ? 204 : 500);
        auto& query = found->second;
        query.asked = now_ms();
        if (call.method == "DELETE") {
          if (!query.over) end(ticket, query);
          query.deleted = true;
          return http(204);
        }
        if (query.fate == Fate::shed) return http(503, {}, "X-Shed: 1\r\n");
        if (query.deleted) return http(500);
        if (query.over) return query.fate == Fate::fail ? http(500, "drawn") : rows(ticket);
      }
      if (std::chrono::steady_clock::now() >= until) return http(202);
      std::this_thread::sleep_for(kLook);
    }
  }
  // The work told is far more than the time taken: a cold engine is filled with few such queries.
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
  std::thread([&] { engine.watch(); }).detach();
  ::fcntl(listening.get(), F_SETFL, 0);
  record("up", name, now_ms());
  while (true) {
    const int fd = ::accept4(listening.get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) continue;
    std::thread([&engine, fd] {
      test::Socket socket(fd);
      try {
        engine.serve(socket);
      } catch (const std::exception&) {
        // the other end is gone
      }
    }).detach();
  }
}

}  // namespace bellstair::soak
