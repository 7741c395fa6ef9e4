// Errors of input that does not follow the simulator's protocol. The text says which part and why.
#pragma once

#include <stdexcept>

namespace bellstair::simulator {

// Of a frame, in its bytes.
struct FrameError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Of the settings in JSON; the text names the field.
struct SettingsError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace bellstair::simulator
