// Publishes documents through real processes, and checks what becomes active at every broker.
#include <gtest/gtest.h>

#include "../net/mysql_client.hpp"
#include "fleet.hpp"

namespace bellstair::test {
namespace {

TEST(Publish, ReachesAllBrokersAndStatusReportsIt) {
  FleetOptions options;
  options.brokers = 5;
  Fleet fleet(options);
  fleet.await_all_connected();
  // Each broker has tried a node of its own region first. One that is still connected to its own region has
  // tried no node of the other region.
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    const bool north = fleet.region_of(i) == "north";
    std::uint64_t own_region = 0, other_region = 0;
    for (const auto* node : {"c1", "c2", "c3"}) {
      fleet.network.with("n" + std::to_string(i), node, [&](Link& link) {
        ((node != std::string("c3")) == north ? own_region : other_region) += link.accepted();
      });
    }
    EXPECT_GE(own_region, 1U);
    if ((fleet.connected_node(i) != "c3") == north) {
      EXPECT_EQ(other_region, 0U);
    }
  }
  const auto result = fleet.publish(tenant("acme"));
  EXPECT_EQ(result.code, 0) << result;
  EXPECT_EQ(result.version_id(), (VersionId{1, 1}));
  EXPECT_NE(result.out.find("active at all 5 connected brokers"), std::string::npos) << result;
  fleet.await_active({1, 1});
  json status;
  EXPECT_EQ(fleet.status(&status).code, 0);
  EXPECT_EQ(status["newest"], "1.1");
  ASSERT_EQ(status["nodes"].size(), 3U);
  ASSERT_EQ(status["brokers"].size(), 5U);
  const auto digest = status["nodes"][0]["digest"];
  for (const auto& node : status["nodes"]) {
    EXPECT_EQ(node["newest"], "1.1");
    EXPECT_EQ(node["digest"], digest);
    EXPECT_EQ(node["writes"], node["name"] == "c1");
  }
  for (const auto& broker : status["brokers"]) {
    EXPECT_EQ(broker["in_force"], "1.1");
    EXPECT_EQ(broker["digest"], digest);
    EXPECT_EQ(broker["connected"], true);
  }
  EXPECT_EQ(fleet.publish(tenant("acme")).version_id(), (VersionId{1, 2}));
}

TEST(Publish, ServesAddedTenantAndRejectsRemovedTenant) {
  Fleet fleet;
  fleet.await_all_connected();
  std::vector<pid_t> pids;
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    pids.push_back(fleet.broker(i).pid());
    EXPECT_EQ(fleet.ask(i, "acme"), "");
    EXPECT_NE(fleet.ask(i, "new").find("team is in no settings"), std::string::npos);
  }
  ASSERT_EQ(fleet.publish(tenant("acme") + tenant("new")).code, 0);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_EQ(fleet.ask(i, "acme"), "");
    EXPECT_EQ(fleet.ask(i, "new"), "");
  }
  ASSERT_EQ(fleet.publish(tenant("new")).code, 0);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_NE(fleet.ask(i, "acme").find("team is in no settings"), std::string::npos);
    EXPECT_EQ(fleet.ask(i, "new"), "");
  }
  // Settings that a document does not name are those of the platform's configuration.
  ASSERT_EQ(fleet.publish("class \"lookup\" {\n  worth = 2\n}\n").code, 0);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_EQ(fleet.ask(i, "acme"), "");
    EXPECT_NE(fleet.ask(i, "new").find("team is in no settings"), std::string::npos);
    EXPECT_EQ(fleet.broker(i).pid(), pids[i]);
  }
}

TEST(Publish, ChangesClientTimeoutAndChangeLogWithoutRestart) {
  FleetOptions options;
  options.brokers = 1;
  options.extra_config =
      "mysql {\n  listen = \"127.0.0.1:0\"\n  user \"gateway\" {\n    password_env = \"TEST_SECRET\"\n"
      "    tenant = \"acme\"\n  }\n}\n";
  Fleet fleet(options);
  fleet.await_all_connected();
  MysqlClient client(fleet.broker(0).listen_address("mysql.listen"));
  // A statement without a limit of its own gets the client_timeout of its class.
  const auto timeout_of_query = [&](int number) {
    const auto text = "SELECT a FROM sales_17.orders WHERE b = " + std::to_string(number);
    (void)client.query(text);
    const auto call =
        fleet.engine.calls.wait([&](const Call& c) { return c.method == "POST" && c.body == text; });
    return std::stoi(call.headers.at("X-Max-Ms"));
  };
  EXPECT_GT(timeout_of_query(1), 3000);
  ChangeLog other;
  other.push(fleet.changes.known()["results"][0]["fleet"]["servers"], true);
  const auto result = fleet.publish("changelog = \"" + other.address() +
                                    "\"\nclass \"lookup\" {\n  give_up = \"3s\"\n  aim = \"1s\"\n}\n");
  EXPECT_EQ(result.code, 0) << result;
  EXPECT_LE(timeout_of_query(2), 3000);
  other.wait_until_applied();
}

TEST(Publish, RejectsInvalidDocumentWithLineAndColumn) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("acme") + tenant("new")).code, 0);
  const std::string bad =
      "tenant \"acme\" {\n  shore = 0.5\n}\nclass \"lookup\" {\n  give_up = \"soon\"\n}\n";
  for (const bool at_leader : {false, true}) {
    if (at_leader) {  // without the classes the tool leaves the validation to the leader
      auto text = fleet.operators_file("tool", fleet.term);
      const auto from = text.find("  classes");
      fleet.write("tool.hcl", text.erase(from, text.find('\n', from) + 1 - from));
    }
    const auto result = fleet.publish(bad);
    EXPECT_EQ(result.code, 1) << result;
    EXPECT_EQ(result.version_id(), VersionId{}) << result;
    EXPECT_NE(result.err.find(".hcl:2:3: "), std::string::npos) << result;
    EXPECT_NE(result.err.find(".hcl:5:"), std::string::npos) << result;  // all errors are reported at once
    EXPECT_EQ(result.err.find("rejected by c1") != std::string::npos, at_leader) << result;
  }
  for (const auto* text :
       {"tenant \"acme\" {", "\x01\x02\xff", "tenant \"a\" {\n  share = 1\n  share = 2\n}\n"})
    EXPECT_EQ(fleet.publish(text).code, 1) << text;
  json status;
  EXPECT_EQ(fleet.status(&status).code, 0);
  EXPECT_EQ(status["newest"], "1.1");
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "new"), "");
}

TEST(Publish, RejectsSettingsThatNeedRestart) {
  FleetOptions options;
  options.brokers = 0;
  Fleet fleet(options);
  const std::pair<const char*, const char*> kCases[] = {
      {"listen = \"127.0.0.1:1\"\n", ".hcl:1:10: listen: needs a restart"},
      {"name = \"n7\"\n", ".hcl:1:8: name: needs a restart"},
      {"mysql {\n  listen = \"127.0.0.1:1\"\n}\n", ".hcl:1:1: mysql: needs a restart"},
      {"hook \"h\" {\n  script = \"h.lua\"\n}\n", ".hcl:1:1: hook: needs a restart"},
      {"class \"lookup\" {\n  threads = 4\n}\n", ".hcl:2:13: class \"lookup\".threads: needs a restart"},
      {"class \"another\" {\n  worth = 1\n}\n", ".hcl:1:1: class \"another\": is not a class"}};
  for (const auto& [text, problem] : kCases) {
    const auto result = fleet.publish(text);
    EXPECT_EQ(result.code, 1) << result;
    EXPECT_NE(result.err.find(problem), std::string::npos) << result << problem;
  }
}

// The operator's file names a class that the brokers' own configuration does not have, so that the leader
// commits a version that the brokers reject.
TEST(Publish, VersionRejectedByBrokersLeavesPreviousOneActive) {
  FleetOptions options;
  options.classes = R"(["lookup", "load", "once", "extra"])";
  Fleet fleet(options);
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("new")).code, 0);
  const auto result = fleet.publish(tenant("newer") + "class \"extra\" {\n  worth = 2\n}\n");
  EXPECT_EQ(result.code, 1) << result;
  EXPECT_EQ(result.version_id(), (VersionId{1, 2})) << result;
  EXPECT_NE(result.out.find("rejected by n0"), std::string::npos) << result;
  EXPECT_NE(result.out.find(":5:"), std::string::npos) << result;
  json status;
  EXPECT_EQ(fleet.status(&status).code, 1);
  for (const auto& broker : status["brokers"]) {
    EXPECT_EQ(broker["in_force"], "1.1");
    EXPECT_EQ(broker["refused"], "1.2");
  }
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    fleet.broker(i).wait_for_log("control: version 1.2 rejected: ");
    EXPECT_EQ(fleet.ask(i, "new"), "");
    EXPECT_NE(fleet.ask(i, "newer"), "");
  }
  EXPECT_EQ(fleet.publish(tenant("newest")).code, 0);
  EXPECT_EQ(fleet.status().code, 0);
}

// Requests that a broker reads together must all be accepted under the same version.
TEST(Publish, RequestsReadTogetherSeeOneVersion) {
  Fleet fleet;
  fleet.await_all_connected();
  std::atomic<bool> done = false;
  std::vector<std::future<std::string>> clients;
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    clients.push_back(std::async(std::launch::async, [&, i]() -> std::string {
      std::map<std::string, int> rounds_by_result;
      for (int round = 0; !done; ++round) {
        Client client(fleet.address(i));  // a client with too many errors is disconnected
        std::string all;
        const std::string names[] = {"odd-a", "even-a", "odd-b", "even-b"};
        for (int n = 0; n < 4; ++n) {
          char txn[17];
          std::snprintf(txn, sizeof txn, "%015x%x", static_cast<unsigned>(round), static_cast<unsigned>(n));
          const json params{{"txn", txn}, {"limit", 15000}, {"team", names[n]}, {"data", "U0VMRUNUIDE="}};
          all += json{{"jsonrpc", "2.0"}, {"id", n}, {"method", "lookup"}, {"params", params}}.dump() + "\n";
        }
        client.socket.send(all);
        std::string accepted = "0000";
        for (int n = 0; n < 4; ++n) {
          const auto answer = client.answer();
          const bool unknown = answer.contains("error") && answer["error"]["code"] == -32602;
          accepted[answer["id"].get<std::size_t>()] = unknown ? '0' : '1';
        }
        if (accepted != "0000" && accepted != "1010" && accepted != "0101") return accepted;
        ++rounds_by_result[accepted];
      }
      return rounds_by_result["1010"] > 0 && rounds_by_result["0101"] > 0 ? ""
                                                                          : "not both versions were seen";
    }));
  }
  for (int n = 1; n <= 10; ++n) {
    const std::string kind = n % 2 == 1 ? "odd" : "even";
    EXPECT_EQ(fleet.publish(tenant(kind + "-a") + tenant(kind + "-b")).code, 0);
  }
  done = true;
  for (auto& client : clients) EXPECT_EQ(client.get(), "");
}

TEST(Publish, ReloadKeepsActiveVersionAndProcessesExitCleanly) {
  FleetOptions options;
  options.brokers = 1;
  Fleet fleet(options);
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("new")).code, 0);
  const auto from = fleet.broker(0).line_count();
  fleet.broker(0).signal(SIGHUP);
  fleet.broker(0).wait_for_log("the configuration was reloaded", from);
  EXPECT_EQ(fleet.ask(0, "new"), "");
  EXPECT_NE(fleet.ask(0, "acme"), "");
  ASSERT_EQ(fleet.publish(tenant("newer")).code, 0);
  EXPECT_EQ(fleet.ask(0, "newer"), "");
  fleet.broker(0).signal(SIGTERM);
  EXPECT_EQ(fleet.broker(0).wait(), 0);
  for (const auto* node : {"c1", "c2", "c3"}) {
    fleet.node(node).signal(SIGTERM);
    EXPECT_EQ(fleet.node(node).wait(), 0);
  }
}

// Without an operator's file a broker must not open any descriptor or thread of the control plane.
TEST(ServeWithoutOperatorFile, HoldsOnlyListedDescriptorsAndThreads) {
  HttpEngine engine([](const Call&) { return rows("x\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, nullptr);
  broker.changes.wait_until_applied();
  const auto proc = "/proc/" + std::to_string(broker.program->pid());
  std::map<std::string, int> descriptors;
  for (const auto& entry : std::filesystem::directory_iterator(proc + "/fd")) {
    const int fd = std::stoi(entry.path().filename());
    const int flags = ::fcntl(fd, F_GETFD);  // of the same descriptor in this process
    if (fd <= STDERR_FILENO || (flags >= 0 && (flags & FD_CLOEXEC) == 0)) continue;  // inherited
    const auto target = std::filesystem::read_symlink(entry.path()).string();
    ++descriptors[target.starts_with("socket:") ? "socket" : target];
  }
  std::multiset<std::string> threads;
  for (const auto& entry : std::filesystem::directory_iterator(proc + "/task")) {
    std::string name;
    std::getline(std::ifstream(entry.path() / "comm"), name);
    threads.insert(name);
  }
  const std::map<std::string, int> kExpected{
      {"anon_inode:[eventpoll]", 1}, {"anon_inode:[eventfd]", 1}, {"/dev/null", 1}, {"socket", 2}};
  EXPECT_EQ(descriptors, kExpected);
  EXPECT_EQ(threads, (std::multiset<std::string>{"bellstair", "log"}));
}

}  // namespace
}  // namespace bellstair::test
