// A stand-in client process: threads that ask brokers, and cancel, leave, dribble, flood and babble.
#include <sys/socket.h>

#include <atomic>
#include <random>
#include <set>
#include <thread>

#include "../net/harness.hpp"
#include "records.hpp"

namespace bellstair::soak {
namespace {
using namespace std::chrono_literals;
using test::json;

constexpr int kThreads = 4;
constexpr int kMaxOnAConnection = 6;
constexpr double kGraceMs = 3000;  // after a request's limit, until it counts as never answered
const char* const kClasses[] = {"lookup", "lookup", "lookup", "load", "once"};

class Asker {
 public:
  Asker(const std::vector<std::string>& brokers, std::uint64_t seed, double until)
      : brokers_(brokers), random_(seed), seed_(seed), until_(until) {}

  void run() {
    while (now_ms() < until_) {
      try {
        visit(brokers_[random_() % brokers_.size()]);
      } catch (const std::exception&) {
        std::this_thread::sleep_for(20ms);  // that broker is down
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 60));
    }
  }

 private:
  void visit(const std::string& broker) {
    auto socket = test::Socket::to(broker);
    const timeval patience{0, 50'000};
    ::setsockopt(socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    open_.clear();
    asked_ = 0;
    cancelled_.clear();
    if (random_() % 8 == 0) return babble(socket);
    const auto rounds = 1 + random_() % kMaxOnAConnection;
    for (unsigned n = 0; n < rounds; ++n) {
      const auto count = random_() % 10 == 0 ? 8U : 1U;
      for (unsigned i = 0; i < count; ++i) ask(socket, broker);
      if (misbehave(socket)) return;
      if (!read_all(socket)) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(60 + random_() % 60));
    }
  }

  void ask(test::Socket& socket, const std::string& broker) {
    char ticket[17];
    std::snprintf(ticket, sizeof ticket, "%08x%08x", static_cast<unsigned>(seed_),
                  static_cast<unsigned>(++tickets_));
    const std::string cls = kClasses[random_() % std::size(kClasses)];
    const int limit = 300 + static_cast<int>(random_() % 2200);
    json params{{"txn", ticket},
                {"limit", limit},
                {"team", "acme"},
                {"data", platform::to_base64("SELECT a FROM sales_17.orders")}};
    std::string key = "-";
    if (cls == "load") {
      params["unique"] = std::string(ticket) + ticket;
      key = std::string(ticket).substr(0, 8) + "00000001";  // of this thread
      params["item"] = key;
    }
    const auto id = ++asked_;
    const auto line = json{{"jsonrpc", "2.0"}, {"id", id}, {"method", cls}, {"params", params}}.dump() + "\n";
    const bool slowly = random_() % 20 == 0;
    const double before = now_ms();
    if (slowly) {
      socket.send(line.substr(0, 40));
      std::this_thread::sleep_for(30ms);
    }
    if (!socket.send(slowly ? line.substr(40) : line)) throw std::runtime_error("it has closed");
    open_[id] = {ticket, now_ms() + limit + kGraceMs};
    record("ask", ticket, cls, key, limit, broker, id == 1 ? "first" : "later", slowly ? now_ms() : before);
  }

  // True: this visit is over.
  bool misbehave(test::Socket& socket) {
    const auto what = random_() % 24;
    if (what > 4) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 80));
    if (what == 0) {  // cancels one, and waits for the others
      const auto id = open_.begin()->first;
      socket.send(json{{"jsonrpc", "2.0"}, {"method", "cancel"}, {"params", {{"id", id}}}}.dump() + "\n");
      record("left", open_.begin()->second.ticket, now_ms());
      cancelled_.insert(id);
      open_.erase(open_.begin());
      return false;
    }
    if (what == 1) {  // closes only its sending side
      for (const auto& [id, open] : open_) record("half", open.ticket, now_ms());
      ::shutdown(socket.fd(), SHUT_WR);
      read_all(socket);
      return true;
    }
    if (what == 2) {  // useless lines, enough to be shown the door
      std::string useless;
      for (int n = 0; n < 80; ++n) useless += "no JSON\n";
      socket.send(useless);
      read_all(socket);
      return true;
    }
    for (const auto& [id, open] : open_) record("left", open.ticket, now_ms());
    if (what == 3) socket.reset();
    return true;  // or closes
  }

  void babble(test::Socket& socket) {
    const auto what = random_() % 3;
    if (what == 0) socket.send(R"({"jsonrpc":"2.0","id":1,"method":"look)");
    if (what == 1) socket.send(std::string(300 * 1024, 'x'));
    std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 400));
    if (what == 2) socket.reset();
  }

  // False: the connection has ended.
  bool read_all(test::Socket& socket) {
    while (!open_.empty()) {
      bool more = false;
      try {
        more = socket.receive();
      } catch (const std::runtime_error&) {
        more = true;  // nothing yet
      }
      take_lines(socket);
      const double now = now_ms();
      for (auto it = open_.begin(); it != open_.end();) {
        const bool over = !more || now > it->second.until;
        if (over) record("unanswered", it->second.ticket, now);
        it = over ? open_.erase(it) : std::next(it);
      }
      if (!more) return false;
    }
    return true;
  }

  void take_lines(test::Socket& socket) {
    for (std::size_t end = 0; (end = socket.in.find('\n')) != std::string::npos;
         socket.in.erase(0, end + 1)) {
      const auto answer = json::parse(socket.in.substr(0, end), nullptr, false);
      if (!answer.is_object() || !answer.contains("id") || !answer["id"].is_number()) continue;
      const auto found = open_.find(answer["id"].get<std::uint64_t>());
      if (found == open_.end()) {
        if (!cancelled_.contains(answer["id"].get<std::uint64_t>())) record("stray", answer.dump(), now_ms());
        continue;
      }
      const auto& ticket = found->second.ticket;
      if (answer.contains("result")) {
        record("answer", ticket, "served", test::body(answer).find(ticket) == 0 ? "own" : "strange",
               now_ms());
      } else {
        record("answer", ticket, answer["error"]["code"] == -32066 ? "refused" : "failed", "own", now_ms());
      }
      open_.erase(found);
    }
  }

  struct Open {
    std::string ticket;
    double until = 0;
  };
  const std::vector<std::string>& brokers_;
  std::mt19937_64 random_;
  std::uint64_t seed_;
  double until_;
  std::map<std::uint64_t, Open> open_;
  std::uint64_t asked_ = 0, tickets_ = 0;
  std::set<std::uint64_t> cancelled_;
};
}  // namespace

int run_client(const std::vector<std::string>& brokers, std::uint64_t seed, double seconds) {
  const double until = now_ms() + seconds * 1000;
  std::vector<std::thread> threads;
  for (std::uint64_t t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      // One broker for each: requests of a key come to one broker while it is up.
      const std::vector<std::string> own{brokers[(seed + t) % brokers.size()]};
      Asker(own, seed * kThreads + t, until).run();
    });
  }
  for (auto& thread : threads) thread.join();
  return 0;
}

}  // namespace bellstair::soak
