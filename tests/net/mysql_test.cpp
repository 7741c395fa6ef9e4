// The second front between MySQL clients and engines of both kinds. The stand-in server is written from the
// protocol's public description; it counts what it has executed, by key.
#include <gtest/gtest.h>

#include "harness.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {
using namespace std::string_literals;

struct Executed {
  std::string statement, unique, cls;
};

// A server that speaks MySQL. `answer` gives the rows of an executed statement, or none to drop the
// connection.
class MysqlEngine {
 public:
  using Rows = std::vector<std::vector<my::Cell>>;
  using Answer = std::function<std::optional<Rows>(const Executed&)>;
  explicit MysqlEngine(Answer answer)
      : answer_(std::move(answer)), server([this](Socket& socket) { serve(socket); }) {}
  Log<Executed> executed;
  Log<std::string> prepared, killed;
  std::function<void()> on_prepare;
  bool twice = false;  // an OK comes with another behind it

 private:
  void serve(Socket& socket) {
    PacketSocket packets(socket);
    const std::string nonce(20, 'n');
    packets.send(my::write_greeting({"8.0.36", nonce, my::kNativePassword, 11, kCapabilities}));
    const auto login = my::read_login(packets.receive());
    if (login.answer != my::native_auth_response("secret", nonce))
      return packets.send(my::write_error({1045, "28000", "no"}));
    packets.send(my::write_ok());
    std::map<std::uint32_t, std::string> statements;
    while (true) {
      const auto payload = packets.receive();
      Executed what;
      const auto note = [&](const std::vector<my::Attribute>& attributes) {
        for (const auto& [name, value] : attributes) {
          if (name == "unique") what.unique = sql::as_text(value).value();
          if (name == "class") what.cls = sql::as_text(value).value();
        }
      };
      if (payload[0] == my::kPrepare) {
        const auto id = static_cast<std::uint32_t>(statements.size() + 1);
        statements[id] = payload.substr(1);
        prepared.add(payload.substr(1));
        if (on_prepare) on_prepare();
        packets.send(my::write_prepared({id, 0, 1}));
        packets.send(my::write_column("?", my::kTypeVarString));
        packets.send(my::write_eof());
        continue;
      }
      const bool binary = payload[0] == my::kExecute;
      if (binary) {
        my::ParameterTypes types;
        const auto execute = my::read_execute(payload, 1, true, types);
        what.statement = statements.at(execute.statement);
        note(execute.attributes);
      } else if (payload[0] == my::kQuery) {
        const auto query = my::read_query(payload, true);
        what.statement = query.text;
        note(query.attributes);
        if (query.text.rfind("KILL", 0) == 0) {
          killed.add(query.text);
          packets.send(my::write_ok());
          continue;
        }
      } else {
        return;
      }
      executed.add(what);
      const auto rows = answer_(what);
      if (!rows) return socket.reset();
      if (rows->empty()) {
        if (twice) {
          socket.send(my::frame(1, my::write_ok()) + my::frame(2, my::write_ok()));
          continue;
        }
        packets.send(my::write_ok());
        continue;
      }
      packets.send(std::string(1, static_cast<char>(rows->front().size())));
      for (std::size_t i = 0; i < rows->front().size(); ++i)
        packets.send(my::write_column("c" + std::to_string(i), my::kTypeVarString));
      packets.send(my::write_eof());
      for (const auto& row : *rows)
        packets.send(binary ? my::write_binary_row(row) : my::write_text_row(row));
      packets.send(my::write_eof());
    }
  }
  Answer answer_;

 public:
  Server server;
};

json fronts(bool mysql_engines) {
  json out{{"mysql",
            {{"listen", "127.0.0.1:0"},
             {"users", {{{"name", "gateway"}, {"password_env", "TEST_SECRET"}, {"tenant", "acme"}}}}}}};
  if (mysql_engines) out["mysql_engines"] = {{"user", "broker"}, {"password_env", "TEST_SECRET"}};
  return out;
}

class MysqlBroker : public Broker {
 public:
  MysqlBroker(const std::vector<std::pair<std::string, std::string>>& engines, bool mysql_engines)
      : Broker(engines, fronts(mysql_engines)), mysql(program->listens("mysql.listen")) {}
  std::string mysql;
};

std::size_t keyed(MysqlEngine& engine, const std::string& key) {
  return engine.executed.count([&](const Executed& e) { return e.unique == key; });
}

TEST(Mysql, WhoIsLetInAndWhatIsUnknown) {
  HttpEngine engine([](const Call&) { return rows("a\tb\tc\n"); });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient native(broker.mysql, "gateway", "secret", my::kNativePassword), client(broker.mysql);
  EXPECT_EQ(native.login[0], 0);
  EXPECT_EQ(client.login[0], 0);
  for (const auto& [user, password] :
       {std::pair{"gateway", "wrong"}, {"nobody", "secret"}, {"gateway", ""}}) {
    MysqlClient denied(broker.mysql, user, password);
    EXPECT_EQ(my::read_error(denied.login).code, 1045);
    EXPECT_TRUE(denied.socket.ended());
  }
  EXPECT_EQ(client.command("\x0e")[0], 0);  // ping
  EXPECT_EQ(my::read_error(client.command("\x02"
                                          "db"))
                .code,
            1047);                                                          // not offered
  EXPECT_EQ(my::read_error(client.command("\x1a\x09\0\0\0"s)).code, 1243);  // no such statement
  EXPECT_EQ(client.query("SET NAMES utf8mb4").size(), 0U);
  EXPECT_EQ(client.error.code, 0);
  client.packets.send_command("\x01");
  EXPECT_TRUE(client.socket.ended());
}

TEST(Mysql, PreparedStatementsReachHttpEnginesWithTheirValues) {
  HttpEngine engine([](const Call&) { return rows("1\t2\t3\n4\t5\t6\n"); });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient client(broker.mysql);
  const auto statement = client.prepare("SELECT a FROM sales_17.orders WHERE b = ?");
  const std::vector<std::vector<my::Cell>> expected{{"1", "2", "3"}, {"4", "5", "6"}};
  EXPECT_EQ(client.execute(statement, {"it's"s}), expected);
  EXPECT_EQ(client.query("SELECT a FROM sales_17.orders"), expected);
  EXPECT_EQ(engine.calls.count(
                [](const Call& c) { return c.body == "SELECT a FROM sales_17.orders WHERE b = 'it''s'"; }),
            1U);
  EXPECT_EQ(client.command("\x1a"s + std::string("\x01\0\0\0", 4))[0], 0);  // reset
  client.packets.send_command("\x19"s + std::string("\x01\0\0\0", 4));      // close: nothing answers
  client.execute(statement, {"x"s});
  EXPECT_EQ(client.error.code, 1243);
  client.query("DELETE FROM sales_17.orders");
  EXPECT_EQ(client.error.code, 1210);  // a write must name its class
}

TEST(Mysql, RefusedFailedAndTimedOutDiffer) {
  HttpEngine engine([](const Call& call) {
    if (call.headers.contains("X-Queue") && call.headers.at("X-Queue") == "lookup")
      return http(503, {}, "X-Shed: 1\r\n");
    return http(call.body == "UPDATE sales_17.x SET a = 1" ? 500 : 202);
  });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient client(broker.mysql);
  client.query("UPDATE sales_17.x SET a = 1", {{"class", "once"s}});
  EXPECT_EQ(client.error.code, 50002);
  EXPECT_EQ(client.error.state, "HY000");
  client.query("UPDATE sales_17.x SET a = 2", {{"class", "once"s}, {"limit", std::int64_t{900}}});
  EXPECT_EQ(client.error.code, 50003);
  EXPECT_EQ(client.error.state, "HYT00");
  engine.calls.wait([](const Call& c) { return c.method == "DELETE"; });
  client.query("SELECT 1");
  EXPECT_EQ(client.error.code, 50001);
  EXPECT_EQ(client.error.state, "40001");
  EXPECT_NE(client.error.message.find("500 ms"), std::string::npos);
}

TEST(Mysql, ADroppedExecuteGoesAgainOnlyAsItsClassAllows) {
  std::atomic<bool> drop = true;
  const auto answer = [&](const Executed& what) -> std::optional<MysqlEngine::Rows> {
    if (what.cls == "once" || drop.exchange(false)) return std::nullopt;
    return MysqlEngine::Rows{};
  };
  MysqlEngine one(answer), two(answer);
  MysqlBroker broker({{"s-00000001", one.server.address()}, {"s-00000002", two.server.address()}}, true);
  MysqlClient client(broker.mysql);
  const auto load =
      client.prepare("/* bellstair: class=load unique=?1 item=a1 */ INSERT INTO sales_17.x VALUES (?)");
  client.execute(load, {"key-1"s});
  EXPECT_EQ(client.error.code, 0) << client.error.message;
  // It may have run where it was dropped. Engines drop a repeat of its key, so it goes once more, with the
  // key.
  EXPECT_EQ(keyed(one, "key-1") + keyed(two, "key-1"), 2U);
  client.execute(load, {"key-2"s});
  EXPECT_EQ(keyed(one, "key-2") + keyed(two, "key-2"), 1U);
  const auto once = client.prepare("/* bellstair: class=once unique=?1 */ INSERT INTO sales_17.x VALUES (?)");
  client.execute(once, {"key-3"s});
  EXPECT_EQ(client.error.code, 50002);
  EXPECT_EQ(keyed(one, "key-3") + keyed(two, "key-3"), 1U);
}

TEST(Mysql, AStatementPreparedOnOneEngineWorksOnAnother) {
  const MysqlEngine::Rows rows{{"x", std::nullopt}, {"tab\there", "\\"}};
  MysqlEngine one([&](const Executed&) { return rows; }), two([&](const Executed&) { return rows; });
  MysqlBroker broker({{"s-00000001", one.server.address()}}, true);
  MysqlClient client(broker.mysql);
  const auto statement = client.prepare("SELECT a FROM sales_17.x WHERE b = ?");
  EXPECT_EQ(one.prepared.count([](const auto&) { return true; }),
            0U);  // it is the broker's until it is executed
  EXPECT_EQ(client.execute(statement, {"1"s}), rows);
  EXPECT_EQ(client.execute(statement, {"2"s}), rows);
  EXPECT_EQ(one.prepared.count([](const auto&) { return true; }), 1U);  // once for a connection
  one.server.stop();
  broker.changes.push(
      {server("s-00000001", one.server.address(), "terminated"), server("s-00000002", two.server.address())});
  broker.changes.wait_until_told();
  EXPECT_EQ(client.execute(statement, {"3"s}), rows);
  EXPECT_EQ(two.prepared.count([](const auto&) { return true; }), 1U);
}

// What comes behind an answer was taken for the answer to the next statement.
TEST(Mysql, AnAnswerWithMoreBehindItIsUsedAndItsConnectionIsNot) {
  const MysqlEngine::Rows rows{{"x"}};
  MysqlEngine engine(
      [&](const Executed& e) { return e.statement.rfind("SELECT", 0) == 0 ? rows : MysqlEngine::Rows(); });
  engine.twice = true;
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, true);
  MysqlClient client(broker.mysql);
  client.query("/* bellstair: class=lookup */ UPDATE sales_17.x SET a = 1");
  EXPECT_EQ(client.error.code, 0);
  EXPECT_EQ(client.query("SELECT a FROM sales_17.x"), rows);
}

// An execute must not leave once the engine drains, though its prepare has left before.
TEST(Mysql, WhatIsBeingPreparedWhenItsEngineDrainsIsExecutedElsewhere) {
  const auto answer = [](const Executed&) { return MysqlEngine::Rows{{"x"}}; };
  MysqlEngine one(answer), two(answer);
  std::promise<void> go_on;
  one.on_prepare = [wait = go_on.get_future().share()] { wait.wait(); };
  MysqlBroker broker({{"s-00000001", one.server.address()}}, true);
  MysqlClient client(broker.mysql);
  const auto statement = client.prepare("SELECT a FROM sales_17.x WHERE b = ?");
  client.packets.send_command(my::write_execute({statement, {"1"s}, {}}, true));
  one.prepared.wait([](const std::string&) { return true; });
  broker.changes.push({server("s-00000001", one.server.address(), "terminating"),
                       server("s-00000002", two.server.address())});
  broker.changes.wait_until_told();
  go_on.set_value();
  EXPECT_EQ(client.result(client.packets.receive(), true).size(), 1U);
  EXPECT_EQ(one.executed.count([](const Executed&) { return true; }), 0U);
  EXPECT_EQ(two.executed.count([](const Executed&) { return true; }), 1U);
}

TEST(Mysql, AStatementPastItsDeadlineIsKilledWhereItRuns) {
  std::promise<void> over;
  MysqlEngine engine([&, wait = over.get_future().share()](const Executed&) {
    wait.wait();
    return MysqlEngine::Rows{};
  });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, true);
  MysqlClient client(broker.mysql);
  client.query("UPDATE sales_17.x SET a = 1", {{"class", "once"s}, {"limit", std::int64_t{900}}});
  EXPECT_EQ(client.error.code, 50003);
  engine.killed.wait([](const std::string& text) { return text == "KILL 11"; });
  over.set_value();
}

TEST(Mysql, BadPacketsAreRefusedAndHarmNobodyElse) {
  HttpEngine engine([](const Call&) { return rows("a\tb\tc\n"); });
  MysqlBroker broker({{"s-00000001", engine.server.address()}}, false);
  MysqlClient good(broker.mysql);
  for (const auto& bad : {"\x17\x01"s, ""s, "\x03\xff\xff"s}) {
    MysqlClient client(broker.mysql);
    EXPECT_EQ(my::read_error(client.command(bad)).code, 1835);
    EXPECT_TRUE(client.socket.ended());
  }
  MysqlClient large(broker.mysql);
  large.socket.send("\xff\xff\xff\x00"s);
  EXPECT_EQ(my::read_error(large.packets.receive()).code, 1835);
  auto raw = Socket::to(broker.mysql);
  raw.send("GET / HTTP/1.1\r\n\r\n");
  EXPECT_TRUE(raw.ended());
  EXPECT_EQ(good.query("SELECT a FROM sales_17.x").size(), 1U);
}

}  // namespace
}  // namespace bellstair::test
