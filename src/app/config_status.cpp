// `bellstair config status`.
#include <nlohmann/json.hpp>

#include "app/config_report.hpp"
#include "config/config.hpp"

namespace bellstair::app::config_tool {
namespace {
using nlohmann::json;

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

}  // namespace

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

}  // namespace bellstair::app::config_tool
