#include "app/configuration_reload.hpp"

namespace bellstair::app {
namespace {
void read_platform_file(const ReloadSource& source, core::ConfigurationRead& read) {
  const auto config = config::parse(config::read_file(source.file, "configuration"));
  read.changelog = config.changelog;
  for (const auto& [field, text] : config.restart_only) {
    if (text != source.running_config->restart_only.at(field)) read.restart_only.push_back(field);
  }
}

void read_fronts_file(const ReloadSource& source, ReloadedConfiguration& out) {
  const auto& running = *source.running_fronts;
  const auto text = config::read_file(source.fronts_file, "fronts");
  const auto fronts = config::parse_operator_config(text, source.fronts_file, source.names);
  auto& fixed = out.read.restart_only;
  if (fronts.mysql != running.mysql) fixed.emplace_back("mysql");
  if (fronts.mysql_engines != running.mysql_engines) fixed.emplace_back("mysql_engines");
  if (fronts.directory != running.directory) fixed.emplace_back("directory");
  if (fronts.control != running.control) fixed.emplace_back("control");
  out.hooks = hooks::load(fronts.hooks, *source.words);
  for (const auto& problem : out.hooks.problems)
    out.read.problem += (out.read.problem.empty() ? "" : "\n") + problem;
  out.read.hooks = out.hooks.set;
}
}  // namespace

ReloadedConfiguration reload_configuration(const ReloadSource& source) {
  ReloadedConfiguration out;
  try {
    read_platform_file(source, out.read);
    if (!source.fronts_file.empty()) read_fronts_file(source, out);
  } catch (const std::exception& error) {
    out.read.problem = error.what();
  }
  return out;
}

}  // namespace bellstair::app
