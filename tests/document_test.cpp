// Checks what documents of the configuration may contain, and the error for each kind of mistake.
#include "config/document.hpp"

#include <gtest/gtest.h>

namespace bellstair::config {
namespace {
using namespace std::chrono_literals;

const std::vector<std::string> kClasses{"lookup", "report", "load"};

Document parse(std::string_view text) { return parse_document(text, "version 3.17", kClasses); }
std::string error_of(std::string_view text) {
  try {
    (void)parse(text);
  } catch (const hcl::Invalid& error) {
    return error.what();
  }
  return "";
}

TEST(Document, HoldsOnlySettingsThatItNames) {
  const auto all = parse(R"(changelog = "127.0.0.1:9092"
class "lookup" {
  aim        = "400ms"
  give_up    = "2s"
  worth      = 1
  late_share = 0.3
}
class "load" { worth = 2.5 }
tenant "lycee-ennour" {
  share = 0.59
  quota = 60
}
tenant "lycee-amal" { share = 0 }
)");
  EXPECT_EQ(all.changelog, "127.0.0.1:9092");
  ASSERT_EQ(all.classes.size(), 2U);
  EXPECT_EQ(all.classes[0].name, "lookup");
  EXPECT_EQ(all.classes[0].at.line, 2U);
  EXPECT_EQ(all.classes[0].latency_objective, 400ms);
  EXPECT_EQ(all.classes[0].client_timeout, 2s);
  EXPECT_EQ(all.classes[0].priority_weight, 1);
  EXPECT_EQ(all.classes[0].late_weight, 0.3);
  EXPECT_EQ(all.classes[1].priority_weight, 2.5);
  EXPECT_FALSE(all.classes[1].latency_objective || all.classes[1].client_timeout ||
               all.classes[1].late_weight);
  ASSERT_TRUE(all.tenants);
  ASSERT_EQ(all.tenants->size(), 2U);
  EXPECT_EQ(all.tenants->at(0).quota_fraction, 0.59);
  EXPECT_EQ(all.tenants->at(0).quota_per_s, 60);
  EXPECT_EQ(all.tenants->at(1).quota_per_s, 0);
  const auto none = parse("# nothing\n");
  EXPECT_FALSE(none.changelog || none.tenants);
  EXPECT_TRUE(none.classes.empty());
}

TEST(Document, ReportsEachErrorWithItsPosition) {
  const std::pair<const char*, const char*> kCases[] = {
      {"changelog = \"\"", "version 3.17:1:13: changelog: is not an address with a port"},
      {"changelog = 7", "version 3.17:1:13: changelog: expected a text, not a whole number"},
      {"class \"lookup\" { aim = \"0s\" }", "class \"lookup\".aim: 0ns is out of range"},
      {"class \"lookup\" { aim = \"25h\" }", "is out of range: expected 1ns to 86400s"},
      {"class \"lookup\" { give_up = 2 }",
       "version 3.17:1:28: class \"lookup\".give_up: expected a duration"},
      {"class \"lookup\" { worth = -1 }", "class \"lookup\".worth: -1 is out of range: expected 0 to 1e+09"},
      {"class \"lookup\" { late_share = 1.5 }", "late_share: 1.5 is out of range: expected 0 to 1"},
      {"class \"lokup\" { worth = 1 }",
       "class \"lokup\": is not a class of the settings: did you mean 'lookup'?"},
      {"class \"lookup\" { wroth = 1 }", "unknown attribute 'wroth': did you mean 'worth'?"},
      {"class \"lookup\" {}\nclass \"lookup\" {}", "version 3.17:2:"},
      {"class { worth = 1 }", "expected 1 labels, not 0"},
      {"tenant \"a\" { share = -0.1 }", "tenant \"a\".share: -0.1 is out of range: expected 0 to 1e+09"},
      {"tenant \"a\" {\n  share = 1\n  quota = \"60\"\n}",
       "version 3.17:3:11: tenant \"a\".quota: expected a"},
      {"tenant \"a\" { quota = 1 }", "tenant \"a\".share: is missing"},
      {"tenant \"\" { share = 1 }", "a tenant's name has 1 to 256 bytes"},
      {"tenant \"a\\nb\" { share = 1 }", "no control characters"},
      {"tenant \"a\" { share = 1 }\ntenant \"a\" { share = 1 }", "tenant \"a\": is defined more than once"},
      {"tenannt \"a\" { share = 1 }", "version 3.17:1:1: unknown block 'tenannt': did you mean 'tenant'?"},
      {"changelog = \"${x}\"", "version 3.17:1:14: templates are not supported"},
  };
  for (const auto& [text, expected] : kCases)
    EXPECT_NE(error_of(text).find(expected), std::string::npos) << text << "\n--\n" << error_of(text);
  EXPECT_NE(error_of(std::string((1U << 20U) + 1, '\n')).find("is longer than"), std::string::npos);
}

TEST(Document, RejectsSettingsThatNeedRestart) {
  for (const char* text : {"listen = \"127.0.0.1:1\"", "peers = []", "limits { sockets = 3 }",
                           "mysql { listen = \"x\" }", "hook \"a\" { script = \"a.lua\" }", "threads = 3",
                           "semantics = \"safe\"", "name = \"b1\"", "class \"lookup\" { threads = 2 }",
                           "class \"lookup\" { semantics = \"safe\" }", "control { fleet = \"x\" }"}) {
    EXPECT_NE(error_of(text).find("needs a restart"), std::string::npos) << text << "\n--\n"
                                                                         << error_of(text);
    EXPECT_EQ(error_of(text).find("unknown"), std::string::npos) << text;
  }
}

TEST(Document, ReportsAllErrorsTogether) {
  try {
    (void)parse("listen = \"x\"\nclass \"nope\" { aim = 1 }\ntenant \"a\" {}\n");
    FAIL();
  } catch (const hcl::Invalid& error) {
    EXPECT_EQ(error.problems.size(), 4U) << error.what();
  }
}

}  // namespace
}  // namespace bellstair::config
