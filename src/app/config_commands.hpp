// The commands of `bellstair config`. Each returns the exit status of the process, and throws if a file
// cannot be read.
#pragma once

#include <string>

#include "core/events.hpp"

namespace bellstair::app::config_tool {

[[nodiscard]] int config_status(const std::string& file, bool as_json);

// `wait`: how long to wait until the version is active at all connected brokers.
[[nodiscard]] int config_publish(const std::string& document, const std::string& file, core::Time wait);

}  // namespace bellstair::app::config_tool
