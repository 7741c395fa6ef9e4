// Directories, with the real program.
#include <gtest/gtest.h>

#include "directory/ldap_directory.hpp"
#include "harness.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {
using namespace std::string_literals;

// ---- directories: RFC 4511, as much of it as a search and two binds need

std::string tlv(int tag, const std::string& value) {
  std::string out(1, static_cast<char>(tag));
  if (value.size() < 128) return out + static_cast<char>(value.size()) + value;
  return out + '\x82' + static_cast<char>(value.size() >> 8) + static_cast<char>(value.size()) + value;
}
// Takes one element off the front; its tag, if `tag` is given.
std::string untlv(std::string& in, int* tag = nullptr) {
  if (tag != nullptr) *tag = static_cast<unsigned char>(in.at(0));
  std::size_t size = static_cast<unsigned char>(in.at(1)), head = 2;
  if (size >= 128) {
    const auto bytes = size - 128;
    for (size = 0; head < 2 + bytes; ++head) size = size << 8 | static_cast<unsigned char>(in.at(head));
  }
  if (in.size() < head + size) throw std::out_of_range("not whole yet");
  auto out = in.substr(head, size);
  in.erase(0, head + size);
  return out;
}

class LdapServer {
 public:
  explicit LdapServer(bool silent = false)
      : server([this, silent](Socket& socket) { serve(socket, silent); }) {}
  Log<std::string> asked;  // filters' values and names that bound

 private:
  void serve(Socket& socket, bool silent) {
    while (socket.receive()) {
      try {
        while (!silent) answer(socket);
      } catch (const std::out_of_range&) {
        // not whole yet
      }
    }
  }
  void answer(Socket& socket) {
    auto rest = socket.in;
    auto message = untlv(rest);
    const auto id = untlv(message);
    int operation = 0;
    auto what = untlv(message, &operation);
    socket.in = rest;
    const auto say = [&](int tag, const std::string& value) {
      socket.send(tlv(0x30, tlv(0x02, id) + tlv(tag, value)));
    };
    const auto result = [](int code) {
      return tlv(0x0a, std::string(1, static_cast<char>(code))) + tlv(0x04, "") + tlv(0x04, "");
    };
    if (operation == 0x60) {
      untlv(what);  // version
      const auto name = untlv(what), password = untlv(what);
      asked.add("bind " + name);
      const bool known = (name == "cn=broker" && password == "secret") ||
                         (name == "uid=amina,o=schools" && password == "pass");
      say(0x61, result(known ? 0 : 49));
    } else if (operation == 0x63) {
      for (int i = 0; i < 6; ++i) untlv(what);  // base to typesOnly
      auto filter = untlv(what);
      untlv(filter);
      const auto user = untlv(filter);
      asked.add("search " + user);
      const auto tenant =
          tlv(0x30, tlv(0x30, tlv(0x04, "o") + tlv(0x31, tlv(0x04, user == "stray" ? "elsewhere" : "acme"))));
      if (user == "amina" || user == "stray") say(0x64, tlv(0x04, "uid=" + user + ",o=schools") + tenant);
      say(0x65, result(0));
    }
  }

 public:
  Server server;
};

json with_directory(const std::string& address) {
  return {{"mysql", {{"listen", "127.0.0.1:0"}}},
          {"directory",
           {{"address", address},
            {"base", "o=schools"},
            {"bind_dn", "cn=broker"},
            {"bind_password_env", "TEST_SECRET"},
            {"timeout_ms", 500}}}};
}

TEST(Directory, UsersComeFromItWithTheirTenantsAndAreRemembered) {
  LdapServer ldap;
  HttpEngine engine([](const Call&) { return rows("a\tb\tc\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, with_directory(ldap.server.address()));
  const auto mysql = broker.program->listen_address("mysql.listen");
  for (int i = 0; i < 3; ++i) {
    MysqlClient client(mysql, "amina", "pass");
    ASSERT_EQ(client.login[0], 0);
    EXPECT_EQ(client.query("SELECT 1").size(), 1U);
  }
  EXPECT_EQ(ldap.asked.count([](const std::string& what) { return what == "search amina"; }), 1U);
  // Unknown, a wrong password, none at all (which a directory would let pass), a tenant in no settings, a
  // filter.
  for (const auto& [user, password] :
       {std::pair{"nobody", "pass"}, {"amina", "wrong"}, {"amina", ""}, {"stray", "pass"}, {"*", "pass"}})
    EXPECT_EQ(mysql::read_error(MysqlClient(mysql, user, password).login).code, 1045) << user;
  EXPECT_EQ(ldap.asked.count([](const std::string& what) { return what == "search *"; }),
            1U);  // as a name, no pattern
}

TEST(Directory, OneThatIsDeadOrSilentHoldsNobodyUp) {
  HttpEngine engine([](const Call&) { return rows("a\tb\tc\n"); });
  LdapServer silent(true), dead;
  dead.server.stop();
  for (const auto& address : {silent.server.address(), dead.server.address()}) {
    Broker broker({{"s-00000001", engine.server.address()}}, with_directory(address));
    const auto mysql = broker.program->listen_address("mysql.listen");
    auto waiting = std::async(std::launch::async, [&] { return MysqlClient(mysql, "amina", "pass").login; });
    Client client(broker.address);
    client.ask(1, "lookup", "SELECT 1");
    EXPECT_EQ(body(client.answer()), "a\tb\tc\n");
    EXPECT_EQ(mysql::read_error(waiting.get()).code, 1429);
  }
}

TEST(Directory, NothingInAUsersNameChangesTheFilter) {
  EXPECT_EQ(directory::escape_filter("a*)(uid=\\"s + '\0' + "\xc3\xa9"), "a\\2a\\29\\28uid=\\5c\\00\\c3\\a9");
}

}  // namespace
}  // namespace bellstair::test
