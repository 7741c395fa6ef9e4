// Users and their tenants in an LDAP directory: a search for the user's entry, then a bind with the user's
// own password. Nothing here blocks the loop; granting verdicts are cached.
#pragma once

#include <ev++.h>

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "core/events.hpp"
#include "directory/lookup_result.hpp"
#include "net/socket.hpp"

namespace bellstair::directory {

// Escapes a value by RFC 4515, so that it can't change the meaning of a filter.
[[nodiscard]] std::string escape_filter(std::string_view value);

class LdapDirectory {
 public:
  LdapDirectory(ev::loop_ref loop, const config::Directory& config, const config::Names& names);
  ~LdapDirectory();

  // Calls `done` exactly once: from here if the verdict is cached or the directory can't be asked, else from
  // the event loop.
  void look_up(const std::string& user, const std::string& password, LookupHandler done);
  void tick(core::Time now);  // ends lookups whose deadline has passed

 private:
  class UserLookup;
  struct CachedVerdict {
    LookupResult verdict;
    core::Time until{};
  };
  void answer(UserLookup& lookup, const LookupResult& verdict);
  [[nodiscard]] std::string key(const std::string& user, const std::string& password) const;

  ev::loop_ref loop_;
  const config::Directory& config_;
  const config::Names& names_;
  std::string salt_;
  std::unordered_map<std::string, CachedVerdict> cache_;
  std::list<std::unique_ptr<UserLookup>> lookups_;
  std::vector<std::unique_ptr<UserLookup>> finished_;  // destroyed by tick(): they may be on the call stack
  core::Time now_{};
};

}  // namespace bellstair::directory
