// A broker's stream to a control node, on a loop, and the file of the last version.
#include "app/control_client.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <sstream>

#include "control/message.hpp"
#include "link/channel_manager.hpp"

namespace bellstair::app {
namespace {
using namespace std::chrono_literals;
namespace fs = std::filesystem;

control::Version version(std::uint64_t number, const std::string& text) {
  control::Version out{{1, number}, "c1", "", text};
  out.digest = control::compute_digest(out);
  return out;
}

class ControlClientTest : public testing::Test {
 protected:
  ControlClientTest() {
    dir = fs::temp_directory_path() / ("bellstair-client-" + std::to_string(::getpid()));
    fs::remove_all(dir);
    fs::create_directories(dir);
    last = (dir / "last").string();
    // Stands in for a node: it welcomes whoever says Hello, and offers `newest`.
    node = std::make_unique<link::ChannelManager>(
        loop,
        link::Limits{control::kMaxMessageBytes, control::kMaxMessageBytes, 2 * control::kMaxMessageBytes}, 16,
        link::ChannelManager::Handlers{
            .on_accepted = [this](link::ChannelId id) { broker = id; },
            .on_connected = [](link::ChannelId) {},
            .on_message = [this](link::ChannelId id, std::string_view body) { heard(id, body); },
            .on_drained = [](link::ChannelId) {},
            .on_closed = [](link::ChannelId, const link::ChannelError&, const std::string&) {}});
    auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
    address = net::local_address(fd.get());
    node->listen(std::move(fd));
  }
  ~ControlClientTest() override { fs::remove_all(dir); }

  void heard(link::ChannelId id, std::string_view body) {
    const auto message = control::decode(body);
    if (const auto* said = std::get_if<control::Hello>(&message)) {
      hello = *said;
      node->send(id, control::encode(
                         control::Welcome{control::kProtocolVersion, "tunis", "c1", {1, "c1"}, newest.id}));
      if (newest.id > said->current) node->send(id, control::encode(control::VersionUpdate{newest}));
    }
    if (const auto* report = std::get_if<control::BrokerReport>(&message)) reports.push_back(*report);
  }
  std::unique_ptr<ControlClient> make(const std::string& fleet = "tunis", const std::string& at = "") {
    config::Control config;
    config.fleet = fleet;
    config.epoch = 1;
    config.leader = "c1";
    config.last = at.empty() ? last : at;
    config.nodes = {{"c1", address, "north", ""}};
    offered.clear();
    auto out = std::make_unique<ControlClient>(loop, config, "b1", 1, [this](const control::Version& got) {
      offered.push_back(got);
      client->report_apply_result(got, problem);
    });
    return out;
  }
  void start(const std::string& fleet = "tunis", const std::string& at = "") {
    client = make(fleet, at);
    client->start();
  }
  void until(const std::function<bool()>& so, const char* what) {
    const auto from = std::chrono::steady_clock::now();
    ev::timer turn(loop);
    turn.set<ControlClientTest, &ControlClientTest::on_turn>(this);
    turn.start(0, 0.005);
    for (;;) {
      client->tick({});
      client->settle();
      node->settle();
      if (so()) return;
      ASSERT_LT(std::chrono::steady_clock::now() - from, 20s) << what;
      loop.run(ev::ONCE);
    }
  }
  void on_turn(ev::timer&, int) {}
  [[nodiscard]] std::string content() const {
    std::ostringstream out;
    out << std::ifstream(last, std::ios::binary).rdbuf();
    return out.str();
  }
  void put(const std::string& text) const { std::ofstream(last, std::ios::binary) << text; }

  ev::dynamic_loop loop;
  fs::path dir;
  std::string last, address, problem;
  std::unique_ptr<link::ChannelManager> node;
  link::ChannelId broker = 0;
  control::Version newest;
  std::optional<control::Hello> hello;
  std::vector<control::BrokerReport> reports;
  std::vector<control::Version> offered;
  std::unique_ptr<ControlClient> client;
};

TEST_F(ControlClientTest, AVersionComesIntoForceIsReportedAndKept) {
  newest = version(1, "changelog = \"127.0.0.1:1\"\n");
  start();
  until([&] { return reports.size() == 1; }, "a report");
  until([&] { return client->persisted() == newest.id; }, "its file");
  ASSERT_EQ(offered.size(), 1U);
  EXPECT_EQ(offered[0], newest);
  EXPECT_EQ(reports[0].active_version, newest.id);
  EXPECT_EQ(reports[0].digest, newest.digest);
  EXPECT_FALSE(fs::exists(last + ".new"));
  // Without any node, the next process begins with it.
  node->close(broker);
  address = "127.0.0.1:1";
  start();
  client->settle();
  ASSERT_EQ(offered.size(), 1U);
  EXPECT_EQ(offered[0], newest);
}

TEST_F(ControlClientTest, ARefusedVersionIsReportedAndNotKept) {
  newest = version(1, "x");
  problem = "version 1.1:1:1: no";
  start();
  until([&] { return reports.size() == 1; }, "a report");
  EXPECT_EQ(reports[0].active_version, control::VersionId{});
  EXPECT_EQ(reports[0].rejected_version, newest.id);
  EXPECT_EQ(reports[0].reason, problem);
  EXPECT_FALSE(fs::exists(last));
}

TEST_F(ControlClientTest, ADamagedFileIsPutAsideAndNotUsed) {
  newest = version(1, "changelog = \"127.0.0.1:1\"\n");
  start();
  until([&] { return reports.size() == 1; }, "a report");
  until([&] { return client->persisted() == newest.id; }, "its file");
  client->stop();
  const auto whole = content();
  std::vector<std::string> damaged{
      "", "\n", "\n\n", whole.substr(0, whole.size() / 2), whole + "x", std::string(5 << 20, 'x')};
  for (std::size_t i = 0; i < whole.size(); ++i) {
    damaged.push_back(whole);
    damaged.back()[i] = static_cast<char>(whole[i] ^ 1);
  }
  for (const auto& text : damaged) {
    put(text);
    testing::internal::CaptureStderr();
    client = make();
    const auto said = testing::internal::GetCapturedStderr();
    EXPECT_NE(said.find("control: " + last + " is damaged or of another fleet, and was renamed to " + last +
                        ".damaged"),
              std::string::npos)
        << said;
    EXPECT_FALSE(fs::exists(last));
    EXPECT_EQ(fs::file_size(last + ".damaged"), text.size());
    client->start();
    client->settle();
    EXPECT_TRUE(offered.empty());
  }
  // That of another fleet is none of this one's.
  put(whole);
  start("sousse");
  client->settle();
  EXPECT_TRUE(offered.empty());
  EXPECT_FALSE(fs::exists(last));
  // And whole it is used.
  put(whole);
  start();
  client->settle();
  EXPECT_EQ(offered.size(), 1U);
}

TEST_F(ControlClientTest, WhereTheFileCantBeWrittenTheVersionIsInForceAllTheSame) {
  newest = version(1, "x");
  testing::internal::CaptureStderr();
  start("tunis", (dir / "no" / "such" / "last").string());
  until([&] { return reports.size() == 1; }, "a report");
  until([&] { return client->unpersisted() == newest.id; }, "word that it is not kept");
  const auto said = testing::internal::GetCapturedStderr();
  EXPECT_NE(said.find("control: version 1.1 is not persisted for a restart: "), std::string::npos) << said;
  EXPECT_NE(said.find("control: version 1.1 in force"), std::string::npos) << said;
  EXPECT_EQ(reports[0].active_version, newest.id);
}

// What a broker that ends in the middle of a write leaves beside it is in nobody's way.
TEST_F(ControlClientTest, AHalfWrittenFileBesideItDoesNoHarm) {
  newest = version(2, "x");
  std::ofstream(last + ".new") << "half";
  start();
  until([&] { return reports.size() == 1; }, "a report");
  until([&] { return client->persisted() == newest.id; }, "its file");
  EXPECT_FALSE(fs::exists(last + ".new"));
  start();
  client->settle();
  EXPECT_EQ(offered.size(), 1U);
}

TEST_F(ControlClientTest, ABrokenStreamIsDialledAnewWithWhatIsInForce) {
  newest = version(1, "x");
  start();
  until([&] { return reports.size() == 1; }, "a report");
  hello.reset();
  newest = version(2, "y");
  node->close(broker);
  until([&] { return reports.size() == 2; }, "a second report");
  EXPECT_EQ(hello.value().current, (control::VersionId{1, 1}));
  EXPECT_EQ(reports[1].active_version, newest.id);
  // A node that speaks noise is left too.
  hello.reset();
  node->send(broker, "no message");
  until([&] { return hello.has_value(); }, "a third Hello");
  EXPECT_EQ(hello.value().current, newest.id);
}

TEST_F(ControlClientTest, StoppedItDialsNobody) {
  start();
  until([&] { return hello.has_value(); }, "a Hello");
  client->stop();
  hello.reset();
  for (int i = 0; i < 50; ++i) {
    client->tick({});
    client->settle();
    node->settle();
    loop.run(ev::NOWAIT);
  }
  EXPECT_FALSE(hello.has_value());
}

}  // namespace
}  // namespace bellstair::app
