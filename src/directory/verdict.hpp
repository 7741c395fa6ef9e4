// What a directory of users says of one of them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace bellstair::directory {

struct Verdict {
  enum class Kind { granted, denied, unavailable } kind = Kind::denied;
  std::uint32_t tenant = 0;
};
// `done` is called exactly once, now or later.
using Done = std::function<void(Verdict)>;
using Lookup = std::function<void(const std::string& user, const std::string& password, Done done)>;

}  // namespace bellstair::directory
