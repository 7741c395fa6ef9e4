// Checks whether a document is valid as a version of the configuration.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/node.hpp"

namespace bellstair::app {

// The name of a document in errors of control nodes, which do not receive its file name.
inline constexpr const char* kDocumentName = "document";

// Returns the errors, one per line as NAME:LINE:COLUMN: ...; none: the document is valid. `name`: of the
// document in errors; `classes`: that the document may name.
[[nodiscard]] std::optional<control::InvalidDocument> check_document(const std::string& text,
                                                                     const std::string& name,
                                                                     const std::vector<std::string>& classes);

}  // namespace bellstair::app
