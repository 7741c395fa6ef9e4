// Parses the operator's file in HCL, `deploy/bellstair.hcl` in this repository: features that are off unless
// this file configures them.
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
struct MysqlEngines {  // if set, brokers use MySQL to the engines of the change log
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

// Reads secrets from the environment variables that the file names. Throws hcl::Invalid with all errors.
[[nodiscard]] OperatorConfig parse_operator_config(std::string_view text, const std::string& file,
                                                   const Names& names);

// Parses only the settings of hooks. `add_names`: adds unknown classes and tenants to `names`, instead of
// reporting them as errors.
[[nodiscard]] hooks::Set parse_hooks(std::string_view text, const std::string& file, Names& names,
                                     bool add_names);

}  // namespace bellstair::config
