// Changes of the configuration while the broker runs: its own file, read again, and settings versions from
// the control plane.
#pragma once

#include <string>
#include <utility>

#include "core/hook_stage.hpp"
#include "core/scheduler_driver.hpp"
#include "core/step_context.hpp"

namespace bellstair::core {

class ConfigurationUpdater {
 public:
  // `settings`: those in force, which apply() replaces in place. `changelog`: the change log's address in the
  // configuration file.
  ConfigurationUpdater(StepContext& context, SchedulerDriver& scheduler, HookStage& hook_stage,
                       policy::Settings& settings, std::string changelog)
      : context_(context),
        scheduler_(scheduler),
        hook_stage_(hook_stage),
        settings_(settings),
        file_changelog_(std::move(changelog)) {}

  // Of the file only the hooks and the change log's address take effect without a restart.
  void apply(ConfigurationRead& read);
  // The version is in force at the end of this call, or rejected as a whole.
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
  std::string version_changelog_;  // of the version in force; empty: that of the file
};

}  // namespace bellstair::core
