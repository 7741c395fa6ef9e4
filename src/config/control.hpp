// Parses the operator's `control` block in HCL: the control nodes, and which of them is the leader.
//
//     control {
//       fleet   = "tunis"
//       epoch   = 3     # raised by the operator whenever another node is named as writer
//       writer  = "c1"  # the leader of this epoch
//       classes = ["lookup", "report", "load"]  # that documents may name; needed by nodes
//       region  = "north"                       # of the broker that reads this file
//       last    = "/var/lib/bellstair/last-version"  # where a broker persists its active version
//       node "c1" {
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
  std::string name, address, region;
  std::string store;  // path; empty: not given
  bool operator==(const ControlNode&) const = default;
};

struct Control {
  std::string fleet;
  std::string leader;  // the leader's name
  std::string region;  // of the broker that reads the file
  std::string last;    // path of the broker's last version; empty: it is not persisted
  std::uint64_t epoch = 0;
  std::vector<std::string> classes;
  std::vector<ControlNode> nodes;
  bool operator==(const Control&) const = default;
};

inline constexpr std::size_t kMaxControlNodes = 64;

// Parses the block as a part of the operator's file (see parse_operator_config). Relative paths are relative
// to the directory of `file`. `node`: the control node that reads the file; it needs its store and the
// classes. Reports errors to `in`.
[[nodiscard]] Control parse_control(hcl::Reader& in, const std::string& file,
                                    const std::optional<std::string>& node = std::nullopt);
// Parses the block alone and ignores the rest of the file. Throws hcl::Invalid, also if there is no such
// block.
[[nodiscard]] Control read_control(std::string_view text, const std::string& file,
                                   const std::optional<std::string>& node = std::nullopt);

}  // namespace bellstair::config
