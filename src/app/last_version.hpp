// The file in which a broker keeps the last version of the fleet's configuration that was in force, for a
// restart with no control node in reach.
//
// A line with the digest of all that follows it, the fleet's name, the version as control nodes send it. It
// is written beside its place, synced, renamed, and its folder synced: after a loss of power the old one or
// the new one is there, whole.
#pragma once

#include <optional>
#include <string>

#include "control/version.hpp"
#include "core/events.hpp"
#include "net/backoff.hpp"
#include "net/worker.hpp"

namespace bellstair::app {

class LastVersionFile {
 public:
  // An empty path: nothing is kept.
  LastVersionFile(std::string path, std::string fleet) : path_(std::move(path)), fleet_(std::move(fleet)) {}

  // The problem, or nothing: there may be no such file. One that is damaged is put aside.
  [[nodiscard]] std::string read(std::optional<control::Version>& out) const;
  // The problem, or nothing: then it is on the disk. Blocks for as long as the disk takes.
  [[nodiscard]] std::string write(const control::Version& version) const;
  [[nodiscard]] bool used() const { return !path_.empty(); }

 private:
  [[nodiscard]] std::optional<control::Version> parse(const std::string& text) const;

  std::string path_, fleet_;
};

// Writes the newest version beside the loop, and again after a while for as long as the disk does not take
// it.
class LastVersionWriter {
 public:
  using Say = std::function<void(const std::string&)>;
  // `kept`: the place of the version that the file holds.
  LastVersionWriter(ev::loop_ref loop, LastVersionFile file, control::Place kept, std::uint64_t seed,
                    Say say);

  // What is still to be written is tried once more, and waited for.
  ~LastVersionWriter();
  LastVersionWriter(const LastVersionWriter&) = delete;
  LastVersionWriter& operator=(const LastVersionWriter&) = delete;

  void keep(const control::Version& version);                         // in place of any older one
  void tick(core::Time now);                                          // steady clock
  [[nodiscard]] const control::Place& kept() const { return kept_; }  // in the file
  // Told as not kept; none if it has been since.
  [[nodiscard]] const std::optional<control::Place>& unkept() const { return told_; }

 private:
  void write();
  void written(const control::Place& place, const std::string& problem);

  LastVersionFile file_;
  control::Place kept_;
  std::optional<control::Version> wanted_;
  bool writing_ = false;
  std::optional<control::Place> told_;  // as not kept
  net::Backoff backoff_;
  core::Time now_{}, next_try_{};
  Say say_;
  std::optional<net::Worker> worker_;
};

}  // namespace bellstair::app
