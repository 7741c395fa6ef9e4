// A broker with injected faults and one engine that serves every request.
#pragma once

#include "../net/harness.hpp"
#include "faults.hpp"

namespace bellstair::test {

struct BrokerWithEngine {
  // `row`: the body of the engine's responses.
  explicit BrokerWithEngine(const Faults& faults, std::string row = "x\ty\tz\n")
      : engine([row = std::move(row)](const Call& call) {
          return call.method == "DELETE" ? http(204) : rows(row);
        }),
        broker({{"s-00000001", engine.server.address()}}, {}, 0, json::object(), json::object(),
               faults.environment()) {}
  HttpEngine engine;
  Broker broker;
};

}  // namespace bellstair::test
