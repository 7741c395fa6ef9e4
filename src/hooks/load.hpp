// Creates the machines of a set of hooks: reads the script files, loads the scripts and tests each with a dry
// run. This is slow and must not run on the event loop's thread while the broker serves requests.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "hooks/machine.hpp"
#include "hooks/spec.hpp"

namespace bellstair::hooks {

inline constexpr std::size_t kMaxScriptBytes = std::size_t{256} << 10;  // bytes
inline constexpr Time kMaxLoadTime = std::chrono::milliseconds(200);    // for running the body of a script

struct LoadResult {
  Set set;  // with the text and digest of each script, and with newly assigned ids
  std::vector<std::unique_ptr<Machine>> machines;  // one for each hook of the set
  std::vector<std::string> problems;  // of all hooks; if there are any, the set and machines must not be used
};
[[nodiscard]] LoadResult load(Set set, const SettingNames& names);
[[nodiscard]] std::string sha256(const std::string& text);  // hex digits

}  // namespace bellstair::hooks
