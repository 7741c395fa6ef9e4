#include "app/document_check.hpp"

#include "config/document.hpp"

namespace bellstair::app {

std::optional<control::InvalidDocument> check_document(const std::string& text, const std::string& name,
                                                       const std::vector<std::string>& classes) {
  try {
    (void)config::parse_document(text, name, classes);
    return std::nullopt;
  } catch (const std::exception& error) {
    return control::InvalidDocument(error.what());
  }
}

}  // namespace bellstair::app
