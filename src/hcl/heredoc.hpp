// What is done with the lines of a heredoc after they are read.
#pragma once

#include <string>

#include "hcl/value.hpp"

namespace bellstair::hcl {

// Replaces the escapes "$${" and "%%{" by "${" and "%{". Throws ParseFailure at a template. `at`: where the
// heredoc's delimiter stands, in the line before the text.
void unescape_templates(std::string& text, Position at);

// Removes from each line the white space that all lines which are not blank begin with.
void remove_common_indent(std::string& text);

}  // namespace bellstair::hcl
