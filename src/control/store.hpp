// Where a control node keeps its versions and the newest reign: one SQLite file. What keep() has taken
// without a problem is on the disk, and is there after a loss of power.
//
// A rollback journal in exclusive locking mode: a commit is a synced write over the journal's header, so that
// no entry of the directory has to be synced for it (synchronous=EXTRA is FULL there, and covers the other
// modes). Not WAL: a byte that goes wrong in a WAL ends the log there without a word, while here all that is
// kept stands in the one file that is checked when it is opened.
#pragma once

#include <memory>
#include <stdexcept>
#include <string>

#include "control/node.hpp"

struct sqlite3;

namespace bellstair::control {

class Store {
 public:
  static constexpr std::size_t kMaxVersions = 1024;  // the newest; older ones go

  // Of what the file or its place does not allow; the file is left as it is.
  struct Unusable : std::runtime_error {
    using std::runtime_error::runtime_error;
  };

  // Opens the file, or makes one where there is none, and looks at all of it. It is this process's alone
  // until the Store goes. `fleet`: whose it must be.
  Store(const std::string& path, const std::string& fleet, std::size_t most_versions = kMaxVersions);
  ~Store();
  Store(Store&&) noexcept;
  Store& operator=(Store&&) noexcept;

  [[nodiscard]] const Stored& stored() const { return stored_; }
  // On the disk when they return without a problem; with one, nothing has changed, unless the problem says
  // that not even this could be told.
  [[nodiscard]] std::string keep(const Version& version);  // above all that are kept
  [[nodiscard]] std::string keep(const Reign& reign);      // newer than the one kept
  [[nodiscard]] std::size_t versions() const;

 private:
  struct Closer {
    void operator()(sqlite3* base) const;
  };
  using Base = std::unique_ptr<sqlite3, Closer>;
  [[nodiscard]] static Base open(const std::string& path, bool make);
  static void make(const std::string& path, const std::string& fleet);
  void check(const std::string& fleet);
  void drop_unacknowledged();
  [[nodiscard]] std::string undo_doubtful_commit();

  std::string path_;
  std::size_t most_versions_;
  Base base_;
  Stored stored_;
};

}  // namespace bellstair::control
