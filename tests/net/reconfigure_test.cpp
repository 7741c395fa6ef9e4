// Runs the real program against a fake control node, and checks that it applies versions of the settings.
#include <gtest/gtest.h>

#include "control/message.hpp"
#include "harness.hpp"
#include "link/frame.hpp"
#include "mysql/mapping.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {

// A fake control node: welcomes a broker and sends it versions when the test calls send_version().
class FakeControlNode {
 public:
  FakeControlNode() : server_([this](Socket& socket) { serve(socket); }) {}
  void send_version(std::uint64_t number, const std::string& text) {
    control::Version version{{1, number}, "c1", "", text};
    version.digest = control::compute_digest(version);
    const std::lock_guard lock(mutex_);
    newest_ = version;
    if (broker_ != nullptr)
      broker_->send(link::encode_frame(control::encode(control::VersionUpdate{version})));
  }
  control::BrokerReport await_active(std::uint64_t number) {
    return reports_.wait([&](const auto& report) { return report.active_version.number == number; });
  }
  control::BrokerReport await_rejected(std::uint64_t number) {
    return reports_.wait([&](const auto& report) { return report.rejected_version.number == number; });
  }
  [[nodiscard]] const std::string& address() const { return server_.address(); }

 private:
  void serve(Socket& socket) {
    link::FrameDecoder decoder(control::kMaxMessageBytes);
    const auto send = [&](const control::Message& message) {
      socket.send(link::encode_frame(control::encode(message)));
    };
    do {
      (void)decoder.feed(std::exchange(socket.in, {}), [&](std::string_view body) {
        const auto message = control::decode(body);
        const std::lock_guard lock(mutex_);
        if (std::holds_alternative<control::Hello>(message)) {
          send(control::Welcome{control::kProtocolVersion, "tunis", "c1", {1, "c1"}, newest_.id});
          if (newest_.id.number > 0) send(control::VersionUpdate{newest_});
          broker_ = &socket;
        }
        if (std::holds_alternative<control::Ping>(message)) send(control::Pong{{1, "c1"}});
        if (const auto* report = std::get_if<control::BrokerReport>(&message)) reports_.add(*report);
        return true;
      });
    } while (socket.receive());
    const std::lock_guard lock(mutex_);
    broker_ = nullptr;
  }
  std::mutex mutex_;
  Socket* broker_ = nullptr;
  control::Version newest_;
  Log<control::BrokerReport> reports_;
  Server server_;
};

TEST(Versions, ChangeTenantsAndChangeLogWithoutFailingRequests) {
  FakeControlNode node;
  ChangeLog new_change_log;
  std::atomic<bool> done = false;
  std::atomic<int> slow_calls = 0;  // 202: the engine reports that the query still runs
  HttpEngine engine([&](const Call& call) {
    if (call.method == "POST" && call.body == "SELECT slow") ++slow_calls;
    return std::optional(slow_calls == 0 || done ? rows("1\t2\t3\n") : http(202));
  });
  const json control{
      {"fleet", "tunis"}, {"epoch", 1}, {"writer", "c1"}, {"node", {{"c1", {{"address", node.address()}}}}}};
  const json mysql{{"listen", "127.0.0.1:0"},
                   {"user", {{"gateway", {{"password_env", "TEST_SECRET"}, {"tenant", "acme"}}}}}};
  Broker broker({{"pg-00000007", engine.server.address()}}, {{"control", control}, {"mysql", mysql}});
  broker.program->wait_for_log("control: connected to c1");
  const auto front = broker.program->listen_address("mysql.listen");
  MysqlClient sql(front);
  sql.query("SELECT 1");
  EXPECT_EQ(sql.error.code, 0);

  // This request is in progress while its tenant is removed.
  Client slow(broker.address);
  slow.ask(1, "lookup", "SELECT slow");
  engine.calls.wait([](const Call& call) { return call.body == "SELECT slow"; });
  new_change_log.push({server("pg-00000007", engine.server.address())}, true);
  node.send_version(1, "changelog = \"" + new_change_log.address() +
                           "\"\ntenant \"lycee\" {\n  share = 1\n  quota = 100\n}\n");
  const auto report = node.await_active(1);
  EXPECT_EQ(report.rejected_version, control::VersionId{});
  broker.program->wait_for_log("settings of version 1.1 are active");
  new_change_log.wait_until_applied();
  done = true;
  EXPECT_TRUE(slow.answer().contains("result"));

  Client client(broker.address);
  client.ask(1, "lookup", "SELECT 2");
  EXPECT_TRUE(client.answer().contains("error")) << "the active settings do not contain \"acme\"";
  client.ask(2, "lookup", "SELECT 2", {{"team", "lycee"}, {"txn", "9b1f03aa5c7e2d42"}});
  EXPECT_TRUE(client.answer().contains("result"));
  sql.query("SELECT 3");
  EXPECT_EQ(sql.error.code, my::kAccessDenied);
  EXPECT_TRUE(my::is_error(MysqlClient(front).login));

  // Neither a reload of the platform's file nor an invalid version changes the active version.
  broker.reload(broker.config.dump());
  broker.program->wait_for_log("the change log stays at " + new_change_log.address());
  node.send_version(2, "tenant \"lycee\" {\n  shar = 1\n}\n");
  const auto rejection = node.await_rejected(2);
  EXPECT_EQ(rejection.active_version.number, 1U);
  EXPECT_NE(rejection.reason.find("version 1.2:2:3: tenant \"lycee\": unknown attribute 'shar'"),
            std::string::npos)
      << rejection.reason;
  client.ask(3, "lookup", "SELECT 4", {{"team", "lycee"}, {"txn", "9b1f03aa5c7e2d43"}});
  EXPECT_TRUE(client.answer().contains("result"));

  // Settings that a version does not name are those of the platform, so that the connection's tenant exists
  // again.
  node.send_version(3, "# nothing\n");
  node.await_active(3);
  sql.query("SELECT 5");
  EXPECT_EQ(sql.error.code, 0);
  client.ask(4, "lookup", "SELECT 6", {{"txn", "9b1f03aa5c7e2d44"}});
  EXPECT_TRUE(client.answer().contains("result"));
  client.ask(5, "lookup", "SELECT 7", {{"team", "lycee"}, {"txn", "9b1f03aa5c7e2d45"}});
  EXPECT_TRUE(client.answer().contains("error"));
  broker.program->signal(SIGTERM);
  EXPECT_EQ(broker.program->wait(), 0);
}

}  // namespace
}  // namespace bellstair::test
