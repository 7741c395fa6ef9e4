#include "hcl/value.hpp"

#include <array>
#include <utility>

namespace bellstair::hcl {
namespace {

// Indexed by the type of Value::content.
constexpr std::array<const char*, 7> kKindNames{"null",   "true or false", "a whole number", "a number",
                                                "a text", "a list",        "an object"};

std::string format_problems(const std::string& file, const std::vector<Problem>& problems) {
  std::string out;
  for (const auto& problem : problems) {
    if (!out.empty()) out += '\n';
    out += file + ':' + std::to_string(problem.at.line) + ':' + std::to_string(problem.at.column) + ": " +
           problem.text;
  }
  return out;
}

}  // namespace

const char* kind_of(const Value& value) { return kKindNames[value.content.index()]; }

Invalid::Invalid(const std::string& file, std::vector<Problem> found)
    : std::runtime_error(format_problems(file, found)), problems(std::move(found)) {}

}  // namespace bellstair::hcl
