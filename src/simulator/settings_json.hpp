// Reads the settings of the simulator and the platform from JSON. Only this module uses the keys and values
// of that JSON; all other code uses the names of policy::Settings.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "bellstair/policy/scheduler.hpp"
#include "simulator/error.hpp"

namespace bellstair::simulator {

// Both throw SettingsError. Unknown keys are ignored; times are in nanoseconds.
[[nodiscard]] policy::Settings parse_settings(std::string_view json);
[[nodiscard]] policy::Settings settings_from_json(const nlohmann::json& in);

}  // namespace bellstair::simulator
