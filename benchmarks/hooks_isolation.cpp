// How a runaway hook is felt by requests that no hook is for: the real program on loopback, lookups at a
// steady rate, and beside them others that the hook is for. Runs with the hook and without one take turns, so
// that what the machine does meanwhile falls on both. Bounded: rates x pairs x 2 runs of a few seconds.
//
//   hooks_isolation [PAIRS [SECONDS]]
#include <algorithm>
#include <cstdio>
#include <cstring>

#include "load.hpp"

namespace bellstair::test {
namespace {
struct Figures {
  double p50 = 0, p99 = 0;     // ms
  double stall = 0;            // the longest that a health call took
  double turn = 0, hooks = 0;  // the longest turn of the loop, and the most of hooks in one
  std::size_t lost = 0;
};

Figures play(const json& hooks, double rate, double seconds) {
  HttpEngine engine([](const Call&) {
    std::this_thread::sleep_for(5ms);
    return rows("a\tb\tc\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}}, hooks, 0,
                {{"tenants", {{{"name", "acme"}, {"portion", 1.0}, {"quota-rps", 100000.0}}}}});
  std::atomic<bool> over = false;
  Figures out;
  std::thread health([&] {
    Client client(broker.address);
    while (!over) {
      const auto from = Clock::now();
      client.is_healthy();
      out.stall = std::max(out.stall, ms(Clock::now() - from));
      std::this_thread::sleep_for(1ms);
    }
  });
  std::size_t other_lost = 0;
  std::thread others([&] {
    drive(broker.address, rate / 5, seconds, "SELECT wild FROM marks_9.rows", 1'000'000'000, &other_lost);
  });
  auto took = drive(broker.address, rate, seconds, "SELECT a FROM marks_4.rows", 1, &out.lost);
  others.join();
  over = true;
  health.join();
  if (!hooks.empty()) {
    broker.program->signal(SIGTERM);
    const auto line = broker.program->wait_for_log("loop: longest iteration ");
    std::sscanf(line.c_str() + line.find("longest iteration "),
                "longest iteration %lf ms, longest time in hooks per iteration %lf", &out.turn, &out.hooks);
  }
  std::ranges::sort(took);
  out.p50 = at(took, 0.5);
  out.p99 = at(took, 0.99);
  return out;
}

double median(std::vector<double> values) {
  std::ranges::sort(values);
  const auto half = values.size() / 2;
  return values.size() % 2 == 1 ? values[half] : (values[half - 1] + values[half]) / 2;
}

}  // namespace
}  // namespace bellstair::test

int main(int argc, char** argv) {
  using namespace bellstair::test;
  const int pairs = argc > 1 ? std::clamp(std::atoi(argv[1]), 1, 20) : 5;
  const double seconds = argc > 2 ? std::clamp(std::atof(argv[2]), 1.0, 30.0) : 4;
  const auto script = write_temporary_file(
      "function on_request(r) if r.statement ~= 'SELECT 1' then while true do end end end");
  json hook{{"script", script}, {"match", {{"statement_contains", "wild"}}}, {"instructions", 1000000000}};
  // Taken out by the breaker as usual, and one that the breaker never takes out: the worst that can be set.
  const json usual{{"hook", {{"wild", hook}}}};
  const json kept{{"hook", {{"wild", hook}}}, {"hooks", {{"breaker", {{"failures", 1000}, {"trials", 1}}}}}};
  std::printf("%-10s %-10s %8s %8s %8s %8s %10s %6s\n", "rate", "hook", "p50 ms", "p99 ms", "ratio50",
              "ratio99", "stall ms", "lost");
  for (const double rate : {100.0, 500.0}) {
    for (const auto& [name, hooks] : {std::pair{"usual", usual}, {"kept in", kept}}) {
      std::vector<double> p50, p99, ratio50, ratio99, stall, stall_without, without99, turn, most;
      std::size_t lost = 0;
      for (int i = 0; i < pairs; ++i) {
        const bool first = i % 2 == 0;
        const auto one = play(first ? json::object() : hooks, rate, seconds);
        const auto two = play(first ? hooks : json::object(), rate, seconds);
        const auto& without = first ? one : two;
        const auto& with = first ? two : one;
        p50.push_back(with.p50);
        p99.push_back(with.p99);
        without99.push_back(without.p99);
        ratio50.push_back(with.p50 / without.p50);
        ratio99.push_back(with.p99 / without.p99);
        stall.push_back(with.stall);
        turn.push_back(with.turn);
        most.push_back(with.hooks);
        stall_without.push_back(without.stall);
        lost += with.lost + without.lost;
      }
      std::printf("%-10.0f %-10s %8.3f %8.3f %8.3f %8.3f %10.3f %6zu\n", rate, name, median(p50), median(p99),
                  median(ratio50), median(ratio99), median(stall), lost);
      std::printf(
          "    without: p99 %.3f, stall %.3f; ratio99 %.3f to %.3f; longest turn %.3f, hooks in one %.3f\n",
          median(without99), median(stall_without), *std::ranges::min_element(ratio99),
          *std::ranges::max_element(ratio99), *std::ranges::max_element(turn),
          *std::ranges::max_element(most));
      std::fflush(stdout);
    }
  }
  ::unlink(script.c_str());
  return 0;
}
