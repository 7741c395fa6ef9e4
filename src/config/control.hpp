// The operator's `control` block in HCL: which control nodes there are, and who writes.
//
//     control {
//       fleet   = "tunis"
//       epoch   = 3                     # raised by the operator whenever another node is named as writer
//       writer  = "c1"
//       classes = ["lookup", "report", "load"]   # that a document may name; needed by nodes
//       region  = "north"               # of the broker that reads this file; "" if absent
//       last    = "/var/lib/bellstair/last-version"   # where a broker keeps the version in force; none if
//       absent node "c1" {
//         address = "10.0.0.1:7101"
//         region  = "north"
//         store   = "/var/lib/bellstair/control.db"
//       }
//     }
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hcl/reader.hpp"

namespace bellstair::config {

struct ControlNode {
  std::string name, address, region, store;
  bool operator==(const ControlNode&) const = default;
};
struct Control {
  std::string fleet, writer, region, last;
  std::uint64_t epoch = 0;
  std::vector<std::string> classes;
  std::vector<ControlNode> nodes;
  bool operator==(const Control&) const = default;
};

inline constexpr std::size_t kMaxControlNodes = 64;

// The block as a part of the operator's file (parse_fronts). Paths that are not whole ones are beside `file`.
// `node`: the control node that reads it, which needs its store and the classes.
[[nodiscard]] Control parse_control(hcl::Reader& in, const std::string& file,
                                    const std::optional<std::string>& node = std::nullopt);
// And alone: the rest of the file is then passed over. Throws hcl::Invalid, also where there is no such
// block.
[[nodiscard]] Control read_control(std::string_view text, const std::string& file,
                                   const std::optional<std::string>& node = std::nullopt);

}  // namespace bellstair::config
