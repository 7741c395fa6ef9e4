// Real brokers, as they are started, before hollow databases, a hollow change log and clients: processor time
// by the process's own clock, so that what else the machine does shows little.
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <memory>
#include <stdexcept>
#include <string_view>
#include <vector>

#include "slopes.hpp"
#include "stand_ins.hpp"

namespace bellstair::scale {
namespace {
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
constexpr unsigned kSockets = 16384;

class Folder {
 public:
  Folder() {
    std::string path = (std::filesystem::temp_directory_path() / "bellstair-scale-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("no temporary folder");
    path_ = path;
  }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  ~Folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  [[nodiscard]] std::string file(const std::string& name) const { return path_ + "/" + name; }

 private:
  std::string path_;
};

class RealBroker {
 public:
  RealBroker(const Folder& folder, const std::string& name, const json& config)
      : said_(folder.file(name + ".log")) {
    const auto file = folder.file(name + ".json");
    std::ofstream(file) << config.dump();
    process_ = Child([&] {
      const int to = ::open(said_.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
      ::dup2(to, STDERR_FILENO);
      ::execl(BELLSTAIR_PROGRAM, BELLSTAIR_PROGRAM, "serve", "--config", file.c_str(), nullptr);
    });
  }
  // Once it serves.
  const std::string& address() {
    for (int n = 0; address_.empty(); ++n) {
      if (n > 4000) throw std::runtime_error("a broker did not start: " + said_);
      std::ifstream in(said_);
      std::string line, at;
      while (std::getline(in, line)) {
        if (line.starts_with("bellstair: listen on ")) at = line.substr(line.rfind(' ') + 1);
        if (line.find("phase: serving") != std::string::npos) address_ = at;
      }
      if (address_.empty()) ::usleep(5000);
    }
    return address_;
  }
  [[nodiscard]] double cpu_us() const {
    clockid_t clock{};
    timespec now{};
    if (::clock_getcpuclockid(process_.pid(), &clock) != 0 || ::clock_gettime(clock, &now) != 0)
      throw std::runtime_error("a broker has ended: " + said_);
    return static_cast<double>(now.tv_sec) * 1e6 + static_cast<double>(now.tv_nsec) / 1e3;
  }
  [[nodiscard]] double resident_bytes() const {
    std::ifstream in(proc("statm"));
    double all = 0, resident = 0;
    in >> all >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE));
  }
  [[nodiscard]] double descriptors() const {
    const std::filesystem::directory_iterator all(proc("fd"));
    return static_cast<double>(std::distance(begin(all), end(all)));
  }
  void hang_up() const { ::kill(process_.pid(), SIGHUP); }

 private:
  [[nodiscard]] std::string proc(const char* what) const {
    return "/proc/" + std::to_string(process_.pid()) + "/" + what;
  }
  std::string said_, address_;
  Child process_;
};

void wait(Clock::duration span) { ::usleep(static_cast<useconds_t>(span / 1us)); }

struct Sums {
  double held = 0, most = 0, dials = 0, calls = 0, bytes_in = 0, bytes_out = 0;
};
Sums sums(const Board& board) {
  Sums out;
  for (const auto& d : board.databases) {
    out.held += d.held;
    out.most = std::max<double>(out.most, d.most);
    out.dials += static_cast<double>(d.dials);
    out.calls += static_cast<double>(d.calls);
    out.bytes_in += static_cast<double>(d.bytes_in);
    out.bytes_out += static_cast<double>(d.bytes_out);
  }
  return out;
}

struct Told {
  double sent = 0, answered = 0, refused = 0, failed = 0, unsent = 0, bytes_in = 0, bytes_out = 0;
};
Told told(const SeenByClients& c) {
  const auto n = [](const auto& count) { return static_cast<double>(count.load()); };
  return {n(c.sent), n(c.answered), n(c.refused), n(c.failed), n(c.unsent), n(c.bytes_in), n(c.bytes_out)};
}

double seconds_since(Clock::time_point from) {
  return std::chrono::duration<double>(Clock::now() - from).count();
}

Shape plan(unsigned databases) {
  Shape out;
  out.brokers = 700;
  out.databases = databases;
  return out;
}

// One real broker before hollow databases, under a load; measured once connections have come to rest.
void one_broker(const char* suite, const char* axis, double x, unsigned number, unsigned databases,
                unsigned rate, Clock::duration warm, Clock::duration span, Results& out,
                unsigned sockets = kSockets) {
  constexpr unsigned kConnections = 200;
  const Folder folder;
  auto* const board = make_board();
  const auto shape = plan(databases);
  const auto site = start_site(*board, shape, 5);
  RealBroker broker(folder, "b",
                    document(shape, number, board->database_port,
                             "127.63.0.1:" + std::to_string(board->changelog.port), sockets));
  auto& clients = board->clients[0];
  clients.rate = rate;
  const auto load = start_load(clients, broker.address(), kConnections, shape.tenants, number);
  wait(warm);
  for (auto& count : clients.latency) count = 0;
  const auto from = Clock::now();
  const auto cpu = broker.cpu_us();
  const auto seen = sums(*board);
  const auto asked = told(clients);
  const auto feed_calls = board->changelog.calls.load();
  wait(span);
  const double seconds = seconds_since(from);
  const auto cpu_then = broker.cpu_us();
  const auto seen_then = sums(*board);
  const auto asked_then = told(clients);
  out.at(suite, axis, x, number);
  out.row("broker", "processor_per_second", "us", (cpu_then - cpu) / seconds);
  out.row("broker", "resident_bytes", "bytes", broker.resident_bytes());
  out.row("broker", "descriptors", "count", broker.descriptors());
  out.row("broker", "connections_to_databases", "count", seen_then.held);
  out.row("database", "connections_held", "count", seen_then.held / databases);
  out.row("database", "connections_most", "count", seen_then.most);
  out.row("database", "dials_per_second", "count", (seen_then.dials - seen.dials) / seconds / databases);
  out.row("database", "calls_per_second", "count", (seen_then.calls - seen.calls) / seconds / databases);
  out.row("data", "dials_per_second", "count", (seen_then.dials - seen.dials) / seconds);
  out.row("data", "calls_per_second", "count", (seen_then.calls - seen.calls) / seconds);
  out.row("data", "bytes_to_databases_per_second", "bytes", (seen_then.bytes_in - seen.bytes_in) / seconds);
  out.row("data", "bytes_from_databases_per_second", "bytes",
          (seen_then.bytes_out - seen.bytes_out) / seconds);
  out.row("data", "bytes_to_clients_per_second", "bytes", (asked_then.bytes_in - asked.bytes_in) / seconds);
  out.row("data", "bytes_from_clients_per_second", "bytes",
          (asked_then.bytes_out - asked.bytes_out) / seconds);
  out.row("client", "sent_per_second", "count", (asked_then.sent - asked.sent) / seconds);
  out.row("client", "answered_per_second", "count", (asked_then.answered - asked.answered) / seconds);
  out.row("client", "refused_per_second", "count", (asked_then.refused - asked.refused) / seconds);
  out.row("client", "failed_per_second", "count", (asked_then.failed - asked.failed) / seconds);
  out.row("client", "unsent_per_second", "count", (asked_then.unsent - asked.unsent) / seconds);
  if (rate > 0) out.row("client", "latency_p50", "us", latency_at(clients, 0.5) * 1e3);
  if (rate > 0) out.row("client", "latency_p99", "us", latency_at(clients, 0.99) * 1e3);
  out.row("changelog", "calls_per_second", "count",
          static_cast<double>(board->changelog.calls - feed_calls) / seconds);
  out.load();
  std::printf(
      "%-18s %-10s %6g play %u: %5.1f%% of a core, %6.0f answered/s, %5.0f refused/s, %5.0f connections, "
      "%5.1f dials/s, %.1f MB\n",
      suite, axis, x, number, (cpu_then - cpu) / seconds / 1e4,
      (asked_then.answered - asked.answered) / seconds, (asked_then.refused - asked.refused) / seconds,
      seen_then.held, (seen_then.dials - seen.dials) / seconds, broker.resident_bytes() / 1e6);
  std::fflush(stdout);
}

// Clients that hold connections: idle, then each with a statement in five seconds. The plays run beside one
// another, each with a broker of its own.
void clients(unsigned connections, unsigned plays, Clock::duration span, Results& out) {
  const Folder folder;
  auto* const board = make_board();
  const auto shape = plan(80);
  const auto site = start_site(*board, shape, 5);
  std::vector<std::unique_ptr<RealBroker>> brokers;
  for (unsigned n = 0; n < plays; ++n)
    brokers.push_back(std::make_unique<RealBroker>(
        folder, "b" + std::to_string(n),
        document(shape, n, board->database_port, "127.63.0.1:" + std::to_string(board->changelog.port))));
  std::vector<Child> loads;
  for (unsigned n = 0; n < plays; ++n) {
    const auto& address = brokers[n]->address();
    const auto from = Clock::now();
    const auto cpu = brokers[n]->cpu_us();
    loads.push_back(start_load(board->clients[n], address, connections, shape.tenants, n + 1));
    if (connections == 0) continue;
    out.at("real_clients_connecting", "connections", connections, n + 1);
    out.row("broker", "processor_of_all", "us", brokers[n]->cpu_us() - cpu);
    out.row("client", "time_until_all_connected", "us", seconds_since(from) * 1e6);
    out.load();
  }
  for (const bool used : {false, true}) {
    for (unsigned n = 0; n < plays; ++n) board->clients[n].rate = used ? connections / 5 : 0;
    wait(1s);
    const auto from = Clock::now();
    std::vector<double> cpu;
    std::vector<Told> before;
    for (unsigned n = 0; n < plays; ++n) {
      cpu.push_back(brokers[n]->cpu_us());
      before.push_back(told(board->clients[n]));
    }
    wait(span);
    const double seconds = seconds_since(from);
    for (unsigned n = 0; n < plays; ++n) {
      const auto& broker = *brokers[n];
      const auto now = told(board->clients[n]);
      out.at(used ? "real_clients_used" : "real_clients_idle", "connections", connections, n + 1);
      out.row("broker", "processor_per_second", "us", (broker.cpu_us() - cpu[n]) / seconds);
      out.row("broker", "resident_bytes", "bytes", broker.resident_bytes());
      out.row("broker", "descriptors", "count", broker.descriptors());
      out.row("client", "connections_held", "count", board->clients[n].held);
      out.row("client", "connections_ended", "count", static_cast<double>(board->clients[n].ended));
      out.row("client", "answered_per_second", "count", (now.answered - before[n].answered) / seconds);
      out.row("client", "refused_per_second", "count", (now.refused - before[n].refused) / seconds);
      out.row("client", "failed_per_second", "count", (now.failed - before[n].failed) / seconds);
      out.load();
    }
    std::printf("%-18s %-10s %6u: %.2f%% of a core, %.1f MB, %.0f descriptors, %u held\n",
                used ? "real_clients_used" : "real_clients_idle", "clients", connections,
                (brokers[0]->cpu_us() - cpu[0]) / seconds / 1e4, brokers[0]->resident_bytes() / 1e6,
                brokers[0]->descriptors(), board->clients[0].held.load());
    std::fflush(stdout);
  }
}

// Many real brokers, idle, before one change log: quiet, and with so many events a second.
void many_brokers(unsigned count, unsigned number, const std::vector<unsigned>& rates, Clock::duration span,
                  Results& out) {
  const Folder folder;
  auto* const board = make_board();
  auto shape = plan(80);
  const auto site = start_site(*board, shape, 5);
  std::vector<std::unique_ptr<RealBroker>> brokers;
  for (unsigned n = 0; n < count; ++n)
    brokers.push_back(
        std::make_unique<RealBroker>(folder, "b" + std::to_string(n),
                                     document(shape, n, board->database_port,
                                              "127.63.0.1:" + std::to_string(board->changelog.port), 1024)));
  for (auto& broker : brokers) (void)broker->address();
  wait(500ms);
  const auto cpu = [&] {
    double out_us = 0;
    for (const auto& broker : brokers) out_us += broker->cpu_us();
    return out_us;
  };
  auto& feed = board->changelog;
  for (const auto rate : rates) {
    feed.events_per_second = rate;
    wait(300ms);
    const auto from = Clock::now();
    const auto cpu_before = cpu();
    const auto spread = feed.spread.load(), spread_us = feed.spread_us.load();
    feed.spread_most_us = 0;
    const double calls = static_cast<double>(feed.calls), in = static_cast<double>(feed.bytes_in),
                 bytes = static_cast<double>(feed.bytes_out), events = static_cast<double>(feed.events);
    wait(span);
    const double seconds = seconds_since(from);
    const auto cpu_then = cpu();
    const auto row = [&](const char* suite, const char* axis, double x) {
      out.at(suite, axis, x, number);
      out.row("broker", "processor_per_second", "us", (cpu_then - cpu_before) / seconds / count);
      out.row("broker", "resident_bytes", "bytes", brokers.front()->resident_bytes());
      out.row("broker", "descriptors", "count", brokers.front()->descriptors());
      out.row("changelog", "events_per_second", "count",
              (static_cast<double>(feed.events) - events) / seconds);
      out.row("changelog", "calls_per_second", "count", (static_cast<double>(feed.calls) - calls) / seconds);
      out.row("changelog", "bytes_received_per_second", "bytes",
              (static_cast<double>(feed.bytes_in) - in) / seconds);
      out.row("changelog", "bytes_sent_per_second", "bytes",
              (static_cast<double>(feed.bytes_out) - bytes) / seconds);
      out.row("changelog", "connections_held", "count", feed.held);
      if (const auto seen = static_cast<double>(feed.spread - spread); seen > 0) {
        out.row("changelog", "event_to_last_broker_mean", "us",
                static_cast<double>(feed.spread_us - spread_us) / seen);
        out.row("changelog", "event_to_last_broker_most", "us", static_cast<double>(feed.spread_most_us));
      }
      out.load();
    };
    if (rate == 0) row("real_brokers_idle", "brokers", count);
    if (rates.size() > 1) row("real_events", "events", rate);
    std::printf("%-18s %-10s %6u play %u: %u events/s, %.0f calls/s, %.0f B/s out, %.3f%% of a core each\n",
                "real_brokers", "brokers", count, number, rate,
                (static_cast<double>(feed.calls) - calls) / seconds,
                (static_cast<double>(feed.bytes_out) - bytes) / seconds,
                (cpu_then - cpu_before) / seconds / count / 1e4);
    std::fflush(stdout);
  }
}

// A broker that nobody asks anything: what its loop, ticks and change log cost by themselves.
void idle(unsigned databases, unsigned plays, Clock::duration span, Results& out) {
  const Folder folder;
  auto* const board = make_board();
  const auto shape = plan(databases);
  const auto site = start_site(*board, shape, 5);
  std::vector<std::unique_ptr<RealBroker>> brokers;
  for (unsigned n = 0; n < plays; ++n)
    brokers.push_back(std::make_unique<RealBroker>(
        folder, "b" + std::to_string(n),
        document(shape, n, board->database_port, "127.63.0.1:" + std::to_string(board->changelog.port))));
  std::vector<double> begun;
  for (auto& broker : brokers) {
    (void)broker->address();
    begun.push_back(broker->cpu_us());
  }
  wait(500ms);
  const auto from = Clock::now();
  std::vector<double> cpu;
  for (const auto& broker : brokers) cpu.push_back(broker->cpu_us());
  wait(span);
  const double seconds = seconds_since(from);
  for (unsigned n = 0; n < plays; ++n) {
    out.at("real_idle", "databases", databases, n + 1);
    out.row("control", "processor_per_second", "us", (brokers[n]->cpu_us() - cpu[n]) / seconds);
    out.row("broker", "processor_until_serving", "us", begun[n]);
    out.row("broker", "resident_bytes", "bytes", brokers[n]->resident_bytes());
    out.row("broker", "descriptors", "count", brokers[n]->descriptors());
    out.load();
  }
  std::printf("%-18s %-10s %6u: %.2f%% of a core, %.1f MB\n", "real_idle", "databases", databases,
              (brokers[0]->cpu_us() - cpu[0]) / seconds / 1e4, brokers[0]->resident_bytes() / 1e6);
  std::fflush(stdout);
}

// The way of today: the whole file is read again at each SIGHUP.
void reloads(unsigned databases, unsigned plays, Clock::duration span, Results& out) {
  const Folder folder;
  auto* const board = make_board();
  const auto shape = plan(databases);
  const auto site = start_site(*board, shape, 5);
  std::vector<std::unique_ptr<RealBroker>> brokers;
  for (unsigned n = 0; n < plays; ++n)
    brokers.push_back(std::make_unique<RealBroker>(
        folder, "b" + std::to_string(n),
        document(shape, n, board->database_port, "127.63.0.1:" + std::to_string(board->changelog.port))));
  for (auto& broker : brokers) (void)broker->address();
  for (const unsigned rate : {0U, 1U, 5U, 20U}) {
    const auto from = Clock::now();
    std::vector<double> cpu;
    for (const auto& broker : brokers) cpu.push_back(broker->cpu_us());
    const auto turns = std::max(1U, rate * static_cast<unsigned>(span / 1s));
    for (unsigned turn = 0; turn < turns; ++turn) {
      if (rate > 0) std::ranges::for_each(brokers, [](const auto& broker) { broker->hang_up(); });
      wait(span / turns);
    }
    const double seconds = seconds_since(from);
    for (unsigned n = 0; n < plays; ++n) {
      out.at("real_reloads", "changes", rate, n + 1);
      out.row("broker", "processor_per_second", "us", (brokers[n]->cpu_us() - cpu[n]) / seconds);
      out.row("broker", "resident_bytes", "bytes", brokers[n]->resident_bytes());
      out.load();
    }
    std::printf("%-18s %-10s %6u: %.2f%% of a core\n", "real_reloads", "changes", rate,
                (brokers[0]->cpu_us() - cpu[0]) / seconds / 1e4);
    std::fflush(stdout);
  }
}

}  // namespace

void real_slopes(const Options& options, Results& out) {
  // As much as the system lets each process have, for 2,700 clients and the databases' connections.
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  const auto fixed = [&](const char* suite, double databases, double statements, double connections) {
    out.at(suite, "fixed", 0, 0);
    out.fixed("brokers_in_settings", "count", 700);
    if (databases > 0) out.fixed("databases", "count", databases);
    if (statements > 0) out.fixed("statements", "count", statements);
    if (connections > 0) out.fixed("connections", "count", connections);
    out.fixed("statement_latency", "us", 5000);
    if (std::string_view(suite) != "real_sockets") out.fixed("sockets", "count", kSockets);
  };
  const std::vector<unsigned> databases =
      options.quick ? std::vector<unsigned>{8, 770} : std::vector<unsigned>{8, 80, 300, 770};
  fixed("real_databases", 0, 3140, 200);
  fixed("real_statements", 770, 0, 200);
  fixed("real_sockets", 770, 3140, 200);
  fixed("real_clients_connecting", 80, 0, 0);
  fixed("real_clients_idle", 80, 0, 0);
  fixed("real_clients_used", 80, 0, 0);
  fixed("real_reloads", 770, 0, 0);
  // Idle connections live for 15 s: by then as many come as go.
  const auto rest = options.quick ? 2s : 15s;
  for (unsigned number = 1; number <= options.plays; ++number) {
    for (const auto n : databases)
      one_broker("real_databases", "databases", n, number, n, 3140, rest, options.quick ? 1s : 3s, out);
    for (const unsigned rate : {0U, 400U, 1000U, 3140U, 6280U})
      one_broker("real_statements", "statements", rate, number, 770, rate, options.quick ? 1s : 2s,
                 options.quick ? 1s : 2s, out);
    if (options.quick) {
      many_brokers(20, number, {0, 10}, 1s, out);
      continue;
    }
    // As few descriptors as a broker is left with today, and more: connections are given up for room.
    for (const unsigned sockets : {1024U, 2048U, 4096U, 8192U})
      one_broker("real_sockets", "sockets", sockets, number, 770, 3140, 2s, 2s, out, sockets);
    for (const unsigned count : {5U, 20U, 50U}) many_brokers(count, number, {0}, 2s, out);
    many_brokers(110, number, {0, 2, 10, 40}, 2s, out);
  }
  for (const unsigned connections :
       options.quick ? std::vector<unsigned>{0, 2700} : std::vector<unsigned>{0, 300, 1000, 2700})
    clients(connections, options.plays, options.quick ? 1s : 3s, out);
  fixed("real_idle", 0, 0, 0);
  for (const unsigned n : databases) idle(n, options.plays, options.quick ? 1s : 3s, out);
  reloads(770, options.plays, options.quick ? 1s : 2s, out);
}

}  // namespace bellstair::scale
