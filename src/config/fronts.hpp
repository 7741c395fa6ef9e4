// What is off on the platform: the operator's own file in HCL, `deploy/bellstair.hcl` in this repository.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.hpp"
#include "config/control.hpp"
#include "hooks/spec.hpp"

namespace bellstair::config {

struct MysqlUser {
  std::string name, password, tenant;
  bool operator==(const MysqlUser&) const = default;
};
struct MysqlFront {
  std::string listen;
  std::vector<MysqlUser> users;
  bool operator==(const MysqlFront&) const = default;
};
struct MysqlEngines {  // the engines of the change log speak MySQL too
  std::string user, password;
  bool operator==(const MysqlEngines&) const = default;
};
struct Directory {  // LDAP
  std::string address, bind_dn, bind_password, base, user_attribute, tenant_attribute;
  core::Time timeout{}, cache{};
  bool operator==(const Directory&) const = default;
};
struct OperatorConfig {
  std::optional<MysqlFront> mysql;
  std::optional<MysqlEngines> mysql_engines;
  std::optional<Directory> directory;
  std::optional<Control> control;
  hooks::Set hooks;
};

// The names of fronts in settings and scripts, by core::FrontKind.
inline const std::vector<std::string> kFrontNames{"platform", "mysql"};

// Secrets are named by the environment variable that holds them. Throws hcl::Invalid, with all that is wrong.
[[nodiscard]] OperatorConfig parse_operator_config(std::string_view text, const std::string& file,
                                                   const Names& names);

// Only what is about hooks. `open`: classes and tenants that `names` does not hold are added to it.
[[nodiscard]] hooks::Set parse_hooks(std::string_view text, const std::string& file, Names& names, bool open);

}  // namespace bellstair::config
