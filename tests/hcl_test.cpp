// Tests the HCL parser, its error messages, and the operator's file.
#include <gtest/gtest.h>

#include "config/fronts.hpp"
#include "hcl/parse.hpp"
#include "hcl/reader.hpp"

namespace bellstair::hcl {
namespace {
using namespace std::chrono_literals;

std::string problem(const std::string& text) {
  try {
    (void)parse(text, "f");
    return "";
  } catch (const Invalid& error) {
    return error.what();
  }
}

TEST(Hcl, ReadsAttributesBlocksAndValues) {
  const auto body = parse(R"(# a comment
a = 1 // another
b = [1, -2.5, "x\t\u00e9\ud83d\ude00", [true, null], /* one
more */ "z", ]
o = { k = 1, "two words": "w"
  n = [] }
hook "tag" other {
  script = <<-EOT
    function f()
      return "$${x}"
    end
  EOT
  one { t = "$${a}" }
  empty {}
})",
                          "f");
  ASSERT_EQ(body.attributes.size(), 3U);
  EXPECT_EQ(*body.attributes[0].value.as<std::int64_t>(), 1);
  const auto& list = *body.attributes[1].value.as<std::vector<Value>>();
  ASSERT_EQ(list.size(), 5U);
  EXPECT_EQ(*list[1].as<double>(), -2.5);
  EXPECT_EQ(*list[2].as<std::string>(), "x\té😀");
  EXPECT_EQ(list[4].at.line, 4U);
  EXPECT_EQ(list[4].at.column, 9U);
  const auto& object = *body.attributes[2].value.as<std::vector<Member>>();
  EXPECT_EQ(object[1].name, "two words");
  ASSERT_EQ(body.blocks.size(), 1U);
  EXPECT_EQ(body.blocks[0].labels, (std::vector<std::string>{"tag", "other"}));
  EXPECT_EQ(*body.blocks[0].body.attributes[0].value.as<std::string>(),
            "function f()\n  return \"${x}\"\nend\n");
  EXPECT_EQ(*body.blocks[0].body.blocks[0].body.attributes[0].value.as<std::string>(), "${a}");
}

TEST(Hcl, ReportsThePositionOfAnErrorAndWhatWasExpected) {
  const std::pair<const char*, const char*> kErrors[] = {
      {"a = \"${x}\"", "f:1:6: templates are not supported: '${'"},
      {"\n  a = var.x", "f:2:7: references are not supported: 'var.x'"},
      {"a = file(\"x\")", "f:1:5: functions are not supported: 'file(...)'"},
      {"a = 1 + 2", "f:1:7: operators are not supported: '+'"},
      {"a = [for x in y : x]", "f:1:5: 'for' expressions are not supported"},
      {"a = <<EOT\nx\n ${y}\nEOT\n", "f:3:2: templates are not supported: '${'"},
      {"a = 2ms", "f:1:6: a number is followed by letters"},
      {"a = [1 2]", "f:1:8: expected ',' or ']'"},
      {"a = \"x", "f:1:7: the text does not end in its line"},
      {"a = \"\\q\"", "f:1:7: unknown escape"},
      {"a = \"\\ud800\"", "f:1:7: the escape is not a Unicode code point"},
      {"a", "f:1:2: expected '=' or a block after the name"},
      {"a = 1 b = 2", "f:1:7: expected the end of the line"},
      {"b \"x\" = 3", "f:1:7: expected a label or '{'"},
      {"b {\n", "f:2:1: expected a name or '}'"},
      {"a = <<EOT\nx\n", "f:2:1: the heredoc does not end"},
      {"/* x", "f:1:5: the comment does not end"},
      {"a = 1\na = 2", "f:2:1: the attribute 'a' is defined more than once; first in line 1"},
      {"a = 99999999999999999999", "f:1:5: the number is out of range"},
      {"{\"a\": 1} x", "f:1:10: expected"},
      {"}", "f:1:1: expected the name of an attribute or block"},
  };
  for (const auto& [text, message] : kErrors)
    EXPECT_EQ(problem(text).substr(0, std::string(message).size()), message) << text;
}

TEST(Hcl, RejectsTooMuchDepthOrLength) {
  EXPECT_NE(problem("a = " + std::string(100000, '[')).find("nested more than 32 deep"), std::string::npos);
  std::string blocks;
  for (int i = 0; i < 50000; ++i) blocks += "b {\n";
  EXPECT_NE(problem(blocks).find("nested more than 32 deep"), std::string::npos);
  EXPECT_NE(problem(std::string(kMaxText + 1, '\n')).find("is longer than"), std::string::npos);
}

TEST(Hcl, ParsesDurationsAndSizesWithUnits) {
  EXPECT_EQ(parse_duration("1m30s"), 90s);
  EXPECT_EQ(parse_duration("1.5ms"), 1500us);
  EXPECT_EQ(parse_size("64KB"), 65536U);
  EXPECT_EQ(parse_size("1.5MiB"), 1572864U);
  for (const char* invalid : {"", "5", "ms", "5 ms", "-1s", "1s1m", "1e3s", "1msx", "infs"})
    EXPECT_FALSE(parse_duration(invalid)) << invalid;
  for (const char* invalid : {"", "5", "1KB1B", "1kb"}) EXPECT_FALSE(parse_size(invalid)) << invalid;
}

config::Names names() {
  config::Names out;
  out.classes = {{"lookup", 0}, {"report", 1}};
  out.class_names = {"lookup", "report"};
  out.tenants = {{"lycee-ennour", 0}};
  return out;
}

// All errors of a file are reported together, each with its position.
TEST(OperatorConfig, ReportsAllErrorsOfAFile) {
  const std::string text = R"(hooks { share = 2 }
hook "a b" {
  script = "x.lua"
  tiem   = "2ms"
  time   = "2"
  phases = ["request", "answers"]
  match { tenant = "lycee-enour" }
}
hock "c" { script = "y.lua" }
)";
  try {
    (void)config::parse_operator_config(text, "f", names());
    FAIL();
  } catch (const Invalid& error) {
    const std::string message = error.what();
    for (const char* part :
         {"f:1:17: hooks.share: 2 is out of range: expected 0.01 to 0.9",
          "f:2:1: hook \"a b\": a hook's name has",
          "f:4:3: hook \"a b\": unknown attribute 'tiem': did you mean 'time'?",
          "f:5:12: hook \"a b\".time: expected a duration",
          "f:6:12: hook \"a b\".phases: 'answers' is not a phase",
          "f:7:20: hook \"a b\".match.tenant: 'lycee-enour' is not a tenant of the settings: "
          "did you mean 'lycee-ennour'?",
          "f:9:1: unknown block 'hock': did you mean 'hook'?"})
      EXPECT_NE(message.find(part), std::string::npos) << part << "\n--\n" << message;
    EXPECT_EQ(error.problems.size(), 7U);
  }
}

TEST(OperatorConfig, ReadsFilesOfTheOlderForm) {
  ::setenv("TEST_SECRET", "secret", 1);
  const auto fronts = config::parse_operator_config(
      R"({"mysql": {"listen": "127.0.0.1:0", "users": [{"name": "amina", "password_env": "TEST_SECRET", "tenant": "lycee-ennour"}]},
          "directory": {"address": "127.0.0.1:1", "base": "o=x", "timeout_ms": 1500},
          "plugin": {"script": "x.lua", "time_ms": 3, "memory_kb": 256}})",
      "f", names());
  EXPECT_EQ(fronts.mysql.value().users.at(0).name, "amina");
  EXPECT_EQ(fronts.directory.value().timeout, 1500ms);
  ASSERT_EQ(fronts.hooks.hooks.size(), 1U);
  EXPECT_EQ(fronts.hooks.hooks[0].cpu_limit, 3ms);
  EXPECT_EQ(fronts.hooks.hooks[0].memory_limit, 256U * 1024);
}

}  // namespace
}  // namespace bellstair::hcl
