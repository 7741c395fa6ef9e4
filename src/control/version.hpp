// A version of the configuration: a complete document, its position in the order of all versions, and a
// digest. See docs/design/control.md.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>

namespace bellstair::control {

using Time = std::chrono::nanoseconds;  // a point on a steady clock of any origin, or a duration

// Equals hcl::kMaxText.
inline constexpr std::size_t kMaxDocumentBytes = std::size_t{1} << 20;

// Versions are ordered by the epoch of their leader, then by number. 0.0 means no version.
struct VersionId {
  std::uint64_t epoch = 0, number = 0;
  auto operator<=>(const VersionId&) const = default;
};

// The form shown to operators: "3.17".
[[nodiscard]] std::string to_text(VersionId id);

struct Version {
  VersionId id;
  std::string leader;  // the node that published it; an epoch has only one leader
  std::string digest;  // result of compute_digest() for the other members
  std::string text;    // the document
  bool operator==(const Version&) const = default;
};

// SHA-256 in hex digits of id, leader and text, each with its length, so that a version mixed from parts of
// two others is detected. Throws std::runtime_error if OpenSSL fails.
[[nodiscard]] std::string compute_digest(const Version& version);

// Whether the digest matches the other members.
[[nodiscard]] inline bool is_intact(const Version& version) {
  return version.digest == compute_digest(version);
}

}  // namespace bellstair::control
