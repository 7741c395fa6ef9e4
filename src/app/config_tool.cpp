#include "app/config_tool.hpp"

#include <ev++.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "app/control_node.hpp"
#include "config/config.hpp"
#include "config/control.hpp"
#include "control/message.hpp"
#include "hcl/reader.hpp"
#include "link/hub.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;
using control::Place;
using core::Time;
using nlohmann::json;

constexpr Time kAnswer = 2s;    // a node that says nothing for so long is out of reach
constexpr Time kWriter = 4s;    // to find the writer
constexpr Time kAsk = 100ms;    // between questions to one node
constexpr Time kAgain = 500ms;  // between dials of one node
// A broker pings every 2 s, and a node closes it after 8 s of silence: one unheard for longer is gone, also
// where the node that it was at can't be asked any more.
constexpr Time kGone = 10s;
constexpr std::size_t kMostNamed = 20;  // brokers by name in one line of text

Time steady_now() { return std::chrono::steady_clock::now().time_since_epoch(); }

struct Broker {
  control::BrokerStatus status;
  std::string node;  // that has heard it last
};

// The nodes of the operator's file, each asked again and again for its status.
class Nodes {
 public:
  struct Node {
    config::ControlNode config;
    link::ChannelId channel = 0;
    bool up = false, welcome = false;
    Time since{};               // it was dialled, or asked
    std::optional<Time> asked;  // an answer is owed since
    Time next{};                // to dial or to ask
    std::string problem;        // why it is out of reach
    std::optional<control::Status> status;
    Time asked_then{}, answered{};  // of that status
  };

  Nodes(ev::loop_ref loop, const config::Control& config)
      : loop_(loop),
        fleet_(config.fleet),
        hub_(loop, {control::kMostMessage, control::kMostMessage, 2 * control::kMostMessage}, 0, handlers()),
        tick_(loop),
        prepare_(loop) {
    for (const auto& node : config.nodes) {
      nodes_.emplace_back();
      nodes_.back().config = node;
    }
    tick_.set<Nodes, &Nodes::on_tick>(this);
    prepare_.set<Nodes, &Nodes::on_prepare>(this);
  }

  // Until `done` says so; it is asked after whatever happens.
  void run(std::function<bool()> done) {
    done_ = std::move(done);
    std::signal(SIGPIPE, SIG_IGN);
    tick_.start(0, 0.02);
    prepare_.start();
    loop_.run(0);
  }

  void publish(const Node& node, const std::string& text) {
    hub_.send(node.channel, control::encode(control::Publish{text}));
  }
  // Of the node that was asked to publish.
  std::optional<Place> published;
  std::optional<std::string> rejected;

  [[nodiscard]] const std::vector<Node>& all() const { return nodes_; }
  [[nodiscard]] const Node* find(const std::string& name) const {
    const auto found = std::ranges::find(nodes_, name, [](const Node& node) { return node.config.name; });
    return found == nodes_.end() ? nullptr : &*found;
  }
  // A node that knows of a newer epoch than `epoch`, by what it says; nothing: none does.
  [[nodiscard]] std::string deposed(std::uint64_t epoch) const {
    const Node* newest = nullptr;
    for (const auto& node : nodes_) {
      if (node.status && node.status->reign.epoch > epoch &&
          (newest == nullptr || node.status->reign.epoch > newest->status->reign.epoch))
        newest = &node;
    }
    if (newest == nullptr) return "";
    const auto& reign = newest->status->reign;
    return newest->config.name + " knows of epoch " + std::to_string(reign.epoch) + " of " + reign.writer +
           ", the operator's file here of epoch " + std::to_string(epoch);
  }
  // All have answered, or are out of reach.
  [[nodiscard]] bool asked() const {
    return std::ranges::all_of(nodes_, [](const auto& node) { return node.status || !node.problem.empty(); });
  }
  // Each broker as the node tells it that has heard it last.
  [[nodiscard]] std::map<std::string, Broker> brokers() const {
    std::map<std::string, Broker> out;
    const auto now = steady_now();
    for (const auto& node : nodes_) {
      if (!node.status) continue;
      for (auto broker : node.status->brokers) {
        broker.age += now - node.answered;
        if (broker.age > kGone) broker.connected = false;
        const auto found = out.find(broker.name);
        if (found == out.end() || broker.age < found->second.status.age)
          out.insert_or_assign(broker.name, Broker{broker, node.config.name});
      }
    }
    return out;
  }

 private:
  Node* at(link::ChannelId id) {
    const auto found = std::ranges::find(nodes_, id, &Node::channel);
    return id == 0 || found == nodes_.end() ? nullptr : &*found;
  }

  link::Hub::Handlers handlers() {
    link::Hub::Handlers out;
    out.accepted = [](link::ChannelId) {};
    out.drained = [](link::ChannelId) {};
    out.connected = [this](link::ChannelId id) {
      auto* node = at(id);
      if (node == nullptr) return;
      node->up = true;
      control::Hello hello;
      hello.fleet = fleet_;
      hello.name = "tool";
      hello.role = control::Role::tool;
      hub_.send(id, control::encode(hello));
    };
    out.message = [this](link::ChannelId id, std::string_view body) {
      auto* node = at(id);
      if (node == nullptr) return;
      try {
        auto message = control::decode(body);
        std::visit([&](auto& m) { heard(*node, m); }, message);
      } catch (const control::Malformed& error) {
        lose(*node, error.what());
      }
    };
    out.closed = [this](link::ChannelId id, const std::string& reason, const std::string&) {
      if (auto* node = at(id)) lose(*node, reason);
    };
    return out;
  }

  void heard(Node& node, const control::Welcome& message) {
    if (message.protocol != control::kProtocol)
      return lose(node, "speaks protocol " + std::to_string(message.protocol));
    if (message.name != node.config.name) return lose(node, "is " + message.name);
    node.welcome = true;
    node.problem.clear();
    node.next = {};
  }
  void heard(Node& node, const control::Farewell& message) { lose(node, message.reason); }
  void heard(Node& node, control::Status& message) {
    node.asked_then = node.asked.value_or(Time{});
    node.answered = steady_now();
    node.next = node.answered + kAsk;
    node.asked.reset();
    node.status = std::move(message);
  }
  void heard(Node&, const control::Published& message) {
    published = message.place;
    for (auto& node : nodes_) {
      if (node.welcome) node.next = {};
    }
  }
  void heard(Node&, const control::Rejected& message) { rejected = message.problem; }
  template <class Other>
  void heard(Node& node, const Other&) {
    lose(node, "says what no node says to a tool");
  }

  void lose(Node& node, const std::string& reason) {
    hub_.close(node.channel);
    node.channel = 0;
    node.up = node.welcome = false;
    node.asked.reset();
    node.problem = reason;
    node.next = steady_now() + kAgain;
  }

  void on_tick(ev::timer&, int) {
    const auto now = steady_now();
    hub_.tick(now);
    for (auto& node : nodes_) {
      if (node.channel == 0) {
        if (now < node.next) continue;
        node.channel = hub_.dial(node.config.address);
        node.since = now;
      } else if (!node.welcome) {
        if (now - node.since >= kAnswer) lose(node, node.up ? "does not answer" : "can't be connected to");
      } else if (node.asked) {
        if (now - *node.asked >= kAnswer) lose(node, "does not answer");
      } else if (now >= node.next) {
        node.asked = now;
        hub_.send(node.channel, control::encode(control::AskStatus{}));
      }
    }
  }

  void on_prepare(ev::prepare&, int) {
    hub_.settle();
    if (done_()) loop_.break_loop(ev::ALL);
  }

  ev::loop_ref loop_;
  std::string fleet_;
  std::vector<Node> nodes_;
  link::Hub hub_;
  ev::timer tick_;
  ev::prepare prepare_;
  std::function<bool()> done_;
};

// Brokers by what is in force at them, against one version. One of a later epoch is not a later form of it:
// that writer may never have seen it.
struct Count {
  std::size_t connected = 0, in_force = 0;
  std::vector<const Broker*> refused, behind, gone;

  Count(const std::map<std::string, Broker>& brokers, Place place, const std::string& digest) {
    for (const auto& [name, broker] : brokers) {
      const auto& status = broker.status;
      if (!status.connected) {
        gone.push_back(&broker);
        continue;
      }
      ++connected;
      const bool same = status.in_force == place ? status.digest == digest : status.in_force > place;
      if (same && status.in_force.epoch == place.epoch) {
        ++in_force;
      } else if (status.refused >= place && place != Place{}) {
        refused.push_back(&broker);
      } else {
        behind.push_back(&broker);
      }
    }
  }
};

std::string joined(const std::vector<const Broker*>& brokers,
                   const std::function<std::string(const Broker&)>& show) {
  std::string out;
  for (std::size_t i = 0; i < std::min(brokers.size(), kMostNamed); ++i)
    out += (i == 0 ? "" : ", ") + show(*brokers[i]);
  if (brokers.size() > kMostNamed) out += " and " + std::to_string(brokers.size() - kMostNamed) + " more";
  return out;
}

std::string show_place(Place place) { return place == Place{} ? "none" : control::to_text(place); }

std::string show_behind(const Broker& broker) {
  const auto& in_force = broker.status.in_force;  // that of the version asked for: with another text
  return broker.status.name + " (" + show_place(in_force) + ", at " + broker.node + ")";
}

void print_refused(const std::vector<const Broker*>& brokers) {
  for (std::size_t i = 0; i < std::min(brokers.size(), kMostNamed); ++i) {
    const auto& status = brokers[i]->status;
    std::printf("%s: refused by %s (%s): %s\n", control::to_text(status.refused).c_str(), status.name.c_str(),
                status.region.c_str(), status.problem.c_str());
  }
  if (brokers.size() > kMostNamed) std::printf("and by %zu more\n", brokers.size() - kMostNamed);
}

std::string out_of_reach(const Nodes::Node& node) {
  return "out of reach: " + (node.problem.empty() ? std::string("no answer yet") : node.problem);
}

std::string show_ms(Time time) {
  return hcl::show_duration(std::chrono::ceil<std::chrono::milliseconds>(time));
}

int status_of(Outcome outcome) { return static_cast<int>(outcome); }

int fail(Outcome outcome, const std::string& what) {
  std::fflush(stdout);
  std::fprintf(stderr, "bellstair: %s\n", what.c_str());
  return status_of(outcome);
}

// ---- status

json to_json(Place place) { return place == Place{} ? json(nullptr) : json(control::to_text(place)); }

std::string role_of(const Nodes::Node& node) {
  if (!node.status) return out_of_reach(node);
  const auto& reign = node.status->reign;
  if (node.status->writes) return "writes";
  if (reign.epoch == 0) return "knows of no epoch";
  if (reign.writer == node.config.name) return "does not write";
  return "follows " + reign.writer;
}

void print_json(const config::Control& config, const Nodes& nodes,
                const std::map<std::string, Broker>& brokers, Place newest) {
  json out{{"fleet", config.fleet},     {"epoch", config.epoch},  {"writer", config.writer},
           {"newest", to_json(newest)}, {"nodes", json::array()}, {"brokers", json::array()}};
  for (const auto& node : nodes.all()) {
    json item{{"name", node.config.name},
              {"region", node.config.region},
              {"address", node.config.address},
              {"reached", node.status.has_value()}};
    if (node.status) {
      item["epoch"] = node.status->reign.epoch;
      item["writer"] = node.status->reign.writer;
      item["writes"] = node.status->writes;
      item["newest"] = to_json(node.status->newest);
      item["digest"] = node.status->digest;
    } else {
      item["problem"] = node.problem;
    }
    out["nodes"].push_back(std::move(item));
  }
  for (const auto& [name, broker] : brokers) {
    const auto& status = broker.status;
    out["brokers"].push_back(
        {{"name", name},
         {"region", status.region},
         {"node", broker.node},
         {"connected", status.connected},
         {"in_force", to_json(status.in_force)},
         {"digest", status.digest},
         {"refused", to_json(status.refused)},
         {"problem", status.problem},
         {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(status.age).count()}});
  }
  std::puts(out.dump(2, ' ', false, json::error_handler_t::replace).c_str());
}

void print_table(const config::Control& config, const Nodes& nodes,
                 const std::map<std::string, Broker>& brokers, Place newest, const Count& count) {
  std::map<std::string, std::size_t> at;
  std::map<Place, std::size_t, std::greater<>> by_place;
  for (const auto& [name, broker] : brokers) {
    if (!broker.status.connected) continue;
    ++at[broker.node];
    ++by_place[broker.status.in_force];
  }
  std::vector<std::vector<std::string>> rows{
      {"node", "region", "address", "epoch", "newest", "brokers", "role"}};
  for (const auto& node : nodes.all()) {
    const auto& status = node.status;
    rows.push_back({node.config.name, node.config.region, node.config.address,
                    status ? std::to_string(status->reign.epoch) : "-",
                    status ? show_place(status->newest) : "-", std::to_string(at[node.config.name]),
                    role_of(node)});
  }
  std::vector<std::size_t> widths(rows[0].size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  std::printf("fleet %s, epoch %llu of %s, newest version %s\n\n", config.fleet.c_str(),
              static_cast<unsigned long long>(config.epoch), config.writer.c_str(),
              show_place(newest).c_str());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i)
      std::printf("%-*s  ", static_cast<int>(widths[i]), row[i].c_str());
    std::printf("%s\n", row.back().c_str());
  }
  std::printf("\nversion    brokers\n");
  for (const auto& [place, number] : by_place) std::printf("%-9s  %zu\n", show_place(place).c_str(), number);
  if (by_place.empty()) std::printf("-          0\n");
  if (!count.behind.empty()) std::printf("behind: %s\n", joined(count.behind, show_behind).c_str());
  print_refused(count.refused);
  if (!count.gone.empty()) {
    const auto show = [](const Broker& broker) {
      return broker.status.name + " (" + show_place(broker.status.in_force) + ", heard " +
             hcl::show_duration(std::chrono::floor<std::chrono::seconds>(broker.status.age)) + " ago)";
    };
    std::printf("gone: %s\n", joined(count.gone, show).c_str());
  }
}

int config_status(const std::string& file, bool as_json) {
  const auto config = config::read_control(config::read_file(file, "operator's file"), file);
  ev::default_loop loop(0);
  Nodes nodes(loop, config);
  const auto from = steady_now();
  nodes.run([&] { return nodes.asked() || steady_now() - from >= 2 * kAnswer; });
  Place newest;
  std::string digest;
  bool reached = false;
  for (const auto& node : nodes.all()) {
    if (!node.status) continue;
    reached = true;
    if (node.status->newest <= newest) continue;
    newest = node.status->newest;
    digest = node.status->digest;
  }
  const auto brokers = nodes.brokers();
  const Count count(brokers, newest, digest);
  if (as_json) {
    print_json(config, nodes, brokers, newest);
  } else {
    print_table(config, nodes, brokers, newest, count);
  }
  const auto* writer = nodes.find(config.writer);
  if (const auto why = nodes.deposed(config.epoch); !why.empty())
    return fail(Outcome::unreachable, config.writer + " is not the writer any more: " + why);
  if (!reached) return fail(Outcome::unreachable, "no node is in reach");
  if (!writer->status)
    return fail(Outcome::unreachable, "the writer, " + config.writer + ", is " + out_of_reach(*writer));
  if (!writer->status->writes)
    return fail(Outcome::unreachable, config.writer + " does not write: it knows of epoch " +
                                          std::to_string(writer->status->reign.epoch) + " of " +
                                          writer->status->reign.writer);
  if (!count.refused.empty()) return status_of(Outcome::refused);
  return status_of(count.behind.empty() ? Outcome::done : Outcome::behind);
}

// ---- publish

// A node does not know the document's file: its name for it becomes the file's.
std::string with_name(const std::string& problems, const std::string& name) {
  const std::string known = std::string(kDocument) + ':';
  std::string out;
  for (std::size_t from = 0; from < problems.size();) {
    const auto end = std::min(problems.find('\n', from), problems.size());
    auto line = problems.substr(from, end - from);
    if (line.starts_with(known)) line.replace(0, known.size() - 1, name);
    out += (out.empty() ? "" : "\n") + line;
    from = end + 1;
  }
  return out;
}

class Publishing {
 public:
  Publishing(ev::loop_ref loop, const config::Control& config, std::string document, std::string text,
             Time wait)
      : config_(config),
        document_(std::move(document)),
        text_(std::move(text)),
        wait_(wait),
        nodes_(loop, config) {}

  int run() {
    from_ = steady_now();
    nodes_.run([this] { return step(); });
    return outcome_;
  }

 private:
  bool step() { return nodes_.published ? follow() : ask(); }

  // Until the writer has it on its disk.
  bool ask() {
    const auto now = steady_now();
    const auto& writer = *nodes_.find(config_.writer);
    if (nodes_.rejected) {
      outcome_ = fail(Outcome::refused,
                      "refused by " + config_.writer + ":\n" + with_name(*nodes_.rejected, document_));
      return true;
    }
    if (sent_) {
      if (writer.channel == sent_ && now - sent_at_ < kPatience) return false;
      outcome_ = fail(Outcome::unreachable, config_.writer + " has not said whether it kept the document (" +
                                                (writer.problem.empty() ? "no answer" : writer.problem) +
                                                "): see 'config status'");
      return true;
    }
    // A writer that was away does not know that it is none any more; the others do.
    if (const auto why = nodes_.deposed(config_.epoch); !why.empty()) {
      outcome_ = fail(Outcome::unreachable, config_.writer + " is not the writer any more: " + why);
      return true;
    }
    if (writer.welcome && writer.status && writer.status->writes && nodes_.asked()) {
      sent_ = writer.channel;
      sent_at_ = now;
      nodes_.publish(writer, text_);
      return false;
    }
    if (now - from_ < kWriter) return false;
    if (writer.status) {
      const auto& reign = writer.status->reign;
      outcome_ = fail(Outcome::unreachable, config_.writer + " does not write: it knows of epoch " +
                                                std::to_string(reign.epoch) + " of " + reign.writer);
    } else {
      outcome_ = fail(Outcome::unreachable, "the writer, " + config_.writer + ", is " + out_of_reach(writer));
    }
    return true;
  }

  // Until it is in force at all that are connected.
  bool follow() {
    const auto now = steady_now();
    const auto place = *nodes_.published;
    const auto name = control::to_text(place);
    if (!kept_) {
      kept_ = now;
      digest_ = control::digest_of({place, config_.writer, "", text_});
      std::printf("%s: kept by %s after %s\n", name.c_str(), config_.writer.c_str(),
                  show_ms(now - sent_at_).c_str());
    }
    const auto brokers = nodes_.brokers();
    const Count count(brokers, place, digest_);
    const auto line =
        name + ": " + std::to_string(count.in_force) + " of " + std::to_string(count.connected) + " brokers";
    if (const auto why = nodes_.deposed(place.epoch); !why.empty()) {
      outcome_ = fail(Outcome::unreachable, name + " comes into force nowhere: " + why);
      return true;
    }
    const bool late = now - *kept_ >= wait_;
    // Every node that can be reached has been asked since.
    const bool asked = std::ranges::all_of(nodes_.all(), [&](const auto& node) {
      return (node.status && node.welcome && node.asked_then >= *kept_) ||
             (!node.welcome && !node.problem.empty() && now - *kept_ >= kAgain + kAsk);
    });
    if (line != line_ && (asked || count.connected > 0)) {
      line_ = line;
      std::printf("%s\n", line.c_str());
      std::fflush(stdout);
    }
    if (!late && (!asked || !count.behind.empty())) return false;
    for (const auto& node : nodes_.all()) {
      if (!node.welcome)
        std::printf("%s: %s is %s; brokers that only it has heard are not counted\n", name.c_str(),
                    node.config.name.c_str(), out_of_reach(node).c_str());
    }
    print_refused(count.refused);
    if (!count.behind.empty())
      std::printf("%s: behind: %s\n", name.c_str(), joined(count.behind, show_behind).c_str());
    outcome_ = status_of(!count.refused.empty()            ? Outcome::refused
                         : !count.behind.empty() || !asked ? Outcome::behind
                                                           : Outcome::done);
    if (outcome_ == 0)
      std::printf("%s: in force at all %zu connected brokers after %s\n", name.c_str(), count.connected,
                  show_ms(now - *kept_).c_str());
    return true;
  }

  static constexpr Time kPatience = 10s;  // for the writer's disk

  const config::Control& config_;
  std::string document_, text_;
  Time wait_, from_{}, sent_at_{};
  Nodes nodes_;
  link::ChannelId sent_ = 0;
  std::optional<Time> kept_;
  std::string line_, digest_;
  int outcome_ = 0;
};

int config_publish(const std::string& document, const std::string& file, Time wait) {
  const auto config = config::read_control(config::read_file(file, "operator's file"), file);
  auto text = config::read_file(document, "document");
  if (text.size() > control::kMostDocument)
    return fail(Outcome::refused,
                document + ":1:1: is longer than " + std::to_string(control::kMostDocument) + " bytes");
  // Told here where that can be; the writer checks it all the same, by its own classes.
  if (!config.classes.empty()) {
    if (const auto problems = document_problems(text, document, config.classes); !problems.empty())
      return fail(Outcome::refused, "refused:\n" + problems);
  }
  try {
    (void)control::encode(control::Publish{text});
  } catch (const control::Malformed& error) {
    return fail(Outcome::refused, document + ": " + error.what());
  }
  ev::default_loop loop(0);
  return Publishing(loop, config, document, std::move(text), wait).run();
}

}  // namespace

int control_command(int argc, char** argv) {
  CLI::App app("The control plane: numbered versions of the configuration for all brokers", "bellstair");
  app.require_subcommand(1);
  std::string file, node, document, wait = "18s";
  bool as_json = false;

  auto* control = app.add_subcommand("control", "Run a control node, in the foreground, until SIGTERM");
  control->add_option("file", file, "The operator's file, in HCL")->required();
  control->add_option("--node", node, "The node of the file that this is")->required();

  auto* config = app.add_subcommand("config", "Publish a configuration, or see what is in force");
  config->require_subcommand(1);
  auto* publish = config->add_subcommand("publish", "Have a document kept, and wait until it is in force");
  publish->add_option("document", document, "The document, in HCL")->required();
  publish->add_option("--file", file, "The operator's file, in HCL")->required();
  publish->add_option("--wait", wait, "For all connected brokers; 18s if absent");
  auto* status = config->add_subcommand("status", "Nodes, and brokers by the version in force");
  status->add_option("--file", file, "The operator's file, in HCL")->required();
  status->add_flag("--json", as_json, "All of it, as JSON");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : status_of(Outcome::usage);
  }
  try {
    if (control->parsed()) return run_control_node(file, node);
    if (status->parsed()) return config_status(file, as_json);
    const auto span = hcl::parse_duration(wait);
    if (!span || *span > 24h)
      return fail(Outcome::usage, "--wait: expected a duration, as \"18s\", up to 24h");
    return config_publish(document, file, *span);
  } catch (const std::exception& error) {
    return fail(Outcome::usage, error.what());
  }
}

}  // namespace bellstair::app
