// Exceptions for input that violates the simulator's protocol. The text names the part and the reason.
#pragma once

#include <stdexcept>

namespace bellstair::simulator {

// A frame is malformed.
struct FrameError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// The settings in JSON are invalid; the text names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace bellstair::simulator
