// Severity of a log line.
#pragma once

namespace bellstair::log {

enum class Level { debug, info, warning, error };

}  // namespace bellstair::log
