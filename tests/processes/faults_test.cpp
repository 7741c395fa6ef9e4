// Checks that publishing a configuration survives faults: processes that are killed or suspended in the
// middle of a publish, links that are cut, and old leaders that return. Fleet::check() checks the whole
// history of each broker at the end of every test.
#include <gtest/gtest.h>

#include "config/config.hpp"
#include "control/subscriber.hpp"
#include "fleet.hpp"

namespace bellstair::test {
namespace {

using Clock = std::chrono::steady_clock;

// A tool that a node has welcomed, connected directly and not by a Link.
struct OperatorTool : ControlPeer {
  explicit OperatorTool(Fleet& fleet, const std::string& node = "c1") : ControlPeer(fleet.address(node)) {
    send_hello();
    expect<control::Welcome>();
  }
  VersionId publish(const std::string& document) {
    send(control::Publish{document});
    return expect<control::Published>().id;
  }
};

// A broker must reconnect to another node within this time: the node timeout, the connection attempts of one
// round, and a margin for a busy machine.
constexpr auto kReconnectTimeout =
    control::Subscriber::kNodeTimeout + 4 * control::Subscriber::kConnectTimeout + 4s;

TEST(Faults, LeaderKilledBeforeCommitLosesOnlyThatDocument) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  OperatorTool tool(fleet);
  fleet.node("c1").signal(SIGSTOP);
  tool.send(control::Publish{tenant("two")});  // stays unread in the socket's buffer
  fleet.kill("c1");
  EXPECT_THROW(tool.expect<control::Published>(), std::exception);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "two"), "");
  }
  const auto result = fleet.publish(tenant("three"));
  EXPECT_EQ(result.code, 4) << result;
  EXPECT_EQ(fleet.status().code, 4);
  fleet.restart("c1");
  const auto again = fleet.publish(tenant("three"));
  EXPECT_EQ(again.code, 0) << again;
  EXPECT_EQ(again.version_id(), (VersionId{1, 2}));
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "three"), "");
}

TEST(Faults, CommittedVersionBecomesActiveAfterLeaderRestart) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  // Nothing that the leader sends reaches any peer but the operator's tool.
  fleet.network.for_each_link([](auto&, auto& to) { return to == "c1"; },
                              [](Link& link) { link.hold(Direction::down); });
  OperatorTool tool(fleet);
  EXPECT_EQ(tool.publish(tenant("two")), (VersionId{1, 2}));
  fleet.kill("c1");
  fleet.network.for_each_link([](auto&, auto&) { return true; }, [](Link& link) { link.reset(); });
  fleet.network.heal();
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_FALSE(fleet.was_active(i, {1, 2}));
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "two"), "");
  }
  fleet.restart("c1");
  fleet.await_active({1, 2});
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_NE(fleet.ask(i, "one"), "");
    EXPECT_EQ(fleet.ask(i, "two"), "");
  }
}

// Whenever the leader is killed, a version becomes active at all brokers or at none, and it is never lost
// once the leader has confirmed it.
TEST(Faults, LeaderKilledDuringPublishLosesNoConfirmedVersion) {
  FleetOptions options;
  options.last = true;
  Fleet fleet(options);
  fleet.await_all_connected();
  std::mt19937_64 random(34);
  VersionId confirmed;
  for (int round = 0; round < 6; ++round) {
    OperatorTool tool(fleet);
    tool.send(control::Publish{tenant("t" + std::to_string(round))});
    const auto wait = std::chrono::microseconds(random() % 20'000);
    std::this_thread::sleep_for(wait);  // only varies when the leader is killed
    fleet.kill("c1");
    try {
      confirmed = std::max(confirmed, tool.expect<control::Published>().id);
    } catch (const std::exception&) {
      // the leader was killed before it could answer
    }
    fleet.restart("c1");
    OperatorTool after(fleet);
    after.send(control::StatusRequest{});
    const auto newest = after.expect<control::NodeStatus>().committed;
    EXPECT_GE(newest, confirmed) << "killed after " << wait.count() << " us of round " << round;
    const auto result = fleet.publish(tenant("sure" + std::to_string(round)));
    ASSERT_EQ(result.code, 0) << result;
    confirmed = result.version_id();
    for (std::size_t i = 0; i < fleet.brokers(); ++i)
      EXPECT_EQ(fleet.ask(i, "sure" + std::to_string(round)), "");
  }
}

TEST(Faults, BrokersOfKilledNodeReconnectAndNodeCatchesUp) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.move_broker(1, "c3");
  const auto from = fleet.broker(1).line_count();
  fleet.kill("c3");
  fleet.broker(1).wait_for_log("control: lost the connection to c3", from);
  fleet.await_connected(1, "c", from);
  EXPECT_NE(fleet.connected_node(1), "c3");
  EXPECT_EQ(fleet.publish(tenant("one")).code, 0);
  fleet.restart("c3");
  fleet.node("c3").wait_for_log("version 1.1 committed");
  EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
  fleet.node("c3").wait_for_log("version 1.2 committed");
}

// A suspended node's connections stay open, so that brokers notice the fault only by a timeout.
TEST(Faults, BrokersOfSuspendedLeaderReconnectWithinTimeout) {
  FleetOptions options;
  options.nodes = {{"c1", "north"}, {"c2", "south"}};
  Fleet fleet(options);
  fleet.await_all_connected();
  fleet.move_broker(0, "c1");
  const auto from = fleet.broker(0).line_count();
  const auto since = Clock::now();
  fleet.node("c1").signal(SIGSTOP);
  fleet.await_connected(0, "c2", from);
  EXPECT_LT(Clock::now() - since, kReconnectTimeout);
  EXPECT_EQ(fleet.publish(tenant("one")).code, 4);
  EXPECT_EQ(fleet.ask(0, "acme"), "");
  fleet.node("c1").signal(SIGCONT);
  const auto result = fleet.publish(tenant("one"));
  EXPECT_EQ(result.code, 0) << result;
  fleet.await_active({1, 1});
}

TEST(Faults, PublishReachesBrokersOfSuspendedFollower) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.move_broker(1, "c3");
  fleet.node("c3").signal(SIGSTOP);
  const auto result = fleet.publish(tenant("one"));
  EXPECT_EQ(result.code, 0) << result;
  fleet.await_active({1, 1});
  EXPECT_NE(fleet.connected_node(1), "c3");
  fleet.node("c3").signal(SIGCONT);
  fleet.node("c3").wait_for_log("version 1.1 committed");
}

TEST(Faults, SuspendedBrokerIsReportedBehindAndCatchesUp) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.broker(2).signal(SIGSTOP);
  const auto result = fleet.publish(tenant("one"), "1s");
  EXPECT_EQ(result.code, 3) << result;
  EXPECT_NE(result.out.find("behind: n2"), std::string::npos) << result;
  EXPECT_EQ(result.out.find("behind: n0"), std::string::npos) << result;
  OperatorTool tool(fleet);
  for (int i = 0; i < 50; ++i) tool.publish(tenant("many" + std::to_string(i)));
  fleet.broker(2).signal(SIGCONT);
  fleet.await_active({1, 51});
  // Intermediate versions may be skipped; Fleet::check() checks that none is applied twice or out of order.
  EXPECT_EQ(fleet.ask(2, "many49"), "");
}

TEST(Faults, BrokerLeavesSilentOrHalfCutNodeWithinTimeout) {
  for (const int mode : {0, 1, 2}) {
    SCOPED_TRACE(mode);
    FleetOptions options;
    options.brokers = 2;
    Fleet fleet(options);
    fleet.await_all_connected();
    fleet.move_broker(1, "c3");
    const auto from = fleet.broker(1).line_count();
    const auto since = Clock::now();
    fleet.network.for_each_link([](auto&, auto& to) { return to == "c3"; },
                                [&](Link& link) {
                                  if (mode != 1) link.hold(Direction::up);
                                  if (mode != 0) link.hold(Direction::down);
                                });
    fleet.broker(1).wait_for_log("control: lost the connection to c3", from);
    fleet.await_connected(1, "c", from);
    EXPECT_LT(Clock::now() - since, kReconnectTimeout);
    const auto result = fleet.publish(tenant("one"));
    EXPECT_EQ(result.code, 0) << result;
    fleet.network.heal();
    EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
    fleet.node("c3").wait_for_log("version 1.2 committed");
  }
}

// The follower receives nothing from the leader, but the leader receives its messages.
TEST(Faults, FollowerCutOffInOneDirectionCatchesUpOnceHealed) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.move_broker(0, "c1");
  fleet.move_broker(1, "c3");
  fleet.network.with("c3", "c1", [](Link& link) { link.hold(Direction::down); });
  const auto result = fleet.publish(tenant("one"), "1s");
  EXPECT_EQ(result.code, 3) << result;
  EXPECT_NE(result.out.find("behind: n1"), std::string::npos) << result;
  fleet.network.heal();
  fleet.node("c3").wait_for_log("version 1.1 committed");
  fleet.await_active({1, 1});
}

TEST(Faults, BrokersServeAndRestartWhileAllNodesAreDown) {
  FleetOptions options;
  options.last = true;
  Fleet fleet(options);
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).code, 0);
  for (const auto* node : {"c1", "c2", "c3"}) fleet.kill(node);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "acme"), "");
    fleet.restart(i);
    fleet.broker(i).wait_for_log(Fleet::active_line({1, 1}));
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "acme"), "");
  }
  EXPECT_EQ(fleet.status().code, 4);
  for (const auto* node : {"c1", "c2", "c3"}) fleet.restart(node);
  fleet.await_all_connected();
  EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
}

TEST(Faults, DamagedLastVersionIsLoggedAndNotUsed) {
  FleetOptions options;
  options.last = true;
  options.brokers = 1;
  Fleet fleet(options);
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).code, 0);
  fleet.kill(std::size_t{0});
  auto text = config::read_file(fleet.path("n0.last"), "last");
  text[text.find("one")] = '0';
  fleet.write("n0.last", text);
  for (const auto* node : {"c1", "c2", "c3"}) fleet.kill(node);
  fleet.start(std::size_t{0});
  fleet.await_up(0);
  fleet.broker(0).wait_for_log("n0.last");
  EXPECT_EQ(fleet.ask(0, "acme"), "");  // as in the platform's configuration
  EXPECT_NE(fleet.ask(0, "0ne"), "");
  for (const auto* node : {"c1", "c2", "c3"}) fleet.restart(node);
  fleet.broker(0).wait_for_log(Fleet::active_line({1, 1}));
}

// A limit on the size of the leader's files stands in for a full disk.
TEST(Faults, LeaderWithFullDiskRejectsPublishAndRecovers) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  const auto limit_file_size = [&](rlim_t bytes) {
    const rlimit limit{bytes, RLIM_INFINITY};
    ASSERT_EQ(::prlimit(fleet.node("c1").pid(), RLIMIT_FSIZE, &limit, nullptr), 0);
  };
  limit_file_size(1);
  const auto result = fleet.publish(tenant("two"));
  EXPECT_EQ(result.code, 1) << result;
  EXPECT_NE(result.err.find("could not be persisted"), std::string::npos) << result;
  limit_file_size(RLIM_INFINITY);
  const auto again = fleet.publish(tenant("three"));
  EXPECT_EQ(again.code, 0) << again;
  EXPECT_EQ(again.version_id(), (VersionId{1, 2}));
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "three"), "");
  fleet.restart("c1");
  EXPECT_EQ(fleet.status().code, 0);
}

// The leader is cut off from all nodes and brokers, and the operator names another node as leader. The old
// leader does not know of the new epoch and still commits documents, but they must not become active at any
// broker.
TEST(Faults, OldLeaderThatReturnsIsRejectedByAll) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  const auto to_or_from_c1 = [](auto& from, auto& to) { return from == "c1" || to == "c1"; };
  fleet.network.for_each_link(to_or_from_c1, [](Link& link) { link.cut(); });
  for (std::size_t i = 0; i < fleet.brokers(); ++i) fleet.await_connected(i);
  const control::LeaderTerm next{2, "c2"};
  fleet.write_files(next, {"c2", "c3", "tool"});
  for (const auto* node : {"c2", "c3"}) fleet.node(node).signal(SIGHUP);
  fleet.node("c2").wait_for_log("is the leader, epoch 2");
  fleet.node("c3").wait_for_log("follows c2, epoch 2");
  OperatorTool old(fleet);
  EXPECT_EQ(old.publish(tenant("stale")), (VersionId{1, 2}));
  const auto result = fleet.publish(tenant("two"));
  EXPECT_EQ(result.code, 0) << result;
  EXPECT_EQ(result.version_id(), (VersionId{2, 2}));
  fleet.await_active({2, 2});
  // Only the old leader is reachable now: brokers with epoch 2 connect to it and depose it.
  fleet.network.for_each_link([](auto& from, auto& to) { return to != "c1" && from[0] == 'n'; },
                              [](Link& link) { link.cut(); });
  fleet.network.for_each_link(to_or_from_c1, [](Link& link) { link.heal(); });
  fleet.node("c1").wait_for_log("follows c2, epoch 2");
  fleet.node("c1").wait_for_log("version 2.2 committed");
  old.send(control::Publish{tenant("stale")});
  EXPECT_NE(old.expect<control::PublishRejected>().reason.find("the leader is c2"), std::string::npos);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_FALSE(fleet.was_active(i, {1, 2}));
    EXPECT_EQ(fleet.ask(i, "two"), "");
    EXPECT_NE(fleet.ask(i, "stale"), "");
  }
  fleet.network.heal();
  // The old leader has persisted the new epoch: after a restart with its old operator's file it does not
  // lead.
  fleet.restart("c1");
  fleet.node("c1").wait_for_log("follows c2, epoch 2");
  EXPECT_EQ(fleet.publish(tenant("three")).code, 0);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "three"), "");
}

// A node has lost its store, and its operator's file names it as the leader of an epoch that has another
// leader.
TEST(Faults, SecondLeaderOfSameEpochIsRejectedByAll) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  fleet.kill("c3");
  for (const auto* suffix : {"", "-journal"})
    std::filesystem::remove(fleet.path(std::string("c3.db") + suffix));
  fleet.write_files({1, "c3"}, {"c3"});
  fleet.restart("c3");
  fleet.node("c3").wait_for_log("is the leader, epoch 1");
  OperatorTool second(fleet, "c3");
  second.publish(tenant("other"));
  EXPECT_EQ(second.publish(tenant("another")), (VersionId{1, 2}));
  // Only the second leader is reachable.
  std::vector<std::size_t> from;
  for (std::size_t i = 0; i < fleet.brokers(); ++i) from.push_back(fleet.broker(i).line_count());
  fleet.network.for_each_link([](auto& from_name, auto& to) { return to != "c3" && from_name[0] == 'n'; },
                              [](Link& link) { link.cut(); });
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    fleet.broker(i).wait_for_log("epoch 1 has", from[i]);
    EXPECT_FALSE(fleet.was_active(i, {1, 2}));
    EXPECT_EQ(fleet.ask(i, "one"), "");
  }
  fleet.network.heal();
  const auto result = fleet.publish(tenant("two"));
  EXPECT_EQ(result.code, 0) << result;
  EXPECT_EQ(result.version_id(), (VersionId{1, 2}));
  fleet.await_active({1, 2});
  fleet.await_status([](const json& status) {
    std::string digest;
    for (const auto& node : status["nodes"]) {
      if (node["name"] == "c1") digest = node["digest"];
    }
    return status["brokers"].size() == 3 && std::ranges::all_of(status["brokers"], [&](const json& broker) {
             return broker["in_force"] == "1.2" && broker["digest"] == digest;
           });
  });
}

TEST(Faults, PeersOfAnotherFleetAreRejectedOnBothSides) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).code, 0);
  // A broker and a tool of another fleet are rejected.
  fleet.kill(std::size_t{0});
  fleet.write("n0.hcl", fleet.operators_file("n0", fleet.term, "lyon"));
  fleet.restart(std::size_t{0});
  fleet.broker(0).wait_for_log("lyon");
  EXPECT_EQ(fleet.ask(0, "acme"), "");
  EXPECT_FALSE(fleet.was_active(0, {1, 1}));
  fleet.write("tool.hcl", fleet.operators_file("tool", fleet.term, "lyon"));
  const auto result = fleet.publish(tenant("two"));
  EXPECT_EQ(result.code, 4) << result;
  EXPECT_NE(result.err.find("fleet lyon"), std::string::npos) << result;
  // A node of another fleet does not start, since its store belongs to the first fleet.
  fleet.kill("c3");
  fleet.write("c3.hcl", fleet.operators_file("c3", fleet.term, "lyon"));
  const auto refused = run_program({"control", fleet.path("c3.hcl"), "--node", "c3"});
  EXPECT_NE(refused.code, 0) << refused;
  EXPECT_NE(refused.err.find("c3.db"), std::string::npos) << refused;
  fleet.write_files(fleet.term);
  fleet.restart(std::size_t{0});
  fleet.restart("c3");
  fleet.broker(0).wait_for_log(Fleet::active_line({1, 1}));
  EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
}

// A faulty server takes the place of a node. Only the first of the versions that it sends is valid.
TEST(UntrustedPeers, BrokerRejectsDamagedOlderAndForeignVersions) {
  FleetOptions options;
  options.brokers = 1;
  Fleet fleet(options);
  fleet.await_all_connected();
  for (const auto* node : {"c1", "c2", "c3"}) fleet.kill(node);
  const auto version = [](VersionId id, const std::string& leader, const std::string& name) {
    control::Version out{id, leader, "", tenant(name)};
    out.digest = control::compute_digest(out);
    return out;
  };
  const auto welcome = [](const control::LeaderTerm& term) {
    control::Welcome out;
    out.fleet = "tunis";
    out.name = "c1";
    out.term = term;
    return link::encode_frame(control::encode(out));
  };
  const auto offer = [](const control::Version& it) {
    return link::encode_frame(control::encode(control::VersionUpdate{it}));
  };
  auto damaged = version({2, 6}, "c1", "mixed");
  damaged.text = tenant("other");
  const std::pair<std::string, const char*> kCases[] = {
      {welcome({2, "c1"}) + offer(version({2, 5}, "c1", "good")) + offer(version({2, 4}, "c1", "older")) +
           offer(damaged),
       "version 2.6 is damaged"},
      {welcome({1, "c1"}) + offer(version({1, 9}, "c1", "stale")), "is at the outdated epoch 1"},
      {welcome({2, "c9"}) + offer(version({2, 9}, "c9", "second")), "epoch 2 has c1 as its leader, not c9"},
      {welcome({2, "c1"}) + offer(version({2, 8}, "c9", "foreign")),
       "names a second leader of its epoch: c9"},
      {welcome({2, "c1"}) + offer(version({3, 1}, "c1", "unknown")),
       "has a newer epoch than the node that sent it"}};
  fleet.committed_elsewhere.insert({2, 5});
  std::atomic<std::size_t> connection_count = 0;
  Server faulty_server([&](Socket& socket) {
    socket.receive();  // reads the Hello
    const auto index = connection_count++;
    if (index < std::size(kCases)) socket.send(kCases[index].first);
    socket.ended();
  });
  const auto from = fleet.broker(0).line_count();
  fleet.network.set_target("c1", faulty_server.address());
  for (const auto& [bytes, problem] : kCases) fleet.broker(0).wait_for_log(problem, from);
  fleet.broker(0).wait_for_log(Fleet::active_line({2, 5}));
  EXPECT_EQ(fleet.ask(0, "good"), "");
  for (const auto* name : {"older", "mixed", "other", "stale", "second", "foreign", "unknown"})
    EXPECT_NE(fleet.ask(0, name), "") << name;
  for (const auto version_id : {VersionId{2, 4}, {2, 6}, {1, 9}, {2, 9}, {2, 8}, {3, 1}})
    EXPECT_FALSE(fleet.was_active(0, version_id));
}

// A faulty server takes the place of the leader, with a follower as its peer.
TEST(UntrustedPeers, FollowerRejectsDamagedVersionAndOtherLeaders) {
  FleetOptions options;
  options.nodes = {{"c1", "north"}, {"c2", "south"}};
  options.brokers = 0;
  Fleet fleet(options);
  fleet.node("c2").wait_for_log("follows c1, epoch 1");
  fleet.kill("c1");
  control::Version good{{1, 5}, "c1", "", tenant("good")};
  good.digest = control::compute_digest(good);
  auto damaged = good;
  damaged.id = {1, 6};
  const auto bytes = [](const control::LeaderTerm& term, const std::vector<control::Version>& offered) {
    control::Welcome welcome;
    welcome.fleet = "tunis";
    welcome.name = "c1";
    welcome.term = term;
    auto out = link::encode_frame(control::encode(welcome));
    for (const auto& version : offered)
      out += link::encode_frame(control::encode(control::VersionUpdate{version}));
    return out;
  };
  std::atomic<int> connection_count = 0;
  std::atomic<bool> next_term = false;
  Server faulty_server([&](Socket& socket) {
    socket.receive();
    if (next_term) {
      socket.send(bytes({1, "c1"}, {}));
    } else {
      socket.send(connection_count++ == 0 ? bytes({1, "c1"}, {good, damaged}) : bytes({1, "c9"}, {}));
    }
    socket.ended();
  });
  fleet.network.set_target("c1", faulty_server.address());
  fleet.node("c2").wait_for_log("version 1.5 committed");
  fleet.node("c2").wait_for_log("version 1.6 is damaged");
  fleet.node("c2").wait_for_log("disconnects from c1: epoch 1 has two leaders");
  next_term = true;
  fleet.write_files({2, "c1"}, {"c2"});
  fleet.node("c2").signal(SIGHUP);
  fleet.node("c2").wait_for_log("disconnects from c1: its epoch 1 is outdated");
  OperatorTool tool(fleet, "c2");
  tool.send(control::StatusRequest{});
  EXPECT_EQ(tool.expect<control::NodeStatus>().committed, (VersionId{1, 5}));
}

// Clients connect to a node's port and send invalid data: the node closes each connection, and other peers
// are not affected.
TEST(UntrustedPeers, InvalidDataDoesNotDelayPublish) {
  FleetOptions options;
  options.nodes = {{"c1", "north"}, {"c2", "south"}};
  Fleet fleet(options);
  fleet.await_all_connected();
  std::atomic<bool> done = false;
  std::atomic<int> closed_count = 0;
  std::vector<std::thread> threads;
  const auto connect_repeatedly = [&](const char* node, const std::function<void(Socket&)>& send_data) {
    threads.emplace_back([&, node, send_data] {
      while (!done) {
        try {
          auto socket = Socket::to(fleet.address(node));
          send_data(socket);
          socket.ended();
          ++closed_count;
        } catch (const std::exception& error) {
          ADD_FAILURE() << node << ": " << error.what();
          return;
        }
      }
    });
  };
  for (const auto* node : {"c1", "c2"}) {
    connect_repeatedly(node, [](Socket& socket) {  // random bytes
      std::mt19937 random(7);
      std::string noise(4096, '\0');
      for (auto& byte : noise) byte = static_cast<char>(random());
      socket.send(noise);
    });
    connect_repeatedly(node, [](Socket& socket) {  // a frame of 4 GB, a byte at a time
      socket.send(std::string("\xff\xff\xff\xff\0\0\0\0", 8));
      while (socket.send("x")) std::this_thread::yield();
    });
    connect_repeatedly(node, [](Socket& socket) {  // a first message of the maximum length
      std::string endless = link::encode_frame(std::string(control::kMaxMessageBytes, ' '));
      (void)socket.send(endless);
    });
    connect_repeatedly(node,
                       [](Socket& socket) { socket.send(link::encode_frame(std::string(60'000, '['))); });
    connect_repeatedly(node, [](Socket& socket) { socket.send(link::encode_frame(R"({"kind":"offer"})")); });
    connect_repeatedly(node, [](Socket& socket) {  // another protocol version
      control::Hello hello;
      hello.protocol = 99;
      hello.fleet = "tunis";
      hello.name = "n0";
      socket.send(link::encode_frame(control::encode(hello)));
    });
    connect_repeatedly(node, [](Socket&) {});  // sends nothing
  }
  for (int i = 0; i < 5; ++i) {
    const auto result = fleet.publish(tenant("t" + std::to_string(i)));
    EXPECT_EQ(result.code, 0) << result;
  }
  done = true;
  for (auto& thread : threads) thread.join();
  EXPECT_GE(closed_count, 14);  // at least one connection of each kind at each node
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "t4"), "");
}

}  // namespace
}  // namespace bellstair::test
