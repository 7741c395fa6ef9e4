// The file in which a broker persists the last active version of the fleet's configuration, for a restart
// with no control node in reach.
//
// A line with the digest of all that follows it, a line with the fleet's name, the version as control nodes
// send it. After a loss of power the old one or the new one is there, complete.
#pragma once

#include <optional>
#include <string>

#include "common/error.hpp"
#include "control/version.hpp"

namespace bellstair::app {

enum class LastVersionFault {
  io,
  damaged,  // or of another fleet; renamed, where that could be done
};
using LastVersionError = CodedError<LastVersionFault>;

class LastVersionFile {
 public:
  // With an empty path nothing is persisted.
  LastVersionFile(std::string path, std::string fleet) : path_(std::move(path)), fleet_(std::move(fleet)) {}

  struct Loaded {
    std::optional<control::Version> version;
    std::optional<LastVersionError> error;  // neither: there is no file
  };
  // A damaged file is renamed, so that its content is not lost.
  [[nodiscard]] Loaded load() const;
  // Durable without an error; blocks for as long as the disk takes.
  [[nodiscard]] std::optional<LastVersionError> write(const control::Version& version) const;
  [[nodiscard]] bool is_enabled() const { return !path_.empty(); }

 private:
  [[nodiscard]] std::optional<control::Version> parse(const std::string& text) const;

  std::string path_, fleet_;
};

}  // namespace bellstair::app
