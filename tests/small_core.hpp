// Provides tests and benchmarks of the core with settings of one engine kind and one class, endpoint records,
// and a filter of effects by type.
#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "core/reducer.hpp"

namespace bellstair::test {

inline policy::Settings small_settings() {
  using namespace std::chrono_literals;
  policy::Settings s;
  s.kinds = {{"std-8", 8, 16384}};
  policy::ClassSettings lookup;
  lookup.name = "lookup";
  lookup.latency_objective = 400ms;
  lookup.client_timeout = 2s;
  s.classes = {lookup};
  return s;
}

inline core::EndpointRecord endpoint_record(core::EngineId id,
                                            policy::EngineState state = policy::EngineState::ready) {
  core::EndpointRecord out;
  out.endpoint.engine = id;
  out.endpoint.state = state;
  out.address = "127.0.0.1:1";
  return out;
}

template <class T>
std::vector<T> all_of(const core::Effects& effects) {
  std::vector<T> out;
  for (const auto& effect : effects) {
    if (const auto* e = std::get_if<T>(&effect)) out.push_back(*e);
  }
  return out;
}

}  // namespace bellstair::test
