// Whether a document can be a version of the configuration.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "control/node.hpp"

namespace bellstair::app {

// How nodes name a document in errors, since they do not know its file.
inline constexpr const char* kDocumentName = "document";

// `name`: of the document in errors, which stand one a line as NAME:LINE:COLUMN: ...; `classes`: that it may
// name. None: it is valid.
[[nodiscard]] std::optional<control::InvalidDocument> check_document(const std::string& text,
                                                                     const std::string& name,
                                                                     const std::vector<std::string>& classes);

}  // namespace bellstair::app
