// The formats that other versions of the program read: each message of the control protocol, a frame of its
// streams, a broker's file of the last version, a node's database. tests/data holds them as the first version
// wrote them. Guards against a program that cannot read messages of its peers or its own older files.
#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "app/last_version.hpp"
#include "control/message.hpp"
#include "control/store.hpp"
#include "link/frame.hpp"

namespace bellstair::test {
namespace {
using namespace std::chrono_literals;
using namespace control;

const std::filesystem::path kData = std::filesystem::path(BELLSTAIR_SOURCE) / "tests" / "data";

std::string content(const std::filesystem::path& path) {
  std::ostringstream out;
  out << std::ifstream(path, std::ios::binary).rdbuf();
  return std::move(out).str();
}

Version version(std::uint64_t epoch, std::uint64_t number, const std::string& text) {
  Version out{{epoch, number}, "c1", {}, text};
  out.digest = compute_digest(out);
  return out;
}

const std::string kDocument = "tenant \"beta\" {\n  share = 0.5\n}\n";

std::vector<Message> messages() {
  const Version newest = version(3, 17, kDocument);
  Hello broker;
  broker.fleet = "schools";
  broker.name = "b7";
  broker.region = "north";
  broker.term = {3, "c1"};
  broker.current = {3, 16};
  broker.digest = newest.digest;
  Hello node = broker;
  node.role = Role::node;
  Hello tool = broker;
  tool.role = Role::tool;
  Welcome welcome;
  welcome.fleet = "schools";
  welcome.name = "c1";
  welcome.term = {3, "c1"};
  welcome.committed = {3, 17};
  NodeStatus status;
  status.node = "c1";
  status.region = "north";
  status.term = {3, "c1"};
  status.is_leader = true;
  status.committed = {3, 17};
  status.digest = newest.digest;
  status.brokers = {{"b7", "north", {3, 17}, {3, 16}, newest.digest, "line 2: no", true, 1500ms}};
  return {broker,
          node,
          tool,
          welcome,
          GoAway{"another fleet"},
          VersionUpdate{newest},
          BrokerReport{{3, 16}, newest.digest, {3, 17}, "line 2, column 3: no"},
          Ping{},
          Pong{{3, "c1"}},
          Publish{kDocument},
          Published{{3, 17}},
          PublishRejected{"line 1: no\nline 2: no"},
          StatusRequest{},
          status};
}

TEST(StoredFormats, ControlMessagesHaveRecordedBytes) {
  std::istringstream recorded(content(kData / "control_messages.jsonl"));
  for (const auto& message : messages()) {
    std::string line;
    ASSERT_TRUE(std::getline(recorded, line));
    EXPECT_EQ(encode(message), line);
    EXPECT_EQ(encode(decode(line)), line);
  }
  std::string rest;
  EXPECT_FALSE(std::getline(recorded, rest)) << rest;
}

TEST(StoredFormats, FrameHasRecordedBytes) {
  const std::string body = R"({"kind":"ping"})";
  EXPECT_EQ(link::encode_frame(body),
            std::string("\0\0\0\x0f", 4) + content(kData / "ping_frame_checksum.bin") + body);
}

TEST(StoredFormats, LastVersionFileHasRecordedBytesAndIsRead) {
  const app::LastVersionFile recorded((kData / "last_version").string(), "schools");
  const auto loaded = recorded.load();
  EXPECT_FALSE(loaded.error.has_value());
  const auto& read = loaded.version;
  ASSERT_TRUE(read.has_value());
  EXPECT_EQ(*read, version(3, 17, kDocument));
  const auto path = std::filesystem::path(testing::TempDir()) / "stored_forms_last_version";
  std::filesystem::remove(path);
  EXPECT_FALSE(app::LastVersionFile(path.string(), "schools").write(*read).has_value());
  EXPECT_EQ(content(path), content(kData / "last_version"));
  std::filesystem::remove(path);
}

TEST(StoredFormats, ReadsAndExtendsDatabaseOfFirstVersion) {
  const auto path = std::filesystem::path(testing::TempDir()) / "stored_forms_node.sqlite";
  std::filesystem::copy_file(kData / "node.sqlite", path, std::filesystem::copy_options::overwrite_existing);
  {
    Store store(path.string(), "schools");
    EXPECT_EQ(store.persisted().term, (LeaderTerm{3, "c1"}));
    ASSERT_TRUE(store.persisted().committed.has_value());
    EXPECT_EQ(*store.persisted().committed, version(3, 17, kDocument));
    EXPECT_EQ(store.version_count(), 2U);
    EXPECT_FALSE(store.persist(version(3, 18, kDocument)).has_value());
    EXPECT_FALSE(store.persist(LeaderTerm{4, "c2"}).has_value());
  }
  Store reopened(path.string(), "schools");
  EXPECT_EQ(reopened.persisted().term, (LeaderTerm{4, "c2"}));
  EXPECT_EQ(reopened.persisted().committed->id, (VersionId{3, 18}));
  std::filesystem::remove(path);
}

}  // namespace
}  // namespace bellstair::test
