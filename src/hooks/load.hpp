// Scripts to machines: files are read, scripts loaded and tried. Takes a while; not for the loop's thread
// while it serves.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "hooks/machine.hpp"
#include "hooks/spec.hpp"

namespace bellstair::hooks {

inline constexpr std::size_t kMaxScript = std::size_t{256} << 10;  // bytes
inline constexpr Time kMaxLoad = std::chrono::milliseconds(200);   // for a script's own body

struct LoadResult {
  Set set;  // with each script's text and digest, and ids that no hook has had
  std::vector<std::unique_ptr<Machine>> machines;  // one for each hook of the set
  std::vector<std::string> problems;               // of all hooks; if there are any, nothing is of use
};
[[nodiscard]] LoadResult load(Set set, const SettingNames& words);
[[nodiscard]] std::string sha256(const std::string& text);  // hex digits

}  // namespace bellstair::hooks
