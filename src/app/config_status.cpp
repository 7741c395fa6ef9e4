// Implements `bellstair config status`.
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "app/config_commands.hpp"
#include "app/config_report.hpp"
#include "app/node_poller.hpp"
#include "config/config.hpp"
#include "hcl/reader.hpp"

namespace bellstair::app::config_tool {
namespace {
using net::steady_now;
using nlohmann::json;

using Brokers = std::map<std::string, Broker>;
using Row = std::vector<std::string>;

// The newest version that any node has committed.
struct NewestVersion {
  control::VersionId id;
  std::string digest;
};

NewestVersion newest_version(const NodePoller& poller) {
  NewestVersion out;
  for (const auto& node : poller.nodes()) {
    if (node.status && node.status->committed > out.id) out = {node.status->committed, node.status->digest};
  }
  return out;
}

json to_json(control::VersionId id) {
  return id == control::VersionId{} ? json(nullptr) : json(control::to_text(id));
}

json to_json(const NodePoller::Node& node) {
  json out{{"name", node.config.name},
           {"region", node.config.region},
           {"address", node.config.address},
           {"reached", node.status.has_value()}};
  if (!node.status) {
    out["problem"] = node.error;
    return out;
  }
  out["epoch"] = node.status->term.epoch;
  out["writer"] = node.status->term.leader;
  out["writes"] = node.status->is_leader;
  out["newest"] = to_json(node.status->committed);
  out["digest"] = node.status->digest;
  return out;
}

json to_json(const Broker& broker) {
  const auto& status = broker.status;
  return {{"name", status.name},
          {"region", status.region},
          {"node", broker.node},
          {"connected", status.connected},
          {"in_force", to_json(status.active_version)},
          {"digest", status.digest},
          {"refused", to_json(status.rejected_version)},
          {"problem", status.reason},
          {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(status.age).count()}};
}

void print_json(const config::Control& config, const NodePoller& poller, const Brokers& brokers,
                control::VersionId newest) {
  json out{{"fleet", config.fleet},     {"epoch", config.epoch},  {"writer", config.leader},
           {"newest", to_json(newest)}, {"nodes", json::array()}, {"brokers", json::array()}};
  for (const auto& node : poller.nodes()) out["nodes"].push_back(to_json(node));
  for (const auto& [name, broker] : brokers) out["brokers"].push_back(to_json(broker));
  std::puts(out.dump(2, ' ', false, json::error_handler_t::replace).c_str());
}

std::string show_role(const NodePoller::Node& node) {
  if (!node.status) return node.unreachable_reason();
  const auto& term = node.status->term;
  if (node.status->is_leader) return "leads";
  if (term.epoch == 0) return "knows no epoch";
  if (term.leader == node.config.name) return "does not lead";
  return "follows " + term.leader;
}

void print_aligned(const std::vector<Row>& rows) {
  std::vector<std::size_t> widths(rows[0].size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i)
      std::printf("%-*s  ", static_cast<int>(widths[i]), row[i].c_str());
    std::printf("%s\n", row.back().c_str());
  }
}

void print_nodes(const NodePoller& poller, const Brokers& brokers) {
  std::map<std::string, std::size_t> broker_counts;
  for (const auto& [name, broker] : brokers) {
    if (broker.status.connected) ++broker_counts[broker.node];
  }
  std::vector<Row> rows{{"node", "region", "address", "epoch", "newest", "brokers", "role"}};
  for (const auto& node : poller.nodes()) {
    const auto& status = node.status;
    rows.push_back({node.config.name, node.config.region, node.config.address,
                    status ? std::to_string(status->term.epoch) : "-",
                    status ? show_version(status->committed) : "-",
                    std::to_string(broker_counts[node.config.name]), show_role(node)});
  }
  print_aligned(rows);
}

void print_versions(const Brokers& brokers) {
  std::map<control::VersionId, std::size_t, std::greater<>> counts;
  for (const auto& [name, broker] : brokers) {
    if (broker.status.connected) ++counts[broker.status.active_version];
  }
  std::printf("\nversion    brokers\n");
  for (const auto& [id, count] : counts) std::printf("%-9s  %zu\n", show_version(id).c_str(), count);
  if (counts.empty()) std::printf("-          0\n");
}

std::string show_disconnected(const Broker& broker) {
  return broker.status.name + " (" + show_version(broker.status.active_version) + ", last message " +
         hcl::format_duration(std::chrono::floor<std::chrono::seconds>(broker.status.age)) + " ago)";
}

void print_table(const config::Control& config, const NodePoller& poller, const Brokers& brokers,
                 control::VersionId newest, const BrokerCount& count) {
  std::printf("fleet %s, epoch %llu of %s, newest version %s\n\n", config.fleet.c_str(),
              static_cast<unsigned long long>(config.epoch), config.leader.c_str(),
              show_version(newest).c_str());
  print_nodes(poller, brokers);
  print_versions(brokers);
  if (!count.behind.empty()) std::printf("behind: %s\n", join(count.behind, show_behind).c_str());
  print_rejecting(count.rejecting);
  if (!count.disconnected.empty())
    std::printf("disconnected: %s\n", join(count.disconnected, show_disconnected).c_str());
}

int outcome(const config::Control& config, const NodePoller& poller, const BrokerCount& count) {
  if (const auto newer = poller.newer_term(config.epoch))
    return fail(Outcome::unreachable, config.leader + " is not the leader any more: " + *newer);
  if (std::ranges::none_of(poller.nodes(), [](const auto& node) { return node.status.has_value(); }))
    return fail(Outcome::unreachable, "no control node is reachable");
  const auto& leader = *poller.find(config.leader);
  if (!leader.status)
    return fail(Outcome::unreachable, "the leader, " + config.leader + ", is " + leader.unreachable_reason());
  if (!leader.status->is_leader)
    return fail(Outcome::unreachable, config.leader + " does not lead: the newest epoch that it knows is " +
                                          std::to_string(leader.status->term.epoch) + " with leader " +
                                          leader.status->term.leader);
  if (!count.rejecting.empty()) return exit_status(Outcome::rejected);
  return exit_status(count.behind.empty() ? Outcome::done : Outcome::behind);
}

}  // namespace

int config_status(const std::string& file, bool as_json) {
  const auto config = config::read_control(config::read_file(file, "operator's file"), file);
  ev::default_loop loop(0);
  NodePoller poller(loop, config);
  const auto started_at = steady_now();
  poller.run(
      [&] { return poller.all_polled() || steady_now() - started_at >= 2 * NodePoller::kAnswerTimeout; });
  const auto newest = newest_version(poller);
  const auto brokers = poller.brokers();
  const BrokerCount count(brokers, newest.id, newest.digest);
  if (as_json) {
    print_json(config, poller, brokers, newest.id);
  } else {
    print_table(config, poller, brokers, newest.id, count);
  }
  return outcome(config, poller, count);
}

}  // namespace bellstair::app::config_tool
