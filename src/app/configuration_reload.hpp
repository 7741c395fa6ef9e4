// Reads the configuration again while the broker runs. Takes a while; meant for a worker thread.
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
  std::string fronts_file;  // the operator's own; may be empty
  // Of the start, to tell which fields have changed that need a restart. Must outlive the read.
  const config::Config* running_config = nullptr;
  const config::OperatorConfig* running_fronts = nullptr;
  config::Names names;                               // that the files may refer to
  std::shared_ptr<const hooks::SettingNames> words;  // that hooks may refer to
};

struct ReloadedConfiguration {
  core::ConfigurationRead read;  // with the problem, if there is one: then nothing is of use
  hooks::LoadResult hooks;
};

// As strict as at the start. Never throws for what the files hold.
[[nodiscard]] ReloadedConfiguration read_again(const ReloadSource& source);

}  // namespace bellstair::app
