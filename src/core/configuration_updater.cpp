#include "core/configuration_updater.hpp"

#include <algorithm>
#include <stdexcept>

namespace bellstair::core {

void ConfigurationUpdater::apply(ConfigurationRead& read) {
  if (!read.problem.empty()) return log_problems(read.problem);
  std::string message = "the configuration was reloaded";
  for (std::size_t i = 0; i < read.restart_only.size(); ++i)
    message += (i == 0 ? "; changes that take effect only after a restart: " : ", ") + read.restart_only[i];
  if (read.hooks) {
    message += "; hooks: " + std::to_string(read.hooks->hooks.size());
    hook_stage_.install(std::move(*read.hooks));
  }
  file_changelog_ = std::move(read.changelog);
  if (changelog() != file_changelog_)
    message += "; the change log stays at " + changelog() + ", the address in the active settings version";
  context_.log(std::move(message));
  context_.put(FollowChangeLog{changelog()});
}

// Writes one log line for each line of `problems`.
void ConfigurationUpdater::log_problems(const std::string& problems) {
  for (std::size_t begin = 0; begin < problems.size();) {
    const auto end = std::min(problems.find('\n', begin), problems.size());
    context_.log("the configuration was not reloaded: " + problems.substr(begin, end - begin));
    begin = end + 1;
  }
}

void ConfigurationUpdater::apply(SettingsOffered& offered) {
  const auto version = std::to_string(offered.epoch) + '.' + std::to_string(offered.number);
  try {
    // This comes first because it is the only step that can fail.
    scheduler_.reconfigure(offered.settings);
  } catch (const std::invalid_argument& error) {
    context_.log("settings of version " + version +
                 " are rejected, the previous settings stay active: " + error.what());
    context_.put(SettingsRejected{offered.epoch, offered.number, error.what()});
    return;
  }
  settings_ = std::move(offered.settings);
  version_changelog_ = std::move(offered.changelog);
  context_.put(
      SettingsApplied{offered.epoch, offered.number, settings_, changelog(), std::move(offered.names)});
  context_.log("settings of version " + version + " are active");
}

}  // namespace bellstair::core
