// A version of the configuration that control nodes keep and hand out: a whole document, with its place in
// the order of all versions and a checksum. docs/design/control.md.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace bellstair::control {

using Time = std::chrono::nanoseconds;  // a moment on a steady clock of any beginning, or a span

// The most that a document may take, in bytes; it is that of hcl::kMaxText.
inline constexpr std::size_t kMaxDocument = std::size_t{1} << 20;

// Versions are ordered by their writer's epoch, then by number. 0.0: none yet.
struct Place {
  std::uint64_t epoch = 0, number = 0;
  auto operator<=>(const Place&) const = default;
};
[[nodiscard]] std::string to_text(Place place);  // "3.17"

struct Version {
  Place place;
  std::string writer;  // the node that wrote it: one epoch has one writer
  std::string digest;  // of all the rest, see digest_of()
  std::string text;    // the document
  bool operator==(const Version&) const = default;
};

// SHA-256 in hex digits, over place, writer and text, each with its length: a version whose parts come from
// two others does not pass for whole.
[[nodiscard]] std::string digest_of(const Version& version);
[[nodiscard]] inline bool whole(const Version& version) { return version.digest == digest_of(version); }

}  // namespace bellstair::control
