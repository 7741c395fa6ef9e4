// Tests logins with users of an LDAP directory in the real program.
#include <gtest/gtest.h>

#include "directory/ldap_directory.hpp"
#include "harness.hpp"
#include "mysql_client.hpp"

namespace bellstair::test {
namespace {
using namespace std::string_literals;

// ---- a directory server that supports the part of RFC 4511 needed for a search and two binds

std::string make_tlv(int tag, const std::string& value) {
  std::string out(1, static_cast<char>(tag));
  if (value.size() < 128) return out + static_cast<char>(value.size()) + value;
  return out + '\x82' + static_cast<char>(value.size() >> 8) + static_cast<char>(value.size()) + value;
}
// Removes one element from the front of `in` and returns its value. Sets `tag`, if given, to the element's
// tag.
std::string read_tlv(std::string& in, int* tag = nullptr) {
  if (tag != nullptr) *tag = static_cast<unsigned char>(in.at(0));
  std::size_t size = static_cast<unsigned char>(in.at(1)), header_size = 2;
  if (size >= 128) {
    const auto bytes = size - 128;
    for (size = 0; header_size < 2 + bytes; ++header_size)
      size = size << 8 | static_cast<unsigned char>(in.at(header_size));
  }
  if (in.size() < header_size + size) throw std::out_of_range("incomplete element");
  auto out = in.substr(header_size, size);
  in.erase(0, header_size + size);
  return out;
}

class LdapServer {
 public:
  explicit LdapServer(bool silent = false)
      : server([this, silent](Socket& socket) { serve(socket, silent); }) {}
  Log<std::string> requests;  // search values and bind names, in the order of arrival

 private:
  void serve(Socket& socket, bool silent) {
    while (socket.receive()) {
      try {
        while (!silent) answer(socket);
      } catch (const std::out_of_range&) {
        // the message is incomplete; more bytes are needed
      }
    }
  }
  void answer(Socket& socket) {
    auto rest = socket.in;
    auto message = read_tlv(rest);
    const auto id = read_tlv(message);
    int operation = 0;
    auto content = read_tlv(message, &operation);
    socket.in = rest;
    const auto reply = [&](int tag, const std::string& value) {
      socket.send(make_tlv(0x30, make_tlv(0x02, id) + make_tlv(tag, value)));
    };
    const auto result = [](int code) {
      return make_tlv(0x0a, std::string(1, static_cast<char>(code))) + make_tlv(0x04, "") +
             make_tlv(0x04, "");
    };
    if (operation == 0x60) {
      read_tlv(content);  // version
      const auto name = read_tlv(content), password = read_tlv(content);
      requests.add("bind " + name);
      const bool known = (name == "cn=broker" && password == "secret") ||
                         (name == "uid=amina,o=schools" && password == "pass");
      reply(0x61, result(known ? 0 : 49));
    } else if (operation == 0x63) {
      for (int i = 0; i < 6; ++i) read_tlv(content);  // base to typesOnly
      auto filter = read_tlv(content);
      read_tlv(filter);
      const auto user = read_tlv(filter);
      requests.add("search " + user);
      const auto tenant = make_tlv(
          0x30, make_tlv(0x30, make_tlv(0x04, "o") +
                                   make_tlv(0x31, make_tlv(0x04, user == "stray" ? "elsewhere" : "acme"))));
      if (user == "amina" || user == "stray")
        reply(0x64, make_tlv(0x04, "uid=" + user + ",o=schools") + tenant);
      reply(0x65, result(0));
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

TEST(Directory, LooksUpUsersWithTheirTenantsAndCachesThem) {
  LdapServer ldap;
  HttpEngine engine([](const Call&) { return rows("a\tb\tc\n"); });
  Broker broker({{"s-00000001", engine.server.address()}}, with_directory(ldap.server.address()));
  const auto mysql = broker.program->listen_address("mysql.listen");
  for (int i = 0; i < 3; ++i) {
    MysqlClient client(mysql, "amina", "pass");
    ASSERT_EQ(client.login[0], 0);
    EXPECT_EQ(client.query("SELECT 1").size(), 1U);
  }
  EXPECT_EQ(ldap.requests.count([](const std::string& what) { return what == "search amina"; }), 1U);
  // These logins are denied: an unknown user, a wrong password, an empty password (with which a directory
  // accepts a bind), a tenant that is not in the settings, and a search pattern as the user's name.
  for (const auto& [user, password] :
       {std::pair{"nobody", "pass"}, {"amina", "wrong"}, {"amina", ""}, {"stray", "pass"}, {"*", "pass"}})
    EXPECT_EQ(mysql::read_error(MysqlClient(mysql, user, password).login).code, 1045) << user;
  EXPECT_EQ(ldap.requests.count([](const std::string& what) { return what == "search *"; }),
            1U);  // as a name, not as a pattern
}

TEST(Directory, DeadOrSilentDirectoryDoesNotDelayOtherClients) {
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

TEST(Directory, EscapesFilterCharactersInUserNames) {
  EXPECT_EQ(directory::escape_filter("a*)(uid=\\"s + '\0' + "\xc3\xa9"), "a\\2a\\29\\28uid=\\5c\\00\\c3\\a9");
}

}  // namespace
}  // namespace bellstair::test
