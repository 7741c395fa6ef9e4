// Runs control nodes, brokers and the operator's tool as real processes, with a Link between any two that
// connect. All their files remain until the fleet is destroyed, so that a process can be killed and
// restarted. Tests wait for events, not for time to pass.
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
  std::size_t brokers = 3;   // n0 north, n1 south, ...
  bool last = false;         // brokers persist the active version in a file
  std::string extra_config;  // appended to each broker's operator's file
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
    directory_ = write_temporary_file("");
    ::unlink(directory_.c_str());
    std::filesystem::create_directory(directory_);
    changes.push({server("s-00000001", engine.server.address())}, true);
    for (const auto& [name, region] : options_.nodes) {
      auto& node = nodes_[name];
      node.region = region;
      network.set_target(name, node.reserved.address);
    }
    for (std::size_t i = 0; i < options_.brokers; ++i) brokers_[i].name = "n" + std::to_string(i);
    write_files(term);
    for (auto& [name, node] : nodes_) start(name);
    for (auto& [name, node] : nodes_) node.program->wait_for_log("listening on");
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
  // The operator's file of one process, which names the addresses of that process's own links to the nodes.
  std::string operators_file(const std::string& process, const control::LeaderTerm& leader_term,
                             const std::string& fleet = "tunis") {
    std::string region, extra_config;
    for (const auto& [i, broker] : brokers_) {
      if (broker.name != process) continue;
      region = region_of(i);
      extra_config = options_.extra_config;
    }
    std::string out = "control {\n  fleet = \"" + fleet +
                      "\"\n  epoch = " + std::to_string(leader_term.epoch) + "\n  writer = \"" +
                      leader_term.leader + "\"\n  classes = " + options_.classes + "\n";
    if (!region.empty()) out += "  region = \"" + region + "\"\n";
    if (!region.empty() && options_.last) out += "  last = \"" + process + ".last\"\n";
    for (const auto& [name, node] : nodes_) {
      const auto address = name == process ? node.reserved.address : network.address(process, name);
      out += "  node \"" + name + "\" {\n    address = \"" + address + "\"\n    region = \"" + node.region +
             "\"\n    store = \"" + name + ".db\"\n  }\n";
    }
    return out + "}\n" + extra_config;
  }
  // Writes the operator's files of all processes, or of those named. Does not signal running processes.
  void write_files(const control::LeaderTerm& leader_term, const std::set<std::string>& processes = {}) {
    const auto write_for = [&](const std::string& process) {
      if (processes.empty() || processes.contains(process))
        write(process + ".hcl", operators_file(process, leader_term));
    };
    for (const auto& [name, node] : nodes_) write_for(name);
    for (const auto& [i, broker] : brokers_) write_for(broker.name);
    write_for("tool");
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
    it.address = it.program->listen_address("listen");
    it.program->wait_for_log("phase: serving");
  }
  Program& node(const std::string& name) { return *nodes_.at(name).program; }
  Program& broker(std::size_t i) { return *brokers_.at(i).program; }
  [[nodiscard]] std::size_t brokers() const { return brokers_.size(); }
  [[nodiscard]] const std::string& address(std::size_t broker) const { return brokers_.at(broker).address; }
  [[nodiscard]] const std::string& address(const std::string& node) const {
    return nodes_.at(node).reserved.address;
  }
  [[nodiscard]] std::string region_of(std::size_t broker) const {
    return broker % 2 == 0 ? "north" : "south";
  }
  void kill(const std::string& node) { kill_process(nodes_.at(node).program, false); }
  void kill(std::size_t broker) { kill_process(brokers_.at(broker).program, true); }
  void restart(const std::string& node) {
    if (nodes_.at(node).program) kill(node);
    start(node);
    this->node(node).wait_for_log("listening on");
  }
  void restart(std::size_t broker) {
    if (brokers_.at(broker).program) kill(broker);
    start(broker);
    await_up(broker);
  }

  // ---- active versions
  void await_connected(std::size_t broker, const std::string& node = "", std::size_t from = 0) {
    this->broker(broker).wait_for_log("control: connected to " + node, from);
  }
  void await_all_connected() {
    for (const auto& [i, broker] : brokers_) await_connected(i);
  }
  static std::string active_line(VersionId version) {
    return "control: version " + control::to_text(version) + " is active";
  }
  void await_active(VersionId version) {
    for (auto& [i, broker] : brokers_) broker.program->wait_for_log(active_line(version));
  }
  [[nodiscard]] bool was_active(std::size_t i, VersionId version) {
    const auto lines = broker(i).all_lines();
    return std::ranges::any_of(
        lines, [&](const auto& l) { return l.find(active_line(version)) != std::string::npos; });
  }
  // The node that the broker has logged last as connected.
  std::string connected_node(std::size_t i) {
    std::string out;
    for (const auto& line : broker(i).all_lines()) {
      const std::string prefix = "control: connected to ";
      if (const auto found = line.find(prefix); found != std::string::npos) {
        out = line.substr(found + prefix.size());
        out.resize(std::min(out.find(' '), out.size()));
      }
    }
    return out;
  }

  // Moves the broker to this node: cuts its links to the other nodes until it has connected.
  void move_broker(std::size_t i, const std::string& node) {
    await_connected(i);
    if (connected_node(i) == node) return;
    const auto from = broker(i).line_count();
    const auto others = [&](auto& from_name, auto& to) {
      return from_name == brokers_.at(i).name && to != node;
    };
    network.for_each_link(others, [](Link& link) { link.cut(); });
    await_connected(i, node + " ", from);
    network.for_each_link(others, [](Link& link) { link.heal(); });
  }

  // ---- the operator
  CommandResult publish(const std::string& document, const std::string& wait = "18s") {
    static std::atomic<int> number = 0;
    const auto file = write("doc" + std::to_string(++number) + ".hcl", document);
    return run_program({"config", "publish", file, "--file", path("tool.hcl"), "--wait", wait});
  }
  CommandResult status(json* parsed = nullptr) {
    auto result = run_program({"config", "status", "--file", path("tool.hcl"), "--json"});
    if (parsed != nullptr) *parsed = json::parse(result.out);
    return result;
  }

  // Polls the status until `condition` holds. Returns the last status and fails the test after kTestTimeout.
  json await_status(const std::function<bool(const json&)>& condition) {
    const auto until = std::chrono::steady_clock::now() + kTestTimeout;
    json out;
    do {
      status(&out);
      if (condition(out)) return out;
    } while (std::chrono::steady_clock::now() < until);
    ADD_FAILURE() << "the status never met the condition: " << out.dump(2);
    return out;
  }

  // ---- clients
  // Sends a request; returns "" if it was served, else the error.
  std::string ask(std::size_t broker, const std::string& tenant) {
    Client client(address(broker));
    client.ask(1, "lookup", "SELECT a FROM sales_17.orders", {{"team", tenant}});
    const auto answer = client.answer();
    return answer.contains("result") ? "" : answer["error"].dump();
  }

  // Checks that in each process of a broker the active version only rises, and that a node has committed each
  // version. With a file of the last version, it must not go back across restarts either.
  void check() {
    auto committed = committed_elsewhere;
    const auto collect_committed = [&](const std::vector<std::string>& lines) {
      for (const auto& line : lines) {
        if (const auto at = parse_version(line, ": version ", " committed")) committed.insert(*at);
      }
    };
    for (auto& [name, node] : nodes_) {
      if (node.program) collect_committed(node.program->all_lines());
    }
    for (auto& ended : ended_) {
      if (!ended.broker) collect_committed(ended.program->all_lines());
    }
    std::map<std::string, VersionId> last;
    const auto check_broker = [&](const std::string& name, const std::vector<std::string>& lines) {
      VersionId newest;
      for (const auto& line : lines) {
        const auto at = parse_version(line, "control: version ", " is active");
        if (!at) continue;
        EXPECT_GT(*at, newest) << name << " went back to an older version: " << line;
        EXPECT_TRUE(committed.contains(*at))
            << name << " applied a version that no node has committed: " << line;
        if (options_.last) {
          EXPECT_GE(*at, last[name]) << name << " went back to an older version across a restart: " << line;
        }
        last[name] = newest = *at;
      }
    };
    for (auto& ended : ended_) {
      if (ended.broker) check_broker(ended.name, ended.program->all_lines());
    }
    for (auto& [i, broker] : brokers_) {
      if (broker.program) check_broker(broker.name, broker.program->all_lines());
    }
  }

 private:
  struct NodeProcess {
    std::string region;
    Reserved reserved;
    std::unique_ptr<Program> program;
  };
  struct BrokerProcess {
    std::string name, config, address;
    std::unique_ptr<Program> program;
  };
  struct EndedProcess {
    std::string name;
    bool broker = false;
    std::unique_ptr<Program> program;
  };

  void kill_process(std::unique_ptr<Program>& program, bool broker) {
    program->signal(SIGKILL);
    program->wait();
    std::string name;
    for (const auto& [i, b] : brokers_) {
      if (&b.program == &program) name = b.name;
    }
    ended_.push_back({name, broker, std::move(program)});
  }
  static std::optional<VersionId> parse_version(const std::string& line, const std::string& before,
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
  control::LeaderTerm term{1, "c1"};        // in the files that are written at the start
  std::set<VersionId> committed_elsewhere;  // sent by a fake node, which writes no log
  Network network;
  HttpEngine engine;
  ChangeLog changes;

 private:
  std::map<std::string, NodeProcess> nodes_;
  std::map<std::size_t, BrokerProcess> brokers_;
  std::vector<EndedProcess> ended_;
};

// The part of a document for one tenant. A document that names tenants but not acme makes brokers reject
// requests of acme.
inline std::string tenant(const std::string& name) {
  return "tenant \"" + name + "\" {\n  share = 0.5\n  quota = 100\n}\n";
}

}  // namespace bellstair::test
