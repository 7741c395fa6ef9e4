// Users and their tenants in an LDAP directory: a search for the user's entry, then a bind with the user's
// own password. Nothing here blocks the loop; verdicts are kept for a while.
#pragma once

#include <ev++.h>

#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/fronts.hpp"
#include "core/events.hpp"
#include "directory/verdict.hpp"
#include "net/socket.hpp"

namespace bellstair::directory {

// As RFC 4515 wants a value in a filter: nothing in it can change what the filter says.
[[nodiscard]] std::string escape_filter(std::string_view value);

class Ldap {
 public:
  Ldap(ev::loop_ref loop, const config::Directory& config, const config::Names& names);
  ~Ldap();

  void look_up(const std::string& user, const std::string& password, Done done);
  void tick(core::Time now);

 private:
  class Question;
  struct Known {
    Verdict verdict;
    core::Time until{};
  };
  void answer(Question& question, Verdict verdict);
  [[nodiscard]] std::string key(const std::string& user, const std::string& password) const;

  ev::loop_ref loop_;
  const config::Directory& config_;
  const config::Names& names_;
  std::string salt_;
  std::unordered_map<std::string, Known> known_;
  std::list<std::unique_ptr<Question>> open_;
  std::vector<std::unique_ptr<Question>> gone_;
  core::Time now_{};
};

}  // namespace bellstair::directory
