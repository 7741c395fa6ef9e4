// The result of looking up a user in a directory.
#pragma once

#include <functional>
#include <string>

namespace bellstair::directory {

struct LookupResult {
  enum class Kind { granted, denied, unavailable } kind = Kind::denied;
  std::string tenant;  // by name, since a tenant's index changes with the settings
};
// Called exactly once, from within the lookup or later.
using LookupHandler = std::function<void(LookupResult)>;
using Lookup =
    std::function<void(const std::string& user, const std::string& password, LookupHandler handler)>;

}  // namespace bellstair::directory
