// What the way of the configuration bears: processes that die or stand still in the middle of a publish,
// links that are cut, writers that return. Fleet::check() looks at each broker's whole history at the end of
// every test.
#include <gtest/gtest.h>

#include "config/config.hpp"
#include "control/subscriber.hpp"
#include "fleet.hpp"

namespace bellstair::test {
namespace {

using Clock = std::chrono::steady_clock;

// A tool that the writer has greeted, on no link of the network.
struct Operator : ControlPeer {
  explicit Operator(Fleet& fleet, const std::string& node = "c1") : ControlPeer(fleet.address(node)) {
    greet();
    expect<control::Welcome>();
  }
  VersionId publish(const std::string& document) {
    send(control::Publish{document});
    return expect<control::Published>().id;
  }
};

// A broker is told to have moved on within this: the silence that is stated, the dials of a round, and a
// machine that is busy.
constexpr auto kMovesOn = control::Subscriber::kNodeTimeout + 4 * control::Subscriber::kConnectTimeout + 4s;

TEST(Faults, ALeaderKilledBeforeItHasKeptADocumentLosesNothingElse) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  Operator tool(fleet);
  fleet.node("c1").signal(SIGSTOP);
  tool.send(control::Publish{tenant("two")});  // it lies at the system, unread
  fleet.kill("c1");
  EXPECT_THROW(tool.expect<control::Published>(), std::exception);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "two"), "");
  }
  const auto ran = fleet.publish(tenant("three"));
  EXPECT_EQ(ran.code, 4) << ran;
  EXPECT_EQ(fleet.status().code, 4);
  fleet.restart("c1");
  const auto again = fleet.publish(tenant("three"));
  EXPECT_EQ(again.code, 0) << again;
  EXPECT_EQ(again.version_id(), (VersionId{1, 2}));
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "three"), "");
}

TEST(Faults, WhatALeaderHadKeptWhenItWasKilledIsInForceEverywhereOnceItReturns) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  // Nothing that it says reaches anyone but its operator.
  fleet.network.each([](auto&, auto& to) { return to == "c1"; }, [](Link& link) { link.hold(Way::down); });
  Operator tool(fleet);
  EXPECT_EQ(tool.publish(tenant("two")), (VersionId{1, 2}));
  fleet.kill("c1");
  fleet.network.each([](auto&, auto&) { return true; }, [](Link& link) { link.reset(); });
  fleet.network.heal();
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_FALSE(fleet.has(i, {1, 2}));
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "two"), "");
  }
  fleet.restart("c1");
  fleet.wait_in_force({1, 2});
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_NE(fleet.ask(i, "one"), "");
    EXPECT_EQ(fleet.ask(i, "two"), "");
  }
}

// Whenever it dies, a version is in force nowhere or everywhere in the end, and is never lost once it was
// told.
TEST(Faults, ALeaderKilledAtAnyMomentOfAPublishLosesNoVersionThatWasTold) {
  FleetOptions options;
  options.last = true;
  Fleet fleet(options);
  fleet.await_all_connected();
  std::mt19937_64 random(34);
  VersionId told;
  for (int round = 0; round < 6; ++round) {
    Operator tool(fleet);
    tool.send(control::Publish{tenant("t" + std::to_string(round))});
    const auto wait = std::chrono::microseconds(random() % 20'000);
    std::this_thread::sleep_for(wait);  // the moment is the case, and proves nothing
    fleet.kill("c1");
    try {
      told = std::max(told, tool.expect<control::Published>().id);
    } catch (const std::exception&) {
      // it died before it could tell
    }
    fleet.restart("c1");
    Operator after(fleet);
    after.send(control::StatusRequest{});
    const auto newest = after.expect<control::NodeStatus>().committed;
    EXPECT_GE(newest, told) << "killed after " << wait.count() << " us of round " << round;
    const auto ran = fleet.publish(tenant("sure" + std::to_string(round)));
    ASSERT_EQ(ran.code, 0) << ran;
    told = ran.version_id();
    for (std::size_t i = 0; i < fleet.brokers(); ++i)
      EXPECT_EQ(fleet.ask(i, "sure" + std::to_string(round)), "");
  }
}

TEST(Faults, BrokersOfANodeThatIsKilledMoveOnAndItsReturnFollows) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.move(1, "c3");
  const auto from = fleet.broker(1).lines();
  fleet.kill("c3");
  fleet.broker(1).said("control: lost c3", from);
  fleet.await_connected(1, "c", from);
  EXPECT_NE(fleet.at(1), "c3");
  EXPECT_EQ(fleet.publish(tenant("one")).code, 0);
  fleet.restart("c3");
  fleet.node("c3").said("version 1.1 kept");
  EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
  fleet.node("c3").said("version 1.2 kept");
}

// The connections stand, and nothing comes: only silence shows it.
TEST(Faults, BrokersOfALeaderThatStandsStillMoveOnWithinTheStatedSilence) {
  FleetOptions options;
  options.nodes = {{"c1", "north"}, {"c2", "south"}};
  Fleet fleet(options);
  fleet.await_all_connected();
  fleet.move(0, "c1");
  const auto from = fleet.broker(0).lines();
  const auto since = Clock::now();
  fleet.node("c1").signal(SIGSTOP);
  fleet.await_connected(0, "c2", from);
  EXPECT_LT(Clock::now() - since, kMovesOn);
  EXPECT_EQ(fleet.publish(tenant("one")).code, 4);
  EXPECT_EQ(fleet.ask(0, "acme"), "");
  fleet.node("c1").signal(SIGCONT);
  const auto ran = fleet.publish(tenant("one"));
  EXPECT_EQ(ran.code, 0) << ran;
  fleet.wait_in_force({1, 1});
}

TEST(Faults, APublishReachesTheBrokersOfAFollowerThatStandsStill) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.move(1, "c3");
  fleet.node("c3").signal(SIGSTOP);
  const auto ran = fleet.publish(tenant("one"));
  EXPECT_EQ(ran.code, 0) << ran;
  fleet.wait_in_force({1, 1});
  EXPECT_NE(fleet.at(1), "c3");
  fleet.node("c3").signal(SIGCONT);
  fleet.node("c3").said("version 1.1 kept");
}

TEST(Faults, ABrokerThatStandsStillIsNamedAsBehindAndTakesTheNewestWhenItGoesOn) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.broker(2).signal(SIGSTOP);
  const auto ran = fleet.publish(tenant("one"), "1s");
  EXPECT_EQ(ran.code, 3) << ran;
  EXPECT_NE(ran.out.find("behind: n2"), std::string::npos) << ran;
  EXPECT_EQ(ran.out.find("behind: n0"), std::string::npos) << ran;
  Operator tool(fleet);
  for (int i = 0; i < 50; ++i) tool.publish(tenant("many" + std::to_string(i)));
  fleet.broker(2).signal(SIGCONT);
  fleet.wait_in_force({1, 51});
  // Those between may have been left out; never has one come twice or late, see check().
  EXPECT_EQ(fleet.ask(2, "many49"), "");
}

TEST(Faults, ANodeThatIsSilentOrHalfCutIsLeftWithinTheStatedSilence) {
  for (const int mode : {0, 1, 2}) {
    SCOPED_TRACE(mode);
    FleetOptions options;
    options.brokers = 2;
    Fleet fleet(options);
    fleet.await_all_connected();
    fleet.move(1, "c3");
    const auto from = fleet.broker(1).lines();
    const auto since = Clock::now();
    fleet.network.each([](auto&, auto& to) { return to == "c3"; },
                       [&](Link& link) {
                         if (mode != 1) link.hold(Way::up);
                         if (mode != 0) link.hold(Way::down);
                       });
    fleet.broker(1).said("control: lost c3", from);
    fleet.await_connected(1, "c", from);
    EXPECT_LT(Clock::now() - since, kMovesOn);
    const auto ran = fleet.publish(tenant("one"));
    EXPECT_EQ(ran.code, 0) << ran;
    fleet.network.heal();
    EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
    fleet.node("c3").said("version 1.2 kept");
  }
}

// The follower hears nothing of the writer, though the writer hears it.
TEST(Faults, AFollowerCutOneWayFromItsLeaderCatchesUpOnceHealed) {
  Fleet fleet;
  fleet.await_all_connected();
  fleet.move(0, "c1");
  fleet.move(1, "c3");
  fleet.network.with("c3", "c1", [](Link& link) { link.hold(Way::down); });
  const auto ran = fleet.publish(tenant("one"), "1s");
  EXPECT_EQ(ran.code, 3) << ran;
  EXPECT_NE(ran.out.find("behind: n1"), std::string::npos) << ran;
  fleet.network.heal();
  fleet.node("c3").said("version 1.1 kept");
  fleet.wait_in_force({1, 1});
}

TEST(Faults, WithAllNodesGoneBrokersServeOnAlsoAcrossTheirOwnRestart) {
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
    fleet.broker(i).said(Fleet::in_force({1, 1}));
    EXPECT_EQ(fleet.ask(i, "one"), "");
    EXPECT_NE(fleet.ask(i, "acme"), "");
  }
  EXPECT_EQ(fleet.status().code, 4);
  for (const auto* node : {"c1", "c2", "c3"}) fleet.restart(node);
  fleet.await_all_connected();
  EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
}

TEST(Faults, ALastVersionThatIsDamagedIsPutAsideAndTold) {
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
  fleet.broker(0).said("n0.last");
  EXPECT_EQ(fleet.ask(0, "acme"), "");  // as the platform's configuration has it
  EXPECT_NE(fleet.ask(0, "0ne"), "");
  for (const auto* node : {"c1", "c2", "c3"}) fleet.restart(node);
  fleet.broker(0).said(Fleet::in_force({1, 1}));
}

// No file of it may grow any more, as on a disk that is full.
TEST(Faults, ALeaderWhoseDiskIsFullRefusesWhatItCannotKeepAndGoesOnOnceThereIsRoom) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  const auto room = [&](rlim_t bytes) {
    const rlimit most{bytes, RLIM_INFINITY};
    ASSERT_EQ(::prlimit(fleet.node("c1").pid(), RLIMIT_FSIZE, &most, nullptr), 0);
  };
  room(1);
  const auto ran = fleet.publish(tenant("two"));
  EXPECT_EQ(ran.code, 1) << ran;
  EXPECT_NE(ran.err.find("could not be kept"), std::string::npos) << ran;
  room(RLIM_INFINITY);
  const auto again = fleet.publish(tenant("three"));
  EXPECT_EQ(again.code, 0) << again;
  EXPECT_EQ(again.version_id(), (VersionId{1, 2}));
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "three"), "");
  fleet.restart("c1");
  EXPECT_EQ(fleet.status().code, 0);
}

// The writer is cut off from all; the operator names another. The old one knows of nothing, and still takes
// what it is given: nobody ever has it in force.
TEST(Faults, AnOldLeaderThatReturnsIsRefusedByAll) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  const auto to_or_from_c1 = [](auto& from, auto& to) { return from == "c1" || to == "c1"; };
  fleet.network.each(to_or_from_c1, [](Link& link) { link.cut(); });
  for (std::size_t i = 0; i < fleet.brokers(); ++i) fleet.await_connected(i);
  const control::LeaderTerm next{2, "c2"};
  fleet.write_files(next, {"c2", "c3", "tool"});
  for (const auto* node : {"c2", "c3"}) fleet.node(node).signal(SIGHUP);
  fleet.node("c2").said("writes, epoch 2");
  fleet.node("c3").said("follows c2, epoch 2");
  Operator old(fleet);
  EXPECT_EQ(old.publish(tenant("stale")), (VersionId{1, 2}));
  const auto ran = fleet.publish(tenant("two"));
  EXPECT_EQ(ran.code, 0) << ran;
  EXPECT_EQ(ran.version_id(), (VersionId{2, 2}));
  fleet.wait_in_force({2, 2});
  // Now the others are out of reach, and it alone answers: brokers of epoch 2 depose it.
  fleet.network.each([](auto& from, auto& to) { return to != "c1" && from[0] == 'n'; },
                     [](Link& link) { link.cut(); });
  fleet.network.each(to_or_from_c1, [](Link& link) { link.heal(); });
  fleet.node("c1").said("follows c2, epoch 2");
  fleet.node("c1").said("version 2.2 kept");
  old.send(control::Publish{tenant("stale")});
  EXPECT_NE(old.expect<control::PublishRejected>().reason.find("the writer is c2"), std::string::npos);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    EXPECT_FALSE(fleet.has(i, {1, 2}));
    EXPECT_EQ(fleet.ask(i, "two"), "");
    EXPECT_NE(fleet.ask(i, "stale"), "");
  }
  fleet.network.heal();
  // It has it on its disk, too: after a restart with its old file it does not write.
  fleet.restart("c1");
  fleet.node("c1").said("follows c2, epoch 2");
  EXPECT_EQ(fleet.publish(tenant("three")).code, 0);
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "three"), "");
}

// A node without its disk, and with a file that names itself as the writer of an epoch that has one.
TEST(Faults, ASecondLeaderOfOneEpochIsRefusedByAll) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).version_id(), (VersionId{1, 1}));
  fleet.kill("c3");
  for (const auto* end : {"", "-journal"}) std::filesystem::remove(fleet.path(std::string("c3.db") + end));
  fleet.write_files({1, "c3"}, {"c3"});
  fleet.restart("c3");
  fleet.node("c3").said("writes, epoch 1");
  Operator second(fleet, "c3");
  second.publish(tenant("other"));
  EXPECT_EQ(second.publish(tenant("another")), (VersionId{1, 2}));
  // It alone is in reach.
  std::vector<std::size_t> from;
  for (std::size_t i = 0; i < fleet.brokers(); ++i) from.push_back(fleet.broker(i).lines());
  fleet.network.each([](auto& who, auto& to) { return to != "c3" && who[0] == 'n'; },
                     [](Link& link) { link.cut(); });
  for (std::size_t i = 0; i < fleet.brokers(); ++i) {
    fleet.broker(i).said("epoch 1 has", from[i]);
    EXPECT_FALSE(fleet.has(i, {1, 2}));
    EXPECT_EQ(fleet.ask(i, "one"), "");
  }
  fleet.network.heal();
  const auto ran = fleet.publish(tenant("two"));
  EXPECT_EQ(ran.code, 0) << ran;
  EXPECT_EQ(ran.version_id(), (VersionId{1, 2}));
  fleet.wait_in_force({1, 2});
  fleet.status_when([](const json& status) {
    std::string digest;
    for (const auto& node : status["nodes"]) {
      if (node["name"] == "c1") digest = node["digest"];
    }
    return status["brokers"].size() == 3 && std::ranges::all_of(status["brokers"], [&](const json& broker) {
             return broker["in_force"] == "1.2" && broker["digest"] == digest;
           });
  });
}

TEST(Faults, AStrangersFleetIsRefusedOnBothSides) {
  Fleet fleet;
  fleet.await_all_connected();
  ASSERT_EQ(fleet.publish(tenant("one")).code, 0);
  // A broker and a tool of another fleet.
  fleet.kill(std::size_t{0});
  fleet.write("n0.hcl", fleet.operators_file("n0", fleet.term, "lyon"));
  fleet.restart(std::size_t{0});
  fleet.broker(0).said("lyon");
  EXPECT_EQ(fleet.ask(0, "acme"), "");
  EXPECT_FALSE(fleet.has(0, {1, 1}));
  fleet.write("tool.hcl", fleet.operators_file("tool", fleet.term, "lyon"));
  const auto ran = fleet.publish(tenant("two"));
  EXPECT_EQ(ran.code, 4) << ran;
  EXPECT_NE(ran.err.find("fleet lyon"), std::string::npos) << ran;
  // A node of another: its store says whose it is.
  fleet.kill("c3");
  fleet.write("c3.hcl", fleet.operators_file("c3", fleet.term, "lyon"));
  const auto refused = run_program({"control", fleet.path("c3.hcl"), "--node", "c3"});
  EXPECT_NE(refused.code, 0) << refused;
  EXPECT_NE(refused.err.find("c3.db"), std::string::npos) << refused;
  fleet.write_files(fleet.term);
  fleet.restart(std::size_t{0});
  fleet.restart("c3");
  fleet.broker(0).said(Fleet::in_force({1, 1}));
  EXPECT_EQ(fleet.publish(tenant("two")).code, 0);
}

// In a node's place there is one that lies. Of all that it offers, the first alone is good.
TEST(Strangers, ABrokerTakesNoVersionThatIsDamagedOlderOrAnotherLeaders) {
  FleetOptions options;
  options.brokers = 1;
  Fleet fleet(options);
  fleet.await_all_connected();
  for (const auto* node : {"c1", "c2", "c3"}) fleet.kill(node);
  const auto version = [](VersionId place, const std::string& writer, const std::string& name) {
    control::Version out{place, writer, "", tenant(name)};
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
  auto mixed = version({2, 6}, "c1", "mixed");
  mixed.text = tenant("other");
  const std::pair<std::string, const char*> kSaid[] = {
      {welcome({2, "c1"}) + offer(version({2, 5}, "c1", "good")) + offer(version({2, 4}, "c1", "older")) +
           offer(mixed),
       "version 2.6 is damaged"},
      {welcome({1, "c1"}) + offer(version({1, 9}, "c1", "stale")), "knows of epoch 1 only"},
      {welcome({2, "c9"}) + offer(version({2, 9}, "c9", "second")), "epoch 2 has c1 as its writer, not c9"},
      {welcome({2, "c1"}) + offer(version({2, 8}, "c9", "foreign")), "has a second writer of its epoch, c9"},
      {welcome({2, "c1"}) + offer(version({3, 1}, "c1", "unknown")),
       "is of an epoch that its node does not know"}};
  fleet.kept_elsewhere.insert({2, 5});
  std::atomic<std::size_t> turn = 0;
  Server liar([&](Socket& socket) {
    socket.more();  // its Hello
    const auto now = turn++;
    if (now < std::size(kSaid)) socket.send(kSaid[now].first);
    socket.ended();
  });
  const auto from = fleet.broker(0).lines();
  fleet.network.set_target("c1", liar.address());
  for (const auto& [bytes, problem] : kSaid) fleet.broker(0).said(problem, from);
  fleet.broker(0).said(Fleet::in_force({2, 5}));
  EXPECT_EQ(fleet.ask(0, "good"), "");
  for (const auto* name : {"older", "mixed", "other", "stale", "second", "foreign", "unknown"})
    EXPECT_NE(fleet.ask(0, name), "") << name;
  for (const auto place : {VersionId{2, 4}, {2, 6}, {1, 9}, {2, 9}, {2, 8}, {3, 1}})
    EXPECT_FALSE(fleet.has(0, place));
}

// The same in the writer's place, before a follower.
TEST(Strangers, AFollowerTakesNoVersionThatIsDamagedAndFollowsNoOlderOrSecondLeader) {
  FleetOptions options;
  options.nodes = {{"c1", "north"}, {"c2", "south"}};
  options.brokers = 0;
  Fleet fleet(options);
  fleet.node("c2").said("follows c1, epoch 1");
  fleet.kill("c1");
  control::Version good{{1, 5}, "c1", "", tenant("good")};
  good.digest = control::compute_digest(good);
  auto mixed = good;
  mixed.id = {1, 6};
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
  std::atomic<int> turn = 0;
  std::atomic<bool> next = false;
  Server liar([&](Socket& socket) {
    socket.more();
    if (next) {
      socket.send(bytes({1, "c1"}, {}));
    } else {
      socket.send(turn++ == 0 ? bytes({1, "c1"}, {good, mixed}) : bytes({1, "c9"}, {}));
    }
    socket.ended();
  });
  fleet.network.set_target("c1", liar.address());
  fleet.node("c2").said("version 1.5 kept");
  fleet.node("c2").said("version 1.6 is damaged");
  fleet.node("c2").said("disconnects from c1: epoch 1 has two writers");
  next = true;
  fleet.write_files({2, "c1"}, {"c2"});
  fleet.node("c2").signal(SIGHUP);
  fleet.node("c2").said("disconnects from c1: it knows of epoch 1 only");
  Operator tool(fleet, "c2");
  tool.send(control::StatusRequest{});
  EXPECT_EQ(tool.expect<control::NodeStatus>().committed, (VersionId{1, 5}));
}

// What comes at a node's port from anybody: each is told or cut off, and nobody else notices.
TEST(Strangers, NoiseEndlessFramesAndOldProtocolsDoNotHoldUpAPublish) {
  FleetOptions options;
  options.nodes = {{"c1", "north"}, {"c2", "south"}};
  Fleet fleet(options);
  fleet.await_all_connected();
  std::atomic<bool> over = false;
  std::atomic<int> cut_off = 0;
  std::vector<std::thread> strangers;
  const auto again_and_again = [&](const char* node, const std::function<void(Socket&)>& speak) {
    strangers.emplace_back([&, node, speak] {
      while (!over) {
        try {
          auto socket = Socket::to(fleet.address(node));
          speak(socket);
          socket.ended();
          ++cut_off;
        } catch (const std::exception& error) {
          ADD_FAILURE() << node << ": " << error.what();
          return;
        }
      }
    });
  };
  for (const auto* node : {"c1", "c2"}) {
    again_and_again(node, [](Socket& socket) {  // noise
      std::mt19937 random(7);
      std::string noise(4096, '\0');
      for (auto& byte : noise) byte = static_cast<char>(random());
      socket.send(noise);
    });
    again_and_again(node, [](Socket& socket) {  // a frame of 4 GB, a byte at a time
      socket.send(std::string("\xff\xff\xff\xff\0\0\0\0", 8));
      while (socket.send("x")) std::this_thread::yield();
    });
    again_and_again(node, [](Socket& socket) {  // a first message as long as any
      std::string endless = link::encode_frame(std::string(control::kMaxMessageBytes, ' '));
      (void)socket.send(endless);
    });
    again_and_again(node, [](Socket& socket) { socket.send(link::encode_frame(std::string(60'000, '['))); });
    again_and_again(node, [](Socket& socket) { socket.send(link::encode_frame(R"({"kind":"offer"})")); });
    again_and_again(node, [](Socket& socket) {  // another protocol, and another fleet
      control::Hello hello;
      hello.protocol = 99;
      hello.fleet = "tunis";
      hello.name = "n0";
      socket.send(link::encode_frame(control::encode(hello)));
    });
    again_and_again(node, [](Socket&) {});  // says nothing
  }
  for (int i = 0; i < 5; ++i) {
    const auto ran = fleet.publish(tenant("t" + std::to_string(i)));
    EXPECT_EQ(ran.code, 0) << ran;
  }
  over = true;
  for (auto& stranger : strangers) stranger.join();
  EXPECT_GE(cut_off, 14);  // each of them at least once
  for (std::size_t i = 0; i < fleet.brokers(); ++i) EXPECT_EQ(fleet.ask(i, "t4"), "");
}

}  // namespace
}  // namespace bellstair::test
