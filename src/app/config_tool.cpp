#include "app/config_tool.hpp"

#include <CLI/CLI.hpp>
#include <chrono>
#include <string>

#include "app/config_commands.hpp"
#include "app/config_report.hpp"
#include "app/control_node.hpp"
#include "hcl/reader.hpp"

namespace bellstair::app {
namespace {

constexpr core::Time kMaxWait = std::chrono::hours(24);  // of --wait

}  // namespace

int control_command(int argc, char** argv) {
  using namespace config_tool;
  CLI::App app("Distributes numbered versions of the configuration to all brokers", "bellstair");
  app.require_subcommand(1);
  std::string file, node, document, wait = "18s";
  bool as_json = false;

  auto* control = app.add_subcommand("control", "Run a control node, in the foreground, until SIGTERM");
  control->add_option("file", file, "The operator's file, in HCL")->required();
  control->add_option("--node", node, "The name of this node in the operator's file")->required();

  auto* config = app.add_subcommand("config", "Publish a configuration, or show which versions are active");
  config->require_subcommand(1);
  auto* publish =
      config->add_subcommand("publish", "Commit a document as a new version, and wait until it is active");
  publish->add_option("document", document, "The document, in HCL")->required();
  publish->add_option("--file", file, "The operator's file, in HCL")->required();
  publish->add_option("--wait", wait, "How long to wait for all connected brokers; 18s if absent");
  auto* status = config->add_subcommand("status", "Show the nodes, and the brokers by active version");
  status->add_option("--file", file, "The operator's file, in HCL")->required();
  status->add_flag("--json", as_json, "Print the whole status as JSON");

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : exit_status(Outcome::usage);
  }
  try {
    if (control->parsed()) return run_control_node(file, node);
    if (status->parsed()) return config_status(file, as_json);
    const auto span = hcl::parse_duration(wait);
    if (!span || *span > kMaxWait)
      return fail(Outcome::usage, "--wait: expected a duration of at most 24h, such as \"18s\"");
    return config_publish(document, file, *span);
  } catch (const std::exception& error) {
    return fail(Outcome::usage, error.what());
  }
}

}  // namespace bellstair::app
