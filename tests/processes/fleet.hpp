// Control nodes, brokers and the operator's tool as real processes, with a Link between any two that talk.
// Files of all are kept for as long as a fleet lives, so that a process can be killed and come back. Waits
// are for events.
#pragma once

#include <gtest/gtest.h>

#include <filesystem>
#include <future>
#include <random>

#include "process.hpp"
#include "relay.hpp"

namespace bellstair::test {

struct FleetOptions {
  std::vector<std::pair<std::string, std::string>> nodes{{"c1", "north"}, {"c2", "north"}, {"c3", "south"}};
  std::size_t brokers = 3;  // n0 north, n1 south, ...
  bool last = false;        // brokers keep the version in force in a file
  std::string more;         // of each broker's operator's file
  std::string classes = R"(["lookup", "load", "once"])";
  std::map<std::string, std::string> environment;       // of the brokers
  std::map<std::string, std::string> node_environment;  // of the control nodes
};

class Fleet {
 public:
  explicit Fleet(FleetOptions options = {})
      : options_(std::move(options)), engine([](const Call& call) -> std::optional<std::string> {
          return call.method == "DELETE" ? http(204) : rows("x\ty\tz\n");
        }) {
    directory_ = temporary("");
    ::unlink(directory_.c_str());
    std::filesystem::create_directory(directory_);
    changes.push({server("s-00000001", engine.server.address())}, true);
    for (const auto& [name, region] : options_.nodes) {
      auto& node = nodes_[name];
      node.region = region;
      network.set_target(name, node.real.address);
    }
    for (std::size_t i = 0; i < options_.brokers; ++i) brokers_[i].name = "n" + std::to_string(i);
    write_files(term);
    for (auto& [name, node] : nodes_) start(name);
    for (auto& [name, node] : nodes_) node.program->said("listening on");
    for (auto& [i, broker] : brokers_) start(i);
    for (auto& [i, broker] : brokers_) await_up(i);
  }
  ~Fleet() {
    check();
    brokers_.clear();
    nodes_.clear();
    ended_.clear();
    std::filesystem::remove_all(directory_);
  }

  // ---- files
  [[nodiscard]] std::string path(const std::string& name) const { return directory_ + "/" + name; }
  std::string write(const std::string& name, const std::string& text) {
    std::ofstream(path(name)) << text;
    return path(name);
  }
  // The operator's file as this process has it: it reaches others by its own links.
  std::string operators_file(const std::string& who, const control::LeaderTerm& as,
                             const std::string& fleet = "tunis") {
    std::string region, more;
    for (const auto& [i, broker] : brokers_) {
      if (broker.name != who) continue;
      region = region_of(i);
      more = options_.more;
    }
    std::string out = "control {\n  fleet = \"" + fleet + "\"\n  epoch = " + std::to_string(as.epoch) +
                      "\n  writer = \"" + as.leader + "\"\n  classes = " + options_.classes + "\n";
    if (!region.empty()) out += "  region = \"" + region + "\"\n";
    if (!region.empty() && options_.last) out += "  last = \"" + who + ".last\"\n";
    for (const auto& [name, node] : nodes_) {
      const auto address = name == who ? node.real.address : network.address(who, name);
      out += "  node \"" + name + "\" {\n    address = \"" + address + "\"\n    region = \"" + node.region +
             "\"\n    store = \"" + name + ".db\"\n  }\n";
    }
    return out + "}\n" + more;
  }
  // For all, or for those that are named. Who runs is not told.
  void write_files(const control::LeaderTerm& as, const std::set<std::string>& whose = {}) {
    const auto give = [&](const std::string& who) {
      if (whose.empty() || whose.contains(who)) write(who + ".hcl", operators_file(who, as));
    };
    for (const auto& [name, node] : nodes_) give(name);
    for (const auto& [i, broker] : brokers_) give(broker.name);
    give("tool");
  }

  // ---- processes
  void start(const std::string& node) {
    auto& it = nodes_.at(node);
    it.program = std::make_unique<Program>(
        std::vector<std::string>{"control", path(node + ".hcl"), "--node", node}, options_.node_environment);
  }
  void start(std::size_t broker) {
    auto& it = brokers_.at(broker);
    if (it.config.empty()) {
      const json config{{"name", it.name},
                        {"listen", "127.0.0.1:0"},
                        {"seed", "8c1f30d27a5be96" + std::to_string(broker % 10)},
                        {"limits", {{"sockets", 256}}},
                        {"changelog", changes.address()},
                        {"known", changes.known()},
                        {"settings", settings()}};
      it.config = write(it.name + ".json", config.dump());
    }
    auto environment = options_.environment;
    environment.try_emplace("TEST_SECRET", "secret");
    it.program = std::make_unique<Program>(
        std::vector<std::string>{"serve", "--config", it.config, "--fronts", path(it.name + ".hcl")},
        environment);
  }
  void await_up(std::size_t broker) {
    auto& it = brokers_.at(broker);
    it.address = it.program->listens("listen");
    it.program->said("phase: serving");
  }
  Program& node(const std::string& name) { return *nodes_.at(name).program; }
  Program& broker(std::size_t i) { return *brokers_.at(i).program; }
  [[nodiscard]] std::size_t brokers() const { return brokers_.size(); }
  [[nodiscard]] const std::string& address(std::size_t broker) const { return brokers_.at(broker).address; }
  [[nodiscard]] const std::string& address(const std::string& node) const {
    return nodes_.at(node).real.address;
  }
  [[nodiscard]] std::string region_of(std::size_t broker) const {
    return broker % 2 == 0 ? "north" : "south";
  }
  void kill(const std::string& node) { end(nodes_.at(node).program, false); }
  void kill(std::size_t broker) { end(brokers_.at(broker).program, true); }
  void restart(const std::string& node) {
    if (nodes_.at(node).program) kill(node);
    start(node);
    this->node(node).said("listening on");
  }
  void restart(std::size_t broker) {
    if (brokers_.at(broker).program) kill(broker);
    start(broker);
    await_up(broker);
  }

  // ---- what is in force
  void await_connected(std::size_t broker, const std::string& node = "", std::size_t from = 0) {
    this->broker(broker).said("control: connected to " + node, from);
  }
  void await_all_connected() {
    for (const auto& [i, broker] : brokers_) await_connected(i);
  }
  static std::string in_force(VersionId place) {
    return "control: version " + control::to_text(place) + " in force";
  }
  void wait_in_force(VersionId place) {
    for (auto& [i, broker] : brokers_) broker.program->said(in_force(place));
  }
  [[nodiscard]] bool has(std::size_t i, VersionId place) {
    const auto lines = broker(i).all_lines();
    return std::ranges::any_of(lines,
                               [&](const auto& l) { return l.find(in_force(place)) != std::string::npos; });
  }
  // The node that it said last that it is connected to.
  std::string at(std::size_t i) {
    std::string out;
    for (const auto& line : broker(i).all_lines()) {
      const std::string mark = "control: connected to ";
      if (const auto found = line.find(mark); found != std::string::npos) {
        out = line.substr(found + mark.size());
        out.resize(std::min(out.find(' '), out.size()));
      }
    }
    return out;
  }

  // Brings it to this node, by way of links that are cut for as long as it takes.
  void move(std::size_t i, const std::string& node) {
    await_connected(i);
    if (at(i) == node) return;
    const auto from = broker(i).lines();
    const auto others = [&](auto& who, auto& to) { return who == brokers_.at(i).name && to != node; };
    network.each(others, [](Link& link) { link.cut(); });
    await_connected(i, node + " ", from);
    network.each(others, [](Link& link) { link.heal(); });
  }

  // ---- the operator
  Ran publish(const std::string& document, const std::string& wait = "18s") {
    static std::atomic<int> number = 0;
    const auto file = write("doc" + std::to_string(++number) + ".hcl", document);
    return run_program({"config", "publish", file, "--file", path("tool.hcl"), "--wait", wait});
  }
  Ran status(json* as = nullptr) {
    auto ran = run_program({"config", "status", "--file", path("tool.hcl"), "--json"});
    if (as != nullptr) *as = json::parse(ran.out);
    return ran;
  }

  // Asked again until it is so; empty if it never was.
  json status_when(const std::function<bool(const json&)>& so) {
    const auto until = std::chrono::steady_clock::now() + kPatience;
    json out;
    do {
      status(&out);
      if (so(out)) return out;
    } while (std::chrono::steady_clock::now() < until);
    ADD_FAILURE() << "it never was so: " << out.dump(2);
    return out;
  }

  // ---- clients
  // "" where it was served, or else why not.
  std::string ask(std::size_t broker, const std::string& tenant) {
    Client client(address(broker));
    client.ask(1, "lookup", "SELECT a FROM sales_17.orders", {{"team", tenant}});
    const auto answer = client.answer();
    return answer.contains("result") ? "" : answer["error"].dump();
  }

  // In each process of a broker versions only rise, and each is one that a node has kept. Where it keeps them
  // in a file, they don't go back across its restarts either.
  void check() {
    auto kept = kept_elsewhere;
    const auto of_node = [&](const std::vector<std::string>& lines) {
      for (const auto& line : lines) {
        if (const auto at = place_in(line, ": version ", " kept")) kept.insert(*at);
      }
    };
    for (auto& [name, node] : nodes_) {
      if (node.program) of_node(node.program->all_lines());
    }
    for (auto& end : ended_) {
      if (!end.broker) of_node(end.program->all_lines());
    }
    std::map<std::string, VersionId> last;
    const auto of_broker = [&](const std::string& name, const std::vector<std::string>& lines) {
      VersionId newest;
      for (const auto& line : lines) {
        const auto at = place_in(line, "control: version ", " in force");
        if (!at) continue;
        EXPECT_GT(*at, newest) << name << " goes back: " << line;
        EXPECT_TRUE(kept.contains(*at)) << name << " has what nobody kept: " << line;
        if (options_.last) {
          EXPECT_GE(*at, last[name]) << name << " goes back across a restart: " << line;
        }
        last[name] = newest = *at;
      }
    };
    for (auto& end : ended_) {
      if (end.broker) of_broker(end.name, end.program->all_lines());
    }
    for (auto& [i, broker] : brokers_) {
      if (broker.program) of_broker(broker.name, broker.program->all_lines());
    }
  }

 private:
  struct NodeProcess {
    std::string region;
    Reserved real;
    std::unique_ptr<Program> program;
  };
  struct BrokerProcess {
    std::string name, config, address;
    std::unique_ptr<Program> program;
  };
  struct Ended {
    std::string name;
    bool broker = false;
    std::unique_ptr<Program> program;
  };

  void end(std::unique_ptr<Program>& program, bool broker) {
    program->signal(SIGKILL);
    program->wait();
    std::string name;
    for (const auto& [i, b] : brokers_) {
      if (&b.program == &program) name = b.name;
    }
    ended_.push_back({name, broker, std::move(program)});
  }
  static std::optional<VersionId> place_in(const std::string& line, const std::string& before,
                                           const std::string& after) {
    const auto from = line.find(before);
    if (from == std::string::npos) return std::nullopt;
    VersionId out;
    int read = 0;
    if (std::sscanf(line.c_str() + from + before.size(), "%lu.%lu%n", &out.epoch, &out.number, &read) != 2)
      return std::nullopt;
    const auto end = from + before.size() + static_cast<std::size_t>(read);
    return line.compare(end, std::string::npos, after) == 0 ? std::optional(out) : std::nullopt;
  }

  FleetOptions options_;
  std::string directory_;

 public:
  control::LeaderTerm term{1, "c1"};   // of the files that were written at the start
  std::set<VersionId> kept_elsewhere;  // by what the test itself has in a node's place
  Network network;
  HttpEngine engine;
  ChangeLog changes;

 private:
  std::map<std::string, NodeProcess> nodes_;
  std::map<std::size_t, BrokerProcess> brokers_;
  std::vector<Ended> ended_;
};

// Documents: acme has no place in them, so that it is served under none of them.
inline std::string tenant(const std::string& name) {
  return "tenant \"" + name + "\" {\n  share = 0.5\n  quota = 100\n}\n";
}

}  // namespace bellstair::test
