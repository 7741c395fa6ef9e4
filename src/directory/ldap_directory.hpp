// Looks up users and their tenants in an LDAP directory: searches for the user's entry, then binds with the
// user's own password. Never blocks the event loop; results that grant access are cached.
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

// Escapes a value as RFC 4515 requires, so that it can't change the meaning of a filter.
[[nodiscard]] std::string escape_filter(std::string_view value);

class LdapDirectory {
 public:
  LdapDirectory(ev::loop_ref loop, const config::Directory& config, const config::Names& names);
  ~LdapDirectory();

  // Calls `handler` exactly once: from within this call if the result is cached or no lookup can be started,
  // else from the event loop.
  void look_up(const std::string& user, const std::string& password, LookupHandler handler);
  void tick(core::Time now);  // ends lookups whose deadline has passed

 private:
  class UserLookup;
  struct CachedResult {
    LookupResult result;
    core::Time expires_at{};
  };
  void finish_lookup(UserLookup& lookup, const LookupResult& result);
  [[nodiscard]] std::string cache_key(const std::string& user, const std::string& password) const;

  ev::loop_ref loop_;
  const config::Directory& config_;
  const config::Names& names_;
  std::string salt_;
  std::unordered_map<std::string, CachedResult> cache_;
  std::list<std::unique_ptr<UserLookup>> lookups_;
  std::vector<std::unique_ptr<UserLookup>>
      finished_;  // destroyed by tick(), since they may be on the call stack
  core::Time now_{};
};

}  // namespace bellstair::directory
