#include "config/fronts.hpp"

#include <cstdlib>

#include "config/read.hpp"

namespace bellstair::config {
namespace {
using nlohmann::json;

std::string secret(const json& in, const char* key) {
  const auto variable = text(need(in, key), key);
  const char* value = std::getenv(variable.c_str());
  if (value == nullptr) bad(key, "names an environment variable that is not set");
  return value;
}

core::Time ms_or(const json& in, const char* key, std::uint64_t otherwise) {
  const auto found = in.find(key);
  const auto value = found == in.end() ? otherwise : whole(*found, key);
  if (value == 0 || value > 86'400'000) bad(key, "is out of range");
  return std::chrono::milliseconds(value);
}

MysqlFront parse_mysql(const json& in, const Names& names, bool directory) {
  MysqlFront out;
  out.listen = text(need(in, "listen"), "mysql.listen");
  check_address(out.listen, "mysql.listen");
  // A directory takes passwords as they are, and there is no TLS here to hide them.
  if (directory && !out.listen.starts_with("127."))
    bad("mysql.listen", "must be a loopback address beside a directory");
  if (const auto users = in.find("users"); users != in.end()) {
    for (const json& user : list(*users, "mysql.users")) {
      object(user, "mysql.users[]");
      out.users.push_back({text(need(user, "name"), "mysql.users[].name"), secret(user, "password_env"),
                           text(need(user, "tenant"), "mysql.users[].tenant")});
      if (!names.tenants.contains(out.users.back().tenant)) bad("mysql.users[].tenant", "is in no settings");
    }
  }
  if (out.users.empty() && !directory) bad("mysql.users", "names nobody, and there is no directory");
  return out;
}

Directory parse_directory(const json& in) {
  Directory out;
  out.address = text(need(in, "address"), "directory.address");
  check_address(out.address, "directory.address");
  out.base = text(need(in, "base"), "directory.base");
  out.bind_dn = text_or_none(in, "bind_dn");
  if (!out.bind_dn.empty()) out.bind_password = secret(in, "bind_password_env");
  const auto or_else = [&](const char* key, const char* otherwise) {
    auto given = text_or_none(in, key);
    return given.empty() ? std::string(otherwise) : given;
  };
  out.user_attribute = or_else("user_attribute", "uid");
  out.tenant_attribute = or_else("tenant_attribute", "o");
  out.timeout = ms_or(in, "timeout_ms", 2000);
  out.cache = ms_or(in, "cache_ms", 60000);
  return out;
}
}  // namespace

Fronts parse_fronts(std::string_view in, const Names& names) {
  const json all = parse_json(in, "fronts");
  Fronts out;
  if (const auto directory = all.find("directory"); directory != all.end())
    out.directory = parse_directory(object(*directory, "directory"));
  if (const auto mysql = all.find("mysql"); mysql != all.end())
    out.mysql = parse_mysql(object(*mysql, "mysql"), names, out.directory.has_value());
  if (const auto engines = all.find("mysql_engines"); engines != all.end()) {
    object(*engines, "mysql_engines");
    out.mysql_engines =
        MysqlEngines{text(need(*engines, "user"), "mysql_engines.user"), secret(*engines, "password_env")};
  }
  if (const auto plugin = all.find("plugin"); plugin != all.end()) {
    object(*plugin, "plugin");
    const auto kilobytes = plugin->find("memory_kb");
    out.plugin = Plugin{text(need(*plugin, "script"), "plugin.script"), ms_or(*plugin, "time_ms", 2),
                        1024 * (kilobytes == plugin->end() ? 1024 : whole(*kilobytes, "plugin.memory_kb"))};
  }
  return out;
}

}  // namespace bellstair::config
