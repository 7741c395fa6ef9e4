#include "hcl/value.hpp"

#include <utility>

namespace bellstair::hcl {
namespace {

std::string text_of(const std::string& file, const std::vector<Problem>& problems) {
  std::string out;
  for (const auto& problem : problems) {
    if (!out.empty()) out += '\n';
    out += file + ':' + std::to_string(problem.at.line) + ':' + std::to_string(problem.at.column) + ": " +
           problem.text;
  }
  return out;
}

}  // namespace

const char* kind_of(const Value& value) {
  static constexpr const char* kNames[] = {"null",   "true or false", "a whole number", "a number",
                                           "a text", "a list",        "an object"};
  return kNames[value.is.index()];
}

Invalid::Invalid(const std::string& file, std::vector<Problem> found)
    : std::runtime_error(text_of(file, found)), problems(std::move(found)) {}

}  // namespace bellstair::hcl
