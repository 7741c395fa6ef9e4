// Tests of a process that does not run for a while, because of SIGSTOP or because its machine is paused.
// After the stall, the broker reads all input before it decides, sends or cancels anything.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";
const std::string kRow = "x\ty\tz\n";
constexpr auto kSettleTime = 400ms;  // enough for a broker to send what it would send

bool is_post(const Call& call) { return call.method == "POST"; }

// Stops a process, and continues it at the end of the scope.
class ScopedStall {
 public:
  explicit ScopedStall(Program& program) : program_(program) {
    program_.signal(SIGSTOP);
    const auto path = "/proc/" + std::to_string(program_.pid()) + "/stat";
    while (true) {
      std::ifstream file(path);
      const std::string line{std::istreambuf_iterator<char>(file), {}};
      if (line.find(") T ") != std::string::npos) return;
      std::this_thread::sleep_for(1ms);
    }
  }
  ~ScopedStall() { program_.signal(SIGCONT); }
  ScopedStall(const ScopedStall&) = delete;
  ScopedStall& operator=(const ScopedStall&) = delete;

 private:
  Program& program_;
};

class StalledBroker : public ::testing::Test {
 protected:
  HttpEngine engine_{[](const Call& call) { return call.method == "DELETE" ? http(204) : rows(kRow); }};
  Broker broker_{{{"s-00000001", engine_.server.address()}}};
};

TEST_F(StalledBroker, SendsRemainingClientTimeoutToEngine) {
  Client client(broker_.address);
  {
    const ScopedStall stall(*broker_.program);
    client.ask(1, "lookup", kSelect, {{"limit", 2000}});
    std::this_thread::sleep_for(800ms);
  }
  const auto call = engine_.calls.wait(is_post);
  EXPECT_LE(std::stoi(call.headers.at("X-Max-Ms")), 1200 + 150);
  EXPECT_EQ(body(client.answer()), kRow);
}

// The client's close, reset or cancel arrives during the stall, like its request, and is read together with
// it.
TEST_F(StalledBroker, SendsNothingForClientThatLeftDuringStall) {
  enum class ClientEnd { closes, resets, cancels };
  Client first(broker_.address);  // leaves an open connection to the engine for the next request
  first.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(first.answer()), kRow);
  for (const auto client_end : {ClientEnd::closes, ClientEnd::resets, ClientEnd::cancels}) {
    auto client = std::make_unique<Client>(broker_.address);
    ASSERT_TRUE(client->is_healthy());
    {
      const ScopedStall stall(*broker_.program);
      client->ask(1, "lookup", kSelect, {{"txn", "00000000000000aa"}});
      std::this_thread::sleep_for(100ms);
      if (client_end == ClientEnd::resets) client->socket.reset();
      if (client_end == ClientEnd::cancels)
        client->socket.send("{\"jsonrpc\":\"2.0\",\"method\":\"cancel\",\"params\":{\"id\":1}}\n");
      if (client_end == ClientEnd::closes) client.reset();
      std::this_thread::sleep_for(200ms);
    }
    std::this_thread::sleep_for(kSettleTime);
    EXPECT_EQ(engine_.posts(), 1U) << "client end " << static_cast<int>(client_end);
  }
}

TEST_F(StalledBroker, SendsNothingToEngineThatBeganToDrainDuringStall) {
  broker_.changes.wait_until_applied();
  Client client(broker_.address);
  ASSERT_TRUE(client.is_healthy());
  {
    const ScopedStall stall(*broker_.program);
    broker_.changes.push({server("s-00000001", engine_.server.address(), "terminating")});
    client.ask(1, "lookup", kSelect, {{"limit", 1500}});
    std::this_thread::sleep_for(800ms);
  }
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_EQ(engine_.posts(), 0U);
}

// Guards against a timeout of a new client's first request that expires during the stall.
TEST_F(StalledBroker, AnswersFirstRequestReceivedDuringStall) {
  Client client(broker_.address);
  std::this_thread::sleep_for(100ms);
  {
    const ScopedStall stall(*broker_.program);
    client.ask(1, "lookup", kSelect);
    std::this_thread::sleep_for(2500ms);
  }
  EXPECT_EQ(body(client.answer()), kRow);
}

// Guards against a timeout of an engine's answer that expires during the stall.
TEST(ProcessStall, UsesEngineAnswerReceivedDuringStall) {
  std::promise<void> answer;
  auto may_answer = answer.get_future().share();
  HttpEngine engine([&](const Call&) {
    may_answer.wait();
    return rows(kRow);
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "once", kSelect);
  engine.calls.wait(is_post);
  {
    const ScopedStall stall(*broker.program);
    answer.set_value();
    std::this_thread::sleep_for(1500ms);
  }
  EXPECT_EQ(body(client.answer()), kRow);
  EXPECT_EQ(engine.calls.all().size(), 1U) << "the answer is not polled for again";
}

TEST_F(StalledBroker, AnswersRequestReceivedAfterSigterm) {
  Client client(broker_.address);
  ASSERT_TRUE(client.is_healthy());
  {
    const ScopedStall stall(*broker_.program);
    broker_.program->signal(SIGTERM);
    std::this_thread::sleep_for(200ms);
    client.ask(1, "lookup", kSelect);
    std::this_thread::sleep_for(1500ms);
  }
  const auto answer = client.answer();
  EXPECT_EQ(answer.value("id", 0), 1) << answer;
  EXPECT_EQ(broker_.program->wait(), 0);
}

// A client that connects before the first iteration of the event loop has 2 s for its request, like any
// other.
TEST(ProcessStall, KeepsClientThatConnectsBeforeFirstIteration) {
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

// The platform kills the program a fixed time after it sends SIGTERM, even if the program handles the signal
// late. That time is 3.7 s if the longest deadline is 3 s or more.
TEST(ProcessStall, ShutdownDeadlineCountsFromArrivalOfSigterm) {
  HttpEngine engine([](const Call& call) { return http(call.method == "DELETE" ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  engine.calls.wait(is_post);
  const auto stop_requested_at = std::chrono::steady_clock::now();
  {
    const ScopedStall stall(*broker.program);
    broker.program->signal(SIGTERM);
    std::this_thread::sleep_for(1500ms);
  }
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_LT(std::chrono::steady_clock::now() - stop_requested_at, 3600ms);
  EXPECT_EQ(broker.program->wait(), 0);
}

}  // namespace
}  // namespace bellstair::test
