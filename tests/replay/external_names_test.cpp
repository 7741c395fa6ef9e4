// Compares the list of names that leave the process with the recorded messages of the control protocol, so
// that neither a field is missing in the list nor a name of the list in the messages.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>

namespace bellstair::test {
namespace {
using nlohmann::json;
using Names = std::set<std::string>;

const std::filesystem::path kSource = BELLSTAIR_SOURCE;

/// The names of one section of the list: the first words of its indented lines.
Names listed_names(const std::string& title) {
  std::ifstream list(kSource / "docs" / "EXTERNAL-NAMES.md");
  Names names;
  bool in_section = false;
  for (std::string line; std::getline(list, line);) {
    if (line.starts_with(title)) {
      in_section = true;
    } else if (line.starts_with("    ") && in_section) {
      std::string name;
      std::istringstream(line) >> name;
      names.insert(name);
    } else if (!line.empty() && line != "-") {
      in_section = false;
    }
  }
  return names;
}

/// Adds the names of all fields, and the values that are words of the protocol.
void collect_names(const json& value, Names& names) {
  for (const auto& [field, content] : value.items()) {
    if (value.is_object()) names.insert(field);
    if (field == "kind" || field == "role") names.insert(content.get<std::string>());
    if (content.is_structured()) collect_names(content, names);
  }
}

TEST(ExternalNames, ListHoldsExactlyTheNamesOfTheControlMessages) {
  std::ifstream messages(kSource / "tests" / "data" / "control_messages.jsonl");
  Names recorded;
  for (std::string line; std::getline(messages, line);) collect_names(json::parse(line), recorded);
  ASSERT_FALSE(recorded.empty());
  EXPECT_EQ(listed_names("control protocol"), recorded);
}

}  // namespace
}  // namespace bellstair::test
