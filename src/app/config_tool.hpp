// The command line of the control plane, parsed with CLI11: `bellstair control`, `bellstair config publish`
// and `bellstair config status`. docs/operators/control.md describes them.
#pragma once

namespace bellstair::app {

// The result of a command; its number is the exit status.
enum class Outcome {
  done = 0,         // active at all connected brokers
  rejected = 1,     // by the leader, or by a broker
  usage = 2,        // the command line is wrong, or a file cannot be read
  behind = 3,       // committed, but not active at all connected brokers within --wait
  unreachable = 4,  // no leader can be reached
};

// Returns the exit status of the process. argv[1] is "control" or "config".
[[nodiscard]] int control_command(int argc, char** argv);

}  // namespace bellstair::app
