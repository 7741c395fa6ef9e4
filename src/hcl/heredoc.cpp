#include "hcl/heredoc.hpp"

#include <algorithm>
#include <string_view>

#include "hcl/parse_state.hpp"

namespace bellstair::hcl {
namespace {

// Returns the position in the file of the character before text[offset].
Position position_in(const std::string& text, std::size_t offset, Position delimiter_at) {
  const auto end = text.begin() + static_cast<std::ptrdiff_t>(offset);
  auto at = delimiter_at;
  at.line += 1 + static_cast<std::size_t>(std::count(text.begin(), end, '\n'));
  const auto line_end = text.rfind('\n', offset);
  at.column = offset - (line_end == std::string::npos ? 0 : line_end + 1);
  return at;
}

// Calls `visit` for each line, including its line end.
template <class Visit>
void for_each_line(std::string_view text, Visit visit) {
  for (std::size_t at = 0; at < text.size();) {
    const auto end = std::min(text.find('\n', at), text.size() - 1) + 1;
    visit(text.substr(at, end - at));
    at = end;
  }
}

}  // namespace

void unescape_templates(std::string& text, Position at) {
  std::string out;
  std::size_t copied = 0;
  for (auto brace = text.find('{'); brace != std::string::npos; brace = text.find('{', brace + 1)) {
    const auto sign = brace == 0 ? '\0' : text[brace - 1];
    if (sign != '$' && sign != '%') continue;
    if (brace < 2 || text[brace - 2] != sign) {
      throw ParseFailure{{position_in(text, brace, at), std::string("templates are not supported: '") + sign +
                                                            "{' (as literal text: '" + sign + sign + "{')"}};
    }
    out.append(text, copied, brace - 1 - copied);
    copied = brace;
  }
  text = out.append(text, copied);
}

void remove_common_indent(std::string& text) {
  auto indent = std::string::npos;
  for_each_line(text,
                [&](std::string_view line) { indent = std::min(indent, line.find_first_not_of(" \t\r\n")); });
  std::string unindented;
  for_each_line(text, [&](std::string_view line) {
    line.remove_prefix(std::min({indent, line.size(), line.find_first_of("\r\n")}));
    unindented += line;
  });
  text = std::move(unindented);
}

}  // namespace bellstair::hcl
