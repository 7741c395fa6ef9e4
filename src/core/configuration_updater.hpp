// Applies configuration changes while the broker runs: the reloaded configuration file, and settings versions
// from the control node.
#pragma once

#include <string>
#include <utility>

#include "core/hook_stage.hpp"
#include "core/scheduler_driver.hpp"
#include "core/step_context.hpp"

namespace bellstair::core {

class ConfigurationUpdater {
 public:
  // `settings`: the active settings, which apply() replaces in place. `changelog`: the change log's address
  // in the configuration file.
  ConfigurationUpdater(StepContext& context, SchedulerDriver& scheduler, HookStage& hook_stage,
                       policy::Settings& settings, std::string changelog)
      : context_(context),
        scheduler_(scheduler),
        hook_stage_(hook_stage),
        settings_(settings),
        file_changelog_(std::move(changelog)) {}

  // Applies the reloaded file. Only its hooks and its change log address take effect without a restart.
  void apply(ConfigurationRead& read);
  // Makes the version active, or rejects it as a whole.
  void apply(SettingsOffered& offered);

 private:
  void log_problems(const std::string& problems);
  [[nodiscard]] const std::string& changelog() const {
    return version_changelog_.empty() ? file_changelog_ : version_changelog_;
  }

  StepContext& context_;
  SchedulerDriver& scheduler_;
  HookStage& hook_stage_;
  policy::Settings& settings_;
  std::string file_changelog_;
  std::string version_changelog_;  // from the active version; empty: the file's address is used
};

}  // namespace bellstair::core
