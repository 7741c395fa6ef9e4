// Control nodes as processes, and the operator's tool before them: its statuses and what it says.
#include <gtest/gtest.h>

#include <filesystem>

#include "net/harness.hpp"

namespace bellstair::test {
namespace {

class ControlToolTest : public testing::Test {
 protected:
  ControlToolTest() {
    std::string path = (std::filesystem::temp_directory_path() / "bellstair-tool-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("no directory");
    dir = path;
    std::vector<net::Fd> bound;  // all at once, so that no port comes twice
    for (std::string* address : {&c1, &c2}) {
      bound.push_back(net::listen_tcp(net::parse_address("127.0.0.1:0").value()));
      *address = net::local_address(bound.back().get());
    }
    good = put("good.hcl", "class \"lookup\" {\n  aim = \"300ms\"\n}\n");
  }
  ~ControlToolTest() override { std::filesystem::remove_all(dir); }

  std::string put(const std::string& name, const std::string& text) const {
    std::ofstream(dir / name) << text;
    return (dir / name).string();
  }
  std::string file(const std::string& name, int epoch, const std::string& writer,
                   const std::string& classes = "classes = [\"lookup\"]") const {
    return put(name, "control {\n  fleet = \"tunis\"\n  epoch = " + std::to_string(epoch) +
                         "\n  writer = \"" + writer + "\"\n  " + classes +
                         "\n  node \"c1\" {\n    address = \"" + c1 +
                         "\"\n    store = \"c1.db\"\n  }\n  node \"c2\" {\n    address = \"" + c2 +
                         "\"\n    store = \"c2.db\"\n  }\n}\n");
  }
  static std::unique_ptr<Program> node(const std::string& operators, const std::string& name) {
    auto out = std::make_unique<Program>(std::vector<std::string>{"control", operators, "--node", name});
    out->said("control node " + name + ": listening on ");
    return out;
  }
  // Its status, and all that it printed.
  static std::pair<int, std::string> tool(const std::string& arguments) {
    const auto command = std::string(BELLSTAIR_PROGRAM) + " " + arguments + " 2>&1";
    FILE* in = ::popen(command.c_str(), "r");
    std::string out;
    char buffer[4096];
    for (std::size_t got = 0; (got = std::fread(buffer, 1, sizeof buffer, in)) > 0;) out.append(buffer, got);
    const int status = ::pclose(in);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
  }

  std::filesystem::path dir;
  std::string c1, c2, good;
};

#define EXPECT_SAYS(result, part) EXPECT_NE((result).second.find(part), std::string::npos) << (result).second

TEST_F(ControlToolTest, ADocumentIsCheckedKeptAndHandedOn) {
  const auto operators = file("ops.hcl", 1, "c1");
  const auto writer = node(operators, "c1"), follower = node(operators, "c2");
  writer->said("control node c1: writes, epoch 1");
  follower->said("control node c2: follows c1, epoch 1");

  const auto kept = tool("config publish " + good + " --file " + operators);
  EXPECT_EQ(kept.first, 0);
  EXPECT_SAYS(kept, "1.1: committed by c1 after ");
  writer->said("control node c1: version 1.1 kept");
  follower->said("control node c2: version 1.1 kept");

  const auto bad = put("bad.hcl", "class \"lokup\" {\n  aim = 3\n}\n");
  const auto mistakes = bad + ":2:9: class \"lokup\".aim: expected a duration";
  const auto refused = tool("config publish " + bad + " --file " + operators);
  EXPECT_EQ(refused.first, 1);
  EXPECT_SAYS(refused, mistakes);
  // The writer's own word, under the document's own name: this file has no classes to check by.
  const auto there = tool("config publish " + bad + " --file " + file("none.hcl", 1, "c1", ""));
  EXPECT_EQ(there.first, 1);
  EXPECT_SAYS(there, "document rejected by c1:\n");
  EXPECT_SAYS(there, mistakes);

  const auto status = tool("config status --file " + operators);
  EXPECT_EQ(status.first, 0);
  EXPECT_SAYS(status, "newest version 1.1\n");
  const auto all = json::parse(tool("config status --json --file " + operators).second);
  EXPECT_EQ(all["newest"], "1.1");
  EXPECT_EQ(all["nodes"][0]["writes"], true);
  EXPECT_EQ(all["nodes"][1]["newest"], "1.1");

  writer->signal(SIGTERM);
  EXPECT_EQ(writer->wait(), 0);
  const auto gone = tool("config publish " + good + " --file " + operators);
  EXPECT_EQ(gone.first, 4);
  EXPECT_SAYS(gone, "the leader, c1, is unreachable: Connection refused");
  EXPECT_EQ(tool("config status --file " + operators).first, 4);
}

TEST_F(ControlToolTest, ADeposedLeaderIsNotPublishedTo) {
  const auto old = file("old.hcl", 1, "c1"), now = file("now.hcl", 2, "c2");
  const auto other = node(now, "c2"), deposed = node(old, "c1");
  other->said("control node c2: writes, epoch 2");
  deposed->said("control node c1: writes, epoch 1");
  for (const std::string& command : {"config publish " + good, std::string("config status")}) {
    const auto said = tool(command + " --file " + old);
    EXPECT_EQ(said.first, 4) << command;
    EXPECT_SAYS(said, "c1 is not the leader any more: c2 reports epoch 2 with leader c2");
  }
  EXPECT_EQ(json::parse(tool("config status --json --file " + now).second)["newest"], nullptr);
  // Its file is set right, and it follows.
  std::filesystem::copy_file(now, old, std::filesystem::copy_options::overwrite_existing);
  deposed->signal(SIGHUP);
  deposed->said("control node c1: follows c2, epoch 2");
  EXPECT_EQ(tool("config publish " + good + " --file " + now).first, 0);
  deposed->said("control node c1: version 2.1 kept");
}

TEST_F(ControlToolTest, AFileWithAMistakeIsNotTakenUp) {
  const auto operators = file("ops.hcl", 1, "c1");
  const auto writer = node(operators, "c1");
  (void)file("ops.hcl", 0, "c1");
  writer->signal(SIGHUP);
  writer->said("reload failed, the node keeps its configuration: " + operators +
               ":3:11: control.epoch: 0 is out of range");
  (void)file("ops.hcl", 3, "c1");
  writer->signal(SIGHUP);
  writer->said("control node c1: writes, epoch 3");
}

TEST_F(ControlToolTest, WrongCommandLinesAreUsage) {
  for (const char* line :
       {"config", "config publsh x", "config publish", "config status", "control x", "control",
        "config publish /nowhere --file /nowhere", "config status --file /nowhere"})
    EXPECT_EQ(tool(line).first, 2) << line;
  EXPECT_EQ(tool("config publish " + good + " --wait 5 --file " + file("ops.hcl", 1, "c1")).first, 2);
  EXPECT_EQ(tool("config --help").first, 0);
  Program node({"control", file("ops.hcl", 1, "c1"), "--node", "c3"});
  node.said("ops.hcl:1:1: control: no node 'c3' is defined here");
  EXPECT_EQ(WEXITSTATUS(node.wait()), 1);
}

TEST_F(ControlToolTest, NoiseHarmsNobodyElse) {
  const auto operators = file("ops.hcl", 1, "c1");
  const auto writer = node(operators, "c1");
  std::vector<Socket> silent;
  for (int i = 0; i < 50; ++i) {
    silent.push_back(Socket::to(c1));
    auto noise = Socket::to(c1);
    noise.send(std::string(10'000, '\xee'));
    EXPECT_TRUE(noise.ended());
  }
  writer->said("a frame of 4008636142 bytes: at most 65536 are taken");
  EXPECT_EQ(tool("config publish " + good + " --file " + operators).first, 0);
}

}  // namespace
}  // namespace bellstair::test
