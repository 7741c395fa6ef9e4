#include "core/step_context.hpp"

namespace bellstair::core {

void StepContext::report(Violation violation, RequestId request) {
  ++counters_.violations[static_cast<std::size_t>(violation)];
  log(std::string("violation: ") + name(violation) + ", request " + std::to_string(request),
      log::Level::error);
}

}  // namespace bellstair::core
