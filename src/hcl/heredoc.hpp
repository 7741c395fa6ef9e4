// Processing of a heredoc's text after it has been parsed.
#pragma once

#include <string>

#include "hcl/value.hpp"

namespace bellstair::hcl {

// Replaces the escapes "$${" and "%%{" by "${" and "%{". Throws ParseFailure at a template. `at` is the
// position of the heredoc's delimiter, in the line before the text.
void unescape_templates(std::string& text, Position at);

// Removes from each line the leading white space that all non-blank lines have in common.
void remove_common_indent(std::string& text);

}  // namespace bellstair::hcl
