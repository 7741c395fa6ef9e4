// The effect that writes a line to the log.
#pragma once

#include <string>

namespace bellstair::control {

struct LogLine {
  std::string text;  // the complete line, without a line break
};

}  // namespace bellstair::control
