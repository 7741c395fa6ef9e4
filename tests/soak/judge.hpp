// Checks the records of the soak test's stand-ins against the rules of the protocol.
#pragma once

#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bellstair::soak {

inline constexpr double kNever = std::numeric_limits<double>::infinity();

struct Span {
  double from = 0, to = kNever;
};

// The faults that the soak test has injected into the processes; times in ms of the steady clock.
struct History {
  struct Broker {
    std::vector<double> killed_at, stop_requested_at;
    std::vector<Span> change_log_outages, stalls;
  };
  struct Engine {
    double drain_announced_at = kNever, killed_at = kNever;
    std::optional<double> announced_at;  // as a new engine
    std::vector<Span> pauses;            // the process was stopped: its records are later than the events
  };
  std::map<std::string, Broker> brokers;  // by address
  std::map<std::string, Engine> engines;  // by name
};

// Limits of slow start with the settings of the soak test.
struct SlowStart {
  double budget = 0;  // queries per window at full capacity
  double initial_capacity = 1, duration_ms = 0, window_ms = 1000;
};

struct Findings {
  std::vector<std::string> violations;  // one line each
  std::map<std::string, std::size_t> counts;
};

[[nodiscard]] Findings judge(const std::vector<std::string>& records, const History& history,
                             const SlowStart& slow_start);

}  // namespace bellstair::soak
