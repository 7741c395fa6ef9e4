// Checks app::ControlClient on an event loop: a broker's connection to a control node and its file of the
// last version.
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
    last_file = (dir / "last").string();
    // A fake control node: answers each Hello with a Welcome and sends `newest`.
    node = std::make_unique<link::ChannelManager>(
        loop,
        link::Limits{control::kMaxMessageBytes, control::kMaxMessageBytes, 2 * control::kMaxMessageBytes}, 16,
        link::ChannelManager::Handlers{
            .on_accepted = [this](link::ChannelId id) { broker = id; },
            .on_connected = [](link::ChannelId) {},
            .on_message = [this](link::ChannelId id, std::string_view body) { on_message(id, body); },
            .on_drained = [](link::ChannelId) {},
            .on_closed = [](link::ChannelId, const link::ChannelError&, const std::string&) {}});
    auto fd = net::listen_tcp(net::parse_address("127.0.0.1:0").value());
    address = net::local_address(fd.get());
    node->listen(std::move(fd));
  }
  ~ControlClientTest() override { fs::remove_all(dir); }

  void on_message(link::ChannelId id, std::string_view body) {
    const auto message = control::decode(body);
    if (const auto* received = std::get_if<control::Hello>(&message)) {
      hello = *received;
      node->send(id, control::encode(
                         control::Welcome{control::kProtocolVersion, "tunis", "c1", {1, "c1"}, newest.id}));
      if (newest.id > received->current) node->send(id, control::encode(control::VersionUpdate{newest}));
    }
    if (const auto* report = std::get_if<control::BrokerReport>(&message)) reports.push_back(*report);
  }
  std::unique_ptr<ControlClient> make(const std::string& fleet = "tunis", const std::string& path = "") {
    config::Control config;
    config.fleet = fleet;
    config.epoch = 1;
    config.leader = "c1";
    config.last = path.empty() ? last_file : path;
    config.nodes = {{"c1", address, "north", ""}};
    received_versions.clear();
    auto out = std::make_unique<ControlClient>(
        loop, config, "b1", 1, [this](const control::Version& offered_version) {
          received_versions.push_back(offered_version);
          client->report_apply_result(offered_version, rejection_reason);
        });
    return out;
  }
  void start(const std::string& fleet = "tunis", const std::string& path = "") {
    client = make(fleet, path);
    client->start();
  }
  void await(const std::function<bool()>& condition, const char* what) {
    const auto started_at = std::chrono::steady_clock::now();
    ev::timer timer(loop);
    timer.set<ControlClientTest, &ControlClientTest::on_timer>(this);
    timer.start(0, 0.005);
    for (;;) {
      client->tick({});
      client->settle();
      node->settle();
      if (condition()) return;
      ASSERT_LT(std::chrono::steady_clock::now() - started_at, 20s) << what;
      loop.run(ev::ONCE);
    }
  }
  void on_timer(ev::timer&, int) {}
  [[nodiscard]] std::string file_content() const {
    std::ostringstream out;
    out << std::ifstream(last_file, std::ios::binary).rdbuf();
    return out.str();
  }
  void write_file(const std::string& text) const { std::ofstream(last_file, std::ios::binary) << text; }

  ev::dynamic_loop loop;
  fs::path dir;
  std::string last_file, address, rejection_reason;
  std::unique_ptr<link::ChannelManager> node;
  link::ChannelId broker = 0;
  control::Version newest;
  std::optional<control::Hello> hello;
  std::vector<control::BrokerReport> reports;
  std::vector<control::Version> received_versions;
  std::unique_ptr<ControlClient> client;
};

TEST_F(ControlClientTest, AppliesReportsAndPersistsVersion) {
  newest = version(1, "changelog = \"127.0.0.1:1\"\n");
  start();
  await([&] { return reports.size() == 1; }, "a report");
  await([&] { return client->persisted() == newest.id; }, "the write of the file");
  ASSERT_EQ(received_versions.size(), 1U);
  EXPECT_EQ(received_versions[0], newest);
  EXPECT_EQ(reports[0].active_version, newest.id);
  EXPECT_EQ(reports[0].digest, newest.digest);
  EXPECT_FALSE(fs::exists(last_file + ".new"));
  // A restarted client applies the persisted version although no node is reachable.
  node->close(broker);
  address = "127.0.0.1:1";
  start();
  client->settle();
  ASSERT_EQ(received_versions.size(), 1U);
  EXPECT_EQ(received_versions[0], newest);
}

TEST_F(ControlClientTest, ReportsRejectedVersionAndDoesNotPersistIt) {
  newest = version(1, "x");
  rejection_reason = "version 1.1:1:1: no";
  start();
  await([&] { return reports.size() == 1; }, "a report");
  EXPECT_EQ(reports[0].active_version, control::VersionId{});
  EXPECT_EQ(reports[0].rejected_version, newest.id);
  EXPECT_EQ(reports[0].reason, rejection_reason);
  EXPECT_FALSE(fs::exists(last_file));
}

TEST_F(ControlClientTest, RenamesDamagedFileAndDoesNotUseIt) {
  newest = version(1, "changelog = \"127.0.0.1:1\"\n");
  start();
  await([&] { return reports.size() == 1; }, "a report");
  await([&] { return client->persisted() == newest.id; }, "the write of the file");
  client->stop();
  const auto intact = file_content();
  std::vector<std::string> damaged{
      "", "\n", "\n\n", intact.substr(0, intact.size() / 2), intact + "x", std::string(5 << 20, 'x')};
  for (std::size_t i = 0; i < intact.size(); ++i) {
    damaged.push_back(intact);
    damaged.back()[i] = static_cast<char>(intact[i] ^ 1);
  }
  for (const auto& text : damaged) {
    write_file(text);
    testing::internal::CaptureStderr();
    client = make();
    const auto log = testing::internal::GetCapturedStderr();
    EXPECT_NE(log.find("control: " + last_file + " is damaged or of another fleet, and was renamed to " +
                       last_file + ".damaged"),
              std::string::npos)
        << log;
    EXPECT_FALSE(fs::exists(last_file));
    EXPECT_EQ(fs::file_size(last_file + ".damaged"), text.size());
    client->start();
    client->settle();
    EXPECT_TRUE(received_versions.empty());
  }
  // A file of another fleet is not used.
  write_file(intact);
  start("sousse");
  client->settle();
  EXPECT_TRUE(received_versions.empty());
  EXPECT_FALSE(fs::exists(last_file));
  // An intact file is used.
  write_file(intact);
  start();
  client->settle();
  EXPECT_EQ(received_versions.size(), 1U);
}

TEST_F(ControlClientTest, AppliesVersionWhenFileCannotBeWritten) {
  newest = version(1, "x");
  testing::internal::CaptureStderr();
  start("tunis", (dir / "no" / "such" / "last").string());
  await([&] { return reports.size() == 1; }, "a report");
  await([&] { return client->unpersisted() == newest.id; }, "a report that it is not persisted");
  const auto log = testing::internal::GetCapturedStderr();
  EXPECT_NE(log.find("control: version 1.1 could not be persisted for a restart; the write is retried: "),
            std::string::npos)
      << log;
  EXPECT_NE(log.find("control: version 1.1 is active"), std::string::npos) << log;
  EXPECT_EQ(reports[0].active_version, newest.id);
}

// A broker that is killed during a write leaves a partial temporary file, which must not block later writes.
TEST_F(ControlClientTest, PartialTemporaryFileIsReplaced) {
  newest = version(2, "x");
  std::ofstream(last_file + ".new") << "partial";
  start();
  await([&] { return reports.size() == 1; }, "a report");
  await([&] { return client->persisted() == newest.id; }, "the write of the file");
  EXPECT_FALSE(fs::exists(last_file + ".new"));
  start();
  client->settle();
  EXPECT_EQ(received_versions.size(), 1U);
}

TEST_F(ControlClientTest, ReconnectsAndSendsActiveVersionInHello) {
  newest = version(1, "x");
  start();
  await([&] { return reports.size() == 1; }, "a report");
  hello.reset();
  newest = version(2, "y");
  node->close(broker);
  await([&] { return reports.size() == 2; }, "a second report");
  EXPECT_EQ(hello.value().current, (control::VersionId{1, 1}));
  EXPECT_EQ(reports[1].active_version, newest.id);
  // The client also leaves a node that sends an invalid message.
  hello.reset();
  node->send(broker, "no message");
  await([&] { return hello.has_value(); }, "a third Hello");
  EXPECT_EQ(hello.value().current, newest.id);
}

TEST_F(ControlClientTest, DoesNotReconnectAfterStop) {
  start();
  await([&] { return hello.has_value(); }, "a Hello");
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
