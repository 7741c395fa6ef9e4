// Runs control nodes as processes, and checks the exit status and output of the operator's tool against them.
#include <gtest/gtest.h>

#include <filesystem>

#include "net/harness.hpp"

namespace bellstair::test {
namespace {

class ControlToolTest : public testing::Test {
 protected:
  ControlToolTest() {
    std::string path = (std::filesystem::temp_directory_path() / "bellstair-tool-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) throw std::runtime_error("cannot create a temporary directory");
    dir = path;
    std::vector<net::Fd> bound;  // all bound at once, so that no port is chosen twice
    for (std::string* address : {&c1, &c2}) {
      bound.push_back(net::listen_tcp(net::parse_address("127.0.0.1:0").value()));
      *address = net::local_address(bound.back().get());
    }
    document = write("good.hcl", "class \"lookup\" {\n  aim = \"300ms\"\n}\n");
  }
  ~ControlToolTest() override { std::filesystem::remove_all(dir); }

  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(dir / name) << text;
    return (dir / name).string();
  }
  std::string write_operators_file(const std::string& name, int epoch, const std::string& leader,
                                   const std::string& classes = "classes = [\"lookup\"]") const {
    return write(name, "control {\n  fleet = \"tunis\"\n  epoch = " + std::to_string(epoch) +
                           "\n  writer = \"" + leader + "\"\n  " + classes +
                           "\n  node \"c1\" {\n    address = \"" + c1 +
                           "\"\n    store = \"c1.db\"\n  }\n  node \"c2\" {\n    address = \"" + c2 +
                           "\"\n    store = \"c2.db\"\n  }\n}\n");
  }
  static std::unique_ptr<Program> start_node(const std::string& operators_file, const std::string& name) {
    auto out = std::make_unique<Program>(std::vector<std::string>{"control", operators_file, "--node", name});
    out->wait_for_log("control node " + name + ": listening on ");
    return out;
  }
  // Runs the tool; returns its exit status and all that it printed.
  static std::pair<int, std::string> run_tool(const std::string& arguments) {
    const auto command = std::string(BELLSTAIR_PROGRAM) + " " + arguments + " 2>&1";
    FILE* in = ::popen(command.c_str(), "r");
    std::string out;
    char buffer[4096];
    for (std::size_t got = 0; (got = std::fread(buffer, 1, sizeof buffer, in)) > 0;) out.append(buffer, got);
    const int status = ::pclose(in);
    return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, out};
  }

  std::filesystem::path dir;
  std::string c1, c2, document;
};

#define EXPECT_HAS(result, part) EXPECT_NE((result).second.find(part), std::string::npos) << (result).second

TEST_F(ControlToolTest, PublishValidatesCommitsAndReplicatesDocument) {
  const auto operators_file = write_operators_file("ops.hcl", 1, "c1");
  const auto leader = start_node(operators_file, "c1"), follower = start_node(operators_file, "c2");
  leader->wait_for_log("control node c1: is the leader, epoch 1");
  follower->wait_for_log("control node c2: follows c1, epoch 1");

  const auto committed = run_tool("config publish " + document + " --file " + operators_file);
  EXPECT_EQ(committed.first, 0);
  EXPECT_HAS(committed, "1.1: committed by c1 after ");
  leader->wait_for_log("control node c1: version 1.1 committed");
  follower->wait_for_log("control node c2: version 1.1 committed");

  const auto bad = write("bad.hcl", "class \"lokup\" {\n  aim = 3\n}\n");
  const auto errors = bad + ":2:9: class \"lokup\".aim: expected a duration";
  const auto rejected = run_tool("config publish " + bad + " --file " + operators_file);
  EXPECT_EQ(rejected.first, 1);
  EXPECT_HAS(rejected, errors);
  // This operator's file has no classes, so the leader validates the document; its errors name the
  // document's file.
  const auto by_leader =
      run_tool("config publish " + bad + " --file " + write_operators_file("none.hcl", 1, "c1", ""));
  EXPECT_EQ(by_leader.first, 1);
  EXPECT_HAS(by_leader, "document rejected by c1:\n");
  EXPECT_HAS(by_leader, errors);

  const auto status = run_tool("config status --file " + operators_file);
  EXPECT_EQ(status.first, 0);
  EXPECT_HAS(status, "newest version 1.1\n");
  const auto all = json::parse(run_tool("config status --json --file " + operators_file).second);
  EXPECT_EQ(all["newest"], "1.1");
  EXPECT_EQ(all["nodes"][0]["writes"], true);
  EXPECT_EQ(all["nodes"][1]["newest"], "1.1");

  leader->signal(SIGTERM);
  EXPECT_EQ(leader->wait(), 0);
  const auto without_leader = run_tool("config publish " + document + " --file " + operators_file);
  EXPECT_EQ(without_leader.first, 4);
  EXPECT_HAS(without_leader, "the leader, c1, is unreachable: Connection refused");
  EXPECT_EQ(run_tool("config status --file " + operators_file).first, 4);
}

TEST_F(ControlToolTest, PublishAndStatusFailAtDeposedLeader) {
  const auto old_file = write_operators_file("old.hcl", 1, "c1"),
             new_file = write_operators_file("now.hcl", 2, "c2");
  const auto leader = start_node(new_file, "c2"), deposed = start_node(old_file, "c1");
  leader->wait_for_log("control node c2: is the leader, epoch 2");
  deposed->wait_for_log("control node c1: is the leader, epoch 1");
  for (const std::string& command : {"config publish " + document, std::string("config status")}) {
    const auto result = run_tool(command + " --file " + old_file);
    EXPECT_EQ(result.first, 4) << command;
    EXPECT_HAS(result, "c1 is not the leader any more: c2 reports epoch 2 with leader c2");
  }
  EXPECT_EQ(json::parse(run_tool("config status --json --file " + new_file).second)["newest"], nullptr);
  // With a corrected operator's file the deposed leader becomes a follower.
  std::filesystem::copy_file(new_file, old_file, std::filesystem::copy_options::overwrite_existing);
  deposed->signal(SIGHUP);
  deposed->wait_for_log("control node c1: follows c2, epoch 2");
  EXPECT_EQ(run_tool("config publish " + document + " --file " + new_file).first, 0);
  deposed->wait_for_log("control node c1: version 2.1 committed");
}

TEST_F(ControlToolTest, InvalidOperatorFileIsNotReloaded) {
  const auto operators_file = write_operators_file("ops.hcl", 1, "c1");
  const auto leader = start_node(operators_file, "c1");
  (void)write_operators_file("ops.hcl", 0, "c1");
  leader->signal(SIGHUP);
  leader->wait_for_log("reload failed, the node keeps its configuration: " + operators_file +
                       ":3:11: control.epoch: 0 is out of range");
  (void)write_operators_file("ops.hcl", 3, "c1");
  leader->signal(SIGHUP);
  leader->wait_for_log("control node c1: is the leader, epoch 3");
}

TEST_F(ControlToolTest, InvalidCommandLineExitsWithUsageStatus) {
  for (const char* line :
       {"config", "config publsh x", "config publish", "config status", "control x", "control",
        "config publish /nowhere --file /nowhere", "config status --file /nowhere"})
    EXPECT_EQ(run_tool(line).first, 2) << line;
  EXPECT_EQ(
      run_tool("config publish " + document + " --wait 5 --file " + write_operators_file("ops.hcl", 1, "c1"))
          .first,
      2);
  EXPECT_EQ(run_tool("config --help").first, 0);
  Program node({"control", write_operators_file("ops.hcl", 1, "c1"), "--node", "c3"});
  node.wait_for_log("ops.hcl:1:1: control: no node 'c3' is defined here");
  EXPECT_EQ(WEXITSTATUS(node.wait()), 1);
}

TEST_F(ControlToolTest, PublishSucceedsDespiteInvalidConnections) {
  const auto operators_file = write_operators_file("ops.hcl", 1, "c1");
  const auto leader = start_node(operators_file, "c1");
  std::vector<Socket> silent;
  for (int i = 0; i < 50; ++i) {
    silent.push_back(Socket::to(c1));
    auto invalid = Socket::to(c1);
    invalid.send(std::string(10'000, '\xee'));
    EXPECT_TRUE(invalid.ended());
  }
  leader->wait_for_log("a frame of 4008636142 bytes is too long: the limit is 65536 bytes");
  EXPECT_EQ(run_tool("config publish " + document + " --file " + operators_file).first, 0);
}

}  // namespace
}  // namespace bellstair::test
