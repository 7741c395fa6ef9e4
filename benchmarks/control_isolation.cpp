// How versions of the configuration that come once a second are felt by lookups that they do not concern: the
// real program on loopback, one control node, one broker that follows it, and lookups at a steady rate. In
// one run, spans in which a version is published each second and spans in which the tool asks for the status
// instead (the tool takes the same machine's time) take turns, so that what the machine does meanwhile falls
// on both. Bounded: spans x seconds. Writes rows of the form of
// benchmarks/scale/control.csv to OUT.
//
//   control_isolation OUT [PAIRS [SECONDS [RATE]]]
#include <atomic>
#include <cstring>

#include "load.hpp"

namespace bellstair::test {
namespace {

// A port that nobody listens on now; its node asks for it at once.
std::string free_address() {
  const Server probe([](Socket&) {});
  return probe.address();
}

void write(const std::string& path, const std::string& text) { std::ofstream(path) << text; }

int run(const char* path, int pairs, double seconds, double rate) {
  std::FILE* const out = std::fopen(path, "w");
  if (out == nullptr) return std::perror(path), 2;
  HttpEngine engine([](const Call&) {
    std::this_thread::sleep_for(5ms);
    return rows("a\tb\tc\n");
  });
  const auto address = free_address();
  const auto store = write_temporary_file("");
  ::unlink(store.c_str());
  const auto document = write_temporary_file("");
  const json control{{"control",
                      {{"fleet", "isolation"},
                       {"epoch", 1},
                       {"writer", "c1"},
                       {"classes", {"lookup", "load", "once"}},
                       {"node", {{"c1", {{"address", address}, {"store", store}}}}}}}};
  const auto file = write_temporary_file(control.dump());
  Program node({"control", file, "--node", "c1"});
  node.wait_for_log("control node c1: listening on");
  Broker broker({{"s-00000001", engine.server.address()}}, control, 0,
                {{"tenants", {{{"name", "acme"}, {"portion", 1.0}, {"quota-rps", 100000.0}}}}});
  broker.program->wait_for_log("control: connected to c1");

  std::vector<double> took[2];
  std::size_t lost = 0, versions = 0, failed = 0;
  std::uint64_t tickets = 1;
  for (int span = 0; span < 2 * pairs; ++span) {
    const bool with = (span % 2 == 0) != (span / 2 % 2 == 0);  // either comes first in turn
    std::atomic<bool> over = false;
    std::thread tool([&] {
      for (auto next = Clock::now(); !over; std::this_thread::sleep_until(next += 1s)) {
        if (with) {
          write(document, "tenant \"acme\" {\n  share = 1\n  quota = " +
                              std::to_string(100000 + ++versions % 2) + "\n}\n");
          Program publish({"config", "publish", document, "--file", file, "--wait", "900ms"});
          if (publish.wait() != 0) ++failed;
        } else {
          Program status({"config", "status", "--file", file});
          if (status.wait() != 0) ++failed;
        }
      }
    });
    std::size_t missed = 0;
    auto some = drive(broker.address, rate, seconds, "SELECT a FROM marks_4.rows", tickets, &missed);
    over = true;
    tool.join();
    tickets += static_cast<std::uint64_t>(rate * seconds);
    lost += missed;
    took[with ? 1 : 0].insert(took[with ? 1 : 0].end(), some.begin(), some.end());
    std::fprintf(stderr, "%s %zu lookups, p99 %.3f ms\n", with ? "versions" : "none    ", some.size(),
                 (std::ranges::sort(some), at(some, 0.99)));
  }
  std::fprintf(out, "suite,axis,x,play,role,measure,unit,value\n");
  for (const bool with : {false, true}) {
    auto& all = took[with ? 1 : 0];
    std::ranges::sort(all);
    for (const auto& [name, share] : {std::pair{"p50", 0.5}, {"p99", 0.99}})
      std::fprintf(out, "control,versions_per_second,%d,1,lookups,%s_latency,us,%.1f\n", with ? 1 : 0, name,
                   at(all, share) * 1e3);
  }
  std::fprintf(out, "control,versions_per_second,1,1,lookups,versions_in_force,count,%zu\n", versions);
  std::fclose(out);
  std::fprintf(stderr, "p99 with versions to p99 without: %.4f; lost %zu, tools that failed %zu of %zu\n",
               at(took[1], 0.99) / at(took[0], 0.99), lost, failed, versions);
  for (const auto& made : {store, document, file}) ::unlink(made.c_str());
  return lost + failed == 0 ? 0 : 1;
}

}  // namespace
}  // namespace bellstair::test

int main(int argc, char** argv) {
  if (argc < 2) return std::fputs("usage: control_isolation OUT [PAIRS [SECONDS [RATE]]]\n", stderr), 2;
  const int pairs = argc > 2 ? std::clamp(std::atoi(argv[2]), 1, 40) : 10;
  const double seconds = argc > 3 ? std::clamp(std::atof(argv[3]), 1.0, 30.0) : 5;
  const double rate = argc > 4 ? std::clamp(std::atof(argv[4]), 10.0, 2000.0) : 500;
  return bellstair::test::run(argv[1], pairs, seconds, rate);
}
