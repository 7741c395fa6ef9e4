// A line for the log, as an effect of a decision.
#pragma once

#include <string>

namespace bellstair::control {

struct LogLine {
  std::string text;  // complete, without a line break
};

}  // namespace bellstair::control
