// What is off on the platform: the program's own file, `deploy/fronts.json` in this repository.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"

namespace bellstair::config {

struct MysqlUser {
  std::string name, password, tenant;
};
struct MysqlFront {
  std::string listen;
  std::vector<MysqlUser> users;
};
struct MysqlEngines {  // the engines of the change log speak MySQL too
  std::string user, password;
};
struct Plugin {
  std::string script;  // a file's path
  core::Time time{};   // for one call
  std::size_t memory = 0;
};
struct Directory {  // LDAP
  std::string address, bind_dn, bind_password, base, user_attribute, tenant_attribute;
  core::Time timeout{}, cache{};
};
struct Fronts {
  std::optional<MysqlFront> mysql;
  std::optional<MysqlEngines> mysql_engines;
  std::optional<Plugin> plugin;
  std::optional<Directory> directory;
};

// Secrets are named by the environment variable that holds them. Throws Invalid.
[[nodiscard]] Fronts parse_fronts(std::string_view json, const Names& names);

}  // namespace bellstair::config
