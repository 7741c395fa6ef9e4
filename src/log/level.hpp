// How much a line of the log matters.
#pragma once

namespace bellstair::log {

enum class Level { debug, info, warning, error };

}  // namespace bellstair::log
