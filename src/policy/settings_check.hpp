// Validates settings.
#pragma once

#include "bellstair/policy/settings.hpp"

namespace bellstair::policy {

/// Throws std::invalid_argument naming the first invalid field.
void check_settings(const Settings& settings);

/// Checks `to`, and that it differs from `from` only in what a running broker can change: the classes'
/// latency objectives, client timeouts and weights, and the tenants. Throws std::invalid_argument.
void check_settings_change(const Settings& from, const Settings& to);

}  // namespace bellstair::policy
