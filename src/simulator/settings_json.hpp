// Reads the settings that the simulator and the platform give in JSON. The keys and words of that JSON are
// known here alone; all other code uses the names of policy::Settings.
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
