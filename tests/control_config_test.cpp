// Checks how the operator's `control` block is parsed, and the error for each kind of mistake in it.
#include <gtest/gtest.h>

#include "config/control.hpp"
#include "config/fronts.hpp"
#include "control/message.hpp"
#include "hcl/value.hpp"

namespace bellstair::config {
namespace {

const std::string kValidConfig = R"(mysql { listen = "ignored here" }
control {
  fleet   = "tunis"
  epoch   = 3
  writer  = "c1"
  classes = ["lookup", "report"]
  region  = "north"
  last    = "/var/lib/bellstair/last-version"
  node "c1" {
    address = "10.0.0.1:7101"
    region  = "north"
    store   = "c1.db"
  }
  node "c2" { address = "10.0.0.2:7101" }
}
)";

std::string errors_of(const std::string& text, const std::optional<std::string>& node = std::nullopt) {
  try {
    (void)read_control(text, "f", node);
    return "";
  } catch (const hcl::Invalid& error) {
    return error.what();
  }
}
// The valid block with `piece` replaced by `replacement`.
std::string replacing(const std::string& piece, const std::string& replacement) {
  auto text = kValidConfig;
  const auto at = text.find(piece);
  EXPECT_NE(at, std::string::npos) << piece;
  return text.replace(at, piece.size(), replacement);
}

TEST(ControlConfig, ParsesAllFields) {
  const auto control = read_control(kValidConfig, "/etc/bellstair/ops.hcl", "c1");
  EXPECT_EQ(control.fleet, "tunis");
  EXPECT_EQ(control.epoch, 3U);
  EXPECT_EQ(control.leader, "c1");
  EXPECT_EQ(control.classes, (std::vector<std::string>{"lookup", "report"}));
  EXPECT_EQ(control.region, "north");
  EXPECT_EQ(control.last, "/var/lib/bellstair/last-version");
  ASSERT_EQ(control.nodes.size(), 2U);
  EXPECT_EQ(control.nodes[0], (ControlNode{"c1", "10.0.0.1:7101", "north", "/etc/bellstair/c1.db"}));
  EXPECT_EQ(control.nodes[1], (ControlNode{"c2", "10.0.0.2:7101", "", ""}));
}

TEST(ControlConfig, ReportsEachErrorWithItsPosition) {
  const std::string long_name(control::kMaxNameBytes + 1, 'n');
  const std::pair<std::string, std::string> kCases[] = {
      {replacing("  fleet   = \"tunis\"\n", ""), "f:2:1: control.fleet: is missing"},
      {replacing("\"tunis\"", "\"\""), "f:3:13: control.fleet: is empty"},
      {replacing("\"tunis\"", "\"" + long_name + "\""), "f:3:13: control.fleet: is longer than 128 bytes"},
      {replacing("\"tunis\"", "\"a b\""), "f:3:13: control.fleet: contains a space or a control character"},
      {replacing("  epoch   = 3\n", ""), "f:2:1: control.epoch: is missing"},
      {replacing("epoch   = 3", "epoch   = 0"), "f:4:13: control.epoch: 0 is out of range: expected 1 to "},
      {replacing("epoch   = 3", "epoch   = -2"), "f:4:13: control.epoch: -2 is out of range: expected 1 to "},
      {replacing("epoch   = 3", "epoch   = 3.5"), "f:4:13: control.epoch: expected a whole number"},
      {replacing("\"c1\"\n", "\"c3\"\n"),
       "f:5:13: control.writer: no node 'c3' is defined here: did you mean 'c1'?"},
      {replacing("  writer  = \"c1\"\n", ""), "f:2:1: control.writer: is missing"},
      {replacing("\"report\"]", "\"lookup\"]"), "f:6:13: control.classes: 'lookup' is listed twice"},
      {replacing("\"report\"]", "7]"), "f:6:24: control.classes: expected a text, not a whole number"},
      {replacing("\"report\"]", "\"\"]"), "f:6:13: control.classes: '' is empty"},
      {replacing("\"north\"", "\"" + long_name + "\""), "f:7:13: control.region: is longer than 128 bytes"},
      {replacing("/last-version", "/"), "f:8:13: control.last: is not the path of a file"},
      {replacing("node \"c2\"", "node \"c1\""), "f:14:3: control.node \"c1\": is defined more than once"},
      {replacing("node \"c2\"", "node \"" + long_name + "\""),
       "f:14:3: control.node \"" + long_name + "\": its name is longer than 128 bytes"},
      {replacing("node \"c2\"", "node \"\""), "f:14:3: control.node \"\": its name is empty"},
      {replacing("node \"c2\"", "node"), "f:14:3: control.node: expected 1 labels, not 0"},
      {replacing("10.0.0.2:7101", "10.0.0.1:7101"),
       "f:14:25: control.node \"c2\".address: 10.0.0.1:7101 is also the address of node \"c1\""},
      {replacing("10.0.0.2:7101", "10.0.0.2"),
       "f:14:25: control.node \"c2\".address: is not an address with a port"},
      {replacing("10.0.0.2:7101", "10.0.0.2:0"),
       "f:14:25: control.node \"c2\".address: is not an address with a port"},
      {replacing("10.0.0.2:7101", "host:7101"),
       "f:14:25: control.node \"c2\".address: is not an address with a port"},
      {replacing("address = \"10.0.0.2:7101\"", ""), "f:14:3: control.node \"c2\".address: is missing"},
      {replacing("store ", "stroe "),
       "f:12:5: control.node \"c1\": unknown attribute 'stroe': did you mean 'store'?"},
      {replacing("region  = \"north\"\n  last", "regoin  = \"north\"\n  last"),
       "f:7:3: control: unknown attribute 'regoin': did you mean 'region'?"},
      {replacing("control {", "kontrol {"), "f:1:1: control: the block is missing"},
      {kValidConfig + "control {}\n", "f:16:1: control: is defined more than once"},
      {"control {\n  fleet = \"x\"\n  epoch = 1\n  writer = \"c1\"\n}\n", "f:1:1: control: defines no node"},
      {replacing("epoch   = 3", "epoch   = "), "f:4:"},
  };
  for (const auto& [text, expected] : kCases) {
    const auto errors = errors_of(text);
    EXPECT_EQ(errors.substr(0, expected.size()), expected) << errors;
  }
}

TEST(ControlConfig, ReportsAllErrorsTogether) {
  const auto errors =
      errors_of("control {\n  epoch = 0\n  writer = \"x\"\n  node \"a\" { address = \"y\" }\n}\n");
  for (const char* part : {"f:1:1: control.fleet: is missing", "f:2:11: control.epoch: 0 is out of range",
                           "f:3:12: control.writer: no node 'x' is defined here",
                           "f:4:24: control.node \"a\".address: is not an address with a port"})
    EXPECT_NE(errors.find(part), std::string::npos) << part << "\n--\n" << errors;
}

TEST(ControlConfig, ControlNodeNeedsStoreAndClasses) {
  EXPECT_EQ(errors_of(kValidConfig, "c1"), "");
  EXPECT_EQ(errors_of(kValidConfig, "c2"),
            "f:14:3: control.node \"c2\".store: is missing: the node needs a file to store its versions in");
  EXPECT_EQ(errors_of(kValidConfig, "c"), "f:2:1: control: no node 'c' is defined here: did you mean 'c1'?");
  const auto none = replacing("  classes = [\"lookup\", \"report\"]\n", "");
  EXPECT_EQ(errors_of(none), "");  // brokers and the tool need none
  EXPECT_EQ(errors_of(none, "c1"),
            "f:2:1: control.classes: is empty: a control node needs the classes to validate documents");
}

TEST(ControlConfig, AcceptsAtMostSixtyFourNodes) {
  std::string nodes;
  for (int i = 0; i < 64; ++i) {
    const auto number = std::to_string(i);
    nodes += "node \"n" + number + "\" { address = \"10.0.1." + number + ":1\" }\n";
  }
  const auto block = [](const std::string& inside) {
    return "control {\nfleet = \"x\"\nepoch = 1\nwriter = \"n0\"\n" + inside + "}\n";
  };
  EXPECT_EQ(errors_of(block(nodes)), "");
  EXPECT_EQ(errors_of(block(nodes + "node \"m\" { address = \"10.0.2.1:1\" }\n")),
            "f:1:1: control.node: there are more than 64");
}

TEST(ControlConfig, IsParsedWithRestOfOperatorFile) {
  const auto text = kValidConfig.substr(kValidConfig.find("control"));
  EXPECT_EQ(parse_operator_config(text, "f", {}).control.value().leader, "c1");
  EXPECT_FALSE(parse_operator_config("", "f", {}).control);
  auto newer = text;
  newer.replace(newer.find("epoch   = 3"), 11, "epoch   = 4");
  EXPECT_NE(parse_operator_config(text, "f", {}).control, parse_operator_config(newer, "f", {}).control);
  try {
    (void)parse_operator_config("hook \"x\" { script = \"a.lua\" }\ncontrol { epoch = 0 }\n", "f", {});
    FAIL();
  } catch (const hcl::Invalid& error) {
    EXPECT_NE(std::string(error.what()).find("f:2:19: control.epoch: 0 is out of range"), std::string::npos)
        << error.what();
  }
  Names names;
  EXPECT_TRUE(parse_hooks(text, "f", names, true).hooks.empty());
}

}  // namespace
}  // namespace bellstair::config
