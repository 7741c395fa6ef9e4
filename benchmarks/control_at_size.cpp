// How long a version takes from its publish to the last broker, by the number of brokers: seven real control
// nodes, up to a hundred real brokers, and hollow ones for the rest (the program's own ControlClient on real
// sockets, fifty to a process). All links pass relays of one thread, which adds to what is measured. Not a
// test: it prints rows.
//
//     control_at_size [--sizes 10,50,200,700,1024] [--publishes 20] [--quick] > control.csv
#include <poll.h>
#include <sys/prctl.h>

#include <cmath>
#include <cstring>
#include <filesystem>
#include <random>

#include "../tests/processes/process.hpp"
#include "../tests/processes/relay.hpp"
#include "app/control_client.hpp"
#include "config/control.hpp"
#include "config/document.hpp"
#include "control/subscriber.hpp"

namespace {

using namespace bellstair;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using control::VersionId;
using test::json;

constexpr std::size_t kReal = 100, kHollowEach = 50, kTenants = 40;
constexpr std::size_t kGroup = 5;  // real brokers that share their links; hollow ones: those of a process
constexpr auto kLimit = 60s;       // for whatever is waited for

std::string numbered(std::string name, auto number) { return name.append(std::to_string(number)); }
double ms(Clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }

// ---- hollow brokers, in a process of their own

int host_hollow(const std::string& file, std::size_t first, std::size_t count) {
  const auto config = config::read_control(config::read_file(file, "operator's file"), file);
  ev::default_loop loop(0);
  std::signal(SIGPIPE, SIG_IGN);
  std::random_device seeds;
  std::vector<std::unique_ptr<app::ControlClient>> clients;
  for (std::size_t i = 0; i < count; ++i) {
    const auto at = clients.size();
    clients.push_back(std::make_unique<app::ControlClient>(
        loop, config, numbered("n", first + i), seeds(), [&, at](const control::Version& version) {
          std::string problem;
          try {
            (void)config::parse_document(version.text, "version", config.classes);
          } catch (const std::exception& error) {
            problem = error.what();
          }
          clients[at]->report_apply_result(version, problem);
        }));
  }
  struct Turns {
    std::vector<std::unique_ptr<app::ControlClient>>& clients;
    void tick(ev::timer&, int) {
      for (auto& client : clients) client->tick(Clock::now().time_since_epoch());
    }
    void settle(ev::prepare&, int) {
      for (auto& client : clients) client->settle();
    }
  } turns{clients};
  ev::timer tick(loop);
  ev::prepare prepare(loop);
  tick.set<Turns, &Turns::tick>(&turns);
  prepare.set<Turns, &Turns::settle>(&turns);
  tick.start(0, 0.005);  // as a broker's
  prepare.start();
  for (auto& client : clients) client->start();
  loop.run(0);
  return 0;
}

// ---- processes, and what they say, with the time at which it was read

struct Said {
  Clock::time_point when;
  std::string who, what;  // "n17", "control: version 1.2 is active"
};

class Ears {
 public:
  Ears() : thread_([this] { listen(); }) {}
  ~Ears() {
    over_ = true;
    thread_.join();
  }
  void add(net::Fd fd) {
    const std::lock_guard lock(mutex_);
    new_.push_back(std::move(fd));
  }
  // Once `enough` says so of all that was said since `from`; false if it never did.
  bool wait(std::size_t from, const std::function<bool(const Said&)>& enough) {
    std::unique_lock lock(mutex_);
    auto next = from;
    return changed_.wait_for(lock, kLimit, [&] {
      for (; next < said_.size(); ++next) {
        if (enough(said_[next])) return true;
      }
      return false;
    });
  }
  std::size_t now() {
    const std::lock_guard lock(mutex_);
    return said_.size();
  }

 private:
  void listen() {
    std::vector<net::Fd> fds;
    std::vector<std::string> rests;
    while (!over_) {
      {
        const std::lock_guard lock(mutex_);
        for (auto& fd : std::exchange(new_, {})) {
          fds.push_back(std::move(fd));
          rests.emplace_back();
        }
      }
      std::vector<pollfd> polled;
      polled.reserve(fds.size());
      for (const auto& fd : fds) polled.push_back({fd.get(), POLLIN, 0});
      if (::poll(polled.data(), polled.size(), 20) <= 0) continue;
      const auto when = Clock::now();
      for (std::size_t i = 0; i < polled.size(); ++i) {
        if (polled[i].revents == 0) continue;
        char buffer[16384];
        const auto got = ::read(fds[i].get(), buffer, sizeof buffer);
        if (got <= 0) {
          fds[i].reset();  // poll() passes over a negative one
          continue;
        }
        rests[i].append(buffer, static_cast<std::size_t>(got));
        for (std::size_t end = 0; (end = rests[i].find('\n')) != std::string::npos;
             rests[i].erase(0, end + 1))
          hear(when, rests[i].substr(0, end));
      }
    }
  }
  void hear(Clock::time_point when, const std::string& line) {
    if (std::getenv("CONTROL_AT_SIZE_LINES") != nullptr) std::fprintf(stderr, "%s\n", line.c_str());
    const auto colon = line.find(": ");
    const auto space = line.rfind(' ', colon);
    if (colon == std::string::npos || space == std::string::npos) return;
    const std::lock_guard lock(mutex_);
    said_.push_back({when, line.substr(space + 1, colon - space - 1), line.substr(colon + 2)});
    changed_.notify_all();
  }

  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<Said> said_;
  std::vector<net::Fd> new_;
  std::atomic<bool> over_ = false;
  std::thread thread_;
};

class Process {
 public:
  Process(Ears& ears, std::vector<std::string> arguments) {
    int out[2];
    if (::pipe2(out, O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    pid_ = ::fork();
    if (pid_ == 0) {
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      ::dup2(out[1], STDERR_FILENO);
      std::vector<char*> argv;
      for (auto& argument : arguments) argv.push_back(argument.data());
      argv.push_back(nullptr);
      ::execv(argv[0], argv.data());
      ::_exit(127);
    }
    ::close(out[1]);
    ears.add(net::Fd(out[0]));
  }
  Process(Process&& other) noexcept : pid_(std::exchange(other.pid_, -1)) {}
  Process& operator=(Process&& other) noexcept {
    std::swap(pid_, other.pid_);
    return *this;
  }
  ~Process() { kill(); }
  void kill() {
    if (pid_ <= 0) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(std::exchange(pid_, -1), nullptr, 0);
  }
  [[nodiscard]] double processor() const {  // seconds
    std::ifstream in("/proc/" + std::to_string(pid_) + "/stat");
    std::string text{std::istreambuf_iterator<char>(in), {}};
    std::istringstream rest(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; ++i) rest >> skipped;
    double user = 0, system = 0;
    rest >> user >> system;
    return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
  }
  [[nodiscard]] double resident_kb() const {
    std::ifstream in("/proc/" + std::to_string(pid_) + "/status");
    for (std::string line; std::getline(in, line);) {
      if (line.starts_with("VmRSS:")) return std::stod(line.substr(6));
    }
    return 0;
  }

 private:
  pid_t pid_ = -1;
};

// ---- rows

void row(const std::string& axis, std::size_t x, int play, const std::string& role,
         const std::string& measure, const std::string& unit, double value) {
  std::printf("control,%s,%zu,%d,%s,%s,%s,%.6g\n", axis.c_str(), x, play, role.c_str(), measure.c_str(),
              unit.c_str(), value);
  std::fflush(stdout);
}
double quantile(std::vector<double> values, double q) {
  if (values.empty()) return std::nan("");
  std::ranges::sort(values);
  const auto rank = std::ceil(q * static_cast<double>(values.size()));
  return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}
// Of all plays, as play 0.
void summary(const std::string& axis, std::size_t x, const std::string& measure,
             const std::vector<double>& values) {
  row(axis, x, 0, "fleet", measure + "_p50", "ms", quantile(values, 0.5));
  row(axis, x, 0, "fleet", measure + "_p99", "ms", quantile(values, 0.99));
  row(axis, x, 0, "fleet", measure + "_most", "ms", quantile(values, 1));
}

// ---- the fleet

class Fleet {
 public:
  explicit Fleet(std::size_t size) : size_(size) {
    directory_ = test::write_temporary_file("");
    ::unlink(directory_.c_str());
    std::filesystem::create_directory(directory_);
    changes_.push({test::server("s-00000001", "127.0.0.1:9")}, true);
    for (int i = 1; i <= 7; ++i) {
      auto& node = nodes_[numbered("c", i)];
      node.region = i <= 4 ? "north" : "south";
      network.set_target(numbered("c", i), node.real.address);
    }
    for (auto& [name, node] : nodes_) start(name);
    const auto real = std::min(size, kReal);
    for (std::size_t i = 0; i < real; ++i) start_real(i);
    for (std::size_t first = real; first < size; first += kHollowEach)
      hosts_.push_back({first, std::min(kHollowEach, size - first), std::nullopt});
    for (auto& host : hosts_) start(host);
  }
  ~Fleet() {
    reals_.clear();
    hosts_.clear();
    for (auto& [name, node] : nodes_) node.process.reset();
    std::filesystem::remove_all(directory_);
  }

  struct Host {
    std::size_t first, count;
    std::optional<Process> process;
  };

  void start(const std::string& node) {
    const auto from = ears.now();
    nodes_.at(node).process.emplace(
        ears, std::vector<std::string>{BELLSTAIR_PROGRAM, "control", file(node, nodes_.at(node).region),
                                       "--node", node});
    if (!ears.wait(from,
                   [&](const Said& said) { return said.who == node && said.what.starts_with("listening"); }))
      throw std::runtime_error(node + " does not listen");
  }
  void kill(const std::string& node) { nodes_.at(node).process->kill(); }
  void start_real(std::size_t i) {
    auto settings = test::settings();
    for (std::size_t t = 0; t < kTenants; ++t)
      settings["tenants"].push_back({{"name", numbered("t", t)}, {"portion", 0.01}, {"quota-rps", 100.0}});
    const json config{
        {"name", numbered("n", i)},     {"listen", "127.0.0.1:0"},         {"seed", "8c1f30d27a5be964"},
        {"limits", {{"sockets", 128}}}, {"changelog", changes_.address()}, {"known", changes_.known()},
        {"settings", settings}};
    const auto path = directory_ + "/n" + std::to_string(i) + ".json";
    std::ofstream(path) << config.dump();
    reals_.emplace_back(ears,
                        std::vector<std::string>{BELLSTAIR_PROGRAM, "serve", "--config", path, "--fronts",
                                                 file(numbered("g", i / kGroup), region(i / kGroup))});
  }
  void start(Host& host) {
    const auto group = 100 + host.first / kHollowEach;
    host.process.emplace(ears, std::vector<std::string>{
                                   "/proc/self/exe", "--hollow", file(numbered("g", group), region(group)),
                                   std::to_string(host.first), std::to_string(host.count)});
  }
  static std::string region(std::size_t group) { return group % 2 == 0 ? "north" : "south"; }
  // Of one node, or of a group of brokers that share their links.
  std::string file(const std::string& who, const std::string& region) {
    auto path = directory_ + "/" + who + ".hcl";
    if (std::filesystem::exists(path)) return path;  // somebody may be reading it
    std::string out =
        "control {\n  fleet = \"tunis\"\n  epoch = 1\n  writer = \"c1\"\n  classes = [\"lookup\", "
        "\"load\", \"once\"]\n  region = \"" +
        region + "\"\n";
    for (const auto& [name, node] : nodes_) {
      out += "  node \"" + name + "\" {\n    address = \"" +
             (name == who ? node.real.address : network.address(who, name)) + "\"\n    region = \"" +
             node.region + "\"\n    store = \"" + name + ".db\"\n  }\n";
    }
    std::ofstream(path) << out << "}\n";
    return path;
  }

  struct Times {
    Clock::time_point asked, kept;
    std::size_t from = 0;  // of what was said
    VersionId place;
  };
  Times publish() {
    test::ControlPeer writer(nodes_.at("c1").real.address);
    writer.send_hello();
    writer.expect<control::Welcome>();
    std::string document = "class \"lookup\" {\n  worth = " + std::to_string(++published_) + "\n}\n";
    for (std::size_t t = 0; t < kTenants; ++t) {
      document += "tenant \"" + numbered("t", t) + "\" {\n  share = 0.02\n";
      document += "  quota = " + std::to_string(100 + (published_ + t) % 900) + "\n}\n";
    }
    Times out;
    out.from = ears.now();
    out.asked = Clock::now();
    writer.send(control::Publish{document});
    out.place = writer.expect<control::Published>().id;
    out.kept = Clock::now();
    return out;
  }
  // When each of `count` brokers said it first.
  std::map<std::string, Clock::time_point> when(std::size_t from, std::size_t count,
                                                const std::string& what) {
    std::map<std::string, Clock::time_point> out;
    const bool all = ears.wait(from, [&](const Said& said) {
      if (said.who.starts_with("n") && said.what.starts_with(what)) out.try_emplace(said.who, said.when);
      return out.size() == count;
    });
    if (!all)
      throw std::runtime_error("only " + std::to_string(out.size()) + " of " + std::to_string(count) +
                               " said: " + what);
    return out;
  }
  static std::string in_force(VersionId place) {
    return "control: version " + control::to_text(place) + " is active";
  }

  [[nodiscard]] std::size_t size() const { return size_; }
  std::vector<Host>& hosts() { return hosts_; }
  std::uint64_t bytes(test::Direction way) {
    std::uint64_t out = 0;
    network.for_each_link([](auto& from, auto&) { return from[0] == 'g'; },
                          [&](test::Link& link) { out += link.bytes(way); });
    return out;
  }
  std::map<std::string, double> processor() {
    std::map<std::string, double> out;
    for (auto& [name, node] : nodes_) out[name] = node.process->processor();
    double hollow = 0;
    for (auto& host : hosts_) hollow += host.process->processor();
    out["hollow"] = hollow;
    return out;
  }
  double resident_kb(const std::string& node) { return nodes_.at(node).process->resident_kb(); }

  Ears ears;
  test::Network network;

 private:
  struct Node {
    std::string region;
    test::Reserved real;
    std::optional<Process> process;
  };
  std::size_t size_, published_ = 0;
  std::string directory_;
  test::ChangeLog changes_;
  std::map<std::string, Node> nodes_;
  std::vector<Process> reals_;
  std::vector<Host> hosts_;
};

// ---- measurements

// Rows of one publish, and what the summaries need.
struct Spread {
  std::vector<double> last, each, kept;
  void add(Fleet& fleet, const std::string& axis, int play, const Fleet::Times& times, std::size_t brokers) {
    const auto said = fleet.when(times.from, brokers, Fleet::in_force(times.place));
    std::vector<double> spans;
    for (const auto& [who, at] : said) spans.push_back(ms(at - times.asked));
    const auto most = quantile(spans, 1);
    row(axis, fleet.size(), play, "fleet", "publish_to_kept", "ms", ms(times.kept - times.asked));
    row(axis, fleet.size(), play, "fleet", "publish_to_broker_p50", "ms", quantile(spans, 0.5));
    row(axis, fleet.size(), play, "fleet", "publish_to_broker_p99", "ms", quantile(spans, 0.99));
    row(axis, fleet.size(), play, "fleet", "publish_to_last_broker", "ms", most);
    kept.push_back(ms(times.kept - times.asked));
    last.push_back(most);
    each.insert(each.end(), spans.begin(), spans.end());
  }
  void sum(const std::string& axis, std::size_t x) const {
    summary(axis, x, "publish_to_kept", kept);
    summary(axis, x, "publish_to_broker", each);
    summary(axis, x, "publish_to_last_broker", last);
  }
};

// Costs of a span in which `what` goes on.
void costs(Fleet& fleet, const std::string& axis, int play, const std::function<void()>& what) {
  const auto before = fleet.processor();
  const auto up = fleet.bytes(test::Direction::up), down = fleet.bytes(test::Direction::down);
  const auto from = Clock::now();
  what();
  const double seconds = ms(Clock::now() - from) / 1e3;
  const auto after = fleet.processor();
  const auto x = fleet.size();
  const auto brokers = static_cast<double>(x);
  row(axis, x, play, "broker", "bytes_told", "B/s",
      static_cast<double>(fleet.bytes(test::Direction::up) - up) / seconds / brokers);
  row(axis, x, play, "broker", "bytes_heard", "B/s",
      static_cast<double>(fleet.bytes(test::Direction::down) - down) / seconds / brokers);
  if (x > kReal)
    row(axis, x, play, "hollow_broker", "processor", "core",
        (after.at("hollow") - before.at("hollow")) / seconds / static_cast<double>(x - kReal));
  double most = 0, resident = 0;
  for (const auto& [name, spent] : after) {
    if (name == "hollow") continue;
    if (name != "c1") most = std::max(most, (spent - before.at(name)) / seconds);
    resident = std::max(resident, fleet.resident_kb(name));
  }
  row(axis, x, play, "writer", "processor", "core", (after.at("c1") - before.at("c1")) / seconds);
  row(axis, x, play, "follower", "processor_most", "core", most);
  row(axis, x, play, "control_node", "resident_most", "KB", resident);
}

void measure(std::size_t size, int publishes, bool quick) {
  const auto began = Clock::now();
  std::fprintf(stderr, "control_at_size: %zu brokers\n", size);
  Fleet fleet(size);
  fleet.when(0, size, "control: connected to ");
  std::fprintf(stderr, "  connected after %.0f ms\n", ms(Clock::now() - began));

  Spread plain;
  for (int play = 1; play <= publishes; ++play) plain.add(fleet, "brokers", play, fleet.publish(), size);
  plain.sum("brokers", size);

  const auto span = quick ? 4s : 12s;
  costs(fleet, "brokers_at_rest", 1, [&] { std::this_thread::sleep_for(span); });
  costs(fleet, "brokers_publish_each_second", 1, [&] {
    for (auto until = Clock::now() + span, next = Clock::now(); next < until; next += 1s) {
      std::this_thread::sleep_until(next);
      const auto times = fleet.publish();
      fleet.when(times.from, size, Fleet::in_force(times.place));
    }
  });

  // A node is killed, and at once the next version is published.
  Spread lost;
  for (int play = 1; play <= publishes; ++play) {
    const auto node = numbered("c", 2 + play % 6);
    fleet.kill(node);
    lost.add(fleet, "brokers_node_lost", play, fleet.publish(), size);
    fleet.start(node);
  }
  lost.sum("brokers_node_lost", size);

  // Every second group of brokers loses all its links; the rest goes on; then they are healed.
  std::vector<double> healed;
  const auto half = [](auto& from, auto&) { return from[0] == 'g' && (from.back() - '0') % 4 < 2; };
  for (int play = 1; play <= (quick ? 1 : 5); ++play) {
    std::size_t cut = 0;
    for (std::size_t group = 0; group < std::min(kReal, size) / kGroup; ++group) {
      const auto name = numbered("g", group);
      if (half(name, name)) cut += kGroup;
    }
    for (const auto& host : fleet.hosts()) {
      const auto name = numbered("g", 100 + host.first / kHollowEach);
      if (half(name, name)) cut += host.count;
    }
    fleet.network.for_each_link(half, [](test::Link& link) { link.cut(); });
    const auto times = fleet.publish();
    if (cut < size) {
      Spread rest;
      rest.add(fleet, "brokers_half_cut", play, times, size - cut);
    }
    std::this_thread::sleep_for(quick ? 2s : 6s);  // so that back-off is at its longest
    const auto from = Clock::now();
    fleet.network.for_each_link(half, [](test::Link& link) { link.heal(); });
    const auto said = fleet.when(times.from, size, Fleet::in_force(times.place));
    for (const auto& [who, at] : said) {
      if (at > from) healed.push_back(ms(at - from));
    }
    row("brokers_half_cut", size, play, "fleet", "cut", "brokers", static_cast<double>(cut));
  }
  summary("brokers_half_cut", size, "healed_to_in_force", healed);

  // All links are reset at once: everybody comes anew.
  std::vector<double> anew;
  for (int play = 1; play <= (quick ? 1 : 5); ++play) {
    std::this_thread::sleep_for(control::Subscriber::kMaxBackoff +
                                1s);  // a stream that broke sooner is dialled at once
    const auto mark = fleet.ears.now();
    const auto from = Clock::now();
    costs(fleet, "brokers_reconnect_wave", play, [&] {
      fleet.network.for_each_link([](auto& who, auto&) { return who[0] == 'g'; },
                                  [](test::Link& link) { link.reset(); });
      for (const auto& [who, at] : fleet.when(mark, size, "control: connected to "))
        anew.push_back(ms(at - from));
    });
  }
  summary("brokers_reconnect_wave", size, "reset_to_connected", anew);

  // 250 at once, or what there is of hollow ones: processes that are killed and started.
  if (fleet.hosts().size() >= 2) {
    std::vector<double> back;
    for (int play = 1; play <= (quick ? 1 : 5); ++play) {
      const auto last = fleet.publish();
      fleet.when(last.from, size, Fleet::in_force(last.place));
      const auto wave = std::min<std::size_t>(5, fleet.hosts().size());
      std::size_t count = 0;
      const auto mark = fleet.ears.now();
      const auto from = Clock::now();
      for (std::size_t i = 0; i < wave; ++i) {
        fleet.hosts()[i].process->kill();
        count += fleet.hosts()[i].count;
      }
      for (std::size_t i = 0; i < wave; ++i) fleet.start(fleet.hosts()[i]);
      for (const auto& [who, at] : fleet.when(mark, count, Fleet::in_force(last.place)))
        back.push_back(ms(at - from));
      row("brokers_restart_wave", size, play, "fleet", "restarted", "brokers", static_cast<double>(count));
    }
    summary("brokers_restart_wave", size, "start_to_in_force", back);
  }
  std::fprintf(stderr, "  %.1f s\n", ms(Clock::now() - began) / 1e3);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc == 5 && std::strcmp(argv[1], "--hollow") == 0)
    return host_hollow(argv[2], std::stoul(argv[3]), std::stoul(argv[4]));
  std::vector<std::size_t> sizes{10, 50, 200, 700, 1024};
  int publishes = 20;
  bool quick = false;
  for (int i = 1; i < argc; ++i) {
    const std::string option = argv[i];
    if (option == "--quick") {
      quick = true;
    } else if (option == "--publishes" && i + 1 < argc) {
      publishes = std::stoi(argv[++i]);
    } else if (option == "--sizes" && i + 1 < argc) {
      sizes.clear();
      std::istringstream in(argv[++i]);
      for (std::string size; std::getline(in, size, ',');) sizes.push_back(std::stoul(size));
    } else {
      std::fprintf(stderr, "usage: control_at_size [--sizes N,N] [--publishes N] [--quick]\n");
      return 2;
    }
  }
  rlimit files{};
  ::getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  ::setrlimit(RLIMIT_NOFILE, &files);
  try {
    std::puts("suite,axis,x,play,role,measure,unit,value");
    for (const auto size : sizes) measure(size, publishes, quick);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "control_at_size: %s\n", error.what());
    return 1;
  }
}
