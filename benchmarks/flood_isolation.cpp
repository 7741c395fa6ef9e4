// How usual clients are served beside others that send valid, cheap messages at full speed: the real program
// on loopback, four HTTP engines that answer in 5 ms, five clients with 40 lookups a second in all.
//
//   flood_isolation [KIND [CLIENTS [SECONDS]]]; without arguments: each kind, with 0, 1, 2, 3, 4, 6 and 12
//   clients
#include <cstdio>
#include <cstring>

#include "flood.hpp"
#include "load.hpp"

namespace bellstair::test {
namespace {
constexpr int kUsualClients = 5;
constexpr auto kInterval = 125ms;  // between lookups of one usual client
constexpr auto kLimit = 500ms;
constexpr auto kLateAfter = kLimit + 550ms;  // the protocol's 50 ms, and half a second as in the soak

struct Figures {
  std::size_t asked = 0, served = 0, late = 0;  // late: or unanswered
  double worst_answer_ms = 0, worst_health_ms = 0;
  double longest_turn_ms = 0;
  std::uint64_t flood_messages = 0;
};

// One client's lookups, in an open loop.
void look_up(const std::string& address, double seconds, std::uint64_t tickets, std::mutex& mutex,
             Figures& figures) {
  Client client(address);
  const timeval timeout{0, 50'000};
  ::setsockopt(client.socket.fd(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  const auto count = static_cast<std::size_t>(seconds / std::chrono::duration<double>(kInterval).count());
  std::vector<Clock::time_point> sent(count);
  std::vector<double> took(count, -1);
  std::atomic<std::size_t> asked = 0;
  std::size_t served = 0;
  std::thread reader([&] {
    const auto until = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                          std::chrono::duration<double>(seconds) + 4s);
    for (std::size_t answered = 0; answered < count && Clock::now() < until;) {
      try {
        const auto answer = client.answer();
        const auto id = answer["id"].get<std::size_t>() - 1;
        took.at(id) = ms(Clock::now() - sent.at(id));
        if (answer.contains("result")) ++served;
        ++answered;
      } catch (const std::runtime_error&) {
        continue;  // nothing has come yet
      }
    }
  });
  const auto begun = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    std::this_thread::sleep_until(begun + i * kInterval);
    sent[i] = Clock::now();
    client.ask(static_cast<int>(i) + 1, "lookup", "SELECT a FROM marks_4.rows",
               {{"txn", ticket(tickets + i)}, {"limit", kLimit / 1ms}});
    ++asked;
  }
  reader.join();
  const std::lock_guard lock(mutex);
  figures.asked += count;
  figures.served += served;
  for (const double time : took) {
    if (time < 0 || time > ms(kLateAfter)) ++figures.late;
    figures.worst_answer_ms = std::max(figures.worst_answer_ms, time);
  }
}

json settings_patch() {
  json out{{"tenants", {{{"name", "acme"}, {"portion", 1.0}, {"quota-rps", 100000.0}}}},
           {"ceilings", {{"dial-timeout", 250'000'000}}},
           {"classes", settings()["classes"]}};
  out["classes"][0].merge_patch({{"aim", 400'000'000}, {"give-up", 2'000'000'000}});
  return out;
}

Figures play(const FloodKind& kind, std::size_t flooding, double seconds) {
  std::vector<std::unique_ptr<HttpEngine>> engines;
  std::vector<std::pair<std::string, std::string>> addresses;
  for (int i = 0; i < 4; ++i) {
    engines.push_back(std::make_unique<HttpEngine>([](const Call& call) {
      if (call.method == "DELETE") return http(204);
      std::this_thread::sleep_for(5ms);
      return rows("a\tb\tc\n");
    }));
    addresses.emplace_back("s-0000000" + std::to_string(i + 1), engines.back()->server.address());
  }
  Broker broker(addresses, json::object(), 0, settings_patch());
  Figures out;
  std::mutex mutex;
  std::vector<std::unique_ptr<FloodClient>> flood;
  for (std::size_t i = 0; i < flooding; ++i)
    flood.push_back(std::make_unique<FloodClient>(broker.address, kind));
  std::atomic<bool> over = false;
  std::thread health([&] {
    Client client(broker.address);
    while (!over) {
      const auto from = Clock::now();
      client.is_healthy();
      out.worst_health_ms = std::max(out.worst_health_ms, ms(Clock::now() - from));
      std::this_thread::sleep_for(2ms);
    }
  });
  std::vector<std::thread> usual;
  for (std::uint64_t i = 0; i < kUsualClients; ++i)
    usual.emplace_back([&, i] { look_up(broker.address, seconds, (i + 1) << 20, mutex, out); });
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  for (const auto& client : flood) {
    out.flood_messages += client->handled();
    client->stop();
  }
  flood.clear();
  for (auto& client : usual) client.join();
  over = true;
  health.join();
  broker.program->signal(SIGTERM);
  const auto line = broker.program->wait_for_log("loop: longest iteration ");
  std::sscanf(line.c_str() + line.find("longest iteration "), "longest iteration %lf", &out.longest_turn_ms);
  return out;
}

void print(const char* kind, std::size_t clients, const Figures& f) {
  std::printf("%-18s %7zu %6zu %6zu %5zu %10.0f %10.0f %10.1f %12llu\n", kind, clients, f.asked, f.served,
              f.late, f.worst_answer_ms, f.worst_health_ms, f.longest_turn_ms,
              static_cast<unsigned long long>(f.flood_messages));
  std::fflush(stdout);
}
}  // namespace
}  // namespace bellstair::test

int main(int argc, char** argv) {
  using namespace bellstair::test;
  const double seconds = argc > 3 ? std::clamp(std::atof(argv[3]), 1.0, 30.0) : 4;
  std::vector<std::size_t> counts{0, 1, 2, 3, 4, 6, 12};
  if (argc > 2) counts = {std::clamp<std::size_t>(std::strtoul(argv[2], nullptr, 10), 0, 64)};
  std::printf("%-18s %7s %6s %6s %5s %10s %10s %10s %12s\n", "kind", "clients", "asked", "served", "late",
              "answer ms", "health ms", "turn ms", "messages");
  for (const auto& kind : kJsonRpcFloods) {
    if (argc > 1 && std::strcmp(argv[1], kind.name) != 0) continue;
    for (const auto clients : counts) print(kind.name, clients, play(kind, clients, seconds));
  }
  return 0;
}
