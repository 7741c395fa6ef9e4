// The load report in an engine's answers.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "platform/http.hpp"

namespace bellstair::platform {

// The values of `fields`, in their order; none if the response lacks the report or any of the fields.
[[nodiscard]] std::optional<std::vector<double>> read_load_report(const HttpResponse& response,
                                                                  const std::vector<std::string>& fields);

}  // namespace bellstair::platform
