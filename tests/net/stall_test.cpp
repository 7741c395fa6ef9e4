// A process that does not run for a while, as under SIGSTOP or on a machine that is paused: what has happened
// meanwhile is read before anything is decided, sent or given up.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";
const std::string kRow = "x\ty\tz\n";
constexpr auto kSettle = 400ms;  // in which whatever a broker would still begin has begun

bool is_post(const Call& call) { return call.method == "POST"; }

// Stops a process, and has it run on at the end of the scope.
class Stall {
 public:
  explicit Stall(Program& program) : program_(program) {
    program_.signal(SIGSTOP);
    const auto path = "/proc/" + std::to_string(program_.pid()) + "/stat";
    while (true) {
      std::ifstream file(path);
      const std::string line{std::istreambuf_iterator<char>(file), {}};
      if (line.find(") T ") != std::string::npos) return;
      std::this_thread::sleep_for(1ms);
    }
  }
  ~Stall() { program_.signal(SIGCONT); }
  Stall(const Stall&) = delete;
  Stall& operator=(const Stall&) = delete;

 private:
  Program& program_;
};

class Stalls : public ::testing::Test {
 protected:
  HttpEngine engine_{[](const Call& call) { return call.method == "DELETE" ? http(204) : rows(kRow); }};
  Broker broker_{{{"s-00000001", engine_.server.address()}}};
};

TEST_F(Stalls, TheDeadlineToldToAnEngineIsWhatTheClientHasLeft) {
  Client client(broker_.address);
  {
    const Stall stall(*broker_.program);
    client.ask(1, "lookup", kSelect, {{"limit", 2000}});
    std::this_thread::sleep_for(800ms);
  }
  const auto call = engine_.calls.wait(is_post);
  EXPECT_LE(std::stoi(call.headers.at("X-Max-Ms")), 1200 + 150);
  EXPECT_EQ(body(client.answer()), kRow);
}

// Whatever the client did after its request had come by the time it was read.
TEST_F(Stalls, NothingIsBegunForAClientThatHasLeftMeanwhile) {
  enum class Way { closes, resets, cancels };
  Client first(broker_.address);  // leaves a connection to the engine, on which the next would go at once
  first.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(first.answer()), kRow);
  for (const auto way : {Way::closes, Way::resets, Way::cancels}) {
    auto client = std::make_unique<Client>(broker_.address);
    ASSERT_TRUE(client->is_healthy());
    {
      const Stall stall(*broker_.program);
      client->ask(1, "lookup", kSelect, {{"txn", "00000000000000aa"}});
      std::this_thread::sleep_for(100ms);
      if (way == Way::resets) client->socket.reset();
      if (way == Way::cancels)
        client->socket.send("{\"jsonrpc\":\"2.0\",\"method\":\"cancel\",\"params\":{\"id\":1}}\n");
      if (way == Way::closes) client.reset();
      std::this_thread::sleep_for(200ms);
    }
    std::this_thread::sleep_for(kSettle);
    EXPECT_EQ(engine_.posts(), 1U) << "way " << static_cast<int>(way);
  }
}

TEST_F(Stalls, NothingIsSentToAnEngineThatWasToldToDrainMeanwhile) {
  broker_.changes.wait_until_applied();
  Client client(broker_.address);
  ASSERT_TRUE(client.is_healthy());
  {
    const Stall stall(*broker_.program);
    broker_.changes.push({server("s-00000001", engine_.server.address(), "terminating")});
    client.ask(1, "lookup", kSelect, {{"limit", 1500}});
    std::this_thread::sleep_for(800ms);
  }
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_EQ(engine_.posts(), 0U);
}

// The time for a first request ran out while nobody could read it.
TEST_F(Stalls, ANewClientsRequestIsAnswered) {
  Client client(broker_.address);
  std::this_thread::sleep_for(100ms);
  {
    const Stall stall(*broker_.program);
    client.ask(1, "lookup", kSelect);
    std::this_thread::sleep_for(2500ms);
  }
  EXPECT_EQ(body(client.answer()), kRow);
}

// The time for an engine's answer ran out while nobody could read it.
TEST(Stall, AnAnswerThatCameMeanwhileIsUsed) {
  std::promise<void> go_on;
  auto may_go_on = go_on.get_future().share();
  HttpEngine engine([&](const Call&) {
    may_go_on.wait();
    return rows(kRow);
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "once", kSelect);
  engine.calls.wait(is_post);
  {
    const Stall stall(*broker.program);
    go_on.set_value();
    std::this_thread::sleep_for(1500ms);
  }
  EXPECT_EQ(body(client.answer()), kRow);
  EXPECT_EQ(engine.calls.all().size(), 1U) << "it is not asked for again";
}

TEST_F(Stalls, WhatCameAfterTheRequestToStopIsAnswered) {
  Client client(broker_.address);
  ASSERT_TRUE(client.is_healthy());
  {
    const Stall stall(*broker_.program);
    broker_.program->signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    client.ask(1, "lookup", kSelect);
    std::this_thread::sleep_for(1500ms);
  }
  const auto answer = client.answer();
  EXPECT_EQ(answer.value("id", 0), 1) << answer;
  EXPECT_EQ(broker_.program->wait(), 0);
}

// A client that has connected before the loop's first turn has its 2 s as any other.
TEST(Stall, AClientThatConnectsBeforeTheFirstTurnIsNotDismissed) {
  HttpEngine engine([](const Call&) { return rows(kRow); });
  Broker first({{"s-00000001", engine.server.address()}});
  for (int n = 0; n < 5; ++n) {
    const auto file = write_temporary_file(first.config.dump());
    Program program({"serve", "--config", file});
    Client client(program.listen_address("listen"));
    std::this_thread::sleep_for(300ms);
    client.ask(1, "lookup", kSelect);
    EXPECT_EQ(client.answer().value("id", 0), 1);
    ::unlink(file.c_str());
  }
}

// The platform's kill counts from when it asked the program to stop, whenever that one hears of it: 3.7 s for
// deadlines of 3 s and more.
TEST(Stall, ARequestToStopCountsFromWhenItMayHaveCome) {
  HttpEngine silent([](const Call& call) { return http(call.method == "DELETE" ? 204 : 202); });
  Broker broker({{"s-00000001", silent.server.address()}});
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  silent.calls.wait(is_post);
  const auto asked = std::chrono::steady_clock::now();
  {
    const Stall stall(*broker.program);
    broker.program->signal(SIGTERM);
    std::this_thread::sleep_for(1500ms);
  }
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_LT(std::chrono::steady_clock::now() - asked, 3600ms);
  EXPECT_EQ(broker.program->wait(), 0);
}

}  // namespace
}  // namespace bellstair::test
