// Tests the program as a process, with clients, engines and a change log that use the platform's protocols.
#include <gtest/gtest.h>

#include "harness.hpp"

namespace bellstair::test {
namespace {

const std::string kSelect = "SELECT a FROM sales_17.orders";

bool has_method(const Call& call, const char* method) { return call.method == method; }
bool is_poll(const Call& call) { return call.method == "GET" && call.path.find("/0") != std::string::npos; }

TEST(Platform, PollsQueryAndReturnsItsPagesInOrder) {
  std::atomic<int> polls = 0;
  HttpEngine engine([&](const Call& call) -> std::optional<std::string> {
    if (has_method(call, "POST") || (is_poll(call) && ++polls < 3)) return http(202);
    if (is_poll(call)) return rows("a\tb\tc\n", 3);
    const auto page = call.path.substr(call.path.rfind('/') + 1);
    return http(200, page + "\t\xc3\xa9\t\n", "Result-Page: " + page + "\r\n");
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(7, "load", kSelect, {{"unique", "5c0f"}, {"item", "7f3a9c21e0b4d655"}, {"ram", 96}});
  const auto answer = client.answer();
  EXPECT_EQ(answer["id"], 7);
  EXPECT_EQ(body(answer), "a\tb\tc\n1\t\xc3\xa9\t\n2\t\xc3\xa9\t\n");
  const auto post = engine.calls.wait([](const Call& c) { return has_method(c, "POST"); });
  EXPECT_EQ(post.body, kSelect);
  EXPECT_EQ(post.headers.at("X-Ticket"), "9b1f03aa5c7e2d41");
  EXPECT_EQ(post.headers.at("X-Queue"), "load");
  EXPECT_EQ(post.headers.at("X-Nonce"), "5c0f");
  EXPECT_LE(std::stoi(post.headers.at("X-Max-Ms")), 15000);
}

TEST(Platform, RejectsAtOnceWithRetryDelayWhenEnginesReject) {
  HttpEngine engine([](const Call&) { return http(503, {}, "X-Shed: 1\r\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "lookup", kSelect, {{"limit", 20000}});
  const auto before = std::chrono::steady_clock::now();
  const auto error = client.answer()["error"];
  EXPECT_LT(std::chrono::steady_clock::now() - before, 10s);  // long before its time limit
  EXPECT_EQ(error["code"], -32066);
  EXPECT_EQ(error["data"]["later"], 500);
}

TEST(Platform, DoesNotRetryUnsafeRequestAfterConnectionLoss) {
  HttpEngine engine([](const Call&) { return std::nullopt; });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "once", "UPDATE sales_17.orders SET a = 1");
  const auto error = client.answer()["error"];
  EXPECT_NE(error["code"], -32066);  // a rejection would guarantee that nothing ran
  EXPECT_EQ(engine.posts(), 1U);
}

TEST(Platform, RetriesKeyedRequestOnOtherEngineWithSameKey) {
  std::atomic<int> posts = 0;
  const auto answer = [&](const Call& call) -> std::optional<std::string> {
    if (has_method(call, "POST") && posts++ == 0) return std::nullopt;  // the first engine that is called
    if (!has_method(call, "POST")) return http(500);                    // it does not know the query
    return rows("x\ty\tz\n");
  };
  HttpEngine one(answer), two(answer);
  // Nothing proves that the first attempt has ended, so the retry needs hedging.
  Broker broker({{"s-00000001", one.server.address()}, {"s-00000002", two.server.address()}}, {}, 0,
                {{"ceilings", {{"second-copies", true}}}});
  Client client(broker.address);
  client.ask(1, "load", "UPDATE sales_17.orders SET a = 1", {{"unique", "abc123"}});
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  const auto keyed = [](const Call& c) {
    return has_method(c, "POST") && c.headers.at("X-Nonce") == "abc123";
  };
  EXPECT_EQ(one.calls.count(keyed), 1U);
  EXPECT_EQ(two.calls.count(keyed), 1U);
}

TEST(Platform, CancelDeletesQueryAndIsNotAnswered) {
  HttpEngine engine([](const Call& call) { return http(has_method(call, "DELETE") ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  engine.calls.wait(is_poll);
  client.socket.send(R"({"jsonrpc":"2.0","method":"cancel","params":{"id":1}})"
                     "\n");
  engine.calls.wait(
      [](const Call& c) { return has_method(c, "DELETE") && c.path == "/v1/store/9b1f03aa5c7e2d41"; });
  EXPECT_TRUE(client.is_healthy());  // the next line answers the health call, not the query
}

TEST(Platform, DoesNotAnswerCancelUnderIdOfRequest) {
  HttpEngine engine([](const Call& call) { return http(has_method(call, "DELETE") ? 204 : 202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(7, "lookup", kSelect);
  engine.calls.wait(is_poll);
  for (int i = 0; i < 2; ++i)
    client.socket.send(R"({"jsonrpc":"2.0","id":7,"method":"cancel"})"
                       "\n");
  engine.calls.wait([](const Call& c) { return has_method(c, "DELETE"); });
  EXPECT_TRUE(client.is_healthy());
}

TEST(Platform, DoesNotServeIncompleteResult) {
  HttpEngine engine([](const Call& call) {
    return has_method(call, "POST") ? rows("a\tb\tc\n", 2) : http(500);  // its other pages are lost
  });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "once", kSelect);
  EXPECT_TRUE(client.answer().contains("error"));
}

TEST(Platform, SendsNoNewQueryToDrainingEngine) {
  HttpEngine one([](const Call&) { return rows("1\t1\t1\n"); });
  HttpEngine two([](const Call&) { return rows("2\t2\t2\n"); });
  Broker broker({{"s-00000001", one.server.address()}});
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(client.answer()), "1\t1\t1\n");
  broker.changes.push({server("s-00000001", one.server.address(), "terminating"),
                       server("s-00000002", two.server.address())});
  broker.changes.wait_until_applied();
  for (int id = 2; id < 12; ++id) {
    client.ask(id, "lookup", kSelect);
    EXPECT_EQ(body(client.answer()), "2\t2\t2\n");
  }
  EXPECT_EQ(one.posts(), 1U);
}

// Guards against a limit on the number of brokers or engines that is too low for a large fleet.
TEST(Platform, SupportsAThousandBrokersAndEngines) {
  constexpr int kFleetSize = 1024;
  HttpEngine first_engine([](const Call&) { return rows("1\t1\t1\n"); });
  HttpEngine second_engine([](const Call&) { return rows("2\t2\t2\n"); });
  const auto id = [](int n) {
    char text[16];
    std::snprintf(text, sizeof text, "s-%08x", n);
    return std::string(text);
  };
  std::vector<std::pair<std::string, std::string>> engines;
  for (int n = 1; n <= kFleetSize; ++n) engines.emplace_back(id(n), first_engine.server.address());
  Broker broker(engines, {}, 0, {{"balancers", kFleetSize}, {"me", kFleetSize - 1}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_healthy());
  for (int n = 1; n <= 50; ++n) {
    client.ask(n, "lookup", kSelect);
    EXPECT_EQ(body(client.answer()), "1\t1\t1\n");
  }
  json update = json::array();
  for (int n = 1; n <= kFleetSize; ++n)
    update.push_back(server(id(n), first_engine.server.address(), "terminating"));
  for (int n = 1; n <= kFleetSize; ++n)
    update.push_back(server(id(kFleetSize + n), second_engine.server.address()));
  broker.changes.push(update);
  broker.changes.wait_until_applied();
  for (int n = 51; n <= 100; ++n) {
    client.ask(n, "lookup", kSelect);
    EXPECT_EQ(body(client.answer()), "2\t2\t2\n");
  }
}

TEST(Platform, SigtermMakesHealthFalseAndFinishesRequests) {
  std::atomic<bool> done = false;
  HttpEngine engine([&](const Call&) { return done ? rows("x\ty\tz\n") : http(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  EXPECT_TRUE(client.is_healthy());
  client.ask(1, "lookup", kSelect);
  engine.calls.wait(is_poll);
  broker.program->signal(SIGTERM);
  broker.program->wait_for_log("phase: draining");
  Client late(broker.address);  // still accepted, and served
  EXPECT_FALSE(late.is_healthy());
  late.ask(5, "lookup", kSelect, {{"txn", "00000000000000aa"}});
  done = true;
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  EXPECT_EQ(body(late.answer()), "x\ty\tz\n");
  EXPECT_EQ(broker.program->wait(), 0);
}

TEST(Platform, SighupChangesChangeLogAndKeepsRequests) {
  std::atomic<bool> done = false;
  HttpEngine one([&](const Call&) { return done ? rows("1\t1\t1\n") : http(202); });
  HttpEngine two([](const Call&) { return rows("2\t2\t2\n"); });
  Broker broker({{"s-00000001", one.server.address()}});
  broker.changes.wait_until_applied();
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  one.calls.wait(is_poll);
  ChangeLog other_log;  // with the same numbering of events
  other_log.push({server("s-00000001", one.server.address())}, true);
  broker.config["changelog"] = other_log.address();
  broker.config["peers_all"] = "127.0.0.1:9";
  for (int i = 0; i < 3; ++i) broker.reload(broker.config.dump());
  other_log.wait_until_applied();
  broker.program->wait_for_log("a restart: peers_all");
  other_log.push({server("s-00000001", one.server.address(), "terminating"),
                  server("s-00000002", two.server.address())});
  other_log.wait_until_applied();
  client.ask(2, "lookup", kSelect, {{"txn", "00000000000000aa"}});
  EXPECT_EQ(body(client.answer()), "2\t2\t2\n");
  done = true;
  EXPECT_EQ(body(client.answer()), "1\t1\t1\n");
}

TEST(Platform, SighupWithInvalidFileOrWhileDrainingKeepsRequests) {
  std::atomic<bool> done = false;
  HttpEngine engine([&](const Call&) { return done ? rows("x\ty\tz\n") : http(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  engine.calls.wait(is_poll);
  broker.reload(R"({"listen": "127.0.0.1:0", "changelog": )");
  broker.program->wait_for_log("the configuration was not reloaded: configuration: is not a JSON object");
  broker.changes.push({server("s-00000002", engine.server.address())});
  broker.changes.wait_until_applied();  // changes are still applied
  broker.program->signal(SIGTERM);
  broker.program->wait_for_log("phase: draining");
  broker.reload(broker.config.dump());
  broker.program->wait_for_log("the configuration was reloaded");
  done = true;
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  EXPECT_EQ(broker.program->wait(), 0);
}

TEST(Platform, InvalidInputDoesNotAffectOtherClients) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client valid(broker.address), invalid(broker.address);
  const std::pair<const char*, int> kInvalid[] = {
      {"{", -32700},
      {"[]", -32600},
      {R"({"jsonrpc":"2.0","id":-1,"method":"lookup"})", -32600},
      {R"({"jsonrpc":"2.0","id":1,"method":"nothing"})", -32601},
      {R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"../../etc","limit":9,"data":""}})",
       -32602},
      {R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":{"txn":"9b1f03aa5c7e2d41","limit":9,"data":"*"}})",
       -32602}};
  for (const auto& [line, code] : kInvalid) {
    invalid.socket.send(std::string(line) + "\n");
    EXPECT_EQ(invalid.answer()["error"]["code"], code) << line;
  }
  invalid.socket.send(std::string(300 * 1024, 'x'));
  EXPECT_TRUE(invalid.socket.ended());
  valid.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(valid.answer()), "x\ty\tz\n");
}

// Guards against closing a connection with unread input: the reset would discard the error before the client
// has read it.
TEST(Platform, ClientCanReadErrorAfterOverlongLine) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client invalid(broker.address);
  ASSERT_TRUE(invalid.socket.send(std::string(std::size_t{8} << 20, 'x')));
  EXPECT_EQ(invalid.answer()["error"]["code"], -32600);
  EXPECT_TRUE(invalid.socket.ended());
}

TEST(Platform, ClosesSilentClientsAndServesActiveOnes) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});  // 256 descriptors suffice for 101 clients
  Client active(broker.address), incomplete(broker.address), silent(broker.address);
  active.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(active.answer()), "x\ty\tz\n");
  incomplete.socket.send(R"({"jsonrpc":"2.0","id":1,"meth)");
  EXPECT_EQ(incomplete.answer()["error"]["message"], "no whole request came");
  EXPECT_TRUE(incomplete.socket.ended());
  EXPECT_TRUE(silent.socket.ended());
  std::vector<Client> others;
  for (int i = 0; i < 200; ++i) others.emplace_back(broker.address).socket.send("{");
  Client late(broker.address);
  for (auto* client : {&active, &late}) {
    client->ask(2, "lookup", kSelect, {{"txn", client == &late ? "00000000000000aa" : "00000000000000bb"}});
    EXPECT_EQ(body(client->answer()), "x\ty\tz\n");
  }
}

TEST(Platform, LimitsNestingAndInvalidMessages) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client deep(broker.address), persistent(broker.address), valid(broker.address);
  deep.socket.send(R"({"jsonrpc":"2.0","id":1,"method":"lookup","params":)" + std::string(200'000, '[') +
                   std::string(200'000, ']') + "}\n");
  EXPECT_TRUE(deep.answer().contains("error"));
  for (int i = 0; i < 1000; ++i) persistent.socket.send("{}\n");
  int replies = 0;
  while (persistent.socket.receive()) replies += 1;
  EXPECT_GT(replies, 0);
  valid.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(valid.answer()), "x\ty\tz\n");
}

// Engines identify a query by its id alone: they would answer the second request with the rows of the first.
TEST(Platform, RejectsIdOfOpenRequest) {
  HttpEngine engine([](const Call&) { return http(202); });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client one(broker.address), two(broker.address);
  one.ask(1, "lookup", kSelect);
  engine.calls.wait(is_poll);
  two.ask(1, "lookup", "SELECT b FROM sales_18.orders");
  EXPECT_TRUE(two.answer().contains("error"));
  EXPECT_EQ(engine.posts(), 1U);
}

// Guards against leaving a connection unaccepted for lack of descriptors: it would wake the event loop
// endlessly.
TEST(Platform, ClosesNewConnectionsWhenOutOfDescriptors) {
  HttpEngine engine([](const Call&) { return rows("x\ty\tz\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, {}, 24);
  Client client(broker.address);
  client.ask(1, "lookup", kSelect);
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
  std::vector<Socket> connections;
  for (int i = 0; i < 40; ++i) connections.push_back(Socket::to(broker.address));
  EXPECT_TRUE(connections.back().ended());
  client.ask(2, "lookup", kSelect);
  EXPECT_EQ(body(client.answer()), "x\ty\tz\n");
}

TEST(Platform, AnswersWithErrorToInvalidEngineResponse) {
  HttpEngine engine([](const Call&) { return "HTTP/9.9 what\r\n\r\n"; });
  Broker broker({{"s-00000001", engine.server.address()}});
  Client client(broker.address);
  client.ask(1, "once", kSelect);
  EXPECT_TRUE(client.answer().contains("error"));
  EXPECT_TRUE(client.is_healthy());
}

TEST(CommandLine, ReportsInvalidConfigurationInOneLineWithField) {
  const std::pair<json, const char*> kInvalid[] = {
      {{{"seed", "xyz"}}, "seed: is not a number in hex digits"},
      {{{"listen", "here"}}, "listen: is not an address with a port"},
      {{{"limits", {{"sockets", -1}}}}, "limits.sockets: is not a whole number"},
      {{{"settings", {{"balancers", 1}}}}, "settings: classes is missing"}};
  for (const auto& [change, message] : kInvalid) {
    json config{
        {"listen", "127.0.0.1:0"}, {"changelog", "127.0.0.1:1"}, {"seed", "1"}, {"settings", settings()}};
    config.update(change);
    const auto file = write_temporary_file(config.dump());
    Program program({"check-config", "--config", file});
    program.wait_for_log(message);
    EXPECT_NE(program.wait(), 0);
    EXPECT_EQ(program.line_count(), 1U);
    ::unlink(file.c_str());
  }
}

}  // namespace
}  // namespace bellstair::test
