// Reads the load report in an engine's answers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "platform/http.hpp"

namespace bellstair::platform {

// Returns the values of `fields`, in their order; none if the response has no report or any field is missing.
[[nodiscard]] std::optional<std::vector<double>> read_load_report(const HttpResponse& response,
                                                                  const std::vector<std::string>& fields);

}  // namespace bellstair::platform
