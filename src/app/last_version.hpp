// The file in which a broker persists the last active version of the fleet's configuration, so that it can
// restart while no control node is reachable.
//
// Format: a line with the digest of the rest of the file, a line with the fleet's name, and the version as
// control nodes send it. After a power failure the file holds either the old or the new version, complete.
#pragma once

#include <optional>
#include <string>

#include "common/error.hpp"
#include "control/version.hpp"

namespace bellstair::app {

enum class LastVersionFault {
  io,
  damaged,  // or of another fleet; the file was renamed if that was possible
};
using LastVersionError = CodedError<LastVersionFault>;

class LastVersionFile {
 public:
  // With an empty path nothing is persisted.
  LastVersionFile(std::string path, std::string fleet) : path_(std::move(path)), fleet_(std::move(fleet)) {}

  struct Loaded {
    std::optional<control::Version> version;
    std::optional<LastVersionError> error;  // neither is set: there is no file
  };
  // Renames a damaged file, so that its content is not lost.
  [[nodiscard]] Loaded load() const;
  // The version is durable if no error is returned. Blocks until the disk is done.
  [[nodiscard]] std::optional<LastVersionError> write(const control::Version& version) const;
  [[nodiscard]] bool is_enabled() const { return !path_.empty(); }

 private:
  [[nodiscard]] std::optional<control::Version> parse(const std::string& text) const;

  std::string path_, fleet_;
};

}  // namespace bellstair::app
