// What a directory of users says of one of them.
#pragma once

#include <functional>
#include <string>

namespace bellstair::directory {

struct LookupResult {
  enum class Kind { granted, denied, unavailable } kind = Kind::denied;
  std::string tenant;  // its name: positions change with the settings
};
// `done` is called exactly once, now or later.
using LookupHandler = std::function<void(LookupResult)>;
using Lookup = std::function<void(const std::string& user, const std::string& password, LookupHandler done)>;

}  // namespace bellstair::directory
