// Reloads the broker's configuration files while it runs. Loading hooks is slow, so that this should run on a
// worker thread.
#pragma once

#include <memory>
#include <string>

#include "config/config.hpp"
#include "config/fronts.hpp"
#include "core/events.hpp"
#include "hooks/load.hpp"

namespace bellstair::app {

struct ReloadSource {
  std::string file;
  std::string fronts_file;  // the operator's file; empty: there is none
  // The configuration from the start, to find changed fields that need a restart. Both must outlive the
  // reload.
  const config::Config* running_config = nullptr;
  const config::OperatorConfig* running_fronts = nullptr;
  config::Names names;                               // that the files may refer to
  std::shared_ptr<const hooks::SettingNames> words;  // that hooks may refer to
};

struct ReloadedConfiguration {
  core::ConfigurationRead read;  // if its `problem` is set, the rest must not be used
  hooks::LoadResult hooks;
};

// Validates as strictly as at the start. Reports invalid files in `read.problem` and does not throw.
[[nodiscard]] ReloadedConfiguration reload_configuration(const ReloadSource& source);

}  // namespace bellstair::app
